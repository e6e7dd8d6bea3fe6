//! Invariants of the system, checked against the stand-ins' records and the callers' outcomes.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

use base::prelude::RunState;
use standin::{
    answers::short_digest,
    engine::HoldingRecord,
    load::{CallKind, CallVerdict, ServiceCall},
};

use crate::{
    callers::ObservedCall,
    plan::{LEAVING_LIMIT, PROPAGATION_LIMIT, QUARANTINE_CRASHES},
    records::{CellEvidence, EditEvidence, EngineEvidence},
};

/// A property that must hold in every cell; its variant name is printed in reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Invariant {
    /// No more replicas of a model are loaded than are configured.
    DecidedReplicas,
    /// A backend server's memory is never overcommitted.
    BoundedMemory,
    /// A request is served or refused within its deadline, never dropped.
    ServedInTime,
    /// Each caller receives the complete answer to its own request.
    WholeAnswer,
    /// A request that was refused as "not run" was not executed.
    TruthfulRefusal,
    /// A non-idempotent request runs at most once.
    AtMostOnce,
    /// A leaving backend server receives no new requests after [`LEAVING_LIMIT`].
    LeavingUnloaded,
    /// Every planned stop ends in time with exit status 0.
    GracefulStop,
    /// An accepted edit of the lists is applied at every entry within [`PROPAGATION_LIMIT`] and is
    /// never reverted.
    ListsInForce,
    /// A request that crashes backend servers is quarantined after [`QUARANTINE_CRASHES`] crashes.
    Quarantine,
    /// The fleet serves every kind of request again after the faults have ended.
    Recovery,
}

/// One violation of an invariant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// The invariant that was violated.
    pub invariant: Invariant,
    /// What was observed, for the report.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.invariant, self.detail)
    }
}

/// Returns a description of each violation.
type InvariantCheck = fn(&CellEvidence) -> Vec<String>;

/// Checks every invariant and returns all violations.
pub fn check_all(evidence: &CellEvidence) -> Vec<Violation> {
    let checks: [(Invariant, InvariantCheck); 11] = [
        (Invariant::DecidedReplicas, replica_counts),
        (Invariant::BoundedMemory, bounded_memory),
        (Invariant::ServedInTime, served_in_time),
        (Invariant::WholeAnswer, complete_answers),
        (Invariant::TruthfulRefusal, truthful_refusals),
        (Invariant::AtMostOnce, at_most_once),
        (Invariant::LeavingUnloaded, leaving_unloaded),
        (Invariant::GracefulStop, graceful_stops),
        (Invariant::ListsInForce, lists_applied),
        (Invariant::Quarantine, quarantined),
        (Invariant::Recovery, recovered),
    ];
    let violations = checks.iter().flat_map(|(invariant, check)| {
        let details = check(evidence);
        details.into_iter().map(|detail| Violation { invariant: *invariant, detail })
    });
    violations.collect()
}

/// A change of the number of replicas of a model.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct HoldingChange {
    at_ms: u64,
    /// `false` sorts first, so that a replacement in the same millisecond is no overlap.
    is_begin: bool,
}

fn holding_changes(engines: &[EngineEvidence], model: &str) -> Vec<HoldingChange> {
    let mut changes = Vec::new();
    for engine in engines {
        let holdings = engine.records.holdings.iter();
        let of_model =
            |held: &&HoldingRecord| held.key.adapter.is_none() && held.key.model == model;
        for holding in holdings.filter(of_model) {
            changes.push(HoldingChange { at_ms: holding.from_ms, is_begin: true });
            // A VM that the platform no longer lists holds nothing.
            let ends = [holding.until_ms, engine.delisted_ms];
            let end = ends.into_iter().flatten().min();
            changes.extend(end.map(|at_ms| HoldingChange { at_ms, is_begin: false }));
        }
    }
    changes.sort();
    changes
}

