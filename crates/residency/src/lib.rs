//! Residency of models and adapters in engines: demand, planning of loads, orders to engines, and
//! admission of prompts to prefill.

pub mod change;
pub mod controller;
pub mod demand;
pub mod engine;
mod memory;
pub mod planner;
pub mod prefill;
pub mod store_concurrency;

pub use crate::{
    change::{CurrentLoad, EngineChange},
    demand::{DemandRates, DemandRow, DemandTracker, ServedArrivals},
    engine::{EngineOrder, EngineReport, OrderAction, OrderAnswer, OrderCount, PendingAdapter},
    planner::{EngineSnapshot, PlannedChange, Planner},
};
