//! The life of one request: claim, ask, hand-over, answer.

use std::sync::Arc;

use base::prelude::*;
use bytes::BytesMut;
use routing::rendezvous::{OwnerCount, OwnerKey, OwnerRanking};
use tokio::{sync::mpsc, time};
use wire::{
    LinkSender, Message, PeerIdentity,
    ask::{Ask, CreditReturn, Grant},
    run::{RunCancel, RunRequest},
};

use crate::{
    answers::{AnswerPart, CallAnswer, HeadParts, PART_QUEUE},
    asks::{AskReply, AttemptId},
    calls::{AnswerMode, CallTarget, CallerCall, RepeatRule},
    owner::{AskReplyPath, OwnerEvent},
    peers::PeerHandle,
    process::EntryState,
    refusals::CallRefusal,
    runs::RunEvent,
};

/// Attempts that may have run before a repeatable request is given up.
const MAX_RUNS: u32 = 3;
/// First pause after a backend server refused although its owner granted a credit.
const FIRST_PAUSE: Duration = Duration::from_millis(10);
/// Longest such pause.
const LONGEST_PAUSE: Duration = Duration::from_millis(320);
/// Time left to tell a caller that its time has run out.
const REFUSAL_MARGIN: Duration = Duration::from_millis(50);

/// Result of serving a request.
pub type Result<T, E = CallRefusal> = std::result::Result<T, E>;

/// What became of one attempt.
enum AttemptEnd {
    Answered(CallAnswer),
    /// Nothing ran; another attempt may be made.
    NotRun(ResultCode),
    /// The backend server may have executed it.
    MayHaveRun(ResultCode),
}

/// Serves one request.
pub struct RequestDriver {
    state: Arc<EntryState>,
    call: Arc<CallerCall>,
    tried: Vec<String>,
}

impl RequestDriver {
    /// A driver for `call`.
    pub fn new(state: Arc<EntryState>, call: CallerCall) -> Self {
        Self { state, call: Arc::new(call), tried: Vec::new() }
    }

    /// Serves the request: one answer or one refusal.
    ///
    /// # Errors
    ///
    /// The refusal tells whether any part can have been executed.
    pub async fn serve(mut self) -> Result<CallAnswer> {
        let Some(key) = self.call.key.clone() else { return self.attempt_all().await };
        let claims = self.state.claims.clone();
        let customer = self.call.rights.customer.id.clone();
        let claim = claims.claim(&customer, &key, self.call.id).await?;
        let served = self.attempt_all().await;
        let Err(refusal) = &served else { return served };
        if refusal.state == RunState::NotRun && !claims.release(&claim).await {
            return Err(ResultCode::ClaimUncertain.into());
        }
        served
    }

    async fn attempt_all(&mut self) -> Result<CallAnswer> {
        let mut runs = 0;
        let mut pause = FIRST_PAUSE;
        let mut attempt = 0;
        loop {
            attempt += 1;
            let code = match self.attempt(attempt).await {
                Ok(AttemptEnd::Answered(answer)) => return Ok(answer),
                Ok(AttemptEnd::NotRun(code)) => code,
                Ok(AttemptEnd::MayHaveRun(code)) => {
                    runs += 1;
                    if self.call.repeat == RepeatRule::AtMostOnce || runs >= MAX_RUNS {
                        return Err(code.into());
                    }
                    code
                }
                Err(refusal) => return Err(after_runs(refusal, runs)),
            };
            if self.time_left() <= pause + REFUSAL_MARGIN {
                return Err(after_runs(code.into(), runs));
            }
            self.state.metrics.retries.inc();
            time::sleep(pause).await;
            pause = (pause * 2).min(LONGEST_PAUSE);
        }
    }

    async fn attempt(&mut self, attempt: u32) -> Result<AttemptEnd> {
        let id = AttemptId { request: self.call.id, attempt };
        let asked = Instant::now();
        let Some(credit) = self.ask(id).await? else {
            return Ok(AttemptEnd::NotRun(ResultCode::OwnerUnreachable));
        };
        let cold = if credit.grant.is_cold { "yes" } else { "no" };
        let wait = asked.elapsed().as_secs_f64();
        self.state.metrics.grant_wait.with_label_values(&[cold]).observe(wait);
        self.tried.push(credit.grant.vm.clone());
        let Ok(address) = credit.grant.address.parse() else {
            return Ok(AttemptEnd::NotRun(ResultCode::NoReplica));
        };
        let Ok(side) = self.state.peers.link(address).await else {
            return Ok(AttemptEnd::NotRun(ResultCode::NoReplica));
        };
        if side.peer.incarnation.0 != credit.grant.incarnation {
            return Ok(AttemptEnd::NotRun(ResultCode::NoReplica));
        }
        Ok(self.hand_over(id, &side, credit).await)
    }

