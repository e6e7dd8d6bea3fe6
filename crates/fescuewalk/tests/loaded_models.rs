//! Models that engines hold as the entries start.

mod support;

use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use support::{
    entry_memory::ANSWER_TIMEOUT,
    fleet::{FleetSetup, client, start_fleet_with},
    large_answers::start_large_answers,
};
use tokio::time;

/// Time without requests after the start of the entries.
const IDLE_TIME: Duration = Duration::from_secs(3);

/// Guards against an entry that unloads what engines hold because it has begun just now and so knows of
/// no request for it. The engine lists its model as loaded whatever it is ordered to do.
#[tokio::test]
async fn model_that_was_loaded_before_the_start_is_served() {
    let engine = Some(start_large_answers().await);
    let setup = FleetSetup { engine, ..FleetSetup::default() };
    let fleet = start_fleet_with(&setup).await;
    time::sleep(IDLE_TIME).await;

    let request = Request::post(format!("http://{}/v1/chat/completions", fleet.addresses()[0]))
        .header("authorization", "Bearer crew-key")
        .header("x-deadline-ms", "30000")
        .body(Full::new(Bytes::from(r#"{"model":"dam-check"}"#)))
        .expect("the request is valid");
    let answer = time::timeout(ANSWER_TIMEOUT, client().request(request)).await;

    let status = answer.expect("an answer in time").expect("an answer").status();
    assert_eq!(status, 200);
}
