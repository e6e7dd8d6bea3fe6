//! How load and unload calls ended.

use base::prelude::*;

use super::{MemoryLedger, TargetPhase};
use crate::orders::{AttemptId, DenyReason, EngineAnswer, FenceCheck, LoadTarget};

impl MemoryLedger {
    pub(super) fn take_answer(&mut self, attempt: AttemptId, answer: EngineAnswer, now: Instant) {
        let found = self.entries.iter().find(|(_, entry)| entry.attempt() == Some(attempt));
        let Some((target, entry)) = found else { return };
        let target = target.clone();
        match entry.phase {
            TargetPhase::Loading(_) => self.end_load(&target, answer, now),
            _ => self.end_unload(&target, answer),
        }
    }

    fn end_load(&mut self, target: &LoadTarget, answer: EngineAnswer, now: Instant) {
        let fresh_from = self.next_listing;
        let is_enforced = self.settings.fence_check == FenceCheck::Enforced;
        let Some(entry) = self.entries.get_mut(target) else { return };
        entry.fresh_from = fresh_from;
        match answer {
            EngineAnswer::Done => {
                entry.phase = TargetPhase::Loaded;
                entry.last_used = now;
                entry.settle(is_enforced);
                self.backoffs.remove(target);
                self.finish_load(target);
            }
            EngineAnswer::Failed | EngineAnswer::StaleFence => {
                entry.phase = TargetPhase::Unsure;
                self.fail_load(target, DenyReason::LoadFailed, now);
            }
            EngineAnswer::Lost => {
                entry.phase = TargetPhase::Unsure;
                entry.doubts += u32::from(self.guards.keep_doubtful);
                entry.doubt_fence = entry.doubt_fence.max(entry.sent_fence);
                self.fail_load(target, DenyReason::LoadUncertain, now);
            }
        }
    }

    pub(super) fn finish_load(&mut self, target: &LoadTarget) {
        let is_leaving = self.entries.get(target).is_some_and(|entry| entry.is_leaving);
        if is_leaving {
            self.deny_loads(target, DenyReason::Unloading);
            self.continue_unload(target);
        } else {
            self.confirm_loads(target);
        }
    }

    fn fail_load(&mut self, target: &LoadTarget, reason: DenyReason, now: Instant) {
        self.backoffs.entry(target.clone()).or_default().fail(now);
        self.deny_loads(target, reason);
        if !self.guards.free_by_listing {
            self.remove_gone(target);
        }
        self.request_listing();
    }

    fn end_unload(&mut self, target: &LoadTarget, answer: EngineAnswer) {
        let fresh_from = self.next_listing;
        let is_enforced = self.settings.fence_check == FenceCheck::Enforced;
        let Some(entry) = self.entries.get_mut(target) else { return };
        entry.fresh_from = fresh_from;
        entry.phase = TargetPhase::Unloading(None);
        if answer == EngineAnswer::Done {
            entry.settle(is_enforced);
            if !self.guards.free_by_listing {
                self.remove_gone(target);
            }
        }
        self.request_listing();
    }
}
