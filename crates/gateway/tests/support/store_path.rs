//! A path to the store that can be cut, as by a partition of the network.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use base::prelude::*;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    time,
};

/// Time between two checks whether a path is whole again.
const HEAL_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// While it is cut, new connections get no answer, and bytes on open ones are held up.
pub struct StorePath {
    address: SocketAddr,
    is_cut: Arc<AtomicBool>,
}

impl StorePath {
    /// A path to `store`, whole at first.
    pub async fn start(store: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("it is bound");
        let is_cut: Arc<AtomicBool> = Arc::default();
        let state = Arc::clone(&is_cut);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(relay(stream, store, Arc::clone(&state)));
            }
        });
        Self { address, is_cut }
    }

    /// Address that stands for the store's.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    pub fn cut(&self) {
        self.is_cut.store(true, Ordering::SeqCst);
    }

    pub fn heal(&self) {
        self.is_cut.store(false, Ordering::SeqCst);
    }
}

async fn relay(mut stream: TcpStream, store: SocketAddr, is_cut: Arc<AtomicBool>) {
    if is_cut.load(Ordering::SeqCst) {
        // Nothing of it passes, also after the cut; its sender gives up.
        let mut discarded = Vec::new();
        let _ = stream.read_to_end(&mut discarded).await;
        return;
    }
    let Ok(upstream) = TcpStream::connect(store).await else { return };
    let (from_caller, to_caller) = stream.into_split();
    let (from_store, to_store) = upstream.into_split();
    tokio::spawn(copy(from_caller, to_store, Arc::clone(&is_cut)));
    copy(from_store, to_caller, is_cut).await;
}

async fn copy(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, is_cut: Arc<AtomicBool>) {
    let mut bytes = [0; 16_384];
    while let Ok(length @ 1..) = from.read(&mut bytes).await {
        while is_cut.load(Ordering::SeqCst) {
            time::sleep(HEAL_POLL_INTERVAL).await;
        }
        if to.write_all(&bytes[..length]).await.is_err() {
            return;
        }
    }
}
