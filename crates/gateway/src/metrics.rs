//! Metrics of the gateway.

use base::{metrics, prelude::*};
use prometheus::{
    Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry, core::Collector,
};

use crate::{hedging::HedgeMetrics, quota_metrics::QuotaMetrics};

/// Buckets of the histogram of the time to the first byte, in seconds; the users' latency goals lie
/// within this range.
const FIRST_BYTE_BUCKETS: [f64; 12] =
    [0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.5, 2.5, 4.0, 8.0, 16.0];

/// All metrics of the process; clones share them.
#[derive(Debug, Clone)]
pub struct GatewayMetrics {
    registry: Registry,
    requests: IntCounterVec,
    /// Second attempts of slow requests.
    pub hedges: HedgeMetrics,
    /// Attempts at backend servers.
    pub attempts: IntCounter,
    /// Attempts without an answer that could be passed on.
    pub failed_attempts: IntCounter,
    /// Requests from their arrival to the end of their answer.
    pub in_flight: IntGauge,
    /// Seconds from a request to the first byte of its answer.
    pub first_byte: Histogram,
    /// Version of the current configuration; zero before the first one.
    pub catalog_version: IntGauge,
    /// Entries that count as live, this one included.
    pub live_entries: IntGauge,
    /// Lines of the decision log dropped since the start.
    pub dropped_log_lines: IntGauge,
    /// Backend servers that said in an answer that they leave.
    pub leaving_servers: IntCounter,
    /// Times that a backend server wanted no requests for a while.
    pub server_pauses: IntCounter,
    /// Backend servers that name a limit of requests.
    pub limited_servers: IntGauge,
    /// Queries for slots at backend servers that name a limit, also those to this entry itself.
    pub limit_queries: IntCounter,
    /// Backend servers that had ended when they were probed.
    pub ended_servers: IntCounter,
    /// Blocks of requests that crash backend servers, as of the last heartbeat.
    pub request_blocks: IntGauge,
    /// Newest version of the configuration that any entry is known to have.
    pub newest_catalog_version: IntGauge,
    /// Fetches of the configuration from other entries.
    pub catalog_fetches: IntCounter,
    /// Fetches among `catalog_fetches` that brought no newer version.
    pub failed_catalog_fetches: IntCounter,
    /// Times that another entry has fetched the configuration here.
    pub served_catalogs: IntCounter,
    /// Quotas of workspaces.
    pub quotas: QuotaMetrics,
    /// Bytes allocated for request bodies.
    pub request_body_bytes: IntGauge,
    /// Bytes allocated for buffered answers.
    pub answer_bytes: IntGauge,
    /// Open connections of callers.
    pub caller_connections: IntGauge,
    /// Stalled request bodies given up for others.
    pub evicted_bodies: IntCounter,
    /// Bodies refused because others use the memory.
    pub memory_refusals: IntCounter,
    /// Connections of callers closed for others or because their answer was not read.
    pub evicted_connections: IntCounter,
    /// Connections of callers refused at the limit.
    pub refused_connections: IntCounter,
    /// Attempts that waited because requests at the server use the memory for it.
    pub server_byte_waits: IntCounter,
}

impl Default for GatewayMetrics {
    fn default() -> Self {
        Self::new()
    }
}

