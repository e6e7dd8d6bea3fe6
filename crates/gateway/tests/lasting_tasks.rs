//! Tasks of the gateway and the agent that panic: what they do goes on.

mod support;

use std::{
    collections::HashSet,
    net::{Ipv4Addr, SocketAddr},
    sync::{LazyLock, Mutex, MutexGuard, Once, PoisonError},
};

use base::prelude::*;
use log::{LevelFilter, Log, Metadata, Record};
use peers::{BlockQuery, ChangeRequest, DatagramBody, PeerSocket, SideHeartbeat};
use platform_standin::EngineOptions;
use support::{TestFleet, eventually, plain};
use tokio::time;

/// Texts of records at which the logger panics, once for each thread.
const DEADLY_TEXTS: [&str; 3] =
    ["without a valid VM name", "ignoring the object \"odd-1\"", "ignoring a change request"];
/// Time within which a task goes on, on a loaded machine.
const GOES_ON_WITHIN: Duration = Duration::from_secs(5);

/// Names of the threads on which the logger has panicked, with the texts.
static PANICS: LazyLock<Mutex<HashSet<(String, &'static str)>>> = LazyLock::new(Mutex::default);

fn panics() -> MutexGuard<'static, HashSet<(String, &'static str)>> {
    PANICS.lock().unwrap_or_else(PoisonError::into_inner)
}

fn thread_name() -> String {
    std::thread::current().name().unwrap_or_default().to_owned()
}

/// Waits until a task of this test has panicked at `text`.
async fn wait_for_panic(text: &'static str) {
    let key = (thread_name(), text);
    eventually("the task panics", || panics().contains(&key)).await;
}

/// A logger that panics at some records: a fault in the midst of a task.
struct DeadlyLogger;

impl Log for DeadlyLogger {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let text = record.args().to_string();
        let Some(deadly) = DEADLY_TEXTS.iter().find(|deadly| text.contains(*deadly)) else {
            return;
        };
        let is_first = panics().insert((thread_name(), *deadly));
        assert!(!is_first, "a panic of a test: {text}");
    }

    fn flush(&self) {}
}

fn install_deadly_logger() {
    static INSTALLED: Once = Once::new();
    INSTALLED.call_once(|| {
        log::set_logger(&DeadlyLogger).expect("no other logger");
        log::set_max_level(LevelFilter::Warn);
    });
}

/// A fleet of two plain servers, an engine with its agent, and a gateway.
async fn start_fleet() -> TestFleet {
    install_deadly_logger();
    let mut fleet = TestFleet::start().await;
    for instance in ["s-1", "s-2"] {
        fleet.add_service(instance).await;
    }
    let engine = fleet.add_engine(EngineOptions::new("e-1")).await;
    fleet.add_agent(engine).await;
    fleet.add_gateway().await;
    fleet
}

async fn socket(vm: &str) -> PeerSocket {
    let vm = vm.parse().expect("a valid name");
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let socket = PeerSocket::bind(address, vm, ProcessIncarnation(7)).await;
    // The runtime learns only now that it can send.
    time::sleep(Duration::from_millis(20)).await;
    socket
}

/// Whether the process at `address` answers `question` in time.
async fn answers(
    address: SocketAddr,
    question: DatagramBody,
    is_answer: impl Fn(&DatagramBody) -> bool,
) -> bool {
    let socket = socket("entry-9").await;
    let asking = async {
        loop {
            socket.send(address, question.clone());
            let answer = time::timeout(Duration::from_millis(100), socket.receive()).await;
            if answer.is_ok_and(|(_, datagram)| datagram.body.as_ref().is_some_and(&is_answer)) {
                return;
            }
        }
    };
    time::timeout(GOES_ON_WITHIN, asking).await.is_ok()
}

/// Guards against a gateway that hears no other process any more.
#[tokio::test]
async fn datagrams_are_received_after_a_panic() {
    let fleet = start_fleet().await;
    let address = fleet.peer_address(0);

    send_without_name(address).await;

    wait_for_panic(DEADLY_TEXTS[0]).await;
    let question = DatagramBody::BlockQuery(BlockQuery {});
    let is_blocks = |body: &DatagramBody| matches!(body, DatagramBody::BlockReport(_));
    assert!(answers(address, question, is_blocks).await);
}

/// Sends a datagram without the name of a VM.
async fn send_without_name(address: SocketAddr) {
    let socket = tokio::net::UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("it is free");
    socket.send_to(&[], address).await.expect("it is sent");
}

/// Guards against an agent that answers no entry any more.
#[tokio::test]
async fn agent_answers_entries_after_a_panic() {
    let fleet = start_fleet().await;
    let side = SocketAddr::new(fleet.engines[0].address().ip(), fleet.peer_address(0).port());
    let invalid = ChangeRequest { load: "\n".to_owned(), ..ChangeRequest::default() };

    socket("entry-8").await.send(side, DatagramBody::ChangeRequest(invalid));

    wait_for_panic(DEADLY_TEXTS[2]).await;
    let question = DatagramBody::SideHeartbeat(SideHeartbeat { known_state: 0 });
    let is_state = |body: &DatagramBody| matches!(body, DatagramBody::EngineState(_));
    assert!(answers(side, question, is_state).await);
}

/// Guards against an entry that follows the backend servers no more: one that joins gets nothing, and
/// one that has gone meanwhile stays in use.
#[tokio::test]
async fn servers_are_followed_after_a_panic() {
    let mut fleet = start_fleet().await;

    fleet.store.write("servers", "odd-1", &serde_json::json!({ "state": "odd" }));
    wait_for_panic(DEADLY_TEXTS[1]).await;
    fleet.store.remove("servers", "s-1");
    fleet.store.remove("servers", "s-2");
    fleet.add_service("s-3").await;

    let is_followed = async {
        while fleet.call(plain("POST", "/order/a", "c-1")).await.status() != 200
            || fleet.services[2].arrivals().is_empty()
        {
            time::sleep(Duration::from_millis(50)).await;
        }
    };
    assert!(time::timeout(GOES_ON_WITHIN, is_followed).await.is_ok(), "the new one is used");
    let count = |index: usize| fleet.services[index].arrivals().len();
    let before = (count(0), count(1));
    for number in 0..12 {
        let outcome = fleet.call(plain("POST", "/order/a", &format!("d-{number}"))).await;
        assert_eq!(outcome.status(), 200, "{outcome:?}");
    }
    assert_eq!((count(0), count(1)), before, "those that have gone are not");
}
