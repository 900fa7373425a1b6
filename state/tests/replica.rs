//! Replicas: resends, gaps and snapshots.

mod common;

use common::{
    data,
    publish,
    snapshot_entries,
    writer, //
};
use limpetweir_state::*;
use rstest::rstest;

type Config = Replica<Publications>;

/// Publishes versions 1 to `count`; the entry with offset n makes version n + 1.
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

fn replay(entries: &[Entry<Publish>]) -> Config {
    let mut replica = Config::new();
    for (at, entry) in (0..).zip(entries) {
        replica.read(Offset(at), entry.clone());
    }
    replica
}

fn version(replica: &Config) -> Option<u64> {
    replica.fold().map(|fold| fold.version().0)
}

/// Guards against a resent entry that is applied a second time.
#[test]
fn resent_entry_has_no_effect() {
    let mut replica = replay(&history(2));
    let resent = history(2)[1].clone();
    assert_eq!(replica.read(Offset(2), resent), EntryOutcome::Resent);
    assert_eq!(version(&replica), Some(2));
    assert_eq!(replica.next(), Offset(3));
}

/// Guards against losing resend detection when the state comes from a snapshot.
#[test]
fn resent_entry_has_no_effect_after_restore() {
    let snapshot = replay(&history(2)).snapshot().unwrap().unwrap();
    let mut replica = Config::from_snapshot(&snapshot).unwrap();
    let resent = history(2)[1].clone();
    assert_eq!(replica.read(Offset(2), resent), EntryOutcome::Resent);
}

/// Guards against applying an offset twice when reads overlap.
#[test]
fn old_offset_is_ignored() {
    let mut replica = replay(&history(2));
    let entry = data("b", 9, publish("x", 2, ""));
    assert_eq!(replica.read(Offset(1), entry), EntryOutcome::AlreadyRead);
    assert_eq!(version(&replica), Some(2));
}

/// Guards against sequences of one incarnation that hide entries of the next one.
#[test]
fn restarted_writer_starts_a_new_sequence() {
    let mut replica = replay(&history(2));
    let mut entry = data("a", 1, publish("x", 2, ""));
    entry.writer.incarnation.started += 1;
    let step = replica.read(Offset(2), entry);
    assert!(matches!(step, EntryOutcome::Applied(_)), "{step:?}");
}

/// Guards against acting on a state from which trimmed records are missing.
#[test]
fn gap_without_snapshot_stays_a_gap() {
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

/// Guards against an offset jump that goes unnoticed because no trim was reported.
#[test]
fn offset_jump_is_a_gap() {
    let entries = history(6);
    let mut replica = replay(&entries[..2]);
    assert_eq!(
        replica.read(Offset(4), entries[4].clone()),
        EntryOutcome::Buffered
    );
    assert_eq!(replica.status(), ReplicaStatus::Gap { first: Offset(4) });
}

/// Guards against a trim of records that were read long ago being taken for a gap.
#[test]
fn trim_of_read_records_is_no_gap() {
    let mut replica = replay(&history(3));
    assert!(!replica.on_trimmed(Offset(3)));
    assert_eq!(version(&replica), Some(3));
}

/// Guards against a gap that a usable snapshot does not end, and against losing records that were
/// buffered before, between and after the parts of the snapshot.
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

    let mut replica = Config::new();
    replica.on_trimmed(Offset(first));
    let (end, rest) = stream.split_last().unwrap();
    for (at, entry) in (0..).zip(rest).skip(first as usize) {
        replica.read(Offset(at), entry.clone());
        assert_eq!(version(&replica), None);
    }
    let step = replica.read(Offset(rest.len() as u64), end.clone());
    let EntryOutcome::Recovered { as_of, applied } = step else {
        panic!("{step:?}");
    };
    assert_eq!(as_of, Offset(4));
    let writers: Vec<_> = applied.iter().map(|applied| &applied.writer).collect();
    assert_eq!(writers, [&writer("a", 6), &writer("a", 7)]);
    assert_eq!(replica.fold(), expected.fold());
    assert_eq!(replica.snapshot().unwrap(), expected.snapshot().unwrap());
}

