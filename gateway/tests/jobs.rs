//! The fold of batch jobs, and the records appended for their changes.

#[path = "support/partition.rs"]
mod partition;

use std::time::Duration;

use hyper::body::Bytes;
use limpetweir_gateway::{
    Change,
    Decision,
    NewItem,
    Outcome,
    Partition,
    Pending,
    Record,
    Submission,
    decide, //
};
use limpetweir_state::Timestamp;
use rstest::rstest;

use partition::{
    apply_next,
    empty,
    jobs, //
};

/// Time of the submissions in Unix milliseconds.
const SUBMITTED: u64 = 1_000;

/// Largest record in these tests.
const RECORD_BYTES: usize = 64 << 10;

fn item(name: &str, body: usize) -> NewItem {
    NewItem {
        id: name.to_owned(),
        path: "/path".to_owned(),
        headers: vec![("X-Model".to_owned(), "m".to_owned())],
        body: Bytes::from(vec![7; body]),
        tokens: 100,
    }
}

fn submission(id: &str, items: usize) -> Submission {
    Submission {
        id: id.to_owned(),
        organisation: "org".to_owned(),
        route: "route".to_owned(),
        host: "host".to_owned(),
        submitted: SUBMITTED,
        waiting_tokens: Some(1_000),
        items: (0..items).map(|n| item(&format!("item-{n}"), 10)).collect(),
    }
}

fn finish(job: &str, item: usize) -> Change {
    Change::Finish {
        job: job.to_owned(),
        item,
        outcome: Outcome::Completed,
        text: format!("text of {item}"),
    }
}

fn records(state: &Partition, change: &Change) -> Vec<Record> {
    let mut pending = Pending::default();
    match decide(jobs(state), &mut pending, change, RECORD_BYTES) {
        Ok(Decision::Append(records)) => records,
        other => panic!("expected records and got {other:?}"),
    }
}

fn apply(state: &mut Partition, change: &Change) {
    for record in records(state, change) {
        apply_next(state, &record).expect("a record of this format");
    }
}

fn with_job(items: usize) -> Partition {
    let mut state = empty();
    apply(&mut state, &Change::Submit(submission("job", items)));
    state
}

/// Guards against a job that is accepted twice because the first response was lost.
#[test]
fn a_repeated_submission_has_no_effect() {
    let state = with_job(2);
    let again = Change::Submit(submission("job", 2));
    let decision = decide(jobs(&state), &mut Pending::default(), &again, RECORD_BYTES);
    assert_eq!(decision, Ok(Decision::Done));
}

/// Guards against an item with results at two positions after two of its runs have ended.
#[test]
fn an_item_is_listed_once() {
    let mut state = with_job(2);
    apply(&mut state, &finish("job", 1));
    let decision = decide(
        jobs(&state),
        &mut Pending::default(),
        &finish("job", 1),
        RECORD_BYTES,
    );
    assert_eq!(decision, Ok(Decision::Done));
    let job = jobs(&state).get("job").expect("the job");
    assert_eq!(job.results.len(), 1);
    assert_eq!(job.results[0].item, 1);
}

/// Guards against two results with the same position when several items end in one append.
#[test]
fn results_of_one_append_have_different_positions() {
    let state = with_job(3);
    let mut pending = Pending::default();
    let mut keys = Vec::new();
    for index in [2, 0] {
        let decision = decide(
            jobs(&state),
            &mut pending,
            &finish("job", index),
            RECORD_BYTES,
        );
        let Ok(Decision::Append(records)) = decision else {
            panic!("expected records and got {decision:?}");
        };
        keys.extend(records.into_iter().map(|record| record.key));
    }
    assert_eq!(keys, ["r/job/0000", "r/job/0001"]);
    let again = decide(jobs(&state), &mut pending, &finish("job", 2), RECORD_BYTES);
    assert_eq!(again, Ok(Decision::Deferred));
}

