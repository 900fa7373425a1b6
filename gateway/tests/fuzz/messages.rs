//! Datagrams of other instances.

use std::collections::BTreeSet;
use std::net::{
    IpAddr,
    Ipv4Addr, //
};
use std::time::Duration;

use limpetweir_gateway::{
    BackendKey,
    BatchRun,
    Case,
    Cleared,
    ColdReport,
    Crash,
    CrashKey,
    CrashNews,
    EvacuationReport,
    ItemKey,
    ItemPacing,
    LimitReport,
    Load,
    Members,
    OrganisationKey,
    PartKey,
    Position,
    Purpose,
    Quarantine,
    Quotas,
    Report,
    RunKey,
    ServerLimits,
    WarmUp,
    choose_preemptions, //
};
use limpetweir_state::Timestamp;

use super::bytes::{
    fuzz,
    mutated, //
};

const FROM: IpAddr = IpAddr::V4(Ipv4Addr::new(10, 0, 0, 1));

fn report() -> Report {
    let run = BatchRun {
        item: ItemKey(1),
        backend: BackendKey(1),
        due: 1_000,
    };
    let limit = LimitReport {
        run: RunKey(1),
        rate: Some(2.5),
        age: Duration::from_millis(300),
        sent: 12,
    };
    let position = Position {
        partition: 1,
        next: 17,
        reads: true,
    };
    Report {
        name: "peer".to_owned(),
        boot: 1_700_000_000_000,
        sequence: 4,
        next_ms: 250,
        stalled: false,
        ready: true,
        leaving: false,
        zone: "zone".to_owned(),
        public: ([10, 0, 0, 1], 80).into(),
        capacity: 500,
        version: 7,
        online: vec![(BackendKey(1), 3), (BackendKey(2), 1)],
        batch: vec![run],
        held: vec![ItemKey(2)],
        waiting: 3,
        waiting_in_time: 2,
        admitted: vec![(OrganisationKey(1), 40)],
        suspects: vec![(BackendKey(2), 700)],
        leaving_backends: vec![BackendKey(3)],
        positions: vec![position],
        limits: Some(vec![limit]),
        leaving_runs: vec![RunKey(4)],
        evacuations: Some(EvacuationReport {
            complete_to: Some(9),
            zones: vec![("zone".to_owned(), 5)],
        }),
        store_answers: true,
        shortages: Vec::new(),
        cold: vec![ColdReport {
            run: RunKey(5),
            remaining: Duration::from_millis(900),
            sent: 3,
        }],
    }
}

/// Guards against a datagram that stops an instance, and against numbers out of range in its state.
#[test]
fn a_report_of_any_bytes_is_in_range_or_ignored() {
    let idle = Report {
        online: Vec::new(),
        limits: None,
        ..report()
    };
    let largest = Report {
        next_ms: u32::MAX,
        capacity: u32::MAX,
        online: vec![(BackendKey(1), u32::MAX); 3],
        ..report()
    };
    let valid = vec![report().encode(), idle.encode(), largest.encode()];
    let mut load = Load::default();
    let mut pacing = ItemPacing::default();
    let mut quotas = Quotas::default();
    let mut limits = ServerLimits::new("me");
    let (terms, _) = WarmUp::nearest(3.0, 19.0);
    let terms = terms.map(|terms| ("s".to_owned(), terms));
    limits.cold_mut().configure(terms.into_iter());
    let mut members = Members::default();
    let mut now = Timestamp::from_millis(10_000);
    let mut decoded = 0;
    fuzz(0x6c77_0201, mutated(valid), |bytes| {
        now = now + Duration::from_millis(20);
        let Some(report) = Report::decode(&bytes) else {
            return;
        };
        decoded += 1;
        assert!(report.online.iter().all(|(_, count)| *count <= 1 << 16));
        assert!(report.online.len() + report.held.len() <= bytes.len());
        assert!(report.version <= 1 << 53 && report.name.len() <= 200);
        assert_eq!(Report::decode(&report.encode()).as_ref(), Some(&report));
        load.apply_report(&report, now);
        quotas.apply_report(&report.name, report.boot, &report.admitted, now);
        let stated = report.limits.as_deref().unwrap_or_default();
        limits.apply_report(&report.name, report.boot, stated, now);
        let (servers, service_of) = (limits.cold_mut(), |_| Some("s".to_owned()));
        servers.apply_report(&report.name, report.boot, &report.cold, service_of, now);
        for (run, purpose) in [
            (1, Purpose::Item),
            (5, Purpose::Item),
            (1, Purpose::Online { items_wait: true }),
        ] {
            limits.permit(RunKey(run), purpose, now, 1_700_000_000_000);
        }
        let excess = pacing.excess(load.excess(|_| Some(8)), now);
        choose_preemptions(&load, "me", 0, |on| excess[&on], |_| false);
        members.apply_report(report, FROM, now);
        members.unreachable_count(now);
        for name in members.sweep(now) {
            load.remove_peer(&name, now);
        }
    });
    assert!(decoded > 0);
}

fn news() -> CrashNews {
    let crash = Crash {
        key: CrashKey(1),
        server: "i-1".to_owned(),
        seen_by: "one".to_owned(),
        age: Duration::from_millis(300),
        suspects: vec![PartKey(1), PartKey(2)],
    };
    let cleared = Cleared {
        part: PartKey(2),
        age: Duration::from_millis(200),
    };
    let case = Case {
        parts: BTreeSet::from([PartKey(1)]),
        crashes: 3,
        servers: vec!["i-1@one".to_owned()],
        age: Duration::from_secs(2),
        probes: 1,
        probe_in: Duration::from_secs(5),
    };
    CrashNews {
        crashes: vec![crash],
        cleared: vec![cleared],
        cases: vec![case],
    }
}

/// Guards against the same in news about crashes.
#[test]
fn crash_news_of_any_bytes_is_in_range_or_ignored() {
    let mut quarantine = Quarantine::default();
    let mut now = Timestamp::from_millis(10_000);
    let mut decoded = 0;
    fuzz(0x6c77_0202, mutated(vec![news().encode()]), |bytes| {
        now = now + Duration::from_millis(20);
        let Some(news) = CrashNews::decode(&bytes) else {
            return;
        };
        decoded += 1;
        let parts = news.cases.iter().map(|case| case.parts.len());
        assert!(parts.max().unwrap_or(0) <= 64);
        assert!(news.cases.iter().all(|case| case.probes <= 1_000));
        assert_eq!(CrashNews::decode(&news.encode()), Some(news.clone()));
        quarantine.merge(&news, now);
        quarantine.after_probe(&[PartKey(1)], now);
        quarantine.news(now);
        assert!(quarantine.digest(now).encode().len() < 65_507);
        assert!(quarantine.cases(now).count() <= 32);
    });
    assert!(decoded > 0);
}
