//! Counters of the agent.

use base::metrics;
use prometheus::{IntCounter, IntCounterVec, IntGauge, Opts, Registry};
use residency::OrderAnswer;

/// All metrics of the process; clones share them.
#[derive(Debug, Clone)]
pub struct AgentMetrics {
    registry: Registry,
    orders: IntCounterVec,
    /// Changes that were declined.
    pub declined: IntCounter,
    /// Reports that could not be read.
    pub lost_reports: IntCounter,
    /// Models that the engine holds.
    pub residents: IntGauge,
    /// Log lines that were dropped.
    pub dropped_lines: IntGauge,
}

impl Default for AgentMetrics {
    fn default() -> Self {
        Self::new()
    }
}

impl AgentMetrics {
    /// Fresh metrics.
    ///
    /// # Panics
    ///
    /// Never: all names are constant.
    pub fn new() -> Self {
        let counter = |name: &str, help: &str| IntCounter::new(name, help).expect("a valid name");
        let gauge = |name: &str, help: &str| IntGauge::new(name, help).expect("a valid name");
        let orders = IntCounterVec::new(
            Opts::new("fescuewalk_agent_orders_total", "Orders to the engine, by its answer"),
            &["answer"],
        )
        .expect("a valid name");
        let declined =
            counter("fescuewalk_agent_declined_changes_total", "Changes that were declined");
        let lost_reports = counter(
            "fescuewalk_agent_lost_reports_total",
            "Reports of the engine that could not be read",
        );
        let residents = gauge("fescuewalk_agent_resident_models", "Models that the engine holds");
        let dropped_lines =
            gauge("fescuewalk_agent_dropped_log_lines", "Log lines dropped since the start");
        let registry = metrics::registry(vec![
            Box::new(orders.clone()),
            Box::new(declined.clone()),
            Box::new(lost_reports.clone()),
            Box::new(residents.clone()),
            Box::new(dropped_lines.clone()),
        ]);
        Self { registry, orders, declined, lost_reports, residents, dropped_lines }
    }

    /// Counts an order.
    pub fn count_order(&self, answer: OrderAnswer) {
        self.orders.with_label_values(&[answer.text()]).inc();
    }

    /// All metrics as text.
    pub fn render(&self) -> String {
        metrics::render(&self.registry)
    }
}
