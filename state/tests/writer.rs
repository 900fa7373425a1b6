//! Writers: order, lost answers and tickets.

mod common;

use common::{
    incarnation,
    writer, //
};
use limpetweir_state::*;
use rstest::rstest;

fn new(limit: usize) -> Writer<u32> {
    Writer::new(incarnation("a"), limit)
}

/// Guards against two appends in flight, which could be stored in the wrong order.
#[rstest]
#[case::no_answer(None)]
#[case::appended(Some(AppendResult::Appended(Offset(3))))]
#[case::unknown(Some(AppendResult::Unknown))]
fn next_entry_waits_until_the_former_is_read_back(#[case] answer: Option<AppendResult>) {
    let mut log = new(8);
    let first = log.push(EntryBody::Data(1)).unwrap();
    log.push(EntryBody::Data(2)).unwrap();
    let sent = log.poll_append().unwrap();
    if let Some(answer) = answer {
        log.on_append_result(sent.writer.sequence, answer);
    }
    assert_eq!(log.poll_append(), None);
    assert_eq!(log.on_read(&sent.writer), Some(first));
    assert_eq!(log.poll_append().unwrap().body, EntryBody::Data(2));
}

/// Guards against losing an entry, or giving it another identity, when its answer is lost.
#[rstest]
#[case::appended_late(AppendResult::Unknown)]
#[case::record_unreadable(AppendResult::Appended(Offset(4)))]
fn entry_not_found_is_sent_again_unchanged(#[case] answer: AppendResult) {
    let mut log = new(8);
    log.push(EntryBody::Data(1)).unwrap();
    let sent = log.poll_append().unwrap();
    log.on_append_result(sent.writer.sequence, answer);
    log.on_read_to_end(Offset(5));
    assert_eq!(log.poll_append(), Some(sent));
}

/// Guards against resending an entry whose append is known but not yet read.
#[test]
fn appended_entry_beyond_the_read_is_awaited() {
    let mut log = new(8);
    log.push(EntryBody::Data(1)).unwrap();
    let sent = log.poll_append().unwrap();
    log.on_append_result(sent.writer.sequence, AppendResult::Appended(Offset(5)));
    log.on_read_to_end(Offset(5));
    assert_eq!(log.poll_append(), None);
}

/// Guards against a read that was sent before the append resolving the lost answer.
#[test]
fn read_to_end_without_answer_resolves_nothing() {
    let mut log = new(8);
    log.push(EntryBody::Data(1)).unwrap();
    log.poll_append().unwrap();
    log.on_read_to_end(Offset(5));
    assert_eq!(log.poll_append(), None);
}

/// Guards against an acknowledgement after a lost answer when the entry was in fact appended twice.
#[test]
fn lost_answer_and_late_copy_give_one_ticket() {
    let mut log = new(8);
    let ticket = log.push(EntryBody::Data(1)).unwrap();
    let sent = log.poll_append().unwrap();
    log.on_append_result(sent.writer.sequence, AppendResult::Unknown);
    log.on_read_to_end(Offset(5));
    let resent = log.poll_append().unwrap();
    assert_eq!(log.on_read(&sent.writer), Some(ticket));
    assert_eq!(log.on_read(&resent.writer), None);
    log.on_append_result(resent.writer.sequence, AppendResult::Unknown);
    assert!(log.is_empty());
}

/// Guards against a rejected append that is never retried.
#[test]
fn rejected_append_is_sent_again() {
    let mut log = new(8);
    log.push(EntryBody::Data(1)).unwrap();
    let sent = log.poll_append().unwrap();
    log.on_append_result(sent.writer.sequence, AppendResult::Rejected);
    assert_eq!(log.poll_append(), Some(sent));
}

/// Guards against an answer to an older entry being taken for the one in flight.
#[test]
fn late_answer_to_the_former_entry_is_ignored() {
    let mut log = new(8);
    log.push(EntryBody::Data(1)).unwrap();
    log.push(EntryBody::Data(2)).unwrap();
    let first = log.poll_append().unwrap();
    log.on_read(&first.writer);
    log.poll_append().unwrap();
    log.on_append_result(first.writer.sequence, AppendResult::Rejected);
    assert_eq!(log.poll_append(), None);
}

/// Guards against a queue that grows without bound while the log is down.
#[test]
fn full_queue_rejects_with_not_run() {
    let mut log = new(2);
    log.push(EntryBody::Data(1)).unwrap();
    log.push(EntryBody::Data(2)).unwrap();
    let err = log.push(EntryBody::Data(3)).unwrap_err();
    assert_eq!(err, QueueFull { limit: 2 });
    assert_eq!(err.verdict(), Verdict::NotRun);
    assert_eq!(log.len(), 2);
}

/// Guards against a ticket that is resolved by another process's entry.
#[test]
fn foreign_entries_resolve_nothing() {
    let mut log = new(8);
    log.push(EntryBody::Data(1)).unwrap();
    log.poll_append().unwrap();
    assert_eq!(log.on_read(&writer("b", 1)), None);
    let mut restarted = writer("a", 1);
    restarted.incarnation.started += 1;
    assert_eq!(log.on_read(&restarted), None);
    assert_eq!(log.len(), 1);
}

/// Guards against an entry that waits for ever because an adopted snapshot contains it.
#[test]
fn entries_in_an_adopted_snapshot_are_read_back() {
    let mut log = new(8);
    let first = log.push(EntryBody::Data(1)).unwrap();
    log.push(EntryBody::Data(2)).unwrap();
    log.poll_append().unwrap();
    assert_eq!(log.on_caught_up(1), [first]);
    assert_eq!(log.poll_append().unwrap().body, EntryBody::Data(2));
}

/// Guards against "not run" for an entry that may still take effect.
#[rstest]
#[case::in_flight(None)]
#[case::unknown(Some(AppendResult::Unknown))]
#[case::rejected_after_an_earlier_try(Some(AppendResult::Rejected))]
fn abandoned_entries_tell_which_may_have_run(#[case] answer: Option<AppendResult>) {
    let mut log = new(8);
    let first = log.push(EntryBody::Data(1)).unwrap();
    let second = log.push(EntryBody::Data(2)).unwrap();
    let sent = log.poll_append().unwrap();
    if let Some(answer) = answer {
        log.on_append_result(sent.writer.sequence, answer);
    }
    let expected = Abandoned {
        not_run: vec![second],
        may_have_run: Some(first),
    };
    assert_eq!(log.abandon(), expected);
    assert_eq!(log.poll_append(), None);
}
