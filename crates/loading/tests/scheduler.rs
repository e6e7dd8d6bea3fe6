//! Load scheduler, replica scaler and keep-warm policy.

use base::prelude::*;
use loading::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const LOAD_TIME: Duration = Duration::from_secs(10);

fn candidate(number: u64, tier: CacheTier) -> LoadCandidate {
    LoadCandidate {
        vm: VmId::new(format!("vm-{number}")).unwrap(),
        holder: ProcessIncarnation(number + 1),
        fence: FencingNumber(1),
        tier,
        has_free_memory: true,
        loads_in_progress: 0,
    }
}

fn scheduler(slots: u64, now: Instant) -> LoadScheduler {
    let mut scheduler = LoadScheduler::new(OrderId(1));
    let candidates = (0..slots).map(|number| candidate(number, CacheTier::Remote)).collect();
    scheduler.step(SchedulerEvent::Slots(candidates), now);
    scheduler
}

fn ordered(actions: &[SchedulerAction]) -> Vec<(OrderId, VmId)> {
    let order = |action: &SchedulerAction| match action {
        SchedulerAction::Order(order, slot) => Some((*order, slot.vm.clone())),
        _ => None,
    };
    actions.iter().filter_map(order).collect()
}

fn speed() -> ReplicaSpeed {
    ReplicaSpeed { batch: 16, service_time: Duration::from_secs(2), load_time: LOAD_TIME }
}

#[tokio::test(start_paused = true)]
async fn burst_starts_at_most_one_load_per_slot() {
    let now = Instant::now();
    let mut scheduler = scheduler(2, now);
    let mut scaler = ReplicaScaler::new(speed());
    let mut orders = 0;

    for waiting in 1..=1000 {
        let replicas = scheduler.loaded_count() + scheduler.loading_count();
        let desired = scaler.target(ModelDemand { waiting, running: 0 }, replicas, now);
        orders += ordered(&scheduler.step(SchedulerEvent::DesiredReplicas(desired), now)).len();
    }

    assert_eq!(orders, 2);
}

#[tokio::test(start_paused = true)]
async fn small_burst_starts_one_load() {
    let now = Instant::now();
    let mut scheduler = scheduler(4, now);
    let mut scaler = ReplicaScaler::new(speed());
    let mut orders = 0;

    for waiting in 1..=60 {
        let replicas = scheduler.loaded_count() + scheduler.loading_count();
        let desired = scaler.target(ModelDemand { waiting, running: 0 }, replicas, now);
        orders += ordered(&scheduler.step(SchedulerEvent::DesiredReplicas(desired), now)).len();
    }

    assert_eq!(orders, 1);
}

#[tokio::test(start_paused = true)]
async fn prefers_fastest_cache_tier() {
    let now = Instant::now();
    let mut scheduler = LoadScheduler::new(OrderId(1));
    let tiers = [CacheTier::Remote, CacheTier::Disk, CacheTier::Memory, CacheTier::Disk];
    let candidates = (0..).zip(tiers).map(|(number, tier)| candidate(number, tier)).collect();
    scheduler.step(SchedulerEvent::Slots(candidates), now);

    let orders = ordered(&scheduler.step(SchedulerEvent::DesiredReplicas(4), now));

    let vms: Vec<&str> = orders.iter().map(|(_, vm)| vm.as_str()).collect();
    assert_eq!(vms, ["vm-2", "vm-1", "vm-3", "vm-0"]);
}

#[tokio::test(start_paused = true)]
async fn denied_load_is_retried_elsewhere_then_reported() {
    let now = Instant::now();
    let mut scheduler = scheduler(2, now);
    let first = ordered(&scheduler.step(SchedulerEvent::DesiredReplicas(1), now));

    let second =
        scheduler.step(SchedulerEvent::Denied(first[0].0, DenyReason::InsufficientMemory), now);
    let order = ordered(&second)[0].0;
    let third = scheduler.step(SchedulerEvent::Denied(order, DenyReason::LoadFailed), now);
    let later = scheduler.step(SchedulerEvent::Tick, now + Duration::from_secs(1));

    assert_ne!(ordered(&second)[0].1, first[0].1);
    assert_eq!(third, [SchedulerAction::NoSlotAvailable(Some(DenyReason::LoadFailed))]);
    assert_eq!(ordered(&later).len(), 1);
}

