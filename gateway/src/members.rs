//! Which instances exist, which of them are alive, and which addresses callers are told.

use std::collections::BTreeMap;
use std::net::{
    IpAddr,
    SocketAddr, //
};
use std::time::Duration;

use limpetweir_state::Timestamp;

use crate::instance::{
    Instance,
    InstanceRecord,
    is_large, //
};
use crate::report::Report;

/// Shortest silence after which an instance's work is taken over.
pub const MIN_REPORT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Reports that are missing in such a silence: single datagrams are lost.
const MISSING: u32 = 4;

/// Reports that are missing when an instance is no longer named to callers. Leaving it out for a
/// moment costs nothing, and callers who are sent to a lost one need another attempt.
const MISSING_FOR_CALLERS: u32 = 2;

/// Silence after which an instance is taken as gone for good; longer than cuts usually last.
const GONE: Duration = Duration::from_secs(30);

/// An instance of the gateway.
#[derive(Clone, Debug)]
pub struct Member {
    /// Address that reports are sent to.
    pub addr: IpAddr,
    /// Availability zone; empty while it is not known.
    pub zone: String,
    /// Processor of the machine in thousandths of a core; 0 while it is not known.
    pub capacity: u32,
    /// When the instance was first known of.
    pub known: Timestamp,
    /// When the last report arrived.
    pub last_report_at: Option<Timestamp>,
    /// The newest report.
    pub report: Option<Report>,
}

impl ReportUpdate {
    /// Returns whether the instance has started since it was heard before.
    pub fn has_started(&self, report: &Report) -> bool {
        match self {
            Self::First => true,
            Self::Replaced(before) => before.boot != report.boot,
            Self::Stale => false,
        }
    }
}

impl Member {
    /// Returns the silence after which the instance counts as lost.
    pub fn report_timeout(&self) -> Duration {
        self.missing(MISSING)
    }

    fn missing(&self, reports: u32) -> Duration {
        let next = self.report.as_ref().map_or(0, |report| report.next_ms);
        let silence = Duration::from_millis(u64::from(next)) * reports;
        silence.clamp(MIN_REPORT_TIMEOUT, GONE)
    }

    fn reported_within(&self, silence: Duration, now: Timestamp) -> bool {
        self.last_report_at
            .is_some_and(|at| now.since(at) < silence)
    }

    /// Returns whether the instance was heard recently.
    pub fn is_reachable(&self, now: Timestamp) -> bool {
        self.reported_within(self.report_timeout(), now)
    }

    /// Returns whether the instance has requests or items; one that was never heard may have.
    pub fn has_work(&self) -> bool {
        self.report.as_ref().is_none_or(Report::has_work)
    }

    fn last_sign(&self) -> Timestamp {
        self.last_report_at.unwrap_or(self.known)
    }
}

/// What a report means for what was known of its instance.
#[derive(Clone, Debug, PartialEq)]
pub enum ReportUpdate {
    /// It is the first one.
    First,
    /// It replaces this one.
    Replaced(Box<Report>),
    /// It is older than the one known and was not taken over.
    Stale,
}

/// The other instances, by name.
#[derive(Debug, Default)]
pub struct Members {
    others: BTreeMap<String, Member>,
    /// Number of changes of which instances exist, and in which zones.
    changes: u64,
}

impl Members {
    /// Notes that the instance `name` exists.
    pub fn upsert(&mut self, name: &str, record: InstanceRecord, now: Timestamp) {
        let changes = &mut self.changes;
        let member = self.others.entry(name.to_owned()).or_insert_with(|| {
            *changes += 1;
            Member {
                addr: record.addr,
                zone: record.zone.clone(),
                capacity: record.capacity,
                known: now,
                last_report_at: None,
                report: None,
            }
        });
        if member.zone != record.zone {
            *changes += 1;
            member.zone = record.zone;
        }
        member.addr = record.addr;
        member.capacity = record.capacity;
    }

    /// Removes an instance that has left.
    pub fn remove(&mut self, name: &str) -> Option<Member> {
        self.changes += 1;
        self.others.remove(name)
    }

