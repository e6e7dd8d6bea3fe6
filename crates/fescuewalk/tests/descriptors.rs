//! `fescuewalk gateway` where the kernel allows fewer descriptors than the settings say: idle
//! connections leave it descriptors for requests, readiness checks and its own connections.
//!
//! The cases check no times; time-outs only end a case in which the process hangs.

mod support;

use std::net::SocketAddr;

use support::memory::{DescriptorLimits, GatewayFixture, OrdinaryCall};
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
