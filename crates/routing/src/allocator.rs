//! Grants of credits at the owner of a model or service: admission, then choice of a replica.
//!
//! Every request ends in exactly one grant or refusal, or is withdrawn by its entry. A credit ends
//! when it is returned, when its entry is lost, when its replica is removed or has a new
//! incarnation, or some time after the deadline of its request.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use admission::{
    AdmissionAction, AdmissionEvent, AdmissionPolicy, AdmissionQueue, AdmissionRequest,
    QueueCounts, RequestSize, SlotTotal,
};
use base::{ids::AttemptId, prelude::*};
use lists::{RequestPriority, WorkClass};

use crate::{
    budget::AttemptBudget,
    chooser::{ReplicaChoice, ReplicaChooser, ReplicaRequest},
    replica::{CreditEnd, ReplicaInfo},
};

/// Time after the deadline of a request at which its credit is reclaimed.
const RECLAIM_MARGIN: Duration = Duration::from_secs(2);
/// Hedges per hundred primary attempts.
const HEDGE_PERCENT: f64 = 4.0;
/// Largest number of unused hedges that the budget accumulates.
const HEDGE_BURST: u32 = 10;

/// Process of an entry; a restart on the same VM gives a new incarnation.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EntryIncarnation {
    /// VM of the entry.
    pub vm: VmId,
    /// Incarnation of its process.
    pub incarnation: ProcessIncarnation,
}

/// Role of an attempt among the attempts of its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptKind {
    /// First attempt or retry: no other attempt of the request is under way.
    Primary,
    /// Additional attempt, made because the one under way takes long.
    Hedge,
}

/// Request of an entry for a credit on a replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GrantRequest {
    /// Attempt that the credit is for; a request with a known identifier is a duplicate.
    pub id: AttemptId,
    /// Entry that holds the request.
    pub entry: EntryIncarnation,
    /// Availability zone of the entry, preferred in the choice of replica.
    pub zone: ZoneName,
    /// Customer who sent the request.
    pub customer: CustomerId,
    /// Weight of the customer among others of the same priority.
    pub share: ShareWeight,
    /// Priority from the customer's plan; lower numbers go first.
    pub priority: RequestPriority,
    /// Work class as predicted by the entry.
    pub class: WorkClass,
    /// Predicted size, which is charged to the customer's share.
    pub size: RequestSize,
    /// Largest number of waiting requests of the customer in one class.
    pub queue_limit: u32,
    /// Time at which the request expires if it still waits.
    pub deadline: Instant,
    /// Whether it is a primary attempt or a hedge.
    pub kind: AttemptKind,
    /// Whether the request may be executed more than once, as retries and hedges may do.
    pub may_retry: bool,
    /// VMs that earlier attempts of the request were granted on.
    pub tried: Vec<VmId>,
}

/// Input of a [`GrantAllocator`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum GrantEvent {
    /// An entry requests a credit; a duplicate request gets the same grant again.
    Request(GrantRequest),
    /// An entry returns a credit.
    CreditReturned {
        /// Attempt that the credit was for.
        id: AttemptId,
        /// How the attempt ended.
        end: CreditEnd,
    },
    /// An entry withdraws a request, granted or not.
    Withdraw(AttemptId),
    /// An entry failed, and its callers were disconnected: its waiting requests are dropped and its
    /// credits are reclaimed.
    EntryLost(EntryIncarnation),
    /// A replica is ready, or its data have changed.
    ReplicaReady(ReplicaInfo),
    /// A replica was removed, or no longer holds the model.
    ReplicaRemoved(VmId),
    /// A replica is draining: it gets no new work.
    ReplicaDraining(VmId),
    /// Delayed report of the requests that ran at a backend server, whoever granted them.
    LoadReport {
        /// VM of the backend server.
        vm: VmId,
        /// Requests that ran there when the report was made.
        running: u32,
    },
    /// Sets the part of the slots that long work may hold, in percent.
    LimitLong(u32),
    /// Sets when the first replica is expected to be ready; `None` if that is unknown.
    ExpectReady(Option<Instant>),
    /// Expires and reclaims what is due; see [`GrantAllocator::next_tick`].
    Tick,
}

/// Decision of a [`GrantAllocator`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum GrantAction {
    /// The attempt may run on this replica.
    Grant {
        /// Attempt that the credit is for.
        id: AttemptId,
        /// Replica that the credit is good for.
        choice: ReplicaChoice,
        /// Time after the grant at which a hedge may be requested; `None` for a hedge, for a
        /// request that may not be retried, and while no service time is known.
        hedge_after: Option<Duration>,
    },
    /// The attempt is refused; it was not handed to a backend server.
    Refuse {
        /// Attempt that the credit was requested for.
        id: AttemptId,
        /// Code for the caller; always one that says the request was not run.
        code: ResultCode,
    },
}

/// Checks of a [`GrantAllocator`]; tests turn single ones off to show what each prevents.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GrantChecks {
    /// Credits of a lost entry are reclaimed.
    pub reclaim_lost_entries: bool,
    /// Credits are reclaimed some time after the deadline of their request.
    pub reclaim_at_deadline: bool,
    /// Hedges are limited to a percentage of the primary attempts.
    pub limit_hedges: bool,
}

