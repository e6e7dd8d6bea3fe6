//! Synthetic request traces.

use std::time::Duration;

use lists::WorkClass;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Standard deviation of the logarithm of the service times in a class.
const SERVICE_TIME_SIGMA: f64 = 0.4;

/// Simulated backend servers of one model or service.
#[derive(Debug, Clone, Copy)]
pub struct ReplayFleet {
    /// Number of backend servers.
    pub servers: usize,
    /// Requests that each server runs at once.
    pub slots: u32,
    /// Number of availability zones; server `n` is in zone `n % zones`.
    pub zones: usize,
}

impl ReplayFleet {
    /// Requests that all servers together run at once.
    pub fn capacity(&self) -> f64 {
        self.servers as f64 * f64::from(self.slots)
    }
}

/// One request of a trace.
#[derive(Debug, Clone, Copy)]
pub struct Job {
    /// Arrival, from the start of the replay.
    pub arrival: Duration,
    /// Work class that admission sees.
    pub class: WorkClass,
    /// Index of the customer.
    pub customer: usize,
    /// Index of the zone of the entry that receives it.
    pub zone: usize,
    /// Processing time at a backend server of normal speed.
    pub service_time: Duration,
    /// Time from arrival to deadline.
    pub timeout: Duration,
    /// Whether it may run twice, which hedging requires.
    pub may_retry: bool,
}

/// Change of a backend server's speed.
#[derive(Debug, Clone, Copy)]
pub struct SpeedChange {
    /// Time of the change, from the start of the replay.
    pub at: Duration,
    /// Index of the backend server.
    pub server: usize,
    /// Factor by which processing takes longer from then on; 1.0 is normal speed.
    pub slowdown: f64,
}

/// Poisson arrivals of requests of one class.
#[derive(Debug, Clone, Copy)]
pub struct Workload {
    /// Work class of the requests.
    pub class: WorkClass,
    /// Start of the arrivals, from the start of the replay.
    pub from: Duration,
    /// End of the arrivals, from the start of the replay, exclusive.
    pub until: Duration,
    /// Mean arrivals a second.
    pub rate: f64,
    /// Mean processing time at a backend server of normal speed.
    pub service_time: Duration,
    /// Time from arrival to deadline.
    pub timeout: Duration,
    /// Percentage of requests that may run twice.
    pub retryable_percent: u32,
}

impl Workload {
    /// Draws requests with Poisson arrivals and lognormal service times, sorted by arrival.
    ///
    /// `seed` determines the result; customers and zones are drawn uniformly.
    pub fn draw(&self, seed: u64, customers: usize, zones: usize) -> Vec<Job> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut jobs = Vec::new();
        let mut at = self.from.as_secs_f64();
        loop {
            at -= uniform(&mut rng).ln() / self.rate;
            if at >= self.until.as_secs_f64() {
                return jobs;
            }
            let log_scale =
                SERVICE_TIME_SIGMA * normal(&mut rng) - SERVICE_TIME_SIGMA.powi(2) / 2.0;
            jobs.push(Job {
                arrival: Duration::from_secs_f64(at),
                class: self.class,
                customer: rng.random_range(0..customers),
                zone: rng.random_range(0..zones),
                service_time: self.service_time.mul_f64(log_scale.exp()),
                timeout: self.timeout,
                may_retry: rng.random_range(0..100) < self.retryable_percent,
            });
        }
    }
}

fn uniform(rng: &mut ChaCha8Rng) -> f64 {
    rng.random_range(f64::MIN_POSITIVE..1.0)
}

/// Draws from the standard normal distribution (Box-Muller transform).
fn normal(rng: &mut ChaCha8Rng) -> f64 {
    let radius = (-2.0 * uniform(rng).ln()).sqrt();
    radius * (std::f64::consts::TAU * uniform(rng)).cos()
}
