//! The dispatcher of one entry: decides for each request whether it is sent, waits or is refused.
//!
//! It does no I/O. A driver passes requests, results and updates to it, and carries out its
//! decisions.

mod assigning;
mod fair_order;
mod hedging;
mod limits;
mod room;
mod sending;
mod servers;
mod suspects;

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
};

use ::limits::{LimitAllowances, SendSlot};
use ::suspects::SuspectBoard;
use base::prelude::*;
use memory_budget::ServerBytes;
use roster::{InstanceId, SoftwareVersion};

use self::fair_order::FairQueues;
use crate::{
    announcements::ServerAnnouncements,
    budget::{RetryBudget, RetryLimits},
    call::ModelTarget,
    decision::{AttemptFailure, DispatchAction, DispatchDecision, DispatchRequest, Refusal},
    hedging::{CallHedge, HedgeBook, HedgeSide, HeldAddress},
    returning::RefusedRequests,
    servers::ServerView,
    service_time::ServiceTime,
    waiting::{self, LoadEstimate, final_refusal},
};

/// Settings of the dispatcher.
#[derive(Debug, Clone)]
pub struct DispatchSettings {
    /// Availability zone of this entry.
    pub zone: ZoneName,
    /// Retry budget that all entries share.
    pub retry_limits: RetryLimits,
}

/// Time for which a backend server without free capacity gets no requests.
const FULL_SUSPENSION: Duration = Duration::from_millis(50);

/// How far a planned stop of the process has come.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopStage {
    /// Requests are sent or wait.
    #[default]
    Serving,
    /// Requests that would wait are refused.
    NoWaits,
    /// Nothing more is sent.
    NoSends,
}

/// What a load is planned for.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LoadTarget {
    /// Model to load.
    pub model: ModelId,
    /// Software version of the engine; none if any will do.
    pub software: Option<SoftwareVersion>,
}

/// Use of one model by the requests of an entry.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ModelUsage {
    /// Number of requests for it since the entry started.
    pub arrivals: u64,
    /// Number of requests that wait because no engine holds it.
    pub waiting: u32,
    /// Time until the first of the waiting requests misses its goal; zero once it has.
    pub slack: Duration,
    /// Most urgent priority among the waiting requests.
    pub priority: u32,
    /// Number of streams that wait for an engine of the software version that began them; they are
    /// not among `waiting`.
    pub streams: BTreeMap<SoftwareVersion, u32>,
    /// Number of requests assigned to each engine.
    pub running: BTreeMap<InstanceId, u32>,
}

impl ModelUsage {
    /// Whether no request waits for it or runs.
    pub fn is_idle(&self) -> bool {
        self.waiting == 0 && self.streams.is_empty() && self.running.is_empty()
    }

    fn add_waiting(&mut self, request: &DispatchRequest, now: Instant) {
        let slack = (request.arrived + request.goal).saturating_duration_since(now);
        let is_first = self.waiting == 0;
        self.slack = if is_first { slack } else { self.slack.min(slack) };
        self.priority =
            if is_first { request.priority } else { self.priority.min(request.priority) };
        self.waiting += 1;
    }
}

#[derive(Debug)]
struct OpenCall {
    request: DispatchRequest,
    is_model_missing: bool,
    assigned_to: Option<InstanceId>,
    /// Software version of the server that it was assigned to last.
    assigned_software: Option<SoftwareVersion>,
    failed_servers: Vec<InstanceId>,
    sent_attempts: u32,
    /// Number of failed attempts that a backend server may have run.
    run_attempts: u32,
    waiting_since: Option<Instant>,
    /// Whether it waits for room for its body.
    waits_for_room: bool,
    /// Server with a limit for whose next slot it waits.
    awaits_slot_of: Option<InstanceId>,
    /// Slot of the server to which it is assigned, until it is sent.
    slot: Option<SendSlot>,
    /// Where it was assigned to, and whether its body counts there.
    held_at: Option<HeldAddress>,
    /// Whether it has taken a retry from the budget that is not sent yet.
    has_unsent_retry: bool,
    hedge: CallHedge,
    /// Whether its workspace was charged for it in the fair order.
    is_charged: bool,
    /// Since when its caller has wanted it to be served, if an earlier try of it was refused.
    returned_since: Option<Instant>,
    /// Whether it was refused with a time at which its caller may return.
    may_return: bool,
}

