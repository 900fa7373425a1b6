//! Evacuations of availability zones: whose servers get nothing new.
//!
//! Load pattern: operators take a zone out of use while it serves a part of the load. All instances have
//! to stop at the same time, also those that the store rejects or that have just started, and none may
//! take the evacuation up again from old news after it was withdrawn.
//!
//! What an instance knows is the set of evacuated zones with the offsets of their records, and the offset
//! up to which this set is complete. A zone that is missing in a complete set was not evacuated by any
//! record before that offset, or the evacuation was withdrawn. Two sets are therefore merged without a
//! list of withdrawn zones, and neither old records nor old reports bring one back.

mod report;

use std::collections::{
    BTreeMap,
    BTreeSet, //
};
use std::time::Duration;

use limpetweir_state::Timestamp;

pub use report::EvacuationReport;
pub(crate) use report::WireEvacuations;

/// Most zones that are remembered; further ones are ignored until others are withdrawn. It bounds the
/// memory that reports can take.
pub const MAX_ZONES: usize = 1_024;

/// Shortest `Retry-After` of a request for a service whose zones are evacuated, before it is spread.
const MIN_RETRY: Duration = Duration::from_secs(1);

/// Longest `Retry-After` of such a request, before it is spread. A refusal costs little, and a caller should be back soon
/// after the withdrawal.
const MAX_RETRY: Duration = Duration::from_secs(15);

/// Time after its start within which an instance waits for a listing or the report of a build that knows
/// evacuations. Reports of all peers arrive in it.
const WAIT_BESIDE_OLD_BUILDS: Timestamp = Timestamp::from_millis(3_000);

/// Record about the evacuation of a zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvacuationRecord {
    /// The zone.
    pub zone: String,
    /// Whether the evacuation is requested; otherwise it is withdrawn.
    pub is_requested: bool,
}

/// Where an instance knows an evacuation from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum EvacuationSource {
    /// The record in the store.
    Store,
    /// The report of another instance.
    Peer,
}

/// What has changed for a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneChange {
    /// Its evacuation is requested by the record at this offset.
    Requested(u64),
    /// Its evacuation is withdrawn; it was in force for this time.
    Withdrawn(Duration),
    /// The request at this offset is ignored, because too many zones are remembered.
    Ignored(u64),
}

/// A change of the evacuation of a zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvacuationChange {
    /// The zone.
    pub zone: String,
    /// What has changed.
    pub change: ZoneChange,
}

/// The zones whose servers get nothing new.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EvacuatedZones {
    /// All of them, because the instance does not know yet which zones are evacuated.
    All,
    /// These zones.
    Named(BTreeSet<String>),
}

impl Default for EvacuatedZones {
    fn default() -> Self {
        Self::Named(BTreeSet::new())
    }
}

impl EvacuatedZones {
    /// Returns whether the servers of `zone` get nothing new.
    pub fn contains(&self, zone: &str) -> bool {
        match self {
            Self::All => true,
            Self::Named(zones) => zones.contains(zone),
        }
    }
}

/// Newest known record of a zone.
#[derive(Clone, Copy, Debug)]
struct KnownZone {
    /// Offset of the record.
    offset: u64,
    /// Whether it requests an evacuation. A withdrawal is kept until `complete_to` is above its offset.
    is_requested: bool,
    /// When this instance learned of it.
    since: Timestamp,
    source: EvacuationSource,
    /// Whether it was reported that no server or instance of the zone is known.
    is_reported_unknown: bool,
}

/// What an instance knows about evacuations.
#[derive(Debug, Default)]
pub struct Evacuations {
    /// Offset up to which `zones` is complete; `None` until a listing or a report tells it. It never
    /// decreases.
    complete_to: Option<u64>,
    /// Offset up to which the records have been read from the store, also those that cannot be decoded.
    read_to: Option<u64>,
    zones: BTreeMap<String, KnownZone>,
    /// Zones whose newest record cannot be read.
    unreadable: BTreeSet<String>,
    /// Whether a request was ignored because there are too many zones; `zones` is not complete then.
    any_ignored: bool,
}

