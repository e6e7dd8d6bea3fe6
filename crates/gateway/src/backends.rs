//! The dispatcher, the requests that wait for its decisions, and the connections to backend
//! servers.

use std::{
    collections::HashMap,
    fmt,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
};

use base::{locks, prelude::*};
use connections::{ConnectSettings, ConnectionPool, PoolSettings};
use dispatch::{
    Assignment, AttemptFailure, CallDispatcher, DispatchAction, DispatchDecision, DispatchRequest,
    Generation, Refusal, StopStage,
};
use events::{DecisionEvent, EventLog, millis};
use limits::{LimitQuery, LimitSighting};
use peers::PermitReply;
use roster::{IncarnationStart, InstanceId};
use suspects::{CrashSighting, RequestBlock};
use tokio::{
    sync::{Notify, mpsc, oneshot, watch},
    time,
};

use crate::{
    crash_probe,
    memory::ProcessMemory,
    metrics::GatewayMetrics,
    permits::{Permit, PermitClient, PermitOutcome},
    trace::CallTrace,
};

/// Longest wait for a connection to a backend server in the same region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time after which the kernel closes a connection whose peer acknowledges no data.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest idle time of a connection, unless the backend server states a shorter one.
const MAX_IDLE: Duration = Duration::from_secs(10);
/// Connections to one backend server that an entry may always open, however many entries share it.
const MIN_CONNECTIONS: usize = 8;
/// Fraction of a backend server's connections that all entries together use.
const CONNECTION_SHARE: f64 = 0.8;

/// Time between two reviews of the requests that wait; updates cause further reviews.
const REVIEW_INTERVAL: Duration = Duration::from_millis(40);

/// What other entries have to know.
#[derive(Debug)]
pub enum PeerReport {
    /// Requests of this entry that were in flight when a backend server crashed.
    Crash(Vec<CrashSighting>),
    /// Blocks that have fewer suspect keys, because requests with the others were answered here.
    Narrowed(Vec<RequestBlock>),
    /// A query for, or a report of, the limit of a backend server.
    Limit(LimitQuery),
}

/// Why a wait for a backend server ends without a result; displayed as the end of a reason.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitEnd {
    /// The deadline of the request has passed.
    DeadlinePassed,
    /// The process is about to end.
    ProcessEnds,
}

impl fmt::Display for WaitEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            WaitEnd::DeadlinePassed => "in time",
            WaitEnd::ProcessEnds => "before the process ends",
        })
    }
}

struct BackendState {
    dispatcher: CallDispatcher,
    waiters: HashMap<u64, oneshot::Sender<DispatchDecision>>,
    pools: HashMap<SocketAddr, ConnectionPool>,
    entries: usize,
}

/// Access of this entry's requests to the dispatcher and the backend servers; clones share state.
#[derive(Clone)]
pub struct Backends {
    state: Arc<Mutex<BackendState>>,
    permits: PermitClient,
    log: EventLog,
    metrics: GatewayMetrics,
    reports: mpsc::Sender<PeerReport>,
    memory: ProcessMemory,
    has_waiting: Arc<Notify>,
    aborting: Arc<watch::Sender<bool>>,
}

impl Backends {
    /// Backend servers that `dispatcher` assigns requests to. What other entries have to know of
    /// requests that crash them is sent to `reports`.
    pub fn new(
        dispatcher: CallDispatcher,
        permits: PermitClient,
        log: EventLog,
        metrics: GatewayMetrics,
        reports: mpsc::Sender<PeerReport>,
        memory: ProcessMemory,
    ) -> Self {
        let state =
            BackendState { dispatcher, waiters: HashMap::new(), pools: HashMap::new(), entries: 1 };
        Self {
            state: Arc::new(Mutex::new(state)),
            permits,
            log,
            metrics,
            reports,
            memory,
            has_waiting: Arc::default(),
            aborting: Arc::new(watch::Sender::new(false)),
        }
    }

