//! The desk of one entry: takes requests, says where each goes, which wait, and which are refused.
//!
//! The desk does no input or output. A driver feeds it with requests, results and news, and carries
//! out what it says.

use std::collections::{BTreeMap, HashMap};

use base::prelude::*;
use catalog::{RouteKind, TokenCount};
use roster::{BackendServer, IncarnationStart, InstanceId};

use crate::{
    budget::{RepeatBudget, RepeatLimits},
    call::{Generation, ModelTarget, ServerLoad},
    choice::{ChoiceView, EngineOffer, choose_engine, choose_plain},
    servers::{EngineNews, ServerView},
    waiting::{self, LoadOutlook},
};

/// A request as the desk knows it.
#[derive(Debug, Clone)]
pub struct Ask {
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
    pub first_by: Instant,
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
    pub expected: Duration,
    /// Whether a side process has to let the request in first.
    pub needs_permit: bool,
    /// Time until which the request waits to be let in there.
    pub let_in_by: Instant,
}

/// Why a request waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum WaitReason {
    /// No engine holds the model.
    ModelMissing,
    /// The engines that hold the model have other prompts to read first.
    EnginesReading,
    /// No backend server can be reached at the moment.
    NoServer,
}

impl WaitReason {
    /// One word for logs.
    pub fn text(self) -> &'static str {
        match self {
            WaitReason::ModelMissing => "model-missing",
            WaitReason::EnginesReading => "engines-reading",
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
    pub outlook: Option<LoadOutlook>,
}

impl Refusal {
    /// A refusal that says nothing about when to come back.
    pub fn new(code: ResultCode, reason: &'static str) -> Self {
        Self { code, retry_after: None, reason, outlook: None }
    }

    /// The same refusal with what was known of the load of its model.
    pub fn because_of(self, outlook: LoadOutlook) -> Self {
        Self { outlook: Some(outlook), ..self }
    }

    /// A refusal that names when to come back.
    pub fn until(code: ResultCode, retry_after: Duration, reason: &'static str) -> Self {
        Self { code, retry_after: Some(retry_after), reason, outlook: None }
    }
}

/// What happens to a request next.
#[derive(Debug, Clone, PartialEq)]
pub enum Verdict {
    /// It goes to a backend server.
    Send(Assignment),
    /// It waits; another verdict follows.
    Wait(WaitReason, Option<Instant>),
    /// It is refused or given up.
    Refuse(Refusal),
}

/// Something for the driver to do.
#[derive(Debug, Clone, PartialEq)]
pub enum DeskAction {
    /// A request that waited has a new verdict.
    Decide(u64, Verdict),
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
pub struct DeskSettings {
    /// Availability zone of this entry.
    pub zone: ZoneName,
    /// Budget of repeats that all entries share.
    pub repeats: RepeatLimits,
}

/// Longest wait to be let in at one engine before another one is looked for.
const ENGINE_PATIENCE: Duration = Duration::from_millis(450);
/// Time for which a backend server without room is left out.
const FULL_SUSPENSION: Duration = Duration::from_millis(50);

/// What an entry asks of one model.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ModelUse {
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

impl ModelUse {
    fn wait(&mut self, ask: &Ask, now: Instant) {
        let slack = (ask.arrived + ask.goal).saturating_duration_since(now);
        let is_first = self.waiting == 0;
        self.slack = if is_first { slack } else { self.slack.min(slack) };
        self.priority = if is_first { ask.priority } else { self.priority.min(ask.priority) };
        self.waiting += 1;
    }
}

#[derive(Debug)]
struct OpenCall {
    ask: Ask,
    missing: bool,
    at: Option<InstanceId>,
    avoided: Vec<InstanceId>,
    sent: u32,
    ran: u32,
    since: Option<Instant>,
}

impl OpenCall {
    /// Time until which the request may wait. Callers of a stream that has begun have stopped
    /// waiting for a first event.
    fn last_wait(&self) -> Instant {
        let waits_for_first = self.ask.generation.is_some() && self.ran == 0;
        if waits_for_first { self.ask.first_by } else { self.ask.deadline }
    }
}

/// The desk.
#[derive(Debug)]
pub struct Desk {
    settings: DeskSettings,
    servers: BTreeMap<InstanceId, ServerView>,
    calls: BTreeMap<u64, OpenCall>,
    budgets: HashMap<ServiceName, RepeatBudget>,
    outlooks: HashMap<ModelId, LoadOutlook>,
    arrivals: BTreeMap<ModelId, u64>,
    entries: usize,
    is_stopping: bool,
    next_key: u64,
    actions: Vec<DeskAction>,
}

impl Desk {
    /// A desk that knows no backend server.
    pub fn new(settings: DeskSettings) -> Self {
        Self {
            settings,
            servers: BTreeMap::new(),
            calls: BTreeMap::new(),
            budgets: HashMap::new(),
            outlooks: HashMap::new(),
            arrivals: BTreeMap::new(),
            entries: 1,
            is_stopping: false,
            next_key: 0,
            actions: Vec::new(),
        }
    }

