//! The agent.
