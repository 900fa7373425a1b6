//! What the gateway needs of a platform: a store of records, and the spelling of its messages.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use hyper::body::Bytes;
use hyper::header::HeaderMap;
use hyper::{
    Request,
    http::{
        request,
        response, //
    },
};
use snafu::Snafu;

use crate::backend::BackendEntry;
use crate::config::Configuration;
use crate::jobs::NewItem;

/// A set of records in the store; each has its own partitions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Topic {
    /// The operators' configuration; read only.
    Configuration,
    /// Entries of backend servers; read only.
    Backends,
    /// Instances of the gateway.
    Instances,
    /// Batch jobs and their results.
    Jobs,
}

/// A record of a topic. The store keeps the newest record of each key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Key within the partition.
    pub key: String,
    /// Content; empty if the key was removed.
    pub value: Bytes,
}

/// Records read in the order of their offsets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// Offset of the first record returned.
    pub from: u64,
    /// Offset after the last record of the partition.
    pub end: u64,
    /// Records from `from` on; an unreadable one is `None`.
    pub records: Vec<Option<Record>>,
}

/// A page of the newest records of each key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Page {
    /// Records with their offsets, in the order of keys.
    pub records: Vec<(u64, Record)>,
    /// Key to continue after, if there is more.
    pub next: Option<String>,
    /// Offset after the last record of the partition.
    pub end: u64,
}

/// A call to the store that did not succeed.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum StoreError {
    /// The store did nothing.
    #[snafu(display("the store did nothing: {reason}"))]
    NotDone {
        /// What the store or the network said.
        reason: String,
    },
    /// The call may have been executed, or may be executed later.
    #[snafu(display("the outcome at the store is unknown: {reason}"))]
    Unknown {
        /// What was seen.
        reason: String,
    },
    /// The partition does not end at the offset that the append named.
    #[snafu(display("the partition ends at another offset"))]
    OffsetMismatch,
    /// Records from the offset on are no longer kept.
    #[snafu(display("the records were removed up to offset {first}"))]
    Trimmed {
        /// First offset still kept.
        first: u64,
    },
}

/// The platform's store.
pub trait Store: Send + Sync + 'static {
    /// Number of partitions of a topic.
    fn partitions(&self, topic: Topic) -> u32;

    /// Reads the newest record of each key after the key `after`.
    fn newest(
        &self,
        topic: Topic,
        partition: u32,
        after: Option<&str>,
    ) -> impl Future<Output = Result<Page, StoreError>> + Send;

    /// Reads records from `from` on; waits up to `wait` until there is one.
    fn read(
        &self,
        topic: Topic,
        partition: u32,
        from: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Batch, StoreError>> + Send;

    /// Appends all records or none, and only if the partition ends at `at` where that is given.
    /// Returns the new end.
    fn append(
        &self,
        topic: Topic,
        partition: u32,
        at: Option<u64>,
        records: &[Record],
    ) -> impl Future<Output = Result<u64, StoreError>> + Send;
}

/// A message that does not follow the platform's formats.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{what}: {reason}"))]
pub struct DecodeError {
    /// The message.
    pub what: &'static str,
    /// What is wrong with it.
    pub reason: String,
}

/// What the head of a caller's request says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallHead {
    /// Host that selects the route, without a port.
    pub host: String,
    /// Identifier of this attempt of the caller.
    pub request_id: String,
    /// Key of the caller.
    pub key: Option<String>,
    /// How long the caller will wait.
    pub caller_timeout: Option<Duration>,
    /// Number of the last event the caller has.
    pub last_event: Option<u64>,
    /// Prompt tokens and most output tokens.
    pub tokens: Option<(u64, u64)>,
    /// Parts of the prompt that requests share, in order, with their lengths in tokens.
    pub prefix: Vec<(u64, u32)>,
}

