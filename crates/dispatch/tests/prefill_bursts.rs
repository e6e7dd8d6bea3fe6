//! Bursts of prompts at an engine.
//!
//! An engine prefills prompts between the tokens of its running streams, so a burst of prompts
//! stretches the gaps between the events of those streams beyond what their callers accept, even
//! if no request waits long for its first event.

mod common;

use std::collections::BTreeMap;

use base::prelude::*;
use common::{
    ENGINES, dispatcher,
    engine::{EngineSim, TOY_DESK},
    instance,
    replay::{Arrival, Dispatchers, RoundRobin, Served, replay},
    server,
};
use roster::InstanceId;

/// Goal for the gap between two events of a stream, by the workload sheet of the toy desk.
const GAP_GOAL: Duration = Duration::from_millis(250);

/// One stream on each engine, then twenty requests within 40 ms.
fn burst(entries: usize) -> Vec<Arrival> {
    let arrival = |at: u64, entry: usize| Arrival {
        at: Duration::from_millis(at),
        entry,
        model: "m".to_owned(),
        prompt: 1_460,
        output: 170,
    };
    let running = [arrival(0, 0), arrival(200, 0)];
    let burst = (0..20).map(|number| arrival(400 + number * 2, number as usize % entries));
    running.into_iter().chain(burst).collect()
}

fn engines() -> BTreeMap<InstanceId, EngineSim> {
    ["i-1", "i-2"].map(|name| (instance(name), EngineSim::new(TOY_DESK))).into()
}

fn dispatchers(count: usize, now: Instant) -> Dispatchers {
    let dispatcher = |_| {
        let mut dispatcher = dispatcher();
        dispatcher.set_entries(count);
        dispatcher.upsert_server(&server("i-1", ENGINES, &["m"]), now);
        dispatcher.upsert_server(&server("i-2", ENGINES, &["m"]), now);
        dispatcher
    };
    Dispatchers::new((0..count).map(dispatcher).collect())
}

fn count_late(served: &[Served]) -> usize {
    served.iter().filter(|result| !result.is_complete || result.gap > GAP_GOAL).count()
}

#[test]
fn burst_at_one_entry_keeps_gap_goal() {
    let now = Instant::now();

    let served = replay(&mut dispatchers(1, now), &mut engines(), &burst(1), now);

    assert_eq!(count_late(&served), 0, "{served:?}");
}

#[test]
fn round_robin_misses_gap_goal_in_same_burst() {
    let now = Instant::now();
    let mut round_robin = RoundRobin::new(vec![instance("i-1"), instance("i-2")]);

    let served = replay(&mut round_robin, &mut engines(), &burst(1), now);

    assert!(count_late(&served) >= 5, "{served:?}");
}
