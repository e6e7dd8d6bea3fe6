//! Decayed histogram of the times that a model stays idle between requests.

use base::prelude::*;

/// Number of buckets; each is a tenth wider than the one before.
pub const GAP_BUCKETS: usize = 128;

/// Upper edge of the first bucket, in seconds.
const FIRST_BUCKET_END_SECONDS: f64 = 1.0;

/// Width ratio of neighbouring buckets.
const BUCKET_RATIO: f64 = 1.1;

/// Weight that earlier gaps keep with every new one.
const GAP_DECAY: f64 = 0.97;

/// Share of a gap that goes to each neighbouring bucket.
const NEIGHBOUR_SHARE: f32 = 0.25;

/// Gaps' worth of weight that the prior has.
const PRIOR_WEIGHT: f64 = 2.0;

/// Histogram of idle gaps.
#[derive(Debug, Clone)]
pub struct GapHistogram {
    weights: [f32; GAP_BUCKETS],
    total: f32,
}

impl Default for GapHistogram {
    fn default() -> Self {
        Self { weights: [0.0; GAP_BUCKETS], total: 0.0 }
    }
}

/// Start of a bucket, in seconds.
pub fn bucket_start(bucket: usize) -> f64 {
    match bucket {
        0 => 0.0,
        _ => FIRST_BUCKET_END_SECONDS * BUCKET_RATIO.powi(bucket as i32 - 1),
    }
}

/// The bucket that holds a gap.
pub fn bucket_of(gap: Duration) -> usize {
    let seconds = gap.as_secs_f64();
    if seconds < FIRST_BUCKET_END_SECONDS {
        return 0;
    }
    let steps = (seconds / FIRST_BUCKET_END_SECONDS).log(BUCKET_RATIO).floor() as usize;
    (steps + 1).min(GAP_BUCKETS - 1)
}

impl GapHistogram {
    /// Adds one gap; earlier ones lose a little weight.
    pub fn add(&mut self, gap: Duration) {
        for weight in &mut self.weights {
            *weight *= GAP_DECAY as f32;
        }
        self.total = self.total * GAP_DECAY as f32 + 1.0;
        let bucket = bucket_of(gap);
        self.weights[bucket.saturating_sub(1)] += NEIGHBOUR_SHARE;
        self.weights[(bucket + 1).min(GAP_BUCKETS - 1)] += NEIGHBOUR_SHARE;
        self.weights[bucket] += 1.0 - 2.0 * NEIGHBOUR_SHARE;
    }

    /// Weight of all gaps.
    pub fn total_weight(&self) -> f64 {
        f64::from(self.total)
    }

    /// Probability of each bucket, mixed with what `prior` says while there are few gaps.
    ///
    /// Without any gap at all every bucket is equally likely.
    pub fn bucket_probabilities(&self, prior: &GapHistogram) -> [f64; GAP_BUCKETS] {
        let even = 1.0 / GAP_BUCKETS as f64;
        let sum = self.total_weight() + PRIOR_WEIGHT;
        let mut chances = [0.0; GAP_BUCKETS];
        for (bucket, chance) in chances.iter_mut().enumerate() {
            let general = match prior.total_weight() > 0.0 {
                true => f64::from(prior.weights[bucket]) / prior.total_weight(),
                false => even,
            };
            *chance = (f64::from(self.weights[bucket]) + PRIOR_WEIGHT * general) / sum;
        }
        chances
    }
}
