//! Tests of claims, take-overs and releases of groups.

use std::collections::BTreeSet;

use limpetweir_state::{
    ClaimRecord,
    EntryBody,
    Epoch, //
};

use super::support::{
    Fleet,
    GROUPS,
    wait_for, //
};

const NAMES: [&str; 3] = ["a1", "a2", "a3"];

/// Guards against a group without an owner or with two instances that act as its owner.
#[test]
fn three_instances_claim_all_groups_once() {
    let fleet = Fleet::start(&NAMES);
    let owners = fleet.wait_settled();
    let holders: BTreeSet<&str> = owners.values().map(|(name, _)| name.as_str()).collect();
    assert!(holders.iter().all(|name| NAMES.contains(name)));
    wait_for("each group is held by one instance", || {
        let held = NAMES.map(|name| fleet.metric(name, "limpetweir_groups_held"));
        let held: Option<usize> = held.into_iter().sum();
        (held? == 3 * GROUPS).then_some(())
    });
    let mut claimed = BTreeSet::new();
    for (at, entry) in fleet.records::<ClaimRecord>("claims") {
        let EntryBody::Data(ClaimRecord::Claim { group, holder, .. }) = entry.body else {
            continue;
        };
        let owner = (holder.instance.to_string(), at.next().0);
        assert_eq!(owners[&group.to_string()], owner);
        assert!(claimed.insert(group), "{group} was claimed twice");
    }
}

/// Guards against groups that are not taken over from a failed instance, and against a take-over of
/// other groups.
#[test]
fn the_groups_of_a_killed_instance_are_taken_over() {
    let mut fleet = Fleet::start(&NAMES);
    // Ownership no longer changes once each instance owns the groups that it is preferred for.
    let before = wait_for("each instance owns a group", || {
        let owners = fleet.wait_settled();
        let holders: BTreeSet<_> = owners.values().map(|(name, _)| name.clone()).collect();
        (holders.len() == NAMES.len()).then_some(owners)
    });
    fleet.kill("a2");
    let after = fleet.wait_settled();
    for (group, (holder, epoch)) in &before {
        let (new_holder, new_epoch) = &after[group];
        assert_ne!(new_holder, "a2");
        if holder == "a2" {
            assert!(new_epoch > epoch, "{group}");
        }
    }
}

/// Guards against a graceful stop that leaves its groups without an owner until a lease expires.
#[test]
fn a_graceful_stop_releases_every_group() {
    let mut fleet = Fleet::start(&NAMES);
    let owners = wait_for("a1 owns a group", || {
        let owners = fleet.wait_settled();
        owners
            .values()
            .any(|(name, _)| name == "a1")
            .then_some(owners)
    });
    assert!(fleet.stop("a1"));
    let released: BTreeSet<Epoch> = fleet
        .records::<ClaimRecord>("claims")
        .into_iter()
        .filter_map(|(_, entry)| match entry.body {
            EntryBody::Data(ClaimRecord::Release { epoch, .. }) => Some(epoch),
            _ => None,
        })
        .collect();
    for (group, (holder, epoch)) in owners {
        if holder == "a1" {
            assert!(released.contains(&Epoch(epoch)), "{group}");
        }
    }
    let owners = fleet.wait_settled();
    assert!(owners.values().all(|(name, _)| name != "a1"));
}
