//! Invariants, checked on what callers and backend servers recorded.

pub mod planned_stops;
pub mod power_losses;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    fmt,
    time::Duration,
};

use base::prelude::Instant;

use self::{
    planned_stops::{StreamRuns, find_lost},
    power_losses::find_unserved,
};
use crate::{
    callers::{CallKind, CallOutcome, CallReport},
    fleet::Fleet,
    injection::FaultLog,
    plan::Target,
};

/// Tolerance beyond the caller timeout for the outcome of a request.
const OUTCOME_MARGIN: Duration = Duration::from_millis(500);
/// Drain period of a backend server, and time after SIGTERM within which a fault of the process
/// excuses its late exit.
const DRAIN_MARGIN: Duration = Duration::from_millis(1_500);
/// Time before and after a fault in which requests that overlap it are excused, too.
const FAULT_MARGIN: Duration = Duration::from_millis(700);

/// Time after which all gateways know the limit of a server.
const LEARNING_TIME: Duration = Duration::from_millis(1_500);
/// Time over which requests to a server with a limit are counted.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// What it may receive in that time: one and a half times its limit of two a second, and five more.
const MAX_LIMITED: usize = 17;

/// One violation of an invariant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// Name of the invariant, as printed.
    pub invariant: &'static str,
    /// What was observed, for the report.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.invariant, self.detail)
    }
}

/// Evidence of one run.
pub struct Evidence<'a> {
    /// Requests with their outcomes.
    pub reports: &'a [CallReport],
    /// Fleet, with the records of the stand-ins.
    pub fleet: &'a Fleet,
    /// Faults that were injected.
    pub fault_log: &'a FaultLog,
    /// When all faults had ended.
    pub back: Instant,
}

