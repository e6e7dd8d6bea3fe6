//! Health of a backend server, by the results of this entry's own requests.
//!
//! A backend server may fail some or all of its requests while its health check passes. Results of
//! requests are therefore used instead of health checks; they also cause no extra load.

use base::prelude::*;

/// Weight of a new result in the moving average of failures.
const RESULT_WEIGHT: f64 = 0.2;
/// First back-off for a backend server that cannot be reached.
const FIRST_SUSPENSION: Duration = Duration::from_millis(200);
/// Maximum back-off between two tries.
const MAX_SUSPENSION: Duration = Duration::from_millis(1_600);
/// Half-life of the failure share while no results come in, so that the server is tried again.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(3);

/// Health of one backend server.
#[derive(Debug, Clone, Copy)]
pub struct ServerHealth {
    failures: f64,
    updated_at: Instant,
    suspended_until: Option<Instant>,
    suspension: Duration,
}

impl ServerHealth {
    /// Health of a backend server without any results.
    pub fn new(now: Instant) -> Self {
        Self { failures: 0.0, updated_at: now, suspended_until: None, suspension: FIRST_SUSPENSION }
    }

    /// Share of requests that are expected to fail, between 0 and 1.
    pub fn failure_share(&self, now: Instant) -> f64 {
        let idle = now.saturating_duration_since(self.updated_at).as_secs_f64();
        self.failures * 0.5_f64.powf(idle / FAILURE_HALF_LIFE.as_secs_f64())
    }

    /// Whether the server is in back-off and gets no requests now.
    pub fn is_suspended(&self, now: Instant) -> bool {
        self.suspended_until.is_some_and(|until| now < until)
    }

    /// Records an answered request; ends the back-off.
    pub fn record_success(&mut self, now: Instant) {
        self.update_failure_share(0.0, now);
        self.suspended_until = None;
        self.suspension = FIRST_SUSPENSION;
    }

    /// Records a request that failed after the server had received it; starts no back-off.
    pub fn record_failure(&mut self, now: Instant) {
        self.update_failure_share(1.0, now);
    }

    /// Records that the server could not be reached or broke the connection; starts a back-off,
    /// which doubles each time.
    pub fn record_loss(&mut self, now: Instant) {
        self.update_failure_share(1.0, now);
        if !self.is_suspended(now) {
            self.suspended_until = Some(now + self.suspension);
            self.suspension = (self.suspension * 2).min(MAX_SUSPENSION);
        }
    }

    /// Sends no requests to the server for at least `span`.
    pub fn suspend(&mut self, span: Duration, now: Instant) {
        let until = now + span;
        self.suspended_until = Some(self.suspended_until.map_or(until, |old| old.max(until)));
    }

    fn update_failure_share(&mut self, result: f64, now: Instant) {
        let share = self.failure_share(now);
        self.failures = share + RESULT_WEIGHT * (result - share);
        self.updated_at = now;
    }
}
