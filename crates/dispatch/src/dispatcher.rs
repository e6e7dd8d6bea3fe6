//! The desk of one entry: takes requests, says where each goes, which wait, and which are refused.
//!
//! The desk does no input or output. A driver feeds it with requests, results and news, and carries
//! out what it says.

use std::collections::{BTreeMap, HashMap};

use base::prelude::*;
use catalog::{RouteKind, TokenCount};
use roster::{BackendServer, IncarnationStart, InstanceId};

use crate::{
    budget::{RetryBudget, RetryLimits},
    call::{Generation, ModelTarget, ServerLoad},
    choice::{ChoiceView, EngineOffer, choose_engine, choose_plain},
    servers::{EngineUpdate, ServerView},
    waiting::{self, LoadEstimate},
};

/// A request as the desk knows it.
#[derive(Debug, Clone)]
pub struct DispatchRequest {
    /// What may be repeated.
    pub kind: RouteKind,
    /// Service.
    pub service: ServiceName,
    /// Model and prompt; none for plain services.
    pub generation: Option<Generation>,
    /// When it arrived.
    pub arrived: Instant,
    /// Time within which its answer is on time.
    pub goal: Duration,
    /// When its caller gives up without a first byte.
    pub first_byte_deadline: Instant,
    /// When it must be answered at the latest.
    pub deadline: Instant,
    /// Rank; zero is the most urgent.
    pub priority: u32,
    /// Backend servers on which it may run.
    pub attempts: u32,
}

/// Where a request goes.
#[derive(Debug, Clone, PartialEq)]
pub struct Assignment {
    /// Backend server.
    pub server: InstanceId,
    /// Its address.
    pub address: std::net::SocketAddr,
    /// Number of the attempt, counted from one.
    pub attempt: u32,
    /// Requests believed to be there.
    pub load: u32,
    /// Age of that belief.
    pub load_age: Duration,
    /// Expected time to the first byte.
    pub expected_first_byte: Duration,
    /// Whether a side process has to let the request in first.
    pub needs_permit: bool,
    /// Time until which the request waits to be let in there.
    pub permit_deadline: Instant,
}

/// Why a request waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum WaitReason {
    /// No engine holds the model.
    ModelMissing,
    /// The engines that hold the model have other prompts to read first.
    PrefillBusy,
    /// No backend server can be reached at the moment.
    NoServer,
}

impl WaitReason {
    /// One word for logs.
    pub fn text(self) -> &'static str {
        match self {
            WaitReason::ModelMissing => "model-missing",
            WaitReason::PrefillBusy => "engines-reading",
            WaitReason::NoServer => "no-server",
        }
    }
}

/// A refusal.
#[derive(Debug, Clone, PartialEq)]
pub struct Refusal {
    /// Result code.
    pub code: ResultCode,
    /// When the caller may come back.
    pub retry_after: Option<Duration>,
    /// What decided it.
    pub reason: &'static str,
    /// What was known of the load of its model, where that decided.
    pub estimate: Option<LoadEstimate>,
}

impl Refusal {
    /// A refusal that says nothing about when to come back.
    pub fn new(code: ResultCode, reason: &'static str) -> Self {
        Self { code, retry_after: None, reason, estimate: None }
    }

    /// The same refusal with what was known of the load of its model.
    pub fn with_estimate(self, outlook: LoadEstimate) -> Self {
        Self { estimate: Some(outlook), ..self }
    }

    /// A refusal that names when to come back.
    pub fn with_retry_after(code: ResultCode, retry_after: Duration, reason: &'static str) -> Self {
        Self { code, retry_after: Some(retry_after), reason, estimate: None }
    }
}

/// What happens to a request next.
#[derive(Debug, Clone, PartialEq)]
pub enum DispatchDecision {
    /// It goes to a backend server.
    Send(Assignment),
    /// It waits; another verdict follows.
    Wait(WaitReason, Option<Instant>),
    /// It is refused or given up.
    Refuse(Refusal),
}

/// Something for the driver to do.
#[derive(Debug, Clone, PartialEq)]
pub enum DispatchAction {
    /// A request that waited has a new verdict.
    Decide(u64, DispatchDecision),
}

/// How an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptFailure {
    /// No connection was to be had.
    Unreachable,
    /// The backend server says that it did not run the request because it has no room.
    Full,
    /// The backend server says that it does not hold the model or the adapter, or is another one.
    Misdirected,
    /// The backend server ran the request and reports a failure.
    Failed,
    /// Nothing tells whether the request has run.
    Lost,
}

