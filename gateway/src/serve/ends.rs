//! Ends of the requests of callers. Each request ends in exactly one way of this table.

use std::sync::atomic::{
    AtomicU64,
    Ordering, //
};
use std::sync::{
    Arc,
    OnceLock, //
};
use std::time::Instant;

use hyper::Response;
use limpetweir_transport::http::Body;

use super::lines::{
    CALLER_LEFT,
    HEAD_ONLY,
    REQUEST_FAILED,
    REQUEST_LOST,
    log_event, //
};
use super::metrics::Metrics;
use super::request_end::{
    CallerGot,
    RequestEnd, //
};

/// What the ends of all requests of an instance have in common.
#[derive(Debug)]
pub(crate) struct Ends {
    metrics: Arc<Metrics>,
    /// Number of requests that have not ended.
    open: AtomicU64,
    /// When a stopping instance closes the connections that are left.
    close_at: OnceLock<Instant>,
}

impl Ends {
    pub(crate) fn new(metrics: Arc<Metrics>) -> Self {
        Self {
            metrics,
            open: AtomicU64::new(0),
            close_at: OnceLock::new(),
        }
    }

    /// Returns the number of requests that have not ended.
    pub(crate) fn open(&self) -> u64 {
        self.open.load(Ordering::Acquire)
    }

    /// Sets the time at which the connections that are left are closed; a later call has no effect.
    pub(crate) fn set_close_at(&self, at: Instant) {
        self.close_at.get_or_init(|| at);
    }

    /// Returns the time at which the connections were closed, if it is over.
    fn closed_at(&self) -> Option<Instant> {
        let at = self.close_at.get();
        at.copied().filter(|at| *at <= Instant::now())
    }
}

/// A request that has not ended yet. Dropping it counts as an end too: the caller has left, the
/// handler has panicked, or the process has closed the connection.
#[derive(Debug)]
pub(crate) struct OpenRequest {
    ends: Arc<Ends>,
    id: String,
    arrived: Instant,
    /// Time by which the response must be complete, once it is known.
    deadline: Option<Instant>,
    got: CallerGot,
    end: Option<RequestEnd>,
}

impl OpenRequest {
    /// Counts a request whose head has not been decoded yet, so that a panic of the decoder is
    /// counted as its end.
    pub(crate) fn new(ends: &Arc<Ends>) -> Self {
        ends.open.fetch_add(1, Ordering::AcqRel);
        Self {
            ends: ends.clone(),
            id: String::new(),
            arrived: Instant::now(),
            deadline: None,
            got: CallerGot::Nothing,
            end: None,
        }
    }

    /// Sets the time by which the response must be complete.
    pub(crate) fn set_deadline(&mut self, deadline: Instant) {
        self.deadline = Some(deadline);
    }

    /// Sets the identifier of the request.
    pub(crate) fn identify(&mut self, id: &str) {
        id.clone_into(&mut self.id);
    }

    /// Records what has been passed on to the caller.
    pub(crate) fn passed_on(&mut self, got: CallerGot) {
        self.got = got;
    }

    /// Records the end of the request.
    pub(crate) fn end(mut self, end: RequestEnd) {
        self.end = Some(end);
    }

    /// Records that the request ends with a response that this instance has made itself.
    pub(crate) fn answer(mut self, response: Response<Body>) -> Response<Body> {
        let end = RequestEnd::of(response.status());
        if end == RequestEnd::Answered {
            self.passed_on(CallerGot::Whole);
        }
        self.end(end);
        response
    }

    /// Records that the caller left, or that the process has closed its connection.
    pub(crate) fn disconnected(mut self) {
        self.end = Some(self.disconnection());
    }

    fn disconnection(&self) -> RequestEnd {
        let Some(closed) = self.ends.closed_at() else {
            return RequestEnd::CallerLeft;
        };
        match self.deadline {
            Some(deadline) if deadline > closed => RequestEnd::CutAtStop,
            _ => RequestEnd::Dropped,
        }
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        let is_dropped = self.end.is_none();
        let end = match self.end {
            Some(end) => end,
            None if std::thread::panicking() => RequestEnd::Panicked,
            None => self.disconnection(),
        };
        self.ends.open.fetch_sub(1, Ordering::AcqRel);
        let got = self.got;
        self.ends.metrics.request_ended(end, got);
        let (id, ms) = (&self.id, self.arrived.elapsed().as_millis());
        if end.is_fault() {
            log_event!(REQUEST_LOST, "request={id} end={end} got={got} ms={ms}");
        } else if end == RequestEnd::CutAtStop {
            log_event!(
                REQUEST_FAILED,
                "request={id} status=cut got={got} cause=stopping ms={ms}"
            );
        } else if is_dropped {
            // Calls about jobs have no deadline here.
            if self.deadline.is_some() {
                let metrics = &self.ends.metrics;
                metrics.online("caller-left", self.arrived.elapsed());
            }
            log_event!(CALLER_LEFT, "request={id} got={got} ms={ms} events=0");
        }
        if got == CallerGot::Head && end != RequestEnd::CallerLeft {
            log_event!(HEAD_ONLY, "request={id} end={end} ms={ms}");
        }
    }
}
