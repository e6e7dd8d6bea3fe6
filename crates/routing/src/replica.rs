//! State of one replica, as its owner knows it.

use std::collections::BTreeMap;

use base::{ids::AttemptId, prelude::*};
use lists::WorkClass;

use crate::{latency::ClassMedians, latency::SlownessMean, probation::SlowProbation};

/// Age at which a load report has no weight left.
const REPORT_MAX_AGE: Duration = Duration::from_secs(2);
/// Weight of a fresh load report, relative to the credits granted by this owner.
const REPORT_WEIGHT: f64 = 0.25;

/// Description of a replica that credits may be granted on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaInfo {
    /// VM of the backend server.
    pub vm: VmId,
    /// Incarnation of its side process.
    pub incarnation: ProcessIncarnation,
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// Number of requests that it runs at the same time.
    pub slots: u32,
}

/// How a credit ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CreditEnd {
    /// The answer is complete; carries the time from the hand-over to the end of the answer.
    Served(Duration),
    /// The request was withdrawn or not handed over, or its credit was reclaimed.
    Unused,
    /// The request was withdrawn after it had run for this time at the backend server.
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

#[derive(Debug)]
pub(crate) struct ReplicaState {
    pub(crate) info: ReplicaInfo,
    pub(crate) is_draining: bool,
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
            is_draining: false,
            long_limit: 0,
            credits: BTreeMap::new(),
            slowness: SlownessMean::new(now),
            probation: SlowProbation::Normal,
            long_running: 0,
            report: None,
        }
    }

    /// Applies changes within the same incarnation, and ends draining.
    pub(crate) fn update_info(&mut self, info: &ReplicaInfo) {
        self.info = info.clone();
        self.is_draining = false;
    }

    /// Whether new work is granted on the replica; on a slow one only with `include_slow`.
    pub(crate) fn accepts_work(&self, include_slow: bool) -> bool {
        !self.is_draining && (include_slow || !self.probation.is_slow())
    }

    pub(crate) fn has_free_slot(&self) -> bool {
        self.credits.len() < self.info.slots as usize
    }

    /// Whether a slot is free for `class`; long work is limited to leave slots for short work.
    pub(crate) fn has_slot_for(&self, class: WorkClass) -> bool {
        match class {
            WorkClass::Short => self.has_free_slot(),
            WorkClass::Long => self.has_free_slot() && self.long_running < self.long_limit,
        }
    }

    pub(crate) fn record_load(&mut self, running: u32, now: Instant) {
        self.report = Some(LoadReport { running, received: now });
    }

    pub(crate) fn open_credit(&mut self, id: AttemptId, credit: OpenCredit) {
        self.long_running += u32::from(credit.class == WorkClass::Long);
        self.credits.insert(id, credit);
    }

    pub(crate) fn close_credit(&mut self, id: AttemptId) -> Option<OpenCredit> {
        let credit = self.credits.remove(&id)?;
        self.long_running -= u32::from(credit.class == WorkClass::Long);
        Some(credit)
    }

    /// Expected load per slot with one more request, scaled by slowness; lower is better.
    pub(crate) fn load_score(&self, medians: &ClassMedians, now: Instant) -> f64 {
        let slots = f64::from(self.info.slots.max(1));
        let own = self.credits.len() as f64 + 1.0;
        (own + self.excess_load(now)) / slots * self.current_slowness(medians, now).factor(now)
    }

    /// Slowness that includes the open credits, by the time they have run so far.
    pub(crate) fn current_slowness(&self, medians: &ClassMedians, now: Instant) -> SlownessMean {
        let mut slowness = self.slowness;
        for credit in self.credits.values() {
            let age = now.saturating_duration_since(credit.granted);
            if let Some(factor) = medians.class(credit.class).log_factor(age) {
                slowness.observe_at_least(factor, now);
            }
        }
        slowness
    }

    /// Requests in the load report beyond the credits granted by this owner, weighted by the age of
    /// the report.
    fn excess_load(&self, now: Instant) -> f64 {
        let Some(report) = self.report else { return 0.0 };
        let age = now.saturating_duration_since(report.received).as_secs_f64();
        let freshness = (1.0 - age / REPORT_MAX_AGE.as_secs_f64()).max(0.0);
        let excess = f64::from(report.running) - self.credits.len() as f64;
        REPORT_WEIGHT * freshness * excess.max(0.0)
    }
}
