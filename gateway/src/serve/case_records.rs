//! Records of open cases in the store, which outlast the loss of all instances, and the claims of probes.

use std::sync::Arc;
use std::time::{
    Duration,
    Instant, //
};

use hyper::body::Bytes;
use limpetweir_transport::{
    sleep,
    timeout_at, //
};

use super::apply;
use super::crashes::{
    describe,
    merge, //
};
use super::lines::{
    CASE_NOT_STORED,
    PROBE_SENT,
    log_event, //
};
use super::node::{
    Node,
    unix_ms, //
};
use super::task_kinds::OneShot;
use crate::crash_message::CaseRecord;
use crate::crash_news::{
    Case,
    CrashNews, //
};
use crate::platform::{
    Dialect,
    Record,
    Store,
    Topic, //
};
use crate::prompt::PartKey;
use crate::quarantine::CaseChange;
use crate::store_load::CallTarget;

/// Longest wait for the store to grant a probe; the caller waits meanwhile.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(200);

/// Time between two attempts of this instance to claim a probe.
const CLAIM_PAUSE: Duration = Duration::from_millis(500);

/// Number of attempts to write the record of a case.
const MAX_STORE_ATTEMPTS: u32 = 60;

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
pub(crate) fn store_change<P: Store + Dialect>(node: &Arc<Node<P>>, change: CaseChange) {
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
        sleep(node.store_pause(CallTarget::append(Topic::Instances, 0))).await;
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
            apply::skip_record(&mut state, Topic::Instances, &record.key, &err);
        }
    }
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
