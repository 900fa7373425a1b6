//! The order of dispatches, and what becomes of items.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};
use std::time::Duration;

use limpetweir_coordination::timing::{
    COMPLETION_INTERVAL,
    COMPLETION_MAX_ITEMS,
    ITEM_ATTEMPTS, //
};
use limpetweir_coordination::{
    AttemptEnd,
    AttemptId,
    BufferedSize,
    Dispatch,
    ItemState,
    JobSpec,
    ResumePoint,
    Scheduler, //
};
use limpetweir_state::{
    Completion,
    Epoch,
    Fold,
    GroupId,
    GroupKind,
    JobChange,
    JobId,
    JobRecord,
    Jobs,
    ModelId,
    NewItem,
    Offset,
    OrganisationId,
    ServiceId,
    Submission,
    SubmissionId,
    Timestamp,
    UnixMillis,
    Usage, //
};
use rand::rngs::SmallRng;
use rand::{
    Rng,
    SeedableRng, //
};
use rstest::rstest;

const GROUP: GroupId = GroupId {
    kind: GroupKind::Jobs,
    index: 3,
};
const START: Timestamp = Timestamp::from_millis(1_000);

#[derive(Clone, Debug, PartialEq, Eq)]
struct Outcome {
    ok: bool,
    size: usize,
}

impl BufferedSize for Outcome {
    fn buffered_size(&self) -> usize {
        self.size
    }
}

const OK: Outcome = Outcome { ok: true, size: 10 };
const FAILED: Outcome = Outcome {
    ok: false,
    size: 10,
};

fn job(name: &str) -> JobId {
    JobId::try_from(name).expect("accepted name")
}

fn organisation(name: &str) -> OrganisationId {
    OrganisationId::try_from(name).expect("accepted name")
}

fn spec(name: &str, org: &str, deadline: u64, items: u32) -> JobSpec {
    JobSpec {
        job: job(name),
        organisation: organisation(org),
        service: ServiceId::try_from("s").expect("accepted name"),
        model: ModelId::try_from("m").expect("accepted name"),
        deadline: UnixMillis(deadline),
        items,
    }
}

fn scheduler(specs: &[JobSpec]) -> Scheduler<Outcome> {
    let mut scheduler = Scheduler::new(GROUP, Epoch(7));
    for spec in specs {
        scheduler.add_job(spec.clone(), [], []);
    }
    scheduler
}

fn dispatch(scheduler: &mut Scheduler<Outcome>) -> Option<Dispatch> {
    scheduler.next(|_| true)
}

/// Dispatches and finishes `count` items; returns how many each job got.
fn served(scheduler: &mut Scheduler<Outcome>, count: usize) -> BTreeMap<String, usize> {
    let mut served = BTreeMap::new();
    for i in 0..count {
        let next = dispatch(scheduler).expect("an item waits");
        *served.entry(next.job.to_string()).or_insert(0) += 1;
        scheduler.on_end(next.attempt, AttemptEnd::Finished(OK));
        let now = START + COMPLETION_INTERVAL * u32::try_from(i).expect("small");
        while scheduler.take_completions(now).is_some() {
            scheduler.confirm_completions();
        }
    }
    served
}

/// Guards against dispatching in the order of submission.
#[test]
fn the_earliest_deadline_goes_first() {
    let mut scheduler = scheduler(&[spec("late", "a", 300, 2), spec("early", "a", 100, 2)]);
    scheduler.add_job(spec("middle", "a", 200, 2), [], []);
    let order: Vec<_> = std::iter::from_fn(|| dispatch(&mut scheduler))
        .map(|next| (next.job.to_string(), next.index))
        .collect();
    let expected = [
        ("early", 0),
        ("early", 1),
        ("middle", 0),
        ("middle", 1),
        ("late", 0),
        ("late", 1),
    ];
    assert_eq!(
        order,
        expected.map(|(name, index)| (name.to_owned(), index))
    );
}

/// Guards against an organisation that starves others with early deadlines.
#[test]
fn organisations_share_dispatches() {
    let mut scheduler = scheduler(&[
        spec("a1", "a", 100, 900),
        spec("a2", "a", 100, 900),
        spec("b1", "b", 900, 900),
        spec("c1", "c", 500, 900),
    ]);
    let served = served(&mut scheduler, 900);
    for org in ["a", "b", "c"] {
        let jobs = served.iter().filter(|(name, _)| name.starts_with(org));
        let sum: usize = jobs.map(|(_, count)| count).sum();
        assert!((270..=330).contains(&sum), "{org} got {sum} of 900");
    }
}

