//! Identifiers of instances, organisations, services and groups, and positions in the log.

use std::fmt;

use serde::{
    Deserialize,
    Serialize, //
};
use snafu::{
    Snafu, //
    ensure,
};
use strum::{
    Display,
    EnumString,
    IntoStaticStr, //
};

/// Longest accepted identifier, in bytes.
const MAX_ID_LEN: usize = 64;

/// An identifier with an invalid length or invalid characters.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display(
    "identifier {raw:?} is not accepted: use 1 to 64 of a-z, A-Z, 0-9, '-', '_' and '.'"
))]
pub struct IdError {
    raw: String,
}

fn check_id(raw: &str) -> Result<(), IdError> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    let accepted = !raw.is_empty() && raw.len() <= MAX_ID_LEN && raw.chars().all(allowed);
    ensure!(accepted, IdSnafu { raw });
    Ok(())
}

macro_rules! string_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(
            /// Between 1 and 64 bytes of `a-z`, `A-Z`, `0-9`, `-`, `_` and `.`.
            String,
        );

        impl $name {
            /// Returns the identifier as a string.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<String> for $name {
            type Error = IdError;

            fn try_from(raw: String) -> Result<Self, IdError> {
                check_id(&raw)?;
                Ok(Self(raw))
            }
        }

        impl TryFrom<&str> for $name {
            type Error = IdError;

            fn try_from(raw: &str) -> Result<Self, IdError> {
                Self::try_from(raw.to_owned())
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> Self {
                id.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

string_id! {
    /// Name of an instance of the daemon, unique in the fleet.
    InstanceId
}
string_id! {
    /// Name of an availability zone.
    ZoneId
}
string_id! {
    /// Name of an organisation.
    OrganisationId
}
string_id! {
    /// Name of a caller's key, unique in its organisation.
    KeyId
}
string_id! {
    /// Name of a service that callers reach through the fleet.
    ServiceId
}
string_id! {
    /// Name of a backend server.
    BackendId
}
string_id! {
    /// Name of a model.
    ModelId
}
string_id! {
    /// Identifier of a batch job: `<job group>-<hash of organisation and idempotency key>`.
    JobId
}
string_id! {
    /// Identifier that an operator's tool assigns to a publication; a resend has the same one.
    PublicationId
}

/// One run of an instance's process; each restart is a new incarnation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation {
    /// The instance.
    pub instance: InstanceId,
    /// Start of the process in milliseconds since the Unix epoch; increases with each restart.
    pub started: u64,
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.instance, self.started)
    }
}

/// Position of a record in a log stream; the first record has offset 0.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Offset(pub u64);

impl Offset {
    /// Returns the next offset.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// Fencing number of an ownership claim: the offset of its record plus 1, so 0 is never an epoch.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Epoch(pub u64);

/// Version of the accepted configuration; 0 is the empty one before the first publication.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Version(pub u64);

/// Kind of a group: what its owner is responsible for.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    EnumString,
    IntoStaticStr,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum GroupKind {
    /// The batch jobs whose organisation and idempotency key hash to the group.
    Jobs,
    /// The rate limits of the organisations that hash to the group.
    Quota,
    /// The batch slots of the backend servers that hash to the group.
    Engine,
}

/// A unit of ownership; at most one instance acts for a group at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GroupId {
    /// Kind of the group.
    pub kind: GroupKind,
    /// Index, below the number of groups of that kind.
    pub index: u16,
}

impl GroupId {
    /// Returns the group, of `count` groups of `kind`, to which `key` hashes.
    pub fn of(kind: GroupKind, key: &[u8], count: u16) -> Self {
        let hash = xxhash_rust::xxh3::xxh3_64(key);
        let index = hash % u64::from(count.max(1));
        Self {
            kind,
            index: u16::try_from(index).unwrap_or(0),
        }
    }
}

impl fmt::Display for GroupId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}", self.kind, self.index)
    }
}
