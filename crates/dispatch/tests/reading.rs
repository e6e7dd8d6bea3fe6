//! Prompts that come together at an engine.
//!
//! Load pattern: a clump of requests for one model. An engine reads prompts between the tokens of
//! the streams that run, so many prompts at once stretch every pause of those streams beyond what
//! their callers accept, although no request waits long for its first event.

mod common;

use std::collections::BTreeMap;

use base::prelude::*;
use common::{
    ENGINES, desk,
    engine::{EngineSim, TOY_DESK},
    instance,
    replay::{Arrival, Desks, InTurn, Served, play},
    server,
};
use roster::InstanceId;

/// Longest pause for which a stream of the toy desk is on time.
const PAUSE_GOAL: Duration = Duration::from_millis(250);

/// A quiet stream on each engine, then twenty requests within 40 ms.
fn clump(entries: usize) -> Vec<Arrival> {
    let arrival = |at: u64, entry: usize| Arrival {
        at: Duration::from_millis(at),
        entry,
        model: "m".to_owned(),
        prompt: 1_460,
        output: 170,
    };
    let quiet = [arrival(0, 0), arrival(200, 0)];
    let clump = (0..20).map(|number| arrival(400 + number * 2, number as usize % entries));
    quiet.into_iter().chain(clump).collect()
}

fn engines() -> BTreeMap<InstanceId, EngineSim> {
    ["i-1", "i-2"].map(|name| (instance(name), EngineSim::new(TOY_DESK))).into()
}

fn desks(count: usize, now: Instant) -> Desks {
    let desk = |_| {
        let mut desk = desk();
        desk.set_entries(count);
        desk.upsert_server(&server("i-1", ENGINES, &["m"]), now);
        desk.upsert_server(&server("i-2", ENGINES, &["m"]), now);
        desk
    };
    Desks::new((0..count).map(desk).collect())
}

fn late(served: &[Served]) -> usize {
    served.iter().filter(|one| !one.is_complete || one.pause > PAUSE_GOAL).count()
}

#[test]
fn a_clump_at_one_entry_stretches_no_pause_beyond_its_goal() {
    let now = Instant::now();

    let served = play(&mut desks(1, now), &mut engines(), &clump(1), now);

    assert_eq!(late(&served), 0, "{served:?}");
}

#[test]
fn sent_in_turn_the_same_clump_makes_streams_late() {
    let now = Instant::now();
    let mut naive = InTurn::new(vec![instance("i-1"), instance("i-2")]);

    let served = play(&mut naive, &mut engines(), &clump(1), now);

    assert!(late(&served) >= 5, "{served:?}");
}
