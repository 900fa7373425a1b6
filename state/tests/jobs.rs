//! Tests of jobs: submission, completion, cancellation, usage and expiry.

// The test helpers use unwrap, which clippy.toml allows only in test functions.
#![allow(clippy::unwrap_used)]

mod common;

use common::*;
use limpetweir_state::*;
use rstest::rstest;

/// A fold of jobs to which records are applied in order.
struct Log {
    fold: Jobs,
    next: Offset,
    at: u64,
}

impl Log {
    fn new() -> Self {
        let mut log = Self {
            fold: Jobs::default(),
            next: Offset(0),
            at: 10,
        };
        log.apply(1, JobChange::Open);
        log
    }

    /// Returns a log with one job that has `items` items.
    fn with_job(key: &str, items: u32) -> Self {
        let mut log = Self::new();
        log.apply(1, part(1, 0, 0..items));
        log.apply(1, submit(1, 1, key, 7));
        log
    }

    fn apply(&mut self, epoch: u64, change: JobChange) -> JobOutcome {
        self.event(epoch, change).outcome
    }

    fn event(&mut self, epoch: u64, change: JobChange) -> JobsEvent {
        let at = self.next;
        self.next = at.next();
        self.fold.apply(at, record(epoch, self.at, change))
    }

    fn progress(&self, key: &str) -> Progress {
        self.fold.get(&job(key)).unwrap().progress()
    }

    fn statuses(&self, key: &str) -> Vec<ItemStatus<'_>> {
        let page = self.fold.get(&job(key)).unwrap().results(0, 100);
        page.items.iter().map(|item| item.status).collect()
    }

    fn usage(&self) -> OrganisationUsage {
        self.fold.usage_of(&organisation("org"))
    }
}

fn usage(items: u64) -> OrganisationUsage {
    OrganisationUsage {
        items,
        prompt_tokens: 2 * items,
        completion_tokens: 3 * items,
    }
}

fn outcome(completed: u32, ignored: u32, ended: bool) -> JobOutcome {
    JobOutcome::Completed {
        job: job("k"),
        completed,
        ignored,
        ended,
    }
}

/// Guards against records of a previous owner that change the jobs after a takeover.
#[rstest]
#[case::completion(completed("k", vec![finished(0, "late")]))]
#[case::cancel(cancel("k"))]
#[case::open(JobChange::Open)]
#[case::tick(JobChange::Tick)]
#[case::part(part(9, 0, 0..1))]
fn record_with_stale_epoch_has_no_effect(#[case] change: JobChange) {
    let mut log = Log::with_job("k", 2);
    log.apply(5, JobChange::Open);
    let before = log.fold.clone();
    log.at += 10 * RETENTION_MS;
    let stale = JobOutcome::Stale { epoch: Epoch(1) };
    assert_eq!(log.apply(1, change), stale);
    assert_eq!(log.fold, before);
}

/// Guards against records of an owner that wrote no `Open` record, and against records with
/// epoch 0.
#[rstest]
#[case::higher(9)]
#[case::zero(0)]
fn owner_writes_only_after_open(#[case] epoch: u64) {
    let mut log = Log {
        fold: Jobs::default(),
        next: Offset(0),
        at: 10,
    };
    let epoch_id = Epoch(epoch);
    let expected = JobOutcome::NotOpened { epoch: epoch_id };
    assert_eq!(log.apply(epoch, part(1, 0, 0..1)), expected);
    assert_eq!(log.fold, Jobs::default());
}

/// Guards against items of a submission in several parts that are lost, duplicated or reordered.
#[test]
fn parts_are_joined_in_order() {
    let mut log = Log::new();
    assert_eq!(log.apply(1, part(1, 1, 3..5)), JobOutcome::PartStored);
    assert_eq!(log.apply(1, part(1, 0, 0..3)), JobOutcome::PartStored);
    assert_eq!(log.apply(1, part(1, 0, 0..3)), JobOutcome::PartRepeated);
    let job = job("k");
    let submitted = JobOutcome::Submitted { job: job.clone() };
    assert_eq!(log.apply(1, submit(1, 2, "k", 7)), submitted);
    let page = log.fold.get(&job).unwrap().results(0, 100);
    let ids: Vec<&str> = page.items.iter().map(|item| item.id).collect();
    assert_eq!(ids, ["item 0", "item 1", "item 2", "item 3", "item 4"]);
}

