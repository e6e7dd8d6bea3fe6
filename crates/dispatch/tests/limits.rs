//! Requests to backend servers that name how many they take from all entries.

mod common;

use base::prelude::*;
use catalog::RouteKind;
use common::{ENGINES, PLAIN, dispatcher, instance, plain_request, server, stream_request};
use dispatch::{
    CallDispatcher, DispatchAction, DispatchDecision, DispatchRequest, HedgeSide, WaitReason,
};
use limits::{LimitGrant, LimitQuery, LimitSighting};
use roster::IncarnationStart;

const STARTED: Option<IncarnationStart> = Some(IncarnationStart(1));

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn sighting(name: &str, limit: Option<f64>, seen: Instant) -> LimitSighting {
    LimitSighting { server: instance(name), started: STARTED, limit: limit.map(EventRate), seen }
}

fn dispatcher_with(plain: &[&str], now: Instant) -> CallDispatcher {
    let mut dispatcher = dispatcher();
    for name in plain {
        dispatcher.upsert_server(&server(name, PLAIN, &[]), now);
    }
    dispatcher
}

fn order(now: Instant) -> DispatchRequest {
    plain_request(RouteKind::NonIdempotent, 1, now)
}

fn queries(dispatcher: &mut CallDispatcher) -> Vec<LimitQuery> {
    let actions = dispatcher.take_actions().into_iter();
    let queries = actions.filter_map(|action| match action {
        DispatchAction::QueryLimit(query) if query.wanted > 0 => Some(query),
        _ => None,
    });
    queries.collect()
}

fn grant(query: &LimitQuery, slots: &[u64], next_query: u64) -> LimitGrant {
    LimitGrant {
        sighting: query.sighting.clone(),
        number: query.number,
        slots: slots.iter().copied().map(millis).collect(),
        next_query: millis(next_query),
    }
}

fn decided(dispatcher: &mut CallDispatcher, now: Instant) -> Vec<(u64, DispatchDecision)> {
    dispatcher.review_waiting(now);
    let actions = dispatcher.take_actions().into_iter();
    let decisions = actions.filter_map(|action| match action {
        DispatchAction::Decide(key, decision) => Some((key, decision)),
        _ => None,
    });
    decisions.collect()
}

fn is_sent_to(decision: &DispatchDecision, name: &str) -> bool {
    matches!(decision, DispatchDecision::Send(assignment) if assignment.server == instance(name))
}

#[test]
fn request_waits_for_a_slot_and_is_sent_with_it() {
    let now = Instant::now();
    let mut dispatcher = dispatcher_with(&["s-0"], now);
    dispatcher.apply_limit(sighting("s-0", Some(2.0), now));

    let (key, decision) = dispatcher.submit(order(now), now);
    let asked = queries(&mut dispatcher);
    dispatcher.apply_limit_grant(grant(&asked[0], &[200], 0), now);

    assert!(matches!(decision, DispatchDecision::Wait(WaitReason::ServersLimited, _)));
    assert_eq!((asked.len(), asked[0].wanted), (1, 1));
    assert!(decided(&mut dispatcher, now + millis(199)).is_empty());
    let later = now + millis(200);
    let decisions = decided(&mut dispatcher, later);
    assert!(decisions[0].0 == key && is_sent_to(&decisions[0].1, "s-0"), "{decisions:?}");
    assert_eq!(dispatcher.confirm_send(key, later), None);
    assert_eq!(dispatcher.begin_send(key, HedgeSide::First, later), Ok(()));
}

#[test]
fn request_without_a_slot_in_time_is_refused_at_once() {
    let now = Instant::now();
    let mut dispatcher = dispatcher_with(&["s-0"], now);
    dispatcher.apply_limit(sighting("s-0", Some(2.0), now));
    let (first, _) = dispatcher.submit(order(now), now);
    let asked = queries(&mut dispatcher);

    dispatcher.apply_limit_grant(grant(&asked[0], &[], 3_000), now);
    let decisions = decided(&mut dispatcher, now);
    let (_, next) = dispatcher.submit(order(now), now);

    for decision in [&decisions[0].1, &next] {
        let DispatchDecision::Refuse(refusal) = decision else { panic!("{decision:?}") };
        let retry_after = refusal.retry_after.expect("the time until a slot may be free");
        assert!(retry_after >= millis(3_000) && retry_after <= millis(3_750), "{retry_after:?}");
    }
    assert_eq!(decisions[0].0, first);
    assert!(queries(&mut dispatcher).is_empty(), "a query is of no use yet");
}

