//! Metrics of the side process, in Prometheus text format.

use base::metrics;
use prometheus::{IntCounter, IntCounterVec, IntGauge, Opts, Registry};

/// All metrics of one process.
#[derive(Debug, Clone)]
pub struct SideMetrics {
    registry: Registry,
    /// Requests that were finished or refused, by result code.
    pub requests: IntCounterVec,
    /// Loads that ended, by result code.
    pub loads: IntCounterVec,
    /// Requests that wait for the backend server or run on it.
    pub in_flight: IntGauge,
    /// Memory taken by models and adapters or reserved for them, in bytes.
    pub reserved: IntGauge,
    /// Peer connections whose handshake failed.
    pub refused_peers: IntCounter,
    /// Log lines dropped since the start.
    pub dropped_lines: IntGauge,
}

impl SideMetrics {
    /// Creates and registers all metrics, with value zero.
    pub fn new() -> Self {
        let requests = IntCounterVec::new(
            Opts::new("fescuewalk_side_requests_total", "Requests by result code."),
            &["code"],
        )
        .expect("the name is valid");
        let loads = IntCounterVec::new(
            Opts::new("fescuewalk_side_loads_total", "Loads by result code."),
            &["code"],
        )
        .expect("the name is valid");
        let in_flight = IntGauge::new("fescuewalk_side_in_flight", "Requests in flight.")
            .expect("the name is valid");
        let reserved = IntGauge::new("fescuewalk_side_reserved_bytes", "Memory reserved.")
            .expect("the name is valid");
        let refused_peers =
            IntCounter::new("fescuewalk_side_refused_peers_total", "Peers refused.")
                .expect("the name is valid");
        let dropped_lines =
            IntGauge::new("fescuewalk_side_dropped_log_lines", "Log lines dropped.")
                .expect("the name is valid");
        let registry = metrics::registry(vec![
            Box::new(requests.clone()),
            Box::new(loads.clone()),
            Box::new(in_flight.clone()),
            Box::new(reserved.clone()),
            Box::new(refused_peers.clone()),
            Box::new(dropped_lines.clone()),
        ]);
        Self { registry, requests, loads, in_flight, reserved, refused_peers, dropped_lines }
    }

    /// Returns all metrics in Prometheus text format.
    pub fn render(&self) -> String {
        metrics::render(&self.registry)
    }
}

impl Default for SideMetrics {
    fn default() -> Self {
        Self::new()
    }
}
