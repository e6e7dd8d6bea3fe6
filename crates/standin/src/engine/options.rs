//! Options and faults of the engine.

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

/// How the engine behaves.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// Memory for models and adapters.
    pub memory: ByteSize,
    /// Whether loads beyond the memory are refused; otherwise they are only recorded.
    pub refuses_overcommit: bool,
    /// Whether orders with an old fencing number are refused.
    pub checks_fencing: bool,
    /// Sequences that are generated at the same time.
    pub batch_size: usize,
    /// Time between two tokens of a sequence.
    pub token_time: Duration,
    /// Time to load a checkpoint cached in memory.
    pub memory_load: Duration,
    /// Time to load a checkpoint cached on disk.
    pub disk_load: Duration,
    /// Time to load an adapter while no more than 32 are in flight.
    pub adapter_load: Duration,
    /// Time to unload a model.
    pub unload_time: Duration,
    /// Weight store for checkpoints that are not cached.
    pub weights: Option<SocketAddr>,
    /// Checkpoints cached at the start; all others are remote.
    pub cached: BTreeMap<String, CacheTier>,
    /// Whether a load goes on when the connection that ordered it is lost.
    pub loads_outlive_orders: bool,
    /// Delay of the load report.
    pub report_lag: Duration,
    /// Time from a crash until the engine accepts calls again.
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
            loads_outlive_orders: true,
            report_lag: Duration::from_millis(500),
            restart_time: Duration::from_millis(500),
        }
    }
}

/// Faults as set by `PUT /admin/fault`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFault {
    /// Connections are dropped.
    pub down: bool,
    /// Tokens, loads and unloads take this many times longer.
    pub slow_factor: f64,
    /// A request whose body contains this text crashes the engine.
    pub crash_marker: Option<String>,
    /// This many further answers end early, without their end mark.
    pub cut_answers: u32,
    /// This many further requests are executed but lose their answer.
    pub lost_answers: u32,
    /// This many further loads fail.
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

/// Takes one from `counter` and tells whether there was one.
pub(super) fn take_one(counter: &mut u32) -> bool {
    let taken = *counter > 0;
    *counter = counter.saturating_sub(1);
    taken
}
