//! Claims, releases and leases on a fleet; every step checks for two acting owners.

use std::time::Duration;

use limpetweir_coordination::timing::{
    HANDOVER_DELAY,
    HEARTBEAT_TIMEOUT,
    OWNER_LEASE, //
};
use limpetweir_coordination::{
    MayAct,
    Membership,
    Ownership,
    preferred_owner, //
};
use limpetweir_state::{
    ClaimRecord,
    Claims,
    Epoch,
    Fold,
    GroupId,
    Incarnation,
    Offset,
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
    claim,
    group,
    incarnation,
    instance,
    live,
    report, //
};

const SECOND: Duration = Duration::from_secs(1);

/// The claims of one instance without a fleet around it.
struct Reader {
    own: Incarnation,
    members: Membership,
    ownership: Ownership,
    claims: Claims,
    next: Offset,
}

impl Reader {
    fn new(own: &Incarnation, now: Timestamp) -> Self {
        Self {
            members: Membership::new(own.clone(), now),
            ownership: Ownership::new(now),
            claims: Claims::default(),
            next: Offset(0),
            own: own.clone(),
        }
    }

    /// Reads one record and the end of the stream.
    fn read(&mut self, now: Timestamp, record: ClaimRecord) {
        let event = self.claims.apply(self.next, record);
        self.next = self.next.next();
        self.ownership
            .on_event(now, &self.own, &self.claims, &event);
        self.ownership.on_confirmed_read(now);
    }

    fn may_act(&self, now: Timestamp) -> MayAct {
        self.ownership.may_act(now, group(0), &self.members)
    }
}

fn release(epoch: u64) -> ClaimRecord {
    ClaimRecord::Release {
        group: group(0),
        epoch: Epoch(epoch),
    }
}

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
    let mut reader = Reader::new(&own, start);
    reader.members.set_list(start, live(&["a", "b", "c"]));
    let mut heartbeat = report(incarnation("b", 1), 1, &["a", "c"]);
    heartbeat.log_age = Some(2 * OWNER_LEASE);
    reader.members.on_heartbeat(start, heartbeat.clone());
    reader.ownership.tick(start, &reader.members);
    reader.read(start, claim(group(0), &own));
    let woken = start + 10 * SECOND;
    heartbeat.sequence = 2;
    reader.members.on_heartbeat(woken, heartbeat);
    assert_eq!(reader.may_act(woken), MayAct::LeaseExpired);
    reader.ownership.tick(woken, &reader.members);
    assert_eq!(reader.may_act(woken), MayAct::LeaseExpired);
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
    fleet.run(2 * HEARTBEAT_TIMEOUT + OWNER_LEASE + SECOND);
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

/// Guards against groups without an acting owner while their holder hears peers but no log.
#[test]
fn a_holder_cut_off_from_the_log_only_is_replaced() {
    let mut fleet = Fleet::settled(3, 1);
    let holder = owner(&fleet, group(0));
    fleet.nodes[holder].log_reachable = false;
    fleet.run(4 * OWNER_LEASE);
    assert_ne!(owner(&fleet, group(0)), holder);
}

/// Guards against a holder that was replaced while cut off from the log, loses the new holder from
/// sight, and then takes the silence of the other peers for a log outage.
#[test]
fn a_replaced_holder_that_loses_sight_of_the_reader_stays_idle() {
    let mut fleet = Fleet::settled(5, 1);
    let holder = owner(&fleet, group(0));
    fleet.nodes[holder].log_reachable = false;
    fleet.run(4 * OWNER_LEASE);
    let new_holder = owner(&fleet, group(0));
    assert_ne!(new_holder, holder);
    for i in 0..5 {
        fleet.nodes[i].log_reachable = i == new_holder;
    }
    fleet.cut = [(holder, new_holder), (new_holder, holder)].into();
    fleet.run(10 * SECOND);
    assert!(!fleet.acting(group(0)).contains(&holder));
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
    let mut reader = Reader::new(&own, now);
    reader.read(now, claim(group(0), &incarnation("b", 1)));
    reader.read(now, claim(group(0), &own));
    let until = now + OWNER_LEASE;
    assert_eq!(reader.may_act(now), MayAct::WaitUntil(until));
    reader.read(now + SECOND, claim(group(0), &own));
    reader.ownership.on_confirmed_read(until);
    assert_eq!(reader.may_act(until), MayAct::Yes(Epoch(3)));
}

/// Guards against waiting only for the last of several former holders.
#[test]
fn a_take_over_waits_for_the_longest_former_lease() {
    let now = Timestamp::from_millis(50_000);
    let own = incarnation("a", 1);
    let mut reader = Reader::new(&own, now);
    let long = ClaimRecord::Claim {
        group: group(0),
        holder: incarnation("b", 1),
        lease: 5 * OWNER_LEASE,
    };
    reader.read(now, long);
    reader.read(now, claim(group(0), &incarnation("c", 1)));
    reader.read(now, claim(group(0), &own));
    let until = now + 5 * OWNER_LEASE;
    assert_eq!(reader.may_act(now), MayAct::WaitUntil(until));
}

/// Guards against an own claim from a snapshot whose former holder is unknown.
#[test]
fn a_claim_from_a_snapshot_is_taken_for_a_take_over() {
    let now = Timestamp::from_millis(50_000);
    let own = incarnation("a", 1);
    let mut writer = Reader::new(&incarnation("b", 1), now);
    writer.read(now, claim(group(0), &own));
    let mut reader = Reader::new(&own, now);
    reader.ownership.load(now, &own, &writer.claims);
    reader.ownership.on_confirmed_read(now);
    assert_eq!(reader.may_act(now), MayAct::WaitUntil(now + OWNER_LEASE));
    writer.read(now, release(1));
    reader.ownership.load(now, &own, &writer.claims);
    assert_eq!(reader.may_act(now), MayAct::NotHolder);
}

