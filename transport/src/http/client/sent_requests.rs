//! Requests that were sent on a connection.

use hyper::header::{
    HeaderMap,
    HeaderName, //
};
use xxhash_rust::xxh3::xxh3_64;

/// Most requests that are sent on one connection whose responses are told apart by their identifier. It
/// bounds the memory of a connection to 2 KiB.
const MAX_REQUESTS: usize = 256;

/// Hash of the identifier of a request. Requests without one have the same, as nothing tells their responses
/// apart.
///
/// Two identifiers with the same hash only cost a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RequestKey(u64);

impl RequestKey {
    pub(crate) fn of(id: &str) -> Self {
        Self(xxh3_64(id.trim().as_bytes()))
    }

    /// Returns the key of the request with these headers. An identifier that is not text counts as none.
    pub(crate) fn from_headers(headers: &HeaderMap, name: &HeaderName) -> Self {
        let id = headers.get(name).and_then(|id| id.to_str().ok());
        Self::of(id.unwrap_or_default())
    }
}

/// Requests that were sent on one connection.
///
/// A server may write a response once more, late, where the next one is due. The identifier tells it from the
/// response to another request, but not from the response to another attempt of the same request. So no
/// identifier is sent on a connection twice.
#[derive(Debug, Default)]
pub(crate) struct SentRequests(Vec<RequestKey>);

impl SentRequests {
    pub(crate) fn add(&mut self, request: RequestKey) {
        self.0.push(request);
    }

    pub(crate) fn contains(&self, request: RequestKey) -> bool {
        self.0.contains(&request)
    }

    /// Returns whether no further request may be sent, because it could not be remembered.
    pub(crate) fn is_full(&self) -> bool {
        self.0.len() >= MAX_REQUESTS
    }
}