impl OpenCall {
    /// When the wait of the request ends. The deadline of the first byte applies only to streams
    /// without an attempt that may have run; once a stream has begun, its caller no longer waits
    /// for that byte.
    fn wait_deadline(&self) -> Instant {
        let awaits_first_byte = self.request.generation.is_some() && self.run_attempts == 0;
        if awaits_first_byte { self.request.first_byte_deadline } else { self.request.deadline }
    }
}

/// Dispatcher of one entry.
#[derive(Debug)]
pub struct CallDispatcher {
    settings: DispatchSettings,
    servers: BTreeMap<InstanceId, ServerView>,
    calls: BTreeMap<u64, OpenCall>,
    fair_queues: FairQueues,
    refused: RefusedRequests,
    budgets: HashMap<ServiceName, RetryBudget>,
    hedges: HedgeBook,
    service_times: HashMap<ServiceName, ServiceTime>,
    load_estimates: HashMap<LoadTarget, LoadEstimate>,
    suspects: SuspectBoard,
    announcements: ServerAnnouncements,
    allowances: LimitAllowances,
    bodies: ServerBytes<SocketAddr>,
    arrivals: BTreeMap<ModelId, u64>,
    entries: usize,
    stop_stage: StopStage,
    last_key: u64,
    actions: Vec<DispatchAction>,
}

impl CallDispatcher {
    /// Creates a dispatcher without backend servers.
    pub fn new(settings: DispatchSettings) -> Self {
        Self {
            settings,
            servers: BTreeMap::new(),
            calls: BTreeMap::new(),
            budgets: HashMap::new(),
            hedges: HedgeBook::default(),
            service_times: HashMap::new(),
            load_estimates: HashMap::new(),
            suspects: SuspectBoard::default(),
            announcements: ServerAnnouncements::default(),
            allowances: LimitAllowances::default(),
            bodies: ServerBytes::new(ByteSize(u64::MAX)),
            fair_queues: FairQueues::default(),
            refused: RefusedRequests::default(),
            arrivals: BTreeMap::new(),
            entries: 1,
            stop_stage: StopStage::default(),
            last_key: 0,
            actions: Vec::new(),
        }
    }

    /// Takes the actions that the driver has to carry out.
    pub fn take_actions(&mut self) -> Vec<DispatchAction> {
        std::mem::take(&mut self.actions)
    }

    /// Enters a stage of the planned stop, and decides again on all requests that wait.
    pub fn enter_stop_stage(&mut self, stage: StopStage, now: Instant) {
        self.stop_stage = stage;
        self.review_waiting(now);
    }

    /// Sets the retry budget that all entries share.
    pub fn set_retry_limits(&mut self, limits: RetryLimits) {
        self.settings.retry_limits = limits;
        self.budgets.values_mut().for_each(|budget| budget.set_limits(limits));
    }

    /// Sets the number of entries that share the retry budget.
    pub fn set_entries(&mut self, entries: usize) {
        self.entries = entries.max(1);
    }

    /// Accepts a request, and returns its key and the first decision.
    pub fn submit(&mut self, request: DispatchRequest, now: Instant) -> (u64, DispatchDecision) {
        self.last_key += 1;
        let key = self.last_key;
        if let Some(generation) = &request.generation {
            *self.arrivals.entry(generation.target.model.clone()).or_default() += 1;
        }
        let returned_since = self.refused.take(&request, now);
        let call = OpenCall {
            request,
            is_model_missing: false,
            assigned_to: None,
            assigned_software: None,
            failed_servers: Vec::new(),
            sent_attempts: 0,
            run_attempts: 0,
            waiting_since: None,
            waits_for_room: false,
            awaits_slot_of: None,
            slot: None,
            held_at: None,
            has_unsent_retry: false,
            hedge: CallHedge::default(),
            is_charged: false,
            returned_since,
            may_return: false,
        };
        self.calls.insert(key, call);
        self.decide_before(key, now);
        let decision = self.decide(key, now);
        (key, decision)
    }

