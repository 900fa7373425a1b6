//! Tests of the replica: resends, gaps and snapshots.

mod common;

use common::{
    data,
    publish,
    snapshot_entries,
    writer, //
};
use limpetweir_state::*;
use rstest::rstest;

type ConfigReplica = Replica<Publications>;

/// Returns entries that publish versions 1 to `count`; the entry at offset n makes version n + 1.
fn history(count: u64) -> Vec<Entry<Publish>> {
    let entry = |n| {
        data(
            "a",
            n + 1,
            publish(&format!("p{n}"), n, &format!("doc {n}")),
        )
    };
    (0..count).map(entry).collect()
}

fn replay(entries: &[Entry<Publish>]) -> ConfigReplica {
    let mut replica = ConfigReplica::new();
    for (at, entry) in (0..).zip(entries) {
        replica.read(Offset(at), entry.clone());
    }
    replica
}

fn version(replica: &ConfigReplica) -> Option<u64> {
    replica.fold().map(|fold| fold.version().0)
}

/// Guards against a resent entry that is applied twice.
#[test]
fn resent_entry_has_no_effect() {
    let mut replica = replay(&history(2));
    let resent = history(2)[1].clone();
    assert_eq!(replica.read(Offset(2), resent), EntryOutcome::Resent);
    assert_eq!(version(&replica), Some(2));
    assert_eq!(replica.next(), Offset(3));
}

/// Guards against a snapshot that does not contain the state of the resend detection.
#[test]
fn resent_entry_has_no_effect_after_restore() {
    let snapshot = replay(&history(2)).snapshot().unwrap().unwrap();
    let mut replica = ConfigReplica::from_snapshot(&snapshot).unwrap();
    let resent = history(2)[1].clone();
    assert_eq!(replica.read(Offset(2), resent), EntryOutcome::Resent);
}

/// Guards against applying a record twice when reads overlap.
#[test]
fn old_offset_is_ignored() {
    let mut replica = replay(&history(2));
    let entry = data("b", 9, publish("x", 2, ""));
    assert_eq!(replica.read(Offset(1), entry), EntryOutcome::AlreadyRead);
    assert_eq!(version(&replica), Some(2));
}

/// Guards against entries of a restarted process that count as resends, because their sequences
/// start at 1 again.
#[test]
fn restarted_writer_starts_a_new_sequence() {
    let mut replica = replay(&history(2));
    let mut entry = data("a", 1, publish("x", 2, ""));
    entry.writer.incarnation.started += 1;
    let outcome = replica.read(Offset(2), entry);
    assert!(matches!(outcome, EntryOutcome::Applied(_)), "{outcome:?}");
}

/// Guards against exposing a state that lacks the trimmed records.
#[test]
fn gap_lasts_without_a_snapshot() {
    let entries = history(6);
    let mut replica = replay(&entries[..2]);
    assert!(replica.on_trimmed(Offset(4)));
    assert_eq!(replica.status(), ReplicaStatus::Gap { first: Offset(4) });
    assert_eq!(
        replica.read(Offset(4), entries[4].clone()),
        EntryOutcome::Buffered
    );
    assert_eq!(
        replica.read(Offset(5), entries[5].clone()),
        EntryOutcome::Buffered
    );
    assert_eq!(version(&replica), None);
    assert_eq!(replica.snapshot().unwrap(), None);
}

/// Guards against missed records when the offset jumps although no trim was reported.
#[test]
fn offset_jump_opens_a_gap() {
    let entries = history(6);
    let mut replica = replay(&entries[..2]);
    assert_eq!(
        replica.read(Offset(4), entries[4].clone()),
        EntryOutcome::Buffered
    );
    assert_eq!(replica.status(), ReplicaStatus::Gap { first: Offset(4) });
}

/// Guards against a gap that is opened by the trim of records that were already read.
#[test]
fn trim_of_read_records_opens_no_gap() {
    let mut replica = replay(&history(3));
    assert!(!replica.on_trimmed(Offset(3)));
    assert_eq!(version(&replica), Some(3));
}

