//! HTTP interface of the log service.

use std::{
    cell::RefCell,
    io,
    net::TcpListener,
    rc::Rc,
    time::{
        Duration,
        Instant, //
    }, //
};

use async_executor::LocalExecutor;
use async_io::Timer;
use base64::{
    Engine as _,
    engine::general_purpose::STANDARD, //
};
use event_listener::Event;
use futures_lite::future;
use hyper::{
    Method,
    StatusCode, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use serde_json::json;

use super::store::{
    AppendError,
    LogConfig,
    LogStore,
    Page,
    Trimmed, //
};
use crate::{
    clock::Clock,
    http::{
        self,
        Call,
        Dropped,
        HttpResponse,
        Outcome,
        Rejected,
        Service, //
    }, //
};

/// Default number of records in a page.
const DEFAULT_LIMIT: u64 = 1000;

/// Maximum wait of a long poll, in milliseconds.
const MAX_WAIT_MS: u64 = 60_000;

/// Availability of the service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outage {
    /// All calls are served.
    #[default]
    Off,
    /// Each call is rejected with 503 immediately; appends have no effect.
    Reject,
    /// Calls receive no response during the outage; they are rejected with 503 when it ends.
    Hang,
}

/// Immediate trim of one stream.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TrimTo {
    /// Name of the stream.
    pub stream: String,
    /// First offset that is retained.
    pub before: u64,
}

/// Body of `POST /control`; absent fields leave their settings unchanged.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogControl {
    /// Starts or ends an outage.
    pub outage: Option<Outage>,
    /// Delay of each response after the call took effect, in milliseconds.
    pub slow_ms: Option<u64>,
    /// Number of next appends that take effect but whose connections are closed without a response.
    pub lose_answers: Option<u32>,
    /// Trims a stream immediately.
    pub trim: Option<TrimTo>,
    /// Changes the retention by age, in milliseconds.
    pub retain_ms: Option<u64>,
    /// Changes the retention by count.
    pub retain_records: Option<usize>,
    /// Changes the limit of appends per second.
    pub appends_per_s: Option<f64>,
    /// Changes the burst of appends.
    pub append_burst: Option<f64>,
}

struct State {
    store: LogStore,
    outage: Outage,
    slow: Duration,
    lose_answers: u32,
}

struct LogService {
    clock: Clock,
    state: RefCell<State>,
    /// Wakes long polls and hanging calls after an append or a control call.
    changed: Event,
}

/// Serves the log until the process terminates.
///
/// # Errors
///
/// Returns an error if the listener cannot be used.
pub fn serve(listener: TcpListener, cfg: &LogConfig) -> io::Result<()> {
    let state = State {
        store: LogStore::new(cfg),
        outage: Outage::Off,
        slow: Duration::ZERO,
        lose_answers: 0,
    };
    let service = Rc::new(LogService {
        clock: Clock::start(),
        state: RefCell::new(state),
        changed: Event::new(),
    });
    let executor = LocalExecutor::new();
    let served = executor.run(http::serve(&executor, listener, service));
    future::block_on(served).map(|_| ())
}

impl Service for LogService {
    async fn call(&self, call: Call) -> Outcome {
        if call.path == "/control" && call.method == Method::POST {
            return Ok(http::response(self.control(&call)));
        }
        if let Some(unavailable) = self.availability().await {
            return Ok(unavailable);
        }
        let outcome = match (&call.method, call.segments().as_slice()) {
            (&Method::POST, ["streams", stream, "records"]) => self.append(stream, &call),
            (&Method::GET, ["streams", stream, "records"]) => {
                Ok(http::response(self.read(stream, &call).await))
            }
            _ => Ok(http::not_found(&call)),
        };
        let slow = self.state.borrow().slow;
        if !slow.is_zero() {
            Timer::after(slow).await;
        }
        outcome
    }
}

