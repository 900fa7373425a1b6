//! Validation of settings.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use limpetweir_coordination::timing::{
    CONFIG_FRESHNESS_LIMIT,
    CONFIG_LONG_POLL,
    DISCOVERY_TTL,
    HEARTBEAT_TIMEOUT,
    LIST_POLL_INTERVAL,
    MAX_DRAIN,
    QUOTA_REQUEST_TIMEOUT, //
};
use limpetweir_state::{
    InstanceId,
    KeyDigest,
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
/// One day; a longer time indicates a wrong unit.
const MAX_TIME_MS: i64 = 24 * 3600 * 1000;
/// A value below the actual retention only causes additional snapshots.
const DEFAULT_LOG_RETENTION: Duration = Duration::from_secs(3600);
const DEFAULT_PLAIN_SILENCE: Duration = Duration::from_secs(60);

/// A field with an invalid value.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{field}: {found}; expected {expected}"))]
pub struct FieldError {
    /// Path of the field, for example `listen.public`.
    pub field: &'static str,
    /// Description of the invalid value.
    pub found: String,
    /// Description of the valid values.
    pub expected: String,
}

/// Validated settings of a daemon.
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
    /// Address advertised to callers; `None` advertises the bound one.
    pub advertise_public: Option<SocketAddr>,
    /// Address advertised to other instances; `None` advertises the bound one.
    pub advertise_peer: Option<SocketAddr>,
    /// Address of the log service.
    pub log: SocketAddr,
    /// Address of the list service.
    pub list: SocketAddr,
    /// Digest of the operator key.
    pub operator_key: KeyDigest,
    /// Number of executor threads, at least 1.
    pub threads: usize,
    /// Number of groups of each kind, at least 1.
    pub groups: u16,
    /// Least severe level that is logged.
    pub log_level: LogLevel,
    /// Time constants.
    pub timing: Timing,
}

/// Least severe level that is logged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum LogLevel {
    /// Failures that need an operator.
    Error,
    /// Failures that the daemon handles itself.
    Warn,
    /// Changes of state.
    #[default]
    Info,
    /// Decisions about single requests.
    Debug,
    /// All events.
    Trace,
}

/// Time constants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Maximum wait of a long-poll read of the log; at most half the configuration freshness limit.
    pub long_poll: Duration,
    /// Delay between reads of the list.
    pub list_poll: Duration,
    /// Timeout of a quota request.
    pub quota_request_timeout: Duration,
    /// Time for which callers cache a discovery response.
    pub discovery_ttl: Duration,
    /// Maximum duration of a graceful shutdown; above `discovery_ttl` plus the heartbeat timeout.
    pub drain_limit: Duration,
    /// Retention time of the log service, or a lower bound for it; snapshots are written four times
    /// per retention time.
    pub log_retention: Duration,
    /// Maximum wait for the head of a plain service's response and for each part of its body.
    pub plain_silence: Duration,
}

impl TryFrom<RawSettings> for Settings {
    type Error = FieldError;

    fn try_from(raw: RawSettings) -> Result<Self, FieldError> {
        let name = required("name", raw.name, IDENTIFIER)?;
        let zone = required("zone", raw.zone, IDENTIFIER)?;
        let threads = raw.runtime.threads.unwrap_or(DEFAULT_THREADS);
        let groups = raw.runtime.groups.unwrap_or(DEFAULT_GROUPS);
        let digest = key_digest(raw.operator.key_digest)?;
        Ok(Self {
            name: InstanceId::try_from(name.as_str())
                .map_err(|_| invalid_value("name", &name, IDENTIFIER))?,
            zone: ZoneId::try_from(zone.as_str())
                .map_err(|_| invalid_value("zone", &zone, IDENTIFIER))?,
            public: parse_address("listen.public", raw.listen.public)?,
            peer: parse_address("listen.peer", raw.listen.peer)?,
            admin: parse_address("listen.admin", raw.listen.admin)?,
            advertise_public: parse_advertised("advertise.public", raw.advertise.public)?,
            advertise_peer: parse_advertised("advertise.peer", raw.advertise.peer)?,
            log: parse_service_address("platform.log", raw.platform.log)?,
            list: parse_service_address("platform.list", raw.platform.list)?,
            operator_key: digest,
            threads: check_range("runtime.threads", threads, 1, MAX_THREADS)?,
            groups: check_range("runtime.groups", groups, 1, MAX_GROUPS)?,
            log_level: parse_log_level(raw.runtime.log_level)?,
            timing: raw.timing.try_into()?,
        })
    }
}

impl TryFrom<RawTiming> for Timing {
    type Error = FieldError;

