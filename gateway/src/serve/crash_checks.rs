//! Finds out whether a backend server has crashed on which runs were lost.

use std::sync::Arc;
use std::time::{
    Duration,
    Instant, //
};

use limpetweir_transport::http::TrafficClass;
use limpetweir_transport::timeout_at;

use super::crashes::server_crashed;
use super::lost_run::LostRun;
use super::node::Node;
use super::suspicion::unresponsive;
use super::task_kinds::OneShot;
use crate::backend::{
    BackendEntry,
    BackendKey, //
};
use crate::platform::{
    Dialect,
    Store, //
};

/// Longest wait of a lost run for the check whether its server has crashed. A server that is up
/// accepts or refuses a connection within a round trip.
const CHECK_TIMEOUT: Duration = Duration::from_millis(50);

/// Records that a backend server closed the connection of this run, if the server has crashed: it then
/// refuses new connections, or is listed as started again soon.
pub(crate) fn run_lost<P: Store + Dialect>(node: &Arc<Node<P>>, mut run: LostRun) {
    let entry = run.place.entry.clone();
    let key = run.place.key;
    {
        let mut state = node.lock();
        let backend = state.backends.get(key);
        let leaves = backend.is_none_or(|backend| !backend.accepts_requests(run.at))
            || state.backends.is_evacuated(&entry.zone);
        if leaves {
            // Its end was planned and says nothing about parts that many requests share, but a sound
            // request is not on the next server too that ends without any output.
            if !run.is_early {
                return;
            }
            run.suspects.truncate(1);
        }
        if let Some(runs) = state.crash_checks.get_mut(&key) {
            runs.push(run);
            return;
        }
        state.crash_checks.insert(key, vec![run]);
    }
    let shared = node.clone();
    let check = async move {
        let node = shared;
        let check = CheckGuard { node: &node, key };
        let connected = node.client.open(entry.addr, TrafficClass::Online).await;
        let runs = check.runs();
        match connected {
            Err(err) if err.is_refused() => {
                unresponsive(&node, key, &err);
                runs.iter().for_each(|run| server_crashed(&node, run));
            }
            Err(err) => log::debug!("{} neither accepts nor refuses: {err}", entry.id),
            Ok(()) => node.lock().restarts.lost(runs),
        }
    };
    let clean_up = std::future::ready(());
    node.supervisor
        .spawn_once(OneShot::CheckServer, check, clean_up);
}

/// Guard of a check whether a server has crashed.
struct CheckGuard<'a, P> {
    node: &'a Node<P>,
    key: BackendKey,
}

impl<P> CheckGuard<'_, P> {
    /// Takes the runs that were lost on the server until now.
    fn runs(&self) -> Vec<LostRun> {
        let runs = self
            .node
            .lock()
            .crash_checks
            .get_mut(&self.key)
            .map(std::mem::take);
        runs.unwrap_or_default()
    }
}

impl<P> Drop for CheckGuard<'_, P> {
    fn drop(&mut self) {
        self.node.lock().crash_checks.remove(&self.key);
        self.node.crash_checked.notify(usize::MAX);
    }
}

/// Records that an entry of a backend server was read, which may be that of a server that crashed and was
/// started again before a connection was refused.
pub(crate) fn entry_read<P: Store + Dialect>(node: &Arc<Node<P>>, entry: &BackendEntry) {
    let now = node.now();
    let runs = node.lock().restarts.started(entry, now);
    runs.iter().for_each(|run| server_crashed(node, run));
}

/// Waits until it is known whether a server has crashed on which a run was lost. A request that is
/// repeated sooner crashes one more server, although its case is opened by this crash.
pub(crate) async fn checked<P>(node: &Node<P>, key: BackendKey) {
    let deadline = Instant::now() + CHECK_TIMEOUT;
    loop {
        let ended = node.crash_checked.listen();
        if !node.lock().crash_checks.contains_key(&key) {
            return;
        }
        if timeout_at(deadline, ended).await.is_none() {
            return;
        }
    }
}