    fn lock(&self) -> MutexGuard<'_, BackendState> {
        locks::lock(&self.state)
    }

    /// Runs `update` with the locked dispatcher and then delivers the decisions that follow from
    /// it.
    pub fn with_dispatcher<T>(&self, update: impl FnOnce(&mut CallDispatcher, Instant) -> T) -> T {
        let mut state = self.lock();
        let outcome = update(&mut state.dispatcher, Instant::now());
        let actions = state.dispatcher.take_actions();
        for action in actions {
            self.apply_action(&mut state, action);
        }
        outcome
    }

    fn apply_action(&self, state: &mut BackendState, action: DispatchAction) {
        match action {
            DispatchAction::Decide(key, decision) => {
                if let Some(waiter) = state.waiters.remove(&key) {
                    // The caller may have left in the meantime; dropping its ticket finishes the
                    // call.
                    let _ = waiter.send(decision);
                }
            }
            DispatchAction::QueryLimit(query) => self.report(PeerReport::Limit(query)),
            DispatchAction::ShareBlocks(blocks) => self.report(PeerReport::Narrowed(blocks)),
            DispatchAction::Probe { server, address } => {
                let (log, metrics) = (self.log.clone(), self.metrics.clone());
                tokio::spawn(crash_probe::run(self.clone(), log, metrics, server, address));
            }
        }
    }

    /// Records that an incarnation of a backend server says in an answer that it leaves. The planner of this entry
    /// learns of it with the next state of its engine.
    pub fn record_leaving(&self, server: &InstanceId, started: Option<IncarnationStart>) {
        let is_new = self.with_dispatcher(|dispatcher, now| {
            let is_new = dispatcher.record_leaving(server, started, now);
            dispatcher.review_waiting(now);
            is_new
        });
        if is_new {
            self.metrics.leaving_servers.inc();
            self.log.record(&DecisionEvent::ServerChanged {
                server,
                standing: "leaving",
                source: "answer",
                revision: 0,
            });
        }
    }

    /// Records that an incarnation of a backend server wants no requests of this entry for `pause`,
    /// and when the pause is over.
    pub fn record_pause(
        &self,
        server: &InstanceId,
        started: Option<IncarnationStart>,
        pause: Duration,
    ) {
        let end = self.with_dispatcher(|dispatcher, now| {
            dispatcher.record_pause(server, started, pause, now)
        });
        let Some(end) = end else { return };
        self.metrics.server_pauses.inc();
        self.log.record(&DecisionEvent::ServerPaused { server, pause_ms: millis(pause) });
        tokio::spawn(self.clone().record_pause_end(server.clone(), end));
    }

    async fn record_pause_end(self, server: InstanceId, end: Instant) {
        time::sleep_until(end).await;
        let is_over = self.with_dispatcher(|dispatcher, now| {
            dispatcher.review_waiting(now);
            dispatcher.server(&server).is_some_and(|view| view.paused_until(now).is_none())
        });
        if is_over {
            self.log.record(&DecisionEvent::ServerChanged {
                server: &server,
                standing: "resumed",
                source: "answer",
                revision: 0,
            });
        }
    }

    /// Records the limit that an incarnation of a backend server names in an answer, or that it
    /// names none; `sent` is when the request was sent.
    pub fn record_limit(
        &self,
        server: &InstanceId,
        started: Option<IncarnationStart>,
        limit: Option<EventRate>,
        sent: Instant,
    ) {
        let seen = Instant::now();
        let answer = LimitSighting { server: server.clone(), started, limit, seen };
        let is_changed =
            self.with_dispatcher(|dispatcher, _| dispatcher.record_limit(answer.clone(), sent));
        if is_changed {
            self.log_limit(&answer, "answer");
        }
    }

    /// Takes what other entries know of the limits of backend servers, by `update`, which returns
    /// whether the limit is another one than before.
    pub fn apply_limit(
        &self,
        sighting: &LimitSighting,
        update: impl FnOnce(&mut CallDispatcher, Instant) -> bool,
    ) {
        let is_changed = self.with_dispatcher(|dispatcher, now| {
            let is_changed = update(dispatcher, now);
            dispatcher.review_waiting(now);
            is_changed
        });
        if is_changed {
            self.log_limit(sighting, "peer");
        }
    }

    fn log_limit(&self, sighting: &LimitSighting, source: &'static str) {
        let limited = self.with_dispatcher(|dispatcher, _| dispatcher.limits().count());
        self.metrics.limited_servers.set(i64::try_from(limited).unwrap_or(i64::MAX));
        self.log.record(&DecisionEvent::ServerLimited {
            server: &sighting.server,
            limit: sighting.limit.map(|EventRate(limit)| limit),
            source,
            age_ms: millis(sighting.seen.elapsed()),
        });
    }

    /// Passes on what other entries have to know.
    pub fn report(&self, report: PeerReport) {
        if let Err(error) = self.reports.try_send(report) {
            log::warn!("backends: dropping a report for the other entries: {error}");
        }
    }

    /// Memory for the bodies of requests and answers.
    pub fn memory(&self) -> &ProcessMemory {
        &self.memory
    }

    /// Passes the reply of a side process to the request that waits for a permit.
    pub fn apply_permit_reply(&self, reply: PermitReply) {
        self.permits.apply_reply(reply);
    }

    /// Refuses all requests that wait, now and later, because the process is about to end.
    pub fn refuse_waiting(&self) {
        self.with_dispatcher(|dispatcher, now| {
            dispatcher.enter_stop_stage(StopStage::NoWaits, now)
        });
    }

    /// Aborts all requests, at backend servers and on their way there, because the process ends.
    /// Nothing more is sent.
    pub fn abort_calls(&self) {
        self.with_dispatcher(|dispatcher, now| {
            dispatcher.enter_stop_stage(StopStage::NoSends, now)
        });
        self.aborting.send_replace(true);
    }

    /// Whether the requests at backend servers were aborted.
    pub fn is_aborting(&self) -> bool {
        *self.aborting.borrow()
    }

    /// Waits until `abort_calls`.
    async fn wait_for_abort(&self) {
        let mut aborting = self.aborting.subscribe();
        // Waiting fails only without a sender, and this value holds it.
        let _ = aborting.wait_for(|aborting| *aborting).await;
    }

    /// Waits until `deadline`, or until `abort_calls`.
    pub async fn wait_for_deadline(&self, deadline: Instant) -> WaitEnd {
        tokio::select! {
            () = self.wait_for_abort() => WaitEnd::ProcessEnds,
            () = time::sleep_until(deadline) => WaitEnd::DeadlinePassed,
        }
    }

    /// Sets the number of live entries, this one included, that share the backend servers. Pools
    /// that exist already keep their size.
    pub fn set_entries(&self, entries: usize) {
        let mut state = self.lock();
        state.entries = entries.max(1);
        state.dispatcher.set_entries(entries);
    }

    /// The connection pool of the backend server at `address`, which accepts `limit` connections
    /// from all entries together. The size of the pool is set when it is created.
    pub fn pool(&self, address: SocketAddr, limit: usize) -> ConnectionPool {
        let mut state = self.lock();
        let share = (limit as f64 * CONNECTION_SHARE / state.entries as f64) as usize;
        let connect = ConnectSettings {
            connect_timeout: CONNECT_TIMEOUT,
            user_timeout: TCP_USER_TIMEOUT,
            read_buffer: ByteSize(64 * 1024),
        };
        let max_open = share.max(MIN_CONNECTIONS);
        let settings = PoolSettings { connect, max_open, max_idle: MAX_IDLE };
        state.pools.entry(address).or_insert_with(|| ConnectionPool::new(address, settings)).clone()
    }

    /// Drops the pools of backend servers that the dispatcher no longer lists.
    pub fn drop_unused_pools(&self) {
        let mut state = self.lock();
        let listed: Vec<SocketAddr> = state.dispatcher.servers().map(|view| view.address).collect();
        state.pools.retain(|address, _| listed.contains(address));
    }

    /// Reviews the requests that wait at regular intervals, until the process ends.
    pub async fn review_waiting(self) {
        loop {
            if self.lock().waiters.is_empty() {
                self.has_waiting.notified().await;
            }
            time::sleep(REVIEW_INTERVAL).await;
            self.with_dispatcher(|dispatcher, now| dispatcher.review_waiting(now));
        }
    }

    /// Submits a request to the dispatcher; returns its ticket and the first decision.
    pub fn submit(&self, request: DispatchRequest) -> (DispatchTicket, DispatchDecision) {
        let generation = request.generation.clone();
        let (due, deadline) = (request.arrived + request.goal, request.deadline);
        {
            let BackendState { dispatcher, pools, .. } = &mut *self.lock();
            let idle = |address| pools.get(&address).map_or(0, ConnectionPool::idle_connections);
            dispatcher.set_idle_connections(&request.service, idle);
        }
        let (key, decision) =
            self.with_dispatcher(|dispatcher, now| dispatcher.submit(request, now));
        let ticket = DispatchTicket {
            backends: self.clone(),
            key,
            generation,
            due,
            deadline,
            permit: None,
            is_active: true,
        };
        (ticket, decision)
    }
}

