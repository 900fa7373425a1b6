//! The report that each instance sends to its peers, and its encoding.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{
    Deserialize,
    Serialize, //
};
use xxhash_rust::xxh3::xxh3_64;

use crate::admission::{
    ShortageReport,
    WireShortage, //
};
use crate::backend::{
    BackendKey,
    RunKey, //
};
use crate::evacuation::{
    EvacuationReport,
    WireEvacuations, //
};
use crate::positions::Position;
use crate::quota::OrganisationKey;
use crate::report_ranges::MAX_REPORT_BYTES;
use crate::server_limits::LimitReport;
use crate::warm_up::ColdReport;

/// Version of the encoding; reports of another version are ignored.
const WIRE_VERSION: u8 = 4;

/// Size in bytes of the buffer of the decoder, through which texts pass in parts. The default of 4 KiB
/// is cleared for each report, which takes longer than the decoding of most fields.
const DECODER_BUFFER_BYTES: usize = 256;

/// Hash of an item's identity, the same on all instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ItemKey(pub u64);

impl ItemKey {
    /// Returns the key of the item at `index` of `job`.
    pub fn of(job: &str, index: usize) -> Self {
        Self(xxh3_64(format!("{job}/{index}").as_bytes()))
    }
}

/// Run of an item at an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BatchRun {
    /// The item.
    pub item: ItemKey,
    /// Backend server on which it runs.
    pub backend: BackendKey,
    /// Deadline in Unix milliseconds.
    pub due: u64,
}

/// State of an instance as sent to its peers.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// Name of the instance.
    pub name: String,
    /// Start time of the instance in Unix milliseconds.
    pub boot: u64,
    /// Number of the report since the start.
    pub sequence: u64,
    /// Longest time to the next report for the same receiver, in milliseconds.
    pub next_ms: u32,
    /// Whether the instance accepts requests.
    pub ready: bool,
    /// Whether the instance is about to stop.
    pub leaving: bool,
    /// Whether its reader of the configuration or of the backend servers has stopped.
    pub stalled: bool,
    /// Availability zone.
    pub zone: String,
    /// Address for callers.
    pub public: SocketAddr,
    /// Processor of the machine in thousandths of a core.
    pub capacity: u32,
    /// Version of the configuration in force at the instance; 0 without one.
    pub version: u64,
    /// Online requests that the instance has at each backend server.
    pub online: Vec<(BackendKey, u32)>,
    /// Items that the instance runs.
    pub batch: Vec<BatchRun>,
    /// Items that are not running and of which the instance has output.
    pub held: Vec<ItemKey>,
    /// Open items that wait at the instance.
    pub waiting: u32,
    /// Those of them that can still meet their deadlines.
    pub waiting_in_time: u32,
    /// Requests admitted since the start, by organisation.
    pub admitted: Vec<(OrganisationKey, u64)>,
    /// Backend servers unresponsive to the instance, with the remaining time of the suspicion in
    /// milliseconds.
    pub suspects: Vec<(BackendKey, u32)>,
    /// Backend servers that are draining or were removed recently.
    pub leaving_backends: Vec<BackendKey>,
    /// Read positions in the partitions of the jobs of which the instance is a replica.
    pub positions: Vec<Position>,
    /// Limited backend servers and what the instance has sent to them; `None` in reports of older
    /// builds, which do not keep to limits.
    pub limits: Option<Vec<LimitReport>>,
    /// Runs of backend servers whose responses said that they leave.
    pub leaving_runs: Vec<RunKey>,
    /// Evacuated zones; `None` in reports of older builds, which evacuate none.
    pub evacuations: Option<EvacuationReport>,
    /// Whether the store answers the instance, so that it can make calls for peers.
    pub store_answers: bool,
    /// Services at which the instance has just refused requests for want of room.
    pub shortages: Vec<ShortageReport>,
    /// Cold backend servers to which the instance has sent lately, or which have told it that they are
    /// cold.
    pub cold: Vec<ColdReport>,
}

