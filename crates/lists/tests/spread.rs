//! Tests of the distribution: random histories of edits and faults, which must end in the same
//! state as nodes that poll the store, and tests of single faults.

mod fleet;

use base::prelude::*;
use fleet::{Fleet, FleetPlan, NetFault};
use lists::spread::CopyChecks;

/// Seed entries of every process of the first zone.
const SEED_ENTRIES: [&str; 3] = ["entry-0-0", "entry-0-1", "entry-0-2"];
const SECOND: Duration = Duration::from_secs(1);

fn converged_fleet(seed: u64) -> Fleet {
    let mut fleet = Fleet::new(&FleetPlan::new(seed));
    fleet.run(SECOND * 15);
    fleet
}

fn vm(name: &str) -> VmId {
    VmId::new(name).unwrap()
}

fn random_step(fleet: &mut Fleet) {
    let names = fleet.names();
    let name = names[fleet.random(names.len() as u64) as usize].clone();
    match fleet.random(14) {
        0 => fleet.store_down = !fleet.store_down,
        1 => fleet.stop(&name),
        2 => fleet.start(&name),
        3 => fleet.list_vm(&name, false),
        4 => fleet.list_vm(&name, true),
        5 => fleet.net = NetFault { loss: 100, delay: Duration::from_millis(1_500) },
        6 => fleet.net = NetFault { loss: 0, delay: Duration::from_millis(3) },
        7 => drop(fleet.isolated.insert(name)),
        8 => fleet.isolated.clear(),
        9 => fleet.store_delay = SECOND * 4,
        10 => fleet.store_delay = Duration::from_millis(30),
        _ if !fleet.store_down => fleet.accept(),
        _ => {}
    }
    let millis = fleet.random(3_000);
    fleet.run(Duration::from_millis(millis));
}

/// Clears all faults, accepts an edit and records a fault for each node without it a minute later.
fn clear_and_check(fleet: &mut Fleet) {
    fleet.store_down = false;
    fleet.store_delay = Duration::from_millis(30);
    fleet.net = NetFault { loss: 0, delay: Duration::from_millis(3) };
    fleet.isolated.clear();
    for name in fleet.names() {
        fleet.list_vm(&name, true);
        if !fleet.is_up(&name) {
            fleet.start(&name);
        }
    }
    fleet.accept();
    fleet.run(SECOND * 60);
    fleet.check_end();
}

#[tokio::test(start_paused = true)]
async fn random_histories_converge_like_polling() {
    for seed in 0..24 {
        let mut fleet = Fleet::new(&FleetPlan::new(seed));

        for _ in 0..60 {
            random_step(&mut fleet);
        }
        clear_and_check(&mut fleet);

        assert_eq!(fleet.faults, [], "seed {seed}");
    }
}

#[tokio::test(start_paused = true)]
async fn edit_reaches_all_nodes_within_a_second() {
    let mut fleet = converged_fleet(1);

    fleet.accept();
    fleet.run(SECOND);

    assert_eq!(fleet.count_at(fleet.last()), fleet.names().len());
}

#[tokio::test(start_paused = true)]
async fn zone_without_relays_gets_edits() {
    let mut fleet = converged_fleet(2);
    let relays = fleet.relays("z0");
    for relay in &relays {
        fleet.stop(relay);
    }

    fleet.accept();
    fleet.run(SECOND * 13);

    assert_eq!(fleet.count_at(fleet.last()), fleet.names().len() - relays.len());
}

#[tokio::test(start_paused = true)]
async fn relays_restarted_before_outage_get_lists() {
    let mut fleet = converged_fleet(3);
    for relay in fleet.relays("z0") {
        fleet.start(&relay);
    }
    fleet.run(Duration::from_millis(300));
    let version = fleet.last();

    fleet.store_down = true;
    fleet.run(SECOND * 10);

    assert_eq!(fleet.count_at(version), fleet.names().len());
}

/// Restarts the side processes of a zone in a store outage while the entry `stale` lags behind.
fn restart_beside_stale_entry(plan: &FleetPlan, stale: &str) -> Fleet {
    let mut fleet = Fleet::new(plan);
    fleet.run(SECOND * 15);
    fleet.isolated.insert(vm(stale));
    fleet.run(SECOND);
    fleet.accept();
    fleet.run(SECOND);
    fleet.store_down = true;
    for name in fleet.names().into_iter().filter(|name| name.as_str().starts_with("back-0")) {
        fleet.bridging.insert(name.clone());
        fleet.start(&name);
    }
    fleet.run(SECOND * 10);
    fleet
}

