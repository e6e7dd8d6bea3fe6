//! Slots that a queue grants from, and the requests that hold them.

use std::collections::HashMap;

use base::{ids::AttemptId, prelude::*};
use lists::WorkClass;

use crate::request::SlotTotal;

#[derive(Debug, Clone, Copy)]
pub(crate) struct RunningRequest {
    pub(crate) class: WorkClass,
    pub(crate) granted: Instant,
}

/// Running requests and the limits on them.
#[derive(Debug)]
pub(crate) struct SlotLedger {
    total: SlotTotal,
    long_limit: u32,
    short_running: u32,
    long_running: u32,
    running: HashMap<AttemptId, RunningRequest>,
}

impl SlotLedger {
    pub(crate) fn new() -> Self {
        Self {
            total: SlotTotal(0),
            long_limit: 0,
            short_running: 0,
            long_running: 0,
            running: HashMap::new(),
        }
    }

    pub(crate) fn resize(&mut self, total: SlotTotal) {
        self.total = total;
    }

    /// Limits long requests to `percent` of the slots and to those not reserved for `short`
    /// requests, whichever is less, but at least to one slot.
    pub(crate) fn limit_long(&mut self, percent: u32, short: u32) {
        let part = u64::from(self.total.0) * u64::from(percent.min(100)) / 100;
        let left = self.total.0.saturating_sub(short);
        self.long_limit = (part as u32).min(left).max(1);
    }

    pub(crate) fn long_limit(&self) -> u32 {
        self.long_limit
    }

    pub(crate) fn total(&self) -> SlotTotal {
        self.total
    }

    pub(crate) fn running(&self, class: WorkClass) -> u32 {
        match class {
            WorkClass::Short => self.short_running,
            WorkClass::Long => self.long_running,
        }
    }

    pub(crate) fn holds(&self, id: AttemptId) -> bool {
        self.running.contains_key(&id)
    }

    /// Whether a slot is free for one more request of `class`.
    pub(crate) fn has_free(&self, class: WorkClass) -> bool {
        let any_free = self.short_running + self.long_running < self.total.0;
        match class {
            WorkClass::Short => any_free,
            WorkClass::Long => any_free && self.long_running < self.long_limit,
        }
    }

    /// Whether long requests hold less than half of their limit, which is guaranteed to them.
    pub(crate) fn is_long_below_floor(&self) -> bool {
        self.long_running < self.long_limit.div_ceil(2)
    }

    /// Slots that serve `class` on average, used to estimate its waiting time.
    pub(crate) fn serving(&self, class: WorkClass, other_waits: bool) -> u32 {
        match class {
            WorkClass::Short => self.total.0.saturating_sub(self.long_running).max(1),
            WorkClass::Long if other_waits => self.long_limit.div_ceil(2),
            WorkClass::Long => self.long_limit,
        }
    }

    pub(crate) fn start(&mut self, id: AttemptId, class: WorkClass, now: Instant) {
        *self.counter(class) += 1;
        self.running.insert(id, RunningRequest { class, granted: now });
    }

    pub(crate) fn stop(&mut self, id: AttemptId) -> Option<RunningRequest> {
        let running = self.running.remove(&id)?;
        *self.counter(running.class) -= 1;
        Some(running)
    }

    fn counter(&mut self, class: WorkClass) -> &mut u32 {
        match class {
            WorkClass::Short => &mut self.short_running,
            WorkClass::Long => &mut self.long_running,
        }
    }
}
