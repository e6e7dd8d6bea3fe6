//! The desk, the requests that wait for it, and the connections to backend servers.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
};

use base::prelude::*;
use connections::{ConnectSettings, ConnectionPool, PoolSettings};
use dispatch::{Ask, Assignment, AttemptFailure, Desk, DeskAction, Generation, Refusal, Verdict};
use tokio::{
    sync::{Notify, oneshot, watch},
    time,
};

use crate::{
    permits::{Permit, PermitOutcome, Permits},
    story::CallStory,
};

/// Longest wait for a connection to a backend server in the same region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time after which the kernel gives up on a backend server that acknowledges nothing.
const USER_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest rest of a connection; a backend server that states a shorter time goes first.
const MAX_REST: Duration = Duration::from_secs(10);
/// Connections to one backend server that an entry may open however many entries there are.
const MIN_CONNECTIONS: usize = 8;
/// Part of a backend server's connections that the entries use together.
const CONNECTION_PART: f64 = 0.8;

/// Time between two looks at the requests that wait, besides those that news cause.
const REVIEW: Duration = Duration::from_millis(40);

struct BackendState {
    desk: Desk,
    waiters: HashMap<u64, oneshot::Sender<Verdict>>,
    pools: HashMap<SocketAddr, ConnectionPool>,
    entries: usize,
}

/// The backend servers as the requests of this entry use them; clones share their state.
#[derive(Clone)]
pub struct Backends {
    state: Arc<Mutex<BackendState>>,
    permits: Permits,
    has_waiting: Arc<Notify>,
    ending: Arc<watch::Sender<bool>>,
}

impl Backends {
    /// Backends that `desk` decides about.
    pub fn new(desk: Desk, permits: Permits) -> Self {
        let state =
            BackendState { desk, waiters: HashMap::new(), pools: HashMap::new(), entries: 1 };
        Self {
            state: Arc::new(Mutex::new(state)),
            permits,
            has_waiting: Arc::default(),
            ending: Arc::new(watch::Sender::new(false)),
        }
    }

    fn lock(&self) -> MutexGuard<'_, BackendState> {
        self.state.lock().expect("no holder panics")
    }

    /// Lets `step` use the desk and carries out what it decides.
    pub fn step<T>(&self, step: impl FnOnce(&mut Desk, Instant) -> T) -> T {
        let mut state = self.lock();
        let outcome = step(&mut state.desk, Instant::now());
        let actions = state.desk.take_actions();
        for action in actions {
            self.carry_out(&mut state, action);
        }
        outcome
    }

    fn carry_out(&self, state: &mut BackendState, action: DeskAction) {
        match action {
            DeskAction::Decide(key, verdict) => {
                if let Some(waiter) = state.waiters.remove(&key) {
                    // The caller may have left in the meantime; its ticket then closes the key.
                    let _ = waiter.send(verdict);
                }
            }
        }
    }

    /// The process is about to end: requests do not wait any more.
    pub fn stop_waiting(&self) {
        self.step(|desk, now| desk.stop(now));
    }

    /// The process ends: requests at backend servers are given up.
    pub fn end(&self) {
        self.ending.send_replace(true);
    }

    /// Returns at `deadline`, or when the process ends.
    pub async fn expired(&self, deadline: Instant) {
        let mut ending = self.ending.subscribe();
        tokio::select! {
            () = time::sleep_until(deadline) => {}
            _ = ending.wait_for(|ending| *ending) => {}
        }
    }

    /// Sets the number of entries that share the backend servers.
    pub fn set_entries(&self, entries: usize) {
        let mut state = self.lock();
        state.entries = entries.max(1);
        state.desk.set_entries(entries);
    }

    /// Connections to `address`, where `limit` may be open from all entries together.
    pub fn pool(&self, address: SocketAddr, limit: usize) -> ConnectionPool {
        let mut state = self.lock();
        let part = (limit as f64 * CONNECTION_PART / state.entries as f64) as usize;
        let connect = ConnectSettings {
            connect_timeout: CONNECT_TIMEOUT,
            user_timeout: USER_TIMEOUT,
            read_buffer: ByteSize(64 * 1024),
        };
        let max_open = part.max(MIN_CONNECTIONS);
        let settings = PoolSettings { connect, max_open, max_idle: MAX_REST };
        state.pools.entry(address).or_insert_with(|| ConnectionPool::new(address, settings)).clone()
    }

    /// Drops the connections to backend servers that are gone.
    pub fn drop_unused_pools(&self) {
        let mut state = self.lock();
        let used: Vec<SocketAddr> = state.desk.servers().map(|view| view.address).collect();
        state.pools.retain(|address, _| used.contains(address));
    }

    /// Looks at the requests that wait from time to time, until the process ends.
    pub async fn review_waiting(self) {
        loop {
            if self.lock().waiters.is_empty() {
                self.has_waiting.notified().await;
            }
            time::sleep(REVIEW).await;
            self.step(|desk, now| desk.review(now));
        }
    }

    /// Hands a request to the desk.
    pub fn offer(&self, ask: Ask) -> (Ticket, Verdict) {
        let generation = ask.generation.clone();
        let due = ask.arrived + ask.goal;
        let (key, verdict) = self.step(|desk, now| desk.offer(ask, now));
        let ticket =
            Ticket { backends: self.clone(), key, generation, due, permit: None, is_open: true };
        (ticket, verdict)
    }
}

