//! Encoding of what instances tell each other about leases.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::checked::MAX_LABEL_BYTES;
use crate::leases::{
    LeaseNews,
    LeaseState, //
};
use crate::prompt::PartKey;

/// First byte of a message. Builds that do not know these messages ignore them.
const MESSAGE: u8 = 0x52;

/// Version of the encoding; messages of another version are ignored.
const WIRE_VERSION: u8 = 1;

/// Maximum number of leases in a message.
const MAX_LEASES: usize = 512;

/// Encoded form of a message; fields are identified by position to keep it small.
#[derive(Deserialize, Serialize)]
struct WireLeases(u8, String, Vec<(u64, u8)>);

impl From<&LeaseNews> for WireLeases {
    fn from(news: &LeaseNews) -> Self {
        let leases = news.leases.iter().take(MAX_LEASES);
        let leases = leases.map(|(key, state)| (key.0, to_wire(*state)));
        Self(WIRE_VERSION, news.holder.clone(), leases.collect())
    }
}

fn to_wire(state: LeaseState) -> u8 {
    match state {
        LeaseState::Claimed => 0,
        LeaseState::InUse => 1,
        LeaseState::Ended => 2,
    }
}

fn from_wire(state: u8) -> Option<LeaseState> {
    match state {
        0 => Some(LeaseState::Claimed),
        1 => Some(LeaseState::InUse),
        2 => Some(LeaseState::Ended),
        _ => None,
    }
}

impl LeaseNews {
    /// Encodes the message.
    pub fn encode(&self) -> Vec<u8> {
        let mut buf = vec![MESSAGE];
        // Writing to a vector cannot fail, and every field can be encoded.
        if ciborium::into_writer(&WireLeases::from(self), &mut buf).is_err() {
            buf.clear();
        }
        buf
    }

    /// Decodes a message; returns `None` for invalid data, other messages and other versions.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let bytes = bytes.strip_prefix(&[MESSAGE])?;
        let WireLeases(version, holder, leases) = ciborium::from_reader(bytes).ok()?;
        let is_label = holder.len() <= MAX_LABEL_BYTES && !holder.contains(char::is_control);
        if version != WIRE_VERSION || !is_label || leases.len() > MAX_LEASES {
            return None;
        }
        let leases = leases.into_iter();
        let leases = leases.map(|(key, state)| Some((PartKey(key), from_wire(state)?)));
        Some(Self {
            holder,
            leases: leases.collect::<Option<_>>()?,
        })
    }
}
