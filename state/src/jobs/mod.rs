//! Batch jobs, as a fold over a `jobs-<n>` stream.

mod event;
mod fold;
mod id;
mod job;
mod record;
mod results;

pub use event::{JobOutcome, JobsEvent};
pub use fold::{Jobs, OrganisationUsage};
pub use id::{job_group, job_id};
pub use job::{Job, JobPhase, OpenItem, Progress};
pub use record::{
    Completion, JobChange, JobRecord, NewItem, Outcome, Submission, SubmissionId, Usage,
};
pub use results::{ItemResult, ItemStatus, ResultPage};
