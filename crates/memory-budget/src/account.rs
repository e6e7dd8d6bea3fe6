//! Decides who may hold how much, and who must give up its part at the bound.

use std::collections::{BTreeSet, HashMap};

use base::prelude::*;

/// A holder of a part of the resource.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HolderId(pub u64);

/// Limits of a resource.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BudgetLimits {
    /// Units that all holders may hold together.
    pub total: u64,
    /// Time without progress after which a holder may be ended for another one.
    pub min_stall: Duration,
}

/// Outcome of a holder's request for more.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Growth {
    /// The holder holds the amount, after the holders listed here were ended.
    Granted {
        /// Holders whose parts were taken from them, those without progress for the longest first.
        /// They must give up at once what they hold.
        ended: Vec<HolderId>,
    },
    /// Too little of the resource is held by stalled holders; nothing has changed.
    Refused,
}

#[derive(Debug, Clone, Copy)]
struct HeldPart {
    amount: u64,
    /// Last progress; `None` if the holder is not to be ended.
    progress: Option<Instant>,
}

/// State of one resource.
#[derive(Debug)]
pub struct BudgetAccount {
    limits: BudgetLimits,
    used: u64,
    last: HolderId,
    parts: HashMap<HolderId, HeldPart>,
    by_progress: BTreeSet<(Instant, HolderId)>,
}

impl BudgetAccount {
    /// Creates an account of which nothing is held.
    pub fn new(limits: BudgetLimits) -> Self {
        Self {
            limits,
            used: 0,
            last: HolderId(0),
            parts: HashMap::new(),
            by_progress: BTreeSet::new(),
        }
    }

    /// Units that are held.
    pub fn used(&self) -> u64 {
        self.used
    }

    /// Adds a holder that holds nothing yet.
    pub fn add_holder(&mut self, now: Instant) -> HolderId {
        self.last.0 += 1;
        self.parts.insert(self.last, HeldPart { amount: 0, progress: Some(now) });
        self.by_progress.insert((now, self.last));
        self.last
    }

    /// Requests `amount` units more for `holder`. If they are not free, the holders that have made
    /// no progress for the longest time are ended, until they are.
    ///
    /// A holder that was ended is refused.
    pub fn grow(&mut self, holder: HolderId, amount: u64, now: Instant) -> Growth {
        self.grow_beside(holder, amount, 0, now)
    }

    /// The same, if `reserve` units remain free for others.
    pub fn grow_beside(
        &mut self,
        holder: HolderId,
        amount: u64,
        reserve: u64,
        now: Instant,
    ) -> Growth {
        if !self.parts.contains_key(&holder) {
            return Growth::Refused;
        }
        let limit = self.limits.total.saturating_sub(reserve);
        let needed = self.used.saturating_add(amount).saturating_sub(limit);
        let Some(ended) = self.choose_ended(holder, needed, now) else { return Growth::Refused };
        for other in &ended {
            self.release(*other);
        }
        self.add(holder, amount);
        Growth::Granted { ended }
    }

    /// Adds `amount` units to what `holder` holds, also up to `excess` units beyond the limit: for
    /// small parts that are worth more than others. Returns false if more is held already.
    pub fn charge(&mut self, holder: HolderId, amount: u64, excess: u64) -> bool {
        let limit = self.limits.total.saturating_add(excess);
        let is_granted = self.used.saturating_add(amount) <= limit;
        if is_granted {
            self.add(holder, amount);
        }
        is_granted
    }

    fn add(&mut self, holder: HolderId, amount: u64) {
        if let Some(part) = self.parts.get_mut(&holder) {
            part.amount += amount;
            self.used += amount;
        }
    }

    /// Frees `amount` units of what `holder` holds; without effect if it was ended.
    pub fn shrink(&mut self, holder: HolderId, amount: u64) {
        if let Some(part) = self.parts.get_mut(&holder) {
            let freed = amount.min(part.amount);
            part.amount -= freed;
            self.used -= freed;
        }
    }

    /// Whether more than half of the resource is held.
    pub fn is_short(&self) -> bool {
        self.used > self.limits.total / 2
    }

    /// Holders to be ended so that `needed` units become free; `None` if they do not hold enough.
    fn choose_ended(&self, holder: HolderId, needed: u64, now: Instant) -> Option<Vec<HolderId>> {
        let mut freed = 0;
        let mut ended = Vec::new();
        for (progress, other) in &self.by_progress {
            let stall = now.saturating_duration_since(*progress);
            if freed >= needed || stall < self.limits.min_stall {
                break;
            }
            let amount = self.parts.get(other).map_or(0, |part| part.amount);
            if *other != holder && amount > 0 {
                freed += amount;
                ended.push(*other);
            }
        }
        (freed >= needed).then_some(ended)
    }

    /// Records that `holder` has made progress, and may be ended once it stalls.
    pub fn record_progress(&mut self, holder: HolderId, now: Instant) {
        self.set_progress(holder, Some(now));
    }

    /// Exempts `holder` from being ended, until it records progress again. What it holds still
    /// counts.
    pub fn protect(&mut self, holder: HolderId) {
        self.set_progress(holder, None);
    }

    fn set_progress(&mut self, holder: HolderId, progress: Option<Instant>) {
        let Some(part) = self.parts.get_mut(&holder) else { return };
        if let Some(before) = std::mem::replace(&mut part.progress, progress) {
            self.by_progress.remove(&(before, holder));
        }
        if let Some(progress) = progress {
            self.by_progress.insert((progress, holder));
        }
    }

    /// Removes `holder` and frees what it holds; without effect if it was ended.
    pub fn release(&mut self, holder: HolderId) {
        let Some(part) = self.parts.remove(&holder) else { return };
        self.used -= part.amount;
        if let Some(progress) = part.progress {
            self.by_progress.remove(&(progress, holder));
        }
    }
}