/// Guards against a job that is accepted while some of its items are missing.
#[test]
fn submission_without_all_parts_has_no_effect() {
    let mut log = Log::new();
    log.apply(1, part(1, 0, 0..3));
    log.apply(1, part(1, 2, 5..6));
    let submission = SubmissionId(1);
    let incomplete = JobOutcome::Incomplete { submission };
    assert_eq!(log.apply(1, submit(1, 3, "k", 7)), incomplete);
    assert!(log.fold.get(&job("k")).is_none());
    log.apply(1, part(1, 1, 3..5));
    log.apply(1, submit(1, 3, "k", 7));
    assert_eq!(log.progress("k").total, 6);
}

/// Guards against parts of a previous owner that are joined to a submission of the new owner with
/// the same number.
#[test]
fn takeover_drops_pending_parts() {
    let mut log = Log::new();
    log.apply(1, part(1, 0, 0..3));
    log.apply(2, JobChange::Open);
    log.apply(2, part(1, 0, 7..8));
    log.apply(2, submit(1, 1, "k", 7));
    assert_eq!(log.progress("k").total, 1);
}

/// Guards against memory that grows with the number of abandoned submissions.
#[test]
fn pending_submissions_are_bounded() {
    let mut log = Log::new();
    for n in 0..1_000 {
        log.apply(1, part(n, 0, 0..100));
    }
    let mut buf = Vec::new();
    log.fold.snapshot(&mut buf).unwrap();
    let mut one = Log::new();
    one.apply(1, part(1, 0, 0..100));
    let mut single = Vec::new();
    one.fold.snapshot(&mut single).unwrap();
    assert!(buf.len() < 100 * single.len(), "{} bytes", buf.len());
}

/// Guards against a resent submission that runs the job again.
#[test]
fn same_key_and_body_is_the_same_job() {
    let mut log = Log::with_job("k", 2);
    log.apply(1, completed("k", vec![finished(0, "first")]));
    log.apply(1, part(2, 0, 0..2));
    let job = job("k");
    let resubmitted = JobOutcome::Resubmitted { job };
    assert_eq!(log.apply(1, submit(2, 1, "k", 7)), resubmitted);
    assert_eq!(log.progress("k").finished, 1);
    assert_eq!(log.fold.iter().count(), 1);
}

/// Guards against replacing a job when its idempotency key is reused with another body.
#[test]
fn same_key_with_another_body_is_a_conflict() {
    let mut log = Log::with_job("k", 2);
    let before = log.fold.clone();
    log.apply(1, part(2, 0, 0..9));
    let job = job("k");
    let conflict = JobOutcome::KeyConflict { job };
    assert_eq!(log.apply(1, submit(2, 1, "k", 8)), conflict);
    assert_eq!(log.fold, before);
}

/// Guards against a second outcome of an item that replaces the first one or is billed.
#[test]
fn first_outcome_is_kept_and_billed_once() {
    let mut log = Log::with_job("k", 3);
    let first = completed("k", vec![finished(0, "first"), failed(1)]);
    assert_eq!(log.apply(1, first), outcome(2, 0, false));
    assert_eq!(log.usage(), usage(1));
    let second = completed("k", vec![finished(0, "second"), finished(1, "second")]);
    assert_eq!(log.apply(1, second), outcome(0, 2, false));
    let statuses = log.statuses("k");
    assert!(matches!(
        statuses[0],
        ItemStatus::Finished { text: "first", .. }
    ));
    assert!(matches!(statuses[1], ItemStatus::Failed { .. }));
    assert_eq!(log.usage(), usage(1));
}