/// Guards against two submissions in one append that together exceed the limit of waiting tokens.
#[test]
fn a_second_submission_waits_for_the_next_append() {
    let state = empty();
    let mut pending = Pending::default();
    let first = Change::Submit(submission("a", 6));
    let second = Change::Submit(submission("b", 6));
    let decision = decide(jobs(&state), &mut pending, &first, RECORD_BYTES);
    assert!(matches!(decision, Ok(Decision::Append(_))));
    let decision = decide(jobs(&state), &mut pending, &second, RECORD_BYTES);
    assert_eq!(decision, Ok(Decision::Deferred));
}

/// Guards against a job that exceeds the limit of waiting tokens, and against counting finished
/// items.
#[test]
fn only_open_items_count_as_waiting() {
    let mut state = with_job(6);
    let other = Change::Submit(submission("other", 6));
    let decision = decide(jobs(&state), &mut Pending::default(), &other, RECORD_BYTES);
    assert_eq!(decision, Ok(Decision::OverTokenLimit { waiting: 600 }));
    for index in 0..2 {
        apply(&mut state, &finish("job", index));
    }
    assert!(!records(&state, &other).is_empty());
}

/// Guards against items of an ended job that run or count as waiting.
#[test]
fn an_ended_job_has_no_open_items() {
    let mut state = with_job(3);
    apply(&mut state, &finish("job", 0));
    apply(
        &mut state,
        &Change::End {
            job: "job".to_owned(),
        },
    );
    let job = jobs(&state).get("job").expect("the job");
    assert!(job.ended);
    assert_eq!(job.open().count(), 0);
    assert_eq!(job.results.len(), 1);
    assert_eq!(jobs(&state).waiting_tokens("org", "route"), 0);
}

/// Guards against errors with a listing, which is in the order of keys: parts and results may
/// precede or follow the terms of their job.
#[rstest]
#[case(false)]
#[case(true)]
fn records_may_arrive_in_another_order(#[case] reversed: bool) {
    let mut state = empty();
    let mut all = Vec::new();
    for change in [
        Change::Submit(submission("job", 3)),
        finish("job", 2),
        finish("job", 0),
    ] {
        let new = records(&state, &change);
        for record in &new {
            apply_next(&mut state, record).expect("a record of this format");
        }
        all.extend(new);
    }
    let mut all: Vec<(u64, Record)> = (0..).zip(all).collect();
    if reversed {
        all.reverse();
    } else {
        all.sort_by(|(_, a), (_, b)| a.key.cmp(&b.key));
    }
    let mut listed = empty();
    for (offset, record) in &all {
        listed
            .apply(*offset, record)
            .expect("a record of this format");
    }
    let job = jobs(&listed).get("job").expect("the job");
    let order: Vec<usize> = job.results.iter().map(|result| result.item).collect();
    assert_eq!(order, [2, 0]);
    assert_eq!(job.items.len(), 3);
}

/// Guards against a record that is applied twice, once by its writer and once by the reader.
#[test]
fn a_record_that_is_read_twice_has_no_further_effect() {
    let mut state = with_job(3);
    let first = records(&state, &finish("job", 0));
    for record in first.iter().chain(&first) {
        apply_next(&mut state, record).expect("a record of this format");
    }
    apply(&mut state, &finish("job", 1));
    for record in &first {
        apply_next(&mut state, record).expect("a record of this format");
    }
    assert_eq!(jobs(&state).get("job").expect("the job").results.len(), 2);
}

/// Guards against results that are removed early because the clock of the instance which accepted the job is
/// behind, or that of the instance which removes it is ahead; and against jobs that are never removed.
#[rstest]
#[case::at_the_end(Duration::ZERO, false)]
#[case::clocks_apart(Duration::from_secs(5), false)]
#[case::long_after(Duration::from_secs(60), true)]
fn a_job_outlasts_its_retention_by_the_difference_of_clocks(
    #[case] after: Duration,
    #[case] is_removed: bool,
) {
    let retention = Duration::from_secs(120);
    let mut state = with_job(1);
    let now = Duration::from_millis(SUBMITTED + 1) + retention + after;
    let unix_ms = u64::try_from(now.as_millis()).expect("a time");
    let job = |state: &Partition| jobs(state).get("job").expect("the job").clone();
    assert!(!job(&state).may_be_removed(unix_ms, retention));
    apply(&mut state, &finish("job", 0));
    assert_eq!(job(&state).may_be_removed(unix_ms, retention), is_removed);
}

