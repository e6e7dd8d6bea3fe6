//! Results of load and unload calls to the engine.

use base::prelude::*;

use super::{MemoryLedger, TargetPhase};
use crate::orders::{DenyReason, EngineAnswer, EngineCallId, FenceCheck, LoadTarget};

impl MemoryLedger {
    pub(super) fn apply_answer(&mut self, call: EngineCallId, answer: EngineAnswer, now: Instant) {
        let found = self.entries.iter().find(|(_, entry)| entry.call() == Some(call));
        let Some((target, entry)) = found else { return };
        let target = target.clone();
        match entry.phase {
            TargetPhase::Loading(_) => self.end_load(&target, answer, now),
            _ => self.end_unload(&target, answer, now),
        }
    }

    fn end_load(&mut self, target: &LoadTarget, answer: EngineAnswer, now: Instant) {
        let first_valid_listing = self.next_listing;
        let is_enforced = self.settings.fence_check == FenceCheck::Enforced;
        let Some(entry) = self.entries.get_mut(target) else { return };
        entry.first_valid_listing = first_valid_listing;
        match answer {
            EngineAnswer::Done => {
                entry.phase = TargetPhase::Loaded;
                entry.last_used = now;
                entry.resolve_uncertain_loads(is_enforced);
                self.backoffs.remove(target);
                self.finish_load(target);
            }
            EngineAnswer::Failed | EngineAnswer::StaleFence => {
                entry.phase = TargetPhase::Uncertain;
                self.fail_load(target, DenyReason::LoadFailed, now);
            }
            EngineAnswer::Lost => {
                entry.phase = TargetPhase::Uncertain;
                entry.uncertain_loads += u32::from(self.checks.reserve_uncertain_loads);
                entry.uncertain_fence = entry.uncertain_fence.max(entry.sent_fence);
                self.fail_load(target, DenyReason::LoadUncertain, now);
            }
        }
    }

    pub(super) fn finish_load(&mut self, target: &LoadTarget) {
        let is_unload_pending =
            self.entries.get(target).is_some_and(|entry| entry.is_unload_pending);
        if is_unload_pending {
            self.deny_loads(target, DenyReason::Unloading);
            self.continue_unload(target);
        } else {
            self.confirm_loads(target);
        }
    }

    fn fail_load(&mut self, target: &LoadTarget, reason: DenyReason, now: Instant) {
        self.backoffs.entry(target.clone()).or_default().record_failure(now);
        self.deny_loads(target, reason);
        if !self.checks.free_by_listing {
            self.remove_target(target);
        }
        self.request_listing();
    }

    fn end_unload(&mut self, target: &LoadTarget, answer: EngineAnswer, now: Instant) {
        let first_valid_listing = self.next_listing;
        let is_enforced = self.settings.fence_check == FenceCheck::Enforced;
        let Some(entry) = self.entries.get_mut(target) else { return };
        entry.first_valid_listing = first_valid_listing;
        entry.phase = TargetPhase::Unloading(None);
        entry.unload_backoff.record_failure(now);
        if answer == EngineAnswer::Done {
            entry.resolve_uncertain_loads(is_enforced);
            if !self.checks.free_by_listing {
                self.remove_target(target);
            }
        }
        self.request_listing();
    }
}
