//! Residency: which models and adapters the engines hold, and which they load next.

pub mod demand;
pub mod engine;
pub mod keeper;
pub mod planner;
pub mod prompts;
pub mod store_pace;

pub use crate::{
    demand::{DemandBook, DemandPast, DemandRow},
    engine::{EngineOrder, EngineReport, OrderAction, OrderAnswer, OrderCount, PendingAdapter},
    keeper::{CurrentLoad, WantedChange},
    planner::{EngineFacts, PlannedChange, Planner},
};
