//! Dispatch: picks the backend server of a request, and decides how long it waits and when it is
//! refused.

pub mod announcements;
pub mod answer_times;
pub mod budget;
pub mod call;
mod choice;
pub mod decision;
pub mod dispatcher;
pub mod fairness;
pub mod health;
pub mod hedging;
pub mod prefill_speed;
pub mod returning;
pub mod servers;
pub mod service_time;
mod waiting;

pub use crate::{
    budget::RetryLimits,
    call::{
        AnswerHead, CallHead, CallId, Generation, ModelTarget, PromptPart, PromptPartId,
        ResumedStream, ServerLoad,
    },
    decision::{
        Assignment, AttemptFailure, DispatchAction, DispatchDecision, DispatchRequest, Refusal,
        SendObstacle, WaitReason,
    },
    dispatcher::{CallDispatcher, DispatchSettings, LoadTarget, ModelUsage, StopStage},
    hedging::{HedgeCause, HedgeDecision, HedgeLimits, HedgeSide},
    servers::{EngineUpdate, LoadInProgress, ServerView},
    waiting::{LoadEstimate, first_event_timeout},
};
