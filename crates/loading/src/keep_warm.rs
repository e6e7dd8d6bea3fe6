//! Keep-warm policy: when an idle model stays loaded, and when it is loaded ahead of time.
//!
//! For each bucket of idle time, the plan compares the expected cost of holding the accelerators
//! with the expected cost of a cold start for the waiting caller. A load ahead of time has a cost
//! of its own, which keeps the plan from flapping. Dynamic programming from the last bucket to the
//! first finds the cheapest plan.

use base::prelude::*;

use crate::{
    idle_gaps::{GAP_BUCKETS, GapHistogram, bucket_of, bucket_start},
    orders::KeepWorth,
};

/// Shortest time that a model stays loaded after its last request, whatever the plan says;
/// otherwise a model with short load times is unloaded between two requests.
const MIN_KEEP: Duration = Duration::from_secs(10);

/// Units of [`KeepWorth`] for a saving of one accelerator second per second.
const WORTH_UNIT: f64 = 1_000_000.0;

/// Cost of a caller's waiting time, relative to idle accelerators.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WarmPrices {
    /// Cost of one second of a caller's waiting time, in idle accelerator seconds.
    pub wait: f64,
    /// Exponent of the waiting time in seconds; above 1, one long wait costs more than several
    /// short ones of the same sum.
    pub length_exponent: f64,
}

impl Default for WarmPrices {
    fn default() -> Self {
        Self { wait: 0.2, length_exponent: 4.0 }
    }
}

/// Load time of one model, and the accelerators that it occupies.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadCost {
    /// Duration of a cold start.
    pub load_time: Duration,
    /// Number of accelerators that the loaded model occupies; may be a fraction.
    pub accelerators: f64,
}

/// Bit set of the buckets of idle time in which the model is loaded.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WarmPlan {
    warm_buckets: u128,
}

impl WarmPlan {
    /// Whether the plan has the model loaded in this bucket.
    pub fn is_warm(self, bucket: usize) -> bool {
        self.warm_buckets >> bucket & 1 == 1
    }

    /// The cheapest plan for a model that is loaded at the start of its idle time.
    ///
    /// `probabilities` holds, for each bucket, the probability that the idle time ends in it.
    pub fn cheapest(
        probabilities: &[f64; GAP_BUCKETS],
        prices: WarmPrices,
        cost: LoadCost,
    ) -> Self {
        let load_time = cost.load_time.as_secs_f64();
        let cold_start = prices.wait * load_time.powf(prices.length_exponent);
        let load = cost.accelerators * load_time;
        let mut choice = PlanChoice::default();
        let mut survival = 0.0;
        for bucket in (0..GAP_BUCKETS).rev() {
            let probability = probabilities[bucket];
            let idle = bucket_width(bucket) * (survival + probability / 2.0) * cost.accelerators;
            choice = choice.prepend(bucket, idle, cold_start * probability, load * survival);
            survival += probability;
        }
        Self { warm_buckets: choice.from_warm }
    }
}

/// Width of a bucket, in seconds.
fn bucket_width(bucket: usize) -> f64 {
    bucket_start(bucket + 1) - bucket_start(bucket)
}

/// Lowest costs and their plans from one bucket to the last, for the model loaded (warm) or not
/// loaded (cold) in that bucket.
#[derive(Debug, Clone, Copy, Default)]
struct PlanChoice {
    warm_cost: f64,
    warm_plan: u128,
    cold_cost: f64,
    cold_plan: u128,
    /// Cheapest plan if the model is loaded when the first bucket starts; it may unload it at once.
    from_warm: u128,
}

impl PlanChoice {
    /// Extends the plans by the preceding bucket, given its expected costs.
    fn prepend(self, bucket: usize, idle: f64, cold_start: f64, load: f64) -> Self {
        let (after_warm, after_warm_plan) = match self.warm_cost < self.cold_cost {
            true => (self.warm_cost, self.warm_plan),
            false => (self.cold_cost, self.cold_plan),
        };
        let (after_cold, after_cold_plan) = match self.warm_cost + load < self.cold_cost {
            true => (self.warm_cost + load, self.warm_plan),
            false => (self.cold_cost, self.cold_plan),
        };
        let warm_cost = idle + after_warm;
        let warm_plan = after_warm_plan | 1 << bucket;
        let cold_cost = cold_start + after_cold;
        let from_warm = if warm_cost < cold_cost { warm_plan } else { after_cold_plan };
        Self { warm_cost, warm_plan, cold_cost, cold_plan: after_cold_plan, from_warm }
    }
}

/// State that the keep-warm policy requests for a model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WarmRequest {
    /// Keep the model loaded, or load it ahead of time.
    Loaded,
    /// Unload the model.
    Unloaded,
}

