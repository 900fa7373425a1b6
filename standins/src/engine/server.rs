//! HTTP interface of the engine.

use std::{
    cell::RefCell,
    io,
    net::TcpListener,
    rc::Rc,
    time::Duration, //
};

use async_channel::Sender;
use async_executor::LocalExecutor;
use async_io::Timer;
use event_listener::Event;
use futures_lite::future;
use hyper::{
    Method,
    Response,
    StatusCode,
    body::Bytes,
    header::{
        CACHE_CONTROL,
        CONTENT_TYPE,
        HeaderValue, //
    }, //
};
use serde::Deserialize;
use serde_json::json;

use super::{
    api::{
        self,
        ApiError,
        DONE,
        Endpoint,
        Request,
        ResponseBuilder,
        Usage, //
    },
    control::{
        EngineControl,
        Fault, //
    },
    core::{
        Admitted,
        Core,
        EngineConfig, //
    },
    orders::{
        Order,
        Stale, //
    },
    record::RequestOutcome,
    scheduler::Progress,
    text::Text, //
};
use crate::{
    clock::Clock,
    content::ATTEMPT_ID,
    http::{
        self,
        Call,
        Dropped,
        HttpResponse,
        Outcome,
        Rejected,
        ResponseBody,
        Service,
        bad_request, //
    }, //
};

/// `Retry-After` of rejections.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Interval between checks whether the connection has read all events.
const WRITE_POLL: Duration = Duration::from_millis(1);

/// Maximum number of buffered events of a stream when its reader is slow.
const STREAM_BUFFER: usize = 16;

struct Shared {
    clock: Clock,
    core: RefCell<Core>,
    /// Notifies `drive` when the time of the next step changes.
    changed: Event,
}

struct EngineService {
    executor: Rc<LocalExecutor<'static>>,
    shared: Rc<Shared>,
}

/// Serves the engine until the process terminates.
///
/// # Errors
///
/// Returns an error if the listener cannot be used.
pub fn serve(listener: TcpListener, cfg: &EngineConfig) -> io::Result<()> {
    let executor = Rc::new(LocalExecutor::new());
    let shared = Rc::new(Shared {
        clock: Clock::start(),
        core: RefCell::new(Core::new(cfg)),
        changed: Event::new(),
    });
    executor.spawn(drive(Rc::clone(&shared))).detach();
    let service = Rc::new(EngineService {
        executor: Rc::clone(&executor),
        shared,
    });
    let served = executor.run(http::serve(&executor, listener, service));
    future::block_on(served).map(|_| ())
}

/// Advances the engine at the end of each step.
async fn drive(shared: Rc<Shared>) {
    loop {
        let changed = shared.changed.listen();
        let next = shared.core.borrow().next_event();
        let due = async {
            match next {
                Some(at) => {
                    Timer::at(shared.clock.instant(at)).await;
                }
                None => future::pending().await,
            }
        };
        future::or(due, changed).await;
        shared.core.borrow_mut().advance(shared.clock.now());
    }
}

impl Service for EngineService {
    async fn call(&self, call: Call) -> Outcome {
        let shared = &self.shared;
        let now = shared.clock.now();
        let response = match (&call.method, call.path.as_str()) {
            (&Method::POST, "/v1/completions") => {
                return self.complete(Endpoint::Completion, call).await;
            }
            (&Method::POST, "/v1/chat/completions") => {
                return self.complete(Endpoint::Chat, call).await;
            }
            (&Method::GET, "/v1/models") => Ok(shared.models(now)),
            (&Method::GET, "/load") => Ok(http::json(
                StatusCode::OK,
                shared.core.borrow_mut().load(now),
            )),
            (&Method::GET, "/cache/events") => call.number("from", 0).map(|from| {
                http::json(
                    StatusCode::OK,
                    &shared.core.borrow().cache_events(now, from),
                )
            }),
            (&Method::POST, "/orders") => shared.order(now, &call),
            (&Method::POST, "/kv/export") => shared.export(now, &call),
            (&Method::POST, "/kv/import") => shared.import(now, &call),
            (&Method::GET, "/record") => shared.record(&call),
            (&Method::POST, "/control") => shared.control(now, &call),
            _ => Ok(http::not_found(&call)),
        };
        Ok(http::response(response))
    }
}

impl EngineService {
    async fn complete(&self, endpoint: Endpoint, call: Call) -> Outcome {
        let request = api::parse(endpoint, &call.body);
        let parsed = request.as_ref().ok().cloned();
        let admitted = self.shared.admit(&call, request);
        let (admitted, request) = match (admitted, parsed) {
            (Ok(admitted), Some(request)) => (admitted, request),
            (Err(err), _) => return Ok(rejection(&call, &err)),
            (Ok(_), None) => return Err(Dropped),
        };
        let guard = RequestGuard {
            shared: Rc::clone(&self.shared),
            seq: admitted.seq,
        };
        let generation = Generation::new(guard, admitted, &request);
        let omit = self.shared.core.borrow_mut().take_omit_attempt_id();
        let attempt_id = generation
            .admitted
            .identity
            .attempt_id
            .clone()
            .filter(|_| !omit);
        if !generation.admitted.delay.is_zero() {
            Timer::after(generation.admitted.delay).await;
        }
        let response = if request.stream {
            let (tx, rx) = async_channel::bounded(STREAM_BUFFER);
            self.executor.spawn(generation.stream(tx)).detach();
            event_stream(ResponseBody::Stream(Box::pin(rx)))
        } else {
            generation.whole().await?
        };
        Ok(with_attempt_id(response, attempt_id.as_deref()))
    }
}