    /// Handles a permit refused by the side process, and decides again. `is_model_missing` means
    /// that the engine does not hold the model.
    pub fn handle_permit_refusal(
        &mut self,
        key: u64,
        is_model_missing: bool,
        now: Instant,
    ) -> DispatchDecision {
        let Some(call) = self.calls.get(&key) else {
            return DispatchDecision::Refuse(Refusal::new(
                ResultCode::CallerCancelled,
                "unknown request",
            ));
        };
        let target = call.request.generation.as_ref().map(|generation| generation.target.clone());
        let server = self.unassign(key);
        let view = server.and_then(|id| self.servers.get_mut(&id));
        if let (Some(view), Some(target)) = (view, target.filter(|_| is_model_missing)) {
            view.remove_model(&target.model);
        }
        // A request without a permit would be assigned again, and wait for the next one.
        if !is_model_missing && self.stop_stage >= StopStage::NoWaits {
            return self.refuse(key, Refusal::stopping(Duration::ZERO));
        }
        self.decide(key, now)
    }

    /// Records the first byte of the answer to `key`. From then on, only servers of the same
    /// software version may go on with it.
    pub fn record_first_byte(&mut self, key: u64, now: Instant) {
        let Some(call) = self.calls.get_mut(&key) else { return };
        if call.request.software.is_none() {
            call.request.software.clone_from(&call.assigned_software);
        }
        if let Some(view) = call.assigned_to.as_ref().and_then(|id| self.servers.get_mut(id)) {
            view.record_first_byte(key, now);
        }
        self.learn_service_time(key, now);
        self.review_waiting(now);
    }

    /// Removes a request that is answered or refused, or whose caller has disconnected.
    pub fn finish(&mut self, key: u64, is_success: bool, now: Instant) {
        self.put_back_slot(key);
        self.put_back_retry(key);
        self.finish_hedge(key, is_success, now);
        self.release_body(key, HedgeSide::First);
        let Some(call) = self.calls.remove(&key) else { return };
        if call.may_return {
            let since = call.returned_since.unwrap_or(call.request.arrived);
            self.refused.record(&call.request, since, now);
        }
        if let Some(view) = call.assigned_to.as_ref().and_then(|id| self.servers.get_mut(id)) {
            view.remove_call(key);
            if is_success {
                view.health.record_success(now);
            }
        }
        self.review_waiting(now);
    }

    /// Records that the current attempt of `key` failed, and decides whether it is retried.
    pub fn record_failure(
        &mut self,
        key: u64,
        failure: AttemptFailure,
        now: Instant,
    ) -> DispatchDecision {
        if failure == AttemptFailure::Failed {
            self.record_answer_begun(key, now);
        }
        self.put_back_slot(key);
        self.release_body(key, HedgeSide::First);
        let Some(call) = self.calls.get_mut(&key) else {
            return DispatchDecision::Refuse(Refusal::new(
                ResultCode::CallerCancelled,
                "unknown request",
            ));
        };
        let server = call.assigned_to.take();
        if failure.may_have_run() {
            call.run_attempts += 1;
        }
        let target = call.request.generation.as_ref().map(|generation| generation.target.clone());
        if let Some(server) = server {
            // One that was ruled out is not chosen for as long as that holds.
            if failure != AttemptFailure::Withdrawn {
                call.failed_servers.push(server.clone());
            }
            if failure == AttemptFailure::Severed {
                self.record_severed(&server, key, now);
            }
            self.charge_failure(&server, key, failure, target.as_ref(), now);
        }
        self.retry_or_refuse(key, failure, now)
    }

    fn charge_failure(
        &mut self,
        server: &InstanceId,
        key: u64,
        failure: AttemptFailure,
        target: Option<&ModelTarget>,
        now: Instant,
    ) {
        let Some(view) = self.servers.get_mut(server) else { return };
        view.remove_call(key);
        match failure {
            AttemptFailure::Unreachable | AttemptFailure::Severed | AttemptFailure::Lost => {
                view.health.record_loss(now)
            }
            AttemptFailure::Failed => view.health.record_failure(now),
            AttemptFailure::Full => view.health.suspend(FULL_SUSPENSION, now),
            AttemptFailure::Misdirected => match target {
                Some(target) => view.remove_target(target),
                None => view.health.record_loss(now),
            },
            AttemptFailure::KeyRevoked | AttemptFailure::Withdrawn => {}
        }
    }

