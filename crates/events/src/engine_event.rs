//! The events of engines: what is planned for them, ordered from them and seen of them.

use residency::{OrderAction, OrderAnswer, OrderCount};
use roster::InstanceId;
use serde::Serialize;

use crate::fields::{text, write_answer};

/// A change of what an engine holds, or one that is planned or refused.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
pub enum EngineEvent<'a> {
    /// The planner sends a change request to a side process.
    ChangePlanned {
        /// Engine to be changed.
        #[serde(serialize_with = "text")]
        server: &'a InstanceId,
        /// Model to load; empty if the change only frees memory.
        load: &'a str,
        /// Models to unload first, separated by blanks.
        unload: &'a str,
        /// Why the change was planned.
        reason: &'static str,
        /// Source of the weights, such as `memory` or `store`.
        weights: &'static str,
        /// Number of requests that wait for the model.
        waiting: u32,
        /// Number of orders that the engine had accepted when the plan was made.
        #[serde(serialize_with = "text")]
        orders: OrderCount,
    },
    /// A side process declines a change request of the planner.
    ChangeDeclined {
        /// Model that was to be loaded; empty if none.
        load: &'a str,
        /// Why it was declined.
        reason: &'static str,
        /// Number of orders that the engine has accepted.
        #[serde(serialize_with = "text")]
        orders: OrderCount,
    },
    /// A side process sent its engine an order.
    OrderGiven {
        /// Engine that the order was sent to.
        #[serde(serialize_with = "text")]
        server: &'a InstanceId,
        /// The order, such as `load MODEL` or `unload MODEL/ADAPTER`.
        #[serde(serialize_with = "text")]
        action: &'a OrderAction,
        /// Number of orders that the engine had accepted before.
        #[serde(serialize_with = "text")]
        orders: OrderCount,
        /// The engine's answer; `unknown` if none came.
        #[serde(serialize_with = "write_answer")]
        answer: OrderAnswer,
        /// Time from sending the order to the answer.
        after_ms: u64,
    },
    /// The set of models or adapters in an engine changed, or another part of its state.
    EngineChanged {
        /// Loaded models as `MODEL(ADAPTER,...)`, separated by blanks.
        holds: &'a str,
        /// Whether the engine is carrying out an order for a model.
        is_busy: bool,
        /// Number of orders that the engine has accepted.
        #[serde(serialize_with = "text")]
        orders: OrderCount,
        /// Number of models with a copy on the disk of its VM.
        copies: usize,
    },
}