/// Highest number of replicas of `model` that were loaded at the same time.
pub fn peak_replicas(engines: &[EngineEvidence], model: &str) -> usize {
    let mut held = 0_usize;
    let mut peak = 0;
    for change in holding_changes(engines, model) {
        held = match change.is_begin {
            true => held + 1,
            false => held.saturating_sub(1),
        };
        peak = peak.max(held);
    }
    peak
}

fn replica_counts(evidence: &CellEvidence) -> Vec<String> {
    let peaks = evidence.configured_replicas.iter().filter_map(|(model, configured)| {
        let peak = peak_replicas(&evidence.engines, model);
        (peak > *configured).then(|| format!("{peak} replicas of {model}, {configured} configured"))
    });
    peaks.collect()
}

fn bounded_memory(evidence: &CellEvidence) -> Vec<String> {
    let over = evidence.engines.iter().enumerate().filter_map(|(index, engine)| {
        let records = &engine.records;
        let is_over = records.overcommits > 0 || records.peak_bytes > engine.memory_bytes;
        is_over.then(|| format!("engine {index} had {} bytes loaded", records.peak_bytes))
    });
    over.collect()
}

fn describe(call: &ObservedCall) -> String {
    let (entry, sent_ms) = (call.entry, call.sent_ms);
    match &call.call.kind {
        CallKind::Chat(chat) => {
            let form = if chat.is_stream { "stream" } else { "chat" };
            format!("{form} of {} at entry {entry}, sent {sent_ms}", chat.model)
        }
        CallKind::Service(service) => {
            let key = service.key.as_deref().unwrap_or("none");
            let ServiceCall { method, path, .. } = service;
            format!("{method} {path} with key {key} at entry {entry}, sent {sent_ms}")
        }
    }
}

fn served_in_time(evidence: &CellEvidence) -> Vec<String> {
    let violations = evidence.calls.iter().filter_map(|call| {
        let verdict = call.outcome.verdict;
        let is_dropped = matches!(verdict, CallVerdict::NoAnswer | CallVerdict::InvalidRefusal);
        let is_violation = is_dropped || !call.is_within_deadline();
        let is_excused = evidence.faulted_entries.contains(&call.entry);
        (is_violation && !is_excused).then(|| {
            let took = call.outcome.took.as_millis();
            let sent = call.sent_ms;
            format!(
                "{verdict} after {took} ms at entry {}, sent {sent}: {:?}",
                call.entry, call.call.kind
            )
        })
    });
    violations.collect()
}

fn complete_answers(evidence: &CellEvidence) -> Vec<String> {
    let calls = evidence.calls.iter().chain(&evidence.probes);
    let partial = calls.filter(|call| match call.outcome.verdict {
        CallVerdict::Truncated | CallVerdict::Mismatched => true,
        CallVerdict::Interrupted => {
            !evidence.may_break_streams && !evidence.faulted_entries.contains(&call.entry)
        }
        _ => false,
    });
    partial.map(|call| format!("{}: {}", call.outcome.verdict, describe(call))).collect()
}

fn truthful_refusals(evidence: &CellEvidence) -> Vec<String> {
    let engine_ids = evidence.started_executions().map(|execution| execution.request_id.as_str());
    let service_ids = evidence.service_calls().map(|call| call.request_id.as_str());
    let run = engine_ids.chain(service_ids).collect::<BTreeSet<_>>();
    let calls = evidence.calls.iter().chain(&evidence.probes);
    let untrue = calls.filter_map(|call| {
        let CallVerdict::Refused { code, run: RunState::NotRun } = call.outcome.verdict else {
            return None;
        };
        let id = call.outcome.request_id.as_deref()?;
        run.contains(id).then(|| format!("{id} was run and refused with {code} as not run"))
    });
    untrue.collect()
}

fn non_idempotent_call(kind: &CallKind) -> Option<&ServiceCall> {
    match kind {
        CallKind::Service(call) if call.method == "POST" => Some(call),
        _ => None,
    }
}

