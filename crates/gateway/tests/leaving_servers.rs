//! Backend servers that say in their answers that they leave.

mod support;

use base::prelude::*;
use platform_standin::{EngineFault, EngineOptions, ServiceFault, StoreFault};
use rstest::rstest;
use support::{TestFleet, plain, stream};
use tokio::time;

/// Time after which nothing may reach a server that has said that it leaves.
const DRAIN_TIME: Duration = Duration::from_secs(2);

fn run_count(fleet: &TestFleet, service: usize) -> usize {
    fleet.services[service].records().len()
}

/// Sends requests until the service with the index 0 has answered one, saying that it leaves.
async fn meet_leaving_service(fleet: &TestFleet) {
    let fault = ServiceFault { is_leaving: true, ..ServiceFault::default() };
    fleet.services[0].set_fault(fault);
    for number in 0.. {
        fleet.call(plain("POST", "/order/a", &format!("first-{number}"))).await;
        if run_count(fleet, 0) > 0 {
            return;
        }
        assert!(number < 100, "no request reached the leaving service");
    }
}

async fn start_plain_fleet() -> TestFleet {
    let mut fleet = TestFleet::start().await;
    for name in ["s-0", "s-1"] {
        fleet.add_service(name).await;
    }
    fleet.add_gateway().await;
    fleet
}

#[rstest]
#[case::roster_lists_it_as_ready(StoreFault::None)]
#[case::store_is_away(StoreFault::Unresponsive)]
#[tokio::test]
async fn server_that_says_that_it_leaves_gets_nothing_more(#[case] fault: StoreFault) {
    let fleet = start_plain_fleet().await;
    fleet.store.set_fault(fault);
    meet_leaving_service(&fleet).await;
    let before = run_count(&fleet, 0);

    for number in 0..40 {
        let outcome = fleet.call(plain("POST", "/order/a", &format!("c-{number}"))).await;
        assert_eq!(outcome.status(), 200, "{outcome:?}");
        time::sleep(DRAIN_TIME / 30).await;
    }

    assert_eq!(run_count(&fleet, 0), before, "requests after its answer");
}

#[tokio::test]
async fn server_that_left_the_roster_and_is_listed_again_gets_nothing() {
    let fleet = start_plain_fleet().await;
    meet_leaving_service(&fleet).await;
    let before = run_count(&fleet, 0);

    fleet.store.remove("servers", "s-0");
    time::sleep(Duration::from_millis(600)).await;
    fleet.register_service("s-0", fleet.services[0].address());
    time::sleep(Duration::from_millis(600)).await;
    for number in 0..20 {
        fleet.call(plain("POST", "/order/a", &format!("c-{number}"))).await;
    }

    assert_eq!(run_count(&fleet, 0), before, "requests after its answer");
}

#[tokio::test]
async fn last_server_that_leaves_gets_nothing_although_no_other_is_there() {
    let mut fleet = TestFleet::start().await;
    fleet.add_service("s-0").await;
    fleet.add_gateway().await;
    meet_leaving_service(&fleet).await;
    let before = run_count(&fleet, 0);

    let outcome = fleet.call(plain("POST", "/order/a", "c-1")).await;

    assert_eq!(outcome.status(), 503, "{outcome:?}");
    assert_eq!(run_count(&fleet, 0), before);
}

#[tokio::test]
async fn engine_that_leaves_gets_no_further_streams() {
    let mut fleet = TestFleet::start().await;
    for name in ["e-0", "e-1"] {
        let options =
            EngineOptions { residents: vec!["m1".to_owned()], ..EngineOptions::new(name) };
        let engine = fleet.add_engine(options).await;
        fleet.add_agent(engine).await;
    }
    fleet.add_gateway().await;
    time::sleep(Duration::from_millis(800)).await;
    let fault = EngineFault { is_leaving: true, ..EngineFault::default() };
    fleet.engines[0].set_fault(fault);
    let mut number = 0;
    while fleet.engines[0].streams().is_empty() {
        number += 1;
        assert!(number < 100, "no stream reached the leaving engine");
        fleet.call(stream("/chat/", "m1", &format!("first-{number}"))).await;
    }
    let before = fleet.engines[0].streams().len();

    for number in 0..20 {
        let outcome = fleet.call(stream("/report/", "m1", &format!("c-{number}"))).await;
        assert_eq!(outcome.status(), 200, "{outcome:?}");
    }

    assert_eq!(fleet.engines[0].streams().len(), before);
}

#[tokio::test]
async fn new_incarnation_of_a_server_that_left_gets_requests() {
    let mut fleet = TestFleet::start().await;
    fleet.add_service("s-0").await;
    fleet.add_gateway().await;
    meet_leaving_service(&fleet).await;
    fleet.services[0].set_fault(ServiceFault::default());

    fleet.register_incarnation("s-0", fleet.services[0].address(), 2);
    time::sleep(Duration::from_millis(600)).await;
    let outcome = fleet.call(plain("POST", "/order/a", "c-1")).await;

    assert_eq!(outcome.status(), 200, "{outcome:?}");
}
