//! Checked settings.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use limpetweir_state::{
    InstanceId,
    ZoneId, //
};
use snafu::Snafu;
use strum::{
    Display,
    EnumString,
    IntoStaticStr, //
};

use super::raw::{
    RawSettings,
    RawTiming, //
};

const ADDRESS: &str = "an IP address with a port, such as 127.0.0.1:8080";
const SERVICE_ADDRESS: &str = "an IP address with a port above 0, such as 127.0.0.1:8080";
const IDENTIFIER: &str = "1 to 64 of a-z, A-Z, 0-9, '-', '_' and '.'";
const DIGEST: &str = "the SHA-256 digest of the operator key as 64 hexadecimal digits";
const LEVELS: &str = "error, warn, info, debug or trace";

const DEFAULT_THREADS: i64 = 2;
const MAX_THREADS: i64 = 256;
const DEFAULT_GROUPS: i64 = 16;
const MAX_GROUPS: i64 = 4096;
/// One day; longer times are a mistake in the unit.
const MAX_TIME_MS: i64 = 24 * 3600 * 1000;

/// A field whose value is not accepted.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{field}: {found}; accepted is {accepted}"))]
pub struct FieldError {
    /// Path of the field, for example `listen.public`.
    pub field: &'static str,
    /// What was found.
    pub found: String,
    /// What is accepted.
    pub accepted: String,
}

/// Checked settings of a daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Name of the instance.
    pub name: InstanceId,
    /// Availability zone of the instance.
    pub zone: ZoneId,
    /// Address to bind for callers; port 0 lets the operating system choose.
    pub public: SocketAddr,
    /// Address to bind for other instances; port 0 lets the operating system choose.
    pub peer: SocketAddr,
    /// Address to bind for operators; port 0 lets the operating system choose.
    pub admin: SocketAddr,
    /// Address announced to callers; `None` announces the bound one.
    pub advertise_public: Option<SocketAddr>,
    /// Address announced to other instances; `None` announces the bound one.
    pub advertise_peer: Option<SocketAddr>,
    /// Address of the log service.
    pub log: SocketAddr,
    /// Address of the list service.
    pub list: SocketAddr,
    /// Digest of the operator key.
    pub operator_key: KeyDigest,
    /// Executor threads, at least 1.
    pub threads: usize,
    /// Groups of each kind, at least 1.
    pub groups: u16,
    /// Least severe level that is logged.
    pub log_level: LogLevel,
    /// Time constants.
    pub timing: Timing,
}

/// SHA-256 digest of a key.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct KeyDigest(pub [u8; 32]);

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

impl KeyDigest {
    /// Parses 64 hexadecimal digits.
    pub fn from_hex(text: &str) -> Option<Self> {
        let digits = text.as_bytes();
        if digits.len() != 64 || !digits.iter().all(u8::is_ascii_hexdigit) {
            return None;
        }
        let mut digest = [0; 32];
        for (index, byte) in digest.iter_mut().enumerate() {
            let pair = text.get(2 * index..2 * index + 2)?;
            *byte = u8::from_str_radix(pair, 16).ok()?;
        }
        Some(Self(digest))
    }
}

/// Least severe level that is logged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum LogLevel {
    /// Failures that need an operator.
    Error,
    /// Faults that the daemon handles itself.
    Warn,
    /// Changes of state.
    #[default]
    Info,
    /// Decisions about single requests.
    Debug,
    /// Everything.
    Trace,
}

/// Time constants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Pause between heartbeats.
    pub heartbeat: Duration,
    /// Time without heartbeat after which a peer is silent; above `heartbeat`.
    pub silence: Duration,
    /// Lease of an owner; above `heartbeat`.
    pub lease: Duration,
    /// Longest time without confirmation that the configuration is current; above `long_poll`.
    pub config_freshness: Duration,
    /// Longest wait of one read of the log.
    pub long_poll: Duration,
    /// Lease of a quota share; above `share_renewal`.
    pub share_lease: Duration,
    /// Pause between renewals of a quota share.
    pub share_renewal: Duration,
    /// Time for which callers keep a discovery answer.
    pub discovery_ttl: Duration,
    /// Longest graceful shutdown; above `discovery_ttl`.
    pub drain_limit: Duration,
    /// Pause between reads of the list.
    pub list_poll: Duration,
    /// Longest wait for the home of a quota.
    pub ask_timeout: Duration,
}

impl TryFrom<RawSettings> for Settings {
    type Error = FieldError;

    fn try_from(raw: RawSettings) -> Result<Self, FieldError> {
        let name = required("name", raw.name, IDENTIFIER)?;
        let zone = required("zone", raw.zone, IDENTIFIER)?;
        let threads = raw.runtime.threads.unwrap_or(DEFAULT_THREADS);
        let groups = raw.runtime.groups.unwrap_or(DEFAULT_GROUPS);
        let digest = required("operator.key_digest", raw.operator.key_digest, DIGEST)?;
        Ok(Self {
            name: InstanceId::try_from(name.as_str())
                .map_err(|_| refuse("name", &name, IDENTIFIER))?,
            zone: ZoneId::try_from(zone.as_str()).map_err(|_| refuse("zone", &zone, IDENTIFIER))?,
            public: address("listen.public", raw.listen.public)?,
            peer: address("listen.peer", raw.listen.peer)?,
            admin: address("listen.admin", raw.listen.admin)?,
            advertise_public: advertised("advertise.public", raw.advertise.public)?,
            advertise_peer: advertised("advertise.peer", raw.advertise.peer)?,
            log: service("platform.log", raw.platform.log)?,
            list: service("platform.list", raw.platform.list)?,
            operator_key: KeyDigest::from_hex(&digest)
                .ok_or_else(|| refuse("operator.key_digest", &digest, DIGEST))?,
            threads: within("runtime.threads", threads, 1, MAX_THREADS)?,
            groups: within("runtime.groups", groups, 1, MAX_GROUPS)?,
            log_level: level(raw.runtime.log_level)?,
            timing: raw.timing.try_into()?,
        })
    }
}

