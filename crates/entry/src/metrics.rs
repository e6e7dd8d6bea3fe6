//! Metrics of the entry process, in Prometheus text format.

use std::sync::atomic::Ordering;

use base::{metrics, prelude::*};
use object_api::rate_limit::CallCounts;
use prometheus::{
    HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    core::Collector,
};

/// Upper bounds of the latency histograms, in seconds.
const LATENCY_BUCKETS: [f64; 14] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.71, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0];

/// All metrics of one process.
#[derive(Debug, Clone)]
pub struct EntryMetrics {
    registry: Registry,
    /// Requests that ended, by customer, class and result code.
    pub requests: IntCounterVec,
    /// Answers that exceeded their latency objective, by customer, class and cause.
    pub slow: IntCounterVec,
    /// Time to the first byte of the answer, in seconds, by customer and class.
    pub first_byte: HistogramVec,
    /// Time from the grant request to the grant, in seconds, by whether the request waited for a
    /// load (label `cold`, `yes` or `no`).
    pub grant_wait: HistogramVec,
    /// Attempts beyond the first of a request.
    pub retries: IntCounter,
    /// Requests that arrived and whose answer has not ended.
    pub in_flight: IntGauge,
    /// Memory that bodies of requests and answers take, in bytes.
    pub body_bytes: IntGauge,
    /// Connections that were closed because their answers were not read.
    pub unread_connections: IntCounter,
    /// Attempts that waited because their backend server holds too much.
    pub server_byte_waits: IntCounter,
    /// Version of the current lists; zero before the first arrive.
    pub list_version: IntGauge,
    /// Calls to the platform, by kind: read, write, watch or refused.
    pub platform_calls: IntCounterVec,
    /// Connections from peers whose handshake failed.
    pub refused_peers: IntCounter,
    /// Log lines dropped since the start.
    pub dropped_lines: IntGauge,
}

fn counters(name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    IntCounterVec::new(Opts::new(name, help), labels).expect("the name is valid")
}

fn histograms(name: &str, help: &str, labels: &[&str]) -> HistogramVec {
    let options = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS.to_vec());
    HistogramVec::new(options, labels).expect("the name is valid")
}

impl EntryMetrics {
    /// Creates the metrics in a registry of their own, all at zero.
    pub fn new() -> Self {
        let mut metrics = Self {
            registry: Registry::new(),
            requests: counters(
                "fescuewalk_requests_total",
                "Requests by result code.",
                &["customer", "class", "code"],
            ),
            slow: counters(
                "fescuewalk_slow_total",
                "Answers later than their objective.",
                &["customer", "class", "cause"],
            ),
            first_byte: histograms(
                "fescuewalk_first_byte_seconds",
                "Time to the first byte of the answer.",
                &["customer", "class"],
            ),
            grant_wait: histograms(
                "fescuewalk_grant_wait_seconds",
                "Time from admission to the grant.",
                &["cold"],
            ),
            retries: IntCounter::new("fescuewalk_retries_total", "Attempts beyond the first.")
                .expect("the name is valid"),
            in_flight: IntGauge::new("fescuewalk_in_flight", "Requests in flight.")
                .expect("the name is valid"),
            body_bytes: IntGauge::new("fescuewalk_body_bytes", "Memory of request bodies.")
                .expect("the name is valid"),
            unread_connections: IntCounter::new(
                "fescuewalk_unread_connections_total",
                "Connections closed because their answers were not read.",
            )
            .expect("the name is valid"),
            server_byte_waits: IntCounter::new(
                "fescuewalk_server_byte_waits_total",
                "Attempts that waited for bodies at their backend server.",
            )
            .expect("the name is valid"),
            list_version: IntGauge::new("fescuewalk_list_version", "Version of the lists.")
                .expect("the name is valid"),
            platform_calls: counters(
                "fescuewalk_platform_calls_total",
                "Calls to the platform.",
                &["kind"],
            ),
            refused_peers: IntCounter::new("fescuewalk_refused_peers_total", "Peers refused.")
                .expect("the name is valid"),
            dropped_lines: IntGauge::new("fescuewalk_dropped_log_lines", "Log lines dropped.")
                .expect("the name is valid"),
        };
        metrics.registry = metrics::registry(metrics.collectors());
        metrics
    }

    fn collectors(&self) -> Vec<Box<dyn Collector>> {
        vec![
            Box::new(self.requests.clone()),
            Box::new(self.slow.clone()),
            Box::new(self.first_byte.clone()),
            Box::new(self.grant_wait.clone()),
            Box::new(self.retries.clone()),
            Box::new(self.in_flight.clone()),
            Box::new(self.body_bytes.clone()),
            Box::new(self.unread_connections.clone()),
            Box::new(self.server_byte_waits.clone()),
            Box::new(self.list_version.clone()),
            Box::new(self.platform_calls.clone()),
            Box::new(self.refused_peers.clone()),
            Box::new(self.dropped_lines.clone()),
        ]
    }

    /// Counts a request that ended with `code`.
    pub fn count_request(&self, customer: &str, class: &str, code: ResultCode) {
        let number = code.number().to_string();
        self.requests.with_label_values(&[customer, class, &number]).inc();
    }

    /// Sets the counters of platform calls to these totals.
    pub fn set_platform_calls(&self, counts: &CallCounts) {
        let kinds = [
            ("read", &counts.reads),
            ("write", &counts.writes),
            ("watch", &counts.watches),
            ("refused", &counts.refused),
        ];
        for (kind, count) in kinds {
            let counter = self.platform_calls.with_label_values(&[kind]);
            counter.reset();
            counter.inc_by(count.load(Ordering::Relaxed));
        }
    }

    /// Renders all metrics as text.
    pub fn render(&self) -> String {
        metrics::render(&self.registry)
    }
}

impl Default for EntryMetrics {
    fn default() -> Self {
        Self::new()
    }
}
