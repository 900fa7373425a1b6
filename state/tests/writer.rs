//! Tests of the writer: order of entries, lost responses and tickets.

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

/// Guards against two concurrent appends, which could be stored in the wrong order.
#[rstest]
#[case::no_result(None)]
#[case::appended(Some(AppendResult::Appended(Offset(3))))]
#[case::unknown(Some(AppendResult::Unknown))]
fn next_entry_is_sent_after_the_previous_is_read_back(#[case] result: Option<AppendResult>) {
    let mut stream_writer = new(8);
    let first = stream_writer.push(EntryBody::Data(1)).unwrap();
    stream_writer.push(EntryBody::Data(2)).unwrap();
    let sent = stream_writer.poll_append().unwrap();
    if let Some(result) = result {
        stream_writer.on_append_result(sent.writer.sequence, result);
    }
    assert_eq!(stream_writer.poll_append(), None);
    assert_eq!(stream_writer.on_read(&sent.writer), Some(first));
    assert_eq!(
        stream_writer.poll_append().unwrap().body,
        EntryBody::Data(2)
    );
}

/// Guards against a retry that loses the entry or changes its identity after a lost response or
/// an unreadable record.
#[rstest]
#[case::appended_late(AppendResult::Unknown)]
#[case::record_unreadable(AppendResult::Appended(Offset(4)))]
fn entry_not_found_is_sent_again_unchanged(#[case] result: AppendResult) {
    let mut stream_writer = new(8);
    stream_writer.push(EntryBody::Data(1)).unwrap();
    let sent = stream_writer.poll_append().unwrap();
    stream_writer.on_append_result(sent.writer.sequence, result);
    stream_writer.on_read_to_end(Offset(5));
    assert_eq!(stream_writer.poll_append(), Some(sent));
}

/// Guards against resending an entry that was appended at an offset which is not read yet.
#[test]
fn appended_entry_beyond_the_read_is_not_resent() {
    let mut stream_writer = new(8);
    stream_writer.push(EntryBody::Data(1)).unwrap();
    let sent = stream_writer.poll_append().unwrap();
    stream_writer.on_append_result(sent.writer.sequence, AppendResult::Appended(Offset(5)));
    stream_writer.on_read_to_end(Offset(5));
    assert_eq!(stream_writer.poll_append(), None);
}

/// Guards against a read to the end that resolves an append in flight: the read may have been sent
/// before the append took effect.
#[test]
fn read_to_end_without_append_result_resolves_nothing() {
    let mut stream_writer = new(8);
    stream_writer.push(EntryBody::Data(1)).unwrap();
    stream_writer.poll_append().unwrap();
    stream_writer.on_read_to_end(Offset(5));
    assert_eq!(stream_writer.poll_append(), None);
}

/// Guards against a second ticket when an entry is stored twice: its append was resent after a lost
/// response although the first one had succeeded.
#[test]
fn lost_response_and_late_copy_resolve_one_ticket() {
    let mut stream_writer = new(8);
    let ticket = stream_writer.push(EntryBody::Data(1)).unwrap();
    let sent = stream_writer.poll_append().unwrap();
    stream_writer.on_append_result(sent.writer.sequence, AppendResult::Unknown);
    stream_writer.on_read_to_end(Offset(5));
    let resent = stream_writer.poll_append().unwrap();
    assert_eq!(stream_writer.on_read(&sent.writer), Some(ticket));
    assert_eq!(stream_writer.on_read(&resent.writer), None);
    stream_writer.on_append_result(resent.writer.sequence, AppendResult::Unknown);
    assert!(stream_writer.is_empty());
}

/// Guards against a rejected append that is not retried.
#[test]
fn rejected_append_is_sent_again() {
    let mut stream_writer = new(8);
    stream_writer.push(EntryBody::Data(1)).unwrap();
    let sent = stream_writer.poll_append().unwrap();
    stream_writer.on_append_result(sent.writer.sequence, AppendResult::Rejected);
    assert_eq!(stream_writer.poll_append(), Some(sent));
}

/// Guards against a late result of the previous entry that is applied to the entry in flight.
#[test]
fn late_result_of_the_previous_entry_is_ignored() {
    let mut stream_writer = new(8);
    stream_writer.push(EntryBody::Data(1)).unwrap();
    stream_writer.push(EntryBody::Data(2)).unwrap();
    let first = stream_writer.poll_append().unwrap();
    stream_writer.on_read(&first.writer);
    stream_writer.poll_append().unwrap();
    stream_writer.on_append_result(first.writer.sequence, AppendResult::Rejected);
    assert_eq!(stream_writer.poll_append(), None);
}

/// Guards against a queue that grows without bound while the log is down.
#[test]
fn full_queue_rejects_with_not_run() {
    let mut stream_writer = new(2);
    stream_writer.push(EntryBody::Data(1)).unwrap();
    stream_writer.push(EntryBody::Data(2)).unwrap();
    let err = stream_writer.push(EntryBody::Data(3)).unwrap_err();
    assert_eq!(err, QueueFull { limit: 2 });
    assert_eq!(err.verdict(), Verdict::NotRun);
    assert_eq!(stream_writer.len(), 2);
}

/// Guards against a ticket that is resolved by the entry of another process.
#[test]
fn entries_of_other_writers_resolve_nothing() {
    let mut stream_writer = new(8);
    stream_writer.push(EntryBody::Data(1)).unwrap();
    stream_writer.poll_append().unwrap();
    assert_eq!(stream_writer.on_read(&writer("b", 1)), None);
    let mut restarted = writer("a", 1);
    restarted.incarnation.started += 1;
    assert_eq!(stream_writer.on_read(&restarted), None);
    assert_eq!(stream_writer.len(), 1);
}

/// Guards against an entry that stays queued for ever: an adopted snapshot contains it, so it is
/// not read back.
#[test]
fn entries_in_an_adopted_snapshot_are_resolved() {
    let mut stream_writer = new(8);
    let first = stream_writer.push(EntryBody::Data(1)).unwrap();
    stream_writer.push(EntryBody::Data(2)).unwrap();
    stream_writer.poll_append().unwrap();
    assert_eq!(stream_writer.on_caught_up(1), [first]);
    assert_eq!(
        stream_writer.poll_append().unwrap().body,
        EntryBody::Data(2)
    );
}

/// Guards against the verdict "not run" for an entry that was sent and may still take effect.
#[rstest]
#[case::in_flight(None)]
#[case::unknown(Some(AppendResult::Unknown))]
#[case::rejected(Some(AppendResult::Rejected))]
fn abandoned_entries_are_split_by_verdict(#[case] result: Option<AppendResult>) {
    let mut stream_writer = new(8);
    let first = stream_writer.push(EntryBody::Data(1)).unwrap();
    let second = stream_writer.push(EntryBody::Data(2)).unwrap();
    let sent = stream_writer.poll_append().unwrap();
    if let Some(result) = result {
        stream_writer.on_append_result(sent.writer.sequence, result);
    }
    let expected = Abandoned {
        not_run: vec![second],
        may_have_run: Some(first),
    };
    assert_eq!(stream_writer.abandon(), expected);
    assert_eq!(stream_writer.poll_append(), None);
}
