//! Limits of the connections of callers, which follow the configuration.

use std::ops::RangeInclusive;
use std::time::Duration;

use hyper::http::request;
use limpetweir_transport::http::{
    HeadLimits,
    MaxHeadBytes,
    ServerLimits, //
};

use super::forwarding;
use super::node::Node;
use crate::config::CallerLimits;
use crate::routing::Denial;

/// Time-outs of a head that have a meaning. A longer one would keep connections of callers that are
/// gone, and a shorter one is below the delay of a busy link.
const HEAD_RANGE: RangeInclusive<Duration> = Duration::from_secs(1)..=Duration::from_secs(60);

/// Sizes of a head in bytes that have a meaning. The listener reads no larger ones, and a request with
/// its key, identifier and time limit needs some hundred bytes.
const HEAD_BYTES_RANGE: RangeInclusive<usize> = 1_024..=65_536;

/// Idle time-outs that have a meaning.
const IDLE_RANGE: RangeInclusive<Duration> = Duration::from_secs(1)..=Duration::from_secs(300);

/// Time by which a connection outlasts the limit of the configuration. Callers reuse connections up to
/// four fifths of the limit, and the rest of a short limit is less than the delay of a busy link.
const MARGIN: Duration = Duration::from_secs(1);

/// Puts the limits of a configuration in force for all connections of callers.
pub(crate) fn apply<P>(node: &Node<P>, limits: Option<CallerLimits>) {
    // Nothing is configured before the listener is bound.
    let Some(connections) = node.caller_limits.get() else {
        return;
    };
    let defaults = ServerLimits::default();
    let timeout = limits.and_then(|limits| limits.head_timeout);
    let timeout = timeout.map_or(defaults.head_timeout, |limit| within(limit, &HEAD_RANGE));
    let bytes = limits.map(|limits| limits.head_bytes);
    let bytes = bytes.map_or(defaults.head_bytes, |bytes| {
        bytes.clamp(*HEAD_BYTES_RANGE.start(), *HEAD_BYTES_RANGE.end())
    });
    let idle = limits.map(|limits| limits.idle_timeout);
    let idle = idle.map_or(defaults.idle_timeout, |limit| within(limit, &IDLE_RANGE));
    connections.set(HeadLimits { timeout, bytes }, idle);
}

/// Returns an error if the head of a request is larger than the limit that held for it.
pub(crate) fn check_head(head: &request::Parts) -> Result<(), Denial> {
    let limit = head.extensions.get::<MaxHeadBytes>();
    let limit = limit.map_or(usize::MAX, |limit| limit.0);
    match head_bytes(head) > limit {
        true => Err(Denial::HeadTooLarge { limit }),
        false => Ok(()),
    }
}

/// Returns the size of a head without the space that is optional. The field of another instance that
/// has forwarded the call doesn't count.
fn head_bytes(head: &request::Parts) -> usize {
    let target = head.uri.path_and_query();
    let target = target.map_or(1, |target| target.as_str().len());
    let line = head.method.as_str().len() + target + "  HTTP/1.1\r\n".len();
    let fields = head.headers.iter();
    let fields = fields.filter(|(name, _)| *name != forwarding::FORWARDED);
    let fields = fields.map(|(name, value)| name.as_str().len() + value.len() + ": \r\n".len());
    line + fields.sum::<usize>() + "\r\n".len()
}

fn within(limit: Duration, range: &RangeInclusive<Duration>) -> Duration {
    limit.clamp(*range.start(), *range.end()) + MARGIN
}
