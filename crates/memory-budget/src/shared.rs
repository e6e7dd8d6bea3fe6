//! A budget that is shared by the tasks of a process.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard},
};

use base::{locks, prelude::*};
use tokio_util::sync::CancellationToken;

use crate::account::{BudgetAccount, BudgetLimits, Growth, HolderId};

/// Too little is free, and too few holders are stalled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BudgetFull;

#[derive(Debug)]
struct BudgetState {
    account: BudgetAccount,
    ends: HashMap<HolderId, CancellationToken>,
}

/// A budget; clones share it.
#[derive(Debug, Clone)]
pub struct SharedBudget {
    state: Arc<Mutex<BudgetState>>,
}

impl SharedBudget {
    /// Creates a budget of which nothing is held.
    pub fn new(limits: BudgetLimits) -> Self {
        let account = BudgetAccount::new(limits);
        Self { state: Arc::new(Mutex::new(BudgetState { account, ends: HashMap::new() })) }
    }

    /// Units that are held.
    pub fn used(&self) -> u64 {
        self.lock().account.used()
    }

    /// Whether more than half of the units are held.
    pub fn is_short(&self) -> bool {
        self.lock().account.is_short()
    }

    /// A holding of nothing, which can grow.
    pub fn hold(&self) -> Holding {
        let mut state = self.lock();
        let id = state.account.add_holder(Instant::now());
        let ended = CancellationToken::new();
        state.ends.insert(id, ended.clone());
        Holding { budget: self.clone(), id, ended }
    }

    fn lock(&self) -> MutexGuard<'_, BudgetState> {
        locks::lock(&self.state)
    }
}

/// A part of a budget, given back when it is dropped.
#[derive(Debug)]
pub struct Holding {
    budget: SharedBudget,
    id: HolderId,
    ended: CancellationToken,
}

impl Holding {
    /// Takes `amount` units more; returns the number of holdings that were ended for that.
    ///
    /// # Errors
    ///
    /// Fails if too little is free, or if this holding was ended.
    pub fn grow(&self, amount: u64) -> Result<usize, BudgetFull> {
        self.grow_beside(amount, 0)
    }

    /// The same, if `reserve` units remain free for others.
    ///
    /// # Errors
    ///
    /// Fails if too little is free, or if this holding was ended.
    pub fn grow_beside(&self, amount: u64, reserve: u64) -> Result<usize, BudgetFull> {
        let mut state = self.budget.lock();
        match state.account.grow_beside(self.id, amount, reserve, Instant::now()) {
            Growth::Granted { ended } => {
                for holder in &ended {
                    if let Some(end) = state.ends.remove(holder) {
                        end.cancel();
                    }
                }
                Ok(ended.len())
            }
            Growth::Refused => Err(BudgetFull),
        }
    }

    /// Takes `amount` units more, also up to `excess` units beyond the limit; returns false if more
    /// is held already.
    #[must_use]
    pub fn charge(&self, amount: u64, excess: u64) -> bool {
        self.budget.lock().account.charge(self.id, amount, excess)
    }

    /// Gives back `amount` units.
    pub fn shrink(&self, amount: u64) {
        self.budget.lock().account.shrink(self.id, amount);
    }

    /// Records that the holder is not stalled.
    pub fn record_progress(&self) {
        self.budget.lock().account.record_progress(self.id, Instant::now());
    }

    /// Exempts the holding from being ended, until it records progress again.
    pub fn protect(&self) {
        self.budget.lock().account.protect(self.id);
    }

    /// Cancelled when the holding was ended; its holder must give up what it holds.
    pub fn ended(&self) -> &CancellationToken {
        &self.ended
    }
}

impl Drop for Holding {
    fn drop(&mut self) {
        let mut state = self.budget.lock();
        state.account.release(self.id);
        state.ends.remove(&self.id);
    }
}
