//! Answers messages of other instances and closes idle client connections.

use std::sync::Arc;
use std::time::Duration;

use limpetweir_protocol::peer::{
    CallBody,
    CallError,
    Hello,
    PeerMessage,
    ReplyBody, //
};
use limpetweir_state::Verdict;
use limpetweir_transport::peer::PeerHandler;
use limpetweir_transport::sleep;

use crate::node::Node;

/// Pause between two sweeps of idle connections.
const SWEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Dispatches messages of other instances to the paths.
#[derive(Debug)]
pub(crate) struct PeerService {
    _node: Arc<Node>,
}

impl PeerService {
    pub(crate) fn new(node: Arc<Node>) -> Self {
        Self { _node: node }
    }
}

impl PeerHandler for PeerService {
    async fn call(&self, _from: &Hello, _body: CallBody) -> ReplyBody {
        ReplyBody::Error(CallError {
            code: "not_supported".to_owned(),
            message: "this instance does not answer such calls".to_owned(),
            verdict: Verdict::NotRun,
            retry_after_ms: None,
        })
    }

    fn message(&self, _from: &Hello, _message: PeerMessage) {}
}

pub(super) async fn sweep_connections(node: Arc<Node>) {
    loop {
        sleep(SWEEP_INTERVAL).await;
        node.client.sweep();
    }
}
