//! Parts of prompts that crash each engine that begins to write an answer on them.

mod support;

use base::prelude::*;
use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use platform_standin::{EngineFault, EngineOptions};
use support::{TestFleet, call, stream_with_parts};
use tokio::time;

/// Id of the part that crashes engines.
const DEADLY_PART: &str = "dead01";
/// Part that all requests of the route share.
const ROUTE_PART: &str = "a100:216";
/// Part that the requests of one customer share, sound or not.
const CUSTOMER_PART: &str = "b200:90";
/// How many requests with the deadly part come.
const DEADLY_REQUESTS: usize = 24;
/// Time between two of them.
const DEADLY_INTERVAL: Duration = Duration::from_millis(250);
/// Engines that may end under the part: three crashes show that it is the cause, and three further
/// requests may be on their way until all entries know.
const MAX_CRASHES: u32 = 6;

const ENGINES: usize = 6;

async fn start_fleet(gateways: usize) -> TestFleet {
    let mut fleet = TestFleet::start().await;
    for index in 0..ENGINES {
        let options = EngineOptions {
            residents: vec!["m1".to_owned()],
            ..EngineOptions::new(&format!("e-{index}"))
        };
        let engine = fleet.add_engine(options).await;
        let fault = EngineFault { deadly_part: Some(DEADLY_PART), ..EngineFault::default() };
        fleet.engines[engine].set_fault(fault);
        fleet.add_agent(engine).await;
    }
    for _ in 0..gateways {
        fleet.add_gateway().await;
    }
    time::sleep(Duration::from_millis(1_200)).await;
    fleet
}

fn sound_request(path: &str, number: usize) -> Request<Full<Bytes>> {
    let own = format!("c{number:03x}:80");
    let parts = [ROUTE_PART, CUSTOMER_PART, &own];
    stream_with_parts(path, "m1", &format!("sound-{number}"), &parts)
}

fn deadly_request(path: &str, number: usize) -> Request<Full<Bytes>> {
    let (deadly, own) = (format!("{DEADLY_PART}:165"), format!("d{number:03x}:80"));
    let parts = [ROUTE_PART, CUSTOMER_PART, &deadly, &own];
    stream_with_parts(path, "m1", &format!("deadly-{number}"), &parts)
}

fn crash_count(fleet: &TestFleet) -> u32 {
    fleet.engines.iter().map(|engine| engine.crashes()).sum()
}

/// Requests with the deadly part come at one gateway after the other, sound ones between them.
async fn send_both(fleet: &TestFleet, path: &str) {
    for number in 0..DEADLY_REQUESTS {
        let gateway = fleet.callers(number % fleet.gateways.len());
        let other = fleet.callers((number + 1) % fleet.gateways.len());
        tokio::join!(
            call(gateway, deadly_request(path, number)),
            call(other, sound_request(path, number))
        );
        time::sleep(DEADLY_INTERVAL).await;
        fleet.publish_engines();
    }
}

#[tokio::test]
async fn part_that_crashes_engines_is_kept_from_the_others() {
    let fleet = start_fleet(3).await;

    send_both(&fleet, "/chat/").await;

    let crashes = crash_count(&fleet);
    assert!(crashes <= MAX_CRASHES, "{crashes} engines ended under one part");
    let refused = fleet.call(deadly_request("/chat/", 999)).await;
    assert_eq!(refused.status(), 503, "{refused:?}");
    for number in 100..110 {
        let gateway = fleet.callers(number % 3);
        let outcome = call(gateway, sound_request("/chat/", number)).await;
        assert_eq!(outcome.status(), 200, "same route and customer: {outcome:?}");
    }
}
