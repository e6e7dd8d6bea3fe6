//! Choice of replica: zones, slow and draining replicas, incarnations and long work.

use base::{ids::AttemptId, prelude::*};
use lists::WorkClass;
use routing::{ChooserChecks, CreditEnd, ReplicaChooser, ReplicaInfo, ReplicaRequest};

const NORMAL: Duration = Duration::from_millis(100);

fn vm(index: usize) -> VmId {
    VmId::new(format!("backend-{index}")).unwrap()
}

fn zone(name: &str) -> ZoneName {
    ZoneName::new(name).unwrap()
}

fn replica(index: usize, zone_name: &str) -> ReplicaInfo {
    let incarnation = ProcessIncarnation(1);
    ReplicaInfo { vm: vm(index), incarnation, zone: zone(zone_name), slots: 4 }
}

fn request(id: u128) -> ReplicaRequest {
    ReplicaRequest {
        id: AttemptId { request: RequestId(id), attempt: 1 },
        class: WorkClass::Short,
        zone: zone("a"),
        tried: Vec::new(),
        exclude_tried: false,
        may_retry: true,
    }
}

fn chooser(replicas: Vec<ReplicaInfo>, checks: ChooserChecks) -> ReplicaChooser {
    let mut chooser = ReplicaChooser::with_checks(7, checks);
    for info in replicas {
        chooser.upsert(info, Instant::now());
    }
    chooser
}

/// Grants one request after another; `service` gives the service time of each replica.
fn run_one_by_one(
    chooser: &mut ReplicaChooser,
    ids: std::ops::Range<u128>,
    clock: &mut Instant,
    service: impl Fn(&VmId) -> Duration,
) -> Vec<VmId> {
    let mut chosen = Vec::new();
    for id in ids {
        chooser.update_probation(*clock);
        let choice = chooser.choose(&request(id), *clock).unwrap();
        let time = service(&choice.vm);
        *clock += time;
        chooser.close_credit(request(id).id, CreditEnd::Served(time), *clock);
        chosen.push(choice.vm);
    }
    chosen
}

fn slow_first_service_time(vm_id: &VmId) -> Duration {
    if *vm_id == vm(0) { NORMAL * 3 } else { NORMAL }
}

/// Grants `WIDTH` requests in each round and counts those on the first replica.
fn run_rounds(
    chooser: &mut ReplicaChooser,
    rounds: std::ops::Range<u128>,
    clock: &mut Instant,
    service: impl Fn(&VmId) -> Duration,
) -> usize {
    const WIDTH: u128 = 9;
    let mut open: Vec<(Instant, u128, Duration)> = Vec::new();
    let mut on_first = 0;
    for round in rounds {
        for id in round * WIDTH..(round + 1) * WIDTH {
            let choice = chooser.choose(&request(id), *clock).unwrap();
            let time = service(&choice.vm);
            on_first += usize::from(choice.vm == vm(0));
            open.push((*clock + time, id, time));
        }
        *clock += NORMAL;
        for (_, id, time) in open.extract_if(.., |(due, _, _)| *due <= *clock) {
            chooser.close_credit(request(id).id, CreditEnd::Served(time), *clock);
        }
        chooser.update_probation(*clock);
    }
    on_first
}

#[test]
fn slow_replica_gets_only_trials_until_fast() {
    let replicas = || (0..6).map(|i| replica(i, "a")).collect();
    let off = ChooserChecks { probation: false, ..ChooserChecks::default() };
    let mut checked = chooser(replicas(), ChooserChecks::default());
    let mut unchecked = chooser(replicas(), off);
    let (mut now, mut unchecked_now) = (Instant::now(), Instant::now());

    let slow = run_rounds(&mut checked, 0..100, &mut now, slow_first_service_time);
    let was_on_probation = checked.slow() == [&vm(0)];
    run_rounds(&mut checked, 100..200, &mut now, |_| NORMAL);
    let fast = run_rounds(&mut checked, 200..300, &mut now, |_| NORMAL);
    let unchecked_slow =
        run_rounds(&mut unchecked, 0..100, &mut unchecked_now, slow_first_service_time);

    assert!(was_on_probation);
    assert!(checked.slow().is_empty());
    assert!(slow < 30, "{slow}");
    assert!(fast > 100, "{fast}");
    assert!(unchecked_slow > 2 * slow, "{unchecked_slow} {slow}");
}

#[test]
fn probation_starts_before_a_stalled_request_ends() {
    let mut now = Instant::now();
    let mut chooser = chooser((0..4).map(|i| replica(i, "a")).collect(), ChooserChecks::default());
    run_one_by_one(&mut chooser, 0..100, &mut now, |_| NORMAL);
    let mut stuck = Vec::new();
    for id in 100..116 {
        stuck.push(chooser.choose(&request(id), now).unwrap().vm);
    }
    now += NORMAL;
    for (index, stuck) in stuck.iter().enumerate().filter(|(_, stuck)| **stuck != vm(2)) {
        assert_ne!(*stuck, vm(2));
        chooser.close_credit(request(100 + index as u128).id, CreditEnd::Served(NORMAL), now);
    }

    chooser.update_probation(now + NORMAL * 4);

    assert_eq!(chooser.slow(), [&vm(2)]);
}