/// Guards against a usable snapshot that does not end the gap, and against losing records that were
/// buffered before, between and after its parts.
#[rstest]
#[case::whole(1)]
#[case::several_parts(4)]
fn snapshot_ends_gap(#[case] parts: usize, #[values(4, 5)] first: u64) {
    let entries = history(8);
    let snapshot = replay(&entries[..5]).snapshot().unwrap().unwrap();
    let mut stream = entries[..6].to_vec();
    let mut parts = snapshot_entries("b", 1, &snapshot, parts);
    let last = parts.pop().unwrap();
    stream.extend(parts);
    stream.push(entries[6].clone());
    stream.push(last);
    let expected = replay(&stream);

    let mut replica = ConfigReplica::new();
    replica.on_trimmed(Offset(first));
    let (end, rest) = stream.split_last().unwrap();
    for (at, entry) in (0..).zip(rest).skip(first as usize) {
        replica.read(Offset(at), entry.clone());
        assert_eq!(version(&replica), None);
    }
    let outcome = replica.read(Offset(rest.len() as u64), end.clone());
    let EntryOutcome::Recovered { as_of, applied } = outcome else {
        panic!("{outcome:?}");
    };
    assert_eq!(as_of, Offset(4));
    let writers: Vec<_> = applied.iter().map(|applied| &applied.writer).collect();
    assert_eq!(writers, [&writer("a", 6), &writer("a", 7)]);
    assert_eq!(replica.fold(), expected.fold());
    assert_eq!(replica.snapshot().unwrap(), expected.snapshot().unwrap());
}

/// Guards against ending a gap with a snapshot that lacks some of the trimmed records.
#[test]
fn snapshot_older_than_the_gap_is_rejected() {
    let entries = history(6);
    let snapshot = replay(&entries[..3]).snapshot().unwrap().unwrap();
    let [part] = &snapshot_entries("b", 1, &snapshot, 1)[..] else {
        panic!("one part expected");
    };
    let mut replica = ConfigReplica::new();
    replica.on_trimmed(Offset(4));
    replica.read(Offset(4), entries[4].clone());
    let as_of = Offset(2);
    let outcome = replica.read(Offset(5), part.clone());
    assert_eq!(outcome, EntryOutcome::SnapshotRejected { as_of });
    assert_eq!(version(&replica), None);
}

/// Guards against a snapshot that is assembled from parts of two writers, or without its first
/// part.
#[test]
fn parts_of_different_writers_are_not_combined() {
    let entries = history(5);
    let snapshot = replay(&entries).snapshot().unwrap().unwrap();
    let by_b = snapshot_entries("b", 1, &snapshot, 2);
    let by_c = snapshot_entries("c", 1, &snapshot, 2);
    let mut replica = ConfigReplica::new();
    replica.on_trimmed(Offset(5));
    assert_eq!(
        replica.read(Offset(5), by_b[0].clone()),
        EntryOutcome::SnapshotPart
    );
    assert_eq!(
        replica.read(Offset(6), by_c[1].clone()),
        EntryOutcome::SnapshotPart
    );
    assert_eq!(version(&replica), None);
}

/// Guards against joining parts that were read before the gap, when the replica was ready and did
/// not keep their bytes.
#[test]
fn parts_read_before_a_gap_are_not_joined() {
    let entries = history(5);
    let mut replica = replay(&entries);
    let snapshot = replica.snapshot().unwrap().unwrap();
    let parts = snapshot_entries("b", 1, &snapshot, 2);
    let outcome = replica.read(Offset(5), parts[0].clone());
    assert_eq!(outcome, EntryOutcome::SnapshotPart);
    replica.on_trimmed(Offset(7));
    let outcome = replica.read(Offset(7), parts[1].clone());
    assert_eq!(outcome, EntryOutcome::SnapshotPart);
}

