//! A request of a caller that may go to a backend server.

use std::sync::Arc;
use std::time::Instant;

use hyper::body::Bytes;
use hyper::http::request;

use crate::config::{
    Organisation,
    Route, //
};
use crate::memory::Share;
use crate::platform::CallHead;
use crate::request_parts::RequestParts;

/// An online request after routing and authentication.
pub(crate) struct Admitted {
    pub(crate) head: request::Parts,
    pub(crate) call: CallHead,
    /// What identifies it, and what it shares with others.
    pub(crate) parts: Arc<RequestParts>,
    pub(crate) body: Bytes,
    /// Memory of the body, which is kept for further attempts.
    pub(crate) _share: Share,
    pub(crate) route: Arc<Route>,
    pub(crate) service: String,
    pub(crate) organisation: Option<Arc<Organisation>>,
    pub(crate) arrived: Instant,
    /// Time by which the response must be complete.
    pub(crate) deadline: Instant,
    /// Version of the configuration by which it was routed.
    pub(crate) version: u64,
}
