//! Metrics of the instance, exported in the Prometheus text format.

use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{
    Counter,
    Histogram,
    Meter,
    MeterProvider, //
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{
    Registry,
    TextEncoder, //
};
use snafu::Snafu;
use strum::IntoStaticStr;

/// Histogram buckets of request durations in seconds.
const DURATION_BUCKETS: [f64; 14] = [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 60.0,
];

/// A failure to set up or export metrics.
#[derive(Debug, Snafu)]
#[snafu(display("cannot export metrics: {message}"))]
pub struct MetricsError {
    message: String,
}

/// A listener of the daemon, as a metric label.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Listener {
    /// Listener for callers.
    Public,
    /// Listener for operators.
    Admin,
}

/// Metrics of one instance.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Held so that the exporter stays active.
    _provider: SdkMeterProvider,
    meter: Meter,
    requests: Counter<u64>,
    durations: Histogram<f64>,
}

impl Metrics {
    /// Creates metrics with an empty registry.
    pub fn new() -> Result<Self, MetricsError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()
            .map_err(failed)?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("limpetweir");
        let requests = meter
            .u64_counter("limpetweir_requests")
            .with_description("Answered requests by listener and status")
            .build();
        let durations = meter
            .f64_histogram("limpetweir_request_head_seconds")
            .with_description("Time from the request head to the answer head")
            .with_boundaries(DURATION_BUCKETS.to_vec())
            .build();
        Ok(Self {
            registry,
            _provider: provider,
            meter,
            requests,
            durations,
        })
    }

    /// Returns the meter for creating further instruments.
    pub fn meter(&self) -> &Meter {
        &self.meter
    }

    /// Records a response whose head was sent `after` the request head was received.
    pub fn record_response(&self, listener: Listener, status: u16, after: Duration) {
        let listener = KeyValue::new("listener", <&str>::from(listener));
        let status = KeyValue::new("status", i64::from(status));
        self.durations
            .record(after.as_secs_f64(), std::slice::from_ref(&listener));
        self.requests.add(1, &[listener, status]);
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn render(&self) -> Result<String, MetricsError> {
        let families = self.registry.gather();
        TextEncoder::new()
            .encode_to_string(&families)
            .map_err(failed)
    }
}

fn failed(err: impl ToString) -> MetricsError {
    MetricsError {
        message: err.to_string(),
    }
}
