//! The weight store's gate: at most four loads at once, at the store's rate, the most urgent
//! first.

use base::prelude::*;
use loading::*;

fn request(ticket: u64, class: LoadClass, deadline: Instant, waiters: u32) -> LimiterEvent {
    LimiterEvent::Requested(WeightLoadRequest {
        id: WeightLoadId(ticket),
        class,
        deadline,
        waiters,
    })
}

fn permits(actions: &[LimiterAction]) -> Vec<u64> {
    let permit = |action: &LimiterAction| match action {
        LimiterAction::Permit(ticket) => Some(ticket.0),
        LimiterAction::Refuse(_) => None,
    };
    actions.iter().filter_map(permit).collect()
}

/// A gate whose four permits are taken by the tickets 1 to 4.
fn full_gate(now: Instant) -> WeightLoadLimiter {
    let mut gate = WeightLoadLimiter::new(EventRate(3.0), now);
    for ticket in 1..=4 {
        gate.step(request(ticket, LoadClass::Batch, now + Duration::from_secs(60), 1), now);
    }
    gate
}

#[tokio::test(start_paused = true)]
async fn four_loads_run_at_once() {
    let now = Instant::now();
    let mut gate = full_gate(now);
    let later = now + Duration::from_secs(2);

    let fifth = gate.step(request(5, LoadClass::Batch, now + Duration::from_secs(60), 1), later);
    let after = gate.step(LimiterEvent::Ended(WeightLoadId(2)), later);

    assert_eq!(permits(&fifth), Vec::<u64>::new());
    assert_eq!(permits(&after), [5]);
}

#[tokio::test(start_paused = true)]
async fn loads_begin_at_the_store_s_rate() {
    let start = Instant::now();
    let mut gate = WeightLoadLimiter::new(EventRate(3.0), start);
    let mut begun = 0;

    for step in 0..100 {
        let now = start + Duration::from_millis(100) * step;
        let deadline = start + Duration::from_secs(600);
        let asked = gate.step(request(u64::from(step), LoadClass::Batch, deadline, 1), now);
        for ticket in permits(&asked) {
            begun += 1;
            begun += permits(&gate.step(LimiterEvent::Ended(WeightLoadId(ticket)), now)).len();
        }
    }

    assert!((30..=35).contains(&begun), "{begun} loads began in 10 s");
}

#[tokio::test(start_paused = true)]
async fn class_comes_before_deadline_and_deadline_before_waiters() {
    let now = Instant::now();
    let mut gate = full_gate(now);
    let (soon, late) = (now + Duration::from_secs(5), now + Duration::from_secs(50));
    let later = now + Duration::from_secs(4);
    gate.step(request(10, LoadClass::Preload, soon, 9), now);
    gate.step(request(11, LoadClass::Interactive, late, 1), now);
    gate.step(request(12, LoadClass::Interactive, late, 7), now);
    gate.step(request(13, LoadClass::Interactive, soon, 1), now);

    let ended =
        (1..=4).flat_map(|n| permits(&gate.step(LimiterEvent::Ended(WeightLoadId(n)), later)));

    assert_eq!(ended.collect::<Vec<_>>(), [13, 12, 11, 10]);
}

#[tokio::test(start_paused = true)]
async fn a_permit_that_is_never_given_back_runs_out() {
    let now = Instant::now();
    let mut gate = full_gate(now);
    let later = now + Duration::from_secs(200);
    gate.step(request(5, LoadClass::Batch, now + Duration::from_secs(600), 1), now);

    let actions = gate.step(LimiterEvent::Tick, later);

    assert_eq!(permits(&actions), [5]);
}

#[tokio::test(start_paused = true)]
async fn a_load_whose_deadline_passed_is_refused() {
    let now = Instant::now();
    let mut gate = full_gate(now);
    gate.step(request(5, LoadClass::Batch, now + Duration::from_secs(1), 1), now);

    let actions = gate.step(LimiterEvent::Tick, now + Duration::from_secs(2));

    assert_eq!(actions, [LimiterAction::Refuse(WeightLoadId(5))]);
}

fn begun(actions: &[LocalLimiterAction]) -> usize {
    actions.iter().filter(|action| matches!(action, LocalLimiterAction::Start(_))).count()
}

fn wanted(ticket: u64, now: Instant) -> LocalLimiterEvent {
    let deadline = now + Duration::from_secs(60);
    let (ticket, class) = (WeightLoadId(ticket), LoadClass::Batch);
    LocalLimiterEvent::Requested(WeightLoadRequest { id: ticket, class, deadline, waiters: 1 })
}

#[tokio::test(start_paused = true)]
async fn without_an_answer_loads_go_one_by_one() {
    let now = Instant::now();
    let mut local = LocalLoadLimiter::new();
    let later = now + Duration::from_secs(3);

    let early = [local.step(wanted(1, now), now), local.step(wanted(2, now), now)].concat();
    let first = local.step(LocalLimiterEvent::Tick, later);
    let second = local.step(LocalLimiterEvent::Ended(WeightLoadId(1)), later);

    assert_eq!(begun(&early), 0);
    assert_eq!(begun(&first), 1);
    assert_eq!(begun(&second), 1);
}

#[tokio::test(start_paused = true)]
async fn a_load_that_waits_at_the_gate_does_not_go_ahead() {
    let now = Instant::now();
    let mut local = LocalLoadLimiter::new();
    local.step(wanted(1, now), now);
    local.step(LocalLimiterEvent::Queued(WeightLoadId(1)), now + Duration::from_secs(1));

    let actions = local.step(LocalLimiterEvent::Tick, now + Duration::from_secs(2));

    assert_eq!(begun(&actions), 0);
}