/// A request at the dispatcher; dropping the ticket finishes the request as unsuccessful.
pub struct DispatchTicket {
    backends: Backends,
    key: u64,
    generation: Option<Generation>,
    due: Instant,
    deadline: Instant,
    permit: Option<Permit>,
    is_active: bool,
}

impl DispatchTicket {
    /// Waits for the next decision about a request that waits.
    pub async fn next_decision(&mut self) -> DispatchDecision {
        let (sender, mut receiver) = oneshot::channel();
        self.backends.lock().waiters.insert(self.key, sender);
        self.backends.has_waiting.notify_one();
        // An update may have arrived before the waiter was registered.
        self.backends.with_dispatcher(|dispatcher, now| dispatcher.review_waiting(now));
        let decided = tokio::select! {
            biased;
            decided = &mut receiver => decided,
            () = time::sleep_until(self.deadline) => {
                self.backends.with_dispatcher(|dispatcher, now| dispatcher.review_waiting(now));
                receiver.await
            }
        };
        decided.unwrap_or_else(|_| {
            let reason = "the entry forgot the request";
            DispatchDecision::Refuse(Refusal::new(ResultCode::NoReplica, reason))
        })
    }

    /// Obtains a permit of the side process if `assignment` needs one.
    ///
    /// # Errors
    ///
    /// Returns the next decision if there is no permit, or if the request is blocked by now.
    pub async fn prepare_send(
        &mut self,
        assignment: &Assignment,
        trace: &CallTrace,
    ) -> Result<(), DispatchDecision> {
        if let Some(generation) = self.generation.as_ref().filter(|_| assignment.needs_permit) {
            let permits = self.backends.permits.clone();
            let requested_at = Instant::now();
            let aborted = self.backends.wait_for_abort();
            let (outcome, permit) =
                permits.request(self.key, assignment, generation, self.due, aborted).await;
            let is_model_missing = outcome == PermitOutcome::ModelMissing;
            if outcome != PermitOutcome::Admitted {
                trace.record_permit_denial(assignment, outcome, requested_at.elapsed());
            }
            match outcome {
                PermitOutcome::Admitted | PermitOutcome::SideUnreachable => {
                    self.permit = Some(permit)
                }
                PermitOutcome::ModelMissing | PermitOutcome::TimedOut | PermitOutcome::Aborted => {
                    drop(permit);
                    let next = self.backends.with_dispatcher(|dispatcher, now| {
                        dispatcher.handle_permit_refusal(self.key, is_model_missing, now)
                    });
                    return Err(next);
                }
            }
        }
        let refusal =
            self.backends.with_dispatcher(|dispatcher, now| dispatcher.confirm_send(self.key, now));
        match refusal {
            Some(decision) => {
                self.permit = None;
                Err(decision)
            }
            None => Ok(()),
        }
    }