/// Guards against an undecodable snapshot that replaces the state or stops the reader.
#[test]
fn corrupt_snapshot_is_rejected_and_the_next_one_used() {
    let entries = history(5);
    let mut snapshot = replay(&entries).snapshot().unwrap().unwrap();
    let good = snapshot_entries("b", 2, &snapshot, 1).remove(0);
    snapshot.bytes.truncate(10);
    let bad = snapshot_entries("b", 1, &snapshot, 1).remove(0);
    let mut replica = ConfigReplica::new();
    replica.on_trimmed(Offset(5));
    let as_of = Offset(4);
    let outcome = replica.read(Offset(5), bad);
    assert_eq!(outcome, EntryOutcome::SnapshotRejected { as_of });
    let outcome = replica.read(Offset(6), good);
    assert!(
        matches!(outcome, EntryOutcome::Recovered { .. }),
        "{outcome:?}"
    );
    assert_eq!(version(&replica), Some(5));
}

/// Guards against accepting a snapshot whose `as_of` is after the record that contains it.
#[test]
fn snapshot_with_a_later_offset_is_rejected() {
    let mut snapshot = replay(&history(3)).snapshot().unwrap().unwrap();
    snapshot.as_of = Offset(90);
    let part = snapshot_entries("b", 1, &snapshot, 1).remove(0);
    let mut replica = ConfigReplica::new();
    replica.on_trimmed(Offset(5));
    let as_of = Offset(90);
    let outcome = replica.read(Offset(5), part);
    assert_eq!(outcome, EntryOutcome::SnapshotRejected { as_of });
}

/// Guards against a second trim in a gap after which records are missing between buffered ones.
#[test]
fn second_trim_moves_the_start_of_the_gap() {
    let entries = history(8);
    let snapshot = replay(&entries[..5]).snapshot().unwrap().unwrap();
    let part = snapshot_entries("b", 1, &snapshot, 1).remove(0);
    let mut replica = ConfigReplica::new();
    replica.on_trimmed(Offset(4));
    replica.read(Offset(4), entries[4].clone());
    assert!(replica.on_trimmed(Offset(7)));
    replica.read(Offset(7), entries[7].clone());
    let as_of = Offset(4);
    let outcome = replica.read(Offset(8), part);
    assert_eq!(outcome, EntryOutcome::SnapshotRejected { as_of });
    assert_eq!(replica.status(), ReplicaStatus::Gap { first: Offset(7) });
}

/// Guards against an old snapshot in the stream that reverts the state of a ready replica.
#[test]
fn stale_snapshot_does_not_revert_a_ready_replica() {
    let entries = history(6);
    let snapshot = replay(&entries[..2]).snapshot().unwrap().unwrap();
    let mut replica = replay(&entries);
    let as_of = Offset(1);
    for (at, entry) in (6..).zip(snapshot_entries("b", 1, &snapshot, 2)) {
        let last = at == 7;
        let outcome = replica.read(Offset(at), entry);
        let expected = if last {
            EntryOutcome::SnapshotComplete { as_of }
        } else {
            EntryOutcome::SnapshotPart
        };
        assert_eq!(outcome, expected);
    }
    assert_eq!(version(&replica), Some(6));
    assert_eq!(replica.newest_snapshot(), Some(as_of));
}

/// Guards against an older snapshot that replaces a newer one as the newest.
#[test]
fn newest_snapshot_never_decreases() {
    let entries = history(6);
    let mut replica = replay(&entries);
    let newer = replay(&entries[..4]).snapshot().unwrap().unwrap();
    let older = replay(&entries[..2]).snapshot().unwrap().unwrap();
    replica.read(Offset(6), snapshot_entries("b", 1, &newer, 1).remove(0));
    replica.read(Offset(7), snapshot_entries("c", 1, &older, 1).remove(0));
    assert_eq!(replica.newest_snapshot(), Some(Offset(3)));
}

/// Guards against a peer's old snapshot that reverts the configuration.
#[rstest]
#[case::older(2)]
#[case::equal(4)]
fn stale_peer_snapshot_is_not_adopted(#[case] count: u64) {
    let snapshot = replay(&history(count)).snapshot().unwrap().unwrap();
    let mut replica = replay(&history(4));
    assert_eq!(replica.adopt(&snapshot).unwrap(), AdoptOutcome::Stale);
    assert_eq!(version(&replica), Some(4));
    assert_eq!(replica.next(), Offset(4));
}

