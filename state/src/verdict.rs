//! Execution status of a request, reported with every error.

use serde::{
    Deserialize,
    Serialize, //
};
use strum::{
    Display,
    EnumString,
    IntoStaticStr, //
};

/// Whether a request may have run on a backend server.
///
/// The order is that of certainty that it ran, so the verdict of a request that was sent several
/// times is the maximum over its attempts.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    EnumString,
    IntoStaticStr,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The request did not run, so a retry cannot run it twice.
    NotRun,
    /// The request may have run, completely or in part.
    MayHaveRun,
    /// The request ran to completion.
    Ran,
}

impl Verdict {
    /// Returns whether a request with this verdict may be retried.
    pub fn allows_retry(self, idempotent: bool) -> bool {
        match self {
            Self::NotRun => true,
            Self::MayHaveRun => idempotent,
            Self::Ran => false,
        }
    }
}
