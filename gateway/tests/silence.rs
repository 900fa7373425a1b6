//! Servers that are silent.

use limpetweir_gateway::{
    BackendKey,
    Outputs,
    SILENCE, //
};
use limpetweir_state::Timestamp;

const SERVER: BackendKey = BackendKey(1);

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

/// Guards against servers that are used last because their requests wait for a slot, and against
/// silent servers that count as usual.
#[test]
fn a_server_is_silent_until_its_next_output() {
    let silence = u64::try_from(SILENCE.as_millis()).expect("a number");
    let mut outputs = Outputs::default();
    assert!(!outputs.is_silent(SERVER, at(10_000)));
    outputs.began(SERVER, at(0));
    assert!(!outputs.is_silent(SERVER, at(silence - 1)));
    assert!(outputs.is_silent(SERVER, at(silence)));
    outputs.wrote(SERVER, at(silence));
    assert!(!outputs.is_silent(SERVER, at(silence + 1)));
    outputs.ended(SERVER);
    assert!(!outputs.is_silent(SERVER, at(3 * silence)));
}

/// Guards against a server that is forgotten with its last run, and against one that stays silent
/// for ever because it gets no run that could show the opposite.
#[test]
fn a_server_whose_run_was_dropped_is_silent_for_a_while() {
    let mut outputs = Outputs::default();
    outputs.began(SERVER, at(0));
    outputs.dropped(SERVER, at(1_000));
    outputs.ended(SERVER);
    assert!(outputs.is_silent(SERVER, at(1_500)));
    assert_eq!(outputs.recently_dropped(at(1_500)).count(), 1);
    assert!(!outputs.is_silent(SERVER, at(2_000)));
    outputs.dropped(SERVER, at(2_000));
    outputs.began(SERVER, at(2_100));
    assert!(!outputs.is_silent(SERVER, at(2_100)));
}
