//! When an idle model is worth keeping loaded, and when it is worth loading ahead of time.
//!
//! For each bucket of idle time the plan weighs what it costs to hold the accelerators
//! against what a cold start in that bucket would cost the waiting caller, each by its
//! probability; a load ahead of time has a price of its own, which keeps the plan from
//! flapping. The cheapest plan over all buckets is found backwards in one pass.

use base::prelude::*;

use crate::{
    idle_gaps::{GAP_BUCKETS, GapHistogram, bucket_of, bucket_start},
    orders::KeepWorth,
};

/// A model is kept this long after its last request, whatever the plan says, so that one with
/// short loads is not unloaded between two requests.
const MIN_KEEP: Duration = Duration::from_secs(10);

/// Resolution of [`KeepWorth`]: worth of one accelerator second each second.
const WORTH_UNIT: f64 = 1_000_000.0;

/// What waiting and idling cost.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WarmPrices {
    /// Idle accelerator seconds that one second of a caller's waiting is worth.
    pub wait: f64,
    /// How much worse a long wait is than several short ones: the exponent of its length.
    pub length_exponent: f64,
}

impl Default for WarmPrices {
    fn default() -> Self {
        Self { wait: 0.2, length_exponent: 4.0 }
    }
}

/// What is known of a model's loads.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadCost {
    /// Time that a cold start takes.
    pub load_time: Duration,
    /// Accelerators that the model holds while it is loaded; may be a fraction.
    pub accelerators: f64,
}

/// For each bucket of idle time, whether the model is loaded in it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WarmPlan {
    warm: u128,
}

impl WarmPlan {
    /// Whether the model is to be loaded in this bucket.
    pub fn is_warm(self, bucket: usize) -> bool {
        self.warm >> bucket & 1 == 1
    }

    /// The cheapest plan for these chances of the idle time's end, starting loaded.
    pub fn cheapest(chances: &[f64; GAP_BUCKETS], prices: WarmPrices, cost: LoadCost) -> Self {
        let load_time = cost.load_time.as_secs_f64();
        let cold_start = prices.wait * load_time.powf(prices.length_exponent);
        let load = cost.accelerators * load_time;
        let mut choice = PlanChoice::default();
        let mut survival = 0.0;
        for bucket in (0..GAP_BUCKETS).rev() {
            let chance = chances[bucket];
            let idle = bucket_width(bucket) * (survival + chance / 2.0) * cost.accelerators;
            choice = choice.before(bucket, idle, cold_start * chance, load * survival);
            survival += chance;
        }
        Self { warm: choice.from_warm }
    }
}

/// Length of a bucket, in seconds.
fn bucket_width(bucket: usize) -> f64 {
    bucket_start(bucket + 1) - bucket_start(bucket)
}

/// Costs and plans from a bucket on, by whether the model is loaded in that bucket.
#[derive(Debug, Clone, Copy, Default)]
struct PlanChoice {
    warm_cost: f64,
    warm_plan: u128,
    cold_cost: f64,
    cold_plan: u128,
    from_warm: u128,
}

impl PlanChoice {
    /// The choice one bucket earlier.
    fn before(self, bucket: usize, idle: f64, cold_start: f64, load: f64) -> Self {
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

/// What to do with an idle model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WarmRequest {
    /// Keep or load it.
    Loaded,
    /// Unload it.
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
    idle_since: Instant,
}

impl KeepWarm {
    /// A policy for a model that has been idle since `now`.
    pub fn new(prices: WarmPrices, cost: LoadCost, now: Instant) -> Self {
        Self {
            prices,
            cost,
            gaps: GapHistogram::default(),
            plan: WarmPlan::default(),
            is_busy: false,
            has_served: false,
            idle_since: now,
        }
    }

    /// Whether requests wait or run now; the end of a gap is also added to `prior`.
    ///
    /// When the model falls idle a new plan is made.
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
            let chances = self.gaps.bucket_probabilities(prior);
            self.plan = WarmPlan::cheapest(&chances, self.prices, self.cost);
        }
    }

    /// A load took this long; later plans count with it.
    pub fn record_load_time(&mut self, time: Duration) {
        self.cost.load_time = (self.cost.load_time * 3 + time) / 4;
    }

    /// What to do now; a load ahead of time begins early enough to be done in time.
    pub fn warm_request(&self, now: Instant) -> WarmRequest {
        let idle = now.saturating_duration_since(self.idle_since);
        if !self.is_busy && self.has_served && idle < MIN_KEEP {
            return WarmRequest::Loaded;
        }
        let soon = bucket_of(idle + self.cost.load_time);
        let is_wanted = (bucket_of(idle)..=soon).any(|bucket| self.plan.is_warm(bucket));
        match self.is_busy || is_wanted {
            true => WarmRequest::Loaded,
            false => WarmRequest::Unloaded,
        }
    }

    /// When the wish changes next if no request arrives; `None` if it stays.
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

    /// Expected saving of having it loaded now: the order in which idle models are evicted.
    pub fn worth(&self, prior: &GapHistogram, now: Instant) -> KeepWorth {
        if self.is_busy {
            return KeepWorth(u64::MAX);
        }
        let bucket = bucket_of(now.saturating_duration_since(self.idle_since));
        let chances = self.gaps.bucket_probabilities(prior);
        let survival: f64 = chances[bucket..].iter().sum();
        let load_time = self.cost.load_time.as_secs_f64();
        let cold_start = self.prices.wait * load_time.powf(self.prices.length_exponent);
        let rate = chances[bucket] / survival.max(f64::MIN_POSITIVE) / bucket_width(bucket);
        let worth = cold_start * rate / self.cost.accelerators.max(f64::MIN_POSITIVE);
        KeepWorth((worth * WORTH_UNIT) as u64)
    }
}

/// Added to a bucket's edge so that rounding never puts it into the bucket before.
const ROUNDING_MARGIN: Duration = Duration::from_millis(1);
