//! Counters and latency histograms in the Prometheus text format.

use std::time::Duration;

use limpetweir_transport::http::ConnectionUse;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{
    Counter,
    Gauge,
    Histogram,
    MeterProvider, //
};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{
    Registry,
    TextEncoder, //
};

use super::attempt_history::AttemptKind;
use super::request_end::{
    CallerGot,
    RequestEnd, //
};
use super::store_call::CallOutcome;
use super::task_kinds::{
    Background,
    OneShot, //
};
use crate::admission::HoldCause;
use crate::batch::StopCause;
use crate::evacuation::EvacuationSource;
use crate::placement::LoadSpread;

/// Upper bounds of the duration buckets in seconds; the latency objectives are between 0.3 and 0.5.
const BUCKETS: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0, 20.0,
];

/// Metrics of one instance.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    /// Held because dropping it would shut down the exporter.
    _provider: SdkMeterProvider,
    online: Counter<u64>,
    request_ends: Counter<u64>,
    first_byte: Histogram<f64>,
    response_time: Histogram<f64>,
    items: Counter<u64>,
    item_runs: Histogram<f64>,
    item_stops: Counter<u64>,
    store_calls: Counter<u64>,
    store_call_time: Histogram<f64>,
    store_bytes: Counter<u64>,
    relayed_calls: Counter<u64>,
    response_heads: Counter<u64>,
    runs_lost: Counter<u64>,
    suspected_runs: Counter<u64>,
    requests_released: Counter<u64>,
    runs_withdrawn: Counter<u64>,
    requests_yielded: Counter<u64>,
    cases_opened: Counter<u64>,
    limited_requests: Counter<u64>,
    cold_servers: Gauge<u64>,
    cold_requests_denied: Counter<u64>,
    count_age: Histogram<f64>,
    server_load: Gauge<f64>,
    lines_dropped: Counter<u64>,
    task_restarts: Counter<u64>,
    task_panics: Counter<u64>,
    task_age: Gauge<f64>,
    inputs_skipped: Counter<u64>,
    reports: Counter<u64>,
    replica_selections: Counter<u64>,
    zone_evacuated: Gauge<f64>,
    client_limits: Counter<u64>,
    body_bytes: Gauge<u64>,
    response_bytes: Gauge<u64>,
}