#[tokio::test(start_paused = true)]
async fn oscillating_demand_does_not_flap() {
    let start = Instant::now();
    let mut scaler = ReplicaScaler::new(speed());
    let (mut replicas, mut changes) = (1, 0);

    for second in 0..600 {
        let waiting = if second % 20 < 10 { 200 } else { 0 };
        let demand = ModelDemand { waiting, running: 16 };
        let target = scaler.target(demand, replicas, start + Duration::from_secs(second));
        changes += u32::from(target != replicas);
        replicas = target;
    }
    let quiet = start + Duration::from_secs(600) + LOAD_TIME * 10;

    assert!(changes <= 2, "{changes} changes");
    assert!(replicas > 1);
    assert_eq!(scaler.target(ModelDemand::default(), replicas, quiet), 0);
}

/// A policy that has observed 50 gaps returned by `gap`, and the start of its current idle time.
fn trained(mut gap: impl FnMut() -> Duration) -> (KeepWarm, Instant) {
    let cost = LoadCost { load_time: LOAD_TIME, accelerators: 1.0 };
    let mut now = Instant::now();
    let mut prior = GapHistogram::default();
    let mut warm = KeepWarm::new(WarmPrices::default(), cost, now);
    for _ in 0..50 {
        now += gap();
        warm.observe(true, &mut prior, now);
        now += Duration::from_secs(5);
        warm.observe(false, &mut prior, now);
    }
    (warm, now)
}

#[tokio::test(start_paused = true)]
async fn model_in_steady_use_stays_loaded() {
    let (warm, idle_since) = trained(|| Duration::from_secs(30));

    let warm_request = warm.warm_request(idle_since + Duration::from_secs(28));

    assert_eq!(warm_request, WarmRequest::Loaded);
}

#[tokio::test(start_paused = true)]
async fn periodic_model_is_unloaded_and_preloaded() {
    let (warm, idle_since) = trained(|| Duration::from_secs(4 * 3600));

    let between = warm.warm_request(idle_since + Duration::from_secs(3600));
    let before = warm.warm_request(idle_since + Duration::from_secs(4 * 3600 - 60));

    assert_eq!(between, WarmRequest::Unloaded);
    assert_eq!(before, WarmRequest::Loaded);
}

#[tokio::test(start_paused = true)]
async fn short_loads_do_not_unload_between_requests() {
    let cost = LoadCost { load_time: Duration::from_millis(20), accelerators: 1.0 };
    let mut now = Instant::now();
    let mut prior = GapHistogram::default();
    let mut warm = KeepWarm::new(WarmPrices::default(), cost, now);

    for _ in 0..50 {
        warm.observe(true, &mut prior, now);
        warm.observe(false, &mut prior, now + Duration::from_millis(20));
        now += Duration::from_secs(1);

        assert_eq!(warm.warm_request(now), WarmRequest::Loaded);
    }
}

/// Guards against an owner that unloads, as it begins, what engines were asked for until then.
#[tokio::test(start_paused = true)]
async fn loaded_replicas_are_kept_until_the_demand_is_known() {
    let cost = LoadCost { load_time: LOAD_TIME, accelerators: 1.0 };
    let now = Instant::now();
    let warm = KeepWarm::new(WarmPrices::default(), cost, now);

    assert!(!warm.may_unload(now + Duration::from_secs(9)));
    assert!(warm.may_unload(now + Duration::from_secs(10)));
}

#[tokio::test(start_paused = true)]
async fn rarely_used_model_stays_unloaded() {
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let (warm, idle_since) = trained(|| Duration::from_secs(rng.random_range(60..200_000)));

    let warm_request = warm.warm_request(idle_since + Duration::from_secs(30_000));

    assert_eq!(warm_request, WarmRequest::Unloaded);
}

#[tokio::test(start_paused = true)]
async fn next_change_matches_warm_request() {
    let (warm, idle_since) = trained(|| Duration::from_secs(4 * 3600));

    let first = warm.next_change(idle_since).unwrap();
    let load = warm.next_change(first).unwrap();
    let unload = warm.next_change(load).unwrap();

    assert_eq!(warm.warm_request(idle_since), WarmRequest::Loaded);
    assert_eq!(warm.warm_request(first), WarmRequest::Unloaded);
    assert!(first < idle_since + Duration::from_secs(11));
    assert_eq!(warm.warm_request(load), WarmRequest::Loaded);
    assert_eq!(warm.warm_request(unload), WarmRequest::Unloaded);
    assert!(load < idle_since + Duration::from_secs(4 * 3600));
    assert!(unload > idle_since + Duration::from_secs(4 * 3600));
}
