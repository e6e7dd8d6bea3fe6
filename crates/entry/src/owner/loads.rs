//! Loads and unloads of models into held slots.

use std::net::SocketAddr;

use base::prelude::*;
use loading::{CacheTier, DenyReason, LoadCandidate, OrderId, SchedulerAction, SchedulerEvent};
use placement::{OwnerEvent as PlacementEvent, SlotHolder, SlotState};
use routing::rendezvous::OwnerKey;
use wire::{
    Message, PeerIdentity,
    load::{BackendReport, LoadOrder, OrderOutcome, UnloadOrder},
};

use super::{
    OwnerEvent, OwnerTask,
    target::{PendingLoad, ReplicaStage},
};

/// Age of a load order after which a report without the model means that the order was lost.
const ORDER_GRACE: Duration = Duration::from_secs(3);

impl OwnerTask {
    /// Orders the loads and unloads that the demand requires.
    pub(super) fn update_loads(&mut self, key: &OwnerKey, now: Instant) {
        let Some(target) = self.targets.get_mut(key) else { return };
        let demand = target.demand();
        let Some(capacity) = target.capacity.as_mut() else { return };
        let desired = capacity.update_desired(demand, &mut self.prior, now);
        self.step_scheduler(key, SchedulerEvent::DesiredReplicas(desired), now);
        if demand.waiting == 0 {
            self.unload_surplus(key, desired, now);
        }
    }

    /// Passes one event to the load scheduler of a model and executes the resulting actions.
    pub(super) fn step_scheduler(&mut self, key: &OwnerKey, event: SchedulerEvent, now: Instant) {
        let Some(capacity) = self.capacity_mut(key) else { return };
        for action in capacity.scheduler.step(event, now) {
            match action {
                SchedulerAction::Order(order, slot) => self.order_load(key, order, &slot, now),
                SchedulerAction::Ready(vm) => self.set_stage(key, &vm, ReplicaStage::Ready),
                SchedulerAction::NoSlotAvailable(_) => {}
            }
        }
    }

    fn set_stage(&mut self, key: &OwnerKey, vm: &VmId, stage: ReplicaStage) {
        let target = self.targets.get_mut(key);
        if let Some(replica) = target.and_then(|target| target.replicas.get_mut(vm)) {
            replica.stage = stage;
        }
    }

    fn order_load(&mut self, key: &OwnerKey, order: OrderId, slot: &LoadCandidate, now: Instant) {
        let Some(target) = self.targets.get_mut(key) else { return };
        let Some(replica) = target.replicas.get_mut(&slot.vm) else { return };
        replica.stage = ReplicaStage::Loading;
        replica.pending = Some(PendingLoad { order, since: now });
        log::info!("owner: ordering load of {key} at {}", slot.vm);
        self.send_load(key, &slot.vm, now);
    }

    /// Sends a load order under the slot of `vm`. If the model is already loaded there, the order
    /// makes the slot known to the side process.
    fn send_load(&mut self, key: &OwnerKey, vm: &VmId, now: Instant) {
        let OwnerKey::Model(model) = key else { return };
        let Some(target) = self.targets.get(key) else { return };
        let Some(replica) = target.replicas.get(vm) else { return };
        let (Some(slot), Some(capacity)) = (&replica.slot, &target.capacity) else { return };
        let order = LoadOrder {
            model: model.to_string(),
            fencing: slot.fence.0,
            memory: slot.memory.0,
            incarnation: replica.incarnation.0,
            worth: capacity.worth(&self.prior, now).0,
        };
        let (key, vm, address) = (key.clone(), vm.clone(), replica.address);
        let context = self.context.clone();
        tokio::spawn(async move {
            let handle = context.peers.link(address).await.ok();
            let is_sent = match handle {
                Some(handle) => handle.sender.send(Message::LoadOrder(order)).await.is_ok(),
                None => false,
            };
            if !is_sent {
                let _ =
                    context.events.send(OwnerEvent::SideConnection { key, vm, peer: None }).await;
            }
        });
    }

