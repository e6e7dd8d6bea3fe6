//! Invariants of the queue on random histories, and the effect of each check.

mod replay;

use admission::{AdmissionChecks, AdmissionQueue};
use base::prelude::*;
use replay::{
    Arrival, EndKind, FifoQueue, LONG_PERCENT, ReplayQueue, ReplayRecord, history, long, policy,
    replay, short,
};

const SEEDS: std::ops::Range<u64> = 0..40;
const SLOTS: u32 = 6;

fn with_all_checks() -> ReplayQueue {
    ReplayQueue::with_checks(AdmissionChecks::default())
}

/// Number of requests that were refused after their deadline or left unfinished.
fn late_refusals(record: &ReplayRecord, arrivals: &[Arrival]) -> usize {
    let late = |ending: &&replay::Ending| {
        let refused = matches!(ending.kind, EndKind::Refused(_) | EndKind::Unfinished);
        refused && ending.after > arrivals[ending.id].timeout
    };
    record.endings.iter().filter(late).count()
}

fn longest_wait(record: &ReplayRecord, arrivals: &[Arrival], customer: &str) -> Duration {
    let waits = arrivals.iter().enumerate().filter(|(_, a)| a.customer == customer);
    let wait = |(id, a): (usize, &Arrival)| {
        record.granted.get(&id).map_or(a.timeout, |at| at.saturating_sub(a.at))
    };
    waits.map(wait).max().unwrap()
}

#[test]
fn every_request_ends_once_and_refusals_are_in_time() {
    for seed in SEEDS {
        let arrivals = history(seed);

        let record = replay(with_all_checks(), SLOTS, &arrivals);

        assert_eq!(record.endings.len(), arrivals.len(), "seed {seed}");
        assert_eq!(late_refusals(&record, &arrivals), 0, "seed {seed}");
        for ending in &record.endings {
            assert_ne!(ending.kind, EndKind::Unfinished, "seed {seed}");
            if let EndKind::Refused(code) = ending.kind {
                assert_eq!(code.run_state(), RunState::NotRun, "seed {seed}");
                assert!(!record.granted.contains_key(&ending.id), "seed {seed}");
            }
        }
    }
}

#[test]
fn slots_and_queues_stay_within_limits() {
    for seed in SEEDS {
        let record = replay(with_all_checks(), SLOTS, &history(seed));

        assert!(record.peak_running <= SLOTS as usize, "seed {seed}");
        assert!(record.peak_long <= (SLOTS * LONG_PERCENT / 100) as usize, "seed {seed}");
        assert!(record.peak_waiting <= policy().total_limit, "seed {seed}");
    }
}

#[test]
fn answers_more_in_time_than_fifo() {
    let mut sums = [0, 0];
    for seed in SEEDS {
        let arrivals = history(seed);

        sums[0] += replay(with_all_checks(), SLOTS, &arrivals).answered_in_time(&arrivals);
        sums[1] += replay(ReplayQueue::Fifo(FifoQueue::default()), SLOTS, &arrivals)
            .answered_in_time(&arrivals);
    }

    assert!(sums[0] > sums[1], "{sums:?}");
}

fn flood() -> Vec<Arrival> {
    let flood = (0..300).map(|_| short(0, "flooder"));
    let others = (1..20).map(|i| short(i * 200, "quiet"));
    let mut arrivals: Vec<Arrival> = flood.chain(others).collect();
    arrivals.iter_mut().for_each(|arrival| arrival.timeout = Duration::from_secs(20));
    arrivals
}

#[test]
fn flooding_customer_does_not_starve_others() {
    let arrivals = flood();

    let fair = replay(with_all_checks(), 2, &arrivals);
    let checks = AdmissionChecks { fair_shares: false, ..AdmissionChecks::default() };
    let unfair = replay(ReplayQueue::with_checks(checks), 2, &arrivals);

    assert!(longest_wait(&fair, &arrivals, "quiet") <= Duration::from_millis(400));
    assert!(longest_wait(&unfair, &arrivals, "quiet") > Duration::from_millis(1000));
}

#[test]
fn flood_is_bounded_by_customer_limit() {
    let arrivals = flood();

    let bounded = replay(with_all_checks(), 2, &arrivals);
    let checks = AdmissionChecks { bounded_queues: false, ..AdmissionChecks::default() };
    let unbounded = replay(ReplayQueue::with_checks(checks), 2, &arrivals);

    let full = EndKind::Refused(ResultCode::QueueFull);
    assert_eq!(bounded.ending(299).kind, full);
    assert!(bounded.peak_waiting <= 100);
    assert!(unbounded.peak_waiting > 150);
}

#[test]
fn grants_follow_customer_shares() {
    let mut arrivals = Vec::new();
    for _ in 0..40 {
        arrivals.push(Arrival { share: 3, ..short(0, "large") });
        arrivals.push(Arrival { share: 1, ..short(0, "small") });
    }

    let record = replay(with_all_checks(), 1, &arrivals);

    let early = |customer: &str| {
        let granted = record.granted.iter().filter(|(_, at)| **at < Duration::from_millis(1600));
        granted.filter(|(id, _)| arrivals[**id].customer == customer).count()
    };
    assert!((11..=13).contains(&early("large")), "{}", early("large"));
    assert!((3..=5).contains(&early("small")), "{}", early("small"));
}

