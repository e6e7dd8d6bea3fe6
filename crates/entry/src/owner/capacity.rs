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
const PLACEMENT_TICK: Duration = Duration::from_secs(2);

/// Pause before a VM that could not be reached is tried again.
const REACH_PAUSE: Duration = Duration::from_secs(1);

/// Time of a load until one was measured.
const FIRST_LOAD_TIME: Duration = Duration::from_secs(5);

/// Time of a request until one was measured.
const FIRST_SERVICE_TIME: Duration = Duration::from_secs(1);

/// Requests that a replica runs together until one reported.
const FIRST_BATCH: u32 = 4;

/// Parts of a measured time that come from earlier measurements, out of the sum of both.
const OLD_PARTS: u32 = 7;

/// The capacity of one model.
#[derive(Debug)]
pub struct ModelCapacity {
    /// Slots in the platform's store.
    pub placement: PlacementOwner,
    /// Loads under standing slots.
    pub flight: LoadScheduler,
    warm: KeepWarm,
    scale: ReplicaScaler,
    wanted: u32,
    is_kept: bool,
    ticked: Option<Instant>,
    reaching: BTreeMap<VmId, Option<Instant>>,
}

impl ModelCapacity {
    /// Nothing is known yet; edits are made in the name of `process`.
    pub fn new(model: ModelId, process: ProcessIncarnation, now: Instant) -> Self {
        let cost = LoadCost { load_time: FIRST_LOAD_TIME, accelerators: 1.0 };
        let speed = ReplicaSpeed {
            batch: FIRST_BATCH,
            service_time: FIRST_SERVICE_TIME,
            load_time: FIRST_LOAD_TIME,
        };
        Self {
            placement: PlacementOwner::new(model, process),
            flight: LoadScheduler::new(OrderId(1)),
            warm: KeepWarm::new(WarmPrices::default(), cost, now),
            scale: ReplicaScaler::new(speed),
            wanted: 0,
            is_kept: false,
            ticked: None,
            reaching: BTreeMap::new(),
        }
    }

    /// Replicas wanted for this demand.
    pub fn want(&mut self, demand: ModelDemand, prior: &mut GapHistogram, now: Instant) -> u32 {
        self.warm.observe(demand != ModelDemand::default(), prior, now);
        let replicas = self.flight.loaded_count() + self.flight.loading_count();
        let target = self.scale.target(demand, replicas, now);
        self.is_kept = self.warm.warm_request(now) == WarmRequest::Loaded;
        self.wanted = desired_replicas(target, demand, self.is_kept);
        self.wanted
    }

    /// Replicas wanted when last asked.
    pub fn wanted(&self) -> u32 {
        self.wanted
    }

    /// Whether the model is wanted though no request is there.
    pub fn is_kept(&self) -> bool {
        self.is_kept
    }

    /// Worth of a replica for the order of evictions.
    pub fn worth(&self, prior: &GapHistogram, now: Instant) -> KeepWorth {
        self.warm.worth(prior, now)
    }

    /// Takes a measured load into account.
    pub fn note_load(&mut self, time: Duration) {
        self.warm.record_load_time(time);
        let mut speed = self.scale.speed();
        speed.load_time = mix(speed.load_time, time);
        self.scale.set_speed(speed);
    }

    /// Takes a measured request into account.
    pub fn note_service(&mut self, time: Duration) {
        let mut speed = self.scale.speed();
        speed.service_time = mix(speed.service_time, time);
        self.scale.set_speed(speed);
    }

    /// Takes a reported concurrency into account.
    pub fn note_batch(&mut self, batch: u32) {
        let mut speed = self.scale.speed();
        speed.batch = batch.max(1);
        self.scale.set_speed(speed);
    }

    /// Whether the placement is due for a tick.
    pub fn take_tick(&mut self, now: Instant) -> bool {
        let is_due = self.ticked.is_none_or(|ticked| now >= ticked + PLACEMENT_TICK);
        if is_due {
            self.ticked = Some(now);
        }
        is_due
    }

    /// Whether the decided count differs from the lists.
    pub fn resize_due(&self, entry: &ModelEntry, list: ListVersion) -> Option<PlacementEdit> {
        let wanted = self.placement.object().map_or(0, |object| object.wanted);
        let is_due = self.placement.is_current() && wanted != entry.replicas.0;
        is_due.then_some(PlacementEdit::Resize { to: entry.replicas.0, list })
    }

    /// Slots whose recorded memory is smaller than the model's.
    pub fn enlarge_due(&self, memory: ByteSize) -> Vec<PlacementEdit> {
        let small = self.placement.held_slots().filter(|slot| slot.memory < memory);
        small.map(|slot| PlacementEdit::Grant(slot.holder.clone(), memory)).collect()
    }

    /// The VMs among `ranked` that are to get the free slots.
    pub fn reach_due(&mut self, ranked: &[VmId], now: Instant) -> Vec<VmId> {
        let Some(object) = self.placement.object().filter(|_| self.placement.is_current()) else {
            return Vec::new();
        };
        self.reaching.retain(|_, until| until.is_none_or(|until| now < until));
        let under_way = self.reaching.values().filter(|until| until.is_none()).count();
        let free = (object.wanted as usize).saturating_sub(object.slots.len());
        let due: Vec<VmId> = ranked
            .iter()
            .filter(|vm| object.slot(vm).is_none() && !self.reaching.contains_key(*vm))
            .take(free.saturating_sub(under_way))
            .cloned()
            .collect();
        self.reaching.extend(due.iter().map(|vm| (vm.clone(), None)));
        due
    }

    /// A VM was reached or not; returns the edit that gives it a slot.
    pub fn reached(
        &mut self,
        vm: VmId,
        process: Option<ProcessIncarnation>,
        memory: ByteSize,
        now: Instant,
    ) -> Option<PlacementEdit> {
        match process {
            Some(process) => {
                self.reaching.remove(&vm);
                Some(PlacementEdit::Grant(SlotHolder { vm, process }, memory))
            }
            None => {
                self.reaching.insert(vm, Some(now + REACH_PAUSE));
                None
            }
        }
    }
}

fn mix(old: Duration, new: Duration) -> Duration {
    (old * OLD_PARTS + new) / (OLD_PARTS + 1)
}
