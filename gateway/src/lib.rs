//! Routing of online requests and execution of batch jobs on a platform with a store.
//!
//! The modules at the root make decisions with plain values and functions; `serve` does the I/O.
//! The traits of `platform` hide the platform's names and formats.

mod admission;
mod arrivals;
mod backend;
mod backoff;
mod batch;
mod cells;
mod checked;
mod config;
mod config_freshness;
mod config_transfer;
mod crash_evidence;
mod crash_message;
mod crash_news;
mod crash_ranges;
mod evacuation;
mod event_reader;
mod fleet_rate;
mod instance;
mod item_output;
mod item_time;
mod jobs;
mod lease_message;
mod leases;
mod listing;
mod load;
mod members;
mod memory;
mod open_case;
mod open_items;
mod placement;
mod platform;
mod positions;
mod prompt;
mod quarantine;
mod quota;
mod replicas;
mod report;
mod report_ranges;
mod report_schedule;
mod request_parts;
mod return_times;
mod routing;
mod send_log;
mod serve;
mod server_limit;
mod server_limits;
mod settings;
mod shards;
mod silence;
mod skipped_records;
mod speed;
mod sse;
mod store_load;
mod store_relay;
mod supervision;
mod warm_up;

pub use admission::{
    HOLD, HoldCause, Level, MIN_USAGE, OrganisationUsage, RETURN_SHARE, ServiceKey, ShortageReport,
    Shortages, longest_return,
};
pub use arrivals::Arrivals;
pub use backend::{Backend, BackendEntry, BackendKey, Backends, LeavingSource, RunKey};
pub use batch::{
    BatchCandidate, Contenders, ItemPacing, PacingTimes, Preemption, Stop, StopCause, WaitingItem,
    choose_preemptions, choose_starts, one_slot_each, reserve,
};
pub use cells::{CellNumber, Cells, MAX_CELL_INSTANCES};
pub use checked::{Label, ListenerAddr, MAX_LABEL_BYTES, MAX_SLOTS, OutOfRange, Slots, excerpt};
pub use config::{
    BatchTerms, CallerLimits, Configuration, ConfigurationParts, MAX_VERSION, Organisation, Route,
    RouteKind, Service,
};
pub use config_freshness::ConfigFreshness;
pub use config_transfer::{ConfigFetch, ConfigSend, ConfigSends};
pub use crash_message::{CaseRecord, CaseRecordError};
pub use crash_news::{Case, Cleared, Crash, CrashKey, CrashNews};
pub use evacuation::{
    EvacuatedZones, EvacuationChange, EvacuationRecord, EvacuationReport, EvacuationSource,
    Evacuations, MAX_ZONES, ZoneChange, retry_after as evacuation_retry_after,
};
pub use event_reader::{EventReader, IncompleteOutput, InvalidOutput};
pub use instance::{Instance, InstanceRecord, InstanceRecordError};
pub use item_output::{OutputError, Progress};
pub use item_time::ItemTime;
pub use jobs::{
    CallEnd, CallLimits, Change, ChangeQueue, Decision, ItemResult, Job, JobItem, JobKey,
    LoadedPartition, NewItem, Outcome, Partition, PassedOn, Pending, PreparedCall, QueuedChange,
    RecordError, Settled, Submission, WriteError, decide,
};
pub use leases::{CLAIM_TIMEOUT, ClaimState, LeaseAck, LeaseNews, LeaseReply, LeaseState, Leases};
pub use listing::Listing;
pub use load::{Load, Placed};
pub use members::{AddressEntry, MIN_REPORT_TIMEOUT, Member, Members, ReportUpdate, addresses};
pub use memory::{ByteBudget, OverBudget, Plan, Share};
pub use open_items::{OpenItem, OpenItems, Phase, RunEnd, Step};
pub use placement::{
    Candidate, Limits, LoadSpread, Placement, Staleness, is_limited, place, place_stale,
    queue_limit, retry_after, starts_immediately,
};
pub use platform::{
    AddressQuery, CallHead, DecodeError, Dialect, Forward, ItemRequest, JobCall, MAX_KEY_BYTES,
    Page, Record, RecordRange, ResponseHead, ResultView, Store, StoreError, Topic,
};
pub use positions::{CallKind, PartitionFreshness, Position, forward_targets, runners};
pub use prompt::{PartKey, PromptParts};
pub use quarantine::{CaseChange, Hold, ItemTurn, Knowledge, Quarantine};
pub use quota::{OrganisationKey, OverQuota, Quotas, Tolerance};
pub use replicas::{ReplicaCandidates, owner, replicas};
pub use report::{BatchRun, ItemKey, Report};
pub use report_schedule::{OutgoingReport, PeerRelation, Receiver, ReportSchedule};
pub use request_parts::{RequestContent, RequestParts};
pub use return_times::ReturnTimes;
pub use routing::{Denial, Destination, destination};
pub use serve::{Gateway, StartError, check, run};
pub use server_limit::{LimitChange, StatedLimit, Statement};
pub use server_limits::{LimitReport, Permit, Purpose, ServerLimits};
pub use settings::{Settings, SettingsError, StoreSettings};
pub use shards::shard;
pub use silence::{Outputs, SILENCE};
pub use skipped_records::SkippedRecords;
pub use speed::{PaceMeter, SLOW_FACTOR, Slowness, Speeds};
pub use sse::{BlockKind, Event, InvalidEventStream, MAX_EVENT_BYTES, MAX_EVENT_NUMBER, Splitter};
pub use store_load::{Access, BeforePage, CallTarget, Outage, StoreLoad};
pub use store_relay::{
    Admission, Attempts, JobsAnswer, JobsCall, RelayError, RelayGate, RelayPeer, StoreAccess, Way,
    ways,
};
pub use supervision::{Pulse, RestartBackoff, StallTimer, steps_back};
pub use warm_up::{
    ColdReport, ColdServers, ColdSource, ColdSpan, ColdTime, MAX_COLD_RATE, MAX_COLD_TIME,
    MIN_COLD_RATE, Sender, WarmUp,
};
