//! Second attempts of slow requests: what they gain, what they cost, and when there are none.

mod common;

use base::prelude::*;
use catalog::{RouteKind, RouteName};
use common::{
    PLAIN, dispatcher, instance,
    plain_policies::PlainDispatchers,
    plain_request,
    plain_servers::{Demand, Outcome, SimServer, replay_plain, slow_periods},
    server, service,
};
use dispatch::{
    AttemptFailure, CallDispatcher, DispatchDecision, DispatchRequest, HedgeCause, HedgeDecision,
    HedgeLimits, HedgeSide, RetryLimits, ServerLoad, StopStage,
};
use roster::InstanceId;
use rstest::rstest;
use suspects::{CrashSighting, SuspectKey, SuspectKeys};

const SPAN: Duration = Duration::from_secs(120);
const ON: HedgeLimits =
    HedgeLimits { share: 0.05, percentile: 0.95, min_delay: Duration::from_millis(10) };

fn off() -> HedgeLimits {
    HedgeLimits::default()
}

/// Three servers of which neighbours slow each for 5% of the time.
fn three_servers(seed: u64) -> Vec<SimServer> {
    let periods = |index| slow_periods(0.05, SPAN, seed * 10 + index);
    (0..3).map(|index| SimServer::new(4, 1.0, periods(index))).collect()
}

fn run(
    hedging: HedgeLimits,
    rate: f64,
    span: Duration,
    knows_slowdowns: bool,
    seed: u64,
) -> (Outcome, usize, PlainDispatchers) {
    let mut servers = three_servers(seed);
    let demand = Demand { entries: 2, rate, span, work_ms: (15.0, 40.0), seed };
    let calls = demand.calls();
    let mut policy = PlainDispatchers::new(demand.entries, &servers, hedging);
    policy.knows_slowdowns = knows_slowdowns;
    let outcome = replay_plain(&mut policy, &mut servers, &calls);
    (outcome, calls.len(), policy)
}

/// Times to answer without and with hedges, after checks of their number.
fn compare(knows_slowdowns: bool, seed: u64) -> [Outcome; 2] {
    let (without, _, _) = run(off(), 100.0, SPAN, knows_slowdowns, seed);
    let (with, calls, policy) = run(ON, 100.0, SPAN, knows_slowdowns, seed);

    for share in [0.95, 0.99, 0.999] {
        println!("{share}: {:?} -> {:?}", without.percentile(share), with.percentile(share));
    }
    println!("{} hedges of {calls}, withheld {:?}", with.hedges, policy.withheld());
    assert_eq!(without.hedges, 0);
    assert_eq!(with.times.len(), calls, "each request has one answer");
    assert!(with.hedges > 0);
    assert!(with.hedges as f64 <= ON.share * calls as f64, "{} hedges", with.hedges);
    [without, with]
}

/// Guards against hedges that cost more than they gain while entries cannot know which server is
/// slow. Of 12 slots, 2.75 are busy on average.
#[rstest]
fn hedges_shorten_the_slowest_answers_within_their_share(#[values(1, 2, 3)] seed: u64) {
    let [without, with] = compare(false, seed);

    assert!(with.percentile(0.99) < without.percentile(0.99));
}

/// Guards against hedges that add more load than they save where placement already avoids servers
/// that report their slowdown.
#[test]
fn hedges_do_no_harm_where_slowdowns_are_reported() {
    let mut ratio = 1.0;
    for seed in [1, 2, 3] {
        let [without, with] = compare(true, seed);
        let times = [&with, &without].map(|outcome| outcome.percentile(0.99).as_secs_f64());
        ratio *= (times[0] / times[1]).powf(1.0 / 3.0);
        assert!(with.percentile(0.999) < without.percentile(0.999), "seed {seed}");
    }
    println!("99th percentile: {ratio:.3} of that without hedges");
    assert!(ratio < 1.03, "{ratio}");
}

/// Guards against hedges that add load to a service that has no room.
#[rstest]
fn overloaded_service_gets_no_hedges(#[values(1, 2)] seed: u64) {
    let (outcome, calls, policy) = run(ON, 600.0, Duration::from_secs(8), true, seed);

    println!("{} hedges of {calls}, withheld {:?}", outcome.hedges, policy.withheld());
    // The first requests arrive before the service is full.
    assert!(outcome.hedges < calls / 1000, "{} hedges", outcome.hedges);
}

