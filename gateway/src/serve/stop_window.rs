//! The time in which a stopping instance can still answer requests.

use std::sync::OnceLock;
use std::time::{
    Duration,
    Instant, //
};

use event_listener::Event as Signal;
use futures_lite::future;
use limpetweir_transport::timeout_at;

/// Time between the last answers and the close of the connections, in which the answers are sent.
const SEND_TIME: Duration = Duration::from_millis(200);

/// The time in which a stopping instance can still answer requests; without end until it stops.
#[derive(Debug, Default)]
pub(crate) struct StopWindow {
    /// Time by which all requests must be answered.
    answers_by: OnceLock<Instant>,
    stops: Signal,
}

impl StopWindow {
    /// Begins a stop that closes the connections at `close_at`; a later call has no effect.
    pub(crate) fn begin(&self, close_at: Instant) {
        let at = close_at.checked_sub(SEND_TIME).unwrap_or(close_at);
        self.answers_by.get_or_init(|| at);
        self.stops.notify(usize::MAX);
    }

    /// Returns whether a request that may take until `deadline` may be answered too late.
    pub(crate) fn ends_before(&self, deadline: Instant) -> bool {
        self.answers_by.get().is_some_and(|at| *at < deadline)
    }

    /// Returns how much time is left; `None` if the instance does not stop.
    pub(crate) fn remaining(&self) -> Option<Duration> {
        let at = self.answers_by.get()?;
        Some(at.saturating_duration_since(Instant::now()))
    }

    /// Returns whether all requests must be answered now.
    pub(crate) fn is_over(&self) -> bool {
        self.remaining().is_some_and(|left| left.is_zero())
    }

    /// Returns once all requests must be answered.
    pub(crate) async fn ended(&self) {
        self.passed(Duration::ZERO).await;
    }

    /// Returns a little later than [`StopWindow::ended`], for requests that end by themselves then.
    pub(crate) async fn overdue(&self) {
        self.passed(SEND_TIME / 2).await;
    }

    async fn passed(&self, after: Duration) {
        let at = loop {
            let stops = self.stops.listen();
            if let Some(at) = self.answers_by.get() {
                break *at;
            }
            stops.await;
        };
        timeout_at(at + after, future::pending::<()>()).await;
    }
}
