//! How far an instance has read the jobs, and the peers to which it forwards calls if it lags.
//!
//! The store may reject the calls of a third of the instances for many seconds while it serves the
//! others. Callers read results at all instances, so an instance that lags forwards the calls.

use std::cmp::Reverse;
use std::time::Duration;

use hyper::StatusCode;
use limpetweir_state::{
    Timestamp,
    Verdict, //
};

/// Time after which an instance that peers are ahead of counts as behind. Usually a read returns a
/// few milliseconds after an append; callers are guaranteed every result within a second.
const BEHIND_AFTER: Duration = Duration::from_millis(300);

/// Time after which an instance that peers are ahead of repeats its read: the store does not
/// complete a waiting read that arrived while an append was in progress.
const REPEAT_READ_AFTER: Duration = Duration::from_millis(80);

/// Read position of an instance in a partition of the jobs of which it is a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    /// The partition.
    pub partition: u32,
    /// Offset of the next record.
    pub next: u64,
    /// Whether the store responds to the instance's reads.
    pub reads: bool,
}

/// Kind of a call about jobs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// Reads the state of a job.
    Read,
    /// Ends a job.
    End,
    /// Submits a job.
    Submit,
}

impl CallKind {
    /// Returns whether the call may be repeated when it may have been executed.
    pub(crate) fn is_repeatable(self) -> bool {
        match self {
            Self::Read | Self::End => true,
            // A rejection of the repeated call would hide that the job was accepted.
            Self::Submit => false,
        }
    }

    /// Returns whether a replica's answer is final although the call may have taken effect at another one
    /// before. A job that is submitted twice is the same job, but a refusal says nothing about the first
    /// submission.
    pub fn is_final_after_loss(self, status: StatusCode) -> bool {
        self != Self::Submit || status == StatusCode::ACCEPTED
    }

    /// Returns whether the call may have changed something at a replica that gave no answer, so that a
    /// refusal of another one must not be passed on as "no effect".
    pub fn may_have_effect(self, verdict: Verdict) -> bool {
        self != Self::Read && verdict != Verdict::NotRun
    }
}

/// Freshness of this instance's copy of a partition.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PartitionFreshness {
    /// Whether the store fails to respond to reads.
    pub lost: bool,
    /// Highest offset that a peer reported, and since when this instance has been behind a peer.
    behind: Option<(u64, Timestamp)>,
    /// Own offset, and when it was first observed. No read from it began before that.
    observed: Option<(u64, Timestamp)>,
    /// Own offset from which a read was last repeated.
    repeated_from: Option<u64>,
}

impl PartitionFreshness {
    /// Records that a peer has read up to `peer_offset`.
    pub fn peer_advanced(&mut self, peer_offset: u64, own: u64, now: Timestamp) {
        self.advanced(own);
        self.observe(own, now);
        if peer_offset > own {
            let (ahead, since) = self.behind.unwrap_or((peer_offset, now));
            self.behind = Some((ahead.max(peer_offset), since));
        }
    }

    /// Records that this instance has read up to `own`.
    pub fn advanced(&mut self, own: u64) {
        self.behind = self.behind.filter(|(ahead, _)| *ahead > own);
    }

    /// Returns whether to cancel the read from `own` and to repeat it. The repeated read returns
    /// records without waiting, so it is left to end however far the peers read meanwhile:
    /// cancelling it would only make the store transfer the same records again.
    pub fn should_repeat_read(&mut self, own: u64, now: Timestamp) -> bool {
        let started = self.observe(own, now);
        let due = self.behind.is_some_and(|(_, behind_since)| {
            now.since(behind_since.max(started)) >= REPEAT_READ_AFTER
        });
        let repeat = due && !self.lost && self.repeated_from != Some(own);
        if repeat {
            self.repeated_from = Some(own);
        }
        repeat
    }

    /// Returns when the own offset was first observed to be `own`.
    fn observe(&mut self, own: u64, now: Timestamp) -> Timestamp {
        match self.observed {
            Some((observed, since)) if observed == own => since,
            _ => {
                self.observed = Some((own, now));
                now
            }
        }
    }

    /// Returns whether a peer has read more than this instance, so that a read may have to be repeated.
    pub fn is_peer_ahead(&self) -> bool {
        self.behind.is_some()
    }

    fn is_behind(&self, now: Timestamp) -> bool {
        self.behind
            .is_some_and(|(_, since)| now.since(since) >= BEHIND_AFTER)
    }
}

/// Returns the peers to which a call is forwarded, the best one first; none if this instance
/// handles it. `own` is the offset up to which it has read the partition, if it is a replica.
pub fn forward_targets<'a>(
    own: Option<u64>,
    freshness: &PartitionFreshness,
    kind: CallKind,
    peers: impl IntoIterator<Item = (&'a str, Position)>,
    now: Timestamp,
) -> Vec<&'a str> {
    let current = match kind {
        CallKind::Read => !freshness.lost && !freshness.is_behind(now),
        CallKind::End | CallKind::Submit => !freshness.lost,
    };
    if own.is_some() && current {
        return Vec::new();
    }
    let least = match kind {
        CallKind::Read => own.unwrap_or(0),
        CallKind::End | CallKind::Submit => 0,
    };
    let peers = peers.into_iter();
    let mut targets: Vec<_> = peers.filter(|(_, p)| p.reads && p.next >= least).collect();
    targets.sort_by_key(|(name, p)| (Reverse(p.next), *name));
    targets.into_iter().map(|(name, _)| name).collect()
}

/// Returns the replicas of a partition that run its items: those with access to the store, because
/// the others cannot write results, or all if none has access. A replica to which the partition has
/// just been assigned has not reported its access yet, and counts as if it had access.
pub fn runners<'a>(replicas: &[(&'a str, Option<bool>)]) -> Vec<&'a str> {
    let all = || replicas.iter().map(|(name, _)| *name);
    let with_access = replicas.iter().filter(|(_, reads)| *reads != Some(false));
    let with_access: Vec<&str> = with_access.map(|(name, _)| *name).collect();
    if with_access.is_empty() {
        all().collect()
    } else {
        with_access
    }
}
