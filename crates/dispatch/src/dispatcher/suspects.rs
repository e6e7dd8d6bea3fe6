//! Requests that may crash backend servers: what is recorded of them, and which are refused.

use base::prelude::*;
use roster::InstanceId;
use suspects::{SeveredAttempt, SuspectBoard};

use super::CallDispatcher;
use crate::decision::{DispatchAction, Refusal};

impl CallDispatcher {
    /// What this entry knows of requests that crash backend servers.
    pub fn suspects(&self) -> &SuspectBoard {
        &self.suspects
    }

    /// What this entry knows of requests that crash backend servers, to be updated. Waiting
    /// requests are to be reviewed after a new block.
    pub fn suspects_mut(&mut self) -> &mut SuspectBoard {
        &mut self.suspects
    }

    /// Records that the answer to `key` has begun: its first event or its whole body has arrived.
    pub fn record_answer_begun(&mut self, key: u64, now: Instant) {
        let Some(call) = self.calls.get(&key) else { return };
        let narrowed = self.suspects.record_answer(&call.request.suspect_keys, now);
        if !narrowed.is_empty() {
            self.actions.push(DispatchAction::ShareBlocks(narrowed));
        }
    }

    pub(super) fn record_severed(&mut self, server: &InstanceId, key: u64, now: Instant) {
        let Some(view) = self.servers.get(server) else { return };
        let Some(call) = self.calls.get(&key) else { return };
        let Some(sent) = view.calls.get(&key).and_then(|running| running.sent) else { return };
        let keys = call.request.suspect_keys.clone();
        let attempt = SeveredAttempt { keys, sent, severed: now };
        if self.suspects.record_severed(server, attempt) {
            let probe = DispatchAction::Probe { server: server.clone(), address: view.address };
            self.actions.push(probe);
        }
    }

    /// The refusal of a request that is blocked because requests like it crash backend servers.
    pub(super) fn block_refusal(&self, key: u64, now: Instant) -> Option<Refusal> {
        let keys = &self.calls.get(&key)?.request.suspect_keys;
        let until = self.suspects.blocked_until(keys, now)?;
        let wait = until.saturating_duration_since(now);
        let reason = "requests like it crashed backend servers";
        Some(Refusal::with_retry_after(ResultCode::RequestQuarantined, wait, reason))
    }
}
