//! Routed requests and batch jobs on a platform with a store.
//!
//! Decisions are plain values and functions of the modules at the root; `serve` does the input and
//! output. The platform's names and formats are behind the traits of `platform`.

mod backend;
mod batch;
mod cells;
mod config;
mod config_fetch;
mod instance;
mod item_time;
mod jobs;
mod load;
mod members;
mod open_items;
mod placement;
mod platform;
mod positions;
mod quota;
mod replicas;
mod report;
mod report_schedule;
mod serve;
mod settings;
mod speed;
mod sse;

pub use backend::{Backend, BackendEntry, BackendKey, Backends};
pub use batch::{Contenders, Room, Waiting, reserve, starts, yields};
pub use cells::{CellNumber, Cells, ONE_CELL};
pub use config::{
    BatchTerms, CallerLimits, Configuration, ConfigurationParts, Organisation, Route, RouteKind,
    Service,
};
pub use config_fetch::ConfigFetch;
pub use instance::{Instance, InstanceRecord, InstanceRecordError};
pub use item_time::ItemTime;
pub use jobs::{
    Change, Decision, Job, JobItem, JobKey, Listed, NewItem, Outcome, Partition, Pending,
    RecordError, Submission, decide,
};
pub use load::{Load, Placed};
pub use members::{Entry, Heard, Member, Members, SILENCE, addresses};
pub use open_items::{OpenItem, OpenItems, Phase, Progress, RunEnd, Step};
pub use placement::{Candidate, Limits, Placement, place, retry_after, starts_at_once};
pub use platform::{
    AddressQuery, AnswerHead, Batch, CallHead, DecodeError, Dialect, Forward, ItemRequest, JobCall,
    Page, Record, ResultView, Store, StoreError, Topic,
};
pub use positions::{CallKind, Currency, Position, better_peers, runners};
pub use quota::{OrganisationKey, OverQuota, Quotas, Tolerance};
pub use replicas::{holders, owner};
pub use report::{BatchRun, ItemKey, Report};
pub use report_schedule::{Audiences, Pair, Receiver, Told};
pub use serve::{Gateway, StartError, check, run};
pub use settings::{Settings, SettingsError, StoreSettings};
pub use speed::{SLOW, Slowness, Speeds};
pub use sse::{Event, NotEvents, Splitter};