#[test]
fn short_requests_do_not_wait_for_long_ones() {
    let reports = (0..30).map(|_| long(0, "reports"));
    let lookups = (1..50).map(|i| short(i * 100, "counter"));
    let arrivals: Vec<Arrival> = reports.chain(lookups).collect();

    let reserved = replay(with_all_checks(), 4, &arrivals);
    let checks = AdmissionChecks { short_reserve: false, ..AdmissionChecks::default() };
    let shared = replay(ReplayQueue::with_checks(checks), 4, &arrivals);

    assert_eq!(longest_wait(&reserved, &arrivals, "counter"), Duration::ZERO);
    assert!(longest_wait(&shared, &arrivals, "counter") >= Duration::from_secs(1));
}

#[test]
fn unmeetable_deadline_is_refused_at_once() {
    let mut arrivals: Vec<Arrival> = (0..30).map(|_| short(0, "ada")).collect();
    arrivals.push(Arrival { timeout: Duration::from_millis(500), ..short(1, "ada") });

    let early = replay(with_all_checks(), 1, &arrivals).ending(30);
    let checks = AdmissionChecks { early_refusal: false, ..AdmissionChecks::default() };
    let late = replay(ReplayQueue::with_checks(checks), 1, &arrivals).ending(30);

    assert_eq!(early.kind, EndKind::Refused(ResultCode::DeadlineUnmeetable));
    assert_eq!(early.after, Duration::ZERO);
    assert_eq!(late.kind, EndKind::Refused(ResultCode::DeadlinePassed));
    assert!(late.after >= Duration::from_millis(300));
}

#[test]
fn waiting_request_is_refused_before_deadline() {
    let blocker = Arrival { service: Duration::from_secs(30), ..short(0, "ada") };
    let arrivals = [blocker, short(1, "ben")];

    let timely = replay(with_all_checks(), 1, &arrivals).ending(1);
    let checks = AdmissionChecks { timely_expiry: false, ..AdmissionChecks::default() };
    let untimely = replay(ReplayQueue::with_checks(checks), 1, &arrivals);

    assert_eq!(timely.kind, EndKind::Refused(ResultCode::DeadlinePassed));
    assert!(timely.after < arrivals[1].timeout);
    assert!(untimely.ending(1).after > arrivals[1].timeout);
}

#[test]
fn low_priority_is_granted_by_ageing() {
    let stream = (0..200).map(|i| Arrival { priority: 0, ..short(i * 90, "reports") });
    let mut arrivals: Vec<Arrival> = stream.collect();
    arrivals.push(Arrival { priority: 2, ..short(500, "notes") });

    let aged = replay(with_all_checks(), 1, &arrivals).ending(200);
    let checks =
        AdmissionChecks { ageing: false, early_refusal: false, ..AdmissionChecks::default() };
    let strict = replay(ReplayQueue::with_checks(checks), 1, &arrivals).ending(200);

    assert_eq!(aged.kind, EndKind::Answered);
    assert_eq!(strict.kind, EndKind::Refused(ResultCode::DeadlinePassed));
}

#[test]
fn repeated_offer_is_admitted_once() {
    let start = Instant::now();
    let mut queue = AdmissionQueue::new(policy());
    let request = replay::request(0, &short(0, "ada"), start);
    let offer = admission::AdmissionEvent::Offer(request);
    queue.handle(admission::AdmissionEvent::Resize(admission::SlotTotal(1)), start);

    let first = queue.handle(offer.clone(), start);
    let again = queue.handle(offer, start);

    assert_eq!(first.len(), 1);
    assert_eq!(again, []);
    assert_eq!(queue.counts().short_running, 1);
}

#[test]
fn cold_model_refuses_deadline_before_ready() {
    let start = Instant::now();
    let mut queue = AdmissionQueue::new(policy());
    let ready = start + Duration::from_secs(10);
    let soon = replay::request(0, &short(0, "ada"), start);
    let long_timeout = Arrival { timeout: Duration::from_secs(30), ..short(0, "ada") };
    let later = replay::request(1, &long_timeout, start);
    queue.handle(admission::AdmissionEvent::ExpectReady(Some(ready)), start);

    let refused = queue.handle(admission::AdmissionEvent::Offer(soon), start);
    let queued = queue.handle(admission::AdmissionEvent::Offer(later), start);
    let resize = admission::AdmissionEvent::Resize(admission::SlotTotal(1));
    let granted = queue.handle(resize, ready);

    let code = ResultCode::DeadlineUnmeetable;
    assert_eq!(refused, [admission::AdmissionAction::Refuse { id: replay::attempt(0), code }]);
    assert_eq!(queued, []);
    assert_eq!(granted.len(), 1);
}
