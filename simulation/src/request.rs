//! What a request needs and when it is worth how much, for the bounds.

use crate::arrivals::Arrival;
use crate::capacity::{
    delay,
    millis, //
};
use crate::plan::{
    Plan,
    Work, //
};

/// A request or item as the servers see it. Times are at the servers, in milliseconds: the delays
/// between callers and servers are taken off.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Request {
    /// Index of its class.
    pub(crate) class: usize,
    /// When the caller sends it.
    pub(crate) at: f64,
    /// Whether it is an item of a job.
    pub(crate) batch: bool,
    /// Earliest start.
    pub(crate) start: f64,
    /// Latest first event on time.
    pub(crate) first_by: f64,
    /// Longest pause between two events on time; at least 0.
    pub(crate) pause: f64,
    /// Latest last event on time; at most `late_by`.
    pub(crate) done_by: f64,
    /// Latest last event that is worth anything.
    pub(crate) late_by: f64,
    /// Worth on time.
    pub(crate) worth: f64,
    /// Worth late; at most `worth`.
    pub(crate) late_worth: f64,
    /// Tokens of the prompt.
    pub(crate) prompt: f64,
    /// Tokens of the prompt that a server may have in its cache; at most `prompt`.
    pub(crate) cached: f64,
    /// Events of the response; at least 1.
    pub(crate) events: u32,
    /// Decode steps per event; at least 1.
    pub(crate) steps: u32,
}

impl Request {
    pub(crate) fn new(plan: &Plan, arrival: &Arrival) -> Self {
        let class = &plan.classes[arrival.class];
        let delay = delay(plan);
        let at = millis(arrival.at);
        let (worth, late_worth) = arrival.worth(class);
        let late_by = (at + millis(class.deadline)).min(millis(plan.end)) - delay;
        let (first_by, pause, done_by) = match class.work {
            Work::Stream { target, pause } => {
                let first_by = at + millis(target) - delay;
                let pauses = f64::from(arrival.output_events - 1) * millis(pause);
                (first_by, millis(pause), first_by + pauses)
            }
            Work::Batch { due, .. } => {
                let due = at + millis(due) - delay;
                (due, f64::INFINITY, due)
            }
        };
        let prompt = f64::from(arrival.prompt_tokens);
        Self {
            class: arrival.class,
            at,
            batch: arrival.job.is_some(),
            start: at + delay,
            first_by: first_by.min(late_by),
            pause,
            done_by: done_by.min(late_by),
            late_by,
            worth,
            late_worth,
            prompt,
            cached: f64::from(class.cached_tokens).min(prompt),
            events: arrival.output_events,
            steps: class.tokens_per_event,
        }
    }

    /// Decode steps of the whole response, which are its tokens.
    pub(crate) fn tokens(&self) -> f64 {
        f64::from(self.events) * f64::from(self.steps)
    }
}
