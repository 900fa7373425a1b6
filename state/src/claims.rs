//! Ownership of groups, as a fold over the `claims` stream.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::ids::{
    Epoch,
    GroupId,
    Incarnation,
    Offset, //
};
use crate::log::Fold;

/// A data record of the `claims` stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimRecord {
    /// Makes `holder` the owner of the group.
    Claim {
        /// The group.
        group: GroupId,
        /// The new owner.
        holder: Incarnation,
        /// Time for which the holder may act after a confirmed read of the stream.
        lease: Duration,
    },
    /// Ends the claim with the given epoch.
    Release {
        /// The group.
        group: GroupId,
        /// Epoch of the released claim.
        epoch: Epoch,
    },
}

/// A claim of one group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Process that owns the group, or owned it if the claim is released.
    pub holder: Incarnation,
    /// Epoch of the claim, used as its fencing number.
    pub epoch: Epoch,
    /// Time for which the holder may act after a confirmed read of the stream.
    pub lease: Duration,
    /// Whether the holder released the group.
    pub released: bool,
}

/// Effect of a record of the `claims` stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimEvent {
    /// The group has a new owner.
    Claimed {
        /// The group.
        group: GroupId,
        /// Epoch of the new claim.
        epoch: Epoch,
        /// Previous claim of the group, if any.
        former: Option<Claim>,
    },
    /// The holder released the group.
    Released {
        /// The group.
        group: GroupId,
        /// Epoch of the released claim.
        epoch: Epoch,
    },
    /// The release has no effect, because its epoch is not that of a current claim.
    StaleRelease {
        /// The group.
        group: GroupId,
        /// Epoch in the release record.
        epoch: Epoch,
    },
}

/// Latest claim of each group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claims {
    groups: BTreeMap<GroupId, Claim>,
}

impl Claims {
    /// Returns the latest claim of a group, even if it is released.
    pub fn get(&self, group: GroupId) -> Option<&Claim> {
        self.groups.get(&group)
    }

    /// Returns every group that was ever claimed, with its latest claim.
    pub fn iter(&self) -> impl Iterator<Item = (GroupId, &Claim)> {
        self.groups.iter().map(|(group, claim)| (*group, claim))
    }

    /// Returns the epoch under which `holder` owns the group, or `None` if it does not own it.
    pub fn epoch_of(&self, group: GroupId, holder: &Incarnation) -> Option<Epoch> {
        let claim = self.groups.get(&group)?;
        let owned = !claim.released && claim.holder == *holder;
        owned.then_some(claim.epoch)
    }
}

impl Fold for Claims {
    type Record = ClaimRecord;
    type Event = ClaimEvent;

    fn apply(&mut self, at: Offset, record: ClaimRecord) -> ClaimEvent {
        match record {
            ClaimRecord::Claim {
                group,
                holder,
                lease,
            } => {
                let epoch = Epoch(at.next().0);
                let claim = Claim {
                    holder,
                    epoch,
                    lease,
                    released: false,
                };
                let former = self.groups.insert(group, claim);
                ClaimEvent::Claimed {
                    group,
                    epoch,
                    former,
                }
            }
            ClaimRecord::Release { group, epoch } => match self.groups.get_mut(&group) {
                Some(claim) if claim.epoch == epoch && !claim.released => {
                    claim.released = true;
                    ClaimEvent::Released { group, epoch }
                }
                _ => ClaimEvent::StaleRelease { group, epoch },
            },
        }
    }
}
