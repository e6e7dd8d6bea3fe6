//! What one backend server holds for an entry.

use std::net::{Ipv4Addr, SocketAddr};

use base::prelude::*;
use memory_budget::ServerBytes;

const LIMIT: ByteSize = ByteSize::mib(16);
const LEGAL_BODY: ByteSize = ByteSize::mib(4);

fn server(number: u8) -> SocketAddr {
    (Ipv4Addr::new(10, 0, 0, number), 8_000).into()
}

/// Guards against a server that ends because the requests that it holds exceed its memory.
#[test]
fn server_takes_bodies_up_to_its_limit() {
    let mut servers = ServerBytes::new(LIMIT);
    let held = (0..10).filter(|_| servers.hold(server(1), LEGAL_BODY)).count();

    let other = servers.hold(server(2), LEGAL_BODY);
    servers.release(&server(1), LEGAL_BODY);
    let after_release = servers.hold(server(1), LEGAL_BODY);

    assert_eq!((held, other, after_release), (4, true, true));
}

/// Guards against a request that no server takes.
#[test]
fn server_without_requests_takes_a_body_of_any_size() {
    let mut servers = ServerBytes::new(LIMIT);

    let first = servers.hold(server(1), ByteSize::mib(64));
    let second = servers.hold(server(1), LEGAL_BODY);
    servers.release(&server(1), ByteSize::mib(64));
    let third = servers.hold(server(1), ByteSize::mib(64));

    assert_eq!((first, second, third), (true, false, true));
}

/// Guards against ordinary requests that wait for large ones of others.
#[test]
fn small_body_is_always_taken() {
    let mut servers = ServerBytes::new(LIMIT);
    servers.hold(server(1), LIMIT);

    let taken = [0, 200, 9_000].map(|bytes| servers.hold(server(1), ByteSize(bytes)));

    assert_eq!(taken, [true; 3]);
}
