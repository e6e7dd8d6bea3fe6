//! Stand-ins for the platform, model engines, weight store and plain services for tests,
//! and a load generator that sends scripted requests and verifies their answers.

pub mod answers;
pub mod engine;
pub mod load;
pub mod platform;
pub mod server;
pub mod service;
pub mod verify;
pub mod weights;
