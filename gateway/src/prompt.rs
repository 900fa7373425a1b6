//! Parts of prompts.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::{
    Deserialize,
    Serialize, //
};
use xxhash_rust::xxh3::xxh3_64;

/// Identifier of a part of a prompt, the same on all instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Deserialize, Serialize)]
pub struct PartKey(pub u64);

impl PartKey {
    /// Returns the key of the part that callers call `id`: the number, or the hash of any other
    /// text.
    pub fn of(id: &str) -> Self {
        let number = u64::from_str_radix(id, 16);
        Self(number.unwrap_or_else(|_| xxh3_64(id.as_bytes())))
    }
}

impl fmt::Display for PartKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

impl FromStr for PartKey {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

/// The parts of a prompt, without any if the request states none.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptParts {
    /// The parts that other requests may have too, in order.
    pub shared: Vec<PartKey>,
    /// The last part, which usually belongs to the request itself.
    pub last: Option<PartKey>,
}

/// Returns the keys, separated by commas.
pub(crate) fn list(parts: &[PartKey]) -> String {
    let parts: Vec<String> = parts.iter().map(PartKey::to_string).collect();
    parts.join(",")
}
