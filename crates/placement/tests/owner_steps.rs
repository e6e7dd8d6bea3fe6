//! Single steps of an owner: lost answers, late lists, outages, races and moves.

use std::collections::BTreeSet;

use base::prelude::*;
use bytes::Bytes;
use object_api::{MemoryStore, ObjectStore, StoreError, StoreFault};
use placement::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const OWNER: ProcessIncarnation = ProcessIncarnation(9);

fn model() -> ModelId {
    ModelId::new("model").unwrap()
}

fn vm(number: u64) -> VmId {
    VmId::new(format!("vm-{number}")).unwrap()
}

fn holder(number: u64) -> SlotHolder {
    SlotHolder { vm: vm(number), process: ProcessIncarnation(number + 1) }
}

fn grant(number: u64) -> PlacementEdit {
    PlacementEdit::Grant(holder(number), ByteSize::gib(14))
}

fn vms(numbers: &[u64]) -> BTreeSet<VmId> {
    numbers.iter().map(|number| vm(*number)).collect()
}

/// An owner whose actions at the platform are performed at once by an in-memory store.
struct OwnerFixture {
    owner: PlacementOwner,
    store: MemoryStore,
    listed: BTreeSet<VmId>,
    is_list_held: bool,
    reports: Vec<OwnerReport>,
    releases: Vec<(SlotHolder, FencingNumber)>,
    lists: ListVersion,
}

fn fixture_of(store: MemoryStore, guards: PlacementGuards) -> OwnerFixture {
    OwnerFixture {
        owner: PlacementOwner::with_guards(model(), OWNER, guards),
        store,
        listed: vms(&[0, 1, 2, 3, 4]),
        is_list_held: false,
        reports: Vec::new(),
        releases: Vec::new(),
        lists: ListVersion(10),
    }
}

async fn fixture() -> OwnerFixture {
    let mut fixture = fixture_of(MemoryStore::new(), PlacementGuards::default());
    fixture.feed(OwnerEvent::Tick).await;
    fixture
}

impl OwnerFixture {
    async fn feed(&mut self, event: OwnerEvent) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            for action in self.owner.step(event, Instant::now()) {
                events.extend(self.perform(action).await);
            }
        }
    }

    async fn perform(&mut self, action: OwnerAction) -> Option<OwnerEvent> {
        match action {
            OwnerAction::ListVms if self.is_list_held => None,
            OwnerAction::ListVms => Some(OwnerEvent::VmsListed(self.listed.clone())),
            OwnerAction::OrderRelease(holder, fence) => {
                self.releases.push((holder, fence));
                None
            }
            OwnerAction::Report(_, report) => {
                self.reports.push(report);
                None
            }
            action => driver::perform(&self.store, &self.store, &model(), &action).await,
        }
    }

    async fn ask(&mut self, edit: PlacementEdit) -> OwnerReport {
        self.feed(OwnerEvent::Asked(edit)).await;
        *self.reports.last().expect("a report")
    }

    async fn resize(&mut self, to: u32) -> OwnerReport {
        self.lists = self.lists.next();
        self.ask(PlacementEdit::Resize { to, list: self.lists }).await
    }

    async fn pass(&mut self, span: Duration) {
        tokio::time::advance(span).await;
        self.feed(OwnerEvent::Tick).await;
    }

    async fn stored(&self) -> PlacementObject {
        let object = self.store.get(&PlacementObject::key(&model())).await.unwrap().unwrap();
        PlacementObject::decode(&object.body).unwrap()
    }
}

#[tokio::test(start_paused = true)]
async fn grants_stop_at_the_decided_count() {
    let mut fixture = fixture().await;
    fixture.resize(2).await;

    let reports =
        [fixture.ask(grant(0)).await, fixture.ask(grant(1)).await, fixture.ask(grant(2)).await];

    let refused = OwnerReport::Refused(EditRefusal::NoSlot);
    assert_eq!(reports, [OwnerReport::Made, OwnerReport::Made, refused]);
}

#[tokio::test(start_paused = true)]
async fn a_slot_moves_only_after_the_confirmation() {
    let mut fixture = fixture().await;
    fixture.resize(1).await;
    fixture.ask(grant(0)).await;

    fixture.ask(PlacementEdit::Release(vm(0))).await;
    let early = fixture.ask(grant(1)).await;
    let (released, fence) = fixture.releases.last().cloned().unwrap();
    fixture.feed(OwnerEvent::Unloaded(released, fence)).await;
    let late = fixture.ask(grant(1)).await;

    assert_eq!(early, OwnerReport::Refused(EditRefusal::NoSlot));
    assert_eq!(late, OwnerReport::Made);
    assert_eq!(fixture.stored().await.slots[0].holder, holder(1));
}

