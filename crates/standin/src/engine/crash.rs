//! Crashes of the engine.

use std::sync::atomic::Ordering;

use base::prelude::*;

use super::{CrashRecord, EngineServer, records::now_ms};

impl EngineServer {
    /// Whether a request with this body crashes the engine.
    pub(super) fn is_fatal(&self, body: &[u8]) -> bool {
        let state = self.lock();
        let Some(marker) = state.fault.crash_marker.as_deref().filter(|text| !text.is_empty())
        else {
            return false;
        };
        body.windows(marker.len()).any(|window| window == marker.as_bytes())
    }

    /// Loses models and requests, drops all connections and stays away for the restart time.
    pub fn crash(&self, request_id: &str) {
        self.lives.fetch_add(1, Ordering::SeqCst);
        // Before anything else, so that no stream ends as if it were whole.
        self.breaker.drop_all();
        let mut in_flight = self.end_all();
        in_flight.push(request_id.to_owned());
        {
            let mut state = self.lock();
            state.table.clear();
            state.records.close_holdings(|_| true);
            state.back_at = Some(Instant::now() + self.options.restart_time);
            let crash =
                CrashRecord { at_ms: now_ms(), request_id: request_id.to_owned(), in_flight };
            state.records.crashes.push(crash);
        }
        self.notify();
    }
}
