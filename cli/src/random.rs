//! Random values from the operating system.

use std::io;

use rand::TryRngCore;
use rand::rngs::OsRng;
use snafu::ResultExt;

use crate::error::{
    Error,
    StartSnafu, //
};

/// Length of a random identifier in bytes; makes collisions practically impossible.
const ID_BYTES: usize = 16;

/// Returns `N` random bytes as hexadecimal digits.
pub(crate) fn hex<const N: usize>() -> Result<String, Error> {
    let mut bytes = [0; N];
    let filled = OsRng.try_fill_bytes(&mut bytes);
    filled.map_err(io::Error::other).context(StartSnafu)?;
    Ok(bytes.iter().map(|byte| format!("{byte:02x}")).collect())
}

/// Returns a new random identifier.
pub(crate) fn id() -> Result<String, Error> {
    hex::<ID_BYTES>()
}

/// Returns a random number from 0 to 1 as jitter for retries; 1 if the random source fails.
pub(crate) fn jitter() -> f64 {
    let number = OsRng.try_next_u32();
    number.map_or(1.0, |number| f64::from(number) / f64::from(u32::MAX))
}
