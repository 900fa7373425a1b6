//! Keys that the tool presents or creates; they are never printed by `Debug`.

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

/// Random bytes of a created key.
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
    /// Takes a key as text; the message of a refusal does not contain it.
    pub(crate) fn new(text: &str, origin: &str) -> Result<Self, Error> {
        let text = text.trim();
        let refuse = || Error::usage(format!("{origin} holds no key: use one line of ASCII text"));
        if text.is_empty() || !text.bytes().all(|b| b.is_ascii_graphic()) {
            return Err(refuse());
        }
        let mut bearer = HeaderValue::from_str(&format!("Bearer {text}")).map_err(|_| refuse())?;
        bearer.set_sensitive(true);
        let text = text.to_owned();
        Ok(Self { text, bearer })
    }

    /// Reads a key from a file.
    pub(crate) fn read(path: &Path) -> Result<Self, Error> {
        let text = fs::read_to_string(path).context(ReadSnafu { path })?;
        Self::new(&text, &path.display().to_string())
    }

    /// Creates a key from the operating system's random numbers.
    pub(crate) fn create() -> Result<Self, Error> {
        let hex = random::hex::<SECRET_BYTES>()?;
        Self::new(&format!("lw-{hex}"), "the random source")
    }

    /// Returns the header value that presents the key.
    pub(crate) fn bearer(&self) -> HeaderValue {
        self.bearer.clone()
    }

    /// Returns the digest that belongs in the configuration document.
    pub(crate) fn digest(&self) -> KeyDigest {
        KeyDigest::of_key(self.text.as_bytes())
    }

    /// Returns the key itself, to be shown once.
    pub(crate) fn expose(&self) -> &str {
        &self.text
    }
}
