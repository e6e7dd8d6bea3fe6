//! Requests that wait for room at a backend server, which something rules out meanwhile.

mod support;

use base::prelude::*;
use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use platform_standin::{ServiceFault, WorkspaceSpec, caller};
use rstest::rstest;
use serde_json::json;
use support::{
    CallOutcome, HOST, PLAIN_SERVICE, TestFleet, call, plain,
    workspaces::{catalog_with, keyed_catalog, with_key},
};
use tokio::{task::JoinHandle, time};

/// What a backend server may hold; one large body fills it.
const SERVER_BYTES: &str = "50KiB";
/// Size of a large body.
const BODY_BYTES: usize = 40_000;
/// How long the request takes that fills the server.
const HELD_TIME: Duration = Duration::from_millis(2_500);
/// Time after which a request that was sent has arrived where it waits or runs.
const ARRIVAL_TIME: Duration = Duration::from_millis(150);
/// Time after which a gateway of the fleet knows a change in the store.
const ADOPTION_TIME: Duration = Duration::from_millis(900);

fn large(name: &str, timeout: Duration) -> Request<Full<Bytes>> {
    let request = caller::request("POST", HOST, "/order/a", name, timeout);
    request.body(Full::from(vec![b'x'; BODY_BYTES])).expect("a valid request")
}

fn delayed() -> ServiceFault {
    ServiceFault { delay: HELD_TIME, ..ServiceFault::default() }
}

async fn start_fleet() -> TestFleet {
    let mut fleet = TestFleet::start().await;
    fleet.server_bytes = SERVER_BYTES;
    fleet.write_catalog(&catalog_with(&[("north", &["k1", "k2"])]), 2);
    fleet.add_service("s-0").await;
    fleet.services[0].set_fault(delayed());
    fleet.add_gateway().await;
    fleet
}

async fn send(
    fleet: &TestFleet,
    name: &str,
    key: &str,
    timeout: Duration,
) -> JoinHandle<CallOutcome> {
    let sent = tokio::spawn(call(fleet.callers(0), with_key(large(name, timeout), key)));
    time::sleep(ARRIVAL_TIME).await;
    sent
}

/// Sends a request that fills the server.
async fn fill(fleet: &TestFleet) {
    send(fleet, "first", "k2", Duration::from_secs(6)).await;
    support::eventually("the first request runs", || runs(fleet, 0) == ["first"]).await;
}

/// Sends a request that fills the server and one that waits for it; returns the latter.
async fn wait_behind_another(fleet: &TestFleet, key: &str) -> JoinHandle<CallOutcome> {
    fill(fleet).await;
    let waiting = send(fleet, "second", key, Duration::from_secs(6)).await;
    assert_eq!(runs(fleet, 0), ["first"], "the second waits");
    assert!(!waiting.is_finished(), "the second waits");
    waiting
}

/// Names of the requests that a server has begun to run.
fn runs(fleet: &TestFleet, service: usize) -> Vec<String> {
    fleet.services[service].records().into_iter().map(|record| record.call).collect()
}

fn names(names: &[&str]) -> Vec<String> {
    names.iter().map(ToString::to_string).collect()
}

/// How a server leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Leaving {
    ListedAsDraining,
    Unlisted,
    InAnAnswer,
}

fn leave(fleet: &TestFleet, leaving: Leaving) {
    let service = &fleet.services[0];
    match leaving {
        Leaving::ListedAsDraining => {
            let entry = json!({ "service": PLAIN_SERVICE, "zone": "zone-a", "version": "v1",
                "address": service.address().to_string(), "slots": 6, "state": "draining",
                "cold-left-ms": 0, "sequence": 2, "born": 1 });
            fleet.store.write("servers", "s-0", &entry);
        }
        Leaving::Unlisted => fleet.store.remove("servers", "s-0"),
        Leaving::InAnAnswer => {}
    }
}

/// A request that waited for room at a server reached it long after it had left.
#[rstest]
#[case::listed_as_draining(Leaving::ListedAsDraining)]
#[case::unlisted(Leaving::Unlisted)]
#[case::in_an_answer(Leaving::InAnAnswer)]
#[tokio::test]
async fn request_that_waited_for_room_is_not_sent_to_a_server_that_left(#[case] leaving: Leaving) {
    let fleet = start_fleet().await;
    let is_leaving = leaving == Leaving::InAnAnswer;
    fleet.services[0].set_fault(ServiceFault { is_leaving, ..delayed() });
    let waiting = wait_behind_another(&fleet, "k1").await;

    leave(&fleet, leaving);
    let outcome = waiting.await.expect("the caller does not panic");

    assert_eq!(runs(&fleet, 0), ["first"]);
    assert_eq!(outcome.status(), 503, "{outcome:?}");
}

