//! Shards of servers for the copies of a request.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use limpetweir_gateway::{
    PartKey,
    RunKey,
    shard, //
};
use rstest::rstest;

fn servers(count: u32) -> impl Iterator<Item = RunKey> {
    (0..count).map(RunKey)
}

/// Guards against copies of a request that spread over most servers because instances list them in
/// other orders, and against shards of which some server is left out.
#[rstest]
#[case::none(0)]
#[case::one(1)]
#[case::small(9)]
#[case::large(128)]
fn every_instance_chooses_the_same_two_servers(#[case] count: u32) {
    let mut used: BTreeMap<RunKey, u32> = BTreeMap::new();
    for request in 0..u64::from(count) * 100 {
        let identity = PartKey::identity(request << 20);
        let own: BTreeSet<RunKey> = shard(identity, servers(count)).into_iter().collect();
        let reversed: Vec<RunKey> = servers(count).collect();
        let other = shard(identity, reversed.into_iter().rev());
        assert_eq!(own, other.into_iter().collect());
        assert_eq!(own.len(), 2.min(count as usize));
        for server in own {
            *used.entry(server).or_default() += 1;
        }
    }
    // Each has 200 of them on average, with a standard deviation of 14.
    assert_eq!(used.len(), count as usize);
    assert!(
        count < 2 || used.values().all(|n| (130..270).contains(n)),
        "{used:?}"
    );
}

/// Guards against shards that change with each server that comes or goes: copies would meet on others.
#[test]
fn a_server_that_leaves_changes_only_its_own_shards() {
    for request in 0..1_000 {
        let identity = PartKey::identity(request << 20);
        let before: BTreeSet<RunKey> = shard(identity, servers(9)).into_iter().collect();
        let without = servers(9).filter(|server| *server != RunKey(4));
        let after: BTreeSet<RunKey> = shard(identity, without).into_iter().collect();
        let kept = before.intersection(&after).count();
        assert_eq!(kept, if before.contains(&RunKey(4)) { 1 } else { 2 });
    }
}
