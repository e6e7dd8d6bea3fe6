//! CPU time of a decision and memory of a model at its owner, by number of slots, and memory of a
//! target in a side process's ledger.

use base::prelude::*;
use loading::*;
use measures::{
    figures::{FigureTarget, MeasuredFigure},
    usage::ProcessUsage,
};

/// Decisions in each measurement.
const DECISIONS: u32 = 200_000;
/// Slots of a typical model.
const SLOTS: u64 = 83;
/// Slots of a large model.
const LARGE_SLOTS: u64 = 500;
/// Requests a second at the peak, over all entries.
const PEAK_RATE: f64 = 29_000.0;
/// Entries at the design size.
const ENTRIES: f64 = 2_600.0;
/// Models and adapters at the design size.
const TARGETS: f64 = 9_520.0;
/// Largest share of a core that control may take on a node.
const MAX_CORE_SHARE: f64 = 0.015;
/// Most memory that control may take on a node, in bytes.
const MAX_MEMORY_BYTES: f64 = 128e6;

/// State that an owner keeps for one model.
struct OwnerModel {
    scheduler: LoadScheduler,
    scaler: ReplicaScaler,
    keep_warm: KeepWarm,
}

fn candidate(number: u64) -> LoadCandidate {
    LoadCandidate {
        vm: VmId::new(format!("vm-{number}")).expect("the name is valid"),
        holder: ProcessIncarnation(number + 1),
        fence: FencingNumber(1),
        tier: CacheTier::Disk,
        has_free_memory: true,
        loads_in_progress: 0,
    }
}

fn owner_model(slots: u64, now: Instant) -> OwnerModel {
    let load_time = Duration::from_secs(5);
    let speed = ReplicaSpeed { batch: 16, service_time: Duration::from_secs(2), load_time };
    let cost = LoadCost { load_time, accelerators: 1.0 };
    let mut scheduler = LoadScheduler::new(OrderId(1));
    scheduler.step(SchedulerEvent::Slots((0..slots).map(candidate).collect()), now);
    OwnerModel {
        scheduler,
        scaler: ReplicaScaler::new(speed),
        keep_warm: KeepWarm::new(WarmPrices::default(), cost, now),
    }
}

/// Time of one decision for a model with `slots` slots, in microseconds.
fn decision_time(slots: u64) -> f64 {
    let start = Instant::now();
    let mut model = owner_model(slots, start);
    let mut prior = GapHistogram::default();
    let mut now = start;
    for request in 0..DECISIONS {
        now += Duration::from_millis(700);
        let demand = ModelDemand { waiting: request % 2, running: request % 7 };
        model.keep_warm.observe(demand != ModelDemand::default(), &mut prior, now);
        let replicas = model.scheduler.loaded_count() + model.scheduler.loading_count();
        let target = model.scaler.target(demand, replicas, now);
        let desired =
            target.max(u32::from(model.keep_warm.warm_request(now) == WarmRequest::Loaded));
        let actions = model.scheduler.step(SchedulerEvent::DesiredReplicas(desired), now);
        std::hint::black_box(actions);
    }
    start.elapsed().as_secs_f64() * 1e6 / f64::from(DECISIONS)
}

fn resident_bytes() -> f64 {
    ProcessUsage::read(std::process::id()).map_or(0.0, |usage| usage.resident.0 as f64)
}

/// Memory of one model with `slots` slots at its owner, in bytes.
///
/// The models are leaked: freed memory would be used again and hide the growth in later
/// measurements.
fn bytes_per_model(slots: u64) -> f64 {
    let now = Instant::now();
    let before = resident_bytes();
    let models: Vec<OwnerModel> = (0..2_000).map(|_| owner_model(slots, now)).collect();
    let after = resident_bytes();
    let count = models.len() as f64;
    std::mem::forget(models);
    (after - before) / count
}

/// Memory of one loaded target in a side process's ledger, in bytes.
fn ledger_bytes_per_target() -> f64 {
    let now = Instant::now();
    let settings = LedgerSettings {
        capacity: ByteSize::gib(1 << 20),
        largest_adapter: ByteSize::gib(1),
        fence_check: FenceCheck::Ignored,
        holder: ProcessIncarnation(1),
    };
    let mut ledger = MemoryLedger::new(settings);
    ledger.step(LedgerEvent::Inherited(Vec::new()), now);
    let target = |number: u64| {
        LoadTarget::Model(ModelId::new(format!("model-{number}")).expect("the name is valid"))
    };
    let listed = |number| ListedTarget { target: target(number), size: ByteSize::mib(1) };
    let targets: Vec<ListedTarget> = (0..20_000).map(listed).collect();
    let count = targets.len() as f64;
    let listing =
        EngineListing { number: ListingNumber(1), incarnation: EngineIncarnation(1), targets };
    let before = resident_bytes();
    ledger.step(LedgerEvent::Listed(listing), now);
    (resident_bytes() - before) / count
}

/// Prints the table and the figures.
pub fn measure() {
    println!("\ndecision at the owner, by slots of the model");
    let times: Vec<(u64, f64)> = [1, 10, SLOTS, LARGE_SLOTS]
        .into_iter()
        .map(|slots| (slots, decision_time(slots)))
        .collect();
    for (slots, time) in &times {
        println!("{slots:>6} slots {time:>8.3} us");
    }
    let slope = (times[3].1 - times[0].1) / (times[3].0 - times[0].0) as f64;
    let (typical, large) = (bytes_per_model(SLOTS), bytes_per_model(LARGE_SLOTS));
    let per_slot = (large - typical) / (LARGE_SLOTS - SLOTS) as f64;
    let ledger = ledger_bytes_per_target();
    println!(
        "slope {slope:.4} us a slot; memory {typical:.0} B a model with {SLOTS} slots, {per_slot:.0} B a further slot, {ledger:.0} B a target at a ledger"
    );
    let print = |name: &str, value: f64, target: FigureTarget| {
        MeasuredFigure::new(format!("cold_start.cost.{name}"), value, target).print();
    };
    // Each of the 120 models at the design size gets the same part of the requests.
    let share = times[2].1 * 1e-6 * PEAK_RATE / 120.0;
    print("decision_us", times[2].1, FigureTarget::Baseline);
    print("decision_us_per_slot", slope, FigureTarget::Baseline);
    print("memory_per_model_bytes", typical, FigureTarget::Baseline);
    print("memory_per_slot_bytes", per_slot, FigureTarget::Baseline);
    print("ledger_bytes_per_target", ledger, FigureTarget::Baseline);
    print("owner_core_share", share, FigureTarget::AtMost(MAX_CORE_SHARE));
    let memory = typical * (TARGETS / ENTRIES).ceil().max(1.0);
    print("owner_memory_bytes", memory, FigureTarget::AtMost(MAX_MEMORY_BYTES));
}
