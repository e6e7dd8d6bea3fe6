//! Several owners and side processes of one model around a small store, all messages delayed.
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

/// What a history showed to be wrong.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Breach {
    TooManySlots,
    TooManyLoaded,
    CountReverted,
}

/// The faults that a history draws from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    LostAnswer,
    LateWrite,
    StoreDown,
    SideKilled,
    VmGone,
    ListLate,
    OwnerKilled,
    OwnerPaused,
    Cut,
}

impl Fault {
    pub const ALL: [Fault; 9] = [
        Fault::LostAnswer,
        Fault::LateWrite,
        Fault::StoreDown,
        Fault::SideKilled,
        Fault::VmGone,
        Fault::ListLate,
        Fault::OwnerKilled,
        Fault::OwnerPaused,
        Fault::Cut,
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
    life: u64,
    paused: u32,
}

#[derive(Debug)]
struct TestSide {
    process: ProcessIncarnation,
    book: SlotTable,
    is_loaded: bool,
    is_gone: bool,
}

pub struct PlacementWorld {
    rng: ChaCha8Rng,
    now: Instant,
    faults: Vec<Fault>,
    guards: PlacementGuards,
    owners: Vec<TestOwner>,
    sides: BTreeMap<VmId, TestSide>,
    listed: BTreeSet<VmId>,
    stored: Option<StoredObject>,
    is_down: bool,
    messages: Vec<Message>,
    processes: u64,
    next_vm: u64,
    /// Decided counts by version of the lists.
    counts: Vec<u32>,
    pub writes: u64,
    pub breaches: Vec<Breach>,
    pub most_loaded: usize,
}

pub fn model() -> ModelId {
    ModelId::new("model").unwrap()
}

pub fn vm(number: u64) -> VmId {
    VmId::new(format!("vm-{number}")).unwrap()
}

impl PlacementWorld {
    pub fn new(faults: &[Fault], guards: PlacementGuards, seed: u64) -> Self {
        let mut world = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Instant::now(),
            faults: faults.to_vec(),
            guards,
            owners: Vec::new(),
            sides: BTreeMap::new(),
            listed: BTreeSet::new(),
            stored: None,
            is_down: false,
            messages: Vec::new(),
            processes: 100,
            next_vm: 0,
            counts: vec![2],
            writes: 0,
            breaches: Vec::new(),
            most_loaded: 0,
        };
        (0..OWNERS).for_each(|_| world.start_owner());
        (0..VMS).for_each(|_| world.start_vm());
        world.listed = world.sides.keys().cloned().collect();
        world
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
            300..310 => self.ask_grant(),
            310..318 => self.ask_release(),
            318..324 => self.ask_resize(),
            324..350 => self.order_load(),
            350..362 => self.show_holder(),
            362..370 => self.publish_list(),
            370..372 if self.has(Fault::SideKilled) => self.restart_side(),
            372..376 if self.has(Fault::VmGone) => self.replace_vm(),
            376..377 if self.has(Fault::OwnerKilled) => self.restart_owner(),
            377..379 if self.has(Fault::OwnerPaused) => self.pause_owner(),
            379..380 if self.has(Fault::StoreDown) => self.is_down = true,
            380..390 => self.is_down = false,
            390..392 if self.has(Fault::Cut) => self.drop_message(),
            _ => {}
        }
    }

    fn has(&self, fault: Fault) -> bool {
        self.faults.contains(&fault)
    }

    fn draw_process(&mut self) -> ProcessIncarnation {
        self.processes += 1;
        ProcessIncarnation(self.processes)
    }

    fn start_owner(&mut self) {
        let owner = PlacementOwner::with_guards(model(), self.draw_process(), self.guards);
        self.owners.push(TestOwner { owner, life: 0, paused: 0 });
    }

    fn start_vm(&mut self) {
        let process = self.draw_process();
        let book = SlotTable::new(process);
        let side = TestSide { process, book, is_loaded: false, is_gone: false };
        self.sides.insert(vm(self.next_vm), side);
        self.next_vm += 1;
    }

    fn draw_owner(&mut self) -> usize {
        self.rng.random_range(0..OWNERS)
    }

    fn draw_side(&mut self) -> VmId {
        let live: Vec<VmId> = self.live().map(|(vm, _)| vm.clone()).collect();
        live[self.rng.random_range(0..live.len())].clone()
    }

    fn live(&self) -> impl Iterator<Item = (&VmId, &TestSide)> {
        self.sides.iter().filter(|(_, side)| !side.is_gone)
    }

    fn feed(&mut self, index: usize, event: OwnerEvent) {
        let life = self.owners[index].life;
        let actions = self.owners[index].owner.step(event, self.now);
        for action in actions {
            self.act(index, life, action);
        }
    }

    fn act(&mut self, index: usize, life: u64, action: OwnerAction) {
        match action {
            OwnerAction::Read => {
                let answer = self.read();
                self.send(Message::ToOwner(index, life, OwnerEvent::ReadAnswered(answer)));
            }
            OwnerAction::Write(body, condition) => {
                self.send(Message::ToStore(index, life, body, condition));
            }
            OwnerAction::ListVms => {
                let event = match self.is_down {
                    true => OwnerEvent::ListFailed,
                    false => OwnerEvent::VmsListed(self.listed.clone()),
                };
                self.send(Message::ToOwner(index, life, event));
            }
            OwnerAction::OrderRelease(holder, fence) => {
                self.send(Message::ReleaseAt(index, life, holder, fence));
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
            Message::ToOwner(index, life, event) => self.reach_owner(index, life, event),
            Message::ToStore(index, life, body, condition) => {
                self.reach_store(index, life, body, condition);
            }
            Message::LoadAt(holder, fence) => self.reach_load(&holder, fence),
            Message::ReleaseAt(index, life, holder, fence) => {
                self.reach_release(index, life, holder, fence);
            }
        }
    }

    fn reach_owner(&mut self, index: usize, life: u64, event: OwnerEvent) {
        let owner = &mut self.owners[index];
        if owner.paused > 0 {
            owner.paused -= 1;
            self.send(Message::ToOwner(index, life, event));
        } else if owner.life == life {
            self.feed(index, event);
        }
    }

    fn reach_store(&mut self, index: usize, life: u64, body: Bytes, condition: WriteCondition) {
        if self.is_down {
            let answer = OwnerEvent::WriteAnswered(Err(StoreError::Unavailable));
            return self.send(Message::ToOwner(index, life, answer));
        }
        if self.has(Fault::LateWrite) && self.rng.random_bool(0.05) {
            self.send(Message::ToStore(index, u64::MAX, body, condition));
            let answer = OwnerEvent::WriteAnswered(Err(StoreError::AnswerLost));
            return self.send(Message::ToOwner(index, life, answer));
        }
        let is_lost = self.has(Fault::LostAnswer) && self.rng.random_bool(0.1);
        let answer = match self.write(body, condition) {
            Ok(_) if is_lost => Err(StoreError::AnswerLost),
            answer => answer,
        };
        self.send(Message::ToOwner(index, life, OwnerEvent::WriteAnswered(answer)));
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
        self.note_count(&PlacementObject::decode(&body).unwrap());
        let stored = StoredObject { key: PlacementObject::key(&model()), version, body };
        for index in 0..OWNERS {
            let (life, event) = (self.owners[index].life, OwnerEvent::Changed(stored.clone()));
            self.send(Message::ToOwner(index, life, event));
        }
        self.stored = Some(stored);
        Ok(version)
    }

    /// A count from newer lists must not be replaced by one from older lists.
    fn note_count(&mut self, object: &PlacementObject) {
        if self.object().is_some_and(|before| object.list < before.list) {
            self.breaches.push(Breach::CountReverted);
        }
    }

    fn reach_load(&mut self, holder: &SlotHolder, fence: FencingNumber) {
        let Some(side) = self.sides.get_mut(&holder.vm).filter(|side| !side.is_gone) else {
            return;
        };
        if side.book.accept(&model(), holder.process, fence).is_ok() {
            side.is_loaded = true;
        }
    }

    fn reach_release(&mut self, index: usize, life: u64, holder: SlotHolder, fence: FencingNumber) {
        let Some(side) = self.sides.get_mut(&holder.vm).filter(|side| !side.is_gone) else {
            return;
        };
        if side.book.release(&model(), holder.process, fence).is_ok() {
            side.is_loaded = false;
            let event = OwnerEvent::Unloaded(holder, fence);
            self.send(Message::ToOwner(index, life, event));
        }
    }

    fn tick_owner(&mut self) {
        let index = self.draw_owner();
        self.feed(index, OwnerEvent::Tick);
    }

    fn ask(&mut self, edit: PlacementEdit) {
        let index = self.draw_owner();
        self.feed(index, OwnerEvent::Asked(edit));
    }

    fn ask_grant(&mut self) {
        let vm = self.draw_side();
        let process = self.sides[&vm].process;
        self.ask(PlacementEdit::Grant(SlotHolder { vm, process }, ByteSize::gib(14)));
    }

    fn ask_release(&mut self) {
        let vm = self.draw_side();
        self.ask(PlacementEdit::Release(vm));
    }

    /// An owner follows the newest lists or, when they have not reached it, older ones.
    fn ask_resize(&mut self) {
        if self.rng.random_bool(0.7) {
            self.counts.push(self.rng.random_range(1..5));
        }
        let version = self.rng.random_range(self.counts.len().saturating_sub(2)..self.counts.len());
        let (to, list) = (self.counts[version], ListVersion(version as u64));
        self.ask(PlacementEdit::Resize { to, list });
    }

    /// An owner orders a load under a slot that it believes to stand.
    fn order_load(&mut self) {
        let index = self.draw_owner();
        let slots: Vec<PlacementSlot> = self.owners[index].owner.held_slots().cloned().collect();
        if !slots.is_empty() {
            let slot = slots[self.rng.random_range(0..slots.len())].clone();
            self.send(Message::LoadAt(slot.holder, slot.fence));
        }
    }

    fn show_holder(&mut self) {
        let (vm, index) = (self.draw_side(), self.draw_owner());
        let (process, life) = (self.sides[&vm].process, self.owners[index].life);
        let event = OwnerEvent::HolderSeen(SlotHolder { vm, process });
        self.send(Message::ToOwner(index, life, event));
    }

    fn publish_list(&mut self) {
        if self.has(Fault::ListLate) && self.rng.random_bool(0.5) {
            return;
        }
        self.listed = self.live().map(|(vm, _)| vm.clone()).collect();
    }

    /// The engine keeps what it holds; the new side process knows no fencing numbers.
    fn restart_side(&mut self) {
        let (vm, process) = (self.draw_side(), self.draw_process());
        let side = self.sides.get_mut(&vm).unwrap();
        side.process = process;
        side.book = SlotTable::new(process);
    }

    fn replace_vm(&mut self) {
        let vm = self.draw_side();
        self.sides.get_mut(&vm).unwrap().is_gone = true;
        self.start_vm();
    }

    fn restart_owner(&mut self) {
        let (index, process) = (self.draw_owner(), self.draw_process());
        let owner = &mut self.owners[index];
        owner.owner = PlacementOwner::with_guards(model(), process, self.guards);
        owner.life += 1;
    }

    fn pause_owner(&mut self) {
        let index = self.draw_owner();
        self.owners[index].paused += 20;
    }

    fn drop_message(&mut self) {
        let is_between = |message: &Message| {
            matches!(message, Message::LoadAt(..) | Message::ReleaseAt(..))
                || matches!(message, Message::ToOwner(_, _, OwnerEvent::Unloaded(..)))
        };
        let found = self.messages.iter().position(is_between);
        found.map(|index| self.messages.remove(index));
    }

    pub fn object(&self) -> Option<PlacementObject> {
        self.stored.as_ref().map(|stored| PlacementObject::decode(&stored.body).unwrap())
    }

    fn check_invariants(&mut self) {
        let loaded = self.live().filter(|(_, side)| side.is_loaded).count();
        self.most_loaded = self.most_loaded.max(loaded);
        let Some(object) = self.object() else { return };
        if object.slot_count() > object.decided {
            self.breaches.push(Breach::TooManySlots);
        }
        if loaded > object.decided as usize {
            self.breaches.push(Breach::TooManyLoaded);
        }
    }
}
