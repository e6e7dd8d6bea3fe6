//! A pool of connections to one address.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
};

use base::{locks, prelude::*};
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

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

/// A connection with its place among those that may be open, which is free again once it is dropped.
#[derive(Debug)]
struct OpenConnection {
    connection: Connection,
    _place: OwnedSemaphorePermit,
}

#[derive(Debug)]
struct IdleConnection {
    open: OpenConnection,
    since: Instant,
    max_idle: Duration,
}

/// A pool of connections to one address; clones share the connections.
#[derive(Debug, Clone)]
pub struct ConnectionPool {
    address: SocketAddr,
    settings: PoolSettings,
    idle: Arc<Mutex<Vec<IdleConnection>>>,
    places: Arc<Semaphore>,
    max_open: usize,
}

impl ConnectionPool {
    /// Creates an empty pool for `address`.
    pub fn new(address: SocketAddr, settings: PoolSettings) -> Self {
        let max_open = settings.max_open.min(Semaphore::MAX_PERMITS);
        let places = Arc::new(Semaphore::new(max_open));
        Self { address, settings, idle: Arc::default(), places, max_open }
    }

    /// Remote address of the connections.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number of connections that are open, in use or idle, or being opened.
    pub fn open_connections(&self) -> usize {
        self.max_open - self.places.available_permits()
    }

    /// Number of idle connections that are not too old to be used again.
    pub fn idle_connections(&self) -> usize {
        let now = Instant::now();
        let is_fresh =
            |idle: &&IdleConnection| now.saturating_duration_since(idle.since) <= idle.max_idle;
        // The last one was returned last, so those before it are as old or older.
        self.lock().iter().rev().take_while(is_fresh).count()
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
        if let Some(open) = self.take_idle(max_idle) {
            return Ok(Lease::new(self.clone(), open, true));
        }
        let place = Arc::clone(&self.places).try_acquire_owned().map_err(|_| {
            let reason = format!("{} connections are open, the limit of the pool", self.max_open);
            SendError::NotSent { reason }
        })?;
        let connection = Connection::open(self.address, &self.settings.connect).await?;
        Ok(Lease::new(self.clone(), OpenConnection { connection, _place: place }, false))
    }

    /// Closes all idle connections.
    pub fn close_idle(&self) {
        self.lock().clear();
    }

    fn take_idle(&self, max_idle: Duration) -> Option<OpenConnection> {
        let now = Instant::now();
        let mut connections = self.lock();
        while let Some(idle) = connections.pop() {
            let idle_time = now.saturating_duration_since(idle.since);
            if idle_time <= idle.max_idle.min(max_idle) && idle.open.connection.is_usable() {
                return Some(idle.open);
            }
        }
        None
    }

    fn add_idle(&self, open: OpenConnection, max_idle: Duration) {
        self.lock().push(IdleConnection { open, since: Instant::now(), max_idle });
    }

    fn lock(&self) -> MutexGuard<'_, Vec<IdleConnection>> {
        locks::lock(&self.idle)
    }
}

/// A connection taken from a pool for one request.
#[derive(Debug)]
pub struct Lease {
    pool: ConnectionPool,
    open: Option<OpenConnection>,
    is_reused: bool,
}

impl Lease {
    fn new(pool: ConnectionPool, open: OpenConnection, is_reused: bool) -> Self {
        Self { pool, open: Some(open), is_reused }
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
        match &mut self.open {
            Some(open) => open.connection.send(request).await,
            None => Err(SendError::NotSent { reason: "the connection was given back".to_owned() }),
        }
    }

    /// Returns the connection to the pool once the complete answer was read. It is used again only
    /// within `max_idle` or the pool's own limit, whichever is shorter.
    ///
    /// A connection that is not ready for another request yet is returned once it is, or closed if
    /// it fails. Until it is used again it is watched for bytes beyond the answer.
    pub fn release(mut self, max_idle: Duration) {
        let Some(mut open) = self.open.take() else { return };
        let pool = self.pool.clone();
        let max_idle = max_idle.min(pool.settings.max_idle);
        if open.connection.is_usable() {
            pool.add_idle(open, max_idle);
            return;
        }
        tokio::spawn(async move {
            if open.connection.wait_until_ready().await {
                pool.add_idle(open, max_idle);
            }
        });
    }
}
