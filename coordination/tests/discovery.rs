//! The order of instances that callers get.

use std::collections::BTreeSet;

use limpetweir_coordination::{
    DiscoveryMember,
    discovery_order, //
};
use limpetweir_state::{
    InstanceId,
    OrganisationId,
    ZoneId, //
};

fn organisation(n: u32) -> OrganisationId {
    OrganisationId::try_from(format!("o{n}")).expect("valid name")
}

fn names() -> Vec<(InstanceId, ZoneId)> {
    let name = |n: usize| {
        let instance = format!("i{n}").try_into().expect("valid name");
        let zone = ["z0", "z1", "z2"][n % 3];
        (instance, zone.try_into().expect("valid name"))
    };
    (0..9).map(name).collect()
}

fn members(names: &[(InstanceId, ZoneId)]) -> Vec<DiscoveryMember<'_>> {
    let member = |(instance, zone)| DiscoveryMember {
        instance,
        zone,
        public: ([127, 0, 0, 1], 8_000).into(),
        serving: true,
        leaving: false,
        unreachable: false,
    };
    names
        .iter()
        .map(|(instance, zone)| member((instance, zone)))
        .collect()
}

fn order<'a>(
    n: u32,
    zone: Option<&ZoneId>,
    members: &[DiscoveryMember<'a>],
) -> Vec<&'a InstanceId> {
    let order = discovery_order(&organisation(n), zone, members.iter().copied());
    order.iter().map(|member| member.instance).collect()
}

/// Guards against callers who are sent to an instance that stops, is lost or does not serve yet.
#[test]
fn unusable_members_are_left_out() {
    let names = names();
    let mut members = members(&names);
    members[1].leaving = true;
    members[4].unreachable = true;
    members[7].serving = false;
    for n in 0..50 {
        let order = order(n, None, &members);
        assert_eq!(order.len(), 6);
        let unusable = [&names[1].0, &names[4].0, &names[7].0];
        assert!(!order.iter().any(|id| unusable.contains(id)));
    }
    for member in &mut members {
        member.leaving = true;
    }
    assert!(order(1, None, &members).is_empty());
}

/// Guards against instances that answer the same caller differently.
#[test]
fn order_does_not_depend_on_the_order_of_members() {
    let names = names();
    let mut members = members(&names);
    let before = order(1, None, &members);
    members.reverse();
    assert_eq!(order(1, None, &members), before);
}

/// Guards against one instance that gets the callers of all organisations.
#[test]
fn organisations_are_spread() {
    let names = names();
    let members = members(&names);
    let first: BTreeSet<_> = (0..200).map(|n| order(n, None, &members)[0]).collect();
    assert_eq!(first.len(), names.len());
}

/// Guards against callers who change their instance when an unrelated one is lost.
#[test]
fn loss_moves_only_the_callers_of_the_lost_member() {
    let names = names();
    let mut members = members(&names);
    for n in 0..100 {
        let before = order(n, None, &members);
        members[3].unreachable = true;
        let after = order(n, None, &members);
        members[3].unreachable = false;
        let kept: Vec<_> = before.into_iter().filter(|id| **id != names[3].0).collect();
        assert_eq!(after, kept);
    }
}

/// Guards against needless hops between zones, and against a caller who has no other zone to use.
#[test]
fn own_zone_comes_first_and_others_follow() {
    let names = names();
    let members = members(&names);
    let zone = &names[1].1;
    for n in 0..50 {
        let order = order(n, Some(zone), &members);
        assert_eq!(order.len(), 9);
        let near = |id: &&InstanceId| names.iter().any(|(i, z)| i == *id && z == zone);
        assert!(order[..3].iter().all(near));
    }
    let elsewhere = ZoneId::try_from("z9").unwrap();
    assert_eq!(
        order(1, Some(&elsewhere), &members),
        order(1, None, &members)
    );
}
