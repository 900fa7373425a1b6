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

/// Largest answer in bytes: a page of records is limited by its count, not by its size.
const MAX_ANSWER_BYTES: usize = 256 << 20;

/// Time to retry after when the log service is not reachable or names none.
const DEFAULT_RETRY: Duration = Duration::from_millis(250);

/// Longest time to retry after that is taken over from the log service.
const MAX_RETRY: Duration = Duration::from_secs(5);

/// Time beyond a read's long poll until the read counts as failed.
const READ_MARGIN: Duration = Duration::from_secs(2);

/// Client of the log service; clones share its connections.
#[derive(Clone, Debug)]
pub struct LogClient {
    client: Client,
    addr: SocketAddr,
    clock: Clock,
}

/// What became of an append.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The record was appended.
    Appended(Offset),
    /// The record may or may not have been appended; only reading the stream tells.
    Unknown,
    /// The record was not appended and may be sent again after `retry_after`.
    RetryLater {
        /// Time after which another try is useful.
        retry_after: Duration,
    },
    /// The record was not appended and never will be, for example because it is too long.
    Rejected {
        /// HTTP status of the answer.
        status: u16,
    },
}

/// What became of a read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// The records from the asked offset on; none if the long poll ended without one.
    Records {
        /// Time at which the read was sent, which is what the answer confirms.
        sent: Timestamp,
        /// First retained offset, next offset and the records.
        answer: ReadResponse,
    },
    /// The asked offset is no longer retained.
    Trimmed {
        /// First retained offset.
        first: Offset,
        /// Offset that the next appended record gets.
        next: Offset,
    },
    /// The log service gave no usable answer.
    Unavailable {
        /// Time after which another try is useful.
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
    /// Longest wait for a record at `from`; zero answers at once.
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

    /// Appends a record to `stream`, waiting for the answer for at most `timeout`.
    pub async fn append(
        &self,
        stream: &str,
        record: impl Into<Bytes>,
        timeout: Duration,
    ) -> AppendOutcome {
        let Ok(req) = Request::post(path(stream)).body(record.into()) else {
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
        let Ok(req) = Request::get(path(stream) + &query).body(Bytes::new()) else {
            return unavailable(DEFAULT_RETRY);
        };
        let options = SendOptions::within(TrafficClass::Platform, read.wait + READ_MARGIN);
        let sent = self.clock.now();
        match self.client.send(self.addr, req, options).await {
            Ok(response) => read_outcome(response, sent).await,
            Err(_) => unavailable(DEFAULT_RETRY),
        }
    }
}

fn path(stream: &str) -> String {
    format!("/streams/{stream}/records")
}

/// Only statuses that exclude the append give `RetryLater` or `Rejected`.
async fn append_outcome(response: Response<ClientBody>) -> AppendOutcome {
    let status = response.status();
    match status {
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
            AppendOutcome::RetryLater {
                retry_after: retry_after(response.headers()),
            }
        }
        _ if status.is_client_error() => rejected(status),
        _ if status.is_success() => match json::<AppendResponse>(response).await {
            Some(answer) => AppendOutcome::Appended(answer.offset),
            None => AppendOutcome::Unknown,
        },
        _ => AppendOutcome::Unknown,
    }
}

async fn read_outcome(response: Response<ClientBody>, sent: Timestamp) -> ReadOutcome {
    let retry_after = retry_after(response.headers());
    let outcome = match response.status() {
        StatusCode::OK => json::<ReadResponse>(response)
            .await
            .map(|answer| ReadOutcome::Records { sent, answer }),
        StatusCode::GONE => json::<TrimmedResponse>(response)
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

/// Reads a JSON body; `None` if it is cut or not of the expected form.
pub(crate) async fn json<T: DeserializeOwned>(response: Response<ClientBody>) -> Option<T> {
    let body = response.into_body();
    let bytes = body.collect_bytes(MAX_ANSWER_BYTES).await.ok()?;
    serde_json::from_slice(&bytes).ok()
}

/// Returns the time named by `Retry-After` in whole seconds, within sensible bounds.
fn retry_after(headers: &HeaderMap) -> Duration {
    let value = headers.get(RETRY_AFTER).and_then(|v| v.to_str().ok());
    let seconds = value.and_then(|text| text.parse().ok());
    let named = seconds.map_or(DEFAULT_RETRY, Duration::from_secs);
    named.clamp(DEFAULT_RETRY, MAX_RETRY)
}
