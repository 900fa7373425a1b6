//! The choice of a backend server under free, full, leaving and failing fleets.

use std::collections::BTreeMap;

use limpetweir_coordination::{
    AffinityUse,
    BackendHealth,
    Candidate,
    Exclusion,
    ListState,
    RouteDecision,
    RouteRequest,
    route, //
};
use limpetweir_state::{
    Backend,
    Timestamp,
    ZoneId, //
};
use rand::rngs::SmallRng;
use rand::{
    Rng,
    SeedableRng, //
};
use rstest::rstest;

fn zone(name: &str) -> ZoneId {
    ZoneId::try_from(name).expect("valid name")
}

/// Returns `count` backend servers with 8 slots each, in three zones by turns.
fn fleet(count: u16) -> Vec<Backend> {
    let backend = |n: u16| Backend {
        id: format!("e{n:02}").try_into().expect("valid name"),
        service: "chat".try_into().expect("valid name"),
        zone: zone(["z0", "z1", "z2"][usize::from(n % 3)]),
        address: ([127, 0, 0, 1], 9_000 + n).into(),
        slots: 8,
        checks_fencing: false,
    };
    (0..count).map(backend).collect()
}

fn candidates(fleet: &[Backend]) -> Vec<Candidate<'_>> {
    let candidate = |backend| Candidate {
        backend,
        listed: Some(ListState::Live),
        in_cooldown: false,
        tried: false,
        own: 0,
        peers: 0,
    };
    fleet.iter().map(candidate).collect()
}

