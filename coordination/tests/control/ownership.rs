//! Claims, releases and leases on a fleet; every step checks for two acting owners.

use std::time::Duration;

use limpetweir_coordination::timing::{
    HANDOVER_DELAY,
    OWNER_LEASE,
    SILENCE_LIMIT, //
};
use limpetweir_coordination::{
    MayAct,
    Membership,
    Ownership,
    preferred_owner, //
};
use limpetweir_state::{
    Epoch,
    GroupId,
    Timestamp, //
};
use rand::rngs::SmallRng;
use rand::{
    Rng,
    SeedableRng, //
};
use rstest::rstest;

use crate::fleet::{
    Fleet,
    group,
    incarnation,
    instance,
    live,
    report, //
};

const SECOND: Duration = Duration::from_secs(1);

fn owner(fleet: &Fleet, group: GroupId) -> usize {
    let acting = fleet.acting(group);
    assert_eq!(acting.len(), 1, "{group} has one acting owner");
    acting[0]
}

/// Guards against a holder that acts on its old lease when it wakes.
#[rstest]
fn a_paused_holder_that_wakes_acts_on_nothing(#[values(2, 4, 10, 60)] seconds: u64) {
    let mut fleet = Fleet::settled(3, 1);
    let holder = owner(&fleet, group(0));
    fleet.nodes[holder].paused = true;
    fleet.run(Duration::from_secs(seconds));
    fleet.nodes[holder].log_reachable = false;
    fleet.nodes[holder].paused = false;
    fleet.run(2 * OWNER_LEASE);
    assert_ne!(owner(&fleet, group(0)), holder);
}

/// Guards against a holder that wakes in a log outage and takes buffered heartbeats for recent.
#[test]
fn a_holder_that_wakes_in_a_log_outage_acts_on_nothing() {
    let mut fleet = Fleet::settled(3, 1);
    let holder = owner(&fleet, group(0));
    fleet.nodes[holder].paused = true;
    fleet.run(10 * SECOND);
    assert_ne!(owner(&fleet, group(0)), holder);
    fleet.log_down = true;
    fleet.run(10 * SECOND);
    fleet.nodes[holder].paused = false;
    fleet.run(10 * SECOND);
    assert_ne!(owner(&fleet, group(0)), holder);
}

/// Guards against a holder that wakes and counts one buffered heartbeat as unbroken contact.
#[test]
fn a_buffered_heartbeat_does_not_bridge_a_pause() {
    let start = Timestamp::from_millis(50_000);
    let own = incarnation("a", 1);
    let mut members = Membership::new(own.clone(), start);
    members.set_list(start, live(&["a", "b", "c"]));
    let mut ownership = Ownership::new(start);
    let mut heartbeat = report(incarnation("b", 1), 1, &["a", "c"]);
    heartbeat.log_age = Some(2 * OWNER_LEASE);
    members.on_heartbeat(start, heartbeat.clone());
    ownership.tick(start, &members);
    ownership.on_claim(start, &own, group(0), own.clone(), Epoch(1));
    ownership.on_confirmed_read(start);
    let woken = start + 10 * SECOND;
    heartbeat.sequence = 2;
    members.on_heartbeat(woken, heartbeat);
    let before_tick = ownership.may_act(woken, group(0), &members);
    assert_eq!(before_tick, MayAct::LeaseExpired);
    ownership.tick(woken, &members);
    let after_tick = ownership.may_act(woken, group(0), &members);
    assert_eq!(after_tick, MayAct::LeaseExpired);
}

/// Guards against claiming the groups of a holder that others still hear.
#[test]
fn a_one_way_partition_moves_no_group() {
    let mut fleet = Fleet::settled(4, 8);
    let before: Vec<_> = fleet.groups.iter().map(|&g| owner(&fleet, g)).collect();
    fleet.cut.insert((0, 1));
    fleet.run(20 * SECOND);
    let after: Vec<_> = fleet.groups.iter().map(|&g| owner(&fleet, g)).collect();
    assert_eq!(before, after);
}

