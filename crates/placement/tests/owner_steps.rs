//! Single steps of an owner: lost answers, outdated lists, outages, conflicts and moves of slots.

use std::collections::BTreeSet;

use base::prelude::*;
use bytes::Bytes;
use object_api::{MemoryStore, ObjectStore, StoreError, StoreFault, VmListing, WriteCondition};
use placement::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

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

/// An owner with an in-memory store that performs its actions immediately.
struct OwnerFixture {
    owner: PlacementOwner,
    store: MemoryStore,
    listed: BTreeSet<VmId>,
    is_list_delayed: bool,
    reports: Vec<OwnerReport>,
    releases: Vec<(SlotHolder, FencingNumber)>,
    list_version: ListVersion,
}

fn fixture_of(store: MemoryStore, checks: PlacementChecks) -> OwnerFixture {
    OwnerFixture {
        owner: PlacementOwner::with_checks(model(), OWNER, checks),
        store,
        listed: vms(&[0, 1, 2, 3, 4]),
        is_list_delayed: false,
        reports: Vec::new(),
        releases: Vec::new(),
        list_version: ListVersion(10),
    }
}

async fn fixture() -> OwnerFixture {
    let mut fixture = fixture_of(MemoryStore::new(), PlacementChecks::default());
    fixture.apply_event(OwnerEvent::Tick).await;
    fixture
}