/// What the gateway states in a request to a backend server.
#[derive(Clone, Copy, Debug)]
pub struct Forward<'a> {
    /// Backend server that is meant.
    pub backend: &'a str,
    /// Organisation of the caller; `None` on public routes.
    pub organisation: Option<&'a str>,
    /// Time left for the answer; `None` sets no limit.
    pub left: Option<Duration>,
    /// Number of the last event that is already there.
    pub last_event: Option<u64>,
}

/// What the head of a backend server's answer says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AnswerHead {
    /// Identifier of the request that is answered.
    pub request_id: Option<String>,
    /// Whether the server states that it did not run the request.
    pub not_run: bool,
    /// Whether the answer bears the server's signature.
    pub signed: bool,
    /// Whether the body is a stream of events.
    pub events: bool,
    /// How long the server keeps an idle connection.
    pub idle: Option<Duration>,
}

/// An item of a batch job as a request.
#[derive(Clone, Copy, Debug)]
pub struct ItemRequest<'a> {
    /// Identifier of the item.
    pub id: &'a str,
    /// Host of the route.
    pub host: &'a str,
    /// Path of the item.
    pub path: &'a str,
    /// Headers that the job states.
    pub headers: &'a [(String, String)],
    /// Content.
    pub body: &'a Bytes,
}

/// A call about a batch job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobCall {
    /// Reads results.
    Results {
        /// The job.
        job: String,
        /// Position of the first result wanted.
        after: usize,
        /// How long to wait for a result.
        wait: Duration,
    },
    /// Reads the content of an item.
    Content {
        /// The job.
        job: String,
        /// The item.
        item: String,
    },
    /// Ends a job.
    End {
        /// The job.
        job: String,
    },
}

/// One result of a batch job as callers read it.
#[derive(Clone, Copy, Debug)]
pub struct ResultView<'a> {
    /// The item.
    pub item: &'a str,
    /// Whether it was completed; otherwise it was given up.
    pub completed: bool,
    /// Its output.
    pub text: &'a str,
}

/// A question for addresses.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AddressQuery {
    /// Host the caller wants to reach.
    pub host: String,
    /// Availability zone of the caller.
    pub zone: Option<String>,
}

/// The platform's spelling of messages. Nothing here decides.
pub trait Dialect: Send + Sync + 'static {
    /// Decodes the configuration from its record.
    fn configuration(&self, record: &Record) -> Option<Result<Configuration, DecodeError>>;

    /// Decodes the entry of a backend server from its record.
    fn backend(&self, record: &Record) -> Result<BackendEntry, DecodeError>;

    /// Decodes the head of a caller's request.
    fn call(&self, head: &request::Parts) -> CallHead;

    /// Builds the request that passes a caller's request on.
    fn forward(&self, head: &request::Parts, body: Bytes, forward: &Forward<'_>) -> Request<Bytes>;

    /// Builds the request that runs an item.
    fn item(
        &self,
        item: &ItemRequest<'_>,
        forward: &Forward<'_>,
    ) -> Result<Request<Bytes>, DecodeError>;

    /// Decodes the head of an answer.
    fn answer(&self, head: &response::Parts) -> AnswerHead;

    /// Returns the headers of an answer that are passed on to the caller.
    fn forwarded_headers(&self, headers: &HeaderMap) -> HeaderMap;

    /// Decodes a call about a batch job, or returns `None` if the request is none.
    fn job_call(&self, head: &request::Parts) -> Option<JobCall>;

    /// Decodes the items of a submitted job.
    fn submission(&self, body: &[u8]) -> Result<Vec<NewItem>, DecodeError>;

    /// Encodes a page of results.
    fn results(&self, total: usize, next: usize, results: &[ResultView<'_>]) -> Bytes;

    /// Decodes a question for addresses, or returns `None` if the request is none.
    fn address_query(&self, head: &request::Parts) -> Option<AddressQuery>;

    /// Encodes the answer to a question for addresses.
    fn addresses(&self, addresses: &[SocketAddr], lifetime: Duration) -> Bytes;

    /// Returns whether the request asks if the instance is ready.
    fn is_readiness(&self, head: &request::Parts) -> bool;
}