impl Default for GrantChecks {
    fn default() -> Self {
        Self { reclaim_lost_entries: true, reclaim_at_deadline: true, limit_hedges: true }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ReclaimKey {
    due: Instant,
    id: AttemptId,
}

/// Waiting requests, replicas and open credits of one model or service.
#[derive(Debug)]
pub struct GrantAllocator {
    checks: GrantChecks,
    queue: AdmissionQueue,
    chooser: ReplicaChooser,
    hedge_budget: AttemptBudget,
    requests: HashMap<AttemptId, GrantRequest>,
    ids_by_entry: BTreeMap<EntryIncarnation, BTreeSet<AttemptId>>,
    reclaims: BTreeSet<ReclaimKey>,
    slot_total: u32,
}

impl GrantAllocator {
    /// Creates an allocator without replicas; `seed` determines its random choices.
    pub fn new(policy: AdmissionPolicy, seed: u64) -> Self {
        Self::with_checks(policy, seed, GrantChecks::default())
    }

    /// Creates an allocator with the given checks; other than the default only in tests.
    pub fn with_checks(policy: AdmissionPolicy, seed: u64, checks: GrantChecks) -> Self {
        Self {
            checks,
            queue: AdmissionQueue::new(policy),
            chooser: ReplicaChooser::new(seed),
            hedge_budget: AttemptBudget::new(HEDGE_PERCENT, HEDGE_BURST),
            requests: HashMap::new(),
            ids_by_entry: BTreeMap::new(),
            reclaims: BTreeSet::new(),
            slot_total: 0,
        }
    }

    /// Applies one event and returns the decisions that follow from it.
    pub fn handle(&mut self, event: GrantEvent, now: Instant) -> Vec<GrantAction> {
        let mut actions = Vec::new();
        self.chooser.update_probation(now);
        self.update_slot_total(now, &mut actions);
        self.run_admission(AdmissionEvent::Expire, now, &mut actions);
        self.reclaim_expired(now, &mut actions);
        match event {
            GrantEvent::Request(request) => self.add_request(request, now, &mut actions),
            GrantEvent::CreditReturned { id, end } => {
                self.close_request(id, end, now, &mut actions)
            }
            GrantEvent::Withdraw(id) => {
                self.close_request(id, CreditEnd::Unused, now, &mut actions)
            }
            GrantEvent::EntryLost(entry) => self.close_entry(&entry, now, &mut actions),
            GrantEvent::ReplicaReady(info) => {
                let lost = self.chooser.upsert(info, now);
                self.release_lost(&lost, now, &mut actions);
            }
            GrantEvent::ReplicaRemoved(vm) => {
                let lost = self.chooser.remove(&vm);
                self.release_lost(&lost, now, &mut actions);
            }
            GrantEvent::ReplicaDraining(vm) => self.chooser.drain(&vm),
            GrantEvent::LoadReport { vm, running } => self.chooser.record_load(&vm, running, now),
            GrantEvent::ExpectReady(ready) => {
                self.run_admission(AdmissionEvent::ExpectReady(ready), now, &mut actions);
            }
            GrantEvent::LimitLong(percent) => {
                self.run_admission(AdmissionEvent::LimitLong(percent), now, &mut actions);
            }
            GrantEvent::Tick => {}
        }
        self.update_slot_total(now, &mut actions);
        actions
    }

    /// Time at which [`GrantEvent::Tick`] is due next; `None` if nothing will expire.
    pub fn next_tick(&self) -> Option<Instant> {
        let reclaim = self.reclaims.first().map(|key| key.due);
        self.queue.next_expiry().into_iter().chain(reclaim).min()
    }

    /// Numbers of waiting and running requests per class.
    pub fn counts(&self) -> QueueCounts {
        self.queue.counts()
    }

    /// Replicas and their open credits.
    pub fn replicas(&self) -> &ReplicaChooser {
        &self.chooser
    }

    fn add_request(&mut self, request: GrantRequest, now: Instant, actions: &mut Vec<GrantAction>) {
        let id = request.id;
        if self.requests.contains_key(&id) {
            if let Some(choice) = self.chooser.granted_replica(id) {
                actions.push(self.grant_action(id, choice));
            }
            return;
        }
        if request.kind == AttemptKind::Hedge && !self.may_hedge(&request) {
            actions.push(GrantAction::Refuse { id, code: ResultCode::NoReplica });
            return;
        }
        if request.kind == AttemptKind::Primary {
            self.hedge_budget.deposit();
        }
        let admission = AdmissionRequest {
            id,
            customer: request.customer.clone(),
            share: request.share,
            priority: request.priority,
            class: request.class,
            size: request.size,
            queue_limit: request.queue_limit,
            deadline: request.deadline,
        };
        self.ids_by_entry.entry(request.entry.clone()).or_default().insert(id);
        if self.checks.reclaim_at_deadline {
            self.reclaims.insert(ReclaimKey { due: request.deadline + RECLAIM_MARGIN, id });
        }
        self.requests.insert(id, request);
        self.run_admission(AdmissionEvent::Offer(admission), now, actions);
    }

    /// Whether a hedge is allowed; if so, it is charged to the hedge budget.
    ///
    /// A hedge needs a request that may be retried and a free slot that no request waits for.
    fn may_hedge(&mut self, request: &GrantRequest) -> bool {
        let counts = self.queue.counts();
        let nobody_waits = counts.short_waiting + counts.long_waiting == 0;
        let running = counts.short_running + counts.long_running;
        let has_slot = running < self.slot_total;
        let is_eligible = request.may_retry && nobody_waits && has_slot;
        is_eligible && (!self.checks.limit_hedges || self.hedge_budget.withdraw())
    }

    fn close_request(
        &mut self,
        id: AttemptId,
        end: CreditEnd,
        now: Instant,
        actions: &mut Vec<GrantAction>,
    ) {
        if self.remove_request(id).is_none() {
            return;
        }
        let was_granted = self.chooser.granted_replica(id).is_some();
        self.chooser.close_credit(id, end, now);
        self.update_slot_total(now, actions);
        let event = match (was_granted, end) {
            (true, CreditEnd::Served(_)) => AdmissionEvent::Finish(id),
            (true, _) => AdmissionEvent::Release(id),
            (false, _) => AdmissionEvent::Cancel(id),
        };
        self.run_admission(event, now, actions);
    }

    fn close_entry(
        &mut self,
        entry: &EntryIncarnation,
        now: Instant,
        actions: &mut Vec<GrantAction>,
    ) {
        if !self.checks.reclaim_lost_entries {
            return;
        }
        for id in self.ids_by_entry.remove(entry).unwrap_or_default() {
            self.close_request(id, CreditEnd::Unused, now, actions);
        }
    }

    fn reclaim_expired(&mut self, now: Instant, actions: &mut Vec<GrantAction>) {
        while let Some(key) = self.reclaims.first().copied().filter(|key| key.due <= now) {
            self.close_request(key.id, CreditEnd::Unused, now, actions);
        }
    }

    /// Frees the slots of credits that ended with their replica. Their entries are not notified
    /// here; they detect the loss by their connection to the side process.
    fn release_lost(&mut self, lost: &[AttemptId], now: Instant, actions: &mut Vec<GrantAction>) {
        self.update_slot_total(now, actions);
        for id in lost {
            self.remove_request(*id);
            self.run_admission(AdmissionEvent::Release(*id), now, actions);
        }
    }

    fn remove_request(&mut self, id: AttemptId) -> Option<GrantRequest> {
        let request = self.requests.remove(&id)?;
        self.reclaims.remove(&ReclaimKey { due: request.deadline + RECLAIM_MARGIN, id });
        if let Some(ids) = self.ids_by_entry.get_mut(&request.entry) {
            ids.remove(&id);
            if ids.is_empty() {
                self.ids_by_entry.remove(&request.entry);
            }
        }
        Some(request)
    }

    fn update_slot_total(&mut self, now: Instant, actions: &mut Vec<GrantAction>) {
        let total = self.chooser.slot_total();
        if total != self.slot_total {
            self.slot_total = total;
            self.run_admission(AdmissionEvent::Resize(SlotTotal(total)), now, actions);
        }
    }

    /// Passes one event to the admission queue and applies the decisions that follow.
    fn run_admission(
        &mut self,
        event: AdmissionEvent,
        now: Instant,
        actions: &mut Vec<GrantAction>,
    ) {
        let mut decisions = VecDeque::from(self.queue.handle(event, now));
        while let Some(action) = decisions.pop_front() {
            match action {
                AdmissionAction::Refuse { id, code } => {
                    self.remove_request(id);
                    actions.push(GrantAction::Refuse { id, code });
                }
                AdmissionAction::Grant { id, class } => {
                    if let Some(choice) = self.choose_replica(id, class, now) {
                        actions.push(self.grant_action(id, choice));
                        continue;
                    }
                    self.remove_request(id);
                    let code = ResultCode::NoReplica;
                    actions.push(GrantAction::Refuse { id, code });
                    decisions.extend(self.queue.handle(AdmissionEvent::Release(id), now));
                }
            }
        }
    }

    fn choose_replica(
        &mut self,
        id: AttemptId,
        class: WorkClass,
        now: Instant,
    ) -> Option<ReplicaChoice> {
        let granted = self.requests.get(&id)?;
        self.chooser.set_long_limit(self.queue.long_limit());
        let request = ReplicaRequest {
            id,
            class,
            zone: granted.zone.clone(),
            tried: granted.tried.clone(),
            exclude_tried: granted.kind == AttemptKind::Hedge,
            may_retry: granted.may_retry,
        };
        self.chooser.choose(&request, now)
    }

    fn grant_action(&self, id: AttemptId, choice: ReplicaChoice) -> GrantAction {
        let request = &self.requests[&id];
        let may_hedge = request.may_retry && request.kind == AttemptKind::Primary;
        let hedge_after = self.chooser.hedge_after(request.class).filter(|_| may_hedge);
        GrantAction::Grant { id, choice, hedge_after }
    }
}