impl AttemptFailure {
    /// Whether the backend server may have run the request.
    pub fn may_have_run(self) -> bool {
        matches!(self, AttemptFailure::Failed | AttemptFailure::Lost)
    }
}

/// Settings of the desk.
#[derive(Debug, Clone)]
pub struct DispatchSettings {
    /// Availability zone of this entry.
    pub zone: ZoneName,
    /// Budget of repeats that all entries share.
    pub retry_limits: RetryLimits,
}

/// Longest wait to be let in at one engine before another one is looked for.
const MAX_PERMIT_WAIT: Duration = Duration::from_millis(450);
/// Time for which a backend server without room is left out.
const FULL_SUSPENSION: Duration = Duration::from_millis(50);

/// What an entry asks of one model.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ModelUsage {
    /// Requests for it since the entry started.
    pub arrivals: u64,
    /// Requests that wait because no engine holds it.
    pub waiting: u32,
    /// Time until the first of them misses its goal; zero once it has.
    pub slack: Duration,
    /// Most urgent priority among them.
    pub priority: u32,
    /// Requests at engines.
    pub runs: BTreeMap<InstanceId, u32>,
}

impl ModelUsage {
    fn add_waiting(&mut self, ask: &DispatchRequest, now: Instant) {
        let slack = (ask.arrived + ask.goal).saturating_duration_since(now);
        let is_first = self.waiting == 0;
        self.slack = if is_first { slack } else { self.slack.min(slack) };
        self.priority = if is_first { ask.priority } else { self.priority.min(ask.priority) };
        self.waiting += 1;
    }
}

#[derive(Debug)]
struct OpenCall {
    ask: DispatchRequest,
    is_model_missing: bool,
    assigned_to: Option<InstanceId>,
    failed_servers: Vec<InstanceId>,
    sent_attempts: u32,
    run_attempts: u32,
    waiting_since: Option<Instant>,
}

impl OpenCall {
    /// Time until which the request may wait. Callers of a stream that has begun have stopped
    /// waiting for a first event.
    fn wait_deadline(&self) -> Instant {
        let waits_for_first = self.ask.generation.is_some() && self.run_attempts == 0;
        if waits_for_first { self.ask.first_byte_deadline } else { self.ask.deadline }
    }
}

/// The desk.
#[derive(Debug)]
pub struct CallDispatcher {
    settings: DispatchSettings,
    servers: BTreeMap<InstanceId, ServerView>,
    calls: BTreeMap<u64, OpenCall>,
    budgets: HashMap<ServiceName, RetryBudget>,
    load_estimates: HashMap<ModelId, LoadEstimate>,
    arrivals: BTreeMap<ModelId, u64>,
    entries: usize,
    is_stopping: bool,
    next_key: u64,
    actions: Vec<DispatchAction>,
}

impl CallDispatcher {
    /// A desk that knows no backend server.
    pub fn new(settings: DispatchSettings) -> Self {
        Self {
            settings,
            servers: BTreeMap::new(),
            calls: BTreeMap::new(),
            budgets: HashMap::new(),
            load_estimates: HashMap::new(),
            arrivals: BTreeMap::new(),
            entries: 1,
            is_stopping: false,
            next_key: 0,
            actions: Vec::new(),
        }
    }

    /// What is left for the driver to do.
    pub fn take_actions(&mut self) -> Vec<DispatchAction> {
        std::mem::take(&mut self.actions)
    }

    /// The process is about to end: requests do not wait any more.
    pub fn stop(&mut self, now: Instant) {
        self.is_stopping = true;
        self.review_waiting(now);
    }

    /// Sets the budget of repeats that all entries share.
    pub fn set_retry_limits(&mut self, limits: RetryLimits) {
        self.settings.retry_limits = limits;
        self.budgets.values_mut().for_each(|budget| budget.set_limits(limits));
    }

    /// Sets the number of entries that share the budget of repeats.
    pub fn set_entries(&mut self, entries: usize) {
        self.entries = entries.max(1);
    }

    /// Takes in a new or changed backend server.
    pub fn upsert_server(&mut self, server: &BackendServer, now: Instant) {
        match self.servers.get_mut(&server.id) {
            Some(view) => view.apply_listing(server, now),
            None => {
                self.servers.insert(server.id.clone(), ServerView::new(server, now));
            }
        }
    }