/// Guards against weights without effect.
#[test]
fn weights_divide_dispatches() {
    let mut scheduler = scheduler(&[spec("a", "a", 100, 900), spec("b", "b", 100, 900)]);
    scheduler.set_weight(organisation("b"), 3);
    let served = served(&mut scheduler, 800);
    assert!((550..=650).contains(&served["b"]), "{served:?}");
}

/// Guards against credit for idle time, with which a returning organisation would starve others.
#[test]
fn idle_time_earns_no_credit() {
    let mut scheduler = scheduler(&[spec("a", "a", 100, 900), spec("b", "b", 200, 10)]);
    served(&mut scheduler, 500);
    scheduler.add_job(spec("b2", "b", 50, 900), [], []);
    let served = served(&mut scheduler, 100);
    assert!(served["a"] >= 35, "{served:?}");
}

/// Guards against one huge job that takes every dispatch of its organisation.
#[test]
fn a_huge_job_leaves_a_quarter_to_others() {
    let mut scheduler = scheduler(&[
        spec("huge", "a", 100, 100_000),
        spec("small", "a", 900, 1_000),
    ]);
    let served = served(&mut scheduler, 400);
    assert_eq!(served["huge"], 300);
    assert_eq!(served["small"], 100);
}

/// Guards against idle backend servers while only a huge job waits.
#[test]
fn a_huge_job_alone_takes_every_dispatch() {
    let mut scheduler = scheduler(&[spec("huge", "a", 100, 100_000)]);
    assert_eq!(served(&mut scheduler, 400)["huge"], 400);
}

/// Guards against charging an organisation for dispatches that gave way or did not run.
#[rstest]
#[case::yielded(AttemptEnd::Preempted(ResumePoint::default()))]
#[case::not_run(AttemptEnd::NotRun)]
fn an_attempt_that_gives_way_costs_no_share(#[case] end: AttemptEnd<Outcome>) {
    let mut scheduler = scheduler(&[spec("a", "a", 100, 900), spec("b", "b", 900, 900)]);
    for _ in 0..200 {
        let next = dispatch(&mut scheduler).unwrap();
        assert_eq!(next.job, job("a"), "the earlier deadline keeps its turn");
        scheduler.on_end(next.attempt, end.clone());
    }
}

/// Guards against a job without a free backend server that blocks other jobs.
#[test]
fn jobs_that_cannot_be_placed_are_passed_over() {
    let mut scheduler = scheduler(&[spec("a", "a", 100, 5), spec("b", "b", 900, 5)]);
    let next = scheduler.next(|spec| spec.job == job("b"));
    assert_eq!(next.map(|next| next.job), Some(job("b")));
    assert_eq!(scheduler.next(|_| false), None);
}

/// Guards against counting yields as failures, and against losing the generated tokens.
#[test]
fn yields_are_no_failures() {
    let mut scheduler = scheduler(&[spec("a", "a", 100, 2)]);
    for tokens in 1..=20 {
        let next = dispatch(&mut scheduler).unwrap();
        assert_eq!((next.index, next.resume.tokens), (0, tokens - 1));
        let progress = ResumePoint {
            text: "x".repeat(tokens as usize),
            tokens,
        };
        let state = scheduler.on_end(next.attempt, AttemptEnd::Preempted(progress));
        assert_eq!(state, ItemState::Waiting);
    }
    assert_eq!(scheduler.take_attempt_counts(START), None);
}

/// Guards against failing good items because managers are busy or lost.
#[rstest]
#[case::not_run(AttemptEnd::NotRun)]
#[case::lost(AttemptEnd::Lost)]
fn attempts_without_a_fault_of_the_item_are_no_failures(#[case] end: AttemptEnd<Outcome>) {
    let mut scheduler = scheduler(&[spec("a", "a", 100, 1)]);
    let progress = ResumePoint {
        text: "abc".to_owned(),
        tokens: 1,
    };
    let first = dispatch(&mut scheduler).unwrap();
    scheduler.on_end(first.attempt, AttemptEnd::Preempted(progress.clone()));
    for _ in 0..2 * ITEM_ATTEMPTS {
        let next = dispatch(&mut scheduler).unwrap();
        assert_eq!(next.resume, progress);
        let state = scheduler.on_end(next.attempt, end.clone());
        assert_eq!(state, ItemState::Waiting);
    }
}

