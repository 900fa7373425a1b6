//! Job owners: CPU time per item for dispatch, encoding and folding of its completion.

use limpetweir_coordination::{
    AttemptEnd,
    BufferedSize,
    JobSpec,
    Scheduler, //
};
use limpetweir_protocol::records;
use limpetweir_state::{
    Completion,
    Entry,
    EntryBody,
    Epoch,
    Fold,
    GroupId,
    GroupKind,
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
    Timestamp,
    UnixMillis,
    Usage,
    WriterId, //
};

use crate::report::{
    line,
    micros, //
};

/// Items of a small job, a large job, and the largest job at the target size.
const ITEMS: [u32; 3] = [7_200, 72_000, 720_000];

/// Items in one completion record.
const ITEMS_PER_RECORD: u32 = 256;

/// Bytes of one generated text.
const TEXT_BYTES: usize = 600;

#[derive(Clone, Debug)]
struct ItemText;

impl BufferedSize for ItemText {
    fn buffered_size(&self) -> usize {
        TEXT_BYTES
    }
}

fn job() -> JobId {
    JobId::try_from("0-1").expect("valid name")
}

fn record(change: JobChange) -> JobRecord {
    JobRecord {
        epoch: Epoch(1),
        at: UnixMillis(0),
        change,
    }
}

fn fold_with_job(items: u32) -> Jobs {
    let mut jobs = Jobs::default();
    let new_items = (0..items).map(|index| NewItem {
        id: format!("item-{index}").into(),
        prompt: "Draft a quote".into(),
        max_tokens: 256,
    });
    jobs.apply(Offset(0), record(JobChange::Open));
    jobs.apply(
        Offset(1),
        record(JobChange::SubmitPart {
            submission: SubmissionId(1),
            part: 0,
            items: new_items.collect(),
        }),
    );
    jobs.apply(
        Offset(2),
        record(JobChange::Submit(Submission {
            submission: SubmissionId(1),
            parts: 1,
            job: job(),
            organisation: OrganisationId::try_from("fapapucs").expect("valid name"),
            key: "evening".into(),
            digest: [7; 32],
            service: ServiceId::try_from("chat").expect("valid name"),
            model: ModelId::try_from("small").expect("valid name"),
            deadline: UnixMillis(86_400_000),
            result_retention: std::time::Duration::from_secs(86_400),
        })),
    );
    jobs
}

fn completions(from: u32) -> JobChange {
    let completion = |index| Completion {
        index,
        outcome: Outcome::Finished("t".repeat(TEXT_BYTES).into()),
        usage: Usage {
            prompt_tokens: 100,
            completion_tokens: 150,
        },
    };
    JobChange::Completed {
        job: job(),
        items: (from..from + ITEMS_PER_RECORD).map(completion).collect(),
    }
}

fn fold_micros(items: u32) -> f64 {
    let mut jobs = fold_with_job(items);
    let mut next = 0;
    let per_record = micros(4, || {
        let change = completions(next % (items - ITEMS_PER_RECORD));
        next += ITEMS_PER_RECORD;
        jobs.apply(Offset(u64::from(next)), record(change))
    });
    per_record / f64::from(ITEMS_PER_RECORD)
}

fn codec_micros() -> f64 {
    let writer = WriterId {
        incarnation: Incarnation {
            instance: InstanceId::try_from("entry-1").expect("valid name"),
            started: 1,
        },
        sequence: 1,
    };
    let per_record = micros(20, || {
        let entry = Entry {
            writer: writer.clone(),
            body: EntryBody::Data(record(completions(0))),
        };
        records::encode(entry).expect("encodable record")
    });
    per_record / f64::from(ITEMS_PER_RECORD)
}

fn dispatch_micros(items: u32) -> f64 {
    let group = GroupId {
        kind: GroupKind::Jobs,
        index: 0,
    };
    let jobs = fold_with_job(items);
    let mut scheduler: Scheduler<ItemText> = Scheduler::new(group, Epoch(1));
    let folded = jobs.get(&job()).expect("submitted job");
    scheduler.add_folded(&job(), folded);
    let mut now = Timestamp::from_millis(1_000);
    micros(500, || {
        let is_placeable = |_: &JobSpec| true;
        let Some(dispatch) = scheduler.next(is_placeable) else {
            return;
        };
        scheduler.on_end(dispatch.attempt, AttemptEnd::Finished(ItemText));
        now = now + std::time::Duration::from_millis(1);
        if scheduler.take_completions(now).is_some() {
            scheduler.confirm_completions();
        }
    })
}

pub(crate) fn measure() {
    let points = |value: &dyn Fn(u32) -> f64| ITEMS.map(|n| (u64::from(n), value(n)));
    line(
        "item dispatched and ended, us",
        "items of the job",
        points(&dispatch_micros),
    );
    line(
        "item completion folded, us",
        "items of the job",
        points(&fold_micros),
    );
    println!("item completion encoded, us: {:.2}", codec_micros());
}
