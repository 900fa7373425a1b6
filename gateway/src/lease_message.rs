//! Encoding of what instances tell each other about leases.

use serde::{
    Deserialize,
    Serialize, //
};

use crate::checked::MAX_LABEL_BYTES;
use crate::leases::{
    LeaseAck,
    LeaseNews,
    LeaseState, //
};
use crate::prompt::PartKey;

/// First byte of a message with leases. Builds that do not know these messages ignore them.
const MESSAGE: u8 = 0x52;

/// First byte of an acknowledgement.
const ACK: u8 = 0x53;

/// Version of the encoding; messages of another version are ignored. Those of version 1 had no numbers.
const WIRE_VERSION: u8 = 2;

/// Maximum number of leases in a message.
const MAX_LEASES: usize = 512;

/// Encoded form of a message; fields are identified by position to keep it small.
#[derive(Deserialize, Serialize)]
struct WireLeases(u8, String, u64, Vec<(u64, u8)>);

/// Encoded form of an acknowledgement.
#[derive(Deserialize, Serialize)]
struct WireAck(u8, String, u64, Vec<u64>);

impl From<&LeaseNews> for WireLeases {
    fn from(news: &LeaseNews) -> Self {
        let leases = news.leases.iter().take(MAX_LEASES);
        let leases = leases.map(|(key, state)| (key.0, to_wire(*state)));
        Self(
            WIRE_VERSION,
            news.holder.clone(),
            news.number,
            leases.collect(),
        )
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
        encode(MESSAGE, &WireLeases::from(self))
    }

    /// Decodes a message; returns `None` for invalid data, other messages and other versions.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let bytes = bytes.strip_prefix(&[MESSAGE])?;
        let WireLeases(version, holder, number, leases) = ciborium::from_reader(bytes).ok()?;
        if version != WIRE_VERSION || !is_label(&holder) || leases.len() > MAX_LEASES {
            return None;
        }
        let leases = leases.into_iter();
        let leases = leases.map(|(key, state)| Some((PartKey(key), from_wire(state)?)));
        Some(Self {
            holder,
            number,
            leases: leases.collect::<Option<_>>()?,
        })
    }
}

impl LeaseAck {
    /// Encodes the message.
    pub fn encode(&self) -> Vec<u8> {
        let keys = self.keys.iter().take(MAX_LEASES).map(|key| key.0);
        let wire = WireAck(WIRE_VERSION, self.from.clone(), self.number, keys.collect());
        encode(ACK, &wire)
    }

    /// Decodes the message; returns `None` for invalid data, other messages and other versions.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let bytes = bytes.strip_prefix(&[ACK])?;
        let WireAck(version, from, number, keys) = ciborium::from_reader(bytes).ok()?;
        if version != WIRE_VERSION || !is_label(&from) || keys.len() > MAX_LEASES {
            return None;
        }
        let keys = keys.into_iter().map(PartKey).collect();
        Some(Self { from, number, keys })
    }
}

fn encode(first: u8, wire: &impl Serialize) -> Vec<u8> {
    let mut buf = vec![first];
    // Writing to a vector cannot fail, and every field can be encoded.
    if ciborium::into_writer(wire, &mut buf).is_err() {
        buf.clear();
    }
    buf
}

fn is_label(name: &str) -> bool {
    name.len() <= MAX_LABEL_BYTES && !name.contains(char::is_control)
}
