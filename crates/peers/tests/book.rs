//! Who is live, and who plans.

use std::net::SocketAddr;

use base::prelude::*;
use peers::{PeerBook, PeerNews, PlannerIdentity};

fn vm(name: &str) -> VmId {
    name.parse().expect("a valid name")
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], port))
}

fn planner(port: u16) -> PlannerIdentity {
    PlannerIdentity { address: address(port), incarnation: ProcessIncarnation(1) }
}

fn hear(book: &mut PeerBook, name: &str, core_share: u32, is_draining: bool, now: Instant) {
    let incarnation = ProcessIncarnation(1);
    book.hear(vm(name), address(1), incarnation, core_share, is_draining, now);
}

#[test]
fn a_silent_entry_is_lost_and_found_again() {
    let now = Instant::now();
    let mut book = PeerBook::new(vm("a"), 190);
    hear(&mut book, "b", 190, false, now);

    let found = book.review(now);
    let lost = book.review(now + Duration::from_secs(3));
    hear(&mut book, "b", 190, false, now + Duration::from_secs(4));
    let again = book.review(now + Duration::from_secs(4));

    assert_eq!(found, [PeerNews::Found(vm("b"))]);
    assert_eq!(lost, [PeerNews::Lost(vm("b"))]);
    assert_eq!(again, [PeerNews::Found(vm("b"))]);
}

#[test]
fn an_entry_that_was_only_told_of_is_not_live() {
    let now = Instant::now();
    let mut book = PeerBook::new(vm("a"), 190);

    book.meet(vm("b"), address(2), now);

    assert!(book.review(now).is_empty());
    assert_eq!(book.live_entries(), 1);
    assert_eq!(book.addresses(), [address(2)]);
}

#[test]
fn the_entry_with_the_most_processor_time_plans() {
    let now = Instant::now();
    let mut small = PeerBook::new(vm("z"), 90);
    let mut large = PeerBook::new(vm("a"), 500);
    hear(&mut small, "a", 500, false, now);
    hear(&mut large, "z", 90, false, now);

    small.review(now);
    large.review(now);

    assert_eq!(small.planner(), Some(planner(1)));
    assert_eq!(large.planner(), None);
}

#[test]
fn an_entry_that_stops_does_not_plan() {
    let now = Instant::now();
    let mut stopping = PeerBook::new(vm("b"), 190);
    let mut other = PeerBook::new(vm("a"), 190);
    hear(&mut stopping, "a", 190, false, now);
    hear(&mut other, "b", 190, true, now);

    stopping.review(now);
    other.review(now);
    stopping.drain();

    assert_eq!(stopping.planner(), Some(planner(1)));
    assert!(stopping.is_draining());
    assert_eq!(other.planner(), None);
}

#[test]
fn only_the_first_beat_of_a_process_is_news() {
    let now = Instant::now();
    let mut book = PeerBook::new(vm("a"), 190);
    let mut hear = |incarnation| {
        book.hear(vm("b"), address(1), ProcessIncarnation(incarnation), 190, false, now)
    };

    let news = [hear(1), hear(1), hear(2)];

    assert_eq!(news, [true, false, true]);
}

#[test]
fn entries_are_unheard_until_their_first_beat() {
    let now = Instant::now();
    let mut book = PeerBook::new(vm("a"), 190);
    book.meet(vm("b"), address(1), now);
    book.meet(vm("c"), address(2), now);

    hear(&mut book, "b", 190, false, now);

    assert_eq!(book.unheard(), [address(2)]);
}

/// Load pattern: a fleet of hundreds of entries. What a beat tells must not grow with them.
#[test]
fn beats_tell_of_a_few_entries_at_a_time_and_of_all_in_turn() {
    let now = Instant::now();
    let mut book = PeerBook::new(vm("own"), 190);
    let names: Vec<String> = (0..100).map(|number| format!("entry-{number:02}")).collect();
    names.iter().for_each(|name| hear(&mut book, name, 190, false, now));
    book.review(now);

    let beats: Vec<Vec<String>> = (0..13)
        .map(|_| book.next_told().into_iter().map(|(vm, _)| vm.to_string()).collect())
        .collect();

    assert!(beats.iter().all(|told| told.len() <= 8));
    let mut told: Vec<String> = beats.into_iter().flatten().collect();
    told.sort();
    told.dedup();
    assert_eq!(told, names);
}
