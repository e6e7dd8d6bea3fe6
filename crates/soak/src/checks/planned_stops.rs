//! Requests that a planned stop of a gateway leaves without a complete answer.

use std::{collections::HashMap, time::Duration};

use base::prelude::Instant;
use platform_standin::StreamRecord;

use super::{FAULT_MARGIN, Violation};
use crate::{
    callers::{CallOutcome, CallReport},
    fleet::STOP_GRACE,
    injection::FaultLog,
    plan::Target,
};

/// Time after the grace in which the end of a connection is still put down to the stop.
const AFTER_GRACE: Duration = Duration::from_secs(1);
/// Share of the grace, at its end, in which a stream that an engine still works on may be cut.
const CUT_SHARE: f64 = 1.0 / 6.0;
/// Time after SIGTERM in which a request that may be cut then was sent.
const CUT_SENT_LIMIT: Duration = Duration::from_secs(3);
/// Time before its own limit from which on a request counts as having reached it.
const TIMEOUT_MARGIN: Duration = Duration::from_millis(100);

/// Runs of streams at the engines, by call ID.
pub type StreamRuns = HashMap<String, Vec<StreamRecord>>;

/// Returns a violation for each request that a gateway had read and that ended around its planned
/// stop without a complete answer.
pub fn find_lost(
    reports: &[CallReport],
    fault_log: &FaultLog,
    runs: &StreamRuns,
) -> Vec<Violation> {
    let stops = fault_log.stops.iter();
    let gateways = stops.filter_map(|(target, signalled, _)| match target {
        Target::Gateway(index) => Some((*index, *signalled)),
        Target::Agent(_) => None,
    });
    let violations = gateways.flat_map(|(gateway, signalled)| {
        let reports = reports.iter().filter(move |report| report.gateway == gateway);
        reports.filter_map(move |report| {
            let call_runs = runs.get(&report.call).map_or(&[][..], Vec::as_slice);
            let is_lost = is_lost(report, signalled, fault_log, call_runs);
            is_lost.then(|| violation(report, signalled, call_runs))
        })
    });
    violations.collect()
}

fn is_lost(
    report: &CallReport,
    signalled: Instant,
    fault_log: &FaultLog,
    runs: &[StreamRecord],
) -> bool {
    let is_unanswered = match report.outcome {
        // A gateway always has time for a refusal, whatever the engine does.
        CallOutcome::NoAnswer { may_have_run } => may_have_run,
        // A backend server that breaks off its answer ends that of the gateway, too.
        CallOutcome::Truncated { .. } => {
            !overlaps_backend_fault(report, fault_log)
                && !was_broken_off(runs)
                && !may_be_cut(report, signalled, runs)
        }
        CallOutcome::Complete { .. } | CallOutcome::Abandoned => false,
    };
    let is_in_stop =
        signalled <= report.ended && report.ended <= signalled + STOP_GRACE + AFTER_GRACE;
    let has_reached_timeout = report.ended - report.sent + TIMEOUT_MARGIN >= report.timeout;
    is_unanswered && is_in_stop && !has_reached_timeout && !overlaps_outage(report, fault_log)
}

fn violation(report: &CallReport, signalled: Instant, runs: &[StreamRecord]) -> Violation {
    let detail = format!(
        "{} {:?} at gateway {}: {:?} {:?} after SIGTERM, {:?} of {:?} after it was sent; {} runs at \
         engines",
        report.call,
        report.kind,
        report.gateway,
        report.outcome,
        report.ended - signalled,
        report.ended - report.sent,
        report.timeout,
        runs.len()
    );
    Violation { invariant: "planned stops lose no requests", detail }
}

/// Whether the gateway of the request was killed or suspended in its time.
fn overlaps_outage(report: &CallReport, fault_log: &FaultLog) -> bool {
    let gateway = Target::Gateway(report.gateway);
    let mut outages = fault_log.outages.iter();
    outages.any(|(target, from, to)| *target == gateway && overlaps(report, *from, *to))
}

fn overlaps_backend_fault(report: &CallReport, fault_log: &FaultLog) -> bool {
    fault_log.backend_faults.iter().any(|(from, to)| overlaps(report, *from, *to))
}

fn overlaps(report: &CallReport, from: Instant, to: Instant) -> bool {
    from <= report.ended + FAULT_MARGIN && report.sent <= to + FAULT_MARGIN
}

/// Whether an engine broke off the last run of the request. Faults that are counted in streams take
/// effect at the next streams, which may come long after the fault was injected.
fn was_broken_off(runs: &[StreamRecord]) -> bool {
    runs.iter().max_by_key(|run| run.began).is_some_and(|run| run.is_broken_off)
}

/// Whether the end of the grace may cut the answer: an engine still works on it then, and it was
/// sent early enough.
fn may_be_cut(report: &CallReport, signalled: Instant, runs: &[StreamRecord]) -> bool {
    let cut_to = signalled + STOP_GRACE;
    let cut_from = cut_to - STOP_GRACE.mul_f64(CUT_SHARE);
    let is_at_work =
        |run: &StreamRecord| run.began <= cut_to && run.ended.is_none_or(|ended| ended >= cut_from);
    report.sent <= signalled + CUT_SENT_LIMIT && runs.iter().any(is_at_work)
}