#[tokio::test(start_paused = true)]
async fn a_lower_count_takes_effect_as_slots_are_freed() {
    let mut fixture = fixture().await;
    fixture.resize(2).await;
    fixture.ask(grant(0)).await;
    fixture.ask(grant(1)).await;

    fixture.resize(1).await;
    let before = fixture.stored().await.decided;
    let (released, fence) = fixture.releases.last().cloned().unwrap();
    fixture.feed(OwnerEvent::Unloaded(released.clone(), fence)).await;

    assert_eq!(before, 2);
    assert_eq!(released, holder(1));
    assert_eq!(fixture.stored().await.decided, 1);
}

#[tokio::test(start_paused = true)]
async fn a_lost_answer_is_read_back_before_the_next_write() {
    let mut fixture = fixture().await;
    fixture.resize(3).await;
    fixture.store.set_fault(StoreFault { lost_answers: 1, ..StoreFault::default() });

    let report = fixture.ask(grant(0)).await;

    assert_eq!(report, OwnerReport::Made);
    assert_eq!(fixture.stored().await.slots.len(), 1);
    assert_eq!(fixture.store.calls().writes, 2);
}

#[tokio::test(start_paused = true)]
async fn an_operator_s_later_count_survives_a_lost_answer() {
    let mut fixture = fixture().await;
    fixture.resize(3).await;
    let older = PlacementEdit::Resize { to: 4, list: ListVersion(12) };
    fixture.owner.step(OwnerEvent::Asked(older), Instant::now());
    let mut other = fixture_of(fixture.store.clone(), PlacementGuards::default());
    other.feed(OwnerEvent::Tick).await;
    other.ask(PlacementEdit::Resize { to: 1, list: ListVersion(13) }).await;

    fixture.feed(OwnerEvent::WriteAnswered(Err(StoreError::AnswerLost))).await;

    assert_eq!(fixture.stored().await.wanted, 1);
    assert_eq!(fixture.reports.last(), Some(&OwnerReport::Refused(EditRefusal::CountChanged)));
}

#[tokio::test(start_paused = true)]
async fn standing_slots_stay_usable_while_the_store_is_down() {
    let mut fixture = fixture().await;
    fixture.resize(2).await;
    fixture.ask(grant(0)).await;
    fixture.store.set_fault(StoreFault { down: true, ..StoreFault::default() });

    fixture.feed(OwnerEvent::Asked(grant(1))).await;
    for _ in 0..600 {
        fixture.pass(Duration::from_secs(60)).await;
    }
    let held_in_outage = fixture.owner.held_slots().count();
    fixture.store.set_fault(StoreFault::default());
    fixture.pass(Duration::from_secs(10)).await;

    assert_eq!(held_in_outage, 1);
    assert_eq!(fixture.owner.held_slots().count(), 2);
}

#[tokio::test(start_paused = true)]
async fn a_slot_is_freed_when_the_list_no_longer_has_its_vm() {
    let mut fixture = fixture().await;
    fixture.resize(1).await;
    fixture.ask(grant(0)).await;

    fixture.listed = vms(&[1, 2]);
    fixture.pass(Duration::from_secs(1)).await;

    assert_eq!(fixture.stored().await.slots, Vec::new());
}

#[tokio::test(start_paused = true)]
async fn a_vm_that_was_never_listed_gets_no_slot() {
    let mut fixture = fixture().await;
    fixture.resize(1).await;

    let report = fixture.ask(grant(77)).await;

    assert_eq!(report, OwnerReport::Refused(EditRefusal::VmUnknown));
}

/// A list that was requested before the slot was granted arrives after it.
async fn slots_after_an_old_list(guards: PlacementGuards) -> usize {
    let mut fixture = fixture_of(MemoryStore::new(), guards);
    fixture.feed(OwnerEvent::Tick).await;
    fixture.resize(1).await;
    fixture.is_list_held = true;
    fixture.feed(OwnerEvent::Tick).await;
    fixture.ask(grant(0)).await;

    fixture.feed(OwnerEvent::VmsListed(vms(&[1, 2]))).await;

    fixture.stored().await.slots.len()
}