/// Encoded form of a report; fields are identified by position to keep it small.
#[derive(Deserialize, Serialize)]
struct Wire(
    u8,
    String,
    u64,
    u64,
    u8,
    String,
    SocketAddr,
    u64,
    Vec<(u32, u32)>,
    Vec<(u64, u32, u64)>,
    Vec<u64>,
    u32,
    Vec<(u32, u64)>,
    Vec<(u32, u32)>,
    Vec<(u32, u64, bool)>,
    u32,
    Vec<u32>,
    u32,
    u32,
    #[serde(default)] Option<Vec<WireLimit>>,
    #[serde(default)] Vec<u32>,
    #[serde(default)] Option<WireEvacuations>,
    #[serde(default)] Vec<WireShortage>,
    #[serde(default)] Vec<WireCold>,
);

/// Run, remaining time in milliseconds, and requests sent.
#[derive(Deserialize, Serialize)]
struct WireCold(u32, u32, u64);

impl From<&ColdReport> for WireCold {
    fn from(r: &ColdReport) -> Self {
        let remaining_ms = u32::try_from(r.remaining.as_millis()).unwrap_or(u32::MAX);
        Self(r.run.0, remaining_ms, r.sent)
    }
}

impl From<WireCold> for ColdReport {
    fn from(w: WireCold) -> Self {
        Self {
            run: RunKey(w.0),
            remaining: Duration::from_millis(u64::from(w.1)),
            sent: w.2,
        }
    }
}

/// Run, requests per second, age in milliseconds, and requests sent.
#[derive(Deserialize, Serialize)]
struct WireLimit(u32, Option<f64>, u32, u64);

impl From<&LimitReport> for WireLimit {
    fn from(r: &LimitReport) -> Self {
        let age_ms = u32::try_from(r.age.as_millis()).unwrap_or(u32::MAX);
        Self(r.run.0, r.rate, age_ms, r.sent)
    }
}

impl From<WireLimit> for LimitReport {
    fn from(w: WireLimit) -> Self {
        Self {
            run: RunKey(w.0),
            rate: w.1,
            age: Duration::from_millis(u64::from(w.2)),
            sent: w.3,
        }
    }
}

/// Flag of a ready instance.
const READY: u8 = 1;
/// Flag of a leaving instance.
const LEAVING: u8 = 2;
/// Flag of an instance whose reader of the store has stopped; older builds ignore it.
const STALLED: u8 = 4;
/// Flag of an instance that the store answers; older builds do not set it and make no calls for peers.
const STORE_ANSWERS: u8 = 8;

impl From<&Report> for Wire {
    fn from(r: &Report) -> Self {
        let flags = u8::from(r.ready) * READY
            + u8::from(r.leaving) * LEAVING
            + u8::from(r.stalled) * STALLED
            + u8::from(r.store_answers) * STORE_ANSWERS;
        let batch = r.batch.iter();
        Self(
            WIRE_VERSION,
            r.name.clone(),
            r.boot,
            r.sequence,
            flags,
            r.zone.clone(),
            r.public,
            r.version,
            r.online.iter().map(|(key, n)| (key.0, *n)).collect(),
            batch.map(|b| (b.item.0, b.backend.0, b.due)).collect(),
            r.held.iter().map(|item| item.0).collect(),
            r.waiting,
            r.admitted.iter().map(|(key, n)| (key.0, *n)).collect(),
            r.suspects.iter().map(|(key, ms)| (key.0, *ms)).collect(),
            r.positions
                .iter()
                .map(|p| (p.partition, p.next, p.reads))
                .collect(),
            r.capacity,
            r.leaving_backends.iter().map(|key| key.0).collect(),
            r.waiting_in_time,
            r.next_ms,
            r.limits
                .as_ref()
                .map(|limits| limits.iter().map(WireLimit::from).collect()),
            r.leaving_runs.iter().map(|run| run.0).collect(),
            r.evacuations.as_ref().map(WireEvacuations::from),
            r.shortages.iter().map(WireShortage::from).collect(),
            r.cold.iter().map(WireCold::from).collect(),
        )
    }
}

