//! Single transitions of the run ledger and the attempt record.

use base::prelude::*;
use bytes::Bytes;
use once::{
    AttemptRecord, CancelOrder, DrainCause, EngineEnd, LedgerLimits, LinkId, RequestFingerprint,
    RunAction, RunEvent, RunGrant, RunId, RunIsolation, RunLedger, RunOrder, SendState,
};
use rstest::rstest;
use tokio::time;

const LINK: LinkId = LinkId(1);
const OTHER_LINK: LinkId = LinkId(2);

fn run_id(request: u128) -> RunId {
    RunId { request: RequestId(request), attempt: 1 }
}

fn ledger() -> RunLedger {
    let limits = LedgerLimits { kept_epochs: 2, ..LedgerLimits::default() };
    RunLedger::new(ProcessIncarnation(7), limits, Instant::now())
}

fn order(ledger: &RunLedger, id: u128) -> RunOrder {
    RunOrder {
        id: run_id(id),
        grant: ledger.grant(),
        link: LINK,
        fingerprint: RequestFingerprint([id as u8; 32]),
        deadline: Instant::now() + Duration::from_secs(60),
        isolation: RunIsolation::Shared,
    }
}

fn isolated_order(ledger: &RunLedger, id: u128) -> RunOrder {
    RunOrder { isolation: RunIsolation::Alone, ..order(ledger, id) }
}

fn cancel(ledger: &RunLedger, id: u128) -> RunEvent {
    RunEvent::Cancel(CancelOrder { id: run_id(id), grant: ledger.grant(), link: LINK })
}

fn end(id: u128, end: EngineEnd) -> RunEvent {
    RunEvent::End { id: run_id(id), end }
}

fn handle(ledger: &mut RunLedger, event: RunEvent) -> Vec<RunAction> {
    ledger.handle(event, Instant::now())
}

fn run(ledger: &mut RunLedger, order: RunOrder) -> Vec<RunAction> {
    handle(ledger, RunEvent::Order(order))
}

fn hand_over(id: u128) -> Vec<RunAction> {
    vec![RunAction::HandOver { id: run_id(id) }]
}

fn refusal(id: u128, code: ResultCode) -> Vec<RunAction> {
    vec![RunAction::Refuse { id: run_id(id), link: LINK, code }]
}

fn ack(id: u128, state: RunState) -> RunAction {
    RunAction::AckCancel { id: run_id(id), link: LINK, state }
}

#[tokio::test(start_paused = true)]
async fn answer_is_forwarded_in_order_then_finished() {
    let mut ledger = ledger();
    let first = order(&ledger, 1);
    let id = first.id;
    let body = Bytes::from("abc");

    let started = run(&mut ledger, first);
    let part = handle(&mut ledger, RunEvent::Chunk { id, body: body.clone() });
    let ended = handle(&mut ledger, end(1, EngineEnd::Complete));
    let late = handle(&mut ledger, RunEvent::Chunk { id, body: body.clone() });

    assert_eq!(started, hand_over(1));
    assert_eq!(part, [RunAction::Forward { id, link: LINK, offset: 0, body }]);
    assert_eq!(ended, [RunAction::Finish { id, link: LINK, length: 3 }]);
    assert_eq!(late, []);
}

#[tokio::test(start_paused = true)]
async fn cancel_before_order_refuses_the_order() {
    let mut ledger = ledger();
    let late = order(&ledger, 1);

    let acked = {
        let event = cancel(&ledger, 1);
        handle(&mut ledger, event)
    };
    let refused = run(&mut ledger, late);

    assert_eq!(acked, [ack(1, RunState::NotRun)]);
    assert_eq!(refused, refusal(1, ResultCode::CallerCancelled));
}

