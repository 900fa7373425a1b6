//! Ranges of the numbers and texts in reports.

mod support;

use std::time::Duration;

use limpetweir_gateway::{
    BackendKey,
    LimitReport,
    Load,
    OrganisationKey,
    Quotas,
    Report,
    RunKey,
    ServerLimits, //
};
use limpetweir_state::Timestamp;
use rstest::rstest;
use support::idle_report;

const NOW: Timestamp = Timestamp::from_millis(10_000);

fn limit(rate: Option<f64>) -> LimitReport {
    LimitReport {
        run: RunKey(7),
        rate,
        age: Duration::MAX,
        sent: u64::MAX,
    }
}

/// Returns a report with the largest value of each number.
fn largest() -> Report {
    Report {
        boot: u64::MAX,
        sequence: u64::MAX,
        next_ms: u32::MAX,
        capacity: u32::MAX,
        online: vec![(BackendKey(7), u32::MAX); 3],
        waiting: u32::MAX,
        waiting_in_time: u32::MAX,
        admitted: vec![(OrganisationKey(1), u64::MAX)],
        suspects: vec![(BackendKey(7), u32::MAX)],
        limits: Some(vec![limit(Some(f64::MAX)), limit(Some(0.0))]),
        ..idle_report("peer")
    }
}

/// Guards against numbers of a report that stop an instance, or that change its decisions for longer
/// than the report is from.
#[test]
fn numbers_of_a_report_are_clamped() {
    let report = Report::decode(&largest().encode()).expect("a report");
    assert_eq!(report.next_ms, 60_000);
    assert_eq!(report.capacity, 1_000_000);
    assert_eq!(report.online, [(BackendKey(7), 65_536); 3]);
    assert_eq!(report.waiting, 1_000_000);
    assert_eq!(report.waiting_in_time, 1_000_000);
    assert_eq!(report.admitted, [(OrganisationKey(1), 1 << 53)]);
    assert_eq!(report.suspects, [(BackendKey(7), 60_000)]);
    let limits = report.limits.as_deref().expect("limits");
    let rates: Vec<Option<f64>> = limits.iter().map(|limit| limit.rate).collect();
    assert_eq!(rates, [Some(1e6), Some(0.0)]);
    assert!(limits.iter().all(|limit| limit.sent == 1 << 53));

    let mut load = Load::default();
    load.apply_report(&report, NOW);
    let mut quotas = Quotas::default();
    quotas.apply_report("peer", report.boot, &report.admitted, NOW);
    let mut server_limits = ServerLimits::new("one");
    for boot in 0..3 {
        let mut more = limits.to_vec();
        server_limits.apply_report("peer", boot, &more, NOW);
        more.iter_mut().for_each(|limit| limit.sent = 0);
        server_limits.apply_report("peer", boot, &more, NOW);
        server_limits.apply_report("peer", boot, limits, NOW);
    }
    let purpose = limpetweir_gateway::Purpose::Item;
    server_limits.permit(RunKey(7), purpose, NOW, u64::MAX);
}

/// Guards against a rate that is no number, on which every later computation fails.
#[rstest]
#[case(f64::NAN)]
#[case(f64::INFINITY)]
#[case(-1.0)]
fn a_rate_that_is_no_limit_is_ignored(#[case] rate: f64) {
    let report = Report {
        limits: Some(vec![limit(Some(rate)), limit(Some(2.0))]),
        ..idle_report("peer")
    };
    let report = Report::decode(&report.encode()).expect("a report");
    let rates: Vec<_> = report.limits.iter().flatten().map(|l| l.rate).collect();
    assert_eq!(rates, [Some(2.0)]);
}

/// Guards against an instance without a usable name, address or version: callers would be sent there,
/// or no configuration would count as the newest one.
#[rstest]
#[case::no_name(Report { name: String::new(), ..idle_report("") })]
#[case::long_name(idle_report(&"n".repeat(201)))]
#[case::two_lines(idle_report("a\nb"))]
#[case::long_zone(Report { zone: "z".repeat(201), ..idle_report("peer") })]
#[case::no_port(Report { public: ([10, 0, 0, 1], 0).into(), ..idle_report("peer") })]
#[case::any_address(Report { public: ([0, 0, 0, 0], 80).into(), ..idle_report("peer") })]
#[case::last_version(Report { version: u64::MAX, ..idle_report("peer") })]
fn an_unusable_report_is_ignored(#[case] report: Report) {
    assert_eq!(Report::decode(&report.encode()), None);
}
