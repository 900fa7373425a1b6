//! Keys that the tool uses or creates; `Debug` output never contains them.

use std::fmt;
use std::fs;
use std::path::Path;

use hyper::header::HeaderValue;
use limpetweir_state::KeyDigest;
use snafu::ResultExt;

use crate::error::{
    Error,
    ReadSnafu, //
};
use crate::random;

/// Number of random bytes in a created key.
const SECRET_BYTES: usize = 32;

/// A key of a caller or an operator.
#[derive(Clone)]
pub(crate) struct Secret {
    text: String,
    /// `Bearer <key>`, marked as sensitive.
    bearer: HeaderValue,
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(redacted)")
    }
}

impl Secret {
    /// Validates a key; the error message for an invalid key does not contain it.
    pub(crate) fn new(text: &str, origin: &str) -> Result<Self, Error> {
        let text = text.trim();
        let error = || {
            Error::usage(format!(
                "invalid key in {origin}: use one line of ASCII text"
            ))
        };
        if text.is_empty() || !text.bytes().all(|b| b.is_ascii_graphic()) {
            return Err(error());
        }
        let mut bearer = HeaderValue::from_str(&format!("Bearer {text}")).map_err(|_| error())?;
        bearer.set_sensitive(true);
        let text = text.to_owned();
        Ok(Self { text, bearer })
    }

    /// Reads a key from a file.
    pub(crate) fn read(path: &Path) -> Result<Self, Error> {
        let text = fs::read_to_string(path).context(ReadSnafu { path })?;
        Self::new(&text, &path.display().to_string())
    }

    /// Creates a key from the operating system's random source.
    pub(crate) fn create() -> Result<Self, Error> {
        let hex = random::hex::<SECRET_BYTES>()?;
        Self::new(&format!("lw-{hex}"), "the random source")
    }

    /// Returns the value of the `Authorization` header.
    pub(crate) fn bearer(&self) -> HeaderValue {
        self.bearer.clone()
    }

    /// Returns the digest for the configuration document.
    pub(crate) fn digest(&self) -> KeyDigest {
        KeyDigest::of_key(self.text.as_bytes())
    }

    /// Returns the key in plain text, to be shown once when it is created.
    pub(crate) fn expose(&self) -> &str {
        &self.text
    }
}
