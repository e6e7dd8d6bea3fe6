//! Replies of a claim shard to its calls.

use base::prelude::*;

use super::{ClaimShard, ShardPhase};
use crate::{
    claim::{ClaimCall, ClaimReply, ShardTime},
    key::CreationTime,
    segment::RecordKind,
    table::KeyState,
};

impl ClaimShard {
    pub(super) fn immediate_reply(&self, call: &ClaimCall, time: ShardTime) -> Option<ClaimReply> {
        if call.kind == RecordKind::Claim {
            let oldest = CreationTime::before(time.unix_time, self.limits.claim_lifetime);
            let newest =
                CreationTime::before(time.unix_time + self.limits.max_clock_skew, Duration::ZERO);
            if self.checks.expiry && call.key.created < oldest {
                return Some(ClaimReply::Refused(ResultCode::KeyExpired));
            }
            if call.key.created > newest {
                return Some(ClaimReply::Refused(ResultCode::MalformedRequest));
            }
        }
        match self.phase {
            ShardPhase::Unknown(_) | ShardPhase::Recovering => None,
            _ => self.final_reply(call),
        }
    }

    /// Returns a reply that no later record of the log can change, if there is one.
    pub(super) fn final_reply(&self, call: &ClaimCall) -> Option<ClaimReply> {
        match call.kind {
            RecordKind::Claim => self.final_claim_reply(call),
            RecordKind::Release => self.final_release_reply(call),
        }
    }

    pub(super) fn final_claim_reply(&self, call: &ClaimCall) -> Option<ClaimReply> {
        if self.table.is_released(call.key, call.request) {
            return Some(ClaimReply::Refused(ResultCode::CallerCancelled));
        }
        if self.checks.expiry && self.table.is_expired(call.key) {
            return Some(ClaimReply::Refused(ResultCode::KeyExpired));
        }
        match self.table.state(call.key) {
            KeyState::Held(holder) if holder == call.request => Some(ClaimReply::Granted),
            KeyState::Held(_) => {
                let answer = self.answers.get(call.key.digest, call.fingerprint);
                answer.map(ClaimReply::Cached)
            }
            KeyState::Free => None,
        }
    }

    pub(super) fn final_release_reply(&self, call: &ClaimCall) -> Option<ClaimReply> {
        let expired = self.table.is_expired(call.key);
        let released = self.table.is_released(call.key, call.request);
        (expired || released).then_some(ClaimReply::Released)
    }

    /// Whether another request holds the key, as far as this process has read the log.
    pub(super) fn is_duplicate(&self, call: &ClaimCall) -> bool {
        let state = self.table.state(call.key);
        call.kind == RecordKind::Claim
            && matches!(state, KeyState::Held(holder) if holder != call.request)
    }

    /// Returns the reply that is valid right after the log was read to its end.
    pub(super) fn current_reply(&self, call: &ClaimCall) -> Option<ClaimReply> {
        let duplicate = ClaimReply::Refused(ResultCode::DuplicateKey);
        self.final_reply(call).or_else(|| self.is_duplicate(call).then_some(duplicate))
    }
}
