//! The keeper of one engine: the only giver of orders to it.
//!
//! Load pattern: planners of several entries want changes at once, answers to orders are lost, and
//! orders without an answer are carried out seconds later. The keeper gives one order at a time,
//! each bound to the number of orders that the engine has accepted, so that a late copy of an
//! order finds another number and does nothing; and it checks every load against the memory that
//! the engine's own report leaves.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use base::prelude::*;
use catalog::{EngineSpec, Megabytes};
use roster::{IncarnationStart, InstanceId};

use crate::{
    engine::{EngineOrder, EngineReport, OrderAction, OrderAnswer, OrderCount},
    prefill::RunReadiness,
};

/// A change that a planner wants.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineChange {
    /// Engine that is meant.
    pub instance: InstanceId,
    /// Its incarnation, as the planner knows it.
    pub started: Option<IncarnationStart>,
    /// Orders accepted when the change was planned.
    pub orders: OrderCount,
    /// Models to drop first.
    pub unload: Vec<ModelId>,
    /// Model to load.
    pub load: Option<ModelId>,
    /// Expected time of the load.
    pub load_time: Duration,
    /// Whether the weights come from the weight store.
    pub is_from_store: bool,
}

/// Why a change is not carried out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeclineReason {
    /// The planner knew an older state of the engine.
    Outdated,
    /// Another change is being carried out.
    Busy,
    /// The models would not fit.
    NoRoom,
    /// The engine does not answer, or its sizes are not known yet.
    NotKnown,
}

impl DeclineReason {
    /// One word for logs.
    pub fn text(self) -> &'static str {
        match self {
            DeclineReason::Outdated => "outdated",
            DeclineReason::Busy => "busy",
            DeclineReason::NoRoom => "no-room",
            DeclineReason::NotKnown => "not-known",
        }
    }
}

/// Something for the driver to do.
#[derive(Debug, Clone, PartialEq)]
pub enum ControllerAction {
    /// Give this order and tell the answer.
    Order(EngineOrder),
    /// A change was declined.
    Decline(Option<ModelId>, DeclineReason),
    /// What the entries should know changed.
    StateChanged,
}

/// A load as the entries should know it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CurrentLoad {
    /// Model.
    pub model: ModelId,
    /// When it is expected to be ready.
    pub ready_at: Instant,
    /// Whether the weights come from the weight store.
    pub is_from_store: bool,
}

/// Who gives the orders.
#[derive(Debug, Clone)]
pub struct ControllerIdentity {
    /// VM of the side process.
    pub holder: VmId,
    /// Fencing number of its orders.
    ///
    /// A side process is the only giver of orders to the engine on its own VM, so the number need
    /// not rise; engines refuse lower ones only.
    pub fence: FencingNumber,
}

#[derive(Debug, Clone)]
struct Plan {
    unload: VecDeque<ModelId>,
    load: Option<ModelId>,
    load_time: Duration,
    is_from_store: bool,
    began: Instant,
    load_ordered: Option<Instant>,
}

#[derive(Debug, Clone)]
struct OpenOrder {
    action: OrderAction,
    since: Instant,
}

/// Time after which an order without an answer is given again, with the same number.
const ORDER_REPEAT: Duration = Duration::from_millis(400);
/// Longest time for a change, beyond the expected time of its load.
///
/// Requests of a model that is dropped may run for many seconds.
const PLAN_SLACK: Duration = Duration::from_secs(12);
/// A load may take this many times the expected time before it counts as failed.
const LOAD_STRETCH: u32 = 4;
/// Time for which an adapter that was asked for is kept.
const ADAPTER_KEEP: Duration = Duration::from_millis(1_500);
/// Adapters that may be on their way to one engine.
const MAX_PENDING_ADAPTERS: usize = 4;
/// A wish for an adapter is forgotten after this time.
const WISH_SPAN: Duration = Duration::from_secs(2);

/// The keeper.
#[derive(Debug)]
pub struct EngineController {
    identity: ControllerIdentity,
    instance: Option<InstanceId>,
    spec: Option<Arc<EngineSpec>>,
    report: Option<EngineReport>,
    plan: Option<Plan>,
    open: Option<OpenOrder>,
    awaits_report: bool,
    wishes: BTreeMap<(ModelId, AdapterId), Instant>,
    used: BTreeMap<(ModelId, AdapterId), Instant>,
    actions: Vec<ControllerAction>,
}

