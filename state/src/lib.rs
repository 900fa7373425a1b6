//! State without I/O: identifiers, verdicts, token buckets, the checked configuration and folds
//! over log streams.

mod bucket;
mod claims;
mod configuration;
mod ids;
mod jobs;
mod key;
mod limit;
mod log;
mod publications;
mod time;
mod verdict;

pub use bucket::TokenBucket;
pub use claims::{Claim, ClaimEvent, ClaimRecord, Claims};
pub use configuration::{
    Access, Backend, Configuration, ConfigurationError, Key, Method, Organisation, Service,
    ServiceKind,
};
pub use ids::{
    BackendId, Epoch, GroupId, GroupKind, IdError, Incarnation, InstanceId, JobId, KeyId, ModelId,
    Offset, OrganisationId, PublicationId, ServiceId, Version, ZoneId,
};
pub use jobs::{
    Completion, ItemResult, ItemStatus, Job, JobChange, JobOutcome, JobPhase, JobRecord, Jobs,
    JobsEvent, NewItem, OpenItem, OrganisationUsage, Outcome, Progress, ResultPage, Submission,
    SubmissionId, Usage, job_group, job_id,
};
pub use key::{DigestError, KeyDigest};
pub use limit::{Limit, LimitError, MAX_LIMIT, MIN_BURST, MIN_RATE};
pub use log::{
    Abandoned, AdoptOutcome, AppendResult, Applied, Entry, EntryBody, EntryOutcome, Fold,
    QueueFull, Replica, ReplicaStatus, Snapshot, SnapshotError, SnapshotPart, Ticket, Writer,
    WriterId,
};
pub use publications::{Publications, Publish, PublishEvent, PublishResult};
pub use time::{Timestamp, UnixMillis};
pub use verdict::Verdict;
