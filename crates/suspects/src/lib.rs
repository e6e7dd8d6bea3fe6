//! Requests that may crash the backend servers that run them.
//!
//! A request whose answer has not begun when its backend server crashes is a suspect. Its keys show
//! what it has in common with others: its contents, and the parts of its prompt. An answer clears
//! all keys of its request, because what crashes a server does so whatever else the request holds.
//! Requests that have all keys that were in flight at several crashes, one after the other, are
//! blocked for a while, at all entries. Nothing here does I/O.

pub mod answered;
pub mod block;
pub mod blocks;
pub mod board;
pub mod evidence;
pub mod feedback;
pub mod key;
pub mod severed;

pub use crate::{
    answered::AnsweredKeys,
    block::{BlockId, RequestBlock},
    blocks::{AppliedBlock, BlockDigest, BlockList},
    board::SuspectBoard,
    evidence::{CRASHES_TO_BLOCK, CrashSighting, EvidenceTable, FoundSuspects},
    feedback::feedback_delay,
    key::{SuspectKey, SuspectKeys},
    severed::{SeveredAttempt, SeveredAttempts},
};
