//! A fleet of quota homes and borrowers in virtual time, over a network that loses messages.

// The tests and the benchmark each use a part of the harness.
#![allow(dead_code)]

mod bound;
mod messages;
mod policy;
mod traffic;

use std::collections::BTreeMap;
use std::time::Duration;

use limpetweir_coordination::quota::{
    OwnershipStart,
    QuotaAnswer,
    QuotaGrantee,
    QuotaOwner,
    QuotaRequest,
    QuotaSettings,
    SentCall, //
};
use limpetweir_state::{
    Epoch,
    Incarnation,
    InstanceId,
    Limit,
    OrganisationId,
    Timestamp,
    TokenBucket, //
};
use rand::rngs::SmallRng;
use rand::{
    Rng,
    SeedableRng, //
};

pub(crate) use policy::Policy;
use policy::Waiting;
pub(crate) use traffic::Traffic;

const MS: u64 = 1_000;
const SECOND: u64 = 1_000 * MS;

/// Time between two reads of the claims by a holder.
const CLAIM_READ: u64 = 300 * MS;

/// What a run does.
#[derive(Clone, Copy)]
pub(crate) struct Plan {
    pub(crate) settings: QuotaSettings,
    pub(crate) instances: usize,
    pub(crate) seconds: u64,
    /// Requests per second that callers offer in total.
    pub(crate) offered: f64,
    /// Slowest and fastest clock, relative to true time.
    pub(crate) clocks: (f64, f64),
    /// Part of the messages that are lost; as many are duplicated and as many are late.
    pub(crate) faults: f64,
    /// Whether instances are killed, paused and cut off from the claims.
    pub(crate) outages: bool,
    /// Whether callers alternate between silence, which fills the buckets, and floods.
    pub(crate) bursty: bool,
    /// Whether the limit changes.
    pub(crate) limit_changes: bool,
    /// Whether borrowers learn limits from the configuration.
    pub(crate) lowering: bool,
    /// Whether borrowers ask peers when the home does not admit a request.
    pub(crate) peers: bool,
    pub(crate) policy: Policy,
    pub(crate) traffic: Traffic,
    /// Shortest and longest time of a message on the way, in microseconds.
    pub(crate) one_way: (u64, u64),
    /// Whether callers of a lost instance go to another one at once.
    pub(crate) reconnect: bool,
}

/// One request of a caller.
#[derive(Clone, Copy)]
pub(crate) struct Offered {
    /// True time of its arrival.
    pub(crate) at: u64,
    /// Time from its arrival until the caller's instance knew that it is admitted.
    pub(crate) admitted_after: Option<u64>,
}

enum Event {
    Offer,
    Phase,
    Tick(usize),
    ReadClaims(usize),
    Call(Ask, usize),
    /// The answer, or `None` from an instance that acts as no home and has no token.
    Answer(Ask, Option<QuotaAnswer>),
    Timeout(usize, u32),
    Outage,
    Kill(usize),
    Resume(usize),
    Restart(usize),
    Claim,
    ChangeLimit,
    SetLimit(Limit),
}

/// A message from a borrower.
#[derive(Clone)]
struct Ask {
    from: usize,
    /// Start time of the borrower's process.
    started: u64,
    call: QuotaRequest,
    /// What the borrower remembers of a call to the home.
    sent: Option<SentCall>,
    /// Index of the request that waits for the answer, and the number of its ask.
    request: Option<(usize, u32)>,
    /// The peer that is asked for tokens of its share.
    peer: Option<usize>,
}

struct Holder {
    home: QuotaOwner,
    /// Local time of the last read of the claims that showed no newer claim.
    read: Timestamp,
}

struct Instance {
    clock: f64,
    offset: u64,
    incarnation: Incarnation,
    borrower: QuotaGrantee,
    /// The bucket of the policy `Policy::Static`.
    fixed: TokenBucket,
    holder: Option<Holder>,
    up: bool,
    /// Time of the last loss of the process.
    lost: u64,
    paused_until: u64,
    /// The instance cannot read the claims before this time.
    blind_until: u64,
}

