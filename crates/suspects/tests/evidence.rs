//! Which crashes count as evidence against a request.

mod common;

use std::time::Duration;

use common::{keys, seconds, sighting};
use suspects::{
    AnsweredKeys, CRASHES_TO_BLOCK, CrashSighting, EvidenceTable, SuspectKeys,
    feedback::{MAX_FEEDBACK_DELAY, feedback_delay},
};
use tokio::time::Instant;

/// Counts a crash without any answers; returns the keys that are found.
fn record_crash(table: &mut EvidenceTable, sighting: &CrashSighting) -> SuspectKeys {
    let found = table.record_crash(sighting, &AnsweredKeys::default(), sighting.crashed);
    found.map(|found| found.keys).unwrap_or_default()
}

#[test]
fn request_in_flight_at_one_crash_after_the_other_is_found() {
    let start = Instant::now();
    let mut table = EvidenceTable::default();

    let found: Vec<SuspectKeys> = (0..CRASHES_TO_BLOCK)
        .map(|number| {
            let sent = start + seconds(f64::from(number));
            record_crash(&mut table, &sighting(&[7], sent, sent + seconds(0.1)))
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
        record_crash(&mut table, &sighting(&[7], start, crashed));
    }

    assert_eq!(table.crashes(7.into()), 1);
}

#[test]
fn answer_between_two_crashes_clears_the_request() {
    let start = Instant::now();
    let mut table = EvidenceTable::default();

    for number in 0..10 {
        let sent = start + seconds(f64::from(number));
        let found = record_crash(&mut table, &sighting(&[7], sent, sent + seconds(0.1)));
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
        record_crash(&mut table, &sighting(&[7], sent, sent + seconds(0.1)));
        assert_eq!(table.crashes(7.into()), 1, "crash {number}");
    }
}

#[test]
fn memory_is_bounded_and_the_newest_evidence_is_kept() {
    let start = Instant::now();
    let mut table = EvidenceTable::default();

    for key in 0..5_000 {
        let crashed = start + Duration::from_millis(key);
        record_crash(&mut table, &sighting(&[key], start, crashed));
    }

    let known = (0..5_000).filter(|key| table.crashes((*key).into()) > 0).count();
    assert_eq!(known, 1_024);
    assert_eq!(table.crashes(4_999.into()), 1);
}

#[test]
fn answer_that_the_reporting_entry_saw_clears_a_key() {
    let start = Instant::now();
    let mut table = EvidenceTable::default();

    for number in 0..10 {
        let sent = start + seconds(f64::from(number));
        let (shared, deadly) = (1, 7);
        let report = CrashSighting {
            answered: vec![(shared.into(), sent)],
            ..sighting(&[shared, deadly], sent + seconds(0.1), sent + seconds(0.2))
        };
        let found = record_crash(&mut table, &report);
        let expected = if number < 2 { keys(&[]) } else { keys(&[deadly]) };
        assert_eq!(found, expected, "crash {number}");
    }
}

#[test]
fn key_of_a_request_answered_while_another_was_in_flight_is_no_suspect() {
    let start = Instant::now();
    let (mut table, mut answered) = (EvidenceTable::default(), AnsweredKeys::default());

    answered.record(&keys(&[1]), start + seconds(0.5));
    table.record_crash(&sighting(&[1], start, start + seconds(1.0)), &answered, start);

    assert_eq!(table.crashes(1.into()), 0);
}

#[test]
fn delays_of_many_entries_leave_few_short_ones() {
    let count = 2_600;
    let delays: Vec<Duration> = (1..=count)
        .map(|entry| feedback_delay(f64::from(entry) / f64::from(count), count as usize))
        .collect();

    let first = delays.iter().min().expect("there are some");
    let early = delays.iter().filter(|delay| **delay < *first + Duration::from_millis(4)).count();
    assert!(early <= 10, "{early} objections before the first can be passed on");
    assert!(delays.iter().all(|delay| *delay <= MAX_FEEDBACK_DELAY));
}
