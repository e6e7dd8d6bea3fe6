//! Tests of the roster: listings, draining, and the grace period after a store outage.

use base::prelude::*;
use roster::{
    BackendServer, IncarnationStart, InstanceId, Roster, RosterChange, RosterStatus, RosterUpdate,
    ServerState,
};

fn id(name: &str) -> InstanceId {
    name.parse().expect("a valid name")
}

fn server(name: &str, state: ServerState) -> BackendServer {
    BackendServer {
        id: id(name),
        started: Some(IncarnationStart(1)),
        service: "reports".parse().expect("a valid name"),
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
    roster.apply_snapshot(vec![ready("a"), ready("b")], now);
    roster.record_store_loss(now);
    let recovered = now + Duration::from_secs(10);
    roster.record_store_recovery(recovered);

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
    roster.apply_snapshot(vec![server("a", ServerState::Draining { remaining: None })], now);
    roster.record_store_loss(now);
    roster.record_store_recovery(now + Duration::from_secs(5));

    let updates = roster.apply_snapshot(vec![], now + Duration::from_secs(5));

    assert_eq!(updates, [RosterUpdate::Removed(id("a"))]);
}

#[test]
fn second_removal_does_not_extend_the_grace_period() {
    let now = Instant::now();
    let mut roster = Roster::default();
    roster.apply_snapshot(vec![ready("a")], now);
    roster.record_store_loss(now);
    roster.record_store_recovery(now);
    roster.apply_change(RosterChange::Removed(id("a")), now);
    let expiry = roster.next_expiry();

    roster.apply_change(RosterChange::Removed(id("a")), now + Duration::from_secs(1));

    assert_eq!(roster.next_expiry(), expiry);
}
