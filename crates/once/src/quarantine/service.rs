//! Runs a quarantine against the Object API.

use std::sync::{
    Arc, Mutex,
    atomic::{AtomicBool, Ordering},
};

use base::{clock, prelude::*};
use object_api::{ObjectChange, ObjectStore, ObjectVersion, StoreError};
use tokio::{sync::mpsc, time};

use super::{
    CrashQuarantine, QuarantineAction, QuarantineEvent, QuarantineLimits, StoredRecord,
    admin::{self, QUARANTINE_PREFIX},
    record::{CrashRecord, CrashedRequest, QuarantineStatus},
};
use crate::{claim::WriteOutcome, fingerprint::RequestFingerprint};

/// Longest time that one watch call waits for changes.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(60);

/// Time between two full reads of the records, which find deletions that a watch missed.
const RELOAD_INTERVAL: Duration = Duration::from_secs(600);

/// Time between two attempts to write unsaved records, and between two cleanings.
const TICK_INTERVAL: Duration = Duration::from_secs(10);

/// Time before the records are read and watched again, also after a failure.
const RETRY_DELAY: Duration = Duration::from_secs(2);

/// The quarantine of an entry process; clones share its state.
#[derive(Debug, Clone)]
pub struct QuarantineService {
    quarantine: Arc<Mutex<CrashQuarantine>>,
    is_cleaner: Arc<AtomicBool>,
    actions: mpsc::UnboundedSender<QuarantineAction>,
}

impl QuarantineService {
    /// Starts the tasks that load, watch and save the records; they end with the runtime.
    pub fn start<S: ObjectStore + 'static>(store: Arc<S>, limits: QuarantineLimits) -> Self {
        let quarantine = Arc::new(Mutex::new(CrashQuarantine::new(limits)));
        let is_cleaner = Arc::new(AtomicBool::new(false));
        let (actions, received) = mpsc::unbounded_channel();
        let service = Self { quarantine, is_cleaner, actions };
        tokio::spawn(service.clone().run(store.clone(), received));
        tokio::spawn(service.clone().watch(store));
        service
    }

    /// Whether a request may run now.
    pub fn status(&self, fingerprint: RequestFingerprint) -> QuarantineStatus {
        let quarantine = self.quarantine.lock().expect("no thread panics while holding the lock");
        quarantine.status(fingerprint, clock::since_epoch())
    }

    /// Records a request that was in flight at a crash; its status changes at once.
    pub fn record_crash(&self, request: CrashedRequest) {
        log::warn!("quarantine: request {} was in flight at an engine crash", request.fingerprint);
        self.handle(QuarantineEvent::Crashed(request));
    }

    /// Clears a suspect that ran alone and completed successfully.
    pub fn clear_suspect(&self, fingerprint: RequestFingerprint) {
        self.handle(QuarantineEvent::SuspectCompleted(fingerprint));
    }

    /// Sets whether this process deletes records that are no longer needed.
    pub fn set_cleaner(&self, is_cleaner: bool) {
        self.is_cleaner.store(is_cleaner, Ordering::Relaxed);
    }

    fn handle(&self, event: QuarantineEvent) {
        let mut quarantine =
            self.quarantine.lock().expect("no thread panics while holding the lock");
        for action in quarantine.handle(event, clock::since_epoch()) {
            // The send fails only when the runtime shuts down and drops the receiver.
            let _ = self.actions.send(action);
        }
    }

    async fn run<S: ObjectStore + 'static>(
        self,
        store: Arc<S>,
        mut received: mpsc::UnboundedReceiver<QuarantineAction>,
    ) {
        let mut ticks = time::interval(TICK_INTERVAL);
        loop {
            tokio::select! {
                Some(action) = received.recv() => self.start_call(&store, action),
                _ = ticks.tick() => {
                    let is_cleaner = self.is_cleaner.load(Ordering::Relaxed);
                    self.handle(QuarantineEvent::Tick { is_cleaner });
                }
            }
        }
    }

    fn start_call<S: ObjectStore + 'static>(&self, store: &Arc<S>, action: QuarantineAction) {
        let (store, service) = (Arc::clone(store), self.clone());
        tokio::spawn(async move {
            if let Some(event) = perform(store.as_ref(), action).await {
                service.handle(event);
            }
        });
    }

    async fn watch<S: ObjectStore>(self, store: Arc<S>) {
        loop {
            if let Err(error) = self.follow(store.as_ref()).await {
                log::warn!(
                    "quarantine: cannot read or watch the crash records, \
                     retrying in {RETRY_DELAY:?}: {error}"
                );
            }
            time::sleep(RETRY_DELAY).await;
        }
    }

    /// Reads all records, then watches their changes until the next full read is due.
    async fn follow(&self, store: &dyn ObjectStore) -> admin::Result<()> {
        let reload = Instant::now() + RELOAD_INTERVAL;
        let list = admin::read_records(store).await?;
        let versions = list.records.iter().map(|stored| stored.version);
        let mut since = versions.max().unwrap_or_default();
        self.handle(QuarantineEvent::Loaded(list));
        while Instant::now() < reload {
            let wait = MAX_WATCH_WAIT.min(reload - Instant::now());
            for change in store.watch(QUARANTINE_PREFIX, since, wait).await? {
                since = since.max(change.version());
                if let Some(event) = change_event(change) {
                    self.handle(event);
                }
            }
        }
        Ok(())
    }
}