    /// What is left for the driver to do.
    pub fn take_actions(&mut self) -> Vec<DeskAction> {
        std::mem::take(&mut self.actions)
    }

    /// The process is about to end: requests do not wait any more.
    pub fn stop(&mut self, now: Instant) {
        self.is_stopping = true;
        self.review(now);
    }

    /// Sets the budget of repeats that all entries share.
    pub fn set_repeats(&mut self, limits: RepeatLimits) {
        self.settings.repeats = limits;
        self.budgets.values_mut().for_each(|budget| budget.set_limits(limits));
    }

    /// Sets the number of entries that share the budget of repeats.
    pub fn set_entries(&mut self, entries: usize) {
        self.entries = entries.max(1);
    }

    /// Takes in a new or changed backend server.
    pub fn list(&mut self, server: &BackendServer, now: Instant) {
        match self.servers.get_mut(&server.id) {
            Some(view) => view.update(server, now),
            None => {
                self.servers.insert(server.id.clone(), ServerView::new(server, now));
            }
        }
    }

    /// Drops a backend server that is gone.
    pub fn remove(&mut self, server: &InstanceId) {
        self.servers.remove(server);
    }

    /// Sends no new work to a backend server any more.
    pub fn drain(&mut self, server: &InstanceId) {
        if let Some(view) = self.servers.get_mut(server) {
            view.is_leaving = true;
        }
    }

    /// Takes in news of the side process beside `server`.
    pub fn hear(&mut self, server: &InstanceId, news: &EngineNews, now: Instant) {
        if let Some(view) = self.servers.get_mut(server) {
            view.hear(news, now);
        }
    }

    /// The side process beside `server` is silent.
    pub fn lose_side(&mut self, server: &InstanceId) {
        if let Some(view) = self.servers.get_mut(server) {
            view.lose_side();
        }
    }

    /// Takes in the load that an answer of `server` told.
    pub fn hear_load(&mut self, server: &InstanceId, load: ServerLoad, now: Instant) {
        if let Some(view) = self.servers.get_mut(server) {
            view.hear_load(load, now);
        }
    }

    /// Takes in the load that the side process beside `server` told.
    pub fn hear_side_load(
        &mut self,
        server: &InstanceId,
        load: u32,
        unread: TokenCount,
        now: Instant,
    ) {
        if let Some(view) = self.servers.get_mut(server) {
            view.tell_load(load, now);
            view.tell_unread(unread);
        }
    }

