//! Why an answer came later than its service-level objective.

use std::fmt;

use base::prelude::*;

/// The largest part of a late answer's time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum SlowCause {
    /// The load of the model.
    ColdStart,
    /// The wait for a free place.
    Queue,
    /// The backend server after it took the request.
    Straggler,
}

impl SlowCause {
    /// The cause of an answer that took `total`, of which it waited for its grant for `wait`.
    pub fn of(total: Duration, wait: Duration, is_cold: bool) -> Self {
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