impl OwnerFixture {
    async fn apply_event(&mut self, event: OwnerEvent) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            for action in self.owner.step(event, Instant::now()) {
                events.extend(self.perform(action).await);
            }
        }
    }

    async fn perform(&mut self, action: OwnerAction) -> Option<OwnerEvent> {
        match action {
            OwnerAction::ListVms if self.is_list_delayed => None,
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

    async fn request_edit(&mut self, edit: PlacementEdit) -> OwnerReport {
        self.apply_event(OwnerEvent::EditRequested(edit)).await;
        *self.reports.last().expect("a report")
    }

    async fn resize(&mut self, to: u32) -> OwnerReport {
        self.list_version = self.list_version.next();
        self.request_edit(PlacementEdit::Resize { to, list: self.list_version }).await
    }

    async fn advance(&mut self, duration: Duration) {
        tokio::time::advance(duration).await;
        self.apply_event(OwnerEvent::Tick).await;
    }

    async fn stored(&self) -> PlacementObject {
        let object = self.store.get(&PlacementObject::key(&model())).await.unwrap().unwrap();
        PlacementObject::decode(&model(), &object.body).unwrap()
    }
}

#[tokio::test(start_paused = true)]
async fn grants_stop_at_the_decided_count() {
    let mut fixture = fixture().await;
    fixture.resize(2).await;

    let reports = [
        fixture.request_edit(grant(0)).await,
        fixture.request_edit(grant(1)).await,
        fixture.request_edit(grant(2)).await,
    ];

    let refused = OwnerReport::Refused(EditRefusal::NoSlot);
    assert_eq!(reports, [OwnerReport::Applied, OwnerReport::Applied, refused]);
}

#[tokio::test(start_paused = true)]
async fn slot_moves_only_after_confirmation() {
    let mut fixture = fixture().await;
    fixture.resize(1).await;
    fixture.request_edit(grant(0)).await;

    fixture.request_edit(PlacementEdit::Release(vm(0))).await;
    let early = fixture.request_edit(grant(1)).await;
    let (released, fence) = fixture.releases.last().cloned().unwrap();
    fixture.apply_event(OwnerEvent::Unloaded(released, fence)).await;
    let late = fixture.request_edit(grant(1)).await;

    assert_eq!(early, OwnerReport::Refused(EditRefusal::NoSlot));
    assert_eq!(late, OwnerReport::Applied);
    assert_eq!(fixture.stored().await.slots[0].holder, holder(1));
}

#[tokio::test(start_paused = true)]
async fn lower_count_takes_effect_as_slots_are_freed() {
    let mut fixture = fixture().await;
    fixture.resize(2).await;
    fixture.request_edit(grant(0)).await;
    fixture.request_edit(grant(1)).await;

    fixture.resize(1).await;
    let before = fixture.stored().await.decided;
    let (released, fence) = fixture.releases.last().cloned().unwrap();
    fixture.apply_event(OwnerEvent::Unloaded(released.clone(), fence)).await;

    assert_eq!(before, 2);
    assert_eq!(released, holder(1));
    assert_eq!(fixture.stored().await.decided, 1);
}

#[tokio::test(start_paused = true)]
async fn lost_answer_is_read_back_before_the_next_write() {
    let mut fixture = fixture().await;
    fixture.resize(3).await;
    fixture.store.set_fault(StoreFault { lost_answers: 1, ..StoreFault::default() });

    let report = fixture.request_edit(grant(0)).await;

    assert_eq!(report, OwnerReport::Applied);
    assert_eq!(fixture.stored().await.slots.len(), 1);
    assert_eq!(fixture.store.calls().writes, 2);
}

#[tokio::test(start_paused = true)]
async fn newer_count_survives_a_lost_answer() {
    let mut fixture = fixture().await;
    fixture.resize(3).await;
    let older = PlacementEdit::Resize { to: 4, list: ListVersion(12) };
    fixture.owner.step(OwnerEvent::EditRequested(older), Instant::now());
    let mut other = fixture_of(fixture.store.clone(), PlacementChecks::default());
    other.apply_event(OwnerEvent::Tick).await;
    other.request_edit(PlacementEdit::Resize { to: 1, list: ListVersion(13) }).await;

    fixture.apply_event(OwnerEvent::WriteAnswered(Err(StoreError::AnswerLost))).await;

    assert_eq!(fixture.stored().await.wanted, 1);
    assert_eq!(fixture.reports.last(), Some(&OwnerReport::Refused(EditRefusal::CountChanged)));
}

#[tokio::test(start_paused = true)]
async fn held_slots_stay_usable_while_the_store_is_down() {
    let mut fixture = fixture().await;
    fixture.resize(2).await;
    fixture.request_edit(grant(0)).await;
    fixture.store.set_fault(StoreFault { down: true, ..StoreFault::default() });

    fixture.apply_event(OwnerEvent::EditRequested(grant(1))).await;
    for _ in 0..600 {
        fixture.advance(Duration::from_secs(60)).await;
    }
    let held_in_outage = fixture.owner.held_slots().count();
    fixture.store.set_fault(StoreFault::default());
    fixture.advance(Duration::from_secs(10)).await;

    assert_eq!(held_in_outage, 1);
    assert_eq!(fixture.owner.held_slots().count(), 2);
}

#[tokio::test(start_paused = true)]
async fn slot_of_an_unlisted_vm_is_freed() {
    let mut fixture = fixture().await;
    fixture.resize(1).await;
    fixture.request_edit(grant(0)).await;

    fixture.listed = vms(&[1, 2]);
    fixture.advance(Duration::from_secs(1)).await;

    assert_eq!(fixture.stored().await.slots, Vec::new());
}

#[tokio::test(start_paused = true)]
async fn grant_to_an_unlisted_vm_is_refused() {
    let mut fixture = fixture().await;
    fixture.resize(1).await;

    let report = fixture.request_edit(grant(77)).await;

    assert_eq!(report, OwnerReport::Refused(EditRefusal::VmUnknown));
}

/// Number of slots after a VM list arrives that was requested before the slot was granted.
async fn slots_after_an_old_list(checks: PlacementChecks) -> usize {
    let mut fixture = fixture_of(MemoryStore::new(), checks);
    fixture.apply_event(OwnerEvent::Tick).await;
    fixture.resize(1).await;
    fixture.is_list_delayed = true;
    fixture.apply_event(OwnerEvent::Tick).await;
    fixture.request_edit(grant(0)).await;

    fixture.apply_event(OwnerEvent::VmsListed(vms(&[1, 2]))).await;

    fixture.stored().await.slots.len()
}

#[tokio::test(start_paused = true)]
async fn list_from_before_the_grant_frees_nothing() {
    let slots = slots_after_an_old_list(PlacementChecks::default()).await;

    assert_eq!(slots, 1);
}

#[tokio::test(start_paused = true)]
async fn without_the_list_check_a_held_slot_is_freed() {
    let checks = PlacementChecks { ignore_old_lists: false, ..PlacementChecks::default() };

    let slots = slots_after_an_old_list(checks).await;

    assert_eq!(slots, 0);
}

#[tokio::test(start_paused = true)]
async fn restarted_side_process_gets_a_higher_fencing_number() {
    let mut fixture = fixture().await;
    fixture.resize(1).await;
    fixture.request_edit(grant(0)).await;
    let before = fixture.stored().await.slots[0].clone();

    let successor = SlotHolder { vm: vm(0), process: ProcessIncarnation(500) };
    fixture.apply_event(OwnerEvent::HolderSeen(successor.clone())).await;

    let slot = fixture.stored().await.slots[0].clone();
    assert_eq!(slot.holder, successor);
    assert!(slot.fence > before.fence);
    assert_eq!(slot.unsettled, 1);
    assert_eq!(before.unsettled_for(successor.process), 1);
}

#[tokio::test(start_paused = true)]
async fn failed_write_is_not_retried_at_once() {
    let mut fixture = fixture().await;
    fixture.resize(1).await;
    let before = fixture.store.calls();
    let write = OwnerEvent::WriteAnswered(Err(StoreError::RateLimited));

    let first = fixture.owner.step(OwnerEvent::EditRequested(grant(0)), Instant::now());
    let second = fixture.owner.step(write, Instant::now());
    let third = fixture.owner.step(OwnerEvent::Tick, Instant::now());

    let is_write = |action: &OwnerAction| matches!(action, OwnerAction::Write(..));
    assert!(first.iter().any(is_write));
    assert!(!second.iter().chain(&third).any(is_write));
    assert_eq!(fixture.store.calls(), before);
}

#[tokio::test(start_paused = true)]
async fn owner_agrees_with_the_naive_placement() {
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
                let report = fixture.request_edit(grant(number)).await;
                assert_eq!(report == OwnerReport::Applied, naive.load(&vm(number)));
            }
            _ => {
                fixture.request_edit(PlacementEdit::Release(vm(number))).await;
                naive.unload(&vm(number));
            }
        }
        for (holder, fence) in std::mem::take(&mut fixture.releases) {
            fixture.apply_event(OwnerEvent::Unloaded(holder, fence)).await;
        }

        let object = fixture.owner.object().cloned().unwrap_or(PlacementObject::new(model()));
        let holders: Vec<VmId> = object.slots.iter().map(|slot| slot.holder.vm.clone()).collect();
        assert_eq!(holders, naive.holders());
    }
}