    /// Asks owners in the order of rendezvous until one grants or refuses; `None` if none answers.
    async fn ask(&self, id: AttemptId) -> Result<Option<HeldCredit>> {
        let target = self.call.ask_target();
        let key = match &self.call.target {
            CallTarget::Model { base, .. } => OwnerKey::Model(base.id.clone()),
            CallTarget::Service(service) => OwnerKey::Service(service.name.clone()),
        };
        let fleet = Arc::clone(&self.state.fleet.borrow());
        let ranking = OwnerRanking::new(&key, &fleet.entries(), OwnerCount(1));
        for owner in ranking.order_for(self.call.id) {
            let ask = Ask {
                request: id.request_bytes(),
                target: target.clone(),
                customer: self.call.rights.customer.id.to_string(),
                budget_ms: self.time_left().as_millis() as u64,
                tried: self.tried.clone(),
                attempt: id.attempt,
                body_bytes: self.call.body.len() as u64,
                max_tokens: self.call.max_tokens,
            };
            let Some(mut pending) = PendingAsk::send(&self.state, owner, ask).await else {
                continue;
            };
            match time::timeout(self.time_left(), &mut pending.replied).await {
                Ok(Ok(AskReply::Granted(grant))) => return Ok(Some(pending.granted(grant))),
                Ok(Ok(AskReply::Refused(refusal))) => {
                    pending.is_open = false;
                    let code = ResultCode::from_number(refusal.code);
                    let code = code.unwrap_or(ResultCode::OwnerUnreachable);
                    let after = Duration::from_millis(refusal.retry_after_ms);
                    let refusal = CallRefusal::from(code);
                    return Err(CallRefusal { retry_after: Some(after), ..refusal });
                }
                Ok(Ok(AskReply::OwnerLost) | Err(_)) => {}
                Err(_) => return Err(ResultCode::DeadlinePassed.into()),
            }
        }
        Ok(None)
    }

    async fn hand_over(&self, id: AttemptId, side: &PeerHandle, credit: HeldCredit) -> AttemptEnd {
        let target = self.call.ask_target();
        let run = RunRequest {
            request: id.request_bytes(),
            attempt: id.attempt,
            incarnation: side.peer.incarnation.0,
            method: self.call.method.to_string(),
            path: self.call.path.clone(),
            headers: self.call.headers.clone(),
            body: self.call.body.clone(),
            model: target.model,
            adapter: target.adapter,
            budget_ms: self.time_left().as_millis() as u64,
            priority: u32::from(self.call.rights.priority().0),
            fingerprint: String::new(),
            adapter_memory: self.call.target.adapter_memory().0,
        };
        let mut handed = HandedRun::listen(Arc::clone(&self.state), id, side, credit);
        if side.sender.send(Message::RunRequest(run)).await.is_err() {
            handed.is_open = false;
            return AttemptEnd::NotRun(ResultCode::NoReplica);
        }
        let head = match time::timeout(self.time_left(), handed.next()).await {
            Ok(RunEvent::Refused(code)) => {
                handed.is_open = false;
                return match code.run_state() {
                    RunState::NotRun => AttemptEnd::NotRun(code),
                    RunState::MayHaveRun => AttemptEnd::MayHaveRun(code),
                };
            }
            Ok(RunEvent::Head(head)) => HeadParts::from(head),
            Ok(RunEvent::End(end)) => {
                handed.is_open = false;
                let code = ResultCode::from_number(end.code).unwrap_or(ResultCode::AnswerCut);
                return AttemptEnd::MayHaveRun(code);
            }
            Ok(RunEvent::Lost) => return AttemptEnd::MayHaveRun(ResultCode::BackendLost),
            Ok(RunEvent::Chunk(_) | RunEvent::CancelAck { .. }) => {
                return AttemptEnd::MayHaveRun(ResultCode::AnswerCut);
            }
            Err(_) => return handed.withdraw().await,
        };
        match self.call.mode {
            AnswerMode::Whole => self.collect(handed, head).await,
            AnswerMode::Stream => self.stream(handed, head).await,
        }
    }