impl From<Wire> for Report {
    fn from(w: Wire) -> Self {
        let batch = w.9.into_iter().map(|(item, backend, due)| BatchRun {
            item: ItemKey(item),
            backend: BackendKey(backend),
            due,
        });
        Self {
            name: w.1,
            boot: w.2,
            sequence: w.3,
            ready: w.4 & READY != 0,
            leaving: w.4 & LEAVING != 0,
            stalled: w.4 & STALLED != 0,
            store_answers: w.4 & STORE_ANSWERS != 0,
            zone: w.5,
            public: w.6,
            capacity: w.15,
            leaving_backends: w.16.into_iter().map(BackendKey).collect(),
            version: w.7,
            online: w.8.into_iter().map(|(k, n)| (BackendKey(k), n)).collect(),
            batch: batch.collect(),
            held: w.10.into_iter().map(ItemKey).collect(),
            waiting: w.11,
            waiting_in_time: w.17,
            next_ms: w.18,
            admitted: w
                .12
                .into_iter()
                .map(|(k, n)| (OrganisationKey(k), n))
                .collect(),
            suspects: w
                .13
                .into_iter()
                .map(|(k, ms)| (BackendKey(k), ms))
                .collect(),
            limits: w
                .19
                .map(|limits| limits.into_iter().map(LimitReport::from).collect()),
            leaving_runs: w.20.into_iter().map(RunKey).collect(),
            evacuations: w.21.map(EvacuationReport::from),
            shortages: w.22.into_iter().map(ShortageReport::from).collect(),
            cold: w.23.into_iter().map(ColdReport::from).collect(),
            positions: w
                .14
                .into_iter()
                .map(|(partition, next, reads)| Position {
                    partition,
                    next,
                    reads,
                })
                .collect(),
        }
    }
}

impl Report {
    /// Returns whether the instance has requests or items, so that its decisions depend on every
    /// change at its peers.
    pub fn has_work(&self) -> bool {
        !self.online.is_empty()
            || !self.batch.is_empty()
            || !self.held.is_empty()
            || self.waiting > 0
    }

    /// Returns whether the instance may hold a copy of the jobs: it is neither about to stop, nor leaves the
    /// callers to others because its readers stand still.
    pub fn may_hold_jobs(&self) -> bool {
        self.ready || !(self.leaving || self.stalled)
    }

    /// Returns whether the instance may answer calls about the jobs that it holds. Without a configuration it
    /// knows no key.
    pub fn may_answer_job_calls(&self) -> bool {
        self.ready || (self.may_hold_jobs() && self.version > 0)
    }

    /// Returns the backend servers on which the instance has requests.
    pub fn backends(&self) -> impl Iterator<Item = BackendKey> {
        let online = self.online.iter().map(|(key, _)| *key);
        online.chain(self.batch.iter().map(|run| run.backend))
    }

    /// Returns whether `next` changes the distribution of items compared with this report.
    pub fn changes_item_assignment(&self, next: &Self) -> bool {
        let reads = |report: &Self| -> Vec<(u32, bool)> {
            let positions = report.positions.iter();
            positions.map(|p| (p.partition, p.reads)).collect()
        };
        let stops = |report: &Self| (report.leaving, report.stalled);
        stops(self) != stops(next) || self.ready != next.ready || reads(self) != reads(next)
    }

    /// Encodes the report.
    pub fn encode(&self) -> Vec<u8> {
        let mut buf = Vec::new();
        // Writing to a vector cannot fail, and every field can be encoded.
        if ciborium::into_writer(&Wire::from(self), &mut buf).is_err() {
            buf.clear();
        }
        buf
    }

    /// Decodes a report and brings its numbers into their ranges; returns `None` for invalid data and
    /// other versions.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        if bytes.len() > MAX_REPORT_BYTES {
            return None;
        }
        let mut buffer = [0; DECODER_BUFFER_BYTES];
        let wire: Wire = ciborium::de::from_reader_with_buffer(bytes, &mut buffer).ok()?;
        let report = (wire.0 == WIRE_VERSION).then(|| Self::from(wire))?;
        report.into_checked()
    }
}
