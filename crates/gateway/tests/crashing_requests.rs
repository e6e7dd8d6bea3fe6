//! Requests that crash the backend servers that run them, and come again.

mod support;

use base::prelude::*;
use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use platform_standin::{ServiceFault, StoreFault};
use rstest::rstest;
use serde_json::json;
use support::{TestFleet, call, plain, request};
use tokio::time;

/// Text in the body of requests that crash backend servers.
const DEADLY_TEXT: &str = "a deadly order";
/// How often a request comes again.
const RETURNS: usize = 24;
/// Time between two returns.
const RETURN_INTERVAL: Duration = Duration::from_millis(120);
/// Backend servers that a request may crash: three crashes show that it is the cause, and three
/// further runs may be on their way until all entries know.
const MAX_CRASHES: usize = 6;
/// Time after which an entry that reaches the store must know what it holds.
const CONTACT: Duration = Duration::from_secs(3);

fn deadly_request(method: &str, path: &str, call: &str) -> Request<Full<Bytes>> {
    request(method, path, call).body(Full::from(DEADLY_TEXT)).expect("a valid request")
}

async fn start_fleet(services: usize, gateways: usize) -> TestFleet {
    let mut fleet = TestFleet::start().await;
    for index in 0..services {
        fleet.add_service(&format!("s-{index}")).await;
        let fault = ServiceFault { deadly_text: Some(DEADLY_TEXT), ..ServiceFault::default() };
        fleet.services[index].set_fault(fault);
    }
    for _ in 0..gateways {
        fleet.add_gateway().await;
    }
    time::sleep(Duration::from_millis(600)).await;
    fleet
}

fn crash_count(fleet: &TestFleet) -> usize {
    let records = fleet.services.iter().flat_map(|service| service.records());
    records.filter(|record| record.body == DEADLY_TEXT).count()
}

/// The request comes again at one gateway after the other, each time under a new call id.
async fn send_again_and_again(fleet: &TestFleet, method: &str, path: &str) {
    for number in 0..RETURNS {
        let gateway = fleet.callers(number % fleet.gateways.len());
        call(gateway, deadly_request(method, path, &format!("deadly-{number}"))).await;
        time::sleep(RETURN_INTERVAL).await;
    }
}

#[tokio::test]
async fn request_that_crashes_servers_is_kept_from_the_others() {
    let fleet = start_fleet(8, 3).await;

    send_again_and_again(&fleet, "POST", "/order/dam").await;

    let crashes = crash_count(&fleet);
    assert!(crashes <= MAX_CRASHES, "{crashes} servers ended under one request");
    let sound = fleet.call(plain("POST", "/order/dam", "sound")).await;
    assert_eq!(sound.status(), 200, "the same path with another body: {sound:?}");
}

#[tokio::test]
async fn repeatable_request_that_crashes_servers_is_kept_from_the_others() {
    let fleet = start_fleet(8, 3).await;

    send_again_and_again(&fleet, "POST", "/read/dam").await;

    let crashes = crash_count(&fleet);
    assert!(crashes <= MAX_CRASHES, "{crashes} servers ended under one request");
}

#[tokio::test]
async fn blocked_request_is_refused_at_once_and_its_refusal_names_the_end() {
    let fleet = start_fleet(8, 2).await;
    send_again_and_again(&fleet, "POST", "/order/dam").await;
    let crashes = crash_count(&fleet);
    let sent = Instant::now();

    let refused = fleet.call(deadly_request("POST", "/order/dam", "again")).await;

    assert!(sent.elapsed() < Duration::from_millis(500), "held for {:?}", sent.elapsed());
    assert_eq!(refused.status(), 503, "not run: {refused:?}");
    assert!(refused.body().starts_with("1013"), "{refused:?}");
    let wait: Option<f64> = refused.header("retry-after").and_then(|text| text.parse().ok());
    assert!(wait.is_some_and(|wait| (30.0..=60.0).contains(&wait)), "{refused:?}");
    assert_eq!(crash_count(&fleet), crashes);
}

#[tokio::test]
async fn entry_that_starts_later_learns_what_is_blocked() {
    let mut fleet = start_fleet(8, 2).await;
    send_again_and_again(&fleet, "POST", "/order/dam").await;
    let crashes = crash_count(&fleet);

    let newest = fleet.add_gateway().await;
    time::sleep(Duration::from_millis(1_200)).await;
    let refused = call(fleet.callers(newest), deadly_request("POST", "/order/dam", "again")).await;

    assert_eq!(refused.status(), 503, "{refused:?}");
    assert_eq!(crash_count(&fleet), crashes);
}

/// All entries are killed at once: none is left that another could ask.
#[tokio::test]
async fn blocks_outlive_all_entries() {
    let before = start_fleet(8, 2).await;
    send_again_and_again(&before, "POST", "/order/dam").await;
    let crashes = crash_count(&before);
    for entry in ["entry-0", "entry-1"] {
        before.store.remove("fescuewalk-entries", entry);
    }

    let mut after = TestFleet::start().await;
    after.use_store(&before.store);
    after.add_gateway().await;
    let refused = after.call(deadly_request("POST", "/order/dam", "again")).await;

    assert_eq!(refused.status(), 503, "{refused:?}");
    assert!(refused.body().starts_with("1013"), "{refused:?}");
    assert_eq!(crash_count(&before), crashes);
}