/// Guards against billing an item twice when one record contains it twice.
#[test]
fn duplicate_in_one_record_is_billed_once() {
    let mut log = Log::with_job("k", 2);
    let twice = completed("k", vec![finished(0, "first"), finished(0, "second")]);
    assert_eq!(log.apply(1, twice), outcome(1, 1, false));
    assert_eq!(log.usage(), usage(1));
}

/// Guards against billing an item again when the new owner completes it after a takeover.
#[test]
fn completion_after_takeover_is_billed_once() {
    let mut log = Log::with_job("k", 1);
    log.apply(1, completed("k", vec![finished(0, "first")]));
    log.apply(2, JobChange::Open);
    let again = completed("k", vec![finished(0, "second")]);
    assert_eq!(log.apply(2, again), outcome(0, 1, false));
    assert_eq!(log.usage(), usage(1));
}

/// Guards against counting outcomes of items that do not exist as completed.
#[test]
fn outcome_of_a_missing_item_is_ignored() {
    let mut log = Log::with_job("k", 2);
    let items = vec![finished(2, "x"), finished(u32::MAX, "y")];
    assert_eq!(log.apply(1, completed("k", items)), outcome(0, 2, false));
    assert_eq!(log.usage(), usage(0));
    assert_eq!(log.progress("k").phase, JobPhase::Running);
}

/// Guards against a cancellation that reverts outcomes, and against items that complete after it.
#[test]
fn cancel_ends_open_items_and_keeps_outcomes() {
    let mut log = Log::with_job("k", 3);
    log.apply(1, completed("k", vec![finished(1, "done")]));
    let job = job("k");
    let cancelled = JobOutcome::Cancelled { job, items: 2 };
    assert_eq!(log.apply(1, cancel("k")), cancelled);
    let late = completed("k", vec![finished(0, "late"), finished(2, "late")]);
    assert_eq!(log.apply(1, late), outcome(0, 2, false));
    let statuses = log.statuses("k");
    assert_eq!(statuses[0], ItemStatus::Cancelled);
    assert!(matches!(
        statuses[1],
        ItemStatus::Finished { text: "done", .. }
    ));
    assert_eq!(log.usage(), usage(1));
    let progress = log.progress("k");
    assert_eq!(progress.phase, JobPhase::Cancelled);
    assert_eq!((progress.finished, progress.cancelled), (1, 2));
    assert_eq!(
        log.fold
            .get(&common::job("k"))
            .unwrap()
            .open_items(0)
            .count(),
        0
    );
}

/// Guards against a cancellation that changes a job which has already completed.
#[test]
fn cancel_after_the_last_completion_has_no_effect() {
    let mut log = Log::with_job("k", 1);
    let last = completed("k", vec![finished(0, "done")]);
    assert_eq!(log.apply(1, last), outcome(1, 0, true));
    let before = log.fold.clone();
    let job = job("k");
    assert_eq!(log.apply(1, cancel("k")), JobOutcome::AlreadyEnded { job });
    assert_eq!(log.fold, before);
}

/// Guards against resetting the attempts of a poison item after a takeover, which would run it more
/// often.
#[test]
fn attempts_survive_takeover_and_never_decrease() {
    let mut log = Log::with_job("k", 2);
    let attempts = |count| JobChange::Attempts {
        job: job("k"),
        counts: vec![(1, count)],
    };
    log.apply(1, attempts(2));
    log.apply(2, JobChange::Open);
    log.apply(2, attempts(1));
    let restored = restore(&log.fold);
    let item = restored.get(&job("k")).unwrap().open_item(1).unwrap();
    assert_eq!(item.attempts, 2);
}

