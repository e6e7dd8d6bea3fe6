//! The account of bodies in memory, with the loads that once made a process run out of it.

use base::prelude::*;
use gateway::memory_budget::{
    BodyId, BudgetLimits, GrowthDecision, MIN_STALL, MemoryBudget, MemoryPurpose, SMALL_ANSWER,
    SMALL_BODY,
};
use rstest::rstest;

const LEGAL_BODY: ByteSize = ByteSize::mib(4);
const VM_MEMORY: ByteSize = ByteSize::mib(120);

fn budget() -> MemoryBudget {
    MemoryBudget::new(BudgetLimits::for_vm(VM_MEMORY))
}

fn grow(
    budget: &mut MemoryBudget,
    id: BodyId,
    size: ByteSize,
    now: Instant,
) -> (GrowthDecision, Vec<BodyId>) {
    let mut evicted = Vec::new();
    let decision = budget.grow(id, size, now, &mut evicted);
    (decision, evicted)
}

/// Opens bodies of `size` until one is refused; returns those that were granted.
fn fill(budget: &mut MemoryBudget, size: ByteSize, now: Instant) -> Vec<BodyId> {
    let mut open = Vec::new();
    loop {
        let id = budget.open(MemoryPurpose::RequestBody, now);
        if grow(budget, id, size, now).0 == GrowthDecision::Refused {
            budget.close(id);
            return open;
        }
        open.push(id);
    }
}

/// Guards against bodies of legal size that together exceed the memory of the VM.
#[test]
fn large_bodies_stay_within_the_budget() {
    let now = Instant::now();
    let mut budget = budget();

    let open = fill(&mut budget, LEGAL_BODY, now);

    assert!(!open.is_empty(), "a single one is read");
    let charged = budget.charged(MemoryPurpose::RequestBody);
    assert!(charged <= BudgetLimits::for_vm(VM_MEMORY).total, "{charged}");
}

/// Guards against ordinary requests that are refused while others use the memory.
#[test]
fn small_bodies_are_read_while_large_ones_fill_the_rest() {
    let now = Instant::now();
    let mut budget = budget();
    fill(&mut budget, LEGAL_BODY, now);
    fill(&mut budget, ByteSize(SMALL_BODY.0 + 1), now);

    let small = fill(&mut budget, SMALL_BODY, now);

    assert!(small.len() >= 100, "{}", small.len());
}

/// Guards against bodies that stop short of their end and keep others from being read.
#[test]
fn body_without_progress_for_the_longest_time_is_evicted() {
    let start = Instant::now();
    let mut budget = budget();
    let open = fill(&mut budget, LEGAL_BODY, start);
    let later = start + MIN_STALL;
    for id in open.iter().skip(2) {
        budget.record_progress(*id, later);
    }
    budget.record_progress(open[0], start + Duration::from_millis(1));

    let new = budget.open(MemoryPurpose::RequestBody, later);
    let outcome = grow(&mut budget, new, LEGAL_BODY, later);

    assert_eq!(outcome, (GrowthDecision::Granted, vec![open[1]]));
}

/// Guards against callers on slow links that lose their request to a new one.
#[test]
fn body_that_arrives_is_not_evicted() {
    let start = Instant::now();
    let mut budget = budget();
    fill(&mut budget, LEGAL_BODY, start);
    let now = start + MIN_STALL - Duration::from_millis(1);

    let new = budget.open(MemoryPurpose::RequestBody, now);

    assert_eq!(grow(&mut budget, new, LEGAL_BODY, now), (GrowthDecision::Refused, Vec::new()));
}

/// Guards against the eviction of requests that may be at work.
#[test]
fn complete_body_is_kept_until_it_is_closed() {
    let start = Instant::now();
    let mut budget = budget();
    let open = fill(&mut budget, LEGAL_BODY, start);
    open.iter().for_each(|id| budget.complete(*id));
    let later = start + MIN_STALL * 10;
    let new = budget.open(MemoryPurpose::RequestBody, later);

    let before = grow(&mut budget, new, LEGAL_BODY, later);
    budget.close(open[0]);
    let after = grow(&mut budget, new, LEGAL_BODY, later);

    assert_eq!(before, (GrowthDecision::Refused, Vec::new()));
    assert_eq!(after, (GrowthDecision::Granted, Vec::new()));
}

/// Guards against the loss of answers of requests that ran because others use the memory.
#[rstest]
#[case::small(SMALL_ANSWER, GrowthDecision::Granted)]
#[case::large(LEGAL_BODY, GrowthDecision::Refused)]
fn small_answer_is_buffered_at_the_bound(#[case] size: ByteSize, #[case] expected: GrowthDecision) {
    let now = Instant::now();
    let mut budget = budget();
    fill(&mut budget, LEGAL_BODY, now);
    fill(&mut budget, SMALL_BODY, now);

    let answer = budget.open(MemoryPurpose::Answer, now);

    assert_eq!(grow(&mut budget, answer, size, now).0, expected);
}

