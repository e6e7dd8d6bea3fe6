//! Claims of idempotency keys. In virtual time: granted claims and added latency by the allowed
//! store writes a second, with claims in segments and with one object for each key. In real time:
//! CPU time and memory of a claim at its owner.

use std::sync::Arc;

use base::{clock, prelude::*};
use hdrhistogram::Histogram;
use measures::{
    figures::{FigureTarget, MeasuredFigure},
    usage::ProcessUsage,
};
use object_api::{
    MemoryStore, ObjectVersion, StoreFault,
    rate_limit::{CallLimits, RateLimitedStore},
};
use once::{
    CallTicket, ClaimCall, ClaimKey, ClaimRecord, ClaimReply, ClaimRequest, ClaimSegment,
    ClaimService, ClaimShard, CreationTime, KeyDigest, ObjectClaims, RecordKind,
    RequestFingerprint, SegmentNumber, ShardAction, ShardEvent, ShardLimits, ShardSnapshot,
    ShardTime, StoredBase, StoredSegment, WriteOutcome,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::{
    runtime::{Builder, Runtime},
    sync::Mutex,
    time,
};

/// Latency of a store call.
const STORE_DELAY: Duration = Duration::from_millis(4);
/// Virtual time of one run.
const RUN_TIME: Duration = Duration::from_secs(20);
/// Deadline of a claim, from when it is made.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(3);
/// Upper bound of the latency histogram, in microseconds; longer latencies count as this.
const MAX_LATENCY_MICROS: u64 = 60_000_000;
/// Requests a second at the peak, over all regions.
const PEAK_RATE: f64 = 29_000.0;
/// Fraction of the requests that have an idempotency key.
const KEYED_SHARE: f64 = 0.1;
/// Shards of all four regions.
const SHARDS: f64 = 4.0 * once::key::SHARD_COUNT as f64;
/// Most writes a second for claims; the platform allows several hundred for all uses together.
const MAX_STORE_WRITES: f64 = 150.0;
/// Claims held by a shard at the design size, for the measurements in real time.
const HELD_CLAIMS: u64 = 160_000;
/// Claims in each segment of those measurements.
const SEGMENT_CLAIMS: u64 = 20;
/// Largest share of a core that control may take on a node.
const MAX_CORE_SHARE: f64 = 0.015;
/// Most memory that control may take on a node, in bytes.
const MAX_MEMORY_BYTES: f64 = 128e6;

/// Counts and latencies of one run.
struct RunResult {
    granted: u64,
    refused: u64,
    writes: u64,
    latency: Histogram<u64>,
}

impl RunResult {
    fn granted_rate(&self) -> f64 {
        self.granted as f64 / RUN_TIME.as_secs_f64()
    }

    fn quantile_millis(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64 / 1e3
    }
}

/// How claims are stored.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ClaimStorage {
    /// Segments that hold many claims of a shard.
    Segments,
    /// One object for each key.
    Objects,
}

fn claim_key(number: u64) -> ClaimKey {
    let mut digest = [0; 16];
    digest[8..].copy_from_slice(&number.to_be_bytes());
    let created = CreationTime::before(clock::since_epoch(), Duration::ZERO);
    ClaimKey { digest: KeyDigest(digest), created }
}

fn claim_request(number: u64) -> ClaimRequest {
    ClaimRequest {
        key: claim_key(number),
        request: RequestId(u128::from(number)),
        fingerprint: RequestFingerprint([0; 32]),
        deadline: Instant::now() + CLAIM_TIMEOUT,
    }
}

