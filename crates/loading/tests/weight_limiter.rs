//! Weight load limiter and its client side: at most four loads at once, at the store's rate, the
//! most urgent first.

use base::prelude::*;
use loading::*;

fn request(id: u64, class: LoadClass, deadline: Instant, waiters: u32) -> LimiterEvent {
    LimiterEvent::Requested(WeightLoadRequest { id: WeightLoadId(id), class, deadline, waiters })
}

fn permits(actions: &[LimiterAction]) -> Vec<u64> {
    let permit = |action: &LimiterAction| match action {
        LimiterAction::Permit(id) => Some(id.0),
        LimiterAction::Refuse(_) => None,
    };
    actions.iter().filter_map(permit).collect()
}

/// A limiter whose four permits are held by the loads 1 to 4.
fn full_limiter(now: Instant) -> WeightLoadLimiter {
    let mut limiter = WeightLoadLimiter::new(EventRate(3.0), now);
    for id in 1..=4 {
        limiter.step(request(id, LoadClass::Batch, now + Duration::from_secs(60), 1), now);
    }
    limiter
}

#[tokio::test(start_paused = true)]
async fn at_most_four_loads_run_at_once() {
    let now = Instant::now();
    let mut limiter = full_limiter(now);
    let later = now + Duration::from_secs(2);

    let fifth = limiter.step(request(5, LoadClass::Batch, now + Duration::from_secs(60), 1), later);
    let after = limiter.step(LimiterEvent::Ended(WeightLoadId(2)), later);

    assert_eq!(permits(&fifth), Vec::<u64>::new());
    assert_eq!(permits(&after), [5]);
}

#[tokio::test(start_paused = true)]
async fn loads_start_at_store_rate() {
    let start = Instant::now();
    let mut limiter = WeightLoadLimiter::new(EventRate(3.0), start);
    let mut started = 0;

    for step in 0..100 {
        let now = start + Duration::from_millis(100) * step;
        let deadline = start + Duration::from_secs(600);
        let permitted = limiter.step(request(u64::from(step), LoadClass::Batch, deadline, 1), now);
        for id in permits(&permitted) {
            started += 1;
            started += permits(&limiter.step(LimiterEvent::Ended(WeightLoadId(id)), now)).len();
        }
    }

    assert!((30..=35).contains(&started), "{started} loads started in 10 s");
}

#[tokio::test(start_paused = true)]
async fn ranks_by_class_then_deadline_then_waiters() {
    let now = Instant::now();
    let mut limiter = full_limiter(now);
    let (soon, late) = (now + Duration::from_secs(5), now + Duration::from_secs(50));
    let later = now + Duration::from_secs(4);
    limiter.step(request(10, LoadClass::Preload, soon, 9), now);
    limiter.step(request(11, LoadClass::Interactive, late, 1), now);
    limiter.step(request(12, LoadClass::Interactive, late, 7), now);
    limiter.step(request(13, LoadClass::Interactive, soon, 1), now);

    let ended =
        (1..=4).flat_map(|n| permits(&limiter.step(LimiterEvent::Ended(WeightLoadId(n)), later)));

    assert_eq!(ended.collect::<Vec<_>>(), [13, 12, 11, 10]);
}

#[tokio::test(start_paused = true)]
async fn unreturned_permit_expires() {
    let now = Instant::now();
    let mut limiter = full_limiter(now);
    let later = now + Duration::from_secs(200);
    limiter.step(request(5, LoadClass::Batch, now + Duration::from_secs(600), 1), now);

    let actions = limiter.step(LimiterEvent::Tick, later);

    assert_eq!(permits(&actions), [5]);
}

#[tokio::test(start_paused = true)]
async fn refuses_load_after_deadline() {
    let now = Instant::now();
    let mut limiter = full_limiter(now);
    limiter.step(request(5, LoadClass::Batch, now + Duration::from_secs(1), 1), now);

    let actions = limiter.step(LimiterEvent::Tick, now + Duration::from_secs(2));

    assert_eq!(actions, [LimiterAction::Refuse(WeightLoadId(5))]);
}

fn started(actions: &[LocalLimiterAction]) -> usize {
    actions.iter().filter(|action| matches!(action, LocalLimiterAction::Start(_))).count()
}

fn requested(id: u64, now: Instant) -> LocalLimiterEvent {
    let deadline = now + Duration::from_secs(60);
    let (id, class) = (WeightLoadId(id), LoadClass::Batch);
    LocalLimiterEvent::Requested(WeightLoadRequest { id, class, deadline, waiters: 1 })
}

#[tokio::test(start_paused = true)]
async fn unanswered_loads_start_one_at_a_time() {
    let now = Instant::now();
    let mut local = LocalLoadLimiter::new();
    let later = now + Duration::from_secs(3);

    let early = [local.step(requested(1, now), now), local.step(requested(2, now), now)].concat();
    let first = local.step(LocalLimiterEvent::Tick, later);
    let second = local.step(LocalLimiterEvent::Ended(WeightLoadId(1)), later);

    assert_eq!(started(&early), 0);
    assert_eq!(started(&first), 1);
    assert_eq!(started(&second), 1);
}

#[tokio::test(start_paused = true)]
async fn queued_load_does_not_start_without_permit() {
    let now = Instant::now();
    let mut local = LocalLoadLimiter::new();
    local.step(requested(1, now), now);
    local.step(LocalLimiterEvent::Queued(WeightLoadId(1)), now + Duration::from_secs(1));

    let actions = local.step(LocalLimiterEvent::Tick, now + Duration::from_secs(2));

    assert_eq!(started(&actions), 0);
}
