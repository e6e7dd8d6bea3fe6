//! Locks that stay usable after a panic.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks `mutex`, also if a task panicked while it held the lock: refusing the lock from then on would
/// end each task that needs it, and the process once one needs it as it is dropped. What that task has
/// left half done concerns one request or one message.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
