//! Client of the platform's log service.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::body::Bytes;
use hyper::header::RETRY_AFTER;
use hyper::{
    HeaderMap,
    Request,
    Response,
    StatusCode, //
};
use limpetweir_protocol::http::{
    AppendResponse,
    ReadResponse,
    TrimmedResponse, //
};
use limpetweir_state::{
    Offset,
    Timestamp,
    Verdict, //
};
use serde::de::DeserializeOwned;

use crate::http::{
    Client,
    ClientBody,
    SendOptions,
    TrafficClass, //
};
use crate::runtime::Clock;

/// Largest response in bytes: a page of records is limited by its count, not by its size.
const MAX_RESPONSE_BYTES: usize = 256 << 20;

/// `retry_after` if the log service is not reachable or sends no `Retry-After`.
const DEFAULT_RETRY: Duration = Duration::from_millis(250);

/// Longest `Retry-After` that is accepted from the log service.
const MAX_RETRY: Duration = Duration::from_secs(5);

/// Time after the end of a read's long poll at which the read fails.
const READ_TIMEOUT_MARGIN: Duration = Duration::from_secs(2);

/// Client of the log service; clones share its connections.
#[derive(Clone, Debug)]
pub struct LogClient {
    client: Client,
    addr: SocketAddr,
    clock: Clock,
}

/// Outcome of an append.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The record was appended.
    Appended(Offset),
    /// The record may or may not have been appended; only a read of the stream shows which.
    Unknown,
    /// The record was not appended; the append may be retried after `retry_after`.
    RetryLater {
        /// Time after which a retry is useful.
        retry_after: Duration,
    },
    /// The record was not appended and a retry cannot succeed, for example because it is too long.
    Rejected {
        /// HTTP status of the response.
        status: u16,
    },
}

/// Outcome of a read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// The records from the requested offset on; empty if the long poll ended without one.
    Records {
        /// Time at which the read was sent; the response confirms the state of the log as of then.
        sent: Timestamp,
        /// First retained offset, next offset and the records.
        answer: ReadResponse,
    },
    /// The requested offset is no longer retained.
    Trimmed {
        /// First retained offset.
        first: Offset,
        /// Offset of the next appended record.
        next: Offset,
    },
    /// The log service sent no usable response.
    Unavailable {
        /// Time after which a retry is useful.
        retry_after: Duration,
    },
}

/// A read of one stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadRequest {
    /// First offset to read.
    pub from: Offset,
    /// Largest number of records.
    pub limit: u32,
    /// Longest wait for a record at `from`; with zero the read does not wait.
    pub wait: Duration,
}

impl LogClient {
    /// Creates a client of the log service at `addr`; `clock` stamps its reads.
    pub fn new(client: Client, addr: SocketAddr, clock: Clock) -> Self {
        Self {
            client,
            addr,
            clock,
        }
    }

    /// Appends a record to `stream`, waiting for the response for at most `timeout`.
    pub async fn append(
        &self,
        stream: &str,
        record: impl Into<Bytes>,
        timeout: Duration,
    ) -> AppendOutcome {
        let Ok(req) = Request::post(records_path(stream)).body(record.into()) else {
            return rejected(StatusCode::BAD_REQUEST);
        };
        let options = SendOptions::within(TrafficClass::Platform, timeout);
        match self.client.send(self.addr, req, options).await {
            Ok(response) => append_outcome(response).await,
            Err(err) if err.verdict() == Verdict::NotRun => AppendOutcome::RetryLater {
                retry_after: DEFAULT_RETRY,
            },
            Err(_) => AppendOutcome::Unknown,
        }
    }

    /// Reads records of `stream`.
    pub async fn read(&self, stream: &str, read: ReadRequest) -> ReadOutcome {
        let wait_ms = read.wait.as_millis();
        let ReadRequest { from, limit, .. } = read;
        let query = format!("?from={}&limit={limit}&wait_ms={wait_ms}", from.0);
        let Ok(req) = Request::get(records_path(stream) + &query).body(Bytes::new()) else {
            return unavailable(DEFAULT_RETRY);
        };
        let options = SendOptions::within(TrafficClass::Platform, read.wait + READ_TIMEOUT_MARGIN);
        let sent = self.clock.now();
        match self.client.send(self.addr, req, options).await {
            Ok(response) => read_outcome(response, sent).await,
            Err(_) => unavailable(DEFAULT_RETRY),
        }
    }
}

fn records_path(stream: &str) -> String {
    format!("/streams/{stream}/records")
}

/// Returns the outcome of an append; only statuses that rule out the append give `RetryLater` or
/// `Rejected`.
async fn append_outcome(response: Response<ClientBody>) -> AppendOutcome {
    let status = response.status();
    match status {
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
            AppendOutcome::RetryLater {
                retry_after: retry_after(response.headers()),
            }
        }
        _ if status.is_client_error() => rejected(status),
        _ if status.is_success() => match decode_json::<AppendResponse>(response).await {
            Some(appended) => AppendOutcome::Appended(appended.offset),
            None => AppendOutcome::Unknown,
        },
        _ => AppendOutcome::Unknown,
    }
}

async fn read_outcome(response: Response<ClientBody>, sent: Timestamp) -> ReadOutcome {
    let retry_after = retry_after(response.headers());
    let outcome = match response.status() {
        StatusCode::OK => decode_json::<ReadResponse>(response)
            .await
            .map(|answer| ReadOutcome::Records { sent, answer }),
        StatusCode::GONE => decode_json::<TrimmedResponse>(response)
            .await
            .map(|TrimmedResponse { first, next }| ReadOutcome::Trimmed { first, next }),
        _ => None,
    };
    outcome.unwrap_or(ReadOutcome::Unavailable { retry_after })
}

fn rejected(status: StatusCode) -> AppendOutcome {
    AppendOutcome::Rejected {
        status: status.as_u16(),
    }
}

fn unavailable(retry_after: Duration) -> ReadOutcome {
    ReadOutcome::Unavailable { retry_after }
}

/// Reads a JSON body; returns `None` if it is truncated or does not have the expected form.
pub(crate) async fn decode_json<T: DeserializeOwned>(response: Response<ClientBody>) -> Option<T> {
    let body = response.into_body();
    let bytes = body.collect_bytes(MAX_RESPONSE_BYTES).await.ok()?;
    serde_json::from_slice(&bytes).ok()
}

/// Returns the time in `Retry-After`, in whole seconds, clamped to `DEFAULT_RETRY..=MAX_RETRY`.
fn retry_after(headers: &HeaderMap) -> Duration {
    let value = headers.get(RETRY_AFTER).and_then(|v| v.to_str().ok());
    let seconds = value.and_then(|text| text.parse().ok());
    let requested = seconds.map_or(DEFAULT_RETRY, Duration::from_secs);
    requested.clamp(DEFAULT_RETRY, MAX_RETRY)
}
