//! Controls one engine: the only sender of orders to it.
//!
//! Planners of several entries may request changes at the same time, answers to orders may be lost,
//! and an order without an answer may be carried out seconds later. Therefore the controller sends
//! one order at a time, and each order names the number of orders that the engine must have
//! accepted so far, so that the engine refuses a delayed copy. Every load is checked against the
//! memory that is free according to the report whose order count it names, each time it is sent.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use base::prelude::*;
use catalog::{EngineSpec, Megabytes};
use roster::InstanceId;

use crate::{
    change::{ControllerAction, ControllerIdentity, CurrentLoad, DeclineReason, EngineChange},
    engine::{EngineOrder, EngineReport, OrderAction, OrderAnswer},
    memory,
    prefill::RunReadiness,
};

#[derive(Debug, Clone)]
struct ActiveChange {
    unload: VecDeque<ModelId>,
    load: Option<ModelId>,
    load_time: Duration,
    is_from_store: bool,
    started_at: Instant,
    load_accepted_at: Option<Instant>,
}

#[derive(Debug, Clone)]
struct OpenOrder {
    action: OrderAction,
    sent_at: Instant,
}

/// Time after which an order without an answer is sent again, with the same order count.
const ORDER_RETRY_INTERVAL: Duration = Duration::from_millis(400);
/// Part of the timeout of a change on top of the time for its load; requests of a model that is
/// being unloaded may run for many seconds.
const CHANGE_TIMEOUT_MARGIN: Duration = Duration::from_secs(12);
/// Part of the timeout of a change for its load, as a multiple of the expected duration.
const LOAD_TIMEOUT_FACTOR: u32 = 4;
/// An adapter is not unloaded for another one within this time after it was last requested.
const ADAPTER_MIN_RESIDENCY: Duration = Duration::from_millis(1_500);
/// Adapters that one engine may load at the same time.
const MAX_PENDING_ADAPTERS: usize = 4;
/// A request to load an adapter is dropped after this time.
const ADAPTER_REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// When an adapter that is not loaded was requested.
#[derive(Debug, Clone, Copy)]
struct AdapterRequest {
    first: Instant,
    last: Instant,
}

/// State of one engine and of its change in progress.
#[derive(Debug)]
pub struct EngineController {
    identity: ControllerIdentity,
    instance: Option<InstanceId>,
    spec: Option<Arc<EngineSpec>>,
    report: Option<EngineReport>,
    change: Option<ActiveChange>,
    open_order: Option<OpenOrder>,
    awaits_report: bool,
    /// Adapters to load.
    adapter_requests: BTreeMap<(ModelId, AdapterId), AdapterRequest>,
    /// When each adapter was requested last, loaded or not.
    adapter_uses: BTreeMap<(ModelId, AdapterId), Instant>,
    actions: Vec<ControllerAction>,
}

impl EngineController {
    /// A controller of an engine that has not reported yet.
    pub fn new(identity: ControllerIdentity) -> Self {
        Self {
            identity,
            instance: None,
            spec: None,
            report: None,
            change: None,
            open_order: None,
            awaits_report: false,
            adapter_requests: BTreeMap::new(),
            adapter_uses: BTreeMap::new(),
            actions: Vec::new(),
        }
    }

    /// Removes and returns the pending actions, in the order in which they arose.
    pub fn take_actions(&mut self) -> Vec<ControllerAction> {
        std::mem::take(&mut self.actions)
    }

    /// The engine's last report; `None` before the first one and while the engine is unreachable.
    pub fn report(&self) -> Option<&EngineReport> {
        self.report.as_ref()
    }

    /// Whether the controller can start a change: the specification and a report are known, and no
    /// change and no order for a model is in progress.
    pub fn takes_changes(&self) -> bool {
        self.spec.is_some()
            && self.change.is_none()
            && self.report.as_ref().is_some_and(|report| !report.is_busy)
    }

    /// Whether an order, a change or a load is in progress, so that the engine should be polled
    /// often.
    pub fn is_active(&self) -> bool {
        self.change.is_some()
            || self.open_order.is_some()
            || !self.adapter_requests.is_empty()
            || self
                .report
                .as_ref()
                .is_some_and(|report| report.is_busy || !report.pending.is_empty())
    }

