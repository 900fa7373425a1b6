//! Stand-in for a plain service: tank readings are idempotent, salinity orders are not.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    io,
    net::TcpListener,
    rc::Rc,
    time::Duration, //
};

use async_executor::LocalExecutor;
use async_io::Timer;
use futures_lite::future;
use hyper::{
    Method,
    StatusCode,
    header::HeaderValue, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use serde_json::{
    Value,
    json, //
};

use crate::{
    content::{
        ATTEMPT_ID,
        content_hash, //
    },
    http::{
        self,
        Call,
        Dropped,
        HttpResponse,
        Outcome,
        Service,
        bad_request, //
    }, //
};

/// `Retry-After` of rejections.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Body of `POST /control`; absent fields leave their settings unchanged.
///
/// Each count applies to the next calls. A call decrements at most one of the first four counts,
/// checked in order of declaration.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlainControl {
    /// Number of calls rejected with 503 and `Retry-After` without executing them.
    pub fail_before: Option<u32>,
    /// Number of calls that fail with 500 after their execution.
    pub fail_after: Option<u32>,
    /// Number of calls whose connection is closed without executing them.
    pub cut_before: Option<u32>,
    /// Number of calls whose connection is closed after their execution.
    pub cut_after: Option<u32>,
    /// Number of calls that receive the attempt id and body of the previous response.
    pub cross: Option<u32>,
    /// Number of responses without the attempt id.
    pub omit_attempt_id: Option<u32>,
    /// Delay before the execution of each call, in milliseconds.
    pub delay_before_ms: Option<u64>,
    /// Delay between the execution of each call and its response, in milliseconds.
    pub delay_after_ms: Option<u64>,
}

/// State or outcome of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallOutcome {
    /// No response was sent yet.
    Running,
    /// The service sent a response; it may be an error caused by the request.
    Answered,
    /// Rejected without execution.
    FailedBefore,
    /// Failed after execution.
    FailedAfter,
    /// Connection closed before execution.
    CutBefore,
    /// Connection closed after execution.
    CutAfter,
    /// The caller closed the connection.
    Abandoned,
}

/// A call in the response of `GET /record`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct CallRecord {
    /// Position in the order of arrival.
    pub seq: usize,
    /// Value of `x-attempt-id`.
    pub attempt_id: Option<String>,
    /// Method.
    pub method: String,
    /// Path without query.
    pub path: String,
    /// Headers as received.
    pub headers: Vec<(String, String)>,
    /// `content_hash` of method, path and body.
    pub content_hash: String,
    /// Whether the call took effect.
    pub executed: bool,
    /// State or outcome.
    pub outcome: CallOutcome,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Plan {
    Serve,
    FailBefore,
    FailAfter,
    CutBefore,
    CutAfter,
}

#[derive(Debug, Clone)]
struct PreviousResponse {
    attempt_id: Option<String>,
    status: StatusCode,
    body: Value,
}

