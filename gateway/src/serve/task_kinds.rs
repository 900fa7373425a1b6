//! Kinds of the tasks of an instance.

use std::time::Duration;

use crate::platform::Topic;

/// Time without a step after which a reader of a topic has stopped. A read waits for up to five
/// seconds and has a time limit; one that fails because of an outage of the store is a step too.
const READER_STALL_LIMIT: Duration = Duration::from_secs(10);

/// The same for the other tasks, some of which wait for a backlog of the store to be read.
const STALL_LIMIT: Duration = Duration::from_secs(30);

/// A task that runs as long as the process, or at its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum Background {
    ReadConfiguration,
    ReadBackends,
    ReadInstances,
    /// Reads a partition of the jobs.
    #[strum(to_string = "read-jobs-{0}")]
    ReadJobs(u32),
    /// Writes changes of a partition of the jobs.
    #[strum(to_string = "write-jobs-{0}")]
    WriteJobs(u32),
    Register,
    AdoptLevels,
    SendReports,
    ReceiveReports,
    CrashNews,
    WatchPeers,
    Scheduler,
    RemoveExpiredJobs,
    WatchTasks,
}

impl Background {
    /// Returns the task that reads a topic.
    pub(crate) fn reader(topic: Topic, partition: u32) -> Self {
        match topic {
            Topic::Configuration => Self::ReadConfiguration,
            Topic::Backends => Self::ReadBackends,
            Topic::Instances => Self::ReadInstances,
            Topic::Jobs => Self::ReadJobs(partition),
        }
    }

    /// Returns whether the task ends when its work is done.
    pub(crate) fn is_finite(self) -> bool {
        self == Self::AdoptLevels
    }

    /// Returns whether routing and placement depend on what the task reads.
    pub(crate) fn is_vital_reader(self) -> bool {
        matches!(self, Self::ReadConfiguration | Self::ReadBackends)
    }

    /// Returns the time without a step after which the task stands still.
    pub(crate) fn stall_limit(self) -> Duration {
        match self {
            Self::ReadConfiguration | Self::ReadBackends | Self::ReadInstances => {
                READER_STALL_LIMIT
            }
            _ => STALL_LIMIT,
        }
    }
}

/// A task that does one thing and ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum OneShot {
    Relay,
    ItemRun,
    CatchUp,
    GiveUp,
    ConfirmLease,
    FetchConfiguration,
    CheckServer,
    StoreCase,
}
