//! The last checks of a request that is assigned to a backend server, before it is sent.

use base::prelude::*;

use super::{CallDispatcher, OpenCall, StopStage};
use crate::{
    decision::{DispatchDecision, SendObstacle},
    hedging::HedgeSide,
};

impl CallDispatcher {
    /// Decides whether a request that is assigned may go on to its server. Returns the next decision
    /// if it may not, because something was ruled out while it waited for a permit.
    ///
    /// What follows may wait for a connection; [`Self::begin_send`] checks again after it.
    pub fn confirm_send(&mut self, key: u64, now: Instant) -> Option<DispatchDecision> {
        let Some(obstacle) = self.find_obstacle(key, HedgeSide::First, now) else {
            if let Some(call) = self.calls.get_mut(&key)
                && call.sent_attempts == 0
            {
                call.hedge.first_sent = Some(now);
            }
            return None;
        };
        self.unassign(key);
        let blocked = self.block_refusal(key, now).filter(|_| obstacle == SendObstacle::Blocked);
        Some(match blocked {
            Some(refusal) => self.refuse(key, refusal),
            None => self.decide(key, now),
        })
    }

    /// Checks an attempt at the moment of its first byte, and records that it is sent. The caller
    /// must not wait between this and the first byte.
    ///
    /// # Errors
    ///
    /// Returns why it may not be sent; the attempt then ends as
    /// [`AttemptFailure::Withdrawn`](crate::AttemptFailure::Withdrawn).
    pub fn begin_send(
        &mut self,
        key: u64,
        side: HedgeSide,
        now: Instant,
    ) -> Result<(), SendObstacle> {
        if let Some(obstacle) = self.find_obstacle(key, side, now) {
            return Err(obstacle);
        }
        match side {
            HedgeSide::First => self.mark_sent(key, now),
            HedgeSide::Second => self.mark_hedge_sent(key, now),
        }
        Ok(())
    }

    /// Records that the request is sent to the backend server to which it was assigned.
    pub fn mark_sent(&mut self, key: u64, now: Instant) {
        let Some(call) = self.calls.get_mut(&key) else { return };
        call.sent_attempts += 1;
        call.slot = None;
        call.has_unsent_retry = false;
        if let Some(view) = call.assigned_to.as_ref().and_then(|id| self.servers.get_mut(id)) {
            view.mark_sent(key, now);
        }
        let hedges = u32::from(call.hedge.second.is_some());
        if call.sent_attempts == 1 + hedges {
            call.hedge.first_sent = Some(now);
            let service = call.request.service.clone();
            self.budget(&service).budget.record_first(now);
            self.hedges.record_request(&service);
        }
    }

    /// Whether a backend server may have run the request `key` in an attempt that failed.
    pub fn may_have_run(&self, key: u64) -> bool {
        self.calls.get(&key).is_some_and(|call| call.run_attempts > 0)
    }

    fn find_obstacle(&self, key: u64, side: HedgeSide, now: Instant) -> Option<SendObstacle> {
        let call = self.calls.get(&key)?;
        if self.stop_stage == StopStage::NoSends {
            return Some(SendObstacle::ProcessEnds);
        }
        if call.request.deadline <= now {
            return Some(SendObstacle::DeadlinePassed);
        }
        if self.block_refusal(key, now).is_some() {
            return Some(SendObstacle::Blocked);
        }
        self.find_server_obstacle(call, side, now)
    }

    /// Why the server to which a request is assigned takes it no more.
    fn find_server_obstacle(
        &self,
        call: &OpenCall,
        side: HedgeSide,
        now: Instant,
    ) -> Option<SendObstacle> {
        let (server, held_at) = match side {
            HedgeSide::First => (call.assigned_to.as_ref()?, call.held_at),
            HedgeSide::Second => (call.hedge.second.as_ref()?, call.hedge.second_held_at),
        };
        let view = self.servers.get(server);
        let view = view.filter(|view| held_at.is_none_or(|held| held.address == view.address));
        let Some(view) = view else { return Some(SendObstacle::ServerLeft) };
        let has_slot = side == HedgeSide::First && call.slot.is_some();
        if view.is_draining() {
            Some(SendObstacle::ServerDrains)
        } else if view.is_down() {
            Some(SendObstacle::ServerDown)
        } else if view.paused_until(now).is_some() {
            Some(SendObstacle::ServerPaused)
        } else if !view.fits(call.assigned_software.as_ref()) {
            Some(SendObstacle::SoftwareChanged)
        } else if !has_slot && self.allowances.is_limited(&view.id, view.started) {
            Some(SendObstacle::ServerLimited)
        } else {
            None
        }
    }

    /// Returns a retry that was taken from the budget and not sent.
    pub(super) fn put_back_retry(&mut self, key: u64) {
        let Some(call) = self.calls.get_mut(&key) else { return };
        if std::mem::take(&mut call.has_unsent_retry) {
            let service = call.request.service.clone();
            self.budget(&service).budget.put_back();
        }
    }
}
