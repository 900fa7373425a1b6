//! Shards of backend servers, to which the copies of a request are sent.
//!
//! Load pattern: copies of one request reach all instances within the tenth of a second that its
//! crashes need to become known. With a small shard of servers for each request, chosen by its identity
//! (shuffle sharding), these copies meet on the same servers, while requests on the whole use all of
//! them alike.

use xxhash_rust::xxh3::xxh3_64;

use crate::backend::RunKey;
use crate::prompt::PartKey;

/// Number of servers in the shard of a request. With one, a copy would wait for the restart of that
/// server whenever it has crashed for reasons of its own.
const SHARD_SERVERS: usize = 2;

/// Returns the servers of the shard of a request among `servers`, by rendezvous hashing: a server that
/// comes or goes changes no other shards than its own.
pub fn shard(identity: PartKey, servers: impl Iterator<Item = RunKey>) -> Vec<RunKey> {
    let mut ranked: Vec<(u64, RunKey)> = servers
        .map(|server| (rank(identity, server), server))
        .collect();
    let count = ranked.len().min(SHARD_SERVERS);
    if count < ranked.len() {
        ranked.select_nth_unstable(count);
    }
    ranked.truncate(count);
    ranked.into_iter().map(|(_, server)| server).collect()
}

fn rank(identity: PartKey, server: RunKey) -> u64 {
    let [a, b, c, d, e, f, g, h] = identity.0.to_be_bytes();
    let [i, j, k, l] = server.0.to_be_bytes();
    xxh3_64(&[a, b, c, d, e, f, g, h, i, j, k, l])
}
