//! Malformed input from callers and peers is refused with an error and ends no process.

mod support;

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use support::fleet::{Fleet, client, start_fleet};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time,
};

/// Default limit of entries for the body of a request, in bytes.
const DEFAULT_BODY_LIMIT: usize = 4 << 20;

async fn post(address: SocketAddr, body: Bytes) -> (u16, serde_json::Value) {
    let request = Request::post(format!("http://{address}/v1/chat/completions"))
        .header("authorization", "Bearer crew-key")
        .body(Full::new(body))
        .unwrap();
    let answer = client().request(request).await.unwrap();
    let status = answer.status().as_u16();
    let body = answer.into_body().collect().await.unwrap().to_bytes();
    (status, serde_json::from_slice(&body).unwrap())
}

async fn all_healthy(fleet: &Fleet) -> bool {
    let http = fleet.entries.iter().chain(&fleet.sides).map(|process| process.address("http"));
    for address in http {
        let request =
            Request::get(format!("http://{address}/healthz")).body(Full::default()).unwrap();
        let answer = client().request(request).await;
        if !answer.is_ok_and(|answer| answer.status().is_success()) {
            return false;
        }
    }
    true
}

#[tokio::test]
async fn malformed_body_is_refused_as_not_run() {
    let fleet = start_fleet().await;

    let (status, body) = post(fleet.addresses()[0], Bytes::from("{\"model\":")).await;

    assert_eq!(status, 400);
    assert_eq!(body["error"]["code"], 1001);
    assert_eq!(body["error"]["state"], "not run");
    assert!(all_healthy(&fleet).await);
}

#[tokio::test]
async fn oversized_body_is_refused() {
    let fleet = start_fleet().await;

    let (status, body) =
        post(fleet.addresses()[0], Bytes::from(vec![b' '; DEFAULT_BODY_LIMIT + 1])).await;

    assert_eq!(status, 413);
    assert_eq!(body["error"]["code"], 1002);
    assert!(all_healthy(&fleet).await);
}

#[tokio::test]
async fn half_closed_connection_ends_no_process() {
    let fleet = start_fleet().await;
    let mut stream = TcpStream::connect(fleet.addresses()[0]).await.unwrap();
    let head = "POST /v1/chat/completions HTTP/1.1\r\nhost: entry\r\n\
                authorization: Bearer crew-key\r\ncontent-length: 100\r\n\r\n{\"model\":";

    stream.write_all(head.as_bytes()).await.unwrap();
    stream.shutdown().await.unwrap();
    let mut answer = Vec::new();
    let read = time::timeout(Duration::from_secs(10), stream.read_to_end(&mut answer)).await;

    assert!(read.is_ok());
    assert!(all_healthy(&fleet).await);
}

#[tokio::test]
async fn invalid_bytes_from_peer_end_no_process() {
    let fleet = start_fleet().await;
    let peers = fleet.entries.iter().chain(&fleet.sides).map(|process| process.address("peers"));

    for address in peers {
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream.write_all(&[0xff; 64]).await.unwrap();
        let mut answer = Vec::new();
        let read = time::timeout(Duration::from_secs(10), stream.read_to_end(&mut answer)).await;
        assert!(read.is_ok());
    }

    assert!(all_healthy(&fleet).await);
}
