//! Objects of other writers in the store: none of them keeps a gateway from serving.

mod support;

use base::prelude::*;
use rstest::rstest;
use serde_json::{Value, json};
use support::{PLAIN_SERVICE, TestFleet, plain};
use tokio::time;

/// Time within which gateways know a change of a stable store.
const KNOWN_WITHIN: Duration = Duration::from_secs(2);
/// Names of which none may change the call for the page behind it.
const ODD_NAMES: [&str; 10] =
    ["a00%41", "a01%", "a01%zz", "a02&b=", "a03+", "a04%C3%A9", "a b", "a#b", "aé", "i%"];
/// Size of the largest objects that the platform stores, less their metadata.
const LARGE_OBJECT: ByteSize = ByteSize(1_000_000);

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

/// Calls a route ten times, and returns how many of the calls reach the service with the index
/// `service`.
async fn calls_of(fleet: &TestFleet, service: usize) -> usize {
    let before = fleet.services[service].records().len();
    for number in 0..10 {
        let request = plain("GET", "/read/a", &format!("n-{number}"));
        assert_eq!(support::call(fleet.callers(0), request).await.status(), 200);
    }
    fleet.services[service].records().len() - before
}

/// Guards against a server in use that has left while a gateway watched no changes, because the listing
/// afterwards ends behind it.
#[tokio::test]
async fn gateway_drops_a_server_that_an_incomplete_listing_has_passed() {
    let mut fleet = start_fleet().await;
    fleet.add_service("s-1").await;
    fleet.store.set_page_size(1);
    fleet.store.write("servers", "z-odd", &json!([]));
    fleet.add_gateway().await;
    fleet.store.break_page("servers", "s-1", 400, "");
    fleet.store.remove("servers", "s-0");
    fleet.store.compact();

    time::sleep(KNOWN_WITHIN).await;

    assert_eq!(calls_of(&fleet, 0).await, 0);
}

/// Guards against a gateway that knows no server because of one page of their listing, and against servers
/// behind it that stay unknown for long after it is mended.
#[tokio::test]
async fn gateway_serves_by_the_servers_before_a_refused_page_and_soon_by_those_behind_it() {
    let mut fleet = start_fleet().await;
    fleet.add_service("s-1").await;
    fleet.store.set_page_size(1);
    fleet.store.break_page("servers", "s-0", 400, "");
    fleet.add_gateway().await;
    call_until(&fleet, "/read/a", |status| status == 200).await;
    time::sleep(Duration::from_secs(1)).await;

    fleet.store.mend_pages();

    call_until(&fleet, "/read/a", |_| !fleet.services[1].records().is_empty()).await;
}

/// Guards against a gateway that asks again and again for changes which it cannot read, while it learns of
/// no others.
#[tokio::test]
async fn gateway_follows_servers_beside_a_change_that_it_cannot_read() {
    let mut fleet = start_fleet().await;
    fleet.add_gateway().await;
    fleet.store.write("servers", "z-odd", &json!([]));
    fleet.store.break_change("servers", "{\"events\":[\"");

    fleet.add_service("s-1").await;

    call_until(&fleet, "/read/a", |_| !fleet.services[1].records().is_empty()).await;
}

/// Guards against a gateway without a configuration, or with an old one, because of an object beside it.
#[rstest]
#[case::undecodable(true, "{\"items\":[\"")]
#[case::too_large(true, &"a".repeat(9_000_000))]
#[case::in_changes_alone(false, "{\"events\":[\"")]
#[tokio::test]
async fn gateway_follows_the_configuration_beside_an_object_that_it_cannot_read(
    #[case] is_listed: bool,
    #[case] broken: &str,
) {
    let mut fleet = start_fleet().await;
    if is_listed {
        fleet.store.break_page("config", "", 200, broken);
    }
    fleet.add_gateway().await;
    call_until(&fleet, "/read/a", |status| status == 200).await;

    fleet.store.write("config", "z-odd", &json!([]));
    fleet.store.break_change("config", broken);
    let route = platform_standin::RouteSpec::idempotent("/new/", PLAIN_SERVICE);
    fleet.store.write("config", "main", &support::catalog().route(route).build(32));

    call_until(&fleet, "/new/a", |status| status == 200).await;
}

/// Guards against gateways that read all pages of a listing without end again four times a second.
#[tokio::test]
async fn gateway_repeats_a_listing_that_fails_more_and_more_rarely() {
    let mut fleet = start_fleet().await;
    let repeated = json!({ "items": [{ "metadata": { "name": "s-0" } }], "more-pages": true,
        "store-revision": 9 });
    fleet.store.set_page_size(1);
    fleet.store.write("servers", "z-odd", &json!([]));
    fleet.store.break_page("servers", "s-0", 200, &repeated.to_string());

    fleet.add_gateway().await;
    time::sleep(Duration::from_secs(4)).await;

    let calls = fleet.store.listing_calls("servers");
    assert!(calls <= 6 * 3, "{calls} pages");
}

/// Guards against a gateway that asks again and again for changes which are more than an answer holds.
#[tokio::test]
async fn gateway_follows_servers_through_many_large_changes() {
    let mut fleet = start_fleet().await;
    fleet.add_gateway().await;
    call_until(&fleet, "/read/a", |status| status == 200).await;
    let padding = "a".repeat(LARGE_OBJECT.0 as usize);
    for number in 0..30 {
        fleet.store.write("servers", "z-odd", &json!([number, padding]));
    }

    fleet.add_service("s-1").await;
    fleet.store.remove("servers", "s-0");

    call_until(&fleet, "/read/a", |_| !fleet.services[1].records().is_empty()).await;
    assert_eq!(calls_of(&fleet, 0).await, 0);
}

/// The same for the configuration: a storm of versions of which the last one moves a route.
#[tokio::test]
async fn gateway_follows_the_configuration_through_many_large_versions() {
    let mut fleet = start_fleet().await;
    fleet.add_gateway().await;
    call_until(&fleet, "/read/a", |status| status == 200).await;
    let large = |version: u64| -> Value {
        let mut catalog = support::catalog().build(version);
        catalog["note"] = json!("a".repeat(LARGE_OBJECT.0 as usize));
        catalog
    };
    for version in 2..32 {
        fleet.store.write("config", "main", &large(version));
    }
    let route = platform_standin::RouteSpec::idempotent("/new/", PLAIN_SERVICE);
    fleet.store.write("config", "main", &support::catalog().route(route).build(32));

    call_until(&fleet, "/new/a", |status| status == 200).await;
}

/// Guards against callers that are sent to a gateway which knows no server.
#[tokio::test]
async fn gateway_is_not_ready_before_it_has_listed_the_servers() {
    let mut fleet = start_fleet().await;
    fleet.store.deny_kinds(["servers"]);
    let gateway = fleet.add_gateway().await;
    let address = fleet.ready_addresses[gateway];
    let status = async || support::call(address, plain("GET", "/ready", "c-1")).await.status();

    let before = status().await;
    fleet.store.deny_kinds([]);
    time::sleep(KNOWN_WITHIN).await;
    let after = status().await;

    assert_eq!((before, after), (503, 200));
}
