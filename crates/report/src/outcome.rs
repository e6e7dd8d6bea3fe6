//! Counts of how requests ended, and the causes of those that missed their objective.

use std::{collections::BTreeMap, fmt};

use base::prelude::*;
use lists::WorkClass;
use serde::{Serialize, Serializer};

/// A customer and a class of its work.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CustomerClass {
    /// The customer.
    pub customer: CustomerId,
    /// The class.
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

/// Why requests missed their objective.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum MissCause {
    /// The model had to be loaded, or could not be.
    ColdStart,
    /// The wait for a free place, or a full queue.
    Queue,
    /// A backend server that was slow, failed or was lost.
    Straggler,
    /// Another refusal of the system.
    Refusal,
    /// The platform's store did not answer.
    StoreOutage,
}

impl MissCause {
    /// Every cause.
    pub const ALL: [MissCause; 5] = [
        MissCause::ColdStart,
        MissCause::Queue,
        MissCause::Straggler,
        MissCause::Refusal,
        MissCause::StoreOutage,
    ];

    /// The cause that a result code counts for; `None` for success and for faults of the caller.
    pub fn of_code(code: ResultCode) -> Option<Self> {
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

/// How requests ended.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct OutcomeCounts {
    /// Requests that count for the objective.
    pub requests: f64,
    /// Requests that were refused or failed, of these.
    pub refused: f64,
    /// Requests that missed the objective, by cause; late ones and refused ones.
    pub misses: BTreeMap<MissCause, f64>,
    /// Time to the first byte of all answers together, in seconds.
    pub seconds: f64,
}

impl OutcomeCounts {
    /// All requests that missed the objective.
    pub fn missed(&self) -> f64 {
        self.misses.values().sum()
    }

    /// Mean time to the first byte of an answer.
    pub fn mean_seconds(&self) -> f64 {
        let answered = self.requests - self.refused;
        if answered > 0.0 { self.seconds / answered } else { 0.0 }
    }

    /// Share of the misses that a cause has, between 0 and 1.
    pub fn cause_share(&self, cause: MissCause) -> f64 {
        let missed = self.missed();
        let count = self.misses.get(&cause).copied().unwrap_or_default();
        if missed > 0.0 { count / missed } else { 0.0 }
    }

    /// Adds other counts.
    pub fn add(&mut self, other: &OutcomeCounts) {
        self.add_growth(None, other);
    }

    pub(crate) fn count_code(&mut self, number: u32, count: f64) {
        let Some(code) = ResultCode::from_number(number) else { return };
        match MissCause::of_code(code) {
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

    /// Adds what `later` has more than `earlier`; counters that fell were started anew.
    pub(crate) fn add_growth(&mut self, earlier: Option<&OutcomeCounts>, later: &OutcomeCounts) {
        let fresh = OutcomeCounts::default();
        let is_restarted = earlier.is_some_and(|earlier| earlier.requests > later.requests);
        let base = earlier.filter(|_| !is_restarted).unwrap_or(&fresh);
        self.requests += later.requests - base.requests;
        self.refused += later.refused - base.refused;
        self.seconds += later.seconds - base.seconds;
        for (cause, count) in &later.misses {
            let before = base.misses.get(cause).copied().unwrap_or_default();
            *self.misses.entry(*cause).or_default() += count - before;
        }
    }
}
