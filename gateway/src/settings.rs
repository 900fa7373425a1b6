//! Settings of an instance.

use std::net::{
    IpAddr,
    SocketAddr, //
};
use std::time::Duration;

use log::LevelFilter;
use serde::Deserialize;
use snafu::{
    ResultExt,
    Snafu, //
};

use crate::batch::Preemption;
use crate::checked::{
    Label,
    ListenerAddr,
    is_machine, //
};
use crate::instance::Instance;
use crate::jobs::RESULT_OVERHEAD_BYTES;
use crate::quota::Tolerance;

/// Error in the settings.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file is not valid TOML or does not have the expected fields.
    #[snafu(display("{file}: {source}"))]
    Syntax {
        /// Name of the file.
        file: String,
        /// Parse error with its position.
        source: toml::de::Error,
    },
    /// A value is not allowed.
    #[snafu(display("{file}: {field}: {reason}"))]
    Value {
        /// Name of the file.
        file: String,
        /// Name of the field.
        field: &'static str,
        /// Allowed values.
        reason: String,
    },
}

/// Validated settings.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the instance, unique on the platform.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Address of the machine.
    pub address: IpAddr,
    /// Processor of the machine in thousandths of a core.
    pub capacity: u32,
    /// Memory of the process in bytes.
    pub memory: usize,
    /// Descriptors of the machine.
    pub descriptors: usize,
    /// Listener for callers.
    pub public: SocketAddr,
    /// Listener for readiness checks.
    pub readiness: SocketAddr,
    /// Listener for address queries.
    pub directory: SocketAddr,
    /// Listener for metrics.
    pub metrics: SocketAddr,
    /// Port for reports and fetches between instances; the same on all machines.
    pub peer_port: u16,
    /// Other machines of the system, contacted while the store is unavailable.
    pub seeds: Vec<IpAddr>,
    /// The store.
    pub store: StoreSettings,
    /// How long callers cache a directory response.
    pub address_lifetime: Duration,
    /// Time after the stop signal at which the process is killed.
    pub grace: Duration,
    /// How long results of a job are kept after its submission.
    pub result_retention: Duration,
    /// Tolerance of the organisations' rate limits.
    pub tolerance: Tolerance,
    /// Whether requests and items are held back while others that come first find no room.
    pub admission_by_priority: bool,
    /// When items are stopped for online requests.
    pub preemption: Preemption,
    /// Whether the choice of a server takes the age of the counts into account.
    pub spread_stale_load: bool,
    /// Lowest level of log lines that are written.
    pub log_level: LevelFilter,
}

/// Store settings.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreSettings {
    /// Its address.
    pub addr: SocketAddr,
    /// Partitions over which the jobs are spread, at least 1. Each partition costs every instance a
    /// permanently waiting read, and accepts 250 appends per second.
    pub partitions: u32,
    /// Largest record in bytes.
    pub record_bytes: usize,
    /// Largest total size of the records of one call in bytes.
    pub call_bytes: usize,
    /// Timeout for a connection.
    pub connect_timeout: Duration,
    /// Timeout for a response.
    pub timeout: Duration,
}

/// Timeout for a connection to the store, which connects within milliseconds; a longer one would
/// only delay the next attempt.
const STORE_CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// Timeout for a response of the store: several times the response time of a store that is fifty
/// times slower than usual.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Added to the configured retention of results after a submission, as a margin for clock skew.
const RESULT_RETENTION_MARGIN: Duration = Duration::from_secs(10);

/// Largest file in bytes. A running instance parses the file again after each change, on the thread
/// that serves requests.
const MAX_BYTES: usize = 64 << 10;
/// Largest number of partitions; each costs a permanently waiting read.
const MAX_PARTITIONS: u32 = 1_024;
/// Longest time for which callers cache addresses: a day.
const MAX_ADDRESS_LIFETIME_S: u64 = 24 * 3_600;
/// Longest retention of results: a year.
const MAX_RESULT_RETENTION_S: u64 = 366 * 24 * 3_600;

/// Memory of the process in megabytes without a setting.
const DEFAULT_MEMORY_MB: u32 = 256;
/// Smallest memory of a process in megabytes; one without requests has a tenth of that.
const MIN_MEMORY_MB: u32 = 64;
/// Descriptors of a machine without a setting.
const DEFAULT_DESCRIPTORS: u32 = 4_096;
/// Smallest number of descriptors; fewer leave none for callers beside files, peers and the store.
const MIN_DESCRIPTORS: u32 = 400;