/// Guards against records that exceed the size limit of the store.
#[test]
fn a_large_job_is_split_and_put_together_again() {
    let mut large = submission("job", 0);
    large.items = (0..20).map(|n| item(&format!("item-{n}"), 9_000)).collect();
    large.waiting_tokens = None;
    let mut state = empty();
    let records = records(&state, &Change::Submit(large));
    assert!(records.len() > 3);
    assert!(
        records
            .iter()
            .all(|record| record.value.len() <= RECORD_BYTES)
    );
    for record in &records {
        assert!(jobs(&state).get("job").is_none());
        apply_next(&mut state, record).expect("a record of this format");
    }
    let items = &jobs(&state).get("job").expect("the job").items;
    let names: Vec<&str> = items.iter().map(|item| item.id.as_str()).collect();
    assert_eq!(names[..3], ["item-0", "item-1", "item-2"]);
    assert_eq!(names.len(), 20);
}

/// Guards against jobs that stay in the store forever.
#[test]
fn a_removed_job_leaves_nothing() {
    let mut state = with_job(2);
    apply(&mut state, &finish("job", 0));
    let remove = Change::Remove {
        job: "job".to_owned(),
    };
    let removals = records(&state, &remove);
    assert!(removals.iter().all(|record| record.value.is_empty()));
    for record in &removals {
        apply_next(&mut state, record).expect("a removal");
    }
    assert!(jobs(&state).get("job").is_none());
}

/// Guards against a record of another program that stops reading.
#[rstest]
#[case("x/job", b"1")]
#[case("j/job", b"not cbor")]
#[case("r/job/none", b"1")]
fn an_unreadable_record_is_reported(#[case] key: &str, #[case] value: &'static [u8]) {
    let mut state = with_job(1);
    let record = Record {
        key: key.replace("j/job", "j/other"),
        value: Bytes::from_static(value),
    };
    assert!(apply_next(&mut state, &record).is_err());
    assert_eq!(jobs(&state).get("job").expect("the job").items.len(), 1);
}

/// Guards against a page without results that a caller has read already: a listing contains a job
/// before its results, and may take seconds between two of its pages.
#[test]
fn a_partition_that_is_being_listed_tells_nothing_of_its_jobs() {
    let mut written = empty();
    let mut all = records(&written, &Change::Submit(submission("job", 3)));
    for record in &all {
        apply_next(&mut written, record).expect("a record of this format");
    }
    for index in 0..3 {
        let result = records(&written, &finish("job", index));
        apply_next(&mut written, &result[0]).expect("a record of this format");
        all.extend(result);
    }
    let mut all: Vec<(u64, Record)> = (0..).zip(all).collect();
    all.sort_by(|(_, a), (_, b)| a.key.cmp(&b.key));
    let mut listed = Partition::default();
    for listing in 0..2 {
        listed.set_missed(u64::MAX);
        listed.begin_listing();
        for (offset, record) in &all {
            assert!(listed.loaded().is_none(), "listing {listing}");
            listed
                .apply(*offset, record)
                .expect("a record of this format");
        }
        listed.end_listing(all.len() as u64);
        let job = jobs(&listed).get("job").expect("the job");
        assert_eq!(job.results.len(), 3, "listing {listing}");
    }
}

/// Guards against a statement about results that rests on a read from before the question, or on one
/// from before records were missed.
#[test]
fn a_partition_is_current_since_the_last_read_to_its_end_was_sent() {
    let ms = Timestamp::from_millis;
    let mut state = Partition::default();
    state.read_to_end(ms(1), 0);
    state.begin_listing();
    state.end_listing(0);
    assert!(!jobs(&state).is_current_since(ms(0)));
    state.read_to_end(ms(2), 0);
    state.read_to_end(ms(1), 0);
    assert!(jobs(&state).is_current_since(ms(1)));
    assert!(!jobs(&state).is_current_since(ms(2)));
    state.set_missed(u64::MAX);
    state.read_to_end(ms(3), 0);
    state.begin_listing();
    state.end_listing(0);
    assert!(!jobs(&state).is_current_since(ms(0)));
}