impl EngineController {
    /// A keeper of an engine that it has not heard of yet.
    pub fn new(identity: ControllerIdentity) -> Self {
        Self {
            identity,
            instance: None,
            spec: None,
            report: None,
            plan: None,
            open: None,
            awaits_report: false,
            wishes: BTreeMap::new(),
            used: BTreeMap::new(),
            actions: Vec::new(),
        }
    }

    /// What is left for the driver to do.
    pub fn take_actions(&mut self) -> Vec<ControllerAction> {
        std::mem::take(&mut self.actions)
    }

    /// The engine's last report.
    pub fn report(&self) -> Option<&EngineReport> {
        self.report.as_ref()
    }

    /// Whether a change can be taken now.
    pub fn takes_changes(&self) -> bool {
        self.spec.is_some()
            && self.plan.is_none()
            && self.report.as_ref().is_some_and(|report| !report.is_busy)
    }

    /// Whether something is under way, so that reports should be read often.
    pub fn is_active(&self) -> bool {
        self.plan.is_some()
            || self.open.is_some()
            || !self.wishes.is_empty()
            || self
                .report
                .as_ref()
                .is_some_and(|report| report.is_busy || !report.pending.is_empty())
    }

    /// The load under way.
    pub fn loading(&self) -> Option<CurrentLoad> {
        let plan = self.plan.as_ref()?;
        let model = plan.load.clone()?;
        let begins = plan.load_ordered.unwrap_or(plan.began);
        Some(CurrentLoad {
            model,
            ready_at: begins + plan.load_time,
            is_from_store: plan.is_from_store,
        })
    }

    /// The model that is being dropped, or is to be dropped next.
    pub fn unloading(&self) -> Option<&ModelId> {
        self.plan.as_ref()?.unload.front()
    }

    /// Whether the engine can run a request for `model` and `adapter`.
    pub fn readiness(&self, model: &ModelId, adapter: Option<&AdapterId>) -> RunReadiness {
        let held = self
            .report
            .as_ref()
            .and_then(|report| report.residents.iter().find(|resident| resident.model == *model));
        let is_leaving = self.unloading() == Some(model);
        match held {
            Some(held) if !is_leaving => match adapter {
                Some(adapter) if !held.adapters.contains(adapter) => RunReadiness::AdapterPending,
                _ => RunReadiness::Ready,
            },
            _ => RunReadiness::ModelMissing,
        }
    }

    /// Whether the sizes of models are known.
    pub fn knows_sizes(&self) -> bool {
        self.spec.is_some()
    }

    /// Takes in the sizes of models.
    pub fn set_spec(&mut self, spec: Arc<EngineSpec>, now: Instant) {
        self.spec = Some(spec);
        self.actions.push(ControllerAction::StateChanged);
        self.go_on(now);
    }

    /// Takes in a report.
    pub fn apply_report(&mut self, report: EngineReport, now: Instant) {
        let is_new = self.report.as_ref().is_none_or(|old| old.started != report.started);
        if is_new {
            self.plan = None;
            self.open = None;
            self.used.clear();
            self.instance = None;
        }
        let is_changed = self.report.as_ref().is_none_or(|old| !is_same_state(old, &report));
        self.report = Some(report);
        self.awaits_report = false;
        if is_changed {
            self.actions.push(ControllerAction::StateChanged);
        }
        self.go_on(now);
    }

    /// The engine does not answer.
    pub fn mark_unreachable(&mut self) {
        if self.report.take().is_some() {
            self.plan = None;
            self.open = None;
            self.actions.push(ControllerAction::StateChanged);
        }
    }

    /// A request needs an adapter.
    pub fn request_adapter(
        &mut self,
        instance: InstanceId,
        model: ModelId,
        adapter: AdapterId,
        now: Instant,
    ) {
        self.instance = Some(instance);
        let key = (model, adapter);
        self.used.insert(key.clone(), now);
        if !self.holds_adapter(&key) {
            self.wishes.insert(key, now);
        }
        self.go_on(now);
    }

    /// A planner wants a change.
    pub fn request_change(&mut self, change: EngineChange, now: Instant) {
        if let Err(reason) = self.check(&change) {
            self.actions.push(ControllerAction::Decline(change.load, reason));
            return;
        }
        self.instance = Some(change.instance);
        self.plan = Some(Plan {
            unload: change.unload.into(),
            load: change.load,
            load_time: change.load_time,
            is_from_store: change.is_from_store,
            began: now,
            load_ordered: None,
        });
        self.actions.push(ControllerAction::StateChanged);
        self.go_on(now);
    }

