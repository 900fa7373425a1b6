//! State of the engine, independent of its HTTP interface.

use std::{
    collections::HashMap,
    time::Duration, //
};

use async_channel::{
    Receiver,
    Sender, //
};
use serde_json::{
    Value,
    json, //
};

use super::{
    api::{
        ApiError,
        Request, //
    },
    cache::PrefixCache,
    control::{
        EngineControl,
        Fault,
        Faults, //
    },
    events::CacheEvents,
    orders::{
        Order,
        Orders,
        Stale, //
    },
    record::{
        RequestOutcome,
        RequestRecord, //
    },
    scheduler::{
        Progress,
        Scheduler,
        TimeModel,
        Work, //
    },
    text::{
        self,
        Text, //
    }, //
};
use crate::{
    clock::millis,
    content::{
        ATTEMPT_ID,
        RESUME_TOKENS, //
    },
    http::Call,
    lagged::Lagged, //
};

/// Settings of an engine.
#[derive(Debug, Clone)]
pub struct EngineConfig {
    /// Model that is loaded at the start.
    pub model: String,
    /// Constants of the time model.
    pub time: TimeModel,
    /// Maximum number of tokens of prompt and response together.
    pub context_tokens: usize,
    /// Whether orders with an old fencing number are rejected.
    pub check_fencing: bool,
    /// Duration of loading a model, adapter or version.
    pub load_time: Duration,
    /// Lag of `GET /load`.
    pub load_lag: Duration,
    /// Lag of cache events.
    pub cache_event_lag: Duration,
    /// Drops each cache event whose number is a multiple of this; 0 drops none.
    pub cache_event_gap_every: u64,
}

/// Identity of a request in its response; a crossed response has that of the previous request.
#[derive(Debug, Clone)]
pub(crate) struct Identity {
    pub(crate) attempt_id: Option<String>,
    pub(crate) model: String,
    pub(crate) prompt: String,
}

/// An admitted request.
#[derive(Debug)]
pub(crate) struct Admitted {
    pub(crate) seq: usize,
    pub(crate) identity: Identity,
    pub(crate) fault: Fault,
    /// Number of tokens of the complete response.
    pub(crate) total: usize,
    /// Number of tokens delivered by earlier attempts.
    pub(crate) resume: usize,
    pub(crate) prompt_tokens: usize,
    pub(crate) delay: Duration,
    /// One message per token; closed without messages if there are no tokens left to generate.
    pub(crate) tokens: Receiver<Progress>,
}

/// State of an engine.
#[derive(Debug)]
pub(crate) struct Core {
    scheduler: Scheduler,
    context_tokens: usize,
    orders: Orders,
    faults: Faults,
    events: CacheEvents,
    load: Lagged<Value>,
    records: Vec<RequestRecord>,
    subscribers: HashMap<u64, Sender<Progress>>,
    previous: Option<Identity>,
}

impl Core {
    pub(crate) fn new(cfg: &EngineConfig) -> Self {
        let mut core = Self {
            scheduler: Scheduler::new(cfg.time.clone()),
            context_tokens: cfg.context_tokens,
            orders: Orders::new(&cfg.model, cfg.check_fencing, cfg.load_time),
            faults: Faults::default(),
            events: CacheEvents::new(cfg.cache_event_lag, cfg.cache_event_gap_every),
            load: Lagged::new(Value::Null, cfg.load_lag),
            records: Vec::new(),
            subscribers: HashMap::new(),
            previous: None,
        };
        let load = core.current_load(Duration::ZERO);
        core.load = Lagged::new(load, cfg.load_lag);
        core
    }

    /// Returns the time at which `advance` has to be called next.
    pub(crate) fn next_event(&self) -> Option<Duration> {
        self.scheduler
            .next_step()
            .into_iter()
            .chain(self.orders.next_due())
            .min()
    }

    /// Completes the steps that end by `now` and sends their tokens to the subscribers.
    pub(crate) fn advance(&mut self, now: Duration) {
        for progress in self.scheduler.advance(now) {
            if let Ok(seq) = usize::try_from(progress.id)
                && let Some(record) = self.records.get_mut(seq)
            {
                record.generated = progress.generated;
            }
            if let Some(tx) = self.subscribers.get(&progress.id) {
                // If the receiver was dropped, its guard cancels the request.
                let _ = tx.try_send(progress);
            }
            if progress.finished {
                self.subscribers.remove(&progress.id);
            }
        }
        self.publish(now);
    }

