//! Membership of the fleet: which instances exist, which are reachable, and which addresses callers
//! get.

use std::collections::BTreeMap;
use std::net::{
    IpAddr,
    SocketAddr, //
};
use std::sync::Arc;
use std::time::Duration;

use limpetweir_state::Timestamp;

use crate::cells::{
    CellNumber,
    Cells, //
};
use crate::instance::{
    Instance,
    InstanceRecord,
    is_large, //
};
use crate::report::Report;

/// Shortest time without a report after which an instance's work is taken over.
pub const MIN_REPORT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Missing reports after which an instance counts as unreachable; single datagrams may be lost.
const MISSED_REPORTS: u32 = 4;

/// Missing reports after which callers no longer get the address of an instance. Leaving it out for
/// a moment costs nothing, and a caller that is sent to an unreachable one needs another attempt.
const MISSED_REPORTS_FOR_CALLERS: u32 = 2;

/// Time without a report after which an instance is removed; longer than network partitions usually
/// last.
const REMOVAL_TIMEOUT: Duration = Duration::from_secs(30);

/// An instance of the gateway.
#[derive(Clone, Debug)]
pub struct Member {
    /// Address that reports are sent to.
    pub addr: IpAddr,
    /// Availability zone; empty while unknown.
    pub zone: String,
    /// Processor of the machine in thousandths of a core; 0 while unknown.
    pub capacity: u32,
    /// Cell of the instance, as of the last call of [`Members::set_cells`]; `None` if the fleet is not divided.
    pub cell: Option<CellNumber>,
    /// When the instance was first seen.
    pub first_seen: Timestamp,
    /// When the last report arrived.
    pub last_report_at: Option<Timestamp>,
    /// The newest report.
    pub report: Option<Arc<Report>>,
}

impl ReportUpdate {
    /// Returns whether the instance has started since its previous report.
    pub fn has_started(&self, report: &Report) -> bool {
        match self {
            Self::First => true,
            Self::Replaced(before) => before.boot != report.boot,
            Self::Stale => false,
        }
    }
}

impl Member {
    /// Returns the time without a report after which the instance counts as unreachable.
    pub fn report_timeout(&self) -> Duration {
        self.timeout_after(MISSED_REPORTS)
    }

    fn timeout_after(&self, reports: u32) -> Duration {
        let next = self.report.as_ref().map_or(0, |report| report.next_ms);
        let timeout = Duration::from_millis(u64::from(next)) * reports;
        timeout.clamp(MIN_REPORT_TIMEOUT, REMOVAL_TIMEOUT)
    }

    fn reported_within(&self, timeout: Duration, now: Timestamp) -> bool {
        self.last_report_at
            .is_some_and(|at| now.since(at) < timeout)
    }

    /// Returns whether the instance has reported recently.
    pub fn is_reachable(&self, now: Timestamp) -> bool {
        self.reported_within(self.report_timeout(), now)
    }

    /// Returns whether the instance has requests or items; true until its first report.
    pub fn has_work(&self) -> bool {
        self.report.as_deref().is_none_or(Report::has_work)
    }

    fn last_seen(&self) -> Timestamp {
        self.last_report_at.unwrap_or(self.first_seen)
    }
}

/// How a received report relates to the previous one of its instance.
#[derive(Clone, Debug, PartialEq)]
pub enum ReportUpdate {
    /// It is the first one.
    First,
    /// It replaces this one.
    Replaced(Arc<Report>),
    /// It is not newer than the previous one and was ignored.
    Stale,
}

/// The other instances, by name.
#[derive(Debug, Default)]
pub struct Members {
    others: BTreeMap<String, Member>,
    /// Number of changes to the set of instances, to their addresses or zones.
    changes: u64,
}

impl Members {
    /// Sets the cell of each instance.
    pub fn set_cells(&mut self, cells: &Cells) {
        for (name, member) in &mut self.others {
            member.cell = cells.of_instance(name);
        }
    }

    /// Inserts or updates the instance `name`.
    pub fn upsert(&mut self, name: &str, record: InstanceRecord, now: Timestamp) {
        let Some(member) = self.others.get_mut(name) else {
            self.changes += 1;
            let member = Member {
                addr: record.addr,
                zone: record.zone,
                capacity: record.capacity,
                cell: None,
                first_seen: now,
                last_report_at: None,
                report: None,
            };
            self.others.insert(name.to_owned(), member);
            return;
        };
        if member.zone != record.zone {
            self.changes += 1;
            member.zone = record.zone;
        }
        if member.addr != record.addr {
            self.changes += 1;
            member.addr = record.addr;
        }
        member.capacity = record.capacity;
    }

