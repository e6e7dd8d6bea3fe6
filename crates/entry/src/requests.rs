//! The life of one request: claim, ask, hand-over, answer.

mod credit;
mod handed;

use std::sync::{Arc, atomic::Ordering};

use base::{ids::AttemptId, prelude::*};
use bytes::BytesMut;
use lists::WorkClass;
use once::{AttemptRecord, QuarantineStatus, RequestFingerprint};
use routing::{OwnerCount, OwnerKey, OwnerRanking};
use tokio::{sync::mpsc, time};
use wire::{
    Message,
    credit::{CreditRequest, CreditUse},
    run::RunRequest,
};

use self::{
    credit::{HeldCredit, PendingAsk},
    handed::{HandedRun, RunSuspect},
};
use crate::{
    answers::{AnswerPart, CallAnswer, HeadParts, PART_QUEUE},
    asks::AskReply,
    calls::{AnswerMode, CallTarget, CallerCall, RepeatRule},
    claims::{ClaimOutcome, KeyedRequest},
    keyed,
    peers::PeerHandle,
    process::EntryState,
    refusals::CallRefusal,
    runs::RunEvent,
    slow::SlowCause,
};

/// Attempts that may have run before a repeatable request is given up.
const MAX_RUNS: usize = 3;
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
    fingerprint: RequestFingerprint,
    record: AttemptRecord,
    started: Instant,
}

impl RequestDriver {
    /// A driver for `call`.
    pub fn new(state: Arc<EntryState>, call: CallerCall) -> Self {
        let target = call.ask_target();
        let name = [target.service, target.model, target.adapter].join("/");
        let customer = &call.rights.customer.id;
        let fingerprint = RequestFingerprint::of_request(customer, &name, &call.body);
        let record = AttemptRecord::new(call.repeat == RepeatRule::Repeatable);
        let started = Instant::now();
        Self { state, call: Arc::new(call), tried: Vec::new(), fingerprint, record, started }
    }

    /// Serves the request: one answer or one refusal.
    ///
    /// # Errors
    ///
    /// The refusal tells whether any part can have been executed.
    pub async fn serve(mut self) -> Result<CallAnswer> {
        if self.verdict() == QuarantineStatus::Quarantined {
            return Err(ResultCode::RequestQuarantined.into());
        }
        let Some(keyed) = self.keyed() else { return self.attempt_all().await };
        if self.call.rights.customer.home_region != self.state.settings.process.region {
            return Err(ResultCode::RegionUnreachable.into());
        }
        let claims = Arc::clone(&self.state.claims);
        match claims.claim(&keyed).await {
            ClaimOutcome::Held => {}
            ClaimOutcome::Kept(bytes) => {
                return keyed::decode(bytes).ok_or(ResultCode::DuplicateKey.into());
            }
            ClaimOutcome::Refused(code) => return Err(code.into()),
        }
        let served = self.attempt_all().await;
        match &served {
            Ok(answer) => {
                if let Some(bytes) = keyed::encode(answer) {
                    claims.answered(&keyed, bytes).await;
                }
            }
            Err(refusal) if refusal.state == RunState::NotRun => {
                if !claims.release(&keyed).await {
                    return Err(ResultCode::ClaimUncertain.into());
                }
            }
            Err(_) => {}
        }
        served
    }

    fn keyed(&self) -> Option<KeyedRequest> {
        Some(KeyedRequest {
            customer: self.call.rights.customer.id.clone(),
            key: self.call.key.clone()?,
            id: self.call.id,
            fingerprint: self.fingerprint,
            deadline: self.call.deadline,
        })
    }

    fn verdict(&self) -> QuarantineStatus {
        self.state.quarantine.status(self.fingerprint)
    }

