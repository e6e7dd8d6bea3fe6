//! Streams that are taken up at an entry that was out of step while servers of a new version served.

mod support;

use base::prelude::*;
use futures::future::join_all;
use support::{
    gateway_process::GatewayProcess,
    store_path::StorePath,
    version_fleet::{CallerStream, STORE_CHANGE, VersionFleet, assert_unmixed, take_up_all},
};
use tokio::time;

/// Time after which all entries know each other and the versions are stored.
const SETTLED: Duration = Duration::from_millis(2_500);
/// Time for which an entry stands still; longer than others need to count it as lost.
const STANDSTILL: Duration = Duration::from_secs(5);
/// Time in which an entry that is in step again has taken up its duties.
const BACK_IN_STEP: Duration = Duration::from_secs(5);
/// Time in which the calls fail that an entry had open as it stood still.
const AWAKE: Duration = Duration::from_millis(200);
/// Time after a restore in which servers register again; the platform's take up to two seconds.
const REGISTRATION_DELAY: Duration = Duration::from_millis(1_200);
/// Streams of each test, of which some are known to no process that is left.
const STREAMS: usize = 48;
/// Index of an entry that sorts before the others, so that one of them plans.
const FOLLOWING: usize = 1;
/// Index of an entry that sorts behind the others, so that it plans.
const PLANNING: usize = 8;
/// Indexes of the other entries; so many that the one out of step keeps few origins for them.
const OTHERS: [usize; 4] = [2, 3, 4, 5];

/// A fleet of one version with an entry that gets out of step, and others.
struct OutOfStep {
    fleet: VersionFleet,
    entry: GatewayProcess,
    path: StorePath,
}

impl OutOfStep {
    async fn start(index: usize) -> Self {
        let mut fleet = VersionFleet::start(&["v1", "v1"], 0).await;
        let path = StorePath::start(fleet.fleet.store.address()).await;
        let whole = std::mem::replace(&mut fleet.fleet.store_address, path.address());
        let entry = fleet.fleet.add_gateway_process(index).await;
        fleet.fleet.store_address = whole;
        let others = OTHERS.map(|index| fleet.fleet.add_gateway_process(index));
        fleet.gateways = join_all(others).await;
        time::sleep(SETTLED).await;
        Self { fleet, entry, path }
    }

    /// Cuts the entry off from the store; a new version joins and begins streams through the others.
    async fn release(&mut self) -> Vec<CallerStream> {
        self.path.cut();
        self.fleet.add_engines("v2", 6).await;
        time::sleep(STORE_CHANGE).await;
        self.fleet.begin_many(0, STREAMS).await
    }

    /// The new version leaves, and the store discards its history, so that no watch shows it later.
    async fn withdraw(&self) {
        self.fleet.unlist("v2").await;
        self.fleet.fleet.store.compact();
    }

    async fn end_others(&mut self) {
        let gateways = std::mem::take(&mut self.fleet.gateways);
        join_all(gateways.into_iter().map(GatewayProcess::kill)).await;
    }

    async fn assert_unmixed(&self, streams: &[CallerStream]) {
        let ended = take_up_all(self.entry.callers, streams, 2, true).await;
        assert!(self.fleet.begun_by("v2") > 3, "the new version begins streams");
        assert_unmixed(&self.fleet, &ended);
    }
}

/// The entry plans when it goes on, and has never known the version.
#[tokio::test]
async fn streams_are_not_mixed_after_a_release_came_and_went_while_an_entry_stood_still() {
    let mut scene = OutOfStep::start(FOLLOWING).await;
    let still = Instant::now();
    scene.entry.stand_still(STANDSTILL);
    let streams = scene.release().await;
    scene.withdraw().await;
    scene.end_others().await;

    time::sleep_until(still + STANDSTILL).await;
    scene.path.heal();
    time::sleep(BACK_IN_STEP).await;

    scene.assert_unmixed(&streams).await;
}

/// The others take the entry for the one that records new versions.
#[tokio::test]
async fn streams_are_not_mixed_after_a_release_came_and_went_while_the_planner_lost_the_store() {
    let mut scene = OutOfStep::start(PLANNING).await;
    let streams = scene.release().await;
    scene.withdraw().await;
    scene.end_others().await;

    scene.path.heal();
    time::sleep(BACK_IN_STEP).await;

    scene.assert_unmixed(&streams).await;
}

/// The copy is from before the release, and callers come before its servers have registered again.
#[tokio::test]
async fn streams_are_not_mixed_after_a_restore_of_the_store_while_an_entry_stood_still() {
    let mut scene = OutOfStep::start(FOLLOWING).await;
    scene.fleet.fleet.store.back_up();
    let still = Instant::now();
    scene.entry.stand_still(STANDSTILL);
    let streams = scene.release().await;
    scene.end_others().await;

    time::sleep_until(still + STANDSTILL + AWAKE).await;
    scene.fleet.fleet.store.restore();
    scene.path.heal();
    let registering = async {
        time::sleep(REGISTRATION_DELAY).await;
        scene.fleet.fleet.publish_engines();
    };

    tokio::join!(scene.assert_unmixed(&streams), registering);
}
