//! Exchange with other entries about requests that crash backend servers.
//!
//! A request that was in flight at a crash is reported to two entries for each of its keys, chosen
//! by rendezvous hashing, which count the crashes from all entries. A block goes to all entries
//! once. An entry that has seen some of its keys answered objects to the one that decided it, which
//! passes that on. Heartbeats carry a digest of the active blocks, and an entry that knows others
//! asks for them.

use std::{collections::BTreeSet, net::SocketAddr};

use base::prelude::*;
use events::{DecisionEvent, millis};
use peers::{
    BlockQuery, BlockReport, BlockState, CrashReport, DatagramBody, KeyAnswer, SuspectRequest,
};
use rand::RngExt;
use suspects::{
    BlockDigest, BlockId, CrashSighting, RequestBlock, SuspectKey, SuspectKeys, feedback_delay,
};
use tokio::time;

use super::{Fleet, saturating_millis};

/// Entries that count the crashes for one key; a second one in case the first has just failed.
const COUNTING_ENTRIES: usize = 2;
/// Shortest time between two queries for blocks.
const MIN_QUERY_INTERVAL: Duration = Duration::from_millis(500);
/// Most keys of a request or block that are read from a datagram.
const MAX_KEYS: usize = 32;

impl Fleet {
    /// Counts crashes that this entry has seen, and reports them to the entries that count them.
    pub(super) fn handle_crashes(&self, sightings: &[CrashSighting]) {
        for sighting in sightings {
            self.count_crash(sighting, "own");
            self.report_crash(sighting);
        }
    }

    /// Tells the other entries of blocks that have fewer suspect keys.
    pub(super) fn share_blocks(&self, blocks: &[RequestBlock]) {
        blocks.iter().for_each(|block| self.record_block(block, "own"));
        self.send_to_live(blocks);
    }

    /// Writes the active blocks to the store again, which may have lost them. Of the entries that know
    /// a block, the first in rank does that.
    pub fn store_blocks_again(&self) {
        let blocks = self
            .backends
            .with_dispatcher(|dispatcher, now| dispatcher.suspects().active_blocks(now));
        for block in blocks {
            let BlockId(key) = block.id();
            let first = self.lock().peers.ranked_for(key, 1).first().copied().flatten();
            if first.is_none() {
                self.archive.add(block);
            }
        }
    }

    fn report_crash(&self, sighting: &CrashSighting) {
        let addresses: BTreeSet<SocketAddr> = {
            let state = self.lock();
            let ranked = sighting
                .keys
                .iter()
                .flat_map(|SuspectKey(key)| state.peers.ranked_for(key, COUNTING_ENTRIES));
            ranked.flatten().collect()
        };
        let addresses: Vec<SocketAddr> = addresses.into_iter().collect();
        let request = encode_sighting(sighting, Instant::now());
        let report = CrashReport { requests: vec![request] };
        self.socket.send_all(&addresses, DatagramBody::CrashReport(report));
    }

    pub(super) fn apply_crash_report(&self, report: &CrashReport) {
        let now = Instant::now();
        for request in &report.requests {
            match decode_sighting(request, now) {
                Some(sighting) => self.count_crash(&sighting, "peer"),
                None => log::warn!(
                    "fleet: ignoring a crash reported as {} ms ago, before the clock's start",
                    request.sent_ms_ago.max(request.crashed_ms_ago)
                ),
            }
        }
    }

    fn count_crash(&self, sighting: &CrashSighting, source: &'static str) {
        let (block, crashes) = self.backends.with_dispatcher(|dispatcher, now| {
            let block = dispatcher.suspects_mut().record_crash(sighting, now);
            (block, dispatcher.suspects().crashes(&sighting.keys))
        });
        let age_ms = millis(sighting.crashed.elapsed());
        self.log.record(&DecisionEvent::CrashCounted {
            keys: &sighting.keys,
            crashes,
            age_ms,
            source,
        });
        if let Some(block) = block {
            self.record_block(&block, "own");
            self.archive.add(block.clone());
            self.send_to_live(&[block]);
        }
    }

    fn record_block(&self, block: &RequestBlock, source: &'static str) {
        let remaining = block.until.saturating_duration_since(Instant::now());
        self.log.record(&DecisionEvent::RequestsBlocked {
            keys: &block.keys,
            cleared: &block.cleared,
            remaining_ms: millis(remaining),
            renewals: block.renewals,
            source,
        });
    }

    /// Sends the active blocks to `addresses`.
    pub(super) fn send_blocks(&self, addresses: &[SocketAddr]) {
        let blocks = self
            .backends
            .with_dispatcher(|dispatcher, now| dispatcher.suspects().active_blocks(now));
        self.send_block_report(addresses, &blocks);
    }

    fn send_to_live(&self, blocks: &[RequestBlock]) {
        let addresses: Vec<SocketAddr> =
            self.lock().peers.live().map(|(_, address)| address).collect();
        self.send_block_report(&addresses, blocks);
    }

