//! Rendezvous hashing of keys to named nodes.

use limpetweir_state::{
    GroupId,
    InstanceId, //
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the score of `node` for `key`; the node with the highest score is preferred.
///
/// The hash is part of the protocol between instances: all of them must compute the same order.
pub fn rendezvous_score(key: &[u8], node: &str) -> u64 {
    let seed = xxh3_64_with_seed(key, 0);
    xxh3_64_with_seed(node.as_bytes(), seed)
}

/// Returns the preferred owner of `group` among `candidates`, or `None` if there are none.
pub fn preferred_owner<'a>(
    group: GroupId,
    candidates: impl IntoIterator<Item = &'a InstanceId>,
) -> Option<&'a InstanceId> {
    let key = group.to_string();
    let rank = |id: &InstanceId| rendezvous_score(key.as_bytes(), id.as_str());
    candidates
        .into_iter()
        .max_by_key(|&id| (rank(id), id.clone()))
}
