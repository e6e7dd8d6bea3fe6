//! Services and the model engines behind them.

use std::sync::Arc;

use base::prelude::*;

use crate::units::{Megabytes, TokenCount};

/// A service that backend servers register for.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name.
    pub name: ServiceName,
    /// Connections that one backend server accepts from all callers together.
    pub max_connections: usize,
    /// What its engines can do; none for plain services.
    pub engine: Option<Arc<EngineSpec>>,
}

/// Sizes and speeds that the engines of a service share.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineSpec {
    /// Requests that run in one batch.
    pub batch_slots: u32,
    /// Tokens that fit into the memory of running requests and cached prompts.
    pub kv_capacity: TokenCount,
    /// Weights and adapters that fit into one engine.
    pub weights_capacity: Megabytes,
    /// Adapters that one engine holds, those in transit included.
    pub adapter_slots: usize,
    /// Loads from the weight store that may begin each second, over all engines.
    pub store_load_rate: EventRate,
    /// Copies of weights that an engine keeps in the memory of its VM.
    pub memory_cache: Megabytes,
    /// Copies of weights that an engine keeps on its disk.
    pub disk_cache: Megabytes,
    /// Whether a running request can move to another engine.
    pub can_migrate: bool,
    /// Models that may be loaded.
    pub models: Vec<ModelSpec>,
}

impl EngineSpec {
    /// The model named `model`.
    pub fn model(&self, model: &ModelId) -> Option<&ModelSpec> {
        self.models.iter().find(|spec| spec.id == *model)
    }
}

/// One model of the catalog.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelSpec {
    /// Name.
    pub id: ModelId,
    /// Size of the weights.
    pub weights: Megabytes,
    /// Time of a load from the weight store, while few run.
    pub store_load: Duration,
    /// Time of a load from the engine's own disk.
    pub disk_load: Duration,
    /// Time of a load from the memory of the engine's VM.
    pub memory_load: Duration,
    /// Adapters that exist for this model.
    pub adapters: u32,
    /// Size of one adapter.
    pub adapter_size: Megabytes,
}
