//! Detects crashes of backend servers, tells the other instances about them, and decides with the
//! store which instance sends a probe.

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

use async_io::Async;
use hyper::body::Bytes;
use hyper::{
    Response,
    StatusCode, //
};
use limpetweir_transport::http::{
    Body,
    TrafficClass, //
};
use limpetweir_transport::{
    sleep,
    timeout_at, //
};
use rand::Rng;
use rand::seq::IteratorRandom;
use xxhash_rust::xxh3::xxh3_64;

use super::attempt::unresponsive;
use super::follow;
use super::lines::{
    CASE_CLOSED,
    CASE_NOT_STORED,
    CASE_OPENED,
    PROBE_SENT,
    SERVER_CRASHED,
    log_event, //
};
use super::node::{
    Node,
    State,
    unix_ms, //
};
use super::replies::plain;
use super::run_watch::{
    LostRun,
    RunPlace,
    list, //
};
use super::supervisor::{
    OneShot,
    Steps, //
};
use crate::backend::{
    BackendEntry,
    BackendKey, //
};
use crate::crash_message::CaseRecord;
use crate::crash_news::{
    Case,
    CrashKey,
    CrashNews, //
};
use crate::platform::{
    Dialect,
    Record,
    Store,
    Topic, //
};
use crate::prompt::PartKey;
use crate::quarantine::{
    CaseChange,
    Knowledge, //
};
use crate::request_parts::RequestParts;

/// Time between two messages with the same news.
const NEWS_INTERVAL: Duration = Duration::from_millis(250);

/// Time in which crashes that are seen together are combined into one message.
const COALESCE_TIME: Duration = Duration::from_millis(2);

/// Longest wait of a lost run for the check whether its server has crashed. A server that is up
/// accepts or refuses a connection within a round trip.
const CHECK_TIMEOUT: Duration = Duration::from_millis(50);

/// Number of news intervals between two messages with all that is known.
const INTERVALS_PER_DIGEST: u32 = 4;

/// Instances that get all that is known at a time.
const DIGEST_RECEIVERS: usize = 2;

/// Expected number of instances that send all that they know to one that has started.
const DIGEST_SENDERS: u32 = 8;

/// Longest wait for the store to grant a probe; the caller waits meanwhile.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(200);

/// Time between two attempts of this instance to claim a probe.
const CLAIM_PAUSE: Duration = Duration::from_millis(500);

/// Time between two attempts to write the record of a case, and their number.
const STORE_RETRY: Duration = Duration::from_millis(500);
const MAX_STORE_ATTEMPTS: u32 = 60;

/// Path of the open cases on the peer port; followed by a part, of the cases with it.
pub(crate) const CASES_PATH: &str = "/held-parts";

/// Returns the identity of a crash of this run of a backend server.
fn crash_key(entry: &BackendEntry) -> CrashKey {
    CrashKey(xxh3_64(format!("{}/{}", entry.id, entry.born).as_bytes()))
}