/// A request at the desk; dropping it tells the desk that the caller has left.
pub struct Ticket {
    backends: Backends,
    key: u64,
    generation: Option<Generation>,
    due: Instant,
    permit: Option<Permit>,
    is_open: bool,
}

impl Ticket {
    /// Waits for the next verdict of a request that waits.
    pub async fn next(&mut self) -> Verdict {
        let (sender, receiver) = oneshot::channel();
        self.backends.lock().waiters.insert(self.key, sender);
        self.backends.has_waiting.notify_one();
        // News may have come before the waiter was there.
        self.backends.step(|desk, now| desk.review(now));
        receiver.await.unwrap_or_else(|_| {
            let reason = "the entry forgot the request";
            Verdict::Refuse(Refusal::new(ResultCode::NoReplica, reason))
        })
    }

    /// Gets the request to the backend server that it was assigned to.
    ///
    /// # Errors
    ///
    /// Returns what is next if it is not let in there.
    pub async fn go(&mut self, assignment: &Assignment, story: &CallStory) -> Result<(), Verdict> {
        if let Some(generation) = self.generation.as_ref().filter(|_| assignment.needs_permit) {
            let permits = self.backends.permits.clone();
            let began = Instant::now();
            let (outcome, permit) = permits.ask(self.key, assignment, generation, self.due).await;
            let is_missing = outcome == PermitOutcome::Missing;
            if outcome != PermitOutcome::Goes {
                story.deny(assignment, outcome, began.elapsed());
            }
            match outcome {
                PermitOutcome::Goes | PermitOutcome::Silent => self.permit = Some(permit),
                PermitOutcome::Missing | PermitOutcome::Later => {
                    drop(permit);
                    let next =
                        self.backends.step(|desk, now| desk.withdraw(self.key, is_missing, now));
                    return Err(next);
                }
            }
        }
        self.backends.step(|desk, now| desk.send(self.key, now));
        Ok(())
    }

    /// The attempt failed; says what is next.
    pub fn fail(&mut self, failure: AttemptFailure) -> Verdict {
        self.permit = None;
        self.backends.step(|desk, now| desk.fail(self.key, failure, now))
    }

    /// The first byte of the answer came.
    pub fn start(&mut self) {
        self.permit = None;
        self.backends.step(|desk, now| desk.start(self.key, now));
    }

    /// The request is answered or refused.
    pub fn finish(&mut self, is_success: bool) {
        self.permit = None;
        if std::mem::take(&mut self.is_open) {
            self.backends.step(|desk, now| desk.close(self.key, is_success, now));
        }
    }

    /// The backend servers.
    pub fn backends(&self) -> &Backends {
        &self.backends
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.finish(false);
        self.backends.lock().waiters.remove(&self.key);
    }
}