fn change_event(change: ObjectChange) -> Option<QuarantineEvent> {
    match change {
        ObjectChange::Deleted { key, version } => {
            let fingerprint = admin::fingerprint_of(&key)?;
            Some(QuarantineEvent::Deleted { fingerprint, version: Some(version) })
        }
        ObjectChange::Written(object) => {
            let fingerprint = admin::fingerprint_of(&object.key)?;
            written_event(fingerprint, object.version, CrashRecord::decode(object.body))
        }
    }
}

fn written_event(
    fingerprint: RequestFingerprint,
    version: ObjectVersion,
    record: super::record::Result<CrashRecord>,
) -> Option<QuarantineEvent> {
    match record {
        Ok(record) => Some(QuarantineEvent::Written(StoredRecord { fingerprint, version, record })),
        Err(error) => {
            log::error!("quarantine: ignoring the malformed record of {fingerprint}: {error}");
            None
        }
    }
}

async fn perform(store: &dyn ObjectStore, action: QuarantineAction) -> Option<QuarantineEvent> {
    match action {
        QuarantineAction::Write { fingerprint, record, condition } => {
            let key = admin::record_key(fingerprint);
            let outcome = outcome_of(store.put(&key, record.encode(), condition).await);
            Some(QuarantineEvent::StoreCallEnded { fingerprint, outcome })
        }
        QuarantineAction::Delete { fingerprint, version } => {
            let deleted = store.delete(&admin::record_key(fingerprint), version).await;
            let outcome = outcome_of(deleted.map(|()| version));
            Some(QuarantineEvent::StoreCallEnded { fingerprint, outcome })
        }
        QuarantineAction::Read { fingerprint } => {
            match store.get(&admin::record_key(fingerprint)).await.ok()? {
                None => Some(QuarantineEvent::Deleted { fingerprint, version: None }),
                Some(object) => {
                    written_event(fingerprint, object.version, CrashRecord::decode(object.body))
                }
            }
        }
    }
}

fn outcome_of(result: Result<ObjectVersion, StoreError>) -> WriteOutcome {
    match result {
        Ok(version) => WriteOutcome::Written(version),
        Err(StoreError::ConditionFailed) => WriteOutcome::ConditionFailed,
        Err(error) if error.is_uncertain() => WriteOutcome::Uncertain,
        Err(_) => WriteOutcome::NotWritten,
    }
}
