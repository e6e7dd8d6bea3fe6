//! Counting and limiting of calls to the platform.

use std::sync::{
    Mutex,
    atomic::{AtomicU64, Ordering},
};

use async_trait::async_trait;
use base::prelude::*;
use bytes::Bytes;

use crate::object::{
    ObjectChange, ObjectKey, ObjectStore, ObjectVersion, Result, StoreError, StoredObject,
    WriteCondition,
};

/// Number of calls made, by kind.
#[derive(Debug, Default)]
pub struct CallCounts {
    /// Reads and lists.
    pub reads: AtomicU64,
    /// Writes and deletes.
    pub writes: AtomicU64,
    /// Watches; the platform counts a waiting one as a call.
    pub watches: AtomicU64,
    /// Calls not sent because the budget was spent.
    pub refused: AtomicU64,
}

/// A token bucket that is refilled at a steady rate.
#[derive(Debug)]
struct CallBucket {
    rate: EventRate,
    capacity: f64,
    tokens: f64,
    filled: Instant,
}

impl CallBucket {
    fn new(rate: EventRate, now: Instant) -> Self {
        let capacity = rate.0.max(1.0);
        Self { rate, capacity, tokens: capacity, filled: now }
    }

    fn take(&mut self, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.filled).as_secs_f64();
        self.filled = now;
        self.tokens = (self.tokens + elapsed * self.rate.0).min(self.capacity);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// Largest rates of calls that one process may make.
#[derive(Debug, Clone, Copy)]
pub struct CallLimits {
    /// Reads, lists and watches each second.
    pub reads: EventRate,
    /// Writes and deletes each second.
    pub writes: EventRate,
}

/// An [`ObjectStore`] that counts calls and refuses those over the budget.
#[derive(Debug)]
pub struct BudgetedStore<S> {
    inner: S,
    counts: CallCounts,
    reads: Mutex<CallBucket>,
    writes: Mutex<CallBucket>,
}

impl<S> BudgetedStore<S> {
    /// Wraps `inner`.
    pub fn new(inner: S, limits: CallLimits) -> Self {
        let now = Instant::now();
        Self {
            inner,
            counts: CallCounts::default(),
            reads: Mutex::new(CallBucket::new(limits.reads, now)),
            writes: Mutex::new(CallBucket::new(limits.writes, now)),
        }
    }

    /// Calls made so far.
    pub fn counts(&self) -> &CallCounts {
        &self.counts
    }

    fn spend(&self, bucket: &Mutex<CallBucket>, counter: &AtomicU64) -> Result<()> {
        let granted = bucket.lock().expect("no holder panics").take(Instant::now());
        if !granted {
            self.counts.refused.fetch_add(1, Ordering::Relaxed);
            return Err(StoreError::BudgetSpent);
        }
        counter.fetch_add(1, Ordering::Relaxed);
        Ok(())
    }
}

#[async_trait]
impl<S: ObjectStore> ObjectStore for BudgetedStore<S> {
    async fn get(&self, key: &ObjectKey) -> Result<Option<StoredObject>> {
        self.spend(&self.reads, &self.counts.reads)?;
        self.inner.get(key).await
    }

    async fn put(
        &self,
        key: &ObjectKey,
        body: Bytes,
        condition: WriteCondition,
    ) -> Result<ObjectVersion> {
        self.spend(&self.writes, &self.counts.writes)?;
        self.inner.put(key, body, condition).await
    }

    async fn delete(&self, key: &ObjectKey, version: ObjectVersion) -> Result<()> {
        self.spend(&self.writes, &self.counts.writes)?;
        self.inner.delete(key, version).await
    }

    async fn list(&self, prefix: &str) -> Result<Vec<StoredObject>> {
        self.spend(&self.reads, &self.counts.reads)?;
        self.inner.list(prefix).await
    }

    async fn watch(
        &self,
        prefix: &str,
        since: ObjectVersion,
        wait: Duration,
    ) -> Result<Vec<ObjectChange>> {
        self.spend(&self.reads, &self.counts.watches)?;
        self.inner.watch(prefix, since, wait).await
    }
}