#[test]
fn request_waits_for_another_query_while_its_goal_can_be_met() {
    let now = Instant::now();
    let mut dispatcher = dispatcher_with(&["s-0"], now);
    dispatcher.apply_limit(sighting("s-0", Some(1.0), now));
    let patient = DispatchRequest { goal: millis(700), ..order(now) };
    dispatcher.submit(patient, now);
    let asked = queries(&mut dispatcher);

    dispatcher.apply_limit_grant(grant(&asked[0], &[], 400), now);

    assert!(decided(&mut dispatcher, now + millis(399)).is_empty(), "it waits");
    dispatcher.review_waiting(now + millis(400));
    assert_eq!(queries(&mut dispatcher).len(), 1);
}

#[test]
fn limit_that_is_named_while_a_request_awaits_its_permit_holds_for_it() {
    let now = Instant::now();
    let mut dispatcher = dispatcher_with(&["s-0"], now);
    let (key, decision) = dispatcher.submit(order(now), now);
    assert!(is_sent_to(&decision, "s-0"));

    dispatcher.apply_limit(sighting("s-0", Some(2.0), now));
    let next = dispatcher.confirm_send(key, now);

    assert!(
        matches!(next, Some(DispatchDecision::Wait(WaitReason::ServersLimited, _))),
        "{next:?}"
    );
}

#[test]
fn slot_of_a_request_whose_caller_left_before_it_was_sent_goes_to_the_next() {
    let now = Instant::now();
    let mut dispatcher = dispatcher_with(&["s-0"], now);
    dispatcher.apply_limit(sighting("s-0", Some(2.0), now));
    let (first, _) = dispatcher.submit(order(now), now);
    let (second, _) = dispatcher.submit(order(now), now);
    let asked = queries(&mut dispatcher);
    dispatcher.apply_limit_grant(grant(&asked[0], &[0], 400), now);
    assert!(is_sent_to(&decided(&mut dispatcher, now)[0].1, "s-0"));

    dispatcher.finish(first, false, now);
    dispatcher.take_actions();
    let (_, third) = dispatcher.submit(order(now), now);

    assert_eq!(second, 2);
    assert!(is_sent_to(&third, "s-0"), "{third:?}");
}

#[test]
fn most_urgent_request_gets_the_first_slot() {
    let now = Instant::now();
    let mut dispatcher = dispatcher_with(&["s-0"], now);
    dispatcher.apply_limit(sighting("s-0", Some(2.0), now));
    dispatcher.submit(order(now), now);
    let (urgent, _) = dispatcher.submit(DispatchRequest { priority: 0, ..order(now) }, now);
    let asked = queries(&mut dispatcher);

    dispatcher.apply_limit_grant(grant(&asked[0], &[100], 0), now);
    let decisions = decided(&mut dispatcher, now + millis(100));

    assert!(decisions[0].0 == urgent && is_sent_to(&decisions[0].1, "s-0"), "{decisions:?}");
}

#[test]
fn server_without_a_limit_serves_while_a_limited_one_has_no_slot() {
    let now = Instant::now();
    let mut dispatcher = dispatcher_with(&["s-0", "s-1"], now);
    dispatcher.apply_limit(sighting("s-0", Some(2.0), now));

    for _ in 0..10 {
        let (_, decision) = dispatcher.submit(order(now), now);
        assert!(is_sent_to(&decision, "s-1"), "{decision:?}");
    }

    let asked = queries(&mut dispatcher);
    assert_eq!(asked.len(), 1, "a slot is asked for, so that the limited one is used too");
    dispatcher.apply_limit_grant(grant(&asked[0], &[0], 0), now);
    let (_, decision) = dispatcher.submit(order(now), now);
    assert!(is_sent_to(&decision, "s-0"), "{decision:?}");
}

#[test]
fn stream_waits_for_the_engine_whose_slot_comes_first() {
    let now = Instant::now();
    let mut dispatcher = dispatcher();
    for name in ["e-0", "e-1"] {
        dispatcher.upsert_server(&server(name, ENGINES, &["m1"]), now);
        dispatcher.apply_limit(sighting(name, Some(1.0), now));
    }
    let mut waiting = Vec::new();
    for _ in 0..2 {
        waiting.push(dispatcher.submit(stream_request("m1", 600, now), now).0);
    }

    let asked = queries(&mut dispatcher);
    let servers: Vec<String> =
        asked.iter().map(|query| query.sighting.server.to_string()).collect();
    assert_eq!(servers, ["e-0", "e-1"], "one waits for each");
    dispatcher.apply_limit_grant(grant(&asked[0], &[900], 0), now);
    dispatcher.apply_limit_grant(grant(&asked[1], &[50], 0), now);
    let decisions = decided(&mut dispatcher, now + millis(50));
    assert!(decisions.len() == 1 && is_sent_to(&decisions[0].1, "e-1"), "{decisions:?}");
}