#[derive(Debug, Default)]
struct State {
    /// Litres by tank.
    tanks: BTreeMap<String, f64>,
    /// Executed salinity orders; the index is the order number.
    orders: Vec<Value>,
    records: Vec<CallRecord>,
    control: PlainControl,
    previous: Option<PreviousResponse>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Reading {
    litres: f64,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct SalinityOrder {
    tank: String,
    grams_per_litre: f64,
}

struct PlainService {
    state: Rc<RefCell<State>>,
}

/// Serves the plain service until the process terminates.
///
/// # Errors
///
/// Returns an error if the listener cannot be used.
pub fn serve(listener: TcpListener) -> io::Result<()> {
    let service = Rc::new(PlainService {
        state: Rc::default(),
    });
    let executor = LocalExecutor::new();
    let served = executor.run(http::serve(&executor, listener, service));
    future::block_on(served).map(|_| ())
}

impl Service for PlainService {
    async fn call(&self, call: Call) -> Outcome {
        match (&call.method, call.path.as_str()) {
            (&Method::GET, "/record") => {
                let records = json!({ "calls": self.state.borrow().records });
                Ok(http::json(StatusCode::OK, &records))
            }
            (&Method::POST, "/control") => Ok(http::response(self.control(&call))),
            _ => self.serve_call(&call).await,
        }
    }
}

impl PlainService {
    fn control(&self, call: &Call) -> Result<HttpResponse, http::Rejected> {
        let change: PlainControl = call.json()?;
        let mut state = self.state.borrow_mut();
        let control = &mut state.control;
        control.fail_before = change.fail_before.or(control.fail_before);
        control.fail_after = change.fail_after.or(control.fail_after);
        control.cut_before = change.cut_before.or(control.cut_before);
        control.cut_after = change.cut_after.or(control.cut_after);
        control.cross = change.cross.or(control.cross);
        control.omit_attempt_id = change.omit_attempt_id.or(control.omit_attempt_id);
        control.delay_before_ms = change.delay_before_ms.or(control.delay_before_ms);
        control.delay_after_ms = change.delay_after_ms.or(control.delay_after_ms);
        Ok(http::json(StatusCode::OK, &json!({})))
    }

    async fn serve_call(&self, call: &Call) -> Outcome {
        let (guard, plan) = self.open(call);
        let (before, after) = self.delays();
        sleep_for(before).await;
        match plan {
            Plan::FailBefore => {
                guard.end(CallOutcome::FailedBefore);
                let response =
                    http::error(StatusCode::SERVICE_UNAVAILABLE, "rejected, not executed");
                let response = http::with_retry_after(response, RETRY_AFTER);
                return Ok(with_attempt_id(response, call.header(ATTEMPT_ID)));
            }
            Plan::CutBefore => {
                guard.end(CallOutcome::CutBefore);
                return Err(Dropped);
            }
            Plan::Serve | Plan::FailAfter | Plan::CutAfter => {}
        }
        let (status, body) = match self.execute(call) {
            Ok(executed) => {
                guard.executed();
                executed
            }
            Err(rejected) => (
                rejected.status,
                json!({ "error": { "message": rejected.message } }),
            ),
        };
        sleep_for(after).await;
        match plan {
            Plan::CutAfter => {
                guard.end(CallOutcome::CutAfter);
                Err(Dropped)
            }
            Plan::FailAfter => {
                guard.end(CallOutcome::FailedAfter);
                let response = http::error(
                    StatusCode::INTERNAL_SERVER_ERROR,
                    "failed while the call was executed",
                );
                Ok(with_attempt_id(response, call.header(ATTEMPT_ID)))
            }
            _ => {
                guard.end(CallOutcome::Answered);
                Ok(self.response(call, status, body))
            }
        }
    }

    /// Records the call and determines its plan from the counts.
    fn open(&self, call: &Call) -> (CallGuard, Plan) {
        let mut state = self.state.borrow_mut();
        let seq = state.records.len();
        let parts = [
            call.method.as_str().as_bytes(),
            call.path.as_bytes(),
            &call.body,
        ];
        state.records.push(CallRecord {
            seq,
            attempt_id: call.header(ATTEMPT_ID).map(str::to_owned),
            method: call.method.to_string(),
            path: call.path.clone(),
            headers: call.header_list(),
            content_hash: content_hash(&parts),
            executed: false,
            outcome: CallOutcome::Running,
        });
        let plan = take_plan(&mut state.control);
        drop(state);
        (
            CallGuard {
                state: Rc::clone(&self.state),
                seq,
            },
            plan,
        )
    }

    fn delays(&self) -> (Duration, Duration) {
        let control = &self.state.borrow().control;
        let before = Duration::from_millis(control.delay_before_ms.unwrap_or_default());
        let after = Duration::from_millis(control.delay_after_ms.unwrap_or_default());
        (before, after)
    }

    fn execute(&self, call: &Call) -> Result<(StatusCode, Value), http::Rejected> {
        let mut state = self.state.borrow_mut();
        match (&call.method, call.segments().as_slice()) {
            (&Method::GET, ["tanks", tank]) => {
                let litres = state.tanks.get(*tank).ok_or_else(|| http::Rejected {
                    status: StatusCode::NOT_FOUND,
                    message: format!("tank {tank:?} has no reading"),
                })?;
                Ok((StatusCode::OK, json!({ "tank": tank, "litres": litres })))
            }
            (&Method::PUT, ["tanks", tank]) => {
                let reading: Reading = call.json()?;
                state.tanks.insert((*tank).to_owned(), reading.litres);
                Ok((
                    StatusCode::OK,
                    json!({ "tank": tank, "litres": reading.litres }),
                ))
            }
            (&Method::POST, ["salinity-orders"]) => {
                let order: SalinityOrder = call.json()?;
                if order.grams_per_litre < 0.0 {
                    return Err(bad_request(
                        "grams_per_litre must not be negative".to_owned(),
                    ));
                }
                let body = json!({
                    "order": state.orders.len(),
                    "tank": order.tank,
                    "grams_per_litre": order.grams_per_litre,
                });
                state.orders.push(body.clone());
                Ok((StatusCode::CREATED, body))
            }
            (&Method::GET, ["salinity-orders"]) => {
                Ok((StatusCode::OK, json!({ "orders": state.orders })))
            }
            _ => Err(http::Rejected {
                status: StatusCode::NOT_FOUND,
                message: format!("no such call: {} {}", call.method, call.path),
            }),
        }
    }

    /// Builds the response, or repeats the previous one if the call is crossed.
    fn response(&self, call: &Call, status: StatusCode, body: Value) -> HttpResponse {
        let mut state = self.state.borrow_mut();
        let attempt_id = call.header(ATTEMPT_ID).map(str::to_owned);
        let own = PreviousResponse {
            attempt_id,
            status,
            body,
        };
        let crossed = state.previous.is_some() && take(&mut state.control.cross);
        let selected = if crossed {
            state.previous.clone()
        } else {
            None
        };
        let selected = selected.unwrap_or_else(|| own.clone());
        state.previous = Some(own);
        let response = http::json(selected.status, &selected.body);
        if take(&mut state.control.omit_attempt_id) {
            return response;
        }
        with_attempt_id(response, selected.attempt_id.as_deref())
    }
}

/// Ends the record of a call; dropping the guard without an outcome means that the caller
/// disconnected.
struct CallGuard {
    state: Rc<RefCell<State>>,
    seq: usize,
}

impl CallGuard {
    fn executed(&self) {
        if let Some(record) = self.state.borrow_mut().records.get_mut(self.seq) {
            record.executed = true;
        }
    }

    fn end(&self, outcome: CallOutcome) {
        if let Some(record) = self.state.borrow_mut().records.get_mut(self.seq) {
            record.outcome = outcome;
        }
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        if let Some(record) = self.state.borrow_mut().records.get_mut(self.seq)
            && record.outcome == CallOutcome::Running
        {
            record.outcome = CallOutcome::Abandoned;
        }
    }
}

fn take_plan(control: &mut PlainControl) -> Plan {
    if take(&mut control.fail_before) {
        return Plan::FailBefore;
    }
    if take(&mut control.fail_after) {
        return Plan::FailAfter;
    }
    if take(&mut control.cut_before) {
        return Plan::CutBefore;
    }
    if take(&mut control.cut_after) {
        return Plan::CutAfter;
    }
    Plan::Serve
}

/// Decrements a count; returns false if it is zero.
fn take(counter: &mut Option<u32>) -> bool {
    match counter {
        Some(remaining) if *remaining > 0 => {
            *remaining -= 1;
            true
        }
        _ => false,
    }
}

async fn sleep_for(duration: Duration) {
    if !duration.is_zero() {
        Timer::after(duration).await;
    }
}

fn with_attempt_id(mut response: HttpResponse, attempt_id: Option<&str>) -> HttpResponse {
    if let Some(value) = attempt_id.and_then(|id| HeaderValue::from_str(id).ok()) {
        response.headers_mut().insert(ATTEMPT_ID, value);
    }
    response
}