    /// Decides whether and where a request is retried.
    fn retry_or_refuse(
        &mut self,
        key: u64,
        failure: AttemptFailure,
        now: Instant,
    ) -> DispatchDecision {
        if failure == AttemptFailure::KeyRevoked {
            return self.refuse(key, final_refusal(failure, "the key of the caller was revoked"));
        }
        let call = &self.calls[&key];
        if failure.may_have_run() && !call.request.kind.may_retry() {
            return self.refuse(key, final_refusal(failure, "may not be repeated"));
        }
        if call.run_attempts >= call.request.max_attempts {
            return self.refuse(key, final_refusal(failure, "no attempts are left"));
        }
        let was_received =
            !matches!(failure, AttemptFailure::Unreachable | AttemptFailure::Withdrawn);
        let service = call.request.service.clone();
        if was_received {
            if !self.budget(&service).try_take(now) {
                return self.refuse(key, final_refusal(failure, "the budget of repeats is spent"));
            }
            if let Some(call) = self.calls.get_mut(&key) {
                call.has_unsent_retry = true;
            }
        }
        self.decide(key, now)
    }

    /// Replaces the code of a refusal with `BackendLost`, and drops its retry-after, if the code
    /// states that the request did not run although an attempt may have run.
    fn with_run_state(&self, key: u64, refusal: Refusal) -> Refusal {
        let has_run = self.calls.get(&key).is_some_and(|call| call.run_attempts > 0);
        match has_run && refusal.code.run_state() == RunState::NotRun {
            true => Refusal { code: ResultCode::BackendLost, retry_after: None, ..refusal },
            false => refusal,
        }
    }

    fn budget(&mut self, service: &ServiceName) -> BudgetShare<'_> {
        let limits = self.settings.retry_limits;
        let budget =
            self.budgets.entry(service.clone()).or_insert_with(|| RetryBudget::new(limits));
        BudgetShare { budget, entries: self.entries }
    }

    /// Decides again on every waiting request, by priority, and by fair order between workspaces or
    /// by deadline.
    pub fn review_waiting(&mut self, now: Instant) {
        for key in self.waiting_order() {
            self.decide_waiting(key, now);
        }
    }

    fn decide(&mut self, key: u64, now: Instant) -> DispatchDecision {
        if self.stop_stage == StopStage::NoSends {
            return self.refuse(key, Refusal::stopping(Duration::ZERO));
        }
        let call = &self.calls[&key];
        if call.request.deadline <= now {
            return self.refuse(key, Refusal::new(ResultCode::DeadlinePassed, "deadline passed"));
        }
        if call.wait_deadline() <= now {
            let reason = "its caller does not wait longer for a first event";
            let refusal = Refusal::with_retry_after(
                ResultCode::DeadlinePassed,
                waiting::UNKNOWN_RETRY_AFTER,
                reason,
            );
            return self.refuse(key, refusal);
        }
        if let Some(refusal) = self.block_refusal(key, now) {
            return self.refuse(key, refusal);
        }
        if !self.has_server_for(&self.calls[&key].request) {
            let reason = "no backend server has the software version of the stream";
            return self.refuse(key, Refusal::new(ResultCode::NoReplica, reason));
        }
        match self.calls[&key].request.generation.is_some() {
            true => self.decide_generation(key, now),
            false => self.decide_plain(key, now),
        }
    }

    /// Whether a server is listed that may go on with the stream; true for a stream that has not
    /// begun, and before the first server of the service is known.
    fn has_server_for(&self, request: &DispatchRequest) -> bool {
        let Some(software) = &request.software else { return true };
        let mut servers = self.servers.values().filter(|view| view.service == request.service);
        let is_able = |view: &ServerView| view.software == *software && !view.is_draining();
        servers.clone().any(is_able) || servers.next().is_none()
    }

    /// Software version that the servers of the request must have; none if all have it or if any
    /// will do.
    fn required_software<'a>(&self, request: &'a DispatchRequest) -> Option<&'a SoftwareVersion> {
        let software = request.software.as_ref()?;
        let mut others = self.servers.values().filter(|view| {
            view.service == request.service && view.software != *software && !view.is_draining()
        });
        others.next().map(|_| software)
    }

    fn refuse(&mut self, key: u64, refusal: Refusal) -> DispatchDecision {
        if let Some(call) = self.calls.get_mut(&key) {
            call.waiting_since = None;
            call.awaits_slot_of = None;
        }
        self.put_back_retry(key);
        let refusal = self.with_run_state(key, refusal);
        if let Some(call) = self.calls.get_mut(&key) {
            call.may_return = refusal.retry_after.is_some();
        }
        DispatchDecision::Refuse(refusal)
    }
}

struct BudgetShare<'a> {
    budget: &'a mut RetryBudget,
    entries: usize,
}

impl BudgetShare<'_> {
    fn try_take(&mut self, now: Instant) -> bool {
        self.budget.try_take(self.entries, now)
    }
}
