//! Metrics of the online path.

use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{
    Counter,
    Histogram,
    Meter, //
};
use strum::IntoStaticStr;

/// Buckets of the added time in seconds; the required bounds are 1 ms at p50 and 5 ms at p99.
const ADDED_TIME_BUCKETS: [f64; 10] = [
    0.0001, 0.000_25, 0.0005, 0.001, 0.002, 0.005, 0.01, 0.05, 0.1, 1.0,
];

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub(super) enum Outcome {
    /// The whole response was passed to the connection.
    Complete,
    /// The caller got an error response.
    Refused,
    /// The stream ended with an error event.
    Broken,
    /// The caller disconnected before the end of the stream.
    CallerLeft,
}

/// Result of an attempt, up to the head of its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub(super) enum AttemptResult {
    /// The backend server sent a response.
    Answered,
    /// The request did not run.
    NotRun,
    /// The request may have run.
    Failed,
}

/// Instruments of the online path.
#[derive(Debug)]
pub(super) struct OnlineMetrics {
    requests: Counter<u64>,
    attempts: Counter<u64>,
    refusals: Counter<u64>,
    added: Histogram<f64>,
}

impl OnlineMetrics {
    pub(super) fn new(meter: &Meter) -> Self {
        let requests = meter
            .u64_counter("limpetweir_online_requests")
            .with_description("Online requests by outcome")
            .build();
        let attempts = meter
            .u64_counter("limpetweir_online_attempts")
            .with_description("Attempts of online requests by result")
            .build();
        let refusals = meter
            .u64_counter("limpetweir_online_refusals")
            .with_description("Errors given to online callers by code and verdict")
            .build();
        let added = meter
            .f64_histogram("limpetweir_online_added_seconds")
            .with_description("Time from the whole request to the answer head, without backends")
            .with_boundaries(ADDED_TIME_BUCKETS.to_vec())
            .build();
        Self {
            requests,
            attempts,
            refusals,
            added,
        }
    }

    pub(super) fn count_outcome(&self, outcome: Outcome) {
        let outcome = KeyValue::new("outcome", <&str>::from(outcome));
        self.requests.add(1, &[outcome]);
    }

    pub(super) fn count_attempt(&self, result: AttemptResult) {
        let result = KeyValue::new("result", <&str>::from(result));
        self.attempts.add(1, &[result]);
    }

    pub(super) fn count_error(&self, code: &'static str, verdict: &'static str) {
        let code = KeyValue::new("code", code);
        let verdict = KeyValue::new("verdict", verdict);
        self.refusals.add(1, &[code, verdict]);
        self.count_outcome(Outcome::Refused);
    }

    pub(super) fn record_added_time(&self, time: Duration) {
        self.added.record(time.as_secs_f64(), &[]);
    }
}
