//! Tests of claims: epochs, releases and concurrent claims.

mod common;

use std::time::Duration;

use common::{
    data,
    incarnation, //
};
use limpetweir_state::*;

const GROUP: GroupId = GroupId {
    kind: GroupKind::Jobs,
    index: 3,
};

fn claim(name: &str) -> ClaimRecord {
    ClaimRecord::Claim {
        group: GROUP,
        holder: incarnation(name),
        lease: Duration::from_secs(3),
    }
}

fn release(epoch: u64) -> ClaimRecord {
    ClaimRecord::Release {
        group: GROUP,
        epoch: Epoch(epoch),
    }
}

/// Guards against two owners after concurrent claims.
#[test]
fn later_of_two_claimants_owns_the_group() {
    let mut claims = Claims::default();
    claims.apply(Offset(4), claim("a"));
    let event = claims.apply(Offset(5), claim("b"));
    let ClaimEvent::Claimed { epoch, former, .. } = event else {
        panic!("{event:?}");
    };
    assert_eq!(epoch, Epoch(6));
    assert_eq!(former.unwrap().epoch, Epoch(5));
    assert_eq!(claims.epoch_of(GROUP, &incarnation("a")), None);
    assert_eq!(claims.epoch_of(GROUP, &incarnation("b")), Some(Epoch(6)));
}

/// Guards against a delayed release by the previous owner that ends the new owner's claim.
#[test]
fn release_with_a_stale_epoch_has_no_effect() {
    let mut claims = Claims::default();
    claims.apply(Offset(0), claim("a"));
    claims.apply(Offset(1), claim("b"));
    let stale = ClaimEvent::StaleRelease {
        group: GROUP,
        epoch: Epoch(1),
    };
    assert_eq!(claims.apply(Offset(2), release(1)), stale);
    assert_eq!(claims.epoch_of(GROUP, &incarnation("b")), Some(Epoch(2)));
}

/// Guards against a holder that still owns a group after releasing it, and against a second
/// release.
#[test]
fn released_group_has_no_owner() {
    let mut claims = Claims::default();
    claims.apply(Offset(0), claim("a"));
    let event = claims.apply(Offset(1), release(1));
    assert!(matches!(event, ClaimEvent::Released { .. }));
    assert!(claims.get(GROUP).unwrap().released);
    assert_eq!(claims.epoch_of(GROUP, &incarnation("a")), None);
    let event = claims.apply(Offset(2), release(1));
    assert!(matches!(event, ClaimEvent::StaleRelease { .. }));
}

/// Guards against a restarted process that owns the claims of its previous incarnation.
#[test]
fn restarted_holder_does_not_own_the_group() {
    let mut claims = Claims::default();
    claims.apply(Offset(0), claim("a"));
    let mut restarted = incarnation("a");
    restarted.started += 1;
    assert_eq!(claims.epoch_of(GROUP, &restarted), None);
}

/// Guards against a resent claim that gets a new epoch after another instance claimed the group.
#[test]
fn resent_claim_does_not_claim_the_group_again() {
    let mut replica = Replica::<Claims>::new();
    replica.read(Offset(0), data("a", 1, claim("a")));
    replica.read(Offset(1), data("b", 1, claim("b")));
    let outcome = replica.read(Offset(2), data("a", 1, claim("a")));
    assert_eq!(outcome, EntryOutcome::Resent);
    let fold = replica.fold().unwrap();
    assert_eq!(fold.epoch_of(GROUP, &incarnation("b")), Some(Epoch(2)));
}

/// Guards against claims that change when they are restored from a snapshot.
#[test]
fn snapshot_keeps_claims() {
    let mut claims = Claims::default();
    claims.apply(Offset(7), claim("a"));
    claims.apply(Offset(8), release(8));
    let mut buf = Vec::new();
    claims.snapshot(&mut buf).unwrap();
    assert_eq!(Claims::restore(&mut &buf[..]).unwrap(), claims);
}
