//! Timers that are armed rarely.
//!
//! Load pattern: a stream of events waits for each of them with a time limit. Arming a timer wakes the
//! reactor, which takes more processor time than to pass an event on.

use std::future::{
    Future,
    poll_fn, //
};
use std::pin::{
    Pin,
    pin, //
};
use std::sync::{
    Mutex,
    PoisonError, //
};
use std::task::{
    Context,
    Poll,
    ready, //
};
use std::time::Instant;

use async_io::Timer;

/// A deadline that is the same for many waits of one task; its timer is armed once.
#[derive(Debug)]
pub struct Deadline {
    at: Instant,
    timer: Mutex<Timer>,
}

impl Deadline {
    /// Creates a deadline; its timer is armed by the first wait.
    pub fn new(at: Instant) -> Self {
        Self {
            at,
            timer: Mutex::new(Timer::at(at)),
        }
    }

    /// Returns the time of the deadline.
    pub fn at(&self) -> Instant {
        self.at
    }

    /// Runs `future` until the deadline; returns `None` if it has not completed by then.
    pub async fn bound<F: Future>(&self, future: F) -> Option<F::Output> {
        let mut future = pin!(future);
        poll_fn(|cx| {
            if let Poll::Ready(output) = future.as_mut().poll(cx) {
                return Poll::Ready(Some(output));
            }
            // A timer fires once.
            if self.at <= Instant::now() {
                return Poll::Ready(None);
            }
            let mut timer = self.timer.lock().unwrap_or_else(PoisonError::into_inner);
            Pin::new(&mut *timer).poll(cx).map(|_| None)
        })
        .await
    }
}

/// A timer for times that move to later ones. One that fires early is kept, and armed again only then.
#[derive(Debug, Default)]
pub struct MovingTimer {
    /// When the timer fires, at the latest at the time that is waited for.
    armed: Option<(Instant, Timer)>,
}

impl MovingTimer {
    /// Waits until `at`, which may differ from that of the call before.
    pub fn poll_at(&mut self, cx: &mut Context<'_>, at: Instant) -> Poll<()> {
        while Instant::now() < at {
            let timer = match &mut self.armed {
                Some((fires, timer)) if *fires <= at => timer,
                slot => &mut slot.insert((at, Timer::at(at))).1,
            };
            ready!(Pin::new(timer).poll(cx));
            self.armed = None;
        }
        Poll::Ready(())
    }

    /// Runs `future` until `at`; returns `None` if it has not completed by then.
    pub async fn timeout_at<F: Future>(&mut self, at: Instant, future: F) -> Option<F::Output> {
        let mut future = pin!(future);
        poll_fn(|cx| {
            if let Poll::Ready(output) = future.as_mut().poll(cx) {
                return Poll::Ready(Some(output));
            }
            self.poll_at(cx, at).map(|()| None)
        })
        .await
    }
}
