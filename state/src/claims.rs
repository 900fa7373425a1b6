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
    /// Makes `holder` the owner of a group.
    Claim {
        /// The group.
        group: GroupId,
        /// The new owner.
        holder: Incarnation,
        /// Time for which the holder may act after a confirmed read of the stream.
        lease: Duration,
    },
    /// Ends the ownership that began with `epoch`.
    Release {
        /// The group.
        group: GroupId,
        /// Epoch of the claim that ends.
        epoch: Epoch,
    },
}

/// Ownership of one group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Process that owns or owned the group.
    pub holder: Incarnation,
    /// Fencing number of the claim.
    pub epoch: Epoch,
    /// Time for which the holder may act after a confirmed read of the stream.
    pub lease: Duration,
    /// Whether the holder gave the group up.
    pub released: bool,
}

/// What a record of the `claims` stream did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimEvent {
    /// The group has a new owner.
    Claimed {
        /// The group.
        group: GroupId,
        /// Epoch of the new claim.
        epoch: Epoch,
        /// The claim before.
        former: Option<Claim>,
    },
    /// The holder gave the group up.
    Released {
        /// The group.
        group: GroupId,
        /// Epoch of the claim that ended.
        epoch: Epoch,
    },
    /// The release names a claim that is not the current one, and has no effect.
    StaleRelease {
        /// The group.
        group: GroupId,
        /// Epoch that the release names.
        epoch: Epoch,
    },
}

/// Newest claim of each group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claims {
    groups: BTreeMap<GroupId, Claim>,
}

impl Claims {
    /// Returns the newest claim of a group.
    pub fn get(&self, group: GroupId) -> Option<&Claim> {
        self.groups.get(&group)
    }

    /// Returns all groups that were ever claimed.
    pub fn iter(&self) -> impl Iterator<Item = (GroupId, &Claim)> {
        self.groups.iter().map(|(group, claim)| (*group, claim))
    }

    /// Returns the epoch under which `holder` owns the group, if it does.
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