/// Guards against records that are applied twice or lost after adopting a peer's newer snapshot.
#[test]
fn newer_peer_snapshot_is_adopted() {
    let entries = history(6);
    let snapshot = replay(&entries[..5]).snapshot().unwrap().unwrap();
    let mut replica = replay(&entries[..2]);
    let applied = Vec::new();
    let adoption = replica.adopt(&snapshot).unwrap();
    assert_eq!(adoption, AdoptOutcome::Adopted { applied });
    assert_eq!(
        replica.read(Offset(3), entries[3].clone()),
        EntryOutcome::AlreadyRead
    );
    let outcome = replica.read(Offset(5), entries[5].clone());
    assert!(matches!(outcome, EntryOutcome::Applied(_)), "{outcome:?}");
    assert_eq!(version(&replica), Some(6));
    let incarnation = &entries[0].writer.incarnation;
    assert_eq!(replica.last_sequence(incarnation), Some(6));
}

/// Guards against a peer's snapshot that ends a gap without applying the buffered records, or
/// although records between the snapshot and the first buffered one are missing.
#[rstest]
#[case::too_old(3, None)]
#[case::just_reaches(4, Some(6))]
#[case::overlaps(5, Some(6))]
#[case::beyond_what_was_read(7, Some(7))]
fn peer_snapshot_in_a_gap(#[case] count: u64, #[case] expected: Option<u64>) {
    let entries = history(8);
    let snapshot = replay(&entries[..count as usize]);
    let snapshot = snapshot.snapshot().unwrap().unwrap();
    let mut replica = ConfigReplica::new();
    replica.on_trimmed(Offset(4));
    replica.read(Offset(4), entries[4].clone());
    replica.read(Offset(5), entries[5].clone());
    replica.adopt(&snapshot).unwrap();
    assert_eq!(version(&replica), expected);
}

/// Guards against an unreadable record that stops the reader or opens a gap.
#[test]
fn unreadable_record_is_skipped() {
    let entries = history(3);
    let mut replica = replay(&entries[..2]);
    replica.skip(Offset(2));
    let mut entry = entries[2].clone();
    entry.writer.sequence += 1;
    let outcome = replica.read(Offset(3), entry);
    assert!(matches!(outcome, EntryOutcome::Applied(_)), "{outcome:?}");
    assert_eq!(version(&replica), Some(3));
}

/// Guards against accepting a peer's snapshot with truncated or trailing bytes.
#[rstest]
#[case::truncated(|bytes: &mut Vec<u8>| { bytes.pop(); })]
#[case::trailing(|bytes: &mut Vec<u8>| bytes.push(0))]
fn damaged_peer_snapshot_is_an_error(#[case] damage: fn(&mut Vec<u8>)) {
    let mut snapshot = replay(&history(2)).snapshot().unwrap().unwrap();
    damage(&mut snapshot.bytes);
    assert!(ConfigReplica::from_snapshot(&snapshot).is_err());
    let mut replica = replay(&history(1));
    assert!(replica.adopt(&snapshot).is_err());
    assert_eq!(version(&replica), Some(1));
}

/// Guards against a reader that stays in a gap although all parts of a snapshot follow: a late copy
/// of a part of an older snapshot of the same writer is stored between them.
#[test]
fn late_part_of_an_older_snapshot_is_ignored_in_a_gap() {
    let entries = history(6);
    let old = snapshot_entries("a", 10, &snapshot_of(&entries[..3]), 2);
    let new = snapshot_entries("a", 12, &snapshot_of(&entries), 2);
    let mut replica = ConfigReplica::new();
    replica.on_trimmed(Offset(6));
    replica.read(Offset(6), new[0].clone());
    replica.read(Offset(7), old[1].clone());
    let outcome = replica.read(Offset(8), new[1].clone());
    assert!(matches!(
        outcome,
        EntryOutcome::Recovered {
            as_of: Offset(5),
            ..
        }
    ));
    assert_eq!(version(&replica), Some(6));
}

#[allow(clippy::unwrap_used)]
fn snapshot_of(entries: &[Entry<Publish>]) -> Snapshot {
    replay(entries).snapshot().unwrap().unwrap()
}