/// The fleet and what it admitted.
pub(crate) struct Fleet {
    plan: Plan,
    rng: SmallRng,
    now: u64,
    next: u64,
    queue: BTreeMap<(u64, u64), Event>,
    instances: Vec<Instance>,
    organisation: OrganisationId,
    epoch: u64,
    owner: Option<usize>,
    former: Option<usize>,
    /// Part of the offered requests that callers send in the current phase.
    intensity: f64,
    limits: Vec<(u64, Limit)>,
    /// Requests that wait for an answer.
    waiting: BTreeMap<usize, Waiting>,
    /// True time of each admission.
    pub(crate) admitted: Vec<u64>,
    /// Admissions by shares, a part of `admitted`.
    pub(crate) by_share: Vec<u64>,
    /// Number of admissions from the share of a peer, a part of `admitted`.
    pub(crate) by_peer: u32,
    /// Offered requests in order of time.
    pub(crate) offered: Vec<Offered>,
}

impl Fleet {
    pub(crate) fn new(plan: Plan, seed: u64, limit: Limit) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let instances = (0..plan.instances)
            .map(|n| Instance::new(n, 0, limit, &plan, &mut rng))
            .collect();
        let mut fleet = Self {
            plan,
            rng,
            now: 0,
            next: 0,
            queue: BTreeMap::new(),
            instances,
            organisation: OrganisationId::try_from("o").expect("valid name"),
            epoch: 0,
            owner: None,
            former: None,
            intensity: 1.0,
            limits: vec![(0, limit)],
            waiting: BTreeMap::new(),
            admitted: Vec::new(),
            by_share: Vec::new(),
            by_peer: 0,
            offered: Vec::new(),
        };
        for n in 0..plan.instances {
            fleet.push(0, Event::Tick(n));
        }
        fleet.push(0, Event::Claim);
        fleet.push(1, Event::Offer);
        if plan.bursty {
            fleet.push(SECOND, Event::Phase);
        }
        if plan.outages {
            fleet.push(2 * SECOND, Event::Outage);
        }
        if plan.limit_changes {
            fleet.push(3 * SECOND, Event::ChangeLimit);
        }
        fleet
    }

    pub(crate) fn run(&mut self) {
        let end = self.plan.seconds * SECOND;
        while let Some(((at, _), event)) = self.queue.pop_first() {
            if at > end {
                break;
            }
            self.now = at;
            self.step(event);
        }
    }

    /// Kills the home at `second`; its successor claims once it is silent.
    pub(crate) fn kill_owner_at(&mut self, second: u64) {
        self.push(second * SECOND, Event::Outage);
    }

    /// Kills an instance at `second`.
    pub(crate) fn kill_at(&mut self, second: u64, n: usize) {
        self.push(second * SECOND, Event::Kill(n));
    }

    /// Changes the limit at `second`.
    pub(crate) fn set_limit_at(&mut self, second: u64, limit: Limit) {
        self.push(second * SECOND, Event::SetLimit(limit));
    }

    fn push(&mut self, delay: u64, event: Event) {
        self.next += 1;
        self.queue.insert((self.now + delay, self.next), event);
    }

    fn local(&self, n: usize) -> Timestamp {
        let instance = &self.instances[n];
        Timestamp(instance.offset + (self.now as f64 * instance.clock) as u64)
    }

    fn limit(&self) -> Limit {
        self.limits.last().expect("at least one limit").1
    }

    fn is_running(&self, n: usize) -> bool {
        self.instances[n].up && self.instances[n].paused_until <= self.now
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Offer => self.offer(),
            Event::Phase => self.phase(),
            Event::Tick(n) => self.tick(n),
            Event::ReadClaims(n) => self.read_claims(n),
            Event::Call(ask, to) => self.call(ask, to),
            Event::Answer(ask, answer) => self.answer(ask, answer),
            Event::Timeout(request, step) => self.time_out(request, step),
            Event::Outage => self.outage(),
            Event::Kill(n) => self.kill(n),
            Event::Resume(n) => self.resume(n),
            Event::Restart(n) => self.restart(n),
            Event::Claim => self.claim(),
            Event::ChangeLimit => self.change_limit(),
            Event::SetLimit(limit) => self.set_limit(limit),
        }
    }

    fn offer(&mut self) {
        let traffic = self.plan.traffic;
        let mean = SECOND as f64 / (self.plan.offered * traffic.peak());
        let wait = -mean * (1.0 - self.rng.random::<f64>()).ln();
        self.push(1 + wait as u64, Event::Offer);
        let mut n = traffic.instance(self.now, self.instances.len(), &mut self.rng);
        if self.plan.reconnect && !self.is_running(n) {
            let running = (0..self.instances.len()).filter(|n| self.is_running(*n));
            let running: Vec<usize> = running.collect();
            n = running[self.rng.random_range(0..running.len())];
        }
        let intensity = self.intensity * traffic.intensity(self.now);
        if !self.is_running(n) || !self.rng.random_bool(intensity) {
            return;
        }
        let request = self.offered.len();
        self.offered.push(Offered {
            at: self.now,
            admitted_after: None,
        });
        self.decide(n, request);
    }

    fn phase(&mut self) {
        let length = self.rng.random_range(SECOND..7 * SECOND);
        self.push(length, Event::Phase);
        self.intensity = [0.0, 0.1, 1.0][self.rng.random_range(0..3)];
    }

    fn tick(&mut self, n: usize) {
        self.push(100 * MS, Event::Tick(n));
        if !self.is_running(n) {
            return;
        }
        let now = self.local(n);
        for (call, sent) in self.instances[n].borrower.renewals(now) {
            self.send_call(n, call, sent, None);
        }
    }

    fn read_claims(&mut self, n: usize) {
        if !self.instances[n].up {
            return;
        }
        if !self.is_running(n) || self.instances[n].blind_until > self.now {
            self.push(CLAIM_READ, Event::ReadClaims(n));
            return;
        }
        let now = self.local(n);
        let current = self.epoch;
        let instance = &mut self.instances[n];
        let Some(holder) = &mut instance.holder else {
            return;
        };
        if holder.home.epoch().0 < current {
            instance.holder = None;
            return;
        }
        holder.read = now;
        self.push(CLAIM_READ, Event::ReadClaims(n));
    }

    fn claim(&mut self) {
        let running: Vec<usize> = (0..self.instances.len())
            .filter(|n| self.is_running(*n))
            .collect();
        let others = running.iter().filter(|n| Some(**n) != self.owner);
        let others: Vec<usize> = others.copied().collect();
        let Some(n) = others.first().copied() else {
            self.push(SECOND, Event::Claim);
            return;
        };
        let n = if self.plan.outages {
            others[self.rng.random_range(0..others.len())]
        } else {
            n
        };
        let now = self.local(n);
        let start = if self.epoch == 0 {
            OwnershipStart::First
        } else {
            OwnershipStart::AfterLoss
        };
        self.epoch += 1;
        let epoch = Epoch(self.epoch);
        let mut home = QuotaOwner::new(epoch, start, self.plan.settings, now);
        home.set_own(self.instances[n].incarnation.clone());
        home.set_limit(&self.organisation, Some(self.limit()), now);
        self.instances[n].holder = Some(Holder { home, read: now });
        self.former = self.owner;
        self.owner = Some(n);
        self.push(CLAIM_READ, Event::ReadClaims(n));
    }

    /// Kills, pauses or cuts off an instance, more often the owner than another.
    fn outage(&mut self) {
        if self.plan.outages {
            let wait = self.rng.random_range(2 * SECOND..12 * SECOND);
            self.push(wait, Event::Outage);
        }
        let any = self.rng.random_range(0..self.instances.len());
        let owner = self
            .owner
            .filter(|_| !self.plan.outages || self.rng.random_bool(0.6));
        let n = owner.unwrap_or(any);
        if !self.is_running(n) {
            return;
        }
        let kind = self.rng.random_range(0..3);
        if self.plan.outages && kind == 0 {
            self.instances[n].blind_until = self.now + 10 * SECOND;
        } else if self.plan.outages && kind == 1 {
            let pause = self.rng.random_range(100 * MS..8 * SECOND);
            self.instances[n].paused_until = self.now + pause;
            self.push(pause, Event::Resume(n));
        } else {
            self.kill(n);
            return;
        }
        self.replace_owner(n);
    }

    fn kill(&mut self, n: usize) {
        self.instances[n].up = false;
        self.instances[n].lost = self.now;
        self.instances[n].holder = None;
        let down = self.rng.random_range(SECOND..4 * SECOND);
        self.push(down, Event::Restart(n));
        self.replace_owner(n);
    }

    /// Lets another instance claim the home if `n` has it.
    fn replace_owner(&mut self, n: usize) {
        if self.owner == Some(n) {
            let silence = self.rng.random_range(1_500 * MS..2_500 * MS);
            self.push(silence, Event::Claim);
        }
    }

    fn resume(&mut self, n: usize) {
        let now = self.local(n);
        let limit = self.limit();
        self.tell_limit(n);
        if let Some(holder) = &mut self.instances[n].holder {
            holder.home.set_limit(&self.organisation, Some(limit), now);
        }
    }

    fn restart(&mut self, n: usize) {
        let started = self.instances[n].incarnation.started + 1;
        let limit = self.limit();
        let mut instance = Instance::new(n, started, limit, &self.plan, &mut self.rng);
        instance.clock = self.instances[n].clock;
        self.instances[n] = instance;
        self.tell_limit(n);
    }

    fn change_limit(&mut self) {
        let wait = self.rng.random_range(SECOND..9 * SECOND);
        self.push(wait, Event::ChangeLimit);
        let rate = self.rng.random_range(4.0..40.0);
        let burst = self.rng.random_range(2.0..60.0);
        self.set_limit(Limit::new(rate, burst).expect("valid limit"));
    }

    fn set_limit(&mut self, limit: Limit) {
        self.limits.push((self.now, limit));
        for n in 0..self.instances.len() {
            let now = self.local(n);
            if !self.is_running(n) {
                continue;
            }
            self.tell_limit(n);
            if let Some(holder) = &mut self.instances[n].holder {
                holder.home.set_limit(&self.organisation, Some(limit), now);
            }
        }
    }

    /// Applies the limit at the borrower of instance `n`.
    fn tell_limit(&mut self, n: usize) {
        if !self.plan.lowering {
            return;
        }
        let now = self.local(n);
        let limits = [(&self.organisation, self.limit())];
        self.instances[n].borrower.set_limits(limits, now);
    }
}

