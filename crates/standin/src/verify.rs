//! Verdicts about a run from the stand-ins' own records.

use std::collections::BTreeMap;

use crate::{
    engine::{EngineRecords, OrderKind},
    service::ServiceRecords,
};

/// How many engines held a model at the same time, at most.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct PeakHeld {
    /// Model.
    pub model: String,
    /// Largest number of engines that held it, loading and unloading included.
    pub count: u32,
}

/// A key under which plain services executed more than one call.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct RepeatedKey {
    /// Idempotency key.
    pub key: String,
    /// Calls executed.
    pub count: usize,
}

/// A model taken into memory or given up, in the order of time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct HeldChange {
    at_ms: u64,
    delta: i64,
}

/// The peak of each model over all engines; a crash gives up all models of its engine.
pub fn peak_held(engines: &[EngineRecords]) -> Vec<PeakHeld> {
    let mut changes: BTreeMap<&str, Vec<HeldChange>> = BTreeMap::new();
    for records in engines {
        for (model, held) in held_changes(records) {
            changes.entry(model).or_default().extend(held);
        }
    }
    let peak = |(model, mut held): (&str, Vec<HeldChange>)| {
        held.sort();
        let mut count = 0;
        let mut peak = 0;
        for change in held {
            count += change.delta;
            peak = peak.max(count);
        }
        PeakHeld { model: model.to_owned(), count: u32::try_from(peak).unwrap_or(0) }
    };
    changes.into_iter().map(peak).collect()
}

fn held_changes(records: &EngineRecords) -> BTreeMap<&str, Vec<HeldChange>> {
    let mut changes: BTreeMap<&str, Vec<HeldChange>> = BTreeMap::new();
    let bases = records.orders.iter().filter(|order| order.key.adapter.is_none());
    for order in bases.filter(|order| order.accepted) {
        let held = changes.entry(order.key.model.as_str()).or_default();
        let is_held = held.iter().map(|change| change.delta).sum::<i64>() > 0;
        match (order.kind, is_held, order.done_ms) {
            (OrderKind::Load, false, _) => {
                held.push(HeldChange { at_ms: order.received_ms, delta: 1 });
            }
            (OrderKind::Unload, true, Some(at_ms)) => held.push(HeldChange { at_ms, delta: -1 }),
            _ => {}
        }
    }
    for crash in &records.crashes {
        for held in changes.values_mut() {
            let before = held.iter().filter(|change| change.at_ms <= crash.at_ms);
            if before.map(|change| change.delta).sum::<i64>() > 0 {
                held.push(HeldChange { at_ms: crash.at_ms, delta: -1 });
                held.sort();
            }
        }
    }
    changes
}

/// Keys executed more than once over all services.
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
