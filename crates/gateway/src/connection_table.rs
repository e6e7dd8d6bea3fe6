//! Decides which connections of callers stay open.

use std::{
    collections::{BTreeSet, HashMap},
    net::IpAddr,
};

use base::prelude::*;

/// Share of the VM's memory that connections of callers may take.
const CONNECTION_SHARE: f64 = 0.25;
/// Memory of one connection: buffers of 8 to 24 KiB for reading and 8 KiB for writing, and the state of
/// its requests.
const CONNECTION_MEMORY: ByteSize = ByteSize(32 * 1024);
/// Share of the descriptors that connections of callers may take; most others are connections to
/// backend servers.
const DESCRIPTOR_SHARE: f64 = 0.5;

/// Limits of the open connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Most open connections.
    pub total: usize,
    /// Most open connections of one address; none by default, because callers may share the address
    /// of a load balancer.
    pub per_address: Option<usize>,
}

impl ConnectionLimits {
    /// Limits of a process with this memory and this number of descriptors.
    pub fn for_vm(memory: ByteSize, descriptors: usize, per_address: Option<usize>) -> Self {
        let by_memory = memory.0 as f64 * CONNECTION_SHARE / CONNECTION_MEMORY.0 as f64;
        let by_descriptors = descriptors as f64 * DESCRIPTOR_SHARE;
        Self { total: by_memory.min(by_descriptors).max(1.0) as usize, per_address }
    }
}

/// One open connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// Whether a new connection is served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// It is served.
    Admitted(ConnectionId),
    /// It is served, and the other one has to be closed.
    AdmittedFor(ConnectionId, ConnectionId),
    /// It has to be closed.
    Refused,
}

#[derive(Debug)]
struct ConnectionEntry {
    address: IpAddr,
    waiting_since: Option<Instant>,
}

/// All open connections of callers.
#[derive(Debug)]
pub struct ConnectionTable {
    limits: ConnectionLimits,
    entries: HashMap<ConnectionId, ConnectionEntry>,
    /// Connections that wait for a complete request, the longest wait first.
    waiting: BTreeSet<(Instant, ConnectionId)>,
    by_address: HashMap<IpAddr, usize>,
    last_id: u64,
}

impl ConnectionTable {
    /// A table without connections.
    pub fn new(limits: ConnectionLimits) -> Self {
        Self {
            limits,
            entries: HashMap::new(),
            waiting: BTreeSet::new(),
            by_address: HashMap::new(),
            last_id: 0,
        }
    }

    /// Adds a connection from `address`. If too many are open, the one that has waited longest for
    /// a complete request is removed for it.
    pub fn admit(&mut self, address: IpAddr, now: Instant) -> AdmissionDecision {
        let of_address = self.by_address.get(&address).copied().unwrap_or(0);
        if self.limits.per_address.is_some_and(|limit| of_address >= limit) {
            return AdmissionDecision::Refused;
        }
        let mut evicted = None;
        if self.entries.len() >= self.limits.total {
            let Some((_, longest)) = self.waiting.first().copied() else {
                return AdmissionDecision::Refused;
            };
            self.remove(longest);
            evicted = Some(longest);
        }
        self.last_id += 1;
        let id = ConnectionId(self.last_id);
        self.entries.insert(id, ConnectionEntry { address, waiting_since: Some(now) });
        self.waiting.insert((now, id));
        if self.limits.per_address.is_some() {
            *self.by_address.entry(address).or_default() += 1;
        }
        match evicted {
            Some(evicted) => AdmissionDecision::AdmittedFor(id, evicted),
            None => AdmissionDecision::Admitted(id),
        }
    }

    /// Records that a request has arrived completely.
    pub fn begin_request(&mut self, id: ConnectionId) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        if let Some(since) = entry.waiting_since.take() {
            self.waiting.remove(&(since, id));
        }
    }

    /// Records that an answer has ended, or that the head of a request with a body has arrived: the
    /// connection waits for the rest from now on.
    pub fn await_request(&mut self, id: ConnectionId, now: Instant) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        if let Some(since) = entry.waiting_since.replace(now) {
            self.waiting.remove(&(since, id));
        }
        self.waiting.insert((now, id));
    }

    /// Removes a connection that has closed, which does nothing if it was evicted.
    pub fn remove(&mut self, id: ConnectionId) {
        let Some(entry) = self.entries.remove(&id) else { return };
        if let Some(since) = entry.waiting_since {
            self.waiting.remove(&(since, id));
        }
        if let Some(count) = self.by_address.get_mut(&entry.address) {
            *count -= 1;
            if *count == 0 {
                self.by_address.remove(&entry.address);
            }
        }
    }

    /// Number of open connections.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
