//! Selects the entry process that owns a claim shard.

use std::cmp::Reverse;

use base::prelude::*;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::key::ShardId;

/// Ranks the live `entries` for `shard` by rendezvous hashing; the first one owns the shard.
///
/// Safety does not depend on it: two processes may rank differently and own the same shard.
pub fn shard_ranking(shard: ShardId, entries: &[VmId]) -> Vec<&VmId> {
    let mut ranking = entries.iter().collect::<Vec<_>>();
    ranking.sort_by_cached_key(|entry| Reverse((weight(shard, entry), (*entry).clone())));
    ranking
}

fn weight(shard: ShardId, entry: &VmId) -> u64 {
    xxh3_64_with_seed(entry.as_str().as_bytes(), u64::from(shard.0))
}
