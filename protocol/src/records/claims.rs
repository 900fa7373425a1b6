//! Wire type of the `claims` stream.

use std::time::Duration;

use limpetweir_state::{
    ClaimRecord,
    Epoch,
    GroupId,
    Incarnation, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use super::StreamRecord;

#[derive(Serialize, Deserialize)]
#[doc(hidden)]
pub enum WireClaim {
    Claim {
        group: GroupId,
        holder: Incarnation,
        lease_ms: u64,
    },
    Release {
        group: GroupId,
        epoch: Epoch,
    },
}

impl StreamRecord for ClaimRecord {
    type Wire = WireClaim;
}

impl From<ClaimRecord> for WireClaim {
    fn from(record: ClaimRecord) -> Self {
        match record {
            ClaimRecord::Claim {
                group,
                holder,
                lease,
            } => Self::Claim {
                group,
                holder,
                lease_ms: u64::try_from(lease.as_millis()).unwrap_or(u64::MAX),
            },
            ClaimRecord::Release { group, epoch } => Self::Release { group, epoch },
        }
    }
}

impl TryFrom<WireClaim> for ClaimRecord {
    type Error = String;

    fn try_from(wire: WireClaim) -> Result<Self, String> {
        Ok(match wire {
            WireClaim::Claim {
                group,
                holder,
                lease_ms,
            } => Self::Claim {
                group,
                holder,
                lease: Duration::from_millis(lease_ms),
            },
            WireClaim::Release { group, epoch } => Self::Release { group, epoch },
        })
    }
}
