//! Options and injected faults of the engine.

use std::{collections::BTreeMap, net::SocketAddr};

use base::prelude::*;
use serde::{Deserialize, Serialize};

/// Where a checkpoint is cached.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CacheTier {
    /// In the memory of the backend server.
    Memory,
    /// On the disk of the backend server.
    Disk,
    /// Only in the weight store.
    Remote,
}

/// Capacity, timing and checks of the engine.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// Memory available to models and adapters.
    pub memory: ByteSize,
    /// Whether a load that exceeds the memory is refused; otherwise it is carried out and recorded.
    pub refuses_overcommit: bool,
    /// Whether an order is refused if a higher fencing number was received for its model.
    pub checks_fencing: bool,
    /// Largest number of sequences in the batch.
    pub batch_size: usize,
    /// Time between two tokens of a sequence.
    pub token_time: Duration,
    /// Time to load a checkpoint cached in memory.
    pub memory_load: Duration,
    /// Time to load a checkpoint cached on disk.
    pub disk_load: Duration,
    /// Time to load an adapter while at most 32 adapter loads run; with more, it grows with their
    /// number.
    pub adapter_load: Duration,
    /// Time to unload a model.
    pub unload_time: Duration,
    /// Weight store for checkpoints that are not cached; without one, no transfer is needed.
    pub weights: Option<SocketAddr>,
    /// Checkpoints cached at the start; all others are remote.
    pub cached: BTreeMap<String, CacheTier>,
    /// Whether a load continues when the connection of its order is lost.
    pub loads_survive_disconnect: bool,
    /// Age of the state that a load report shows.
    pub report_lag: Duration,
    /// Time from a crash until the engine serves calls again.
    pub restart_time: Duration,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            memory: ByteSize::gib(80),
            refuses_overcommit: false,
            checks_fencing: true,
            batch_size: 8,
            token_time: Duration::from_millis(2),
            memory_load: Duration::from_millis(20),
            disk_load: Duration::from_millis(80),
            adapter_load: Duration::from_millis(10),
            unload_time: Duration::from_millis(10),
            weights: None,
            cached: BTreeMap::new(),
            loads_survive_disconnect: true,
            report_lag: Duration::from_millis(500),
            restart_time: Duration::from_millis(500),
        }
    }
}

/// Injected faults, set by `PUT /admin/fault`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFault {
    /// The connection of every call is dropped, except for `/admin/fault` and `/admin/records`.
    pub down: bool,
    /// Factor by which tokens, loads and unloads take longer; values below 1 count as 1.
    pub slow_factor: f64,
    /// A request whose body contains this text crashes the engine.
    pub crash_marker: Option<String>,
    /// Number of next answers to truncate: they end halfway, a stream without `[DONE]`.
    pub cut_answers: u32,
    /// Number of next requests to execute without an answer; their connection is dropped.
    pub lost_answers: u32,
    /// Number of next loads to fail.
    pub failed_loads: u32,
}

impl Default for EngineFault {
    fn default() -> Self {
        Self {
            down: false,
            slow_factor: 1.0,
            crash_marker: None,
            cut_answers: 0,
            lost_answers: 0,
            failed_loads: 0,
        }
    }
}

/// Decrements `counter` down to 0; whether it was above 0.
pub(super) fn take_one(counter: &mut u32) -> bool {
    let taken = *counter > 0;
    *counter = counter.saturating_sub(1);
    taken
}