    /// Holds the answer back until it is whole.
    async fn collect(&self, mut handed: HandedRun, head: HeadParts) -> AttemptEnd {
        let limit = self.state.settings.limits.answer.0 as usize;
        let mut body = BytesMut::new();
        loop {
            let next = time::timeout(self.time_left(), handed.next_part()).await;
            match next.unwrap_or(AnswerPart::Cut(ResultCode::AnswerTimeout)) {
                AnswerPart::Data(data) if body.len() + data.len() <= limit => {
                    body.extend_from_slice(&data);
                }
                AnswerPart::Data(_) => return AttemptEnd::MayHaveRun(ResultCode::AnswerCut),
                AnswerPart::End => {
                    return AttemptEnd::Answered(CallAnswer::Whole { head, body: body.freeze() });
                }
                AnswerPart::Cut(code) => return AttemptEnd::MayHaveRun(code),
            }
        }
    }

    /// Passes the answer on once its first part has arrived; before that it may be repeated.
    async fn stream(&self, mut handed: HandedRun, head: HeadParts) -> AttemptEnd {
        let first = time::timeout(self.time_left(), handed.next_part()).await;
        let first = first.unwrap_or(AnswerPart::Cut(ResultCode::AnswerTimeout));
        if let AnswerPart::Cut(code) = first {
            return AttemptEnd::MayHaveRun(code);
        }
        let (sender, parts) = mpsc::channel(PART_QUEUE);
        let call = Arc::clone(&self.call);
        tokio::spawn(async move {
            let mut part = first;
            loop {
                let is_last = !matches!(part, AnswerPart::Data(_));
                if sender.send(part).await.is_err() || is_last {
                    return;
                }
                let next = time::timeout_at(call.deadline, handed.next_part()).await;
                part = next.unwrap_or(AnswerPart::Cut(ResultCode::AnswerTimeout));
            }
        });
        AttemptEnd::Answered(CallAnswer::Stream { head, parts })
    }

    fn time_left(&self) -> Duration {
        self.call.deadline.saturating_duration_since(Instant::now())
    }
}

/// The refusal after the last attempt: earlier attempts may have run although it did not.
fn after_runs(refusal: CallRefusal, runs: u32) -> CallRefusal {
    match runs {
        0 => refusal,
        _ => CallRefusal { state: RunState::MayHaveRun, ..refusal },
    }
}

/// An ask that has been sent; withdrawn if it is dropped unanswered.
struct PendingAsk {
    state: Arc<EntryState>,
    id: AttemptId,
    ask: Ask,
    owner: Option<LinkSender>,
    replied: tokio::sync::oneshot::Receiver<AskReply>,
    is_open: bool,
}

impl PendingAsk {
    async fn send(state: &Arc<EntryState>, owner: &VmId, ask: Ask) -> Option<Self> {
        let id = AttemptId::from_wire(&ask.request, ask.attempt)?;
        if *owner == state.identity.vm {
            let (reply, replied) = tokio::sync::oneshot::channel();
            let event = OwnerEvent::Ask { ask: ask.clone(), reply: AskReplyPath::Local(reply) };
            state.owner.send(event).await.ok()?;
            return Some(Self::new(state, id, ask, None, replied));
        }
        let address = state.fleet.borrow().address(owner)?;
        let handle = state.peers.link(address).await.ok()?;
        let replied = state.asks.wait(id, owner.clone());
        if handle.sender.send(Message::Ask(ask.clone())).await.is_err() {
            state.asks.forget(id);
            return None;
        }
        Some(Self::new(state, id, ask, Some(handle.sender), replied))
    }

    fn new(
        state: &Arc<EntryState>,
        id: AttemptId,
        ask: Ask,
        owner: Option<LinkSender>,
        replied: tokio::sync::oneshot::Receiver<AskReply>,
    ) -> Self {
        Self { state: Arc::clone(state), id, ask, owner, replied, is_open: true }
    }

    fn granted(mut self, grant: Grant) -> HeldCredit {
        self.is_open = false;
        HeldCredit {
            state: Arc::clone(&self.state),
            owner: self.owner.clone(),
            ask: self.ask.clone(),
            grant,
            started: Instant::now(),
            has_failed: false,
        }
    }
}

