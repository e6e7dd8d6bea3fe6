//! The tools of the proof do what the cells rely on.

use std::{collections::BTreeSet, time::Duration};

use proof::{
    matrix::{MatrixCell, fixed_part, pairs, whole},
    relay::{RelayMode, TcpRelay},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time,
};

/// A server that sends every byte back.
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
async fn an_open_relay_moves_bytes_and_a_cut_one_drops_connections() {
    let relay = echo_relay().await;
    let mut stream = TcpStream::connect(relay.address).await.unwrap();

    let open = echoed(&mut stream).await;
    relay.set_mode(RelayMode::Cut);
    let cut = time::timeout(Duration::from_secs(2), stream.read_u8()).await;

    assert_eq!(open, Some(7));
    assert!(cut.is_ok_and(|read| read.is_err()));
}

#[tokio::test]
async fn a_silent_relay_holds_bytes_back_until_it_is_open_again() {
    let relay = echo_relay().await;
    let mut stream = TcpStream::connect(relay.address).await.unwrap();
    relay.set_mode(RelayMode::Silent);

    let silent = echoed(&mut stream).await;
    relay.set_mode(RelayMode::Open);
    let open = time::timeout(Duration::from_secs(2), stream.read_u8()).await;

    assert_eq!(silent, None);
    assert!(open.is_ok_and(|read| read.is_ok_and(|byte| byte == 7)));
}

#[test]
fn the_matrix_is_the_same_on_each_run_and_its_names_can_be_read() {
    let cells = whole();

    assert_eq!(cells, whole());
    assert_eq!(cells.len(), 13 * 13 + pairs().len());
    let distinct = cells.iter().collect::<BTreeSet<_>>();
    assert_eq!(distinct.len(), cells.len());
    for cell in &cells {
        assert_eq!(cell.to_string().parse::<MatrixCell>().as_ref(), Ok(cell));
    }
    assert!(fixed_part().iter().all(|cell| cells.contains(cell)));
}
