//! Entries that lose the store for a while: what the store lists as gone after that is unused in
//! time, whether the store was away or only the entry was cut off from it.

mod support;

use base::prelude::*;
use platform_standin::StoreFault;
use rstest::rstest;
use support::{TestFleet, call, plain, store_path::StorePath};
use tokio::time;

/// Time for which an entry is cut off; longer than three check-ins of a server.
const CUT: Duration = Duration::from_millis(4_600);
/// Time after which an entry that reaches the store again must go by what it lists.
const CONTACT: Duration = Duration::from_secs(3);
/// Time after a removal within which a server may still get requests.
const DRAIN: Duration = Duration::from_secs(2);
/// Time for which requests are sent after that.
const WATCHED: Duration = Duration::from_millis(900);
/// Time within which a change of the roster is known while the store answers, on a loaded machine.
const KNOWN_WITHIN: Duration = Duration::from_secs(1);

/// Time within which an entry calls the store again after a cut: a call that hangs, and a pause.
const RECONNECTED_WITHIN: Duration = Duration::from_secs(1);

/// Gateways, of which the first reaches the store by the path.
async fn start_fleet(gateways: usize) -> (TestFleet, StorePath) {
    let mut fleet = TestFleet::start().await;
    for index in 0..2 {
        fleet.add_service(&format!("s-{index}")).await;
    }
    let path = StorePath::start(fleet.store.address()).await;
    fleet.store_address = path.address();
    fleet.add_gateway().await;
    fleet.store_address = fleet.store.address();
    for _ in 1..gateways {
        fleet.add_gateway().await;
    }
    time::sleep(CONTACT).await;
    (fleet, path)
}

/// Sends requests at the first gateway for a while; returns how many reached the first server.
async fn count_arrivals(fleet: &TestFleet, name: &str, duration: Duration) -> usize {
    let before = fleet.services[0].arrivals().len();
    let ends = Instant::now() + duration;
    let mut number = 0;
    while Instant::now() < ends {
        let request = plain("POST", "/order/a", &format!("{name}-{number}"));
        call(fleet.callers(0), request).await;
        time::sleep(Duration::from_millis(40)).await;
        number += 1;
    }
    fleet.services[0].arrivals().len() - before
}

/// Guards against a removal that was taken for a lapsed registration because this entry alone had
/// been cut off from the store.
#[tokio::test]
async fn server_removed_after_a_cut_of_one_entry_is_unused_at_once() {
    let (fleet, path) = start_fleet(2).await;
    path.cut();
    time::sleep(CUT).await;
    path.heal();
    time::sleep(Duration::from_millis(100)).await;

    fleet.store.remove("servers", "s-0");
    time::sleep(RECONNECTED_WITHIN + KNOWN_WITHIN / 2).await;
    let arrivals = count_arrivals(&fleet, "after", DRAIN).await;

    assert_eq!(arrivals, 0, "requests reached a server that had left");
}

/// The same for a server that is removed while the entry is cut off.
#[tokio::test]
async fn server_removed_during_a_cut_of_one_entry_is_unused_once_it_is_over() {
    let (fleet, path) = start_fleet(2).await;
    path.cut();
    time::sleep(CUT / 2).await;
    fleet.store.remove("servers", "s-0");
    time::sleep(CUT / 2).await;
    path.heal();

    time::sleep(RECONNECTED_WITHIN + KNOWN_WITHIN / 2).await;
    let arrivals = count_arrivals(&fleet, "after", DRAIN).await;

    assert_eq!(arrivals, 0, "requests reached a server that had left");
}

/// Guards against a single call that failed and counted as an outage of the store.
#[tokio::test]
async fn server_removed_after_one_failed_read_is_unused_at_once() {
    let (fleet, _path) = start_fleet(1).await;
    fleet.store.set_fault(StoreFault::Reset);
    time::sleep(Duration::from_millis(20)).await;
    fleet.store.set_fault(StoreFault::None);
    time::sleep(Duration::from_millis(400)).await;

    fleet.store.remove("servers", "s-0");
    time::sleep(KNOWN_WITHIN).await;
    let arrivals = count_arrivals(&fleet, "after", DRAIN).await;

    assert_eq!(arrivals, 0, "requests reached a server that had left");
}

/// No entry can tell whether the store was away or all were cut off: a server that is missing then
/// may have lapsed, and is used no longer than that can be.
#[rstest]
#[case::busy(StoreFault::Busy)]
#[case::unresponsive(StoreFault::Unresponsive)]
#[case::reset(StoreFault::Reset)]
#[tokio::test]
async fn server_removed_after_all_entries_lost_the_store_is_unused_in_time(
    #[case] fault: StoreFault,
) {
    let (fleet, _path) = start_fleet(2).await;
    fleet.store.set_fault(fault);
    time::sleep(CUT).await;
    fleet.store.set_fault(StoreFault::None);
    let back = Instant::now();
    time::sleep(Duration::from_millis(100)).await;

    fleet.store.remove("servers", "s-0");
    let from = (back + CONTACT).max(Instant::now() + DRAIN);
    time::sleep_until(from).await;
    let arrivals = count_arrivals(&fleet, "after", WATCHED).await;

    assert_eq!(arrivals, 0, "requests reached a server that had left");
}

/// The counterpart: a server whose registration lapsed while the store was away gets requests.
#[tokio::test]
async fn server_that_lapsed_while_the_store_was_away_is_used_until_it_is_back() {
    let (fleet, _path) = start_fleet(2).await;
    fleet.store.set_fault(StoreFault::Busy);
    time::sleep(CUT).await;
    fleet.store.remove("servers", "s-0");
    fleet.store.remove("servers", "s-1");
    fleet.store.set_fault(StoreFault::None);
    time::sleep(Duration::from_millis(700)).await;

    let outcome = fleet.call(plain("POST", "/order/a", "lapsed")).await;
    fleet.register_service("s-0", fleet.services[0].address());
    time::sleep(CONTACT).await;
    let arrivals = count_arrivals(&fleet, "after", WATCHED).await;

    assert_eq!(outcome.status(), 200, "{outcome:?}");
    assert!(arrivals > 0, "the server has registered again");
}