/// Guards against items that start from what was in the store before a long listing, or before the last read
/// that waited in vain.
#[test]
fn a_partition_is_as_old_as_the_last_read_that_has_shown_its_end() {
    let ms = Timestamp::from_millis;
    let age = |state: &Partition| jobs(state).age(ms(10)).map(|age| age.as_millis());
    let mut state = empty();
    assert_eq!(age(&state), None, "after a listing");
    state.read_to_end(ms(2), 0);
    assert_eq!(age(&state), Some(8));
    state.waited(ms(6), 0);
    state.read_to_end(ms(4), 0);
    assert_eq!(age(&state), Some(4));
    state.waited(ms(9), 1);
    assert_eq!(age(&state), Some(4), "a read behind the copy");
    state.set_missed(u64::MAX);
    state.begin_listing();
    state.end_listing(0);
    assert_eq!(age(&state), None, "after another listing");
}

/// Guards against a copy that is given up, and answers nothing until it is listed again, because a read from
/// an older offset than that of others fails.
#[test]
fn a_copy_that_lacks_no_record_stays_loaded() {
    let mut state = empty();
    assert!((0..3).all(|offset| state.take_next(offset)));
    assert!(!state.set_missed(3));
    assert!(state.is_loaded());
    assert!(state.set_missed(4));
    assert!(!state.is_loaded());
}

/// Guards against a copy without jobs that counts as whole because a listing ended before what had been read.
#[test]
fn a_listing_that_ends_before_what_was_read_is_repeated() {
    let mut state = empty();
    assert!((0..3).all(|offset| state.take_next(offset)));
    state.set_missed(u64::MAX);
    for is_loaded in [false, true] {
        assert!(state.begin_listing());
        state.end_listing(0);
        assert_eq!(state.is_loaded(), is_loaded);
    }
}

/// Two readers apply records, and a listing ends while one of them is within its range. Guards against records
/// that count as read although they arrived before the partition was loaded.
#[test]
fn records_that_arrive_during_a_listing_are_read_again() {
    let ms = Timestamp::from_millis;
    let mut state = empty();
    for offset in 0..2 {
        assert!(state.take_next(offset));
    }
    state.set_missed(u64::MAX);
    state.begin_listing();
    // The listing ends at 3, behind two records of the range from 2 to 6.
    assert!(!state.take_next(2));
    assert!(!state.take_next(3));
    state.end_listing(3);
    assert!(!state.take_next(4));
    assert!(!state.take_next(5));
    state.read_to_end(ms(1), 6);
    assert_eq!(state.next(), 3);
    assert!(!jobs(&state).is_current_since(ms(0)));
    assert!((3..6).all(|offset| state.take_next(offset)));
    state.read_to_end(ms(2), 6);
    assert!(jobs(&state).is_current_since(ms(1)));
}

/// Guards against a partition that counts as read although its state was reset during the listing.
#[test]
fn a_partition_that_was_reset_is_listed_again() {
    let mut state = Partition::default();
    state.begin_listing();
    state.end_listing(7);
    assert!(state.is_loaded());
    assert_eq!(state.next(), 7);
    state.set_missed(u64::MAX);
    state.begin_listing();
    state = Partition::default();
    state.end_listing(9);
    assert!(!state.is_loaded());
}

/// Guards against a job that stays in a copy forever because its removal was missed: its open items would
/// run again and count as waiting.
#[test]
fn a_job_that_is_not_listed_any_more_is_removed() {
    let mut state = with_job(2);
    let other = records(&state, &Change::Submit(submission("other", 3)));
    state.set_missed(u64::MAX);
    assert!(state.begin_listing());
    for (offset, record) in (9..).zip(&other) {
        assert!(!state.begin_listing(), "a listing that continues");
        state
            .apply(offset, record)
            .expect("a record of this format");
    }
    state.end_listing(20);
    let listed: Vec<&String> = jobs(&state).iter().map(|(id, _)| id).collect();
    assert_eq!(listed, ["other"]);
    assert_eq!(jobs(&state).waiting_tokens("org", "route"), 300);
}