    /// Unloads an idle replica in excess of the desired number; the slot stays held.
    fn unload_surplus(&mut self, key: &OwnerKey, desired: u32, now: Instant) {
        let OwnerKey::Model(model) = key else { return };
        let Some(target) = self.targets.get_mut(key) else { return };
        let Some(capacity) = &target.capacity else { return };
        if capacity.scheduler.loaded_count() <= desired || !capacity.may_unload(now) {
            return;
        }
        let Some(vm) = target.idle_replica() else { return };
        let Some(replica) = target.replicas.get_mut(&vm) else { return };
        let Some(slot) = &replica.slot else { return };
        let order = UnloadOrder {
            model: model.to_string(),
            fencing: slot.fence.0,
            is_release: false,
            incarnation: replica.incarnation.0,
        };
        replica.stage = ReplicaStage::Unloading;
        let address = replica.address;
        target.update_allocator(now);
        log::info!(
            "owner: unloading {key} at {vm}: more than the desired {desired} replicas are loaded"
        );
        self.send(address, Message::UnloadOrder(order));
        self.step_scheduler(key, SchedulerEvent::NotLoaded(vm), now);
    }

    /// Applies a report of the side process `peer` to the model's replica on its VM.
    pub(super) fn apply_model_report(
        &mut self,
        key: &OwnerKey,
        peer: &PeerIdentity,
        report: &BackendReport,
        now: Instant,
    ) {
        let OwnerKey::Model(model) = key else { return };
        let held = report.models.iter().find(|held| held.model == model.as_str());
        let is_loaded = held.is_some_and(|held| held.is_loaded);
        let Some(target) = self.targets.get_mut(key) else { return };
        let Some(replica) = target.replicas.get_mut(&peer.vm) else { return };
        replica.tier = cache_tier(report, model);
        replica.free_memory = ByteSize(report.memory).minus(ByteSize(report.reserved));
        let stage = replica.stage;
        let is_order_lost = held.is_none()
            && replica.pending.is_some_and(|pending| now >= pending.since + ORDER_GRACE);
        if let Some(capacity) = target.capacity.as_mut() {
            capacity.record_batch(report.concurrency);
        }
        self.update_load_slots(key, now);
        if stage == ReplicaStage::Cold && !is_loaded {
            self.clear_unsettled(key, &peer.vm);
        }
        match stage {
            ReplicaStage::Cold if is_loaded => {
                self.step_scheduler(key, SchedulerEvent::Loaded(peer.vm.clone()), now);
                self.send_load(key, &peer.vm, now);
            }
            ReplicaStage::Ready if !is_loaded => {
                self.set_stage(key, &peer.vm, ReplicaStage::Cold);
                self.step_scheduler(key, SchedulerEvent::NotLoaded(peer.vm.clone()), now);
            }
            ReplicaStage::Loading if is_order_lost => {
                let reason = DenyReason::NotReady;
                self.handle_load_denial(key, &peer.vm, reason, now);
            }
            _ => {}
        }
    }

    /// Orders an unload under the slot's current fencing number if load orders of earlier side
    /// processes may still be in flight. An engine that checks fencing then refuses those orders.
    fn clear_unsettled(&mut self, key: &OwnerKey, vm: &VmId) {
        let OwnerKey::Model(model) = key else { return };
        let target = self.targets.get_mut(key);
        let Some(replica) = target.and_then(|target| target.replicas.get_mut(vm)) else { return };
        let Some(slot) = &replica.slot else { return };
        let is_due =
            slot.is_held() && slot.unsettled > 0 && replica.cleared_fence != Some(slot.fence);
        if !is_due || slot.holder.process != replica.incarnation {
            return;
        }
        replica.cleared_fence = Some(slot.fence);
        let order = UnloadOrder {
            model: model.to_string(),
            fencing: slot.fence.0,
            is_release: false,
            incarnation: replica.incarnation.0,
        };
        let address = replica.address;
        self.send(address, Message::UnloadOrder(order));
    }

