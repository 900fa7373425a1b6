//! Output to standard output and to files.

use std::fs::File;
use std::io::{
    self,
    BufWriter,
    Write, //
};
use std::path::{
    Path,
    PathBuf, //
};

use serde::Serialize;
use snafu::ResultExt;

use crate::error::{
    Error,
    WriteSnafu, //
};

/// Name of standard output in error messages.
const STDOUT: &str = "-";

/// Writes text to standard output and flushes it.
pub(crate) fn print(text: &str) -> Result<(), Error> {
    let mut out = io::stdout().lock();
    let written = out.write_all(text.as_bytes()).and_then(|()| out.flush());
    written.context(WriteSnafu { path: STDOUT })
}

/// Writes a line to standard output.
pub(crate) fn line(text: &str) -> Result<(), Error> {
    print(&format!("{text}\n"))
}

/// Writes a value as one line of JSON to standard output.
pub(crate) fn json(value: &impl Serialize) -> Result<(), Error> {
    line(&to_json(value))
}

/// Serializes a value as one line of JSON.
pub(crate) fn to_json(value: &impl Serialize) -> String {
    // Serialization cannot fail: all maps have string keys.
    serde_json::to_string(value).unwrap_or_default()
}

/// Writes rows in aligned columns; the first row is the heading.
pub(crate) fn table(rows: &[Vec<String>]) -> Result<(), Error> {
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..columns).map(width).collect();
    let mut text = String::new();
    for row in rows {
        let cells = row.iter().zip(&widths);
        let cells: Vec<String> = cells
            .map(|(cell, width)| format!("{cell:<width$}"))
            .collect();
        text.push_str(cells.join("  ").trim_end());
        text.push('\n');
    }
    print(&text)
}

/// Destination for lines: standard output, or a file that is created atomically when complete.
pub(crate) enum LineSink {
    /// The standard output.
    Stdout,
    /// A file that is written under a temporary name and renamed at the end.
    File {
        /// Writer of the temporary file.
        file: BufWriter<File>,
        /// Temporary name.
        partial: PathBuf,
        /// Final name.
        path: PathBuf,
    },
}

impl LineSink {
    /// Opens the file at `path`, or standard output if `path` is `None`.
    pub(crate) fn open(path: Option<&Path>) -> Result<Self, Error> {
        let Some(path) = path else {
            return Ok(Self::Stdout);
        };
        let mut partial = path.as_os_str().to_owned();
        partial.push(".partial");
        let partial = PathBuf::from(partial);
        let file = File::create(&partial).context(WriteSnafu { path: &partial })?;
        Ok(Self::File {
            file: BufWriter::new(file),
            partial,
            path: path.to_owned(),
        })
    }

    /// Writes one or more lines; `lines` must end in a line feed.
    pub(crate) fn write(&mut self, lines: &str) -> Result<(), Error> {
        match self {
            Self::Stdout => print(lines),
            Self::File { file, partial, .. } => {
                let written = file.write_all(lines.as_bytes());
                written.context(WriteSnafu { path: &*partial })
            }
        }
    }

    /// Syncs the file to disk and renames it to its final name.
    pub(crate) fn finish(self) -> Result<(), Error> {
        let Self::File {
            mut file,
            partial,
            path,
        } = self
        else {
            return Ok(());
        };
        let flushed = file.flush().and_then(|()| file.get_ref().sync_all());
        flushed.context(WriteSnafu { path: &partial })?;
        std::fs::rename(&partial, &path).context(WriteSnafu { path })
    }
}
