//! The promises of the system, each judged by records of the stand-ins and callers' views.

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
    plan::{IN_FORCE_LIMIT, LEAVING_LIMIT, QUARANTINE_CRASHES},
    records::{CellEvidence, EditEvidence, EngineEvidence},
};

/// What must always hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Promise {
    /// No more replicas of a model are loaded than were decided.
    DecidedReplicas,
    /// A backend server's memory is never overcommitted.
    BoundedMemory,
    /// A request is served or refused in time, never dropped.
    ServedInTime,
    /// Each caller receives the whole answer to its own request.
    WholeAnswer,
    /// A refusal that says "not run" is true.
    TruthfulRefusal,
    /// A non-idempotent request runs at most once.
    AtMostOnce,
    /// A leaving backend server gets no new work after a few seconds.
    LeavingUnloaded,
    /// Every planned stop is a graceful shutdown that cuts off no request.
    GracefulStop,
    /// An accepted configuration is in force everywhere within seconds and never reverts.
    ListsInForce,
    /// A request that crashes backend servers is quarantined.
    Quarantine,
    /// The fleet serves again once the faults are over.
    Recovery,
}

/// A broken promise.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BrokenPromise {
    /// The promise.
    pub promise: Promise,
    /// What was seen.
    pub seen: String,
}

impl fmt::Display for BrokenPromise {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.promise, self.seen)
    }
}

/// Tells every place where a promise was broken.
type PromiseCheck = fn(&CellEvidence) -> Vec<String>;

/// Checks every promise.
pub fn check_all(evidence: &CellEvidence) -> Vec<BrokenPromise> {
    let checks: [(Promise, PromiseCheck); 11] = [
        (Promise::DecidedReplicas, decided_replicas),
        (Promise::BoundedMemory, bounded_memory),
        (Promise::ServedInTime, served_in_time),
        (Promise::WholeAnswer, whole_answers),
        (Promise::TruthfulRefusal, truthful_refusals),
        (Promise::AtMostOnce, at_most_once),
        (Promise::LeavingUnloaded, leaving_unloaded),
        (Promise::GracefulStop, graceful_stops),
        (Promise::ListsInForce, lists_in_force),
        (Promise::Quarantine, quarantined),
        (Promise::Recovery, recovered),
    ];
    let broken = checks.iter().flat_map(|(promise, check)| {
        let seen = check(evidence);
        seen.into_iter().map(|seen| BrokenPromise { promise: *promise, seen })
    });
    broken.collect()
}

/// A change of the number of replicas of a model.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct HoldingChange {
    at_ms: u64,
    /// Ends sort before begins, so that a replacement in the same millisecond is no overlap.
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

/// Most replicas of `model` that were held at the same time.
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

fn decided_replicas(evidence: &CellEvidence) -> Vec<String> {
    let peaks = evidence.decided.iter().filter_map(|(model, decided)| {
        let peak = peak_replicas(&evidence.engines, model);
        (peak > *decided).then(|| format!("{peak} replicas of {model}, {decided} decided"))
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
    let late = evidence.calls.iter().filter_map(|call| {
        let verdict = call.outcome.verdict;
        let is_dropped = matches!(verdict, CallVerdict::NoAnswer | CallVerdict::InvalidRefusal);
        let is_broken = is_dropped || !call.is_in_time();
        let is_excused = evidence.disturbed.contains(&call.entry);
        (is_broken && !is_excused).then(|| {
            let took = call.outcome.took.as_millis();
            let sent = call.sent_ms;
            format!(
                "{verdict} after {took} ms at entry {}, sent {sent}: {:?}",
                call.entry, call.call.kind
            )
        })
    });
    late.collect()
}

fn whole_answers(evidence: &CellEvidence) -> Vec<String> {
    let calls = evidence.calls.iter().chain(&evidence.probes);
    let partial = calls.filter(|call| match call.outcome.verdict {
        CallVerdict::Truncated | CallVerdict::Mismatched => true,
        CallVerdict::Interrupted => {
            !evidence.may_break_streams && !evidence.disturbed.contains(&call.entry)
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

fn unsafe_call(kind: &CallKind) -> Option<&ServiceCall> {
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
    let bodies = evidence.calls.iter().filter_map(|call| unsafe_call(&call.call.kind));
    let bodies = bodies.map(|call| call.body.as_str()).collect::<BTreeSet<_>>();
    let repeated = bodies.into_iter().filter_map(|body| {
        let count = runs.get(short_digest(&[body.as_bytes()]).as_str()).copied().unwrap_or(0);
        (count > 1).then(|| format!("{body:?} was run {count} times"))
    });
    repeated.collect()
}

fn late_work(name: &str, leaving_ms: Option<u64>, arrivals: &[u64]) -> Option<String> {
    let limit = leaving_ms? + LEAVING_LIMIT.as_millis() as u64;
    let late = arrivals.iter().filter(|arrival| **arrival > limit).count();
    (late > 0).then(|| format!("{name} got {late} requests long after it was leaving"))
}

fn leaving_unloaded(evidence: &CellEvidence) -> Vec<String> {
    let engines = evidence.engines.iter().enumerate().filter_map(|(index, engine)| {
        let executions = engine.records.executions.iter();
        let arrivals = executions.map(|execution| execution.received_ms).collect::<Vec<_>>();
        late_work(&format!("engine {index}"), engine.leaving_ms, &arrivals)
    });
    let desks = evidence.desks.iter().enumerate().filter_map(|(index, desk)| {
        let arrivals = desk.records.calls.iter().map(|call| call.started_ms).collect::<Vec<_>>();
        late_work(&format!("desk {index}"), desk.leaving_ms, &arrivals)
    });
    engines.chain(desks).collect()
}

fn graceful_stops(evidence: &CellEvidence) -> Vec<String> {
    let stops = evidence.stops.iter().filter_map(|stop| match stop.is_clean {
        Some(true) => None,
        Some(false) => Some(format!("{} ended with a failure", stop.name)),
        None => Some(format!("{} did not end", stop.name)),
    });
    stops.collect()
}

fn lists_in_force(evidence: &CellEvidence) -> Vec<String> {
    evidence.edits.iter().flat_map(edit_faults).collect()
}

fn edit_faults(edit: &EditEvidence) -> Vec<String> {
    let limit = edit.accepted_ms + edit.disturbed_ms + IN_FORCE_LIMIT.as_millis() as u64;
    let mut known = BTreeSet::new();
    let mut faults = Vec::new();
    for look in &edit.looks {
        match look.is_in_force {
            Some(true) => {
                if known.insert(look.entry) && look.at_ms > limit {
                    faults.push(format!("the edit came late to entry {}", look.entry));
                }
            }
            Some(false) if known.contains(&look.entry) => {
                faults.push(format!("the edit was reverted at entry {}", look.entry));
            }
            Some(false) | None => {}
        }
    }
    let entries = edit.looks.iter().map(|look| look.entry).collect::<BTreeSet<_>>();
    let missing = entries.difference(&known);
    faults.extend(missing.map(|entry| format!("the edit never came to entry {entry}")));
    faults
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
        false => vec!["the fleet did not serve again".to_owned()],
    }
}
