//! Tokens of workspaces for requests: a request takes them before it is dispatched, and returns
//! them if it did not run.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
};

use base::{locks, prelude::*};
use catalog::{CatalogVersion, Workspace, WorkspaceName};
use dispatch::Refusal;
use events::{DecisionEvent, millis};
use limits::quotas::{
    HeldTokens, QuotaAllowances, QuotaLedger, QuotaOutcome, QuotaRouting, QuotaTolerance,
    ShortReason, WaitTicket,
};
use platform::header_format;
use tokio::sync::{Notify, oneshot};

use crate::{
    attempt::ForwardRequest, authentication::CallerIdentity, fleet::Fleet, trace::CallTrace,
};

/// Part of a route's goal for which a request waits for tokens.
const PATIENCE_SHARE: u32 = 8;
/// `Retry-After` if no entry that keeps the account answers; it is then replaced within two seconds.
const UNANSWERED_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Least `Retry-After` of a request over the quota.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Callers of refused requests return within this multiple of the time at which there is room.
const RETRY_SPREAD: f64 = 1.5;
/// Time before the deadline of a request by which its wait for tokens ends.
const DEADLINE_MARGIN: Duration = Duration::from_millis(20);

/// Accounts, held tokens and queries of this entry.
pub(crate) struct QuotaState {
    pub ledger: QuotaLedger,
    pub allowances: QuotaAllowances,
    pub waiters: HashMap<WaitTicket, oneshot::Sender<QuotaOutcome>>,
    /// First and second in rank for a workspace, none for this entry; until the live entries change.
    pub ranks: HashMap<WorkspaceName, Vec<Option<SocketAddr>>>,
    pub routing: QuotaRouting<SocketAddr>,
    /// Version of the configuration whose quotas are in force here.
    pub version: Option<CatalogVersion>,
    /// When the levels were last shown in the metrics.
    pub levels_shown: Option<Instant>,
}

/// The quotas as this entry knows them; clones share them.
#[derive(Clone)]
pub(crate) struct SharedQuotas {
    state: Arc<Mutex<QuotaState>>,
    /// Notified when a request begins to wait.
    pub has_waiting: Arc<Notify>,
}

impl SharedQuotas {
    pub fn new(tolerance: QuotaTolerance) -> Self {
        let state = QuotaState {
            ledger: QuotaLedger::new(tolerance, rand::random(), Instant::now()),
            allowances: QuotaAllowances::default(),
            waiters: HashMap::new(),
            ranks: HashMap::new(),
            routing: QuotaRouting::default(),
            version: None,
            levels_shown: None,
        };
        Self { state: Arc::new(Mutex::new(state)), has_waiting: Arc::default() }
    }

    pub fn lock(&self) -> MutexGuard<'_, QuotaState> {
        locks::lock(&self.state)
    }
}

/// Tokens that a request has taken. They go back when this is dropped, unless the request was sent.
pub struct QuotaCharge {
    fleet: Fleet,
    workspace: WorkspaceName,
    held: HeldTokens,
    may_have_run: bool,
}

impl QuotaCharge {
    /// Records that the request is sent to a backend server.
    pub fn record_sent(&mut self) {
        self.may_have_run = true;
    }

    /// Records that no backend server has run the request so far.
    pub fn record_not_run(&mut self) {
        self.may_have_run = false;
    }
}

impl Drop for QuotaCharge {
    fn drop(&mut self) {
        if !self.may_have_run {
            self.fleet.return_tokens(&self.workspace, self.held);
        }
    }
}

/// A request that waits for tokens. If its caller leaves, the tokens that it got meanwhile go back.
struct TokenWait<'a> {
    fleet: &'a Fleet,
    workspace: &'a WorkspaceName,
    ticket: WaitTicket,
    receiver: oneshot::Receiver<QuotaOutcome>,
}

impl Drop for TokenWait<'_> {
    fn drop(&mut self) {
        let mut state = self.fleet.quotas().lock();
        state.allowances.cancel(self.workspace, self.ticket);
        state.waiters.remove(&self.ticket);
        if let Ok(QuotaOutcome::Granted(held)) = self.receiver.try_recv() {
            state.allowances.give_back(self.workspace, held, Instant::now());
        }
    }
}

impl Fleet {
    fn return_tokens(&self, workspace: &WorkspaceName, held: HeldTokens) {
        self.quotas().lock().allowances.give_back(workspace, held, Instant::now());
    }