/// Three servers, and answer times learned from `ON`-limited traffic; all servers idle.
fn learned(max_attempts: u32, now: Instant) -> CallDispatcher {
    let mut dispatcher = dispatcher();
    dispatcher.set_hedge_limits(ON);
    for name in ["a", "b", "c"] {
        dispatcher.upsert_server(&server(name, PLAIN, &[]), now);
    }
    for _ in 0..100 {
        let request = plain_request(RouteKind::Idempotent, max_attempts, now);
        let (key, _) = send(&mut dispatcher, request, now);
        let later = now + Duration::from_millis(30);
        dispatcher.record_first_byte(key, later);
        dispatcher.finish(key, true, later);
    }
    dispatcher
}

fn send(
    dispatcher: &mut CallDispatcher,
    request: DispatchRequest,
    now: Instant,
) -> (u64, InstanceId) {
    let (key, decision) = dispatcher.submit(request, now);
    let DispatchDecision::Send(assignment) = decision else { panic!("{decision:?}") };
    dispatcher.mark_sent(key, now);
    (key, assignment.server)
}

fn withheld(decision: &HedgeDecision) -> Option<HedgeCause> {
    match decision {
        HedgeDecision::Withheld(cause) => Some(*cause),
        HedgeDecision::Send(_) => None,
    }
}

fn hedge_server(decision: HedgeDecision) -> InstanceId {
    match decision {
        HedgeDecision::Send(assignment) => assignment.server,
        HedgeDecision::Withheld(cause) => panic!("withheld: {cause:?}"),
    }
}

fn idempotent(now: Instant) -> DispatchRequest {
    plain_request(RouteKind::Idempotent, 2, now)
}

#[test]
fn hedge_is_due_some_time_after_the_learned_percentile() {
    let now = Instant::now();
    let mut dispatcher = learned(2, now);

    let (key, first) = send(&mut dispatcher, idempotent(now), now);

    let due = dispatcher.hedge_due(key, now).expect("it is learned") - now;
    assert!((31..=37).contains(&due.as_millis()), "{due:?}");
    let second = hedge_server(dispatcher.start_hedge(key, now + due));
    assert_ne!(second, first);
}

/// Guards against a request that runs twice although it must not, and against work that nobody set.
#[rstest]
#[case::non_idempotent(RouteKind::NonIdempotent, ON)]
#[case::stream(RouteKind::Streaming { is_resumable: true }, ON)]
#[case::off(RouteKind::Idempotent, off())]
fn some_requests_get_no_hedge(#[case] kind: RouteKind, #[case] limits: HedgeLimits) {
    let now = Instant::now();
    let mut dispatcher = learned(2, now);
    dispatcher.set_hedge_limits(limits);

    let (key, _) = send(&mut dispatcher, plain_request(kind, 2, now), now);

    assert_eq!(dispatcher.hedge_due(key, now), None);
}

type Obstacle = fn(&mut CallDispatcher, Instant);

fn stop(dispatcher: &mut CallDispatcher, now: Instant) {
    dispatcher.enter_stop_stage(StopStage::NoWaits, now);
}

fn fill(dispatcher: &mut CallDispatcher, now: Instant) {
    let load = ServerLoad { running: 50, waiting: 0, slots: 64, slowdown: None };
    ["a", "b", "c"].iter().for_each(|name| {
        dispatcher.record_answer_load(&instance(name), load, now);
    });
}

fn load_others(dispatcher: &mut CallDispatcher, now: Instant) {
    let load = ServerLoad { running: 3, waiting: 0, slots: 64, slowdown: None };
    ["b", "c"].iter().for_each(|name| {
        dispatcher.record_answer_load(&instance(name), load, now);
    });
}

fn lose_others(dispatcher: &mut CallDispatcher, now: Instant) {
    for name in ["b", "c"] {
        dispatcher.record_pause(&instance(name), None, Duration::from_secs(2), now);
        dispatcher.record_leaving(&instance(name), Some(roster::IncarnationStart(1)), now);
    }
}

fn spend_retries(dispatcher: &mut CallDispatcher, _: Instant) {
    dispatcher.set_retry_limits(RetryLimits {
        ratio: 0.0,
        allowance: 0.0,
        window: Duration::from_secs(10),
    });
}

