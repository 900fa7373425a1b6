//! Finds out whether a backend server has crashed on which runs were lost.

use std::sync::Arc;
use std::time::{
    Duration,
    Instant, //
};

use limpetweir_state::Timestamp;
use limpetweir_transport::http::TrafficClass;
use limpetweir_transport::{
    sleep,
    timeout_at, //
};

use super::crashes::server_crashed;
use super::lost_run::{
    LostRun,
    RunPlace, //
};
use super::node::Node;
use super::state::State;
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
        if leaves(&state, &run.place, run.at) {
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

/// Time between the end of a response and the check whether its server is gone. The system closes the sockets of a
/// process that ends one after the other, in any order; a check without a pause found the listener open in 1 of 20
/// crashes beside load.
const CLOSE_TIME: Duration = Duration::from_millis(50);

/// Longest wait for a connection to a server that has ended a response without a length.
const ACCEPT_TIMEOUT: Duration = Duration::from_secs(1);

/// Returns whether a backend server is gone that has just closed the connection of a response without a length
/// and without chunks. Nothing else tells the end of such a response from a crash of its server: the system closes
/// the connections of a process that ends like those of one that has finished. A server that neither accepts nor
/// refuses a connection counts as gone too.
///
/// A server that leaves may finish its responses after it has closed its listener, so its refusal says nothing.
pub(crate) async fn is_gone<P: Store + Dialect>(node: &Arc<Node<P>>, run: &RunPlace) -> bool {
    sleep(CLOSE_TIME).await;
    if leaves(&node.lock(), run, node.now()) {
        return false;
    }
    let open = node.client.open(run.entry.addr, TrafficClass::Online);
    let opened = timeout_at(Instant::now() + ACCEPT_TIMEOUT, open).await;
    opened.is_none_or(|opened| opened.is_err_and(|err| err.is_refused()))
}

/// Returns whether the end of a backend server is planned.
fn leaves(state: &State, run: &RunPlace, now: Timestamp) -> bool {
    let backend = state.backends.get(run.key);
    backend.is_none_or(|backend| !backend.accepts_requests(now))
        || state.backends.is_evacuated(&run.entry.zone)
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