    /// Takes the tokens of a request of `workspace` whose route has the latency goal `goal`; none if
    /// the workspace has no quota. Waits for the entry that keeps the account, and a little for
    /// tokens.
    ///
    /// # Errors
    ///
    /// Returns the refusal of a request over the quota, or if no entry that keeps the account
    /// answers.
    pub async fn take_tokens(
        &self,
        workspace: &Workspace,
        stated: Option<u64>,
        goal: Duration,
        deadline: Instant,
        trace: &CallTrace,
    ) -> Result<Option<QuotaCharge>, Refusal> {
        let Some(quota) = &workspace.quota else { return Ok(None) };
        let cost = stated.unwrap_or(quota.plain_cost.0) as f64;
        if cost <= 0.0 {
            return Ok(None);
        }
        let name = &workspace.name;
        let began = Instant::now();
        let (outcome, receiver) = {
            let mut state = self.quotas().lock();
            if cost > state.ledger.tolerance().capacity(quota.into()) {
                self.quota_metrics().refused.with_label_values(&[name.as_str(), "too-large"]).inc();
                let reason = "the request needs more tokens than its workspace may ever have";
                return Err(Refusal::new(ResultCode::QuotaExceeded, reason));
            }
            let (patience, give_up) = (goal / PATIENCE_SHARE, deadline - DEADLINE_MARGIN);
            let outcome = state.allowances.request(name, cost, patience, give_up, began);
            let (sender, receiver) = oneshot::channel();
            if let QuotaOutcome::Waits(ticket) = outcome {
                state.waiters.insert(ticket, sender);
            }
            (outcome, receiver)
        };
        let outcome = match outcome {
            QuotaOutcome::Waits(ticket) => {
                let wait = TokenWait { fleet: self, workspace: name, ticket, receiver };
                let outcome = self.wait_for_tokens(wait).await;
                self.quota_metrics().wait.observe(began.elapsed().as_secs_f64());
                outcome
            }
            outcome => outcome,
        };
        let (reason, room_after) = match outcome {
            QuotaOutcome::Granted(held) => {
                let (fleet, workspace) = (self.clone(), name.clone());
                return Ok(Some(QuotaCharge { fleet, workspace, held, may_have_run: false }));
            }
            QuotaOutcome::Short(reason, room_after) => (reason, room_after),
            QuotaOutcome::Waits(_) => (ShortReason::Unanswered, Duration::ZERO),
        };
        trace.record(&DecisionEvent::QuotaShort {
            call: trace.call(),
            workspace: name.as_str(),
            tokens: cost as u64,
            cause: reason.text(),
            room_ms: millis(room_after),
            waited_ms: millis(began.elapsed()),
        });
        self.quota_metrics().refused.with_label_values(&[name.as_str(), reason.text()]).inc();
        Err(refusal(reason, room_after))
    }

    /// Takes the tokens of `request`, which has not run, again if the quota of its workspace has
    /// changed while it waited.
    ///
    /// # Errors
    ///
    /// As those of [`Self::take_tokens`].
    pub async fn renew_tokens(
        &self,
        request: &mut ForwardRequest,
        charge: &mut Option<QuotaCharge>,
        trace: &CallTrace,
    ) -> Result<(), Refusal> {
        if request.may_have_run {
            return Ok(());
        }
        let Some(workspace) = request.caller.new_quota(request.uri.path()) else { return Ok(()) };
        *charge = None;
        let cost = header_format::read_token_cost(&request.headers);
        let goal = request.caller.route.goal;
        *charge = self.take_tokens(&workspace, cost, goal, request.deadline, trace).await?;
        request.caller.identity = CallerIdentity::Workspace(workspace);
        Ok(())
    }

    async fn wait_for_tokens(&self, mut wait: TokenWait<'_>) -> QuotaOutcome {
        self.send_quota_queries();
        self.quotas().has_waiting.notify_one();
        match (&mut wait.receiver).await {
            Ok(outcome) => outcome,
            Err(_) => QuotaOutcome::Short(ShortReason::Unanswered, Duration::ZERO),
        }
    }
}

/// Returns the tokens of a refused request, unless it may have run.
pub(crate) fn finish_refused(charge: Option<QuotaCharge>, refusal: &Refusal) {
    if let Some(mut charge) = charge
        && refusal.code.run_state() == RunState::NotRun
    {
        charge.may_have_run = false;
    }
}

fn refusal(reason: ShortReason, room_after: Duration) -> Refusal {
    let spread = |wait: Duration| wait.mul_f64(rand::random_range(1.0..RETRY_SPREAD));
    match reason {
        ShortReason::Exceeded => Refusal::with_retry_after(
            ResultCode::QuotaExceeded,
            spread(room_after.max(MIN_RETRY_AFTER)),
            "the workspace has used up its quota",
        ),
        ShortReason::Unanswered => Refusal::with_retry_after(
            ResultCode::QuotaUnknown,
            spread(UNANSWERED_RETRY_AFTER),
            "the entry that keeps the quota of the workspace does not answer",
        ),
    }
}
