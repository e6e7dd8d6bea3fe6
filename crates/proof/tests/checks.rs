//! Each check catches the breach it is meant for, and passes what is allowed.

use std::{collections::BTreeMap, time::Duration};

use base::prelude::{ResultCode, RunState};
use proof::{
    callers::ObservedCall,
    checks::{Promise, check_all, peak_replicas},
    plan::{DEADLINE, first_key},
    records::{CellEvidence, DeskEvidence, EditEvidence, EditLook, EngineEvidence, StopEvidence},
};
use rstest::rstest;
use standin::{
    answers::short_digest,
    engine::{CrashRecord, EngineRecords, ExecutionRecord, HoldingRecord, ModelKey},
    load::{CallKind, CallOutcome, CallVerdict, ScriptedCall, ServiceCall},
    service::{CallRecord, ServiceRecords},
};

const LEFT_MS: u64 = 100_000;

fn holding(model: &str, from_ms: u64, until_ms: Option<u64>) -> HoldingRecord {
    let key = ModelKey { model: model.to_owned(), adapter: None };
    HoldingRecord { key, from_ms, until_ms }
}

fn engine(holdings: Vec<HoldingRecord>) -> EngineEvidence {
    let records = EngineRecords { holdings, peak_bytes: 60, ..EngineRecords::default() };
    EngineEvidence { records, memory_bytes: 80, leaving_ms: None, delisted_ms: None }
}

fn execution(request_id: &str, received_ms: u64) -> ExecutionRecord {
    ExecutionRecord {
        request_id: request_id.to_owned(),
        model: "m".to_owned(),
        prompt_digest: String::new(),
        received_ms,
        started_ms: Some(received_ms),
        end: None,
    }
}

fn order(verdict: CallVerdict, took: Duration) -> ObservedCall {
    let call = ServiceCall {
        service: "vrbovka".to_owned(),
        method: "POST".to_owned(),
        path: "/orders".to_owned(),
        key: None,
        body: "open sluice".to_owned(),
    };
    let kind = CallKind::Service(call);
    let request_id = Some("r1".to_owned());
    ObservedCall {
        call: ScriptedCall { at: Duration::ZERO, customer_key: first_key(), kind },
        entry: 0,
        sent_ms: 0,
        outcome: CallOutcome { verdict, request_id, first_byte: None, took },
    }
}

fn run_order() -> CallRecord {
    CallRecord {
        started_ms: LEFT_MS,
        request_id: "r1".to_owned(),
        method: "POST".to_owned(),
        path: "/services/vrbovka/orders".to_owned(),
        key: None,
        body_digest: short_digest(&[b"open sluice"]),
        finished: true,
    }
}

fn desk(calls: usize) -> DeskEvidence {
    let calls = (0..calls).map(|_| run_order()).collect();
    DeskEvidence { records: ServiceRecords { calls }, leaving_ms: None }
}

fn not_run() -> CallVerdict {
    CallVerdict::Refused { code: ResultCode::NoReplica, run: RunState::NotRun }
}

fn may_have_run() -> CallVerdict {
    CallVerdict::Refused { code: ResultCode::BackendLost, run: RunState::MayHaveRun }
}

/// A cell in which every promise was kept.
fn kept() -> CellEvidence {
    CellEvidence {
        calls: vec![order(CallVerdict::Complete, Duration::ZERO)],
        engines: vec![
            engine(vec![holding("m", 0, Some(10))]),
            engine(vec![holding("m", 10, None)]),
        ],
        desks: vec![desk(1)],
        decided: BTreeMap::from([("m".to_owned(), 1)]),
        has_recovered: true,
        ..CellEvidence::default()
    }
}

fn with_call(verdict: CallVerdict) -> CellEvidence {
    CellEvidence { calls: vec![order(verdict, Duration::ZERO)], ..kept() }
}

fn overlapping() -> CellEvidence {
    let engines =
        vec![engine(vec![holding("m", 0, Some(11))]), engine(vec![holding("m", 10, None)])];
    CellEvidence { engines, ..kept() }
}

fn overcommitted() -> CellEvidence {
    let mut evidence = kept();
    evidence.engines[0].memory_bytes = 59;
    evidence
}

fn late() -> CellEvidence {
    let calls = vec![order(CallVerdict::Complete, DEADLINE * 2)];
    CellEvidence { calls, ..kept() }
}

fn run_twice() -> CellEvidence {
    CellEvidence { desks: vec![desk(1), desk(1)], ..kept() }
}

fn refused_though_started() -> CellEvidence {
    let mut evidence = with_call(not_run());
    evidence.desks.clear();
    evidence.engines[1].records.executions.push(execution("r1", 0));
    evidence
}