    /// Takes in when the planner expects `model` to be loaded somewhere.
    pub fn expect(&mut self, model: ModelId, outlook: LoadOutlook) {
        self.outlooks.insert(model, outlook);
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
    pub fn has_missing(&self) -> bool {
        self.calls.values().any(|call| call.missing)
    }

    /// One backend server.
    pub fn server(&self, id: &InstanceId) -> Option<&ServerView> {
        self.servers.get(id)
    }

    /// What this entry asks of each model.
    pub fn demand(&self, now: Instant) -> BTreeMap<ModelId, ModelUse> {
        let mut uses: BTreeMap<ModelId, ModelUse> = BTreeMap::new();
        for (model, arrivals) in &self.arrivals {
            uses.entry(model.clone()).or_default().arrivals = *arrivals;
        }
        for call in self.calls.values() {
            let Some(generation) = &call.ask.generation else { continue };
            let model_use = uses.entry(generation.target.model.clone()).or_default();
            match (&call.at, call.missing) {
                (Some(server), _) => {
                    *model_use.runs.entry(server.clone()).or_default() += 1;
                }
                (None, true) => model_use.wait(&call.ask, now),
                (None, false) => {}
            }
        }
        uses
    }

    /// Takes in a request; the verdict is the first of those that follow.
    pub fn offer(&mut self, ask: Ask, now: Instant) -> (u64, Verdict) {
        self.next_key += 1;
        let key = self.next_key;
        if let Some(generation) = &ask.generation {
            *self.arrivals.entry(generation.target.model.clone()).or_default() += 1;
        }
        let call = OpenCall {
            ask,
            missing: false,
            at: None,
            avoided: Vec::new(),
            sent: 0,
            ran: 0,
            since: None,
        };
        self.calls.insert(key, call);
        let verdict = self.decide(key, now);
        (key, verdict)
    }

    /// The request goes to the backend server that it was assigned to.
    pub fn send(&mut self, key: u64, now: Instant) {
        let Some(call) = self.calls.get_mut(&key) else { return };
        call.sent += 1;
        if let Some(view) = call.at.as_ref().and_then(|id| self.servers.get_mut(id)) {
            view.send(key, now);
        }
        if call.sent == 1 {
            let service = call.ask.service.clone();
            self.budget(&service).budget.count_first(now);
        }
    }

    /// The side process did not let the request in; says what happens next.
    pub fn withdraw(&mut self, key: u64, is_missing: bool, now: Instant) -> Verdict {
        let Some(call) = self.calls.get_mut(&key) else {
            return Verdict::Refuse(Refusal::new(ResultCode::CallerCancelled, "unknown request"));
        };
        let target = call.ask.generation.as_ref().map(|generation| generation.target.clone());
        if let Some(view) = call.at.take().and_then(|id| self.servers.get_mut(&id)) {
            view.end(key);
            if let Some(target) = target.filter(|_| is_missing) {
                view.miss_model(&target.model);
            }
        }
        self.decide(key, now)
    }

    /// The first byte of the answer to `key` has come.
    pub fn start(&mut self, key: u64, now: Instant) {
        let Some(call) = self.calls.get(&key) else { return };
        if let Some(view) = call.at.as_ref().and_then(|id| self.servers.get_mut(id)) {
            view.start(key, now);
        }
        self.review(now);
    }

    /// The request is answered, refused, or its caller has left.
    pub fn close(&mut self, key: u64, is_success: bool, now: Instant) {
        let Some(call) = self.calls.remove(&key) else { return };
        if let Some(view) = call.at.as_ref().and_then(|id| self.servers.get_mut(id)) {
            view.end(key);
            if is_success {
                view.trust.succeed(now);
            }
        }
        self.review(now);
    }

    /// The attempt of `key` that is under way failed; says what happens next.
    pub fn fail(&mut self, key: u64, failure: AttemptFailure, now: Instant) -> Verdict {
        let Some(call) = self.calls.get_mut(&key) else {
            return Verdict::Refuse(Refusal::new(ResultCode::CallerCancelled, "unknown request"));
        };
        let server = call.at.take();
        if failure.may_have_run() {
            call.ran += 1;
        }
        let target = call.ask.generation.as_ref().map(|generation| generation.target.clone());
        if let Some(server) = server {
            call.avoided.push(server.clone());
            self.blame(&server, key, failure, target.as_ref(), now);
        }
        self.again(key, failure, now)
    }

    fn blame(
        &mut self,
        server: &InstanceId,
        key: u64,
        failure: AttemptFailure,
        target: Option<&ModelTarget>,
        now: Instant,
    ) {
        let Some(view) = self.servers.get_mut(server) else { return };
        view.end(key);
        match failure {
            AttemptFailure::Unreachable | AttemptFailure::Lost => view.trust.lose(now),
            AttemptFailure::Failed => view.trust.fail(now),
            AttemptFailure::Full => view.trust.suspend(FULL_SUSPENSION, now),
            AttemptFailure::Misdirected => match target {
                Some(target) => view.miss(target),
                None => view.trust.lose(now),
            },
        }
    }

    /// Whether and where a request is sent again.
    fn again(&mut self, key: u64, failure: AttemptFailure, now: Instant) -> Verdict {
        let call = &self.calls[&key];
        if failure.may_have_run() && !call.ask.kind.may_repeat() {
            return self.refuse(key, final_failure(failure, "may not be repeated"));
        }
        if call.ran >= call.ask.attempts {
            return self.refuse(key, final_failure(failure, "no attempts are left"));
        }
        let was_read = failure != AttemptFailure::Unreachable;
        let service = call.ask.service.clone();
        if was_read && !self.budget(&service).take_for(now) {
            return self.refuse(key, final_failure(failure, "the budget of repeats is spent"));
        }
        self.decide(key, now)
    }

    /// A refusal may say that a request has not run only if no attempt may have.
    fn truthful(&self, key: u64, refusal: Refusal) -> Refusal {
        let has_run = self.calls.get(&key).is_some_and(|call| call.ran > 0);
        match has_run && refusal.code.run_state() == RunState::NotRun {
            true => Refusal { code: ResultCode::BackendLost, retry_after: None, ..refusal },
            false => refusal,
        }
    }

    fn budget(&mut self, service: &ServiceName) -> BudgetPart<'_> {
        let limits = self.settings.repeats;
        let budget =
            self.budgets.entry(service.clone()).or_insert_with(|| RepeatBudget::new(limits));
        BudgetPart { budget, entries: self.entries }
    }

