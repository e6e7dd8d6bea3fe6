//! Each check detects violations of its invariant and passes permitted outcomes.

use std::{collections::BTreeMap, time::Duration};

use base::prelude::{ResultCode, RunState};
use proof::{
    callers::ObservedCall,
    checks::{Invariant, check_all, peak_replicas},
    plan::{DEADLINE, first_key},
    records::{
        CellEvidence, EditEvidence, EditSample, EngineEvidence, ServiceEvidence, StopEvidence,
    },
};
use rstest::rstest;
use standin::{
    answers::short_digest,
    engine::{CrashRecord, EngineRecords, ExecutionRecord, HoldingRecord, ModelKey},
    load::{CallKind, CallOutcome, CallVerdict, ScriptedCall, ServiceCall},
    service::{CallRecord, ServiceRecords},
};

const LEAVING_MS: u64 = 100_000;

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
        started_ms: LEAVING_MS,
        request_id: "r1".to_owned(),
        method: "POST".to_owned(),
        path: "/services/vrbovka/orders".to_owned(),
        key: None,
        body_digest: short_digest(&[b"open sluice"]),
        finished: true,
    }
}

fn service(calls: usize) -> ServiceEvidence {
    let calls = (0..calls).map(|_| run_order()).collect();
    ServiceEvidence { records: ServiceRecords { calls }, leaving_ms: None }
}

fn not_run() -> CallVerdict {
    CallVerdict::Refused { code: ResultCode::NoReplica, run: RunState::NotRun }
}

fn may_have_run() -> CallVerdict {
    CallVerdict::Refused { code: ResultCode::BackendLost, run: RunState::MayHaveRun }
}

/// Evidence without a violation.
fn valid() -> CellEvidence {
    CellEvidence {
        calls: vec![order(CallVerdict::Complete, Duration::ZERO)],
        engines: vec![
            engine(vec![holding("m", 0, Some(10))]),
            engine(vec![holding("m", 10, None)]),
        ],
        service_replicas: vec![service(1)],
        configured_replicas: BTreeMap::from([("m".to_owned(), 1)]),
        has_recovered: true,
        ..CellEvidence::default()
    }
}

fn with_call(verdict: CallVerdict) -> CellEvidence {
    CellEvidence { calls: vec![order(verdict, Duration::ZERO)], ..valid() }
}

fn overlapping() -> CellEvidence {
    let engines =
        vec![engine(vec![holding("m", 0, Some(11))]), engine(vec![holding("m", 10, None)])];
    CellEvidence { engines, ..valid() }
}

fn overcommitted() -> CellEvidence {
    let mut evidence = valid();
    evidence.engines[0].memory_bytes = 59;
    evidence
}

fn late() -> CellEvidence {
    let calls = vec![order(CallVerdict::Complete, DEADLINE * 2)];
    CellEvidence { calls, ..valid() }
}

fn run_twice() -> CellEvidence {
    CellEvidence { service_replicas: vec![service(1), service(1)], ..valid() }
}

fn refused_though_started() -> CellEvidence {
    let mut evidence = with_call(not_run());
    evidence.service_replicas.clear();
    evidence.engines[1].records.executions.push(execution("r1", 0));
    evidence
}

fn ran_after_drain_period() -> CellEvidence {
    let mut evidence = valid();
    evidence.engines[0].leaving_ms = Some(LEAVING_MS);
    evidence.engines[0].records.executions.push(execution("r2", LEAVING_MS + 60_000));
    evidence
}

fn stopped(is_clean: Option<bool>) -> CellEvidence {
    let stops = vec![StopEvidence { name: "side".to_owned(), is_clean }];
    CellEvidence { stops, ..valid() }
}

fn edited(samples: &[Option<bool>]) -> CellEvidence {
    let samples = samples.iter().zip(0..).map(|(is_applied, index)| EditSample {
        entry: 0,
        at_ms: index * 10_000,
        is_applied: *is_applied,
    });
    let edit = EditEvidence { accepted_ms: 0, samples: samples.collect(), fault_ms: 0 };
    CellEvidence { edits: vec![edit], ..valid() }
}

