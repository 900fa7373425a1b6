//! How often instances hear of each other, and what of the counts is stated to whom.
//!
//! Load answered: with regular reports of each of 300 instances to all others, most of the processor
//! time of a fleet was spent on reports between instances that serve nobody. Instances that place
//! requests on the same servers hear of every change; the less two instances depend on each other,
//! the longer is the time between their reports.

use std::collections::HashMap;
use std::net::IpAddr;

use xxhash_rust::xxh3::xxh3_64;

use crate::quota::OrganisationKey;
use crate::report::Report;

/// Regular reports after which the counts of all organisations are stated again; those between state
/// what has changed. A lost one is made up for with the next change of a count, or then.
const FULL_COUNTS_EVERY: usize = 8;

/// Instances for which the rounds between cells are made. In a larger fleet they take longer in
/// proportion, so that an instance receives no more reports.
const FLEET: usize = 300;

/// What decides how often one instance tells another one of itself.
#[derive(Clone, Copy, Debug)]
pub struct PeerRelation {
    /// Whether they are in the same cell, or one uses servers of the other one's cell.
    pub near: bool,
    /// Whether they hold the same jobs.
    pub shares_jobs: bool,
    /// Whether the sender has work or is on a large machine, which callers are sent to.
    pub sender_busy: bool,
    /// The same of the receiver.
    pub receiver_busy: bool,
}

impl PeerRelation {
    /// Returns the regular rounds from one report to the next in a fleet of `instances` that is
    /// divided into cells.
    pub fn interval_ticks(self, instances: usize) -> usize {
        let both_busy = self.sender_busy && self.receiver_busy;
        if self.shares_jobs || (self.near && both_busy) {
            return 1;
        }
        if self.near {
            return 4;
        }
        let interval_ticks = match (self.sender_busy, self.receiver_busy) {
            (true, true) => 4,
            // It admits nothing that depends on the counts.
            (true, false) => 8,
            // The sender has nothing to tell but that it lives.
            (false, true) => 16,
            (false, false) => 32,
        };
        interval_ticks * instances.div_ceil(FLEET).max(1)
    }
}

/// Another instance that may be told of this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Receiver {
    /// Its address.
    pub addr: IpAddr,
    /// Regular rounds from one report to the next.
    pub interval_ticks: usize,
    /// Whether it hears of every change.
    pub immediate: bool,
    /// Whether it is told everything now, because it knows nothing of this instance.
    pub full: bool,
}

/// A report and the addresses that it goes to.
#[derive(Clone, Debug, PartialEq)]
pub struct OutgoingReport {
    /// The report.
    pub report: Report,
    /// Addresses of the receivers.
    pub addrs: Vec<IpAddr>,
}

/// Instances that get the same regular reports, and the counts last stated to them.
#[derive(Debug, Default)]
struct ReceiverGroup {
    stated: HashMap<OrganisationKey, u64>,
    reports: usize,
}

impl ReceiverGroup {
    /// Leaves the counts out of `report` that were stated already.
    fn shorten(&mut self, report: &mut Report, regular: bool) {
        let all = report.admitted.clone();
        if !regular || !self.reports.is_multiple_of(FULL_COUNTS_EVERY) {
            let stated = &self.stated;
            let changed = |(key, count): &(_, u64)| stated.get(key) != Some(count);
            report.admitted.retain(changed);
        }
        if regular {
            self.reports += 1;
            self.stated = all.into_iter().collect();
        }
    }
}

/// Receivers with the same time between reports, and their turn among the regular rounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct TickPhase {
    interval_ticks: usize,
    phase: usize,
}

impl TickPhase {
    /// Returns the turn of an instance, which stays the same while others come and go.
    fn of(receiver: &Receiver) -> Self {
        let hash = match receiver.addr {
            IpAddr::V4(addr) => xxh3_64(&addr.octets()),
            IpAddr::V6(addr) => xxh3_64(&addr.octets()),
        };
        let interval_ticks = receiver.interval_ticks.max(1);
        Self {
            interval_ticks,
            // The remainder is below the number of rounds.
            phase: (hash % interval_ticks as u64) as usize,
        }
    }

    fn is_in(self, tick: Option<usize>) -> bool {
        tick.is_some_and(|tick| tick % self.interval_ticks == self.phase)
    }
}

/// Those who are told of this instance, by their turns.
#[derive(Debug, Default)]
pub struct ReportSchedule(HashMap<TickPhase, ReceiverGroup>);

impl ReportSchedule {
    /// Returns what is sent to whom. `report` states the time to the next regular round, and `round`
    /// is the number of this one if it is regular.
    pub fn outgoing(
        &mut self,
        report: &Report,
        receivers: &[Receiver],
        tick: Option<usize>,
    ) -> Vec<OutgoingReport> {
        let mut groups: HashMap<(TickPhase, bool), Vec<IpAddr>> = HashMap::new();
        for receiver in receivers {
            let phase = TickPhase::of(receiver);
            if receiver.immediate || receiver.full || phase.is_in(tick) {
                let group = groups.entry((phase, receiver.full)).or_default();
                group.push(receiver.addr);
            }
        }
        let outgoing = groups.into_iter().map(|((phase, full), addrs)| {
            let mut report = report.clone();
            report.next_ms *= u32::try_from(phase.interval_ticks).unwrap_or(u32::MAX);
            if !full {
                let group = self.0.entry(phase).or_default();
                group.shorten(&mut report, phase.is_in(tick));
            }
            OutgoingReport { report, addrs }
        });
        outgoing.collect()
    }
}
