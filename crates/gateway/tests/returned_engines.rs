//! Engines whose entries leave the store for a moment while the engines go on.

mod support;

use base::prelude::*;
use platform_standin::EngineOptions;
use serde_json::json;
use support::{TestFleet, stream};
use tokio::time;

/// Time within which gateways know a change of a stable store, and the state of an engine.
const KNOWN_WITHIN: Duration = Duration::from_secs(2);
/// Time without a valid entry; an agent that is silent for longer is asked for its state anyway.
const ODD_TIME: Duration = Duration::from_millis(500);
/// Time within which callers are served again after the entry has returned.
const RECOVER: Duration = Duration::from_secs(12);

/// Guards against an engine that gets no model any more, because its state has not changed meanwhile.
#[tokio::test]
async fn idle_engine_gets_a_model_after_its_entry_was_odd_for_a_moment() {
    let mut fleet = TestFleet::start().await;
    // Three of five models fit, and are loaded while nobody asks for any.
    let on_disk = (1..=5).map(|number| format!("m{number}")).collect();
    let options = EngineOptions { on_disk, ..EngineOptions::new("i-0") };
    let engine = fleet.add_engine(options).await;
    fleet.add_agent(engine).await;
    fleet.add_gateway().await;
    time::sleep(KNOWN_WITHIN).await;
    fleet.store.write("servers", "i-0", &json!({ "address": [] }));
    time::sleep(ODD_TIME).await;

    fleet.publish_engines();
    let deadline = Instant::now() + RECOVER;
    let mut status = 0;
    for number in 0.. {
        status = fleet.call(stream("/chat/", "m5", &format!("c-{number}"))).await.status();
        if status == 200 || Instant::now() > deadline {
            break;
        }
        time::sleep(Duration::from_millis(100)).await;
    }

    assert_eq!(status, 200);
}
