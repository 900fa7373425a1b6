//! Bounds of what is kept of the responses of backend servers.

use std::sync::atomic::{
    AtomicUsize,
    Ordering, //
};

use limpetweir_gateway::{
    ByteBudget,
    EventReader,
    InvalidOutput,
    MAX_EVENT_BYTES,
    NewItem,
    OutputError,
    Plan,
    Progress, //
};
use rstest::rstest;

/// Memory for all outputs, as of a process with 160 MB.
const BUDGET: usize = 20_000_000;

/// Largest text of a result.
const MAX_TEXT: usize = 262_144 - 512;

/// Guards against an output larger than what can be listed, whatever the size of its events.
#[rstest]
#[case::empty(0)]
#[case::short(7)]
#[case::long(100_000)]
#[case::one_that_is_too_large(300_000)]
fn an_output_is_bounded(#[case] bytes: usize) {
    let budget = ByteBudget::new(BUDGET);
    let mut output = Progress::default();
    let data = "x".repeat(bytes);
    let ended = (0..1_000_000).find_map(|id| output.add(id, &data, MAX_TEXT, &budget).err());
    assert_eq!(ended, Some(OutputError::TooLarge { limit: MAX_TEXT }));
    assert!(output.text().len() <= MAX_TEXT);
    assert_eq!(budget.used(), output.text().len());
    drop(output);
    assert_eq!(budget.used(), 0);
}

/// Guards against outputs that together use up the memory of an instance, when all servers send without
/// end in all slots; and against sound items that end because of it.
#[test]
fn all_outputs_together_are_bounded() {
    let budget = ByteBudget::new(BUDGET);
    // 128 servers with 8 slots.
    let mut faulty = vec![Progress::default(); 1_024];
    let data = "x".repeat(1_000);
    let mut has_ended = vec![false; faulty.len()];
    for id in 0..300 {
        for (output, has_ended) in faulty.iter_mut().zip(&mut has_ended) {
            *has_ended |= output.add(id, &data, MAX_TEXT, &budget).is_err();
        }
    }
    assert!(has_ended.iter().all(|ended| *ended));
    assert!(budget.used() <= 2 * BUDGET, "{}", budget.used());
    let mut sound = Progress::default();
    for id in 0..160 {
        let added = sound.add(
            id,
            "a part of fifty bytes of the output of a sound one",
            MAX_TEXT,
            &budget,
        );
        added.expect("room for a sound item");
    }
}

/// Guards against incomplete events that together use up the memory of an instance.
#[test]
fn all_incomplete_events_together_are_bounded() {
    let budget = ByteBudget::new(BUDGET);
    let mut readers: Vec<_> = (0..1_024)
        .map(|_| EventReader::after(None, &budget))
        .collect();
    let bytes = vec![b'x'; 8_192];
    let mut refused = 0;
    for _ in 0..MAX_EVENT_BYTES / bytes.len() {
        for reader in &mut readers {
            let read = reader.push(&bytes);
            refused += usize::from(matches!(read, Err(InvalidOutput::NoMemory { .. })));
        }
        assert!(budget.used() <= 2 * BUDGET, "{}", budget.used());
    }
    assert!(refused > 0);
    drop(readers);
    assert_eq!(budget.used(), 0);
}

/// Guards against tens of thousands of events of one read of blank lines.
#[test]
fn blank_lines_are_one_event() {
    let mut reader = EventReader::after(None, &ByteBudget::new(BUDGET));
    let bytes = [
        &b"\n".repeat(50_000)[..],
        b"id: 0\ndata: a\n\n",
        &b": x\n\n".repeat(9_000),
    ]
    .concat();
    let events = reader.push(&bytes).expect("valid bytes");
    assert_eq!(events.len(), 3);
    let raw: Vec<u8> = events.iter().flat_map(|event| event.raw.to_vec()).collect();
    assert_eq!(raw, bytes);
}

/// Guards against bodies that together use up the memory of an instance, and against a largest one that is
/// refused although nothing else is held.
#[test]
fn bodies_stay_within_the_limit() {
    let budget = ByteBudget::new(BUDGET);
    let mut first = budget.share();
    first.take(2 * BUDGET).expect("room for a single one");
    let mut other = budget.share();
    assert!(other.take(1).is_err());
    drop(first);
    let mut large: Vec<_> = (0..100).map(|_| budget.share()).collect();
    let taken = large.iter_mut().map(|share| share.take(1_000_000).is_ok());
    let taken = taken.filter(|taken| *taken).count();
    assert!(taken > 0 && taken < 100, "{taken}");
    assert!(budget.used() <= BUDGET, "{}", budget.used());
    other.take(10_000).expect("room for a small one");
}

