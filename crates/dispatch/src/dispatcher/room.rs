//! Room for the bodies of requests at backend servers, which hold them until they answer.

use base::prelude::*;
use memory_budget::{SMALL_BODY, ServerBytes};
use roster::InstanceId;

use super::CallDispatcher;
use crate::hedging::HedgeSide;

impl CallDispatcher {
    /// Sets the bytes of bodies that each backend server may hold for this entry; to be called before
    /// the first request. There is no limit otherwise.
    pub fn set_server_bytes(&mut self, limit: ByteSize) {
        self.bodies = ServerBytes::new(limit);
    }

    /// Records that `server` has begun to answer the request `key`, so that it no longer holds the
    /// body.
    pub fn record_answer_head(&mut self, key: u64, server: &InstanceId, now: Instant) {
        let Some(call) = self.calls.get(&key) else { return };
        if let Some(view) = self.servers.get_mut(server) {
            view.record_response(now);
        }
        let side = match call.hedge.second.as_ref() == Some(server) {
            true => HedgeSide::Second,
            false => HedgeSide::First,
        };
        if self.release_body(key, side) > SMALL_BODY {
            self.review_waiting(now);
        }
    }

    /// Releases the body of an attempt at its server; returns the bytes that it held there.
    pub(super) fn release_body(&mut self, key: u64, side: HedgeSide) -> ByteSize {
        let Some(call) = self.calls.get_mut(&key) else { return ByteSize(0) };
        let held_at = match side {
            HedgeSide::First => &mut call.held_at,
            HedgeSide::Second => &mut call.hedge.second_held_at,
        };
        let Some(held) = held_at.as_mut().filter(|held| held.has_body) else {
            return ByteSize(0);
        };
        held.has_body = false;
        self.bodies.release(&held.address, call.request.body);
        call.request.body
    }
}
