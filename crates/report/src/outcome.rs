//! Counts of request outcomes, and the causes of requests that missed their objective.

use std::{collections::BTreeMap, fmt};

use base::prelude::*;
use lists::WorkClass;
use serde::{Serialize, Serializer};

/// A customer and a class of its work, displayed as `customer/class`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CustomerClass {
    /// Name of the customer.
    pub customer: CustomerId,
    /// Class of work, with an objective of its own.
    pub class: WorkClass,
}

impl fmt::Display for CustomerClass {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.customer, self.class)
    }
}

impl Serialize for CustomerClass {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.collect_str(self)
    }
}

/// Why a request missed its objective.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum MissCause {
    /// The model had to be loaded, or could not be.
    ColdStart,
    /// The request waited too long for a free slot, or the queue was full.
    Queue,
    /// A backend server was slow, failed or was lost.
    Straggler,
    /// The system refused the request for another reason.
    Refusal,
    /// The platform's store or the home region did not answer.
    StoreOutage,
}

impl MissCause {
    /// Every cause, in the order of reports.
    pub const ALL: [MissCause; 5] = [
        MissCause::ColdStart,
        MissCause::Queue,
        MissCause::Straggler,
        MissCause::Refusal,
        MissCause::StoreOutage,
    ];

    /// The cause to which a result code is attributed; `None` for success and for errors of the
    /// caller, which do not count against the objective.
    pub fn from_code(code: ResultCode) -> Option<Self> {
        match code {
            ResultCode::Success
            | ResultCode::MalformedRequest
            | ResultCode::BodyTooLarge
            | ResultCode::UnknownCustomer
            | ResultCode::UnknownModel
            | ResultCode::NotPermitted
            | ResultCode::KeyExpired
            | ResultCode::CallerCancelled
            | ResultCode::DuplicateKey => None,
            ResultCode::QueueFull | ResultCode::DeadlineUnmeetable | ResultCode::DeadlinePassed => {
                Some(MissCause::Queue)
            }
            ResultCode::NoReplica | ResultCode::LoadFailed => Some(MissCause::ColdStart),
            ResultCode::StoreUnavailable
            | ResultCode::RegionUnreachable
            | ResultCode::ClaimUncertain => Some(MissCause::StoreOutage),
            ResultCode::BackendLost
            | ResultCode::AnswerTimeout
            | ResultCode::AnswerCut
            | ResultCode::BackendFailed => Some(MissCause::Straggler),
            _ => Some(MissCause::Refusal),
        }
    }
}

impl fmt::Display for MissCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            MissCause::ColdStart => "cold start",
            MissCause::Queue => "queue",
            MissCause::Straggler => "straggler",
            MissCause::Refusal => "refusal",
            MissCause::StoreOutage => "store outage",
        })
    }
}

/// Request outcomes, as sums of counters.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct OutcomeCounts {
    /// Requests that count for the objective: all but those with errors of the caller.
    pub requests: f64,
    /// Number of these that were refused or failed.
    pub refused: f64,
    /// Requests that missed the objective, by cause: refused, failed or late.
    pub misses: BTreeMap<MissCause, f64>,
    /// Sum of the times to the first byte of all answers, in seconds.
    pub seconds: f64,
}

impl OutcomeCounts {
    /// Number of requests that missed the objective.
    pub fn missed(&self) -> f64 {
        self.misses.values().sum()
    }

    /// Mean time to the first byte in seconds; zero without answers.
    pub fn mean_seconds(&self) -> f64 {
        let answered = self.requests - self.refused;
        if answered > 0.0 { self.seconds / answered } else { 0.0 }
    }

    /// Share of the misses attributed to `cause`, between 0 and 1; zero without misses.
    pub fn cause_share(&self, cause: MissCause) -> f64 {
        let missed = self.missed();
        let count = self.misses.get(&cause).copied().unwrap_or_default();
        if missed > 0.0 { count / missed } else { 0.0 }
    }

    /// Adds the counts of `other`.
    pub fn add(&mut self, other: &OutcomeCounts) {
        self.add_increase(None, other);
    }

    pub(crate) fn count_code(&mut self, number: u32, count: f64) {
        let Some(code) = ResultCode::from_number(number) else { return };
        match MissCause::from_code(code) {
            Some(cause) => {
                self.requests += count;
                self.refused += count;
                *self.misses.entry(cause).or_default() += count;
            }
            None if code == ResultCode::Success => self.requests += count,
            None => {}
        }
    }

    pub(crate) fn count_slow(&mut self, cause: &str, count: f64) {
        let cause = match cause {
            "cold-start" => MissCause::ColdStart,
            "queue" => MissCause::Queue,
            _ => MissCause::Straggler,
        };
        *self.misses.entry(cause).or_default() += count;
    }

    /// Adds the increase from `earlier` to `later`. If the number of requests fell, the entry has
    /// restarted with counters at zero, so all of `later` is added.
    pub(crate) fn add_increase(&mut self, earlier: Option<&OutcomeCounts>, later: &OutcomeCounts) {
        let zero = OutcomeCounts::default();
        let is_restarted = earlier.is_some_and(|earlier| earlier.requests > later.requests);
        let base = earlier.filter(|_| !is_restarted).unwrap_or(&zero);
        self.requests += later.requests - base.requests;
        self.refused += later.refused - base.refused;
        self.seconds += later.seconds - base.seconds;
        for (cause, count) in &later.misses {
            let before = base.misses.get(cause).copied().unwrap_or_default();
            *self.misses.entry(*cause).or_default() += count - before;
        }
    }
}
