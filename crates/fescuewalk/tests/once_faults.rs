//! Keyed calls while processes die and freeze and the store misbehaves, alone and in pairs: no key
//! runs twice, and no request that was refused as not run ran.

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

const KEYS: usize = 60;
/// Times that a caller sends a key while it has no whole answer.
const SENDS: usize = 4;
const KEY_GAP: Duration = Duration::from_millis(20);
const FAULT_START: Duration = Duration::from_millis(300);
const FAULT_TIME: Duration = Duration::from_millis(500);

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
    time::sleep(FAULT_TIME).await;
    process.signal("CONT");
}

async fn misbehave(address: SocketAddr, fault: Value) {
    admin(address, "PUT", "fault", fault).await;
    time::sleep(FAULT_TIME).await;
    admin(address, "PUT", "fault", json!({})).await;
}

async fn inject(fleet: &Fleet, fault: PathFault) {
    let (entry, side) = (&fleet.entries[1], &fleet.sides[2]);
    match fault {
        PathFault::EntryKilled => entry.signal("KILL"),
        PathFault::EntryFrozen => freeze(entry).await,
        PathFault::SideKilled => {
            // Slow calls, so that some are in flight.
            admin(fleet.service(), "PUT", "fault", json!({ "slow_factor": 100.0 })).await;
            time::sleep(FAULT_TIME / 4).await;
            side.signal("KILL");
        }
        PathFault::SideFrozen => freeze(side).await,
        PathFault::StoreDown => misbehave(fleet.platform(), json!({ "down": true })).await,
        PathFault::StoreSlow => misbehave(fleet.platform(), json!({ "delay_ms": 300 })).await,
        PathFault::StoreLosesAnswers => {
            misbehave(fleet.platform(), json!({ "lost_answers": 4 })).await;
        }
        PathFault::ServiceLosesAnswers => {
            misbehave(fleet.service(), json!({ "lost_answers": 6 })).await;
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

/// What a caller saw of one key.
struct KeyTrack {
    key: String,
    outcomes: Vec<CallOutcome>,
}

impl KeyTrack {
    fn is_answered(&self) -> bool {
        self.outcomes.iter().any(|outcome| outcome.verdict == CallVerdict::Complete)
    }

    fn not_run(&self) -> impl Iterator<Item = &String> {
        let not_run = |outcome: &&CallOutcome| {
            matches!(outcome.verdict, CallVerdict::Refused { run: RunState::NotRun, .. })
        };
        self.outcomes.iter().filter(not_run).filter_map(|outcome| outcome.request_id.as_ref())
    }
}

async fn call(entries: Vec<SocketAddr>, number: usize) -> KeyTrack {
    time::sleep(KEY_GAP * number as u32).await;
    let key = match number % 3 {
        0 => format!("opaque-{number}"),
        _ => format!("{}-order-{number}", clock::since_epoch().as_secs()),
    };
    let sender = EntryClient::new(Duration::from_secs(3));
    let mut track = KeyTrack { key, outcomes: Vec::new() };
    for send in 0..SENDS {
        let entry = entries[(number + send) % entries.len()];
        track.outcomes.push(sender.send(entry, &order(&track.key)).await);
        if track.is_answered() {
            break;
        }
        time::sleep(Duration::from_millis(150)).await;
    }
    track
}

async fn run_history(faults: &[PathFault]) {
    let fleet = start_fleet().await;
    let entries = fleet.addresses();
    let calls = (0..KEYS).map(|number| tokio::spawn(call(entries.clone(), number)));
    let calls = calls.collect::<Vec<_>>();
    time::sleep(FAULT_START).await;
    for fault in faults {
        inject(&fleet, *fault).await;
    }
    let mut tracks = Vec::new();
    for call in calls {
        tracks.push(call.await.unwrap());
    }

    let records = admin(fleet.service(), "GET", "records", Value::Null).await;
    check(&tracks, records["calls"].as_array().unwrap());
    let answered = tracks.iter().filter(|track| track.is_answered()).count();
    let least = if faults.is_empty() { KEYS } else { 1 };
    assert!(answered >= least, "{answered} keys were answered");
}

fn check(tracks: &[KeyTrack], calls: &[Value]) {
    let ran = calls.iter().map(|call| call["request_id"].as_str().unwrap().to_owned());
    let ran = ran.collect::<BTreeSet<_>>();
    for track in tracks {
        let runs = calls.iter().filter(|call| call["key"] == track.key.as_str()).count();
        assert!(runs <= 1, "{} ran {runs} times", track.key);
        assert!(runs == 1 || !track.is_answered(), "{} was answered and did not run", track.key);
        for id in track.not_run() {
            assert!(!ran.contains(id), "{id} of {} was refused as not run and ran", track.key);
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
async fn no_key_runs_twice_and_refusals_are_true(#[case] faults: &[PathFault]) {
    run_history(faults).await;
}