    /// Removes an instance whose record was removed from the store.
    pub fn remove(&mut self, name: &str) -> Option<Member> {
        self.changes += 1;
        self.others.remove(name)
    }

    /// Applies a report unless a newer one of the instance is known.
    pub fn apply_report(
        &mut self,
        report: impl Into<Arc<Report>>,
        from: IpAddr,
        now: Timestamp,
    ) -> ReportUpdate {
        let report = report.into();
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
            Some(before) => ReportUpdate::Replaced(before),
        }
    }

    /// Removes and returns the instances that have not reported for a long time.
    pub fn sweep(&mut self, now: Timestamp) -> Vec<String> {
        let expired = |m: &Member| now.since(m.last_seen()) > REMOVAL_TIMEOUT;
        let names = self.others.iter().filter(|(_, m)| expired(m));
        let names: Vec<String> = names.map(|(name, _)| name.clone()).collect();
        for name in &names {
            self.remove(name);
        }
        names
    }

    /// Returns a number that changes with the set of instances, their addresses and zones.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Returns the instance called `name`.
    pub fn get(&self, name: &str) -> Option<&Member> {
        self.others.get(name)
    }

    /// Returns the number of other instances.
    pub fn count(&self) -> usize {
        self.others.len()
    }

    /// Returns all known instances.
    pub fn iter(&self) -> impl Iterator<Item = (&String, &Member)> {
        self.others.iter()
    }

    /// Returns all other instances as the input of work distribution.
    pub fn instances(&self) -> impl Iterator<Item = Instance<'_>> {
        self.others.iter().map(|(name, member)| Instance {
            name,
            zone: &member.zone,
            capacity: member.capacity,
        })
    }

    /// Returns the newest reports of the reachable instances.
    pub fn reachable(&self, now: Timestamp) -> impl Iterator<Item = &Report> {
        self.others
            .values()
            .filter(move |m| m.is_reachable(now))
            .filter_map(|m| m.report.as_deref())
    }

    /// Returns the instances whose addresses callers may get.
    pub fn for_callers(&self, now: Timestamp) -> impl Iterator<Item = &Report> {
        let recent =
            move |m: &&Member| m.reported_within(m.timeout_after(MISSED_REPORTS_FOR_CALLERS), now);
        let recent = self.others.values().filter(recent);
        let reports = recent.filter_map(|m| m.report.as_deref());
        reports.filter(|r| r.ready && !r.leaving)
    }

    /// Returns the number of unreachable instances, and the number of all instances including this
    /// one.
    pub fn unreachable_count(&self, now: Timestamp) -> (usize, usize) {
        let unreachable = self
            .others
            .values()
            .filter(|m| !m.is_reachable(now))
            .count();
        (unreachable, self.others.len() + 1)
    }
}

/// An instance whose address callers may get.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AddressEntry {
    /// Address for callers.
    pub addr: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Processor of its machine in thousandths of a core.
    pub capacity: u32,
}

/// Minimum number of addresses for a caller, so that it has another one when one fails.
const MIN_ADDRESSES: usize = 3;

/// Returns the addresses for a caller in `zone`: those in its own zone if there are enough, because
/// callers pick one at random and responses between zones take longer; of these only large machines
/// if there are enough, because a small one is paused once its share of the processor is used up.
pub fn addresses(
    entries: &[AddressEntry],
    zone: Option<&str>,
    max_addresses: usize,
) -> Vec<SocketAddr> {
    let same_zone = entries.iter().filter(|e| Some(e.zone.as_str()) == zone);
    let mut chosen: Vec<&AddressEntry> = same_zone.collect();
    if chosen.len() < MIN_ADDRESSES {
        chosen = entries.iter().collect();
    }
    let largest = chosen.iter().map(|e| e.capacity).max().unwrap_or(0);
    let large = |e: &&&AddressEntry| is_large(e.capacity, largest);
    if chosen.iter().filter(large).count() >= MIN_ADDRESSES {
        chosen.retain(|e| is_large(e.capacity, largest));
    }
    chosen.truncate(max_addresses);
    chosen.into_iter().map(|e| e.addr).collect()
}
