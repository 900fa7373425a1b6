//! Records crashes and outputs of runs, and shows operators what is held back because of them.

use std::sync::Arc;

use hyper::{
    Response,
    StatusCode, //
};
use limpetweir_transport::http::Body;
use xxhash_rust::xxh3::xxh3_64;

use super::case_records::store_change;
use super::lines::{
    CASE_CLOSED,
    CASE_OPENED,
    SERVER_CRASHED,
    log_event, //
};
use super::lost_run::{
    LostRun,
    RunPlace, //
};
use super::node::Node;
use super::replies::plain;
use crate::backend::BackendEntry;
use crate::crash_news::{
    Case,
    CrashKey,
    CrashNews, //
};
use crate::platform::{
    Dialect,
    Store, //
};
use crate::prompt::{
    PartKey,
    list, //
};
use crate::quarantine::{
    CaseChange,
    Knowledge, //
};
use crate::request_parts::RequestParts;

/// Path of the open cases on the peer port; followed by a part, of the cases with it.
pub(crate) const CASES_PATH: &str = "/held-parts";

/// Returns the identity of a crash of this run of a backend server.
fn crash_key(entry: &BackendEntry) -> CrashKey {
    CrashKey(xxh3_64(format!("{}/{}", entry.id, entry.born).as_bytes()))
}

/// Records that a server has crashed under a run of this instance.
pub(crate) fn server_crashed<P: Store + Dialect>(node: &Arc<Node<P>>, run: &LostRun) {
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
