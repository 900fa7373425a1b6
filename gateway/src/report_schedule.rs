//! Intervals of the reports between instances, and the admission counts in each report.
//!
//! Load pattern: with reports from each of 300 instances to all others at every tick, most of the
//! processor time of a fleet was spent on reports between idle instances. Instances that place
//! requests on the same servers report every change to each other; the less two instances depend on
//! each other, the longer is their report interval.

use std::collections::HashMap;
use std::net::IpAddr;

use xxhash_rust::xxh3::xxh3_64;

use crate::backend::RunKey;
use crate::quota::OrganisationKey;
use crate::report::Report;

/// Every this many periodic reports contain the counts of all organisations; those in between
/// contain the changed ones. A lost count is replaced by the next change of it, or by the next
/// report with all counts.
const FULL_COUNTS_EVERY: usize = 8;

/// Fleet size for which the report intervals between cells are chosen. In a larger fleet they grow
/// in proportion, so that an instance receives no more reports.
const REFERENCE_FLEET: usize = 300;

/// Relation between the sender and the receiver of reports, which determines the report interval.
#[derive(Clone, Copy, Debug)]
pub struct PeerRelation {
    /// Whether they are in the same cell, or one uses servers of the other one's cell.
    pub near: bool,
    /// Whether they are replicas of the same jobs.
    pub shares_jobs: bool,
    /// Whether the sender has work or is on a large machine, to which callers are directed.
    pub sender_busy: bool,
    /// The same for the receiver.
    pub receiver_busy: bool,
}

impl PeerRelation {
    /// Returns the report interval in ticks in a fleet of `instances` that is divided into cells.
    pub fn interval_ticks(self, instances: usize) -> usize {
        let both_busy = self.sender_busy && self.receiver_busy;
        if self.shares_jobs || (self.near && both_busy) {
            return 1;
        }
        if self.near {
            // Without work a report only shows that the sender is running.
            return if self.sender_busy { 4 } else { 8 };
        }
        let interval_ticks = match (self.sender_busy, self.receiver_busy) {
            (true, true) => 4,
            // The receiver admits nothing that depends on the counts.
            (true, false) => 8,
            // The report only shows that the sender is running.
            (false, true) => 16,
            (false, false) => 32,
        };
        interval_ticks * instances.div_ceil(REFERENCE_FLEET).max(1)
    }
}

/// Another instance to which reports are sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Receiver {
    /// Its address.
    pub addr: IpAddr,
    /// Report interval in ticks.
    pub interval_ticks: usize,
    /// Whether every change is reported to it immediately.
    pub immediate: bool,
    /// Whether it gets a full report now, because it has no report of this instance yet.
    pub full: bool,
}

/// A report and its destination addresses.
#[derive(Clone, Debug, PartialEq)]
pub struct OutgoingReport {
    /// The report.
    pub report: Report,
    /// Addresses of the receivers.
    pub addrs: Vec<IpAddr>,
}

/// Receivers that get the same periodic reports, and the counts last sent to them.
#[derive(Debug, Default)]
struct ReceiverGroup {
    sent_counts: HashMap<OrganisationKey, u64>,
    sent_limits: HashMap<RunKey, (Option<f64>, u64)>,
    reports: usize,
}

impl ReceiverGroup {
    /// Removes the counts and limits that were already sent from `report`.
    fn remove_sent_counts(&mut self, report: &mut Report, periodic: bool) {
        let all = report.admitted.clone();
        let all_limits = report.limits.clone();
        if !periodic || !self.reports.is_multiple_of(FULL_COUNTS_EVERY) {
            let sent_counts = &self.sent_counts;
            let changed = |(key, count): &(_, u64)| sent_counts.get(key) != Some(count);
            report.admitted.retain(changed);
            let sent_limits = &self.sent_limits;
            if let Some(limits) = &mut report.limits {
                limits.retain(|r| sent_limits.get(&r.run) != Some(&(r.rate, r.sent)));
            }
        }
        if periodic {
            self.reports += 1;
            self.sent_counts = all.into_iter().collect();
            let limits = all_limits.into_iter().flatten();
            self.sent_limits = limits.map(|r| (r.run, (r.rate, r.sent))).collect();
        }
    }
}

/// Report interval of receivers, and their phase in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct TickPhase {
    interval_ticks: usize,
    phase: usize,
}

impl TickPhase {
    /// Returns the phase of an instance, which does not depend on other instances.
    fn of(receiver: &Receiver) -> Self {
        let hash = match receiver.addr {
            IpAddr::V4(addr) => xxh3_64(&addr.octets()),
            IpAddr::V6(addr) => xxh3_64(&addr.octets()),
        };
        let interval_ticks = receiver.interval_ticks.max(1);
        Self {
            interval_ticks,
            // The remainder is less than the interval.
            phase: (hash % interval_ticks as u64) as usize,
        }
    }

    fn is_due(self, tick: Option<usize>) -> bool {
        tick.is_some_and(|tick| tick % self.interval_ticks == self.phase)
    }
}

/// Groups of receivers by interval and phase.
#[derive(Debug, Default)]
pub struct ReportSchedule(HashMap<TickPhase, ReceiverGroup>);

impl ReportSchedule {
    /// Returns the reports to send now. `report` has the time to the next report tick, and `tick`
    /// is the number of the present one, or `None` between two ticks.
    pub fn outgoing(
        &mut self,
        report: &Report,
        receivers: &[Receiver],
        tick: Option<usize>,
    ) -> Vec<OutgoingReport> {
        let mut groups: HashMap<(TickPhase, bool), Vec<IpAddr>> = HashMap::new();
        for receiver in receivers {
            let phase = TickPhase::of(receiver);
            if receiver.immediate || receiver.full || phase.is_due(tick) {
                let group = groups.entry((phase, receiver.full)).or_default();
                group.push(receiver.addr);
            }
        }
        let reports = groups.into_iter().map(|((phase, full), addrs)| {
            let mut report = report.clone();
            report.next_ms *= u32::try_from(phase.interval_ticks).unwrap_or(u32::MAX);
            if !full {
                let group = self.0.entry(phase).or_default();
                group.remove_sent_counts(&mut report, phase.is_due(tick));
            }
            OutgoingReport { report, addrs }
        });
        reports.collect()
    }
}
