//! Checks of a run by the records of the stand-ins.

use std::collections::BTreeMap;

use crate::{
    engine::{EngineRecords, OrderKind},
    service::ServiceRecords,
};

/// Largest number of engines that held a model at the same time.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct PeakEngineCount {
    /// Name of the model.
    pub model: String,
    /// Number of engines; a model counts from its load order to the end of its unload.
    pub count: u32,
}

/// An idempotency key with which plain services executed more than one call.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct RepeatedKey {
    /// Idempotency key that the executed calls share.
    pub key: String,
    /// Number of executed calls.
    pub count: usize,
}

/// Change in the number of engines that hold a model: 1 for a load, -1 for an unload or a crash.
/// Sorts by time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct EngineCountChange {
    at_ms: u64,
    delta: i64,
}

/// Computes the peak for each model over all engines; a crash ends all models of its engine.
pub fn peak_engine_counts(engines: &[EngineRecords]) -> Vec<PeakEngineCount> {
    let mut changes: BTreeMap<&str, Vec<EngineCountChange>> = BTreeMap::new();
    for records in engines {
        for (model, engine_changes) in engine_count_changes(records) {
            changes.entry(model).or_default().extend(engine_changes);
        }
    }
    let peak = |(model, mut changes): (&str, Vec<EngineCountChange>)| {
        changes.sort();
        let mut count = 0;
        let mut peak = 0;
        for change in changes {
            count += change.delta;
            peak = peak.max(count);
        }
        PeakEngineCount { model: model.to_owned(), count: u32::try_from(peak).unwrap_or(0) }
    };
    changes.into_iter().map(peak).collect()
}

/// Changes of one engine by model; adapters and refused orders are left out.
fn engine_count_changes(records: &EngineRecords) -> BTreeMap<&str, Vec<EngineCountChange>> {
    let mut changes: BTreeMap<&str, Vec<EngineCountChange>> = BTreeMap::new();
    let model_orders = records.orders.iter().filter(|order| order.key.adapter.is_none());
    for order in model_orders.filter(|order| order.accepted) {
        let model_changes = changes.entry(order.key.model.as_str()).or_default();
        let is_held = model_changes.iter().map(|change| change.delta).sum::<i64>() > 0;
        match (order.kind, is_held, order.done_ms) {
            (OrderKind::Load, false, _) => {
                model_changes.push(EngineCountChange { at_ms: order.received_ms, delta: 1 });
            }
            (OrderKind::Unload, true, Some(at_ms)) => {
                model_changes.push(EngineCountChange { at_ms, delta: -1 })
            }
            _ => {}
        }
    }
    for crash in &records.crashes {
        for model_changes in changes.values_mut() {
            let before = model_changes.iter().filter(|change| change.at_ms <= crash.at_ms);
            if before.map(|change| change.delta).sum::<i64>() > 0 {
                model_changes.push(EngineCountChange { at_ms: crash.at_ms, delta: -1 });
                model_changes.sort();
            }
        }
    }
    changes
}

/// Idempotency keys with more than one executed call over all services.
pub fn repeated_keys(services: &[ServiceRecords]) -> Vec<RepeatedKey> {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for call in services.iter().flat_map(|records| &records.calls) {
        if let Some(key) = &call.key {
            *counts.entry(key).or_default() += 1;
        }
    }
    let repeated = counts.into_iter().filter(|(_, count)| *count > 1);
    repeated.map(|(key, count)| RepeatedKey { key: key.to_owned(), count }).collect()
}
