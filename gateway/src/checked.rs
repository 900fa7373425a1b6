//! Numbers, texts and addresses from outside, with the range that is meant.

use std::net::{
    IpAddr,
    SocketAddr, //
};

use serde::Deserialize;
use snafu::{
    Snafu,
    ensure, //
};

/// Largest number of slots of a backend server. Those of the platform have 8; much larger numbers
/// are not from a server.
pub const MAX_SLOTS: u32 = 1_024;

/// Longest name of a service, zone, instance or server in bytes.
pub const MAX_LABEL_BYTES: usize = 200;

/// Maximum number of characters of foreign text in a log line.
const MAX_EXCERPT_CHARS: usize = 160;

/// A value outside of its range.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum OutOfRange {
    /// The number of slots is 0 or too large.
    #[snafu(display("{slots} slots, expected 1 to {MAX_SLOTS}"))]
    Slots {
        /// The number.
        slots: u32,
    },
    /// The text is too long.
    #[snafu(display("a text of {bytes} bytes, expected at most {MAX_LABEL_BYTES}"))]
    TextLength {
        /// Length in bytes.
        bytes: usize,
    },
    /// The text has control characters.
    #[snafu(display("a text with control characters"))]
    ControlCharacters,
    /// Nothing can listen at the address.
    #[snafu(display("the address {addr} cannot be reached"))]
    Address {
        /// The address.
        addr: SocketAddr,
    },
}

/// Number of requests that a backend server runs concurrently, 1 to [`MAX_SLOTS`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(try_from = "u32")]
pub struct Slots(u32);

impl Slots {
    /// Returns the number of the range that is nearest to `slots`.
    pub fn nearest(slots: u32) -> Self {
        Self(slots.clamp(1, MAX_SLOTS))
    }

    /// Returns the number.
    pub fn get(self) -> u32 {
        self.0
    }
}

impl TryFrom<u32> for Slots {
    type Error = OutOfRange;

    fn try_from(slots: u32) -> Result<Self, OutOfRange> {
        ensure!((1..=MAX_SLOTS).contains(&slots), SlotsSnafu { slots });
        Ok(Self(slots))
    }
}

/// A name of at most [`MAX_LABEL_BYTES`] without control characters; it may be empty.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(try_from = "String")]
pub struct Label(String);

impl Label {
    /// Returns the text.
    pub fn into_string(self) -> String {
        self.0
    }
}

impl TryFrom<String> for Label {
    type Error = OutOfRange;

    fn try_from(text: String) -> Result<Self, OutOfRange> {
        let bytes = text.len();
        ensure!(bytes <= MAX_LABEL_BYTES, TextLengthSnafu { bytes });
        ensure!(!text.contains(char::is_control), ControlCharactersSnafu);
        Ok(Self(text))
    }
}

/// Address of a listener on one machine: it has a port, and is neither unspecified nor that of a
/// group of machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(try_from = "SocketAddr")]
pub struct ListenerAddr(SocketAddr);

impl ListenerAddr {
    /// Returns the address.
    pub fn get(self) -> SocketAddr {
        self.0
    }
}

impl TryFrom<SocketAddr> for ListenerAddr {
    type Error = OutOfRange;

    fn try_from(addr: SocketAddr) -> Result<Self, OutOfRange> {
        let is_valid = addr.port() != 0 && is_machine(addr.ip());
        ensure!(is_valid, AddressSnafu { addr });
        Ok(Self(addr))
    }
}

/// Returns whether `addr` can be that of one machine.
pub(crate) fn is_machine(addr: IpAddr) -> bool {
    let addr = addr.to_canonical();
    let is_broadcast = matches!(addr, IpAddr::V4(addr) if addr.is_broadcast());
    !addr.is_unspecified() && !addr.is_multicast() && !is_broadcast
}

/// Returns the beginning of a foreign text on one line, for log lines and errors.
pub fn excerpt(text: &str) -> String {
    let chars = text.chars().take(MAX_EXCERPT_CHARS);
    chars
        .map(|c| if c.is_control() { ' ' } else { c })
        .collect()
}
