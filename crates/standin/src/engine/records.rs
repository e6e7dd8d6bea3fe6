//! What the engine executed; survives crashes, so that tests can judge by it.

use base::clock::since_epoch;
use serde::{Deserialize, Serialize};

use super::{EngineServer, ModelKey};

/// How an execution ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ExecutionEnd {
    /// Every token was generated.
    Finished,
    /// The request was cancelled or its connection was lost.
    Cancelled,
    /// The model was unloaded under the request.
    Unloaded,
    /// The engine crashed.
    Crashed,
}

/// One request that the engine received.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecutionRecord {
    /// `x-request-id`, empty if absent.
    pub request_id: String,
    /// Model or adapter.
    pub model: String,
    /// Digest of the prompt.
    pub prompt_digest: String,
    /// Arrival, in milliseconds since the Unix epoch.
    pub received_ms: u64,
    /// Begin of the execution, if the request left the queue.
    pub started_ms: Option<u64>,
    /// End, if there was one.
    pub end: Option<ExecutionEnd>,
}

/// Kind of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum OrderKind {
    /// A load.
    Load,
    /// An unload.
    Unload,
}

/// One order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRecord {
    /// Load or unload.
    pub kind: OrderKind,
    /// Model or adapter.
    pub key: ModelKey,
    /// Fencing number carried.
    pub fencing: Option<u64>,
    /// Arrival, in milliseconds since the Unix epoch.
    pub received_ms: u64,
    /// Whether the order was accepted.
    pub accepted: bool,
    /// Time at which it had been carried out, if it was.
    pub done_ms: Option<u64>,
}

/// One span of time during which a model or adapter took memory.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HoldingRecord {
    /// Model or adapter.
    pub key: ModelKey,
    /// Begin of the load, in milliseconds since the Unix epoch.
    pub from_ms: u64,
    /// End of the unload, of a failed load or of the engine, if there was one.
    pub until_ms: Option<u64>,
}

/// One crash.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecord {
    /// Time, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Request whose body crashed the engine.
    pub request_id: String,
    /// All requests that were in flight.
    pub in_flight: Vec<String>,
}

/// Answer to `GET /admin/records`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineRecords {
    /// Requests in the order of their arrivals.
    pub executions: Vec<ExecutionRecord>,
    /// Orders in the order of their arrivals.
    pub orders: Vec<OrderRecord>,
    /// Spans during which models took memory, in the order of their begins.
    pub holdings: Vec<HoldingRecord>,
    /// Crashes.
    pub crashes: Vec<CrashRecord>,
    /// Most memory taken at any time, in bytes.
    pub peak_bytes: u64,
    /// Number of loads that took more memory than there is.
    pub overcommits: u32,
    /// Most adapter loads in flight at the same time.
    pub peak_adapter_loads: u32,
}

impl EngineRecords {
    pub(super) fn open_holding(&mut self, key: &ModelKey) {
        self.holdings.push(HoldingRecord { key: key.clone(), from_ms: now_ms(), until_ms: None });
    }

    /// Ends the open spans that `matches` accepts.
    pub(super) fn close_holdings(&mut self, matches: impl Fn(&ModelKey) -> bool) {
        for holding in &mut self.holdings {
            if holding.until_ms.is_none() && matches(&holding.key) {
                holding.until_ms = Some(now_ms());
            }
        }
    }
}

pub(super) fn now_ms() -> u64 {
    since_epoch().as_millis() as u64
}

impl EngineServer {
    pub(super) fn record_arrival(&self, execution: ExecutionRecord) -> usize {
        let executions = &mut self.lock().records.executions;
        executions.push(execution);
        executions.len() - 1
    }

    pub(super) fn record_start(&self, index: usize) {
        self.lock().records.executions[index].started_ms = Some(now_ms());
    }

    pub(super) fn record_end(&self, index: usize, end: ExecutionEnd) {
        self.lock().records.executions[index].end.get_or_insert(end);
    }

    pub(super) fn record_order(
        &self,
        kind: OrderKind,
        key: &ModelKey,
        fencing: Option<u64>,
        accepted: bool,
    ) -> usize {
        let orders = &mut self.lock().records.orders;
        let received_ms = now_ms();
        orders.push(OrderRecord {
            kind,
            key: key.clone(),
            fencing,
            received_ms,
            accepted,
            done_ms: None,
        });
        orders.len() - 1
    }

    pub(super) fn record_done(&self, index: usize) {
        self.lock().records.orders[index].done_ms = Some(now_ms());
    }
}