/// Guards against ending a gap with a snapshot that leaves out trimmed records.
#[test]
fn snapshot_older_than_the_gap_is_rejected() {
    let entries = history(6);
    let snapshot = replay(&entries[..3]).snapshot().unwrap().unwrap();
    let [part] = &snapshot_entries("b", 1, &snapshot, 1)[..] else {
        panic!("one part expected");
    };
    let mut replica = Config::new();
    replica.on_trimmed(Offset(4));
    replica.read(Offset(4), entries[4].clone());
    let as_of = Offset(2);
    let step = replica.read(Offset(5), part.clone());
    assert_eq!(step, EntryOutcome::SnapshotRejected { as_of });
    assert_eq!(version(&replica), None);
}

/// Guards against a snapshot assembled from parts of two writers, or without its first part.
#[test]
fn parts_of_different_writers_are_not_combined() {
    let entries = history(5);
    let snapshot = replay(&entries).snapshot().unwrap().unwrap();
    let by_b = snapshot_entries("b", 1, &snapshot, 2);
    let by_c = snapshot_entries("c", 1, &snapshot, 2);
    let mut replica = Config::new();
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

/// Guards against joining parts whose bytes a ready replica did not keep before it was trimmed.
#[test]
fn parts_read_before_a_gap_are_not_joined() {
    let entries = history(5);
    let mut replica = replay(&entries);
    let snapshot = replica.snapshot().unwrap().unwrap();
    let parts = snapshot_entries("b", 1, &snapshot, 2);
    let step = replica.read(Offset(5), parts[0].clone());
    assert_eq!(step, EntryOutcome::SnapshotPart);
    replica.on_trimmed(Offset(7));
    let step = replica.read(Offset(7), parts[1].clone());
    assert_eq!(step, EntryOutcome::SnapshotPart);
}

/// Guards against a snapshot with unreadable bytes that replaces or stops the reader.
#[test]
fn corrupt_snapshot_is_rejected_and_the_next_one_used() {
    let entries = history(5);
    let mut snapshot = replay(&entries).snapshot().unwrap().unwrap();
    let good = snapshot_entries("b", 2, &snapshot, 1).remove(0);
    snapshot.bytes.truncate(10);
    let bad = snapshot_entries("b", 1, &snapshot, 1).remove(0);
    let mut replica = Config::new();
    replica.on_trimmed(Offset(5));
    let as_of = Offset(4);
    let step = replica.read(Offset(5), bad);
    assert_eq!(step, EntryOutcome::SnapshotRejected { as_of });
    let step = replica.read(Offset(6), good);
    assert!(matches!(step, EntryOutcome::Recovered { .. }), "{step:?}");
    assert_eq!(version(&replica), Some(5));
}

/// Guards against a snapshot record that names records after itself.
#[test]
fn snapshot_of_the_future_is_rejected() {
    let mut snapshot = replay(&history(3)).snapshot().unwrap().unwrap();
    snapshot.as_of = Offset(90);
    let part = snapshot_entries("b", 1, &snapshot, 1).remove(0);
    let mut replica = Config::new();
    replica.on_trimmed(Offset(5));
    let as_of = Offset(90);
    let step = replica.read(Offset(5), part);
    assert_eq!(step, EntryOutcome::SnapshotRejected { as_of });
}

/// Guards against a second trim in a gap that leaves a hole in the buffered records.
#[test]
fn second_trim_raises_the_gap() {
    let entries = history(8);
    let snapshot = replay(&entries[..5]).snapshot().unwrap().unwrap();
    let part = snapshot_entries("b", 1, &snapshot, 1).remove(0);
    let mut replica = Config::new();
    replica.on_trimmed(Offset(4));
    replica.read(Offset(4), entries[4].clone());
    assert!(replica.on_trimmed(Offset(7)));
    replica.read(Offset(7), entries[7].clone());
    let as_of = Offset(4);
    let step = replica.read(Offset(8), part);
    assert_eq!(step, EntryOutcome::SnapshotRejected { as_of });
    assert_eq!(replica.status(), ReplicaStatus::Gap { first: Offset(7) });
}

/// Guards against a stale snapshot in the stream that takes a ready replica back.
#[test]
fn stale_snapshot_does_not_revert_a_ready_replica() {
    let entries = history(6);
    let snapshot = replay(&entries[..2]).snapshot().unwrap().unwrap();
    let mut replica = replay(&entries);
    let as_of = Offset(1);
    for (at, entry) in (6..).zip(snapshot_entries("b", 1, &snapshot, 2)) {
        let last = at == 7;
        let step = replica.read(Offset(at), entry);
        let expected = if last {
            EntryOutcome::SnapshotComplete { as_of }
        } else {
            EntryOutcome::SnapshotPart
        };
        assert_eq!(step, expected);
    }
    assert_eq!(version(&replica), Some(6));
    assert_eq!(replica.newest_snapshot(), Some(as_of));
}

/// Guards against an older snapshot that hides a newer complete one.
#[test]
fn newest_snapshot_never_goes_back() {
    let entries = history(6);
    let mut replica = replay(&entries);
    let newer = replay(&entries[..4]).snapshot().unwrap().unwrap();
    let older = replay(&entries[..2]).snapshot().unwrap().unwrap();
    replica.read(Offset(6), snapshot_entries("b", 1, &newer, 1).remove(0));
    replica.read(Offset(7), snapshot_entries("c", 1, &older, 1).remove(0));
    assert_eq!(replica.newest_snapshot(), Some(Offset(3)));
}

/// Guards against a peer's stale snapshot that reverts the configuration.
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

/// Guards against records that are applied twice or lost after a peer's newer snapshot.
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
    let step = replica.read(Offset(5), entries[5].clone());
    assert!(matches!(step, EntryOutcome::Applied(_)), "{step:?}");
    assert_eq!(version(&replica), Some(6));
    let incarnation = &entries[0].writer.incarnation;
    assert_eq!(replica.last_sequence(incarnation), Some(6));
}

