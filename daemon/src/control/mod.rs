//! The control loops: log streams, heartbeats, ownership, configuration and the list.

mod peers;
mod stream;
mod stream_tasks;
mod view;

use std::sync::Arc;

use async_executor::Task;
use hyper::{
    Request,
    Response, //
};
use limpetweir_transport::http::{
    Body,
    RequestBody, //
};

pub(crate) use peers::PeerService;
pub(crate) use stream::{
    Stream,
    StreamObserver,
    StreamOptions,
    WriteError, //
};
pub(crate) use view::{
    Current,
    Owner,
    PublicInstance, //
};

use crate::node::Node;
use crate::responses;

/// State of the control loops.
#[derive(Debug)]
pub struct Control {}

impl Control {
    pub(crate) fn new() -> Self {
        Self {}
    }
}

/// Starts the control loops; they end when the returned tasks are dropped.
pub(crate) fn start(node: &Arc<Node>) -> Vec<Task<()>> {
    let sweeping = peers::sweep_connections(node.clone());
    vec![node.spawner.spawn(sweeping)]
}

/// Hands everything over that other instances take on, before running requests are awaited.
pub(crate) async fn hand_over(_node: &Arc<Node>) {}

/// Answers the operator interface under `/admin/`.
pub(crate) async fn answer(_node: &Arc<Node>, req: Request<RequestBody>) -> Response<Body> {
    responses::not_found(&req)
}
