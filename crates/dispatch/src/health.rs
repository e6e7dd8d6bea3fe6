//! How far a backend server is trusted, judged by the results of this entry's own requests.
//!
//! Load pattern: a backend server fails a part of its requests, or all, while its health check
//! says that it is well. Health checks are not asked: results cost nothing and do not lie.

use base::prelude::*;

/// Weight of a new result in the moving share of failures.
const RESULT_WEIGHT: f64 = 0.2;
/// First time for which a backend server that cannot be reached is left out.
const FIRST_SUSPENSION: Duration = Duration::from_millis(200);
/// Longest time for which it is left out between two tries.
const MAX_SUSPENSION: Duration = Duration::from_millis(1_600);
/// The share of failures halves in this time without requests, so that it is tried again.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(3);

/// Trust in one backend server.
#[derive(Debug, Clone, Copy)]
pub struct ServerHealth {
    failures: f64,
    updated_at: Instant,
    suspended_until: Option<Instant>,
    suspension: Duration,
}

impl ServerHealth {
    /// Trust in a backend server of which nothing is known.
    pub fn new(now: Instant) -> Self {
        Self { failures: 0.0, updated_at: now, suspended_until: None, suspension: FIRST_SUSPENSION }
    }

    /// Share of requests that are expected to fail.
    pub fn failure_share(&self, now: Instant) -> f64 {
        let idle = now.saturating_duration_since(self.updated_at).as_secs_f64();
        self.failures * 0.5_f64.powf(idle / FAILURE_HALF_LIFE.as_secs_f64())
    }

    /// Whether no request should go there now.
    pub fn is_suspended(&self, now: Instant) -> bool {
        self.suspended_until.is_some_and(|until| now < until)
    }

    /// A request was answered.
    pub fn record_success(&mut self, now: Instant) {
        self.update_failure_share(0.0, now);
        self.suspended_until = None;
        self.suspension = FIRST_SUSPENSION;
    }

    /// A request failed after it had been read.
    pub fn record_failure(&mut self, now: Instant) {
        self.update_failure_share(1.0, now);
    }

    /// The backend server could not be reached or broke off.
    pub fn record_loss(&mut self, now: Instant) {
        self.update_failure_share(1.0, now);
        if !self.is_suspended(now) {
            self.suspended_until = Some(now + self.suspension);
            self.suspension = (self.suspension * 2).min(MAX_SUSPENSION);
        }
    }

    /// Leaves it out for `span`.
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