#[tokio::test(start_paused = true)]
async fn cancel_of_started_run_may_have_run() {
    let mut ledger = ledger();
    let first = order(&ledger, 1);
    run(&mut ledger, first);

    let event = cancel(&ledger, 1);
    let acked = handle(&mut ledger, event.clone());
    let again = handle(&mut ledger, event);
    let ended = handle(&mut ledger, end(1, EngineEnd::Cancelled));

    let at_engine = RunAction::CancelAtEngine { id: run_id(1) };
    assert_eq!(acked, [at_engine, ack(1, RunState::MayHaveRun)]);
    assert_eq!(again, [ack(1, RunState::MayHaveRun)]);
    assert_eq!(ended, []);
}

#[tokio::test(start_paused = true)]
async fn refused_order_stays_refused_when_repeated() {
    let mut ledger = ledger();
    let first = order(&ledger, 1);
    handle(&mut ledger, RunEvent::EngineCrashed);

    let refused = run(&mut ledger, first.clone());
    handle(&mut ledger, RunEvent::EngineReady);
    let copy = run(&mut ledger, first);

    assert_eq!(refused, refusal(1, ResultCode::NoReplica));
    assert_eq!(copy, refusal(1, ResultCode::NoReplica));
}

#[tokio::test(start_paused = true)]
async fn repeated_order_is_not_run_again() {
    let mut ledger = ledger();
    let first = order(&ledger, 1);
    let other_order = RunOrder { link: OTHER_LINK, ..first };
    run(&mut ledger, first.clone());

    let same_link = run(&mut ledger, first.clone());
    let other_link = run(&mut ledger, other_order);
    handle(&mut ledger, end(1, EngineEnd::Complete));
    let after_end = run(&mut ledger, first);

    let code = ResultCode::BackendLost;
    assert_eq!(same_link, []);
    assert_eq!(other_link, [RunAction::Refuse { id: run_id(1), link: OTHER_LINK, code }]);
    assert_eq!(after_end, refusal(1, code));
}

#[tokio::test(start_paused = true)]
async fn order_of_dropped_epoch_is_refused() {
    let mut ledger = ledger();
    let first = order(&ledger, 1);
    run(&mut ledger, first.clone());
    handle(&mut ledger, end(1, EngineEnd::Complete));

    for _ in 0..3 {
        time::advance(Duration::from_secs(10)).await;
        handle(&mut ledger, RunEvent::Tick);
    }
    let copy = run(&mut ledger, first);

    assert_eq!(ledger.record_count(), 0);
    assert_eq!(copy, refusal(1, ResultCode::BackendLost));
}

#[tokio::test(start_paused = true)]
async fn order_for_another_incarnation_is_refused() {
    let mut ledger = ledger();
    let grant = RunGrant { incarnation: ProcessIncarnation(6), ..ledger.grant() };
    let stale = RunOrder { grant, ..order(&ledger, 1) };

    let refused = run(&mut ledger, stale);
    let cancelled = CancelOrder { id: run_id(1), grant, link: LINK };
    let acked = handle(&mut ledger, RunEvent::Cancel(cancelled));

    assert_eq!(refused, refusal(1, ResultCode::NoReplica));
    assert_eq!(acked, [ack(1, RunState::MayHaveRun)]);
}

#[rstest]
#[case::vm_list(DrainCause::VmLeaving)]
#[case::signal(DrainCause::Signal)]
#[tokio::test(start_paused = true)]
async fn drain_refuses_new_runs_and_waits_for_active_ones(#[case] cause: DrainCause) {
    let mut ledger = ledger();
    let (first, second) = (order(&ledger, 1), order(&ledger, 2));
    run(&mut ledger, first);

    let drained = handle(&mut ledger, RunEvent::Drain(cause));
    let refused = run(&mut ledger, second);
    let ended = handle(&mut ledger, end(1, EngineEnd::Complete));

    assert_eq!(drained, []);
    assert_eq!(refused, refusal(2, ResultCode::ProcessStopping));
    assert_eq!(ended[1..], [RunAction::DrainEnded]);
}

