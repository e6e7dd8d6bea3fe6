//! Tests of the roster: listings, draining, and the grace period after a store outage.

use base::prelude::*;
use roster::{
    BackendServer, CheckInCount, FailedRead, IncarnationStart, InstanceId, Roster, RosterChange,
    RosterStatus, RosterUpdate, ServerState, StoreEra,
};
use rstest::rstest;

fn id(name: &str) -> InstanceId {
    name.parse().expect("a valid name")
}

fn server(name: &str, state: ServerState) -> BackendServer {
    BackendServer {
        id: id(name),
        started: Some(IncarnationStart(1)),
        check_ins: None,
        service: "reports".parse().expect("a valid name"),
        software: "v1".parse().expect("any text"),
        address: "10.0.0.1:80".parse().expect("an address"),
        zone: "a".parse().expect("a valid name"),
        slots: 8,
        state,
        slow_start_left: Duration::ZERO,
        residents: Vec::new(),
    }
}

fn ready(name: &str) -> BackendServer {
    server(name, ServerState::Ready)
}

/// Reads fail from `first` on, the last one being sent and failing at `last`.
fn lose_store(roster: &mut Roster, first: Instant, last: Instant) {
    for sent in [first, last] {
        roster.record_store_failure(FailedRead { sent, last_seen: None }, sent);
    }
}

fn status(roster: &Roster, name: &str) -> Option<RosterStatus> {
    roster.get(&id(name)).map(|(_, status)| status)
}

#[test]
fn listing_replaces_known_servers() {
    let now = Instant::now();
    let mut roster = Roster::default();
    roster.apply_snapshot(vec![ready("a"), ready("b")], now);

    let updates = roster.apply_snapshot(vec![ready("b"), ready("c")], now);

    assert_eq!(updates, [RosterUpdate::Joined(id("c")), RosterUpdate::Removed(id("a"))]);
    assert_eq!(status(&roster, "a"), None);
}

#[rstest]
#[case::up_to_its_last_name(Some("c"), vec![RosterUpdate::Removed(id("a"))], &["b", "c", "d"])]
#[case::in_another_order(None, vec![], &["a", "b", "c", "d"])]
fn incomplete_listing_replaces_the_servers_that_it_has_passed(
    #[case] read_up_to: Option<&str>,
    #[case] removals: Vec<RosterUpdate>,
    #[case] left: &[&str],
) {
    let now = Instant::now();
    let mut roster = Roster::default();
    roster.apply_snapshot(vec![ready("a"), ready("b"), ready("d")], now);

    let updates = roster.apply_partial(vec![ready("b"), ready("c")], read_up_to, now);

    assert_eq!(updates, [vec![RosterUpdate::Joined(id("c"))], removals].concat());
    assert_eq!(roster.servers().map(|(known, _)| known.id.as_str()).collect::<Vec<_>>(), left);
}

#[test]
fn unchanged_registration_yields_no_update() {
    let now = Instant::now();
    let mut roster = Roster::default();
    roster.apply_snapshot(vec![ready("a")], now);

    assert!(roster.apply_snapshot(vec![ready("a")], now).is_empty());
}

#[test]
fn draining_is_reported_once() {
    let now = Instant::now();
    let mut roster = Roster::default();
    roster.apply_snapshot(vec![ready("a")], now);
    let draining = server("a", ServerState::Draining { remaining: None });

    let update = roster.apply_change(RosterChange::Listed(Box::new(draining.clone())), now);
    let again = roster.apply_change(RosterChange::Listed(Box::new(draining)), now);

    assert_eq!(update, Some(RosterUpdate::Draining(id("a"))));
    assert_eq!(again, None);
    assert_eq!(status(&roster, "a"), Some(RosterStatus::Draining));
}

#[test]
fn removal_is_immediate_while_store_answers() {
    let now = Instant::now();
    let mut roster = Roster::default();
    roster.apply_snapshot(vec![ready("a")], now);

    let update = roster.apply_change(RosterChange::Removed(id("a")), now);

    assert_eq!(update, Some(RosterUpdate::Removed(id("a"))));
}

