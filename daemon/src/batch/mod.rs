//! The batch path: jobs, their owners and the batch managers of engines.

use std::sync::Arc;

use hyper::{
    Request,
    Response, //
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