impl Metrics {
    /// Creates the instruments and a registry of their own.
    pub(crate) fn new() -> Result<Self, String> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()
            .map_err(|err| err.to_string())?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("limpetweir-gateway");
        let histogram = |name: &'static str, description: &'static str| {
            let builder = meter.f64_histogram(name).with_description(description);
            builder.with_boundaries(BUCKETS.to_vec()).build()
        };
        let counter = |name: &'static str, description: &'static str| {
            meter
                .u64_counter(name)
                .with_description(description)
                .build()
        };
        Ok(Self {
            online: counter("limpetweir_online_requests", "Online requests by outcome"),
            request_ends: counter(
                "limpetweir_request_ends",
                "Requests and calls of callers by their end and by what the caller had got",
            ),
            first_byte: histogram(
                "limpetweir_online_first_byte_seconds",
                "Time from the request to the first byte of the answer",
            ),
            response_time: histogram(
                "limpetweir_online_answer_seconds",
                "Time from the request to the end of the answer",
            ),
            items: counter("limpetweir_item_runs", "Runs of items by their end"),
            item_runs: histogram("limpetweir_item_run_seconds", "Length of the runs of items"),
            item_stops: counter(
                "limpetweir_item_stops",
                "Runs of items that were stopped, by cause",
            ),
            store_calls: counter("limpetweir_store_calls", "Calls to the store by outcome"),
            store_call_time: histogram(
                "limpetweir_store_call_seconds",
                "Length of the calls to the store beyond the wait that they ask for",
            ),
            store_bytes: counter(
                "limpetweir_store_read_bytes",
                "Bytes of the records read from the store",
            ),
            relayed_calls: counter(
                "limpetweir_relayed_store_calls",
                "Store calls that a peer was asked to make, or that were made for a peer, by outcome",
            ),
            response_heads: counter(
                "limpetweir_response_heads",
                "Heads of the responses of backend servers by what they say about the request and by whether \
                 its connection was new",
            ),
            runs_lost: counter(
                "limpetweir_runs_lost",
                "Runs whose connection ended before the answer, with or without output",
            ),
            suspected_runs: counter(
                "limpetweir_crash_suspects",
                "Runs without output on backend servers that crashed, by what was known when they were placed",
            ),
            requests_yielded: counter(
                "limpetweir_requests_yielded",
                "Requests refused because others come first while a service has no room",
            ),
            runs_withdrawn: counter(
                "limpetweir_runs_withdrawn",
                "Runs without output that were ended because their request is blamed for crashes",
            ),
            requests_released: counter(
                "limpetweir_held_requests_released",
                "Requests that were held back because of a case that was closed later",
            ),
            cases_opened: counter(
                "limpetweir_held_parts_cases",
                "Sets of prompt parts that were held back since the start",
            ),
            limited_requests: counter(
                "limpetweir_limited_server_requests",
                "Requests to backend servers with a limit, by kind",
            ),
            cold_servers: meter
                .u64_gauge("limpetweir_cold_servers")
                .with_description("Backend servers that are cold and have a limit")
                .build(),
            cold_requests_denied: counter(
                "limpetweir_cold_server_requests_kept_away",
                "Requests that the rate of a cold backend server with a free slot kept away from it",
            ),
            count_age: histogram(
                "limpetweir_placement_count_age_seconds",
                "Mean age of the counts of requests from which a backend server was chosen",
            ),
            server_load: meter
                .f64_gauge("limpetweir_server_load")
                .with_description("Requests on the backend servers relative to their slots")
                .build(),
            lines_dropped: counter("limpetweir_log_lines_dropped", "Log lines not written"),
            task_restarts: counter(
                "limpetweir_task_restarts",
                "Restarts of background tasks after a panic or an unexpected end",
            ),
            task_panics: counter(
                "limpetweir_task_panics",
                "Panics of tasks with one purpose, such as the run of an item",
            ),
            task_age: meter
                .f64_gauge("limpetweir_task_age_seconds")
                .with_description("Time since the last step of a background task that is not idle")
                .build(),
            zone_evacuated: meter
                .f64_gauge("limpetweir_zone_evacuated_seconds")
                .with_description(
                    "Time for which a zone is known to be evacuated, by source; 0 after the withdrawal",
                )
                .build(),
            inputs_skipped: counter(
                "limpetweir_inputs_skipped",
                "Records and messages whose processing panicked",
            ),
            reports: counter(
                "limpetweir_reports",
                "Reports sent to and received from other instances, by direction",
            ),
            replica_selections: counter(
                "limpetweir_replica_selections",
                "Selections of the replicas of the jobs among the reachable instances",
            ),
            client_limits: counter(
                "limpetweir_client_limits",
                "Requests refused and connections closed because clients hold memory or connections, by cause",
            ),
            body_bytes: meter
                .u64_gauge("limpetweir_body_bytes")
                .with_description("Memory of the request bodies that are being read or kept")
                .build(),
            response_bytes: meter
                .u64_gauge("limpetweir_response_bytes")
                .with_description("Memory of the responses that wait for their callers")
                .build(),
            registry,
            _provider: provider,
        })
    }

    /// Counts an online request with its outcome and its duration.
    pub(crate) fn online(&self, outcome: &'static str, elapsed: Duration) {
        self.online.add(1, &[KeyValue::new("outcome", outcome)]);
        self.response_time.record(elapsed.as_secs_f64(), &[]);
    }

    /// Counts a request of a caller that has ended.
    pub(crate) fn request_ended(&self, end: RequestEnd, got: CallerGot) {
        let end: &'static str = end.into();
        let got: &'static str = got.into();
        let labels = [KeyValue::new("end", end), KeyValue::new("got", got)];
        self.request_ends.add(1, &labels);
    }

    /// Records the time to the first byte of a response.
    pub(crate) fn first_byte(&self, elapsed: Duration) {
        self.first_byte.record(elapsed.as_secs_f64(), &[]);
    }

    /// Counts a run of an item with its end and its duration.
    pub(crate) fn item(&self, end: &'static str, elapsed: Duration) {
        self.items.add(1, &[KeyValue::new("end", end)]);
        self.item_runs.record(elapsed.as_secs_f64(), &[]);
    }

    /// Counts a run of an item that was stopped.
    pub(crate) fn item_stopped(&self, cause: StopCause) {
        let cause: &'static str = cause.into();
        self.item_stops.add(1, &[KeyValue::new("cause", cause)]);
    }

    /// Counts a call to the store with its duration and the bytes of its records.
    pub(crate) fn store_call(&self, outcome: &CallOutcome) {
        let topic: &'static str = outcome.topic.into();
        let call: &'static str = outcome.call.into();
        let result: &'static str = outcome.end.into();
        let topic = KeyValue::new("topic", topic);
        let call = KeyValue::new("call", call);
        let result = KeyValue::new("outcome", result);
        let labels = [topic, call, result];
        self.store_calls.add(1, &labels);
        self.store_bytes.add(outcome.bytes as u64, &labels[..2]);
        let seconds = outcome.elapsed.as_secs_f64();
        self.store_call_time.record(seconds, &labels[..2]);
    }

    /// Counts a store call between instances; `side` is `asked` or `made`.
    pub(crate) fn relayed_call(
        &self,
        side: &'static str,
        call: &'static str,
        outcome: &'static str,
    ) {
        let labels = [
            KeyValue::new("side", side),
            KeyValue::new("call", call),
            KeyValue::new("outcome", outcome),
        ];
        self.relayed_calls.add(1, &labels);
    }

    /// Counts the head of a response; `verdict` is what it says about its request.
    pub(crate) fn response_head(&self, verdict: &'static str, on: ConnectionUse) {
        let connection = if on.earlier == 0 { "new" } else { "kept" };
        let labels = [
            KeyValue::new("verdict", verdict),
            KeyValue::new("connection", connection),
        ];
        self.response_heads.add(1, &labels);
    }

    /// Counts a run whose connection ended before its response did.
    pub(crate) fn run_lost(&self, any_output: bool) {
        let output = if any_output { "some" } else { "none" };
        self.runs_lost.add(1, &[KeyValue::new("output", output)]);
    }

    /// Counts a run without output on a server that crashed.
    pub(crate) fn suspected_run(&self, known: &'static str) {
        self.suspected_runs.add(1, &[KeyValue::new("known", known)]);
    }

    /// Counts requests that were held back because of a case that is closed.
    pub(crate) fn requests_released(&self, count: u64) {
        self.requests_released.add(count, &[]);
    }

    /// Counts a run that was ended because its request is blamed for crashes.
    pub(crate) fn run_withdrawn(&self) {
        self.runs_withdrawn.add(1, &[]);
    }

    /// Counts a request that is refused because others come first.
    pub(crate) fn request_yielded(&self, hold: HoldCause) {
        let cause = KeyValue::new("cause", <&str>::from(hold));
        self.requests_yielded.add(1, &[cause]);
    }

    /// Counts a set of prompt parts that is held back.
    pub(crate) fn case_opened(&self) {
        self.cases_opened.add(1, &[]);
    }

    /// Counts a request to a server with a limit.
    pub(crate) fn limited_request(&self, kind: AttemptKind) {
        let kind: &'static str = kind.into();
        let labels = [KeyValue::new("kind", kind)];
        self.limited_requests.add(1, &labels);
    }

    /// Records the number of cold servers with a limit.
    pub(crate) fn cold_servers(&self, count: usize) {
        self.cold_servers.record(count as u64, &[]);
    }

    /// Counts a request that went elsewhere or was refused because of the rate of a cold server.
    pub(crate) fn cold_request_denied(&self) {
        self.cold_requests_denied.add(1, &[]);
    }

    /// Records the age of the counts from which a server was chosen.
    pub(crate) fn placed(&self, age: Duration) {
        self.count_age.record(age.as_secs_f64(), &[]);
    }

    /// Records the load of the servers as this instance sees it.
    pub(crate) fn server_load(&self, spread: LoadSpread) {
        let measures = [("mean", spread.mean), ("p95", spread.p95)];
        for (measure, load) in measures {
            let labels = [KeyValue::new("measure", measure)];
            self.server_load.record(load, &labels);
        }
    }

    /// Counts dropped log lines.
    pub(crate) fn lines_dropped(&self, count: u64) {
        self.lines_dropped.add(count, &[]);
    }

    /// Counts a restart of a background task.
    pub(crate) fn task_restarted(&self, task: Background) {
        let labels = [KeyValue::new("task", task.to_string())];
        self.task_restarts.add(1, &labels);
    }

    /// Counts a panic of a task with one purpose.
    pub(crate) fn task_panicked(&self, task: OneShot) {
        let labels = [KeyValue::new("task", task.to_string())];
        self.task_panics.add(1, &labels);
    }

    /// Records for how long a background task has made no step.
    pub(crate) fn task_age(&self, task: Background, age: Duration) {
        let labels = [KeyValue::new("task", task.to_string())];
        self.task_age.record(age.as_secs_f64(), &labels);
    }

    /// Records for how long a zone is known to be evacuated; 0 if it is not, or from another source.
    pub(crate) fn zone_evacuated(&self, zone: &str, source: EvacuationSource, age: Duration) {
        let source: &'static str = source.into();
        let labels = [
            KeyValue::new("zone", zone.to_owned()),
            KeyValue::new("source", source),
        ];
        self.zone_evacuated.record(age.as_secs_f64(), &labels);
    }

    /// Counts a record or a message that is skipped because its processing has panicked.
    pub(crate) fn input_skipped(&self) {
        self.inputs_skipped.add(1, &[]);
    }

    /// Counts reports to other instances.
    pub(crate) fn reports_sent(&self, count: usize) {
        let direction = KeyValue::new("direction", "sent");
        self.reports.add(count as u64, &[direction]);
    }

    /// Counts a report of another instance.
    pub(crate) fn report_received(&self) {
        let direction = KeyValue::new("direction", "received");
        self.reports.add(1, &[direction]);
    }

    /// Counts a selection of the replicas of the jobs.
    pub(crate) fn replicas_selected(&self) {
        self.replica_selections.add(1, &[]);
    }

    /// Counts requests refused and connections closed for `cause`.
    pub(crate) fn client_limited(&self, cause: &'static str, count: u64) {
        self.client_limits
            .add(count, &[KeyValue::new("cause", cause)]);
    }

    /// Records the memory of the request bodies.
    pub(crate) fn body_bytes(&self, bytes: usize) {
        self.body_bytes.record(bytes as u64, &[]);
    }

    /// Records the memory of the responses that wait for their callers.
    pub(crate) fn response_bytes(&self, bytes: usize) {
        self.response_bytes.record(bytes as u64, &[]);
    }

    /// Encodes all metrics in the Prometheus text format.
    pub(crate) fn render(&self) -> String {
        let families = self.registry.gather();
        let text = TextEncoder::new().encode_to_string(&families);
        text.unwrap_or_else(|err| format!("# cannot encode the metrics: {err}\n"))
    }
}
