//! Tests of the relay and of the list of cells, on which the matrix relies.

use std::{collections::BTreeSet, time::Duration};

use proof::{
    matrix::{MatrixCell, all_cells, ci_cells, fault_pairs},
    relay::{RelayMode, TcpRelay},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time,
};

/// Starts a relay to a server that sends every byte back.
async fn echo_relay() -> TcpRelay {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut read, mut write) = stream.split();
                tokio::io::copy(&mut read, &mut write).await
            });
        }
    });
    TcpRelay::start(address).await.unwrap()
}

async fn echoed(stream: &mut TcpStream) -> Option<u8> {
    let _sent = stream.write_all(&[7]).await;
    let read = time::timeout(Duration::from_millis(200), stream.read_u8()).await;
    read.ok().and_then(Result::ok)
}

#[tokio::test]
async fn relay_forwards_when_open_and_disconnects_when_cut() {
    let relay = echo_relay().await;
    let mut stream = TcpStream::connect(relay.address).await.unwrap();

    let open = echoed(&mut stream).await;
    relay.set_mode(RelayMode::Cut);
    let cut = time::timeout(Duration::from_secs(2), stream.read_u8()).await;

    assert_eq!(open, Some(7));
    assert!(cut.is_ok_and(|read| read.is_err()));
}

#[tokio::test]
async fn stalled_relay_holds_bytes_until_reopened() {
    let relay = echo_relay().await;
    let mut stream = TcpStream::connect(relay.address).await.unwrap();
    relay.set_mode(RelayMode::Stalled);

    let stalled = echoed(&mut stream).await;
    relay.set_mode(RelayMode::Open);
    let open = time::timeout(Duration::from_secs(2), stream.read_u8()).await;

    assert_eq!(stalled, None);
    assert!(open.is_ok_and(|read| read.is_ok_and(|byte| byte == 7)));
}

#[test]
fn matrix_is_reproducible_and_cell_names_parse() {
    let cells = all_cells();

    assert_eq!(cells, all_cells());
    assert_eq!(cells.len(), 13 * 13 + fault_pairs().len());
    let distinct = cells.iter().collect::<BTreeSet<_>>();
    assert_eq!(distinct.len(), cells.len());
    for cell in &cells {
        assert_eq!(cell.to_string().parse::<MatrixCell>().as_ref(), Ok(cell));
    }
    assert!(ci_cells().iter().all(|cell| cells.contains(cell)));
}