fn worked_while_leaving() -> CellEvidence {
    let mut evidence = kept();
    evidence.engines[0].leaving_ms = Some(LEFT_MS);
    evidence.engines[0].records.executions.push(execution("r2", LEFT_MS + 60_000));
    evidence
}

fn stopped(is_clean: Option<bool>) -> CellEvidence {
    let stops = vec![StopEvidence { name: "side".to_owned(), is_clean }];
    CellEvidence { stops, ..kept() }
}

fn edited(looks: &[Option<bool>]) -> CellEvidence {
    let looks = looks.iter().zip(0..).map(|(is_in_force, index)| EditLook {
        entry: 0,
        at_ms: index * 10_000,
        is_in_force: *is_in_force,
    });
    let edit = EditEvidence { accepted_ms: 0, looks: looks.collect(), disturbed_ms: 0 };
    CellEvidence { edits: vec![edit], ..kept() }
}

fn crashed(times: usize) -> CellEvidence {
    let mut evidence = kept();
    let crash = CrashRecord { at_ms: 0, request_id: "r1".to_owned(), in_flight: Vec::new() };
    evidence.engines[0].records.crashes = vec![crash; times];
    evidence
}

fn not_recovered() -> CellEvidence {
    CellEvidence { has_recovered: false, ..kept() }
}

#[rstest]
#[case(overlapping(), Promise::DecidedReplicas)]
#[case(overcommitted(), Promise::BoundedMemory)]
#[case(late(), Promise::ServedInTime)]
#[case(with_call(CallVerdict::NoAnswer), Promise::ServedInTime)]
#[case(with_call(CallVerdict::InvalidRefusal), Promise::ServedInTime)]
#[case(with_call(CallVerdict::Truncated), Promise::WholeAnswer)]
#[case(with_call(CallVerdict::Interrupted), Promise::WholeAnswer)]
#[case(with_call(CallVerdict::Mismatched), Promise::WholeAnswer)]
#[case(with_call(not_run()), Promise::TruthfulRefusal)]
#[case(refused_though_started(), Promise::TruthfulRefusal)]
#[case(run_twice(), Promise::AtMostOnce)]
#[case(worked_while_leaving(), Promise::LeavingUnloaded)]
#[case(stopped(Some(false)), Promise::GracefulStop)]
#[case(stopped(None), Promise::GracefulStop)]
#[case(edited(&[Some(false), Some(false), Some(true)]), Promise::ListsInForce)]
#[case(edited(&[Some(true), Some(false)]), Promise::ListsInForce)]
#[case(edited(&[None, None]), Promise::ListsInForce)]
#[case(crashed(3), Promise::Quarantine)]
#[case(not_recovered(), Promise::Recovery)]
fn a_breach_is_caught(#[case] evidence: CellEvidence, #[case] promise: Promise) {
    let broken = check_all(&evidence);

    let promises = broken.iter().map(|broken| broken.promise).collect::<Vec<_>>();
    assert_eq!(promises, vec![promise], "{broken:?}");
}

#[rstest]
#[case(kept())]
#[case(with_call(may_have_run()))]
#[case(stopped(Some(true)))]
#[case(edited(&[Some(false), Some(true), None, Some(true)]))]
#[case(crashed(2))]
fn what_is_allowed_passes(#[case] evidence: CellEvidence) {
    let broken = check_all(&evidence);

    assert_eq!(broken, Vec::new());
}

#[test]
fn the_callers_of_a_killed_entry_are_excused_but_not_those_of_others() {
    let mut excused = with_call(CallVerdict::NoAnswer);
    excused.disturbed.insert(0);
    let mut other = with_call(CallVerdict::NoAnswer);
    other.disturbed.insert(1);

    let excused = check_all(&excused);
    let other = check_all(&other);

    assert_eq!(excused, Vec::new());
    assert_eq!(other.len(), 1);
}

#[test]
fn a_vm_holds_its_models_until_the_platform_no_longer_lists_it() {
    let mut engines = overlapping().engines;
    engines[0].records.holdings[0].until_ms = None;

    engines[0].delisted_ms = Some(10);
    let moved_after = peak_replicas(&engines, "m");
    engines[0].delisted_ms = Some(11);
    let moved_before = peak_replicas(&engines, "m");

    assert_eq!((moved_after, moved_before), (1, 2));
}

#[test]
fn a_replacement_in_the_same_millisecond_is_no_overlap() {
    let engines = kept().engines;

    assert_eq!(peak_replicas(&engines, "m"), 1);
    assert_eq!(peak_replicas(&overlapping().engines, "m"), 2);
}
