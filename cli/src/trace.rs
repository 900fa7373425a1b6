//! Finds the log lines about a request or job in collected log files of the gateway.

use std::collections::BTreeSet;

use strum::Display;

/// Time before the first and after the last line about a request in which lines about the system
/// are included as context, in milliseconds.
const CONTEXT_MS: u64 = 3_000;

/// Time after the last line about a request without an outcome in which lines about the system are
/// included, in milliseconds; long enough for the restart of an instance that terminated while it
/// handled the request.
const RESTART_CONTEXT_MS: u64 = 15_000;

/// A parsed log line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Line {
    /// Instance that wrote the line.
    pub instance: String,
    /// Timestamp in milliseconds.
    pub time: u64,
    /// Number of the event.
    pub event: u16,
    /// Fields of the line, as text.
    pub text: String,
}

/// The outcome of a request or job, according to its log lines.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[strum(serialize_all = "kebab-case")]
pub enum Ending {
    /// A response was sent, or the job was accepted.
    Answered,
    /// It was rejected and has not run.
    Refused,
    /// It failed and may have run.
    Failed,
    /// The caller disconnected.
    CallerLeft,
    /// No line contains an outcome.
    Unknown,
}

/// The lines about one request or job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Trace {
    /// Lines that refer to it, in order of time.
    pub matching: Vec<Line>,
    /// Lines about instances, backend servers and the store at about the same time.
    pub context: Vec<Line>,
    /// Its outcome.
    pub ending: Ending,
    /// The cause given in the line with the outcome.
    pub cause: Option<String>,
}

impl Line {
    /// Parses a line of the log of `instance`; returns `None` for other text.
    ///
    /// A log collector may prefix the line; the last word of the prefix is then the instance.
    pub fn parse(instance: &str, raw: &str) -> Option<Self> {
        let at = raw.find(" LW").filter(|at| {
            let digits = raw.get(at + 3..at + 7);
            digits.is_some_and(|digits| digits.bytes().all(|b| b.is_ascii_digit()))
        })?;
        let mut before: Vec<&str> = raw[..at].split_whitespace().collect();
        before.pop()?;
        let (seconds, millis) = before.pop()?.split_once('.')?;
        let seconds: u64 = seconds.parse().ok()?;
        let millis: u64 = millis.parse().ok()?;
        Some(Self {
            instance: before.pop().unwrap_or(instance).to_owned(),
            time: seconds * 1_000 + millis,
            event: raw[at + 3..at + 7].parse().ok()?,
            text: raw[at + 7..].trim().to_owned(),
        })
    }

    /// Returns the value of the field `name`.
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut rest = self.text.as_str();
        loop {
            let at = rest.find(name)?;
            let starts = at == 0 || rest[..at].ends_with(' ');
            let value = rest[at + name.len()..].strip_prefix('=');
            match value {
                Some(value) if starts => {
                    let quoted = value.strip_prefix('"');
                    let end = quoted.map_or(' ', |_| '"');
                    let value = quoted.unwrap_or(value);
                    return value.split(end).next();
                }
                _ => rest = &rest[at + name.len()..],
            }
        }
    }

    fn refers_to(&self, id: &str) -> bool {
        ["request", "job", "item"]
            .iter()
            .any(|field| self.field(field) == Some(id))
    }

    /// Returns whether the line is about the state of the system and not about a request.
    fn is_system_event(&self) -> bool {
        (2_000..2_500).contains(&self.event)
    }

    fn ending(&self) -> Option<Ending> {
        match self.event {
            2_501 | 2_605 => Some(Ending::Answered),
            2_601 if self.field("call") == Some("submit") => Some(Ending::Answered),
            2_502 => Some(Ending::Refused),
            2_602 if self.field("status") == Some("504") => Some(Ending::Failed),
            2_602 => Some(Ending::Refused),
            2_504 => Some(Ending::Failed),
            2_505 => Some(Ending::CallerLeft),
            _ => None,
        }
    }
}

impl Trace {
    /// Collects the lines about the request, job or item `id`; returns `None` if there are none.
    pub fn of(id: &str, mut lines: Vec<Line>) -> Option<Self> {
        lines.sort_by(|a, b| (a.time, &a.instance).cmp(&(b.time, &b.instance)));
        let matching: Vec<Line> = lines
            .iter()
            .filter(|line| line.refers_to(id))
            .cloned()
            .collect();
        let end = matching.iter().rev().find(|line| line.ending().is_some());
        let after = if end.is_some() {
            CONTEXT_MS
        } else {
            RESTART_CONTEXT_MS
        };
        let first = matching.first()?.time.saturating_sub(CONTEXT_MS);
        let last = matching.last()?.time + after;
        let instances: BTreeSet<&str> =
            matching.iter().map(|line| line.instance.as_str()).collect();
        let fields = ["backend", "from", "to"];
        let backends: BTreeSet<&str> = matching
            .iter()
            .flat_map(|line| fields.iter().filter_map(|name| line.field(name)))
            .collect();
        let related = |line: &Line| {
            let backend = line.field("backend");
            instances.contains(line.instance.as_str()) && backend.is_none()
                || backend.is_some_and(|backend| backends.contains(backend))
        };
        let is_context =
            |line: &&Line| (first..=last).contains(&line.time) && line.is_system_event();
        let context = lines.iter().filter(is_context).filter(|line| related(line));
        Some(Self {
            context: context.cloned().collect(),
            ending: end.and_then(Line::ending).unwrap_or(Ending::Unknown),
            cause: end.and_then(|line| line.field("cause")).map(str::to_owned),
            matching,
        })
    }
}
