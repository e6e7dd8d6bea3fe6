//! Dispatch: where a request goes, how long it waits, and when it is turned away.

pub mod budget;
pub mod call;
mod choice;
pub mod desk;
pub mod pace;
pub mod servers;
pub mod trust;
mod waiting;

pub use crate::{
    budget::RepeatLimits,
    call::{
        AnswerHead, CallHead, CallId, Generation, ModelTarget, PromptPart, PromptPartId, ServerLoad,
    },
    desk::{
        Ask, Assignment, AttemptFailure, Desk, DeskAction, DeskSettings, ModelUse, Refusal,
        Verdict, WaitReason,
    },
    servers::{EngineNews, LoadInProgress, ServerView},
    waiting::{LoadOutlook, first_patience},
};