    fn handle_load_denial(&mut self, key: &OwnerKey, vm: &VmId, reason: DenyReason, now: Instant) {
        let target = self.targets.get_mut(key);
        let Some(replica) = target.and_then(|target| target.replicas.get_mut(vm)) else { return };
        let Some(pending) = replica.pending.take() else { return };
        log::warn!("owner: load of {key} at {vm} failed: {reason}");
        replica.stage = ReplicaStage::Cold;
        self.step_scheduler(key, SchedulerEvent::Denied(pending.order, reason), now);
    }

    /// Applies the outcome of a load or unload order.
    pub(super) fn apply_outcome(
        &mut self,
        peer: &PeerIdentity,
        outcome: &OrderOutcome,
        now: Instant,
    ) {
        let Ok(model) = outcome.model.parse::<ModelId>() else { return };
        let key = OwnerKey::Model(model);
        let target = self.targets.get_mut(&key);
        let Some(replica) = target.and_then(|target| target.replicas.get_mut(&peer.vm)) else {
            return;
        };
        if replica.incarnation != peer.incarnation {
            return;
        }
        match outcome.is_load {
            true => self.handle_load_outcome(&key, &peer.vm, outcome, now),
            false => self.handle_unload_outcome(&key, peer, outcome, now),
        }
        self.advance_target(&key, now);
    }

    fn handle_load_outcome(
        &mut self,
        key: &OwnerKey,
        vm: &VmId,
        outcome: &OrderOutcome,
        now: Instant,
    ) {
        if !outcome.is_loaded {
            return self.handle_load_denial(key, vm, deny_reason(outcome.code), now);
        }
        let target = self.targets.get_mut(key);
        let Some(replica) = target.and_then(|target| target.replicas.get_mut(vm)) else { return };
        let Some(pending) = replica.pending.take() else { return };
        if let Some(capacity) = self.capacity_mut(key) {
            capacity.record_load_time(now.saturating_duration_since(pending.since));
        }
        self.step_scheduler(key, SchedulerEvent::Confirmed(pending.order), now);
    }

    fn handle_unload_outcome(
        &mut self,
        key: &OwnerKey,
        peer: &PeerIdentity,
        outcome: &OrderOutcome,
        now: Instant,
    ) {
        let OwnerKey::Model(model) = key else { return };
        let target = self.targets.get_mut(key);
        let Some(replica) = target.and_then(|target| target.replicas.get_mut(&peer.vm)) else {
            return;
        };
        if replica.stage == ReplicaStage::Unloading {
            replica.stage = ReplicaStage::Cold;
        }
        let state = replica.slot.as_ref().map(|slot| slot.state);
        let is_released = matches!(state, Some(SlotState::Releasing(_)));
        let is_done = outcome.code == ResultCode::Success.number();
        if is_released && is_done {
            let holder = SlotHolder { vm: peer.vm.clone(), process: peer.incarnation };
            let fence = FencingNumber(outcome.fencing);
            self.step_placement(model, PlacementEvent::Unloaded(holder, fence), now);
        }
    }

    pub(super) fn send(&self, address: SocketAddr, message: Message) {
        let peers = self.context.peers.clone();
        tokio::spawn(async move {
            if let Ok(handle) = peers.link(address).await {
                let _ = handle.sender.send(message).await;
            }
        });
    }
}

fn cache_tier(report: &BackendReport, model: &ModelId) -> CacheTier {
    let cached = report.cached.iter().find(|cached| cached.model == model.as_str());
    match cached {
        Some(cached) if cached.is_in_memory => CacheTier::Memory,
        Some(_) => CacheTier::Disk,
        None => CacheTier::Remote,
    }
}

fn deny_reason(code: u32) -> DenyReason {
    match ResultCode::from_number(code) {
        Some(ResultCode::LoadFailed) => DenyReason::LoadFailed,
        Some(ResultCode::ProcessStopping) => DenyReason::Draining,
        Some(ResultCode::QueueFull) => DenyReason::QueueFull,
        _ => DenyReason::InsufficientMemory,
    }
}
