//! Calls with idempotency keys while processes are killed or frozen and the store or service fails,
//! one fault at a time and in pairs. Guards against a key that runs twice, and against a request
//! that ran although it was refused with the state `not run`.

mod support;

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use base::{clock, prelude::*};
use rstest::rstest;
use serde_json::{Value, json};
use standin::load::{CallKind, CallOutcome, CallVerdict, EntryClient, ScriptedCall, ServiceCall};
use support::{
    Process,
    fleet::{Fleet, admin, start_fleet},
};
use tokio::time;

const KEY_COUNT: usize = 60;
/// Maximum number of sends of one key; the caller repeats its call until it gets a complete answer.
const MAX_SENDS: usize = 4;
const SEND_INTERVAL: Duration = Duration::from_millis(20);
const FAULT_DELAY: Duration = Duration::from_millis(300);
const FAULT_DURATION: Duration = Duration::from_millis(500);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PathFault {
    EntryKilled,
    EntryFrozen,
    SideKilled,
    SideFrozen,
    StoreDown,
    StoreSlow,
    StoreLosesAnswers,
    ServiceLosesAnswers,
}

async fn freeze(process: &Process) {
    process.signal("STOP");
    time::sleep(FAULT_DURATION).await;
    process.signal("CONT");
}

/// Sets a fault of a stand-in for [`FAULT_DURATION`].
async fn apply_fault(address: SocketAddr, fault: Value) {
    admin(address, "PUT", "fault", fault).await;
    time::sleep(FAULT_DURATION).await;
    admin(address, "PUT", "fault", json!({})).await;
}

async fn inject(fleet: &Fleet, fault: PathFault) {
    let (entry, side) = (&fleet.entries[1], &fleet.sides[2]);
    match fault {
        PathFault::EntryKilled => entry.signal("KILL"),
        PathFault::EntryFrozen => freeze(entry).await,
        PathFault::SideKilled => {
            // Slows down calls, so that some are in flight when the process is killed.
            admin(fleet.service(), "PUT", "fault", json!({ "slow_factor": 100.0 })).await;
            time::sleep(FAULT_DURATION / 4).await;
            side.signal("KILL");
        }
        PathFault::SideFrozen => freeze(side).await,
        PathFault::StoreDown => apply_fault(fleet.platform(), json!({ "down": true })).await,
        PathFault::StoreSlow => apply_fault(fleet.platform(), json!({ "delay_ms": 300 })).await,
        PathFault::StoreLosesAnswers => {
            apply_fault(fleet.platform(), json!({ "lost_answers": 4 })).await;
        }
        PathFault::ServiceLosesAnswers => {
            apply_fault(fleet.service(), json!({ "lost_answers": 6 })).await;
        }
    }
}

fn order(key: &str) -> ScriptedCall {
    let call = ServiceCall {
        service: "vrbovka".to_owned(),
        method: "POST".to_owned(),
        path: "/orders".to_owned(),
        key: Some(key.to_owned()),
        body: "open the sluice".to_owned(),
    };
    let kind = CallKind::Service(call);
    ScriptedCall { at: Duration::ZERO, customer_key: "crew-key".to_owned(), kind }
}

/// Outcomes of all sends of one key.
struct KeyHistory {
    key: String,
    outcomes: Vec<CallOutcome>,
}

impl KeyHistory {
    fn is_answered(&self) -> bool {
        self.outcomes.iter().any(|outcome| outcome.verdict == CallVerdict::Complete)
    }

    fn ids_refused_as_not_run(&self) -> impl Iterator<Item = &String> {
        let not_run = |outcome: &&CallOutcome| {
            matches!(outcome.verdict, CallVerdict::Refused { run: RunState::NotRun, .. })
        };
        self.outcomes.iter().filter(not_run).filter_map(|outcome| outcome.request_id.as_ref())
    }
}

async fn send_key(entries: Vec<SocketAddr>, number: usize) -> KeyHistory {
    time::sleep(SEND_INTERVAL * number as u32).await;
    let key = match number % 3 {
        0 => format!("opaque-{number}"),
        _ => format!("{}-order-{number}", clock::since_epoch().as_secs()),
    };
    let sender = EntryClient::new(Duration::from_secs(3));
    let mut history = KeyHistory { key, outcomes: Vec::new() };
    for send in 0..MAX_SENDS {
        let entry = entries[(number + send) % entries.len()];
        history.outcomes.push(sender.send(entry, &order(&history.key)).await);
        if history.is_answered() {
            break;
        }
        time::sleep(Duration::from_millis(150)).await;
    }
    history
}

async fn run_with_faults(faults: &[PathFault]) {
    let fleet = start_fleet().await;
    let entries = fleet.addresses();
    let calls = (0..KEY_COUNT).map(|number| tokio::spawn(send_key(entries.clone(), number)));
    let calls = calls.collect::<Vec<_>>();
    time::sleep(FAULT_DELAY).await;
    for fault in faults {
        inject(&fleet, *fault).await;
    }
    let mut histories = Vec::new();
    for call in calls {
        histories.push(call.await.unwrap());
    }

    let records = admin(fleet.service(), "GET", "records", Value::Null).await;
    check(&histories, records["calls"].as_array().unwrap());
    let answered = histories.iter().filter(|history| history.is_answered()).count();
    let min_answered = if faults.is_empty() { KEY_COUNT } else { 1 };
    assert!(answered >= min_answered, "only {answered} keys were answered");
}

fn check(histories: &[KeyHistory], calls: &[Value]) {
    let executed = calls.iter().map(|call| call["request_id"].as_str().unwrap().to_owned());
    let executed = executed.collect::<BTreeSet<_>>();
    for history in histories {
        let runs = calls.iter().filter(|call| call["key"] == history.key.as_str()).count();
        assert!(runs <= 1, "{} ran {runs} times", history.key);
        assert!(
            runs == 1 || !history.is_answered(),
            "{} was answered but did not run",
            history.key
        );
        for id in history.ids_refused_as_not_run() {
            assert!(
                !executed.contains(id),
                "{id} of {} was refused as not run, but ran",
                history.key
            );
        }
    }
}

#[rstest]
#[case::none(&[])]
#[case::entry_killed(&[PathFault::EntryKilled])]
#[case::entry_frozen(&[PathFault::EntryFrozen])]
#[case::side_killed(&[PathFault::SideKilled])]
#[case::side_frozen(&[PathFault::SideFrozen])]
#[case::store_down(&[PathFault::StoreDown])]
#[case::store_slow(&[PathFault::StoreSlow])]
#[case::store_loses_answers(&[PathFault::StoreLosesAnswers])]
#[case::service_loses_answers(&[PathFault::ServiceLosesAnswers])]
#[case::frozen_and_lost(&[PathFault::EntryFrozen, PathFault::StoreLosesAnswers])]
#[case::lost_and_killed(&[PathFault::StoreLosesAnswers, PathFault::EntryKilled])]
#[case::down_and_frozen(&[PathFault::StoreDown, PathFault::SideFrozen])]
#[case::slow_and_killed(&[PathFault::StoreSlow, PathFault::SideKilled])]
#[case::frozen_twice(&[PathFault::SideFrozen, PathFault::EntryFrozen])]
#[case::lost_twice(&[PathFault::ServiceLosesAnswers, PathFault::StoreLosesAnswers])]
#[tokio::test]
async fn keys_run_at_most_once_and_refusals_are_correct(#[case] faults: &[PathFault]) {
    run_with_faults(faults).await;
}
