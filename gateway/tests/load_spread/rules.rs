//! The compared rules of placement.

use std::collections::hash_map::DefaultHasher;
use std::hash::{
    Hash,
    Hasher, //
};

use std::time::Duration;

use limpetweir_gateway::{
    Candidate,
    Limits,
    Placement,
    Staleness,
    place,
    place_stale, //
};

/// Mean time for which a stream has a slot.
const HOLDING: Duration = Duration::from_millis(600);

/// A rule of placement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Rule {
    /// The least loaded server.
    LeastLoaded,
    /// The least loaded server by counts without delay, as a bound.
    Fresh,
    /// The better one of this many, drawn among those that would start the request.
    Choices(u32),
    /// The first one in the instance's own order among those within a slot of the least loaded one.
    OwnOrder,
    /// Free slots are assigned to instances; the least loaded one of those of this instance.
    IdleSlots,
    /// A random one of those with a free slot.
    Random,
    /// The slot that is due after a random part of the unseen requests; the product's rule.
    Fill,
}

impl Rule {
    pub(crate) fn choose(
        self,
        candidates: &[Candidate],
        limits: Limits,
        (unseen, age): (f64, Duration),
        me: usize,
        draw: u32,
    ) -> Placement {
        let among = |keep: &dyn Fn(&Candidate) -> bool| {
            let kept = candidates.iter().filter(|c| keep(c)).copied();
            let kept: Vec<Candidate> = kept.collect();
            match kept.is_empty() {
                true => place(candidates, limits),
                false => place(&kept, limits),
            }
        };
        let free = |c: &Candidate| c.placed.online < c.slots;
        match self {
            Self::LeastLoaded | Self::Fresh => place(candidates, limits),
            Self::Choices(n) => {
                let mut draws: Vec<u32> = candidates
                    .iter()
                    .filter(|c| free(c))
                    .map(|c| c.draw)
                    .collect();
                draws.sort_unstable();
                let last = draws.get(n as usize - 1).copied().unwrap_or(u32::MAX);
                among(&|c| free(c) && c.draw <= last)
            }
            Self::OwnOrder => {
                let least = candidates
                    .iter()
                    .map(|c| c.placed.online)
                    .min()
                    .unwrap_or(0);
                let near = |c: &&Candidate| free(c) && c.placed.online <= least + 1;
                let first = candidates.iter().filter(near);
                let first = first.max_by_key(|c| hash(&(c.key, me))).map(|c| c.key);
                among(&|c| Some(c.key) == first)
            }
            Self::IdleSlots => {
                // One instance in four has a claim to each slot, for lack of a list of those with work.
                let mine = |c: &Candidate| hash(&(c.key, c.placed.online, me)).is_multiple_of(4);
                among(&|c| free(c) && mine(c))
            }
            Self::Random => {
                let mut least = candidates.iter().filter(|c| free(c));
                let least = least.by_ref().min_by_key(|c| c.draw).map(|c| c.key);
                among(&|c| Some(c.key) == least)
            }
            Self::Fill => place_stale(
                candidates,
                limits,
                Staleness::draw(unseen, age, HOLDING, draw),
            ),
        }
    }
}

fn hash(value: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}
