//! Bodies of the admin interface.

use limpetweir_state::{
    BackendId,
    Epoch,
    InstanceId,
    PublicationId,
    ServiceId,
    Version,
    ZoneId, //
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
pub struct PublicationAnswer {
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
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// The instance that answers.
    pub instance: InstanceId,
    /// Configuration version on that instance.
    pub version: Version,
    /// Service of the request.
    pub service: ServiceId,
    /// Backend server that would get the request; absent if the request would be rejected.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub chosen: Option<BackendId>,
    /// One sentence on the choice or the rejection.
    pub reason: String,
    /// Every backend server of the service, the best first.
    pub candidates: Vec<ExplainedBackend>,
}

/// One backend server of an [`Explanation`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplainedBackend {
    /// Name of the backend server.
    pub backend: BackendId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Whether it may get the request.
    pub eligible: bool,
    /// Slots without a request; negative when more requests than slots are in flight.
    pub free_slots: i64,
    /// Whether the prefix of the prompt prefers it.
    pub prefix_affinity: bool,
    /// Whether it is in the zone of the instance that answers.
    pub same_zone: bool,
    /// One sentence on why it is chosen, passed over or excluded.
    pub reason: String,
}
