//! The owner's side of ask and grant: admission and choice of replica joined.
//!
//! Every ask ends in exactly one grant or refusal, or is withdrawn by its entry. Every credit comes
//! back by its return, by the loss of its entry, by the end of its replica's incarnation, or when
//! its request's time is over.

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

/// Time after a request's deadline at which its credit is taken back.
const RECLAIM_MARGIN: Duration = Duration::from_secs(2);
/// Hedges per hundred first attempts.
const HEDGE_PERCENT: f64 = 4.0;
/// Hedges that may be saved up.
const HEDGE_BURST: u32 = 10;

/// One life of an entry that holds requests.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EntryLife {
    /// VM of the entry.
    pub vm: VmId,
    /// Life of its process.
    pub incarnation: ProcessIncarnation,
}

/// Why an attempt is made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptKind {
    /// The request has no other attempt under way.
    Sole,
    /// Another attempt of the request is under way and takes long.
    Hedge,
}

/// An entry asks for a replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DeskAsk {
    /// The attempt.
    pub id: AttemptId,
    /// The entry that holds the request.
    pub entry: EntryLife,
    /// Zone of the entry.
    pub zone: ZoneName,
    /// Customer who sent the request.
    pub customer: CustomerId,
    /// Weight of the customer.
    pub share: ShareWeight,
    /// Priority of the customer's plan.
    pub priority: RequestPriority,
    /// Class of its work.
    pub class: WorkClass,
    /// Predicted size, which the customer's share is charged with.
    pub size: RequestSize,
    /// Most requests of the customer that may wait in one class.
    pub queue_limit: u32,
    /// End of the request's time.
    pub deadline: Instant,
    /// Why the attempt is made.
    pub kind: AttemptKind,
    /// Whether the request may be repeated.
    pub may_repeat: bool,
    /// VMs that earlier attempts were granted on.
    pub tried: Vec<VmId>,
}

/// What happens at a desk.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DeskEvent {
    /// An entry asks; a repeated ask gets the grant that it has got before.
    Ask(DeskAsk),
    /// A credit comes back.
    Return {
        /// The attempt.
        id: AttemptId,
        /// How it ended.
        end: CreditEnd,
    },
    /// An ask is withdrawn, granted or not.
    Withdraw(AttemptId),
    /// An entry was lost, and its callers with it.
    EntryLost(EntryLife),
    /// A replica is ready, or has changed.
    ReplicaReady(ReplicaInfo),
    /// A replica is gone, or no longer holds the model.
    ReplicaGone(VmId),
    /// A replica gets no new work.
    ReplicaLeaving(VmId),
    /// A late report of the requests that ran at a backend server.
    LoadReport {
        /// VM of the backend server.
        vm: VmId,
        /// Requests that ran there.
        running: u32,
    },
    /// Long work may hold at most this part of the slots, in percent.
    LimitLong(u32),
    /// When the first replica will be ready, if it is known.
    ExpectReady(Option<Instant>),
    /// Time has passed.
    Tick,
}

/// What the desk has decided.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DeskAction {
    /// The attempt may run on this replica.
    Grant {
        /// The attempt.
        id: AttemptId,
        /// Where it may run.
        choice: ReplicaChoice,
        /// Time after which a hedge may be asked for; none if the request may not be repeated.
        hedge_after: Option<Duration>,
    },
    /// The attempt is refused; it was not handed to a backend server.
    Refuse {
        /// The attempt.
        id: AttemptId,
        /// Why.
        code: ResultCode,
    },
}

/// The safeguards of a desk; all are on except in tests that show what each prevents.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DeskGuards {
    /// Credits of a lost entry are taken back.
    pub lost_entries: bool,
    /// Credits are taken back when their request's time is over.
    pub deadlines: bool,
    /// Hedges are limited by a budget.
    pub hedge_budget: bool,
}

