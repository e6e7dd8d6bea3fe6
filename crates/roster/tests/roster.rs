//! Who is registered, who leaves, and who is gone.

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

fn standing(roster: &Roster, name: &str) -> Option<RosterStatus> {
    roster.get(&id(name)).map(|(_, standing)| standing)
}

#[test]
fn a_listing_replaces_what_was_known() {
    let now = Instant::now();
    let mut roster = Roster::default();
    roster.apply_snapshot(vec![ready("a"), ready("b")], now);

    let news = roster.apply_snapshot(vec![ready("b"), ready("c")], now);

    assert_eq!(news, [RosterUpdate::Joined(id("c")), RosterUpdate::Removed(id("a"))]);
    assert_eq!(standing(&roster, "a"), None);
}

#[test]
fn an_entry_that_did_not_change_is_no_news() {
    let now = Instant::now();
    let mut roster = Roster::default();
    roster.apply_snapshot(vec![ready("a")], now);

    assert!(roster.apply_snapshot(vec![ready("a")], now).is_empty());
}

#[test]
fn a_leaving_server_is_told_once() {
    let now = Instant::now();
    let mut roster = Roster::default();
    roster.apply_snapshot(vec![ready("a")], now);
    let leaving = server("a", ServerState::Draining { remaining: None });

    let news = roster.apply_change(RosterChange::Listed(Box::new(leaving.clone())), now);
    let again = roster.apply_change(RosterChange::Listed(Box::new(leaving)), now);

    assert_eq!(news, Some(RosterUpdate::Draining(id("a"))));
    assert_eq!(again, None);
    assert_eq!(standing(&roster, "a"), Some(RosterStatus::Draining));
}

#[test]
fn a_removed_entry_is_gone_at_once_while_the_store_answers() {
    let now = Instant::now();
    let mut roster = Roster::default();
    roster.apply_snapshot(vec![ready("a")], now);

    let news = roster.apply_change(RosterChange::Removed(id("a")), now);

    assert_eq!(news, Some(RosterUpdate::Removed(id("a"))));
}

/// Load pattern: entries lapse while the store is away. The servers live, and are back in the
/// store two seconds after it is.
#[test]
fn a_server_whose_entry_lapsed_in_an_outage_takes_work_until_it_had_time_to_return() {
    let now = Instant::now();
    let mut roster = Roster::default();
    roster.apply_snapshot(vec![ready("a"), ready("b")], now);
    roster.record_store_loss(now);
    let back = now + Duration::from_secs(10);
    roster.record_store_recovery(back);

    let news = roster.apply_snapshot(vec![], back);
    let returned = roster.apply_change(
        RosterChange::Listed(Box::new(ready("a"))),
        back + Duration::from_millis(1_500),
    );
    let early = roster.expire(back + Duration::from_millis(1_900));
    let late = roster.expire(back + Duration::from_millis(2_000));

    assert_eq!(news, [RosterUpdate::Lapsed(id("a")), RosterUpdate::Lapsed(id("b"))]);
    assert_eq!(returned, Some(RosterUpdate::Changed(id("a"))));
    assert!(early.is_empty());
    assert_eq!(late, [RosterUpdate::Removed(id("b"))]);
    assert_eq!(standing(&roster, "a"), Some(RosterStatus::Ready));
}

#[test]
fn a_server_that_was_leaving_before_an_outage_gets_no_time_to_return() {
    let now = Instant::now();
    let mut roster = Roster::default();
    roster.apply_snapshot(vec![server("a", ServerState::Draining { remaining: None })], now);
    roster.record_store_loss(now);
    roster.record_store_recovery(now + Duration::from_secs(5));

    let news = roster.apply_snapshot(vec![], now + Duration::from_secs(5));

    assert_eq!(news, [RosterUpdate::Removed(id("a"))]);
}

#[test]
fn a_second_removal_does_not_lengthen_the_time() {
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
