//! `trace`: prints the log lines about a request or job from collected log files.

use std::io::{
    BufRead,
    BufReader, //
};
use std::path::{
    Path,
    PathBuf, //
};

use clap::ArgMatches;
use serde_json::json;
use snafu::ResultExt;

use super::arg;
use crate::error::{
    Error,
    ReadSnafu, //
};
use crate::output;
use crate::trace::{
    Line,
    Trace, //
};

/// Runs `trace`.
pub(super) fn run(matches: &ArgMatches) -> Result<(), Error> {
    let id: &String = arg(matches, "id")?;
    let trace = Trace::of(id, read_all(matches)?);
    let trace = trace.ok_or_else(|| Error::usage(format!("no log line contains {id}")))?;
    if matches.get_flag("json") {
        return output::json(&json!({
            "id": id,
            "ending": trace.ending.to_string(),
            "cause": trace.cause,
            "lines": trace.matching.iter().map(format_line).collect::<Vec<_>>(),
            "context": trace.context.iter().map(format_line).collect::<Vec<_>>(),
        }));
    }
    let cause = trace.cause.as_deref().unwrap_or("none stated");
    output::line(&format!("{id}: {}, cause: {cause}", trace.ending))?;
    for line in &trace.matching {
        output::line(&format_line(line))?;
    }
    output::line("around it:")?;
    for line in &trace.context {
        output::line(&format_line(line))?;
    }
    Ok(())
}

/// Parses the lines of all files given as arguments.
pub(super) fn read_all(matches: &ArgMatches) -> Result<Vec<Line>, Error> {
    let files = matches.get_many::<PathBuf>("file").into_iter().flatten();
    let mut lines = Vec::new();
    for file in files {
        read(file, &mut lines)?;
    }
    Ok(lines)
}

/// Parses the lines of a file; the file name without its extension is the default instance name.
fn read(path: &Path, lines: &mut Vec<Line>) -> Result<(), Error> {
    let file = std::fs::File::open(path).context(ReadSnafu { path })?;
    let name = path.file_stem().unwrap_or_default().to_string_lossy();
    for raw in BufReader::new(file).split(b'\n') {
        let raw = raw.context(ReadSnafu { path })?;
        let raw = String::from_utf8_lossy(&raw);
        lines.extend(Line::parse(&name, &raw));
    }
    Ok(())
}

fn format_line(line: &Line) -> String {
    let Line {
        instance,
        time,
        event,
        text,
    } = line;
    let (seconds, millis) = (time / 1_000, time % 1_000);
    format!("{seconds}.{millis:03} {instance} LW{event} {text}")
}
