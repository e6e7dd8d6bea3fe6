//! Whether service comes back after all processes were killed at once.

use std::{fmt, time::Duration};

use base::prelude::Instant;

use super::Violation;
use crate::{
    callers::{CallKind, CallOutcome, CallReport},
    injection::power_loss::LossRecord,
};

/// Time after the return of the machines from which on requests count.
pub const RECOVER_TIME: Duration = Duration::from_secs(12);
/// Share of the requests that must be served then, if it was served before.
const RECOVERED_SHARE: f64 = 0.25;
/// Share of the share of all requests that each kind must reach.
const KIND_SHARE: f64 = 0.25;
/// Number of requests of a kind from which on its share is checked.
const MIN_REQUESTS: usize = 8;

/// Requests of a group and how many of them were served.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServedCount {
    /// Number of requests, those aside that their callers left early.
    pub sent: usize,
    /// Number of those answered with status 200.
    pub served: usize,
}

impl ServedCount {
    /// Counts `reports`.
    pub fn of<'a>(reports: impl Iterator<Item = &'a CallReport>) -> Self {
        let mut count = Self::default();
        for report in reports {
            let has_left = matches!(report.outcome, CallOutcome::Abandoned)
                && report.ended - report.sent < report.timeout;
            if !has_left {
                count.sent += 1;
                count.served += usize::from(is_served(report));
            }
        }
        count
    }

    fn share(self) -> f64 {
        if self.sent == 0 { 0.0 } else { self.served as f64 / self.sent as f64 }
    }
}

impl fmt::Display for ServedCount {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} of {}", self.served, self.sent)
    }
}

fn is_served(report: &CallReport) -> bool {
    matches!(report.outcome, CallOutcome::Complete { status: 200, .. })
}

/// Requests before the last loss, and those sent later than [`RECOVER_TIME`] after `back`.
struct Recovery<'a> {
    reports: &'a [CallReport],
    loss: &'a LossRecord,
    back: Instant,
}

impl Recovery<'_> {
    fn before(&self, kind: Option<CallKind>) -> ServedCount {
        let reports = self.reports.iter().filter(|report| report.sent < self.loss.began);
        ServedCount::of(reports.filter(|report| kind.is_none_or(|kind| report.kind == kind)))
    }

    fn after(&self, kind: Option<CallKind>) -> ServedCount {
        let from = self.back + RECOVER_TIME;
        let reports = self.reports.iter().filter(|report| report.sent > from);
        ServedCount::of(reports.filter(|report| kind.is_none_or(|kind| report.kind == kind)))
    }

    /// Time from the return of power to the end of the first served request that was sent after the
    /// loss.
    fn first_served(&self, kind: CallKind) -> Option<Duration> {
        let reports = self.reports.iter().filter(|report| {
            report.kind == kind && report.sent >= self.loss.began && is_served(report)
        });
        let first = reports.map(|report| report.ended).min()?;
        Some(first.saturating_duration_since(self.loss.returned))
    }
}

/// Returns a violation if the requests, or those of one kind, are not served again; `back` is when all
/// processes had been restarted and all faults had ended.
pub fn find_unserved(
    reports: &[CallReport],
    losses: &[LossRecord],
    back: Instant,
) -> Vec<Violation> {
    let Some(loss) = losses.iter().max_by_key(|loss| loss.began) else { return Vec::new() };
    let recovery = Recovery { reports, loss, back };
    let (before, after) = (recovery.before(None), recovery.after(None));
    let mut violations = Vec::new();
    if before.share() >= RECOVERED_SHARE && after.share() < RECOVERED_SHARE {
        let detail = format!("{after} served 12 s after the last restart, {before} before");
        violations
            .push(Violation { invariant: "service comes back after a loss of power", detail });
    }
    for kind in CallKind::ALL {
        let (own_before, own) = (recovery.before(Some(kind)), recovery.after(Some(kind)));
        let was_served = own_before.share() >= KIND_SHARE * before.share();
        let is_served = own.share() >= KIND_SHARE * after.share();
        if was_served && !is_served && own.sent >= MIN_REQUESTS {
            let detail =
                format!("{kind:?}: {own} served 12 s after the last restart, {own_before} before");
            violations.push(Violation {
                invariant: "each kind comes back after a loss of power",
                detail,
            });
        }
    }
    violations
}

/// Describes how service came back after the last loss; `None` if there was none.
pub fn describe(reports: &[CallReport], losses: &[LossRecord], back: Instant) -> Option<String> {
    let loss = losses.iter().max_by_key(|loss| loss.began)?;
    let recovery = Recovery { reports, loss, back };
    let firsts = CallKind::ALL.map(|kind| match recovery.first_served(kind) {
        Some(time) => format!("{kind:?} {:.1} s", time.as_secs_f64()),
        None => format!("{kind:?} never"),
    });
    Some(format!(
        "{} losses; all started {:.1} s after power returned, first served {}; {} served before, {} \
         12 s after",
        losses.len(),
        (loss.restarted - loss.returned).as_secs_f64(),
        firsts.join(", "),
        recovery.before(None),
        recovery.after(None)
    ))
}