    fn send_block_report(&self, addresses: &[SocketAddr], blocks: &[RequestBlock]) {
        let now = Instant::now();
        let blocks = blocks.iter().map(|block| encode_block(block, now)).collect();
        self.socket.send_all(addresses, DatagramBody::BlockReport(BlockReport { blocks }));
    }

    pub(super) fn apply_block_report(&self, source: SocketAddr, report: &BlockReport) {
        let now = Instant::now();
        for state in &report.blocks {
            let block = decode_block(state, now);
            let applied = self.backends.with_dispatcher(|dispatcher, now| {
                dispatcher.suspects_mut().apply_block(&block, now)
            });
            if applied.is_new {
                self.record_block(&block, "peer");
            }
            if applied.has_objection {
                tokio::spawn(self.clone().object(source, block.keys));
            }
            if let Some(narrowed) = applied.narrowed {
                self.record_block(&narrowed, "peer");
                self.archive.add(narrowed.clone());
                self.send_to_live(&[narrowed]);
            }
        }
    }

    /// Sends the cleared keys of a block to the entry at `source`, unless another entry has
    /// reported them by then.
    async fn object(self, source: SocketAddr, keys: SuspectKeys) {
        let entries = self.lock().peers.live_count();
        let delay = feedback_delay(rand::rng().random(), entries);
        time::sleep(delay).await;
        let objection = self
            .backends
            .with_dispatcher(|dispatcher, _| dispatcher.suspects_mut().objection(&keys));
        if let Some(objection) = objection {
            self.send_block_report(&[source], &[objection]);
        }
    }

    /// Asks the entry at `source` for its blocks if they are others than the ones here.
    pub(super) fn compare_blocks(&self, source: SocketAddr, theirs: BlockDigest) {
        let own =
            self.backends.with_dispatcher(|dispatcher, now| dispatcher.suspects().digest(now));
        if theirs == BlockDigest::default() || theirs == own {
            return;
        }
        let now = Instant::now();
        let mut state = self.lock();
        let is_due = state
            .last_block_query
            .is_none_or(|sent| now.saturating_duration_since(sent) >= MIN_QUERY_INTERVAL);
        if is_due {
            state.last_block_query = Some(now);
            self.socket.send(source, DatagramBody::BlockQuery(BlockQuery {}));
        }
    }
}

fn encode_sighting(sighting: &CrashSighting, now: Instant) -> SuspectRequest {
    let age = |at: Instant| saturating_millis(now.saturating_duration_since(at));
    SuspectRequest {
        keys: sighting.keys.iter().map(|SuspectKey(key)| key).collect(),
        answered: sighting
            .answered
            .iter()
            .map(|(key, at)| KeyAnswer { key: key.0, ms_ago: age(*at) })
            .collect(),
        sent_ms_ago: age(sighting.sent),
        crashed_ms_ago: age(sighting.crashed),
    }
}

/// The reported crash by the clock of this process; none if it lies before the clock's start.
fn decode_sighting(request: &SuspectRequest, now: Instant) -> Option<CrashSighting> {
    let at = |ms_ago: u32| now.checked_sub(Duration::from_millis(ms_ago.into()));
    let answered = request.answered.iter().take(MAX_KEYS);
    let answered = answered.filter_map(|answer| Some((SuspectKey(answer.key), at(answer.ms_ago)?)));
    Some(CrashSighting {
        keys: decode_keys(&request.keys),
        answered: answered.collect(),
        sent: at(request.sent_ms_ago)?,
        crashed: at(request.crashed_ms_ago)?,
    })
}

fn encode_block(block: &RequestBlock, now: Instant) -> BlockState {
    let age = |at: Instant| saturating_millis(now.saturating_duration_since(at));
    BlockState {
        keys: block.keys.iter().map(|SuspectKey(key)| key).collect(),
        cleared: block.cleared.iter().map(|SuspectKey(key)| key).collect(),
        remaining_ms: saturating_millis(block.until.saturating_duration_since(now)),
        renewals: block.renewals,
        since_ms_ago: age(block.since),
        decided_ms_ago: age(block.decided),
    }
}

fn decode_block(state: &BlockState, now: Instant) -> RequestBlock {
    let at = |ms_ago: u32| {
        // A time before the clock's start is cut off: all answers here are later.
        now.checked_sub(Duration::from_millis(ms_ago.into())).unwrap_or(now)
    };
    RequestBlock {
        keys: decode_keys(&state.keys),
        cleared: decode_keys(&state.cleared),
        since: at(state.since_ms_ago),
        decided: at(state.decided_ms_ago),
        until: now + Duration::from_millis(state.remaining_ms.into()),
        renewals: state.renewals,
    }
}

fn decode_keys(keys: &[u64]) -> SuspectKeys {
    keys.iter().take(MAX_KEYS).copied().map(SuspectKey).collect()
}
