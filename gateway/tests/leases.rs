//! Leases of suspected requests among instances that only tell each other.

use limpetweir_gateway::{
    CLAIM_TIMEOUT,
    ClaimState,
    LeaseAck,
    LeaseNews,
    LeaseState,
    Leases,
    PartKey, //
};
use limpetweir_state::Timestamp;
use rand::rngs::SmallRng;
use rand::{
    Rng,
    SeedableRng, //
};
use rstest::rstest;

const KEY: PartKey = PartKey(7);

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

fn instances(count: usize) -> Vec<Leases> {
    (0..count).map(|n| Leases::new(&format!("i-{n}"))).collect()
}

/// Lets all instances hear what each of them has to tell.
fn exchange(instances: &mut [Leases], ms: u64) {
    let news: Vec<LeaseNews> = instances.iter_mut().filter_map(Leases::news).collect();
    for instance in instances {
        for news in &news {
            instance.hear(news, at(ms));
        }
    }
}

/// Guards against several instances that run a suspected request at once, and against none that does.
#[rstest]
#[case::two(2)]
#[case::many(40)]
fn of_claims_at_the_same_moment_one_is_confirmed(#[case] count: usize) {
    let mut instances = instances(count);
    for instance in &mut instances {
        assert!(instance.claim(KEY, at(1_000)));
    }
    exchange(&mut instances, 1_003);
    let confirmed = instances
        .iter_mut()
        .filter_map(|i| i.confirm(KEY).then_some(()));
    assert_eq!(confirmed.count(), 1);
}

/// Guards against a claim that takes the lease from a run that has begun, whatever its rank.
#[test]
fn a_lease_in_use_goes_before_any_claim() {
    for n in 0..20 {
        let mut instances = vec![Leases::new("first"), Leases::new(&format!("later-{n}"))];
        assert!(instances[0].claim(KEY, at(1_000)));
        assert!(instances[0].confirm(KEY));
        assert!(instances[1].claim(KEY, at(1_010)));
        exchange(&mut instances, 1_012);
        assert!(!instances[1].confirm(KEY));
        assert!(instances[0].confirm(KEY));
        assert!(!instances[1].claim(KEY, at(1_500)));
    }
}

/// Guards against a request that waits for a run that has ended, or whose instance is gone.
#[test]
fn a_lease_ends_with_its_run_or_with_its_holder() {
    let mut instances = instances(2);
    assert!(instances[0].claim(KEY, at(1_000)));
    exchange(&mut instances, 1_003);
    assert!(!instances[1].claim(KEY, at(1_900)));
    instances[0].release(KEY);
    exchange(&mut instances, 1_950);
    assert!(instances[1].claim(KEY, at(1_950)));
    // The second one is silent from here on.
    let news = instances[1].news().expect("a claim");
    instances[0].hear(&news, at(1_952));
    assert!(!instances[0].claim(KEY, at(2_900)));
    assert!(instances[0].claim(KEY, at(3_000)));
}

/// Guards against messages that another build cannot read, and against a panic on invalid ones.
#[test]
fn leases_survive_their_encoding() {
    let states = [LeaseState::Claimed, LeaseState::InUse, LeaseState::Ended];
    let news = LeaseNews {
        holder: "frontend-1".to_owned(),
        number: 70_000,
        leases: (0..).map(PartKey).zip(states).collect(),
    };
    let bytes = news.encode();
    assert_eq!(LeaseNews::decode(&bytes), Some(news));
    for len in 0..bytes.len() {
        assert_eq!(LeaseNews::decode(&bytes[..len]), None);
    }
    let invalid = LeaseNews {
        holder: "a\nb".to_owned(),
        number: 1,
        leases: Vec::new(),
    };
    assert_eq!(LeaseNews::decode(&invalid.encode()), None);
    let ack = LeaseAck {
        from: "frontend-2".to_owned(),
        number: 70_000,
        keys: vec![KEY, PartKey(u64::MAX)],
    };
    let bytes = ack.encode();
    assert_eq!(LeaseNews::decode(&bytes), None);
    for len in 0..bytes.len() {
        assert_eq!(LeaseAck::decode(&bytes[..len]), None);
    }
    assert_eq!(LeaseAck::decode(&bytes), Some(ack));
}

/// Guards against memory that grows with what other instances tell.
#[test]
fn the_number_of_leases_is_bounded() {
    let mut leases = Leases::new("one");
    for n in 0..100 {
        let keys = (0..100).map(|key| PartKey(n * 1_000 + key));
        let news = LeaseNews {
            holder: format!("other-{n}"),
            number: 1,
            leases: keys.map(|key| (key, LeaseState::Claimed)).collect(),
        };
        leases.hear(&news, at(1_000));
    }
    assert!(!leases.claim(PartKey(1 << 40), at(1_000)));
    assert!(leases.claim(PartKey(1 << 40), at(2_000)));
}

/// Time for which messages are combined before they are sent.
const COALESCE_MS: u64 = 2;

/// Duration of a run under a lease.
const RUN_MS: u64 = 60;

enum Message {
    News(LeaseNews),
    Ack(LeaseAck),
}

/// Instances whose messages take up to `delay_ms`, in any order. The last `silent` ones get no messages.
struct Delayed {
    instances: Vec<Leases>,
    /// Time until which each instance runs the request.
    runs: Vec<Option<u64>>,
    /// Time of each instance's open claim.
    claims: Vec<Option<u64>>,
    messages: Vec<(u64, usize, Message)>,
    rng: SmallRng,
    delay_ms: u64,
    silent: usize,
    longest_claim_ms: u64,
}

