//! How late the harness and the processes run: those that get no processor send less than planned, or
//! answer late.

use std::{
    fs,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use base::prelude::*;
use tokio::{task::JoinHandle, time};

use super::DeployedVm;

/// Time between two measurements.
const MEASURING_INTERVAL: Duration = Duration::from_millis(20);

/// Measures the longest delay of a task of the harness beyond its time, until it is dropped.
pub(crate) struct LagMeter {
    longest_us: Arc<AtomicU64>,
    task: JoinHandle<()>,
}

impl LagMeter {
    pub fn start() -> Self {
        let longest_us = Arc::<AtomicU64>::default();
        let kept = Arc::clone(&longest_us);
        let task = tokio::spawn(async move {
            loop {
                let due = Instant::now() + MEASURING_INTERVAL;
                time::sleep_until(due).await;
                let late = u64::try_from(due.elapsed().as_micros()).unwrap_or(u64::MAX);
                kept.fetch_max(late, Ordering::Relaxed);
            }
        });
        Self { longest_us, task }
    }

    /// The longest delay so far.
    pub fn longest(&self) -> Duration {
        Duration::from_micros(self.longest_us.load(Ordering::Relaxed))
    }
}

impl Drop for LagMeter {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl DeployedVm {
    /// Time that the main thread of the process has waited for a processor since its start.
    pub(crate) fn processor_wait(&self) -> Option<Duration> {
        let text = fs::read_to_string(format!("/proc/{}/schedstat", self.id()?)).ok()?;
        let waited = text.split_whitespace().nth(1)?.parse().ok()?;
        Some(Duration::from_nanos(waited))
    }
}
