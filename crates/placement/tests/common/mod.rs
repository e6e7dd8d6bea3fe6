//! Simulation of several owners and side processes of one model around a small store. Messages
//! are delivered late and in random order.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};

use base::prelude::*;
use bytes::Bytes;
use loading::SlotTable;
use object_api::{ObjectVersion, StoreError, StoredObject, WriteCondition};
use placement::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const OWNERS: usize = 3;
pub const VMS: u64 = 6;

/// Invariant that a history violates.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Violation {
    TooManySlots,
    TooManyLoaded,
    CountReverted,
}

/// Faults that a history injects.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    LostAnswer,
    LateWrite,
    StoreDown,
    SideRestarted,
    VmRemoved,
    ListLate,
    OwnerRestarted,
    OwnerPaused,
    MessageLost,
}

impl Fault {
    pub const ALL: [Fault; 9] = [
        Fault::LostAnswer,
        Fault::LateWrite,
        Fault::StoreDown,
        Fault::SideRestarted,
        Fault::VmRemoved,
        Fault::ListLate,
        Fault::OwnerRestarted,
        Fault::OwnerPaused,
        Fault::MessageLost,
    ];
}

#[derive(Debug, Clone)]
enum Message {
    ToOwner(usize, u64, OwnerEvent),
    ToStore(usize, u64, Bytes, WriteCondition),
    LoadAt(SlotHolder, FencingNumber),
    ReleaseAt(usize, u64, SlotHolder, FencingNumber),
}

#[derive(Debug)]
struct TestOwner {
    owner: PlacementOwner,
    incarnation: u64,
    paused_deliveries: u32,
}

#[derive(Debug)]
struct TestSide {
    process: ProcessIncarnation,
    slot_table: SlotTable,
    is_loaded: bool,
    is_removed: bool,
}

pub struct PlacementSimulation {
    rng: ChaCha8Rng,
    now: Instant,
    faults: Vec<Fault>,
    checks: PlacementChecks,
    owners: Vec<TestOwner>,
    sides: BTreeMap<VmId, TestSide>,
    listed: BTreeSet<VmId>,
    stored: Option<StoredObject>,
    is_down: bool,
    messages: Vec<Message>,
    last_process: u64,
    next_vm: u64,
    /// Wanted counts, by version of the lists.
    counts: Vec<u32>,
    pub writes: u64,
    pub violations: Vec<Violation>,
    pub max_loaded: usize,
}

pub fn model() -> ModelId {
    ModelId::new("model").unwrap()
}

pub fn vm(number: u64) -> VmId {
    VmId::new(format!("vm-{number}")).unwrap()
}

