//! Request routing: choice of owner and replica, grants, hedges, and the assembly of answers.
//!
//! Each model or service has one or more owners among the entries, found by rendezvous hashing. An
//! owner grants credits, each for one request on one replica.

pub mod allocator;
pub mod answer;
pub mod budget;
pub mod chooser;
mod latency;
mod probation;
pub mod rendezvous;
pub mod replica;

pub use crate::{
    allocator::{
        AttemptKind, EntryIncarnation, GrantAction, GrantAllocator, GrantChecks, GrantEvent,
        GrantRequest,
    },
    answer::{AnswerStream, FrameBody, FrameOrigin, StreamAction, StreamChecks},
    budget::AttemptBudget,
    chooser::{ChooserChecks, ReplicaChoice, ReplicaChooser, ReplicaRequest},
    rendezvous::{OwnerCount, OwnerKey, OwnerRanking},
    replica::{CreditEnd, ReplicaInfo},
};
