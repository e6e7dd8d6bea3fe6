//! Fixtures shared by the tests of this package.

#![allow(dead_code, reason = "each test uses some of them")]

use std::sync::Arc;

use base::prelude::*;
use catalog::{EngineSpec, Megabytes, ModelSpec, TokenCount};
use residency::{
    EngineReport, OrderCount,
    change::{ControllerAction, ControllerIdentity},
    controller::EngineController,
};
use roster::{IncarnationStart, InstanceId, ResidentModel};

pub fn model(name: &str) -> ModelId {
    name.parse().expect("a valid name")
}

pub fn adapter(name: &str) -> AdapterId {
    name.parse().expect("a valid name")
}

pub fn instance(name: &str) -> InstanceId {
    name.parse().expect("a valid name")
}

pub fn model_spec(name: &str) -> ModelSpec {
    ModelSpec {
        id: model(name),
        weights: Megabytes(70_000.0),
        store_load: Duration::from_secs(6),
        disk_load: Duration::from_millis(1_600),
        memory_load: Duration::from_millis(800),
        adapters: 12,
        adapter_size: Megabytes(60.0),
    }
}

/// The specification of engines with memory for three models of 70 GB, and with two adapter slots.
pub fn engine_spec(models: &[&str]) -> EngineSpec {
    EngineSpec {
        batch_slots: 64,
        kv_capacity: TokenCount(120_000),
        weights_capacity: Megabytes(220_000.0),
        adapter_slots: 2,
        store_load_rate: EventRate(2.8),
        memory_cache: Megabytes(150_000.0),
        disk_cache: Megabytes(1_400_000.0),
        can_migrate: true,
        models: models.iter().map(|name| model_spec(name)).collect(),
    }
}

pub fn resident(name: &str, adapters: &[&str]) -> ResidentModel {
    ResidentModel {
        model: model(name),
        weights_version: 1,
        adapters: adapters.iter().map(|name| adapter(name)).collect(),
    }
}

pub fn report(orders: u64, is_busy: bool, residents: &[ResidentModel]) -> EngineReport {
    EngineReport {
        started: Some(IncarnationStart(1)),
        orders: OrderCount(orders),
        is_busy,
        residents: residents.to_vec(),
        ..EngineReport::default()
    }
}

/// A controller without a specification or an engine report.
pub fn controller_without_spec() -> EngineController {
    EngineController::new(ControllerIdentity {
        holder: "side-1".parse().expect("a valid name"),
        fence: FencingNumber(1),
    })
}

/// A controller with the specification of the models a to e and the engine report `report`.
pub fn controller(report: EngineReport, now: Instant) -> EngineController {
    let mut controller = controller_without_spec();
    controller.set_spec(Arc::new(engine_spec(&["a", "b", "c", "d", "e"])), now);
    controller.apply_report(report, now);
    controller.take_actions();
    controller
}

/// The orders among `actions`, formatted as `<action> at <expected order count>`.
pub fn orders(actions: &[ControllerAction]) -> Vec<String> {
    actions
        .iter()
        .filter_map(|action| match action {
            ControllerAction::Order(order) => {
                Some(format!("{} at {}", order.action, order.expected))
            }
            ControllerAction::Decline(..) | ControllerAction::StateChanged => None,
        })
        .collect()
}