fn crashed(times: usize) -> CellEvidence {
    let mut evidence = valid();
    let crash = CrashRecord { at_ms: 0, request_id: "r1".to_owned(), in_flight: Vec::new() };
    evidence.engines[0].records.crashes = vec![crash; times];
    evidence
}

fn not_recovered() -> CellEvidence {
    CellEvidence { has_recovered: false, ..valid() }
}

#[rstest]
#[case(overlapping(), Invariant::DecidedReplicas)]
#[case(overcommitted(), Invariant::BoundedMemory)]
#[case(late(), Invariant::ServedInTime)]
#[case(with_call(CallVerdict::NoAnswer), Invariant::ServedInTime)]
#[case(with_call(CallVerdict::InvalidRefusal), Invariant::ServedInTime)]
#[case(with_call(CallVerdict::Truncated), Invariant::WholeAnswer)]
#[case(with_call(CallVerdict::Interrupted), Invariant::WholeAnswer)]
#[case(with_call(CallVerdict::Mismatched), Invariant::WholeAnswer)]
#[case(with_call(not_run()), Invariant::TruthfulRefusal)]
#[case(refused_though_started(), Invariant::TruthfulRefusal)]
#[case(run_twice(), Invariant::AtMostOnce)]
#[case(ran_after_drain_period(), Invariant::LeavingUnloaded)]
#[case(stopped(Some(false)), Invariant::GracefulStop)]
#[case(stopped(None), Invariant::GracefulStop)]
#[case(edited(&[Some(false), Some(false), Some(true)]), Invariant::ListsInForce)]
#[case(edited(&[Some(true), Some(false)]), Invariant::ListsInForce)]
#[case(edited(&[None, None]), Invariant::ListsInForce)]
#[case(crashed(3), Invariant::Quarantine)]
#[case(not_recovered(), Invariant::Recovery)]
fn violations_are_detected(#[case] evidence: CellEvidence, #[case] invariant: Invariant) {
    let violations = check_all(&evidence);

    let invariants = violations.iter().map(|violation| violation.invariant).collect::<Vec<_>>();
    assert_eq!(invariants, vec![invariant], "{violations:?}");
}

#[rstest]
#[case(valid())]
#[case(with_call(may_have_run()))]
#[case(stopped(Some(true)))]
#[case(edited(&[Some(false), Some(true), None, Some(true)]))]
#[case(crashed(2))]
fn permitted_outcomes_pass(#[case] evidence: CellEvidence) {
    let violations = check_all(&evidence);

    assert_eq!(violations, Vec::new());
}

#[test]
fn lost_answers_are_excused_only_at_faulted_entries() {
    let mut excused = with_call(CallVerdict::NoAnswer);
    excused.faulted_entries.insert(0);
    let mut other = with_call(CallVerdict::NoAnswer);
    other.faulted_entries.insert(1);

    let excused = check_all(&excused);
    let other = check_all(&other);

    assert_eq!(excused, Vec::new());
    assert_eq!(other.len(), 1);
}

#[test]
fn delisted_vm_holds_no_replicas() {
    let mut engines = overlapping().engines;
    engines[0].records.holdings[0].until_ms = None;

    engines[0].delisted_ms = Some(10);
    let replaced_after = peak_replicas(&engines, "m");
    engines[0].delisted_ms = Some(11);
    let replaced_before = peak_replicas(&engines, "m");

    assert_eq!((replaced_after, replaced_before), (1, 2));
}

#[test]
fn same_millisecond_replacement_is_no_overlap() {
    let engines = valid().engines;

    assert_eq!(peak_replicas(&engines, "m"), 1);
    assert_eq!(peak_replicas(&overlapping().engines, "m"), 2);
}
