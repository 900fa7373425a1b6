//! The choice of a backend server for an online request.

use std::fmt;

use limpetweir_state::{
    Backend,
    BackendId,
    ZoneId, //
};
use rand::Rng;
use strum::{
    Display,
    IntoStaticStr, //
};

use crate::membership::ListState;
use crate::rendezvous::rendezvous_score;

/// Bytes of the prompt that decide its preferred backend server.
const PREFIX_LEN: usize = 256;

/// A server whose load is more than this many times the mean is chosen neither for its cache nor
/// for its zone, and only if every other free server is as loaded.
const LOAD_BOUND: f64 = 1.25;

/// A backend server of the requested service.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The backend server.
    pub backend: &'a Backend,
    /// Its state in the platform's list; `None` if it is not listed.
    pub listed: Option<ListState>,
    /// Whether it failed recently.
    pub in_cooldown: bool,
    /// Whether an earlier attempt of the request was sent to it.
    pub tried: bool,
    /// Online requests of this instance in flight.
    pub own: u32,
    /// Online requests of other instances in flight, from their heartbeats.
    pub peers: u32,
}

impl Candidate<'_> {
    fn exclusion(&self) -> Option<Exclusion> {
        match self.listed {
            None => Some(Exclusion::NotListed),
            Some(ListState::Leaving) => Some(Exclusion::Leaving),
            Some(ListState::Live) if self.in_cooldown => Some(Exclusion::Silent),
            Some(ListState::Live) if self.tried => Some(Exclusion::Tried),
            Some(ListState::Live) => None,
        }
    }

    fn in_flight(&self) -> u64 {
        u64::from(self.own) + u64::from(self.peers)
    }

    fn free(&self) -> i64 {
        i64::from(self.backend.slots) - i64::from(self.own) - i64::from(self.peers)
    }

    fn load(&self) -> f64 {
        self.in_flight() as f64 / f64::from(self.backend.slots.max(1))
    }
}

/// What the choice depends on besides the candidates.
#[derive(Clone, Copy, Debug)]
pub struct RouteRequest<'a> {
    /// Start of the prompt; empty if the request has none.
    pub prompt: &'a [u8],
    /// Availability zone of this instance.
    pub zone: &'a ZoneId,
}

/// Why a backend server is no candidate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Exclusion {
    /// The platform's list does not name it.
    NotListed,
    /// It is leaving.
    Leaving,
    /// It failed recently.
    Silent,
    /// An earlier attempt of the request was sent to it.
    Tried,
}

/// What the prefix of the prompt meant for the choice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum AffinityUse {
    /// The request has no prompt.
    None,
    /// The preferred server was chosen.
    Used,
    /// The preferred server has no free slot, although another one has.
    Full,
    /// The preferred server has more than its part of the load.
    Overloaded,
}

/// One backend server as it was considered.
#[derive(Clone, Debug, PartialEq)]
pub struct Considered {
    /// The backend server.
    pub backend: BackendId,
    /// Why it is no candidate, or `None` if it is one.
    pub exclusion: Option<Exclusion>,
    /// Free slots; negative if more requests are in flight than it has slots.
    pub free: i64,
    /// Whether it has more than its part of the load.
    pub overloaded: bool,
    /// Whether the prefix of the prompt prefers it.
    pub preferred: bool,
    /// Whether it is in the zone of this instance.
    pub same_zone: bool,
}

impl Considered {
    /// Returns the rank; only servers of the highest one are chosen.
    ///
    /// A free slot counts most, because a request waits at a full engine. Free slots are not
    /// compared here: the emptiest server would otherwise always win over the cached prefix.
    fn rank(&self) -> (bool, bool, bool, bool) {
        let even = !self.overloaded;
        let cached = self.preferred && even;
        let near = self.same_zone && even;
        (self.free > 0, cached, near, even)
    }
}

/// The chosen backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The backend server.
    pub backend: BackendId,
    /// Free slots before the request.
    pub free: i64,
    /// Whether it has no free slot, so that its batch manager must be told to yield.
    pub full: bool,
    /// What the prefix of the prompt meant.
    pub affinity: AffinityUse,
    /// Whether it is in the zone of this instance.
    pub same_zone: bool,
    /// Number of servers of the same rank, the chosen one included.
    pub tied: usize,
}

/// The outcome of routing and what it was based on.
///
/// `Display` writes one line without the single servers, for the log; the explain interface shows
/// them all.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteDecision {
    /// The chosen backend server, or `None` if there is no candidate.
    pub choice: Option<Choice>,
    /// Every backend server of the service.
    pub considered: Vec<Considered>,
}

