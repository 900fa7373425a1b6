//! Stand-in for the weight store, with rate-limited reads of named weights.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    io,
    net::TcpListener,
    rc::Rc, //
};

use async_executor::LocalExecutor;
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
use sha2::{
    Digest,
    Sha256, //
};

use crate::{
    bucket::TokenBucket,
    clock::Clock,
    http::{
        self,
        Call,
        HttpResponse,
        Outcome,
        Rejected,
        Service,
        bad_request, //
    }, //
};

/// Maximum size of a weight, in bytes; limited because the content is generated in memory.
pub const MAX_WEIGHT: usize = 16 << 20;

/// Settings of the weight store.
#[derive(Debug, Clone)]
pub struct WeightsConfig {
    /// Size in bytes by name.
    pub weights: BTreeMap<String, usize>,
    /// Reads per second over all weights.
    pub reads_per_s: f64,
    /// Burst of reads.
    pub read_burst: f64,
}

/// Body of `POST /control`; absent fields leave their settings unchanged.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct WeightsControl {
    /// Weights to add or replace, with their size in bytes.
    pub weights: BTreeMap<String, usize>,
    /// Changes the limit of reads per second.
    pub reads_per_s: Option<f64>,
    /// Changes the burst of reads.
    pub read_burst: Option<f64>,
    /// Rejects reads with 503 while true.
    pub outage: Option<bool>,
}

struct State {
    weights: BTreeMap<String, usize>,
    bucket: TokenBucket,
    outage: bool,
}

struct WeightsService {
    clock: Clock,
    state: RefCell<State>,
}

/// Serves the weight store until the process terminates.
///
/// # Errors
///
/// Returns an error if the listener cannot be used.
pub fn serve(listener: TcpListener, cfg: WeightsConfig) -> io::Result<()> {
    let state = State {
        weights: cfg.weights,
        bucket: TokenBucket::new(cfg.reads_per_s, cfg.read_burst),
        outage: false,
    };
    let service = Rc::new(WeightsService {
        clock: Clock::start(),
        state: RefCell::new(state),
    });
    let executor = LocalExecutor::new();
    let served = executor.run(http::serve(&executor, listener, service));
    future::block_on(served).map(|_| ())
}

/// Returns the content of a weight: the repeated SHA-256 of its name.
pub fn content(name: &str, bytes: usize) -> Vec<u8> {
    let digest = Sha256::digest(name.as_bytes());
    digest.iter().copied().cycle().take(bytes).collect()
}

impl Service for WeightsService {
    async fn call(&self, call: Call) -> Outcome {
        Ok(match (&call.method, call.segments().as_slice()) {
            (&Method::GET, ["weights"]) => http::json(
                StatusCode::OK,
                &json!({ "weights": self.state.borrow().weights }),
            ),
            (&Method::GET, ["weights", name]) => self.read(name),
            (&Method::POST, ["control"]) => http::response(self.control(&call)),
            _ => http::not_found(&call),
        })
    }
}

impl WeightsService {
    fn read(&self, name: &str) -> HttpResponse {
        let mut state = self.state.borrow_mut();
        if state.outage {
            let message = "the weight store is not available";
            return http::error(StatusCode::SERVICE_UNAVAILABLE, message);
        }
        let Some(bytes) = state.weights.get(name).copied() else {
            return http::error(StatusCode::NOT_FOUND, &format!("no weight {name:?}"));
        };
        if let Err(after) = state.bucket.take(self.clock.now()) {
            let message = "the bound on reads a second is reached";
            let response = http::error(StatusCode::TOO_MANY_REQUESTS, message);
            return http::with_retry_after(response, after);
        }
        http::bytes(
            StatusCode::OK,
            "application/octet-stream",
            content(name, bytes).into(),
        )
    }

    fn control(&self, call: &Call) -> Result<HttpResponse, Rejected> {
        let control: WeightsControl = call.json()?;
        if let Some(name) = oversized(&control.weights) {
            return Err(bad_request(format!(
                "weight {name:?} exceeds {MAX_WEIGHT} bytes"
            )));
        }
        let mut state = self.state.borrow_mut();
        let (rate, burst) = state.bucket.limits();
        let rate = control.reads_per_s.unwrap_or(rate);
        let burst = control.read_burst.unwrap_or(burst);
        state.bucket.set(self.clock.now(), rate, burst);
        state.weights.extend(control.weights);
        state.outage = control.outage.unwrap_or(state.outage);
        Ok(http::json(StatusCode::OK, &json!({})))
    }
}

fn oversized(weights: &BTreeMap<String, usize>) -> Option<&str> {
    let found = weights.iter().find(|(_, bytes)| **bytes > MAX_WEIGHT);
    found.map(|(name, _)| name.as_str())
}