    fn check(&self, change: &EngineChange) -> Result<(), DeclineReason> {
        let (Some(report), Some(spec)) = (&self.report, &self.spec) else {
            return Err(DeclineReason::NotKnown);
        };
        if self.plan.is_some() || report.is_busy {
            return Err(DeclineReason::Busy);
        }
        if change.started != report.started || change.orders != report.orders {
            return Err(DeclineReason::Outdated);
        }
        let kept = |model: &ModelId| !change.unload.contains(model);
        let used = used_memory(report, spec, kept).ok_or(DeclineReason::NotKnown)?;
        match &change.load {
            Some(model) => {
                let size = spec.model(model).ok_or(DeclineReason::NotKnown)?.weights;
                match used.0 + size.0 <= spec.weights_capacity.0 {
                    true => Ok(()),
                    false => Err(DeclineReason::NoRoom),
                }
            }
            None => Ok(()),
        }
    }

    /// The engine answered an order.
    pub fn apply_answer(&mut self, answer: OrderAnswer, now: Instant) {
        let Some(open) = self.open.take() else { return };
        // The next order needs the number that the next report tells.
        self.awaits_report = true;
        match answer {
            OrderAnswer::Accepted | OrderAnswer::Holds => self.accepted(&open.action, now),
            OrderAnswer::Unknown => self.open = Some(OpenOrder { since: now, ..open }),
            OrderAnswer::Conflict => {}
            OrderAnswer::Fenced | OrderAnswer::OtherInstance | OrderAnswer::Refused => {
                self.drop_order(&open.action);
            }
        }
        self.go_on(now);
    }

    fn accepted(&mut self, action: &OrderAction, now: Instant) {
        match action {
            OrderAction::LoadModel(_) => {
                if let Some(plan) = &mut self.plan {
                    plan.load_ordered = Some(now);
                }
                self.actions.push(ControllerAction::StateChanged);
            }
            OrderAction::LoadAdapter(model, adapter) => {
                self.wishes.remove(&(model.clone(), adapter.clone()));
            }
            OrderAction::UnloadModel(_) | OrderAction::UnloadAdapter(..) => {}
        }
    }

    fn drop_order(&mut self, action: &OrderAction) {
        match action {
            OrderAction::LoadModel(_) | OrderAction::UnloadModel(_) => {
                self.plan = None;
                self.actions.push(ControllerAction::StateChanged);
            }
            OrderAction::LoadAdapter(model, adapter)
            | OrderAction::UnloadAdapter(model, adapter) => {
                self.wishes.remove(&(model.clone(), adapter.clone()));
            }
        }
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Instant) {
        self.go_on(now);
    }

    fn holds_adapter(&self, key: &(ModelId, AdapterId)) -> bool {
        self.report.as_ref().is_some_and(|report| {
            let held = report
                .residents
                .iter()
                .any(|resident| resident.model == key.0 && resident.adapters.contains(&key.1));
            let coming = report
                .pending
                .iter()
                .any(|pending| pending.model == key.0 && pending.adapter == key.1);
            held || coming
        })
    }

    /// Takes the next step, if there is one to take.
    fn go_on(&mut self, now: Instant) {
        if self.awaits_report {
            return;
        }
        self.forget_wishes(now);
        self.end_plan(now);
        if let Some(open) = &self.open {
            if now.saturating_duration_since(open.since) < ORDER_REPEAT {
                return;
            }
            self.open = None;
        }
        let action = self.next_adapter(now).or_else(|| self.next_of_plan());
        if let Some(action) = action {
            self.order(action, now);
        }
    }

    fn forget_wishes(&mut self, now: Instant) {
        let held: Vec<(ModelId, AdapterId)> = self
            .wishes
            .iter()
            .filter(|(key, at)| {
                self.holds_adapter(key) || now.saturating_duration_since(**at) > WISH_SPAN
            })
            .map(|(key, _)| key.clone())
            .collect();
        for key in held {
            self.wishes.remove(&key);
        }
    }

