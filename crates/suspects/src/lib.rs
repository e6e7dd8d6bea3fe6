//! Requests that may crash the backend servers that run them.
//!
//! A request whose answer has not begun when its backend server crashes is a suspect. Its keys tell
//! whether another request is like it. Requests like those that were in flight at several crashes
//! are blocked for a while, at all entries. Nothing here does I/O.

pub mod blocks;
pub mod board;
pub mod evidence;
pub mod key;
pub mod severed;

pub use crate::{
    blocks::{BlockDigest, BlockList, RequestBlock},
    board::SuspectBoard,
    evidence::{CRASHES_TO_BLOCK, CrashSighting, EvidenceTable},
    key::{SuspectKey, SuspectKeys},
    severed::{SeveredAttempt, SeveredAttempts},
};