/// Guards against a sum of tokens that overflows, with which a job passes the limit of its route.
#[test]
fn tokens_of_any_number_count_against_the_limit() {
    let mut large = submission("large", 3);
    large.items.iter_mut().for_each(|i| i.tokens = u64::MAX / 2);
    let state = with_job(2);
    let change = Change::Submit(large.clone());
    let decision = decide(jobs(&state), &mut Pending::default(), &change, RECORD_BYTES);
    assert_eq!(decision, Ok(Decision::OverTokenLimit { waiting: 200 }));
    large.waiting_tokens = None;
    let mut state = with_job(2);
    apply(&mut state, &Change::Submit(large));
    assert_eq!(jobs(&state).waiting_tokens("org", "route"), u64::MAX);
    let more = Change::Submit(submission("more", 1));
    let decision = decide(jobs(&state), &mut Pending::default(), &more, RECORD_BYTES);
    let waiting = u64::MAX;
    assert_eq!(decision, Ok(Decision::OverTokenLimit { waiting }));
}

/// A faulty peer asks for the result of an item that the job does not have. Guards against a position
/// that stays empty, behind which no result of the job is listed.
#[test]
fn a_result_of_no_item_is_not_written() {
    let mut state = with_job(2);
    let mut pending = Pending::default();
    let decision = decide(jobs(&state), &mut pending, &finish("job", 99), RECORD_BYTES);
    assert_eq!(decision, Ok(Decision::NoJob));
    let decision = decide(jobs(&state), &mut pending, &finish("job", 0), RECORD_BYTES);
    let Ok(Decision::Append(records)) = decision else {
        panic!("expected records and got {decision:?}");
    };
    for record in records {
        apply_next(&mut state, &record).expect("a record of this format");
    }
    assert_eq!(
        jobs(&state).get("job").map(|job| job.results.len()),
        Some(1)
    );
}

/// Returns a log in which the first of two results that were appended at once is damaged, and was
/// written again.
fn log_with_gap() -> Vec<Record> {
    let mut state = empty();
    let mut log = records(&state, &Change::Submit(submission("job", 3)));
    for record in &log {
        apply_next(&mut state, record).expect("a record of this format");
    }
    let mut first = records(&state, &finish("job", 0)).remove(0);
    let mut second = records(&state, &finish("job", 1)).remove(0);
    second.key = "r/job/0001".to_owned();
    let rewritten = first.clone();
    first.value = Bytes::from_static(b"damaged");
    log.extend([first, second, rewritten]);
    log
}

fn listed_items(state: &Partition) -> Vec<usize> {
    let job = jobs(state).get("job").expect("the job");
    job.results.iter().map(|result| result.item).collect()
}

/// Guards against a result at another position than at the other instances, which show none there yet:
/// the record of the first result is damaged, and the second one was listed before the job.
#[test]
fn a_result_is_not_moved_up_over_a_gap() {
    let log = log_with_gap();
    let mut listed = Partition::default();
    listed.begin_listing();
    assert!(listed.apply(2, &log[2]).is_err());
    listed.apply(3, &log[3]).expect("a record of this format");
    listed.end_listing(0);
    for (record, is_used) in log.iter().zip([true, true, false, false, true]) {
        assert_eq!(apply_next(&mut listed, record).is_ok(), is_used);
    }
    assert_eq!(listed_items(&listed), [0]);
}

/// Guards against a result at a position where the other instances show none, and then another one:
/// it was skipped behind a gap, and a listing contains the record that closed the gap before it.
#[test]
fn a_result_behind_a_gap_is_not_used_once_the_gap_is_closed() {
    let log = log_with_gap();
    let mut followed = empty();
    for (record, is_used) in log.iter().zip([true, true, false, false, true]) {
        assert_eq!(apply_next(&mut followed, record).is_ok(), is_used);
    }
    let mut listed = Partition::default();
    listed.begin_listing();
    for (offset, is_used) in [(1, true), (0, true), (4, true), (3, false)] {
        let applied = listed.apply(offset, &log[offset as usize]);
        assert_eq!(applied.is_ok(), is_used);
    }
    listed.end_listing(5);
    assert_eq!(listed_items(&listed), [0]);
    assert_eq!(listed_items(&followed), [0]);
}
