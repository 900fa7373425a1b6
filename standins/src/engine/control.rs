//! Fault injection by tests.

use serde::{
    Deserialize,
    Serialize, //
};

/// A fault in the next `count` requests, each after `tokens` generated tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AfterTokens {
    /// Number of affected requests.
    pub count: u32,
    /// Tokens that each request generates before the fault.
    #[serde(default)]
    pub tokens: usize,
}

/// Body of `POST /control`; absent fields leave their settings unchanged.
///
/// Each count applies to the next requests. A request decrements at most one of `fail_before`,
/// `fail_after`, `cut` and `end_early`, checked in this order.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineControl {
    /// Number of requests rejected with 503 and `Retry-After` without running them.
    pub fail_before: Option<u32>,
    /// Requests that fail after some tokens: status 500, or an error event in a stream.
    pub fail_after: Option<AfterTokens>,
    /// Requests whose connections are closed after some tokens.
    pub cut: Option<AfterTokens>,
    /// Streams that end after some tokens without end marker.
    pub end_early: Option<AfterTokens>,
    /// Number of responses with the attempt id and text of the previous request.
    pub cross: Option<u32>,
    /// Number of responses without the attempt id.
    pub omit_attempt_id: Option<u32>,
    /// Delay of the start of each response, in milliseconds.
    pub delay_answer_ms: Option<u64>,
    /// Stalls or resumes the generation of all tokens.
    pub stall: Option<bool>,
    /// Factor on the duration of steps.
    pub slowdown: Option<f64>,
    /// Sets whether orders with an old fencing number are rejected.
    pub check_fencing: Option<bool>,
    /// Lag of `GET /load`, in milliseconds.
    pub load_lag_ms: Option<u64>,
    /// Lag of cache events, in milliseconds.
    pub cache_event_lag_ms: Option<u64>,
    /// Drops each cache event whose number is a multiple of this; 0 drops none.
    pub cache_event_gap_every: Option<u64>,
    /// Empties the prefix cache if true.
    pub clear_cache: Option<bool>,
}

/// Fault of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    None,
    FailBefore,
    FailAfter(usize),
    CutAfter(usize),
    EndAfter(usize),
}

impl Fault {
    /// Returns whether the fault occurs in place of the token with this number.
    pub(crate) fn is_due(self, generated: usize) -> bool {
        match self {
            Self::None | Self::FailBefore => false,
            Self::FailAfter(tokens) | Self::CutAfter(tokens) | Self::EndAfter(tokens) => {
                generated > tokens
            }
        }
    }
}

/// Remaining faults for the next requests.
#[derive(Debug, Default)]
pub(crate) struct Faults {
    fail_before: u32,
    fail_after: AfterTokens,
    cut: AfterTokens,
    end_early: AfterTokens,
    cross: u32,
    omit_attempt_id: u32,
    /// Delay of each response, in milliseconds.
    pub(crate) delay_answer_ms: u64,
}

impl Faults {
    /// Applies the faults of a control call.
    pub(crate) fn change(&mut self, control: &EngineControl) {
        self.fail_before = control.fail_before.unwrap_or(self.fail_before);
        self.fail_after = control.fail_after.unwrap_or(self.fail_after);
        self.cut = control.cut.unwrap_or(self.cut);
        self.end_early = control.end_early.unwrap_or(self.end_early);
        self.cross = control.cross.unwrap_or(self.cross);
        self.omit_attempt_id = control.omit_attempt_id.unwrap_or(self.omit_attempt_id);
        self.delay_answer_ms = control.delay_answer_ms.unwrap_or(self.delay_answer_ms);
    }

    /// Decrements the count of the fault of the next request and returns this fault.
    pub(crate) fn take(&mut self, stream: bool) -> Fault {
        if take(&mut self.fail_before) {
            return Fault::FailBefore;
        }
        if take(&mut self.fail_after.count) {
            return Fault::FailAfter(self.fail_after.tokens);
        }
        if take(&mut self.cut.count) {
            return Fault::CutAfter(self.cut.tokens);
        }
        if stream && take(&mut self.end_early.count) {
            return Fault::EndAfter(self.end_early.tokens);
        }
        Fault::None
    }

    /// Decrements the count of crossed responses; returns false if it is zero.
    pub(crate) fn take_cross(&mut self) -> bool {
        take(&mut self.cross)
    }

    /// Decrements the count of responses without attempt id; returns false if it is zero.
    pub(crate) fn take_omit_attempt_id(&mut self) -> bool {
        take(&mut self.omit_attempt_id)
    }
}

fn take(remaining: &mut u32) -> bool {
    let available = *remaining > 0;
    *remaining = remaining.saturating_sub(1);
    available
}