    /// Drops a backend server that is gone.
    pub fn remove_server(&mut self, server: &InstanceId) {
        self.servers.remove(server);
    }

    /// Sends no new work to a backend server any more.
    pub fn drain_server(&mut self, server: &InstanceId) {
        if let Some(view) = self.servers.get_mut(server) {
            view.is_draining = true;
        }
    }

    /// Takes in news of the side process beside `server`.
    pub fn apply_engine_update(&mut self, server: &InstanceId, news: &EngineUpdate, now: Instant) {
        if let Some(view) = self.servers.get_mut(server) {
            view.apply_engine_update(news, now);
        }
    }

    /// The side process beside `server` is silent.
    pub fn mark_side_unreachable(&mut self, server: &InstanceId) {
        if let Some(view) = self.servers.get_mut(server) {
            view.mark_side_unreachable();
        }
    }

    /// Takes in the load that an answer of `server` told.
    pub fn record_answer_load(&mut self, server: &InstanceId, load: ServerLoad, now: Instant) {
        if let Some(view) = self.servers.get_mut(server) {
            view.record_answer_load(load, now);
        }
    }

    /// Takes in the load that the side process beside `server` told.
    pub fn record_side_load(
        &mut self,
        server: &InstanceId,
        load: u32,
        unread: TokenCount,
        now: Instant,
    ) {
        if let Some(view) = self.servers.get_mut(server) {
            view.record_load(load, now);
            view.record_queued_prefill(unread);
        }
    }

    /// Takes in when the planner expects `model` to be loaded somewhere.
    pub fn set_load_estimate(&mut self, model: ModelId, outlook: LoadEstimate) {
        self.load_estimates.insert(model, outlook);
    }

    /// The backend servers.
    pub fn servers(&self) -> impl Iterator<Item = &ServerView> {
        self.servers.values()
    }

    /// The backend server at `address`, of this incarnation if both tell theirs.
    pub fn server_at(
        &self,
        address: std::net::SocketAddr,
        started: Option<IncarnationStart>,
    ) -> Option<&ServerView> {
        self.servers.values().find(|view| {
            let is_same = view.started.is_none() || started.is_none() || view.started == started;
            view.address == address && is_same
        })
    }

    /// Whether a request waits for a model that no engine holds.
    pub fn has_call_missing_model(&self) -> bool {
        self.calls.values().any(|call| call.is_model_missing)
    }

    /// One backend server.
    pub fn server(&self, id: &InstanceId) -> Option<&ServerView> {
        self.servers.get(id)
    }

    /// What this entry asks of each model.
    pub fn model_demand(&self, now: Instant) -> BTreeMap<ModelId, ModelUsage> {
        let mut uses: BTreeMap<ModelId, ModelUsage> = BTreeMap::new();
        for (model, arrivals) in &self.arrivals {
            uses.entry(model.clone()).or_default().arrivals = *arrivals;
        }
        for call in self.calls.values() {
            let Some(generation) = &call.ask.generation else { continue };
            let model_use = uses.entry(generation.target.model.clone()).or_default();
            match (&call.assigned_to, call.is_model_missing) {
                (Some(server), _) => {
                    *model_use.runs.entry(server.clone()).or_default() += 1;
                }
                (None, true) => model_use.add_waiting(&call.ask, now),
                (None, false) => {}
            }
        }
        uses
    }

    /// Takes in a request; the verdict is the first of those that follow.
    pub fn submit(&mut self, ask: DispatchRequest, now: Instant) -> (u64, DispatchDecision) {
        self.next_key += 1;
        let key = self.next_key;
        if let Some(generation) = &ask.generation {
            *self.arrivals.entry(generation.target.model.clone()).or_default() += 1;
        }
        let call = OpenCall {
            ask,
            is_model_missing: false,
            assigned_to: None,
            failed_servers: Vec::new(),
            sent_attempts: 0,
            run_attempts: 0,
            waiting_since: None,
        };
        self.calls.insert(key, call);
        let verdict = self.decide(key, now);
        (key, verdict)
    }

