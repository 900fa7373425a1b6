//! Tests of the token bucket.

use std::time::Duration;

use limpetweir_state::{
    Timestamp,
    TokenBucket, //
};
use rstest::rstest;

/// Guards against an interval with more admissions than the capacity plus rate times its length.
#[rstest]
#[case(7, 10.0, 5.0)]
#[case(13, 0.5, 1.0)]
#[case(29, 333.0, 40.5)]
fn every_interval_is_bounded(#[case] step_ms: u64, #[case] rate: f64, #[case] cap: f64) {
    let mut bucket = TokenBucket::full(rate, cap, Timestamp(0));
    let mut consumed: Vec<f64> = Vec::new();
    for step in 0..2_000 {
        // The intervals vary, so that the bucket is sometimes full and sometimes empty.
        let now = Timestamp::from_millis(step * step_ms + (step % 17) * (step % 5));
        while step % 50 > 20 && bucket.take(1, now) {
            consumed.push(now.0 as f64 / 1e6);
        }
    }
    for first in 0..consumed.len() {
        for last in first..consumed.len() {
            let count = (last - first + 1) as f64;
            assert!(count <= cap + rate * (consumed[last] - consumed[first]) + 1e-6);
        }
    }
}

/// Guards against a retry time that is too early or later than the next token.
#[test]
fn time_until_a_token_is_exact() {
    let mut bucket = TokenBucket::empty(4.0, 2.0, Timestamp(0));
    let wait = bucket.time_until(1, Timestamp(0)).unwrap();
    assert_eq!(wait, Duration::from_millis(250));
    assert!(!bucket.take(1, Timestamp(0) + (wait - Duration::from_millis(1))));
    assert!(bucket.take(1, Timestamp(0) + wait));
    assert_eq!(bucket.time_until(3, Timestamp(0)), None);
}

/// Guards against tokens that are gained when limits change or a timestamp is lower than before.
#[test]
fn changes_add_no_tokens() {
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