/// A request that waited for room reached a server within the time for which it wanted none.
#[tokio::test]
async fn request_that_waited_for_room_is_not_sent_within_a_pause() {
    let fleet = start_fleet().await;
    fill(&fleet).await;
    fleet.services[0].set_fault(ServiceFault::default());
    let small = |name: &str| with_key(plain("POST", "/order/a", name), "k2");
    let answered = fleet.call(small("answered")).await;
    let waiting = send(&fleet, "second", "k1", Duration::from_secs(6)).await;
    assert_eq!((answered.status(), runs(&fleet, 0)), (200, names(&["first", "answered"])));

    let refusing = ServiceFault { refusals: 1, retry_after: Some("4"), ..delayed() };
    fleet.services[0].set_fault(refusing);
    let refused = fleet.call(small("refused")).await;
    time::sleep(HELD_TIME).await;

    assert_eq!(refused.status(), 503, "{refused:?}");
    assert_eq!(fleet.services[0].refused(), 1, "by the server");
    assert_eq!(runs(&fleet, 0), ["first", "answered"]);
    let outcome = waiting.await.expect("the caller does not panic");
    assert_eq!(outcome.status(), 503, "{outcome:?}");
}

/// A request that waited for room reached a server beyond the limit that the server named meanwhile.
#[tokio::test]
async fn request_that_waited_for_room_has_no_slot_at_a_server_that_names_a_limit() {
    let fleet = start_fleet().await;
    fleet.services[0].set_limit(Some("0.1"));
    let waiting = wait_behind_another(&fleet, "k1").await;
    let third = send(&fleet, "third", "k1", Duration::from_secs(6)).await;

    time::sleep(HELD_TIME).await;

    let (second, third) = (waiting.await, third.await);
    let statuses = [second, third].map(|outcome| outcome.expect("no panic").status());
    assert!(statuses.contains(&503), "one slot at most: {statuses:?}");
    assert!(runs(&fleet, 0).len() <= 2, "{:?}", runs(&fleet, 0));
}

/// A request that waited for room ran under a key that had been removed meanwhile.
#[tokio::test]
async fn request_that_waited_for_room_does_not_run_under_a_removed_key() {
    let fleet = start_fleet().await;
    let waiting = wait_behind_another(&fleet, "k1").await;

    fleet.write_catalog(&catalog_with(&[("north", &["k2"])]), 5);
    let outcome = waiting.await.expect("the caller does not panic");

    assert_eq!(runs(&fleet, 0), ["first"]);
    assert_eq!(outcome.status(), 401, "{outcome:?}");
}

/// A request that waited for room used tokens of a quota that had been lowered meanwhile.
#[tokio::test]
async fn request_that_waited_for_room_keeps_a_lowered_quota() {
    let fleet = start_fleet().await;
    let with_quota = |burst: u64| {
        keyed_catalog()
            .workspace(WorkspaceSpec {
                rate_per_s: 40_000.0,
                burst,
                plain_tokens: 30_000,
                ..WorkspaceSpec::new("north", &["k1"])
            })
            .workspace(WorkspaceSpec::new("south", &["k2"]))
    };
    fleet.write_catalog(&with_quota(60_000), 3);
    time::sleep(ADOPTION_TIME * 2).await;
    let waiting = wait_behind_another(&fleet, "k1").await;

    fleet.write_catalog(&with_quota(100), 5);
    let outcome = waiting.await.expect("the caller does not panic");

    assert_eq!(runs(&fleet, 0), ["first"]);
    assert_eq!(outcome.status(), 429, "{outcome:?}");
}

/// A request waited for room at one server while another was idle.
#[tokio::test]
async fn request_that_waits_for_room_goes_to_another_server_that_has_some() {
    let mut fleet = start_fleet().await;
    let waiting = wait_behind_another(&fleet, "k1").await;

    let added = Instant::now();
    fleet.add_service("s-1").await;
    let outcome = waiting.await.expect("the caller does not panic");

    assert_eq!(outcome.status(), 200, "{outcome:?}");
    assert_eq!(runs(&fleet, 1), ["second"]);
    assert!(added.elapsed() < ADOPTION_TIME, "after {:?}", added.elapsed());
}

/// Guards against a caller that learns too late, or not truthfully, that its request has not run.
#[tokio::test]
async fn request_whose_room_never_comes_is_refused_in_time_and_never_runs() {
    let fleet = start_fleet().await;
    let timeout = Duration::from_secs(1);
    fill(&fleet).await;

    let sent = Instant::now();
    let outcome = call(fleet.callers(0), with_key(large("second", timeout), "k1")).await;
    let held = sent.elapsed();
    time::sleep(HELD_TIME).await;

    assert_eq!(outcome.status(), 503, "{outcome:?}");
    assert!(held <= timeout, "held for {held:?}");
    assert_eq!(runs(&fleet, 0), ["first"]);
}
