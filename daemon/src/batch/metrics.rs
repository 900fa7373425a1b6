//! Metrics of the batch path.

use opentelemetry::KeyValue;
use opentelemetry::metrics::{
    Counter,
    Meter, //
};

/// Instruments of the batch path.
#[derive(Debug)]
pub(super) struct BatchMetrics {
    jobs: Counter<u64>,
    attempts: Counter<u64>,
    items: Counter<u64>,
    cancels: Counter<u64>,
    tokens: Counter<u64>,
}

impl BatchMetrics {
    pub(super) fn new(meter: &Meter) -> Self {
        let counter = |name: &'static str, text: &'static str| {
            meter.u64_counter(name).with_description(text).build()
        };
        Self {
            jobs: counter("limpetweir_batch_jobs", "Accepted batch jobs"),
            attempts: counter("limpetweir_batch_attempts", "Ended item attempts by end"),
            items: counter("limpetweir_batch_items", "Recorded items by outcome"),
            cancels: counter("limpetweir_batch_cancels", "Cancelled item streams"),
            tokens: counter("limpetweir_batch_tokens", "Billed tokens by kind"),
        }
    }

    /// Counts a job whose submission was read back from the log.
    pub(super) fn job(&self) {
        self.jobs.add(1, &[]);
    }

    /// Counts the end of an attempt.
    pub(super) fn attempt(&self, end: &'static str) {
        self.attempts.add(1, &[KeyValue::new("end", end)]);
    }

    /// Counts items whose outcome was read back from the log.
    pub(super) fn recorded(&self, outcome: &'static str, count: u64) {
        self.items.add(count, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts billed tokens.
    pub(super) fn billed(&self, prompt: u64, completion: u64) {
        self.tokens.add(prompt, &[KeyValue::new("kind", "prompt")]);
        let completion_kind = KeyValue::new("kind", "completion");
        self.tokens.add(completion, &[completion_kind]);
    }

    /// Counts a stream that the batch manager cancelled.
    pub(super) fn cancelled(&self) {
        self.cancels.add(1, &[]);
    }
}
