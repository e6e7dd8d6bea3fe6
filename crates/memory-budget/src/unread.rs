//! Decides whose answer has stayed unread for too long.

use std::collections::{BTreeSet, HashMap};

use base::prelude::*;

/// Something that waits for its reader, such as a connection whose writes are blocked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UnreadId(pub u64);

/// Time without progress after which a reader is given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnreadLimits {
    /// While there is enough memory.
    pub usual: Duration,
    /// While memory is short.
    pub if_short: Duration,
}

/// All that waits for a reader.
#[derive(Debug)]
pub struct UnreadTable {
    limits: UnreadLimits,
    last: UnreadId,
    since: HashMap<UnreadId, Instant>,
    by_time: BTreeSet<(Instant, UnreadId)>,
}

impl UnreadTable {
    /// A table in which nothing waits.
    pub fn new(limits: UnreadLimits) -> Self {
        Self { limits, last: UnreadId(0), since: HashMap::new(), by_time: BTreeSet::new() }
    }

    /// An id that has not been used.
    pub fn next_id(&mut self) -> UnreadId {
        self.last.0 += 1;
        self.last
    }

    /// Records that `id` waits for its reader from now on, also after the reader has taken a part.
    pub fn begin(&mut self, id: UnreadId, now: Instant) {
        self.end(id);
        self.since.insert(id, now);
        self.by_time.insert((now, id));
    }

    /// Records that the reader of `id` has taken everything.
    pub fn end(&mut self, id: UnreadId) {
        if let Some(since) = self.since.remove(&id) {
            self.by_time.remove(&(since, id));
        }
    }

    /// Removes and returns those whose readers are given up, the longest wait first.
    pub fn take_overdue(&mut self, is_short: bool, now: Instant) -> Vec<UnreadId> {
        let limit = if is_short { self.limits.if_short } else { self.limits.usual };
        let mut overdue = Vec::new();
        while let Some((since, id)) = self.by_time.first().copied() {
            if now.saturating_duration_since(since) < limit {
                break;
            }
            self.end(id);
            overdue.push(id);
        }
        overdue
    }
}
