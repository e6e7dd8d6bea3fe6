//! Which crashes count as evidence against a request.

mod common;

use std::time::Duration;

use common::{keys, seconds, sighting};
use suspects::{CRASHES_TO_BLOCK, EvidenceTable, SuspectKeys};
use tokio::time::Instant;

#[test]
fn request_in_flight_at_one_crash_after_the_other_is_found() {
    let start = Instant::now();
    let mut table = EvidenceTable::default();

    let found: Vec<SuspectKeys> = (0..CRASHES_TO_BLOCK)
        .map(|number| {
            let sent = start + seconds(f64::from(number));
            table.record_crash(&sighting(&[7], sent, sent + seconds(0.1)), sent)
        })
        .collect();

    assert_eq!(found, [keys(&[]), keys(&[]), keys(&[7])]);
}

#[test]
fn servers_that_fail_together_count_once() {
    let start = Instant::now();
    let mut table = EvidenceTable::default();

    for server in 0..20 {
        let crashed = start + Duration::from_millis(100 + server);
        table.record_crash(&sighting(&[7], start, crashed), crashed);
    }

    assert_eq!(table.crashes(7.into()), 1);
}

#[test]
fn answer_between_two_crashes_clears_the_request() {
    let start = Instant::now();
    let mut table = EvidenceTable::default();

    for number in 0..10 {
        let sent = start + seconds(f64::from(number));
        let found = table.record_crash(&sighting(&[7], sent, sent + seconds(0.1)), sent);
        table.record_answer(&keys(&[7]));
        assert!(found.is_empty(), "crash {number}");
    }
}

#[test]
fn old_crashes_are_forgotten() {
    let start = Instant::now();
    let mut table = EvidenceTable::default();

    for number in 0..5 {
        let sent = start + seconds(700.0) * number;
        table.record_crash(&sighting(&[7], sent, sent + seconds(0.1)), sent + seconds(0.1));
        assert_eq!(table.crashes(7.into()), 1, "crash {number}");
    }
}

#[test]
fn memory_is_bounded_and_the_newest_evidence_is_kept() {
    let start = Instant::now();
    let mut table = EvidenceTable::default();

    for key in 0..5_000 {
        let crashed = start + Duration::from_millis(key);
        table.record_crash(&sighting(&[key], start, crashed), crashed);
    }

    let known = (0..5_000).filter(|key| table.crashes((*key).into()) > 0).count();
    assert_eq!(known, 1_024);
    assert_eq!(table.crashes(4_999.into()), 1);
}
