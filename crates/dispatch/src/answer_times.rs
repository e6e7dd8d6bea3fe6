//! Times to the complete answers of one service and route, over a sliding window.

use base::prelude::*;
use hdrhistogram::Histogram;

/// Half of the sliding window: times are kept for one to two of these spans.
const HALF_WINDOW: Duration = Duration::from_secs(15);
/// Least number of times from which a percentile is derived: the 95th percentile of fewer is their
/// maximum.
const MIN_TIMES: u64 = 20;
/// Number of new times after which the percentile is derived again.
const UPDATE_INTERVAL: u64 = 16;
/// Longest time that is distinguished, in units of [`UNITS_PER_SECOND`].
const MAX_UNITS: u64 = 600_000;
const UNITS_PER_SECOND: f64 = 10_000.0;

/// Histogram of about 1 KB with a precision of one significant digit, about 6%.
fn empty_histogram() -> Histogram<u32> {
    Histogram::new_with_bounds(1, MAX_UNITS, 1).expect("the bounds are constant and valid")
}

/// Windowed percentile of the times to complete answers, in constant memory.
#[derive(Debug)]
pub struct AnswerTimes {
    percentile: f64,
    current: Histogram<u32>,
    previous: Histogram<u32>,
    window_began: Instant,
    last_record: Instant,
    derived: Option<Duration>,
    new_times: u64,
}

impl AnswerTimes {
    /// No times yet; `percentile` lies between 0 and 1.
    pub fn new(percentile: f64, now: Instant) -> Self {
        Self {
            percentile,
            current: empty_histogram(),
            previous: empty_histogram(),
            window_began: now,
            last_record: now,
            derived: None,
            new_times: 0,
        }
    }

    /// Records the time to one answer.
    pub fn record(&mut self, took: Duration, now: Instant) {
        self.rotate(now);
        self.last_record = now;
        let units = (took.as_secs_f64() * UNITS_PER_SECOND) as u64;
        self.current.saturating_record(units.clamp(1, MAX_UNITS));
        self.new_times += 1;
        let is_first = self.derived.is_none();
        if self.new_times >= UPDATE_INTERVAL || (is_first && self.count() >= MIN_TIMES) {
            self.derive();
        }
    }

    /// The percentile; none before enough times were recorded within the window.
    pub fn percentile(&mut self, now: Instant) -> Option<Duration> {
        self.rotate(now);
        self.derived
    }

    /// When the last time was recorded.
    pub fn last_record(&self) -> Instant {
        self.last_record
    }

    fn count(&self) -> u64 {
        self.current.len() + self.previous.len()
    }

    fn rotate(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.window_began);
        if age < HALF_WINDOW {
            return;
        }
        std::mem::swap(&mut self.current, &mut self.previous);
        self.current.reset();
        if age >= HALF_WINDOW * 2 {
            self.previous.reset();
        }
        self.window_began = now;
        self.derive();
    }

    fn derive(&mut self) {
        self.new_times = 0;
        self.derived = (self.count() >= MIN_TIMES).then(|| {
            let mut both = self.previous.clone();
            both += &self.current;
            let units = both.value_at_quantile(self.percentile);
            Duration::from_secs_f64(units as f64 / UNITS_PER_SECOND)
        });
    }
}