    /// The load of the change in progress, if it has one.
    pub fn loading(&self) -> Option<CurrentLoad> {
        let change = self.change.as_ref()?;
        let model = change.load.clone()?;
        let started_at = change.load_accepted_at.unwrap_or(change.started_at);
        Some(CurrentLoad {
            model,
            ready_at: started_at + change.load_time,
            is_from_store: change.is_from_store,
        })
    }

    /// The model that is being unloaded, or is to be unloaded next.
    pub fn unloading(&self) -> Option<&ModelId> {
        self.change.as_ref()?.unload.front()
    }

    /// Whether the engine can run a request for `model` and `adapter`.
    pub fn readiness(&self, model: &ModelId, adapter: Option<&AdapterId>) -> RunReadiness {
        let held = self
            .report
            .as_ref()
            .and_then(|report| report.residents.iter().find(|resident| resident.model == *model));
        let is_unloading = self.unloading() == Some(model);
        match held {
            Some(held) if !is_unloading => match adapter {
                Some(adapter) if !held.adapters.contains(adapter) => RunReadiness::AdapterPending,
                _ => RunReadiness::Ready,
            },
            _ => RunReadiness::ModelMissing,
        }
    }

    /// Whether the engine's specification is known.
    pub fn knows_sizes(&self) -> bool {
        self.spec.is_some()
    }

    /// Sets the engine's specification, which contains the sizes of models.
    pub fn set_spec(&mut self, spec: Arc<EngineSpec>, now: Instant) {
        self.spec = Some(spec);
        self.actions.push(ControllerAction::StateChanged);
        self.advance(now);
    }

    /// Applies a report of the engine. A change in progress ends if the engine has restarted.
    pub fn apply_report(&mut self, report: EngineReport, now: Instant) {
        let is_new = self.report.as_ref().is_none_or(|old| old.started != report.started);
        if is_new {
            self.change = None;
            self.open_order = None;
            self.adapter_uses.clear();
            self.instance = None;
        }
        let is_changed = self.report.as_ref().is_none_or(|old| !is_same_state(old, &report));
        self.report = Some(report);
        self.awaits_report = false;
        if is_changed {
            self.actions.push(ControllerAction::StateChanged);
        }
        self.advance(now);
    }

    /// Records that the engine does not answer; a change in progress ends.
    pub fn mark_unreachable(&mut self) {
        if self.report.take().is_some() {
            self.change = None;
            self.open_order = None;
            self.actions.push(ControllerAction::StateChanged);
        }
    }

    /// Requests an adapter that a request needs; it is loaded unless it is there already.
    pub fn request_adapter(
        &mut self,
        instance: InstanceId,
        model: ModelId,
        adapter: AdapterId,
        now: Instant,
    ) {
        self.instance = Some(instance);
        let key = (model, adapter);
        self.adapter_uses.insert(key.clone(), now);
        if !self.holds_adapter(&key) {
            let request = AdapterRequest { first: now, last: now };
            self.adapter_requests.entry(key).or_insert(request).last = now;
        }
        self.advance(now);
    }

    /// Starts a change that a planner requests, or declines it if it is not safe.
    pub fn request_change(&mut self, change: EngineChange, now: Instant) {
        if let Err(reason) = self.check(&change) {
            self.actions.push(ControllerAction::Decline(change.load, reason));
            return;
        }
        self.instance = Some(change.instance);
        self.change = Some(ActiveChange {
            unload: change.unload.into(),
            load: change.load,
            load_time: change.load_time,
            is_from_store: change.is_from_store,
            started_at: now,
            load_accepted_at: None,
        });
        self.actions.push(ControllerAction::StateChanged);
        self.advance(now);
    }

    fn check(&self, change: &EngineChange) -> Result<(), DeclineReason> {
        let (Some(report), Some(spec)) = (&self.report, &self.spec) else {
            return Err(DeclineReason::NotKnown);
        };
        if self.change.is_some() || report.is_busy {
            return Err(DeclineReason::Busy);
        }
        if change.started != report.started || change.orders != report.orders {
            return Err(DeclineReason::Outdated);
        }
        let kept = |model: &ModelId| !change.unload.contains(model);
        match &change.load {
            Some(model) => memory::check_load(model, report, spec, kept),
            None => memory::used(report, spec, kept).map(drop).ok_or(DeclineReason::NotKnown),
        }
    }

