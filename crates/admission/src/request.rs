//! A request as admission sees it.

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
    /// Requests that all usable replicas may run at the same time.
    SlotTotal(u32);
}

/// One request that asks to be admitted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// The attempt that asks.
    pub id: AttemptId,
    /// The customer who sent it.
    pub customer: CustomerId,
    /// Weight of the customer among others of the same priority.
    pub share: ShareWeight,
    /// Priority by the customer's plan.
    pub priority: RequestPriority,
    /// Class of its work.
    pub class: WorkClass,
    /// Predicted size, which its customer's share is charged with.
    pub size: RequestSize,
    /// Most requests of the customer that may wait in one class.
    pub queue_limit: u32,
    /// Time by which the answer must have ended.
    pub deadline: Instant,
}
