//! Losses of power in a plan: all processes are killed at once, up to three times in a row.

use std::time::Duration;

use rand::{RngExt, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;

use super::{FIRST_FAULT_DELAY, Fault, ScheduledFault, StoreFaultKind};

/// Share of the runs with faults of processes in which power is lost.
const LOSS_SHARE: f64 = 0.25;
/// Length of the period, in milliseconds, in which the first loss starts.
const FIRST_LOSS_WINDOW_MS: u64 = 6_000;
/// Longest time from the end of a loss to the start of the next one, in milliseconds.
const MAX_PAUSE_MS: u64 = 4_000;
/// Share of the losses after which the next one comes while processes start, if there is one.
const EARLY_SHARE: f64 = 0.25;
/// Longest time to the next loss in that case, in milliseconds.
const MAX_EARLY_PAUSE_MS: u64 = 400;
/// Longest time from the return of power until the engines run, in milliseconds.
const MAX_ENGINE_DELAY_MS: u64 = 2_000;
/// Share of the losses with a store fault that begins before the loss and ends after it.
const STORE_FAULT_SHARE: f64 = 0.5;

/// Seed of the order and the pauses in which processes are restarted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RestartSeed(pub u64);

/// Circumstances of a loss of power.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PowerLoss {
    /// Whether the engines crash with the processes; they keep the weights on their disks.
    pub with_engines: bool,
    /// Time from the return of power until the engines run again.
    pub engine_delay: Duration,
    /// Whether a route is added immediately before.
    pub after_new_route: bool,
    /// Seed of the restarts.
    pub restarts: RestartSeed,
}

/// Whether a plan must have a loss of power.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LossDraw {
    /// In some of the plans.
    Sometimes,
    /// In each plan.
    Always,
}

/// Draws a series of losses, and store faults around them, from a generator of their own.
pub fn power_losses(seed: u64, draw: LossDraw) -> Vec<ScheduledFault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed.rotate_left(8));
    let is_drawn = random.random_bool(LOSS_SHARE);
    if !is_drawn && draw == LossDraw::Sometimes {
        return Vec::new();
    }
    let mut at =
        FIRST_FAULT_DELAY + Duration::from_millis(random.random_range(0..FIRST_LOSS_WINDOW_MS));
    let mut faults = Vec::new();
    for _ in 0..random.random_range(1..=3) {
        let loss = PowerLoss {
            with_engines: random.random_bool(0.5),
            engine_delay: Duration::from_millis(random.random_range(0..MAX_ENGINE_DELAY_MS)),
            after_new_route: random.random_bool(0.4),
            restarts: RestartSeed(random.random_range(0..=u64::MAX)),
        };
        let duration = Duration::from_millis(random.random_range(100..3_000));
        if random.random_bool(STORE_FAULT_SHARE) {
            faults.push(store_fault_around(&mut random, at, duration));
        }
        faults.push(ScheduledFault { at, duration, fault: Fault::PowerLoss(loss) });
        let max_pause =
            if random.random_bool(EARLY_SHARE) { MAX_EARLY_PAUSE_MS } else { MAX_PAUSE_MS };
        at += duration + Duration::from_millis(random.random_range(0..max_pause));
    }
    faults
}

fn store_fault_around(random: &mut ChaCha8Rng, at: Duration, duration: Duration) -> ScheduledFault {
    let kinds = [
        StoreFaultKind::Busy,
        StoreFaultKind::Silent,
        StoreFaultKind::Slow,
        StoreFaultKind::Restored,
    ];
    let kind = *kinds.choose(random).expect("the list is not empty");
    let lead = Duration::from_millis(random.random_range(0..800));
    let tail = Duration::from_millis(random.random_range(300..3_000));
    ScheduledFault { at: at - lead, duration: lead + duration + tail, fault: Fault::Store(kind) }
}
