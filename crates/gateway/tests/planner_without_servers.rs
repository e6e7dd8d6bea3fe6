//! The entry that would plan knows no backend servers, or a part of them: another one plans.

mod support;

use base::prelude::*;
use platform_standin::{EngineOptions, StoreFault, StoreStandin};
use rstest::rstest;
use serde_json::json;
use support::{TestFleet, call, plain, stream};
use tokio::{net::TcpListener, time};

/// Time within which callers are served again after machines have returned.
const RECOVER: Duration = Duration::from_secs(12);

/// Guards against streams that are refused everywhere because one entry cannot list all servers.
#[rstest]
#[case::no_page(&[], 503)]
#[case::first_page(&["s-0"], 200)]
#[tokio::test]
async fn model_is_loaded_although_the_last_entry_lists_no_engine(
    #[case] listed: &[&str],
    #[case] expected_readiness: u16,
) {
    let mut fleet = TestFleet::start().await;
    fleet.add_service("s-0").await;
    fleet.add_gateway().await;
    let first = fleet.peer_address(0);
    let [a, b, c, host] = match first.ip() {
        std::net::IpAddr::V4(ip) => ip.octets(),
        std::net::IpAddr::V6(ip) => panic!("{ip} is no loopback address of a test"),
    };
    let last = std::net::SocketAddr::new([a, b, c, host + 2].into(), first.port());
    fleet.store.write("fescuewalk-entries", "entry-2", &json!(last.to_string()));
    fleet.add_gateway().await;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let away = StoreStandin::start(listener).expect("it is bound");
    match listed {
        [] => away.set_fault(StoreFault::Busy),
        listed => {
            away.set_page_size(1);
            away.write("servers", "z-odd", &json!([]));
            for server in listed {
                let entry = fleet.store.read("servers", server).expect("it is in service");
                away.write("servers", server, &entry);
                away.break_page("servers", server, 400, "");
            }
        }
    }
    fleet.store_address = away.address();
    fleet.add_gateway().await;
    time::sleep(Duration::from_secs(2)).await;
    let options = EngineOptions { on_disk: vec!["m1".to_owned()], ..EngineOptions::new("i-0") };
    let engine = fleet.add_engine(options).await;
    fleet.add_agent(engine).await;

    let deadline = Instant::now() + RECOVER;
    let mut status = 0;
    for number in 0.. {
        let request = stream("/chat/", "m1", &format!("c-{number}"));
        status = call(fleet.callers(0), request).await.status();
        if status == 200 || Instant::now() > deadline {
            break;
        }
        time::sleep(Duration::from_millis(100)).await;
    }
    let readiness = call(fleet.ready_addresses[2], plain("GET", "/ready", "c-1")).await.status();

    assert_eq!((status, readiness), (200, expected_readiness));
}
