//! Choice of the entry process that owns a shard of claims.

use base::prelude::*;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::key::ShardId;

/// The owner of `shard` among the live `entries`, by rendezvous hashing.
///
/// It only chooses who does the work: two processes that choose differently are both safe.
pub fn shard_owner(shard: ShardId, entries: &[VmId]) -> Option<&VmId> {
    entries.iter().max_by_key(|entry| (weight(shard, entry), *entry))
}

fn weight(shard: ShardId, entry: &VmId) -> u64 {
    xxh3_64_with_seed(entry.as_str().as_bytes(), u64::from(shard.0))
}
