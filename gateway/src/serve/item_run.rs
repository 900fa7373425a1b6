//! One run of an item on a backend server: the request, and the output that is collected.

use std::sync::Arc;
use std::time::{
    Duration,
    Instant, //
};

use hyper::Method;
use limpetweir_state::Timestamp;
use limpetweir_transport::http::{
    ClientBody,
    SendOptions,
    TrafficClass, //
};
use limpetweir_transport::{
    MovingTimer,
    timeout_at, //
};

use super::evacuation::{
    self, //
    ZONE_EVACUATED,
};
use super::heads;
use super::heads::SentRequest;
use super::node::Node;
use super::relay::{
    ENDED_WITH_SERVER,
    Interruption,
    has_end, //
};
use super::run_watch::RunWatch;
use super::stream::next_bytes;
use crate::backend::{
    BackendEntry,
    BackendKey, //
};
use crate::event_reader::EventReader;
use crate::item_output::Progress;
use crate::jobs::JobItem;
use crate::open_items::RunEnd;
use crate::platform::{
    Dialect,
    Forward,
    ItemRequest,
    Store, //
};
use crate::report::ItemKey;
use crate::speed::PaceMeter;
use crate::sse::Event;

/// Time without a complete event after which an item is moved to another server; bytes that complete
/// no event are no progress. A sound server may be silent for a second or so, and an item that moves
/// has its prompt read again, so this is well above it.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Status of a backend server for an item that can never succeed.
const IMPOSSIBLE: u16 = 422;

/// Parameters of one run of an item.
pub(crate) struct ItemRun {
    pub(crate) key: ItemKey,
    pub(crate) item: Arc<JobItem>,
    pub(crate) organisation: String,
    pub(crate) host: String,
    pub(crate) route: String,
    pub(crate) attempts: u32,
    pub(crate) partition: usize,
    pub(crate) job: String,
    pub(crate) index: usize,
    pub(crate) progress: Progress,
    pub(crate) backend: BackendKey,
    pub(crate) entry: Arc<BackendEntry>,
    pub(crate) chosen_at: Timestamp,
}

/// Sends the item to the backend server and collects its output.
pub(crate) async fn collect<P: Store + Dialect>(
    node: &Arc<Node<P>>,
    run: &ItemRun,
    progress: &mut Progress,
    watch: &mut RunWatch<P>,
) -> (RunEnd, String) {
    if !evacuation::may_send(node, &run.entry) {
        return (RunEnd::Rejected, ZONE_EVACUATED.to_owned());
    }
    let request = ItemRequest {
        id: &run.item.id,
        host: &run.host,
        path: &run.item.path,
        headers: &run.item.headers,
        body: &run.item.body,
    };
    let forward = Forward {
        backend: &run.entry.id,
        organisation: Some(&run.organisation),
        remaining: None,
        last_event: progress.last(),
    };
    let req = match node.platform.item(&request, &forward) {
        Ok(req) => req,
        // The backend server would reject it as well.
        Err(err) => return (RunEnd::Failed, err.to_string()),
    };
    let options = SendOptions {
        // Connections are shared with online requests, because every new connection has a cost.
        class: TrafficClass::Online,
        deadline: None,
    };
    let sent = node.client.send(run.entry.addr, req, options);
    let Some(sent) = timeout_at(Instant::now() + SILENCE_TIMEOUT, sent).await else {
        return (
            RunEnd::Silent,
            "no response head arrived in time".to_owned(),
        );
    };
    let response = match sent {
        Ok(response) => response,
        Err(err) => {
            watch.set_sent_on(err.sent_on());
            if err.is_lost_run() {
                watch.connection_lost(false);
            }
            return (RunEnd::Broken, err.to_string());
        }
    };
    let has_end = has_end(&Method::POST, &response);
    let (head, body) = response.into_parts();
    let sent_on = body.sent_on();
    watch.set_sent_on(Some(sent_on));
    let status = head.status.as_u16();
    let sent = SentRequest {
        id: &run.item.id,
        entry: &run.entry,
        at: run.chosen_at,
        sent_on,
        runs_once: false,
    };
    let decoded = match heads::examine(node, sent, &head) {
        heads::Verdict::Response(decoded) => decoded,
        heads::Verdict::NotRun(cause) => return (RunEnd::Rejected, cause),
        heads::Verdict::Foreign(cause) | heads::Verdict::Unstated(cause) => {
            body.close();
            return (RunEnd::Broken, cause);
        }
    };
    match status {
        200 if decoded.events => {
            let end = collect_events(node, run.backend, body, progress, watch).await;
            if end.0 == RunEnd::Completed && !has_end && watch.is_server_gone().await {
                watch.connection_lost(true);
                return (RunEnd::Broken, ENDED_WITH_SERVER.to_owned());
            }
            end
        }
        IMPOSSIBLE => (RunEnd::Impossible, format!("status {status}")),
        500 => (RunEnd::Failed, format!("status {status}")),
        _ => (RunEnd::Broken, format!("status {status}")),
    }
}

/// Collects the events of a response until its end.
async fn collect_events<P: Store + Dialect>(
    node: &Arc<Node<P>>,
    backend: BackendKey,
    mut body: ClientBody,
    progress: &mut Progress,
    watch: &mut RunWatch<P>,
) -> (RunEnd, String) {
    let mut pace = PaceMeter::default();
    let mut reader = EventReader::after(progress.last(), &node.output_budget);
    let max_bytes = node.settings.store.max_text_bytes();
    let mut progressed = Instant::now();
    let mut silence = MovingTimer::default();
    loop {
        let read = silence.timeout_at(progressed + SILENCE_TIMEOUT, next_bytes(&mut body));
        let read = read.await;
        let bytes = match read {
            None => return silent(),
            Some(Ok(None)) => break,
            Some(Ok(Some(bytes))) => bytes,
            Some(Err(interruption)) => {
                if matches!(interruption, Interruption::ConnectionLost(_)) {
                    watch.connection_lost(true);
                }
                return (RunEnd::Broken, interruption.to_string());
            }
        };
        let events = match reader.push(&bytes) {
            Ok(events) => events,
            Err(err) => return (RunEnd::Broken, err.to_string()),
        };
        for event in events.into_iter().filter(Event::is_output) {
            progressed = Instant::now();
            // Events of the output have a number.
            let id = event.id.unwrap_or_default();
            let added = progress.add(id, &event.data, max_bytes, &node.output_budget);
            if let Err(err) = added {
                return (RunEnd::TooLarge, err.to_string());
            }
            node.measure(backend, &mut pace);
            watch.output();
        }
        if let Err(err) = reader.check() {
            return (RunEnd::Broken, err.to_string());
        }
        // The timeout does not expire while there are always bytes to read.
        if progressed.elapsed() >= SILENCE_TIMEOUT {
            return silent();
        }
    }
    if let Err(err) = reader.end() {
        watch.connection_lost(true);
        return (RunEnd::Broken, err.to_string());
    }
    (RunEnd::Completed, String::new())
}

fn silent() -> (RunEnd, String) {
    (RunEnd::Silent, "no event arrived in time".to_owned())
}