impl GatewayMetrics {
    /// Metrics that all start at zero, in a registry of their own.
    ///
    /// # Panics
    ///
    /// Does not panic, because the names and buckets are constant and valid.
    pub fn new() -> Self {
        let counter = |name: &str, help: &str| IntCounter::new(name, help).expect("a valid name");
        let gauge = |name: &str, help: &str| IntGauge::new(name, help).expect("a valid name");
        let requests = IntCounterVec::new(
            Opts::new("fescuewalk_gateway_requests_total", "Requests that ended, by result code"),
            &["code"],
        )
        .expect("a valid name");
        let options = HistogramOpts::new(
            "fescuewalk_gateway_first_byte_seconds",
            "Time from a request to the first byte of its answer",
        );
        let first_byte = Histogram::with_opts(options.buckets(FIRST_BYTE_BUCKETS.to_vec()))
            .expect("valid bounds");
        let attempts = counter("fescuewalk_gateway_attempts_total", "Attempts at backend servers");
        let failed_attempts = counter(
            "fescuewalk_gateway_failed_attempts_total",
            "Attempts that brought no answer to pass on",
        );
        let in_flight = gauge("fescuewalk_gateway_in_flight_requests", "Requests in flight");
        let catalog_version =
            gauge("fescuewalk_gateway_catalog_version", "Version of the configuration in force");
        let live_entries =
            gauge("fescuewalk_gateway_live_entries", "Entries that count as live, with this one");
        let dropped_log_lines =
            gauge("fescuewalk_gateway_dropped_log_lines", "Log lines dropped since the start");
        let leaving_servers = counter(
            "fescuewalk_gateway_leaving_servers_total",
            "Backend servers that said in an answer that they leave",
        );
        let server_pauses = counter(
            "fescuewalk_gateway_server_pauses_total",
            "Times that a backend server wanted no requests for a while",
        );
        let limited_servers = gauge(
            "fescuewalk_gateway_limited_servers",
            "Backend servers that name a limit of requests",
        );
        let limit_queries = counter(
            "fescuewalk_gateway_limit_queries_total",
            "Queries for slots at backend servers that name a limit",
        );
        let ended_servers = counter(
            "fescuewalk_gateway_ended_servers_total",
            "Backend servers that had ended when they were probed",
        );
        let request_blocks = gauge(
            "fescuewalk_gateway_request_blocks",
            "Blocks of requests that crash backend servers",
        );
        let newest_catalog_version = gauge(
            "fescuewalk_gateway_newest_catalog_version",
            "Newest version of the configuration that any entry is known to have",
        );
        let catalog_fetches = counter(
            "fescuewalk_gateway_catalog_fetches_total",
            "Fetches of the configuration from other entries",
        );
        let failed_catalog_fetches = counter(
            "fescuewalk_gateway_failed_catalog_fetches_total",
            "Fetches of the configuration that brought no newer version",
        );
        let served_catalogs = counter(
            "fescuewalk_gateway_served_catalogs_total",
            "Times that another entry has fetched the configuration here",
        );
        let quotas = QuotaMetrics::new();
        let hedges = HedgeMetrics::new();
        let [sent_hedges, withheld_hedges] = hedges.collectors();
        let request_body_bytes =
            gauge("fescuewalk_gateway_request_body_bytes", "Bytes allocated for request bodies");
        let answer_bytes =
            gauge("fescuewalk_gateway_answer_bytes", "Bytes allocated for buffered answers");
        let caller_connections =
            gauge("fescuewalk_gateway_caller_connections", "Open connections of callers");
        let evicted_bodies = counter(
            "fescuewalk_gateway_evicted_bodies_total",
            "Stalled request bodies given up for others",
        );
        let memory_refusals = counter(
            "fescuewalk_gateway_memory_refusals_total",
            "Bodies refused because others use the memory",
        );
        let evicted_connections = counter(
            "fescuewalk_gateway_evicted_connections_total",
            "Connections of callers closed for others or because their answer was not read",
        );
        let refused_connections = counter(
            "fescuewalk_gateway_refused_connections_total",
            "Connections of callers refused at the limit",
        );
        let server_byte_waits = counter(
            "fescuewalk_gateway_server_byte_waits_total",
            "Attempts that waited because requests at the server use the memory for it",
        );
        let mut collectors: Vec<Box<dyn Collector>> = vec![
            sent_hedges,
            withheld_hedges,
            Box::new(requests.clone()),
            Box::new(attempts.clone()),
            Box::new(failed_attempts.clone()),
            Box::new(in_flight.clone()),
            Box::new(first_byte.clone()),
            Box::new(catalog_version.clone()),
            Box::new(live_entries.clone()),
            Box::new(dropped_log_lines.clone()),
            Box::new(leaving_servers.clone()),
            Box::new(server_pauses.clone()),
            Box::new(limited_servers.clone()),
            Box::new(limit_queries.clone()),
            Box::new(ended_servers.clone()),
            Box::new(request_blocks.clone()),
            Box::new(newest_catalog_version.clone()),
            Box::new(catalog_fetches.clone()),
            Box::new(failed_catalog_fetches.clone()),
            Box::new(served_catalogs.clone()),
            Box::new(request_body_bytes.clone()),
            Box::new(answer_bytes.clone()),
            Box::new(caller_connections.clone()),
            Box::new(evicted_bodies.clone()),
            Box::new(memory_refusals.clone()),
            Box::new(evicted_connections.clone()),
            Box::new(refused_connections.clone()),
            Box::new(server_byte_waits.clone()),
        ];
        collectors.extend(quotas.collectors());
        let registry = metrics::registry(collectors);
        Self {
            registry,
            requests,
            hedges,
            attempts,
            failed_attempts,
            in_flight,
            first_byte,
            catalog_version,
            live_entries,
            dropped_log_lines,
            leaving_servers,
            server_pauses,
            limited_servers,
            limit_queries,
            ended_servers,
            request_blocks,
            newest_catalog_version,
            catalog_fetches,
            failed_catalog_fetches,
            served_catalogs,
            quotas,
            request_body_bytes,
            answer_bytes,
            caller_connections,
            evicted_bodies,
            memory_refusals,
            evicted_connections,
            refused_connections,
            server_byte_waits,
        }
    }

    /// Counts a request that ended with `code`.
    pub fn count_request(&self, code: ResultCode) {
        self.requests.with_label_values(&[code.number().to_string()]).inc();
    }

    /// All metrics in the text format of Prometheus.
    pub fn render(&self) -> String {
        metrics::render(&self.registry)
    }
}