impl PlacementSimulation {
    pub fn new(faults: &[Fault], checks: PlacementChecks, seed: u64) -> Self {
        let mut simulation = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Instant::now(),
            faults: faults.to_vec(),
            checks,
            owners: Vec::new(),
            sides: BTreeMap::new(),
            listed: BTreeSet::new(),
            stored: None,
            is_down: false,
            messages: Vec::new(),
            last_process: 100,
            next_vm: 0,
            counts: vec![2],
            writes: 0,
            violations: Vec::new(),
            max_loaded: 0,
        };
        (0..OWNERS).for_each(|_| simulation.start_owner());
        (0..VMS).for_each(|_| simulation.start_vm());
        simulation.listed = simulation.sides.keys().cloned().collect();
        simulation
    }

    pub fn run(&mut self, steps: u32) {
        for _ in 0..steps {
            self.now += Duration::from_millis(self.rng.random_range(1..300));
            self.step();
            self.check_invariants();
        }
    }

    fn step(&mut self) {
        match self.rng.random_range(0..400) {
            0..290 => self.deliver(),
            290..300 => self.tick_owner(),
            300..310 => self.request_grant(),
            310..318 => self.request_release(),
            318..324 => self.request_resize(),
            324..350 => self.order_load(),
            350..362 => self.announce_holder(),
            362..370 => self.publish_list(),
            370..372 if self.has(Fault::SideRestarted) => self.restart_side(),
            372..376 if self.has(Fault::VmRemoved) => self.replace_vm(),
            376..377 if self.has(Fault::OwnerRestarted) => self.restart_owner(),
            377..379 if self.has(Fault::OwnerPaused) => self.pause_owner(),
            379..380 if self.has(Fault::StoreDown) => self.is_down = true,
            380..390 => self.is_down = false,
            390..392 if self.has(Fault::MessageLost) => self.drop_message(),
            _ => {}
        }
    }

    fn has(&self, fault: Fault) -> bool {
        self.faults.contains(&fault)
    }

    fn next_process(&mut self) -> ProcessIncarnation {
        self.last_process += 1;
        ProcessIncarnation(self.last_process)
    }

    fn start_owner(&mut self) {
        let owner = PlacementOwner::with_checks(model(), self.next_process(), self.checks);
        self.owners.push(TestOwner { owner, incarnation: 0, paused_deliveries: 0 });
    }

    fn start_vm(&mut self) {
        let process = self.next_process();
        let slot_table = SlotTable::new(process);
        let side = TestSide { process, slot_table, is_loaded: false, is_removed: false };
        self.sides.insert(vm(self.next_vm), side);
        self.next_vm += 1;
    }

    fn random_owner(&mut self) -> usize {
        self.rng.random_range(0..OWNERS)
    }

    fn random_side(&mut self) -> VmId {
        let live: Vec<VmId> = self.live().map(|(vm, _)| vm.clone()).collect();
        live[self.rng.random_range(0..live.len())].clone()
    }

    fn live(&self) -> impl Iterator<Item = (&VmId, &TestSide)> {
        self.sides.iter().filter(|(_, side)| !side.is_removed)
    }

    fn apply_event(&mut self, index: usize, event: OwnerEvent) {
        let incarnation = self.owners[index].incarnation;
        let actions = self.owners[index].owner.step(event, self.now);
        for action in actions {
            self.perform(index, incarnation, action);
        }
    }

    fn perform(&mut self, index: usize, incarnation: u64, action: OwnerAction) {
        match action {
            OwnerAction::Read => {
                let answer = self.read();
                self.send(Message::ToOwner(index, incarnation, OwnerEvent::ReadAnswered(answer)));
            }
            OwnerAction::Write(body, condition) => {
                self.send(Message::ToStore(index, incarnation, body, condition));
            }
            OwnerAction::ListVms => {
                let event = match self.is_down {
                    true => OwnerEvent::ListFailed,
                    false => OwnerEvent::VmsListed(self.listed.clone()),
                };
                self.send(Message::ToOwner(index, incarnation, event));
            }
            OwnerAction::OrderRelease(holder, fence) => {
                self.send(Message::ReleaseAt(index, incarnation, holder, fence));
            }
            OwnerAction::Report(..) => {}
        }
    }

    fn send(&mut self, message: Message) {
        self.messages.push(message);
    }

    fn read(&self) -> Result<Option<StoredObject>, StoreError> {
        match self.is_down {
            true => Err(StoreError::Unavailable),
            false => Ok(self.stored.clone()),
        }
    }

    fn deliver(&mut self) {
        if self.messages.is_empty() {
            return;
        }
        let message = self.messages.remove(self.rng.random_range(0..self.messages.len()));
        match message {
            Message::ToOwner(index, incarnation, event) => {
                self.deliver_to_owner(index, incarnation, event)
            }
            Message::ToStore(index, incarnation, body, condition) => {
                self.deliver_to_store(index, incarnation, body, condition);
            }
            Message::LoadAt(holder, fence) => self.deliver_load(&holder, fence),
            Message::ReleaseAt(index, incarnation, holder, fence) => {
                self.deliver_release(index, incarnation, holder, fence);
            }
        }
    }

    fn deliver_to_owner(&mut self, index: usize, incarnation: u64, event: OwnerEvent) {
        let owner = &mut self.owners[index];
        if owner.paused_deliveries > 0 {
            owner.paused_deliveries -= 1;
            self.send(Message::ToOwner(index, incarnation, event));
        } else if owner.incarnation == incarnation {
            self.apply_event(index, event);
        }
    }

    fn deliver_to_store(
        &mut self,
        index: usize,
        incarnation: u64,
        body: Bytes,
        condition: WriteCondition,
    ) {
        if self.is_down {
            let answer = OwnerEvent::WriteAnswered(Err(StoreError::Unavailable));
            return self.send(Message::ToOwner(index, incarnation, answer));
        }
        if self.has(Fault::LateWrite) && self.rng.random_bool(0.05) {
            // No owner has this incarnation, so the answer to the late write reaches none.
            self.send(Message::ToStore(index, u64::MAX, body, condition));
            let answer = OwnerEvent::WriteAnswered(Err(StoreError::AnswerLost));
            return self.send(Message::ToOwner(index, incarnation, answer));
        }
        let is_lost = self.has(Fault::LostAnswer) && self.rng.random_bool(0.1);
        let answer = match self.write(body, condition) {
            Ok(_) if is_lost => Err(StoreError::AnswerLost),
            answer => answer,
        };
        self.send(Message::ToOwner(index, incarnation, OwnerEvent::WriteAnswered(answer)));
    }

    fn write(
        &mut self,
        body: Bytes,
        condition: WriteCondition,
    ) -> Result<ObjectVersion, StoreError> {
        let current = self.stored.as_ref().map(|object| object.version);
        let holds = match condition {
            WriteCondition::Absent => current.is_none(),
            WriteCondition::Version(version) => current == Some(version),
        };
        if !holds {
            return Err(StoreError::ConditionFailed);
        }
        self.writes += 1;
        let version = ObjectVersion(current.map_or(1, |version| version.0 + 1));
        self.check_count(&PlacementObject::decode(&model(), &body).unwrap());
        let stored = StoredObject { key: PlacementObject::key(&model()), version, body };
        for index in 0..OWNERS {
            let (incarnation, event) =
                (self.owners[index].incarnation, OwnerEvent::ObjectChanged(stored.clone()));
            self.send(Message::ToOwner(index, incarnation, event));
        }
        self.stored = Some(stored);
        Ok(version)
    }

    /// Checks that a count from newer lists is not replaced by one from older lists.
    fn check_count(&mut self, object: &PlacementObject) {
        if self.object().is_some_and(|before| object.list < before.list) {
            self.violations.push(Violation::CountReverted);
        }
    }

    fn deliver_load(&mut self, holder: &SlotHolder, fence: FencingNumber) {
        let Some(side) = self.sides.get_mut(&holder.vm).filter(|side| !side.is_removed) else {
            return;
        };
        if side.slot_table.accept(&model(), holder.process, fence).is_ok() {
            side.is_loaded = true;
        }
    }

    fn deliver_release(
        &mut self,
        index: usize,
        incarnation: u64,
        holder: SlotHolder,
        fence: FencingNumber,
    ) {
        let Some(side) = self.sides.get_mut(&holder.vm).filter(|side| !side.is_removed) else {
            return;
        };
        if side.slot_table.release(&model(), holder.process, fence).is_ok() {
            side.is_loaded = false;
            let event = OwnerEvent::Unloaded(holder, fence);
            self.send(Message::ToOwner(index, incarnation, event));
        }
    }

    fn tick_owner(&mut self) {
        let index = self.random_owner();
        self.apply_event(index, OwnerEvent::Tick);
    }

    fn request_edit(&mut self, edit: PlacementEdit) {
        let index = self.random_owner();
        self.apply_event(index, OwnerEvent::EditRequested(edit));
    }

    fn request_grant(&mut self) {
        let vm = self.random_side();
        let process = self.sides[&vm].process;
        self.request_edit(PlacementEdit::Grant(SlotHolder { vm, process }, ByteSize::gib(14)));
    }

    fn request_release(&mut self) {
        let vm = self.random_side();
        self.request_edit(PlacementEdit::Release(vm));
    }

    /// Requests the count of the newest lists, or of older ones that an owner may still have.
    fn request_resize(&mut self) {
        if self.rng.random_bool(0.7) {
            self.counts.push(self.rng.random_range(1..5));
        }
        let version = self.rng.random_range(self.counts.len().saturating_sub(2)..self.counts.len());
        let (to, list) = (self.counts[version], ListVersion(version as u64));
        self.request_edit(PlacementEdit::Resize { to, list });
    }

    /// Orders a load under a slot that is held as far as an owner knows.
    fn order_load(&mut self) {
        let index = self.random_owner();
        let slots: Vec<PlacementSlot> = self.owners[index].owner.held_slots().cloned().collect();
        if !slots.is_empty() {
            let slot = slots[self.rng.random_range(0..slots.len())].clone();
            self.send(Message::LoadAt(slot.holder, slot.fence));
        }
    }

    fn announce_holder(&mut self) {
        let (vm, index) = (self.random_side(), self.random_owner());
        let (process, incarnation) = (self.sides[&vm].process, self.owners[index].incarnation);
        let event = OwnerEvent::HolderSeen(SlotHolder { vm, process });
        self.send(Message::ToOwner(index, incarnation, event));
    }

    fn publish_list(&mut self) {
        if self.has(Fault::ListLate) && self.rng.random_bool(0.5) {
            return;
        }
        self.listed = self.live().map(|(vm, _)| vm.clone()).collect();
    }

    /// Restarts a side process. The engine keeps its models; the fencing numbers are lost.
    fn restart_side(&mut self) {
        let (vm, process) = (self.random_side(), self.next_process());
        let side = self.sides.get_mut(&vm).unwrap();
        side.process = process;
        side.slot_table = SlotTable::new(process);
    }

    fn replace_vm(&mut self) {
        let vm = self.random_side();
        self.sides.get_mut(&vm).unwrap().is_removed = true;
        self.start_vm();
    }

    fn restart_owner(&mut self) {
        let (index, process) = (self.random_owner(), self.next_process());
        let owner = &mut self.owners[index];
        owner.owner = PlacementOwner::with_checks(model(), process, self.checks);
        owner.incarnation += 1;
    }

    fn pause_owner(&mut self) {
        let index = self.random_owner();
        self.owners[index].paused_deliveries += 20;
    }

    fn drop_message(&mut self) {
        let is_losable = |message: &Message| {
            matches!(message, Message::LoadAt(..) | Message::ReleaseAt(..))
                || matches!(message, Message::ToOwner(_, _, OwnerEvent::Unloaded(..)))
        };
        let found = self.messages.iter().position(is_losable);
        found.map(|index| self.messages.remove(index));
    }

    pub fn object(&self) -> Option<PlacementObject> {
        self.stored.as_ref().map(|stored| PlacementObject::decode(&model(), &stored.body).unwrap())
    }

    fn check_invariants(&mut self) {
        let loaded = self.live().filter(|(_, side)| side.is_loaded).count();
        self.max_loaded = self.max_loaded.max(loaded);
        let Some(object) = self.object() else { return };
        if object.slot_count() > object.decided {
            self.violations.push(Violation::TooManySlots);
        }
        if loaded > object.decided as usize {
            self.violations.push(Violation::TooManyLoaded);
        }
    }
}
