//! Serves one request: claims its key, requests a grant, runs it at a side process and relays the
//! answer.

mod credit;
mod run;

use std::sync::{Arc, atomic::Ordering};

use base::{ids::AttemptId, prelude::*};
use lists::WorkClass;
use once::{AttemptRecord, QuarantineStatus, RequestFingerprint, RunIsolation};
use routing::{OwnerCount, OwnerKey, OwnerRanking};
use tokio::{sync::mpsc, time};
use wire::{
    Message, SendSlot,
    credit::{CreditRequest, CreditUse},
    run::RunRequest,
};

use self::{
    credit::{HeldCredit, PendingGrant},
    run::{ActiveRun, QuarantineContext},
};
use crate::{
    answer_codec,
    answer_memory::AnswerBuffer,
    answers::{AnswerPart, CallAnswer, HeadParts, PART_QUEUE},
    calls::{AnswerMode, CallTarget, CallerCall, RetryRule},
    claims::{ClaimOutcome, KeyedRequest},
    grants::GrantReply,
    peers::PeerHandle,
    process::EntryState,
    refusals::CallRefusal,
    runs::RunEvent,
    server_load::HeldAtServer,
    slow::SlowCause,
};

/// Number of attempts that may have run after which even a retryable request fails.
const MAX_POSSIBLE_RUNS: usize = 3;
/// Delay before the first retry; it doubles with each further retry. Even a request with a credit
/// can be refused, because a backend server's concurrency is shared by models of several owners.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Largest delay between retries.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(320);
/// Time reserved before the deadline for the reply to the caller. Also how long a cancelled run is
/// waited for.
const REFUSAL_MARGIN: Duration = Duration::from_millis(50);

/// Longest wait for other bodies at the backend server; another server may have room after it.
const MAX_SERVER_WAIT: Duration = Duration::from_secs(1);

/// Result of serving a request.
pub type Result<T, E = CallRefusal> = std::result::Result<T, E>;

/// Outcome of one attempt.
enum AttemptEnd {
    Answered(CallAnswer),
    /// Nothing ran; another attempt may be made.
    NotRun(ResultCode),
    /// The backend server may have executed it.
    MayHaveRun(ResultCode),
}

/// Room for one request at a backend server and on the connection to its side process.
struct SendRoom<'a> {
    held: HeldAtServer,
    slot: SendSlot<'a>,
}

/// Serves one request.
pub struct RequestDriver {
    state: Arc<EntryState>,
    call: Arc<CallerCall>,
    tried_vms: Vec<String>,
    fingerprint: RequestFingerprint,
    record: AttemptRecord,
    started: Instant,
}

impl RequestDriver {
    /// Creates a driver for `call`.
    pub fn new(state: Arc<EntryState>, call: CallerCall) -> Self {
        let target = call.wire_target();
        let name = [target.service, target.model, target.adapter].join("/");
        let customer = &call.rights.customer.id;
        let fingerprint = RequestFingerprint::of_request(customer, &name, &call.body);
        let record = AttemptRecord::new(call.retry_rule == RetryRule::Retryable);
        let started = Instant::now();
        Self { state, call: Arc::new(call), tried_vms: Vec::new(), fingerprint, record, started }
    }

    /// Serves the request until it has an answer or is refused.
    ///
    /// # Errors
    ///
    /// The refusal states whether any part of the request may have run.
    pub async fn serve(mut self) -> Result<CallAnswer> {
        if self.quarantine_status() == QuarantineStatus::Quarantined {
            return Err(ResultCode::RequestQuarantined.into());
        }
        let Some(request) = self.keyed_request() else { return self.run_attempts().await };
        if self.call.rights.customer.home_region != self.state.settings.process.region {
            return Err(ResultCode::RegionUnreachable.into());
        }
        let claims = Arc::clone(&self.state.claims);
        match claims.claim(&request).await {
            ClaimOutcome::Held => {}
            ClaimOutcome::Cached(bytes) => {
                return answer_codec::decode(bytes).ok_or(ResultCode::DuplicateKey.into());
            }
            ClaimOutcome::Refused(code) => return Err(code.into()),
        }
        let served = self.run_attempts().await;
        match &served {
            Ok(answer) => {
                if let Some(bytes) = answer_codec::encode(answer) {
                    claims.cache_answer(&request, bytes).await;
                }
            }
            Err(refusal) if refusal.state == RunState::NotRun => {
                if !claims.release(&request).await {
                    return Err(ResultCode::ClaimUncertain.into());
                }
            }
            Err(_) => {}
        }
        served
    }

