//! Requests handed over by entries.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
};

use base::prelude::*;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time;
use tokio_util::sync::CancellationToken;
use wire::{
    LinkSender, Message,
    run::{
        AnswerChunk, AnswerEnd, AnswerHead, CancelAck, HeaderField, RunCancel, RunRefusal,
        RunRequest,
    },
};

use crate::{drain::DrainStage, process::SideState};

/// Headers of an answer that are passed on.
const PASSED_HEADERS: [&str; 3] = ["content-type", "location", "retry-after"];

/// One attempt of one request.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct RunKey {
    request: Vec<u8>,
    attempt: u32,
}

/// What is remembered of an attempt.
#[derive(Debug, Clone)]
enum RunEntry {
    /// The backend server has it; the token withdraws it.
    InFlight(CancellationToken),
    /// It was withdrawn before it arrived; a late original is refused until then.
    Tombstone(Instant),
    /// It has ended; a repetition is refused until then.
    Ended(Instant),
}

/// All attempts known to this process.
#[derive(Debug, Default)]
pub struct RequestTable {
    runs: Mutex<HashMap<RunKey, RunEntry>>,
}

impl RequestTable {
    /// Number of requests at the backend server.
    pub fn in_flight(&self) -> usize {
        let runs = self.runs.lock().expect("no holder panics");
        runs.values().filter(|entry| matches!(entry, RunEntry::InFlight(_))).count()
    }

    fn begin(&self, key: &RunKey, limit: u32) -> Result<CancellationToken, ResultCode> {
        let mut runs = self.runs.lock().expect("no holder panics");
        let now = Instant::now();
        runs.retain(|_, entry| match entry {
            RunEntry::InFlight(_) => true,
            RunEntry::Tombstone(until) | RunEntry::Ended(until) => *until > now,
        });
        match runs.get(key) {
            Some(RunEntry::Tombstone(_)) => return Err(ResultCode::CallerCancelled),
            Some(_) => return Err(ResultCode::DuplicateKey),
            None => {}
        }
        let busy = runs.values().filter(|entry| matches!(entry, RunEntry::InFlight(_))).count();
        if busy >= limit as usize {
            return Err(ResultCode::NoReplica);
        }
        let token = CancellationToken::new();
        runs.insert(key.clone(), RunEntry::InFlight(token.clone()));
        Ok(token)
    }

    fn end(&self, key: &RunKey, kept_until: Instant) {
        let mut runs = self.runs.lock().expect("no holder panics");
        runs.insert(key.clone(), RunEntry::Ended(kept_until));
    }

    /// Withdraws an attempt and tells whether the backend server may have run it.
    fn cancel(&self, key: &RunKey, kept_until: Instant) -> bool {
        let mut runs = self.runs.lock().expect("no holder panics");
        match runs.get(key) {
            Some(RunEntry::InFlight(token)) => {
                token.cancel();
                true
            }
            Some(RunEntry::Ended(_)) => true,
            Some(RunEntry::Tombstone(_)) | None => {
                runs.insert(key.clone(), RunEntry::Tombstone(kept_until));
                false
            }
        }
    }
}

/// Time for which ended and withdrawn attempts are remembered beyond their own time.
const MEMORY_MARGIN: Duration = Duration::from_secs(60);

/// Handles a withdrawal and acknowledges it.
pub async fn cancel(state: Arc<SideState>, link: LinkSender, cancel: RunCancel) {
    let key = RunKey { request: cancel.request.clone(), attempt: cancel.attempt };
    let kept_until = Instant::now() + Duration::from_millis(cancel.budget_ms) + MEMORY_MARGIN;
    let may_have_run = state.requests.cancel(&key, kept_until);
    let ack = CancelAck { request: cancel.request, attempt: cancel.attempt, may_have_run };
    let _ = link.send(Message::CancelAck(ack)).await;
}

/// Hands a request to the backend server and sends its answer, or refuses it.
pub async fn run(state: Arc<SideState>, link: LinkSender, run: RunRequest) {
    let key = RunKey { request: run.request.clone(), attempt: run.attempt };
    let code = match admit(&state, &key, &run) {
        Ok(token) => {
            let model = run.model.parse::<ModelId>().ok();
            let budget = Duration::from_millis(run.budget_ms);
            state.metrics.in_flight.inc();
            let code = Answer::new(&state, &link, &run).forward(token, budget).await;
            state.metrics.in_flight.dec();
            if let Some(model) = &model {
                state.loads.end_request(model);
            }
            state.requests.end(&key, Instant::now() + budget + MEMORY_MARGIN);
            code
        }
        Err(code) => {
            refuse(&link, &run, code).await;
            code
        }
    };
    state.metrics.requests.with_label_values(&[&code.number().to_string()]).inc();
}

