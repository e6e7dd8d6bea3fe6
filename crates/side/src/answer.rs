//! One answer on its way from the backend server to the entry.

use std::sync::Arc;

use base::prelude::*;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use once::{EngineEnd, RunEvent, SendState};
use wire::{
    Message,
    run::{AnswerHead, HeaderField},
};

use crate::{
    drain::DrainStage,
    engine_watch, loads,
    process::SideState,
    requests::{self, ActiveRun},
};

/// Headers of an answer that are passed on.
const PASSED_HEADERS: [&str; 3] = ["content-type", "location", "retry-after"];

/// How the backend server's part ended.
enum BackendEnd {
    Complete,
    /// It took no part of the request.
    NotTaken,
    /// Nobody waits for the answer any more.
    Unwanted,
    /// It was lost, or its answer cut.
    Lost(ResultCode),
}

/// Starts to hand a request to the backend server and to send its answer.
pub fn start(state: Arc<SideState>, active: ActiveRun) {
    tokio::spawn(forward(state, active));
}

/// Tells the ledger how it ended, too.
async fn forward(state: Arc<SideState>, active: ActiveRun) {
    let id = active.id;
    let target = tokio::select! {
        target = loads::acquire(&state, &active.run) => target,
        () = active.token.cancelled() => Err(ResultCode::CallerCancelled),
    };
    let Ok(target) = target else {
        let sent = SendState::NotTaken;
        return requests::tell(&state, RunEvent::HandOverFailed { id, sent }).await;
    };
    let end = tokio::select! {
        end = pass(&state, &active) => end,
        () = active.token.cancelled() => BackendEnd::Unwanted,
        () = state.drain.reached(DrainStage::Stopped) => BackendEnd::Lost(ResultCode::BackendLost),
    };
    if let Some(target) = &target {
        loads::release(&state, target);
    }
    if matches!(end, BackendEnd::Unwanted | BackendEnd::Lost(_)) {
        state.backend.cancel(id.request).await;
    }
    let event = match end {
        BackendEnd::Complete => RunEvent::End { id, end: EngineEnd::Complete },
        BackendEnd::NotTaken => RunEvent::HandOverFailed { id, sent: SendState::NotTaken },
        BackendEnd::Unwanted => RunEvent::End { id, end: EngineEnd::Cancelled },
        BackendEnd::Lost(code) => {
            engine_watch::look(&state).await;
            RunEvent::End { id, end: EngineEnd::Failed(code) }
        }
    };
    requests::tell(&state, event).await;
}

async fn pass(state: &Arc<SideState>, active: &ActiveRun) -> BackendEnd {
    let run = &active.run;
    let answer = match state.backend.run(active.id.request, run).await {
        Ok(answer) => answer,
        Err(error) if error.is_not_sent() => return BackendEnd::NotTaken,
        Err(error) => {
            log::warn!("requests: {} lost: {error}", active.id);
            return BackendEnd::Lost(ResultCode::BackendLost);
        }
    };
    let (head, body) = answer.into_parts();
    if !run.model.is_empty() && head.status == StatusCode::NOT_FOUND {
        log::warn!("requests: the engine does not hold {}", run.model);
        return BackendEnd::NotTaken;
    }
    let head = AnswerHead {
        request: run.request.clone(),
        attempt: run.attempt,
        incarnation: state.identity.incarnation.0,
        status: u32::from(head.status.as_u16()),
        headers: HeaderField::pick(&head.headers, &PASSED_HEADERS),
    };
    if !state.requests.is_wanted(active.id)
        || active.sender.send(Message::AnswerHead(head)).await.is_err()
    {
        return BackendEnd::Unwanted;
    }
    pass_body(state, active, body).await
}

async fn pass_body(state: &Arc<SideState>, active: &ActiveRun, mut body: Incoming) -> BackendEnd {
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return BackendEnd::Lost(ResultCode::AnswerCut) };
        let Ok(body) = frame.into_data() else { continue };
        requests::tell(state, RunEvent::Chunk { id: active.id, body }).await;
    }
    BackendEnd::Complete
}
