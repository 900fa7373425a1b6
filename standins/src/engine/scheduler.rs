//! Time model and scheduler of continuous batching.

use std::{
    collections::VecDeque,
    time::Duration, //
};

use super::cache::{
    BLOCK_TOKENS,
    PrefixCache, //
};

/// Constants of the time model.
///
/// The engine works in steps. At the start of a step it admits waiting requests in order of
/// arrival, without priorities, while the batch has free slots. A step takes
///
/// `(step_base + step_per_sequence * batch + prefill_per_token * uncached) * slowdown`
///
/// where `batch` counts the sequences in the step and `uncached` the prompt tokens of the newly
/// admitted ones that the prefix cache does not hold, including tokens to resume from. So the time
/// between tokens grows with the batch size, and a long prompt delays the whole batch. At the end
/// of a step each sequence has one more token; a sequence with all its tokens leaves the batch. A
/// request that arrives during a step waits for the next one. A cancelled sequence frees its slot
/// at once, but the running step keeps its length. Prompt blocks enter the cache at admission;
/// generated tokens do not enter it.
#[derive(Debug, Clone)]
pub struct TimeModel {
    /// Fixed part of a step.
    pub step_base: Duration,
    /// Part of a step for each sequence in it.
    pub step_per_sequence: Duration,
    /// Time for each uncached prompt token of newly admitted requests.
    pub prefill_per_token: Duration,
    /// Most sequences in the batch.
    pub slots: usize,
    /// Memory of the prefix cache, in blocks of 16 tokens.
    pub cache_blocks: usize,
}

impl Default for TimeModel {
    fn default() -> Self {
        Self {
            step_base: Duration::from_millis(10),
            step_per_sequence: Duration::from_millis(1),
            prefill_per_token: Duration::from_micros(50),
            slots: 16,
            cache_blocks: 4096,
        }
    }
}

/// A request as the scheduler sees it.
#[derive(Debug, Clone, Default)]
pub struct Work {
    /// Identifies the request.
    pub id: u64,
    /// Tokens of the prompt.
    pub prompt_tokens: usize,
    /// Cacheable blocks of the prompt.
    pub blocks: Vec<u64>,
    /// Tokens that an earlier attempt generated; they are prefilled but not cached.
    pub resume_tokens: usize,
    /// Tokens to generate; at least 1.
    pub output_tokens: usize,
}

/// One more token of a sequence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Progress {
    /// End of the step.
    pub at: Duration,
    /// Identifies the request.
    pub id: u64,
    /// Tokens generated so far.
    pub generated: usize,
    /// Prompt tokens that the cache held at admission.
    pub cached_tokens: usize,
    /// Whether this was the last token.
    pub finished: bool,
}

#[derive(Debug)]
struct Sequence {
    id: u64,
    output_tokens: usize,
    generated: usize,
    cached_tokens: usize,
}

#[derive(Debug, Clone, Copy)]
enum Step {
    Idle,
    Ends(Duration),
    /// Stalled with this much time left; `None` if no step has begun.
    Stalled(Option<Duration>),
}

/// Batch and queue of one engine. Time is an argument, so tests use virtual time.
#[derive(Debug)]
pub struct Scheduler {
    model: TimeModel,
    cache: PrefixCache,
    waiting: VecDeque<Work>,
    running: Vec<Sequence>,
    step: Step,
    slowdown: f64,
}

impl Scheduler {
    /// Returns an idle engine with an empty cache.
    pub fn new(model: TimeModel) -> Self {
        let cache = PrefixCache::new(model.cache_blocks);
        Self {
            model,
            cache,
            waiting: VecDeque::new(),
            running: Vec::new(),
            step: Step::Idle,
            slowdown: 1.0,
        }
    }

    /// Queues a request. All steps that end by `now` must have been taken with `advance`.
    pub fn submit(&mut self, now: Duration, work: Work) {
        self.waiting.push_back(work);
        if matches!(self.step, Step::Idle) {
            self.begin_step(now);
        }
    }

    /// Removes a request; a request that is not here is ignored.
    pub fn cancel(&mut self, id: u64) {
        self.waiting.retain(|work| work.id != id);
        self.running.retain(|sequence| sequence.id != id);
    }

    /// Returns the end of the running step.
    pub fn next_step(&self) -> Option<Duration> {
        match self.step {
            Step::Ends(at) => Some(at),
            Step::Idle | Step::Stalled(_) => None,
        }
    }

    /// Completes the steps that end by `now` and returns their tokens in order.
    pub fn advance(&mut self, now: Duration) -> Vec<Progress> {
        let mut progress = Vec::new();
        while let Step::Ends(at) = self.step
            && at <= now
        {
            self.end_step(at, &mut progress);
            self.begin_step(at);
        }
        progress
    }

    /// Stops all progress, or lets it go on with the time that the running step had left.
    pub fn set_stalled(&mut self, now: Duration, stalled: bool) {
        match (self.step, stalled) {
            (Step::Idle, true) => self.step = Step::Stalled(None),
            (Step::Ends(at), true) => self.step = Step::Stalled(Some(at.saturating_sub(now))),
            (Step::Stalled(Some(left)), false) => self.step = Step::Ends(now + left),
            (Step::Stalled(None), false) => self.begin_step(now),
            _ => {}
        }
    }

    /// Multiplies the length of the steps that begin from now on.
    pub fn set_slowdown(&mut self, slowdown: f64) {
        self.slowdown = slowdown;
    }

    /// Returns the number of sequences in the batch.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of requests that wait for admission.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the constants of the time model.
    pub fn model(&self) -> &TimeModel {
        &self.model
    }

    /// Returns the prefix cache.
    pub fn cache(&self) -> &PrefixCache {
        &self.cache
    }

    /// Returns the prefix cache for changes.
    pub fn cache_mut(&mut self) -> &mut PrefixCache {
        &mut self.cache
    }

    fn begin_step(&mut self, now: Duration) {
        let uncached = self.admit();
        if self.running.is_empty() {
            self.step = Step::Idle;
            return;
        }
        let batch = u32::try_from(self.running.len()).unwrap_or(u32::MAX);
        let uncached = u32::try_from(uncached).unwrap_or(u32::MAX);
        let length = self.model.step_base
            + self.model.step_per_sequence * batch
            + self.model.prefill_per_token * uncached;
        self.step = Step::Ends(now + length.mul_f64(self.slowdown));
    }

    /// Moves waiting requests into free slots and returns the tokens to prefill.
    fn admit(&mut self) -> usize {
        let mut uncached = 0;
        while self.running.len() < self.model.slots
            && let Some(work) = self.waiting.pop_front()
        {
            let cached_tokens = self.cache.cached(&work.blocks) * BLOCK_TOKENS;
            self.cache.store(&work.blocks);
            uncached += work.prompt_tokens.saturating_sub(cached_tokens) + work.resume_tokens;
            self.running.push(Sequence {
                id: work.id,
                output_tokens: work.output_tokens,
                generated: 0,
                cached_tokens,
            });
        }
        uncached
    }

    fn end_step(&mut self, at: Duration, progress: &mut Vec<Progress>) {
        for sequence in &mut self.running {
            sequence.generated += 1;
            progress.push(Progress {
                at,
                id: sequence.id,
                generated: sequence.generated,
                cached_tokens: sequence.cached_tokens,
                finished: sequence.generated >= sequence.output_tokens,
            });
        }
        self.running
            .retain(|sequence| sequence.generated < sequence.output_tokens);
    }
}