impl LogService {
    /// Returns the response during an outage, if there is one; with `Hang`, waits for its end.
    async fn availability(&self) -> Option<HttpResponse> {
        let mut was_hanging = false;
        loop {
            let changed = self.changed.listen();
            let outage = self.state.borrow().outage;
            match outage {
                Outage::Off if !was_hanging => return None,
                Outage::Off | Outage::Reject => return Some(unavailable()),
                Outage::Hang => was_hanging = true,
            }
            changed.await;
        }
    }

    fn append(&self, stream: &str, call: &Call) -> Outcome {
        let mut state = self.state.borrow_mut();
        let appended = state
            .store
            .append(self.clock.now(), stream, call.body.clone());
        match appended {
            Ok(offset) => {
                self.changed.notify(usize::MAX);
                if state.lose_answers > 0 {
                    state.lose_answers -= 1;
                    return Err(Dropped);
                }
                Ok(http::json(StatusCode::OK, &json!({ "offset": offset })))
            }
            Err(AppendError::OverBound(after)) => {
                let response = http::error(
                    StatusCode::TOO_MANY_REQUESTS,
                    "the bound on appends a second is reached",
                );
                Ok(http::with_retry_after(response, after))
            }
            Err(AppendError::TooLarge(most)) => Ok(http::error(
                StatusCode::PAYLOAD_TOO_LARGE,
                &format!("a record has at most {most} bytes"),
            )),
        }
    }

    async fn read(&self, stream: &str, call: &Call) -> Result<HttpResponse, Rejected> {
        let from = call.number("from", 0)?;
        let limit = call.number("limit", DEFAULT_LIMIT)?;
        let wait_ms = call.number("wait_ms", 0)?;
        let limit = usize::try_from(limit).unwrap_or(usize::MAX).max(1);
        let deadline = Instant::now() + Duration::from_millis(wait_ms.min(MAX_WAIT_MS));
        loop {
            let changed = self.changed.listen();
            if let Some(unavailable) = self.availability().await {
                return Ok(unavailable);
            }
            let read = self
                .state
                .borrow_mut()
                .store
                .read(self.clock.now(), stream, from, limit);
            match read {
                Ok(page) if page.records.is_empty() && Instant::now() < deadline => {}
                Ok(page) => return Ok(page_response(&page)),
                Err(trimmed) => return Ok(trimmed_response(trimmed)),
            }
            let timeout = async {
                Timer::at(deadline).await;
            };
            future::or(changed, timeout).await;
        }
    }

    fn control(&self, call: &Call) -> Result<HttpResponse, Rejected> {
        let control: LogControl = call.json()?;
        let mut state = self.state.borrow_mut();
        let now = self.clock.now();
        state.outage = control.outage.unwrap_or(state.outage);
        state.slow = control.slow_ms.map_or(state.slow, Duration::from_millis);
        state.lose_answers = control.lose_answers.unwrap_or(state.lose_answers);
        state.store.set_retention(
            control.retain_ms.map(Duration::from_millis),
            control.retain_records,
        );
        state
            .store
            .set_bound(now, control.appends_per_s, control.append_burst);
        if let Some(trim) = &control.trim {
            state.store.trim_to(&trim.stream, trim.before);
        }
        self.changed.notify(usize::MAX);
        Ok(http::json(StatusCode::OK, &json!({})))
    }
}

fn unavailable() -> HttpResponse {
    http::error(StatusCode::SERVICE_UNAVAILABLE, "the log is not available")
}

fn page_response(page: &Page) -> HttpResponse {
    let records: Vec<_> = page
        .records
        .iter()
        .map(|record| json!({ "offset": record.offset, "data": STANDARD.encode(&record.data) }))
        .collect();
    let body = json!({ "first": page.first, "next": page.next, "records": records });
    http::json(StatusCode::OK, &body)
}

fn trimmed_response(trimmed: Trimmed) -> HttpResponse {
    let body = json!({ "first": trimmed.first, "next": trimmed.next });
    http::json(StatusCode::GONE, &body)
}