/// Registrations expire during a store outage although the servers run; the servers register again
/// within two seconds of its end.
#[test]
fn lapsed_server_is_kept_for_the_grace_period() {
    let now = Instant::now();
    let mut roster = Roster::default();
    roster.record_store_answer(now);
    roster.apply_snapshot(vec![ready("a"), ready("b")], now);
    let recovered = now + Duration::from_secs(10);
    lose_store(&mut roster, now, recovered);
    roster.record_store_answer(recovered);

    let updates = roster.apply_snapshot(vec![], recovered);
    let returned = roster.apply_change(
        RosterChange::Listed(Box::new(ready("a"))),
        recovered + Duration::from_millis(1_500),
    );
    let early = roster.expire(recovered + Duration::from_millis(1_900));
    let late = roster.expire(recovered + Duration::from_millis(2_000));

    assert_eq!(updates, [RosterUpdate::Lapsed(id("a")), RosterUpdate::Lapsed(id("b"))]);
    assert_eq!(returned, Some(RosterUpdate::Changed(id("a"))));
    assert!(early.is_empty());
    assert_eq!(late, [RosterUpdate::Removed(id("b"))]);
    assert_eq!(status(&roster, "a"), Some(RosterStatus::Ready));
}

#[test]
fn draining_server_gets_no_grace_period() {
    let now = Instant::now();
    let mut roster = Roster::default();
    roster.record_store_answer(now);
    roster.apply_snapshot(vec![server("a", ServerState::Draining { remaining: None })], now);
    lose_store(&mut roster, now, now + Duration::from_secs(5));
    roster.record_store_answer(now + Duration::from_secs(5));

    let updates = roster.apply_snapshot(vec![], now + Duration::from_secs(5));

    assert_eq!(updates, [RosterUpdate::Removed(id("a"))]);
}

#[test]
fn second_removal_does_not_extend_the_grace_period() {
    let now = Instant::now();
    let mut roster = Roster::default();
    roster.record_store_answer(now);
    roster.apply_snapshot(vec![ready("a")], now);
    let recovered = now + Duration::from_secs(5);
    lose_store(&mut roster, now, recovered);
    roster.record_store_answer(recovered);
    roster.apply_change(RosterChange::Removed(id("a")), recovered);
    let expiry = roster.next_expiry();

    roster.apply_change(RosterChange::Removed(id("a")), recovered + Duration::from_secs(1));

    assert!(expiry.is_some(), "its registration may have lapsed");
    assert_eq!(roster.next_expiry(), expiry);
}

fn counted(server: BackendServer, check_ins: Option<u64>) -> BackendServer {
    BackendServer { check_ins: check_ins.map(CheckInCount), ..server }
}

/// A roster in the first era of the store.
fn roster_with(servers: Vec<BackendServer>, now: Instant) -> Roster {
    let mut roster = Roster::default();
    roster.record_era(StoreEra(1), now);
    roster.apply_snapshot(servers, now);
    roster
}

#[rstest]
#[case::counted(Some(12), Some(9))]
#[case::not_written_since(Some(12), Some(12))]
#[case::not_counted(None, None)]
fn draining_server_is_not_made_ready_by_a_copy(
    #[case] known: Option<u64>,
    #[case] listed: Option<u64>,
) {
    let now = Instant::now();
    let draining = server("a", ServerState::Draining { remaining: None });
    let mut roster = roster_with(vec![counted(draining, known)], now);

    roster.record_era(StoreEra(2), now);
    let updates = roster.apply_snapshot(vec![counted(ready("a"), listed)], now);

    assert!(updates.is_empty(), "{updates:?}");
    assert_eq!(status(&roster, "a"), Some(RosterStatus::Draining));
}

#[rstest]
#[case::counted(Some(12), Some(9))]
#[case::not_counted(None, None)]
fn server_that_is_gone_is_not_brought_back_by_a_copy(
    #[case] known: Option<u64>,
    #[case] listed: Option<u64>,
) {
    let now = Instant::now();
    let mut roster = roster_with(vec![counted(ready("a"), known)], now);
    roster.apply_change(RosterChange::Removed(id("a")), now);

    roster.record_era(StoreEra(2), now);
    let updates = roster.apply_snapshot(vec![counted(ready("a"), listed)], now);

    assert!(updates.is_empty(), "{updates:?}");
    assert_eq!(status(&roster, "a"), None);
}

#[test]
fn server_that_has_registered_since_the_restore_is_used() {
    let now = Instant::now();
    let gone = counted(ready("gone"), Some(12));
    let draining = server("draining", ServerState::Draining { remaining: None });
    let mut roster = roster_with(vec![gone, counted(draining, Some(12))], now);
    roster.apply_change(RosterChange::Removed(id("gone")), now);

    roster.record_era(StoreEra(2), now);
    let listed = ["gone", "draining"].map(|name| counted(ready(name), Some(13)));
    let updates = roster.apply_snapshot(listed.to_vec(), now);

    let expected = [RosterUpdate::Joined(id("gone")), RosterUpdate::Changed(id("draining"))];
    assert_eq!(updates, expected);
}