/// Guards against a poison item that is tried for ever, or that delays the good items.
#[test]
fn a_poison_item_ends_after_three_attempts() {
    let mut scheduler = scheduler(&[spec("a", "a", 100, 4)]);
    let mut order = Vec::new();
    while let Some(next) = dispatch(&mut scheduler) {
        order.push(next.index);
        let end = if next.index == 1 {
            AttemptEnd::Failed(FAILED)
        } else {
            AttemptEnd::Finished(OK)
        };
        scheduler.on_end(next.attempt, end);
    }
    assert_eq!(order, [0, 1, 2, 3, 1, 1]);
    let batch = scheduler.take_completions(START).unwrap();
    let failed: Vec<_> = batch.items.iter().filter(|(_, o)| !o.ok).collect();
    assert_eq!(batch.items.len(), 4);
    assert_eq!(failed, [&(1, FAILED)]);
}

/// Guards against a new owner that grants a poison item three more attempts.
#[test]
fn failed_attempts_are_recorded_and_taken_over() {
    let mut first = scheduler(&[spec("a", "a", 100, 1)]);
    for _ in 0..2 {
        let next = dispatch(&mut first).unwrap();
        first.on_end(next.attempt, AttemptEnd::Failed(FAILED));
    }
    let recorded = first.take_attempt_counts(START).unwrap();
    assert_eq!(recorded.counts, [(0, 2)]);
    let mut second = Scheduler::new(GROUP, Epoch(8));
    second.add_job(spec("a", "a", 100, 1), [], recorded.counts);
    let next = dispatch(&mut second).unwrap();
    let state = second.on_end(next.attempt, AttemptEnd::Failed(FAILED));
    assert_eq!(state, ItemState::Settled);
}

/// Guards against running items again that have an outcome in the log.
#[test]
fn settled_items_do_not_run_again() {
    let mut scheduler = Scheduler::<Outcome>::new(GROUP, Epoch(8));
    scheduler.add_job(spec("a", "a", 100, 5), [0, 1, 3, 9], []);
    let order: Vec<_> = std::iter::from_fn(|| dispatch(&mut scheduler))
        .map(|next| next.index)
        .collect();
    assert_eq!(order, [2, 4]);
}

/// Guards against a new owner that loses outcomes or failed attempts of the fold.
#[test]
fn a_folded_job_goes_on_where_the_log_ends() {
    let id = job("jobs-3-x");
    let item = |id: &str| NewItem {
        id: id.into(),
        prompt: "p".into(),
        max_tokens: 5,
    };
    let submission = SubmissionId(1);
    let head = Submission {
        submission,
        parts: 1,
        job: id.clone(),
        organisation: organisation("a"),
        key: "key".into(),
        digest: [0; 32],
        service: ServiceId::try_from("s").expect("accepted name"),
        model: ModelId::try_from("m").expect("accepted name"),
        deadline: UnixMillis(100),
        result_retention: Duration::from_secs(60),
    };
    let completion = Completion {
        index: 1,
        outcome: limpetweir_state::Outcome::Failed("m".into()),
        usage: Usage::default(),
    };
    let changes = [
        JobChange::Open,
        JobChange::SubmitPart {
            submission,
            part: 0,
            items: ["x", "y", "z"].map(item).into(),
        },
        JobChange::Submit(head),
        JobChange::Completed {
            job: id.clone(),
            items: vec![completion],
        },
        JobChange::Attempts {
            job: id.clone(),
            counts: vec![(2, 2)],
        },
    ];
    let mut jobs = Jobs::default();
    for (offset, change) in (0..).map(Offset).zip(changes) {
        let record = JobRecord {
            epoch: Epoch(7),
            at: UnixMillis(1),
            change,
        };
        jobs.apply(offset, record);
    }
    let mut scheduler = Scheduler::new(GROUP, Epoch(8));
    scheduler.add_folded(&id, jobs.get(&id).unwrap());
    let first = dispatch(&mut scheduler).unwrap();
    let second = dispatch(&mut scheduler).unwrap();
    assert_eq!((first.index, second.index), (0, 2));
    assert_eq!(dispatch(&mut scheduler), None);
    let state = scheduler.on_end(second.attempt, AttemptEnd::Failed(FAILED));
    assert_eq!(state, ItemState::Settled);
}