#[tokio::test(start_paused = true)]
async fn node_started_in_outage_uses_newest_lists_of_peers() {
    for stale in SEED_ENTRIES {
        let fleet = restart_beside_stale_entry(&FleetPlan::new(4), stale);

        assert_eq!(fleet.faults, []);
        assert_eq!(fleet.reverted, Default::default());
        assert_eq!(fleet.count_at(fleet.last()), fleet.names().len());
    }
}

#[tokio::test(start_paused = true)]
async fn starting_node_may_revert_without_queries() {
    let mut plan = FleetPlan::new(4);
    plan.settings.startup_query_time = Duration::ZERO;
    plan.settings.startup_queries = 0;

    let reverted = SEED_ENTRIES.map(|stale| restart_beside_stale_entry(&plan, stale).reverted);

    assert!(reverted.iter().any(|nodes| !nodes.is_empty()));
}

#[tokio::test(start_paused = true)]
async fn random_histories_find_reverts_without_newer_check() {
    let mut found = 0;
    for seed in 0..24 {
        let checks = CopyChecks { newer_only: false, ..CopyChecks::ALL };
        let mut fleet = Fleet::new(&FleetPlan { checks, ..FleetPlan::new(seed) });

        for _ in 0..60 {
            random_step(&mut fleet);
        }
        found += fleet.faults.len();
    }

    assert!(found > 0);
}

#[tokio::test(start_paused = true)]
async fn node_without_lists_is_not_ready() {
    let mut fleet = Fleet::new(&FleetPlan::new(5));
    fleet.store_down = true;

    fleet.run(SECOND * 30);

    assert!(fleet.names().iter().all(|name| !fleet.node(name).is_ready()));
}

#[tokio::test(start_paused = true)]
async fn status_names_lagging_nodes() {
    let mut fleet = converged_fleet(6);
    let stopped = vm("back-0-3");
    fleet.stop(&stopped);
    fleet.run(SECOND * 6);

    fleet.accept();
    fleet.run(SECOND * 6);

    let zone = |name| ZoneName::new(name).unwrap();
    let status = &fleet.statuses[&zone("z0")];
    assert_eq!(status.in_force, fleet.last());
    assert_eq!(status.nodes, 14);
    let lagging: Vec<_> = status.lagging.iter().map(|member| &member.node).collect();
    assert_eq!(lagging, [&stopped]);
    assert!(fleet.statuses[&zone("z1")].lagging.is_empty());
}

#[tokio::test(start_paused = true)]
async fn version_is_active_only_after_slowest_node() {
    let mut fleet = converged_fleet(7);
    let before = fleet.last();
    let slow = vm("back-0-3");
    fleet.isolated.insert(slow.clone());

    fleet.accept();
    fleet.run(SECOND * 2);

    let zone = ZoneName::new("z0").unwrap();
    assert_eq!(fleet.node(&slow).version(), before);
    assert_eq!(fleet.statuses[&zone].in_force, before);
}

#[tokio::test(start_paused = true)]
async fn node_children_stay_within_fan_out() {
    let plan = FleetPlan { entries: 60, sides: 60, ..FleetPlan::new(8) };
    let mut fleet = Fleet::new(&plan);

    fleet.run(SECOND * 15);

    let most = fleet.names().iter().map(|name| fleet.node(name).child_count()).max();
    assert!(most <= Some(3 + 1 + 6), "fan-out 3, the other relay, side processes: {most:?}");
}

#[tokio::test(start_paused = true)]
async fn random_messages_never_panic() {
    use lists::spread::{SpreadEvent, SpreadFrame};
    use proptest::{prelude::*, test_runner::TestRunner};
    use prost::Message;

    let mut runner = TestRunner::deterministic();
    let bytes = proptest::collection::vec(any::<u8>(), 0..80);
    let mut fleet = converged_fleet(9);
    let node = vm("entry-0-1");

    runner
        .run(&bytes, |bytes| {
            if let Ok(SpreadFrame { body: Some(body) }) = SpreadFrame::decode(bytes.as_slice()) {
                let mut copy = lists::spread::ListCopy::default();
                if let lists::spread::SpreadBody::Edits(edits) = body.clone() {
                    copy.apply_edits(edits);
                }
                if let lists::spread::SpreadBody::Copy(piece) = body {
                    copy.apply_piece(piece);
                }
            }
            Ok(())
        })
        .unwrap();
    let event = SpreadEvent::Received {
        from: vm("unknown-peer"),
        body: lists::spread::SpreadBody::Roster(Default::default()),
    };
    fleet.inject(&node, event);
    fleet.accept();
    fleet.run(SECOND * 2);
    assert_eq!(fleet.count_at(fleet.last()), fleet.names().len());
}
