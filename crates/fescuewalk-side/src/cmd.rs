//! One module per mode: the side process for the system's own interface, and the agent.

pub mod agent;
pub mod side;
