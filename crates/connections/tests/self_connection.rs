//! Connections to a port without a listener, from the VM of that port.

use std::{
    fs,
    net::{Ipv4Addr, SocketAddr, TcpListener},
};

use base::prelude::*;
use connections::{ConnectSettings, Connection};

/// Connections after which the kernel has offered each of its ports as a port of origin.
const ATTEMPTS: usize = 60_000;

/// An address within the range of ports of origin, of the half that the kernel gives first.
fn free_address() -> SocketAddr {
    let range = fs::read_to_string("/proc/sys/net/ipv4/ip_local_port_range").expect("Linux");
    let bounds: Vec<u16> = range.split_whitespace().filter_map(|port| port.parse().ok()).collect();
    let ports = (bounds[0]..=bounds[1]).step_by(2);
    let addresses = ports.map(|port| SocketAddr::from((Ipv4Addr::LOCALHOST, port)));
    let mut free = addresses.filter(|address| TcpListener::bind(address).is_ok());
    free.next().expect("a free port")
}

/// Guards against a server that cannot start because a client that looks for it has connected to
/// itself and holds its port.
#[tokio::test]
async fn client_does_not_connect_to_itself() {
    let address = free_address();
    let settings = ConnectSettings {
        connect_timeout: Duration::from_secs(1),
        user_timeout: Duration::from_secs(1),
        read_buffer: ByteSize(64 * 1024),
    };

    for attempt in 0..ATTEMPTS {
        let opened = Connection::open(address, &settings).await;
        assert!(opened.is_err(), "attempt {attempt} reached {address}, where nobody listens");
    }

    TcpListener::bind(address).expect("the server can start");
}
