//! Crashes of the engine.

use std::sync::atomic::Ordering;

use base::prelude::*;

use super::{CrashRecord, EngineServer, records::now_ms};

impl EngineServer {
    /// Whether the body contains the crash marker of the injected faults.
    pub(super) fn has_crash_marker(&self, body: &[u8]) -> bool {
        let state = self.lock();
        let Some(marker) = state.fault.crash_marker.as_deref().filter(|text| !text.is_empty())
        else {
            return false;
        };
        body.windows(marker.len()).any(|window| window == marker.as_bytes())
    }

    /// Ends all requests, drops all models and connections, and is unavailable for the restart
    /// time. `request_id` is the request that caused the crash.
    pub fn crash(&self, request_id: &str) {
        self.incarnations.fetch_add(1, Ordering::SeqCst);
        // Connections are dropped first: a stream that ended before its connection was dropped
        // would look complete to the caller.
        self.connections.drop_all();
        let mut in_flight = self.end_all();
        in_flight.push(request_id.to_owned());
        {
            let mut state = self.lock();
            state.table.clear();
            state.records.close_holdings(|_| true);
            state.unavailable_until = Some(Instant::now() + self.options.restart_time);
            let crash =
                CrashRecord { at_ms: now_ms(), request_id: request_id.to_owned(), in_flight };
            state.records.crashes.push(crash);
        }
        self.notify_model_change();
    }
}
