//! Heartbeats that engines without a report leave unanswered.
//!
//! A planner that starts waits for the reports of most listed engines, because one of them may have
//! a copy of a model that another would load from the weight store. Lost engines stay listed until
//! their entries lapse; the heartbeats that they leave unanswered tell them from slow ones.

use std::collections::HashMap;

use base::prelude::*;
use roster::InstanceId;

/// Heartbeats in a row that an engine leaves unanswered before its report is no longer awaited.
const MAX_UNANSWERED: u32 = 5;
/// Time that an engine has to answer a heartbeat; others sent meanwhile do not count.
const ANSWER_TIME: Duration = Duration::from_millis(150);
/// Time between two heartbeats after which the count begins anew: this process was paused, or the
/// engine is no longer listed.
const MAX_HEARTBEAT_GAP: Duration = Duration::from_secs(1);

#[derive(Debug, Clone, Copy)]
struct SentHeartbeats {
    count: u32,
    last: Instant,
}

/// Heartbeats sent to engines that have not reported.
#[derive(Debug, Default)]
pub(super) struct UnansweredHeartbeats {
    sent: HashMap<InstanceId, SentHeartbeats>,
}

impl UnansweredHeartbeats {
    /// Records a heartbeat that is sent to `engine`.
    pub fn record_sent(&mut self, engine: &InstanceId, now: Instant) {
        let Some(sent) = self.sent.get_mut(engine) else {
            self.sent.insert(engine.clone(), SentHeartbeats { count: 1, last: now });
            return;
        };
        let gap = now.saturating_duration_since(sent.last);
        if gap > MAX_HEARTBEAT_GAP {
            *sent = SentHeartbeats { count: 1, last: now };
        } else if gap >= ANSWER_TIME {
            *sent = SentHeartbeats { count: sent.count.saturating_add(1), last: now };
        }
    }

    /// Records that `engine` answers, or is not waited for.
    pub fn clear(&mut self, engine: &InstanceId) {
        self.sent.remove(engine);
    }

    /// Number of engines whose reports are no longer awaited.
    pub fn silent_engines(&self, now: Instant) -> usize {
        let silent = self.sent.values().filter(|sent| {
            let since_last = now.saturating_duration_since(sent.last);
            // The last heartbeat may still be answered.
            let unanswered = sent.count - u32::from(since_last < ANSWER_TIME);
            unanswered >= MAX_UNANSWERED && since_last <= MAX_HEARTBEAT_GAP
        });
        silent.count()
    }
}
