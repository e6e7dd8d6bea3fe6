//! Objects of other writers in the store: none of them keeps a gateway from serving.

mod support;

use base::prelude::*;
use rstest::rstest;
use serde_json::json;
use support::{TestFleet, plain};
use tokio::time;

/// Time within which gateways know a change of a stable store.
const KNOWN_WITHIN: Duration = Duration::from_secs(2);
/// Names of which none may change the call for the page behind it.
const ODD_NAMES: [&str; 10] =
    ["a00%41", "a01%", "a01%zz", "a02&b=", "a03+", "a04%C3%A9", "a b", "a#b", "aé", "i%"];

/// Calls a route until `holds` for the status; fails after [`KNOWN_WITHIN`].
async fn call_until(fleet: &TestFleet, path: &str, mut holds: impl FnMut(u16) -> bool) {
    let deadline = Instant::now() + KNOWN_WITHIN;
    let mut number = 0;
    loop {
        let request = plain("GET", path, &format!("c-{number}"));
        let status = support::call(fleet.callers(0), request).await.status();
        if holds(status) {
            return;
        }
        assert!(Instant::now() < deadline, "{path} is answered {status} after {KNOWN_WITHIN:?}");
        number += 1;
        time::sleep(Duration::from_millis(10)).await;
    }
}

async fn start_fleet() -> TestFleet {
    let mut fleet = TestFleet::start().await;
    fleet.add_service("s-0").await;
    fleet
}

#[rstest]
#[case::servers("servers")]
#[case::configurations("config")]
#[case::entries("fescuewalk-entries")]
#[case::blocks("fescuewalk-blocks")]
#[case::versions("fescuewalk-versions")]
#[tokio::test]
async fn gateway_that_starts_beside_odd_names_serves(#[case] kind: &str) {
    let mut fleet = start_fleet().await;
    fleet.store.set_page_size(1);
    for name in ODD_NAMES {
        fleet.store.write(kind, name, &json!([name]));
    }

    fleet.add_gateway().await;

    call_until(&fleet, "/read/a", |status| status == 200).await;
}
