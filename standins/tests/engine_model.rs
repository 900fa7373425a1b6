//! Tests of the time model of the engine in virtual time.

#![allow(
    clippy::unwrap_used,
    reason = "a helper that fails has to fail its test"
)]

use std::time::Duration;

use limpetweir_standins::engine::{
    CacheChange,
    PrefixCache,
    Scheduler,
    TimeModel,
    Work,
    text, //
};
use rstest::rstest;

const MS: Duration = Duration::from_millis(1);

/// Returns a scheduler with steps of 10 ms, 1 ms per sequence and 1 ms per uncached token.
fn scheduler(slots: usize, cache_blocks: usize) -> Scheduler {
    Scheduler::new(TimeModel {
        step_base: 10 * MS,
        step_per_sequence: MS,
        prefill_per_token: MS,
        slots,
        cache_blocks,
    })
}

fn work(id: u64, output_tokens: usize) -> Work {
    Work {
        id,
        output_tokens,
        ..Work::default()
    }
}

fn prompt_work(id: u64, prompt: &str) -> Work {
    Work {
        id,
        prompt_tokens: text::prompt_tokens(prompt),
        blocks: PrefixCache::blocks("m", prompt),
        output_tokens: 1,
        ..Work::default()
    }
}

/// Runs until idle and returns the ids and times of the completed requests in order.
fn completions(scheduler: &mut Scheduler) -> Vec<(u64, Duration)> {
    let mut finished = Vec::new();
    while let Some(at) = scheduler.next_step() {
        let progress = scheduler.advance(at);
        finished.extend(progress.iter().filter(|p| p.finished).map(|p| (p.id, p.at)));
    }
    finished
}

/// Guards against an engine that reorders its queue, which would hide head-of-line blocking.
#[test]
fn one_slot_completes_in_arrival_order() {
    let mut engine = scheduler(1, 0);
    engine.submit(Duration::ZERO, work(1, 3));
    engine.submit(Duration::ZERO, work(2, 1));
    assert_eq!(completions(&mut engine), [(1, 33 * MS), (2, 44 * MS)]);
}

/// Guards against admission before a slot is free, and steps independent of the batch size.
#[test]
fn batch_completes_by_the_stated_model() {
    let mut engine = scheduler(2, 0);
    engine.submit(Duration::ZERO, work(1, 4));
    engine.submit(Duration::ZERO, work(2, 2));
    engine.submit(Duration::ZERO, work(3, 1));
    assert_eq!((engine.running(), engine.waiting()), (1, 2));
    // Steps end at 11 ms (sequence 1), 23 (1, 2), 35 (1, 2) and 47 (1, 3).
    assert_eq!(
        completions(&mut engine),
        [(2, 35 * MS), (1, 47 * MS), (3, 47 * MS)]
    );
}

/// Guards against a time between tokens that does not grow with the batch size.
#[rstest]
#[case(1, 11)]
#[case(4, 14)]
#[case(8, 18)]
fn step_grows_with_the_batch(#[case] batch: u64, #[case] step_ms: u32) {
    let mut engine = scheduler(8, 0);
    engine.set_stalled(Duration::ZERO, true);
    for id in 0..batch {
        engine.submit(Duration::ZERO, work(id, 2));
    }
    engine.set_stalled(Duration::ZERO, false);
    engine.advance(step_ms * MS);
    assert_eq!(engine.next_step(), Some(2 * step_ms * MS));
}

/// Guards against a prefix cache without effect on the prefill time.
#[test]
fn cached_prefix_shortens_the_prefill() {
    let mut engine = scheduler(1, 8);
    let prompt = "x".repeat(128);
    engine.submit(Duration::ZERO, prompt_work(1, &prompt));
    engine.submit(Duration::ZERO, prompt_work(2, &prompt));
    engine.submit(Duration::ZERO, prompt_work(3, &format!("{prompt}yyyy")));
    // 32 uncached tokens, then none, then one.
    assert_eq!(
        completions(&mut engine),
        [(1, 43 * MS), (2, 54 * MS), (3, 66 * MS)]
    );
}

/// Guards against a cache without a memory limit.
#[test]
fn cache_evicts_the_least_recently_used_block() {
    let mut cache = PrefixCache::new(2);
    let [a, b, c] = ["a", "b", "c"].map(|text| PrefixCache::blocks("m", &text.repeat(64))[0]);
    cache.store(&[a]);
    cache.store(&[b]);
    cache.store(&[a]);
    cache.store(&[c]);
    assert_eq!(
        (cache.cached(&[a]), cache.cached(&[b]), cache.cached(&[c])),
        (1, 0, 1)
    );
    let expected = [
        CacheChange::Stored(a),
        CacheChange::Stored(b),
        CacheChange::Stored(c),
        CacheChange::Removed(b),
    ];
    assert_eq!(cache.take_changes(), expected);
}

/// Guards against a cancelled request that keeps its slot.
#[test]
fn cancelled_request_frees_its_slot() {
    let mut engine = scheduler(1, 0);
    engine.submit(Duration::ZERO, work(1, 100));
    engine.submit(Duration::ZERO, work(2, 1));
    engine.cancel(1);
    assert_eq!(completions(&mut engine), [(2, 22 * MS)]);
}

/// Guards against a stall that shortens or lengthens the running step.
#[test]
fn stalled_step_continues_with_the_time_left() {
    let mut engine = scheduler(1, 0);
    engine.submit(Duration::ZERO, work(1, 1));
    engine.set_stalled(5 * MS, true);
    assert_eq!(engine.next_step(), None);
    assert!(engine.advance(100 * MS).is_empty());
    engine.set_stalled(100 * MS, false);
    assert_eq!(completions(&mut engine), [(1, 106 * MS)]);
}

/// Guards against a slowdown that has no effect.
#[test]
fn slowdown_lengthens_steps() {
    let mut engine = scheduler(1, 0);
    engine.set_slowdown(3.0);
    engine.submit(Duration::ZERO, work(1, 1));
    assert_eq!(completions(&mut engine), [(1, 33 * MS)]);
}

/// Guards against text that depends on the start of an attempt, or not on prompt and model.
#[test]
fn text_depends_on_model_prompt_and_position_only() {
    let source = text::Text::new("m", "prompt");
    assert_eq!(
        source.range(0, 7) + &source.range(7, 20),
        source.range(0, 20)
    );
    assert_ne!(
        source.range(0, 20),
        text::Text::new("m", "other").range(0, 20)
    );
    assert_ne!(
        source.range(0, 20),
        text::Text::new("other", "prompt").range(0, 20)
    );
}
