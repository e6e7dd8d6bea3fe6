//! Metrics of the agent.

use base::metrics;
use prometheus::{IntCounter, IntCounterVec, IntGauge, Opts, Registry};
use residency::OrderAnswer;

/// All metrics of the process; clones share them.
#[derive(Debug, Clone)]
pub struct AgentMetrics {
    registry: Registry,
    orders: IntCounterVec,
    /// Change requests of the planner that were declined.
    pub declined: IntCounter,
    /// Polls of the engine that brought no report.
    pub lost_reports: IntCounter,
    /// Number of models loaded in the engine, by its last report.
    pub residents: IntGauge,
    /// Lines of the decision log dropped since the start.
    pub dropped_lines: IntGauge,
}

impl Default for AgentMetrics {
    fn default() -> Self {
        Self::new()
    }
}

impl AgentMetrics {
    /// Creates all metrics with a registry of their own.
    ///
    /// # Panics
    ///
    /// Never, because all names are valid constants.
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

    /// Counts one order by the engine's answer.
    pub fn count_order(&self, answer: OrderAnswer) {
        self.orders.with_label_values(&[answer.text()]).inc();
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        metrics::render(&self.registry)
    }
}
