//! Tasks of the runtime.

#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

use std::sync::Arc;
use std::sync::atomic::{
    AtomicUsize,
    Ordering, //
};
use std::time::{
    Duration,
    Instant, //
};

use limpetweir_transport::{
    Runtime,
    restart_on_panic,
    timeout_at, //
};

/// Far longer than any expected wait of a test; reaching it means that the test hangs.
const HANG_TIMEOUT: Duration = Duration::from_secs(30);

/// Guards against a task that is gone after a panic, whether or not it has returned its future.
#[test]
fn a_task_that_panics_runs_again() {
    let runtime = Runtime::start(1).unwrap();
    let runs = Arc::new(AtomicUsize::new(0));
    let counted = runs.clone();
    let task = restart_on_panic("test", move || {
        let run = counted.fetch_add(1, Ordering::SeqCst);
        assert_ne!(run, 0, "requested by the test");
        async move { assert_ne!(run, 1, "requested by the test") }
    });
    let ended = runtime.block_on(timeout_at(Instant::now() + HANG_TIMEOUT, task));
    assert_eq!(ended, Some(()));
    assert_eq!(runs.load(Ordering::SeqCst), 3);
}