fn keys() -> SuspectKeys {
    [SuspectKey::of_request("GET", "desk", "/", b"")].into_iter().collect()
}

fn crash(dispatcher: &mut CallDispatcher, now: Instant) {
    let sighting = CrashSighting { keys: keys(), answered: Vec::new(), sent: now, crashed: now };
    dispatcher.suspects_mut().record_crash(&sighting, now);
}

/// Guards against extra work where there is no room, no right to it, or no good server for it.
#[rstest]
#[case::stopping(stop, HedgeCause::Stopping)]
#[case::full(fill, HedgeCause::ServiceFull)]
#[case::others_more_loaded(load_others, HedgeCause::NoServer)]
#[case::others_leave(lose_others, HedgeCause::NoServer)]
#[case::retry_budget(spend_retries, HedgeCause::BudgetSpent)]
#[case::crashed(crash, HedgeCause::Suspect)]
fn hedge_is_withheld(#[case] obstacle: Obstacle, #[case] cause: HedgeCause) {
    let now = Instant::now();
    let mut dispatcher = learned(2, now);
    let request = DispatchRequest { suspect_keys: keys(), ..idempotent(now) };
    let (key, first) = send(&mut dispatcher, request, now);
    assert_eq!(first, instance("a"));
    obstacle(&mut dispatcher, now);

    let decision = dispatcher.start_hedge(key, now + Duration::from_millis(40));

    assert_eq!(withheld(&decision), Some(cause));
}

#[test]
fn route_with_one_attempt_gets_no_hedge() {
    let now = Instant::now();
    let mut dispatcher = learned(1, now);
    let (key, _) = send(&mut dispatcher, plain_request(RouteKind::Idempotent, 1, now), now);

    let decision = dispatcher.start_hedge(key, now + Duration::from_millis(40));

    assert_eq!(withheld(&decision), Some(HedgeCause::NoAttempts));
}

/// Guards against more hedges than the share while all requests are slow.
#[test]
fn share_is_never_exceeded() {
    let now = Instant::now();
    let mut dispatcher = learned(2, now);
    let mut hedges = 0;

    for number in 101..=200 {
        let (key, _) = send(&mut dispatcher, idempotent(now), now);
        match dispatcher.start_hedge(key, now) {
            HedgeDecision::Send(_) => hedges += 1,
            HedgeDecision::Withheld(cause) => assert_eq!(cause, HedgeCause::ShareSpent),
        }
        dispatcher.finish(key, true, now);
        assert!(f64::from(hedges) <= ON.share * f64::from(number) + 0.001, "{hedges}");
    }

    assert!(hedges >= 9, "the share is used: {hedges} of 10");
}

/// Guards against a cancelled attempt that counts as a failure or stays in the load of its server.
#[rstest]
fn cancelled_attempt_leaves_no_trace(
    #[values(HedgeSide::First, HedgeSide::Second)] side: HedgeSide,
) {
    let now = Instant::now();
    let mut dispatcher = learned(2, now);
    let (key, first) = send(&mut dispatcher, idempotent(now), now);
    let later = now + Duration::from_millis(40);
    let second = hedge_server(dispatcher.start_hedge(key, later));

    dispatcher.win_hedged(key, side, later);
    dispatcher.record_first_byte(key, later);
    dispatcher.finish(key, true, later);

    for id in [first, second] {
        let view = dispatcher.server(&id).expect("it is listed");
        assert_eq!(view.load(), 0, "{id}");
        assert!(view.health.failure_share(later) < 0.01);
        assert!(!view.health.is_suspended(later));
    }
}

/// Guards against a caller that leaves while two attempts of its request are in flight.
#[test]
fn dropped_request_leaves_neither_attempt() {
    let now = Instant::now();
    let mut dispatcher = learned(2, now);
    let (key, first) = send(&mut dispatcher, idempotent(now), now);
    let second = hedge_server(dispatcher.start_hedge(key, now));

    dispatcher.finish(key, false, now);

    for id in [first, second] {
        assert_eq!(dispatcher.server(&id).map(|view| view.load()), Some(0), "{id}");
    }
}

