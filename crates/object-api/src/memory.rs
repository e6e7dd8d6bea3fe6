//! An in-memory Object API and VM list with fault injection, for stand-ins and tests.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard},
};

use async_trait::async_trait;
use base::prelude::*;
use bytes::Bytes;
use tokio::{sync::Notify, time};

use crate::{
    object::{
        MAX_OBJECT_BYTES, ObjectChange, ObjectKey, ObjectList, ObjectStore, ObjectVersion, Result,
        StoreError, StoredObject, WriteCondition,
    },
    vms::{VmEntry, VmList, VmListing},
};

/// Changes kept for watches. A watch that starts before the oldest one gets all current objects
/// under its prefix instead.
const MAX_KEPT_CHANGES: usize = 65_536;

/// Faults injected into the store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StoreFault {
    /// Every call fails with [`StoreError::Unavailable`].
    pub down: bool,
    /// Delay added to every call.
    pub delay: Duration,
    /// Number of further writes that take effect but fail with [`StoreError::AnswerLost`].
    pub lost_answers: u32,
}

#[derive(Debug, Default)]
struct StoreState {
    objects: BTreeMap<ObjectKey, StoredObject>,
    changes: Vec<ObjectChange>,
    /// Version of the newest change that is no longer in `changes`.
    last_dropped: ObjectVersion,
    version: ObjectVersion,
    vms: VmListing,
    fault: StoreFault,
    reads: u64,
    writes: u64,
}

impl StoreState {
    fn record_change(&mut self, change: ObjectChange) {
        self.changes.push(change);
        if self.changes.len() > MAX_KEPT_CHANGES {
            let oldest = self.changes.remove(0);
            self.last_dropped = oldest.version();
        }
    }

    fn next_version(&mut self) -> ObjectVersion {
        self.version.0 += 1;
        self.version
    }

    fn condition_holds(&self, key: &ObjectKey, condition: WriteCondition) -> bool {
        let current = self.objects.get(key).map(|object| object.version);
        match condition {
            WriteCondition::Absent => current.is_none(),
            WriteCondition::Version(version) => current == Some(version),
        }
    }

    fn changes_since(&self, prefix: &str, since: ObjectVersion) -> Vec<ObjectChange> {
        if since < self.last_dropped {
            let all = self.objects.values().filter(|o| o.key.as_str().starts_with(prefix));
            return all.cloned().map(ObjectChange::Written).collect();
        }
        let start = self.changes.partition_point(|change| change.version() <= since);
        let matches = |change: &&ObjectChange| match change {
            ObjectChange::Written(object) => object.key.as_str().starts_with(prefix),
            ObjectChange::Deleted { key, .. } => key.as_str().starts_with(prefix),
        };
        self.changes[start..].iter().filter(matches).cloned().collect()
    }

    fn answer_write<T>(&mut self, value: T) -> Result<T> {
        if self.fault.lost_answers > 0 {
            self.fault.lost_answers -= 1;
            return Err(StoreError::AnswerLost);
        }
        Ok(value)
    }
}

/// Calls that reached the store; calls that failed because it was down are not counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreCalls {
    /// Reads of objects and of the VM list, lists and watches.
    pub reads: u64,
    /// Writes and deletes, including those whose condition did not hold.
    pub writes: u64,
}

/// An in-memory store; clones share their contents and faults.
#[derive(Debug, Clone, Default)]
pub struct MemoryStore {
    state: Arc<Mutex<StoreState>>,
    changed: Arc<Notify>,
}

impl MemoryStore {
    /// Creates an empty store without faults.
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the injected faults. They do not affect a watch that already waits, except that it
    /// fails if a write wakes it while `down` is set.
    pub fn set_fault(&self, fault: StoreFault) {
        self.lock().fault = fault;
    }

    /// Replaces the VM list.
    pub fn set_vms(&self, vms: Vec<VmEntry>) {
        self.set_listing(VmListing { vms, ..VmListing::default() });
    }

    /// Replaces the VM list, with entries that cannot be read.
    pub fn set_listing(&self, listing: VmListing) {
        self.lock().vms = listing;
    }

    /// Calls counted since the store was created.
    pub fn calls(&self) -> StoreCalls {
        let state = self.lock();
        StoreCalls { reads: state.reads, writes: state.writes }
    }

    fn lock(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().expect("no thread panics while holding the lock")
    }

    async fn begin_call(&self, is_write: bool) -> Result<()> {
        let fault = self.lock().fault;
        if !fault.delay.is_zero() {
            time::sleep(fault.delay).await;
        }
        let mut state = self.lock();
        if state.fault.down {
            return Err(StoreError::Unavailable);
        }
        match is_write {
            true => state.writes += 1,
            false => state.reads += 1,
        }
        Ok(())
    }
}

#[async_trait]
impl ObjectStore for MemoryStore {
    async fn get(&self, key: &ObjectKey) -> Result<Option<StoredObject>> {
        self.begin_call(false).await?;
        Ok(self.lock().objects.get(key).cloned())
    }

    async fn put(
        &self,
        key: &ObjectKey,
        body: Bytes,
        condition: WriteCondition,
    ) -> Result<ObjectVersion> {
        self.begin_call(true).await?;
        if body.len() > MAX_OBJECT_BYTES {
            return Err(StoreError::BodyTooLarge);
        }
        let mut state = self.lock();
        if !state.condition_holds(key, condition) {
            return Err(StoreError::ConditionFailed);
        }
        let version = state.next_version();
        let object = StoredObject { key: key.clone(), version, body };
        state.objects.insert(key.clone(), object.clone());
        state.record_change(ObjectChange::Written(object));
        self.changed.notify_waiters();
        state.answer_write(version)
    }

    async fn delete(&self, key: &ObjectKey, version: ObjectVersion) -> Result<()> {
        self.begin_call(true).await?;
        let mut state = self.lock();
        if !state.condition_holds(key, WriteCondition::Version(version)) {
            return Err(StoreError::ConditionFailed);
        }
        state.objects.remove(key);
        let version = state.next_version();
        state.record_change(ObjectChange::Deleted { key: key.clone(), version });
        self.changed.notify_waiters();
        state.answer_write(())
    }

    async fn list_all(&self, prefix: &str) -> Result<ObjectList> {
        self.begin_call(false).await?;
        let state = self.lock();
        let matching = state.objects.values().filter(|o| o.key.as_str().starts_with(prefix));
        Ok(ObjectList { objects: matching.cloned().collect(), ..ObjectList::default() })
    }

    async fn watch(
        &self,
        prefix: &str,
        since: ObjectVersion,
        wait: Duration,
    ) -> Result<Vec<ObjectChange>> {
        self.begin_call(false).await?;
        let deadline = Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            let changes = self.lock().changes_since(prefix, since);
            if !changes.is_empty() {
                return Ok(changes);
            }
            if time::timeout_at(deadline, changed).await.is_err() {
                return Ok(Vec::new());
            }
            if self.lock().fault.down {
                return Err(StoreError::Unavailable);
            }
        }
    }
}

#[async_trait]
impl VmList for MemoryStore {
    async fn listing(&self) -> Result<VmListing> {
        self.begin_call(false).await?;
        Ok(self.lock().vms.clone())
    }
}