#[tokio::test(start_paused = true)]
async fn largest_object_fits_into_the_store() {
    let mut object = PlacementObject::new(model());
    let checks = PlacementChecks::default();
    object.apply(&PlacementEdit::Resize { to: 4096, list: ListVersion(1) }, checks);
    (0..4096).for_each(|number| {
        let vm = VmId::new(format!("vm-in-a-zone-with-a-long-name-{number}")).unwrap();
        let holder = SlotHolder { vm, process: ProcessIncarnation(u64::MAX) };
        object.apply(&PlacementEdit::Grant(holder, ByteSize::gib(80)), checks);
    });

    let body: Bytes = object.encode();

    assert_eq!(object.slot_count(), 4096);
    assert!(body.len() < object_api::object::MAX_OBJECT_BYTES, "{} bytes", body.len());
}

/// Number of slots after an owner with a slot on VM 0 has read `listing`.
async fn slots_after(listing: VmListing) -> usize {
    let mut fixture = fixture().await;
    fixture.resize(1).await;
    fixture.request_edit(grant(0)).await;
    fixture.is_list_delayed = true;
    fixture.apply_event(OwnerEvent::ListFailed).await;
    fixture.apply_event(OwnerEvent::Tick).await;

    let store = fixture.store.clone();
    store.set_listing(listing);
    let event = driver::perform(&store, &store, &model(), &OwnerAction::ListVms).await;
    fixture.apply_event(event.unwrap()).await;

    fixture.stored().await.slots.len()
}

/// Guards against a second replica beside one whose VM counts as gone, because its entry in the VM
/// list cannot be read.
#[tokio::test(start_paused = true)]
async fn slot_of_a_vm_with_an_odd_entry_is_kept() {
    let named = VmListing { unreadable: vms(&[0]), ..VmListing::default() };
    let unnamed = VmListing { unnamed: 1, ..VmListing::default() };

    assert_eq!(slots_after(named).await, 1);
    assert_eq!(slots_after(unnamed).await, 1);
    assert_eq!(slots_after(VmListing::default()).await, 0);
}

/// Guards against an owner that reads an object of another writer again and again without a pause,
/// which takes the calls to the store from all other work of its process.
#[rstest]
#[case::no_object(b"{}")]
#[case::not_utf8(b"\xff")]
#[case::other_model(br#"{"model":"other","wanted":0,"list":0,"decided":0,"last_fence":0,"slots":[],"edit":{"writer":0,"number":0}}"#)]
#[case::last_fence(br#"{"model":"model","wanted":0,"list":0,"decided":0,"last_fence":18446744073709551615,"slots":[],"edit":{"writer":0,"number":0}}"#)]
#[tokio::test(start_paused = true)]
async fn odd_object_is_read_again_after_a_pause(#[case] body: &'static [u8]) {
    let store = MemoryStore::new();
    let key = PlacementObject::key(&model());
    let version = store.put(&key, Bytes::from(body), WriteCondition::Absent).await.unwrap();
    let mut owner = PlacementOwner::new(model(), OWNER);
    let read = store.get(&key).await;

    let first = owner.step(OwnerEvent::Tick, Instant::now());
    let next = owner.step(OwnerEvent::ReadAnswered(read), Instant::now());
    tokio::time::advance(Duration::from_secs(1)).await;
    let later = owner.step(OwnerEvent::Tick, Instant::now());
    store.delete(&key, version).await.unwrap();
    owner.step(OwnerEvent::ReadAnswered(store.get(&key).await), Instant::now());

    assert!(first.contains(&OwnerAction::Read));
    assert!(!next.contains(&OwnerAction::Read));
    assert!(later.contains(&OwnerAction::Read));
    assert!(owner.is_current(), "the object of another writer is gone");
}
