//! Which outages of the store excuse that a registration is missing, and until when.

use base::prelude::*;
use roster::{
    BackendServer, FailedRead, IncarnationStart, InstanceId, Roster, RosterChange, RosterUpdate,
    ServerState,
};
use rstest::rstest;

fn id() -> InstanceId {
    "a".parse().expect("a valid name")
}

fn ready_server() -> BackendServer {
    BackendServer {
        id: id(),
        started: Some(IncarnationStart(1)),
        check_ins: None,
        service: "reports".parse().expect("a valid name"),
        software: "v1".parse().expect("any text"),
        address: "10.0.0.1:80".parse().expect("an address"),
        zone: "a".parse().expect("a valid name"),
        slots: 8,
        state: ServerState::Ready,
        slow_start_left: Duration::ZERO,
        residents: Vec::new(),
    }
}

/// A roster with one server, read at `now`.
fn start_roster(now: Instant) -> Roster {
    let mut roster = Roster::default();
    roster.record_store_answer(now);
    roster.apply_snapshot(vec![ready_server()], now);
    roster
}

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Guards against a removal that was taken for a lapsed registration after any failed read.
#[rstest]
#[case::one_failed_read(&[0])]
#[case::reads_that_fail_in_turn(&[0, 300, 600, 900])]
#[case::just_too_short(&[0, 950, 1_700])]
fn short_outage_excuses_no_missing_registration(#[case] failed_ms: &[u64]) {
    let now = Instant::now();
    let mut roster = start_roster(now);
    for sent in failed_ms.iter().map(|after| now + millis(*after)) {
        let read = FailedRead { sent, last_seen: None };
        roster.record_store_failure(read, sent + millis(50));
    }
    let back = now + millis(failed_ms[failed_ms.len() - 1] + 290);
    roster.record_store_answer(back);

    let update = roster.apply_change(RosterChange::Removed(id()), back + millis(10));

    assert_eq!(update, Some(RosterUpdate::Removed(id())));
}

/// Guards against a cut of this entry alone that counted as an outage of the store.
#[rstest]
#[case::seen_between_two_failed_reads(1_500, RosterUpdate::Removed(id()))]
#[case::seen_before_the_first_failed(600, RosterUpdate::Lapsed(id()))]
#[case::told_late_by_another_entry(900, RosterUpdate::Lapsed(id()))]
fn outage_in_which_another_entry_read_the_store_excuses_none(
    #[case] seen_ms: u64,
    #[case] expected: RosterUpdate,
) {
    let now = Instant::now();
    let mut roster = start_roster(now);
    for sent in [0, 950, 1_900, 2_850, 3_800] {
        let seen = now + millis(seen_ms);
        let sent = now + millis(sent);
        let last_seen = (seen <= sent).then_some(seen);
        roster.record_store_failure(FailedRead { sent, last_seen }, sent + millis(700));
    }
    let back = now + millis(4_760);
    roster.record_store_answer(back);

    let update = roster.apply_change(RosterChange::Removed(id()), back);

    assert_eq!(update, Some(expected));
}

/// Guards against a grace period counted from the first answer, which may come a second after the
/// store was back.
#[test]
fn grace_period_begins_when_the_store_was_back_at_the_earliest() {
    let now = Instant::now();
    let mut roster = start_roster(now);
    let last_sent = now + millis(4_000);
    for sent in [now, last_sent] {
        roster.record_store_failure(FailedRead { sent, last_seen: None }, sent + millis(700));
    }
    let back = last_sent + millis(960);
    roster.record_store_answer(back);
    let update = roster.apply_change(RosterChange::Removed(id()), back + millis(500));

    let early = roster.expire(last_sent + millis(1_999));
    let due = roster.expire(last_sent + millis(2_000));

    assert_eq!(update, Some(RosterUpdate::Lapsed(id())));
    assert!(early.is_empty());
    assert_eq!(due, [RosterUpdate::Removed(id())]);
}

/// What the store lists after the grace period is final.
#[test]
fn removal_after_the_grace_period_is_immediate() {
    let now = Instant::now();
    let mut roster = start_roster(now);
    for sent in [now, now + millis(4_000)] {
        roster.record_store_failure(FailedRead { sent, last_seen: None }, sent + millis(700));
    }
    roster.record_store_answer(now + millis(4_960));

    let update = roster.apply_change(RosterChange::Removed(id()), now + millis(6_000));

    assert_eq!(update, Some(RosterUpdate::Removed(id())));
}
