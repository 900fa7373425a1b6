//! TOML form of a plan, before validation.

use serde::{
    Deserialize,
    Serialize, //
};
use strum::Display;

/// A plan of a day, before validation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawPlan {
    /// The `[day]` table.
    pub day: RawDay,
    /// The `[instances]` table.
    pub instances: RawInstances,
    /// The `[[class]]` tables.
    pub class: Vec<RawClass>,
    /// The `[[organisation]]` tables.
    pub organisation: Vec<RawOrganisation>,
    /// The `[[servers]]` tables.
    pub servers: Vec<RawServers>,
    /// The `[[load]]` tables.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub load: Vec<RawLoad>,
}

/// The `[day]` table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawDay {
    /// Time in which requests arrive, in seconds.
    pub length_s: f64,
    /// Time after the length in which requests may still finish, in seconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub finish_s: Option<f64>,
}

/// The `[instances]` table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawInstances {
    /// Number of instances.
    pub count: u32,
    /// One-way delay between a caller and an instance, in milliseconds.
    pub caller_delay_ms: f64,
    /// One-way delay between an instance and a backend server, in milliseconds.
    pub server_delay_ms: f64,
}

/// Kind of work of a class.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum WorkKind {
    /// Online requests with a streamed response.
    Stream,
    /// Jobs of items.
    Batch,
}

/// A number that varies from request to request.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawAmount {
    /// Mean.
    pub mean: f64,
    /// Standard deviation as a share of the mean.
    #[serde(default)]
    pub spread: f64,
    /// Largest value.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max: Option<f64>,
}

/// A `[[class]]` table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawClass {
    /// Name.
    pub name: String,
    /// Rank; 0 is the most urgent one.
    pub priority: u8,
    /// Kind of work.
    pub kind: WorkKind,
    /// Pairs of a second and the rate from then on; a class `batch` has a rate of jobs.
    pub rate: Vec<[f64; 2]>,
    /// Period after which the steps start again, in seconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub repeat_s: Option<f64>,
    /// Latest time of the first event, in milliseconds; kind `stream` only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub target_ms: Option<f64>,
    /// Longest pause between events, in milliseconds; kind `stream` only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pause_ms: Option<f64>,
    /// Time after which a request is worth nothing, in milliseconds.
    pub deadline_ms: f64,
    /// Worth of a request of mean size that is on time.
    pub worth: f64,
    /// Worth of a request of mean size that is late.
    pub late_worth: f64,
    /// Tokens of a prompt.
    pub prompt_tokens: RawAmount,
    /// Tokens of the prompt that a server may have in its cache.
    #[serde(default)]
    pub cached_tokens: u32,
    /// Events of a response.
    pub output_events: RawAmount,
    /// Decode steps, and tokens, per event.
    #[serde(default = "one")]
    pub tokens_per_event: u32,
    /// Most retries of a caller.
    #[serde(default)]
    pub retries: u32,
    /// Items per job; kind `batch` only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub items: Option<RawAmount>,
    /// Time from the arrival of a job to the time its items are due, in seconds; kind `batch` only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub due_s: Option<f64>,
}

fn one() -> u32 {
    1
}

/// An `[[organisation]]` table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawOrganisation {
    /// Name.
    pub name: String,
    /// Part of the traffic, relative to the sum of all shares.
    pub share: f64,
    /// Limit over the whole fleet, in requests per second.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rate: Option<f64>,
    /// Burst of the limit, in requests.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub burst: Option<f64>,
}

/// A `[[servers]]` table: backend servers of one kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawServers {
    /// Name.
    pub name: String,
    /// Number of servers.
    pub count: u32,
    /// Requests that run at once.
    pub slots: u32,
    /// Requests that may wait.
    pub queue: u32,
    /// Duration of a decode step, in milliseconds.
    pub step_ms: f64,
    /// Additional duration of a step per running request, in milliseconds.
    #[serde(default)]
    pub step_ms_per_running: f64,
    /// Tokens of prompts read per millisecond.
    pub prompt_tokens_per_ms: f64,
    /// Memory for the tokens of running requests.
    pub memory_tokens: u32,
    /// Times at which some servers are slow.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub slow: Vec<RawSlowSpan>,
}

/// A `[[servers.slow]]` table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawSlowSpan {
    /// Part of the servers.
    pub share: f64,
    /// Factor of all times.
    pub factor: f64,
    /// Start, in seconds.
    pub from_s: f64,
    /// End, in seconds.
    pub to_s: f64,
}

/// Kind of a load pattern.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum LoadKind {
    /// More requests of a class or of all classes.
    Burst,
    /// More requests of one organisation.
    HotOrganisation,
    /// Slow backend servers in all groups.
    SlowServers,
}

/// A `[[load]]` table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawLoad {
    /// Kind.
    pub kind: LoadKind,
    /// Name of a class, or `all`; kind `burst` only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub class: Option<String>,
    /// Name of an organisation; kind `hot-organisation` only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub organisation: Option<String>,
    /// Part of the servers; kind `slow-servers` only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub share: Option<f64>,
    /// Factor of the rate or of the times.
    pub factor: f64,
    /// Start, in seconds.
    pub from_s: f64,
    /// End, in seconds.
    pub to_s: f64,
}
