//! Pure state: identifiers, verdicts, buckets and folds over the log.

mod bucket;
mod configuration;
mod ids;
mod key;
mod limit;
mod time;
mod verdict;

pub use bucket::TokenBucket;
pub use configuration::{
    Access, Backend, Configuration, ConfigurationError, Key, Method, Organisation, Service,
    ServiceKind,
};
pub use ids::{
    BackendId, Epoch, GroupId, GroupKind, IdError, Incarnation, InstanceId, JobId, KeyId, ModelId,
    Offset, OrganisationId, ServiceId, Version, ZoneId,
};
pub use key::{DigestError, KeyDigest};
pub use limit::{Limit, LimitError, MAX_LIMIT, MIN_BURST, MIN_RATE};
pub use time::{Timestamp, UnixMillis};
pub use verdict::Verdict;