/// The keep-warm policy of one model.
#[derive(Debug, Clone)]
pub struct KeepWarm {
    prices: WarmPrices,
    cost: LoadCost,
    gaps: GapHistogram,
    plan: WarmPlan,
    is_busy: bool,
    has_served: bool,
    began: Instant,
    idle_since: Instant,
}

impl KeepWarm {
    /// Creates the policy of a model that has been idle since `now`.
    pub fn new(prices: WarmPrices, cost: LoadCost, now: Instant) -> Self {
        Self {
            prices,
            cost,
            gaps: GapHistogram::default(),
            plan: WarmPlan::default(),
            is_busy: false,
            has_served: false,
            began: now,
            idle_since: now,
        }
    }

    /// Records whether requests wait or run at `now`.
    ///
    /// When the model becomes busy, its idle gap is added to its own histogram and to `prior`, the
    /// histogram that the caller shares among models. When it becomes idle, a new plan is computed.
    pub fn observe(&mut self, is_busy: bool, prior: &mut GapHistogram, now: Instant) {
        if is_busy == self.is_busy {
            return;
        }
        self.is_busy = is_busy;
        self.has_served = true;
        if is_busy {
            let gap = now.saturating_duration_since(self.idle_since);
            self.gaps.add(gap);
            prior.add(gap);
        } else {
            self.idle_since = now;
            let probabilities = self.gaps.bucket_probabilities(prior);
            self.plan = WarmPlan::cheapest(&probabilities, self.prices, self.cost);
        }
    }

    /// Updates the moving average of the load time, in which `time` has a weight of 1/4; later
    /// plans use it.
    pub fn record_load_time(&mut self, time: Duration) {
        self.cost.load_time = (self.cost.load_time * 3 + time) / 4;
    }

    /// The requested state at `now`; a load ahead of time is requested one load time early, so that
    /// it is done when the plan needs the model.
    pub fn warm_request(&self, now: Instant) -> WarmRequest {
        let idle = now.saturating_duration_since(self.idle_since);
        if !self.is_busy && self.has_served && idle < MIN_KEEP {
            return WarmRequest::Loaded;
        }
        let load_end = bucket_of(idle + self.cost.load_time);
        let is_planned = (bucket_of(idle)..=load_end).any(|bucket| self.plan.is_warm(bucket));
        match self.is_busy || is_planned {
            true => WarmRequest::Loaded,
            false => WarmRequest::Unloaded,
        }
    }

    /// Whether replicas without demand may be unloaded at `now`. A policy that has just begun does not
    /// know the demand for replicas that were loaded before.
    pub fn may_unload(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.began) >= MIN_KEEP
    }

    /// When the requested state changes next if no request arrives; `None` if it stays the same.
    pub fn next_change(&self, now: Instant) -> Option<Instant> {
        let current = self.warm_request(now);
        let idle = now.saturating_duration_since(self.idle_since);
        let edges = (bucket_of(idle) + 1..GAP_BUCKETS).flat_map(|bucket| {
            let start = Duration::from_secs_f64(bucket_start(bucket));
            [Some(start), start.checked_sub(self.cost.load_time)]
        });
        let edges = edges.chain([[Some(MIN_KEEP), None]].into_iter().flatten());
        let mut times: Vec<Instant> = edges
            .flatten()
            .map(|edge| self.idle_since + edge + ROUNDING_MARGIN)
            .filter(|at| *at > now)
            .collect();
        times.sort();
        times.into_iter().find(|at| self.warm_request(*at) != current)
    }

    /// Expected saving of keeping the model loaded at `now`, per accelerator. Idle models of the
    /// lowest worth are evicted first; a busy model has the highest.
    pub fn worth(&self, prior: &GapHistogram, now: Instant) -> KeepWorth {
        if self.is_busy {
            return KeepWorth(u64::MAX);
        }
        let bucket = bucket_of(now.saturating_duration_since(self.idle_since));
        let probabilities = self.gaps.bucket_probabilities(prior);
        let survival: f64 = probabilities[bucket..].iter().sum();
        let load_time = self.cost.load_time.as_secs_f64();
        let cold_start = self.prices.wait * load_time.powf(self.prices.length_exponent);
        let rate = probabilities[bucket] / survival.max(f64::MIN_POSITIVE) / bucket_width(bucket);
        let worth = cold_start * rate / self.cost.accelerators.max(f64::MIN_POSITIVE);
        KeepWorth((worth * WORTH_UNIT) as u64)
    }
}

/// Added to a bucket's start so that rounding never puts it into the preceding bucket.
const ROUNDING_MARGIN: Duration = Duration::from_millis(1);