    /// Applies the engine's answer to the open order.
    pub fn apply_answer(&mut self, answer: OrderAnswer, now: Instant) {
        let Some(order) = self.open_order.take() else { return };
        // The next order needs the order count of the next report.
        self.awaits_report = true;
        match answer {
            OrderAnswer::Accepted | OrderAnswer::Holds => self.record_accepted(&order.action, now),
            OrderAnswer::Unknown => self.open_order = Some(OpenOrder { sent_at: now, ..order }),
            OrderAnswer::Conflict => {}
            OrderAnswer::Fenced | OrderAnswer::OtherInstance | OrderAnswer::Refused => {
                self.abandon_order(&order.action);
            }
        }
        self.advance(now);
    }

    fn record_accepted(&mut self, action: &OrderAction, now: Instant) {
        match action {
            OrderAction::LoadModel(_) => {
                if let Some(change) = &mut self.change {
                    change.load_accepted_at = Some(now);
                }
                self.actions.push(ControllerAction::StateChanged);
            }
            OrderAction::LoadAdapter(model, adapter) => {
                self.adapter_requests.remove(&(model.clone(), adapter.clone()));
            }
            OrderAction::UnloadModel(_) | OrderAction::UnloadAdapter(..) => {}
        }
    }

    fn abandon_order(&mut self, action: &OrderAction) {
        match action {
            OrderAction::LoadModel(_) | OrderAction::UnloadModel(_) => {
                self.change = None;
                self.actions.push(ControllerAction::StateChanged);
            }
            OrderAction::LoadAdapter(model, adapter)
            | OrderAction::UnloadAdapter(model, adapter) => {
                self.adapter_requests.remove(&(model.clone(), adapter.clone()));
            }
        }
    }

    /// Applies timeouts, and sends the next order if one is due.
    pub fn tick(&mut self, now: Instant) {
        self.advance(now);
    }

    fn holds_adapter(&self, key: &(ModelId, AdapterId)) -> bool {
        self.report.as_ref().is_some_and(|report| {
            let is_held = report
                .residents
                .iter()
                .any(|resident| resident.model == key.0 && resident.adapters.contains(&key.1));
            let is_pending = report
                .pending
                .iter()
                .any(|pending| pending.model == key.0 && pending.adapter == key.1);
            is_held || is_pending
        })
    }

    /// Applies timeouts, and sends the next order unless one is open or a report is awaited.
    fn advance(&mut self, now: Instant) {
        if self.awaits_report {
            return;
        }
        self.prune_adapter_requests(now);
        self.end_change(now);
        if let Some(open_order) = &self.open_order {
            if now.saturating_duration_since(open_order.sent_at) < ORDER_RETRY_INTERVAL {
                return;
            }
            self.open_order = None;
        }
        self.decline_unfit_load();
        let action = self.next_adapter(now).or_else(|| self.next_of_change());
        if let Some(action) = action {
            self.send_order(action, now);
        }
    }

    fn prune_adapter_requests(&mut self, now: Instant) {
        let obsolete: Vec<(ModelId, AdapterId)> = self
            .adapter_requests
            .iter()
            .filter(|(key, request)| {
                self.holds_adapter(key)
                    || now.saturating_duration_since(request.last) > ADAPTER_REQUEST_TIMEOUT
            })
            .map(|(key, _)| key.clone())
            .collect();
        for key in obsolete {
            self.adapter_requests.remove(&key);
        }
    }

    /// Ends the change in progress if it is complete or has timed out.
    fn end_change(&mut self, now: Instant) {
        let (Some(change), Some(report)) = (&mut self.change, &self.report) else { return };
        let holds = |model: &ModelId| report.residents.iter().any(|held| held.model == *model);
        while change.unload.front().is_some_and(|model| !holds(model)) {
            change.unload.pop_front();
        }
        let is_loaded = change.load.as_ref().is_none_or(holds);
        let is_done = change.unload.is_empty() && is_loaded && !report.is_busy;
        let max_time = change.load_time * LOAD_TIMEOUT_FACTOR + CHANGE_TIMEOUT_MARGIN;
        let is_late = now.saturating_duration_since(change.started_at) > max_time;
        if is_done || is_late {
            self.change = None;
            self.actions.push(ControllerAction::StateChanged);
        }
    }

