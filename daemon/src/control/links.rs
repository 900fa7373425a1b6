//! Links to the other instances in the platform's list.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{
    AtomicBool,
    Ordering, //
};
use std::sync::{
    Arc,
    PoisonError,
    RwLock, //
};

use limpetweir_protocol::http::InstanceEntry;
use limpetweir_protocol::peer::{
    Hello,
    PEER_PROTOCOL_VERSION,
    PeerMessage, //
};
use limpetweir_state::InstanceId;
use limpetweir_transport::peer::{
    LinkEvent,
    LinkOptions,
    PeerLink, //
};

use crate::event;
use crate::events::{
    LINK_DOWN,
    LINK_UP, //
};
use crate::node::Node;

/// Links by instance.
#[derive(Debug, Default)]
pub(super) struct Links {
    links: RwLock<BTreeMap<InstanceId, Arc<Link>>>,
}

#[derive(Debug)]
pub(super) struct Link {
    addr: SocketAddr,
    pub(super) link: PeerLink,
}

impl Links {
    /// Sets the links to one for each other instance of the list; unchanged links are kept.
    pub(super) fn set(&self, node: &Node, instances: &BTreeMap<InstanceId, InstanceEntry>) {
        let own = &node.incarnation.instance;
        let wanted = instances.values().filter(|entry| entry.name != *own);
        let links = wanted.map(|entry| (entry.name.clone(), self.keep_or_start(node, entry)));
        let links: BTreeMap<_, _> = links.collect();
        let mut slot = self.links.write().unwrap_or_else(PoisonError::into_inner);
        let former = std::mem::replace(&mut *slot, links);
        drop(slot);
        // Closing links takes other locks, so the former links are dropped without this one.
        drop(former);
    }

    fn keep_or_start(&self, node: &Node, entry: &InstanceEntry) -> Arc<Link> {
        let addr = entry.peer;
        let kept = self.get(&entry.name).filter(|link| link.addr == addr);
        kept.unwrap_or_else(|| {
            let link = start(node, &entry.name, addr);
            Arc::new(Link { addr, link })
        })
    }

    pub(super) fn get(&self, to: &InstanceId) -> Option<Arc<Link>> {
        let links = self.links.read().unwrap_or_else(PoisonError::into_inner);
        links.get(to).cloned()
    }

    /// Sends a message to every other instance whose link is up.
    pub(super) fn broadcast(&self, message: &PeerMessage) {
        let links = self.links.read().unwrap_or_else(PoisonError::into_inner);
        for link in links.values() {
            // Send errors are ignored: a peer that misses heartbeats counts this instance as
            // unreachable.
            let _ = link.link.notify(message.clone());
        }
    }

    /// Returns the number of links and of those that are up.
    pub(super) fn count(&self) -> (usize, usize) {
        let links = self.links.read().unwrap_or_else(PoisonError::into_inner);
        let up = links.values().filter(|link| link.link.is_up()).count();
        (links.len(), up)
    }
}

/// Returns the message that identifies this instance on its links.
pub(super) fn hello(node: &Node) -> Hello {
    Hello {
        version: PEER_PROTOCOL_VERSION,
        incarnation: node.incarnation.clone(),
        zone: node.settings.zone.clone(),
    }
}

fn start(node: &Node, name: &InstanceId, addr: SocketAddr) -> PeerLink {
    let options = LinkOptions::new(addr, Some(name.clone()), hello(node));
    let name = name.clone();
    // A link that stays down is logged once, not at each retry.
    let was_up = AtomicBool::new(true);
    PeerLink::start(&node.spawner, options, move |change| match change {
        LinkEvent::Up(peer) => {
            was_up.store(true, Ordering::Relaxed);
            event!(LINK_UP, "peer={} zone={}", peer.incarnation, peer.zone);
        }
        LinkEvent::Down(err) => {
            if was_up.swap(false, Ordering::Relaxed) {
                event!(LINK_DOWN, "peer={name} error={err}");
            }
        }
    })
}
