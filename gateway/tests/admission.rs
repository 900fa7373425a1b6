//! Decisions about who yields while a service has no room.

#[path = "support/mod.rs"]
mod support;

use std::time::Duration;

use limpetweir_gateway::{
    Configuration,
    ConfigurationParts,
    HOLD,
    HoldCause,
    Level,
    Organisation,
    OrganisationKey,
    OrganisationUsage,
    Report,
    ServiceKey,
    ShortageReport,
    Shortages, //
};
use limpetweir_state::Timestamp;
use rstest::rstest;
use support::idle_report;

const SERVICE: ServiceKey = ServiceKey(1);

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(10_000 + ms)
}

fn level(priority: u8, over_share: bool) -> Level {
    Level {
        priority,
        over_share,
    }
}

/// Guards against a less urgent request that takes the slot for which a more urgent one was refused.
#[rstest]
#[case::more_urgent(level(0, false), None)]
#[case::more_urgent_over_its_share(level(0, true), None)]
#[case::same(level(1, false), None)]
#[case::same_over_its_share(level(1, true), Some(HoldCause::Share))]
#[case::less_urgent(level(2, false), Some(HoldCause::Priority))]
fn a_refusal_holds_back_what_comes_after(
    #[case] other: Level,
    #[case] expected: Option<HoldCause>,
) {
    let mut shortages = Shortages::default();
    shortages.refused(SERVICE, level(1, false), at(0));
    assert_eq!(shortages.hold_cause(SERVICE, other, at(99)), expected);
    assert_eq!(shortages.hold_cause(SERVICE, other, at(100)), None);
    assert_eq!(shortages.hold_cause(ServiceKey(2), other, at(1)), None);
}

/// Guards against instances that decide differently, and against refusals that instances repeat to each
/// other for ever.
#[rstest]
#[case(3)]
#[case(300)]
fn all_instances_hold_back_alike(#[case] instances: usize) {
    let mut fleet: Vec<Shortages> = Vec::new();
    fleet.resize_with(instances, Shortages::default);
    fleet[0].refused(SERVICE, level(0, false), at(0));
    let report = Report {
        shortages: fleet[0].reports(at(5)),
        ..idle_report("a")
    };
    let report = Report::decode(&report.encode()).expect("a valid report");
    for other in &mut fleet[1..] {
        other.apply_report(&report.shortages, at(8));
        assert_eq!(
            other.hold_cause(SERVICE, level(1, false), at(90)),
            Some(HoldCause::Priority)
        );
        assert_eq!(other.hold_cause(SERVICE, level(1, false), at(110)), None);
        assert!(other.reports(at(8)).is_empty());
    }
}

/// Guards against a report for each of the refusals of a burst, and against a hold that ends in it.
#[test]
fn a_burst_of_refusals_is_told_every_half_hold() {
    let mut shortages = Shortages::default();
    let told = (0..100).filter(|ms| shortages.refused(SERVICE, level(0, false), at(10 * ms)));
    let hold_ms = u64::try_from(HOLD.as_millis()).expect("a short time");
    let told = told.count() as u64;
    assert!((1_000 / hold_ms..=1_000 / (hold_ms / 2) + 1).contains(&told));
    assert!(shortages.is_short(SERVICE, at(1_089)));
    assert!(!shortages.is_short(SERVICE, at(1_090)));
}

/// Guards against a report with any number of services that takes up memory.
#[test]
fn reported_shortages_are_bounded() {
    let mut shortages = Shortages::default();
    let reports = (0..100_000).map(|service| ShortageReport {
        service: ServiceKey(service),
        level: level(0, false),
        age: Duration::from_millis(u64::from(service % 200)),
    });
    shortages.apply_report(&reports.collect::<Vec<_>>(), at(0));
    assert!(shortages.is_short(ServiceKey(0), at(1)));
    assert!(!shortages.is_short(ServiceKey(99_999), at(1)));
}

fn shares(rates: &[(&str, f64)]) -> OrganisationUsage {
    let organisations = rates.iter().map(|(name, rate)| Organisation {
        name: (*name).to_owned(),
        keys: Vec::new(),
        rate: Some(*rate),
        burst: *rate,
        priority: None,
    });
    let parts = ConfigurationParts {
        version: 1,
        organisations: organisations.collect(),
        ..ConfigurationParts::default()
    };
    let mut shares = OrganisationUsage::default();
    shares.configure(&Configuration::from(parts));
    shares
}

/// Guards against an organisation that sends several times its usual and takes the room of the others, and
/// against a large one that is held back for its size.
#[test]
fn an_organisation_that_sends_a_burst_is_over_its_share() {
    let mut shares = shares(&[("large", 90.0), ("small", 5.0), ("burst", 5.0)]);
    let key = OrganisationKey::of;
    for step in 0..20 {
        shares.admitted(key("large"), 9, at(100 * step));
        shares.admitted(key("small"), u64::from(step % 2 == 0), at(100 * step));
        shares.admitted(key("burst"), 4, at(100 * step));
    }
    assert!(!shares.is_over(key("large"), at(2_000)));
    assert!(!shares.is_over(key("small"), at(2_000)));
    assert!(shares.is_over(key("burst"), at(2_000)));
    assert!(!shares.is_over(key("burst"), at(30_000)));
    assert!(!shares.is_over(key("unknown"), at(2_000)));
}
