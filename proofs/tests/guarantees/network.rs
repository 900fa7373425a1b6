//! A fake of the network between instances: loss, delay, duplicates, reordering and partitions.

use std::collections::BTreeSet;

use limpetweir_coordination::{AttemptEnd, AttemptId, Report};
use limpetweir_state::*;
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::batch::ItemOutcome;

/// A call that an instance forwards to the owner of a job group.
#[derive(Clone, Debug)]
pub(crate) enum JobCall {
    /// Key, number of items and body.
    Submit(String, u32, u8),
    Cancel(String),
}

impl JobCall {
    pub(crate) fn key(&self) -> &str {
        match self {
            Self::Submit(key, ..) | Self::Cancel(key) => key,
        }
    }
}

/// An item sent to the manager of an engine.
#[derive(Clone, Debug)]
pub(crate) struct RunItem {
    pub(crate) attempt: AttemptId,
    pub(crate) engine: u16,
    pub(crate) engine_epoch: Epoch,
    pub(crate) job: JobId,
    pub(crate) index: u32,
    pub(crate) poison: bool,
}

#[derive(Clone, Debug)]
pub(crate) enum Message {
    Heartbeat(Report),
    FetchConfig,
    Config(Snapshot),
    Job(JobCall),
    Run(RunItem),
    Stop(RunItem),
    Ended(AttemptId, AttemptEnd<ItemOutcome>),
}

pub(crate) struct Network {
    /// Links that drop all messages, as (sender, receiver).
    pub(crate) partitioned: BTreeSet<(usize, usize)>,
    /// Percentage of the messages that are lost, and of the others that arrive twice.
    pub(crate) loss: u32,
    pub(crate) max_delay_ms: u64,
    queue: Vec<(u64, usize, usize, Message)>,
    rng: SmallRng,
}

impl Network {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            partitioned: BTreeSet::new(),
            loss: 0,
            max_delay_ms: 0,
            queue: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    pub(crate) fn send(&mut self, now: u64, from: usize, to: usize, message: Message) {
        if from != to && self.rng.random_range(0..100) < self.loss {
            return;
        }
        let copies = 1 + u32::from(self.rng.random_range(0..100) < self.loss);
        for _ in 0..copies {
            let delay = self.rng.random_range(0..=self.max_delay_ms);
            self.queue.push((now + delay, from, to, message.clone()));
        }
    }

    /// Removes the messages that are due; returns those delivered, as (sender, receiver, message).
    pub(crate) fn arrivals(&mut self, now: u64) -> Vec<(usize, usize, Message)> {
        let due = self.queue.extract_if(.., |(at, ..)| *at < now);
        let delivered =
            due.filter(|(_, from, to, _)| from == to || !self.partitioned.contains(&(*from, *to)));
        delivered
            .map(|(_, from, to, message)| (from, to, message))
            .collect()
    }

    /// Partitions two instances in both directions.
    pub(crate) fn partition_both(&mut self, i: usize, j: usize) {
        self.partitioned.extend([(i, j), (j, i)]);
    }
}