fn at_most_once(evidence: &CellEvidence) -> Vec<String> {
    let mut runs = BTreeMap::<&str, usize>::new();
    for call in evidence.service_calls().filter(|call| call.method == "POST") {
        *runs.entry(call.body_digest.as_str()).or_default() += 1;
    }
    let bodies = evidence.calls.iter().filter_map(|call| non_idempotent_call(&call.call.kind));
    let bodies = bodies.map(|call| call.body.as_str()).collect::<BTreeSet<_>>();
    let repeated = bodies.into_iter().filter_map(|body| {
        let count = runs.get(short_digest(&[body.as_bytes()]).as_str()).copied().unwrap_or(0);
        (count > 1).then(|| format!("{body:?} was run {count} times"))
    });
    repeated.collect()
}

fn late_requests(name: &str, leaving_ms: Option<u64>, arrivals: &[u64]) -> Option<String> {
    let limit = leaving_ms? + LEAVING_LIMIT.as_millis() as u64;
    let late = arrivals.iter().filter(|arrival| **arrival > limit).count();
    (late > 0).then(|| format!("{name} received {late} requests after its drain period"))
}

fn leaving_unloaded(evidence: &CellEvidence) -> Vec<String> {
    let engines = evidence.engines.iter().enumerate().filter_map(|(index, engine)| {
        let executions = engine.records.executions.iter();
        let arrivals = executions.map(|execution| execution.received_ms).collect::<Vec<_>>();
        late_requests(&format!("engine {index}"), engine.leaving_ms, &arrivals)
    });
    let services = evidence.service_replicas.iter().enumerate().filter_map(|(index, replica)| {
        let arrivals = replica.records.calls.iter().map(|call| call.started_ms).collect::<Vec<_>>();
        late_requests(&format!("service replica {index}"), replica.leaving_ms, &arrivals)
    });
    engines.chain(services).collect()
}

fn graceful_stops(evidence: &CellEvidence) -> Vec<String> {
    let stops = evidence.stops.iter().filter_map(|stop| match stop.is_clean {
        Some(true) => None,
        Some(false) => Some(format!("{} ended with a failure", stop.name)),
        None => Some(format!("{} did not end", stop.name)),
    });
    stops.collect()
}

fn lists_applied(evidence: &CellEvidence) -> Vec<String> {
    evidence.edits.iter().flat_map(edit_violations).collect()
}

fn edit_violations(edit: &EditEvidence) -> Vec<String> {
    let limit = edit.accepted_ms + edit.fault_ms + PROPAGATION_LIMIT.as_millis() as u64;
    let mut known = BTreeSet::new();
    let mut violations = Vec::new();
    for sample in &edit.samples {
        match sample.is_applied {
            Some(true) => {
                if known.insert(sample.entry) && sample.at_ms > limit {
                    violations.push(format!("the edit was applied late at entry {}", sample.entry));
                }
            }
            Some(false) if known.contains(&sample.entry) => {
                violations.push(format!("the edit was reverted at entry {}", sample.entry));
            }
            Some(false) | None => {}
        }
    }
    let entries = edit.samples.iter().map(|sample| sample.entry).collect::<BTreeSet<_>>();
    let missing = entries.difference(&known);
    violations.extend(missing.map(|entry| format!("the edit was never applied at entry {entry}")));
    violations
}

fn quarantined(evidence: &CellEvidence) -> Vec<String> {
    let crashes = evidence.engines.iter().map(|engine| engine.records.crashes.len()).sum::<usize>();
    match crashes > QUARANTINE_CRASHES {
        true => vec![format!("one request crashed backend servers {crashes} times")],
        false => Vec::new(),
    }
}

fn recovered(evidence: &CellEvidence) -> Vec<String> {
    match evidence.has_recovered {
        true => Vec::new(),
        false => vec!["the fleet did not serve all probe requests after the faults".to_owned()],
    }
}