/// Guards against a group without an owner because the preferred one awaits its own claim, which was
/// replaced and trimmed before it was read.
#[test]
fn a_claim_hidden_by_a_snapshot_is_made_again() {
    let now = Timestamp::from_millis(50_000);
    let own = incarnation("a", 1);
    let mut reader = Reader::new(&own, now);
    reader.members.set_list(now, live(&["a"]));
    reader.ownership.on_confirmed_read(now);
    let claims = |reader: &mut Reader| {
        let ownership = &mut reader.ownership;
        ownership.claims_to_make(now, [group(0)], &reader.members, true)
    };
    assert_eq!(claims(&mut reader), [group(0)]);
    assert_eq!(claims(&mut reader), []);
    let mut writer = Reader::new(&incarnation("b", 1), now);
    writer.read(now, claim(group(0), &own));
    writer.read(now, claim(group(0), &incarnation("b", 1)));
    writer.read(now, release(2));
    reader.ownership.load(now, &own, &writer.claims);
    assert_eq!(claims(&mut reader), [group(0)]);
}

/// Guards against an unnecessary wait after a release, and against a late release of an old epoch.
#[test]
fn a_released_group_is_taken_over_at_once() {
    let now = Timestamp::from_millis(50_000);
    let own = incarnation("a", 1);
    let mut reader = Reader::new(&own, now);
    reader.read(now, claim(group(0), &incarnation("b", 1)));
    reader.read(now, release(1));
    reader.read(now, claim(group(0), &own));
    reader.read(now, release(1));
    assert_eq!(reader.may_act(now), MayAct::Yes(Epoch(3)));
}

/// Guards against two claimants of one free group that both act.
#[test]
fn the_last_of_two_claims_wins_after_a_wait() {
    let now = Timestamp::from_millis(50_000);
    let (a, b) = (incarnation("a", 1), incarnation("b", 1));
    let (mut at_a, mut at_b) = (Reader::new(&a, now), Reader::new(&b, now));
    at_a.read(now, claim(group(0), &a));
    assert_eq!(at_a.may_act(now), MayAct::Yes(Epoch(1)));
    at_b.read(now, claim(group(0), &a));
    at_b.read(now, claim(group(0), &b));
    assert_eq!(at_b.may_act(now), MayAct::WaitUntil(now + OWNER_LEASE));
    at_a.read(now, claim(group(0), &b));
    assert_eq!(at_a.may_act(now), MayAct::NotHolder);
}

/// Guards against a release during the take-over wait: the next claimant would act at once, while
/// the holder before may still act.
#[test]
fn a_group_is_not_released_during_the_take_over_wait() {
    let now = Timestamp::from_millis(50_000);
    let own = incarnation("a", 1);
    let mut reader = Reader::new(&own, now);
    reader.members.set_list(now, live(&["a"]));
    reader.read(now, claim(group(0), &incarnation("b", 1)));
    reader.read(now, claim(group(0), &own));
    let early = reader.ownership.next_release(now, &reader.members, true);
    assert_eq!(early, None);
    let until = now + OWNER_LEASE;
    reader.ownership.on_confirmed_read(until);
    let release = reader.ownership.next_release(until, &reader.members, true);
    assert_eq!(release, Some((group(0), Epoch(2))));
    assert_eq!(reader.may_act(until), MayAct::NotHolder);
}

/// Guards against releasing all groups at once, which would leave all of them without an owner.
#[test]
fn groups_are_released_one_at_a_time() {
    let now = Timestamp::from_millis(50_000);
    let own = incarnation("a", 1);
    let mut reader = Reader::new(&own, now);
    reader.read(now, claim(group(0), &own));
    reader.read(now, claim(group(1), &own));
    let first = reader.ownership.next_release(now, &reader.members, true);
    assert_eq!(first, Some((group(0), Epoch(1))));
    let second = reader.ownership.next_release(now, &reader.members, true);
    assert_eq!(second, None);
    reader.read(now, release(1));
    let second = reader.ownership.next_release(now, &reader.members, true);
    assert_eq!(second, Some((group(1), Epoch(2))));
}

/// Guards against a holder that acts although a peer already holds the group under a later epoch.
#[test]
fn a_later_epoch_at_a_peer_stops_the_holder() {
    let now = Timestamp::from_millis(50_000);
    let own = incarnation("a", 1);
    let mut reader = Reader::new(&own, now);
    reader.read(now, claim(group(0), &own));
    let mut heartbeat = report(incarnation("b", 1), 1, &["a"]);
    heartbeat.owns.insert(group(0), Epoch(1));
    reader.members.on_heartbeat(now, heartbeat.clone());
    assert_eq!(reader.may_act(now), MayAct::Yes(Epoch(1)));
    heartbeat.sequence = 2;
    heartbeat.owns.insert(group(0), Epoch(2));
    reader.members.on_heartbeat(now, heartbeat);
    assert_eq!(reader.may_act(now), MayAct::NotHolder);
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
    fleet.run(2 * HEARTBEAT_TIMEOUT + OWNER_LEASE + SECOND);
    owner(&fleet, group(0));
    let claim = fleet.nodes[0].claims.get(group(0)).unwrap();
    assert_ne!(claim.holder, incarnation(&format!("i{holder}"), 1));
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
    ownership.on_claim_abandoned(group(0));
    let claims = ownership.claims_to_make(now, [group(0)], &members, true);
    assert_eq!(claims, [group(0)]);
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
