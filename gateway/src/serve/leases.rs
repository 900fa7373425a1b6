//! Lets one run of a suspected request after the other go on, over all instances.

use std::sync::Arc;
use std::time::{
    Duration,
    Instant, //
};

use limpetweir_transport::{
    sleep,
    timeout_at, //
};

use super::choose::Rejection;
use super::node::Node;
use super::task_kinds::OneShot;
use crate::leases::LeaseNews;
use crate::platform::{
    Dialect,
    Store, //
};
use crate::prompt::PartKey;
use crate::quarantine::Knowledge;
use crate::report::ItemKey;
use crate::request_parts::RequestParts;

/// Time after a claim in which claims of other instances arrive: messages are combined for 2 ms and take
/// some more on their way.
const SETTLE_TIME: Duration = Duration::from_millis(10);

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
            changed(node);
            sleep(SETTLE_TIME).await;
            let mut state = node.lock();
            if state.leases.confirm(lease.key) && state.knowledge(parts) == Knowledge::Suspected {
                drop(state);
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
    changed(node);
    let shared = node.clone();
    let confirm = async move {
        sleep(SETTLE_TIME).await;
        let mut state = shared.lock();
        let is_own = state.leases.confirm(key);
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

/// Applies what another instance tells.
pub(crate) fn hear<P>(node: &Node<P>, news: &LeaseNews) {
    let now = node.now();
    node.lock().leases.hear(news, now);
    node.suspicion_changed.notify(usize::MAX);
}
