//! Digests of API keys.

use std::fmt;

use sha2::{
    Digest,
    Sha256, //
};
use snafu::{
    Snafu, //
    ensure,
};
use subtle::{
    Choice,
    ConstantTimeEq, //
};

/// Length of a SHA-256 digest in bytes.
const DIGEST_LEN: usize = 32;

/// A rejected digest; the input is left out because it may be a key pasted by mistake.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display(
    "digest of {len} bytes is not accepted: use the SHA-256 digest of the key as 64 hexadecimal digits"
))]
pub struct DigestError {
    len: usize,
}

/// SHA-256 digest of a caller's API key; `Debug` redacts it and there is no `Display`.
#[derive(Clone)]
pub struct KeyDigest([u8; DIGEST_LEN]);

impl KeyDigest {
    /// Computes the digest of a key as the caller sends it.
    pub fn of_key(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }

    /// Parses 64 hexadecimal digits, upper or lower case.
    pub fn from_hex(raw: &str) -> Result<Self, DigestError> {
        let len = raw.len();
        let hex = raw.as_bytes();
        ensure!(len == 2 * DIGEST_LEN, DigestSnafu { len });
        ensure!(hex.iter().all(u8::is_ascii_hexdigit), DigestSnafu { len });
        let mut digest = [0; DIGEST_LEN];
        for (byte, pair) in digest.iter_mut().zip(hex.chunks_exact(2)) {
            *byte = hex_value(pair[0]) << 4 | hex_value(pair[1]);
        }
        Ok(Self(digest))
    }

    /// Returns the digest as 64 lower-case hexadecimal digits, only for the configuration text.
    pub fn to_hex(&self) -> String {
        let digit = |value: u8| char::from_digit(u32::from(value), 16).unwrap_or('0');
        self.0
            .iter()
            .flat_map(|byte| [digit(byte >> 4), digit(byte & 0xf)])
            .collect()
    }

    /// Returns the prefix that selects the digest's bucket in a table of digests.
    pub(crate) fn prefix(&self) -> DigestPrefix {
        DigestPrefix([self.0[0], self.0[1]])
    }
}

/// The first two bytes of a digest; `Debug` redacts them too, because they are part of the digest.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct DigestPrefix([u8; 2]);

impl fmt::Debug for DigestPrefix {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("DigestPrefix(redacted)")
    }
}

fn hex_value(digit: u8) -> u8 {
    match digit {
        b'0'..=b'9' => digit - b'0',
        b'a'..=b'f' => digit - b'a' + 10,
        b'A'..=b'F' => digit - b'A' + 10,
        _ => 0,
    }
}

impl ConstantTimeEq for KeyDigest {
    fn ct_eq(&self, other: &Self) -> Choice {
        self.0.ct_eq(&other.0)
    }
}

impl PartialEq for KeyDigest {
    fn eq(&self, other: &Self) -> bool {
        self.ct_eq(other).into()
    }
}

impl Eq for KeyDigest {}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(redacted)")
    }
}