    /// Records that the attempt failed; returns the next decision.
    pub fn record_failure(&mut self, failure: AttemptFailure) -> DispatchDecision {
        self.permit = None;
        self.backends
            .with_dispatcher(|dispatcher, now| dispatcher.record_failure(self.key, failure, now))
    }

    /// Records the first byte of the answer and releases the permit.
    pub fn record_first_byte(&mut self) {
        self.permit = None;
        self.backends
            .with_dispatcher(|dispatcher, now| dispatcher.record_first_byte(self.key, now));
    }

    /// Records that the answer has begun, which shows that the request does not crash the server.
    pub fn record_answer_begun(&mut self) {
        self.backends
            .with_dispatcher(|dispatcher, now| dispatcher.record_answer_begun(self.key, now));
    }

    /// Records that the request is answered or refused; further calls do nothing.
    pub fn finish(&mut self, is_success: bool) {
        self.permit = None;
        if std::mem::take(&mut self.is_active) {
            self.backends
                .with_dispatcher(|dispatcher, now| dispatcher.finish(self.key, is_success, now));
        }
    }

    /// Whether a backend server may have run the request.
    pub fn may_have_run(&self) -> bool {
        self.backends.lock().dispatcher.may_have_run(self.key)
    }

    /// Key of the request at the dispatcher.
    pub fn key(&self) -> u64 {
        self.key
    }

    /// The backend servers that the request is dispatched to.
    pub fn backends(&self) -> &Backends {
        &self.backends
    }
}

impl Drop for DispatchTicket {
    fn drop(&mut self) {
        self.finish(false);
        self.backends.lock().waiters.remove(&self.key);
    }
}
