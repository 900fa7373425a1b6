//! Time-outs of the connections of callers, which follow the configuration.

use std::ops::RangeInclusive;
use std::time::Duration;

use limpetweir_transport::http::ServerLimits;

use super::node::Node;
use crate::config::CallerLimits;

/// Time-outs of a head that have a meaning. A longer one would keep connections of callers that are
/// gone, and a shorter one is below the delay of a busy link.
const HEAD_RANGE: RangeInclusive<Duration> = Duration::from_secs(1)..=Duration::from_secs(60);

/// Idle time-outs that have a meaning.
const IDLE_RANGE: RangeInclusive<Duration> = Duration::from_secs(1)..=Duration::from_secs(300);

/// Time by which a connection outlasts the limit of the configuration. Callers reuse connections up to
/// four fifths of the limit, and the rest of a short limit is less than the delay of a busy link.
const MARGIN: Duration = Duration::from_secs(1);

/// Puts the limits of a configuration in force for all connections of callers.
pub(crate) fn apply<P>(node: &Node<P>, limits: Option<CallerLimits>) {
    // Nothing is configured before the listener is bound.
    let Some(timeouts) = node.caller_timeouts.get() else {
        return;
    };
    let defaults = ServerLimits::default();
    let head = limits.and_then(|limits| limits.head_timeout);
    let head = head.map_or(defaults.head_timeout, |limit| within(limit, &HEAD_RANGE));
    let idle = limits.map(|limits| limits.idle_timeout);
    let idle = idle.map_or(defaults.idle_timeout, |limit| within(limit, &IDLE_RANGE));
    timeouts.set(head, idle);
}

fn within(limit: Duration, range: &RangeInclusive<Duration>) -> Duration {
    limit.clamp(*range.start(), *range.end()) + MARGIN
}
