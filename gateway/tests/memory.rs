//! Bounds of what is kept of the responses of backend servers.

use limpetweir_gateway::{
    ByteBudget,
    EventReader,
    InvalidOutput,
    MAX_EVENT_BYTES,
    OutputError,
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
