//! Response bodies of the admin interface.

use limpetweir_state::{
    BackendId,
    Epoch,
    InstanceId,
    PublicationId,
    ServiceId,
    Version, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use strum::{
    Display,
    EnumString,
    IntoStaticStr, //
};

/// Response header of `GET /admin/config`: version of the document in the body.
pub const VERSION_HEADER: &str = "x-limpetweir-version";

/// Response body of `POST /admin/config`, with status 200 if accepted and 409 for a conflict.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublicationResponse {
    /// Outcome of the publication.
    pub outcome: PublicationOutcome,
    /// Version of the accepted document, or the current version for a conflict.
    pub version: Version,
    /// Identifier of the publication, as sent by the caller.
    pub id: PublicationId,
}

/// Outcome of a publication.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, IntoStaticStr, Serialize, Deserialize,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum PublicationOutcome {
    /// The document is the new configuration.
    Accepted,
    /// The base version was not the current one.
    Conflict,
}

/// Response body of `GET /admin/status`: state of the fleet as seen by one instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetStatus {
    /// The responding instance.
    pub instance: InstanceId,
    /// Configuration version on the responding instance.
    pub version: Version,
    /// All listed instances, including the responding one.
    pub instances: Vec<InstanceStatus>,
    /// Ownership of the groups.
    #[serde(default)]
    pub groups: Vec<GroupStatus>,
}

/// An instance in [`FleetStatus`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceStatus {
    /// Name of the instance.
    pub name: InstanceId,
    /// State of the instance.
    pub state: InstanceState,
    /// Configuration version in force on the instance; absent if none was received.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<Version>,
}

/// State of an instance as seen by another instance.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, IntoStaticStr, Serialize, Deserialize,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum InstanceState {
    /// The instance serves requests.
    Live,
    /// The instance is stopping and finishes its requests.
    Leaving,
    /// The instance is listed but unreachable: its heartbeats do not arrive in time.
    Silent,
}

/// Ownership of one group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupStatus {
    /// Kind and index of the group, such as `jobs-3`.
    pub group: String,
    /// Instance that owns the group; absent while the group has no owner.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub holder: Option<InstanceId>,
    /// Epoch of the latest claim, used as the fencing number; 0 before the first claim.
    pub epoch: Epoch,
}

/// Response body of `GET /admin/explain`: where the responding instance would route a request now.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// The responding instance.
    pub instance: InstanceId,
    /// Phase of that instance, such as `serving`.
    pub phase: String,
    /// Configuration version in force on that instance.
    pub config_version: Version,
    /// Service of the request.
    pub service: ServiceId,
    /// Quota of the organisation on that instance; `None` if the request has no organisation.
    #[serde(default)]
    pub quota: Option<ExplainedQuota>,
    /// Summary of the routing decision in one line, as in the log.
    pub reason: String,
    /// The chosen backend server; `None` if the request would be rejected.
    #[serde(default)]
    pub choice: Option<ExplainedChoice>,
    /// All backend servers of the service.
    pub considered: Vec<ExplainedBackend>,
}

/// Quota of an organisation as seen by one instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExplainedQuota {
    /// Quota group of the organisation, such as `quota-3`.
    pub group: String,
    /// Instance that owns the group; `None` while it has no owner.
    #[serde(default)]
    pub home: Option<InstanceId>,
    /// Share that the instance holds; `None` if it holds none.
    #[serde(default)]
    pub share: Option<ExplainedShare>,
}

/// Share of an organisation's limit on one instance.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExplainedShare {
    /// Requests per second.
    pub rate: f64,
    /// Capacity of the bucket, in requests.
    pub cap: f64,
    /// Tokens in the bucket: requests that are admitted now.
    pub tokens: f64,
    /// Milliseconds until the share expires.
    pub remaining_ms: u64,
}

/// The chosen backend server in an [`Explanation`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplainedChoice {
    /// Name of the backend server.
    pub backend: BackendId,
    /// Free slots before the request.
    pub free: i64,
    /// Whether it has no free slot, so that its batch manager is instructed to preempt items.
    pub full: bool,
    /// Effect of the prefix affinity on the choice, such as `used`.
    pub affinity: String,
    /// Whether it is in the zone of the responding instance.
    pub same_zone: bool,
    /// Number of servers with the same rank, including the chosen one.
    pub tied: u64,
}

/// A backend server considered in an [`Explanation`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplainedBackend {
    /// Name of the backend server.
    pub backend: BackendId,
    /// Why it is excluded from the choice, such as `leaving`; `None` if it is not.
    #[serde(default)]
    pub exclusion: Option<String>,
    /// Free slots; negative if more requests are in flight than it has slots.
    pub free: i64,
    /// Whether its load exceeds the bound relative to the mean load.
    pub overloaded: bool,
    /// Whether it is the preferred server for the prefix of the prompt.
    pub preferred: bool,
    /// Whether it is in the zone of the responding instance.
    pub same_zone: bool,
}