/// Guards against a third run of a request whose two attempts have both failed.
#[rstest]
fn both_failed_is_refused_without_attempts_left(
    #[values(HedgeSide::First, HedgeSide::Second)] side: HedgeSide,
) {
    let now = Instant::now();
    let mut dispatcher = learned(2, now);
    let (key, first) = send(&mut dispatcher, idempotent(now), now);
    let second = hedge_server(dispatcher.start_hedge(key, now));
    let failed = if side == HedgeSide::First { &first } else { &second };

    dispatcher.fail_hedged(key, side, AttemptFailure::Lost, now);

    let view = dispatcher.server(failed).expect("it is listed");
    assert!(view.health.is_suspended(now), "the failure counts against its server");
    let last = dispatcher.record_failure(key, AttemptFailure::Lost, now);
    let DispatchDecision::Refuse(refusal) = last else { panic!("{last:?}") };
    assert_eq!(refusal.code, ResultCode::BackendLost);
}

/// Guards against a hanging server that looks responsive because hedges answer for it.
#[test]
fn server_that_hangs_is_found_although_its_requests_are_cancelled() {
    let began = Instant::now();
    let mut dispatcher = learned(2, began);
    let now = began + Duration::from_secs(1);
    for _ in 0..2 {
        let (key, first) = send(&mut dispatcher, idempotent(now), now);
        assert_eq!(first, instance("a"));
        let later = now + Duration::from_millis(40);
        hedge_server(dispatcher.start_hedge(key, later));
        dispatcher.win_hedged(key, HedgeSide::Second, later);
        dispatcher.record_first_byte(key, later);
        dispatcher.finish(key, true, later);
    }

    let view = dispatcher.server(&instance("a")).expect("it is listed");
    assert!(!view.is_unresponsive(now + Duration::from_millis(300)));
    assert!(view.is_unresponsive(now + Duration::from_millis(400)));
    assert!(!view.is_unresponsive(now + Duration::from_secs(3)), "it is tried again");
    assert_eq!(view.service, service(PLAIN));
}

/// Guards against an idle server that gets no requests because it could not answer hedges before they were
/// cancelled.
#[test]
fn server_that_had_no_time_to_answer_stays_responsive() {
    let began = Instant::now();
    let mut dispatcher = learned(2, began);
    let now = began + Duration::from_secs(1);
    let mut seconds = Vec::new();
    for _ in 0..3 {
        let (key, _) = send(&mut dispatcher, idempotent(now), now);
        let due = now + Duration::from_millis(40);
        seconds.push(hedge_server(dispatcher.start_hedge(key, due)));
        dispatcher.mark_sent(key, due);
        let later = due + Duration::from_millis(1);
        dispatcher.win_hedged(key, HedgeSide::First, later);
        dispatcher.record_first_byte(key, later);
        dispatcher.finish(key, true, later);
    }

    for second in seconds {
        let view = dispatcher.server(&second).expect("it is listed");
        assert!(!view.is_unresponsive(now + Duration::from_millis(400)), "{second}");
    }
}

/// An entry of a large fleet gets less than one idempotent request a second, so that hedges must not
/// depend on the answer times of that route alone.
#[test]
fn a_route_with_few_requests_is_hedged_by_the_times_of_its_service() {
    let start = Instant::now();
    let mut dispatcher = dispatcher();
    dispatcher.set_hedge_limits(ON);
    for name in ["s-1", "s-2"] {
        dispatcher.upsert_server(&server(name, PLAIN, &[]), start);
    }
    for step in 0..30 {
        let sent = start + Duration::from_millis(100 * step);
        let (key, _) = dispatcher.submit(plain_request(RouteKind::NonIdempotent, 1, sent), sent);
        dispatcher.mark_sent(key, sent);
        dispatcher.finish(key, true, sent + Duration::from_millis(30));
    }
    let now = start + Duration::from_secs(4);
    let other = RouteName("read".to_owned());
    let rare = DispatchRequest { route: other, ..plain_request(RouteKind::Idempotent, 2, now) };

    let (key, _) = dispatcher.submit(rare, now);
    dispatcher.mark_sent(key, now);
    let due = dispatcher.hedge_due(key, now).expect("the times of the service are known");

    assert!(due > now + Duration::from_millis(28), "{:?}", due - now);
    assert!(due < now + Duration::from_millis(40), "{:?}", due - now);
}
