//! Requests that may crash backend servers: what is recorded of them, and which are refused.

use base::prelude::*;
use roster::InstanceId;
use suspects::{SeveredAttempt, SuspectBoard};

use super::{CallDispatcher, StopStage};
use crate::decision::{DispatchAction, DispatchDecision, Refusal};

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

    /// Decides whether an assigned request may be sent now, and records that it is. Returns the next
    /// decision if it may not: while it waited for a permit, it was blocked, its server has
    /// another software version now or announced that it takes no more requests or only a limited number, or the process is about to end.
    pub fn confirm_send(&mut self, key: u64, now: Instant) -> Option<DispatchDecision> {
        let refusal = self.block_refusal(key, now);
        let may_send = self.stop_stage < StopStage::NoSends && self.accepts_requests(key, now);
        if refusal.is_none() && may_send {
            self.mark_sent(key, now);
            return None;
        }
        self.unassign(key);
        Some(match refusal {
            Some(refusal) => self.refuse(key, refusal),
            None => self.decide(key, now),
        })
    }

    /// Whether the server to which a request is assigned has not announced the contrary.
    fn accepts_requests(&self, key: u64, now: Instant) -> bool {
        let Some(call) = self.calls.get(&key) else { return true };
        let server = call.assigned_to.as_ref().and_then(|id| self.servers.get(id));
        server.is_none_or(|view| {
            !view.is_draining()
                && view.paused_until(now).is_none()
                && view.fits(call.assigned_software.as_ref())
        }) && self.is_within_limit(call)
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
