//! Prints the size of items, jobs and organisations in memory, in a snapshot and in the log.
//!
//! Each run measures one size only: memory freed by an earlier size would be reused and hide the
//! growth.

use std::env;
use std::error::Error;
use std::fs;

use limpetweir_protocol::records::{
    encode,
    split_items, //
};
use limpetweir_state::{
    Completion,
    Entry,
    EntryBody,
    Epoch,
    Fold,
    Incarnation,
    InstanceId,
    JobChange,
    JobId,
    JobRecord,
    Jobs,
    ModelId,
    NewItem,
    Offset,
    OrganisationId,
    Outcome,
    ServiceId,
    Submission,
    SubmissionId,
    UnixMillis,
    Usage,
    WriterId, //
};

/// Length of each prompt, in bytes.
const PROMPT_BYTES: usize = 400;

/// Length of each generated text, in bytes.
const TEXT_BYTES: usize = 600;

/// Maximum number of completions in a record written by a job owner.
const COMPLETION_GROUP: usize = 256;

const USAGE: &str =
    "usage: state_footprint open-item|finished-item|job|organisation <count of units>";

type BoxError = Box<dyn Error>;

/// Appends a number of units to a stream.
type BuildFn = fn(&mut Stream, u32) -> Result<(), BoxError>;

/// A fold and the total size of the records that it applied.
struct Stream {
    fold: Jobs,
    next: Offset,
    log_bytes: usize,
}

impl Stream {
    fn open() -> Result<Self, BoxError> {
        let mut stream = Self {
            fold: Jobs::default(),
            next: Offset(0),
            log_bytes: 0,
        };
        stream.apply(JobChange::Open)?;
        Ok(stream)
    }

    fn apply(&mut self, change: JobChange) -> Result<(), BoxError> {
        let record = JobRecord {
            epoch: Epoch(1),
            at: UnixMillis(0),
            change,
        };
        let instance = InstanceId::try_from("entry-1")?;
        let started = 1;
        let writer = WriterId {
            incarnation: Incarnation { instance, started },
            sequence: self.next.0,
        };
        let body = EntryBody::Data(record.clone());
        self.log_bytes += encode(Entry { writer, body })?.len();
        self.fold.apply(self.next, record);
        self.next = self.next.next();
        Ok(())
    }

    fn submit(&mut self, number: u64, organisation: &str, items: u32) -> Result<JobId, BoxError> {
        let job = JobId::try_from(format!("0-{number:032x}"))?;
        let submission = SubmissionId(number);
        let items = (0..items).map(new_item).collect();
        let mut parts = 0;
        for items in split_items(items)? {
            self.apply(JobChange::SubmitPart {
                submission,
                part: parts,
                items,
            })?;
            parts += 1;
        }
        self.apply(JobChange::Submit(Submission {
            submission,
            parts,
            job: job.clone(),
            organisation: OrganisationId::try_from(organisation)?,
            key: format!("nightly-{number}").into(),
            digest: [255; 32],
            service: ServiceId::try_from("chat")?,
            model: ModelId::try_from("small")?,
            deadline: UnixMillis(86_400_000),
            result_retention: std::time::Duration::from_secs(86_400),
        }))?;
        Ok(job)
    }

    fn complete(&mut self, job: &JobId, items: u32) -> Result<(), BoxError> {
        let indexes: Vec<u32> = (0..items).collect();
        for group in indexes.chunks(COMPLETION_GROUP) {
            let items = group.iter().copied().map(completion).collect();
            let job = job.clone();
            self.apply(JobChange::Completed { job, items })?;
        }
        Ok(())
    }

    fn snapshot_bytes(&self) -> Result<usize, BoxError> {
        let mut buf = Vec::new();
        self.fold.snapshot(&mut buf)?;
        Ok(buf.len())
    }
}

fn new_item(index: u32) -> NewItem {
    NewItem {
        id: format!("item-{index}").into(),
        prompt: "p".repeat(PROMPT_BYTES).into(),
        max_tokens: 256,
    }
}

fn completion(index: u32) -> Completion {
    Completion {
        index,
        outcome: Outcome::Finished("t".repeat(TEXT_BYTES).into()),
        usage: Usage {
            prompt_tokens: 100,
            completion_tokens: 150,
        },
    }
}

/// Returns the resident memory of this process in bytes, as reported by the kernel.
fn resident_bytes() -> Result<usize, BoxError> {
    let status = fs::read_to_string("/proc/self/status")?;
    let mut lines = status.lines();
    let line = lines.find_map(|line| line.strip_prefix("VmRSS:"));
    let field = line.and_then(|line| line.split_whitespace().next());
    let kib: usize = field.ok_or("VmRSS is missing")?.parse()?;
    Ok(kib * 1_024)
}

/// Builds a stream with `count` units and prints the average size of a unit.
fn measure(unit: &str, count: u32, build: BuildFn) -> Result<(), BoxError> {
    let before = resident_bytes()?;
    let mut stream = Stream::open()?;
    build(&mut stream, count)?;
    let resident = resident_bytes()?.saturating_sub(before);
    let snapshot = stream.snapshot_bytes()?;
    let each = |bytes: usize| bytes as f64 / f64::from(count);
    println!(
        "{unit} {count}: {:.0} bytes in memory, {:.0} in a snapshot, {:.0} in the log",
        each(resident),
        each(snapshot),
        each(stream.log_bytes),
    );
    Ok(())
}

fn open_items(stream: &mut Stream, count: u32) -> Result<(), BoxError> {
    stream.submit(1, "org", count)?;
    Ok(())
}

fn finished_items(stream: &mut Stream, count: u32) -> Result<(), BoxError> {
    let job = stream.submit(1, "org", count)?;
    stream.complete(&job, count)
}

fn jobs(stream: &mut Stream, count: u32) -> Result<(), BoxError> {
    for number in 0..u64::from(count) {
        stream.submit(number, "org", 1)?;
    }
    Ok(())
}

fn organisations(stream: &mut Stream, count: u32) -> Result<(), BoxError> {
    for number in 0..u64::from(count) {
        let organisation = format!("organisation-{number}");
        let job = stream.submit(number, &organisation, 1)?;
        stream.complete(&job, 1)?;
    }
    Ok(())
}

/// Returns the function that appends units of the given kind.
fn build_fn(unit: &str) -> Option<BuildFn> {
    match unit {
        "open-item" => Some(open_items),
        "finished-item" => Some(finished_items),
        "job" => Some(jobs),
        "organisation" => Some(organisations),
        _ => None,
    }
}

fn main() -> Result<(), BoxError> {
    let args: Vec<String> = env::args().skip(1).collect();
    let [unit, count] = args.as_slice() else {
        return Err(USAGE.into());
    };
    let build = build_fn(unit).ok_or(USAGE)?;
    measure(unit, count.parse()?, build)
}