/// Records that a backend server closed the connection of this run, if the server has crashed: it then
/// refuses new connections, or is listed as started again soon.
pub(crate) fn run_lost<P: Store + Dialect>(node: &Arc<Node<P>>, mut run: LostRun) {
    let entry = run.place.entry.clone();
    let key = run.place.key;
    {
        let mut state = node.lock();
        let backend = state.backends.get(key);
        let leaves = backend.is_none_or(|backend| !backend.accepts_requests(run.at));
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

fn server_crashed<P: Store + Dialect>(node: &Arc<Node<P>>, run: &LostRun) {
    let at = run.at;
    let now = node.now();
    let me = &node.settings.name;
    let place = &run.place;
    let entry = &place.entry;
    let key = crash_key(entry);
    let known: &'static str = place.known.into();
    let changes = {
        let mut state = node.lock();
        let quarantine = &mut state.quarantine;
        quarantine.crashed(key, &entry.id, me, &run.suspects, at, now)
    };
    node.metrics.suspected_run(known);
    log_event!(
        SERVER_CRASHED,
        "backend={} request={} placed_ms={} known={known} output={} suspects={} {}",
        entry.id,
        run.request,
        at.since(place.at).as_millis(),
        !run.is_early,
        list(&run.suspects),
        run.identity
    );
    apply_changes(node, changes, Origin::Own);
    node.crash_news.notify(usize::MAX);
}

/// Records that a run of a request with these parts wrote output, which clears `keys` of them.
pub(crate) fn run_began<P: Store + Dialect>(
    node: &Arc<Node<P>>,
    parts: &RequestParts,
    keys: &[PartKey],
) {
    let now = node.now();
    let is_news;
    let changes = {
        let mut state = node.lock();
        if state.quarantine.is_empty() {
            return;
        }
        is_news = state.quarantine.knowledge(parts.keys()) != Knowledge::Nothing;
        state.quarantine.began(keys, now)
    };
    if is_news || !changes.is_empty() {
        node.crash_news.notify(usize::MAX);
    }
    apply_changes(node, changes, Origin::Own);
}

/// Where the evidence of a change comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Origin {
    /// From a run of this instance, which also writes the record of the case.
    Own,
    /// From another instance or the store.
    Other,
}

fn apply_changes<P: Store + Dialect>(
    node: &Arc<Node<P>>,
    changes: Vec<CaseChange>,
    origin: Origin,
) {
    let released = node.lock().quarantine.take_released();
    node.metrics.requests_released(released);
    for change in changes {
        match &change {
            CaseChange::Opened(case) => {
                node.metrics.case_opened();
                log_event!(CASE_OPENED, "{}", describe(case));
            }
            CaseChange::Closed(case) => log_event!(CASE_CLOSED, "{}", describe(case)),
            CaseChange::Narrowed { before, after } => {
                log::debug!("{} became {}", describe(before), describe(after));
            }
        }
        if origin == Origin::Own {
            store_change(node, change);
        }
        node.balance_due.notify(usize::MAX);
    }
    node.suspicion_changed.notify(usize::MAX);
}

/// Records that a run was ended because its request is blamed.
pub(crate) fn run_withdrawn<P>(node: &Node<P>, place: &RunPlace, parts: &RequestParts) {
    let now = node.now();
    let crash = crash_key(&place.entry);
    node.lock().quarantine.withdrawn(crash, parts.keys(), now);
}

/// Waits until the request with these keys is blamed itself.
pub(crate) async fn blamed<P>(node: &Node<P>, parts: &RequestParts) {
    loop {
        let changed = node.suspicion_changed.listen();
        let is_blamed = {
            let quarantine = &node.lock().quarantine;
            quarantine.has_cases() && quarantine.names(parts.identity())
        };
        if is_blamed {
            return;
        }
        changed.await;
    }
}

/// Returns the fields of a line about a case.
pub(crate) fn describe(case: &Case) -> String {
    let parts: Vec<PartKey> = case.parts.iter().copied().collect();
    format!(
        "parts={} crashes={} seen_at={} age_ms={} probes={} probe_in_ms={}",
        list(&parts),
        case.crashes,
        case.servers.join(","),
        case.age.as_millis(),
        case.probes,
        case.probe_in.as_millis()
    )
}

fn record(case: &Case) -> Record {
    let content = CaseRecord {
        case: case.clone(),
        unix_ms: unix_ms(),
    };
    Record {
        key: CaseRecord::key(case),
        value: Bytes::from(content.to_string()),
    }
}

/// Writes the records that have changed.
fn store_change<P: Store + Dialect>(node: &Arc<Node<P>>, change: CaseChange) {
    let store = |case, is_open| {
        let task = store_record(node.clone(), case, is_open);
        let clean_up = std::future::ready(());
        node.supervisor
            .spawn_once(OneShot::StoreCase, task, clean_up);
    };
    match change {
        CaseChange::Opened(case) => store(case, true),
        CaseChange::Closed(case) => store(case, false),
        CaseChange::Narrowed { before, after } => {
            // Otherwise the old record would outlast the case, and hold the request back again
            // after the loss of all instances.
            if CaseRecord::key(&before) != CaseRecord::key(&after) {
                store(before, false);
            }
            store(after, true);
        }
    }
}

/// Writes the record of an open case, or removes that of a closed one.
async fn store_record<P: Store + Dialect>(node: Arc<Node<P>>, case: Case, is_open: bool) {
    for _ in 0..MAX_STORE_ATTEMPTS {
        let current = {
            let state = node.lock();
            let mut cases = state.quarantine.cases(node.now());
            cases.find(|open| open.parts == case.parts)
        };
        let record = match (current, is_open) {
            (Some(current), true) => record(&current),
            (None, false) => Record {
                key: CaseRecord::key(&case),
                value: Bytes::new(),
            },
            // The case has changed again, which is written too.
            _ => return,
        };
        let records = [record];
        let result = node.append_records(Topic::Instances, 0, None, &records);
        match result.await {
            Ok(_) => return,
            Err(err) => log::debug!("cannot write the record of a case: {err}"),
        }
        sleep(STORE_RETRY).await;
    }
    log_event!(CASE_NOT_STORED, "{}", describe(&case));
}

/// Applies the record of a case from the store.
pub(crate) fn apply_record<P: Store + Dialect>(node: &Arc<Node<P>>, record: &Record) {
    // Cases are closed by evidence, which the other instances tell.
    if record.value.is_empty() {
        return;
    }
    let text = String::from_utf8_lossy(&record.value);
    match CaseRecord::parse(&text, unix_ms()) {
        Ok(case) => {
            let news = CrashNews {
                cases: vec![case],
                ..CrashNews::default()
            };
            node.lock().skipped.read(Topic::Instances, &record.key);
            merge(node, &news);
        }
        Err(err) => {
            let mut state = node.lock();
            follow::skip_record(&mut state, Topic::Instances, &record.key, &err);
        }
    }
}

/// Applies what another instance tells.
pub(crate) fn merge<P: Store + Dialect>(node: &Arc<Node<P>>, news: &CrashNews) {
    let now = node.now();
    let changes = {
        let mut state = node.lock();
        let was_empty = state.quarantine.is_empty();
        let changes = state.quarantine.merge(news, now);
        if was_empty && !state.quarantine.is_empty() {
            node.crash_news.notify(usize::MAX);
        }
        changes
    };
    apply_changes(node, changes, Origin::Other);
}

/// Returns whether this instance may send a request with these parts as a probe. The store grants
/// a probe to one instance: it appends the record only if there is none that this instance has not
/// read.
pub(crate) async fn claim_probe<P: Store + Dialect>(
    node: &Arc<Node<P>>,
    request: &str,
    parts: &[PartKey],
) -> bool {
    let now = node.now();
    let (case, at) = {
        let mut state = node.lock();
        if state
            .probe_claimed_at
            .is_some_and(|at| now.since(at) < CLAIM_PAUSE)
        {
            return false;
        }
        state.probe_claimed_at = Some(now);
        let Some(case) = state.quarantine.after_probe(parts, now) else {
            return false;
        };
        (case, state.instances_next)
    };
    let records = [record(&case)];
    let claim = node.append_records(Topic::Instances, 0, Some(at), &records);
    match timeout_at(Instant::now() + CLAIM_TIMEOUT, claim).await {
        Some(Ok(_)) => {}
        Some(Err(err)) => {
            log::debug!("the probe is not granted: {err}");
            return false;
        }
        None => return false,
    }
    let now = node.now();
    node.lock().quarantine.probed(&case, now);
    node.crash_news.notify(usize::MAX);
    log_event!(PROBE_SENT, "request={request} {}", describe(&case));
    true
}

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
    socket: Arc<Async<UdpSocket>>,
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

fn send_news<P>(node: &Node<P>, socket: &Async<UdpSocket>) {
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

fn send_to<P>(node: &Node<P>, socket: &Async<UdpSocket>, bytes: &[u8], addrs: &[IpAddr]) {
    for addr in addrs {
        let addr = SocketAddr::new(*addr, node.settings.peer_port);
        if let Err(err) = socket.get_ref().send_to(bytes, addr) {
            // The news is repeated, and a later digest has it too.
            log::debug!("cannot tell {addr} about crashes: {err}");
        }
    }
}

/// Returns the open cases, a line each.
pub(crate) fn list_cases<P>(node: &Node<P>) -> Response<Body> {
    let now = node.now();
    let state = node.lock();
    let lines = state
        .quarantine
        .cases(now)
        .map(|case| describe(&case) + "\n");
    plain(StatusCode::OK, &lines.collect::<String>())
}

/// Closes the cases with a part, on behalf of an operator.
pub(crate) fn close_cases<P: Store + Dialect>(node: &Arc<Node<P>>, part: &str) -> Response<Body> {
    let Ok(part) = part.parse::<PartKey>() else {
        let text = "a part is a hexadecimal number of up to 16 digits";
        return plain(StatusCode::BAD_REQUEST, text);
    };
    let now = node.now();
    let changes = node.lock().quarantine.close(part, now);
    if changes.is_empty() {
        let text = format!("no request is held back because of part {part} alone");
        return plain(StatusCode::NOT_FOUND, &text);
    }
    node.crash_news.notify(usize::MAX);
    apply_changes(node, changes, Origin::Own);
    plain(StatusCode::OK, &format!("part {part} is served again"))
}
