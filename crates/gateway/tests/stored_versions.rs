//! Software versions in the store, as gateways read and delete them.

mod support;

use base::prelude::*;
use gateway::version_archive::VersionArchive;
use platform::{ObjectKind, PlatformStore};
use serde_json::json;
use support::TestFleet;
use tokio::time;

const KIND: &str = "fescuewalk-versions";
/// Time after which a gateway has stored a version, or has deleted what it does not know.
const SETTLED: Duration = Duration::from_millis(2_500);

fn client(fleet: &TestFleet) -> PlatformStore {
    PlatformStore::new(fleet.store.address(), Duration::from_secs(5))
}

async fn stored_names(fleet: &TestFleet) -> Vec<String> {
    let store = client(fleet);
    let listing = store.list_system_objects(ObjectKind::SoftwareVersions).await;
    listing.expect("a listing").items.into_iter().map(|(name, _)| name).collect()
}

/// Guards against versions with live streams that are deleted by a gateway which never read them.
#[tokio::test]
async fn version_in_the_gap_of_a_listing_is_not_deleted() {
    let mut fleet = TestFleet::start().await;
    fleet.add_service("s-0").await;
    let first = fleet.add_gateway_process(0).await;
    time::sleep(SETTLED).await;
    let before = stored_names(&fleet).await;
    first.kill().await;
    fleet.store.remove("servers", "s-0");
    fleet.store.set_page_size(1);
    fleet.store.write_raw(KIND, "!", &json!({}));

    let _second = fleet.add_gateway_process(0).await;
    fleet.store.remove(KIND, "!");
    fleet.store.back_up();
    fleet.store.restore();
    time::sleep(SETTLED).await;

    assert_eq!((before.len(), stored_names(&fleet).await), (1, before));
}

/// Guards against streams that go on at one version while servers of another stand in the gap.
#[tokio::test]
async fn versions_in_service_are_unknown_while_their_listing_has_a_gap() {
    let mut fleet = TestFleet::start().await;
    fleet.add_service("s-0").await;
    fleet.add_service("s-1").await;
    fleet.store.set_page_size(1);
    fleet.store.break_page("servers", "s-0", 400, "");
    let archive = VersionArchive::new(client(&fleet));

    let in_gap = archive.list_serving().await;
    fleet.store.mend_pages();
    let whole = archive.list_serving().await;

    assert!(in_gap.is_err(), "{in_gap:?}");
    assert_eq!(whole.expect("a whole listing").len(), 1);
}
