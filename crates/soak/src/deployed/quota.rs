//! Quotas of processor time, kept from outside: a process that has used its share of a tenth of a second
//! stands still for the rest of it.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, Weak},
    thread,
    time::Duration,
};

use base::{locks, prelude::Instant};
use nix::{
    sys::{
        signal::{Signal, kill},
        time::TimeValLike,
    },
    time::{ClockId, clock_getcpuclockid},
    unistd::Pid,
};

/// Period of a quota.
const PERIOD: Duration = Duration::from_millis(100);
/// Time between two looks at the processor time that processes have used.
const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// A process with a quota.
#[derive(Debug)]
struct QuotaEntry {
    clock: ClockId,
    /// Part of a core that it may use.
    share: f64,
    /// Processor time up to which it may run in this period.
    allowed: Duration,
    period_end: Instant,
    is_stopped: bool,
    frozen_until: Option<Instant>,
    /// Part of its share that it gets until a time.
    slowed: Option<(f64, Instant)>,
}

impl QuotaEntry {
    /// The signal that is due, given the processor time used so far.
    fn step(&mut self, used: Duration, now: Instant) -> Option<Signal> {
        if now >= self.period_end {
            let factor = match self.slowed {
                Some((factor, until)) if now < until => factor,
                _ => 1.0,
            };
            // What it used beyond its quota is taken off the next one.
            let granted = PERIOD.mul_f64(self.share * factor);
            self.allowed = self.allowed.min(used) + granted;
            self.period_end = now + PERIOD;
        }
        let is_frozen = self.frozen_until.is_some_and(|until| now < until);
        let must_stop = is_frozen || used >= self.allowed;
        let is_due = must_stop != self.is_stopped;
        self.is_stopped = must_stop;
        is_due.then_some(if must_stop { Signal::SIGSTOP } else { Signal::SIGCONT })
    }
}

type QuotaTable = BTreeMap<i32, QuotaEntry>;

/// Keeps the quotas of processes, by a thread that ends with the last clone.
#[derive(Debug, Clone)]
pub struct ProcessorQuotas {
    entries: Arc<Mutex<QuotaTable>>,
}

impl Default for ProcessorQuotas {
    fn default() -> Self {
        let entries = Arc::new(Mutex::new(QuotaTable::new()));
        let kept = Arc::downgrade(&entries);
        thread::spawn(move || keep(&kept));
        Self { entries }
    }
}

impl ProcessorQuotas {
    fn lock(&self) -> MutexGuard<'_, QuotaTable> {
        locks::lock(&self.entries)
    }

    /// Gives a process `share` of a core.
    pub fn add(&self, id: Pid, share: f64) {
        // It fails only if the process has ended.
        let Ok(clock) = clock_getcpuclockid(id) else { return };
        let entry = QuotaEntry {
            clock,
            share,
            allowed: Duration::ZERO,
            period_end: Instant::now(),
            is_stopped: false,
            frozen_until: None,
            slowed: None,
        };
        self.lock().insert(id.as_raw(), entry);
    }

    /// Calls `wait`, which reaps the process if it has ended; its id gets no more signals then.
    pub fn reap<T>(&self, id: Pid, wait: impl FnOnce() -> Option<T>) -> Option<T> {
        let mut entries = self.lock();
        let reaped = wait();
        if reaped.is_some() {
            entries.remove(&id.as_raw());
        }
        reaped
    }

    /// Lets a process stand still until then.
    pub fn freeze(&self, id: Pid, until: Instant) {
        if let Some(entry) = self.lock().get_mut(&id.as_raw()) {
            entry.frozen_until = Some(until);
        }
    }

    /// Gives a process only `factor` of its share until then.
    pub fn slow(&self, id: Pid, factor: f64, until: Instant) {
        if let Some(entry) = self.lock().get_mut(&id.as_raw()) {
            entry.slowed = Some((factor, until));
        }
    }
}

fn keep(entries: &Weak<Mutex<QuotaTable>>) {
    while let Some(entries) = entries.upgrade() {
        let now = Instant::now();
        for (id, entry) in locks::lock(&entries).iter_mut() {
            // A process that has ended is not reaped yet.
            let Ok(used) = entry.clock.now() else { continue };
            let used = Duration::from_micros(used.num_microseconds().unsigned_abs());
            if let Some(signal) = entry.step(used, now) {
                let _ = kill(Pid::from_raw(*id), signal);
            }
        }
        drop(entries);
        thread::sleep(POLL_INTERVAL);
    }
}
