//! Backend servers whose refusals say for how long they want no requests.

mod support;

use base::prelude::*;
use platform_standin::ServiceFault;
use support::{CallOutcome, TestFleet, plain};
use tokio::time;

/// What the refusals ask for.
const PAUSE: Duration = Duration::from_secs(2);
/// Requests that may reach a paused server.
const MAX_ARRIVALS: u32 = 2;

fn refusing() -> ServiceFault {
    ServiceFault { refusals: u32::MAX, retry_after: Some("2"), ..ServiceFault::default() }
}

async fn start_fleet(services: usize) -> TestFleet {
    let mut fleet = TestFleet::start().await;
    for index in 0..services {
        fleet.add_service(&format!("s-{index}")).await;
    }
    fleet.add_gateway().await;
    fleet
}

async fn send(fleet: &TestFleet, name: &str) -> CallOutcome {
    fleet.call(plain("POST", "/order/a", name)).await
}

/// Sends requests until the service with the index 0 has refused one.
async fn meet_refusal(fleet: &TestFleet) -> Instant {
    fleet.services[0].set_fault(refusing());
    for number in 0.. {
        send(fleet, &format!("first-{number}")).await;
        if fleet.services[0].refused() > 0 {
            break;
        }
        assert!(number < 100, "no request reached the refusing service");
    }
    Instant::now()
}

#[tokio::test]
async fn server_that_wants_nothing_gets_nothing_until_its_time_is_over() {
    let fleet = start_fleet(2).await;
    let refused_at = meet_refusal(&fleet).await;
    let before = fleet.services[0].refused();

    let mut number = 0;
    while refused_at.elapsed() < PAUSE - Duration::from_millis(100) {
        number += 1;
        let outcome = send(&fleet, &format!("c-{number}")).await;
        assert_eq!(outcome.status(), 200, "the other serves: {outcome:?}");
        time::sleep(Duration::from_millis(20)).await;
    }
    let arrivals = fleet.services[0].refused() - before;
    assert!(arrivals <= MAX_ARRIVALS, "{arrivals} requests within the pause");

    fleet.services[0].set_fault(ServiceFault::default());
    time::sleep(Duration::from_millis(300)).await;
    for number in 0..20 {
        send(&fleet, &format!("d-{number}")).await;
    }
    assert!(!fleet.services[0].records().is_empty(), "it is used again after the pause");
}

#[tokio::test]
async fn callers_are_refused_at_once_while_all_servers_want_nothing() {
    let fleet = start_fleet(2).await;
    fleet.services[1].set_fault(refusing());
    let refused_at = meet_refusal(&fleet).await;
    while fleet.services[1].refused() == 0 {
        send(&fleet, "more").await;
    }
    let before: u32 = fleet.services.iter().map(|service| service.refused()).sum();

    let mut waits = Vec::new();
    for number in 0..10 {
        let sent = Instant::now();
        let outcome = send(&fleet, &format!("c-{number}")).await;
        assert_eq!(outcome.status(), 503, "{outcome:?}");
        assert!(sent.elapsed() < Duration::from_millis(100), "held for {:?}", sent.elapsed());
        let wait: f64 =
            outcome.header("retry-after").and_then(|text| text.parse().ok()).expect("a time");
        assert!(
            sent + Duration::from_secs_f64(wait) + Duration::from_millis(50) >= refused_at + PAUSE,
            "not before the end of the pause: {wait}"
        );
        assert!(wait <= 3.0, "{wait} s");
        waits.push((wait * 100.0) as u32);
    }

    let after: u32 = fleet.services.iter().map(|service| service.refused()).sum();
    assert_eq!(after, before, "nothing is sent meanwhile");
    waits.sort_unstable();
    waits.dedup();
    assert!(waits.len() >= 5, "callers return at different moments: {waits:?}");
}
