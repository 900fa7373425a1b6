//! What instances tell each other about crashes of backend servers.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::prompt::PartKey;

/// Identity of one crash: of one run of one backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CrashKey(pub u64);

/// A crash of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Crash {
    /// Identity of the crash, the same on all instances.
    pub key: CrashKey,
    /// Identifier of the backend server.
    pub server: String,
    /// Instance that has seen it first.
    pub seen_by: String,
    /// Time since the crash.
    pub age: Duration,
    /// Shared parts of the runs on the server that had no output.
    pub suspects: Vec<PartKey>,
}

/// A part with which a run wrote output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cleared {
    /// The part.
    pub part: PartKey,
    /// Time since the output.
    pub age: Duration,
}

/// Parts that crash backend servers together, as sent to other instances.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Case {
    /// The parts that cannot be told apart; never empty. Requests with all of them are held back.
    pub parts: BTreeSet<PartKey>,
    /// Crashes that are attributed to it.
    pub crashes: u32,
    /// Some of the servers that crashed.
    pub servers: Vec<String>,
    /// Time since the first of the crashes.
    pub age: Duration,
    /// Number of probes since then.
    pub probes: u32,
    /// Time until the next probe.
    pub probe_in: Duration,
}

/// What an instance tells others about crashes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CrashNews {
    /// Crashes.
    pub crashes: Vec<Crash>,
    /// Parts that are sound.
    pub cleared: Vec<Cleared>,
    /// Open cases.
    pub cases: Vec<Case>,
}

impl CrashNews {
    /// Returns whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.cleared.is_empty() && self.cases.is_empty()
    }
}