impl Evacuations {
    /// Returns whether a listing or a report has told which zones are evacuated.
    pub fn is_known(&self) -> bool {
        self.complete_to.is_some()
    }

    /// Returns whether `zone` is evacuated.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.zones.get(zone).is_some_and(|known| known.is_requested)
    }

    /// Returns the zones whose servers get nothing new.
    pub fn evacuated(&self) -> EvacuatedZones {
        if !self.is_known() {
            return EvacuatedZones::All;
        }
        EvacuatedZones::Named(self.requested().map(|(zone, _)| zone.clone()).collect())
    }

    /// Returns the evacuated zones, for how long each is known to be evacuated, and from where.
    pub fn iter(&self, now: Timestamp) -> impl Iterator<Item = (&str, Duration, EvacuationSource)> {
        self.requested()
            .map(move |(zone, known)| (zone.as_str(), now.since(known.since), known.source))
    }

    fn requested(&self) -> impl Iterator<Item = (&String, &KnownZone)> {
        self.zones.iter().filter(|(_, known)| known.is_requested)
    }

    /// Applies a record that was read at `offset`, unless a newer one of the zone is known.
    pub fn apply(
        &mut self,
        record: &EvacuationRecord,
        offset: u64,
        now: Timestamp,
    ) -> Option<EvacuationChange> {
        self.unreadable.remove(&record.zone);
        self.apply_from(record, offset, EvacuationSource::Store, now)
    }

    /// Records that the newest record of `zone` cannot be read. What was known before stays in force.
    pub fn unreadable(&mut self, zone: &str) {
        if self.unreadable.len() < MAX_ZONES {
            self.unreadable.insert(zone.to_owned());
        }
    }

    fn apply_from(
        &mut self,
        record: &EvacuationRecord,
        offset: u64,
        source: EvacuationSource,
        now: Timestamp,
    ) -> Option<EvacuationChange> {
        let zone = &record.zone;
        let before = self.zones.get_mut(zone);
        match &before {
            Some(known) if offset < known.offset => return None,
            None if self.complete_to.is_some_and(|end| offset < end) => return None,
            _ => {}
        }
        if let Some(known) = before {
            if offset == known.offset {
                if source == EvacuationSource::Store {
                    known.source = source;
                }
                return None;
            }
            let age = now.since(known.since);
            let was_requested = known.is_requested;
            known.offset = offset;
            known.is_requested = record.is_requested;
            let change = match (was_requested, record.is_requested) {
                (true, false) => ZoneChange::Withdrawn(age),
                (false, true) => {
                    known.since = now;
                    known.source = source;
                    ZoneChange::Requested(offset)
                }
                // A repeated request or withdrawal changes nothing else.
                _ => return None,
            };
            return Some(change_of(zone, change));
        }
        if self.zones.len() >= MAX_ZONES {
            // Reported once, as each report of the others would repeat it.
            let is_new = record.is_requested && !self.any_ignored;
            self.any_ignored |= record.is_requested;
            let ignored = ZoneChange::Ignored(offset);
            return is_new.then(|| change_of(zone, ignored));
        }
        let known = KnownZone {
            offset,
            is_requested: record.is_requested,
            since: now,
            source,
            is_reported_unknown: false,
        };
        self.zones.insert(zone.clone(), known);
        let requested = ZoneChange::Requested(offset);
        record.is_requested.then(|| change_of(zone, requested))
    }

    /// Applies the end of a listing that ends at the offset `end` and has records of the zones
    /// `listed`, which have been applied. All others are withdrawn if they are from before `end`.
    pub fn listed(
        &mut self,
        listed: &BTreeSet<String>,
        end: u64,
        now: Timestamp,
    ) -> Vec<EvacuationChange> {
        let changes = self.withdraw(end, |zone| listed.contains(zone), now);
        self.unreadable.retain(|zone| listed.contains(zone));
        if self.zones.len() < MAX_ZONES {
            self.any_ignored = false;
        }
        self.read_to = Some(self.read_to.unwrap_or(0).max(end));
        self.complete();
        changes
    }

    /// Records that all records from `from` up to `to` have been read and applied.
    pub fn read(&mut self, from: u64, to: u64) {
        if self.read_to.is_some_and(|end| from <= end) {
            self.read_to = self.read_to.max(Some(to));
            self.complete();
        }
    }

    /// Takes over what has been read, unless a record of it is open: a zone with an unreadable record may
    /// be evacuated or not, so others must not conclude from its absence that it is not.
    fn complete(&mut self) {
        let is_open = |zone: &String| !self.is_evacuated(zone);
        match self.read_to {
            Some(end) if !self.unreadable.iter().any(is_open) => self.raise(end),
            _ => {
                self.complete_to.get_or_insert(0);
            }
        }
    }

    /// Applies what another instance reports; `None` is the report of a build that does not know
    /// evacuations.
    pub fn apply_report(
        &mut self,
        report: Option<&EvacuationReport>,
        now: Timestamp,
    ) -> Vec<EvacuationChange> {
        let Some(report) = report else {
            // It says nothing about any zone. An instance that has no other peer must not wait forever.
            if now >= WAIT_BESIDE_OLD_BUILDS {
                self.complete_to.get_or_insert(0);
            }
            return Vec::new();
        };
        let mut changes = Vec::new();
        for (zone, offset) in &report.zones {
            let record = EvacuationRecord {
                zone: zone.clone(),
                is_requested: true,
            };
            changes.extend(self.apply_from(&record, *offset, EvacuationSource::Peer, now));
        }
        if let Some(end) = report.complete_to {
            let reported = |zone: &str| report.zones.iter().any(|(name, _)| name == zone);
            changes.extend(self.withdraw(end, reported, now));
            self.raise(end);
        }
        changes
    }

    /// Withdraws the evacuations from before `end`, except those of zones for which `stays` is true.
    fn withdraw(
        &mut self,
        end: u64,
        stays: impl Fn(&str) -> bool,
        now: Timestamp,
    ) -> Vec<EvacuationChange> {
        let ends = |zone: &String, known: &mut KnownZone| {
            known.is_requested && known.offset < end && !stays(zone)
        };
        let ended = self.zones.extract_if(.., ends);
        let ended =
            ended.map(|(zone, k)| change_of(&zone, ZoneChange::Withdrawn(now.since(k.since))));
        ended.collect()
    }

    fn raise(&mut self, end: u64) {
        let end = self.complete_to.unwrap_or(0).max(end);
        self.complete_to = Some(end);
        self.zones
            .retain(|_, known| known.is_requested || known.offset >= end);
    }

    /// Returns the zones of which neither a server nor an instance is known, each once.
    pub fn take_unknown(&mut self, is_in_use: impl Fn(&str) -> bool) -> Vec<String> {
        let unreported = self.zones.iter_mut();
        let unreported = unreported.filter(|(_, k)| k.is_requested && !k.is_reported_unknown);
        let unknown = unreported.filter(|(zone, _)| !is_in_use(zone));
        let unknown = unknown.map(|(zone, known)| {
            known.is_reported_unknown = true;
            zone.clone()
        });
        unknown.collect()
    }

    /// Returns what the other instances are told.
    pub fn report(&self) -> EvacuationReport {
        let zones = self.requested();
        let zones = zones.map(|(zone, known)| (zone.clone(), known.offset));
        let report = EvacuationReport {
            complete_to: self.complete_to,
            zones: zones.collect(),
        };
        let report = report.shortened();
        match self.any_ignored {
            true => report.incomplete(),
            false => report,
        }
    }
}

fn change_of(zone: &str, change: ZoneChange) -> EvacuationChange {
    EvacuationChange {
        zone: zone.to_owned(),
        change,
    }
}

/// Returns the `Retry-After` of a request for a service whose zones have been evacuated for `age`; `draw`
/// is a random number from 0 to 1.
///
/// Nothing tells how long an evacuation lasts. With a half to three quarters of its age a caller returns a few times only,
/// and after the withdrawal waits no longer than that part of the evacuation. The draw spreads the callers, as
/// the servers are cold when the zone comes back.
pub fn retry_after(age: Duration, draw: f64) -> Duration {
    let half = (age / 2).clamp(MIN_RETRY, MAX_RETRY);
    half.mul_f64(1.0 + draw.clamp(0.0, 1.0) / 2.0)
}
