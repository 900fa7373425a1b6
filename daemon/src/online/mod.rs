//! The online path: requests of callers to engines and plain services.

use std::collections::HashMap;
use std::sync::Arc;

use hyper::{
    HeaderMap,
    Request,
    Response,
    StatusCode, //
};
use limpetweir_state::{
    KeyDigest,
    OrganisationId, //
};
use limpetweir_transport::http::{
    Body,
    RequestBody, //
};

use crate::node::Node;
use crate::responses::{
    self,
    Problem, //
};
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

/// Returns the organisation whose key a request carries.
pub(crate) fn authenticate(node: &Node, headers: &HeaderMap) -> Result<OrganisationId, Problem> {
    let key = headers
        .get(hyper::header::AUTHORIZATION)
        .and_then(|value| value.as_bytes().strip_prefix(b"Bearer "));
    let current = node.control.current();
    let organisation = key.zip(current.as_ref()).and_then(|(key, current)| {
        let found = current.configuration.find_key(&KeyDigest::of_key(key));
        found.map(|(organisation, _)| organisation.clone())
    });
    organisation.ok_or_else(|| {
        let message = "the key is missing, unknown or revoked";
        Problem::not_run(StatusCode::UNAUTHORIZED, "key_required", message)
    })
}
