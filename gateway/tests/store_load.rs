//! What an instance knows of its calls to the store.

use std::time::Duration;

use limpetweir_gateway::{
    BeforePage,
    CallTarget,
    StoreLoad,
    Topic, //
};
use limpetweir_state::Timestamp;
use rstest::rstest;

const BACKENDS: CallTarget = CallTarget::read(Topic::Backends, 0);

fn at(ms: u64) -> Timestamp {
    Timestamp::default() + Duration::from_millis(ms)
}

/// Guards against an outage of which the log shows the beginning only.
#[test]
fn a_target_that_goes_on_to_fail_is_reported_again() {
    let mut load = StoreLoad::default();
    let mut reported = Vec::new();
    for n in 0..100 {
        load.failed(BACKENDS, at(n * 500));
        if let Some(outage) = load.take_report(BACKENDS, at(n * 500)) {
            reported.push((outage.lasted.as_millis(), outage.attempts));
        }
    }
    let expected = [
        (2_000, 5),
        (6_000, 13),
        (14_000, 29),
        (24_000, 49),
        (34_000, 69),
        (44_000, 89),
    ];
    assert_eq!(reported, expected);
    load.answered(BACKENDS);
    load.failed(BACKENDS, at(60_000));
    assert_eq!(load.take_report(BACKENDS, at(60_500)), None);
}

/// Guards against instances that fail together and call again together, as often as before.
#[rstest]
#[case::reads(BACKENDS, 300, 1_000)]
#[case::appends_that_callers_wait_for(CallTarget::append(Topic::Jobs, 1), 200, 1_000)]
#[case::records_of_instances(CallTarget::append(Topic::Instances, 0), 1_600, 6_400)]
fn pauses_grow_until_a_call_is_answered(
    #[case] target: CallTarget,
    #[case] first: u64,
    #[case] max: u64,
) {
    let ms = Duration::from_millis;
    let mut load = StoreLoad::default();
    load.failed(target, at(0));
    assert_eq!(load.pause(target, 1.0), ms(first));
    assert_eq!(load.pause(target, 0.0), ms(first / 2));
    load.failed(target, at(1));
    assert_eq!(load.pause(target, 1.0), ms(first * 2));
    for n in 2..100 {
        load.failed(target, at(n));
    }
    assert_eq!(load.pause(target, 1.0), ms(max));
    load.answered(target);
    load.failed(target, at(200));
    assert_eq!(load.pause(target, 1.0), ms(first));
}

/// Guards against pages that the store sends to clients which have given up: each instance that finds the
/// store busy or without an answer asks for little first.
#[test]
fn a_page_follows_an_answer_while_the_store_is_busy_or_fails() {
    let mut load = StoreLoad::default();
    assert_eq!(load.before_page(BACKENDS), BeforePage::Unknown);
    load.failed(BACKENDS, at(0));
    assert_eq!(load.before_page(BACKENDS), BeforePage::Probe);
    load.page_answered(BACKENDS, Duration::from_millis(50));
    assert_eq!(load.before_page(BACKENDS), BeforePage::Nothing);
    load.page_answered(BACKENDS, Duration::from_millis(900));
    assert_eq!(load.before_page(BACKENDS), BeforePage::Probe);
    let jobs = CallTarget::read(Topic::Jobs, 0);
    assert_eq!(load.before_page(jobs), BeforePage::Unknown);
}