    async fn attempt_all(&mut self) -> Result<CallAnswer> {
        let mut pause = FIRST_PAUSE;
        let mut attempt = 0;
        loop {
            attempt += 1;
            let code = match self.attempt(attempt).await {
                Ok(AttemptEnd::Answered(answer)) => return Ok(answer),
                Ok(AttemptEnd::NotRun(code)) => {
                    self.record.record_result(attempt, RunState::NotRun);
                    code
                }
                Ok(AttemptEnd::MayHaveRun(code)) => {
                    self.record.record_result(attempt, RunState::MayHaveRun);
                    code
                }
                Err(refusal) => return Err(self.truthful(refusal)),
            };
            if !self.record.may_deliver() || self.record.possible_runs() >= MAX_RUNS {
                return Err(self.truthful(code.into()));
            }
            if self.verdict() == QuarantineStatus::Quarantined {
                return Err(self.truthful(ResultCode::RequestQuarantined.into()));
            }
            if self.time_left() <= pause + REFUSAL_MARGIN {
                return Err(self.truthful(code.into()));
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
        let is_cold = credit.grant.is_cold;
        let wait = asked.elapsed();
        let grant_wait = &self.state.metrics.grant_wait;
        grant_wait.with_label_values(&[cold]).observe(wait.as_secs_f64());
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
        if !self.record.record_delivery(attempt) {
            return Ok(AttemptEnd::NotRun(ResultCode::NoReplica));
        }
        let end = self.hand_over(id, &side, credit).await;
        if matches!(end, AttemptEnd::Answered(_)) {
            self.count_if_slow(wait, is_cold);
        }
        Ok(end)
    }

    fn count_if_slow(&self, wait: Duration, is_cold: bool) {
        let class = self.call.target.class();
        let objective = self.call.rights.objectives().of_class(class);
        let total = self.started.elapsed();
        if total > objective.latency.0 {
            let customer = self.call.rights.customer.id.as_str();
            let cause = SlowCause::of(total, wait, is_cold).to_string();
            let labels = [customer, &class.to_string(), &cause];
            self.state.metrics.slow.with_label_values(&labels).inc();
        }
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
            let ask = CreditRequest {
                request: id.request_bytes(),
                target: target.clone(),
                customer: self.call.rights.customer.id.to_string(),
                budget_ms: self.time_left().as_millis() as u64,
                tried: self.tried.clone(),
                attempt: id.attempt,
                body_bytes: self.call.body.len() as u64,
                max_tokens: self.call.max_tokens,
                share: self.call.rights.share().0,
                priority: u32::from(self.call.rights.priority().0),
                may_repeat: self.call.repeat == RepeatRule::Repeatable,
                is_hedge: false,
                is_long: self.call.class == WorkClass::Long,
                queue_limit: self.call.rights.plan.queue.0,
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
        let is_alone = self.verdict() == QuarantineStatus::Suspect;
        let epoch = side.epoch.load(Ordering::Relaxed);
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
            fingerprint: self.fingerprint.to_string(),
            adapter_memory: self.call.target.adapter_memory().0,
            epoch,
            is_alone,
        };
        let suspect =
            RunSuspect { call: Arc::clone(&self.call), fingerprint: self.fingerprint, is_alone };
        let mut handed = HandedRun::listen(Arc::clone(&self.state), id, side, credit, suspect);
        handed.epoch = epoch;
        if side.sender.send(Message::RunRequest(run)).await.is_err() {
            handed.is_open = false;
            return AttemptEnd::NotRun(ResultCode::NoReplica);
        }
        handed.credit.used = CreditUse::Withdrawn;
        let head = match time::timeout(self.time_left(), handed.next()).await {
            Ok(RunEvent::Refused(code)) => {
                handed.is_open = false;
                handed.credit.used = CreditUse::Unused;
                return match code.run_state() {
                    RunState::NotRun => AttemptEnd::NotRun(code),
                    RunState::MayHaveRun => AttemptEnd::MayHaveRun(code),
                };
            }
            Ok(RunEvent::Head(head)) => {
                handed.take_frame(RunEvent::Head(head.clone()));
                HeadParts::from(head)
            }
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

    /// The refusal with what may be said of all attempts together.
    fn truthful(&self, refusal: CallRefusal) -> CallRefusal {
        match self.record.run_state() {
            RunState::NotRun => refusal,
            RunState::MayHaveRun => CallRefusal { state: RunState::MayHaveRun, ..refusal },
        }
    }

    fn time_left(&self) -> Duration {
        self.call.deadline.saturating_duration_since(Instant::now())
    }
}
