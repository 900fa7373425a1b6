//! Levels of the quotas that a started instance takes over from a peer.

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
    line, //
};
use super::node::Node;
use super::peers::FETCH_TIMEOUT;
use crate::platform::{
    Dialect,
    Store, //
};
use crate::quota::OrganisationKey;

/// Path of the levels at the peer port.
pub(crate) const LEVELS_PATH: &str = "/quotas";

/// Largest answer with levels.
const MAX_LEVELS: usize = 1 << 20;

/// Time that a peer must have served for longer than this instance for its view to be taken over.
/// Instances of a fleet that starts as a whole know as little as this one.
const LONGER: Duration = Duration::from_millis(2_000);

/// Pause between two looks for a peer, and the number of looks after a start.
const LOOK_PAUSE: Duration = Duration::from_millis(40);
const LOOKS: u32 = 25;

/// Takes the levels of the quotas over from a peer that has served for longer. A starting instance
/// that assumed a full burst would admit it once more, and one that assumed an empty one would refuse
/// organisations below their rate.
pub(crate) async fn adopt<P: Store + Dialect>(node: Arc<Node<P>>) {
    for _ in 0..LOOKS {
        sleep(LOOK_PAUSE).await;
        let Some((peer, addr)) = older_peer(&node) else {
            continue;
        };
        match fetch(&node, addr).await {
            Ok(levels) => {
                let now = node.now();
                node.lock().quotas.adopt(&levels, now);
                line!(QUOTAS_ADOPTED, "peer={peer} organisations={}", levels.len());
                return;
            }
            Err(cause) => line!(QUOTAS_ADOPTED, "peer={peer} cause=\"{cause}\""),
        }
    }
}

/// Returns the peer that has served for the longest time, once there are quotas to fill.
fn older_peer<P>(node: &Node<P>) -> Option<(String, SocketAddr)> {
    let now = node.now();
    let longer = u64::try_from(LONGER.as_millis()).unwrap_or(u64::MAX);
    let state = node.lock();
    state.config.as_ref()?;
    let older = state.members.reachable(now).filter(|r| r.ready);
    let older = older.filter(|r| r.boot.saturating_add(longer) <= node.boot);
    let oldest = older.min_by_key(|r| r.boot)?;
    let addr = state.members.get(&oldest.name)?.addr;
    let addr = SocketAddr::new(addr, node.settings.peer_port);
    Some((oldest.name.clone(), addr))
}

async fn fetch<P>(node: &Node<P>, addr: SocketAddr) -> Result<Vec<(OrganisationKey, f64)>, String> {
    let req = Request::get(LEVELS_PATH).body(Bytes::new());
    let req = req.map_err(|err| err.to_string())?;
    let options = SendOptions::within(TrafficClass::Platform, FETCH_TIMEOUT);
    let answer = node.client.send(addr, req, options).await;
    let body = answer.map_err(|err| err.to_string())?.into_body();
    let bytes = body.collect_bytes(MAX_LEVELS).await;
    let bytes = bytes.map_err(|err| err.to_string())?;
    let levels: Vec<(u32, f64)> =
        ciborium::from_reader(&bytes[..]).map_err(|err| err.to_string())?;
    let levels = levels.into_iter();
    Ok(levels.map(|(k, n)| (OrganisationKey(k), n)).collect())
}

/// Encodes this instance's view of the quotas for a peer.
pub(crate) fn encode<P>(node: &Node<P>) -> Body {
    let levels = node.lock().quotas.levels();
    let levels: Vec<(u32, f64)> = levels.into_iter().map(|(k, n)| (k.0, n)).collect();
    let mut buf = Vec::new();
    // Writing to a vector does not fail, and every number has an encoding.
    if ciborium::into_writer(&levels, &mut buf).is_err() {
        buf.clear();
    }
    Body::from(buf)
}
