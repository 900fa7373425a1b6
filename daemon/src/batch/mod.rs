//! The batch path: jobs, their owners and the batch managers of engines.

use std::sync::Arc;

use hyper::{
    Request,
    Response, //
};
use limpetweir_protocol::peer::{
    ItemReply,
    JobCall,
    JobReply,
    RunItem, //
};
use limpetweir_state::{
    BackendId,
    GroupId, //
};
use limpetweir_transport::http::{
    Body,
    RequestBody, //
};

use crate::node::Node;
use crate::responses;
use crate::sharded::Sharded;

/// State of the batch path.
#[derive(Debug)]
pub struct Batch {
    /// One shard for each job group, at the group's index.
    groups: Sharded<JobGroup>,
}

/// State of one job group.
#[derive(Debug)]
pub struct JobGroup {}

impl Batch {
    pub(crate) fn new(groups: u16) -> Self {
        Self {
            groups: Sharded::new(usize::from(groups), |_| JobGroup {}),
        }
    }

    /// Returns the job groups, one shard for each.
    pub fn groups(&self) -> &Sharded<JobGroup> {
        &self.groups
    }
}

/// Answers the job interface under `/v1/jobs`.
pub(crate) async fn answer(_node: &Arc<Node>, req: Request<RequestBody>) -> Response<Body> {
    responses::not_found(&req)
}

/// Answers a call of the job interface that another instance forwarded.
pub(crate) async fn answer_job(_node: &Arc<Node>, _call: JobCall) -> JobReply {
    JobReply {
        status: 503,
        body: Vec::new(),
        retry_after_ms: None,
    }
}

/// Runs an item on a backend server that this instance manages.
pub(crate) async fn run_item(_node: &Arc<Node>, item: RunItem) -> ItemReply {
    let attempt = item.attempt;
    ItemReply::Busy { attempt }
}

/// Stops an item and returns once it has stopped.
pub(crate) async fn cancel_item(_node: &Arc<Node>, _attempt: &str) {}

/// Frees slots of a backend server for online requests.
pub(crate) fn on_yield(_node: &Node, _backend: &BackendId) {}

/// Writes out everything that is buffered for a group, before the group is released.
pub(crate) async fn flush(_node: &Arc<Node>, _group: GroupId) {}
