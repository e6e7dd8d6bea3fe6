//! Claims of idempotency keys: claims a second and added latency for each store write a second,
//! beside one object for each key, in virtual time; and the cost of the decisions in real time.

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

/// Time that the store takes for a call.
const STORE_DELAY: Duration = Duration::from_millis(4);
/// Virtual time of one run.
const RUN_TIME: Duration = Duration::from_secs(20);
/// Longest wait of a claim.
const PATIENCE: Duration = Duration::from_secs(3);
/// Longest latency told apart, in microseconds.
const LONGEST_MICROS: u64 = 60_000_000;
/// Requests a second at the peak, over all regions.
const PEAK_RATE: f64 = 29_000.0;
/// Part of the requests that shows an idempotency key.
const KEYED_SHARE: f64 = 0.1;
/// Shards over all four regions.
const SHARDS: f64 = 4.0 * once::key::SHARD_COUNT as f64;
/// Writes a second of the claims that the platform's several hundred leave room for.
const STORE_WRITES: f64 = 150.0;
/// Claims held by a shard when its memory is measured.
const HELD_CLAIMS: u64 = 160_000;
/// Claims written together then.
const SEGMENT_CLAIMS: u64 = 20;
/// Largest share of a core that control may take on a node.
const CORE_SHARE: f64 = 0.015;
/// Largest memory that control may take on a node, in bytes.
const NODE_MEMORY: f64 = 128e6;

/// What one run gave.
struct RunResult {
    granted: u64,
    refused: u64,
    writes: u64,
    latency: Histogram<u64>,
}

impl RunResult {
    fn rate(&self) -> f64 {
        self.granted as f64 / RUN_TIME.as_secs_f64()
    }

    fn quantile(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64 / 1e3
    }
}

/// Which way claims are kept.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ClaimWay {
    Segments,
    Objects,
}

fn claim_key(number: u64) -> ClaimKey {
    let mut digest = [0; 16];
    digest[8..].copy_from_slice(&number.to_be_bytes());
    let minted = CreationTime::before(clock::since_epoch(), Duration::ZERO);
    ClaimKey { digest: KeyDigest(digest), created: minted }
}

fn ask(number: u64) -> ClaimRequest {
    ClaimRequest {
        key: claim_key(number),
        request: RequestId(u128::from(number)),
        fingerprint: RequestFingerprint([0; 32]),
        deadline: Instant::now() + PATIENCE,
    }
}

