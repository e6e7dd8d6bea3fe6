//! Explains one request from the logs of several processes.
//!
//! Lines of one process are in the order of their numbers. Lines of different processes are ordered
//! by what caused what, because wall clocks jump: a plan comes before the order that follows from
//! it, an order before the change of the engine, and that before the request that was sent there.

mod line;
mod order;
mod story;

pub use self::{
    line::{LogLine, LogText},
    story::{CallStory, explain},
};
