//! Identifiers of attempts to run an online request.

use std::fmt;

use limpetweir_state::Incarnation;

/// Identifies one attempt to run an online request, unique in the fleet.
///
/// Instance names contain no `@`, so the id of another incarnation or of a batch item cannot have
/// the same text.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct OnlineAttemptId(String);

impl OnlineAttemptId {
    /// Returns the value of the `x-attempt-id` header.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Returns whether an answer that echoes `echo` belongs to this attempt.
    pub fn is_echoed_by(&self, echo: Option<&str>) -> bool {
        echo.is_some_and(|echo| echo == self.0)
    }
}

impl fmt::Display for OnlineAttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Generates the attempt ids of one process.
#[derive(Clone, Debug)]
pub struct OnlineAttemptIds {
    own: Incarnation,
    /// Number of the last attempt.
    last: u64,
}

impl OnlineAttemptIds {
    /// Creates the generator of the process `own`.
    pub fn new(own: Incarnation) -> Self {
        Self { own, last: 0 }
    }

    /// Returns a new, unused id.
    pub fn next_id(&mut self) -> OnlineAttemptId {
        self.last += 1;
        OnlineAttemptId(format!("{}-{}", self.own, self.last))
    }
}
