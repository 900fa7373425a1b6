//! The ways of a store call: directly, or through which peers, and in which order.

use std::cmp::Reverse;

use limpetweir_coordination::rendezvous_score;

/// Peers through which one call is attempted. When the store begins to turn a third of the instances
/// away, some peers have not reported it yet; of three, one is still served with 96 %.
const MAX_PEERS: usize = 3;

/// Least share of the peers that must have access, as its reciprocal. If the store answers hardly any
/// instance, the fleet as a whole exceeds its rate or it is down, and further calls would add to that.
const MIN_ACCESS_DIVISOR: usize = 4;

/// A reachable peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelayPeer<'a> {
    /// Its name.
    pub name: &'a str,
    /// Whether it is in the zone of this instance.
    pub same_zone: bool,
    /// Whether it reports that the store answers it, and is not about to stop.
    pub has_access: bool,
    /// Whether it has failed to relay a call a moment ago.
    pub has_failed: bool,
}

/// How a store call is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way<P> {
    /// By this instance.
    Direct,
    /// By a peer.
    Peer(P),
}

/// Returns the ways in which a call of the instance `me` is attempted, one after the other.
///
/// Peers in the own zone come first, and among them each instance has an order of its own, so that the
/// calls of all instances that are turned away are spread over the others.
pub fn ways<'a>(me: &str, is_turned_away: bool, peers: &[RelayPeer<'a>]) -> Vec<Way<&'a str>> {
    let with_access = peers.iter().filter(|peer| peer.has_access);
    let mut chosen: Vec<RelayPeer<'a>> = with_access.copied().collect();
    if chosen.len() * MIN_ACCESS_DIVISOR < peers.len() {
        return vec![Way::Direct];
    }
    chosen.sort_by_cached_key(|peer| {
        let score = rendezvous_score(me.as_bytes(), peer.name);
        (
            peer.has_failed,
            !peer.same_zone,
            Reverse((score, peer.name)),
        )
    });
    chosen.truncate(MAX_PEERS);
    let peers = chosen.into_iter().map(|peer| Way::Peer(peer.name));
    match is_turned_away {
        // If no peer makes the call, the direct way is the last one.
        true => peers.chain([Way::Direct]).collect(),
        false => [Way::Direct].into_iter().chain(peers).collect(),
    }
}