    /// The request goes to the backend server that it was assigned to.
    pub fn mark_sent(&mut self, key: u64, now: Instant) {
        let Some(call) = self.calls.get_mut(&key) else { return };
        call.sent_attempts += 1;
        if let Some(view) = call.assigned_to.as_ref().and_then(|id| self.servers.get_mut(id)) {
            view.mark_sent(key, now);
        }
        if call.sent_attempts == 1 {
            let service = call.ask.service.clone();
            self.budget(&service).budget.record_first(now);
        }
    }

    /// The side process did not let the request in; says what happens next.
    pub fn handle_permit_refusal(
        &mut self,
        key: u64,
        is_missing: bool,
        now: Instant,
    ) -> DispatchDecision {
        let Some(call) = self.calls.get_mut(&key) else {
            return DispatchDecision::Refuse(Refusal::new(
                ResultCode::CallerCancelled,
                "unknown request",
            ));
        };
        let target = call.ask.generation.as_ref().map(|generation| generation.target.clone());
        if let Some(view) = call.assigned_to.take().and_then(|id| self.servers.get_mut(&id)) {
            view.remove_call(key);
            if let Some(target) = target.filter(|_| is_missing) {
                view.remove_model(&target.model);
            }
        }
        self.decide(key, now)
    }

    /// The first byte of the answer to `key` has come.
    pub fn record_first_byte(&mut self, key: u64, now: Instant) {
        let Some(call) = self.calls.get(&key) else { return };
        if let Some(view) = call.assigned_to.as_ref().and_then(|id| self.servers.get_mut(id)) {
            view.record_first_byte(key, now);
        }
        self.review_waiting(now);
    }

    /// The request is answered, refused, or its caller has left.
    pub fn finish(&mut self, key: u64, is_success: bool, now: Instant) {
        let Some(call) = self.calls.remove(&key) else { return };
        if let Some(view) = call.assigned_to.as_ref().and_then(|id| self.servers.get_mut(id)) {
            view.remove_call(key);
            if is_success {
                view.health.record_success(now);
            }
        }
        self.review_waiting(now);
    }

    /// The attempt of `key` that is under way failed; says what happens next.
    pub fn record_failure(
        &mut self,
        key: u64,
        failure: AttemptFailure,
        now: Instant,
    ) -> DispatchDecision {
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
        let target = call.ask.generation.as_ref().map(|generation| generation.target.clone());
        if let Some(server) = server {
            call.failed_servers.push(server.clone());
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
            AttemptFailure::Unreachable | AttemptFailure::Lost => view.health.record_loss(now),
            AttemptFailure::Failed => view.health.record_failure(now),
            AttemptFailure::Full => view.health.suspend(FULL_SUSPENSION, now),
            AttemptFailure::Misdirected => match target {
                Some(target) => view.remove_target(target),
                None => view.health.record_loss(now),
            },
        }
    }

    /// Whether and where a request is sent again.
    fn retry_or_refuse(
        &mut self,
        key: u64,
        failure: AttemptFailure,
        now: Instant,
    ) -> DispatchDecision {
        let call = &self.calls[&key];
        if failure.may_have_run() && !call.ask.kind.may_repeat() {
            return self.refuse(key, final_failure(failure, "may not be repeated"));
        }
        if call.run_attempts >= call.ask.attempts {
            return self.refuse(key, final_failure(failure, "no attempts are left"));
        }
        let was_read = failure != AttemptFailure::Unreachable;
        let service = call.ask.service.clone();
        if was_read && !self.budget(&service).try_take(now) {
            return self.refuse(key, final_failure(failure, "the budget of repeats is spent"));
        }
        self.decide(key, now)
    }

    /// A refusal may say that a request has not run only if no attempt may have.
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

    /// Looks again at every request that waits.
    pub fn review_waiting(&mut self, now: Instant) {
        let mut keys: Vec<(u32, Instant, u64)> = self
            .calls
            .iter()
            .filter(|(_, call)| call.waiting_since.is_some())
            .map(|(key, call)| (call.ask.priority, call.ask.deadline, *key))
            .collect();
        keys.sort_unstable();
        for (_, _, key) in keys {
            let verdict = self.decide(key, now);
            if !matches!(verdict, DispatchDecision::Wait(..)) {
                self.actions.push(DispatchAction::Decide(key, verdict));
            }
        }
    }