#[derive(Deserialize)]
struct Raw {
    name: String,
    zone: String,
    address: IpAddr,
    #[serde(default)]
    machine: RawMachine,
    listen: RawListen,
    #[serde(default)]
    seeds: Vec<SocketAddr>,
    store: RawStore,
    stop: RawStop,
    jobs: RawJobs,
    #[serde(default)]
    quota: RawQuota,
    #[serde(default)]
    admission: RawAdmission,
    #[serde(default)]
    batch: RawBatch,
    #[serde(default)]
    placement: RawPlacement,
    #[serde(default)]
    log: RawLog,
}

#[derive(Deserialize)]
#[serde(default)]
struct RawMachine {
    /// Fraction of a core that the process may use.
    cpu_share: f64,
    /// Speed of the core relative to a usual one.
    cores: f64,
    /// Memory of the process in megabytes; one that exceeds it is killed.
    memory_mb: u32,
    /// Descriptors of the machine, including those that the platform reserves for files.
    descriptors: u32,
}

impl Default for RawMachine {
    fn default() -> Self {
        Self {
            cpu_share: 1.0,
            cores: 1.0,
            memory_mb: DEFAULT_MEMORY_MB,
            descriptors: DEFAULT_DESCRIPTORS,
        }
    }
}

#[derive(Deserialize)]
struct RawListen {
    public: SocketAddr,
    readiness: SocketAddr,
    directory: SocketAddr,
    metrics_port: u16,
    peer_port: u16,
    address_lifetime_s: u64,
}

#[derive(Deserialize)]
struct RawStore {
    address: SocketAddr,
    partitions: u32,
    record_bytes: usize,
    call_bytes: usize,
}

#[derive(Deserialize)]
struct RawStop {
    grace_s: f64,
}

#[derive(Deserialize)]
struct RawJobs {
    result_retention_s: u64,
}

#[derive(Deserialize)]
#[serde(default)]
struct RawQuota {
    /// Window of the tolerance, in seconds.
    window_s: f64,
    /// Allowed excess as a fraction of the limit.
    overshoot: f64,
    /// Additional allowed excess in requests.
    slack: f64,
}

