//! What a quota allows, and how its tolerance is divided.

use base::prelude::*;
use catalog::WorkspaceQuota;

/// Share of the allowance by which an account may hold more than the burst, so that rounding,
/// latency and lost grants refuse nothing within the limit.
const ROOM_SHARE: f64 = 0.45;
/// Share of the allowance with which an entry begins that takes over the account of a lost one.
const RESERVE_SHARE: f64 = 0.45;
/// Part of the overrun, in seconds of the rate, that it begins with on top of that: the requests that
/// came while nobody answered need tokens together.
const RESERVE_SECONDS: f64 = 1.5;
/// Part of the overrun by which the rates of the sides of a split fleet may add up to more than the
/// rate, so that the loss of one entry in 25 or fewer lowers the rate of none.
const SPLIT_SHARE: f64 = 0.4;

/// Rate and burst of a workspace.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaTerms {
    /// Tokens a second.
    pub rate: f64,
    /// Tokens that may be used at once on top of the rate.
    pub burst: f64,
}

impl From<&WorkspaceQuota> for QuotaTerms {
    fn from(quota: &WorkspaceQuota) -> Self {
        Self { rate: quota.rate.0, burst: quota.burst.0 as f64 }
    }
}

/// How far the use of all entries together may exceed a quota.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaTolerance {
    /// Time over which the use is counted.
    pub window: Duration,
    /// Excess as a share of what the quota allows within the window.
    pub overrun: f64,
    /// Excess in tokens on top of it.
    pub allowance: f64,
}

impl Default for QuotaTolerance {
    fn default() -> Self {
        Self { window: Duration::from_secs(8), overrun: 0.1, allowance: 11_000.0 }
    }
}

impl QuotaTolerance {
    /// Most tokens that the requests of a workspace may use within one window.
    pub fn bound(&self, terms: QuotaTerms) -> f64 {
        let allowed = terms.rate * self.window.as_secs_f64() + terms.burst;
        allowed * (1.0 + self.overrun) + self.allowance
    }

    /// Most tokens that the account of a workspace holds.
    pub fn capacity(&self, terms: QuotaTerms) -> f64 {
        terms.burst * (1.0 + self.overrun) + self.allowance * ROOM_SHARE
    }

    /// Most tokens that the account of a workspace holds at an entry that may give out `share` of the
    /// rates: each side of a split fleet has an account.
    pub fn capacity_for(&self, terms: QuotaTerms, share: f64) -> f64 {
        let least = self.allowance * (1.0 - ROOM_SHARE - RESERVE_SHARE);
        (self.capacity(terms) * share).max(least)
    }

    /// Tokens with which an entry begins that takes over the account of a lost one.
    pub fn reserve(&self, terms: QuotaTerms) -> f64 {
        let reserve = self.allowance * RESERVE_SHARE + self.overrun * RESERVE_SECONDS * terms.rate;
        reserve.min(self.capacity(terms))
    }

    /// Share of the rates that an entry may give out that has just heard `heard` of `known` entries,
    /// itself included. The others may be on another side of a split fleet, with an account of their
    /// own.
    pub fn rate_share(&self, heard: usize, known: usize) -> f64 {
        let share = heard as f64 / known.max(1) as f64;
        (share * (1.0 + SPLIT_SHARE * self.overrun)).min(1.0)
    }
}
