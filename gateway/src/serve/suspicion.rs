//! Backend servers that did not respond are used last for a while.

use std::sync::Arc;
use std::time::Duration;

use limpetweir_state::Verdict;
use limpetweir_transport::http::ClientError;

use super::lines::{
    BACKEND_SUSPECTED,
    log_event, //
};
use super::node::Node;
use crate::backend::BackendKey;

/// Time for which a suspected backend server is used only if there is no other one.
const SUSPICION_TIME: Duration = Duration::from_millis(1_000);

/// Time for which a backend server that refused a connection gets no request. A server that has
/// crashed is listed for some seconds more, and looks idle.
const REFUSAL_TIME: Duration = Duration::from_millis(1_000);

/// Records that an attempt at a backend server failed without a response.
pub(crate) fn unresponsive<P>(node: &Arc<Node<P>>, key: BackendKey, err: &ClientError) {
    // Nothing was sent to the server before the deadline of the request.
    if matches!(err, ClientError::Deadline { verdict, .. } if *verdict == Verdict::NotRun) {
        return;
    }
    if err.is_refused() {
        let until = node.now() + REFUSAL_TIME;
        node.lock().load.refused(key, until);
    }
    suspect(node, key, &err.to_string());
}

/// Marks a backend server that did not respond as suspected, so that it is used last for a while.
pub(crate) fn suspect<P>(node: &Arc<Node<P>>, key: BackendKey, cause: &str) {
    let now = node.now();
    let mut state = node.lock();
    let known = state.load.suspected(key, now);
    state.load.suspect(key, now + SUSPICION_TIME);
    let id = state.backends.get(key).map(|b| b.entry.id.clone());
    drop(state);
    if !known {
        let id = id.unwrap_or_default();
        log_event!(
            BACKEND_SUSPECTED,
            "backend={id} for_ms={} cause=\"{cause}\"",
            SUSPICION_TIME.as_millis()
        );
        node.report_due.notify(usize::MAX);
    }
}
