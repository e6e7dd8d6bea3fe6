//! A TCP relay that can cut connections or hold them half-open.

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex},
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
    task::JoinHandle,
    time,
};

/// Bytes moved at once.
const BUFFER_BYTES: usize = 16 << 10;

/// What happens to connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayMode {
    /// Bytes are moved.
    Open,
    /// Connections are dropped, new ones at once.
    Cut,
    /// Connections stay open, but nothing is moved.
    Stalled,
    /// What callers send is moved, what comes back is not.
    OneWay,
    /// Everything is moved this much later.
    Delayed(Duration),
}

/// From callers to the address, or back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    Up,
    Down,
}

impl RelayMode {
    fn forwards(self, direction: Direction) -> bool {
        match self {
            RelayMode::Open | RelayMode::Cut | RelayMode::Delayed(_) => true,
            RelayMode::Stalled => false,
            RelayMode::OneWay => direction == Direction::Up,
        }
    }

    fn delay(self) -> Duration {
        match self {
            RelayMode::Delayed(delay) => delay,
            RelayMode::Open | RelayMode::Cut | RelayMode::Stalled | RelayMode::OneWay => {
                Duration::ZERO
            }
        }
    }
}

/// A relay to one address; dropping it ends its connections.
#[derive(Debug)]
pub struct TcpRelay {
    /// Address to connect to.
    pub address: SocketAddr,
    mode: watch::Sender<RelayMode>,
    upstream: Arc<Mutex<SocketAddr>>,
    task: JoinHandle<()>,
}

impl Drop for TcpRelay {
    fn drop(&mut self) {
        self.task.abort();
        self.mode.send_replace(RelayMode::Cut);
    }
}

impl TcpRelay {
    /// Starts a relay to `upstream` on a free loopback port.
    ///
    /// # Errors
    ///
    /// Fails if no port is free.
    pub async fn start(upstream: SocketAddr) -> std::io::Result<Self> {
        Self::start_at(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)), upstream).await
    }

    /// Starts a relay to `upstream` that listens on `address`.
    ///
    /// # Errors
    ///
    /// Fails if the address is taken.
    pub async fn start_at(address: SocketAddr, upstream: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let mode = watch::Sender::new(RelayMode::Open);
        let upstream = Arc::new(Mutex::new(upstream));
        let task = tokio::spawn(accept(listener, mode.clone(), upstream.clone()));
        Ok(Self { address, mode, upstream, task })
    }

    /// Sets what happens to connections, old and new.
    pub fn set_mode(&self, mode: RelayMode) {
        self.mode.send_replace(mode);
    }

    /// Sends new connections to another address.
    pub fn set_upstream(&self, upstream: SocketAddr) {
        *self.upstream.lock().expect("no holder panics") = upstream;
    }
}

async fn accept(
    listener: TcpListener,
    mode: watch::Sender<RelayMode>,
    upstream: Arc<Mutex<SocketAddr>>,
) {
    while let Ok((caller, _)) = listener.accept().await {
        let upstream = *upstream.lock().expect("no holder panics");
        tokio::spawn(relay(caller, upstream, mode.subscribe()));
    }
}

async fn relay(caller: TcpStream, upstream: SocketAddr, mut mode: watch::Receiver<RelayMode>) {
    if mode.wait_for(|mode| mode.forwards(Direction::Up)).await.is_err() {
        return;
    }
    if *mode.borrow() == RelayMode::Cut {
        return;
    }
    let Ok(server) = TcpStream::connect(upstream).await else {
        return;
    };
    let _unset = (caller.set_nodelay(true), server.set_nodelay(true));
    let (caller_read, caller_write) = caller.into_split();
    let (server_read, server_write) = server.into_split();
    let mut watched = mode.clone();
    let up = forward_bytes(caller_read, server_write, mode.clone(), Direction::Up);
    let down = forward_bytes(server_read, caller_write, mode, Direction::Down);
    tokio::select! {
        _ = watched.wait_for(|mode| *mode == RelayMode::Cut) => {}
        _ = async { tokio::join!(up, down) } => {}
    }
}

/// Moves bytes in one direction until its end, and passes the end on.
async fn forward_bytes(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut mode: watch::Receiver<RelayMode>,
    direction: Direction,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let count = from.read(&mut buffer).await.unwrap_or(0);
        let delay = match mode.wait_for(|mode| mode.forwards(direction)).await {
            Ok(mode) => mode.delay(),
            Err(_) => return,
        };
        time::sleep(delay).await;
        if count == 0 {
            let _closed = to.shutdown().await;
            return;
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
