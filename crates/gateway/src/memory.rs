//! Carries out the decisions of the memory budget.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard},
};

use base::{locks, prelude::*};
use bytes::Bytes;
use tokio::sync::Notify;

use crate::{
    memory_budget::{BodyId, BudgetLimits, GrowthDecision, MemoryBudget, MemoryPurpose},
    metrics::GatewayMetrics,
};

#[derive(Debug)]
struct MemoryState {
    budget: MemoryBudget,
    readers: HashMap<BodyId, Arc<Notify>>,
}

/// The memory budget of the process; clones share it.
#[derive(Debug, Clone)]
pub struct ProcessMemory {
    state: Arc<Mutex<MemoryState>>,
    metrics: GatewayMetrics,
}

impl ProcessMemory {
    /// A budget with nothing charged.
    pub fn new(limits: BudgetLimits, metrics: GatewayMetrics) -> Self {
        let state = MemoryState { budget: MemoryBudget::new(limits), readers: HashMap::new() };
        Self { state: Arc::new(Mutex::new(state)), metrics }
    }

    fn lock(&self) -> MutexGuard<'_, MemoryState> {
        locks::lock(&self.state)
    }

    /// Adds a body to the account.
    pub fn open(&self, purpose: MemoryPurpose) -> BodyCharge {
        let evicted = Arc::<Notify>::default();
        let mut state = self.lock();
        let id = state.budget.open(purpose, Instant::now());
        if purpose == MemoryPurpose::RequestBody {
            state.readers.insert(id, Arc::clone(&evicted));
        }
        drop(state);
        BodyCharge { memory: self.clone(), id, purpose, evicted }
    }

    /// Whether so much is charged that callers who do not read their answers lose them sooner.
    pub fn is_short(&self) -> bool {
        self.lock().budget.is_short()
    }

    fn record(&self, purpose: MemoryPurpose, charged: ByteSize) {
        let gauge = match purpose {
            MemoryPurpose::RequestBody => &self.metrics.request_body_bytes,
            MemoryPurpose::Answer => &self.metrics.answer_bytes,
        };
        gauge.set(i64::try_from(charged.0).unwrap_or(i64::MAX));
    }
}

/// What one body is charged; returned to the budget when this is dropped.
#[derive(Debug)]
pub struct BodyCharge {
    memory: ProcessMemory,
    id: BodyId,
    purpose: MemoryPurpose,
    evicted: Arc<Notify>,
}

impl BodyCharge {
    /// Charges the request of the body for what it holds beside the body.
    pub fn charge_head(&self, head: ByteSize) -> GrowthDecision {
        self.charge(|budget, evicted| budget.charge_head(self.id, head, Instant::now(), evicted))
    }

    /// Charges the body for the `allocated` bytes that it needs from now on.
    pub fn grow(&self, allocated: ByteSize) -> GrowthDecision {
        self.charge(|budget, evicted| budget.grow(self.id, allocated, Instant::now(), evicted))
    }

    fn charge(
        &self,
        step: impl FnOnce(&mut MemoryBudget, &mut Vec<BodyId>) -> GrowthDecision,
    ) -> GrowthDecision {
        let mut evicted = Vec::new();
        let mut state = self.memory.lock();
        let decision = step(&mut state.budget, &mut evicted);
        for id in &evicted {
            if let Some(reader) = state.readers.remove(id) {
                reader.notify_one();
            }
        }
        let charged = state.budget.charged(self.purpose);
        drop(state);
        self.memory.record(self.purpose, charged);
        if !evicted.is_empty() {
            self.memory.metrics.evicted_bodies.inc_by(evicted.len() as u64);
            log::info!("memory: {} stalled request bodies are given up", evicted.len());
        }
        if decision == GrowthDecision::Refused {
            self.memory.metrics.memory_refusals.inc();
        }
        decision
    }

    /// Records that bytes of the body arrived.
    pub fn record_progress(&self) {
        self.memory.lock().budget.record_progress(self.id, Instant::now());
    }

    /// Waits until the body is given up for another.
    pub async fn wait_for_eviction(&self) {
        self.evicted.notified().await;
    }

    /// The complete body, which stays charged until the last copy of it is dropped.
    pub fn into_bytes(self, body: Vec<u8>) -> Bytes {
        {
            let mut state = self.memory.lock();
            state.budget.complete(self.id);
            state.readers.remove(&self.id);
        }
        Bytes::from_owner(ChargedBody { body, _charge: self })
    }
}

impl Drop for BodyCharge {
    fn drop(&mut self) {
        let mut state = self.memory.lock();
        state.budget.close(self.id);
        state.readers.remove(&self.id);
        let charged = state.budget.charged(self.purpose);
        drop(state);
        self.memory.record(self.purpose, charged);
    }
}

struct ChargedBody {
    body: Vec<u8>,
    _charge: BodyCharge,
}

impl AsRef<[u8]> for ChargedBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

/// A buffer that grows by doubling and is charged for its capacity.
#[derive(Debug)]
pub struct ChargedBuffer {
    charge: BodyCharge,
    bytes: Vec<u8>,
    limit: usize,
}

/// Smallest capacity of a buffer for a body of unknown length, in bytes.
const MIN_CAPACITY: usize = 8 * 1024;

impl ChargedBuffer {
    /// An empty buffer for at most `limit` bytes.
    pub fn new(charge: BodyCharge, limit: usize) -> Self {
        Self { charge, bytes: Vec::new(), limit }
    }

    /// Number of bytes in the buffer.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Charges the request of the body for what it holds beside the body.
    pub fn charge_head(&self, head: ByteSize) -> GrowthDecision {
        self.charge.charge_head(head)
    }

    /// Appends `data`, which must not exceed the limit.
    pub fn push(&mut self, data: &[u8]) -> GrowthDecision {
        let needed = self.bytes.len() + data.len();
        if needed > self.bytes.capacity() {
            let doubled = (self.bytes.capacity() * 2).max(MIN_CAPACITY);
            let capacity = needed.max(doubled.min(self.limit));
            if self.charge.grow(ByteSize(capacity as u64)) == GrowthDecision::Refused {
                return GrowthDecision::Refused;
            }
            self.bytes.reserve_exact(capacity - self.bytes.len());
        } else {
            self.charge.record_progress();
        }
        self.bytes.extend_from_slice(data);
        GrowthDecision::Granted
    }

    /// Waits until the body is given up for another.
    pub async fn wait_for_eviction(&self) {
        self.charge.wait_for_eviction().await;
    }

    /// The complete body, which stays charged until the last copy of it is dropped.
    pub fn into_bytes(self) -> Bytes {
        self.charge.into_bytes(self.bytes)
    }
}
