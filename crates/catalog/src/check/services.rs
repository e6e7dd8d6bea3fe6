//! Services that replace each other, and engines that cannot run what they are for.

use std::collections::{HashMap, HashSet};

use base::prelude::*;

use super::finding::{Finding, FindingKind, Place, ServiceField};
use crate::engine::{EngineSpec, Service};

pub(super) fn check(services: &[Service]) -> Vec<Finding> {
    let last: HashMap<&ServiceName, usize> =
        services.iter().enumerate().map(|(index, service)| (&service.name, index)).collect();
    let mut findings = Vec::new();
    for (index, service) in services.iter().enumerate() {
        let mut found = Vec::new();
        let last = last[&service.name];
        if last != index {
            let service = service.name.clone();
            found.push((ServiceField::Whole, FindingKind::DuplicateService { service, last }));
        }
        if service.max_connections == 0 {
            found.push((ServiceField::MaxConnections, FindingKind::NoConnections));
        }
        if let Some(engine) = &service.engine {
            found.extend(check_engine(engine));
        }
        let found = found.into_iter();
        findings
            .extend(found.map(|(field, kind)| Finding::new(Place::Service { index, field }, kind)));
    }
    findings
}

fn check_engine(engine: &EngineSpec) -> Vec<(ServiceField, FindingKind)> {
    let mut found = Vec::new();
    if engine.batch_slots == 0 {
        found.push((ServiceField::BatchSlots, FindingKind::NoBatchSlots));
    }
    let amounts = [
        ("weights", engine.weights_capacity.0),
        ("loads", engine.store_load_rate.0),
        ("memory cache", engine.memory_cache.0),
        ("disk cache", engine.disk_cache.0),
    ];
    found.extend(negative_values(ServiceField::Engine, &amounts));
    let mut names = HashSet::new();
    for spec in &engine.models {
        let model = spec.id.clone();
        if !names.insert(&spec.id) {
            found.push((ServiceField::Models, FindingKind::DuplicateModel { model }));
            continue;
        }
        let amounts = [("weights", spec.weights.0), ("adapter size", spec.adapter_size.0)];
        found.extend(negative_values(ServiceField::Models, &amounts));
        if spec.weights > engine.weights_capacity {
            let (size, capacity) = (spec.weights, engine.weights_capacity);
            let kind = FindingKind::ModelTooLarge { model: model.clone(), size, capacity };
            found.push((ServiceField::Models, kind));
        }
        if spec.adapters > 0 && engine.adapter_slots == 0 {
            let kind = FindingKind::AdaptersWithoutSlots { model, adapters: spec.adapters };
            found.push((ServiceField::AdapterSlots, kind));
        }
    }
    found
}

fn negative_values(
    field: ServiceField,
    amounts: &[(&'static str, f64)],
) -> Vec<(ServiceField, FindingKind)> {
    let negative = amounts.iter().filter(|(_, amount)| *amount < 0.0);
    let negative = negative.map(|&(value, amount)| FindingKind::NegativeValue { value, amount });
    negative.map(|kind| (field, kind)).collect()
}
