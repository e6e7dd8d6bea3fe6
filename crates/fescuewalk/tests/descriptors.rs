//! Both programs where the kernel allows few descriptors: idle connections leave descriptors for
//! requests, readiness checks and the connections that a process opens itself.
//!
//! The cases check no times; time-outs only end a case in which the process hangs.

mod support;

use std::net::SocketAddr;

use rstest::rstest;
use support::memory::{AgentFixture, DescriptorLimits, GatewayFixture, OrdinaryCall, fetch_status};
use tokio::net::TcpStream;

/// The limits of a process whose settings say more than the kernel allows.
const SETTINGS: &str = "descriptors = 4100\n";

async fn connect(address: SocketAddr, count: usize) -> Vec<TcpStream> {
    let mut open = Vec::new();
    for _ in 0..count {
        open.push(TcpStream::connect(address).await.expect("the gateway listens"));
    }
    open
}

/// Guards against a process that takes no more connections at the usual soft limit of a machine.
#[tokio::test]
async fn soft_limit_below_the_settings_is_raised() {
    let limits = DescriptorLimits { soft: 64, hard: 1_024 };
    let mut gateway = GatewayFixture::start_under(limits, SETTINGS).await;

    let open = connect(gateway.callers, 2 * limits.soft).await;
    gateway.wait_until_settled().await;

    let descriptors = gateway.open_descriptors().expect("the process lives");
    assert!(descriptors > open.len(), "{descriptors} descriptors");
    assert!(gateway.is_alive(), "the process ended");
    assert_eq!(gateway.call_ordinary().await, OrdinaryCall::Served);
}

/// Guards against a process whose callers take all descriptors that the kernel allows it.
#[tokio::test]
async fn callers_leave_descriptors_where_the_kernel_allows_fewer_than_the_settings() {
    let limits = DescriptorLimits { soft: 64, hard: 128 };
    let mut gateway = GatewayFixture::start_under(limits, SETTINGS).await;

    let _open = connect(gateway.callers, 2 * limits.hard).await;
    gateway.wait_until_settled().await;

    let descriptors = gateway.open_descriptors().expect("the process lives");
    assert!(descriptors < limits.hard, "{descriptors} descriptors");
    assert!(gateway.is_alive(), "the process ended");
    assert_eq!(gateway.call_ordinary().await, OrdinaryCall::Served);
}

/// A listener of the gateway for monitoring.
#[derive(Debug, Clone, Copy)]
enum Monitor {
    Ready,
    Metrics,
}

/// Guards against a gateway that stops because a prober leaves its connections open.
#[rstest]
#[case::ready(Monitor::Ready)]
#[case::metrics(Monitor::Metrics)]
#[tokio::test]
async fn connections_of_probers_leave_descriptors_for_callers(#[case] monitor: Monitor) {
    let limits = DescriptorLimits { soft: 128, hard: 128 };
    let mut gateway = GatewayFixture::start_under(limits, "descriptors = 128\n").await;
    let address = match monitor {
        Monitor::Ready => gateway.ready,
        Monitor::Metrics => gateway.metrics,
    };

    let _open = connect(address, 2 * limits.hard).await;
    let outcome = gateway.call_ordinary().await;
    let status = fetch_status(gateway.ready, "/").await;

    assert!(gateway.is_alive(), "the process ended");
    assert_eq!(outcome, OrdinaryCall::Served);
    assert_eq!(status.as_deref(), Some("200"));
}

/// Guards against an agent that cannot open a connection to its engine because a prober leaves its
/// connections open.
#[tokio::test]
async fn connections_of_probers_leave_descriptors_for_the_engine() {
    let limits = DescriptorLimits { soft: 64, hard: 64 };
    let mut agent = AgentFixture::start_under(limits).await;

    let _open = connect(agent.metrics, 2 * limits.hard).await;
    let status = fetch_status(agent.metrics, "/metrics").await;

    assert!(agent.is_alive(), "the process ended");
    assert_eq!(status.as_deref(), Some("200"));
}
