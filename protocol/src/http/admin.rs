//! Bodies of the admin interface.

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

/// Response header of `GET /admin/config` with the version of the document in the body.
pub const VERSION_HEADER: &str = "x-limpetweir-version";

/// Answer of `POST /admin/config`, with status 200 when accepted and 409 for a conflict.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublicationResponse {
    /// How the publication was decided.
    pub outcome: PublicationOutcome,
    /// Version of the accepted document, or the current version for a conflict.
    pub version: Version,
    /// Identity of the publication, as sent.
    pub id: PublicationId,
}

/// How a publication was decided.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, IntoStaticStr, Serialize, Deserialize,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum PublicationOutcome {
    /// The document became the configuration.
    Accepted,
    /// The base was not the current version.
    Conflict,
}

/// Answer of `GET /admin/status`: the fleet as one instance knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetStatus {
    /// The instance that answers.
    pub instance: InstanceId,
    /// Configuration version on the instance that answers.
    pub version: Version,
    /// Every listed instance, the answering one included.
    pub instances: Vec<InstanceStatus>,
    /// Ownership of the groups.
    #[serde(default)]
    pub groups: Vec<GroupStatus>,
}

/// One instance of [`FleetStatus`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceStatus {
    /// Name of the instance.
    pub name: InstanceId,
    /// Whether the instance serves.
    pub state: InstanceState,
    /// Configuration version in force there; absent as long as none was heard.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<Version>,
}

/// State of an instance as another one sees it.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, IntoStaticStr, Serialize, Deserialize,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum InstanceState {
    /// It serves.
    Live,
    /// It is being stopped and finishes its requests.
    Leaving,
    /// It is listed but its heartbeats do not arrive.
    Silent,
}

/// Ownership of one group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupStatus {
    /// Kind and index of the group, as in `jobs-3`.
    pub group: String,
    /// Instance that owns the group; absent while the group has no owner.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub holder: Option<InstanceId>,
    /// Fencing number of the newest claim; 0 before the first one.
    pub epoch: Epoch,
}

/// Answer of `GET /admin/explain`: where the answering instance would send a request now.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// The instance that answers.
    pub instance: InstanceId,
    /// Phase of that instance, such as `serving`.
    pub phase: String,
    /// Configuration version on that instance.
    pub config_version: Version,
    /// Service of the request.
    pub service: ServiceId,
    /// Quota of the organisation on that instance; `None` if the request names no organisation.
    #[serde(default)]
    pub quota: Option<ExplainedQuota>,
    /// One line on the decision, as in the log.
    pub reason: String,
    /// The choice; `None` if the request would be rejected.
    #[serde(default)]
    pub choice: Option<ExplainedChoice>,
    /// Every backend server of the service.
    pub considered: Vec<ExplainedBackend>,
}

/// Quota of an organisation as one instance knows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExplainedQuota {
    /// Quota group of the organisation, as in `quota-3`.
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
    /// Requests that may come at once.
    pub cap: f64,
    /// Requests that may come now.
    pub tokens: f64,
    /// Milliseconds until the share expires.
    pub remaining_ms: u64,
}

/// The chosen backend server of an [`Explanation`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplainedChoice {
    /// Name of the backend server.
    pub backend: BackendId,
    /// Free slots before the request.
    pub free: i64,
    /// Whether it has no free slot, so that its batch manager is told to yield.
    pub full: bool,
    /// What the prefix of the prompt meant, such as `used`.
    pub affinity: String,
    /// Whether it is in the zone of the instance that answers.
    pub same_zone: bool,
    /// Number of servers of the same rank, the chosen one included.
    pub tied: u64,
}

/// One backend server of an [`Explanation`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplainedBackend {
    /// Name of the backend server.
    pub backend: BackendId,
    /// Why it may not get the request, such as `leaving`; `None` if it may.
    #[serde(default)]
    pub exclusion: Option<String>,
    /// Free slots; negative when more requests than slots are in flight.
    pub free: i64,
    /// Whether it has more than its part of the load.
    pub overloaded: bool,
    /// Whether the prefix of the prompt prefers it.
    pub preferred: bool,
    /// Whether it is in the zone of the instance that answers.
    pub same_zone: bool,
}