    /// Ends the change in progress if its load is due and does not fit any more. An order without an
    /// answer, perhaps of an earlier process, may have been carried out since the change was checked,
    /// and the order count that the load would be sent with covers that order.
    fn decline_unfit_load(&mut self) {
        let (Some(change), Some(report), Some(spec)) = (&self.change, &self.report, &self.spec)
        else {
            return;
        };
        let Some(model) = change.load.as_ref().filter(|_| change.unload.is_empty()) else { return };
        if report.is_busy {
            return;
        }
        if let Err(reason) = memory::check_load(model, report, spec, |_| true) {
            self.actions.push(ControllerAction::Decline(Some(model.clone()), reason));
            self.change = None;
            self.actions.push(ControllerAction::StateChanged);
        }
    }

    fn next_of_change(&self) -> Option<OrderAction> {
        let (change, report) = (self.change.as_ref()?, self.report.as_ref()?);
        if report.is_busy {
            return None;
        }
        if let Some(model) = change.unload.front() {
            return Some(OrderAction::UnloadModel(model.clone()));
        }
        change.load.clone().map(OrderAction::LoadModel)
    }

    fn next_adapter(&self, now: Instant) -> Option<OrderAction> {
        let (report, spec) = (self.report.as_ref()?, self.spec.as_ref()?);
        let possible = self.adapter_requests.iter().filter(|((model, _), _)| {
            report.residents.iter().any(|held| held.model == *model)
                && self.unloading() != Some(model)
        });
        let ((model, adapter), _) = possible.min_by_key(|(_, request)| request.first)?;
        // While the engine carries out an order for a model, it refuses all others.
        if report.is_busy || report.pending.len() >= MAX_PENDING_ADAPTERS {
            return None;
        }
        let held: usize = report.residents.iter().map(|held| held.adapters.len()).sum();
        let size = spec.model(model)?.adapter_size;
        let used = memory::used(report, spec, |_| true)?;
        let planned = self.planned_size(spec)?;
        let fits = used.0 + planned.0 + size.0 <= spec.weights_capacity.0;
        if held + report.pending.len() < spec.adapter_slots && fits {
            return Some(OrderAction::LoadAdapter(model.clone(), adapter.clone()));
        }
        self.evict_adapter(report, now)
    }

    /// Memory for the model that the change in progress loads.
    fn planned_size(&self, spec: &EngineSpec) -> Option<Megabytes> {
        let Some(model) = self.change.as_ref().and_then(|change| change.load.as_ref()) else {
            return Some(Megabytes(0.0));
        };
        Some(spec.model(model)?.weights)
    }

    /// An order to unload the least recently requested adapter, unless it is still in use.
    fn evict_adapter(&self, report: &EngineReport, now: Instant) -> Option<OrderAction> {
        let adapters = report.residents.iter().flat_map(|held| {
            held.adapters.iter().map(|adapter| (held.model.clone(), adapter.clone()))
        });
        let (used, (model, adapter)) =
            adapters.map(|key| (self.adapter_uses.get(&key).copied(), key)).min()?;
        let is_needed =
            used.is_some_and(|at| now.saturating_duration_since(at) < ADAPTER_MIN_RESIDENCY);
        (!is_needed).then_some(OrderAction::UnloadAdapter(model, adapter))
    }

    fn send_order(&mut self, action: OrderAction, now: Instant) {
        let (Some(report), Some(instance)) = (&self.report, &self.instance) else { return };
        let order = EngineOrder {
            action: action.clone(),
            instance: instance.clone(),
            expected: report.orders,
            holder: self.identity.holder.clone(),
            fence: self.identity.fence,
        };
        self.open_order = Some(OpenOrder { action, sent_at: now });
        self.actions.push(ControllerAction::Order(order));
    }
}

/// Whether two reports are equal except for the numbers of requests and tokens.
fn is_same_state(a: &EngineReport, b: &EngineReport) -> bool {
    a.started == b.started
        && a.orders == b.orders
        && a.is_busy == b.is_busy
        && a.residents == b.residents
        && a.pending == b.pending
        && a.copies_in_memory == b.copies_in_memory
        && a.copies_on_disk == b.copies_on_disk
}
