//! Slots of the replicas that a queue grants from.

use std::collections::HashMap;

use base::prelude::*;

use crate::request::{SlotCount, WorkClass};

#[derive(Debug, Clone, Copy)]
pub(crate) struct RunningRequest {
    pub(crate) class: WorkClass,
    pub(crate) granted: Instant,
}

/// Counts of running requests against the slots.
#[derive(Debug)]
pub(crate) struct SlotLedger {
    total: SlotCount,
    long_limit: u32,
    short_running: u32,
    long_running: u32,
    running: HashMap<RequestId, RunningRequest>,
}

impl SlotLedger {
    pub(crate) fn new() -> Self {
        Self {
            total: SlotCount(0),
            long_limit: 0,
            short_running: 0,
            long_running: 0,
            running: HashMap::new(),
        }
    }

    /// Sets the number of slots and how many percent of them long requests may hold.
    pub(crate) fn resize(&mut self, total: SlotCount, long_percent: u32) {
        let part = u64::from(total.0) * u64::from(long_percent.min(100)) / 100;
        self.total = total;
        self.long_limit = u32::try_from(part).unwrap_or(total.0).max(1);
    }

    pub(crate) fn total(&self) -> SlotCount {
        self.total
    }

    pub(crate) fn running(&self, class: WorkClass) -> u32 {
        match class {
            WorkClass::Short => self.short_running,
            WorkClass::Long => self.long_running,
        }
    }

    pub(crate) fn holds(&self, id: RequestId) -> bool {
        self.running.contains_key(&id)
    }

    /// Whether one more request of `class` may run.
    pub(crate) fn has_free(&self, class: WorkClass) -> bool {
        let any_free = self.short_running + self.long_running < self.total.0;
        match class {
            WorkClass::Short => any_free,
            WorkClass::Long => any_free && self.long_running < self.long_limit,
        }
    }

    /// Whether long requests hold less than the half of their part that is kept for them.
    pub(crate) fn is_long_below_floor(&self) -> bool {
        self.long_running < self.long_limit.div_ceil(2)
    }

    /// Slots that `class` can count on in the long run.
    pub(crate) fn serving(&self, class: WorkClass, other_waits: bool) -> u32 {
        match class {
            WorkClass::Short => self.total.0.saturating_sub(self.long_running).max(1),
            WorkClass::Long if other_waits => self.long_limit.div_ceil(2),
            WorkClass::Long => self.long_limit,
        }
    }

    pub(crate) fn start(&mut self, id: RequestId, class: WorkClass, now: Instant) {
        *self.counter(class) += 1;
        self.running.insert(id, RunningRequest { class, granted: now });
    }

    pub(crate) fn stop(&mut self, id: RequestId) -> Option<RunningRequest> {
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
