//! Single flight, replica scale and keep-warm plans.

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

fn flight(slots: u64, now: Instant) -> LoadScheduler {
    let mut flight = LoadScheduler::new(OrderId(1));
    let candidates = (0..slots).map(|number| candidate(number, CacheTier::Remote)).collect();
    flight.step(SchedulerEvent::Slots(candidates), now);
    flight
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
async fn a_burst_begins_no_more_loads_than_slots() {
    let now = Instant::now();
    let mut flight = flight(2, now);
    let mut scale = ReplicaScaler::new(speed());
    let mut orders = 0;

    for waiting in 1..=1000 {
        let replicas = flight.loaded_count() + flight.loading_count();
        let wanted = scale.target(ModelDemand { waiting, running: 0 }, replicas, now);
        orders += ordered(&flight.step(SchedulerEvent::DesiredReplicas(wanted), now)).len();
    }

    assert_eq!(orders, 2);
}

#[tokio::test(start_paused = true)]
async fn a_small_burst_begins_one_load() {
    let now = Instant::now();
    let mut flight = flight(4, now);
    let mut scale = ReplicaScaler::new(speed());
    let mut orders = 0;

    for waiting in 1..=60 {
        let replicas = flight.loaded_count() + flight.loading_count();
        let wanted = scale.target(ModelDemand { waiting, running: 0 }, replicas, now);
        orders += ordered(&flight.step(SchedulerEvent::DesiredReplicas(wanted), now)).len();
    }

    assert_eq!(orders, 1);
}

#[tokio::test(start_paused = true)]
async fn the_nearest_cache_is_preferred() {
    let now = Instant::now();
    let mut flight = LoadScheduler::new(OrderId(1));
    let tiers = [CacheTier::Remote, CacheTier::Disk, CacheTier::Memory, CacheTier::Disk];
    let candidates = (0..).zip(tiers).map(|(number, tier)| candidate(number, tier)).collect();
    flight.step(SchedulerEvent::Slots(candidates), now);

    let orders = ordered(&flight.step(SchedulerEvent::DesiredReplicas(4), now));

    let vms: Vec<&str> = orders.iter().map(|(_, vm)| vm.as_str()).collect();
    assert_eq!(vms, ["vm-2", "vm-1", "vm-3", "vm-0"]);
}

#[tokio::test(start_paused = true)]
async fn a_denied_load_goes_elsewhere_and_then_gives_up() {
    let now = Instant::now();
    let mut flight = flight(2, now);
    let first = ordered(&flight.step(SchedulerEvent::DesiredReplicas(1), now));

    let second =
        flight.step(SchedulerEvent::Denied(first[0].0, DenyReason::InsufficientMemory), now);
    let order = ordered(&second)[0].0;
    let third = flight.step(SchedulerEvent::Denied(order, DenyReason::LoadFailed), now);
    let later = flight.step(SchedulerEvent::Tick, now + Duration::from_secs(1));

    assert_ne!(ordered(&second)[0].1, first[0].1);
    assert_eq!(third, [SchedulerAction::NoSlotAvailable(Some(DenyReason::LoadFailed))]);
    assert_eq!(ordered(&later).len(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_swinging_demand_does_not_flap() {
    let start = Instant::now();
    let mut scale = ReplicaScaler::new(speed());
    let (mut replicas, mut changes) = (1, 0);

    for second in 0..600 {
        let waiting = if second % 20 < 10 { 200 } else { 0 };
        let demand = ModelDemand { waiting, running: 16 };
        let target = scale.target(demand, replicas, start + Duration::from_secs(second));
        changes += u32::from(target != replicas);
        replicas = target;
    }
    let quiet = start + Duration::from_secs(600) + LOAD_TIME * 10;

    assert!(changes <= 2, "{changes} changes");
    assert!(replicas > 1);
    assert_eq!(scale.target(ModelDemand::default(), replicas, quiet), 0);
}

/// A policy that has seen 50 gaps drawn by `gap`.
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
async fn a_model_in_steady_use_is_kept() {
    let (warm, idle_since) = trained(|| Duration::from_secs(30));

    let wish = warm.warm_request(idle_since + Duration::from_secs(28));

    assert_eq!(wish, WarmRequest::Loaded);
}

#[tokio::test(start_paused = true)]
async fn a_model_on_a_timetable_is_unloaded_and_loaded_ahead() {
    let (warm, idle_since) = trained(|| Duration::from_secs(4 * 3600));

    let between = warm.warm_request(idle_since + Duration::from_secs(3600));
    let before = warm.warm_request(idle_since + Duration::from_secs(4 * 3600 - 60));

    assert_eq!(between, WarmRequest::Unloaded);
    assert_eq!(before, WarmRequest::Loaded);
}

#[tokio::test(start_paused = true)]
async fn a_model_with_short_loads_is_not_unloaded_between_two_requests() {
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

#[tokio::test(start_paused = true)]
async fn a_rare_model_is_unloaded_for_good() {
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let (warm, idle_since) = trained(|| Duration::from_secs(rng.random_range(60..200_000)));

    let wish = warm.warm_request(idle_since + Duration::from_secs(30_000));

    assert_eq!(wish, WarmRequest::Unloaded);
}

#[tokio::test(start_paused = true)]
async fn the_next_change_is_where_the_wish_changes() {
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
