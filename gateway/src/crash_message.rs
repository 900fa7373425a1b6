//! Encoding of what instances tell each other about crashes, and of a case in the store.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};
use snafu::{
    OptionExt,
    Snafu,
    ensure, //
};

use crate::checked::excerpt;
use crate::crash_news::{
    Case,
    Cleared,
    Crash,
    CrashKey,
    CrashNews, //
};
use crate::prompt::PartKey;

/// First byte of a message. No report begins with it, so builds that do not know these messages
/// ignore them, and the socket of the reports serves both.
const MESSAGE: u8 = 0x51;

/// Version of the encoding; messages of another version are ignored.
const WIRE_VERSION: u8 = 1;

/// Encoded form of a message; fields are identified by position to keep it small.
#[derive(Deserialize, Serialize)]
struct WireNews(u8, Vec<WireCrash>, Vec<WireCleared>, Vec<WireCase>);

/// Key, server, instance that saw it, age in milliseconds and suspects.
#[derive(Deserialize, Serialize)]
struct WireCrash(u64, String, String, u32, Vec<u64>);

/// Part and age in milliseconds.
#[derive(Deserialize, Serialize)]
struct WireCleared(u64, u32);

/// Parts, crashes, servers, age, probes and time to the next probe, both times in milliseconds.
#[derive(Deserialize, Serialize)]
struct WireCase(Vec<u64>, u32, Vec<String>, u32, u32, u32);

fn to_ms(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

fn from_ms(ms: u32) -> Duration {
    Duration::from_millis(u64::from(ms))
}

impl From<&Crash> for WireCrash {
    fn from(crash: &Crash) -> Self {
        Self(
            crash.key.0,
            crash.server.clone(),
            crash.seen_by.clone(),
            to_ms(crash.age),
            crash.suspects.iter().map(|part| part.0).collect(),
        )
    }
}

impl From<WireCrash> for Crash {
    fn from(w: WireCrash) -> Self {
        Self {
            key: CrashKey(w.0),
            server: w.1,
            seen_by: w.2,
            age: from_ms(w.3),
            suspects: w.4.into_iter().map(PartKey).collect(),
        }
    }
}

impl From<&Cleared> for WireCleared {
    fn from(cleared: &Cleared) -> Self {
        Self(cleared.part.0, to_ms(cleared.age))
    }
}

impl From<WireCleared> for Cleared {
    fn from(w: WireCleared) -> Self {
        Self {
            part: PartKey(w.0),
            age: from_ms(w.1),
        }
    }
}

impl From<&Case> for WireCase {
    fn from(case: &Case) -> Self {
        Self(
            case.parts.iter().map(|part| part.0).collect(),
            case.crashes,
            case.servers.clone(),
            to_ms(case.age),
            case.probes,
            to_ms(case.probe_in),
        )
    }
}

impl From<WireCase> for Case {
    fn from(w: WireCase) -> Self {
        Self {
            parts: w.0.into_iter().map(PartKey).collect(),
            crashes: w.1,
            servers: w.2,
            age: from_ms(w.3),
            probes: w.4,
            probe_in: from_ms(w.5),
        }
    }
}

impl CrashNews {
    /// Encodes the message.
    pub fn encode(&self) -> Vec<u8> {
        let wire = WireNews(
            WIRE_VERSION,
            self.crashes.iter().map(WireCrash::from).collect(),
            self.cleared.iter().map(WireCleared::from).collect(),
            self.cases.iter().map(WireCase::from).collect(),
        );
        let mut buf = vec![MESSAGE];
        // Writing to a vector cannot fail, and every field can be encoded.
        if ciborium::into_writer(&wire, &mut buf).is_err() {
            buf.clear();
        }
        buf
    }

    /// Decodes a message and brings its numbers into their ranges; returns `None` for invalid data,
    /// reports and other versions.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let bytes = bytes.strip_prefix(&[MESSAGE])?;
        let wire: WireNews = ciborium::from_reader(bytes).ok()?;
        if wire.0 != WIRE_VERSION {
            return None;
        }
        let news = Self {
            crashes: wire.1.into_iter().map(Crash::from).collect(),
            cleared: wire.2.into_iter().map(Cleared::from).collect(),
            cases: wire.3.into_iter().map(Case::from).collect(),
        };
        news.into_checked()
    }
}

/// Largest record of a case in bytes.
const MAX_RECORD_BYTES: usize = 8 << 10;

/// Beginning of the key of a case among the records of the instances, whose names have no slash.
const CASE_PREFIX: &str = "part/";

/// Record of a case in the store: its parts, crashes, probes, first crash and next probe, separated
/// by spaces.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CaseRecord {
    /// The case, with the times of the moment at which the record was made.
    pub case: Case,
    /// That moment in Unix milliseconds.
    pub unix_ms: u64,
}

/// A record of a case that cannot be parsed.
#[derive(Debug, PartialEq, Eq, Snafu)]
#[snafu(display("expected parts, two counts and two times, found {text:?}"))]
pub struct CaseRecordError {
    text: String,
}

impl CaseRecord {
    /// Returns the key of the record of a case.
    pub fn key(case: &Case) -> String {
        let first = case.parts.first().copied().unwrap_or(PartKey(0));
        format!("{CASE_PREFIX}{first}")
    }

    /// Returns whether a record with `key` is one of a case.
    pub fn has_key(key: &str) -> bool {
        key.starts_with(CASE_PREFIX)
    }

    /// Parses a record at the time `unix_ms`.
    pub fn parse(text: &str, unix_ms: u64) -> Result<Case, CaseRecordError> {
        let fault = CaseRecordSnafu {
            text: excerpt(text),
        };
        ensure!(text.len() <= MAX_RECORD_BYTES, fault);
        let mut fields = text.split(' ');
        let parts = fields.next().context(fault.clone())?.split(',');
        let parts: Result<_, _> = parts.map(PartKey::from_str).collect();
        let mut number = || fields.next()?.parse::<u64>().ok();
        let crashes = number().context(fault.clone())?;
        let probes = number().context(fault.clone())?;
        let since = number().context(fault.clone())?;
        let probe_at = number().context(fault.clone())?;
        let case = Case {
            parts: parts.ok().context(fault.clone())?,
            crashes: u32::try_from(crashes).unwrap_or(u32::MAX),
            servers: Vec::new(),
            age: Duration::from_millis(unix_ms.saturating_sub(since)),
            probes: u32::try_from(probes).unwrap_or(u32::MAX),
            probe_in: Duration::from_millis(probe_at.saturating_sub(unix_ms)),
        };
        case.into_checked().context(fault)
    }
}

impl fmt::Display for CaseRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let case = &self.case;
        let ms = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        for (place, part) in case.parts.iter().enumerate() {
            let separator = if place > 0 { "," } else { "" };
            write!(f, "{separator}{part}")?;
        }
        write!(
            f,
            " {} {} {} {}",
            case.crashes,
            case.probes,
            self.unix_ms.saturating_sub(ms(case.age)),
            self.unix_ms.saturating_add(ms(case.probe_in)),
        )
    }
}
