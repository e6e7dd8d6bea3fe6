//! The promises, checked from what callers and backend servers saw.

use std::{collections::HashMap, fmt, time::Duration};

use base::prelude::Instant;

use crate::{
    callers::{CallKind, CallReport, PATIENCE, Seen},
    plan::Target,
    strike::Chronicle,
    world::World,
};

/// Time beyond a caller's patience within which an outcome must be known.
const LATE: Duration = Duration::from_millis(500);
/// Time after which a leaving backend server gets nothing, beyond what the settings allow.
const LEAVING: Duration = Duration::from_millis(1_500);
/// Time before and after a disturbance of a process in which its requests are excused.
const EXCUSE: Duration = Duration::from_millis(700);

/// A promise that was broken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Broken {
    /// Invariant.
    pub promise: &'static str,
    /// What was seen.
    pub what: String,
}

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.promise, self.what)
    }
}

/// Everything that a run showed.
pub struct Evidence<'a> {
    /// Requests.
    pub reports: &'a [CallReport],
    /// Fleet.
    pub world: &'a World,
    /// What was done to it.
    pub chronicle: &'a Chronicle,
}

impl Evidence<'_> {
    /// All promises that were broken.
    pub fn check(&self) -> Vec<Broken> {
        let runs = self.runs();
        let mut broken = Vec::new();
        for report in self.reports {
            let count = runs.get(&report.call).copied().unwrap_or(0);
            broken.extend(self.check_call(report, count));
        }
        broken.extend(self.check_engines());
        broken.extend(self.check_stops());
        broken.extend(
            self.chronicle
                .ended
                .iter()
                .map(|what| Broken { promise: "no process ends by itself", what: what.clone() }),
        );
        broken
    }

    /// How often each request ran; going on after an event is the same run.
    fn runs(&self) -> HashMap<String, usize> {
        let mut runs = HashMap::new();
        for seat in &self.world.services {
            for record in seat.service.records() {
                *runs.entry(record.call).or_insert(0) += 1;
            }
        }
        for seat in &self.world.engines {
            for run in seat.engine.streams().iter().filter(|run| run.after.is_none()) {
                *runs.entry(run.call.clone()).or_insert(0) += 1;
            }
        }
        runs
    }

    fn check_call(&self, report: &CallReport, runs: usize) -> Vec<Broken> {
        let mut broken = Vec::new();
        let mut fail = |promise, what: String| {
            let what =
                format!("{} {:?} at gateway {}: {what}", report.call, report.kind, report.gateway);
            broken.push(Broken { promise, what });
        };
        let may_run_once = matches!(report.kind, CallKind::Order | CallKind::Chat);
        if may_run_once && runs > 1 {
            fail("at most once", format!("ran {runs} times"));
        }
        match report.seen {
            Seen::Whole { status: status @ (408 | 421 | 429 | 503), .. } if runs > 0 => {
                fail("not run is true", format!("answered with {status} and ran {runs} times"));
            }
            Seen::Whole { is_genuine: false, status } => {
                fail("whole answers", format!("the answer with {status} is not the request's own"));
            }
            Seen::Cut { is_genuine: false } => {
                fail(
                    "whole answers",
                    "the part that came is not of the request's answer".to_owned(),
                );
            }
            Seen::Whole { status: 404, .. } => {
                fail("routes in force", format!("{} is not found", report.path));
            }
            Seen::GaveUp if report.ended - report.sent >= PATIENCE && !self.is_excused(report) => {
                fail("served or refused in time", "no outcome while its caller waited".to_owned());
            }
            Seen::Nothing { may_have_run: true } if !self.is_excused(report) => {
                fail("served or refused", "the connection ended without an answer".to_owned());
            }
            _ if report.ended - report.sent > PATIENCE + LATE => {
                fail("served or refused in time", format!("{:?}", report.ended - report.sent));
            }
            _ => {}
        }
        broken
    }

    /// Whether the request's gateway was struck while it was there, or the way to backend servers
    /// was, so that an answer can have come too late.
    fn is_excused(&self, report: &CallReport) -> bool {
        let (sent, ended) = (report.sent, report.ended);
        let overlaps = |from: Instant, to: Instant| from <= ended + EXCUSE && sent <= to + EXCUSE;
        let gateway = Target::Gateway(report.gateway);
        let is_struck = self
            .chronicle
            .struck
            .iter()
            .any(|(target, from, to)| *target == gateway && overlaps(*from, *to));
        let troubles = self.chronicle.backend_troubles.iter();
        let is_late_elsewhere = matches!(report.seen, Seen::GaveUp)
            && troubles.clone().any(|(from, to)| overlaps(*from, *to));
        is_struck || is_late_elsewhere
    }

    fn check_engines(&self) -> Vec<Broken> {
        let seats = self.world.engines.iter().enumerate();
        let violations = seats.flat_map(|(index, seat)| {
            let found = seat.engine.violations().into_iter();
            found.map(move |what| Broken {
                promise: "memory is never overcommitted",
                what: format!("engine {index}: {what}"),
            })
        });
        violations.collect()
    }

    fn check_stops(&self) -> Vec<Broken> {
        let stops = self.chronicle.stops.iter();
        let late = stops.filter(|(target, told, ended)| {
            let is_struck =
                self.chronicle.struck.iter().any(|(other, from, to)| {
                    other == target && *from < *told + LEAVING && *to > *told
                });
            !ended && !is_struck
        });
        late.map(|(target, ..)| Broken {
            promise: "planned stops end in time",
            what: format!("{target} did not end by itself"),
        })
        .collect()
    }
}

/// Requests that reached a leaving backend server after its time; `counts` are its records at the
/// end of that time, and `now` those at the end of the run.
pub fn check_leaving(index: usize, counts: usize, now: usize) -> Option<Broken> {
    (now > counts).then(|| Broken {
        promise: "leaving servers get nothing new",
        what: format!("backend server {index} got {} requests too late", now - counts),
    })
}

/// Time after which a leaving backend server gets nothing.
pub const LEAVING_BOUND: Duration = LEAVING;
