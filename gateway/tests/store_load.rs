//! What an instance knows of its calls to the store.

use std::time::Duration;

use limpetweir_gateway::{
    CallTarget,
    StoreLoad,
    Topic, //
};
use limpetweir_state::Timestamp;

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