impl Shared {
    fn admit(&self, call: &Call, request: Result<Request, ApiError>) -> Result<Admitted, ApiError> {
        let admitted = self
            .core
            .borrow_mut()
            .admit(self.clock.now(), call, request);
        self.changed.notify(usize::MAX);
        admitted
    }

    fn models(&self, now: Duration) -> HttpResponse {
        let models = self.core.borrow_mut().models(now);
        let data: Vec<_> = models
            .iter()
            .map(|model| json!({ "id": model, "object": "model" }))
            .collect();
        http::json(StatusCode::OK, &json!({ "object": "list", "data": data }))
    }

    fn order(&self, now: Duration, call: &Call) -> Result<HttpResponse, Rejected> {
        let order: Order = call.json()?;
        let ordered = self.core.borrow_mut().order(now, order);
        self.changed.notify(usize::MAX);
        match ordered {
            Ok(body) => Ok(http::json(StatusCode::OK, &body)),
            Err(Stale { highest }) => {
                let message = "an order with a higher fencing number was accepted";
                let body = json!({ "error": { "message": message }, "fencing": highest });
                Ok(http::json(StatusCode::CONFLICT, &body))
            }
        }
    }

    fn export(&self, now: Duration, call: &Call) -> Result<HttpResponse, Rejected> {
        let export: Export = call.json()?;
        let exported = self
            .core
            .borrow_mut()
            .export(now, &export.model, &export.prompt);
        match exported {
            Some(body) => Ok(http::json(StatusCode::OK, &body)),
            None => Ok(not_loaded()),
        }
    }

    fn import(&self, now: Duration, call: &Call) -> Result<HttpResponse, Rejected> {
        let import: Import = call.json()?;
        let blocks: Result<Vec<u64>, _> = import
            .blocks
            .iter()
            .map(|block| u64::from_str_radix(block, 16))
            .collect();
        let blocks = blocks.map_err(|err| bad_request(format!("a block is not valid: {err}")))?;
        let mut core = self.core.borrow_mut();
        if core.import(now, &import.model, &import.version, &blocks) {
            return Ok(http::json(
                StatusCode::OK,
                &json!({ "imported": blocks.len() }),
            ));
        }
        Ok(not_loaded())
    }

    fn record(&self, call: &Call) -> Result<HttpResponse, Rejected> {
        let from = usize::try_from(call.number("from", 0)?).unwrap_or(usize::MAX);
        Ok(http::json(StatusCode::OK, &self.core.borrow().record(from)))
    }