fn choose(candidates: &[Candidate<'_>], prompt: &[u8], seed: u64) -> RouteDecision {
    let zone = zone("z0");
    let request = RouteRequest {
        prompt,
        zone: &zone,
    };
    route(candidates, &request, &mut SmallRng::seed_from_u64(seed))
}

fn chosen(decision: &RouteDecision) -> &str {
    let choice = decision.choice.as_ref().expect("a choice");
    choice.backend.as_str()
}

/// Guards against a full or excluded server that is chosen while another has a free slot, in any
/// state of the fleet.
#[rstest]
fn free_server_is_chosen_in_any_state(#[values(1, 2, 3, 4)] seed: u64) {
    let fleet = fleet(12);
    let mut rng = SmallRng::seed_from_u64(seed);
    for round in 0..500 {
        let mut candidates = candidates(&fleet);
        for candidate in &mut candidates {
            candidate.own = rng.random_range(0..6);
            candidate.peers = rng.random_range(0..6);
            candidate.in_cooldown = rng.random_bool(0.2);
            candidate.tried = rng.random_bool(0.1);
            let states = [None, Some(ListState::Leaving), Some(ListState::Live)];
            candidate.listed = states[rng.random_range(0..3)];
        }
        let usable =
            |c: &&Candidate<'_>| c.listed == Some(ListState::Live) && !c.in_cooldown && !c.tried;
        let decision = choose(&candidates, b"prompt", round);
        let usable: Vec<_> = candidates.iter().filter(usable).collect();
        assert_eq!(decision.choice.is_some(), !usable.is_empty());
        let Some(choice) = &decision.choice else {
            continue;
        };
        let target = usable.iter().find(|c| c.backend.id == choice.backend);
        let target = target.expect("an excluded server was chosen");
        let any_free = usable.iter().any(|c| c.own + c.peers < 8);
        assert_eq!(choice.full, !any_free);
        assert_eq!(target.own + target.peers < 8, any_free);
    }
}

/// Guards against a rejection although engines batch, and against a manager that is not told.
#[test]
fn full_fleet_still_gets_the_request() {
    let fleet = fleet(12);
    let mut candidates = candidates(&fleet);
    for candidate in &mut candidates {
        candidate.own = 3;
        candidate.peers = 6;
    }
    let decision = choose(&candidates, b"", 1);
    let choice = decision.choice.unwrap();
    assert!(choice.full);
    assert_eq!(choice.free, -1);
}

/// Guards against a leaving, lost, silent or already tried server that gets the request, and
/// against a decision that does not say why they were left out.
#[test]
fn partly_leaving_fleet_gets_no_new_work_where_it_leaves() {
    let fleet = fleet(8);
    let mut candidates = candidates(&fleet);
    candidates[0].listed = Some(ListState::Leaving);
    candidates[1].listed = Some(ListState::Leaving);
    candidates[2].listed = None;
    candidates[3].in_cooldown = true;
    candidates[4].tried = true;
    for seed in 0_u64..200 {
        let decision = choose(&candidates, &seed.to_be_bytes(), seed);
        assert!(["e05", "e06", "e07"].contains(&chosen(&decision)));
        assert_eq!(decision.excluded(Exclusion::Leaving), 2);
        let line = decision.to_string();
        assert!(
            line.ends_with("considered=8 not-listed=1 leaving=2 silent=1 tried=1"),
            "{line}"
        );
        assert!(!line.contains('\n'));
    }
}

/// Guards against a made-up choice when nothing is left.
#[test]
fn no_candidate_is_no_choice() {
    let fleet = fleet(3);
    let mut candidates = candidates(&fleet);
    for candidate in &mut candidates {
        candidate.listed = Some(ListState::Leaving);
    }
    let decision = choose(&candidates, b"", 1);
    assert_eq!(decision.choice, None);
    assert_eq!(decision.to_string(), "backend=none considered=3 leaving=3");
    assert_eq!(choose(&[], b"", 1).choice, None);
}

/// Guards against a prefix that loses its cache although nothing changed, and against one that
/// moves when another server leaves.
#[test]
fn equal_prefixes_go_to_one_server() {
    let fleet = fleet(12);
    let candidates = candidates(&fleet);
    for n in 0..50 {
        let mut prompt = vec![n; 256];
        let first = choose(&candidates, &prompt, 1);
        assert_eq!(first.choice.as_ref().unwrap().affinity, AffinityUse::Used);
        prompt.extend_from_slice(b"only the first 256 bytes count");
        assert_eq!(chosen(&choose(&candidates, &prompt, 2)), chosen(&first));
        let mut fewer = candidates.clone();
        let other = fewer
            .iter_mut()
            .find(|c| c.backend.id.as_str() != chosen(&first));
        other.unwrap().listed = None;
        assert_eq!(chosen(&choose(&fewer, &prompt, 3)), chosen(&first));
    }
}

/// Guards against a popular prefix that fills one server while others are idle.
#[test]
fn affinity_ends_at_the_load_bound() {
    let fleet = fleet(4);
    let mut candidates = candidates(&fleet);
    for candidate in &mut candidates {
        candidate.own = 4;
    }
    let preferred = choose(&candidates, b"popular", 1);
    let preferred = candidates
        .iter()
        .position(|c| c.backend.id.as_str() == chosen(&preferred));
    let preferred = preferred.unwrap();
    // 5 of a mean of 4.25 is within 1.25 times the mean, 6 of 4.5 is not.
    candidates[preferred].own = 5;
    let within = choose(&candidates, b"popular", 1).choice.unwrap();
    assert_eq!(within.affinity, AffinityUse::Used);
    candidates[preferred].own = 6;
    let beyond = choose(&candidates, b"popular", 1).choice.unwrap();
    assert_eq!(beyond.affinity, AffinityUse::Overloaded);
    candidates[preferred].own = 8;
    for (n, candidate) in candidates.iter_mut().enumerate() {
        candidate.own = if n == preferred { 8 } else { 7 };
    }
    let full = choose(&candidates, b"popular", 1).choice.unwrap();
    assert_eq!(full.affinity, AffinityUse::Full);
}

/// Guards against needless hops between zones, and against a zone that is overloaded for its
/// nearness.
#[test]
fn own_zone_is_used_within_the_load_bound() {
    let fleet = fleet(6);
    let mut candidates = candidates(&fleet);
    for seed in 0..50 {
        assert!(choose(&candidates, b"", seed).choice.unwrap().same_zone);
    }
    for candidate in &mut candidates {
        let near = candidate.backend.zone == zone("z0");
        candidate.own = if near { 4 } else { 1 };
    }
    for seed in 0..50 {
        assert!(!choose(&candidates, b"", seed).choice.unwrap().same_zone);
    }
}

/// Guards against instances that all send to the same one of several equal servers, and against a
/// decision that cannot be repeated.
#[test]
fn ties_are_spread_and_repeatable() {
    let fleet = fleet(12);
    let mut candidates = candidates(&fleet);
    for candidate in &mut candidates {
        candidate.own = 1;
    }
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    for seed in 0..400 {
        let decision = choose(&candidates, b"", seed);
        assert_eq!(decision, choose(&candidates, b"", seed));
        *counts.entry(chosen(&decision).to_owned()).or_default() += 1;
    }
    // Four servers are in the own zone; an even spread is 100 each.
    assert_eq!(counts.len(), 4);
    assert!(
        counts.values().all(|count| (50..=150).contains(count)),
        "{counts:?}"
    );
}

/// Guards against two drawn servers of which the busier one is chosen.
#[test]
fn less_loaded_of_two_is_chosen() {
    let fleet: Vec<Backend> = fleet(6)
        .into_iter()
        .filter(|b| b.zone == zone("z0"))
        .collect();
    let mut candidates = candidates(&fleet);
    candidates[0].own = 5;
    candidates[1].own = 4;
    for seed in 0..50 {
        let decision = choose(&candidates, b"", seed);
        assert_eq!(decision.choice.as_ref().unwrap().tied, 2);
        assert_eq!(decision.choice.unwrap().backend, fleet[1].id);
    }
}

/// Guards against new work for a server within 2 s of a failure, and against a server that stays
/// out for ever.
#[test]
fn failed_server_is_silent_for_two_seconds() {
    let fleet = fleet(2);
    let (failed, other) = (&fleet[0].id, &fleet[1].id);
    let at = Timestamp::from_millis;
    let mut health = BackendHealth::default();
    health.on_failure(failed, at(1_000));
    assert!(health.in_cooldown(failed, at(2_999)) && !health.in_cooldown(other, at(1_000)));
    assert!(!health.in_cooldown(failed, at(3_000)));
    health.on_failure(failed, at(2_500));
    health.on_failure(other, at(4_000));
    assert!(health.in_cooldown(failed, at(4_499)) && !health.in_cooldown(failed, at(4_500)));
}
