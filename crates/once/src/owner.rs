//! Choice of the entry process that owns a shard of claims.

use std::cmp::Reverse;

use base::prelude::*;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::key::ShardId;

/// The live `entries` in the order in which they own `shard`, by rendezvous hashing.
///
/// It only chooses who does the work: two processes that choose differently are both safe.
pub fn shard_ranking(shard: ShardId, entries: &[VmId]) -> Vec<&VmId> {
    let mut ranking = entries.iter().collect::<Vec<_>>();
    ranking.sort_by_cached_key(|entry| Reverse((weight(shard, entry), (*entry).clone())));
    ranking
}

fn weight(shard: ShardId, entry: &VmId) -> u64 {
    xxh3_64_with_seed(entry.as_str().as_bytes(), u64::from(shard.0))
}
