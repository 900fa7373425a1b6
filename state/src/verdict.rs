//! The statement every error makes about whether a request ran.

use serde::{
    Deserialize,
    Serialize, //
};
use strum::{
    Display,
    EnumString,
    IntoStaticStr, //
};

/// Says whether a request may have run on a backend server.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
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
    /// The request did not run; sending it again cannot run it twice.
    NotRun,
    /// The request may have run, wholly or in part.
    MayHaveRun,
    /// The request ran to its end.
    Ran,
}

impl Verdict {
    /// Returns whether a request with this verdict may be sent again.
    pub fn allows_retry(self, idempotent: bool) -> bool {
        match self {
            Self::NotRun => true,
            Self::MayHaveRun => idempotent,
            Self::Ran => false,
        }
    }
}
