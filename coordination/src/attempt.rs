//! Identifiers of attempts to run a batch item.

use std::fmt;
use std::str::FromStr;

use limpetweir_state::{
    Epoch,
    GroupId,
    GroupKind, //
};
use snafu::{
    OptionExt,
    Snafu, //
};

/// Identifies one attempt to run an item.
///
/// Unique in the fleet, because epochs of a group are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// Job group of the item.
    pub group: GroupId,
    /// Epoch under which the owner dispatched the item.
    pub epoch: Epoch,
    /// Sequence number of the attempt within the epoch.
    pub number: u64,
}

/// Error for text that is not a valid attempt id.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{raw:?} is not an attempt id of the form jobs-<group>-<epoch>-<number>"))]
pub struct AttemptIdError {
    raw: String,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{}-{}", self.group, self.epoch.0, self.number)
    }
}

impl FromStr for AttemptId {
    type Err = AttemptIdError;

    fn from_str(raw: &str) -> Result<Self, AttemptIdError> {
        parse(raw).context(AttemptIdSnafu { raw })
    }
}

fn parse(raw: &str) -> Option<AttemptId> {
    let mut parts = raw.split('-');
    let kind = parts.next()?.parse().ok()?;
    let index = parts.next()?.parse().ok()?;
    let epoch = parts.next()?.parse().ok()?;
    let number = parts.next()?.parse().ok()?;
    let complete = parts.next().is_none() && kind == GroupKind::Jobs;
    complete.then_some(AttemptId {
        group: GroupId { kind, index },
        epoch: Epoch(epoch),
        number,
    })
}
