//! Transfer of the quota levels from a peer to an instance that has just started.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::Request;
use hyper::body::Bytes;
use limpetweir_transport::http::{
    Body,
    SendOptions,
    TrafficClass, //
};
use limpetweir_transport::sleep;

use super::lines::{
    QUOTAS_ADOPTED,
    log_event, //
};
use super::node::Node;
use super::supervisor::Steps;
use crate::platform::{
    Dialect,
    Store, //
};
use crate::quota::OrganisationKey;

/// Path of the quota levels on the peer port.
pub(crate) const LEVELS_PATH: &str = "/quotas";

/// Maximum size of a response with levels in bytes.
const MAX_LEVELS_BYTES: usize = 1 << 20;

/// Time by which a peer must have started earlier than this instance for its levels to be adopted.
/// The instances of a fleet that starts as a whole have no levels of their own yet.
const MIN_AGE_DIFFERENCE: Duration = Duration::from_millis(2_000);

/// Time limit of a fetch from a peer.
const FETCH_TIMEOUT: Duration = Duration::from_millis(500);

/// Pause between two attempts to adopt levels, and their maximum number after a start.
const RETRY_PAUSE: Duration = Duration::from_millis(40);
const MAX_ATTEMPTS: u32 = 25;

/// Adopts the quota levels of a peer that has been running for longer. An instance that started
/// with full buckets would admit each burst a second time, and one that started with empty buckets
/// would reject requests of organisations below their rate.
pub(crate) async fn adopt<P: Store + Dialect>(node: Arc<Node<P>>, steps: Arc<Steps>) {
    for _ in 0..MAX_ATTEMPTS {
        sleep(RETRY_PAUSE).await;
        steps.step();
        let Some((peer, addr)) = older_peer(&node) else {
            continue;
        };
        match fetch(&node, addr).await {
            Ok(levels) => {
                let now = node.now();
                node.lock().quotas.adopt(&levels, now);
                log_event!(QUOTAS_ADOPTED, "peer={peer} organisations={}", levels.len());
                return;
            }
            Err(cause) => log_event!(QUOTAS_ADOPTED, "peer={peer} cause=\"{cause}\""),
        }
    }
}

/// Returns the peer that has been running for the longest time, once the quotas are configured.
fn older_peer<P>(node: &Node<P>) -> Option<(String, SocketAddr)> {
    let now = node.now();
    let difference = u64::try_from(MIN_AGE_DIFFERENCE.as_millis()).unwrap_or(u64::MAX);
    let state = node.lock();
    state.config.as_ref()?;
    let older = state.members.reachable(now).filter(|r| r.ready);
    let older = older.filter(|r| r.boot.saturating_add(difference) <= node.boot);
    let oldest = older.min_by_key(|r| r.boot)?;
    let addr = state.members.get(&oldest.name)?.addr;
    let addr = SocketAddr::new(addr, node.settings.peer_port);
    Some((oldest.name.clone(), addr))
}

async fn fetch<P>(node: &Node<P>, addr: SocketAddr) -> Result<Vec<(OrganisationKey, f64)>, String> {
    let req = Request::get(LEVELS_PATH).body(Bytes::new());
    let req = req.map_err(|err| err.to_string())?;
    let options = SendOptions::within(TrafficClass::Platform, FETCH_TIMEOUT);
    let response = node.client.send(addr, req, options).await;
    let body = response.map_err(|err| err.to_string())?.into_body();
    let bytes = body.collect_bytes(MAX_LEVELS_BYTES).await;
    let bytes = bytes.map_err(|err| err.to_string())?;
    let levels: Vec<(u32, f64)> =
        ciborium::from_reader(&bytes[..]).map_err(|err| err.to_string())?;
    let levels = levels.into_iter();
    Ok(levels.map(|(k, n)| (OrganisationKey(k), n)).collect())
}

/// Encodes the quota levels of this instance for a peer.
pub(crate) fn encode<P>(node: &Node<P>) -> Body {
    let levels = node.lock().quotas.levels();
    let levels: Vec<(u32, f64)> = levels.into_iter().map(|(k, n)| (k.0, n)).collect();
    let mut buf = Vec::new();
    // Writing to a vector cannot fail, and every number has an encoding.
    if ciborium::into_writer(&levels, &mut buf).is_err() {
        buf.clear();
    }
    Body::from(buf)
}
