//! Ranges of the numbers, texts and lists in messages and records about crashes.

use std::time::Duration;

use crate::checked::MAX_LABEL_BYTES;
use crate::crash_evidence::MAX_CRASH_SUSPECTS;
use crate::crash_news::{
    Case,
    Crash,
    CrashNews, //
};
use crate::open_case::{
    MAX_CASE_SERVERS,
    MAX_PROBE_INTERVAL, //
};

/// Largest number of crashes of a case.
const MAX_CRASHES: u32 = 1_000_000;

/// Largest number of probes of a case, of which there is one per hour.
const MAX_PROBES: u32 = 1_000;

/// Longest age of a case; a case is kept for a day.
const MAX_AGE: Duration = Duration::from_secs(366 * 24 * 3_600);

/// Longest name of a server with the instance that saw its crash, in bytes.
const MAX_SERVER_BYTES: usize = 2 * MAX_LABEL_BYTES + 1;

impl CrashNews {
    /// Returns the message with all numbers in their ranges; `None` if a text or a list is too long.
    pub(crate) fn into_checked(self) -> Option<Self> {
        let cases = self.cases.into_iter().map(Case::into_checked);
        let cases = cases.collect::<Option<_>>()?;
        let valid = self.crashes.iter().all(is_valid);
        valid.then_some(Self { cases, ..self })
    }
}

fn is_valid(crash: &Crash) -> bool {
    is_short(&crash.server, MAX_LABEL_BYTES)
        && is_short(&crash.seen_by, MAX_LABEL_BYTES)
        && crash.suspects.len() <= MAX_CRASH_SUSPECTS
}

fn is_short(text: &str, max_bytes: usize) -> bool {
    text.len() <= max_bytes && !text.contains(char::is_control)
}

impl Case {
    /// Returns the case with all numbers in their ranges; `None` if it has no or too many parts, or a
    /// text that is too long.
    pub(crate) fn into_checked(mut self) -> Option<Self> {
        self.servers.truncate(MAX_CASE_SERVERS);
        let short = |server: &String| is_short(server, MAX_SERVER_BYTES);
        let valid = (1..=MAX_CRASH_SUSPECTS).contains(&self.parts.len());
        (valid && self.servers.iter().all(short)).then_some(Self {
            crashes: self.crashes.min(MAX_CRASHES),
            probes: self.probes.min(MAX_PROBES),
            probe_in: self.probe_in.min(MAX_PROBE_INTERVAL),
            age: self.age.min(MAX_AGE),
            ..self
        })
    }
}
