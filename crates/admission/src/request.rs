//! Properties of a request that admission depends on.

use std::{fmt, num::ParseIntError, str::FromStr};

use base::{ids::AttemptId, prelude::*};
use lists::{RequestPriority, WorkClass};

macro_rules! count_type {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseIntError;

            fn from_str(text: &str) -> Result<Self, ParseIntError> {
                text.parse().map(Self)
            }
        }
    )*};
}

count_type! {
    /// Predicted size of a request, in tokens; plain services count one call as one token.
    RequestSize(u32);
    /// Number of requests that all usable replicas together may run at the same time.
    SlotTotal(u32);
}

/// A request to be admitted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// Identity of the attempt; a further offer with the same identity is ignored.
    pub id: AttemptId,
    /// Customer who sent the request.
    pub customer: CustomerId,
    /// Weight of the customer among those of the same priority.
    pub share: ShareWeight,
    /// Priority from the customer's plan; lower is more urgent.
    pub priority: RequestPriority,
    /// Whether the request is short or long work, which decides its queue and slots.
    pub class: WorkClass,
    /// Predicted size, charged to the customer's share.
    pub size: RequestSize,
    /// Most requests of the customer that may wait in this class.
    pub queue_limit: u32,
    /// Time by which the answer must be complete.
    pub deadline: Instant,
}