/// Guards against a job that starts anew when its record is seen again.
#[test]
fn a_job_that_is_over_does_not_start_again() {
    let mut scheduler = scheduler(&[spec("a", "a", 100, 1)]);
    served(&mut scheduler, 1);
    scheduler.add_job(spec("a", "a", 100, 1), [], []);
    assert_eq!(dispatch(&mut scheduler), None);
}

/// Guards against new items after a cancel, and against losing an item that ran to its end.
#[test]
fn a_cancelled_job_starts_no_item() {
    let mut scheduler = scheduler(&[spec("a", "a", 100, 10)]);
    let running: Vec<_> = (0..4).map(|_| dispatch(&mut scheduler).unwrap()).collect();
    let attempts: Vec<_> = running.iter().map(|next| next.attempt).collect();
    assert_eq!(scheduler.cancel(&job("a")), attempts);
    assert_eq!(dispatch(&mut scheduler), None);
    let ends = [
        (AttemptEnd::Finished(OK), ItemState::Settled),
        (AttemptEnd::Failed(FAILED), ItemState::Dropped),
        (
            AttemptEnd::Preempted(ResumePoint::default()),
            ItemState::Dropped,
        ),
        (AttemptEnd::Lost, ItemState::Dropped),
    ];
    for (attempt, (end, state)) in attempts.into_iter().zip(ends) {
        assert_eq!(scheduler.on_end(attempt, end), state);
        assert_eq!(dispatch(&mut scheduler), None);
    }
    let batch = scheduler.take_completions(START).unwrap();
    assert_eq!(batch.items, [(0, OK)]);
}

/// Guards against a late answer of an ended attempt, or of another owner's attempt.
#[test]
fn late_ends_have_no_effect() {
    let mut scheduler = scheduler(&[spec("a", "a", 100, 1)]);
    let first = dispatch(&mut scheduler).unwrap();
    scheduler.on_end(first.attempt, AttemptEnd::Lost);
    let second = dispatch(&mut scheduler).unwrap();
    let late = scheduler.on_end(first.attempt, AttemptEnd::Finished(OK));
    assert_eq!(late, ItemState::Unknown);
    let foreign = AttemptId {
        epoch: Epoch(6),
        ..second.attempt
    };
    let late = scheduler.on_end(foreign, AttemptEnd::Finished(OK));
    assert_eq!(late, ItemState::Unknown);
    assert_eq!(scheduler.take_completions(START), None);
}

/// Guards against more completion records than one in 100 ms, full ones excepted.
#[test]
fn completions_are_grouped() {
    let mut scheduler = scheduler(&[spec("a", "a", 100, 2_000)]);
    let finish = |scheduler: &mut Scheduler<Outcome>, count: usize| {
        for _ in 0..count {
            let next = dispatch(scheduler).unwrap();
            scheduler.on_end(next.attempt, AttemptEnd::Finished(OK));
        }
    };
    finish(&mut scheduler, 2);
    assert_eq!(scheduler.take_completions(START).unwrap().items.len(), 2);
    finish(&mut scheduler, 5);
    let later = START + COMPLETION_INTERVAL;
    assert_eq!(scheduler.take_completions(later), None, "one is appended");
    scheduler.confirm_completions();
    let early = later - Duration::from_millis(1);
    assert_eq!(scheduler.take_completions(early), None);
    finish(&mut scheduler, COMPLETION_MAX_ITEMS);
    let full = scheduler.take_completions(early).unwrap();
    assert_eq!(full.items.len(), COMPLETION_MAX_ITEMS);
    scheduler.confirm_completions();
    assert_eq!(scheduler.take_completions(early), None);
    let rest = scheduler.take_completions(early + COMPLETION_INTERVAL);
    assert_eq!(rest.unwrap().items.len(), 5);
}

