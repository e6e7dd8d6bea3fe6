//! Models on the engine, their memory use and fencing numbers.

use std::collections::BTreeMap;

use base::prelude::*;

use super::{CacheTier, EngineListing, ModelKey, ModelListing, ModelState};

/// Models and caches of the engine.
#[derive(Debug)]
pub(super) struct ModelTable {
    memory: ByteSize,
    models: BTreeMap<ModelKey, ModelEntry>,
    cached: BTreeMap<String, CacheTier>,
    /// Highest fencing number received for each model.
    highest_fences: BTreeMap<ModelKey, u64>,
}

#[derive(Debug, Clone, Copy)]
struct ModelEntry {
    state: ModelState,
    bytes: u64,
    fencing: Option<u64>,
}

impl ModelTable {
    pub(super) fn new(memory: ByteSize, cached: BTreeMap<String, CacheTier>) -> Self {
        Self { memory, cached, models: BTreeMap::new(), highest_fences: BTreeMap::new() }
    }

    pub(super) fn state(&self, key: &ModelKey) -> Option<ModelState> {
        self.models.get(key).map(|entry| entry.state)
    }

    /// Records the fencing number of an order; false if a higher one was received for the model.
    pub(super) fn accept_fencing(&mut self, key: &ModelKey, fencing: Option<u64>) -> bool {
        let highest = self.highest_fences.entry(key.clone()).or_default();
        let number = fencing.unwrap_or(0);
        let accepted = number >= *highest;
        *highest = number.max(*highest);
        accepted
    }

    pub(super) fn used_bytes(&self) -> u64 {
        self.models.values().map(|entry| entry.bytes).sum()
    }

    pub(super) fn fits(&self, bytes: u64) -> bool {
        self.used_bytes().saturating_add(bytes) <= self.memory.0
    }

    pub(super) fn begin_load(&mut self, key: &ModelKey, bytes: u64, fencing: Option<u64>) {
        let entry = ModelEntry { state: ModelState::Loading, bytes, fencing };
        self.models.insert(key.clone(), entry);
    }

    pub(super) fn set_state(&mut self, key: &ModelKey, state: ModelState) {
        if let Some(entry) = self.models.get_mut(key) {
            entry.state = state;
        }
    }

    pub(super) fn remove(&mut self, key: &ModelKey) {
        self.models.remove(key);
    }

    /// Drops all models and the checkpoints cached in memory, as a crash does.
    pub(super) fn clear(&mut self) {
        self.models.clear();
        self.cached.retain(|_, tier| *tier != CacheTier::Memory);
    }

    pub(super) fn cache_tier(&self, name: &str) -> CacheTier {
        self.cached.get(name).copied().unwrap_or(CacheTier::Remote)
    }

    pub(super) fn set_cache_tier(&mut self, name: &str, tier: CacheTier) {
        self.cached.insert(name.to_owned(), tier);
    }

    /// The loaded model or adapter that is served under `name`.
    pub(super) fn find_loaded(&self, name: &str) -> Option<ModelKey> {
        let matches = |(key, entry): &(&ModelKey, &ModelEntry)| {
            key.served_name() == name && entry.state == ModelState::Loaded
        };
        self.models.iter().find(matches).map(|(key, _)| key.clone())
    }

    pub(super) fn adapter_loads(&self) -> u32 {
        let loading = self.models.iter().filter(|(key, entry)| {
            key.adapter.is_some() && matches!(entry.state, ModelState::Loading)
        });
        loading.count() as u32
    }

    pub(super) fn listing(&self, incarnation: u64) -> EngineListing {
        let models = self.models.iter().map(|(key, entry)| ModelListing {
            key: key.clone(),
            state: entry.state,
            bytes: entry.bytes,
            fencing: entry.fencing,
        });
        EngineListing {
            incarnation,
            models: models.collect(),
            cached: self.cached.clone(),
            memory_bytes: self.memory.0,
            used_bytes: self.used_bytes(),
        }
    }
}
