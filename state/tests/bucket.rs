//! The token bucket against its bound.

use std::time::Duration;

use limpetweir_state::{
    Timestamp,
    TokenBucket, //
};
use rstest::rstest;

/// Guards against more admissions than the capacity plus rate times length in any interval.
#[rstest]
#[case(7, 10.0, 5.0)]
#[case(13, 0.5, 1.0)]
#[case(29, 333.0, 40.5)]
fn every_interval_is_bounded(#[case] step_ms: u64, #[case] rate: f64, #[case] cap: f64) {
    let mut bucket = TokenBucket::full(rate, cap, Timestamp(0));
    let mut taken: Vec<f64> = Vec::new();
    for step in 0..2_000 {
        // The gaps vary, so that the bucket is full at some times and empty at others.
        let now = Timestamp::from_millis(step * step_ms + (step % 17) * (step % 5));
        while step % 50 > 20 && bucket.take(1, now) {
            taken.push(now.0 as f64 / 1e6);
        }
    }
    for first in 0..taken.len() {
        for last in first..taken.len() {
            let count = (last - first + 1) as f64;
            assert!(count <= cap + rate * (taken[last] - taken[first]) + 1e-6);
        }
    }
}

/// Guards against a caller that is told to come back before or long after a token is there.
#[test]
fn time_until_a_token_is_exact() {
    let mut bucket = TokenBucket::empty(4.0, 2.0, Timestamp(0));
    let wait = bucket.time_until(1, Timestamp(0)).unwrap();
    assert_eq!(wait, Duration::from_millis(250));
    assert!(!bucket.take(1, Timestamp(0) + (wait - Duration::from_millis(1))));
    assert!(bucket.take(1, Timestamp(0) + wait));
    assert_eq!(bucket.time_until(3, Timestamp(0)), None);
}

/// Guards against tokens that appear when limits change or time seems to move back.
#[test]
fn changes_create_no_tokens() {
    let mut bucket = TokenBucket::full(1.0, 10.0, Timestamp::from_millis(5_000));
    bucket.set(1.0, 4.0, Timestamp::from_millis(5_000));
    bucket.set(1.0, 10.0, Timestamp::from_millis(5_000));
    assert_eq!(bucket.refill(Timestamp::from_millis(1_000)), 4.0);
    assert_eq!(bucket.refill(Timestamp::from_millis(6_000)), 5.0);
    assert_eq!(bucket.withdraw(7.5, Timestamp::from_millis(6_000)), 5.0);
    assert_eq!(bucket.take_up_to(3, Timestamp::from_millis(7_500)), 1);
    bucket.deposit(-3.0, Timestamp::from_millis(7_500));
    assert_eq!(bucket.refill(Timestamp::from_millis(7_500)), 0.5);
}
