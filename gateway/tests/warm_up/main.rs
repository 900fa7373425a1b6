//! Cold backend servers: a model of instances that send to them, and what makes a server cold.

mod model;
#[path = "../support/mod.rs"]
mod support;

use std::time::Duration;

use limpetweir_gateway::{
    BackendEntry,
    ColdSource,
    ColdTime,
    MAX_COLD_RATE,
    MAX_COLD_TIME,
    MIN_COLD_RATE,
    Permit,
    Purpose,
    Report,
    RunKey,
    ServerLimits,
    StatedLimit,
    WarmUp, //
};
use limpetweir_state::Timestamp;
use model::{
    CALM,
    Model,
    Trouble, //
};
use rstest::rstest;

const ONLINE: Purpose = Purpose::Online { items_wait: false };

/// Terms of the platform: 3 s, and 19 requests per second.
const RATE: f64 = 19.0;
const COLD_MS: u64 = 3_000;

/// Most requests in any second, by the requirement.
const BOUND: f64 = RATE * 1.5 + 5.0;

/// Part of the rate that is to be used.
const USED: f64 = 0.8;

/// Time between two reports without a change.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Unix time at the beginning of a model in milliseconds.
const UNIX_MS: u64 = 1_700_000_000_000;

fn ms(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

fn cold_for(ms: u64) -> ColdTime {
    ColdTime::parse_ms(&ms.to_string())
}

fn entry(id: usize, born: u64) -> BackendEntry {
    BackendEntry {
        id: format!("i-{id}"),
        service: "s".to_owned(),
        addr: ([127, 0, 0, 1], 1).into(),
        zone: "z".to_owned(),
        slots: Some(8),
        draining: false,
        born,
        cold_remaining: ColdTime::default(),
    }
}

/// Returns the limits of an instance that knows the terms of the platform.
fn limits(name: &str) -> ServerLimits {
    let mut limits = ServerLimits::new(name);
    let (terms, _) = WarmUp::nearest(3.0, RATE);
    let terms = terms.map(|terms| ("s".to_owned(), terms));
    limits.cold_mut().configure(terms.into_iter());
    limits
}

/// Returns the model of a zone with 24 of 71 servers that returns, for a fleet of `count` instances, of
/// which those of one cell send to its servers: three times the requests that fill the slots for 0.75 s.
fn zone_returns(count: usize, trouble: Trouble) -> Model {
    let (servers, demand) = match count {
        3 => (3, 3.0 * 9.0 * 8.0 / 0.75),
        count if count > 96 => (24, 3.0 * 24.0 * 8.0 / 0.75),
        _ => (24, 3.0 * 71.0 * 8.0 / 0.75),
    };
    let senders = if count > 96 { count / 4 } else { count };
    Model::play(senders, servers, demand, trouble)
}

/// Load pattern: a zone returns with all its servers cold in a peak of requests. Guards against more
/// requests in a second than a cold server survives, and against servers that stay unused.
#[rstest]
#[case::calm(CALM, 0)]
#[case::reports_lost(Trouble { lost: Some((900, 1_150)), ..CALM }, 0)]
#[case::reports_lost_at_first(Trouble { lost: Some((0, 250)), ..CALM }, 0)]
#[case::cut_off(Trouble { cut_off: 0.2, ..CALM }, 0)]
#[case::clocks_differ(Trouble { clocks_ms: 1_000, ..CALM }, 0)]
#[case::read_late(Trouble { read_ms: 1_400, ..CALM }, 1_400)]
#[case::restarted(Trouble { restarted: 0.2, ..CALM }, 0)]
// What was sent in the second before the restart is not known.
#[case::all_restarted(Trouble { restarted: 1.0, ..CALM }, 2_000)]
#[case::items_wait(Trouble { items: true, ..CALM }, 0)]
#[case::few_have_callers(Trouble { with_callers: 0.34, ..CALM }, 0)]
#[case::all_were_idle(Trouble { idle_before: true, ..CALM }, 0)]
fn a_zone_that_returns_cold_gets_its_rate(
    #[values(3, 77, 300)] count: usize,
    #[case] trouble: Trouble,
    #[case] from_ms: u64,
) {
    let model = zone_returns(count, trouble);
    let (most, used) = (model.most(), model.used(from_ms));
    println!(
        "count={count} most={most} used={used:.2} reported={}",
        model.most_reported
    );
    assert!(most as f64 <= BOUND, "{most} requests in a second");
    assert!(used >= USED, "{used} of the rate is used");
}

/// Load pattern: one server is replaced at full load and is the only empty one. Guards against
/// instances that all choose it at the same moment.
#[rstest]
fn one_empty_server_gets_its_rate(
    #[values(3, 77)] count: usize,
    #[values(CALM, Trouble { lost: Some((900, 1_150)), ..CALM }, Trouble { cut_off: 0.2, ..CALM })]
    trouble: Trouble,
) {
    let model = Model::play(count, 1, 2_000.0, trouble);
    let (most, used) = (model.most(), model.used(0));
    println!("count={count} most={most} used={used:.2}");
    assert!(most as f64 <= BOUND, "{most} requests in a second");
    assert!(used >= USED, "{used} of the rate is used");
}

/// Returns whether a request would be sent to `run`, and how.
fn permit(limits: &ServerLimits, run: RunKey, at: u64) -> Permit {
    limits.permit(run, ONLINE, ms(at), UNIX_MS + at)
}

/// Guards against a server that counts as warm although its start, its entry or a response says that it is
/// cold, and against one that stays cold. The server was read 10 s after the start of the instance.
#[rstest]
#[case::started_just_now(10_000, 0, None, Some((ColdSource::Start, 13_000)))]
#[case::started_before(8_500, 0, None, Some((ColdSource::Start, 11_500)))]
#[case::has_run_for_long(7_000, 0, None, None)]
#[case::its_clock_is_ahead(10_900, 0, None, Some((ColdSource::Start, 13_000)))]
#[case::born_in_the_far_future(u64::MAX - UNIX_MS, 0, None, Some((ColdSource::Start, 13_000)))]
#[case::by_its_entry(1_000, 2_000, None, Some((ColdSource::Entry, 12_000)))]
#[case::by_the_later_one(9_000, 2_800, None, Some((ColdSource::Entry, 12_800)))]
#[case::by_its_response(1_000, 0, Some(2_500), Some((ColdSource::Response, 12_500)))]
#[case::response_is_longer(9_000, 500, Some(4_000), Some((ColdSource::Start, 14_000)))]
#[case::response_is_shorter(9_000, 500, Some(1), Some((ColdSource::Start, 12_000)))]
fn a_server_is_cold_by_the_latest_of_all_times(
    #[case] born: u64,
    #[case] in_entry: u64,
    #[case] in_response: Option<u64>,
    #[case] cold: Option<(ColdSource, u64)>,
) {
    let mut limits = limits("one");
    let entry = entry(1, UNIX_MS + born);
    let (now, unix_ms) = (ms(10_000), UNIX_MS + 10_000);
    let servers = limits.cold_mut();
    let mut began = servers.entry_read(&entry, &cold_for(in_entry), now, unix_ms);
    let again = servers.entry_read(&entry, &cold_for(in_entry), now, unix_ms);
    if let Some(stated) = in_response {
        began = began.or(servers.responded(&entry, &cold_for(stated), now));
    }
    assert_eq!(
        began.map(|span| span.source),
        cold.map(|(source, _)| source)
    );
    assert_eq!(again, None, "a span is logged once");
    let run = entry.run();
    let end = cold.map_or(10_000, |(_, end)| end);
    assert_eq!(limits.cold().is_cold(run, ms(end - 1)), cold.is_some());
    assert!(!limits.cold().is_cold(run, ms(end)));
    assert_eq!(permit(&limits, run, end), Permit::Unlimited);
}

/// Guards against a restart under the same identifier that counts as the run before, against a server
/// that becomes cold again unnoticed, and against limits without a configuration.
#[test]
fn runs_spans_and_services_are_told_apart() {
    let mut limits = limits("one");
    let servers = limits.cold_mut();
    let none = ColdTime::default();
    let (first, second) = (entry(1, UNIX_MS), entry(1, UNIX_MS + 20_000));
    assert_eq!(
        servers.entry_read(&first, &none, ms(20_000), UNIX_MS + 20_000),
        None
    );
    let began = servers.entry_read(&second, &none, ms(20_500), UNIX_MS + 20_500);
    assert_eq!(
        began.map(|span| span.remaining),
        Some(Duration::from_millis(2_500))
    );
    assert!(!servers.is_cold(first.run(), ms(20_500)));
    assert!(
        servers
            .entry_read(&second, &cold_for(1_000), ms(30_000), UNIX_MS + 30_000)
            .is_some()
    );
    assert!(servers.is_cold(second.run(), ms(30_999)));
    let other = BackendEntry {
        service: "other".to_owned(),
        ..entry(2, UNIX_MS + 30_000)
    };
    assert_eq!(
        servers.entry_read(&other, &cold_for(1_000), ms(30_000), UNIX_MS + 30_000),
        None
    );
    assert_eq!(permit(&limits, other.run(), 30_000), Permit::Unlimited);
}

/// Guards against instances that learn only from the entry, up to 2.6 s later, that a server has become
/// cold again, and against what they repeat to each other without end.
#[test]
fn a_response_is_told_to_the_others_first_hand() {
    let (mut first, mut second) = (limits("one"), limits("two"));
    let entry = entry(1, 0);
    let stated = cold_for(2_000);
    first.cold_mut().responded(&entry, &stated, ms(10_000));
    let reports = first.cold().reports(ms(10_500));
    let service_of = |_| Some("s".to_owned());
    let servers = second.cold_mut();
    let began = servers.apply_report("one", 1, &reports, service_of, ms(20_000));
    let began = began.first().map(|(run, span)| (*run, span.source));
    assert_eq!(began, Some((entry.run(), ColdSource::Report)));
    assert!(second.cold().is_cold(entry.run(), ms(21_499)));
    assert!(!second.cold().is_cold(entry.run(), ms(21_500)));
    assert_eq!(second.cold().reports(ms(20_000)), []);
}

/// Guards against the higher one of two limits, and against requests that count for one of them only.
#[rstest]
#[case::stated_is_lower(1.0, 2)]
#[case::cold_is_lower(500.0, 21)]
fn a_server_with_both_limits_keeps_to_the_lower_one(#[case] stated: f64, #[case] most: u32) {
    let mut limits = limits("one");
    let entry = entry(1, 0);
    limits
        .cold_mut()
        .entry_read(&entry, &cold_for(9_000), ms(9_000), UNIX_MS);
    limits.stated(
        entry.run(),
        &StatedLimit::Rate(stated),
        ms(9_000),
        ms(9_001),
    );
    let (mut sent, run) = (0, entry.run());
    for at in 9_001..18_000 {
        if permit(&limits, run, at) != Permit::Denied {
            limits.sent(run, ms(at));
            sent += u32::from(at >= 17_000);
        }
    }
    assert!((1..=most).contains(&sent), "{sent} in the last second");
}

/// Guards against an instance that has just started and believes that it is the only one.
#[test]
fn a_started_instance_that_knows_nobody_waits() {
    let mut limits = limits("one");
    let entry = entry(1, UNIX_MS);
    limits
        .cold_mut()
        .entry_read(&entry, &cold_for(9_000), ms(500), UNIX_MS + 500);
    assert_eq!(permit(&limits, entry.run(), 1_000), Permit::Denied);
    assert_eq!(permit(&limits, entry.run(), 4_000), Permit::Paced);
}

/// Guards against values out of range that overflow, panic, or keep a server cold for ever.
#[rstest]
#[case("-5", 0, true)]
#[case("soon", 0, true)]
#[case("", 0, true)]
#[case("nan", 0, true)]
#[case("1e999", MAX_COLD_TIME.as_millis(), true)]
#[case("18446744073709551616", MAX_COLD_TIME.as_millis(), true)]
#[case(" 0 ", 0, false)]
#[case("1500", 1_500, false)]
fn stated_times_are_brought_into_range(#[case] text: &str, #[case] ms: u128, #[case] bad: bool) {
    let time = ColdTime::parse_ms(text);
    assert_eq!(
        (time.remaining.as_millis(), time.invalid.is_some()),
        (ms, bad)
    );
}

/// Guards against terms of the configuration that divide by 0 or overflow.
#[rstest]
#[case(3.0, 19.0, Some(19.0), false)]
#[case(3.0, 0.0, None, false)]
#[case(-1.0, 19.0, Some(19.0), true)]
#[case(3.0, -19.0, None, true)]
#[case(f64::NAN, f64::NAN, None, true)]
#[case(1e300, 1e300, Some(MAX_COLD_RATE), true)]
#[case(3.0, 1e-300, Some(MIN_COLD_RATE), true)]
fn terms_are_brought_into_range(
    #[case] duration_s: f64,
    #[case] per_s: f64,
    #[case] rate: Option<f64>,
    #[case] bad: bool,
) {
    let (terms, is_invalid) = WarmUp::nearest(duration_s, per_s);
    assert_eq!((terms.map(|t| t.rate), is_invalid), (rate, bad));
    let mut limits = ServerLimits::new("one");
    let terms = terms.map(|terms| ("s".to_owned(), terms));
    limits.cold_mut().configure(terms.into_iter());
    let entry = entry(1, u64::MAX);
    limits
        .cold_mut()
        .entry_read(&entry, &cold_for(u64::MAX), ms(9_000), UNIX_MS);
    for unix_ms in [0, UNIX_MS, u64::MAX] {
        limits.permit(entry.run(), ONLINE, ms(9_000), unix_ms);
        limits.sent(entry.run(), ms(9_000));
    }
}

/// Guards against reports that grow with what was sent long ago or to servers that are warm. 40 cold
/// servers take less than a kilobyte.
#[test]
fn reports_name_only_cold_servers_with_recent_requests() {
    let mut limits = limits("one");
    for n in 0..40 {
        let entry = entry(n, 0);
        limits
            .cold_mut()
            .entry_read(&entry, &cold_for(5_000), ms(9_000), UNIX_MS);
        for at in (9_000..10_000).step_by(100) {
            limits.sent(entry.run(), ms(at));
        }
    }
    let empty = support::idle_report("one").encode().len();
    let mut report = support::idle_report("one");
    report.cold = limits.cold().reports(ms(10_000));
    assert_eq!(report.cold.len(), 40);
    assert!(report.encode().len() - empty < 1_000);
    assert_eq!(limits.cold().reports(ms(12_000)), [], "sent long ago");
    let decoded = Report::decode(&report.encode()).expect("a report");
    assert_eq!(decoded.cold, report.cold);
}

/// Guards against items that take the rate of a cold server before the online requests of the same
/// moment, and against items that get nothing.
#[test]
fn online_requests_come_before_items() {
    let mut limits = limits("one");
    let entry = entry(1, 0);
    let stated = cold_for(9_000);
    let servers = limits.cold_mut();
    servers.entry_read(&entry, &stated, ms(9_000), UNIX_MS);
    let (mut online_first, mut items) = (0, 0);
    for at in 10_000..12_000 {
        let online = permit(&limits, entry.run(), at) == Permit::Paced;
        let item = limits.permit(entry.run(), Purpose::Item, ms(at), UNIX_MS + at);
        assert!(online || item == Permit::Denied);
        online_first += u32::from(online && item == Permit::Denied);
        if item == Permit::Paced {
            limits.sent(entry.run(), ms(at));
            items += 1;
        }
    }
    assert!(online_first > 0 && items > 0, "{online_first} and {items}");
}
