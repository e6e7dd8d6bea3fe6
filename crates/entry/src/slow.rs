//! Causes of answers that exceed their latency objective.

use std::fmt;

use base::prelude::*;

/// Main cause of a late answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum SlowCause {
    /// The request waited for the load of the model.
    ColdStart,
    /// The request waited for a credit on a loaded replica.
    Queue,
    /// The backend server was slow after it received the request.
    Straggler,
}

impl SlowCause {
    /// Cause of an answer that took `total`, of which `wait` was spent waiting for the grant;
    /// `is_cold` is true if the request waited for a load.
    pub fn classify(total: Duration, wait: Duration, is_cold: bool) -> Self {
        match (wait * 2 >= total, is_cold) {
            (true, true) => SlowCause::ColdStart,
            (true, false) => SlowCause::Queue,
            (false, _) => SlowCause::Straggler,
        }
    }
}

impl fmt::Display for SlowCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            SlowCause::ColdStart => "cold-start",
            SlowCause::Queue => "queue",
            SlowCause::Straggler => "straggler",
        })
    }
}
