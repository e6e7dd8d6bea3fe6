//! Summary of a run: counts by verdict, and latency percentiles.

use std::{collections::BTreeMap, fmt};

use base::prelude::*;
use hdrhistogram::Histogram;

use super::{CallOutcome, CallVerdict};

/// Upper bound of the histogram; longer latencies are recorded as this value.
const MAX_LATENCY_MS: u64 = 3_600_000;

/// Percentiles of a latency, in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LatencySummary {
    /// Number of latencies.
    pub count: u64,
    /// 50th percentile.
    pub p50_ms: u64,
    /// 95th percentile.
    pub p95_ms: u64,
    /// 99th percentile.
    pub p99_ms: u64,
    /// Largest latency, at most one hour.
    pub max_ms: u64,
}

impl LatencySummary {
    /// Computes the percentiles of `latencies`, with 3 significant digits.
    pub fn of(latencies: impl IntoIterator<Item = Duration>) -> Self {
        let mut histogram =
            Histogram::<u64>::new_with_bounds(1, MAX_LATENCY_MS, 3).expect("the bounds are valid");
        for latency in latencies {
            histogram.saturating_record(latency.as_millis() as u64);
        }
        Self {
            count: histogram.len(),
            p50_ms: histogram.value_at_quantile(0.50),
            p95_ms: histogram.value_at_quantile(0.95),
            p99_ms: histogram.value_at_quantile(0.99),
            max_ms: histogram.max(),
        }
    }
}

impl fmt::Display for LatencySummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} calls, p50 {} ms, p95 {} ms, p99 {} ms, max {} ms",
            self.count, self.p50_ms, self.p95_ms, self.p99_ms, self.max_ms
        )
    }
}

/// Summary of a run.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RunSummary {
    /// Number of requests by verdict.
    pub verdicts: BTreeMap<CallVerdict, u64>,
    /// Time to the first byte of complete answers.
    pub first_byte: LatencySummary,
    /// Time to the end of complete answers.
    pub total: LatencySummary,
}

impl RunSummary {
    /// Summarizes `outcomes`; latencies count complete answers only.
    pub fn of(outcomes: &[CallOutcome]) -> Self {
        let mut verdicts = BTreeMap::new();
        for outcome in outcomes {
            *verdicts.entry(outcome.verdict).or_default() += 1;
        }
        let complete =
            || outcomes.iter().filter(|outcome| outcome.verdict == CallVerdict::Complete);
        Self {
            verdicts,
            first_byte: LatencySummary::of(complete().filter_map(|outcome| outcome.first_byte)),
            total: LatencySummary::of(complete().map(|outcome| outcome.took)),
        }
    }

    /// Number of requests with this verdict.
    pub fn count(&self, verdict: CallVerdict) -> u64 {
        self.verdicts.get(&verdict).copied().unwrap_or(0)
    }

    /// Number of requests that were refused with a result code.
    pub fn refused_count(&self) -> u64 {
        let is_refusal = |verdict: &CallVerdict| matches!(verdict, CallVerdict::Refused { .. });
        self.verdicts
            .iter()
            .filter(|(verdict, _)| is_refusal(verdict))
            .map(|(_, count)| count)
            .sum()
    }

    /// Number of requests that got neither their complete answer nor a valid refusal.
    pub fn failed_count(&self) -> u64 {
        let failures = [
            CallVerdict::Truncated,
            CallVerdict::Interrupted,
            CallVerdict::Mismatched,
            CallVerdict::NoAnswer,
            CallVerdict::InvalidRefusal,
        ];
        failures.into_iter().map(|verdict| self.count(verdict)).sum()
    }
}

impl fmt::Display for RunSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (verdict, count) in &self.verdicts {
            writeln!(f, "{count:>8}  {verdict}")?;
        }
        writeln!(f, "first byte: {}", self.first_byte)?;
        write!(f, "whole answer: {}", self.total)
    }
}