/// Offers `rate` claims a second with exponential gaps to one shard that may write `writes` times
/// a second.
async fn offer(way: ClaimWay, rate: f64, writes: f64) -> RunResult {
    let memory = MemoryStore::new();
    memory.set_fault(StoreFault { delay: STORE_DELAY, ..StoreFault::default() });
    let limits = CallLimits { reads: EventRate(1e6), writes: EventRate(writes) };
    let budgeted = Arc::new(RateLimitedStore::new(memory.clone(), limits));
    let gap = Duration::from_secs_f64(1.0 / writes);
    let shard_limits = ShardLimits { min_write_interval: gap, ..ShardLimits::default() };
    let region = "cz-central".parse().expect("the name is valid");
    let writer = ProcessIncarnation(1);
    // The shard's own pace is what is measured, so that its store has no other limit.
    let keeper = ClaimService::new(Arc::new(memory.clone()), &region, writer, shard_limits);
    let (keeper, objects) = (Arc::new(keeper), Arc::new(ObjectClaims::new(budgeted)));
    let latency = Histogram::new_with_bounds(1, LONGEST_MICROS, 3).expect("the bounds are valid");
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
        let (keeper, objects, result) = (keeper.clone(), objects.clone(), result.clone());
        tasks.spawn(async move {
            time::sleep_until(at).await;
            let ask = ask(number);
            let reply = match way {
                ClaimWay::Segments => keeper.claim(ask).await,
                ClaimWay::Objects => objects.claim(ask.key.digest, ask.request).await,
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

fn print_row(way: &str, offered: f64, writes: f64, result: &RunResult) {
    println!(
        "{way:>9} {offered:>9.0} {writes:>9.0} {:>9.0} {:>8} {:>9.1} {:>9.1} {:>9.1}",
        result.rate(),
        result.refused,
        result.writes as f64 / RUN_TIME.as_secs_f64(),
        result.quantile(0.5),
        result.quantile(0.99),
    );
}

async fn sweep() {
    println!("{STORE_DELAY:?} a store call, {RUN_TIME:?} each, one shard");
    println!(
        "{:>9} {:>9} {:>9} {:>9} {:>8} {:>9} {:>9} {:>9}",
        "way", "offered/s", "budget/s", "granted/s", "refused", "writes/s", "p50 ms", "p99 ms"
    );
    for rate in [45.0, 450.0, 4_500.0] {
        for writes in [1.0, 2.0, 5.0, 20.0] {
            let segments = offer(ClaimWay::Segments, rate, writes).await;
            print_row("segments", rate, writes, &segments);
            let objects = offer(ClaimWay::Objects, rate, writes).await;
            print_row("objects", rate, writes, &objects);
        }
    }
}

async fn print_sizes() {
    let rate = PEAK_RATE * KEYED_SHARE / SHARDS;
    let segments = offer(ClaimWay::Segments, rate, 2.0).await;
    let objects = offer(ClaimWay::Objects, rate, 2.0).await;
    let fleet_writes = segments.writes as f64 / RUN_TIME.as_secs_f64() * SHARDS;
    let per_write = |result: &RunResult| result.granted as f64 / result.writes as f64;
    let share =
        |result: &RunResult| result.granted as f64 / (result.granted + result.refused) as f64;
    print("claims-granted-share", share(&segments), FigureTarget::AtLeast(0.999));
    print("claims-granted-share-objects", share(&objects), FigureTarget::Baseline);
    print("claims-per-write", per_write(&segments), FigureTarget::Baseline);
    print("claims-per-write-objects", per_write(&objects), FigureTarget::Baseline);
    print("claims-added-p50-ms", segments.quantile(0.5), FigureTarget::Baseline);
    print("claims-added-p99-ms", segments.quantile(0.99), FigureTarget::Baseline);
    print("claims-added-p99-ms-objects", objects.quantile(0.99), FigureTarget::Baseline);
    print("claims-fleet-writes", fleet_writes, FigureTarget::AtMost(STORE_WRITES));
}

/// Runs one shard with a store that answers when told to.
struct SteppedShard {
    shard: ClaimShard,
    asked: Vec<ShardAction>,
    granted: u64,
}

impl SteppedShard {
    fn new() -> Self {
        let limits = ShardLimits { min_write_interval: Duration::ZERO, ..ShardLimits::default() };
        let shard = ClaimShard::new(ProcessIncarnation(1), limits, Instant::now());
        Self { shard, asked: Vec::new(), granted: 0 }
    }

    fn feed(&mut self, event: ShardEvent) {
        for action in self.shard.handle(event, ShardTime::current()) {
            match action {
                ShardAction::Reply { reply, .. } => {
                    self.granted += u64::from(reply == ClaimReply::Granted);
                }
                action => self.asked.push(action),
            }
        }
    }

    /// Lets the store answer once to all that was asked of it.
    fn step(&mut self) {
        for action in std::mem::take(&mut self.asked) {
            match action {
                ShardAction::Recover => {
                    self.feed(ShardEvent::Recovered(Some(ShardSnapshot::default())));
                }
                ShardAction::WriteSegment { number, .. } => {
                    let written = WriteOutcome::Written(ObjectVersion(number.0 + 1));
                    self.feed(ShardEvent::SegmentWritten(written));
                }
                ShardAction::ReadBase => {
                    self.feed(ShardEvent::BaseRead(Some(StoredBase::default())));
                }
                _ => {}
            }
        }
    }

    fn claim(&mut self, number: u64) {
        let ClaimRequest { key, request, fingerprint, deadline } = ask(number);
        self.feed(ShardEvent::Call(ClaimCall {
            ticket: CallTicket(number),
            kind: RecordKind::Claim,
            key,
            request,
            fingerprint,
            deadline,
        }));
    }
}

/// Processor time of a claim at its owner, and memory of a claim that is held.
fn print_costs() {
    let before = resident();
    let began = Instant::now();
    let mut stepped = SteppedShard::new();
    stepped.feed(ShardEvent::Tick);
    for number in 0..HELD_CLAIMS {
        stepped.claim(number);
        if number % SEGMENT_CLAIMS == 0 {
            stepped.step();
            stepped.step();
        }
    }
    while stepped.granted < HELD_CLAIMS {
        stepped.step();
    }
    let micros = began.elapsed().as_secs_f64() * 1e6 / HELD_CLAIMS as f64;
    let memory = (resident() - before) / HELD_CLAIMS as f64;
    let rate = PEAK_RATE * KEYED_SHARE / SHARDS;
    let held = rate * ShardLimits::default().claim_lifetime.as_secs_f64();
    print("claims-owner-us-per-claim", micros, FigureTarget::Baseline);
    print("claims-owner-core-share", rate * micros * 1e-6, FigureTarget::AtMost(CORE_SHARE));
    print("claims-bytes-per-held-claim", memory, FigureTarget::Baseline);
    print("claims-owner-memory-mb", held * memory / 1e6, FigureTarget::AtMost(NODE_MEMORY / 1e6));
}

/// Time to replay the log of a shard that holds as many claims as at the size of the design.
fn print_replay() {
    let segments = (0..HELD_CLAIMS / SEGMENT_CLAIMS).map(stored_segment).collect();
    let image = ShardSnapshot { segments, base: StoredBase::default() };
    let mut stepped = SteppedShard::new();
    stepped.feed(ShardEvent::Tick);
    let began = Instant::now();
    stepped.feed(ShardEvent::Recovered(Some(image)));
    let millis = began.elapsed().as_secs_f64() * 1e3;
    print("claims-replay-ms", millis, FigureTarget::Baseline);
}

fn stored_segment(index: u64) -> StoredSegment {
    let numbers = index * SEGMENT_CLAIMS..(index + 1) * SEGMENT_CLAIMS;
    let records = numbers.map(|number| {
        let ClaimKey { digest, created: minted } = claim_key(number);
        let request = RequestId(u128::from(number));
        ClaimRecord { digest, created: minted, request, kind: RecordKind::Claim }
    });
    let segment =
        ClaimSegment { writer: ProcessIncarnation(2), nonce: index, records: records.collect() };
    StoredSegment { number: SegmentNumber(index), version: ObjectVersion(index + 1), segment }
}

fn resident() -> f64 {
    ProcessUsage::of(std::process::id()).map_or(0.0, |usage| usage.resident.0 as f64)
}

fn print(name: &str, value: f64, target: FigureTarget) {
    MeasuredFigure::new(name, value, target).print();
}

fn runtime(is_paused: bool) -> Runtime {
    let built = Builder::new_current_thread().enable_all().start_paused(is_paused).build();
    built.expect("the runtime starts")
}

fn main() {
    runtime(false).block_on(async {
        print_costs();
        print_replay();
    });
    runtime(true).block_on(async {
        sweep().await;
        print_sizes().await;
    });
}