#[tokio::test(start_paused = true)]
async fn crash_report_lists_runs_in_flight() {
    let mut ledger = ledger();
    for id in 1..=3 {
        let order = order(&ledger, id);
        run(&mut ledger, order);
    }
    handle(&mut ledger, end(2, EngineEnd::Complete));

    let actions = handle(&mut ledger, RunEvent::EngineCrashed);

    let RunAction::ReportCrash(report) = &actions[0] else { panic!("no report: {actions:?}") };
    let named = report.runs.iter().map(|run| run.id.request.0).collect::<Vec<_>>();
    assert_eq!(named, [1, 3]);
    assert_eq!(actions[1..2], refusal(1, ResultCode::BackendLost));
    assert_eq!(ledger.active_runs(), 0);
}

#[tokio::test(start_paused = true)]
async fn isolated_run_has_the_engine_alone() {
    let mut ledger = ledger();
    let (first, suspect, third) =
        (order(&ledger, 1), isolated_order(&ledger, 2), order(&ledger, 3));
    run(&mut ledger, first);

    let waiting = run(&mut ledger, suspect);
    let refused = run(&mut ledger, third);
    let started = handle(&mut ledger, end(1, EngineEnd::Complete));
    let fourth = order(&ledger, 4);
    let refused_alongside = run(&mut ledger, fourth);

    assert_eq!(waiting, []);
    assert_eq!(refused, refusal(3, ResultCode::NoReplica));
    assert_eq!(started[1..], hand_over(2));
    assert_eq!(refused_alongside, refusal(4, ResultCode::NoReplica));
}

#[tokio::test(start_paused = true)]
async fn run_past_deadline_is_cancelled() {
    let mut ledger = ledger();
    let first = order(&ledger, 1);
    run(&mut ledger, first);

    time::advance(Duration::from_secs(60)).await;
    let actions = handle(&mut ledger, RunEvent::Tick);

    assert_eq!(actions[0], RunAction::CancelAtEngine { id: run_id(1) });
    assert_eq!(actions[1..], refusal(1, ResultCode::AnswerTimeout));
}

#[rstest]
#[case::not_taken(SendState::NotTaken, ResultCode::NoReplica)]
#[case::partly_sent(SendState::PartlySent, ResultCode::BackendLost)]
#[tokio::test(start_paused = true)]
async fn failed_hand_over_reports_send_state(#[case] sent: SendState, #[case] code: ResultCode) {
    let mut ledger = ledger();
    let first = order(&ledger, 1);
    run(&mut ledger, first);

    let refused = handle(&mut ledger, RunEvent::HandOverFailed { id: run_id(1), sent });

    assert_eq!(refused, refusal(1, code));
}

#[tokio::test(start_paused = true)]
async fn lost_link_cancels_its_runs() {
    let mut ledger = ledger();
    let first = order(&ledger, 1);
    let other = RunOrder { link: OTHER_LINK, ..order(&ledger, 2) };
    run(&mut ledger, first);
    run(&mut ledger, other);

    let actions = handle(&mut ledger, RunEvent::LinkLost(LINK));

    assert_eq!(actions, [RunAction::CancelAtEngine { id: run_id(1) }]);
}

/// Guards against unbounded growth under many requests: the number of records starts the next epoch
/// even without a tick.
#[tokio::test(start_paused = true)]
async fn record_count_stays_bounded() {
    let mut ledger = ledger();
    let limits = LedgerLimits::default();

    for id in 0..20_000 {
        let order = order(&ledger, id);
        run(&mut ledger, order);
        handle(&mut ledger, end(id, EngineEnd::Complete));
    }

    assert!(ledger.record_count() <= 4 * limits.max_epoch_records);
}

#[test]
fn not_run_requires_all_deliveries_not_run() {
    let mut record = AttemptRecord::new(false);

    let first = record.record_delivery(1);
    let second_too_early = record.record_delivery(2);
    record.record_result(1, RunState::NotRun);
    let second = record.record_delivery(2);

    assert!(first && !second_too_early && second);
    assert_eq!(record.run_state(), RunState::MayHaveRun);
    record.record_result(2, RunState::NotRun);
    record.record_result(2, RunState::MayHaveRun);
    assert_eq!(record.run_state(), RunState::NotRun);
}