/// Guards against groups without an owner while their holder is cut from all peers.
#[test]
fn an_isolated_holder_is_replaced() {
    let mut fleet = Fleet::settled(5, 8);
    let lost = owner(&fleet, group(0));
    fleet.isolate(lost);
    fleet.run(2 * SILENCE_LIMIT + OWNER_LEASE + SECOND);
    for &group in &fleet.groups {
        assert_ne!(owner(&fleet, group), lost);
    }
}

/// Guards against stopping job work in a log outage, when nobody can claim.
#[test]
fn holders_act_through_a_log_outage() {
    let mut fleet = Fleet::settled(5, 8);
    let before: Vec<_> = fleet.groups.iter().map(|&g| owner(&fleet, g)).collect();
    fleet.log_down = true;
    fleet.run(30 * SECOND);
    let during: Vec<_> = fleet.groups.iter().map(|&g| owner(&fleet, g)).collect();
    assert_eq!(before, during);
}

/// Guards against a holder cut from the log that takes its partition for an outage.
#[test]
fn a_partition_from_the_log_is_no_outage() {
    let mut fleet = Fleet::settled(3, 1);
    let holder = owner(&fleet, group(0));
    fleet.nodes[holder].log_reachable = false;
    fleet.run(OWNER_LEASE);
    let node = &fleet.nodes[holder];
    let may_act = node.ownership.may_act(fleet.now, group(0), &node.members);
    assert_eq!(may_act, MayAct::LeaseExpired);
}

/// Guards against a holder that lost its majority for a time and could have missed a claim.
#[test]
fn an_outage_does_not_extend_a_lease_across_a_partition() {
    let mut fleet = Fleet::settled(3, 1);
    let holder = owner(&fleet, group(0));
    fleet.isolate(holder);
    fleet.nodes[holder].log_reachable = false;
    fleet.run(10 * SECOND);
    let new_holder = owner(&fleet, group(0));
    fleet.log_down = true;
    fleet.run(10 * SECOND);
    // The two holders stay apart, so that neither learns of the other directly.
    fleet.cut = [(holder, new_holder), (new_holder, holder)].into();
    fleet.run(10 * SECOND);
    assert_eq!(owner(&fleet, group(0)), new_holder);
}

/// Guards against a new holder that acts while the former one may still act.
#[test]
fn a_take_over_waits_one_lease_from_the_read_of_the_claim() {
    let now = Timestamp::from_millis(50_000);
    let own = incarnation("a", 1);
    let members = Membership::new(own.clone(), now);
    let mut ownership = Ownership::new(now);
    ownership.on_claim(now, &own, group(0), incarnation("b", 1), Epoch(1));
    ownership.on_claim(now, &own, group(0), own.clone(), Epoch(2));
    ownership.on_confirmed_read(now);
    let until = now + OWNER_LEASE;
    let may_act = ownership.may_act(now, group(0), &members);
    assert_eq!(may_act, MayAct::WaitUntil(until));
    ownership.on_claim(now + SECOND, &own, group(0), own.clone(), Epoch(3));
    ownership.on_confirmed_read(until);
    let may_act = ownership.may_act(until, group(0), &members);
    assert_eq!(may_act, MayAct::Yes(Epoch(3)));
}

/// Guards against an unnecessary wait after a release, and against a late release of an old epoch.
#[test]
fn a_released_group_is_taken_over_at_once() {
    let now = Timestamp::from_millis(50_000);
    let own = incarnation("a", 1);
    let members = Membership::new(own.clone(), now);
    let mut ownership = Ownership::new(now);
    ownership.on_claim(now, &own, group(0), incarnation("b", 1), Epoch(1));
    ownership.on_release(group(0), Epoch(1));
    ownership.on_claim(now, &own, group(0), own.clone(), Epoch(3));
    ownership.on_release(group(0), Epoch(1));
    ownership.on_confirmed_read(now);
    let may_act = ownership.may_act(now, group(0), &members);
    assert_eq!(may_act, MayAct::Yes(Epoch(3)));
}

