//! Owners by rendezvous hashing: same result everywhere, balance, and few changes of owner.

use std::collections::HashMap;

use base::prelude::*;
use proptest::{collection::hash_set, prelude::*, test_runner::TestRunner};
use routing::{OwnerCount, OwnerKey, OwnerRanking};

fn vms(count: usize) -> Vec<VmId> {
    (0..count).map(|i| VmId::new(format!("entry-{i}")).unwrap()).collect()
}

fn model(index: usize) -> OwnerKey {
    OwnerKey::Model(ModelId::new(format!("model-{index}")).unwrap())
}

fn first_owner(key: &OwnerKey, entries: &[VmId]) -> VmId {
    OwnerRanking::new(key, entries, OwnerCount(1)).owners()[0].clone()
}

#[test]
fn order_of_entries_has_no_effect() {
    let entries = vms(50);
    let reversed: Vec<VmId> = entries.iter().rev().cloned().collect();

    let ranking = OwnerRanking::new(&model(1), &entries, OwnerCount(3));
    let same = OwnerRanking::new(&model(1), &reversed, OwnerCount(3));

    assert_eq!(ranking, same);
}

#[test]
fn lost_entry_moves_only_its_models_to_the_successor() {
    let entries = vms(40);
    let lost = entries[7].clone();
    let remaining: Vec<VmId> = entries.iter().filter(|vm| **vm != lost).cloned().collect();

    for index in 0..500 {
        let key = model(index);
        let ranking = OwnerRanking::new(&key, &entries, OwnerCount(1));
        let order: Vec<&VmId> = ranking.order_for(RequestId(1)).collect();
        let expected = if *order[0] == lost { order[1] } else { order[0] };
        assert_eq!(first_owner(&key, &remaining), *expected);
    }
}

#[test]
fn models_are_spread_evenly() {
    let entries = vms(20);

    let mut counts: HashMap<VmId, usize> = HashMap::new();
    for index in 0..4000 {
        *counts.entry(first_owner(&model(index), &entries)).or_default() += 1;
    }

    assert!(counts.values().all(|count| (130..270).contains(count)), "{counts:?}");
}

#[test]
fn model_and_service_of_one_name_differ() {
    let entries = vms(100);
    let differing = (0..100).filter(|index| {
        let name = format!("model-{index}");
        let service = OwnerKey::Service(ServiceName::new(name).unwrap());
        first_owner(&service, &entries) != first_owner(&model(*index), &entries)
    });

    assert!(differing.count() > 80);
}

#[test]
fn requests_are_spread_over_the_owners() {
    let ranking = OwnerRanking::new(&model(3), &vms(30), OwnerCount(4));

    let mut counts: HashMap<VmId, usize> = HashMap::new();
    for id in 0..4000 {
        let first = ranking.order_for(RequestId(id)).next().unwrap().clone();
        *counts.entry(first).or_default() += 1;
    }

    assert_eq!(counts.len(), 4);
    assert!(counts.keys().all(|vm| ranking.owners().contains(vm)));
    assert!(counts.values().all(|count| (850..1150).contains(count)), "{counts:?}");
}

#[test]
fn owner_count_follows_the_rate() {
    let counts = [0.0, 10.0, 200.0, 201.0, 1000.0]
        .map(|rate| OwnerCount::for_rate(EventRate(rate), EventRate(200.0)).0);

    assert_eq!(counts, [1, 1, 1, 2, 5]);
}

#[test]
fn replicas_are_assigned_once_and_evenly() {
    let strategy = (1..40usize, 1..8usize, hash_set(0..1000u32, 0..120));

    let check = |(entries, count, replicas): (usize, usize, std::collections::HashSet<u32>)| {
        let ranking = OwnerRanking::new(&model(9), &vms(entries), OwnerCount(count));
        let replicas: Vec<VmId> =
            replicas.iter().map(|i| VmId::new(format!("backend-{i}")).unwrap()).collect();
        let mut reversed = replicas.clone();
        reversed.reverse();

        let assignments = ranking.assign_replicas(&replicas);

        prop_assert_eq!(&assignments, &ranking.assign_replicas(&reversed));
        prop_assert_eq!(assignments.len(), replicas.len());
        let limit = replicas.len().div_ceil(ranking.owners().len());
        for owner in ranking.owners() {
            prop_assert!(
                assignments.iter().filter(|assignment| assignment.owner == *owner).count() <= limit
            );
        }
        for replica in &replicas {
            prop_assert!(assignments.iter().any(|assignment| assignment.replica == *replica));
        }
        Ok(())
    };

    TestRunner::deterministic().run(&strategy, check).unwrap();
}
