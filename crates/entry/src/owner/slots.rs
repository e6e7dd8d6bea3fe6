//! Placement of models: drives the placement state machines and executes their actions.

use std::sync::Arc;

use base::prelude::*;
use lists::{ListSet, ModelEntry};
use loading::{CacheTier, LoadCandidate, SchedulerEvent};
use object_api::VmState;
use placement::{
    OwnerAction as PlacementAction, OwnerEvent as PlacementEvent, OwnerReport, PlacementEdit,
    PlacementSlot, SlotHolder, driver,
};
use routing::rendezvous::{OwnerCount, OwnerKey, OwnerRanking};
use wire::{Message, PeerIdentity, load::UnloadOrder};

use super::{
    OwnerEvent, OwnerTask,
    capacity::ModelCapacity,
    target::{Replica, ReplicaStage, TargetState},
};

impl OwnerTask {
    /// Adopts the models that rendezvous hashing assigns to this process.
    pub(super) fn adopt_models(&mut self, lists: &ListSet, now: Instant) {
        let fleet = Arc::clone(&self.context.fleet.borrow());
        let entries = fleet.entries();
        for entry in lists.models() {
            let key = OwnerKey::Model(entry.id.clone());
            let ranking = OwnerRanking::new(&key, &entries, OwnerCount(1));
            if ranking.owners().first() == Some(&self.context.identity.vm) {
                self.targets.entry(key).or_insert_with(TargetState::new);
                self.update_placement(entry, lists.version(), now);
            }
        }
    }

    /// Updates the slots of a model to match the lists and the fleet.
    pub(super) fn update_placement(&mut self, entry: &ModelEntry, list: ListVersion, now: Instant) {
        let key = OwnerKey::Model(entry.id.clone());
        let process = self.context.identity.incarnation;
        let Some(target) = self.targets.get_mut(&key) else { return };
        let capacity = target
            .capacity
            .get_or_insert_with(|| ModelCapacity::new(entry.id.clone(), process, now));
        if capacity.take_tick(now) {
            self.step_placement(&entry.id, PlacementEvent::Tick, now);
        }
        self.request_edits(entry, list, now);
        self.contact_candidates(entry, now);
    }

    fn request_edits(&mut self, entry: &ModelEntry, list: ListVersion, now: Instant) {
        let key = OwnerKey::Model(entry.id.clone());
        let fleet = Arc::clone(&self.context.fleet.borrow());
        let Some(capacity) = self.capacity_mut(&key) else { return };
        let mut edits = capacity.enlarge_edits(entry.memory);
        edits.extend(capacity.resize_edit(entry, list));
        let is_leaving = |slot: &&PlacementSlot| {
            fleet.vm(&slot.holder.vm).is_some_and(|vm| vm.state == VmState::Leaving)
        };
        let leaving = capacity.placement.held_slots().filter(is_leaving);
        edits.extend(leaving.map(|slot| PlacementEdit::Release(slot.holder.vm.clone())));
        for edit in edits {
            self.step_placement(&entry.id, PlacementEvent::EditRequested(edit), now);
        }
    }

    fn contact_candidates(&mut self, entry: &ModelEntry, now: Instant) {
        let key = OwnerKey::Model(entry.id.clone());
        let fleet = Arc::clone(&self.context.fleet.borrow());
        let vms: Vec<VmId> = fleet.backends(&entry.service).map(|vm| vm.id.clone()).collect();
        let ranking = OwnerRanking::new(&key, &vms, OwnerCount(vms.len().max(1)));
        let Some(capacity) = self.capacity_mut(&key) else { return };
        for vm in capacity.take_candidates(ranking.owners(), now) {
            let Some(address) = fleet.address(&vm) else { continue };
            let (context, model) = (self.context.clone(), entry.id.clone());
            tokio::spawn(async move {
                let peer = context.peers.link(address).await.ok().map(|handle| handle.peer);
                let _ =
                    context.events.send(OwnerEvent::CandidateConnection { model, vm, peer }).await;
            });
        }
    }

    pub(super) fn record_candidate(
        &mut self,
        model: &ModelId,
        vm: VmId,
        peer: Option<&PeerIdentity>,
        now: Instant,
    ) {
        let memory = self.model_memory(model);
        let Some(capacity) = self.capacity_mut(&OwnerKey::Model(model.clone())) else { return };
        let process = peer.filter(|peer| peer.vm == vm).map(|peer| peer.incarnation);
        if let Some(edit) = capacity.finish_contact(vm, process, memory, now) {
            self.step_placement(model, PlacementEvent::EditRequested(edit), now);
        }
    }

    /// Reports to the placement which process runs on a VM that may hold a slot.
    pub(super) fn report_holder(&mut self, model: &ModelId, peer: &PeerIdentity, now: Instant) {
        let holder = SlotHolder { vm: peer.vm.clone(), process: peer.incarnation };
        self.step_placement(model, PlacementEvent::HolderSeen(holder), now);
    }

