//! Ways in which the request of a caller ends.

use hyper::StatusCode;

/// How a request ends.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumIter, strum::IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum RequestEnd {
    /// The caller gets the complete response of a backend server, or the result of its call.
    Answered,
    /// The caller gets 429 or 503: the request has not run and never will.
    Refused,
    /// The caller gets another status of the class 4xx: the request is not allowed or not valid.
    Denied,
    /// The caller gets 502 or 500: the request may have run.
    Failed,
    /// The caller gets 504: its time, that of its route or that of a stopping instance is up before the
    /// first output of a response.
    TimedOut,
    /// The response is broken off, because its backend server broke off after the first output and no
    /// other one has the rest.
    BrokenOff,
    /// The response is broken off, because the time of the caller or of the route is up.
    CutAtDeadline,
    /// The response is broken off, because the instance has stopped. The request came before the stop
    /// and had more time than the stop leaves.
    CutAtStop,
    /// The caller left before its response was complete.
    CallerLeft,
    /// A handler panicked.
    Panicked,
    /// The process closed the connection of the request, whose time would have been up before.
    Dropped,
}

impl RequestEnd {
    /// Returns how a request ends whose response this instance has made itself.
    pub(crate) fn of(status: StatusCode) -> Self {
        match status {
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => Self::Refused,
            StatusCode::GATEWAY_TIMEOUT => Self::TimedOut,
            _ if status.is_success() => Self::Answered,
            _ if status.is_client_error() => Self::Denied,
            _ => Self::Failed,
        }
    }

    /// Returns whether the request ends without an answer, a refusal or a reason that lies with its
    /// caller or its backend server. This is always a fault of the instance.
    pub(crate) fn is_fault(self) -> bool {
        matches!(self, Self::Panicked | Self::Dropped)
    }
}

/// What was passed on to the caller of the response to its request by the end of the request.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    strum::Display,
    strum::EnumIter,
    strum::IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum CallerGot {
    /// Nothing; a status of this instance is itself the end.
    #[default]
    Nothing,
    /// The status and the headers.
    Head,
    /// A part of the body too.
    Part,
    /// The complete response.
    Whole,
}