/// Guards against threads that each find room and exceed the limit together.
#[test]
fn threads_that_take_at_once_stay_within_the_limit() {
    const THREADS: usize = 4;
    const BYTES: usize = 100_000;
    let budget = ByteBudget::new(BYTES * 8 / 7 + 1);
    let holders = AtomicUsize::new(0);
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                for _ in 0..100_000 {
                    let mut share = budget.share();
                    if share.take(BYTES).is_err() {
                        continue;
                    }
                    let others = holders.fetch_add(1, Ordering::SeqCst);
                    // Leaves the others time to come into the gap between a check and a reservation.
                    std::thread::yield_now();
                    holders.fetch_sub(1, Ordering::SeqCst);
                    assert_eq!(others, 0, "two shares in the room of one");
                }
            });
        }
    });
    assert_eq!(budget.used(), 0);
}

/// Guards against shares that exceed twice the limit because each came when there were fewer holders.
#[test]
fn shares_that_come_one_after_the_other_stay_within_twice_the_limit() {
    let budget = ByteBudget::new(BUDGET);
    let mut shares = Vec::new();
    for _ in 0..2_000 {
        let mut share = budget.share();
        let most = (1..=10).rev().map(|n| n * MAX_TEXT / 10);
        if most.into_iter().any(|bytes| share.resize(bytes).is_ok()) {
            shares.push(share);
        }
    }
    assert!(budget.used() <= 2 * BUDGET, "{}", budget.used());
}

/// Guards against limits whose sum exceeds the machine, and against a limit below what the settings allow.
#[test]
fn the_limits_fit_every_machine() {
    for memory_mb in (64..=512).chain([1_024, 4_096]) {
        for descriptors in (400..3_000)
            .step_by(100)
            .chain((3_000..=10_250).step_by(50))
        {
            let memory = memory_mb * 1_000_000;
            let plan = Plan::new(memory, descriptors);
            assert!(plan.worst_case() <= memory, "{memory_mb} MB: {plan:?}");
            let connections = plan.callers + 2 * plan.peers + 2 * plan.probes;
            assert!(plan.callers + connections + 200 < descriptors, "{plan:?}");
            assert!(plan.callers >= 40 && plan.peers >= 10, "{plan:?}");
            // Calls of 2 MiB, for themselves.
            assert!(plan.relayed_calls >= 2 << 20, "{memory_mb} MB: {plan:?}");
        }
    }
}

/// Guards against limits under which the smallest machine can no longer serve its load: the largest body beside
/// 50 callers with bodies of 64 KiB, whose responses wait with 16 KiB each, and the items of a job of 2 MiB.
#[test]
fn the_smallest_machine_serves_the_largest_body_and_ordinary_callers() {
    for descriptors in (3_000..=10_250).step_by(50) {
        let plan = Plan::new(120_000_000, descriptors);
        assert!(plan.callers >= 51, "{plan:?}");
        let budget = ByteBudget::new(plan.bodies);
        let mut shares: Vec<_> = (0..52).map(|_| budget.share()).collect();
        let sizes = [4 << 20, 2 << 20].into_iter().chain([64 << 10; 50]);
        for (share, bytes) in shares.iter_mut().zip(sizes) {
            share.take(bytes).expect("room for a body");
        }
        assert!(50 * (16 << 10) <= plan.responses, "{plan:?}");
        assert!(50 * (64 << 10) <= plan.outputs, "{plan:?}");
    }
}

/// Guards against items that count less than what they hold.
#[test]
fn an_item_counts_with_all_its_parts() {
    let item = NewItem {
        id: "i".repeat(10),
        path: "p".repeat(200),
        headers: vec![("n".repeat(30), "v".repeat(4_000)); 2],
        body: vec![b'x'; 50_000].into(),
        tokens: 1,
    };
    assert!(item.memory() >= size_of::<NewItem>() + 10 + 200 + 2 * 4_030 + 50_000);
}