    /// Records a request and queues it, or rejects it.
    pub(crate) fn admit(
        &mut self,
        now: Duration,
        call: &Call,
        request: Result<Request, ApiError>,
    ) -> Result<Admitted, ApiError> {
        self.advance(now);
        let seq = self.open_record(now, call, request.as_ref().ok());
        let admitted = request.and_then(|request| self.check_and_queue(now, call, seq, &request));
        if let Err(err) = &admitted {
            let outcome = match err.code {
                Some("poison") => RequestOutcome::Poisoned,
                _ => RequestOutcome::Rejected,
            };
            self.end(now, seq, outcome);
        }
        self.publish(now);
        admitted
    }

    /// Ends a request and removes it from the batch if it is running. Only the first outcome is
    /// recorded.
    pub(crate) fn end(&mut self, now: Duration, seq: usize, outcome: RequestOutcome) {
        let Some(record) = self.records.get_mut(seq) else {
            return;
        };
        if record.outcome != RequestOutcome::Running {
            return;
        }
        record.outcome = outcome;
        record.ended_ms = Some(millis(now));
        self.scheduler.cancel(seq as u64);
        self.subscribers.remove(&(seq as u64));
        self.publish(now);
    }

    /// Decrements the count of responses without attempt id; returns false if it is zero.
    pub(crate) fn take_omit_attempt_id(&mut self) -> bool {
        self.faults.take_omit_attempt_id()
    }

    pub(crate) fn order(&mut self, now: Duration, order: Order) -> Result<Value, Stale> {
        let ordered = self.orders.order(now, order);
        self.publish(now);
        ordered.map(|()| json!({ "accepted": true, "fencing": self.orders.highest() }))
    }

    pub(crate) fn control(&mut self, now: Duration, control: &EngineControl) {
        self.advance(now);
        self.faults.change(control);
        if let Some(stall) = control.stall {
            self.scheduler.set_stalled(now, stall);
        }
        if let Some(slowdown) = control.slowdown {
            self.scheduler.set_slowdown(slowdown);
        }
        if let Some(check) = control.check_fencing {
            self.orders.set_check_fencing(check);
        }
        if let Some(lag_ms) = control.load_lag_ms {
            self.load.set_lag(Duration::from_millis(lag_ms));
        }
        let lag = control.cache_event_lag_ms.map(Duration::from_millis);
        self.events.set(lag, control.cache_event_gap_every);
        if control.clear_cache == Some(true) {
            self.scheduler.cache_mut().clear();
        }
        self.publish(now);
    }

    /// Returns the load that is visible at `now`, which lags behind.
    pub(crate) fn load(&mut self, now: Duration) -> &Value {
        self.publish(now);
        self.load.visible(now)
    }

    /// Returns the visible cache events from number `from`.
    pub(crate) fn cache_events(&self, now: Duration, from: u64) -> Value {
        self.events.read(now, from)
    }

    /// Returns the cached blocks of a prompt, or `None` if the model is not loaded.
    pub(crate) fn export(&mut self, now: Duration, model: &str, prompt: &str) -> Option<Value> {
        let version = self.orders.loaded(now).models.get(model)?;
        let blocks = PrefixCache::blocks(model, prompt);
        let cached = self.scheduler.cache().cached(&blocks);
        let exported = blocks.iter().take(cached);
        let exported: Vec<String> = exported.map(|block| format!("{block:016x}")).collect();
        Some(json!({ "model": model, "version": version, "blocks": exported }))
    }

    /// Stores exported blocks; returns false if this version of the model is not loaded.
    pub(crate) fn import(
        &mut self,
        now: Duration,
        model: &str,
        version: &str,
        blocks: &[u64],
    ) -> bool {
        let loaded = self.orders.loaded(now).models.get(model);
        if loaded.is_none_or(|loaded| loaded != version) {
            return false;
        }
        self.scheduler.cache_mut().store(blocks);
        self.publish(now);
        true
    }

    /// Returns the model names that requests may use.
    pub(crate) fn models(&mut self, now: Duration) -> Vec<String> {
        self.orders.loaded(now).names().collect()
    }

    /// Returns the recorded requests from number `from`, and all recorded orders.
    pub(crate) fn record(&self, from: usize) -> Value {
        let requests = self.records.get(from..).unwrap_or_default();
        json!({ "requests": requests, "orders": self.orders.records() })
    }

    fn open_record(&mut self, now: Duration, call: &Call, request: Option<&Request>) -> usize {
        let seq = self.records.len();
        let (model, prompt, max_tokens) = request.map_or(("", "", 0), |request| {
            (
                request.model.as_str(),
                request.prompt.as_str(),
                request.max_tokens,
            )
        });
        let content_hash = request
            .map(|_| text::request_hash(model, prompt, max_tokens))
            .unwrap_or_default();
        self.records.push(RequestRecord {
            seq,
            attempt_id: call.header(ATTEMPT_ID).map(str::to_owned),
            path: call.path.clone(),
            headers: call.header_list(),
            content_hash,
            model: model.to_owned(),
            prompt_tokens: text::prompt_tokens(prompt),
            resume_tokens: 0,
            max_tokens,
            generated: 0,
            crossed: false,
            outcome: RequestOutcome::Running,
            arrived_ms: millis(now),
            ended_ms: None,
        });
        seq
    }