    fn try_from(raw: RawTiming) -> Result<Self, FieldError> {
        let ttl = parse_millis(
            "timing.discovery_ttl_ms",
            raw.discovery_ttl_ms,
            DISCOVERY_TTL,
        )?;
        let drain = parse_millis("timing.drain_limit_ms", raw.drain_limit_ms, MAX_DRAIN)?;
        // A graceful shutdown starts to wait for running requests only after this time.
        check_above(
            "timing.drain_limit_ms",
            drain,
            "timing.discovery_ttl_ms plus the heartbeat timeout",
            ttl + HEARTBEAT_TIMEOUT,
        )?;
        Ok(Self {
            long_poll: long_poll(raw.long_poll_ms)?,
            list_poll: parse_millis("timing.list_poll_ms", raw.list_poll_ms, LIST_POLL_INTERVAL)?,
            quota_request_timeout: parse_millis(
                "timing.ask_timeout_ms",
                raw.ask_timeout_ms,
                QUOTA_REQUEST_TIMEOUT,
            )?,
            discovery_ttl: ttl,
            drain_limit: drain,
            log_retention: parse_millis(
                "timing.log_retention_ms",
                raw.log_retention_ms,
                DEFAULT_LOG_RETENTION,
            )?,
            plain_silence: parse_millis(
                "timing.plain_silence_ms",
                raw.plain_silence_ms,
                DEFAULT_PLAIN_SILENCE,
            )?,
        })
    }
}

/// Validates the maximum wait of a long-poll read.
///
/// A read confirms the state at the time it was sent. If a read could wait as long as the freshness
/// limit, its confirmation would already be expired when it returns.
fn long_poll(value: Option<i64>) -> Result<Duration, FieldError> {
    const FIELD: &str = "timing.long_poll_ms";
    let wait = parse_millis(FIELD, value, CONFIG_LONG_POLL)?;
    let limit = CONFIG_FRESHNESS_LIMIT / 2;
    if wait <= limit {
        return Ok(wait);
    }
    let expected = format!("a whole number from 1 to {}", limit.as_millis());
    Err(invalid_value(FIELD, wait.as_millis(), &expected))
}

fn invalid_value(field: &'static str, found: impl fmt::Debug, expected: &str) -> FieldError {
    FieldError {
        field,
        found: format!("{found:?} is not accepted"),
        expected: expected.to_owned(),
    }
}

fn required<T>(field: &'static str, value: Option<T>, expected: &str) -> Result<T, FieldError> {
    value.ok_or_else(|| FieldError {
        field,
        found: "the field is missing".to_owned(),
        expected: expected.to_owned(),
    })
}

/// Parses the digest. Errors omit the text, because it may be a key pasted by mistake.
fn key_digest(value: Option<String>) -> Result<KeyDigest, FieldError> {
    const FIELD: &str = "operator.key_digest";
    let text = required(FIELD, value, DIGEST)?;
    KeyDigest::from_hex(&text).map_err(|_| FieldError {
        field: FIELD,
        found: format!("the text of {} bytes is not accepted", text.len()),
        expected: DIGEST.to_owned(),
    })
}

fn parse_address(field: &'static str, value: Option<String>) -> Result<SocketAddr, FieldError> {
    let text = required(field, value, ADDRESS)?;
    SocketAddr::from_str(&text).map_err(|_| invalid_value(field, &text, ADDRESS))
}

/// Parses an address that other processes connect to; port 0 is invalid.
fn parse_service_address(
    field: &'static str,
    value: Option<String>,
) -> Result<SocketAddr, FieldError> {
    let text = required(field, value, SERVICE_ADDRESS)?;
    let addr = SocketAddr::from_str(&text).ok().filter(|a| a.port() != 0);
    addr.ok_or_else(|| invalid_value(field, &text, SERVICE_ADDRESS))
}

fn parse_advertised(
    field: &'static str,
    value: Option<String>,
) -> Result<Option<SocketAddr>, FieldError> {
    value
        .map(|text| parse_service_address(field, Some(text)))
        .transpose()
}

fn parse_log_level(value: Option<String>) -> Result<LogLevel, FieldError> {
    let Some(text) = value else {
        return Ok(LogLevel::default());
    };
    LogLevel::from_str(&text).map_err(|_| invalid_value("runtime.log_level", &text, LEVELS))
}

fn check_range<T: TryFrom<i64>>(
    field: &'static str,
    value: i64,
    min: i64,
    max: i64,
) -> Result<T, FieldError> {
    let expected = || format!("a whole number from {min} to {max}");
    let error = || invalid_value(field, value, &expected());
    if !(min..=max).contains(&value) {
        return Err(error());
    }
    T::try_from(value).map_err(|_| error())
}

fn parse_millis(
    field: &'static str,
    value: Option<i64>,
    default: Duration,
) -> Result<Duration, FieldError> {
    let Some(value) = value else {
        return Ok(default);
    };
    let ms = check_range(field, value, 1, MAX_TIME_MS)?;
    Ok(Duration::from_millis(ms))
}

fn check_above(
    field: &'static str,
    value: Duration,
    other: &'static str,
    bound: Duration,
) -> Result<(), FieldError> {
    if value > bound {
        return Ok(());
    }
    let expected = format!("a value above {other} ({})", bound.as_millis());
    Err(invalid_value(field, value.as_millis(), &expected))
}
