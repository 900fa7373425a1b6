//! Routing and authentication of a caller's request by the configuration.

use std::sync::Arc;

use limpetweir_state::Timestamp;

use crate::config::{
    Configuration,
    Organisation,
    Route, //
};
use crate::platform::{
    CallHead,
    JobCall, //
};

/// What a request addresses, with the organisation of its key.
#[derive(Clone, Debug, PartialEq)]
pub enum Destination {
    /// A route of the configuration.
    Route {
        /// The route.
        route: Arc<Route>,
        /// Organisation of the caller; `None` only on public routes.
        organisation: Option<Arc<Organisation>>,
    },
    /// An existing batch job.
    Job {
        /// The call.
        call: JobCall,
        /// Organisation of the caller.
        organisation: Arc<Organisation>,
    },
}

/// Reason for which the configuration does not allow a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Denial {
    /// No route has the host and a prefix of the path.
    NoRoute,
    /// The key is missing or belongs to no organisation.
    UnknownKey,
    /// The head is longer than the operators allow.
    HeadTooLarge {
        /// Largest head in bytes.
        limit: usize,
    },
    /// The same as [`NoRoute`](Self::NoRoute), but an earlier version has a route.
    RouteRemoved {
        /// Time until which requests arrive that other instances may allow by the earlier version.
        until: Timestamp,
    },
    /// The key belongs to no organisation, or to one without access, but an earlier version allows
    /// the request.
    KeyRemoved {
        /// Time until which requests arrive that other instances may allow by the earlier version.
        until: Timestamp,
    },
    /// The body is longer than the operators allow.
    BodyTooLarge {
        /// Largest body in bytes.
        limit: usize,
    },
}

impl Denial {
    /// Returns the time until which requests like this one arrive that other instances may allow by an
    /// earlier version.
    pub fn allowed_until(self) -> Option<Timestamp> {
        match self {
            Self::RouteRemoved { until } | Self::KeyRemoved { until } => Some(until),
            Self::NoRoute
            | Self::UnknownKey
            | Self::HeadTooLarge { .. }
            | Self::BodyTooLarge { .. } => None,
        }
    }
}

/// Returns the destination of a request with the head `head` and the path `path`. `job_call`
/// decodes it as a call about a batch job; routes have precedence.
pub fn destination(
    config: &Configuration,
    head: &CallHead,
    path: &str,
    job_call: impl Fn() -> Option<JobCall>,
) -> Result<Destination, Denial> {
    let denial = match destination_in(config, head, path, &job_call) {
        Ok(found) => return Ok(found),
        Err(denial) => denial,
    };
    let mut earlier = config.earlier();
    let allows = |config: &Configuration| destination_in(config, head, path, &job_call).is_ok();
    let until = earlier.find(|(_, config)| allows(config));
    Err(match (denial, until) {
        (Denial::NoRoute, Some((until, _))) => Denial::RouteRemoved { until },
        (Denial::UnknownKey, Some((until, _))) => Denial::KeyRemoved { until },
        _ => denial,
    })
}

/// Returns the destination of a request in one version of the configuration.
fn destination_in(
    config: &Configuration,
    head: &CallHead,
    path: &str,
    job_call: impl Fn() -> Option<JobCall>,
) -> Result<Destination, Denial> {
    let key = head.key.as_deref();
    let organisation = key.and_then(|key| config.organisation_by_key(key));
    let organisation = organisation.cloned();
    if let Some(route) = config.route(&head.host, path).cloned() {
        if organisation.is_none() && !route.public {
            return Err(Denial::UnknownKey);
        }
        return Ok(Destination::Route {
            route,
            organisation,
        });
    }
    if !config.has_host(&head.host) {
        return Err(Denial::NoRoute);
    }
    let call = job_call().ok_or(Denial::NoRoute)?;
    let organisation = organisation.ok_or(Denial::UnknownKey)?;
    Ok(Destination::Job { call, organisation })
}
