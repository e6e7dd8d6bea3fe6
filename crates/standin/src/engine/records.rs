//! Records of requests, orders and crashes; kept across crashes, so that tests can check them.

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
    /// The model was unloaded while the request was in flight.
    Unloaded,
    /// The engine crashed.
    Crashed,
}

/// One request to a loaded model; other requests are refused and not recorded.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecutionRecord {
    /// `x-request-id`, empty if absent.
    pub request_id: String,
    /// Requested model or adapter.
    pub model: String,
    /// Digest of the prompt, see [`crate::answers::short_digest`].
    pub prompt_digest: String,
    /// Arrival, in milliseconds since the Unix epoch.
    pub received_ms: u64,
    /// Start of the execution, in milliseconds since the Unix epoch; `None` if it never left the
    /// queue.
    pub started_ms: Option<u64>,
    /// How the request ended; `None` while it is in flight.
    pub end: Option<ExecutionEnd>,
}

/// Kind of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum OrderKind {
    /// Loads a model or adapter.
    Load,
    /// Unloads a model or adapter.
    Unload,
}

/// One order that started a load or unload, or was refused for its fencing number or for lack of
/// memory. Other orders are not recorded, such as a load of a loaded model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRecord {
    /// Whether it loads or unloads.
    pub kind: OrderKind,
    /// Model or adapter.
    pub key: ModelKey,
    /// Fencing number of the order, if it has one.
    pub fencing: Option<u64>,
    /// Arrival, in milliseconds since the Unix epoch.
    pub received_ms: u64,
    /// False if the order was refused for its fencing number or for lack of memory.
    pub accepted: bool,
    /// Completion, in milliseconds since the Unix epoch; `None` if it was not carried out.
    pub done_ms: Option<u64>,
}

/// One period in which a model or adapter used memory.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HoldingRecord {
    /// Model or adapter.
    pub key: ModelKey,
    /// Start of the load, in milliseconds since the Unix epoch.
    pub from_ms: u64,
    /// End of the unload, failure of the load or crash, in milliseconds since the Unix epoch;
    /// `None` while the memory is in use.
    pub until_ms: Option<u64>,
}

/// Crash of the engine, and the requests that it ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecord {
    /// Time of the crash, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Id of the request that caused the crash.
    pub request_id: String,
    /// Ids of all requests in flight, the cause included as the last one.
    pub in_flight: Vec<String>,
}

/// Answer to `GET /admin/records`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineRecords {
    /// Requests in order of arrival.
    pub executions: Vec<ExecutionRecord>,
    /// Load and unload orders, in the sequence of their arrival.
    pub orders: Vec<OrderRecord>,
    /// Periods of memory use, in order of start.
    pub holdings: Vec<HoldingRecord>,
    /// Crashes in order of time.
    pub crashes: Vec<CrashRecord>,
    /// Peak memory use, in bytes.
    pub peak_bytes: u64,
    /// Number of loads that were carried out although they exceeded the memory.
    pub overcommits: u32,
    /// Peak number of concurrent adapter loads.
    pub peak_adapter_loads: u32,
}

impl EngineRecords {
    pub(super) fn open_holding(&mut self, key: &ModelKey) {
        self.holdings.push(HoldingRecord { key: key.clone(), from_ms: now_ms(), until_ms: None });
    }

    /// Ends the open periods of the models that `matches` accepts.
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

    pub(super) fn record_order_done(&self, index: usize) {
        self.lock().records.orders[index].done_ms = Some(now_ms());
    }
}
