//! Whether the store answers this instance, and how many calls may be made twice.

use std::collections::BTreeMap;
use std::time::Duration;

use limpetweir_state::Timestamp;

/// Failed calls in a row after which calls go through a peer first. A single one may be a connection that
/// the store has closed.
const PEERS_FIRST_AFTER: u32 = 2;

/// Age of the last answer up to which the store answers this instance. The reads of the configuration
/// wait for one second and follow each other without a pause.
const ANSWER_AGE: Duration = Duration::from_millis(1_500);

/// Time for which a peer is used last after it has failed to relay a call. It reports within 250 ms
/// that the store turns it away.
const AVOID_TIME: Duration = Duration::from_secs(1);

/// Credits that a second attempt takes while the first one is still running.
const OVERLAP_COST: u32 = 10;

/// Largest number of credits: four overlapping attempts in a row that gain nothing.
const MAX_CREDITS: u32 = 40;

/// Outcomes of the calls of this instance to the store.
///
/// Attempts that overlap with an earlier one take credits, which they return if they are the first to
/// succeed. Calls that are answered in time add some. With a store that is slow to all instances,
/// overlapping attempts gain nothing and thus end.
#[derive(Clone, Debug)]
pub struct StoreAccess {
    /// Calls that failed since the last answer.
    failures: u32,
    /// When the last of the calls that failed was sent. The answer to an earlier one does not show that the
    /// store serves this instance again: a read that waits at the store is answered seconds later.
    failed_sent: Timestamp,
    /// Time of the last answer.
    answered: Option<Timestamp>,
    /// At most [`MAX_CREDITS`].
    credits: u32,
    /// Peers that have failed to relay a call, and when.
    failed_peers: BTreeMap<String, Timestamp>,
}

impl Default for StoreAccess {
    fn default() -> Self {
        Self {
            failures: 0,
            failed_sent: Timestamp::default(),
            answered: None,
            credits: MAX_CREDITS,
            failed_peers: BTreeMap::new(),
        }
    }
}

impl StoreAccess {
    /// Records the end of an own call that was sent at `sent`; returns whether the store has begun or
    /// ceased to turn this instance away.
    pub fn call_ended(&mut self, is_answered: bool, sent: Timestamp, now: Timestamp) -> bool {
        let before = self.is_turned_away();
        if !is_answered {
            self.failures = self.failures.saturating_add(1);
            self.failed_sent = self.failed_sent.max(sent);
        } else if self.failures == 0 || sent >= self.failed_sent {
            self.failures = 0;
            self.answered = Some(now);
        }
        before != self.is_turned_away()
    }

    /// Records that a call sent at `sent` was still without an answer when a peer had made it. The next
    /// calls would take as long. Returns whether the store has begun to turn this instance away.
    pub fn call_overtaken(&mut self, sent: Timestamp) -> bool {
        let before = self.is_turned_away();
        self.failures = self.failures.max(PEERS_FIRST_AFTER);
        self.failed_sent = self.failed_sent.max(sent);
        before != self.is_turned_away()
    }

    /// Returns whether calls go through a peer first. The own reads that follow the topics go on, and an
    /// answer to one of them makes the direct way the first one again.
    pub fn is_turned_away(&self) -> bool {
        self.failures >= PEERS_FIRST_AFTER
    }

    /// Returns whether peers may have this instance make calls for them.
    pub fn answers(&self, now: Timestamp) -> bool {
        let is_recent = |answered| now.since(answered) <= ANSWER_AGE;
        !self.is_turned_away() && self.answered.is_some_and(is_recent)
    }

    /// Takes the credits of an attempt that overlaps with an earlier one; returns whether there were any.
    pub fn take_overlap(&mut self) -> bool {
        let rest = self.credits.checked_sub(OVERLAP_COST);
        self.credits = rest.unwrap_or(self.credits);
        rest.is_some()
    }

    /// Records that a call succeeded after `overlaps` overlapping attempts, one of which was the first to
    /// succeed if `by_later_attempt`.
    pub fn succeeded(&mut self, overlaps: u32, by_later_attempt: bool) {
        let gained = match (overlaps, by_later_attempt) {
            (0, false) => 1,
            (_, true) => overlaps.saturating_mul(OVERLAP_COST),
            (_, false) => 0,
        };
        self.credits = self.credits.saturating_add(gained).min(MAX_CREDITS);
    }

    /// Records that a peer has not made a call, or not in time.
    pub fn peer_failed(&mut self, peer: &str, now: Timestamp) {
        self.failed_peers
            .retain(|_, failed| now.since(*failed) < AVOID_TIME);
        self.failed_peers.insert(peer.to_owned(), now);
    }

    /// Returns whether a peer has failed to relay a call a moment ago.
    pub fn has_failed(&self, peer: &str, now: Timestamp) -> bool {
        let failed = self.failed_peers.get(peer);
        failed.is_some_and(|failed| now.since(*failed) < AVOID_TIME)
    }
}
