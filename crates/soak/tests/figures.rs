//! A gateway whose platform states figures that we did not expect still starts and serves.

use std::{net::SocketAddr, path::Path};

use base::prelude::*;
use connections::Connection;
use nix::sys::signal::Signal;
use proof::binaries::ProgramPaths;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use serde_json::{Value, json};
use soak::{
    callers::{connect_settings, request},
    deployed::{DeployedFleet, DeploymentSize},
};
use tokio::time;

const ONE_ENTRY: DeploymentSize = DeploymentSize { entries: 1, engines: 0, services: 1, models: 1 };
/// Time within which a process serves after its start.
const START_LIMIT: Duration = Duration::from_secs(8);
/// Time from SIGTERM until the platform kills a process.
const GRACE: Duration = Duration::from_secs(8);

/// Time over which calls of the store are counted.
const COUNTED_TIME: Duration = Duration::from_secs(3);
/// Most calls of one process then; the store takes 2,000 a second from all.
const MAX_STORE_CALLS: u64 = 200;

/// Subnet of a case, which its test names; cases run at the same time.
async fn start_with(fields: &[(&str, Value)], case: u8) -> DeployedFleet {
    let programs = ProgramPaths::build().expect("the programs build");
    let name = format!("figures-{case}-{}", std::process::id());
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let mut fleet =
        DeployedFleet::new(ONE_ENTRY, &programs, &directory, case).await.expect("free addresses");
    fleet.rules.fields =
        fields.iter().map(|(path, value)| ((*path).to_owned(), value.clone())).collect();
    fleet.start_all(&mut ChaCha8Rng::seed_from_u64(case.into())).await.expect("it starts");
    fleet
}

/// Whether a call of the plain service is served before `limit`.
async fn is_served(address: SocketAddr, limit: Duration) -> bool {
    let deadline = Instant::now() + limit;
    let mut number = 0;
    while Instant::now() < deadline {
        number += 1;
        let call = request(&format!("f-{number}"), "GET", "/read/a", None, Duration::from_secs(1));
        if let Ok(mut connection) = Connection::open(address, &connect_settings()).await
            && let Ok(Ok(answer)) =
                time::timeout(Duration::from_secs(1), connection.send(call)).await
            && answer.status() == 200
        {
            return true;
        }
        time::sleep(Duration::from_millis(50)).await;
    }
    false
}

/// Stops the gateway as the platform does, and returns whether it ended in its grace.
async fn stops(fleet: &mut DeployedFleet) -> bool {
    fleet.vms[0].signal(Signal::SIGTERM);
    let deadline = Instant::now() + GRACE;
    while Instant::now() < deadline {
        if let Some(status) = fleet.vms[0].take_exit() {
            return status.success();
        }
        time::sleep(Duration::from_millis(20)).await;
    }
    false
}

/// Guards against a VM without its process because a platform states a figure for "no limit", none, or
/// one of another type or size than expected.
#[rstest]
#[case::descriptors_of_a_container("/limits/max-fds", json!(1_073_741_816), 180)]
#[case::descriptors_of_64_bits("/limits/max-fds", json!(u64::MAX), 181)]
#[case::descriptors_below_zero("/limits/max-fds", json!(-1), 182)]
#[case::descriptors_in_words("/limits/max-fds", json!("unlimited"), 183)]
#[case::descriptors_of_zero("/limits/max-fds", json!(0), 184)]
#[case::memory_of_64_bits("/limits/memory-mb", json!(u64::MAX), 185)]
#[case::memory_below_zero("/limits/memory-mb", json!(-1), 186)]
#[case::memory_with_an_exponent("/limits/memory-mb", json!("2.6e2"), 187)]
#[case::memory_of_zero("/limits/memory-mb", json!(0), 188)]
#[case::core_share_in_words("/limits/cpu-share", json!("max"), 189)]
#[case::core_share_of_zero("/limits/cpu-share", json!(0), 190)]
#[case::grace_with_an_exponent("/bounds/grace-s", json!("8e0"), 191)]
#[case::grace_beyond_64_bits("/bounds/grace-s", json!(1e300), 192)]
#[case::drain_time_of_zero("/bounds/drain-ms", json!(0), 193)]
#[case::drain_time_below_zero("/bounds/drain-ms", json!(-1), 194)]
#[case::window_of_zero("/bounds/budget-window-s", json!(0), 195)]
#[case::window_of_64_bits("/bounds/budget-window-s", json!(u64::MAX), 196)]
#[case::ratio_in_words("/bounds/retry-budget-ratio", json!("none"), 197)]
#[case::ratio_of_a_list("/bounds/retry-budget-ratio", json!([0.2, 0.3]), 198)]
#[case::several_graces("/bounds/grace-s", json!([8, 9]), 199)]
#[case::allowance_as_a_table("/bounds/retry-allowance", json!({ "all": 54 }), 200)]
#[tokio::test]
async fn unexpected_figure_does_not_keep_the_process_from_serving(
    #[case] field: &str,
    #[case] value: Value,
    #[case] case: u8,
) {
    let mut fleet = start_with(&[(field, value)], case).await;

    let is_served = is_served(fleet.caller_addresses()[0], START_LIMIT).await;

    fleet.note_exits();
    assert!(fleet.exits.is_empty(), "{:?}", fleet.exits);
    assert!(is_served, "no request is served: {}", fleet.vms[0].last_lines(6));
    assert!(stops(&mut fleet).await, "it did not end in its grace with status 0");
}

/// Guards against a process that asks the store without a pause because changes must be known at once.
#[tokio::test]
async fn drain_time_of_zero_leaves_the_store_to_others() {
    let mut fleet = start_with(&[("/bounds/drain-ms", json!(0))], 201).await;
    assert!(is_served(fleet.caller_addresses()[0], START_LIMIT).await);

    let before = fleet.store.calls();
    time::sleep(COUNTED_TIME).await;
    let calls = fleet.store.calls() - before;

    assert!(calls <= MAX_STORE_CALLS, "{calls} calls in {COUNTED_TIME:?}");
    assert!(stops(&mut fleet).await, "it did not end in its grace with status 0");
}
