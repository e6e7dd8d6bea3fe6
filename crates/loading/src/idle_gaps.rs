//! Decayed histogram of idle gaps: the times between two busy periods of a model.

use base::prelude::*;

/// Number of buckets. Each ends 1.1 times as late as the one before; the last one is open-ended.
pub const GAP_BUCKETS: usize = 128;

const FIRST_BUCKET_END_SECONDS: f64 = 1.0;

/// Ratio of the ends of two neighbouring buckets.
const BUCKET_RATIO: f64 = 1.1;

/// Factor applied to the weight of earlier gaps when a gap is added.
const GAP_DECAY: f64 = 0.97;

/// Share of a gap's weight that goes to each neighbouring bucket, to smooth the histogram.
const NEIGHBOUR_SHARE: f32 = 0.25;

/// Weight of the prior distribution, in gaps.
const PRIOR_WEIGHT: f64 = 2.0;

/// Histogram of idle gaps in which recent gaps weigh more than earlier ones.
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

/// Index of the bucket that a gap falls into.
pub fn bucket_of(gap: Duration) -> usize {
    let seconds = gap.as_secs_f64();
    if seconds < FIRST_BUCKET_END_SECONDS {
        return 0;
    }
    let steps = (seconds / FIRST_BUCKET_END_SECONDS).log(BUCKET_RATIO).floor() as usize;
    (steps + 1).min(GAP_BUCKETS - 1)
}

impl GapHistogram {
    /// Adds one gap and reduces the weight of earlier ones by 3 %.
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

    /// Sum of the decayed weights of all gaps; the latest gap has weight 1.
    pub fn total_weight(&self) -> f64 {
        f64::from(self.total)
    }

    /// Probability of each bucket, smoothed with the distribution of `prior`, which counts as two
    /// gaps.
    ///
    /// An empty `prior` stands for a uniform distribution.
    pub fn bucket_probabilities(&self, prior: &GapHistogram) -> [f64; GAP_BUCKETS] {
        let uniform = 1.0 / GAP_BUCKETS as f64;
        let sum = self.total_weight() + PRIOR_WEIGHT;
        let mut probabilities = [0.0; GAP_BUCKETS];
        for (bucket, probability) in probabilities.iter_mut().enumerate() {
            let prior_probability = match prior.total_weight() > 0.0 {
                true => f64::from(prior.weights[bucket]) / prior.total_weight(),
                false => uniform,
            };
            *probability =
                (f64::from(self.weights[bucket]) + PRIOR_WEIGHT * prior_probability) / sum;
        }
        probabilities
    }
}
