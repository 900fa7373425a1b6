//! Quotas, backend servers, members and reports.

use std::collections::HashMap;
use std::net::{
    IpAddr,
    SocketAddr, //
};
use std::sync::Arc;
use std::time::Duration;

use ciborium::Value;
use limpetweir_gateway::{
    AddressEntry,
    BackendEntry,
    BackendKey,
    Backends,
    BatchRun,
    ColdTime,
    Configuration,
    ConfigurationParts,
    EvacuationReport,
    InstanceRecord,
    ItemKey,
    LeavingSource,
    LimitReport,
    MAX_LABEL_BYTES,
    Member,
    Members,
    Organisation,
    OrganisationKey,
    Position,
    Quotas,
    Report,
    ReportUpdate,
    RunKey,
    addresses, //
};
use limpetweir_state::Timestamp;
use rstest::rstest;
use serde::Deserialize;
use serde::de::IgnoredAny;

fn ms(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

fn config(rate: f64, burst: f64) -> Configuration {
    let organisation = Organisation {
        name: "org".to_owned(),
        keys: vec!["key".to_owned()],
        rate: Some(rate),
        burst,
        priority: None,
    };
    Configuration::from(ConfigurationParts {
        version: 1,
        routes: Vec::new(),
        services: HashMap::new(),
        organisations: vec![organisation],
        limits: None,
    })
}

/// Instances that each receive requests at a constant rate and may exchange reports.
struct Fleet {
    quotas: Vec<Quotas>,
    admitted: Vec<u64>,
}

impl Fleet {
    fn new(count: usize, rate: f64, burst: f64) -> Self {
        let config = config(rate, burst);
        let mut quotas: Vec<Quotas> = Vec::new();
        quotas.resize_with(count, Quotas::default);
        for quota in &mut quotas {
            quota.configure(&config, ms(0));
        }
        Self {
            quotas,
            admitted: Vec::new(),
        }
    }

    /// Sends `per_s` requests per second to each instance from `from` to `to` seconds.
    fn offer(&mut self, from: u64, to: u64, per_s: u64, connected: bool) {
        let count = self.quotas.len();
        for at in (from * 1_000)..(to * 1_000) {
            let now = ms(at);
            for n in 0..count {
                let unreachable = if connected { 0 } else { count - 1 };
                self.quotas[n].set_unreachable(unreachable, count, now);
                let offered = at * per_s / 1_000 != (at + 1) * per_s / 1_000;
                if offered && self.quotas[n].admit("org", now).is_ok() {
                    self.admitted.push(at);
                }
            }
            // Reports arrive within a few milliseconds.
            if connected && at % 3 == 0 {
                self.exchange(now);
            }
        }
    }

    fn exchange(&mut self, now: Timestamp) {
        let counts: Vec<_> = self.quotas.iter().map(Quotas::admitted).collect();
        for (n, quota) in self.quotas.iter_mut().enumerate() {
            for (peer, count) in counts.iter().enumerate().filter(|(peer, _)| *peer != n) {
                quota.apply_report(&format!("peer-{peer}"), 1, count, now);
            }
        }
    }

    /// Returns the largest number of requests that were admitted in any five seconds.
    fn busiest_window(&self) -> usize {
        let starts = self.admitted.iter();
        let counts = starts.map(|start| {
            let window = *start..*start + 5_000;
            self.admitted
                .iter()
                .filter(|at| window.contains(at))
                .count()
        });
        counts.max().unwrap_or(0)
    }
}

/// Load pattern: one organisation sends several times its rate to nine instances at once. Guards
/// against admitting more than its rate and burst plus a tenth and 20 requests.
#[rstest]
#[case::connected(true)]
#[case::partitioned(false)]
fn an_organisation_stays_within_its_rate(#[case] connected: bool) {
    let (rate, burst) = (46.0, 46.0);
    let mut fleet = Fleet::new(9, rate, burst);
    fleet.offer(0, 12, 40, connected);
    let most = (rate * 5.0 + burst) * 1.1 + 20.0;
    assert!(fleet.busiest_window() as f64 <= most);
}

/// Replays two restarts of the whole fleet within a window while one organisation sends several
/// times its rate. Guards against granting the burst again after every start.
#[rstest]
#[case::small(10.0)]
#[case::usual(46.0)]
#[case::large(200.0)]
fn restarts_of_the_fleet_stay_within_the_tolerance(#[case] rate: f64) {
    let per_s = (rate / 2.0) as u64;
    let mut fleet = Fleet::new(9, rate, rate);
    fleet.offer(0, 20, per_s, true);
    for (from, to) in [(20, 22), (22, 30)] {
        let restarted = Fleet::new(9, rate, rate);
        fleet.quotas = restarted.quotas;
        fleet.offer(from, to, per_s, true);
    }
    let most = (rate * 5.0 + rate) * 1.1 + 20.0;
    assert!(fleet.busiest_window() as f64 <= most);
}

/// Replays the start of the whole fleet when the requests of one second are waiting for it. Guards
/// against rejections for an organisation that stays below its rate.
#[test]
fn requests_that_waited_for_a_start_are_admitted() {
    let mut quota = Quotas::default();
    quota.configure(&config(10.0, 10.0), ms(0));
    quota.set_unreachable(0, 9, ms(0));
    let admitted = (0..10).filter(|_| quota.admit("org", ms(0)).is_ok());
    assert_eq!(admitted.count(), 10);
}

/// Replays a restart of the instances in turn while one organisation sends several times its rate.
/// Guards against granting the burst again after every start, and against rejections for an
/// organisation of which the started instance has no level.
#[test]
fn a_started_instance_adopts_the_levels_of_a_peer() {
    let mut old = Quotas::default();
    old.configure(&config(10.0, 40.0), ms(0));
    old.set_unreachable(0, 2, ms(0));
    while old.admit("org", ms(0)).is_ok() {}
    let mut started = Quotas::default();
    started.configure(&config(10.0, 40.0), ms(0));
    started.set_unreachable(0, 2, ms(0));
    started.adopt(&old.levels(), ms(0));
    assert!(started.admit("org", ms(0)).is_err());
    assert!(started.admit("org", ms(150)).is_ok());
    let refilled = ms(20_000);
    old.set_unreachable(0, 2, refilled);
    started.adopt(&old.levels(), refilled);
    let admitted = (0..50).filter(|_| started.admit("org", refilled).is_ok());
    assert_eq!(admitted.count(), 40);
}

/// Guards against rejections for an organisation that stays below its rate.
#[test]
fn nothing_is_rejected_below_the_rate() {
    let mut fleet = Fleet::new(9, 46.0, 46.0);
    fleet.offer(10, 20, 4, true);
    assert_eq!(fleet.admitted.len(), 9 * 4 * 10);
}

/// Guards against counts from before a restart of their sender that hide those after it, if the first
/// report after the restart has no counts.
#[test]
fn counts_begin_anew_after_a_restart_without_counts() {
    let mut quota = Quotas::default();
    quota.configure(&config(10.0, 10.0), ms(0));
    quota.set_unreachable(0, 2, ms(0));
    let counts = |n| [(OrganisationKey::of("org"), n)];
    assert!(quota.apply_report("a", 1, &[], ms(0)).is_empty());
    assert_eq!(quota.apply_report("a", 1, &counts(3), ms(0)), counts(3));
    assert!(quota.apply_report("a", 2, &[], ms(0)).is_empty());
    assert_eq!(quota.apply_report("a", 2, &counts(2), ms(0)), counts(2));
    let left = (0..10).filter(|_| quota.admit("org", ms(0)).is_ok());
    assert_eq!(left.count(), 5);
}

/// Guards against a lowered limit that takes effect only after the previous burst is used up.
#[test]
fn a_lowered_limit_takes_effect_immediately() {
    let mut fleet = Fleet::new(1, 46.0, 46.0);
    fleet.offer(10, 11, 1, true);
    fleet.quotas[0].configure(&config(2.0, 3.0), ms(11_000));
    fleet.admitted.clear();
    fleet.offer(11, 12, 100, true);
    assert!(fleet.admitted.len() <= 5, "{}", fleet.admitted.len());
}

fn entry(id: &str, draining: bool) -> BackendEntry {
    BackendEntry {
        id: id.to_owned(),
        service: "service".to_owned(),
        addr: ([127, 0, 0, 1], 1).into(),
        zone: "zone".to_owned(),
        slots: Some(8),
        draining,
        born: 1,
        cold_remaining: ColdTime::default(),
    }
}

fn serving(backends: &Backends) -> usize {
    backends.serving("service", ms(0)).count()
}

/// Guards against requests to a server that is draining or was removed.
#[test]
fn leaving_servers_get_no_requests() {
    let mut backends = Backends::default();
    backends.update(entry("a", false), ms(0));
    backends.update(entry("b", false), ms(0));
    backends.update(entry("a", true), ms(10));
    assert_eq!(serving(&backends), 1);
    backends.remove("b", ms(20));
    assert_eq!(serving(&backends), 0);
}

/// Guards against losing all servers when entries expire in a store outage, and against keeping a
/// server that was removed just after the outage.
#[test]
fn entries_that_expire_in_an_outage_stay_until_servers_can_register() {
    let mut backends = Backends::default();
    backends.update(entry("a", false), ms(0));
    backends.update(entry("b", false), ms(0));
    backends.record_outage(ms(1_000));
    backends.remove("a", ms(1_900));
    backends.remove("b", ms(1_900));
    assert_eq!(serving(&backends), 2);
    backends.update(entry("a", false), ms(2_500));
    assert_eq!(backends.sweep(ms(3_000)), Vec::<String>::new());
    // The grace time starts with the outage, not with the removal.
    assert_eq!(backends.sweep(ms(3_400)), ["b"]);
    assert_eq!(serving(&backends), 1);
}

/// Replays servers that drain or are removed while the store rejects the calls of this instance.
/// Guards against requests to them although peers report them as leaving.
#[test]
fn servers_that_peers_report_as_leaving_get_no_requests() {
    let count = |backends: &Backends, at| backends.serving("service", at).count();
    let mut peer = Backends::default();
    peer.update(entry("a", true), ms(0));
    peer.update(entry("b", false), ms(0));
    peer.update(entry("c", false), ms(0));
    peer.remove("b", ms(100));
    let mut own = Backends::default();
    for id in ["a", "b", "c"] {
        own.update(entry(id, false), ms(0));
    }
    own.record_outage(ms(100));
    own.leaving_reported(&peer.leaving(), ms(200));
    assert_eq!(count(&own, ms(300)), 1);
    // Without further reports the entries that this instance has read are used again.
    assert_eq!(count(&own, ms(1_300)), 3);
    peer.update(entry("b", false), ms(1_300));
    assert_eq!(peer.leaving(), [BackendKey::of("a")]);
    peer.remove("c", ms(1_400));
    peer.sweep(ms(20_000));
    assert_eq!(
        peer.leaving(),
        [BackendKey::of("a")],
        "old ones are no longer reported"
    );
}

/// Guards against runs that two instances repeat to each other for good, and against an entry that
/// comes back after an outage of the store while its server leaves.
#[test]
fn a_leaving_run_is_told_first_hand_and_forgotten() {
    let mut backends = Backends::default();
    let started = |born| BackendEntry {
        born,
        ..entry("a", false)
    };
    let run = started(1).run();
    backends.update(started(1), ms(0));
    assert!(backends.says_leaving(run, LeavingSource::Report, ms(10)));
    assert_eq!(backends.leaving_runs(), [], "others tell it themselves");
    assert!(!backends.says_leaving(run, LeavingSource::Response, ms(20)));
    assert_eq!(backends.leaving_runs(), [run]);
    backends.remove("a", ms(100));
    backends.update(started(1), ms(200));
    assert_eq!(backends.serving("service", ms(200)).count(), 0);
    backends.update(started(2), ms(300));
    assert_eq!(
        backends.serving("service", ms(300)).count(),
        1,
        "another run"
    );
    backends.remove("a", ms(400));
    backends.sweep(ms(61_000));
    assert_eq!(backends.leaving_runs(), []);
}

fn report(name: &str, boot: u64, sequence: u64) -> Report {
    Report {
        name: name.to_owned(),
        boot,
        sequence,
        next_ms: 250,
        ready: true,
        leaving: false,
        stalled: true,
        zone: "zone".to_owned(),
        public: ([127, 0, 0, 1], 80).into(),
        capacity: 500,
        version: 7,
        online: vec![(BackendKey(5), 3)],
        batch: vec![BatchRun {
            item: ItemKey(u64::MAX),
            backend: BackendKey(u32::MAX),
            due: 123,
        }],
        held: vec![ItemKey(9)],
        waiting: 4,
        waiting_in_time: 3,
        admitted: vec![(OrganisationKey(8), 77)],
        suspects: vec![(BackendKey(6), 900)],
        leaving_backends: vec![BackendKey(4)],
        positions: vec![Position {
            partition: 3,
            next: 70,
            reads: true,
        }],
        limits: Some(vec![LimitReport {
            run: RunKey(11),
            rate: Some(2.5),
            age: Duration::from_millis(120),
            sent: 3,
        }]),
        leaving_runs: vec![RunKey(12)],
        evacuations: Some(EvacuationReport {
            complete_to: Some(9),
            zones: vec![("zone-b".to_owned(), 8), ("zone-a".to_owned(), 5)],
        }),
        store_answers: true,
        shortages: Vec::new(),
        cold: Vec::new(),
    }
}

/// Encoded form of the reports of builds that know no limits of backend servers.
#[derive(Deserialize)]
struct OldWire(
    IgnoredAny,
    String,
    IgnoredAny,
    IgnoredAny,
    IgnoredAny,
    IgnoredAny,
    IgnoredAny,
    IgnoredAny,
    IgnoredAny,
    IgnoredAny,
    IgnoredAny,
    IgnoredAny,
    IgnoredAny,
    IgnoredAny,
    IgnoredAny,
    IgnoredAny,
    Vec<u32>,
    u32,
    u32,
);

/// Guards against a fleet of old and new builds whose instances do not understand each other's
/// reports, and against an old one that counts as one that keeps to limits.
#[test]
fn reports_of_older_builds_and_newer_ones_are_understood() {
    let new = report("a", 1, 2);
    let bytes = new.encode();
    let old: Value = ciborium::from_reader(&bytes[..]).expect("a report");
    let Value::Array(mut fields) = old else {
        panic!("a report is an array");
    };
    fields.truncate(19);
    let mut old_bytes = Vec::new();
    ciborium::into_writer(&Value::Array(fields), &mut old_bytes).expect("a report");
    let decoded = Report::decode(&old_bytes).expect("a report of an older build");
    assert_eq!(decoded.limits, None);
    assert_eq!(decoded.positions, new.positions);
    let by_old: OldWire = ciborium::from_reader(&bytes[..]).expect("a report for an older build");
    assert_eq!((by_old.1.as_str(), by_old.16), ("a", vec![4]));
    assert_eq!((by_old.17, by_old.18), (3, 250));
}

/// Guards against fields that are swapped in the encoding.
#[test]
fn a_report_is_decoded_as_encoded() {
    let report = report("a", 1, 2);
    assert_eq!(Report::decode(&report.encode()), Some(report));
    assert_eq!(Report::decode(b"something else"), None);
}

/// Guards against reports that are lost because a text is longer than the buffer of the decoder.
#[test]
fn a_report_with_long_texts_is_decoded() {
    let mut report = report(&"a".repeat(MAX_LABEL_BYTES), 1, 2);
    report.evacuations = Some(EvacuationReport {
        complete_to: Some(1),
        zones: vec![("z".repeat(5_000), 1)],
    });
    let decoded = Report::decode(&report.encode()).expect("a report");
    assert_eq!(decoded.name, report.name);
}

/// Guards against an old report that arrives late and replaces a newer one, and against ignoring
/// the reports of a restarted instance, whose sequence numbers start again.
#[test]
fn stale_reports_are_ignored() {
    let addr = [127, 0, 0, 1].into();
    let mut members = Members::default();
    let mut apply = |boot, sequence| members.apply_report(report("a", boot, sequence), addr, ms(0));
    assert_eq!(apply(1, 5), ReportUpdate::First);
    assert_eq!(apply(1, 4), ReportUpdate::Stale);
    assert_eq!(
        apply(2, 1),
        ReportUpdate::Replaced(Arc::new(report("a", 1, 5)))
    );
    assert_eq!(apply(1, 6), ReportUpdate::Stale);
}

/// Guards against callers that are directed to an unreachable instance.
#[test]
fn unreachable_instances_are_not_listed() {
    let addr = [127, 0, 0, 1].into();
    let mut members = Members::default();
    members.upsert("b", record(addr), ms(0));
    assert_eq!(
        members.apply_report(report("a", 1, 1), addr, ms(0)),
        ReportUpdate::First
    );
    assert_eq!(members.reachable(ms(900)).count(), 1);
    assert_eq!(members.unreachable_count(ms(900)), (1, 3));
    assert_eq!(members.reachable(ms(1_100)).count(), 0);
    assert_eq!(members.unreachable_count(ms(1_100)), (2, 3));
}

/// Guards against callers with a single address, and against calls through other zones without
/// need.
#[test]
fn callers_get_addresses_in_their_zone_if_there_are_enough() {
    let entry = |n: u16, zone: &str| AddressEntry {
        addr: SocketAddr::from(([127, 0, 0, 1], n)),
        zone: zone.to_owned(),
        capacity: 500,
    };
    let entries: Vec<AddressEntry> = (0..3)
        .map(|n| entry(n, "near"))
        .chain((3..5).map(|n| entry(n, "far")))
        .collect();
    assert_eq!(addresses(&entries, Some("near"), 64).len(), 3);
    assert_eq!(addresses(&entries, Some("far"), 64).len(), 5);
    assert_eq!(addresses(&entries, None, 64).len(), 5);
    assert_eq!(addresses(&entries, None, 2).len(), 2);
}

/// Guards against callers at small machines, which are paused once their share of the processor is
/// used up, while large ones have free capacity.
#[test]
fn callers_get_large_machines_if_there_are_enough() {
    let entry = |n: u16, capacity: u32| AddressEntry {
        addr: SocketAddr::from(([127, 0, 0, 1], n)),
        zone: "near".to_owned(),
        capacity,
    };
    let small = (0..7).map(|n| entry(n, 120));
    let large: Vec<AddressEntry> = (7..11).map(|n| entry(n, 500)).collect();
    let mixed: Vec<AddressEntry> = small.chain(large.clone()).collect();
    let expected: Vec<_> = large.iter().map(|e| e.addr).collect();
    assert_eq!(addresses(&mixed, Some("near"), 64), expected);
    assert_eq!(addresses(&mixed[..9], Some("near"), 64).len(), 9);
}

fn record(addr: IpAddr) -> InstanceRecord {
    InstanceRecord {
        addr,
        capacity: 500,
        zone: "zone".to_owned(),
    }
}

/// Replays a fleet of 59 instances of which the large machines serve callers. Guards against
/// reports of every change to the others, which caused most of the traffic between zones.
#[test]
fn instances_without_work_are_recognised() {
    let mut members = Members::default();
    let addr = [127, 0, 0, 1].into();
    members.upsert("unknown", record(addr), ms(0));
    assert!(members.get("unknown").is_some_and(Member::has_work));
    let idle = Report {
        online: Vec::new(),
        batch: Vec::new(),
        held: Vec::new(),
        waiting: 0,
        ..report("idle", 1, 1)
    };
    members.apply_report(idle.clone(), addr, ms(0));
    assert!(!members.get("idle").is_some_and(Member::has_work));
    for busy in [
        Report {
            online: vec![(BackendKey(5), 1)],
            ..idle.clone()
        },
        Report {
            waiting: 1,
            ..idle.clone()
        },
        Report {
            held: vec![ItemKey(9)],
            ..idle
        },
    ] {
        let busy = Report {
            sequence: busy.sequence + 1,
            name: "busy".to_owned(),
            ..busy
        };
        let mut members = Members::default();
        members.apply_report(busy, addr, ms(0));
        assert!(members.get("busy").is_some_and(Member::has_work));
    }
}