impl Delayed {
    fn new(count: usize, silent: usize, delay_ms: u64, seed: u64) -> Self {
        Self {
            instances: instances(count),
            runs: vec![None; count],
            claims: vec![None; count],
            messages: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
            delay_ms,
            silent,
            longest_claim_ms: 0,
        }
    }

    fn send(&mut self, at: u64, to: usize, message: Message) {
        if to < self.instances.len() - self.silent {
            let delay = self.rng.random_range(0..=self.delay_ms);
            self.messages.push((at + delay, to, message));
        }
    }

    fn tell(&mut self, from: usize, now: u64) {
        let news = self.instances[from].news().expect("a change of a lease");
        for to in (0..self.instances.len()).filter(|to| *to != from) {
            self.send(now + COALESCE_MS, to, Message::News(news.clone()));
        }
    }

    fn deliver(&mut self, now: u64) {
        let is_due = |(at, _, _): &mut (u64, usize, Message)| *at <= now;
        let due: Vec<_> = self.messages.extract_if(.., is_due).collect();
        for (_, to, message) in due {
            let news = match message {
                Message::Ack(ack) => {
                    self.instances[to].acknowledged(&ack);
                    continue;
                }
                Message::News(news) => news,
            };
            let from = news.holder.strip_prefix("i-").and_then(|n| n.parse().ok());
            let from: usize = from.expect("the name of an instance");
            let reply = self.instances[to].hear(&news, at(now));
            if let Some(ack) = reply.ack {
                self.send(now, from, Message::Ack(ack));
            }
            if let Some(own) = reply.own {
                self.send(now, from, Message::News(own));
            }
        }
    }

    /// Lets the instance `n` go on; returns whether a run of it ends.
    fn step(&mut self, n: usize, now: u64) -> bool {
        if let Some(claimed_at) = self.claims[n] {
            let names: Vec<String> = (0..self.instances.len())
                .map(|n| format!("i-{n}"))
                .collect();
            let peers = names.iter().enumerate().filter(|(peer, _)| *peer != n);
            let peers = peers.map(|(_, name)| name);
            if self.instances[n].claim_state(KEY, peers, at(now)) == ClaimState::Open {
                return false;
            }
            self.claims[n] = None;
            if self.instances[n].confirm(KEY) {
                self.longest_claim_ms = self.longest_claim_ms.max(now - claimed_at);
                self.runs[n] = Some(now + RUN_MS);
                assert_eq!(self.runs.iter().flatten().count(), 1, "runs at {now} ms");
            }
        } else if self.runs[n].is_none() && self.instances[n].claim(KEY, at(now)) {
            self.claims[n] = Some(now);
            self.tell(n, now);
        } else if self.runs[n].is_some_and(|end| end <= now) {
            self.runs[n] = None;
            self.instances[n].release(KEY);
            self.tell(n, now);
            return true;
        }
        false
    }

    /// Plays copies of a request that come to all instances which hear the others, within 20 ms; returns the
    /// longest time that a claim took.
    fn play(mut self) -> u64 {
        let active = self.instances.len() - self.silent;
        let mut begins: Vec<u64> = (0..active)
            .map(|_| self.rng.random_range(1_000..1_020))
            .collect();
        for now in 1_000..6_000 {
            self.deliver(now);
            for (n, begin) in begins.iter_mut().enumerate() {
                if *begin <= now && self.step(n, now) {
                    *begin = u64::MAX;
                }
            }
        }
        let left = begins.iter().filter(|begin| **begin != u64::MAX);
        assert_eq!(left.count(), 0, "copies that have not run");
        self.longest_claim_ms
    }
}

/// Guards against two runs of a suspected request at once, because neither instance has heard of the claim of the
/// other within some time, and against copies that wait for ever.
#[rstest]
#[case::two(2, 0, 50)]
#[case::several(5, 0, 50)]
#[case::many(12, 0, 50)]
#[case::one_is_cut_off(5, 1, 50)]
#[case::quick(5, 0, 1)]
fn one_claim_is_used_however_late_messages_are(
    #[case] count: usize,
    #[case] silent: usize,
    #[case] delay_ms: u64,
) {
    for seed in 0..200 {
        Delayed::new(count, silent, delay_ms, seed).play();
    }
}

/// Guards against claims that wait for a time-out although all instances have answered, and against those that wait
/// for ever for one that is cut off.
#[rstest]
#[case::all_answer(0, COALESCE_MS + 2)]
#[case::one_is_cut_off(1, CLAIM_TIMEOUT.as_millis() as u64)]
fn a_claim_waits_for_answers_only(#[case] silent: usize, #[case] longest_ms: u64) {
    for seed in 0..20 {
        let took = Delayed::new(5, silent, 1, seed).play();
        assert!(took <= longest_ms, "{took} ms");
    }
}

/// Guards against an acknowledgement of an earlier claim that is counted for a later one, between which another
/// instance may have claimed the lease.
#[test]
fn an_acknowledgement_holds_for_its_claim_only() {
    let mut instances = instances(2);
    assert!(instances[0].claim(KEY, at(1_000)));
    let news = instances[0].news().expect("a claim");
    let ack = instances[1].hear(&news, at(1_050)).ack.expect("an answer");
    instances[0].release(KEY);
    instances[0].news().expect("an end");
    assert!(instances[0].claim(KEY, at(1_060)));
    instances[0].news().expect("a claim");
    assert!(!instances[0].acknowledged(&ack));
    let peers = ["i-1".to_owned()];
    let state = instances[0].claim_state(KEY, peers.iter(), at(1_070));
    assert_eq!(state, ClaimState::Open);
}
