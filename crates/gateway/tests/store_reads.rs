//! Reads of the store by gateways that share what they have seen of it.

mod support;

use base::prelude::*;
use platform_standin::RouteSpec;
use support::{PLAIN_SERVICE, TestFleet, plain};
use tokio::time;

const KNOWN_WITHIN: Duration = Duration::from_secs(2);
/// Time after which each gateway has heard the others.
const WARM_UP: Duration = Duration::from_secs(2);

async fn fleet_with_gateways(count: usize) -> TestFleet {
    let mut fleet = TestFleet::start().await;
    fleet.known_within = KNOWN_WITHIN;
    fleet.add_service("i-1").await;
    for _ in 0..count {
        fleet.add_gateway().await;
    }
    time::sleep(WARM_UP).await;
    fleet
}

#[tokio::test]
async fn configuration_is_current_in_time_while_the_copy_lags() {
    let fleet = fleet_with_gateways(3).await;
    fleet.store.stop_copy();
    let catalog = support::catalog().route(RouteSpec::idempotent("/new/", PLAIN_SERVICE));
    fleet.store.write("config", "main", &catalog.build(2));

    time::sleep(KNOWN_WITHIN).await;

    for gateway in 0..3 {
        let request = plain("GET", "/new/a", "c-1");
        let outcome = support::call(fleet.callers(gateway), request).await;
        assert_eq!(outcome.status(), 200, "gateway {gateway}: {outcome:?}");
    }
}

#[tokio::test]
async fn removed_server_is_unused_in_time_while_the_copy_lags() {
    let mut fleet = fleet_with_gateways(3).await;
    let leaving = fleet.add_service("i-2").await;
    time::sleep(KNOWN_WITHIN).await;
    fleet.store.stop_copy();
    fleet.store.remove("servers", "i-2");

    time::sleep(KNOWN_WITHIN).await;
    let before = fleet.services[leaving].records().len();
    for call in 0..12 {
        let request = plain("GET", "/read/a", &format!("c-{call}"));
        support::call(fleet.callers(call % 3), request).await;
    }

    assert_eq!(fleet.services[leaving].records().len(), before);
}

#[tokio::test]
async fn one_gateway_reads_without_lag_for_all() {
    let fleet = fleet_with_gateways(3).await;
    let (calls, lagging) = (fleet.store.calls(), fleet.store.lagging_calls());

    time::sleep(Duration::from_secs(4)).await;

    let lagging = fleet.store.lagging_calls() - lagging;
    let latest = fleet.store.calls() - calls - lagging;
    // The reads of one gateway: two watches that wait 0.4 s each.
    assert!(latest <= 2 * 11, "{latest} without lag, {lagging} others");
    assert!(lagging >= 4 * 4, "{latest} without lag, {lagging} others");
}
