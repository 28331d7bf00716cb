//! Token buckets, which enforce a rate with bursts.

use std::time::Duration;

/// A token bucket whose level may be negative.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TokenBucket {
    level: f64,
}

impl TokenBucket {
    /// Creates a bucket that holds the given number of tokens.
    pub fn new(level: f64) -> Self {
        Self { level }
    }

    /// Adds the tokens of a period, up to the capacity.
    pub fn refill(&mut self, rate_per_s: f64, capacity: f64, period: Duration) {
        // The debt is limited to the capacity, so a refill from empty always pays it
        // off.
        self.level = (self.level + rate_per_s * period.as_secs_f64()).clamp(-capacity, capacity);
    }

    /// Removes tokens, even if the bucket holds fewer.
    pub fn consume(&mut self, amount: f64) {
        self.level -= amount;
    }

    /// Returns the tokens in the bucket, which are negative if it is overdrawn.
    pub fn level(&self) -> f64 {
        self.level
    }
}
