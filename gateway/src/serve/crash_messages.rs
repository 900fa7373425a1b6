//! Tells the other instances about crashes and leases.

use std::net::{
    IpAddr,
    SocketAddr,
    UdpSocket, //
};
use std::sync::Arc;
use std::time::{
    Duration,
    Instant, //
};

use limpetweir_transport::{
    sleep,
    timeout_at, //
};
use rand::Rng;
use rand::seq::IteratorRandom;

use super::datagrams;
use super::node::Node;
use super::state::State;
use super::supervisor::Steps;
use crate::platform::{
    Dialect,
    Store, //
};

/// Time between two messages with the same news.
const NEWS_INTERVAL: Duration = Duration::from_millis(250);

/// Time in which crashes that are seen together are combined into one message.
const COALESCE_TIME: Duration = Duration::from_millis(2);

/// Number of news intervals between two messages with all that is known.
const INTERVALS_PER_DIGEST: u32 = 4;

/// Instances that get all that is known at a time.
const DIGEST_RECEIVERS: usize = 2;

/// Expected number of instances that send all that they know to one that has started.
const DIGEST_SENDERS: u32 = 8;

/// Adds a peer that has missed what was told, because it has started or was unreachable.
pub(crate) fn peer_is_back<P>(node: &Node<P>, state: &mut State, addr: IpAddr) {
    if state.quarantine.is_empty() {
        return;
    }
    let peers = u32::try_from(state.members.count()).unwrap_or(u32::MAX);
    let peers = peers.max(1);
    if state.rng.random_ratio(DIGEST_SENDERS.min(peers), peers) {
        state.digest_due.push(addr);
        node.crash_news.notify(usize::MAX);
    }
}

/// Tells the other instances about crashes, as long as any are known.
pub(crate) async fn tell<P: Store + Dialect>(
    node: Arc<Node<P>>,
    socket: Arc<UdpSocket>,
    steps: Arc<Steps>,
) {
    let mut interval = 0_u32;
    let mut last = Instant::now();
    let mut due = node.crash_news.listen();
    loop {
        let quiet = node.lock().quarantine.is_empty();
        if quiet {
            steps.idle();
            due.await;
        } else if timeout_at(last + NEWS_INTERVAL, due).await.is_some() {
            sleep(COALESCE_TIME).await;
        }
        steps.step();
        due = node.crash_news.listen();
        if last.elapsed() >= NEWS_INTERVAL {
            last = Instant::now();
            interval = interval.wrapping_add(1);
            if interval.is_multiple_of(INTERVALS_PER_DIGEST) {
                add_digest_receivers(&node);
            }
        }
        send_news(&node, &socket);
    }
}

fn add_digest_receivers<P>(node: &Node<P>) {
    let mut state = node.lock();
    let state = &mut *state;
    let peers = state.members.iter().map(|(_, member)| member.addr);
    let chosen = peers.choose_multiple(&mut state.rng, DIGEST_RECEIVERS);
    state.digest_due.extend(chosen);
}

fn send_news<P>(node: &Node<P>, socket: &UdpSocket) {
    let now = node.now();
    let (news, leases, all, digest, chosen) = {
        let mut state = node.lock();
        let news = state.quarantine.news(now);
        let leases = state.leases.news();
        let all: Vec<IpAddr> = state.members.iter().map(|(_, m)| m.addr).collect();
        let chosen = std::mem::take(&mut state.digest_due);
        let digest = (!chosen.is_empty()).then(|| state.quarantine.digest(now));
        (news, leases, all, digest, chosen)
    };
    if let Some(leases) = leases {
        send_to(node, socket, &leases.encode(), &all);
    }
    if !news.is_empty() {
        send_to(node, socket, &news.encode(), &all);
    }
    if let Some(digest) = digest.filter(|digest| !digest.is_empty()) {
        send_to(node, socket, &digest.encode(), &chosen);
    }
}

pub(crate) fn send_to<P>(node: &Node<P>, socket: &UdpSocket, bytes: &[u8], addrs: &[IpAddr]) {
    for addr in addrs {
        let addr = SocketAddr::new(*addr, node.settings.peer_port);
        if let Err(err) = datagrams::send(socket, bytes, addr) {
            // The news is repeated, and a later digest has it too.
            log::debug!("cannot tell {addr} about crashes or leases: {err}");
        }
    }
}