    fn check_and_queue(
        &mut self,
        now: Duration,
        call: &Call,
        seq: usize,
        request: &Request,
    ) -> Result<Admitted, ApiError> {
        let resume = self.check(now, call, request)?;
        let fault = self.faults.take(request.stream);
        if fault == Fault::FailBefore {
            return Err(overloaded());
        }
        if request.prompt.contains(text::POISON_MARKER) {
            return Err(ApiError::server(
                "poison",
                "the model failed on this prompt",
            ));
        }
        let total = Text::new(&request.model, &request.prompt).length(request.max_tokens);
        let resume = resume.min(total);
        let prompt_tokens = text::prompt_tokens(&request.prompt);
        let (tx, tokens) = async_channel::unbounded();
        if resume < total {
            self.subscribers.insert(seq as u64, tx);
            let work = Work {
                id: seq as u64,
                prompt_tokens,
                blocks: PrefixCache::blocks(&request.model, &request.prompt),
                resume_tokens: resume,
                output_tokens: total - resume,
            };
            self.scheduler.submit(now, work);
        }
        let identity = self.identity(call, seq, request);
        if let Some(record) = self.records.get_mut(seq) {
            record.resume_tokens = resume;
        }
        let delay = Duration::from_millis(self.faults.delay_answer_ms);
        Ok(Admitted {
            seq,
            identity,
            fault,
            total,
            resume,
            prompt_tokens,
            delay,
            tokens,
        })
    }

    /// Checks a request and returns the number of tokens to resume from.
    fn check(&mut self, now: Duration, call: &Call, request: &Request) -> Result<usize, ApiError> {
        if !self.orders.loaded(now).serves(&request.model) {
            return Err(ApiError {
                status: hyper::StatusCode::NOT_FOUND,
                kind: "invalid_request_error",
                code: Some("model_not_found"),
                param: Some("model"),
                message: format!("the model {:?} is not loaded", request.model),
            });
        }
        let tokens = text::prompt_tokens(&request.prompt).saturating_add(request.max_tokens);
        if tokens > self.context_tokens {
            let most = self.context_tokens;
            return Err(ApiError {
                code: Some("context_length_exceeded"),
                ..ApiError::invalid(
                    Some("prompt"),
                    format!("prompt and answer have {tokens} tokens, at most {most} are possible"),
                )
            });
        }
        call.header(RESUME_TOKENS)
            .unwrap_or("0")
            .parse()
            .map_err(|_| {
                ApiError::invalid(None, format!("the header {RESUME_TOKENS} is not a number"))
            })
    }

    /// Returns the identity for the response: that of the request, or if crossed, of the previous
    /// one.
    fn identity(&mut self, call: &Call, seq: usize, request: &Request) -> Identity {
        let own = Identity {
            attempt_id: call.header(ATTEMPT_ID).map(str::to_owned),
            model: request.model.clone(),
            prompt: request.prompt.clone(),
        };
        let previous = self.previous.replace(own.clone());
        match previous {
            Some(previous) if self.faults.take_cross() => {
                if let Some(record) = self.records.get_mut(seq) {
                    record.crossed = true;
                }
                previous
            }
            _ => own,
        }
    }

    /// Publishes cache changes and the load; each becomes visible after its lag.
    fn publish(&mut self, now: Duration) {
        for change in self.scheduler.cache_mut().take_changes() {
            self.events.push(now, change);
        }
        let load = self.current_load(now);
        if *self.load.newest() != load {
            self.load.push(now, load);
        }
    }

    fn current_load(&mut self, now: Duration) -> Value {
        let mut load = json!(self.orders.loaded(now));
        load["loading"] = json!(self.orders.loading());
        load["fencing"] = json!(self.orders.highest());
        load["slots"] = json!(self.scheduler.model().slots);
        load["running"] = json!(self.scheduler.running());
        load["waiting"] = json!(self.scheduler.waiting());
        load["cache_blocks"] = json!(self.scheduler.cache().len());
        load["cache_capacity"] = json!(self.scheduler.cache().capacity());
        load
    }
}

fn overloaded() -> ApiError {
    ApiError {
        status: hyper::StatusCode::SERVICE_UNAVAILABLE,
        kind: "overloaded_error",
        code: Some("overloaded"),
        param: None,
        message: "the engine rejected the request without running it".to_owned(),
    }
}
