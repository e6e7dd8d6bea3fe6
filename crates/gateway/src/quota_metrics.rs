//! Metrics of the quotas of workspaces.

use prometheus::{
    Gauge, GaugeVec, Histogram, HistogramOpts, IntCounter, IntCounterVec, Opts, core::Collector,
};

/// Buckets of the histogram of the wait for tokens, in seconds.
const WAIT_BUCKETS: [f64; 9] = [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.3, 0.6];

/// Metrics of the quotas of workspaces; clones share them.
#[derive(Debug, Clone)]
pub struct QuotaMetrics {
    /// Requests that got no tokens, by workspace and cause.
    pub refused: IntCounterVec,
    /// Seconds that requests waited for tokens; those that did not wait are left out.
    pub wait: Histogram,
    /// Queries for tokens to other entries.
    pub queries: IntCounter,
    /// Queries of other entries that were passed on or answered here.
    pub answers: IntCounterVec,
    /// Tokens in the accounts that this entry keeps, by workspace.
    pub levels: GaugeVec,
    /// Share of the rates that this entry may give out.
    pub share: Gauge,
}

impl Default for QuotaMetrics {
    fn default() -> Self {
        Self::new()
    }
}

impl QuotaMetrics {
    /// Metrics that all start at zero.
    ///
    /// # Panics
    ///
    /// Does not panic, because the names and buckets are constant and valid.
    pub fn new() -> Self {
        let counters = |name: &str, help: &str, labels: &[&str]| {
            IntCounterVec::new(Opts::new(name, help), labels).expect("a valid name")
        };
        let wait = HistogramOpts::new(
            "fescuewalk_gateway_quota_wait_seconds",
            "Time for which requests waited for tokens of their workspace",
        );
        Self {
            refused: counters(
                "fescuewalk_gateway_quota_refusals_total",
                "Requests that got no tokens, by workspace and cause",
                &["workspace", "cause"],
            ),
            wait: Histogram::with_opts(wait.buckets(WAIT_BUCKETS.to_vec())).expect("valid bounds"),
            queries: IntCounter::new(
                "fescuewalk_gateway_quota_queries_total",
                "Queries for tokens to other entries",
            )
            .expect("a valid name"),
            answers: counters(
                "fescuewalk_gateway_quota_answers_total",
                "Queries for tokens from other entries, by how they were handled",
                &["as"],
            ),
            levels: GaugeVec::new(
                Opts::new(
                    "fescuewalk_gateway_quota_level_tokens",
                    "Tokens in the accounts that this entry keeps",
                ),
                &["workspace"],
            )
            .expect("a valid name"),
            share: Gauge::new(
                "fescuewalk_gateway_quota_rate_share",
                "Share of the rates of quotas that this entry may give out",
            )
            .expect("a valid name"),
        }
    }

    /// All of them, to be registered.
    pub fn collectors(&self) -> Vec<Box<dyn Collector>> {
        vec![
            Box::new(self.refused.clone()),
            Box::new(self.wait.clone()),
            Box::new(self.queries.clone()),
            Box::new(self.answers.clone()),
            Box::new(self.levels.clone()),
            Box::new(self.share.clone()),
        ]
    }
}