    /// Ends a plan that is carried out, or that takes too long.
    fn end_plan(&mut self, now: Instant) {
        let (Some(plan), Some(report)) = (&mut self.plan, &self.report) else { return };
        let holds = |model: &ModelId| report.residents.iter().any(|held| held.model == *model);
        while plan.unload.front().is_some_and(|model| !holds(model)) {
            plan.unload.pop_front();
        }
        let is_loaded = plan.load.as_ref().is_none_or(holds);
        let is_done = plan.unload.is_empty() && is_loaded && !report.is_busy;
        let limit = plan.load_time * LOAD_STRETCH + PLAN_SLACK;
        let is_late = now.saturating_duration_since(plan.began) > limit;
        if is_done || is_late {
            self.plan = None;
            self.actions.push(ControllerAction::StateChanged);
        }
    }

    fn next_of_plan(&self) -> Option<OrderAction> {
        let (plan, report) = (self.plan.as_ref()?, self.report.as_ref()?);
        if report.is_busy {
            return None;
        }
        if let Some(model) = plan.unload.front() {
            return Some(OrderAction::UnloadModel(model.clone()));
        }
        plan.load.clone().map(OrderAction::LoadModel)
    }

    fn next_adapter(&self, now: Instant) -> Option<OrderAction> {
        let (report, spec) = (self.report.as_ref()?, self.spec.as_ref()?);
        let ((model, adapter), _) = self.wishes.iter().find(|((model, _), _)| {
            report.residents.iter().any(|held| held.model == *model)
                && self.unloading() != Some(model)
        })?;
        // The engine refuses any order while it carries out one for a model.
        if report.is_busy || report.pending.len() >= MAX_PENDING_ADAPTERS {
            return None;
        }
        let held: usize = report.residents.iter().map(|held| held.adapters.len()).sum();
        let size = spec.model(model)?.adapter_size;
        let used = used_memory(report, spec, |_| true)?;
        let planned = self.planned_size(spec)?;
        let fits = used.0 + planned.0 + size.0 <= spec.weights_capacity.0;
        if held + report.pending.len() < spec.adapter_slots && fits {
            return Some(OrderAction::LoadAdapter(model.clone(), adapter.clone()));
        }
        self.oldest_adapter(report, now)
    }

    /// Memory that the plan under way is going to take, beyond what the report shows.
    fn planned_size(&self, spec: &EngineSpec) -> Option<Megabytes> {
        let Some(model) = self.plan.as_ref().and_then(|plan| plan.load.as_ref()) else {
            return Some(Megabytes(0.0));
        };
        Some(spec.model(model)?.weights)
    }

    /// The adapter that was asked for the longest time ago.
    fn oldest_adapter(&self, report: &EngineReport, now: Instant) -> Option<OrderAction> {
        let adapters = report.residents.iter().flat_map(|held| {
            held.adapters.iter().map(|adapter| (held.model.clone(), adapter.clone()))
        });
        let (used, (model, adapter)) =
            adapters.map(|key| (self.used.get(&key).copied(), key)).min()?;
        let is_needed = used.is_some_and(|at| now.saturating_duration_since(at) < ADAPTER_KEEP);
        (!is_needed).then_some(OrderAction::UnloadAdapter(model, adapter))
    }

    fn order(&mut self, action: OrderAction, now: Instant) {
        let (Some(report), Some(instance)) = (&self.report, &self.instance) else { return };
        let order = EngineOrder {
            action: action.clone(),
            instance: instance.clone(),
            expected: report.orders,
            holder: self.identity.holder.clone(),
            fence: self.identity.fence,
        };
        self.open = Some(OpenOrder { action, since: now });
        self.actions.push(ControllerAction::Order(order));
    }
}

/// Memory that the models that are kept and all adapters take; `None` if a size is not known.
fn used_memory(
    report: &EngineReport,
    spec: &EngineSpec,
    kept: impl Fn(&ModelId) -> bool,
) -> Option<Megabytes> {
    let mut total = 0.0;
    for held in report.residents.iter().filter(|held| kept(&held.model)) {
        let model = spec.model(&held.model)?;
        total += model.weights.0 + model.adapter_size.0 * held.adapters.len() as f64;
    }
    for pending in report.pending.iter().filter(|pending| kept(&pending.model)) {
        total += spec.model(&pending.model)?.adapter_size.0;
    }
    Some(Megabytes(total))
}

/// Whether two reports differ in load only.
fn is_same_state(a: &EngineReport, b: &EngineReport) -> bool {
    a.started == b.started
        && a.orders == b.orders
        && a.is_busy == b.is_busy
        && a.residents == b.residents
        && a.pending == b.pending
        && a.copies_in_memory == b.copies_in_memory
        && a.copies_on_disk == b.copies_on_disk
}
