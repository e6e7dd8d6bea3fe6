//! A request that is abandoned before the server has read it.

use std::net::Ipv4Addr;

use base::prelude::*;
use bytes::Bytes;
use connections::{ConnectSettings, ConnectionPool, PoolSettings};
use http::Request;
use http_body_util::Full;
use tokio::{io::AsyncReadExt, net::TcpListener, time};

fn settings() -> PoolSettings {
    let connect = ConnectSettings {
        connect_timeout: Duration::from_secs(1),
        user_timeout: Duration::from_secs(1),
        read_buffer: ByteSize(64 * 1024),
    };
    PoolSettings { connect, max_open: 4, max_idle: Duration::from_secs(10) }
}

fn request() -> Request<Full<Bytes>> {
    let request = Request::post("/orders").header("host", "a.example");
    request.body(Full::from("one sluice order")).expect("a valid request")
}

#[tokio::test]
async fn abandoned_request_resets_its_connection() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a free port");
    let pool = ConnectionPool::new(listener.local_addr().expect("it is bound"), settings());
    let mut lease = pool.lease(Duration::MAX).await.expect("it listens");
    let (mut stream, _) = listener.accept().await.expect("it connected");

    let outcome = time::timeout(Duration::from_millis(50), lease.send(request())).await;
    drop(lease);
    time::sleep(Duration::from_millis(50)).await;
    let mut bytes = Vec::new();
    let read = stream.read_to_end(&mut bytes).await;

    assert!(outcome.is_err());
    let kind = read.expect_err("the connection is reset").kind();
    assert_eq!(kind, std::io::ErrorKind::ConnectionReset);
    assert_eq!(pool.open_connections(), 0);
}

/// Guards against connections that count as open for good after callers left while they were opened.
#[tokio::test]
async fn connection_abandoned_while_it_is_opened_is_not_counted() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a free port");
    let pool = ConnectionPool::new(listener.local_addr().expect("it is bound"), settings());

    for _ in 0..2 * settings().max_open {
        let outcome = tokio::select! {
            biased;
            lease = pool.lease(Duration::MAX) => Some(lease),
            () = std::future::ready(()) => None,
        };
        assert!(outcome.is_none(), "abandoned before it is open: {outcome:?}");
    }

    assert_eq!(pool.open_connections(), 0);
    pool.lease(Duration::MAX).await.expect("no connection is open");
}

#[tokio::test]
async fn connections_beyond_the_limit_are_refused_until_one_is_closed() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a free port");
    let pool = ConnectionPool::new(listener.local_addr().expect("it is bound"), settings());
    let mut leases = Vec::new();
    for _ in 0..settings().max_open {
        leases.push(pool.lease(Duration::MAX).await.expect("below the limit"));
    }

    let beyond = pool.lease(Duration::MAX).await;
    leases.pop();
    let after = pool.lease(Duration::MAX).await;

    assert!(beyond.is_err());
    assert!(after.is_ok());
}