impl TryFrom<RawTiming> for Timing {
    type Error = FieldError;

    fn try_from(raw: RawTiming) -> Result<Self, FieldError> {
        let timing = Self {
            heartbeat: time("timing.heartbeat_ms", raw.heartbeat_ms, 250)?,
            silence: time("timing.silence_ms", raw.silence_ms, 1_500)?,
            lease: time("timing.lease_ms", raw.lease_ms, 3_000)?,
            config_freshness: time("timing.config_freshness_ms", raw.config_freshness_ms, 3_000)?,
            long_poll: time("timing.long_poll_ms", raw.long_poll_ms, 1_000)?,
            share_lease: time("timing.share_lease_ms", raw.share_lease_ms, 4_000)?,
            share_renewal: time("timing.share_renewal_ms", raw.share_renewal_ms, 500)?,
            discovery_ttl: time("timing.discovery_ttl_ms", raw.discovery_ttl_ms, 5_000)?,
            drain_limit: time("timing.drain_limit_ms", raw.drain_limit_ms, 60_000)?,
            list_poll: time("timing.list_poll_ms", raw.list_poll_ms, 500)?,
            ask_timeout: time("timing.ask_timeout_ms", raw.ask_timeout_ms, 100)?,
        };
        timing.check_order()?;
        Ok(timing)
    }
}

impl Timing {
    fn check_order(&self) -> Result<(), FieldError> {
        let heartbeat = ("timing.heartbeat_ms", self.heartbeat);
        let long_poll = ("timing.long_poll_ms", self.long_poll);
        let renewal = ("timing.share_renewal_ms", self.share_renewal);
        let ttl = ("timing.discovery_ttl_ms", self.discovery_ttl);
        above("timing.silence_ms", self.silence, heartbeat)?;
        above("timing.lease_ms", self.lease, heartbeat)?;
        above(
            "timing.config_freshness_ms",
            self.config_freshness,
            long_poll,
        )?;
        above("timing.share_lease_ms", self.share_lease, renewal)?;
        above("timing.drain_limit_ms", self.drain_limit, ttl)
    }
}

fn refuse(field: &'static str, found: impl fmt::Debug, accepted: &str) -> FieldError {
    FieldError {
        field,
        found: format!("{found:?} is not accepted"),
        accepted: accepted.to_owned(),
    }
}

fn required<T>(field: &'static str, value: Option<T>, accepted: &str) -> Result<T, FieldError> {
    value.ok_or_else(|| FieldError {
        field,
        found: "the field is missing".to_owned(),
        accepted: accepted.to_owned(),
    })
}

fn address(field: &'static str, value: Option<String>) -> Result<SocketAddr, FieldError> {
    let text = required(field, value, ADDRESS)?;
    SocketAddr::from_str(&text).map_err(|_| refuse(field, &text, ADDRESS))
}

/// Parses an address that others connect to, so port 0 is not accepted.
fn service(field: &'static str, value: Option<String>) -> Result<SocketAddr, FieldError> {
    let text = required(field, value, SERVICE_ADDRESS)?;
    let addr = SocketAddr::from_str(&text).ok().filter(|a| a.port() != 0);
    addr.ok_or_else(|| refuse(field, &text, SERVICE_ADDRESS))
}

fn advertised(
    field: &'static str,
    value: Option<String>,
) -> Result<Option<SocketAddr>, FieldError> {
    value.map(|text| service(field, Some(text))).transpose()
}

fn level(value: Option<String>) -> Result<LogLevel, FieldError> {
    let Some(text) = value else {
        return Ok(LogLevel::default());
    };
    LogLevel::from_str(&text).map_err(|_| refuse("runtime.log_level", &text, LEVELS))
}

fn within<T: TryFrom<i64>>(
    field: &'static str,
    value: i64,
    min: i64,
    max: i64,
) -> Result<T, FieldError> {
    let accepted = || format!("a whole number from {min} to {max}");
    let refused = || refuse(field, value, &accepted());
    if !(min..=max).contains(&value) {
        return Err(refused());
    }
    T::try_from(value).map_err(|_| refused())
}

fn time(field: &'static str, value: Option<i64>, default: u64) -> Result<Duration, FieldError> {
    let ms = match value {
        Some(value) => within(field, value, 1, MAX_TIME_MS)?,
        None => default,
    };
    Ok(Duration::from_millis(ms))
}

fn above(
    field: &'static str,
    value: Duration,
    (other, bound): (&'static str, Duration),
) -> Result<(), FieldError> {
    if value > bound {
        return Ok(());
    }
    let accepted = format!("a value above {other} ({})", bound.as_millis());
    Err(refuse(field, value.as_millis(), &accepted))
}
