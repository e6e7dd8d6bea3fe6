//! Choice of owner and backend server, hedges, retries and the assembly of answers.

pub mod answer;
pub mod budget;
pub mod chooser;
pub mod desk;
mod latency;
mod probation;
pub mod rendezvous;
pub mod replica;

pub use crate::{
    answer::{AnswerStream, FrameBody, FrameOrigin, StreamAction, StreamGuards},
    budget::AttemptBudget,
    chooser::{ChooserGuards, ReplicaChoice, ReplicaChooser, ReplicaRequest},
    desk::{AttemptKind, DeskAction, DeskAsk, DeskEvent, DeskGuards, EntryLife, GrantDesk},
    rendezvous::{OwnerCount, OwnerKey, OwnerRanking},
    replica::{CreditEnd, ReplicaInfo},
};