/// Guards against two claimants of one released group that both act.
#[test]
fn the_last_of_two_claims_wins_after_a_wait() {
    let now = Timestamp::from_millis(50_000);
    let (a, b) = (incarnation("a", 1), incarnation("b", 1));
    let (members_a, members_b) = (
        Membership::new(a.clone(), now),
        Membership::new(b.clone(), now),
    );
    let (mut at_a, mut at_b) = (Ownership::new(now), Ownership::new(now));
    at_a.on_claim(now, &a, group(0), a.clone(), Epoch(1));
    at_a.on_confirmed_read(now);
    assert_eq!(
        at_a.may_act(now, group(0), &members_a),
        MayAct::Yes(Epoch(1))
    );
    at_b.on_claim(now, &b, group(0), a.clone(), Epoch(1));
    at_b.on_claim(now, &b, group(0), b.clone(), Epoch(2));
    at_b.on_confirmed_read(now);
    let wait = MayAct::WaitUntil(now + OWNER_LEASE);
    assert_eq!(at_b.may_act(now, group(0), &members_b), wait);
    at_a.on_claim(now, &a, group(0), b.clone(), Epoch(2));
    let may_act = at_a.may_act(now, group(0), &members_a);
    assert_eq!(may_act, MayAct::NotHolder);
}

/// Guards against a release during the take-over wait: the next claimant would act at once, while
/// the holder before may still act.
#[test]
fn a_group_is_not_released_during_the_take_over_wait() {
    let now = Timestamp::from_millis(50_000);
    let own = incarnation("a", 1);
    let mut members = Membership::new(own.clone(), now);
    members.set_list(now, live(&["a"]));
    let mut ownership = Ownership::new(now);
    ownership.on_claim(now, &own, group(0), incarnation("b", 1), Epoch(1));
    ownership.on_claim(now, &own, group(0), own.clone(), Epoch(2));
    ownership.on_confirmed_read(now);
    assert_eq!(ownership.next_release(now, &members, true), None);
    let until = now + OWNER_LEASE;
    ownership.on_confirmed_read(until);
    let release = ownership.next_release(until, &members, true);
    assert_eq!(release, Some((group(0), Epoch(2))));
    let may_act = ownership.may_act(until, group(0), &members);
    assert_eq!(may_act, MayAct::NotHolder);
}

/// Guards against a restart under the same name that acts on the claims of its predecessor, or
/// that leaves them unowned because peers hear the name.
#[test]
fn a_restart_under_the_same_name_claims_anew() {
    let mut fleet = Fleet::settled(3, 4);
    let holder = owner(&fleet, group(0));
    fleet.restart(holder);
    fleet.run(SECOND);
    assert!(fleet.acting(group(0)).is_empty());
    fleet.run(2 * SILENCE_LIMIT + OWNER_LEASE + SECOND);
    owner(&fleet, group(0));
    let fact = fleet.nodes[0].ownership.fact(group(0)).unwrap();
    assert_ne!(fact.holder, incarnation(&format!("i{holder}"), 1));
}

/// Guards against a planned stop that leaves its groups to the silence limit.
#[test]
fn a_leaving_holder_releases_its_groups() {
    let mut fleet = Fleet::settled(4, 8);
    fleet.nodes[0].leaving = true;
    fleet.run(5 * SECOND);
    assert!(fleet.nodes[0].ownership.holds().is_empty());
    for &group in &fleet.groups {
        assert_ne!(owner(&fleet, group), 0);
    }
}