    /// Looks again at every request that waits.
    pub fn review(&mut self, now: Instant) {
        let mut keys: Vec<(u32, Instant, u64)> = self
            .calls
            .iter()
            .filter(|(_, call)| call.since.is_some())
            .map(|(key, call)| (call.ask.priority, call.ask.deadline, *key))
            .collect();
        keys.sort_unstable();
        for (_, _, key) in keys {
            let verdict = self.decide(key, now);
            if !matches!(verdict, Verdict::Wait(..)) {
                self.actions.push(DeskAction::Decide(key, verdict));
            }
        }
    }

    fn decide(&mut self, key: u64, now: Instant) -> Verdict {
        let call = &self.calls[&key];
        if call.ask.deadline <= now {
            return self.refuse(key, Refusal::new(ResultCode::DeadlinePassed, "deadline passed"));
        }
        if call.last_wait() <= now {
            let reason = "its caller does not wait longer for a first event";
            let refusal =
                Refusal::until(ResultCode::DeadlinePassed, waiting::UNKNOWN_RETURN, reason);
            return self.refuse(key, refusal);
        }
        match call.ask.generation.is_some() {
            true => self.decide_generation(key, now),
            false => self.decide_plain(key, now),
        }
    }

    fn refuse(&mut self, key: u64, refusal: Refusal) -> Verdict {
        if let Some(call) = self.calls.get_mut(&key) {
            call.since = None;
        }
        Verdict::Refuse(self.truthful(key, refusal))
    }

