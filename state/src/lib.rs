//! Pure state: identifiers, verdicts, buckets and folds over the log.

mod ids;
mod time;
mod verdict;

pub use ids::{
    BackendId, Epoch, GroupId, GroupKind, IdError, Incarnation, InstanceId, JobId, ModelId, Offset,
    OrganisationId, ServiceId, Version, ZoneId,
};
pub use time::{Timestamp, UnixMillis};
pub use verdict::Verdict;
