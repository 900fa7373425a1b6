//! The online path: requests of callers to engines and plain services.

use std::collections::HashMap;
use std::sync::Arc;

use hyper::{
    Request,
    Response, //
};
use limpetweir_protocol::peer::{
    CallError,
    Hello,
    QuotaCall,
    ReplyBody, //
};
use limpetweir_state::{
    BackendId,
    OrganisationId,
    Verdict, //
};
use limpetweir_transport::http::{
    Body,
    RequestBody, //
};

use crate::node::Node;
use crate::responses;
use crate::sharded::Sharded;

/// Shards of the organisations, a few times the usual number of executor threads.
const ORGANISATION_SHARDS: usize = 16;

/// State of the online path.
#[derive(Debug)]
pub struct Online {
    /// Organisations by name, in shards.
    organisations: Sharded<HashMap<OrganisationId, OrganisationState>>,
}

/// What an instance holds for one organisation.
#[derive(Debug, Default)]
pub struct OrganisationState {}

impl Online {
    pub(crate) fn new() -> Self {
        Self {
            organisations: Sharded::new(ORGANISATION_SHARDS, |_| HashMap::new()),
        }
    }

    /// Returns the organisations; the shard of one is found by its name.
    pub fn organisations(&self) -> &Sharded<HashMap<OrganisationId, OrganisationState>> {
        &self.organisations
    }
}

/// Answers completions, models, addresses and calls of plain services.
pub(crate) async fn answer(_node: &Arc<Node>, req: Request<RequestBody>) -> Response<Body> {
    responses::not_found(&req)
}

/// Answers a borrower's message to the home of its quota.
pub(crate) fn answer_quota(_node: &Node, _from: &Hello, _call: QuotaCall) -> ReplyBody {
    ReplyBody::Error(CallError {
        code: "not_supported".to_owned(),
        message: "this instance does not answer such calls".to_owned(),
        verdict: Verdict::NotRun,
        retry_after_ms: None,
    })
}

/// Returns the online requests of this instance in flight for each backend server.
pub(crate) fn in_flight(_node: &Node) -> Vec<(BackendId, u32)> {
    Vec::new()
}