/// Guards against pages that skip or repeat items, or never end.
#[rstest]
#[case::first(0, 2, vec![0, 1], Some(2))]
#[case::last(4, 2, vec![4], None)]
#[case::exact(3, 2, vec![3, 4], None)]
#[case::beyond(9, 2, vec![], None)]
#[case::overflow(4, u32::MAX, vec![4], None)]
fn pages_cover_all_items(
    #[case] from: u32,
    #[case] limit: u32,
    #[case] indexes: Vec<u32>,
    #[case] next: Option<u32>,
) {
    let log = Log::with_job("k", 5);
    let page = log.fold.get(&job("k")).unwrap().results(from, limit);
    let found: Vec<u32> = page.items.iter().map(|item| item.index).collect();
    assert_eq!(found, indexes);
    assert_eq!(page.next, next);
}

/// Guards against results that expire before the end of their retention, or never.
#[test]
fn results_expire_by_the_time_of_records() {
    let mut log = Log::with_job("k", 1);
    log.at = 500;
    log.apply(1, completed("k", vec![finished(0, "done")]));
    let expires = UnixMillis(500 + RETENTION_MS);
    assert_eq!(log.progress("k").expires, Some(expires));
    assert_eq!(log.fold.next_expiry(), Some(expires));
    log.at = 499 + RETENTION_MS;
    assert_eq!(log.event(1, JobChange::Tick).expired, []);
    assert_eq!(log.statuses("k").len(), 1);
    log.at = 500 + RETENTION_MS;
    assert_eq!(log.event(1, JobChange::Tick).expired, [job("k")]);
    assert!(log.fold.get(&job("k")).is_none());
    assert_eq!(log.fold.next_expiry(), None);
    assert_eq!(log.usage(), usage(1));
}

/// Guards against the expiry of a running job.
#[test]
fn running_job_does_not_expire() {
    let mut log = Log::with_job("k", 2);
    log.apply(1, completed("k", vec![finished(0, "done")]));
    log.at += 100 * RETENTION_MS;
    assert_eq!(log.event(1, JobChange::Tick).expired, []);
    assert_eq!(log.progress("k").phase, JobPhase::Running);
}

/// Guards against an owner whose slow clock moves the clock of the fold back.
#[test]
fn clock_never_decreases() {
    let mut log = Log::new();
    log.at = 900;
    log.apply(2, JobChange::Open);
    log.at = 100;
    log.apply(3, JobChange::Open);
    assert_eq!(log.fold.clock(), UnixMillis(900));
}

fn restore(fold: &Jobs) -> Jobs {
    let mut buf = Vec::new();
    fold.snapshot(&mut buf).unwrap();
    Jobs::restore(&mut &buf[..]).unwrap()
}

/// Guards against a snapshot that omits state: pending parts, outcomes, cancelled jobs, usage or
/// expiry times.
#[test]
fn snapshot_keeps_everything() {
    let mut log = Log::with_job("k", 3);
    log.apply(1, completed("k", vec![finished(0, "done"), failed(1)]));
    log.apply(1, part(2, 0, 0..2));
    log.apply(1, submit(2, 1, "other", 1));
    log.apply(1, cancel("other"));
    log.apply(1, part(3, 0, 0..2));
    let mut restored = Log {
        fold: restore(&log.fold),
        ..log
    };
    assert_eq!(restored.fold, log.fold);
    restored.at += RETENTION_MS;
    let expired = restored.event(1, JobChange::Tick).expired;
    assert_eq!(expired, [job("other")]);
}

/// Guards against an identifier that depends on anything but the organisation and the key, and
/// against pairs of both that collide because they concatenate to the same string.
#[test]
fn job_identifier_is_a_function_of_organisation_and_key() {
    let id = |org, key| {
        let org = organisation(org);
        job_id(job_group(&org, key, 16), &org, key).unwrap()
    };
    assert_eq!(id("org", "key"), id("org", "key"));
    assert_ne!(id("org", "key"), id("org", "key2"));
    assert_ne!(id("org", "key"), id("or", "gkey"));
    let group = job_group(&organisation("org"), "key", 16);
    let prefix = format!("{}-", group.index);
    assert!(id("org", "key").as_str().starts_with(&prefix));
}