#[tokio::test(start_paused = true)]
async fn a_list_from_before_the_grant_frees_nothing() {
    let slots = slots_after_an_old_list(PlacementGuards::default()).await;

    assert_eq!(slots, 1);
}

#[tokio::test(start_paused = true)]
async fn with_old_lists_believed_a_held_slot_is_freed() {
    let guards = PlacementGuards { ignore_old_lists: false, ..PlacementGuards::default() };

    let slots = slots_after_an_old_list(guards).await;

    assert_eq!(slots, 0);
}

#[tokio::test(start_paused = true)]
async fn a_restarted_side_process_is_bound_with_a_higher_fencing_number() {
    let mut fixture = fixture().await;
    fixture.resize(1).await;
    fixture.ask(grant(0)).await;
    let before = fixture.stored().await.slots[0].clone();

    let successor = SlotHolder { vm: vm(0), process: ProcessIncarnation(500) };
    fixture.feed(OwnerEvent::HolderSeen(successor.clone())).await;

    let slot = fixture.stored().await.slots[0].clone();
    assert_eq!(slot.holder, successor);
    assert!(slot.fence > before.fence);
    assert_eq!(slot.unsettled, 1);
    assert_eq!(before.unsettled_for(successor.process), 1);
}

#[tokio::test(start_paused = true)]
async fn the_store_s_retries_are_bounded() {
    let mut fixture = fixture().await;
    fixture.resize(1).await;
    let before = fixture.store.calls();
    let write = OwnerEvent::WriteAnswered(Err(StoreError::BudgetSpent));

    let first = fixture.owner.step(OwnerEvent::Asked(grant(0)), Instant::now());
    let second = fixture.owner.step(write, Instant::now());
    let third = fixture.owner.step(OwnerEvent::Tick, Instant::now());

    let is_write = |action: &OwnerAction| matches!(action, OwnerAction::Write(..));
    assert!(first.iter().any(is_write));
    assert!(!second.iter().chain(&third).any(is_write));
    assert_eq!(fixture.store.calls(), before);
}

#[tokio::test(start_paused = true)]
async fn the_owner_ends_as_the_naive_version_does() {
    let mut rng = ChaCha8Rng::seed_from_u64(11);
    let mut fixture = fixture().await;
    let mut naive = NaivePlacement::new();

    for _ in 0..400 {
        let lost_answers = u32::from(rng.random_bool(0.2));
        fixture.store.set_fault(StoreFault { lost_answers, ..StoreFault::default() });
        let number = rng.random_range(0..5);
        match rng.random_range(0..3) {
            0 => {
                let to = rng.random_range(0..5);
                fixture.resize(to).await;
                naive.resize(to);
            }
            1 => {
                let report = fixture.ask(grant(number)).await;
                assert_eq!(report == OwnerReport::Made, naive.load(&vm(number)));
            }
            _ => {
                fixture.ask(PlacementEdit::Release(vm(number))).await;
                naive.unload(&vm(number));
            }
        }
        for (holder, fence) in std::mem::take(&mut fixture.releases) {
            fixture.feed(OwnerEvent::Unloaded(holder, fence)).await;
        }

        let object = fixture.owner.object().cloned().unwrap_or(PlacementObject::new(model()));
        let holders: Vec<VmId> = object.slots.iter().map(|slot| slot.holder.vm.clone()).collect();
        assert_eq!(holders, naive.holders());
    }
}

#[tokio::test(start_paused = true)]
async fn a_largest_object_fits_into_the_store() {
    let mut object = PlacementObject::new(model());
    let guards = PlacementGuards::default();
    object.apply(&PlacementEdit::Resize { to: 4096, list: ListVersion(1) }, guards);
    (0..4096).for_each(|number| {
        let vm = VmId::new(format!("vm-in-a-zone-with-a-long-name-{number}")).unwrap();
        let holder = SlotHolder { vm, process: ProcessIncarnation(u64::MAX) };
        object.apply(&PlacementEdit::Grant(holder, ByteSize::gib(80)), guards);
    });

    let body: Bytes = object.encode();

    assert_eq!(object.slot_count(), 4096);
    assert!(body.len() < object_api::object::MAX_OBJECT_BYTES, "{} bytes", body.len());
}
