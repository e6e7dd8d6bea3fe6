//! Histories of requests.

use std::time::Duration;

use lists::WorkClass;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Spread of the service times within a class: standard deviation of the logarithm.
const SERVICE_SPREAD: f64 = 0.4;

/// Backend servers of one model or service.
#[derive(Debug, Clone, Copy)]
pub struct ReplayFleet {
    /// Backend servers.
    pub servers: usize,
    /// Requests that each runs at once.
    pub slots: u32,
    /// Availability zones that they are spread over.
    pub zones: usize,
}

impl ReplayFleet {
    /// Requests that all run at once.
    pub fn capacity(&self) -> f64 {
        self.servers as f64 * f64::from(self.slots)
    }
}

/// One request.
#[derive(Debug, Clone, Copy)]
pub struct Job {
    /// When it arrives, from the start.
    pub at: Duration,
    /// Class of its work.
    pub class: WorkClass,
    /// Number of its customer.
    pub customer: usize,
    /// Zone of its entry.
    pub zone: usize,
    /// Time it takes at a backend server of normal speed.
    pub service: Duration,
    /// Time from arrival to deadline.
    pub budget: Duration,
    /// Whether it may be repeated.
    pub may_repeat: bool,
}

/// A backend server changes its speed.
#[derive(Debug, Clone, Copy)]
pub struct SpeedChange {
    /// When, from the start.
    pub at: Duration,
    /// Which backend server.
    pub server: usize,
    /// How many times longer its work takes from then on.
    pub factor: f64,
}

/// One class of a history: arrivals at a rate.
#[derive(Debug, Clone, Copy)]
pub struct Workload {
    /// Class of the work.
    pub class: WorkClass,
    /// First arrival, from the start.
    pub from: Duration,
    /// End of the arrivals.
    pub until: Duration,
    /// Arrivals a second.
    pub rate: f64,
    /// Mean service time.
    pub service: Duration,
    /// Time from arrival to deadline.
    pub budget: Duration,
    /// Requests in a hundred that may be repeated.
    pub repeatable_percent: u32,
}

impl Workload {
    /// Draws the arrivals of a Poisson process with lognormal service times.
    pub fn draw(&self, seed: u64, customers: usize, zones: usize) -> Vec<Job> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut jobs = Vec::new();
        let mut at = self.from.as_secs_f64();
        loop {
            at -= uniform(&mut rng).ln() / self.rate;
            if at >= self.until.as_secs_f64() {
                return jobs;
            }
            let spread = SERVICE_SPREAD * normal(&mut rng) - SERVICE_SPREAD.powi(2) / 2.0;
            jobs.push(Job {
                at: Duration::from_secs_f64(at),
                class: self.class,
                customer: rng.random_range(0..customers),
                zone: rng.random_range(0..zones),
                service: self.service.mul_f64(spread.exp()),
                budget: self.budget,
                may_repeat: rng.random_range(0..100) < self.repeatable_percent,
            });
        }
    }
}

fn uniform(rng: &mut ChaCha8Rng) -> f64 {
    rng.random_range(f64::MIN_POSITIVE..1.0)
}

/// A draw from the standard normal distribution, by Box and Muller.
fn normal(rng: &mut ChaCha8Rng) -> f64 {
    let radius = (-2.0 * uniform(rng).ln()).sqrt();
    radius * (std::f64::consts::TAU * uniform(rng)).cos()
}
