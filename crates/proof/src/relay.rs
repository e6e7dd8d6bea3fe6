//! A TCP relay that can drop, stall or delay connections.

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

/// Size of the buffer of each direction.
const BUFFER_BYTES: usize = 16 << 10;

/// What the relay does with connections, both open and new ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayMode {
    /// Forwards bytes in both directions.
    Open,
    /// Drops open connections, and new ones right after accepting them.
    Cut,
    /// Keeps connections open but forwards nothing.
    Stalled,
    /// Forwards from client to server only.
    OneWay,
    /// Forwards each chunk after this delay.
    Delayed(Duration),
}

/// `Up` is from the client to the server, `Down` from the server to the client.
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

/// A relay to one server address; dropping it ends its connections.
#[derive(Debug)]
pub struct TcpRelay {
    /// Address on which the relay listens.
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

    /// Sets the mode of open and new connections.
    pub fn set_mode(&self, mode: RelayMode) {
        self.mode.send_replace(mode);
    }

    /// Sets the server address for new connections.
    pub fn set_upstream(&self, upstream: SocketAddr) {
        *self.upstream.lock().expect("no thread panics while holding the lock") = upstream;
    }
}

async fn accept(
    listener: TcpListener,
    mode: watch::Sender<RelayMode>,
    upstream: Arc<Mutex<SocketAddr>>,
) {
    while let Ok((caller, _)) = listener.accept().await {
        let upstream = *upstream.lock().expect("no thread panics while holding the lock");
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

/// Forwards bytes in one direction until end of stream, then shuts down the other side.
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