    fn decide_plain(&mut self, key: u64, now: Instant) -> Verdict {
        let call = &self.calls[&key];
        let view = ChoiceView { zone: &self.settings.zone, avoided: &call.avoided, now };
        match choose_plain(self.servers.values(), &call.ask.service, &view) {
            Some((server, expected)) => self.assign(key, &server, expected, now),
            None => self.wait(key, WaitReason::NoServer, now),
        }
    }

    fn decide_generation(&mut self, key: u64, now: Instant) -> Verdict {
        let call = &self.calls[&key];
        let Some(generation) = &call.ask.generation else {
            return self.decide_plain(key, now);
        };
        let view = ChoiceView { zone: &self.settings.zone, avoided: &call.avoided, now };
        let offer = choose_engine(self.servers.values(), &call.ask.service, generation, &view);
        let choice = match offer {
            EngineOffer::Missing => return self.wait(key, WaitReason::ModelMissing, now),
            EngineOffer::Reading => return self.wait(key, WaitReason::EnginesReading, now),
            EngineOffer::Chosen(choice) => choice,
        };
        self.assign(key, &choice.server, choice.expected, now)
    }

    fn wait(&mut self, key: u64, reason: WaitReason, now: Instant) -> Verdict {
        if self.is_stopping {
            let reason = "the process is stopping";
            let refusal = Refusal::until(ResultCode::ProcessStopping, Duration::ZERO, reason);
            return self.refuse(key, refusal);
        }
        let call = self.calls.get_mut(&key).expect("the caller found it");
        call.missing = reason == WaitReason::ModelMissing;
        let since = *call.since.get_or_insert(now);
        let target = call.ask.generation.as_ref().map(|generation| &generation.target);
        let outlook = target.and_then(|target| {
            let loads = self.servers.values().filter(|view| view.service == call.ask.service);
            waiting::outlook(loads, &target.model, self.outlooks.get(&target.model), now)
        });
        match waiting::judge(&call.ask, reason, since, outlook, now) {
            Ok(expected) => Verdict::Wait(reason, expected),
            Err(refusal) => self.refuse(key, refusal),
        }
    }

    fn assign(
        &mut self,
        key: u64,
        server: &InstanceId,
        expected: Duration,
        now: Instant,
    ) -> Verdict {
        let call = self.calls.get_mut(&key).expect("the caller found it");
        let view = self.servers.get_mut(server).expect("it was chosen among them");
        call.since = None;
        call.missing = false;
        call.at = Some(server.clone());
        let generation = call.ask.generation.as_ref();
        let assignment = Assignment {
            server: server.clone(),
            address: view.address,
            attempt: call.sent + 1,
            load: view.load(),
            load_age: view.load_age(now),
            expected,
            needs_permit: generation.is_some() && view.has_side(),
            let_in_by: call.last_wait().min(now + ENGINE_PATIENCE),
        };
        let target = generation.map(|generation| generation.target.clone());
        let prompt = generation.map_or(TokenCount(0), |generation| generation.prompt);
        view.assign(key, target, prompt);
        Verdict::Send(assignment)
    }
}

struct BudgetPart<'a> {
    budget: &'a mut RepeatBudget,
    entries: usize,
}

impl BudgetPart<'_> {
    fn take_for(&mut self, now: Instant) -> bool {
        self.budget.take(self.entries, now)
    }
}

/// The refusal of a request whose last attempt failed.
fn final_failure(failure: AttemptFailure, reason: &'static str) -> Refusal {
    match failure {
        AttemptFailure::Unreachable | AttemptFailure::Full => {
            Refusal::until(ResultCode::NoReplica, waiting::SHORT_RETURN, reason)
        }
        // Its model has to be loaded first.
        AttemptFailure::Misdirected => {
            Refusal::until(ResultCode::NoReplica, waiting::UNKNOWN_RETURN, reason)
        }
        AttemptFailure::Failed => Refusal::new(ResultCode::BackendFailed, reason),
        AttemptFailure::Lost => Refusal::new(ResultCode::BackendLost, reason),
    }
}
