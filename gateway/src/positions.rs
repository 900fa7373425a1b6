//! How current an instance's knowledge of the jobs is, and which peers answer calls in its place.
//!
//! The store may turn a third of the instances away for many seconds and serve the others. Callers
//! read results at all of them, so an instance that falls behind passes the calls on.

use std::cmp::Reverse;
use std::time::Duration;

use limpetweir_state::Timestamp;

/// Time after which an instance that peers are ahead of counts as behind. Usually a read ends a few
/// milliseconds after an append; callers are promised every result within a second.
const LAG: Duration = Duration::from_millis(300);

/// Time after which an instance that peers are ahead of reads again: the store does not wake a read
/// that arrives while an append is in progress.
const WAKE: Duration = Duration::from_millis(80);

/// What an instance knows of a partition of the jobs that it holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    /// The partition.
    pub partition: u32,
    /// Offset of the next record.
    pub next: u64,
    /// Whether the store answers its reads.
    pub reads: bool,
}

/// What a call about jobs does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// It reads what is known of a job.
    Read,
    /// It ends a job.
    End,
    /// It submits a job.
    Submit,
}

impl CallKind {
    /// Returns whether the call may be made again after it may have been executed.
    pub(crate) fn is_repeatable(self) -> bool {
        match self {
            Self::Read | Self::End => true,
            // A repetition that is refused would hide that the job was taken.
            Self::Submit => false,
        }
    }
}

/// How current this instance's knowledge of a partition is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Freshness {
    /// Whether the store does not answer reads.
    pub lost: bool,
    /// Highest offset that a peer stated, and since when this instance has been behind one.
    behind: Option<(u64, Timestamp)>,
    /// Offset for which the read was woken last.
    woken: u64,
}

impl Freshness {
    /// Notes that a peer has read up to `theirs`.
    pub fn peer_advanced(&mut self, theirs: u64, own: u64, now: Timestamp) {
        self.advanced(own);
        if theirs > own {
            let (ahead, since) = self.behind.unwrap_or((theirs, now));
            self.behind = Some((ahead.max(theirs), since));
        }
    }

    /// Notes that this instance has read up to `own`.
    pub fn advanced(&mut self, own: u64) {
        self.behind = self.behind.filter(|(ahead, _)| *ahead > own);
    }

    /// Returns whether to end the read that waits and read again; once for each offset.
    pub fn should_repeat_read(&mut self, now: Timestamp) -> bool {
        let due = self.behind.filter(|(_, since)| now.since(*since) >= WAKE);
        let ahead = due.map_or(0, |(ahead, _)| ahead);
        let wakes = !self.lost && ahead > self.woken;
        self.woken = self.woken.max(ahead);
        wakes
    }

    fn is_behind(&self, now: Timestamp) -> bool {
        self.behind
            .is_some_and(|(_, since)| now.since(since) >= LAG)
    }
}

/// Returns the peers that answer a call better than this instance, the best one first; none if this
/// instance answers it. `own` is the offset up to which it has read the partition, if it has.
pub fn forward_targets<'a>(
    own: Option<u64>,
    freshness: &Freshness,
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
    let mut better: Vec<_> = peers.filter(|(_, p)| p.reads && p.next >= least).collect();
    better.sort_by_key(|(name, p)| (Reverse(p.next), *name));
    better.into_iter().map(|(name, _)| name).collect()
}

/// Returns the holders of a partition that run its items: those that the store answers, because the
/// others cannot write results; all of them if it answers none. A holder that has just taken the
/// partition over has not stated yet whether the store answers it.
pub fn runners<'a>(replicas: &[(&'a str, Option<bool>)]) -> Vec<&'a str> {
    let all = || replicas.iter().map(|(name, _)| *name);
    let answered = replicas.iter().filter(|(_, reads)| *reads != Some(false));
    let answered: Vec<&str> = answered.map(|(name, _)| *name).collect();
    if answered.is_empty() {
        all().collect()
    } else {
        answered
    }
}
