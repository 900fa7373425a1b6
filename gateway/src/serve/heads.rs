//! What backend servers say about themselves in the heads of their responses.

use std::sync::Arc;

use limpetweir_state::Timestamp;

use super::lines::{
    BACKEND_LEAVES,
    LIMIT_BEGAN,
    LIMIT_CHANGED,
    LIMIT_ENDED,
    LIMIT_INVALID,
    log_event, //
};
use super::node::{
    Node,
    State, //
};
use crate::backend::{
    BackendEntry,
    RunKey, //
};
use crate::platform::ResponseHead;
use crate::server_limit::{
    LimitChange,
    StatedLimit,
    Statement, //
};

/// Applies the head of a response to a request that was sent to `entry` at `sent_at`.
pub(crate) fn apply<P>(
    node: &Arc<Node<P>>,
    entry: &BackendEntry,
    sent_at: Timestamp,
    head: &ResponseHead,
) {
    let now = node.now();
    let run = entry.run();
    if let StatedLimit::Invalid(text) = &head.limit {
        log_event!(LIMIT_INVALID, "backend={} value={text:?}", entry.id);
    }
    let mut state = node.lock();
    if let Some(change) = state.limits.stated(run, &head.limit, sent_at, now) {
        log_change(&entry.id, change, "response");
        node.report_due.notify(usize::MAX);
    }
    if head.leaving && says_leaving(&mut state, run, now, "response") {
        node.report_due.notify(usize::MAX);
    }
}

/// Records that a response of `run` said that it leaves; returns whether that is new.
pub(crate) fn says_leaving(state: &mut State, run: RunKey, now: Timestamp, source: &str) -> bool {
    let is_new = state.backends.says_leaving(run, now);
    if is_new && let Some(backend) = state.backends.of_run(run) {
        let id = &backend.entry.id;
        log_event!(BACKEND_LEAVES, "backend={id} source={source}");
    }
    is_new
}

/// Logs changes that another instance reports.
pub(crate) fn log_changes(state: &State, changes: &[(RunKey, LimitChange)], source: &str) {
    for (run, change) in changes {
        if let Some(backend) = state.backends.of_run(*run) {
            log_change(&backend.entry.id, *change, source);
        }
    }
}

fn log_change(backend: &str, change: LimitChange, source: &str) {
    match change {
        LimitChange::Began(rate) => {
            log_event!(LIMIT_BEGAN, "backend={backend} rate={rate} source={source}");
        }
        LimitChange::Changed { before, rate } => {
            log_event!(
                LIMIT_CHANGED,
                "backend={backend} rate={rate} before={before} source={source}"
            );
        }
        LimitChange::Ended(before) => {
            log_event!(
                LIMIT_ENDED,
                "backend={backend} before={before} source={source}"
            );
        }
    }
}

/// Returns the fields of a line about a server with a limit; empty without one.
pub(crate) fn describe(limit: Option<Statement>, now: Timestamp) -> String {
    let rate = limit.and_then(|s| Some((s.rate?, s.age(now))));
    rate.map_or_else(String::new, |(rate, age)| {
        format!(" limit={rate} limit_age_ms={}", age.as_millis())
    })
}