/// Guards against blocks that were never read because the store did not answer when the entry
/// started.
#[rstest]
#[case::busy(StoreFault::Busy)]
#[case::unresponsive(StoreFault::Unresponsive)]
#[case::reset(StoreFault::Reset)]
#[tokio::test]
async fn blocks_are_read_once_the_store_answers(#[case] fault: StoreFault) {
    let before = start_fleet(8, 2).await;
    send_again_and_again(&before, "POST", "/order/dam").await;
    let crashes = crash_count(&before);
    for entry in ["entry-0", "entry-1"] {
        before.store.remove("fescuewalk-entries", entry);
    }
    before.store.set_fault(fault);

    let mut after = TestFleet::start().await;
    after.use_store(&before.store);
    after.add_gateway().await;
    time::sleep(Duration::from_secs(2)).await;
    before.store.set_fault(StoreFault::None);
    time::sleep(CONTACT).await;
    let refused = after.call(deadly_request("POST", "/order/dam", "again")).await;

    assert_eq!(refused.status(), 503, "{refused:?}");
    assert!(refused.body().starts_with("1013"), "{refused:?}");
    assert_eq!(crash_count(&before), crashes);
}

/// Guards against blocks that were given up as unwritten after a few seconds without the store.
#[tokio::test]
async fn block_decided_while_the_store_is_away_is_stored_once_it_is_back() {
    let before = start_fleet(8, 2).await;
    before.store.set_fault(StoreFault::Busy);
    send_again_and_again(&before, "POST", "/order/dam").await;
    time::sleep(Duration::from_secs(4)).await;
    before.store.set_fault(StoreFault::None);
    time::sleep(CONTACT).await;
    let crashes = crash_count(&before);
    for entry in ["entry-0", "entry-1"] {
        before.store.remove("fescuewalk-entries", entry);
    }

    let mut after = TestFleet::start().await;
    after.use_store(&before.store);
    after.add_gateway().await;
    let refused = after.call(deadly_request("POST", "/order/dam", "again")).await;

    assert_eq!(refused.status(), 503, "{refused:?}");
    assert!(refused.body().starts_with("1013"), "{refused:?}");
    assert_eq!(crash_count(&before), crashes);
}

/// Objects of another writer may lie among the blocks.
#[tokio::test]
async fn odd_objects_among_the_blocks_do_not_keep_the_others_from_being_read() {
    let before = start_fleet(8, 2).await;
    for (name, contents) in [("0", json!(null)), ("zz", json!({ "keys": 3 }))] {
        before.store.write("fescuewalk-blocks", name, &contents);
    }
    send_again_and_again(&before, "POST", "/order/dam").await;
    let crashes = crash_count(&before);
    for entry in ["entry-0", "entry-1"] {
        before.store.remove("fescuewalk-entries", entry);
    }

    let mut after = TestFleet::start().await;
    after.use_store(&before.store);
    after.add_gateway().await;
    let refused = after.call(deadly_request("POST", "/order/dam", "again")).await;

    assert_eq!(refused.status(), 503, "{refused:?}");
    assert_eq!(crash_count(&before), crashes);
}

/// The copy was made before the block; then all entries are killed.
#[tokio::test]
async fn blocks_outlive_a_restore_of_the_store_and_all_entries() {
    let before = start_fleet(8, 2).await;
    before.store.back_up();
    send_again_and_again(&before, "POST", "/order/dam").await;
    let crashes = crash_count(&before);
    before.store.restore();
    time::sleep(Duration::from_secs(3)).await;
    for entry in ["entry-0", "entry-1"] {
        before.store.remove("fescuewalk-entries", entry);
    }

    let mut after = TestFleet::start().await;
    after.use_store(&before.store);
    after.add_gateway().await;
    let refused = after.call(deadly_request("POST", "/order/dam", "again")).await;

    assert_eq!(refused.status(), 503, "{refused:?}");
    assert!(refused.body().starts_with("1013"), "{refused:?}");
    assert_eq!(crash_count(&before), crashes);
}

#[tokio::test]
async fn requests_whose_answers_are_lost_by_sound_servers_are_not_blocked() {
    let fleet = start_fleet(4, 2).await;

    for number in 0..RETURNS {
        let service = &fleet.services[number % 4];
        service.set_fault(ServiceFault { dropped_answers: 1, ..ServiceFault::default() });
        call(fleet.callers(number % 2), plain("POST", "/order/dam", &format!("c-{number}"))).await;
        time::sleep(Duration::from_millis(60)).await;
    }
    for service in &fleet.services {
        service.set_fault(ServiceFault::default());
    }
    time::sleep(Duration::from_secs(2)).await;

    let outcome = fleet.call(plain("POST", "/order/dam", "after")).await;
    assert_eq!(outcome.status(), 200, "{outcome:?}");
}
