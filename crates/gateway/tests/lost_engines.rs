//! Engines that are lost or restarted and that the roster lists as they were before.

mod support;

use base::prelude::*;
use platform_standin::EngineOptions;
use support::{TestFleet, stream};
use tokio::time;

/// Time within which callers are served again after machines have returned.
const RECOVER: Duration = Duration::from_secs(12);
/// Time between two requests, so that one engine is enough for them.
const REQUEST_INTERVAL: Duration = Duration::from_secs(1);

/// Sends requests for a model until one is served or it is too late; returns the last status.
async fn call_until_served(fleet: &TestFleet, model: &str) -> u16 {
    let deadline = Instant::now() + RECOVER;
    let mut status = 0;
    while status != 200 && Instant::now() < deadline {
        time::sleep(REQUEST_INTERVAL).await;
        status = fleet.call(stream("/chat/", model, "c-1")).await.status();
    }
    status
}

/// One of two engines does not return after a loss, and its entry stays.
#[tokio::test]
async fn weight_store_is_used_although_a_lost_engine_is_listed() {
    let mut fleet = TestFleet::start().await;
    let engine = fleet.add_engine(EngineOptions::new("i-0")).await;
    fleet.add_agent(engine).await;
    fleet.add_engine(EngineOptions::new("i-1")).await;
    fleet.add_gateway().await;

    assert_eq!(call_until_served(&fleet, "m1").await, 200);
}

/// The store does not list the new incarnation, as when it is away.
#[tokio::test]
async fn model_that_a_restarted_engine_lost_is_loaded_at_another() {
    let mut fleet = TestFleet::start().await;
    let holder = EngineOptions { residents: vec!["m1".to_owned()], ..EngineOptions::new("i-0") };
    for options in [holder, EngineOptions::new("i-1")] {
        let engine = fleet.add_engine(options).await;
        fleet.add_agent(engine).await;
    }
    fleet.add_gateway().await;
    let before = fleet.call(stream("/chat/", "m1", "before")).await.status();

    fleet.engines[0].crash(2);
    let after = call_until_served(&fleet, "m1").await;

    assert_eq!((before, after), (200, 200));
}
