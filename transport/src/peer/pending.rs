//! Calls that wait for their replies.

use std::collections::HashMap;
use std::sync::{
    Mutex,
    MutexGuard,
    PoisonError, //
};
use std::time::Duration;

use async_channel::{
    Receiver,
    Sender, //
};
use limpetweir_protocol::peer::ReplyBody;
use limpetweir_state::Verdict;
use snafu::Snafu;

/// Reason why a call got no reply.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum CallFailure {
    /// The link is down.
    #[snafu(display("the link to the peer is down"))]
    NotConnected,
    /// The send queue is full.
    #[snafu(display("too many messages to the peer are waiting"))]
    QueueFull,
    /// The link was closed before the reply.
    #[snafu(display("the link to the peer was closed before the reply ({verdict})"))]
    Closed {
        /// Whether the call may have taken effect.
        verdict: Verdict,
    },
    /// The reply did not arrive in time.
    #[snafu(display("no reply from the peer within {} ms ({verdict})", timeout.as_millis()))]
    Timeout {
        /// Timeout of the call.
        timeout: Duration,
        /// Whether the call may have taken effect.
        verdict: Verdict,
    },
}

impl CallFailure {
    /// Returns whether the call may have taken effect.
    ///
    /// It is `NotRun` until the call is removed from the send queue to be written to the socket.
    pub fn verdict(&self) -> Verdict {
        match self {
            Self::NotConnected | Self::QueueFull => Verdict::NotRun,
            Self::Closed { verdict } | Self::Timeout { verdict, .. } => *verdict,
        }
    }
}

pub(super) type CallResult = Result<ReplyBody, CallFailure>;

/// A call that waits for its reply.
#[derive(Debug)]
struct WaitingCall {
    reply: Sender<CallResult>,
    /// Set before the call is written to the socket, because the peer may receive a call whose
    /// write fails.
    written: bool,
}

impl WaitingCall {
    fn verdict(&self) -> Verdict {
        if self.written {
            Verdict::MayHaveRun
        } else {
            Verdict::NotRun
        }
    }
}

/// The calls of one link that wait for their replies.
#[derive(Debug, Default)]
pub(super) struct PendingCalls {
    calls: Mutex<Calls>,
}

#[derive(Debug, Default)]
struct Calls {
    /// Next call identifier. Identifiers are never reused, so a late reply cannot match another
    /// call.
    next: u64,
    waiting: HashMap<u64, WaitingCall>,
}

impl PendingCalls {
    fn lock(&self) -> MutexGuard<'_, Calls> {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Registers a call; dropping the guard withdraws it.
    pub(super) fn register(&self) -> (CallGuard<'_>, Receiver<CallResult>) {
        let (reply, result) = async_channel::bounded(1);
        let mut calls = self.lock();
        let id = calls.next;
        calls.next += 1;
        let written = false;
        calls.waiting.insert(id, WaitingCall { reply, written });
        (CallGuard { pending: self, id }, result)
    }

    /// Marks a call that is about to be written; returns false if it was withdrawn and must not be
    /// sent.
    pub(super) fn mark_written(&self, id: u64) -> bool {
        match self.lock().waiting.get_mut(&id) {
            Some(waiting) => {
                waiting.written = true;
                true
            }
            None => false,
        }
    }

    /// Delivers a reply to its call; returns false if no call waits for it.
    pub(super) fn complete(&self, id: u64, body: ReplyBody) -> bool {
        let Some(waiting) = self.lock().waiting.remove(&id) else {
            return false;
        };
        waiting.reply.try_send(Ok(body)).is_ok()
    }

    /// Fails every waiting call because the link was closed.
    pub(super) fn fail_all(&self) {
        let waiting = std::mem::take(&mut self.lock().waiting);
        for waiting in waiting.into_values() {
            let verdict = waiting.verdict();
            // Fails only if the caller stopped waiting and dropped the receiver.
            let _ = waiting.reply.try_send(Err(CallFailure::Closed { verdict }));
        }
    }
}

/// Withdraws a call when dropped, so that a queued call is not sent after its caller stopped
/// waiting.
#[derive(Debug)]
pub(super) struct CallGuard<'a> {
    pending: &'a PendingCalls,
    pub(super) id: u64,
}

impl CallGuard<'_> {
    /// Withdraws the call and returns its verdict; returns `None` if its result has already
    /// arrived.
    pub(super) fn withdraw(&self) -> Option<Verdict> {
        let waiting = self.pending.lock().waiting.remove(&self.id);
        waiting.map(|waiting| waiting.verdict())
    }
}

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        self.withdraw();
    }
}
