//! Time of a decision for each request and memory of each model, with their slopes.

use base::prelude::*;
use loading::*;
use measures::{
    figures::{FigureTarget, MeasuredFigure},
    usage::ProcessUsage,
};

/// Decisions of each measurement.
const DECISIONS: u32 = 200_000;
/// Slots of each model.
const SLOTS: u64 = 83;
/// Slots of a large model.
const LARGE_SLOTS: u64 = 500;
/// Requests a second at the peak, over all entries.
const PEAK_RATE: f64 = 29_000.0;
/// Entries at the size of the design.
const ENTRIES: f64 = 2_600.0;
/// Models and adapters at the size of the design.
const TARGETS: f64 = 9_520.0;
/// Largest share of a core for control.
const CORE_SHARE: f64 = 0.015;
/// Largest memory for control, in bytes.
const NODE_MEMORY: f64 = 128e6;

struct OwnerModel {
    flight: LoadScheduler,
    scale: ReplicaScaler,
    warm: KeepWarm,
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
    let mut flight = LoadScheduler::new(OrderId(1));
    flight.step(SchedulerEvent::Slots((0..slots).map(candidate).collect()), now);
    OwnerModel {
        flight,
        scale: ReplicaScaler::new(speed),
        warm: KeepWarm::new(WarmPrices::default(), cost, now),
    }
}

/// Time of one decision, in microseconds, for a model with this many slots.
fn decision_time(slots: u64) -> f64 {
    let start = Instant::now();
    let mut model = owner_model(slots, start);
    let mut prior = GapHistogram::default();
    let mut now = start;
    for request in 0..DECISIONS {
        now += Duration::from_millis(700);
        let demand = ModelDemand { waiting: request % 2, running: request % 7 };
        model.warm.observe(demand != ModelDemand::default(), &mut prior, now);
        let replicas = model.flight.loaded_count() + model.flight.loading_count();
        let target = model.scale.target(demand, replicas, now);
        let wanted = target.max(u32::from(model.warm.warm_request(now) == WarmRequest::Loaded));
        let actions = model.flight.step(SchedulerEvent::DesiredReplicas(wanted), now);
        std::hint::black_box(actions);
    }
    start.elapsed().as_secs_f64() * 1e6 / f64::from(DECISIONS)
}

fn resident() -> f64 {
    ProcessUsage::of(std::process::id()).map_or(0.0, |usage| usage.resident.0 as f64)
}

/// Memory of one model at its owner, in bytes; the models stay, so that later measurements do not
/// find their memory free.
fn memory_slope(slots: u64) -> f64 {
    let now = Instant::now();
    let before = resident();
    let models: Vec<OwnerModel> = (0..2_000).map(|_| owner_model(slots, now)).collect();
    let after = resident();
    let count = models.len() as f64;
    std::mem::forget(models);
    (after - before) / count
}

/// Memory of one held target at a side process's ledger, in bytes.
fn ledger_slope() -> f64 {
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
    let before = resident();
    ledger.step(LedgerEvent::Listed(listing), now);
    (resident() - before) / count
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
    let (usual, large) = (memory_slope(SLOTS), memory_slope(LARGE_SLOTS));
    let per_slot = (large - usual) / (LARGE_SLOTS - SLOTS) as f64;
    let ledger = ledger_slope();
    println!(
        "slope {slope:.4} us a slot; memory {usual:.0} B a model with {SLOTS} slots, {per_slot:.0} B a further slot, {ledger:.0} B a target at a ledger"
    );
    let print = |name: &str, value: f64, target: FigureTarget| {
        MeasuredFigure::new(format!("cold_start.cost.{name}"), value, target).print();
    };
    let share = times[2].1 * 1e-6 * PEAK_RATE / 120.0;
    print("decision_us", times[2].1, FigureTarget::Baseline);
    print("decision_us_per_slot", slope, FigureTarget::Baseline);
    print("memory_per_model_bytes", usual, FigureTarget::Baseline);
    print("memory_per_slot_bytes", per_slot, FigureTarget::Baseline);
    print("ledger_bytes_per_target", ledger, FigureTarget::Baseline);
    print("owner_core_share", share, FigureTarget::AtMost(CORE_SHARE));
    let memory = usual * (TARGETS / ENTRIES).ceil().max(1.0);
    print("owner_memory_bytes", memory, FigureTarget::AtMost(NODE_MEMORY));
}