#[test]
fn probation_is_limited_to_half_of_the_replicas() {
    let mut now = Instant::now();
    let mut chooser = chooser((0..4).map(|i| replica(i, "a")).collect(), ChooserChecks::default());
    run_one_by_one(&mut chooser, 0..100, &mut now, |_| NORMAL);

    for id in 100..116 {
        chooser.choose(&request(id), now).unwrap();
    }
    chooser.update_probation(now + NORMAL * 50);

    assert_eq!(chooser.slow().len(), 2);
    assert_eq!(chooser.slot_total(), 16);
}

#[test]
fn own_zone_is_preferred_until_overloaded() {
    let replicas = || vec![replica(0, "a"), replica(1, "b"), replica(2, "b")];
    let anywhere = ChooserChecks { prefer_own_zone: false, ..ChooserChecks::default() };
    let now = Instant::now();
    let picks = |checks| {
        let mut chooser = chooser(replicas(), checks);
        (0..12).map(|id| chooser.choose(&request(id), now).unwrap().vm).collect::<Vec<_>>()
    };

    let preferred = picks(ChooserChecks::default());
    let spread = picks(anywhere);

    assert_eq!(preferred[..2], [vm(0), vm(0)]);
    assert_eq!(preferred.iter().filter(|vm_id| **vm_id == vm(0)).count(), 4);
    assert!(spread[..3].iter().any(|vm_id| *vm_id != vm(0)));
}

#[test]
fn draining_replica_gets_no_new_work() {
    let now = Instant::now();
    let replicas = || vec![replica(0, "a"), replica(1, "a")];
    let off = ChooserChecks { draining: false, ..ChooserChecks::default() };
    let picks = |checks| {
        let mut chooser = chooser(replicas(), checks);
        chooser.drain(&vm(0));
        (0..4).filter(|id| chooser.choose(&request(*id), now).unwrap().vm == vm(0)).count()
    };

    assert_eq!(picks(ChooserChecks::default()), 0);
    assert!(picks(off) > 0);
}

#[test]
fn new_incarnation_ends_old_credits() {
    let now = Instant::now();
    let restarted = ReplicaInfo { incarnation: ProcessIncarnation(2), ..replica(0, "a") };
    let off = ChooserChecks { incarnations: false, ..ChooserChecks::default() };
    let restart = |checks| {
        let mut chooser = chooser(vec![replica(0, "a")], checks);
        (0..4).for_each(|id| drop(chooser.choose(&request(id), now)));
        let lost = chooser.upsert(restarted.clone(), now);
        (lost.len(), chooser.choose(&request(9), now).map(|choice| choice.incarnation))
    };

    assert_eq!(restart(ChooserChecks::default()), (4, Some(ProcessIncarnation(2))));
    assert_eq!(restart(off), (0, None));
}

#[test]
fn hedge_excludes_tried_replicas() {
    let now = Instant::now();
    let mut chooser = chooser(vec![replica(0, "a")], ChooserChecks::default());
    let retry = ReplicaRequest { tried: vec![vm(0)], ..request(1) };
    let hedge = ReplicaRequest { exclude_tried: true, tried: vec![vm(0)], ..request(2) };

    let retried = chooser.choose(&retry, now);
    let hedged = chooser.choose(&hedge, now);

    assert_eq!(retried.map(|choice| choice.vm), Some(vm(0)));
    assert_eq!(hedged, None);
}

#[test]
fn long_work_is_limited_on_each_replica() {
    let now = Instant::now();
    let mut chooser = chooser((0..3).map(|i| replica(i, "a")).collect(), ChooserChecks::default());

    chooser.set_long_limit(6);

    for id in 0..6 {
        let long = ReplicaRequest { class: WorkClass::Long, ..request(id) };
        chooser.choose(&long, now).unwrap();
    }

    assert_eq!((0..3).map(|i| chooser.outstanding(&vm(i))).collect::<Vec<_>>(), [2, 2, 2]);
}

#[test]
fn load_report_is_weighted_low() {
    let now = Instant::now();
    let mut chooser = chooser(vec![replica(0, "a"), replica(1, "a")], ChooserChecks::default());
    chooser.record_load(&vm(0), 4, now);

    let picks: Vec<VmId> = (0..8).map(|id| chooser.choose(&request(id), now).unwrap().vm).collect();

    assert_eq!(picks[0], vm(1));
    assert_eq!(picks.iter().filter(|vm_id| **vm_id == vm(0)).count(), 4);
}
