//! Log of the entries of answers that could not be read.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
};

/// Faults named in one line; further ones are counted.
const MAX_NAMED: usize = 4;

/// Logs the unreadable entries of an answer when they differ from those of the answer before, so
/// that a list that is read every second does not fill the log. Clones share what was logged.
#[derive(Debug, Clone, Default)]
pub struct FaultLog {
    logged: Arc<Mutex<HashMap<String, Vec<String>>>>,
}

impl FaultLog {
    /// Logs `faults` of the entries of `source`, such as `the VM list`.
    pub fn report(&self, source: &str, faults: Vec<String>) {
        let mut logged = self.logged.lock().expect("no thread panics while holding the lock");
        if faults.is_empty() {
            logged.remove(source);
            return;
        }
        if logged.get(source) == Some(&faults) {
            return;
        }
        let named = faults.iter().take(MAX_NAMED).map(String::as_str).collect::<Vec<_>>();
        log::warn!(
            "store: {} entries of {source} cannot be read and are left out: {}",
            faults.len(),
            named.join("; ")
        );
        logged.insert(source.to_owned(), faults);
    }
}