/// Guards against a gap that a peer's snapshot ends without the buffered records, or ends although
/// records are missing between the snapshot and the first one read.
#[rstest]
#[case::too_old(3, None)]
#[case::just_reaches(4, Some(6))]
#[case::overlaps(5, Some(6))]
#[case::beyond_what_was_read(7, Some(7))]
fn peer_snapshot_in_a_gap(#[case] count: u64, #[case] expected: Option<u64>) {
    let entries = history(8);
    let snapshot = replay(&entries[..count as usize]);
    let snapshot = snapshot.snapshot().unwrap().unwrap();
    let mut replica = Config::new();
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
    let step = replica.read(Offset(3), entry);
    assert!(matches!(step, EntryOutcome::Applied(_)), "{step:?}");
    assert_eq!(version(&replica), Some(3));
}

/// Guards against a peer snapshot with bytes that are cut off or too long.
#[rstest]
#[case::cut(|bytes: &mut Vec<u8>| { bytes.pop(); })]
#[case::trailing(|bytes: &mut Vec<u8>| bytes.push(0))]
fn damaged_peer_snapshot_is_an_error(#[case] damage: fn(&mut Vec<u8>)) {
    let mut snapshot = replay(&history(2)).snapshot().unwrap().unwrap();
    damage(&mut snapshot.bytes);
    assert!(Config::from_snapshot(&snapshot).is_err());
    let mut replica = replay(&history(1));
    assert!(replica.adopt(&snapshot).is_err());
    assert_eq!(version(&replica), Some(1));
}

/// Guards against a reader that stays in a gap although a complete snapshot follows, because a late
/// copy of a part of an older snapshot of the same writer stands between its parts.
#[test]
fn late_part_of_an_older_snapshot_is_ignored_in_a_gap() {
    let entries = history(6);
    let old = snapshot_entries("a", 10, &replay_all(&entries[..3]), 2);
    let new = snapshot_entries("a", 12, &replay_all(&entries), 2);
    let mut replica = Config::new();
    replica.on_trimmed(Offset(6));
    replica.read(Offset(6), new[0].clone());
    replica.read(Offset(7), old[1].clone());
    let step = replica.read(Offset(8), new[1].clone());
    assert!(matches!(
        step,
        EntryOutcome::Recovered {
            as_of: Offset(5),
            ..
        }
    ));
    assert_eq!(version(&replica), Some(6));
}

#[allow(clippy::unwrap_used)]
fn replay_all(entries: &[Entry<Publish>]) -> Snapshot {
    replay(entries).snapshot().unwrap().unwrap()
}