impl Default for DeskGuards {
    fn default() -> Self {
        Self { lost_entries: true, deadlines: true, hedge_budget: true }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ReclaimKey {
    due: Instant,
    id: AttemptId,
}

/// Waiting asks, replicas and open credits of one model or service.
#[derive(Debug)]
pub struct GrantDesk {
    guards: DeskGuards,
    queue: AdmissionQueue,
    chooser: ReplicaChooser,
    hedges: AttemptBudget,
    asks: HashMap<AttemptId, DeskAsk>,
    by_entry: BTreeMap<EntryLife, BTreeSet<AttemptId>>,
    reclaims: BTreeSet<ReclaimKey>,
    slot_total: u32,
}

impl GrantDesk {
    /// A desk without replicas; `seed` decides its random choices.
    pub fn new(policy: AdmissionPolicy, seed: u64) -> Self {
        Self::with_guards(policy, seed, DeskGuards::default())
    }

    /// A desk with some safeguards off, to show what they prevent.
    pub fn with_guards(policy: AdmissionPolicy, seed: u64, guards: DeskGuards) -> Self {
        Self {
            guards,
            queue: AdmissionQueue::new(policy),
            chooser: ReplicaChooser::new(seed),
            hedges: AttemptBudget::new(HEDGE_PERCENT, HEDGE_BURST),
            asks: HashMap::new(),
            by_entry: BTreeMap::new(),
            reclaims: BTreeSet::new(),
            slot_total: 0,
        }
    }

    /// Applies one event and returns the decisions that follow from it.
    pub fn handle(&mut self, event: DeskEvent, now: Instant) -> Vec<DeskAction> {
        let mut actions = Vec::new();
        self.chooser.update_probation(now);
        self.resize(now, &mut actions);
        self.drive(AdmissionEvent::Expire, now, &mut actions);
        self.reclaim(now, &mut actions);
        match event {
            DeskEvent::Ask(ask) => self.ask(ask, now, &mut actions),
            DeskEvent::Return { id, end } => self.close(id, end, now, &mut actions),
            DeskEvent::Withdraw(id) => self.close(id, CreditEnd::Unused, now, &mut actions),
            DeskEvent::EntryLost(entry) => self.lose_entry(&entry, now, &mut actions),
            DeskEvent::ReplicaReady(info) => {
                let dead = self.chooser.upsert(info, now);
                self.bury(&dead, now, &mut actions);
            }
            DeskEvent::ReplicaGone(vm) => {
                let dead = self.chooser.remove(&vm);
                self.bury(&dead, now, &mut actions);
            }
            DeskEvent::ReplicaLeaving(vm) => self.chooser.leave(&vm),
            DeskEvent::LoadReport { vm, running } => self.chooser.report(&vm, running, now),
            DeskEvent::ExpectReady(ready) => {
                self.drive(AdmissionEvent::ExpectReady(ready), now, &mut actions);
            }
            DeskEvent::LimitLong(percent) => {
                self.drive(AdmissionEvent::LimitLong(percent), now, &mut actions);
            }
            DeskEvent::Tick => {}
        }
        self.resize(now, &mut actions);
        actions
    }

    /// When [`DeskEvent::Tick`] is due next.
    pub fn next_tick(&self) -> Option<Instant> {
        let reclaim = self.reclaims.first().map(|key| key.due);
        self.queue.next_expiry().into_iter().chain(reclaim).min()
    }

    /// Requests that wait and run.
    pub fn counts(&self) -> QueueCounts {
        self.queue.counts()
    }

    /// The replicas and their credits.
    pub fn replicas(&self) -> &ReplicaChooser {
        &self.chooser
    }

    fn ask(&mut self, ask: DeskAsk, now: Instant, actions: &mut Vec<DeskAction>) {
        let id = ask.id;
        if self.asks.contains_key(&id) {
            if let Some(choice) = self.chooser.held(id) {
                actions.push(self.grant_of(id, choice));
            }
            return;
        }
        if ask.kind == AttemptKind::Hedge && !self.may_hedge(&ask) {
            actions.push(DeskAction::Refuse { id, code: ResultCode::NoReplica });
            return;
        }
        if ask.kind == AttemptKind::Sole {
            self.hedges.deposit();
        }
        let request = AdmissionRequest {
            id,
            customer: ask.customer.clone(),
            share: ask.share,
            priority: ask.priority,
            class: ask.class,
            size: ask.size,
            queue_limit: ask.queue_limit,
            deadline: ask.deadline,
        };
        self.by_entry.entry(ask.entry.clone()).or_default().insert(id);
        if self.guards.deadlines {
            self.reclaims.insert(ReclaimKey { due: ask.deadline + RECLAIM_MARGIN, id });
        }
        self.asks.insert(id, ask);
        self.drive(AdmissionEvent::Offer(request), now, actions);
    }

    /// A hedge takes only a slot that nobody waits for, and only within the budget.
    fn may_hedge(&mut self, ask: &DeskAsk) -> bool {
        let counts = self.queue.counts();
        let nobody_waits = counts.short_waiting + counts.long_waiting == 0;
        let running = counts.short_running + counts.long_running;
        let has_slot = running < self.slot_total;
        let is_fit = ask.may_repeat && nobody_waits && has_slot;
        is_fit && (!self.guards.hedge_budget || self.hedges.withdraw())
    }

    fn close(
        &mut self,
        id: AttemptId,
        end: CreditEnd,
        now: Instant,
        actions: &mut Vec<DeskAction>,
    ) {
        if self.forget(id).is_none() {
            return;
        }
        let was_granted = self.chooser.held(id).is_some();
        self.chooser.close(id, end, now);
        self.resize(now, actions);
        let event = match (was_granted, end) {
            (true, CreditEnd::Served(_)) => AdmissionEvent::Finish(id),
            (true, _) => AdmissionEvent::Release(id),
            (false, _) => AdmissionEvent::Cancel(id),
        };
        self.drive(event, now, actions);
    }

    fn lose_entry(&mut self, entry: &EntryLife, now: Instant, actions: &mut Vec<DeskAction>) {
        if !self.guards.lost_entries {
            return;
        }
        for id in self.by_entry.remove(entry).unwrap_or_default() {
            self.close(id, CreditEnd::Unused, now, actions);
        }
    }

    fn reclaim(&mut self, now: Instant, actions: &mut Vec<DeskAction>) {
        while let Some(key) = self.reclaims.first().copied().filter(|key| key.due <= now) {
            self.close(key.id, CreditEnd::Unused, now, actions);
        }
    }

    /// Frees the slots of credits that died with their replica; their entries learn of the loss
    /// from the side process's connection.
    fn bury(&mut self, dead: &[AttemptId], now: Instant, actions: &mut Vec<DeskAction>) {
        self.resize(now, actions);
        for id in dead {
            self.forget(*id);
            self.drive(AdmissionEvent::Release(*id), now, actions);
        }
    }

    fn forget(&mut self, id: AttemptId) -> Option<DeskAsk> {
        let ask = self.asks.remove(&id)?;
        self.reclaims.remove(&ReclaimKey { due: ask.deadline + RECLAIM_MARGIN, id });
        if let Some(ids) = self.by_entry.get_mut(&ask.entry) {
            ids.remove(&id);
            if ids.is_empty() {
                self.by_entry.remove(&ask.entry);
            }
        }
        Some(ask)
    }

    fn resize(&mut self, now: Instant, actions: &mut Vec<DeskAction>) {
        let total = self.chooser.slot_total();
        if total != self.slot_total {
            self.slot_total = total;
            self.drive(AdmissionEvent::Resize(SlotTotal(total)), now, actions);
        }
    }

    /// Passes one event to the queue and carries out its decisions.
    fn drive(&mut self, event: AdmissionEvent, now: Instant, actions: &mut Vec<DeskAction>) {
        let mut decided = VecDeque::from(self.queue.handle(event, now));
        while let Some(action) = decided.pop_front() {
            match action {
                AdmissionAction::Refuse { id, code } => {
                    self.forget(id);
                    actions.push(DeskAction::Refuse { id, code });
                }
                AdmissionAction::Grant { id, class } => {
                    if let Some(choice) = self.choose(id, class, now) {
                        actions.push(self.grant_of(id, choice));
                        continue;
                    }
                    self.forget(id);
                    let code = ResultCode::NoReplica;
                    actions.push(DeskAction::Refuse { id, code });
                    decided.extend(self.queue.handle(AdmissionEvent::Release(id), now));
                }
            }
        }
    }

    fn choose(&mut self, id: AttemptId, class: WorkClass, now: Instant) -> Option<ReplicaChoice> {
        let ask = self.asks.get(&id)?;
        self.chooser.limit_long(self.queue.long_limit());
        let request = ReplicaRequest {
            id,
            class,
            zone: ask.zone.clone(),
            tried: ask.tried.clone(),
            must_differ: ask.kind == AttemptKind::Hedge,
            may_repeat: ask.may_repeat,
        };
        self.chooser.choose(&request, now)
    }

    fn grant_of(&self, id: AttemptId, choice: ReplicaChoice) -> DeskAction {
        let ask = &self.asks[&id];
        let may_hedge = ask.may_repeat && ask.kind == AttemptKind::Sole;
        let hedge_after = self.chooser.hedge_after(ask.class).filter(|_| may_hedge);
        DeskAction::Grant { id, choice, hedge_after }
    }
}