    fn keyed_request(&self) -> Option<KeyedRequest> {
        Some(KeyedRequest {
            customer: self.call.rights.customer.id.clone(),
            key: self.call.key.clone()?,
            id: self.call.id,
            fingerprint: self.fingerprint,
            deadline: self.call.deadline,
        })
    }

    fn quarantine_status(&self) -> QuarantineStatus {
        self.state.quarantine.status(self.fingerprint)
    }

    async fn run_attempts(&mut self) -> Result<CallAnswer> {
        let mut delay = MIN_RETRY_DELAY;
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
                Err(refusal) => return Err(self.with_run_state(refusal)),
            };
            if !self.record.may_deliver() || self.record.possible_runs() >= MAX_POSSIBLE_RUNS {
                return Err(self.with_run_state(code.into()));
            }
            if self.quarantine_status() == QuarantineStatus::Quarantined {
                return Err(self.with_run_state(ResultCode::RequestQuarantined.into()));
            }
            if self.time_left() <= delay + REFUSAL_MARGIN {
                return Err(self.with_run_state(code.into()));
            }
            self.state.metrics.retries.inc();
            time::sleep(delay).await;
            delay = (delay * 2).min(MAX_RETRY_DELAY);
        }
    }

    async fn attempt(&mut self, attempt: u32) -> Result<AttemptEnd> {
        let id = AttemptId { request: self.call.id, attempt };
        let requested = Instant::now();
        let Some(credit) = self.request_grant(id).await? else {
            return Ok(AttemptEnd::NotRun(ResultCode::OwnerUnreachable));
        };
        let cold = if credit.grant.is_cold { "yes" } else { "no" };
        let is_cold = credit.grant.is_cold;
        let wait = requested.elapsed();
        let grant_wait = &self.state.metrics.grant_wait;
        grant_wait.with_label_values(&[cold]).observe(wait.as_secs_f64());
        self.tried_vms.push(credit.grant.vm.clone());
        let Ok(address) = credit.grant.address.parse() else {
            return Ok(AttemptEnd::NotRun(ResultCode::NoReplica));
        };
        let linking = self.state.peers.link(address);
        let Ok(Ok(side)) = time::timeout(self.time_left(), linking).await else {
            return Ok(AttemptEnd::NotRun(ResultCode::NoReplica));
        };
        if side.peer.incarnation.0 != credit.grant.incarnation {
            return Ok(AttemptEnd::NotRun(ResultCode::NoReplica));
        }
        let Some(room) = self.wait_for_room(&side).await else {
            return Ok(AttemptEnd::NotRun(ResultCode::NoReplica));
        };
        // Nothing waits between this check and the send.
        let isolation = self.check_before_send()?;
        if !self.record.record_delivery(attempt) {
            return Ok(AttemptEnd::NotRun(ResultCode::NoReplica));
        }
        let end = self.run_at_side(id, &side, credit, room, isolation).await;
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
            let cause = SlowCause::classify(total, wait, is_cold).to_string();
            let labels = [customer, &class.to_string(), &cause];
            self.state.metrics.slow.with_label_values(&labels).inc();
        }
    }

    /// Requests a grant from the owners in rendezvous order until one grants or refuses; `None` if
    /// none replies.
    async fn request_grant(&self, id: AttemptId) -> Result<Option<HeldCredit>> {
        let target = self.call.wire_target();
        let key = match &self.call.target {
            CallTarget::Model { base, .. } => OwnerKey::Model(base.id.clone()),
            CallTarget::Service(service) => OwnerKey::Service(service.name.clone()),
        };
        let fleet = Arc::clone(&self.state.fleet.borrow());
        let ranking = OwnerRanking::new(&key, &fleet.entries(), OwnerCount(1));
        for owner in ranking.order_for(self.call.id) {
            let credit_request = CreditRequest {
                request: id.request_bytes(),
                target: target.clone(),
                customer: self.call.rights.customer.id.to_string(),
                timeout_ms: self.time_left().as_millis() as u64,
                tried: self.tried_vms.clone(),
                attempt: id.attempt,
                body_bytes: self.call.body.len() as u64,
                max_tokens: self.call.max_tokens,
                share: self.call.rights.share().0,
                priority: u32::from(self.call.rights.priority().0),
                may_retry: self.call.retry_rule == RetryRule::Retryable,
                is_hedge: false,
                is_long: self.call.class == WorkClass::Long,
                queue_limit: self.call.rights.plan.queue.0,
            };
            let Some(mut pending) = PendingGrant::send(&self.state, owner, credit_request).await
            else {
                continue;
            };
            match time::timeout(self.time_left(), &mut pending.replied).await {
                Ok(Ok(GrantReply::Granted(grant))) => return Ok(Some(pending.into_credit(grant))),
                Ok(Ok(GrantReply::Refused(refusal))) => {
                    pending.is_open = false;
                    let code = ResultCode::from_number(refusal.code);
                    let code = code.unwrap_or(ResultCode::OwnerUnreachable);
                    let after = Duration::from_millis(refusal.retry_after_ms);
                    let refusal = CallRefusal::from(code);
                    return Err(CallRefusal { retry_after: Some(after), ..refusal });
                }
                Ok(Ok(GrantReply::OwnerLost) | Err(_)) => {}
                Err(_) => return Err(ResultCode::DeadlinePassed.into()),
            }
        }
        Ok(None)
    }

    /// Waits until the backend server and the connection to its side process have room for the request;
    /// `None` if that takes too long.
    async fn wait_for_room<'a>(&self, side: &'a PeerHandle) -> Option<SendRoom<'a>> {
        let holding = self.state.server_load.hold(&side.peer.vm, self.call.body.len());
        let held = time::timeout(self.time_left().min(MAX_SERVER_WAIT), holding).await.ok()?;
        let slot = time::timeout(self.time_left(), side.sender.reserve()).await.ok()?.ok()?;
        Some(SendRoom { held, slot })
    }

    /// Checks what may have changed while the request waited.
    fn check_before_send(&self) -> Result<RunIsolation> {
        if self.time_left().is_zero() {
            return Err(ResultCode::DeadlinePassed.into());
        }
        let lists = self.state.lists.borrow();
        self.call.check_rights(lists.as_ref().ok_or(ResultCode::ListsMissing)?)?;
        match self.quarantine_status() {
            QuarantineStatus::Clear => Ok(RunIsolation::Shared),
            QuarantineStatus::Suspect => Ok(RunIsolation::Alone),
            QuarantineStatus::Quarantined => Err(ResultCode::RequestQuarantined.into()),
        }
    }

    async fn run_at_side(
        &self,
        id: AttemptId,
        side: &PeerHandle,
        credit: HeldCredit,
        room: SendRoom<'_>,
        isolation: RunIsolation,
    ) -> AttemptEnd {
        let SendRoom { held, slot } = room;
        let is_alone = isolation == RunIsolation::Alone;
        let target = self.call.wire_target();
        let epoch = side.epoch.load(Ordering::Relaxed);
        let request = RunRequest {
            request: id.request_bytes(),
            attempt: id.attempt,
            incarnation: side.peer.incarnation.0,
            method: self.call.method.to_string(),
            path: self.call.path.clone(),
            headers: self.call.headers.clone(),
            body: self.call.body.clone(),
            model: target.model,
            adapter: target.adapter,
            timeout_ms: self.time_left().as_millis() as u64,
            priority: u32::from(self.call.rights.priority().0),
            fingerprint: self.fingerprint.to_string(),
            adapter_memory: self.call.target.adapter_memory().0,
            epoch,
            is_alone,
        };
        let quarantine = QuarantineContext {
            call: Arc::clone(&self.call),
            fingerprint: self.fingerprint,
            is_alone,
        };
        let mut run = ActiveRun::register(Arc::clone(&self.state), id, side, credit, quarantine);
        run.epoch = epoch;
        if side.sender.is_closed() {
            run.is_open = false;
            return AttemptEnd::NotRun(ResultCode::NoReplica);
        }
        slot.send(Message::RunRequest(request));
        run.credit.used = CreditUse::Withdrawn;
        let head = match time::timeout(self.time_left(), run.next_event()).await {
            Ok(RunEvent::Refused(code)) => {
                run.is_open = false;
                run.credit.used = CreditUse::Unused;
                return match code.run_state() {
                    RunState::NotRun => AttemptEnd::NotRun(code),
                    RunState::MayHaveRun => AttemptEnd::MayHaveRun(code),
                };
            }
            Ok(RunEvent::Head(head)) => {
                run.apply_frame(RunEvent::Head(head.clone()));
                let status = head.status;
                let Some(head) = HeadParts::from_final(status, head.headers) else {
                    log::warn!("requests: {id} was answered with {status}, no final status");
                    return AttemptEnd::MayHaveRun(ResultCode::BackendLost);
                };
                head
            }
            Ok(RunEvent::End(end)) => {
                run.is_open = false;
                let code = ResultCode::from_number(end.code).unwrap_or(ResultCode::AnswerCut);
                return AttemptEnd::MayHaveRun(code);
            }
            Ok(RunEvent::Lost) => return AttemptEnd::MayHaveRun(ResultCode::BackendLost),
            Ok(RunEvent::Chunk(_) | RunEvent::CancelAck { .. } | RunEvent::Unread) => {
                return AttemptEnd::MayHaveRun(ResultCode::AnswerCut);
            }
            Err(_) => return run.withdraw().await,
        };
        drop(held);
        match self.call.mode {
            AnswerMode::Buffered => self.buffer_answer(run, head).await,
            AnswerMode::Stream => self.stream_answer(run, head).await,
        }
    }

    /// Buffers the answer until it is complete.
    async fn buffer_answer(&self, mut run: ActiveRun, head: HeadParts) -> AttemptEnd {
        let mut body = AnswerBuffer::new(&self.state.answer_memory);
        loop {
            let next = time::timeout(self.time_left(), run.next_part()).await;
            match next.unwrap_or(AnswerPart::Abort(ResultCode::AnswerTimeout)) {
                AnswerPart::Data(data) if body.push(&data) => {}
                AnswerPart::Data(_) => return AttemptEnd::MayHaveRun(ResultCode::AnswerCut),
                AnswerPart::End => {
                    return AttemptEnd::Answered(CallAnswer::Buffered {
                        head,
                        body: body.into_blocks(),
                    });
                }
                AnswerPart::Abort(code) => return AttemptEnd::MayHaveRun(code),
            }
        }
    }

    /// Starts streaming once the first part has arrived; until then the attempt can be retried.
    async fn stream_answer(&self, mut run: ActiveRun, head: HeadParts) -> AttemptEnd {
        let first = time::timeout(self.time_left(), run.next_part()).await;
        let first = first.unwrap_or(AnswerPart::Abort(ResultCode::AnswerTimeout));
        if let AnswerPart::Abort(code) = first {
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
                let next = time::timeout_at(call.deadline, run.next_part()).await;
                part = next.unwrap_or(AnswerPart::Abort(ResultCode::AnswerTimeout));
            }
        });
        AttemptEnd::Answered(CallAnswer::Stream { head, parts })
    }

    /// Adds to the refusal whether any of the attempts may have run.
    fn with_run_state(&self, refusal: CallRefusal) -> CallRefusal {
        match self.record.run_state() {
            RunState::NotRun => refusal,
            RunState::MayHaveRun => CallRefusal { state: RunState::MayHaveRun, ..refusal },
        }
    }

    fn time_left(&self) -> Duration {
        self.call.deadline.saturating_duration_since(Instant::now())
    }
}
