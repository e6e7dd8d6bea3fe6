//! Closes connections whose callers do not read their answers.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard},
};

use base::prelude::*;
use memory_budget::{SharedBudget, UnreadId, UnreadLimits, UnreadTable};
use tokio::time;
use tokio_util::sync::CancellationToken;

use crate::metrics::EntryMetrics;

/// Callers on links with losses pause for less than the shorter time.
const LIMITS: UnreadLimits =
    UnreadLimits { usual: Duration::from_secs(15), if_short: Duration::from_secs(2) };
/// Time between two checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

#[derive(Debug)]
struct ReaderState {
    table: UnreadTable,
    closes: HashMap<UnreadId, CancellationToken>,
}

/// All connections and answers that wait for their readers; clones share them.
#[derive(Debug, Clone)]
pub struct ReaderWatch {
    state: Arc<Mutex<ReaderState>>,
}

impl ReaderWatch {
    /// A watch of nothing.
    pub fn new() -> Self {
        let state = ReaderState { table: UnreadTable::new(LIMITS), closes: HashMap::new() };
        Self { state: Arc::new(Mutex::new(state)) }
    }

    fn lock(&self) -> MutexGuard<'_, ReaderState> {
        self.state.lock().expect("no thread panics while holding the lock")
    }

    /// Watches the reader of something on the connection that `close` closes.
    pub fn watch(&self, close: CancellationToken) -> UnreadMark {
        let id = self.lock().table.next_id();
        UnreadMark { watch: self.clone(), id, close, is_waiting: false }
    }

    /// Closes connections with an overdue reader, until the process ends.
    pub async fn close_unread(self, budget: SharedBudget, metrics: EntryMetrics) {
        loop {
            time::sleep(CHECK_INTERVAL).await;
            let closed = self.close_overdue(budget.is_short(), Instant::now());
            if closed > 0 {
                metrics.unread_connections.inc_by(closed);
                log::info!("server: closing {closed} connections whose answers are not read");
            }
        }
    }

    fn close_overdue(&self, is_short: bool, now: Instant) -> u64 {
        let mut state = self.lock();
        let mut closed = 0;
        for id in state.table.take_overdue(is_short, now) {
            let Some(close) = state.closes.remove(&id) else { continue };
            if !close.is_cancelled() {
                close.cancel();
                closed += 1;
            }
        }
        closed
    }
}

impl Default for ReaderWatch {
    fn default() -> Self {
        Self::new()
    }
}

/// Something that may wait for its reader.
#[derive(Debug)]
pub struct UnreadMark {
    watch: ReaderWatch,
    id: UnreadId,
    close: CancellationToken,
    is_waiting: bool,
}

impl UnreadMark {
    /// Whether it waits for its reader.
    pub fn is_waiting(&self) -> bool {
        self.is_waiting
    }

    /// Records that it waits for its reader from now on.
    pub fn begin(&mut self) {
        let mut state = self.watch.lock();
        state.table.begin(self.id, Instant::now());
        state.closes.insert(self.id, self.close.clone());
        self.is_waiting = true;
    }

    /// Records that its reader has taken everything.
    pub fn end(&mut self) {
        if !self.is_waiting {
            return;
        }
        let mut state = self.watch.lock();
        state.table.end(self.id);
        state.closes.remove(&self.id);
        self.is_waiting = false;
    }
}

impl Drop for UnreadMark {
    fn drop(&mut self) {
        self.end();
    }
}
