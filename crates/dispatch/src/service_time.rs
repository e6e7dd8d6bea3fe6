//! Time that a backend server of a plain service takes for one request, learned from this entry's
//! own requests.

use base::prelude::*;

/// Time of a plain request before the first answer; deployments range from 15 to 60 ms.
pub(crate) const INITIAL_TIME: Duration = Duration::from_millis(25);
/// Weight of an answer in the average of its server.
const SERVER_WEIGHT: f64 = 0.08;
/// Weight of an answer in the average of its service. The first ones weigh more: otherwise the average
/// would stay near its initial value for longer than those of the servers, and a server without
/// answers would look slower than those that have some.
const SERVICE_WEIGHT: f64 = 0.02;
/// An answer counts as at most this many times the average, or as this part of it, so that one
/// outlier moves the average by a quarter at most.
const MAX_DEVIATION: f64 = 4.0;
/// Half-life of what distinguishes a server from its service while it answers nothing, so that a
/// server that was slow is tried again.
const SERVER_HALF_LIFE: Duration = Duration::from_secs(5);
/// Number of answers with which half of the deviation of a server from its service counts: the first
/// averages of both depend on few requests.
const UNSURE_ANSWERS: f64 = 10.0;
/// Deviation from the service, as a logarithm, that counts as none: requests differ, and the average
/// of a server varies by about a tenth for that reason alone.
const NOISE: f64 = 0.2;

/// Exponential average of the time for one request.
#[derive(Debug, Clone, Copy)]
struct AverageTime {
    seconds: f64,
}

impl AverageTime {
    fn observe(&mut self, seconds: f64, weight: f64) {
        let (low, high) = (self.seconds / MAX_DEVIATION, self.seconds * MAX_DEVIATION);
        self.seconds += weight * (seconds.clamp(low, high) - self.seconds);
    }
}

/// Time for a request at the servers of one service.
#[derive(Debug, Clone, Copy)]
pub struct ServiceTime {
    average: AverageTime,
    answers: u32,
}

impl Default for ServiceTime {
    fn default() -> Self {
        Self { average: AverageTime { seconds: INITIAL_TIME.as_secs_f64() }, answers: 0 }
    }
}

impl ServiceTime {
    /// Average over all servers, in seconds.
    pub fn seconds(self) -> f64 {
        self.average.seconds
    }

    /// Takes the time that a request took, in seconds.
    pub fn observe(&mut self, seconds: f64) {
        self.answers = self.answers.saturating_add(1);
        let weight = 1.0 / (f64::from(self.answers) + 1.0);
        self.average.observe(seconds, weight.max(SERVICE_WEIGHT));
    }
}

/// Time for a request at one server, relative to its service.
#[derive(Debug, Clone, Copy, Default)]
pub struct ServerTime {
    learned: Option<(AverageTime, Instant)>,
    answers: u32,
}

impl ServerTime {
    /// Expected time for a request without a queue, in seconds, where `service` is the average over
    /// all servers of the service.
    pub fn seconds(&self, service: f64, now: Instant) -> f64 {
        let Some((average, updated_at)) = self.learned else { return service };
        let answers = f64::from(self.answers);
        let confidence = answers / (answers + UNSURE_ANSWERS);
        let deviation = (average.seconds / service).ln() * confidence;
        let excess = (deviation.abs() - NOISE).max(0.0);
        if excess == 0.0 {
            return service;
        }
        let age = now.saturating_duration_since(updated_at).as_secs_f64();
        let fading = 0.5_f64.powf(age / SERVER_HALF_LIFE.as_secs_f64());
        service * (deviation.signum() * excess * fading).exp()
    }

    /// Takes the time that a request took, in seconds.
    pub fn observe(&mut self, seconds: f64, service: f64, now: Instant) {
        let (mut average, _) = self.learned.unwrap_or((AverageTime { seconds: service }, now));
        average.observe(seconds, SERVER_WEIGHT);
        self.answers = self.answers.saturating_add(1);
        self.learned = Some((average, now));
    }
}

/// Slowdown of a backend server as it reported last.
#[derive(Debug, Clone, Copy)]
pub struct ReportedSlowdown {
    factor: f64,
    reported_at: Instant,
}

/// Half-life of a reported slowdown, which changes many times a second. In the replay of servers that
/// neighbours slow for 600 ms at a time, 300 and 600 ms gave longer times at 75% use.
const SLOWDOWN_HALF_LIFE: Duration = Duration::from_millis(150);
/// Reported slowdowns are limited to this range, so that a faulty report has a bounded effect.
const SLOWDOWN_RANGE: (f64, f64) = (0.5, 5.0);

impl ReportedSlowdown {
    /// A report of `factor`, where 1 is usual.
    pub fn new(factor: f64, now: Instant) -> Self {
        let (low, high) = SLOWDOWN_RANGE;
        let factor = if factor.is_finite() { factor.clamp(low, high) } else { 1.0 };
        Self { factor, reported_at: now }
    }

    /// Expected slowdown at `now`.
    pub fn factor(&self, now: Instant) -> f64 {
        if self.factor == 1.0 {
            return 1.0;
        }
        let age = now.saturating_duration_since(self.reported_at).as_secs_f64();
        1.0 + (self.factor - 1.0) * 0.5_f64.powf(age / SLOWDOWN_HALF_LIFE.as_secs_f64())
    }
}
