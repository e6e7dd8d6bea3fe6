//! Bounds the request bodies that this process holds at each backend server.

use std::sync::{Arc, Mutex, MutexGuard};

use base::prelude::*;
use memory_budget::ServerBytes;
use tokio::sync::Notify;

use crate::metrics::EntryMetrics;

/// Bodies at backend servers; clones share them. Each server is named by its VM.
#[derive(Debug, Clone)]
pub struct ServerLoad {
    bytes: Arc<Mutex<ServerBytes<VmId>>>,
    released: Arc<Notify>,
    metrics: EntryMetrics,
}

impl ServerLoad {
    /// Lets each server hold `limit` without an answer.
    pub fn new(limit: ByteSize, metrics: EntryMetrics) -> Self {
        let bytes = Arc::new(Mutex::new(ServerBytes::new(limit)));
        Self { bytes, released: Arc::default(), metrics }
    }

    fn lock(&self) -> MutexGuard<'_, ServerBytes<VmId>> {
        self.bytes.lock().expect("no thread panics while holding the lock")
    }

    /// Charges a body that is about to be sent; waits while the server holds too much.
    pub async fn hold(&self, server: &VmId, length: usize) -> HeldAtServer {
        let bytes = ByteSize(length as u64);
        let mut is_counted = false;
        loop {
            let released = self.released.notified();
            tokio::pin!(released);
            // A release between the check and the wait must not be missed.
            released.as_mut().enable();
            if self.lock().hold(server.clone(), bytes) {
                return HeldAtServer { load: self.clone(), server: server.clone(), bytes };
            }
            if !is_counted {
                is_counted = true;
                self.metrics.server_byte_waits.inc();
            }
            released.await;
        }
    }
}

/// A body at a backend server, charged until this is dropped.
#[derive(Debug)]
pub struct HeldAtServer {
    load: ServerLoad,
    server: VmId,
    bytes: ByteSize,
}

impl Drop for HeldAtServer {
    fn drop(&mut self) {
        self.load.lock().release(&self.server, self.bytes);
        self.load.released.notify_waiters();
    }
}
