//! Leases of suspected requests among instances that only tell each other.

use limpetweir_gateway::{
    LeaseNews,
    LeaseState,
    Leases,
    PartKey, //
};
use limpetweir_state::Timestamp;
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
        leases: (0..).map(PartKey).zip(states).collect(),
    };
    let bytes = news.encode();
    assert_eq!(LeaseNews::decode(&bytes), Some(news));
    for len in 0..bytes.len() {
        assert_eq!(LeaseNews::decode(&bytes[..len]), None);
    }
    let invalid = LeaseNews {
        holder: "a\nb".to_owned(),
        leases: Vec::new(),
    };
    assert_eq!(LeaseNews::decode(&invalid.encode()), None);
}

/// Guards against memory that grows with what other instances tell.
#[test]
fn the_number_of_leases_is_bounded() {
    let mut leases = Leases::new("one");
    for n in 0..100 {
        let keys = (0..100).map(|key| PartKey(n * 1_000 + key));
        let news = LeaseNews {
            holder: "two".to_owned(),
            leases: keys.map(|key| (key, LeaseState::Claimed)).collect(),
        };
        leases.hear(&news, at(1_000));
    }
    assert!(!leases.claim(PartKey(1 << 40), at(1_000)));
    assert!(leases.claim(PartKey(1 << 40), at(2_000)));
}
