//! Connections to one address that are kept for the next request.

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

/// How many connections are kept, and for how long.
#[derive(Debug, Clone, Copy)]
pub struct PoolSettings {
    /// How connections are opened.
    pub connect: ConnectSettings,
    /// Connections that may be open at once.
    pub max_open: usize,
    /// Longest rest after which a connection is used again.
    pub max_rest: Duration,
}

#[derive(Debug)]
struct RestingConnection {
    connection: Connection,
    since: Instant,
    max_rest: Duration,
}

#[derive(Debug, Default)]
struct PoolState {
    resting: Vec<RestingConnection>,
    open: usize,
}

/// Connections to one address.
#[derive(Debug, Clone)]
pub struct ConnectionPool {
    address: SocketAddr,
    settings: PoolSettings,
    state: Arc<Mutex<PoolState>>,
}

impl ConnectionPool {
    /// A pool without connections.
    pub fn new(address: SocketAddr, settings: PoolSettings) -> Self {
        Self { address, settings, state: Arc::default() }
    }

    /// Address that the connections lead to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Connections that are open, in use or not.
    pub fn open_connections(&self) -> usize {
        self.lock().open
    }

    /// Takes a connection that rests, or opens one.
    ///
    /// A connection that has rested for more than `max_rest` is closed instead of used.
    ///
    /// # Errors
    ///
    /// Fails with [`SendError::NotSent`] if none can be opened or too many are open.
    pub async fn lease(&self, max_rest: Duration) -> Result<Lease> {
        if let Some(connection) = self.take_resting(max_rest) {
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

    /// Closes the connections that rest.
    pub fn close_resting(&self) {
        let mut state = self.lock();
        let count = state.resting.len();
        state.resting.clear();
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

    fn take_resting(&self, max_rest: Duration) -> Option<Connection> {
        let now = Instant::now();
        let mut state = self.lock();
        while let Some(resting) = state.resting.pop() {
            let rested = now.saturating_duration_since(resting.since);
            if rested <= resting.max_rest.min(max_rest) && resting.connection.is_usable() {
                return Some(resting.connection);
            }
            state.open -= 1;
        }
        None
    }

    fn put_back(&self, connection: Connection, max_rest: Duration) {
        let resting = RestingConnection { connection, since: Instant::now(), max_rest };
        self.lock().resting.push(resting);
    }

    fn lock(&self) -> MutexGuard<'_, PoolState> {
        self.state.lock().expect("no holder panics")
    }
}

/// A connection taken from a pool for one request.
#[derive(Debug)]
pub struct Lease {
    pool: ConnectionPool,
    connection: Option<Connection>,
    was_resting: bool,
}

impl Lease {
    fn new(pool: ConnectionPool, connection: Connection, was_resting: bool) -> Self {
        Self { pool, connection: Some(connection), was_resting }
    }

    /// Whether the connection carried a request before.
    pub fn was_resting(&self) -> bool {
        self.was_resting
    }

    /// Sends `request` and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// Tells whether the other end can have read the request.
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>> {
        match &mut self.connection {
            Some(connection) => connection.send(request).await,
            None => Err(SendError::NotSent { reason: "the connection was given back".to_owned() }),
        }
    }

    /// Gives the connection back once the whole answer was read; it may rest for `max_rest`.
    ///
    /// The connection is watched for bytes beyond the answer before it is used again.
    pub fn give_back(mut self, max_rest: Duration) {
        let Some(mut connection) = self.connection.take() else { return };
        let pool = self.pool.clone();
        let max_rest = max_rest.min(pool.settings.max_rest);
        if connection.is_usable() {
            pool.put_back(connection, max_rest);
            return;
        }
        tokio::spawn(async move {
            match connection.rest().await {
                true => pool.put_back(connection, max_rest),
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
