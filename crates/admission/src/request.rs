//! A request as admission sees it.

use std::{fmt, num::ParseIntError, str::FromStr};

use base::prelude::*;

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
    /// Priority of a request; the smaller number goes first.
    PriorityRank(u8);
    /// Number of requests that may run at the same time.
    SlotCount(u32);
}

/// Class of a request by its predicted size.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum WorkClass {
    /// The request is expected to end soon.
    Short,
    /// The request runs many times longer than a short one.
    Long,
}

impl fmt::Display for WorkClass {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            WorkClass::Short => "short",
            WorkClass::Long => "long",
        })
    }
}

/// One request that asks to be admitted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// The request.
    pub id: RequestId,
    /// The customer who sent it.
    pub customer: CustomerId,
    /// Weight of the customer among others of the same priority.
    pub share: ShareWeight,
    /// Priority by the customer's plan.
    pub priority: PriorityRank,
    /// Predicted size.
    pub size: RequestSize,
    /// Time by which the answer must have ended.
    pub deadline: Instant,
}
