//! Evacuations of zones: records, listings and reports in any order.

use std::cmp::Ordering;
use std::collections::BTreeSet;
use std::time::Duration;

use limpetweir_gateway::{
    BackendEntry,
    Backends,
    ColdTime,
    EvacuatedZones,
    EvacuationRecord,
    EvacuationReport,
    Evacuations,
    MAX_ZONES,
    Report,
    ZoneChange,
    evacuation_retry_after, //
};
use limpetweir_state::Timestamp;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{
    Rng,
    SeedableRng, //
};
use rstest::rstest;

#[path = "support/mod.rs"]
mod support;

const NOW: Timestamp = Timestamp::from_millis(1_000);

fn record(zone: &str, is_requested: bool) -> EvacuationRecord {
    EvacuationRecord {
        zone: zone.to_owned(),
        is_requested,
    }
}

/// Keyed log of the store.
#[derive(Default)]
struct Log(Vec<(&'static str, bool)>);

impl Log {
    fn end(&self) -> u64 {
        self.0.len() as u64
    }

    fn put(&mut self, zone: &'static str, is_requested: bool) {
        self.0.push((zone, is_requested));
    }

    /// Returns the evacuated zones with the offsets of their records.
    fn newest(&self) -> Vec<(&'static str, u64)> {
        let zones: BTreeSet<_> = self.0.iter().map(|(zone, _)| *zone).collect();
        let newest = zones.into_iter().filter_map(|zone| {
            let offset = self.0.iter().rposition(|(name, _)| *name == zone)?;
            self.0[offset].1.then_some((zone, offset as u64))
        });
        newest.collect()
    }
}

/// An instance with the position of its reader; `None` before it has listed.
#[derive(Default)]
struct Instance {
    evacuations: Evacuations,
    next: Option<u64>,
}

impl Instance {
    fn list(&mut self, log: &Log) {
        let newest = log.newest();
        for (zone, offset) in &newest {
            let _ = self.evacuations.apply(&record(zone, true), *offset, NOW);
        }
        let zones = newest.iter().map(|(zone, _)| (*zone).to_owned()).collect();
        self.evacuations.listed(&zones, log.end(), NOW);
        self.next = Some(log.end());
    }

    /// Reads up to `to`, or lists if it has not yet.
    fn read(&mut self, log: &Log, to: u64) {
        let Some(from) = self.next else {
            return self.list(log);
        };
        for offset in from..to {
            let (zone, is_requested) = log.0[offset as usize];
            let _ = self
                .evacuations
                .apply(&record(zone, is_requested), offset, NOW);
        }
        self.evacuations.read(from, to.max(from));
        self.next = Some(to.max(from));
    }

    fn hear(&mut self, report: &EvacuationReport) {
        self.evacuations.apply_report(Some(report), NOW);
    }

    fn zones(&self) -> Vec<String> {
        let zones = self.evacuations.iter(NOW);
        zones.map(|(zone, ..)| zone.to_owned()).collect()
    }
}

fn instance(log: &Log) -> Instance {
    let mut instance = Instance::default();
    instance.list(log);
    instance
}

/// Instances read, list, hear late reports of each other, start anew, or have no access to the store at
/// all, while two zones are evacuated and withdrawn. Guards against an instance that ends with another set
/// of zones than the store, because an older record or report has undone a newer one.
#[rstest]
fn all_instances_end_with_the_zones_of_the_store(#[values(3, 300)] count: usize) {
    for seed in 0..20 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut log = Log::default();
        let mut instances: Vec<Instance> = Vec::new();
        instances.resize_with(count, || instance(&log));
        // The last instance is never served by the store.
        let cut_off = count - 1;
        let mut sent = vec![EvacuationReport::default()];
        for _ in 0..20 * count.min(60) {
            let n = rng.random_range(0..count);
            match rng.random_range(0..8) {
                0 => log.put(
                    ["a", "b"].choose(&mut rng).expect("a zone"),
                    rng.random_bool(0.5),
                ),
                1 if n != cut_off => instances[n].list(&log),
                2 if n != cut_off => {
                    let next = instances[n].next.unwrap_or(0);
                    instances[n].read(&log, rng.random_range(next..=log.end()));
                }
                3 => instances[n] = Instance::default(),
                4 | 5 => sent.push(instances[n].evacuations.report()),
                _ => instances[n].hear(sent.choose(&mut rng).expect("a report")),
            }
        }
        for instance in &mut instances[..cut_off] {
            instance.read(&log, log.end());
        }
        let report = instances[0].evacuations.report();
        instances[cut_off].hear(&report);
        for late in &sent {
            instances
                .iter_mut()
                .for_each(|instance| instance.hear(late));
        }
        let zones: Vec<String> = log.newest().iter().map(|(z, _)| (*z).to_owned()).collect();
        for instance in &instances {
            assert_eq!(instance.zones(), zones, "seed {seed}");
        }
    }
}

/// Guards against a withdrawal that is lost with the history of the topic: the listing that follows a gap
/// does not have the key.
#[test]
fn a_listing_without_the_key_withdraws_older_evacuations_only() {
    let mut log = Log::default();
    log.put("a", true);
    let mut one = instance(&log);
    log.put("a", false);
    let newer = record("b", true);
    let _ = one.evacuations.apply(&newer, 7, NOW);
    let changes = one
        .evacuations
        .listed(&BTreeSet::new(), 2, NOW + Duration::from_secs(3));
    assert_eq!(changes.len(), 1);
    let after = ZoneChange::Withdrawn(Duration::from_secs(3));
    assert_eq!((changes[0].zone.as_str(), changes[0].change), ("a", after));
    assert_eq!(one.zones(), ["b"]);
}

/// A read returns a request and its withdrawal, and a report from in between arrives while they are applied.
/// Guards against an evacuation that this brings back for good.
#[test]
fn a_late_report_does_not_undo_a_withdrawal_that_was_just_read() {
    let mut log = Log::default();
    let mut one = instance(&log);
    log.put("a", true);
    let late = instance(&log).evacuations.report();
    let _ = one.evacuations.apply(&record("a", true), 0, NOW);
    let _ = one.evacuations.apply(&record("a", false), 1, NOW);
    one.hear(&late);
    one.evacuations.read(0, 2);
    assert_eq!(one.zones(), [""; 0]);
}

/// Guards against an instance that serves all zones before it knows which are evacuated.
#[test]
fn nothing_is_served_before_the_zones_are_known() {
    let mut started = Instance::default();
    assert_eq!(started.evacuations.evacuated(), EvacuatedZones::All);
    started.hear(&EvacuationReport::default());
    assert!(!started.evacuations.is_known(), "the peer knows nothing");
    let mut log = Log::default();
    log.put("a", true);
    started.hear(&instance(&log).evacuations.report());
    assert_eq!(started.zones(), ["a"]);
}

/// Guards against an instance that starts during an upgrade, hears a build without evacuations first and
/// serves an evacuated zone; and against one that waits forever beside such builds.
#[test]
fn old_builds_are_trusted_after_a_while() {
    let mut started = Evacuations::default();
    started.apply_report(None, NOW);
    assert!(!started.is_known(), "another peer may know more");
    started.apply_report(None, Timestamp::from_millis(3_000));
    assert!(started.is_known());
}

/// A record of an evacuated zone is overwritten with bytes that cannot be read. Guards against an
/// instance that lists after that and tells the others that the zone is not evacuated.
#[test]
fn an_unreadable_record_changes_nothing() {
    let mut log = Log::default();
    log.put("a", true);
    let mut reader = instance(&log);
    reader.evacuations.unreadable("a");
    reader.evacuations.read(1, 2);
    let mut started = Instance::default();
    started.evacuations.unreadable("a");
    started
        .evacuations
        .listed(&BTreeSet::from(["a".to_owned()]), 2, NOW);
    assert!(started.evacuations.is_known(), "other zones are served");
    reader.hear(&started.evacuations.report());
    assert_eq!(reader.zones(), ["a"]);
    started.hear(&reader.evacuations.report());
    assert_eq!(started.zones(), ["a"]);
}

/// Guards against reports of any size or with names and offsets out of range, and against the claim of a
/// shortened report that there are no other zones.
#[test]
fn reports_are_bounded_and_a_shortened_one_withdraws_nothing() {
    let mut one = Evacuations::default();
    let names: Vec<String> = (0..2 * MAX_ZONES).map(|n| format!("zone-{n:04}")).collect();
    for (offset, zone) in (0..).zip(&names) {
        let change = one.apply(&record(zone, true), offset, NOW);
        let change = change.map(|change| change.change);
        let number = usize::try_from(offset).expect("a small offset");
        // Those beyond the limit are ignored, and the first of them is reported: each report of another
        // instance would repeat the others.
        let expected = match number.cmp(&MAX_ZONES) {
            Ordering::Less => Some(ZoneChange::Requested(offset)),
            Ordering::Equal => Some(ZoneChange::Ignored(offset)),
            Ordering::Greater => None,
        };
        assert_eq!(change, expected);
        assert_eq!(one.is_evacuated(zone), number < MAX_ZONES);
    }
    one.listed(&names.iter().cloned().collect(), 9_999, NOW);
    let mut report: Report = support::idle_report("one");
    report.evacuations = Some(one.report());
    let bytes = report.encode();
    assert!(bytes.len() < 3_000, "{}", bytes.len());
    let decoded = Report::decode(&bytes).expect("a report").evacuations;
    assert_eq!(decoded, Some(one.report()));
    let mut other = Evacuations::default();
    let _ = other.apply(&record("zone-0000", true), 0, NOW);
    other.apply_report(decoded.as_ref(), NOW);
    assert!(other.is_evacuated("zone-0000") && other.is_known());
    let forged = EvacuationReport {
        complete_to: Some(u64::MAX),
        zones: vec![
            (String::new(), 1),
            ("z".repeat(500), 1),
            ("z".to_owned(), 1),
        ],
    };
    report.evacuations = Some(forged);
    let decoded = Report::decode(&report.encode()).expect("a report");
    let decoded = decoded.evacuations.expect("the field");
    assert_eq!(decoded.complete_to, Some(0));
    assert_eq!(decoded.zones, [("z".to_owned(), 1)]);
}

/// Guards against servers of an evacuated zone among the candidates, and against an evacuation that
/// counts as the end of its servers.
#[test]
fn servers_of_evacuated_zones_get_nothing_new() {
    let mut backends = Backends::default();
    for (id, zone) in [("i-1", "a"), ("i-2", "b")] {
        let entry = BackendEntry {
            id: id.to_owned(),
            service: "s".to_owned(),
            addr: ([127, 0, 0, 1], 1).into(),
            zone: zone.to_owned(),
            slots: None,
            draining: false,
            born: 1,
            cold_remaining: ColdTime::default(),
        };
        backends.update(entry, NOW);
    }
    let serving = |backends: &Backends| -> Vec<String> {
        let serving = backends.serving("s", NOW);
        serving.map(|b| b.entry.id.clone()).collect()
    };
    backends.set_evacuated(EvacuatedZones::Named(BTreeSet::from(["a".to_owned()])));
    assert_eq!(serving(&backends), ["i-2"]);
    assert_eq!(backends.evacuated("s", NOW).count(), 1);
    assert_eq!(backends.leaving(), []);
    backends.set_evacuated(EvacuatedZones::default());
    assert_eq!(serving(&backends).len(), 2);
}

/// Guards against callers that return at once for hours, and against ones that stay away for long after
/// the withdrawal.
#[rstest]
#[case(0, 0.0, 1_000)]
#[case(8, 0.0, 4_000)]
#[case(8, 1.0, 6_000)]
#[case(36_000, 1.0, 22_500)]
fn callers_return_after_half_of_the_age(#[case] age: u64, #[case] draw: f64, #[case] ms: u64) {
    let after = evacuation_retry_after(Duration::from_secs(age), draw);
    assert_eq!(after, Duration::from_millis(ms));
}

/// Guards against others that withdraw an evacuation because an instance that can't read its record reports
/// that it has read the record and knows of no evacuation.
#[test]
fn an_unreadable_record_that_is_read_leaves_the_zone_open() {
    let mut evacuations = Evacuations::default();
    evacuations.listed(&BTreeSet::new(), 10, NOW);
    evacuations.unreadable("a");
    evacuations.read(10, 11);
    evacuations.read(11, 12);
    assert_eq!(evacuations.report().complete_to, Some(10));
    let record = EvacuationRecord {
        zone: "a".to_owned(),
        is_requested: false,
    };
    evacuations.apply(&record, 12, NOW);
    evacuations.read(12, 13);
    assert_eq!(evacuations.report().complete_to, Some(13));
}