/// Sends `rate` claims a second with exponential gaps to one shard that may write `writes` times a
/// second.
async fn run_claims(storage: ClaimStorage, rate: f64, writes: f64) -> RunResult {
    let memory = MemoryStore::new();
    memory.set_fault(StoreFault { delay: STORE_DELAY, ..StoreFault::default() });
    let limits = CallLimits { reads: EventRate(1e6), writes: EventRate(writes) };
    let limited = Arc::new(RateLimitedStore::new(memory.clone(), limits));
    let write_interval = Duration::from_secs_f64(1.0 / writes);
    let shard_limits = ShardLimits { min_write_interval: write_interval, ..ShardLimits::default() };
    let region = "cz-central".parse().expect("the name is valid");
    let writer = ProcessIncarnation(1);
    // Only the shard's write interval is to limit its writes, so its store has no rate limit.
    let service = ClaimService::new(Arc::new(memory.clone()), &region, writer, shard_limits);
    let (service, objects) = (Arc::new(service), Arc::new(ObjectClaims::new(limited)));
    let latency =
        Histogram::new_with_bounds(1, MAX_LATENCY_MICROS, 3).expect("the bounds are valid");
    let result = RunResult { granted: 0, refused: 0, writes: 0, latency };
    let result = Arc::new(Mutex::new(result));
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let end = Instant::now() + RUN_TIME;
    let mut tasks = tokio::task::JoinSet::new();
    let mut number = 0;
    let mut at = Instant::now();
    while at < end {
        let uniform: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
        at += Duration::from_secs_f64(-uniform.ln() / rate);
        number += 1;
        let (service, objects, result) = (service.clone(), objects.clone(), result.clone());
        tasks.spawn(async move {
            time::sleep_until(at).await;
            let request = claim_request(number);
            let reply = match storage {
                ClaimStorage::Segments => service.claim(request).await,
                ClaimStorage::Objects => objects.claim(request.key.digest, request.request).await,
            };
            let mut result = result.lock().await;
            match reply {
                ClaimReply::Granted => {
                    result.granted += 1;
                    result.latency.saturating_record(at.elapsed().as_micros() as u64);
                }
                _ => result.refused += 1,
            }
        });
    }
    while tasks.join_next().await.is_some() {}
    let result = Arc::into_inner(result).expect("all tasks have ended").into_inner();
    RunResult { writes: memory.calls().writes, ..result }
}

fn print_row(storage: &str, offered: f64, writes: f64, result: &RunResult) {
    println!(
        "{storage:>9} {offered:>9.0} {writes:>9.0} {:>9.0} {:>8} {:>9.1} {:>9.1} {:>9.1}",
        result.granted_rate(),
        result.refused,
        result.writes as f64 / RUN_TIME.as_secs_f64(),
        result.quantile_millis(0.5),
        result.quantile_millis(0.99),
    );
}

async fn print_sweep() {
    println!("{STORE_DELAY:?} a store call, {RUN_TIME:?} each, one shard");
    println!(
        "{:>9} {:>9} {:>9} {:>9} {:>8} {:>9} {:>9} {:>9}",
        "way", "offered/s", "budget/s", "granted/s", "refused", "writes/s", "p50 ms", "p99 ms"
    );
    for rate in [45.0, 450.0, 4_500.0] {
        for writes in [1.0, 2.0, 5.0, 20.0] {
            let segments = run_claims(ClaimStorage::Segments, rate, writes).await;
            print_row("segments", rate, writes, &segments);
            let objects = run_claims(ClaimStorage::Objects, rate, writes).await;
            print_row("objects", rate, writes, &objects);
        }
    }
}

/// Measures one shard at the peak rate of the design size.
async fn print_peak() {
    let rate = PEAK_RATE * KEYED_SHARE / SHARDS;
    let segments = run_claims(ClaimStorage::Segments, rate, 2.0).await;
    let objects = run_claims(ClaimStorage::Objects, rate, 2.0).await;
    let fleet_writes = segments.writes as f64 / RUN_TIME.as_secs_f64() * SHARDS;
    let per_write = |result: &RunResult| result.granted as f64 / result.writes as f64;
    let share =
        |result: &RunResult| result.granted as f64 / (result.granted + result.refused) as f64;
    print("claims-granted-share", share(&segments), FigureTarget::AtLeast(0.999));
    print("claims-granted-share-objects", share(&objects), FigureTarget::Baseline);
    print("claims-per-write", per_write(&segments), FigureTarget::Baseline);
    print("claims-per-write-objects", per_write(&objects), FigureTarget::Baseline);
    print("claims-added-p50-ms", segments.quantile_millis(0.5), FigureTarget::Baseline);
    print("claims-added-p99-ms", segments.quantile_millis(0.99), FigureTarget::Baseline);
    print("claims-added-p99-ms-objects", objects.quantile_millis(0.99), FigureTarget::Baseline);
    print("claims-fleet-writes", fleet_writes, FigureTarget::AtMost(MAX_STORE_WRITES));
}

/// One shard whose store answers only when `answer_pending` is called.
struct SteppedShard {
    shard: ClaimShard,
    pending: Vec<ShardAction>,
    granted: u64,
}

impl SteppedShard {
    fn new() -> Self {
        let limits = ShardLimits { min_write_interval: Duration::ZERO, ..ShardLimits::default() };
        let shard = ClaimShard::new(ProcessIncarnation(1), limits, Instant::now());
        Self { shard, pending: Vec::new(), granted: 0 }
    }

