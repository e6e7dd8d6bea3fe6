//! Residency: which models and adapters the engines hold, and which they load next.

pub mod controller;
pub mod demand;
pub mod engine;
pub mod planner;
pub mod prefill;
pub mod store_concurrency;

pub use crate::{
    controller::{CurrentLoad, EngineChange},
    demand::{DemandRates, DemandRow, DemandTracker},
    engine::{EngineOrder, EngineReport, OrderAction, OrderAnswer, OrderCount, PendingAdapter},
    planner::{EngineSnapshot, PlannedChange, Planner},
};