    /// Takes a report over unless a newer one of the instance is known.
    pub fn apply_report(&mut self, report: Report, from: IpAddr, now: Timestamp) -> ReportUpdate {
        let record = InstanceRecord {
            addr: from,
            zone: report.zone.clone(),
            capacity: report.capacity,
        };
        self.upsert(&report.name, record, now);
        let Some(member) = self.others.get_mut(&report.name) else {
            return ReportUpdate::Stale;
        };
        let newest = member.report.as_ref().map(|r| (r.boot, r.sequence));
        if newest.is_some_and(|newest| (report.boot, report.sequence) <= newest) {
            return ReportUpdate::Stale;
        }
        member.last_report_at = Some(now);
        match member.report.replace(report) {
            None => ReportUpdate::First,
            Some(before) => ReportUpdate::Replaced(Box::new(before)),
        }
    }

    /// Removes and returns the instances that are gone for good.
    pub fn sweep(&mut self, now: Timestamp) -> Vec<String> {
        let gone = |m: &Member| now.since(m.last_sign()) > GONE;
        let names = self.others.iter().filter(|(_, m)| gone(m));
        let names: Vec<String> = names.map(|(name, _)| name.clone()).collect();
        for name in &names {
            self.remove(name);
        }
        names
    }

    /// Returns a number that differs after each change of which instances exist, and in which zones.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Returns the instance called `name`.
    pub fn get(&self, name: &str) -> Option<&Member> {
        self.others.get(name)
    }

    /// Returns how many other instances are known.
    pub fn count(&self) -> usize {
        self.others.len()
    }

    /// Returns all known instances.
    pub fn iter(&self) -> impl Iterator<Item = (&String, &Member)> {
        self.others.iter()
    }

    /// Returns all known instances in the form in which work is divided among them.
    pub fn instances(&self) -> impl Iterator<Item = Instance<'_>> {
        self.others.iter().map(|(name, member)| Instance {
            name,
            zone: &member.zone,
            capacity: member.capacity,
        })
    }

    /// Returns the instances that were heard recently.
    pub fn reachable(&self, now: Timestamp) -> impl Iterator<Item = &Report> {
        self.others
            .values()
            .filter(move |m| m.is_reachable(now))
            .filter_map(|m| m.report.as_ref())
    }

    /// Returns the instances that callers may be sent to.
    pub fn for_callers(&self, now: Timestamp) -> impl Iterator<Item = &Report> {
        let recent = move |m: &&Member| m.reported_within(m.missing(MISSING_FOR_CALLERS), now);
        let recent = self.others.values().filter(recent);
        let reports = recent.filter_map(|m| m.report.as_ref());
        reports.filter(|r| r.ready && !r.leaving)
    }

    /// Returns how many known instances are silent, and how many there are with this one.
    pub fn unreachable_count(&self, now: Timestamp) -> (usize, usize) {
        let silent = self
            .others
            .values()
            .filter(|m| !m.is_reachable(now))
            .count();
        (silent, self.others.len() + 1)
    }
}

/// An instance that callers may be told of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AddressEntry {
    /// Address for callers.
    pub addr: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Processor of its machine in thousandths of a core.
    pub capacity: u32,
}

/// Fewest instances that a caller is told, so that it has another address when one fails.
const FEWEST_ADDRESSES: usize = 3;

/// Returns the addresses for a caller in `zone`: those of its own zone if there are enough, because
/// callers pick one at random and answers between zones cost time; of these only large machines if
/// there are enough, because a small one stands still once its share of the processor is used up.
pub fn addresses(entries: &[AddressEntry], zone: Option<&str>, most: usize) -> Vec<SocketAddr> {
    let near = entries.iter().filter(|e| Some(e.zone.as_str()) == zone);
    let mut chosen: Vec<&AddressEntry> = near.collect();
    if chosen.len() < FEWEST_ADDRESSES {
        chosen = entries.iter().collect();
    }
    let largest = chosen.iter().map(|e| e.capacity).max().unwrap_or(0);
    let large = |e: &&&AddressEntry| is_large(e.capacity, largest);
    if chosen.iter().filter(large).count() >= FEWEST_ADDRESSES {
        chosen.retain(|e| is_large(e.capacity, largest));
    }
    chosen.truncate(most);
    chosen.into_iter().map(|e| e.addr).collect()
}
