//! Services and the model engines behind them.

use std::sync::Arc;

use base::prelude::*;

use crate::units::{Megabytes, TokenCount};

/// A service for which backend servers register.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name under which backend servers register.
    pub name: ServiceName,
    /// Maximum number of connections to one backend server, over all its callers.
    pub max_connections: usize,
    /// Capacities and models of its engines; none for plain services.
    pub engine: Option<Arc<EngineSpec>>,
}

/// Capacities and speeds common to all engines of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineSpec {
    /// Maximum number of requests in one batch.
    pub batch_slots: u32,
    /// KV cache capacity, shared by running requests and cached prompts.
    pub kv_capacity: TokenCount,
    /// Memory of one engine for weights and adapters.
    pub weights_capacity: Megabytes,
    /// Maximum number of adapters in one engine, including those being loaded.
    pub adapter_slots: usize,
    /// Maximum rate of loads that start from the weight store, over all engines.
    pub store_load_rate: EventRate,
    /// Size of an engine's weight cache in the memory of its VM.
    pub memory_cache: Megabytes,
    /// Size of an engine's weight cache on its disk.
    pub disk_cache: Megabytes,
    /// Whether a running request can be migrated to another engine.
    pub can_migrate: bool,
    /// Models that its engines may load.
    pub models: Vec<ModelSpec>,
}

impl EngineSpec {
    /// The model named `model`, if the service may load it.
    pub fn model(&self, model: &ModelId) -> Option<&ModelSpec> {
        self.models.iter().find(|spec| spec.id == *model)
    }
}

/// Sizes and load times of one model.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelSpec {
    /// Name of the model.
    pub id: ModelId,
    /// Size of the weights.
    pub weights: Megabytes,
    /// Duration of a load from the weight store while few others run.
    pub store_load: Duration,
    /// Duration of a load from the engine's own disk.
    pub disk_load: Duration,
    /// Duration of a load from the memory of the engine's VM.
    pub memory_load: Duration,
    /// Number of adapters that exist for this model.
    pub adapters: u32,
    /// Size of one adapter.
    pub adapter_size: Megabytes,
}