    fn apply_event(&mut self, event: ShardEvent) {
        for action in self.shard.handle(event, ShardTime::current()) {
            match action {
                ShardAction::Reply { reply, .. } => {
                    self.granted += u64::from(reply == ClaimReply::Granted);
                }
                action => self.pending.push(action),
            }
        }
    }

    /// Answers all pending store calls; calls that these answers cause stay pending.
    fn answer_pending(&mut self) {
        for action in std::mem::take(&mut self.pending) {
            match action {
                ShardAction::Recover => {
                    self.apply_event(ShardEvent::Recovered(Some(ShardSnapshot::default())));
                }
                ShardAction::WriteSegment { number, .. } => {
                    let written = WriteOutcome::Written(ObjectVersion(number.0 + 1));
                    self.apply_event(ShardEvent::SegmentWritten(written));
                }
                ShardAction::ReadBase => {
                    self.apply_event(ShardEvent::BaseRead(Some(StoredBase::default())));
                }
                _ => {}
            }
        }
    }

    fn claim(&mut self, number: u64) {
        let ClaimRequest { key, request, fingerprint, deadline } = claim_request(number);
        self.apply_event(ShardEvent::Call(ClaimCall {
            ticket: CallTicket(number),
            kind: RecordKind::Claim,
            key,
            request,
            fingerprint,
            deadline,
        }));
    }
}

/// CPU time of a claim at its owner, and memory of a held claim.
fn print_costs() {
    let before = resident();
    let started = Instant::now();
    let mut stepped = SteppedShard::new();
    stepped.apply_event(ShardEvent::Tick);
    for number in 0..HELD_CLAIMS {
        stepped.claim(number);
        if number % SEGMENT_CLAIMS == 0 {
            stepped.answer_pending();
            stepped.answer_pending();
        }
    }
    while stepped.granted < HELD_CLAIMS {
        stepped.answer_pending();
    }
    let micros = started.elapsed().as_secs_f64() * 1e6 / HELD_CLAIMS as f64;
    let memory = (resident() - before) / HELD_CLAIMS as f64;
    let rate = PEAK_RATE * KEYED_SHARE / SHARDS;
    let held = rate * ShardLimits::default().claim_lifetime.as_secs_f64();
    print("claims-owner-us-per-claim", micros, FigureTarget::Baseline);
    print("claims-owner-core-share", rate * micros * 1e-6, FigureTarget::AtMost(MAX_CORE_SHARE));
    print("claims-bytes-per-held-claim", memory, FigureTarget::Baseline);
    print(
        "claims-owner-memory-mb",
        held * memory / 1e6,
        FigureTarget::AtMost(MAX_MEMORY_BYTES / 1e6),
    );
}

/// Time to replay the log of a shard that holds `HELD_CLAIMS` claims.
fn print_replay() {
    let segments = (0..HELD_CLAIMS / SEGMENT_CLAIMS).map(stored_segment).collect();
    let snapshot = ShardSnapshot { segments, base: StoredBase::default() };
    let mut stepped = SteppedShard::new();
    stepped.apply_event(ShardEvent::Tick);
    let started = Instant::now();
    stepped.apply_event(ShardEvent::Recovered(Some(snapshot)));
    let millis = started.elapsed().as_secs_f64() * 1e3;
    print("claims-replay-ms", millis, FigureTarget::Baseline);
}

fn stored_segment(index: u64) -> StoredSegment {
    let numbers = index * SEGMENT_CLAIMS..(index + 1) * SEGMENT_CLAIMS;
    let records = numbers.map(|number| {
        let ClaimKey { digest, created } = claim_key(number);
        let request = RequestId(u128::from(number));
        ClaimRecord { digest, created, request, kind: RecordKind::Claim }
    });
    let segment =
        ClaimSegment { writer: ProcessIncarnation(2), nonce: index, records: records.collect() };
    StoredSegment { number: SegmentNumber(index), version: ObjectVersion(index + 1), segment }
}

fn resident() -> f64 {
    ProcessUsage::read(std::process::id()).map_or(0.0, |usage| usage.resident.0 as f64)
}

fn print(name: &str, value: f64, target: FigureTarget) {
    MeasuredFigure::new(name, value, target).print();
}

fn start_runtime(is_paused: bool) -> Runtime {
    let built = Builder::new_current_thread().enable_all().start_paused(is_paused).build();
    built.expect("the runtime starts")
}

fn main() {
    start_runtime(false).block_on(async {
        print_costs();
        print_replay();
    });
    start_runtime(true).block_on(async {
        print_sweep().await;
        print_peak().await;
    });
}
