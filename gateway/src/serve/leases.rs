//! Lets one run of a suspected request after the other go on, over all instances.

use std::sync::Arc;
use std::time::{
    Duration,
    Instant, //
};

use limpetweir_transport::timeout_at;

use super::choose::Rejection;
use super::node::Node;
use super::task_kinds::OneShot;
use crate::leases::{
    CLAIM_TIMEOUT,
    ClaimState,
    LeaseAck,
    LeaseNews, //
};
use crate::platform::{
    Dialect,
    Store, //
};
use crate::prompt::PartKey;
use crate::quarantine::Knowledge;
use crate::report::ItemKey;
use crate::request_parts::RequestParts;

/// Time after which a claim is told again to instances that have not acknowledged it, as its message or the answer
/// may be lost.
const REPEAT_TIME: Duration = Duration::from_millis(60);

/// Longest wait of a request for the run of another copy, which writes output or crashes its server well
/// within this time.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// Time between two looks at a lease that ends because its holder is gone.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// `Retry-After` of a request whose copy runs for longer than it may wait.
const BUSY_RETRY: Duration = Duration::from_millis(500);

/// Guard of an own lease, which ends when it is dropped.
pub(crate) struct Lease<P: Store + Dialect> {
    node: Arc<Node<P>>,
    key: PartKey,
}

impl<P: Store + Dialect> Drop for Lease<P> {
    fn drop(&mut self) {
        self.node.lock().leases.release(self.key);
        changed(&self.node);
    }
}

/// Makes the others hear of a change, and lets local copies look again.
fn changed<P>(node: &Node<P>) {
    node.crash_news.notify(usize::MAX);
    node.suspicion_changed.notify(usize::MAX);
}

/// Waits until a request may run: it is not suspected, or this instance has its lease. A request that is
/// held back needs none.
pub(crate) async fn acquire<P: Store + Dialect>(
    node: &Arc<Node<P>>,
    parts: &RequestParts,
    deadline: Instant,
) -> Result<Option<Lease<P>>, Rejection> {
    let give_up = deadline.min(Instant::now() + MAX_WAIT);
    loop {
        let look_again = node.suspicion_changed.listen();
        let lease = {
            let now = node.now();
            let mut state = node.lock();
            if state.knowledge(parts) != Knowledge::Suspected {
                return Ok(None);
            }
            let is_claimed = state.leases.claim(parts.identity(), now);
            is_claimed.then(|| Lease {
                node: node.clone(),
                key: parts.identity(),
            })
        };
        if let Some(lease) = lease {
            if settle(node, lease.key).await && node.lock().knowledge(parts) == Knowledge::Suspected
            {
                return Ok(Some(lease));
            }
        } else if Instant::now() >= give_up {
            return Err(BUSY);
        } else {
            let until = give_up.min(Instant::now() + POLL_INTERVAL);
            timeout_at(until, look_again).await;
        }
    }
}

/// Tells the others of a claim and waits for what they answer; returns whether the claim is in use now.
async fn settle<P: Store + Dialect>(node: &Arc<Node<P>>, key: PartKey) -> bool {
    let begin = Instant::now();
    let mut repeat_at = Some(begin + REPEAT_TIME);
    changed(node);
    loop {
        let look_again = node.suspicion_changed.listen();
        {
            let now = node.now();
            let mut state = node.lock();
            let peers = state.members.iter();
            let peers = peers.filter(|(_, member)| member.is_reachable(now));
            let names = peers.map(|(name, _)| name);
            if state.leases.claim_state(key, names, now) != ClaimState::Open {
                return state.leases.confirm(key);
            }
        }
        let until = repeat_at.unwrap_or(begin + CLAIM_TIMEOUT);
        if timeout_at(until, look_again).await.is_none() && repeat_at.take().is_some() {
            changed(node);
        }
    }
}

/// Rejection of a request whose copy runs for long.
const BUSY: Rejection = Rejection {
    cause: "suspected",
    retry_after: BUSY_RETRY,
    case: None,
    limits: None,
    room: None,
    is_final: true,
};

/// Confirms the claim of a lease for an item, after which the scheduler starts it.
pub(crate) fn confirm_for_item<P: Store + Dialect>(
    node: &Arc<Node<P>>,
    item: ItemKey,
    key: PartKey,
) {
    let shared = node.clone();
    let confirm = async move {
        let is_own = settle(&shared, key).await;
        let mut state = shared.lock();
        match state.item_leases.get_mut(&item) {
            Some(lease) if is_own => lease.is_confirmed = true,
            Some(_) => {
                state.item_leases.remove(&item);
            }
            None => {}
        }
        drop(state);
        shared.balance_due.notify(usize::MAX);
    };
    // Without a confirmation the scheduler drops the claim when the item has ended or is due again.
    let clean_up = std::future::ready(());
    node.supervisor
        .spawn_once(OneShot::ConfirmLease, confirm, clean_up);
}

/// Ends the lease of an item whose run has ended.
pub(crate) fn release_for_item<P>(node: &Node<P>, item: ItemKey) {
    let released = {
        let mut state = node.lock();
        let lease = state.item_leases.remove(&item);
        lease.map(|lease| state.leases.release(lease.key)).is_some()
    };
    if released {
        changed(node);
    }
}

/// Applies what another instance tells, and returns the messages that it is to be answered with.
pub(crate) fn hear<P>(node: &Node<P>, news: &LeaseNews) -> Vec<Vec<u8>> {
    let now = node.now();
    let reply = node.lock().leases.hear(news, now);
    node.suspicion_changed.notify(usize::MAX);
    let ack = reply.ack.iter().map(LeaseAck::encode);
    ack.chain(reply.own.iter().map(LeaseNews::encode)).collect()
}

/// Applies the acknowledgement of another instance.
pub(crate) fn acknowledged<P>(node: &Node<P>, ack: &LeaseAck) {
    if node.lock().leases.acknowledged(ack) {
        node.suspicion_changed.notify(usize::MAX);
    }
}
