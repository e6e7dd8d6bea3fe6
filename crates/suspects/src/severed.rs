//! Attempts whose connection broke before their answer began.
//!
//! A broken connection alone does not show that the backend server has crashed: links fail and
//! servers reset connections. A probe distinguishes the two.

use std::collections::HashMap;

use base::prelude::*;
use roster::InstanceId;

use crate::key::SuspectKeys;

/// Most attempts that are kept for one backend server; later ones are dropped.
const MAX_ATTEMPTS: usize = 16;

/// An attempt that may have crashed its backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SeveredAttempt {
    /// Keys of its request.
    pub keys: SuspectKeys,
    /// When it was sent.
    pub sent: Instant,
    /// When its connection broke.
    pub severed: Instant,
}

/// The severed attempts of an entry, by the backend server that is being probed.
#[derive(Debug, Default)]
pub struct SeveredAttempts {
    by_server: HashMap<InstanceId, Vec<SeveredAttempt>>,
}

impl SeveredAttempts {
    /// Adds an attempt at `server`. Returns whether the server has to be probed; false if a probe
    /// is under way.
    pub fn record(&mut self, server: &InstanceId, attempt: SeveredAttempt) -> bool {
        let is_first = !self.by_server.contains_key(server);
        let attempts = self.by_server.entry(server.clone()).or_default();
        if attempts.len() < MAX_ATTEMPTS {
            attempts.push(attempt);
        }
        is_first
    }

    /// Takes the attempts at `server`, because its probe has ended.
    pub fn take(&mut self, server: &InstanceId) -> Vec<SeveredAttempt> {
        self.by_server.remove(server).unwrap_or_default()
    }
}