fn admit(
    state: &SideState,
    key: &RunKey,
    run: &RunRequest,
) -> Result<CancellationToken, ResultCode> {
    if run.incarnation != state.identity.incarnation.0 {
        return Err(ResultCode::NoReplica);
    }
    if state.drain.stage() != DrainStage::Serving {
        return Err(ResultCode::ProcessStopping);
    }
    if run.model.is_empty() {
        return state.requests.begin(key, state.settings.backend.concurrency);
    }
    let model = run.model.parse::<ModelId>().map_err(|_| ResultCode::MalformedRequest)?;
    if !state.loads.start_request(&model) {
        return Err(ResultCode::NoReplica);
    }
    let begun = state.requests.begin(key, state.settings.backend.concurrency);
    if begun.is_err() {
        state.loads.end_request(&model);
    }
    begun
}

async fn refuse(link: &LinkSender, run: &RunRequest, code: ResultCode) {
    let refusal =
        RunRefusal { request: run.request.clone(), attempt: run.attempt, code: code.number() };
    let _ = link.send(Message::RunRefusal(refusal)).await;
}

/// One answer on its way from the backend server to the entry.
struct Answer<'a> {
    state: &'a SideState,
    link: &'a LinkSender,
    run: &'a RunRequest,
    offset: u64,
}

impl<'a> Answer<'a> {
    fn new(state: &'a SideState, link: &'a LinkSender, run: &'a RunRequest) -> Self {
        Self { state, link, run, offset: 0 }
    }

    async fn forward(mut self, token: CancellationToken, budget: Duration) -> ResultCode {
        let request_id = request_id(&self.run.request);
        let state = self.state;
        let ended = tokio::select! {
            ended = time::timeout(budget, self.pass(request_id)) => ended,
            () = token.cancelled() => Ok(ResultCode::CallerCancelled),
            () = state.drain.reached(DrainStage::Stopped) => Ok(ResultCode::BackendLost),
        };
        let code = ended.unwrap_or(ResultCode::AnswerTimeout);
        if code != ResultCode::Success && code != ResultCode::NoReplica {
            self.state.backend.cancel(request_id).await;
        }
        if code == ResultCode::NoReplica {
            refuse(self.link, self.run, code).await;
        } else {
            self.finish(code).await;
        }
        code
    }

    async fn pass(&mut self, request_id: RequestId) -> ResultCode {
        let answer = match self.state.backend.run(request_id, self.run).await {
            Ok(answer) => answer,
            Err(error) if error.is_not_sent() => return ResultCode::NoReplica,
            Err(error) => {
                log::warn!("requests: {request_id} lost: {error}");
                return ResultCode::BackendLost;
            }
        };
        let (head, body) = answer.into_parts();
        if !self.run.model.is_empty() && head.status == StatusCode::NOT_FOUND {
            log::warn!("requests: the engine does not hold {}", self.run.model);
            return ResultCode::NoReplica;
        }
        let head = AnswerHead {
            request: self.run.request.clone(),
            attempt: self.run.attempt,
            incarnation: self.state.identity.incarnation.0,
            status: u32::from(head.status.as_u16()),
            headers: passed_headers(&head.headers),
        };
        if self.link.send(Message::AnswerHead(head)).await.is_err() {
            return ResultCode::CallerCancelled;
        }
        self.pass_body(body).await
    }

    async fn pass_body(&mut self, mut body: Incoming) -> ResultCode {
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else { return ResultCode::AnswerCut };
            let Ok(data) = frame.into_data() else { continue };
            let length = data.len() as u64;
            let chunk = AnswerChunk {
                request: self.run.request.clone(),
                attempt: self.run.attempt,
                incarnation: self.state.identity.incarnation.0,
                offset: self.offset,
                data,
            };
            self.offset += length;
            if self.link.send(Message::AnswerChunk(chunk)).await.is_err() {
                return ResultCode::CallerCancelled;
            }
        }
        ResultCode::Success
    }

    async fn finish(&self, code: ResultCode) {
        let end = AnswerEnd {
            request: self.run.request.clone(),
            attempt: self.run.attempt,
            incarnation: self.state.identity.incarnation.0,
            length: self.offset,
            code: code.number(),
        };
        let _ = self.link.send(Message::AnswerEnd(end)).await;
    }
}

fn passed_headers(headers: &http::HeaderMap) -> Vec<HeaderField> {
    let field = |name: &&str| {
        let value = headers.get(*name)?;
        Some(HeaderField { name: (*name).to_owned(), value: value.as_bytes().to_vec() })
    };
    PASSED_HEADERS.iter().filter_map(field).collect()
}

fn request_id(bytes: &[u8]) -> RequestId {
    let mut number = [0; 16];
    let length = bytes.len().min(number.len());
    number[..length].copy_from_slice(&bytes[..length]);
    RequestId(u128::from_be_bytes(number))
}