    fn control(&self, now: Duration, call: &Call) -> Result<HttpResponse, Rejected> {
        let control: EngineControl = call.json()?;
        if control
            .slowdown
            .is_some_and(|factor| !factor.is_finite() || factor <= 0.0)
        {
            return Err(bad_request("slowdown must be above 0".to_owned()));
        }
        self.core.borrow_mut().control(now, &control);
        self.changed.notify(usize::MAX);
        Ok(http::json(StatusCode::OK, &json!({})))
    }
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Export {
    model: String,
    prompt: String,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Import {
    model: String,
    version: String,
    blocks: Vec<String>,
}

/// Ends a request; dropping the guard without an outcome means that the caller disconnected.
struct RequestGuard {
    shared: Rc<Shared>,
    seq: usize,
}

impl RequestGuard {
    fn end(&self, outcome: RequestOutcome) {
        let now = self.shared.clock.now();
        self.shared.core.borrow_mut().end(now, self.seq, outcome);
        self.shared.changed.notify(usize::MAX);
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.end(RequestOutcome::Cancelled);
    }
}

/// Builds the response of a request from its tokens.
struct Generation {
    guard: RequestGuard,
    admitted: Admitted,
    text: Text,
    builder: ResponseBuilder,
    include_usage: bool,
    cached_tokens: usize,
}

/// Next part of a response.
enum Next {
    Token(Progress),
    End,
    Fault(Fault),
}

impl Generation {
    fn new(guard: RequestGuard, admitted: Admitted, request: &Request) -> Self {
        let identity = &admitted.identity;
        let builder = ResponseBuilder {
            endpoint: request.endpoint,
            id: format!("cmpl-{}", admitted.seq),
            model: identity.model.clone(),
        };
        let text = Text::new(&identity.model, &identity.prompt);
        let include_usage = request.include_usage;
        Self {
            guard,
            admitted,
            text,
            builder,
            include_usage,
            cached_tokens: 0,
        }
    }

    /// Waits for the next token or the end; returns the fault in its place if one is due.
    async fn next(&mut self) -> Next {
        let fault = self.admitted.fault;
        match self.admitted.tokens.recv().await {
            Ok(progress) if fault.is_due(progress.generated) => Next::Fault(fault),
            Ok(progress) => {
                self.cached_tokens = progress.cached_tokens;
                Next::Token(progress)
            }
            Err(_) if fault == Fault::None => Next::End,
            Err(_) => Next::Fault(fault),
        }
    }

    async fn whole(mut self) -> Outcome {
        loop {
            match self.next().await {
                Next::Token(_) => {}
                Next::End => break,
                Next::Fault(Fault::CutAfter(_)) => {
                    self.guard.end(RequestOutcome::Cut);
                    return Err(Dropped);
                }
                Next::Fault(_) => {
                    self.guard.end(RequestOutcome::Failed);
                    return Ok(engine_failed().response());
                }
            }
        }
        let text = self.text.range(self.admitted.resume, self.admitted.total);
        let body = self
            .builder
            .whole(&text, self.finish_reason(), self.usage());
        self.guard.end(RequestOutcome::Completed);
        Ok(http::json(StatusCode::OK, &body))
    }

    /// Writes the events; returns immediately when the caller closes the connection.
    async fn stream(mut self, tx: Sender<Result<Bytes, Dropped>>) {
        let closed = tx.clone();
        let caller_left = async move { closed.closed().await };
        let write = async {
            // A failed send means that the caller disconnected; dropping the guard records it.
            let _ = self.write_events(&tx).await;
        };
        future::or(caller_left, write).await;
    }

    async fn write_events(
        &mut self,
        tx: &Sender<Result<Bytes, Dropped>>,
    ) -> Result<(), async_channel::SendError<Result<Bytes, Dropped>>> {
        loop {
            match self.next().await {
                Next::Token(progress) => {
                    let position = self.admitted.resume + progress.generated - 1;
                    let text = self.text.token(position);
                    tx.send(Ok(self.builder.token(&text, progress.generated == 1)))
                        .await?;
                }
                Next::End => return self.write_end(tx).await,
                Next::Fault(Fault::CutAfter(_)) => {
                    self.guard.end(RequestOutcome::Cut);
                    wait_until_written(tx).await;
                    return tx.send(Err(Dropped)).await;
                }
                Next::Fault(Fault::EndAfter(_)) => {
                    self.guard.end(RequestOutcome::EndedEarly);
                    return Ok(());
                }
                Next::Fault(_) => {
                    self.guard.end(RequestOutcome::Failed);
                    return tx.send(Ok(api::event(&engine_failed().body()))).await;
                }
            }
        }
    }

    async fn write_end(
        &mut self,
        tx: &Sender<Result<Bytes, Dropped>>,
    ) -> Result<(), async_channel::SendError<Result<Bytes, Dropped>>> {
        tx.send(Ok(self.builder.finish(self.finish_reason())))
            .await?;
        if self.include_usage {
            tx.send(Ok(self.builder.usage(self.usage()))).await?;
        }
        tx.send(Ok(DONE)).await?;
        self.guard.end(RequestOutcome::Completed);
        Ok(())
    }

    fn finish_reason(&self) -> &'static str {
        if self.admitted.total == self.text.natural_length() {
            "stop"
        } else {
            "length"
        }
    }

    fn usage(&self) -> Usage {
        Usage {
            prompt_tokens: self.admitted.prompt_tokens,
            cached_tokens: self.cached_tokens,
            completion_tokens: self.admitted.total - self.admitted.resume,
        }
    }
}

/// Waits until the connection has read all events, because closing it discards unread ones.
async fn wait_until_written(tx: &Sender<Result<Bytes, Dropped>>) {
    while !tx.is_empty() {
        Timer::after(WRITE_POLL).await;
    }
}

fn not_loaded() -> HttpResponse {
    http::error(StatusCode::CONFLICT, "this model or version is not loaded")
}

fn engine_failed() -> ApiError {
    ApiError::server("engine_failed", "the engine failed while the request ran")
}

fn rejection(call: &Call, err: &ApiError) -> HttpResponse {
    let mut response = err.response();
    if err.status == StatusCode::SERVICE_UNAVAILABLE {
        response = http::with_retry_after(response, RETRY_AFTER);
    }
    with_attempt_id(response, call.header(ATTEMPT_ID))
}

fn event_stream(body: ResponseBody) -> HttpResponse {
    let mut response = Response::new(body);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    response
}

fn with_attempt_id(mut response: HttpResponse, attempt_id: Option<&str>) -> HttpResponse {
    if let Some(value) = attempt_id.and_then(|id| HeaderValue::from_str(id).ok()) {
        response.headers_mut().insert(ATTEMPT_ID, value);
    }
    response
}