    fn decide(&mut self, key: u64, now: Instant) -> DispatchDecision {
        let call = &self.calls[&key];
        if call.ask.deadline <= now {
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
        match call.ask.generation.is_some() {
            true => self.decide_generation(key, now),
            false => self.decide_plain(key, now),
        }
    }

    fn refuse(&mut self, key: u64, refusal: Refusal) -> DispatchDecision {
        if let Some(call) = self.calls.get_mut(&key) {
            call.waiting_since = None;
        }
        DispatchDecision::Refuse(self.with_run_state(key, refusal))
    }

    fn decide_plain(&mut self, key: u64, now: Instant) -> DispatchDecision {
        let call = &self.calls[&key];
        let view =
            ChoiceView { zone: &self.settings.zone, failed_servers: &call.failed_servers, now };
        match choose_plain(self.servers.values(), &call.ask.service, &view) {
            Some((server, expected)) => self.assign(key, &server, expected, now),
            None => self.wait(key, WaitReason::NoServer, now),
        }
    }

    fn decide_generation(&mut self, key: u64, now: Instant) -> DispatchDecision {
        let call = &self.calls[&key];
        let Some(generation) = &call.ask.generation else {
            return self.decide_plain(key, now);
        };
        let view =
            ChoiceView { zone: &self.settings.zone, failed_servers: &call.failed_servers, now };
        let offer = choose_engine(self.servers.values(), &call.ask.service, generation, &view);
        let choice = match offer {
            EngineOffer::ModelMissing => return self.wait(key, WaitReason::ModelMissing, now),
            EngineOffer::PrefillBusy => return self.wait(key, WaitReason::PrefillBusy, now),
            EngineOffer::Chosen(choice) => choice,
        };
        self.assign(key, &choice.server, choice.expected, now)
    }

    fn wait(&mut self, key: u64, reason: WaitReason, now: Instant) -> DispatchDecision {
        if self.is_stopping {
            let reason = "the process is stopping";
            let refusal =
                Refusal::with_retry_after(ResultCode::ProcessStopping, Duration::ZERO, reason);
            return self.refuse(key, refusal);
        }
        let call = self.calls.get_mut(&key).expect("the caller found it");
        call.is_model_missing = reason == WaitReason::ModelMissing;
        let since = *call.waiting_since.get_or_insert(now);
        let target = call.ask.generation.as_ref().map(|generation| &generation.target);
        let outlook = target.and_then(|target| {
            let loads = self.servers.values().filter(|view| view.service == call.ask.service);
            waiting::best_estimate(
                loads,
                &target.model,
                self.load_estimates.get(&target.model),
                now,
            )
        });
        match waiting::check_wait(&call.ask, reason, since, outlook, now) {
            Ok(expected) => DispatchDecision::Wait(reason, expected),
            Err(refusal) => self.refuse(key, refusal),
        }
    }

    fn assign(
        &mut self,
        key: u64,
        server: &InstanceId,
        expected: Duration,
        now: Instant,
    ) -> DispatchDecision {
        let call = self.calls.get_mut(&key).expect("the caller found it");
        let view = self.servers.get_mut(server).expect("it was chosen among them");
        call.waiting_since = None;
        call.is_model_missing = false;
        call.assigned_to = Some(server.clone());
        let generation = call.ask.generation.as_ref();
        let assignment = Assignment {
            server: server.clone(),
            address: view.address,
            attempt: call.sent_attempts + 1,
            load: view.load(),
            load_age: view.load_age(now),
            expected_first_byte: expected,
            needs_permit: generation.is_some() && view.has_side_process(),
            permit_deadline: call.wait_deadline().min(now + MAX_PERMIT_WAIT),
        };
        let target = generation.map(|generation| generation.target.clone());
        let prompt = generation.map_or(TokenCount(0), |generation| generation.prompt);
        view.assign(key, target, prompt);
        DispatchDecision::Send(assignment)
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

/// The refusal of a request whose last attempt failed.
fn final_failure(failure: AttemptFailure, reason: &'static str) -> Refusal {
    match failure {
        AttemptFailure::Unreachable | AttemptFailure::Full => {
            Refusal::with_retry_after(ResultCode::NoReplica, waiting::SHORT_RETRY_AFTER, reason)
        }
        // Its model has to be loaded first.
        AttemptFailure::Misdirected => {
            Refusal::with_retry_after(ResultCode::NoReplica, waiting::UNKNOWN_RETRY_AFTER, reason)
        }
        AttemptFailure::Failed => Refusal::new(ResultCode::BackendFailed, reason),
        AttemptFailure::Lost => Refusal::new(ResultCode::BackendLost, reason),
    }
}