#[test]
fn next_incarnation_of_a_server_that_is_gone_is_used() {
    let now = Instant::now();
    let mut roster = roster_with(vec![counted(ready("a"), Some(12))], now);
    roster.apply_change(RosterChange::Removed(id("a")), now);

    roster.record_era(StoreEra(2), now);
    let started = Some(IncarnationStart(2));
    let next = BackendServer { started, ..counted(ready("a"), Some(1)) };
    let updates = roster.apply_snapshot(vec![next], now);

    assert_eq!(updates, [RosterUpdate::Joined(id("a"))]);
}

/// Without a restore, the store alone says which servers there are.
#[test]
fn server_that_is_listed_again_in_the_same_era_is_used() {
    let now = Instant::now();
    let mut roster = roster_with(vec![counted(ready("a"), Some(12))], now);
    roster.apply_change(RosterChange::Removed(id("a")), now);

    let updates = roster.apply_snapshot(vec![counted(ready("a"), Some(12))], now);

    assert_eq!(updates, [RosterUpdate::Joined(id("a"))]);
}

/// The store was away so shortly that no call failed.
#[test]
fn server_that_a_copy_does_not_list_is_kept_for_the_grace_period() {
    let now = Instant::now();
    let mut roster = roster_with(vec![ready("a")], now);

    assert!(roster.record_era(StoreEra(2), now));
    let updates = roster.apply_snapshot(vec![], now);
    let expired = roster.expire(now + Duration::from_secs(2));

    assert_eq!(updates, [RosterUpdate::Lapsed(id("a"))]);
    assert_eq!(expired, [RosterUpdate::Removed(id("a"))]);
}

#[test]
fn count_of_registrations_alone_is_no_update() {
    let now = Instant::now();
    let mut roster = roster_with(vec![counted(ready("a"), Some(12))], now);

    assert!(roster.apply_snapshot(vec![counted(ready("a"), Some(13))], now).is_empty());
}

#[rstest]
#[case::counted(Some(12), Some(13))]
#[case::not_counted(None, None)]
fn server_that_registers_again_after_the_grace_period_is_used(
    #[case] known: Option<u64>,
    #[case] listed: Option<u64>,
) {
    let now = Instant::now();
    let mut roster = roster_with(vec![counted(ready("a"), known)], now);
    roster.record_era(StoreEra(2), now);
    roster.apply_snapshot(vec![], now);
    roster.expire(now + Duration::from_secs(2));

    let late = counted(ready("a"), listed);
    let update = roster.apply_change(RosterChange::Listed(Box::new(late)), now);

    assert_eq!(update, Some(RosterUpdate::Joined(id("a"))));
}

/// Guards against another writer's object that brought back a server that had left.
#[rstest]
#[case::that_is_gone(true)]
#[case::that_is_known(false)]
fn listing_without_a_start_says_nothing_of_a_known_server(#[case] is_gone: bool) {
    let now = Instant::now();
    let mut roster = Roster::default();
    roster.apply_snapshot(vec![ready("a")], now);
    if is_gone {
        roster.apply_change(RosterChange::Removed(id("a")), now);
    }
    let odd = BackendServer { started: None, slots: 1, ..ready("a") };

    let update = roster.apply_change(RosterChange::Listed(Box::new(odd)), now);

    assert_eq!(update, None);
    assert_eq!(status(&roster, "a").is_none(), is_gone);
}

/// The earlier one may have had another software version.
#[test]
fn copy_of_the_store_does_not_bring_back_an_earlier_incarnation() {
    let now = Instant::now();
    let incarnation = |started: u64, software: &str, check_ins: u64| BackendServer {
        started: Some(IncarnationStart(started)),
        software: software.parse().expect("any text"),
        ..counted(ready("a"), Some(check_ins))
    };
    let mut roster = Roster::default();
    roster.record_era(StoreEra(1), now);
    roster.apply_snapshot(vec![incarnation(1, "v1", 9)], now);
    roster.apply_snapshot(vec![incarnation(2, "v2", 1)], now);

    roster.record_era(StoreEra(2), now);
    let update = roster.apply_snapshot(vec![incarnation(1, "v1", 8)], now);

    let (known, _) = roster.get(&"a".parse().expect("a valid name")).expect("it is listed");
    assert_eq!((known.software.as_str(), update), ("v2", Vec::new()));
}
