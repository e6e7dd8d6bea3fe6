//! Which processes keep the origin of a stream.

use std::net::{IpAddr, SocketAddr};

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
    let rank = |address: &SocketAddr| {
        let number = match address.ip() {
            IpAddr::V4(ip) => u128::from(u32::from(ip)),
            IpAddr::V6(ip) => u128::from(ip),
        };
        let seed = key.0 ^ u64::from(address.port());
        xxh3_64_with_seed(&number.to_le_bytes(), seed)
    };
    let mut ranking: Vec<(u64, SocketAddr)> =
        processes.into_iter().map(|address| (rank(&address), address)).collect();
    let first = |a: &(u64, SocketAddr), b: &(u64, SocketAddr)| b.cmp(a);
    if count < ranking.len() {
        ranking.select_nth_unstable_by(count, first);
        ranking.truncate(count);
    }
    ranking.sort_unstable_by(first);
    ranking.into_iter().map(|(_, address)| address).collect()
}
