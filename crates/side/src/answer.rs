//! Relays one answer from the backend server to the entry.

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

/// Answer headers that are forwarded to the entry; all others are dropped.
const FORWARDED_HEADERS: [&str; 3] = ["content-type", "location", "retry-after"];

/// How a call to the backend server ended.
enum BackendEnd {
    Complete,
    /// The backend server did not accept the request, which therefore has not run.
    NotTaken,
    /// The request was withdrawn, or the connection to the entry has closed.
    Cancelled,
    /// The connection was lost before or during the answer, or the process stopped.
    Lost(ResultCode),
}

/// Spawns a task that sends a request to the backend server and relays its answer.
pub fn start(state: Arc<SideState>, active: ActiveRun) {
    tokio::spawn(forward(state, active));
}

/// Loads the adapter if needed, relays the answer and reports the end to the run ledger.
async fn forward(state: Arc<SideState>, active: ActiveRun) {
    let id = active.id;
    let target = tokio::select! {
        target = loads::acquire(&state, &active.run) => target,
        () = active.token.cancelled() => Err(ResultCode::CallerCancelled),
    };
    let Ok(target) = target else {
        let sent = SendState::NotTaken;
        return requests::apply_event(&state, RunEvent::HandOverFailed { id, sent }).await;
    };
    let end = tokio::select! {
        end = relay_answer(&state, &active) => end,
        () = active.token.cancelled() => BackendEnd::Cancelled,
        () = state.drain.reached(DrainStage::Stopped) => BackendEnd::Lost(ResultCode::BackendLost),
    };
    if let Some(target) = &target {
        loads::release(&state, target);
    }
    if matches!(end, BackendEnd::Cancelled | BackendEnd::Lost(_)) {
        state.backend.cancel(id.request).await;
    }
    let event = match end {
        BackendEnd::Complete => RunEvent::End { id, end: EngineEnd::Complete },
        BackendEnd::NotTaken => RunEvent::HandOverFailed { id, sent: SendState::NotTaken },
        BackendEnd::Cancelled => RunEvent::End { id, end: EngineEnd::Cancelled },
        BackendEnd::Lost(code) => {
            engine_watch::check_engine(&state).await;
            RunEvent::End { id, end: EngineEnd::Failed(code) }
        }
    };
    requests::apply_event(&state, event).await;
}

async fn relay_answer(state: &Arc<SideState>, active: &ActiveRun) -> BackendEnd {
    let run = &active.run;
    let (answer, connection) = match state.backend.run(active.id.request, run).await {
        Ok(answer) => answer,
        Err(error) if error.is_not_sent() => return BackendEnd::NotTaken,
        Err(error) => {
            log::warn!("requests: {}: the call to the backend server failed: {error}", active.id);
            return BackendEnd::Lost(ResultCode::BackendLost);
        }
    };
    let (head, body) = answer.into_parts();
    if !run.model.is_empty() && head.status == StatusCode::NOT_FOUND {
        log::warn!("requests: the engine answered 404; model {} is not loaded", run.model);
        return BackendEnd::NotTaken;
    }
    let head = AnswerHead {
        request: run.request.clone(),
        attempt: run.attempt,
        incarnation: state.identity.incarnation.0,
        status: u32::from(head.status.as_u16()),
        headers: HeaderField::pick(&head.headers, &FORWARDED_HEADERS),
    };
    if !state.requests.is_pending(active.id)
        || active.sender.send(Message::AnswerHead(head)).await.is_err()
    {
        return BackendEnd::Cancelled;
    }
    let end = relay_body(state, active, body).await;
    if matches!(end, BackendEnd::Complete) {
        connection.finish();
    }
    end
}

async fn relay_body(state: &Arc<SideState>, active: &ActiveRun, mut body: Incoming) -> BackendEnd {
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return BackendEnd::Lost(ResultCode::AnswerCut) };
        let Ok(body) = frame.into_data() else { continue };
        requests::apply_event(state, RunEvent::Chunk { id: active.id, body }).await;
    }
    BackendEnd::Complete
}
