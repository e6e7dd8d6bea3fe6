//! One replica as its owner sees it.

use std::collections::BTreeMap;

use base::{ids::AttemptId, prelude::*};
use lists::WorkClass;

use crate::{latency::ClassMedians, latency::SlownessMean, probation::SlowProbation};

/// Time after which a load report says nothing any more.
const REPORT_HORIZON: Duration = Duration::from_secs(2);
/// Weight of a fresh load report against own observations.
const REPORT_WEIGHT: f64 = 0.25;

/// A replica that may be granted from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaInfo {
    /// VM of the backend server.
    pub vm: VmId,
    /// Life of its side process.
    pub incarnation: ProcessIncarnation,
    /// Availability zone.
    pub zone: ZoneName,
    /// Requests that it runs at once.
    pub slots: u32,
}

/// How a credit came back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CreditEnd {
    /// The answer ended; the time runs from hand-over to the end.
    Served(Duration),
    /// The request was withdrawn or never handed over.
    Unused,
    /// The request was withdrawn after this time at the backend server.
    Withdrawn(Duration),
    /// The backend server failed or was lost.
    Failed,
}

/// A credit that has been granted and not returned.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct OpenCredit {
    pub(crate) class: WorkClass,
    pub(crate) granted: Instant,
    pub(crate) is_trial: bool,
}

#[derive(Debug, Clone, Copy)]
struct LoadReport {
    running: u32,
    received: Instant,
}

/// State of one replica.
#[derive(Debug)]
pub(crate) struct ReplicaState {
    pub(crate) info: ReplicaInfo,
    pub(crate) is_leaving: bool,
    pub(crate) long_limit: u32,
    pub(crate) credits: BTreeMap<AttemptId, OpenCredit>,
    pub(crate) slowness: SlownessMean,
    pub(crate) probation: SlowProbation,
    long_running: u32,
    report: Option<LoadReport>,
}

impl ReplicaState {
    pub(crate) fn new(info: ReplicaInfo, now: Instant) -> Self {
        Self {
            info,
            is_leaving: false,
            long_limit: 0,
            credits: BTreeMap::new(),
            slowness: SlownessMean::new(now),
            probation: SlowProbation::Normal,
            long_running: 0,
            report: None,
        }
    }

    /// Takes over changes of the same incarnation; the replica does not leave any more.
    pub(crate) fn renew(&mut self, info: &ReplicaInfo) {
        self.info = info.clone();
        self.is_leaving = false;
    }

    /// Whether work is granted on the replica; `slow_too` if slow ones are not left out.
    pub(crate) fn takes_work(&self, slow_too: bool) -> bool {
        !self.is_leaving && (slow_too || !self.probation.is_slow())
    }

    pub(crate) fn has_free_slot(&self) -> bool {
        self.credits.len() < self.info.slots as usize
    }

    /// Whether a request of `class` fits without taking slots kept for the other.
    pub(crate) fn fits(&self, class: WorkClass) -> bool {
        match class {
            WorkClass::Short => self.has_free_slot(),
            WorkClass::Long => self.has_free_slot() && self.long_running < self.long_limit,
        }
    }

    pub(crate) fn report(&mut self, running: u32, now: Instant) {
        self.report = Some(LoadReport { running, received: now });
    }

    pub(crate) fn open(&mut self, id: AttemptId, credit: OpenCredit) {
        self.long_running += u32::from(credit.class == WorkClass::Long);
        self.credits.insert(id, credit);
    }

    pub(crate) fn close(&mut self, id: AttemptId) -> Option<OpenCredit> {
        let credit = self.credits.remove(&id)?;
        self.long_running -= u32::from(credit.class == WorkClass::Long);
        Some(credit)
    }

    /// Expected burden of one more request; lower is better.
    pub(crate) fn burden(&self, medians: &ClassMedians, now: Instant) -> f64 {
        let slots = f64::from(self.info.slots.max(1));
        let own = self.credits.len() as f64 + 1.0;
        (own + self.hint(now)) / slots * self.slowness_now(medians, now).factor(now)
    }

    /// Slowness with the requests that have not ended taken into account.
    pub(crate) fn slowness_now(&self, medians: &ClassMedians, now: Instant) -> SlownessMean {
        let mut slowness = self.slowness;
        for credit in self.credits.values() {
            let age = now.saturating_duration_since(credit.granted);
            if let Some(factor) = medians.class(credit.class).log_factor(age) {
                slowness.observe_at_least(factor, now);
            }
        }
        slowness
    }

    /// Requests that a late report shows beyond the own ones, by how fresh it is.
    fn hint(&self, now: Instant) -> f64 {
        let Some(report) = self.report else { return 0.0 };
        let age = now.saturating_duration_since(report.received).as_secs_f64();
        let freshness = (1.0 - age / REPORT_HORIZON.as_secs_f64()).max(0.0);
        let excess = f64::from(report.running) - self.credits.len() as f64;
        REPORT_WEIGHT * freshness * excess.max(0.0)
    }
}