impl Default for RawQuota {
    fn default() -> Self {
        let Tolerance {
            window,
            overshoot,
            slack,
        } = Tolerance::default();
        Self {
            window_s: window.as_secs_f64(),
            overshoot,
            slack,
        }
    }
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct RawAdmission {
    /// Whether requests and items are held back while others that come first find no room.
    by_priority: bool,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct RawBatch {
    preemption: Preemption,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct RawPlacement {
    /// Whether the choice of a server takes the age of the counts into account.
    spread_stale_load: bool,
}

#[derive(Deserialize)]
struct RawLog {
    level: String,
}

impl Default for RawLog {
    fn default() -> Self {
        Self {
            level: "info".to_owned(),
        }
    }
}

impl StoreSettings {
    /// Returns the largest text of a result in bytes: its record holds nothing else but short fields.
    pub fn max_text_bytes(&self) -> usize {
        self.record_bytes.saturating_sub(RESULT_OVERHEAD_BYTES)
    }
}

impl Settings {
    /// Returns this instance as an input of work distribution.
    pub fn instance(&self) -> Instance<'_> {
        Instance {
            name: &self.name,
            zone: &self.zone,
            capacity: self.capacity,
        }
    }

    /// Parses and validates the settings in `text`, the content of `file`; unknown fields are
    /// ignored.
    pub fn load(file: &str, text: &str) -> Result<Self, SettingsError> {
        let value = |field, reason: String| SettingsError::Value {
            file: file.to_owned(),
            field,
            reason,
        };
        if text.len() > MAX_BYTES {
            let reason = format!("must be at most {MAX_BYTES} bytes");
            return Err(value("length", reason));
        }
        let raw: Raw = toml::from_str(text).context(SyntaxSnafu { file })?;
        if raw.name.is_empty() {
            return Err(value("name", "must not be empty".to_owned()));
        }
        // The other instances ignore the reports of one with other values.
        let label = |field, text: &str| {
            let label = Label::try_from(text.to_owned());
            label.map_err(|err| value(field, err.to_string()))
        };
        label("name", &raw.name)?;
        label("zone", &raw.zone)?;
        if !is_machine(raw.address) {
            let reason = "must be the address of a machine".to_owned();
            return Err(value("address", reason));
        }
        let listener = |field, addr: SocketAddr| {
            let listener = ListenerAddr::try_from(addr);
            listener.map_err(|err| value(field, err.to_string()))
        };
        listener("listen.public", raw.listen.public)?;
        listener("store.address", raw.store.address)?;
        let cores = raw.machine.cpu_share * raw.machine.cores;
        if !(0.001..=1_000.0).contains(&cores) {
            let reason = "multiplied by machine.cores must be 0.001 to 1000".to_owned();
            return Err(value("machine.cpu_share", reason));
        }
        if raw.machine.memory_mb < MIN_MEMORY_MB {
            let reason = format!("must be at least {MIN_MEMORY_MB}");
            return Err(value("machine.memory_mb", reason));
        }
        if raw.machine.descriptors < MIN_DESCRIPTORS {
            let reason = format!("must be at least {MIN_DESCRIPTORS}");
            return Err(value("machine.descriptors", reason));
        }
        if !(1..=MAX_PARTITIONS).contains(&raw.store.partitions) {
            let reason = format!("must be 1 to {MAX_PARTITIONS}");
            return Err(value("store.partitions", reason));
        }
        if raw.store.record_bytes < 4_096 || raw.store.call_bytes < raw.store.record_bytes {
            let reason = "must be at least 4096 and at most store.call_bytes".to_owned();
            return Err(value("store.record_bytes", reason));
        }
        if !(1.0..=3_600.0).contains(&raw.stop.grace_s) {
            return Err(value("stop.grace_s", "must be 1 to 3600".to_owned()));
        }
        if !(1..=MAX_ADDRESS_LIFETIME_S).contains(&raw.listen.address_lifetime_s) {
            let reason = format!("must be 1 to {MAX_ADDRESS_LIFETIME_S}");
            return Err(value("listen.address_lifetime_s", reason));
        }
        if raw.jobs.result_retention_s > MAX_RESULT_RETENTION_S {
            let reason = format!("must be at most {MAX_RESULT_RETENTION_S}");
            return Err(value("jobs.result_retention_s", reason));
        }
        let quota = &raw.quota;
        if !(0.1..=3_600.0).contains(&quota.window_s) {
            return Err(value("quota.window_s", "must be 0.1 to 3600".to_owned()));
        }
        if !(0.0..=10.0).contains(&quota.overshoot) || !(0.0..=1e9).contains(&quota.slack) {
            let reason = "must be 0 to 10, and quota.slack 0 to 1000000000".to_owned();
            return Err(value("quota.overshoot", reason));
        }
        let level = raw.log.level.parse().map_err(|_| {
            let reason = format!(
                "{:?} is none of off, error, warn, info, debug",
                raw.log.level
            );
            value("log.level", reason)
        })?;
        Ok(Self {
            name: raw.name,
            zone: raw.zone,
            address: raw.address,
            // The range was checked above, so the value fits.
            capacity: (cores * 1_000.0).round() as u32,
            memory: raw.machine.memory_mb as usize * 1_000_000,
            descriptors: raw.machine.descriptors as usize,
            public: raw.listen.public,
            readiness: raw.listen.readiness,
            directory: raw.listen.directory,
            metrics: SocketAddr::new(raw.address, raw.listen.metrics_port),
            peer_port: raw.listen.peer_port,
            seeds: raw.seeds.iter().map(SocketAddr::ip).collect(),
            store: StoreSettings {
                addr: raw.store.address,
                partitions: raw.store.partitions,
                record_bytes: raw.store.record_bytes,
                call_bytes: raw.store.call_bytes,
                connect_timeout: STORE_CONNECT_TIMEOUT,
                timeout: STORE_TIMEOUT,
            },
            address_lifetime: Duration::from_secs(raw.listen.address_lifetime_s),
            grace: Duration::from_secs_f64(raw.stop.grace_s),
            result_retention: Duration::from_secs(raw.jobs.result_retention_s)
                + RESULT_RETENTION_MARGIN,
            tolerance: Tolerance {
                window: Duration::from_secs_f64(raw.quota.window_s),
                overshoot: raw.quota.overshoot,
                slack: raw.quota.slack,
            },
            admission_by_priority: raw.admission.by_priority,
            preemption: raw.batch.preemption,
            spread_stale_load: raw.placement.spread_stale_load,
            log_level: level,
        })
    }
}
