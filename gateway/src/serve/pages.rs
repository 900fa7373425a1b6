//! Requests to the listeners beside that of callers: of other instances, and for the readiness, the address
//! directory and the metrics.

use std::sync::Arc;

use hyper::{
    Method,
    Request,
    Response,
    StatusCode, //
};
use limpetweir_transport::http::{
    Body,
    RequestBody, //
};

use super::node::Node;
use super::{
    crashes,
    evacuation,
    peers,
    quota_levels,
    replies,
    results,
    store_relay, //
};
use crate::members::{
    AddressEntry,
    addresses, //
};
use crate::platform::{
    Dialect,
    Store, //
};

/// Maximum number of addresses in a directory response; callers read no more of them.
const MAX_ADDRESSES: usize = 64;

/// Handles requests of the other instances on the peer port.
pub(crate) async fn serve_peer<P: Store + Dialect>(
    node: Arc<Node<P>>,
    req: Request<RequestBody>,
) -> Response<Body> {
    let (head, body) = req.into_parts();
    match (head.method.clone(), head.uri.path()) {
        (Method::GET, peers::CONFIG_PATH) => peers::send_config(&node),
        (Method::GET, quota_levels::LEVELS_PATH) => Response::new(quota_levels::encode(&node)),
        (Method::POST, results::RESULTS_PATH) => results::receive(&node, body).await,
        (Method::POST, store_relay::STORE_CALLS_PATH) => {
            store_relay::receive(&node, &head, body).await
        }
        (Method::GET, crashes::CASES_PATH) => crashes::list_cases(&node),
        (Method::DELETE, path) => match held_part(path) {
            Some(part) => crashes::close_cases(&node, part),
            None => replies::plain(StatusCode::NOT_FOUND, "no such page"),
        },
        _ => replies::plain(StatusCode::NOT_FOUND, "no such page"),
    }
}

/// Returns the part of a prompt that a path below the one of the open cases names.
fn held_part(path: &str) -> Option<&str> {
    path.strip_prefix(crashes::CASES_PATH)?.strip_prefix('/')
}

/// Handles requests for the address directory, the readiness and the metrics.
pub(crate) fn serve_status<P: Store + Dialect>(
    node: &Arc<Node<P>>,
    req: Request<RequestBody>,
) -> Response<Body> {
    let (head, _) = req.into_parts();
    if let Some(query) = node.platform.address_query(&head) {
        let list = directory_entries(node);
        if list.is_empty() {
            let text = "no instance is ready";
            return replies::plain(StatusCode::SERVICE_UNAVAILABLE, text);
        }
        let list = addresses(&list, query.zone.as_deref(), MAX_ADDRESSES);
        let lifetime = node.settings.address_lifetime;
        return replies::json(node.platform.addresses(&list, lifetime));
    }
    if node.platform.is_readiness(&head) {
        return if node.is_ready() {
            replies::plain(StatusCode::OK, "ready")
        } else {
            replies::plain(StatusCode::SERVICE_UNAVAILABLE, "not ready")
        };
    }
    match head.uri.path() {
        "/metrics" => {
            evacuation::record_ages(node);
            let spread = node.lock().load_spread();
            node.metrics.server_load(spread);
            replies::plain(StatusCode::OK, &node.metrics.render())
        }
        _ => replies::plain(StatusCode::NOT_FOUND, "no such page"),
    }
}

/// Returns the instances that accept requests.
fn directory_entries<P>(node: &Arc<Node<P>>) -> Vec<AddressEntry> {
    let now = node.now();
    let own = node.is_ready().then(|| AddressEntry {
        addr: node.settings.public,
        zone: node.settings.zone.clone(),
        capacity: node.settings.capacity,
    });
    let state = node.lock();
    let others = state.members.for_callers(now);
    let others = others.map(|r| AddressEntry {
        addr: r.public,
        zone: r.zone.clone(),
        capacity: r.capacity,
    });
    own.into_iter().chain(others).collect()
}
