//! Placement, loads and desired number of replicas of one model.

use std::collections::BTreeMap;

use base::prelude::*;
use lists::ModelEntry;
use loading::{
    GapHistogram, KeepWarm, KeepWorth, LoadCost, LoadScheduler, ModelDemand, OrderId,
    ReplicaScaler, ReplicaSpeed, WarmPrices, WarmRequest, desired_replicas,
};
use placement::{PlacementEdit, PlacementOwner, SlotHolder};

/// Time between ticks of the placement, which retry release orders and calls to the store, and
/// request the VM list.
const PLACEMENT_TICK_INTERVAL: Duration = Duration::from_secs(2);

/// Delay before contacting a candidate VM again that could not be reached.
const CONTACT_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Load time assumed until one is measured.
const ASSUMED_LOAD_TIME: Duration = Duration::from_secs(5);

/// Service time of a request assumed until one is measured.
const ASSUMED_SERVICE_TIME: Duration = Duration::from_secs(1);

/// Concurrent requests per replica assumed until a replica reports.
const ASSUMED_BATCH: u32 = 4;

/// Weight of the old value in the moving average of times; a new measurement has weight 1.
const AVERAGE_OLD_WEIGHT: u32 = 7;

/// Capacity planning of one model.
#[derive(Debug)]
pub struct ModelCapacity {
    /// State machine of the slots in the platform's store.
    pub placement: PlacementOwner,
    /// Scheduler of loads into held slots.
    pub scheduler: LoadScheduler,
    keep_warm: KeepWarm,
    scaler: ReplicaScaler,
    desired: u32,
    is_kept_warm: bool,
    last_tick: Option<Instant>,
    /// Candidate VMs: `None` while connecting, else the time until which they are not retried.
    contacts: BTreeMap<VmId, Option<Instant>>,
}

impl ModelCapacity {
    /// Creates the state without any slots; edits are made in the name of `process`.
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

    /// Updates the desired number of replicas for this demand and returns it.
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

    /// Desired number of replicas as last updated.
    pub fn desired(&self) -> u32 {
        self.desired
    }

    /// Whether the model is kept loaded without demand because a request is expected soon.
    pub fn is_kept_warm(&self) -> bool {
        self.is_kept_warm
    }

    /// Whether replicas beyond the desired number may be unloaded; not while the demand is unknown.
    pub fn may_unload(&self, now: Instant) -> bool {
        self.keep_warm.may_unload(now)
    }

    /// Worth of a replica, by which side processes order evictions.
    pub fn worth(&self, prior: &GapHistogram, now: Instant) -> KeepWorth {
        self.keep_warm.worth(prior, now)
    }

    /// Adds a measured load time to the averages.
    pub fn record_load_time(&mut self, time: Duration) {
        self.keep_warm.record_load_time(time);
        let mut speed = self.scaler.speed();
        speed.load_time = moving_average(speed.load_time, time);
        self.scaler.set_speed(speed);
    }

    /// Adds the measured service time of a request to the average.
    pub fn record_service_time(&mut self, time: Duration) {
        let mut speed = self.scaler.speed();
        speed.service_time = moving_average(speed.service_time, time);
        self.scaler.set_speed(speed);
    }

    /// Sets the concurrent requests per replica, as reported by a side process.
    pub fn record_batch(&mut self, batch: u32) {
        let mut speed = self.scaler.speed();
        speed.batch = batch.max(1);
        self.scaler.set_speed(speed);
    }

    /// Whether a placement tick is due; if so, starts the next interval.
    pub fn take_tick(&mut self, now: Instant) -> bool {
        let is_due =
            self.last_tick.is_none_or(|last_tick| now >= last_tick + PLACEMENT_TICK_INTERVAL);
        if is_due {
            self.last_tick = Some(now);
        }
        is_due
    }

    /// The edit that sets the number of slots to the number of replicas in the lists, if they
    /// differ.
    pub fn resize_edit(&self, entry: &ModelEntry, list: ListVersion) -> Option<PlacementEdit> {
        let recorded = self.placement.object().map_or(0, |object| object.wanted);
        let is_due = self.placement.is_current() && recorded != entry.replicas.0;
        is_due.then_some(PlacementEdit::Resize { to: entry.replicas.0, list })
    }

    /// Edits that enlarge the slots whose recorded memory is smaller than the model's.
    pub fn enlarge_edits(&self, memory: ByteSize) -> Vec<PlacementEdit> {
        let small = self.placement.held_slots().filter(|slot| slot.memory < memory);
        small.map(|slot| PlacementEdit::Grant(slot.holder.clone(), memory)).collect()
    }

    /// Takes the first VMs of `ranked` to contact for the free slots, skipping those that have a
    /// slot, are being contacted or wait for a retry.
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

    /// Records whether a candidate VM was reached (`process` is `None` if not); if it was, returns
    /// the edit that grants it a slot.
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
