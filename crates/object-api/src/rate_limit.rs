//! Counting and rate limiting of calls to the platform's store.

use std::sync::{
    Mutex,
    atomic::{AtomicU64, Ordering},
};

use async_trait::async_trait;
use base::prelude::*;
use bytes::Bytes;

use crate::object::{
    ObjectChange, ObjectKey, ObjectList, ObjectStore, ObjectVersion, Result, StoreError,
    StoredObject, WriteCondition,
};

/// Number of calls through one [`RateLimitedStore`], by kind.
#[derive(Debug, Default)]
pub struct CallCounts {
    /// Reads and lists.
    pub reads: AtomicU64,
    /// Writes and deletes.
    pub writes: AtomicU64,
    /// Watches; the platform counts one as a call even while it only waits.
    pub watches: AtomicU64,
    /// Calls not sent because the rate limit was reached.
    pub refused: AtomicU64,
}

/// A token bucket: each call takes one token; the capacity is the tokens of one second, but at
/// least one.
#[derive(Debug)]
struct TokenBucket {
    rate: EventRate,
    capacity: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    fn new(rate: EventRate, now: Instant) -> Self {
        let capacity = rate.0.max(1.0);
        Self { rate, capacity, tokens: capacity, refilled_at: now }
    }

    fn take_token(&mut self, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        self.tokens = (self.tokens + elapsed * self.rate.0).min(self.capacity);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// Rate limits for the store calls of one process; a burst may use the calls of one second at once.
#[derive(Debug, Clone, Copy)]
pub struct CallLimits {
    /// Reads, lists and watches per second.
    pub reads: EventRate,
    /// Writes and deletes per second.
    pub writes: EventRate,
}

/// An [`ObjectStore`] that counts calls and refuses those over the rate limit with
/// [`StoreError::RateLimited`].
#[derive(Debug)]
pub struct RateLimitedStore<S> {
    inner: S,
    counts: CallCounts,
    reads: Mutex<TokenBucket>,
    writes: Mutex<TokenBucket>,
}

impl<S> RateLimitedStore<S> {
    /// Wraps `inner`; both buckets start full.
    pub fn new(inner: S, limits: CallLimits) -> Self {
        let now = Instant::now();
        Self {
            inner,
            counts: CallCounts::default(),
            reads: Mutex::new(TokenBucket::new(limits.reads, now)),
            writes: Mutex::new(TokenBucket::new(limits.writes, now)),
        }
    }

    /// Live counters of the calls made through this store.
    pub fn counts(&self) -> &CallCounts {
        &self.counts
    }

    fn admit_call(&self, bucket: &Mutex<TokenBucket>, counter: &AtomicU64) -> Result<()> {
        let granted = bucket
            .lock()
            .expect("no thread panics while holding the lock")
            .take_token(Instant::now());
        if !granted {
            self.counts.refused.fetch_add(1, Ordering::Relaxed);
            return Err(StoreError::RateLimited);
        }
        counter.fetch_add(1, Ordering::Relaxed);
        Ok(())
    }
}

#[async_trait]
impl<S: ObjectStore> ObjectStore for RateLimitedStore<S> {
    async fn get(&self, key: &ObjectKey) -> Result<Option<StoredObject>> {
        self.admit_call(&self.reads, &self.counts.reads)?;
        self.inner.get(key).await
    }

    async fn put(
        &self,
        key: &ObjectKey,
        body: Bytes,
        condition: WriteCondition,
    ) -> Result<ObjectVersion> {
        self.admit_call(&self.writes, &self.counts.writes)?;
        self.inner.put(key, body, condition).await
    }

    async fn delete(&self, key: &ObjectKey, version: ObjectVersion) -> Result<()> {
        self.admit_call(&self.writes, &self.counts.writes)?;
        self.inner.delete(key, version).await
    }

    async fn list_all(&self, prefix: &str) -> Result<ObjectList> {
        self.admit_call(&self.reads, &self.counts.reads)?;
        self.inner.list_all(prefix).await
    }

    async fn watch(
        &self,
        prefix: &str,
        since: ObjectVersion,
        wait: Duration,
    ) -> Result<Vec<ObjectChange>> {
        self.admit_call(&self.reads, &self.counts.watches)?;
        self.inner.watch(prefix, since, wait).await
    }
}