impl Drop for PendingAsk {
    fn drop(&mut self) {
        if !self.is_open {
            return;
        }
        self.state.asks.forget(self.id);
        let returned = CreditReturn {
            request: self.ask.request.clone(),
            attempt: self.ask.attempt,
            target: self.ask.target.clone(),
            ..CreditReturn::default()
        };
        return_credit(&self.state, self.owner.as_ref(), returned);
    }
}

/// A credit; given back when it is dropped.
struct HeldCredit {
    state: Arc<EntryState>,
    owner: Option<LinkSender>,
    ask: Ask,
    grant: Grant,
    started: Instant,
    has_failed: bool,
}

impl Drop for HeldCredit {
    fn drop(&mut self) {
        let returned = CreditReturn {
            request: self.ask.request.clone(),
            attempt: self.ask.attempt,
            target: self.ask.target.clone(),
            vm: self.grant.vm.clone(),
            service_us: self.started.elapsed().as_micros() as u64,
            has_failed: self.has_failed,
        };
        return_credit(&self.state, self.owner.as_ref(), returned);
    }
}

fn return_credit(state: &EntryState, owner: Option<&LinkSender>, returned: CreditReturn) {
    let is_sent = match owner {
        Some(sender) => sender.offer(Message::CreditReturn(returned)),
        None => state.owner.try_send(OwnerEvent::CreditReturn(returned)).is_ok(),
    };
    if !is_sent {
        log::debug!("requests: a credit could not be returned");
    }
}

/// A request at a side process; withdrawn if it is dropped before its end.
struct HandedRun {
    state: Arc<EntryState>,
    id: AttemptId,
    side: PeerHandle,
    credit: HeldCredit,
    events: mpsc::UnboundedReceiver<RunEvent>,
    offset: u64,
    is_open: bool,
}

impl HandedRun {
    fn listen(
        state: Arc<EntryState>,
        id: AttemptId,
        side: &PeerHandle,
        credit: HeldCredit,
    ) -> Self {
        let peer: &PeerIdentity = &side.peer;
        let events = state.runs.listen(id, peer);
        Self { state, id, side: side.clone(), credit, events, offset: 0, is_open: true }
    }

    async fn next(&mut self) -> RunEvent {
        let event = self.events.recv().await.unwrap_or(RunEvent::Lost);
        if event == RunEvent::Lost {
            self.is_open = false;
            self.credit.has_failed = true;
        }
        event
    }

    /// The next part of the body; anything out of place cuts the answer.
    async fn next_part(&mut self) -> AnswerPart {
        match self.next().await {
            RunEvent::Chunk(chunk) if chunk.offset == self.offset => {
                self.offset += chunk.data.len() as u64;
                AnswerPart::Data(chunk.data)
            }
            RunEvent::End(end) => {
                self.is_open = false;
                let code = ResultCode::from_number(end.code).unwrap_or(ResultCode::AnswerCut);
                match code {
                    ResultCode::Success if end.length == self.offset => AnswerPart::End,
                    ResultCode::Success => AnswerPart::Cut(ResultCode::AnswerCut),
                    code => AnswerPart::Cut(code),
                }
            }
            RunEvent::Lost => AnswerPart::Cut(ResultCode::BackendLost),
            _ => AnswerPart::Cut(ResultCode::AnswerCut),
        }
    }

    /// Withdraws the request because its time has run out.
    async fn withdraw(mut self) -> AttemptEnd {
        self.cancel();
        let ack = time::timeout(REFUSAL_MARGIN, self.next()).await;
        match ack {
            Ok(RunEvent::CancelAck { may_have_run: false }) => {
                AttemptEnd::NotRun(ResultCode::DeadlinePassed)
            }
            _ => AttemptEnd::MayHaveRun(ResultCode::AnswerTimeout),
        }
    }

    fn cancel(&mut self) {
        self.is_open = false;
        let cancel = RunCancel {
            request: self.id.request_bytes(),
            attempt: self.id.attempt,
            budget_ms: self.credit.ask.budget_ms,
        };
        self.side.sender.offer(Message::RunCancel(cancel));
    }
}

impl Drop for HandedRun {
    fn drop(&mut self) {
        if self.is_open {
            self.cancel();
        }
        self.state.runs.forget(self.id);
    }
}