    /// Passes one event to the placement of a model and executes the resulting actions.
    pub(super) fn step_placement(&mut self, model: &ModelId, event: PlacementEvent, now: Instant) {
        let key = OwnerKey::Model(model.clone());
        let Some(capacity) = self.capacity_mut(&key) else { return };
        for action in capacity.placement.step(event, now) {
            match action {
                PlacementAction::OrderRelease(holder, fence) => {
                    self.order_release(model, &holder, fence);
                }
                PlacementAction::Report(edit, report) => log_report(model, &edit, report),
                call => self.call_platform(model, call),
            }
        }
        self.apply_slots(&key, now);
    }

    fn call_platform(&self, model: &ModelId, action: PlacementAction) {
        let (store, vms) = (Arc::clone(&self.store), Arc::clone(&self.vms));
        let (events, model) = (self.context.events.clone(), model.clone());
        tokio::spawn(async move {
            let event = driver::perform(store.as_ref(), vms.as_ref(), &model, &action).await;
            if let Some(event) = event {
                let _ = events.send(OwnerEvent::Placement { model, event }).await;
            }
        });
    }

    fn order_release(&self, model: &ModelId, holder: &SlotHolder, fence: FencingNumber) {
        let address = self.context.fleet.borrow().address(&holder.vm);
        let Some(address) = address else { return };
        let order = UnloadOrder {
            model: model.to_string(),
            fencing: fence.0,
            is_release: true,
            incarnation: holder.process.0,
        };
        self.send(address, Message::UnloadOrder(order));
    }

    /// Updates the replicas from the slots of the placement object.
    fn apply_slots(&mut self, key: &OwnerKey, now: Instant) {
        let fleet = Arc::clone(&self.context.fleet.borrow());
        let Some(target) = self.targets.get_mut(key) else { return };
        let object = target.capacity.as_ref().and_then(|capacity| capacity.placement.object());
        let Some(object) = object.cloned() else { return };
        target.decided = object.decided;
        target.retain_replicas(|vm| object.slot(vm).is_some(), now);
        for slot in object.slots {
            let Some(vm) = fleet.vm(&slot.holder.vm) else { continue };
            let new = || Replica::new(vm.address, vm.zone.clone());
            target.replicas.entry(vm.id.clone()).or_insert_with(new).slot = Some(slot);
        }
        self.connect_replicas(key);
        self.update_load_slots(key, now);
    }

    /// Reports to the load scheduler which slots can be used now.
    pub(super) fn update_load_slots(&mut self, key: &OwnerKey, now: Instant) {
        let Some(target) = self.targets.get_mut(key) else { return };
        let candidates =
            target.replicas.iter().filter_map(|(vm, replica)| load_candidate(vm, replica));
        let event = SchedulerEvent::Slots(candidates.collect());
        self.step_scheduler(key, event, now);
    }

    fn model_memory(&self, model: &ModelId) -> ByteSize {
        let lists = self.context.lists.borrow();
        let entry = lists.as_ref().and_then(|lists| lists.model(model));
        entry.map(|entry| entry.memory).unwrap_or_default()
    }

    pub(super) fn capacity_mut(&mut self, key: &OwnerKey) -> Option<&mut ModelCapacity> {
        self.targets.get_mut(key)?.capacity.as_mut()
    }
}

/// The replica as a load candidate, if it is reachable, not draining, and its side process holds
/// the slot.
fn load_candidate(vm: &VmId, replica: &Replica) -> Option<LoadCandidate> {
    let slot = replica.slot.as_ref()?;
    let is_reached = !matches!(
        replica.stage,
        ReplicaStage::Disconnected | ReplicaStage::Connecting | ReplicaStage::Failed { .. }
    );
    let is_usable = slot.is_held() && slot.holder.process == replica.incarnation;
    (is_reached && is_usable && !replica.is_draining).then(|| LoadCandidate {
        vm: vm.clone(),
        holder: slot.holder.process,
        fence: slot.fence,
        tier: replica.tier,
        has_free_memory: replica.free_memory >= slot.memory,
        loads_in_progress: u32::from(replica.stage == ReplicaStage::Loading),
    })
}

fn log_report(model: &ModelId, edit: &PlacementEdit, report: OwnerReport) {
    match report {
        OwnerReport::Applied => log::info!("placement: {model}: {edit}"),
        OwnerReport::Refused(why) => log::info!("placement: {model}: {edit}: refused, {why}"),
        OwnerReport::QueueFull => log::warn!("placement: {model}: {edit}: dropped, queue is full"),
    }
}

/// Free memory assumed for a backend server before its first report.
pub(super) const ASSUMED_FREE_MEMORY: ByteSize = ByteSize(0);

/// Checkpoint tier assumed before the first report.
pub(super) const ASSUMED_TIER: CacheTier = CacheTier::Remote;
