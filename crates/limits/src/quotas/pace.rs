//! How often the entries may ask for tokens of one workspace.

use base::prelude::*;

/// Queries a second for one workspace from which on entries that get no tokens wait with the next
/// one. With answers of 100 bytes they are 20 KB/s, what a node may spend on control.
const MAX_QUERY_RATE: f64 = 200.0;
/// Span over which queries are counted.
const SPAN: Duration = Duration::from_secs(1);
/// Longest wait with the next query.
const MAX_PAUSE: Duration = Duration::from_secs(10);
/// Multiples of it have fractions that are spread evenly.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_895;

/// Counts the queries for one workspace.
#[derive(Debug)]
pub(super) struct QueryPace {
    span_start: Instant,
    queries: u32,
    last_queries: u32,
    spread: f64,
}

impl QueryPace {
    pub fn new(now: Instant) -> Self {
        Self { span_start: now, queries: 0, last_queries: 0, spread: 0.0 }
    }

    /// Counts a query.
    pub fn record(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.span_start);
        if passed >= SPAN {
            self.last_queries = if passed < SPAN * 2 { self.queries } else { 0 };
            self.queries = 0;
            self.span_start = now;
        }
        self.queries += 1;
    }

    /// How long an entry that got no tokens waits with its next query, spread evenly.
    pub fn pause(&mut self) -> Duration {
        let rate = f64::from(self.queries.max(self.last_queries)) / SPAN.as_secs_f64();
        if rate <= MAX_QUERY_RATE {
            return Duration::ZERO;
        }
        self.spread = (self.spread + GOLDEN_RATIO).fract();
        SPAN.mul_f64(rate / MAX_QUERY_RATE * (0.5 + self.spread)).min(MAX_PAUSE)
    }
}