impl Evidence<'_> {
    /// Checks every invariant and returns all violations.
    pub fn check(&self) -> Vec<Violation> {
        let runs = self.runs();
        // Failures come first: others follow from them.
        let failures = self.fault_log.failures.iter().map(|detail| Violation {
            invariant: "no process or fault injection fails",
            detail: detail.clone(),
        });
        let mut violations: Vec<Violation> = failures.collect();
        for report in self.reports {
            let count = runs.get(&report.call).copied().unwrap_or(0);
            violations.extend(self.check_call(report, count));
        }
        violations.extend(self.check_engines());
        violations.extend(self.check_versions());
        violations.extend(self.check_stops());
        violations.extend(find_lost(self.reports, self.fault_log, &self.stream_runs()));
        violations.extend(self.check_limits());
        violations.extend(find_unserved(self.reports, &self.fault_log.losses, self.back));
        violations
    }

    /// Number of runs by call ID; a stream resumed after an event belongs to the same run.
    fn runs(&self) -> HashMap<String, usize> {
        let mut runs = HashMap::new();
        for node in &self.fleet.services {
            for record in node.service.records() {
                *runs.entry(record.call).or_insert(0) += 1;
            }
        }
        for node in &self.fleet.engines {
            for run in node.engine.streams().iter().filter(|run| run.after.is_none()) {
                *runs.entry(run.call.clone()).or_insert(0) += 1;
            }
        }
        runs
    }

    /// Runs of streams, resumed ones included.
    fn stream_runs(&self) -> StreamRuns {
        let mut runs = StreamRuns::new();
        for run in self.fleet.engines.iter().flat_map(|node| node.engine.streams()) {
            runs.entry(run.call.clone()).or_default().push(run);
        }
        runs
    }

    fn check_call(&self, report: &CallReport, runs: usize) -> Vec<Violation> {
        let mut violations = Vec::new();
        let mut fail = |invariant, detail: String| {
            let detail = format!(
                "{} {:?} at gateway {}: {detail}",
                report.call, report.kind, report.gateway
            );
            violations.push(Violation { invariant, detail });
        };
        let must_run_at_most_once = matches!(report.kind, CallKind::Order | CallKind::Chat);
        if must_run_at_most_once && runs > 1 {
            fail("at most once", format!("ran {runs} times"));
        }
        match report.outcome {
            CallOutcome::Complete { status: status @ (408 | 421 | 429 | 503), .. } if runs > 0 => {
                fail(
                    "refused requests do not run",
                    format!("answered with status {status} but ran {runs} times"),
                );
            }
            CallOutcome::Complete { is_correct: false, status } => {
                fail(
                    "answers are complete and correct",
                    format!(
                        "the answer with status {status} is not the correct one for this request"
                    ),
                );
            }
            CallOutcome::Truncated { is_correct: false } => {
                fail(
                    "answers are complete and correct",
                    "the received part is not a prefix of the correct answer".to_owned(),
                );
            }
            CallOutcome::Complete { status: 404, .. } => {
                fail(
                    "current routes are served",
                    format!("{} was answered with status 404", report.path),
                );
            }
            CallOutcome::Abandoned
                if report.ended - report.sent >= report.timeout && !self.is_excused(report) =>
            {
                fail(
                    "served or refused in time",
                    "no outcome within the caller timeout".to_owned(),
                );
            }
            CallOutcome::NoAnswer { may_have_run: true } if !self.is_excused(report) => {
                fail("served or refused", "the connection was closed without an answer".to_owned());
            }
            _ if report.ended - report.sent > report.timeout + OUTCOME_MARGIN => {
                fail(
                    "served or refused in time",
                    format!("outcome after {:?}", report.ended - report.sent),
                );
            }
            _ => {}
        }
        violations
    }

    /// Whether the request overlaps a fault of its gateway, or, if its caller stopped waiting, a
    /// fault of a backend server or of the links to one, which can delay an answer beyond the
    /// timeout.
    fn is_excused(&self, report: &CallReport) -> bool {
        let (sent, ended) = (report.sent, report.ended);
        let overlaps =
            |from: Instant, to: Instant| from <= ended + FAULT_MARGIN && sent <= to + FAULT_MARGIN;
        let gateway = Target::Gateway(report.gateway);
        let is_faulted = self
            .fault_log
            .process_faults
            .iter()
            .any(|(target, from, to)| *target == gateway && overlaps(*from, *to));
        let backend_faults = self.fault_log.backend_faults.iter();
        let has_backend_fault = matches!(report.outcome, CallOutcome::Abandoned)
            && backend_faults.clone().any(|(from, to)| overlaps(*from, *to));
        is_faulted || has_backend_fault
    }

    /// Checks that no stream holds events of two software versions.
    fn check_versions(&self) -> Vec<Violation> {
        let mut versions: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
        for node in &self.fleet.engines {
            for run in node.engine.streams().into_iter().filter(|run| run.events > 0) {
                versions.entry(run.call).or_default().insert(node.engine.software());
            }
        }
        let joined = versions.into_iter().filter(|(_, versions)| versions.len() > 1);
        let violations = joined.map(|(call, versions)| Violation {
            invariant: "a stream holds events of one software version",
            detail: format!("{call} holds events of {versions:?}"),
        });
        violations.collect()
    }

    fn check_engines(&self) -> Vec<Violation> {
        let nodes = self.fleet.engines.iter().enumerate();
        let violations = nodes.flat_map(|(index, node)| {
            let found = node.engine.violations().into_iter();
            found.map(move |detail| Violation {
                invariant: "memory is never overcommitted",
                detail: format!("engine {index}: {detail}"),
            })
        });
        violations.collect()
    }

    /// Checks the requests to servers with a limit, if no fault delayed requests or separated gateways.
    fn check_limits(&self) -> Vec<Violation> {
        let is_calm = |began: Instant, ended: Instant| {
            let mut faults = self.fault_log.backend_faults.iter();
            self.fault_log.process_faults.is_empty()
                && !faults.any(|(from, to)| *from <= ended && began <= *to)
        };
        let limits = self.fault_log.limits.iter();
        let checked = limits.filter(|(_, began, ended)| is_calm(*began, *ended));
        let violations = checked.filter_map(|(index, began, ended)| {
            let arrivals = self.fleet.services[*index].service.arrivals().into_iter();
            let limited: Vec<Instant> =
                arrivals.filter(|at| *at > *began + LEARNING_TIME && at <= ended).collect();
            let in_window = |first: &Instant| {
                limited.iter().filter(|at| *at >= first && **at < *first + LIMIT_WINDOW).count()
            };
            let most = limited.iter().map(in_window).max().unwrap_or(0);
            (most > MAX_LIMITED).then(|| Violation {
                invariant: "limits that servers name are kept",
                detail: format!("backend server {index} received {most} requests in 4 s"),
            })
        });
        violations.collect()
    }

    fn check_stops(&self) -> Vec<Violation> {
        let stops = self.fault_log.stops.iter();
        let late = stops.filter(|(target, signalled, is_clean)| {
            let is_faulted = self.fault_log.process_faults.iter().any(|(other, from, to)| {
                other == target && *from < *signalled + DRAIN_MARGIN && *to > *signalled
            });
            !is_clean && !is_faulted
        });
        late.map(|(target, ..)| Violation {
            invariant: "planned stops end in time",
            detail: format!("{target} did not exit in time after SIGTERM"),
        })
        .collect()
    }
}

/// Checks that a draining backend server received no requests after its drain period.
/// `count_at_limit` is its number of records at the end of that period, `final_count` at the end of
/// the run.
pub fn check_drained(index: usize, count_at_limit: usize, final_count: usize) -> Option<Violation> {
    (final_count > count_at_limit).then(|| Violation {
        invariant: "draining servers get no new requests",
        detail: format!(
            "backend server {index} received {} requests after its drain period",
            final_count - count_at_limit
        ),
    })
}

/// Time after which a draining backend server must receive no new requests.
pub const DRAIN_LIMIT: Duration = DRAIN_MARGIN;
