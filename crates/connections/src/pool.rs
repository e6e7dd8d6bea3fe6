//! A pool of connections to one address.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
};

use base::prelude::*;
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;

use crate::connect::{ConnectSettings, Connection, Result, SendError};

/// Limits of a connection pool.
#[derive(Debug, Clone, Copy)]
pub struct PoolSettings {
    /// Settings of each connection.
    pub connect: ConnectSettings,
    /// Most connections that may be open at once, in use or idle.
    pub max_open: usize,
    /// Longest idle time after which a connection is used again.
    pub max_idle: Duration,
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    since: Instant,
    max_idle: Duration,
}

#[derive(Debug, Default)]
struct PoolState {
    idle: Vec<IdleConnection>,
    open: usize,
}

/// A pool of connections to one address; clones share the connections.
#[derive(Debug, Clone)]
pub struct ConnectionPool {
    address: SocketAddr,
    settings: PoolSettings,
    state: Arc<Mutex<PoolState>>,
}

impl ConnectionPool {
    /// Creates an empty pool for `address`.
    pub fn new(address: SocketAddr, settings: PoolSettings) -> Self {
        Self { address, settings, state: Arc::default() }
    }

    /// Remote address of the connections.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number of open connections, in use or idle.
    pub fn open_connections(&self) -> usize {
        self.lock().open
    }

    /// Takes an idle connection, or opens a new one.
    ///
    /// A connection that has been idle for longer than `max_idle` is closed instead of used.
    ///
    /// # Errors
    ///
    /// Fails with [`SendError::NotSent`] if no connection can be opened or `max_open` connections
    /// are open.
    pub async fn lease(&self, max_idle: Duration) -> Result<Lease> {
        if let Some(connection) = self.take_idle(max_idle) {
            return Ok(Lease::new(self.clone(), connection, true));
        }
        self.reserve()?;
        match Connection::open(self.address, &self.settings.connect).await {
            Ok(connection) => Ok(Lease::new(self.clone(), connection, false)),
            Err(error) => {
                self.lock().open -= 1;
                Err(error)
            }
        }
    }

    /// Closes all idle connections.
    pub fn close_idle(&self) {
        let mut state = self.lock();
        let count = state.idle.len();
        state.idle.clear();
        state.open -= count;
    }

    fn reserve(&self) -> Result<()> {
        let mut state = self.lock();
        if state.open >= self.settings.max_open {
            let reason = "too many connections are open".to_owned();
            return Err(SendError::NotSent { reason });
        }
        state.open += 1;
        Ok(())
    }

    fn take_idle(&self, max_idle: Duration) -> Option<Connection> {
        let now = Instant::now();
        let mut state = self.lock();
        while let Some(idle) = state.idle.pop() {
            let idle_time = now.saturating_duration_since(idle.since);
            if idle_time <= idle.max_idle.min(max_idle) && idle.connection.is_usable() {
                return Some(idle.connection);
            }
            state.open -= 1;
        }
        None
    }

    fn add_idle(&self, connection: Connection, max_idle: Duration) {
        let idle = IdleConnection { connection, since: Instant::now(), max_idle };
        self.lock().idle.push(idle);
    }

    fn lock(&self) -> MutexGuard<'_, PoolState> {
        self.state.lock().expect("no thread panics while holding the lock")
    }
}

/// A connection taken from a pool for one request.
#[derive(Debug)]
pub struct Lease {
    pool: ConnectionPool,
    connection: Option<Connection>,
    is_reused: bool,
}

impl Lease {
    fn new(pool: ConnectionPool, connection: Connection, is_reused: bool) -> Self {
        Self { pool, connection: Some(connection), is_reused }
    }

    /// Whether the connection carried another request before.
    pub fn is_reused(&self) -> bool {
        self.is_reused
    }

    /// Sends `request` and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// The error says whether the server may have read the request.
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>> {
        match &mut self.connection {
            Some(connection) => connection.send(request).await,
            None => Err(SendError::NotSent { reason: "the connection was given back".to_owned() }),
        }
    }

    /// Returns the connection to the pool once the complete answer was read. It is used again only
    /// within `max_idle` or the pool's own limit, whichever is shorter.
    ///
    /// A connection that is not ready for another request yet is returned once it is, or closed if
    /// it fails. Until it is used again it is watched for bytes beyond the answer.
    pub fn release(mut self, max_idle: Duration) {
        let Some(mut connection) = self.connection.take() else { return };
        let pool = self.pool.clone();
        let max_idle = max_idle.min(pool.settings.max_idle);
        if connection.is_usable() {
            pool.add_idle(connection, max_idle);
            return;
        }
        tokio::spawn(async move {
            match connection.wait_until_ready().await {
                true => pool.add_idle(connection, max_idle),
                false => pool.lock().open -= 1,
            }
        });
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        if self.connection.is_some() {
            self.pool.lock().open -= 1;
        }
    }
}
