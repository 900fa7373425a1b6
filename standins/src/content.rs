//! Headers and content hashes shared by the backend server stand-ins.

use sha2::{
    Digest,
    Sha256, //
};

/// Header with the id of an attempt; backend servers echo it.
pub const ATTEMPT_ID: &str = "x-attempt-id";

/// Header with the number of tokens delivered by earlier attempts.
pub const RESUME_TOKENS: &str = "x-resume-tokens";

/// Returns the SHA-256 of `parts`, each preceded by its length, in hexadecimal.
pub fn content_hash(parts: &[&[u8]]) -> String {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher
        .finalize()
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect()
}

/// Returns the first eight bytes of the SHA-256 of `parts` as a number.
pub(crate) fn hash64(parts: &[&[u8]]) -> u64 {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let digest = hasher.finalize();
    digest
        .iter()
        .take(8)
        .fold(0, |value, byte| value << 8 | u64::from(*byte))
}
