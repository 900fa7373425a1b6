//! JSON bodies of the HTTP interfaces.

mod addresses;
mod admin;
mod error;
mod jobs;
mod list;
mod log_service;

pub use addresses::{AddressEntry, Addresses};
pub use admin::{
    ExplainedBackend, ExplainedChoice, ExplainedQuota, ExplainedShare, Explanation, FleetStatus,
    GroupStatus, InstanceState, InstanceStatus, PublicationOutcome, PublicationResponse,
    VERSION_HEADER,
};
pub use error::{ApiError, ErrorBody, ErrorKind, VERDICT_HEADER};
pub use jobs::{
    ItemOutcome, ItemResult, ItemUsage, JobAccepted, JobItem, JobRequest, JobRequestError,
    JobResults, JobState, JobStatus, MAX_JOB_ITEMS, RawJobRequest,
};
pub use list::{BackendEntry, InstanceEntry, ListResponse, MemberState};
pub use log_service::{AppendResponse, ReadResponse, RecordBody, TrimmedResponse};