impl Instance {
    fn new(n: usize, started: u64, limit: Limit, plan: &Plan, rng: &mut SmallRng) -> Self {
        let name = format!("i{n}");
        let incarnation = Incarnation {
            instance: InstanceId::try_from(name).expect("valid name"),
            started,
        };
        let (slow, fast) = plan.clocks;
        // The extremes are the hardest case, so they are always present.
        let clock = if n.is_multiple_of(2) { slow } else { fast };
        let offset = rng.random_range(0..1_000 * SECOND);
        let part = plan.instances as f64;
        let fixed = (limit.rate() / part, limit.burst() / part);
        Self {
            clock,
            offset,
            borrower: QuotaGrantee::new(incarnation.clone(), plan.settings),
            // Empty, because the former process may have admitted all just before its end.
            fixed: TokenBucket::empty(fixed.0, fixed.1, Timestamp(offset)),
            incarnation,
            holder: None,
            up: true,
            lost: 0,
            paused_until: 0,
            blind_until: 0,
        }
    }
}

/// Returns `settings` for clocks of which the fastest gains `fast` on true time.
pub(crate) fn settings_for(fast: f64) -> QuotaSettings {
    QuotaSettings {
        refill_skew: fast,
        ..QuotaSettings::default()
    }
}

/// Returns the number of `times` within the seconds `from..until`.
pub(crate) fn count_within(times: &[u64], from: u64, until: u64) -> usize {
    let from = Duration::from_secs(from).as_micros();
    let until = Duration::from_secs(until).as_micros();
    let within = |time: &&u64| (from..until).contains(&u128::from(**time));
    times.iter().filter(within).count()
}