/// Guards against memory that grows through a log outage, and against results that are dropped.
#[rstest]
#[case::many_small(10)]
#[case::few_large(1 << 20)]
fn the_buffer_is_bounded_in_a_log_outage(#[case] size: usize) {
    let mut scheduler = scheduler(&[spec("a", "a", 100, 100_000)]);
    let mut finished = 0;
    while let Some(next) = dispatch(&mut scheduler) {
        let outcome = Outcome { ok: true, size };
        scheduler.on_end(next.attempt, AttemptEnd::Finished(outcome));
        finished += 1;
    }
    assert!(
        finished * size <= 64 << 20,
        "{finished} outcomes are buffered"
    );
    assert!(finished < 100_000);
    let mut now = START;
    let mut read_back = 0;
    while let Some(batch) = scheduler.take_completions(now) {
        read_back += batch.items.len();
        scheduler.confirm_completions();
        now = now + COMPLETION_INTERVAL;
    }
    assert_eq!(read_back, finished);
    assert!(dispatch(&mut scheduler).is_some());
}

/// Guards against results of running items for which the buffer has no room.
#[test]
fn running_items_reserve_room_in_the_buffer() {
    let mut scheduler = scheduler(&[spec("a", "a", 100, 100_000)]);
    let running = std::iter::from_fn(|| dispatch(&mut scheduler)).count();
    assert!(running < 100_000);
    assert_eq!(scheduler.running(), running);
}

/// Guards against an attempt id that does not survive the wire.
#[rstest]
#[case("jobs-3-7-0", true)]
#[case("engine-3-7-0", false)]
#[case("jobs-3-7", false)]
#[case("jobs-3-7-0-1", false)]
#[case("", false)]
fn attempt_ids_are_text(#[case] raw: &str, #[case] accepted: bool) {
    let parsed = raw.parse::<AttemptId>();
    assert_eq!(parsed.is_ok(), accepted);
    if let Ok(attempt) = parsed {
        assert_eq!(attempt.to_string(), raw);
    }
}

/// Guards against items that run twice at once, end twice, or get lost under random events.
#[rstest]
fn every_item_ends_once_under_random_events(#[values(11, 12, 13, 14, 15, 16)] seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut scheduler = scheduler(&[]);
    let mut expected = BTreeMap::new();
    for i in 0..12 {
        let items = rng.random_range(1..=300);
        let org = format!("o{}", i % 4);
        let spec = spec(&format!("j{i}"), &org, rng.random_range(1..=5), items);
        expected.insert(spec.job.clone(), items);
        scheduler.add_job(spec, [], []);
    }
    let mut running: BTreeMap<AttemptId, (JobId, u32)> = BTreeMap::new();
    let mut failures: BTreeMap<(JobId, u32), u32> = BTreeMap::new();
    let mut outcomes = BTreeMap::new();
    let mut cancelled = BTreeSet::new();
    let mut now = START;
    for step in 0..200_000 {
        now = now + Duration::from_millis(1);
        if step == 500 {
            let id = job("j5");
            scheduler.cancel(&id);
            cancelled.insert(id);
        }
        if running.len() < 40
            && let Some(next) = dispatch(&mut scheduler)
        {
            let item = (next.job, next.index);
            assert!(!cancelled.contains(&item.0), "dispatch after a cancel");
            assert!(!running.values().any(|other| *other == item), "runs twice");
            running.insert(next.attempt, item);
        }
        let pick = rng.random_range(0..40);
        if let Some((&attempt, item)) = running.iter().nth(pick) {
            let item = item.clone();
            let poison = item.1 % 50 == 49;
            let end = match rng.random_range(0..6) {
                0 => AttemptEnd::Preempted(ResumePoint::default()),
                1 => AttemptEnd::NotRun,
                2 => AttemptEnd::Lost,
                _ if poison => {
                    *failures.entry(item).or_insert(0) += 1;
                    AttemptEnd::Failed(FAILED)
                }
                _ => AttemptEnd::Finished(OK),
            };
            running.remove(&attempt);
            scheduler.on_end(attempt, end);
        }
        if rng.random_bool(0.1)
            && let Some(batch) = scheduler.take_completions(now)
        {
            for (index, outcome) in batch.items {
                let earlier = outcomes.insert((batch.job.clone(), index), outcome);
                assert_eq!(earlier, None, "an item ends once");
            }
            scheduler.confirm_completions();
        }
    }
    assert!(running.is_empty());
    for (id, items) in expected {
        if !cancelled.contains(&id) {
            let ended = outcomes.keys().filter(|(other, _)| *other == id);
            assert_eq!(ended.count(), items as usize, "{id}");
        }
    }
    assert!(failures.values().all(|&count| count <= ITEM_ATTEMPTS));
}
