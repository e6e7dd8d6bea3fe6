//! Residency: which models and adapters the engines hold, and which they load next.

pub mod engine;

pub use crate::engine::{
    EngineOrder, EngineReport, OrderAction, OrderAnswer, OrderCount, PendingAdapter,
};
