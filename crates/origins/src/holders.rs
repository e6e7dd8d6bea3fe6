//! Which processes keep the origin of a stream.

use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ledger::StreamKey;

/// The first `count` of `processes` by rendezvous hashing of the stream: those with the same
/// processes in view choose the same ones, and a process that leaves changes only the choice of the
/// streams that it was chosen for.
pub fn rank_holders(
    key: StreamKey,
    processes: impl IntoIterator<Item = SocketAddr>,
    count: usize,
) -> Vec<SocketAddr> {
    let rank = |address: &SocketAddr| xxh3_64_with_seed(address.to_string().as_bytes(), key.0);
    let mut ranking: Vec<(u64, SocketAddr)> =
        processes.into_iter().map(|address| (rank(&address), address)).collect();
    ranking.sort_unstable();
    ranking.into_iter().rev().take(count).map(|(_, address)| address).collect()
}