/// Guards against groups that stay where a failure put them, and against moves to an instance
/// that has only just returned.
#[test]
fn groups_return_to_the_preferred_owner_after_a_delay() {
    let mut fleet = Fleet::settled(3, 8);
    let home: Vec<_> = fleet.groups.iter().map(|&g| owner(&fleet, g)).collect();
    fleet.nodes[0].dead = true;
    fleet.run(20 * SECOND);
    fleet.restart(0);
    fleet.run(HANDOVER_DELAY - SECOND);
    assert!(fleet.nodes[0].ownership.holds().is_empty());
    fleet.run(20 * SECOND);
    let after: Vec<_> = fleet.groups.iter().map(|&g| owner(&fleet, g)).collect();
    assert_eq!(home, after);
}

/// Guards against a claim by an instance that hears no majority or does not serve.
#[test]
fn a_minority_claims_nothing() {
    let now = Timestamp::from_millis(50_000);
    let own = incarnation("a", 1);
    let mut members = Membership::new(own.clone(), now);
    members.set_list(now, live(&["a", "b"]));
    let mut ownership = Ownership::new(now);
    ownership.on_confirmed_read(now);
    assert!(
        ownership
            .claims_to_make(now, [group(0)], &members, true)
            .is_empty()
    );
    members.set_list(now, live(&["a"]));
    assert!(
        ownership
            .claims_to_make(now, [group(0)], &members, false)
            .is_empty()
    );
    let claims = ownership.claims_to_make(now, [group(0)], &members, true);
    assert_eq!(claims, [group(0)]);
    let repeated = ownership.claims_to_make(now, [group(0)], &members, true);
    assert!(repeated.is_empty(), "one claim of a group is in flight");
}

/// Guards against an uneven or unstable choice of preferred owners.
#[test]
fn the_loss_of_an_instance_moves_only_its_groups() {
    let all: Vec<_> = (0..10).map(|i| instance(&format!("i{i}"))).collect();
    for index in 0..200 {
        let before = preferred_owner(group(index), &all).unwrap();
        let after = preferred_owner(group(index), &all[1..]).unwrap();
        assert!(*before == all[0] || before == after);
    }
}

/// Guards against two acting owners under random pauses, restarts, partitions and log outages.
#[rstest]
fn at_most_one_owner_acts_under_random_failures(
    #[values(1, 2, 3, 4, 5, 6, 7, 8, 9, 10)] seed: u64,
) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let count = rng.random_range(3..=6);
    let mut fleet = Fleet::settled(count, 4);
    for _ in 0..150 {
        fail(&mut fleet, &mut rng);
        let time = rng.random_range(100..8_000);
        fleet.append_delay = Duration::from_millis(rng.random_range(0..2_000));
        fleet.run(Duration::from_millis(time));
    }
    heal(&mut fleet);
    fleet.run(40 * SECOND);
    for &group in &fleet.groups {
        owner(&fleet, group);
    }
}

fn fail(fleet: &mut Fleet, rng: &mut SmallRng) {
    let count = fleet.nodes.len();
    let i = rng.random_range(0..count);
    let j = rng.random_range(0..count);
    match rng.random_range(0..14) {
        0 => fleet.nodes[i].paused = true,
        1 => fleet.restart(i),
        2 => fleet.isolate(i),
        3 => {
            fleet.cut.insert((i, j));
        }
        4 => fleet.log_down = true,
        5 => fleet.nodes[i].log_reachable = false,
        6 => fleet.nodes[i].leaving = true,
        7 => fleet.log_down = false,
        8 => fleet.nodes[i].paused = false,
        9 | 10 => {
            fleet.isolate(i);
            fleet.nodes[i].log_reachable = false;
        }
        _ => heal(fleet),
    }
}

fn heal(fleet: &mut Fleet) {
    fleet.cut.clear();
    fleet.log_down = false;
    fleet.append_delay = Duration::ZERO;
    for i in 0..fleet.nodes.len() {
        fleet.nodes[i].log_reachable = true;
        fleet.nodes[i].paused = false;
        if fleet.nodes[i].leaving {
            fleet.restart(i);
        }
    }
}