impl RouteDecision {
    /// Returns the number of backend servers that are excluded for `reason`.
    pub fn excluded(&self, reason: Exclusion) -> usize {
        let considered = self.considered.iter();
        considered.filter(|c| c.exclusion == Some(reason)).count()
    }
}

impl fmt::Display for RouteDecision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.choice {
            None => f.write_str("backend=none")?,
            Some(choice) => write!(
                f,
                "backend={} free={} full={} affinity={} same_zone={} tied={}",
                choice.backend,
                choice.free,
                choice.full,
                choice.affinity,
                choice.same_zone,
                choice.tied
            )?,
        }
        write!(f, " considered={}", self.considered.len())?;
        let reasons = [
            Exclusion::NotListed,
            Exclusion::Leaving,
            Exclusion::Silent,
            Exclusion::Tried,
        ];
        for reason in reasons {
            let count = self.excluded(reason);
            if count > 0 {
                write!(f, " {reason}={count}")?;
            }
        }
        Ok(())
    }
}

/// Chooses a backend server among `candidates`.
///
/// A fleet without free slots still gets the request, because engines batch. Among servers of equal
/// rank, two are drawn from `rng` and the one with the lower load is chosen: instances that see the
/// same loads would otherwise all choose the same server.
pub fn route<R: Rng>(
    candidates: &[Candidate<'_>],
    request: &RouteRequest<'_>,
    rng: &mut R,
) -> RouteDecision {
    let considered = consider(candidates, request);
    let eligible = || {
        considered
            .iter()
            .enumerate()
            .filter(|(_, c)| c.exclusion.is_none())
    };
    let best = eligible().map(|(_, c)| c.rank()).max();
    let best: Vec<usize> = eligible()
        .filter(|(_, c)| Some(c.rank()) == best)
        .map(|(n, _)| n)
        .collect();
    let chosen = draw(&best, candidates, rng);
    let choice = chosen.map(|n| Choice {
        backend: considered[n].backend.clone(),
        free: considered[n].free,
        full: considered[n].free <= 0,
        affinity: affinity_use(&considered, n),
        same_zone: considered[n].same_zone,
        tied: best.len(),
    });
    RouteDecision { choice, considered }
}

fn consider(candidates: &[Candidate<'_>], request: &RouteRequest<'_>) -> Vec<Considered> {
    let eligible = || candidates.iter().filter(|c| c.exclusion().is_none());
    let in_flight: u64 = eligible().map(Candidate::in_flight).sum();
    let slots: u64 = eligible().map(|c| u64::from(c.backend.slots)).sum();
    let mean = in_flight as f64 / slots.max(1) as f64;
    let preferred = preferred(eligible(), request.prompt);
    let consider = |candidate: &Candidate<'_>| Considered {
        backend: candidate.backend.id.clone(),
        exclusion: candidate.exclusion(),
        free: candidate.free(),
        overloaded: candidate.load() > LOAD_BOUND * mean,
        preferred: preferred == Some(&candidate.backend.id),
        same_zone: candidate.backend.zone == *request.zone,
    };
    candidates.iter().map(consider).collect()
}

/// Returns the server that has most likely cached the start of `prompt`.
fn preferred<'a>(
    eligible: impl Iterator<Item = &'a Candidate<'a>>,
    prompt: &[u8],
) -> Option<&'a BackendId> {
    if prompt.is_empty() {
        return None;
    }
    let prefix = &prompt[..prompt.len().min(PREFIX_LEN)];
    let ids = eligible.map(|candidate| &candidate.backend.id);
    ids.max_by_key(|id| (rendezvous_score(prefix, id.as_str()), *id))
}

/// Draws two of `tied` and returns the one with the lower load.
fn draw<R: Rng>(tied: &[usize], candidates: &[Candidate<'_>], rng: &mut R) -> Option<usize> {
    if tied.len() < 2 {
        return tied.first().copied();
    }
    let first = rng.random_range(0..tied.len());
    let step = rng.random_range(1..tied.len());
    let first_drawn = tied[first];
    let second_drawn = tied[(first + step) % tied.len()];
    if candidates[second_drawn].load() < candidates[first_drawn].load() {
        return Some(second_drawn);
    }
    Some(first_drawn)
}

fn affinity_use(considered: &[Considered], chosen: usize) -> AffinityUse {
    let Some(preferred) = considered.iter().position(|c| c.preferred) else {
        return AffinityUse::None;
    };
    if preferred == chosen {
        AffinityUse::Used
    } else if considered[preferred].overloaded {
        AffinityUse::Overloaded
    } else {
        AffinityUse::Full
    }
}
