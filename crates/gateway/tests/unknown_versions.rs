//! Streams that are taken up at an entry which does not know all software versions that serve.

mod support;

use base::prelude::*;
use futures::future::join_all;
use support::{
    ENGINE_SERVICE, catalog,
    gateway_process::GatewayProcess,
    store_path::StorePath,
    version_fleet::{
        ONE_VERSION, STORE_CHANGE, STREAMS, VersionFleet, assert_completed, assert_unmixed,
        take_up_all,
    },
};
use tokio::time;

/// Time after which all entries know each other and the versions are stored.
const SETTLED: Duration = Duration::from_millis(2_500);
/// An entry that must know changes within this time knows none of a cut that is shorter.
const LONG_KNOWN_WITHIN: Duration = Duration::from_secs(20);
/// Time after a restore in which servers register again; the platform's take up to two seconds.
const REGISTRATION_DELAY: Duration = Duration::from_millis(1_200);

/// The copy is from before a release, and all entries are killed as the store comes back from it.
/// The servers of the new version have not registered again yet.
#[tokio::test]
async fn streams_are_not_mixed_after_a_restore_of_the_store_from_before_a_release() {
    let mut fleet = VersionFleet::start(&["v1", "v1"], 2).await;
    time::sleep(SETTLED).await;
    fleet.fleet.store.back_up();
    fleet.add_engines("v2", 6).await;
    time::sleep(SETTLED).await;
    let streams = fleet.begin_streams(0).await;

    let gateways = std::mem::take(&mut fleet.gateways);
    join_all(gateways.into_iter().map(GatewayProcess::kill)).await;
    fleet.fleet.store.restore();
    fleet.start_gateways(2).await;
    let callers = fleet.callers(1);
    let registering = async {
        time::sleep(REGISTRATION_DELAY).await;
        fleet.fleet.publish_engines();
    };
    let (ended, ()) = tokio::join!(take_up_all(callers, &streams, 2, true), registering);

    assert!(fleet.begun_by("v2") > 3, "the new version begins streams");
    assert_unmixed(&fleet, &ended);
    assert_completed(&ended, STREAMS / 2);
}

/// One entry is cut off from the store before a release, and does not know the side processes of the
/// new servers. The other entries are killed.
#[tokio::test]
async fn streams_are_not_mixed_by_an_entry_with_an_old_roster() {
    let mut fleet = VersionFleet::start(&["v1", "v1"], 1).await;
    let path = StorePath::start(fleet.fleet.store.address()).await;
    let whole = std::mem::replace(&mut fleet.fleet.store_address, path.address());
    let cut = fleet.fleet.add_gateway_process(1).await;
    fleet.fleet.store_address = whole;
    fleet.gateways.push(fleet.fleet.add_gateway_process(2).await);
    time::sleep(SETTLED).await;
    path.cut();
    fleet.add_engines("v2", 6).await;
    time::sleep(SETTLED).await;
    let streams = fleet.begin_many(0, 48).await;

    let gateways = std::mem::take(&mut fleet.gateways);
    join_all(gateways.into_iter().map(GatewayProcess::kill)).await;
    let ended = take_up_all(cut.callers, &streams, 2, true).await;

    assert!(fleet.begun_by("v2") > 3, "the new version begins streams");
    assert_unmixed(&fleet, &ended);
}

/// One entry is cut off from the store, and then from the others, for less than the time within which
/// it must know a change. Servers of a new version join meanwhile and begin streams.
#[tokio::test]
async fn streams_are_not_mixed_by_an_entry_that_missed_a_release_a_moment_ago() {
    let mut fleet = VersionFleet::start(&["v1", "v1"], 1).await;
    let path = StorePath::start(fleet.fleet.store.address()).await;
    let whole = std::mem::replace(&mut fleet.fleet.store_address, path.address());
    let usual = std::mem::replace(&mut fleet.fleet.known_within, LONG_KNOWN_WITHIN);
    let cut = fleet.fleet.add_gateway_process(1).await;
    fleet.fleet.store_address = whole;
    fleet.fleet.known_within = usual;
    fleet.gateways.push(fleet.fleet.add_gateway_process(2).await);
    time::sleep(SETTLED).await;
    path.cut();
    fleet.add_engines("v2", 6).await;
    time::sleep(STORE_CHANGE).await;
    let streams = fleet.begin_many(0, 48).await;

    let gateways = std::mem::take(&mut fleet.gateways);
    join_all(gateways.into_iter().map(GatewayProcess::kill)).await;
    let ended = take_up_all(cut.callers, &streams, 2, true).await;

    assert!(fleet.begun_by("v2") > 3, "the new version begins streams");
    assert_unmixed(&fleet, &ended);
}

#[tokio::test]
async fn streams_go_on_at_their_service_after_their_route_was_split() {
    let fleet = VersionFleet::start(&ONE_VERSION, 2).await;
    let mut split = catalog().engine_service("canary", &["m1"]).build(2);
    for route in split["routes"].as_array_mut().expect("a list") {
        if route["service"] == ENGINE_SERVICE {
            let targets = serde_json::json!([{ "service": ENGINE_SERVICE, "weight": 1 },
                { "service": "canary", "weight": 1 }]);
            let route = route.as_object_mut().expect("a route");
            route.remove("service");
            route.insert("split".to_owned(), targets);
        }
    }

    let streams = fleet.begin_streams(0).await;
    fleet.fleet.store.write("config", "main", &split);
    time::sleep(SETTLED).await;
    let ended = take_up_all(fleet.callers(1), &streams, 2, true).await;

    assert_completed(&ended, STREAMS);
}
