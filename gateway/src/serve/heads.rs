//! What backend servers say about themselves in the heads of their responses.

use std::sync::Arc;

use limpetweir_state::Timestamp;

use super::lines::{
    LIMIT_BEGAN,
    LIMIT_CHANGED,
    LIMIT_ENDED,
    LIMIT_INVALID,
    log_event, //
};
use super::node::Node;
use crate::backend::BackendEntry;
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
    let change = node.lock().limits.stated(run, &head.limit, sent_at, now);
    if let Some(change) = change {
        log_change(&entry.id, change, "response");
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
