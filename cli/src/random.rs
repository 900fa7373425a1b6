//! Random numbers of the operating system.

use std::io;

use rand::TryRngCore;
use rand::rngs::OsRng;
use snafu::ResultExt;

use crate::error::{
    Error,
    StartSnafu, //
};

/// Bytes of a random identifier; enough that two are never the same.
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

/// Returns a number from 0 to 1 that spreads waits; 1 if there are no random numbers.
pub(crate) fn jitter() -> f64 {
    let number = OsRng.try_next_u32();
    number.map_or(1.0, |number| f64::from(number) / f64::from(u32::MAX))
}
