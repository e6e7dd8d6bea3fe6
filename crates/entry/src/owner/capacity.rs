//! What an owner decides for the replicas of one model.

use std::collections::BTreeMap;

use base::prelude::*;
use lists::ModelEntry;
use loading::{
    GapHistogram, KeepWarm, KeepWorth, LoadCost, LoadScheduler, ModelDemand, OrderId,
    ReplicaScaler, ReplicaSpeed, WarmPrices, WarmRequest, desired_replicas,
};
use placement::{PlacementEdit, PlacementOwner, SlotHolder};

/// Time between ticks of the placement: releases are ordered again and VMs are looked for.
const PLACEMENT_TICK_INTERVAL: Duration = Duration::from_secs(2);

/// Pause before a VM that could not be reached is tried again.
const CONTACT_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Time of a load until one was measured.
const ASSUMED_LOAD_TIME: Duration = Duration::from_secs(5);

/// Time of a request until one was measured.
const ASSUMED_SERVICE_TIME: Duration = Duration::from_secs(1);

/// Requests that a replica runs together until one reported.
const ASSUMED_BATCH: u32 = 4;

/// Parts of a measured time that come from earlier measurements, out of the sum of both.
const AVERAGE_OLD_WEIGHT: u32 = 7;

/// The capacity of one model.
#[derive(Debug)]
pub struct ModelCapacity {
    /// Slots in the platform's store.
    pub placement: PlacementOwner,
    /// Loads under standing slots.
    pub scheduler: LoadScheduler,
    keep_warm: KeepWarm,
    scaler: ReplicaScaler,
    desired: u32,
    is_kept_warm: bool,
    last_tick: Option<Instant>,
    contacts: BTreeMap<VmId, Option<Instant>>,
}

impl ModelCapacity {
    /// Nothing is known yet; edits are made in the name of `process`.
    pub fn new(model: ModelId, process: ProcessIncarnation, now: Instant) -> Self {
        let cost = LoadCost { load_time: ASSUMED_LOAD_TIME, accelerators: 1.0 };
        let speed = ReplicaSpeed {
            batch: ASSUMED_BATCH,
            service_time: ASSUMED_SERVICE_TIME,
            load_time: ASSUMED_LOAD_TIME,
        };
        Self {
            placement: PlacementOwner::new(model, process),
            scheduler: LoadScheduler::new(OrderId(1)),
            keep_warm: KeepWarm::new(WarmPrices::default(), cost, now),
            scaler: ReplicaScaler::new(speed),
            desired: 0,
            is_kept_warm: false,
            last_tick: None,
            contacts: BTreeMap::new(),
        }
    }

    /// Replicas wanted for this demand.
    pub fn update_desired(
        &mut self,
        demand: ModelDemand,
        prior: &mut GapHistogram,
        now: Instant,
    ) -> u32 {
        self.keep_warm.observe(demand != ModelDemand::default(), prior, now);
        let replicas = self.scheduler.loaded_count() + self.scheduler.loading_count();
        let target = self.scaler.target(demand, replicas, now);
        self.is_kept_warm = self.keep_warm.warm_request(now) == WarmRequest::Loaded;
        self.desired = desired_replicas(target, demand, self.is_kept_warm);
        self.desired
    }

    /// Replicas wanted when last asked.
    pub fn desired(&self) -> u32 {
        self.desired
    }

    /// Whether the model is wanted though no request is there.
    pub fn is_kept_warm(&self) -> bool {
        self.is_kept_warm
    }

    /// Worth of a replica for the order of evictions.
    pub fn worth(&self, prior: &GapHistogram, now: Instant) -> KeepWorth {
        self.keep_warm.worth(prior, now)
    }

    /// Takes a measured load into account.
    pub fn record_load_time(&mut self, time: Duration) {
        self.keep_warm.record_load_time(time);
        let mut speed = self.scaler.speed();
        speed.load_time = moving_average(speed.load_time, time);
        self.scaler.set_speed(speed);
    }

    /// Takes a measured request into account.
    pub fn record_service_time(&mut self, time: Duration) {
        let mut speed = self.scaler.speed();
        speed.service_time = moving_average(speed.service_time, time);
        self.scaler.set_speed(speed);
    }

    /// Takes a reported concurrency into account.
    pub fn record_batch(&mut self, batch: u32) {
        let mut speed = self.scaler.speed();
        speed.batch = batch.max(1);
        self.scaler.set_speed(speed);
    }

    /// Whether the placement is due for a tick.
    pub fn take_tick(&mut self, now: Instant) -> bool {
        let is_due =
            self.last_tick.is_none_or(|last_tick| now >= last_tick + PLACEMENT_TICK_INTERVAL);
        if is_due {
            self.last_tick = Some(now);
        }
        is_due
    }

    /// Whether the decided count differs from the lists.
    pub fn resize_edit(&self, entry: &ModelEntry, list: ListVersion) -> Option<PlacementEdit> {
        let desired = self.placement.object().map_or(0, |object| object.wanted);
        let is_due = self.placement.is_current() && desired != entry.replicas.0;
        is_due.then_some(PlacementEdit::Resize { to: entry.replicas.0, list })
    }

    /// Slots whose recorded memory is smaller than the model's.
    pub fn enlarge_edits(&self, memory: ByteSize) -> Vec<PlacementEdit> {
        let small = self.placement.held_slots().filter(|slot| slot.memory < memory);
        small.map(|slot| PlacementEdit::Grant(slot.holder.clone(), memory)).collect()
    }

    /// The VMs among `ranked` that are to get the free slots.
    pub fn take_candidates(&mut self, ranked: &[VmId], now: Instant) -> Vec<VmId> {
        let Some(object) = self.placement.object().filter(|_| self.placement.is_current()) else {
            return Vec::new();
        };
        self.contacts.retain(|_, until| until.is_none_or(|until| now < until));
        let in_progress = self.contacts.values().filter(|until| until.is_none()).count();
        let free = (object.wanted as usize).saturating_sub(object.slots.len());
        let due: Vec<VmId> = ranked
            .iter()
            .filter(|vm| object.slot(vm).is_none() && !self.contacts.contains_key(*vm))
            .take(free.saturating_sub(in_progress))
            .cloned()
            .collect();
        self.contacts.extend(due.iter().map(|vm| (vm.clone(), None)));
        due
    }

    /// A VM was reached or not; returns the edit that gives it a slot.
    pub fn finish_contact(
        &mut self,
        vm: VmId,
        process: Option<ProcessIncarnation>,
        memory: ByteSize,
        now: Instant,
    ) -> Option<PlacementEdit> {
        match process {
            Some(process) => {
                self.contacts.remove(&vm);
                Some(PlacementEdit::Grant(SlotHolder { vm, process }, memory))
            }
            None => {
                self.contacts.insert(vm, Some(now + CONTACT_RETRY_DELAY));
                None
            }
        }
    }
}

fn moving_average(old: Duration, new: Duration) -> Duration {
    (old * AVERAGE_OLD_WEIGHT + new) / (AVERAGE_OLD_WEIGHT + 1)
}