/// Guards against charges that are lost or counted twice.
#[test]
fn nothing_is_charged_once_all_bodies_are_closed() {
    let start = Instant::now();
    let mut budget = budget();
    let open = fill(&mut budget, LEGAL_BODY, start);
    let later = start + MIN_STALL;
    let new = budget.open(MemoryPurpose::Answer, later);
    let (decision, evicted) = grow(&mut budget, new, LEGAL_BODY, later);

    open.into_iter().chain([new]).for_each(|id| budget.close(id));

    assert_eq!((decision, evicted.is_empty()), (GrowthDecision::Granted, false));
    assert_eq!(budget.charged(MemoryPurpose::RequestBody), ByteSize(0));
    assert_eq!(budget.charged(MemoryPurpose::Answer), ByteSize(0));
    assert!(!budget.is_short());
}

/// What the request of a head of 15,573 bytes in 100 headers holds beside its body.
const LARGE_HEAD: ByteSize = ByteSize(68 * 1024);
/// The same of an ordinary request.
const ORDINARY_HEAD: ByteSize = ByteSize(32 * 1024);
/// Body that stops one byte short of its end.
const SHORT_BODY: ByteSize = ByteSize(44_000);

/// Opens requests with such heads and bodies until one is refused; returns the charge of each.
fn fill_with_heads(
    budget: &mut MemoryBudget,
    head: ByteSize,
    body: ByteSize,
    now: Instant,
) -> Vec<BodyId> {
    let mut open = Vec::new();
    loop {
        let id = budget.open(MemoryPurpose::RequestBody, now);
        let charged = budget.charge_head(id, head, now, &mut Vec::new());
        if charged == GrowthDecision::Refused
            || grow(budget, id, body, now).0 == GrowthDecision::Refused
        {
            budget.close(id);
            return open;
        }
        open.push(id);
    }
}

/// Guards against 2,040 requests whose heads were not charged: they took 290 MiB of 260.
#[test]
fn heads_and_bodies_together_stay_within_the_budget() {
    let now = Instant::now();
    let mut budget = budget();

    let open = fill_with_heads(&mut budget, LARGE_HEAD, SHORT_BODY, now);

    let total = BudgetLimits::for_vm(VM_MEMORY).total;
    let charged = budget.charged(MemoryPurpose::RequestBody);
    assert!(charged <= total, "{charged}");
    assert_eq!(charged, ByteSize(open.len() as u64 * (LARGE_HEAD.0 + SHORT_BODY.0)));
}

/// Guards against ordinary requests that are refused while large heads use the memory.
#[test]
fn large_heads_leave_the_reserve_to_small_ones() {
    let now = Instant::now();
    let mut budget = budget();
    fill_with_heads(&mut budget, LARGE_HEAD, ByteSize(0), now);

    let small = fill_with_heads(&mut budget, ORDINARY_HEAD, ByteSize(9_000), now);

    assert!(small.len() >= 100, "{}", small.len());
}

/// Guards against a limit that ordinary requests reach before all connections are in use.
#[test]
fn ordinary_requests_on_all_connections_are_charged() {
    let now = Instant::now();
    let mut budget = budget();

    let open = fill_with_heads(&mut budget, ORDINARY_HEAD, ByteSize(9_000), now);

    assert!(open.len() >= 960, "{}", open.len());
}

/// Guards against a request that keeps its head after its body was given up, and against one that
/// is charged although it was refused.
#[test]
fn stalled_request_makes_room_with_its_head() {
    let start = Instant::now();
    let mut budget = budget();
    let open = fill_with_heads(&mut budget, LARGE_HEAD, SHORT_BODY, start);
    let charged = budget.charged(MemoryPurpose::RequestBody);
    let new = budget.open(MemoryPurpose::RequestBody, start);
    let mut evicted = Vec::new();

    let refused = budget.charge_head(new, LARGE_HEAD, start, &mut evicted);
    let still_charged = budget.charged(MemoryPurpose::RequestBody);
    let granted = budget.charge_head(new, LARGE_HEAD, start + MIN_STALL, &mut evicted);

    assert_eq!((refused, granted), (GrowthDecision::Refused, GrowthDecision::Granted));
    assert_eq!(still_charged, charged);
    assert_eq!(evicted, open[..1]);
    let freed = charged.minus(LARGE_HEAD).minus(SHORT_BODY);
    assert_eq!(budget.charged(MemoryPurpose::RequestBody), freed.plus(LARGE_HEAD));
}
