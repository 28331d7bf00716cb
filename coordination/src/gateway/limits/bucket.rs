//! Token buckets: what a limit allows now.

use std::time::Duration;

/// A bucket that fills at a rate up to a size. It may be overdrawn.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bucket {
    level: f64,
}

impl Bucket {
    /// A bucket with something in it.
    pub fn new(level: f64) -> Self {
        Self { level }
    }

    /// Fills the bucket for some time.
    pub fn fill(&mut self, rate_per_s: f64, size: f64, time: Duration) {
        // No debt lasts longer than it takes to fill the bucket once.
        self.level = (self.level + rate_per_s * time.as_secs_f64()).clamp(-size, size);
    }

    /// Takes out of it, also more than is in it.
    pub fn take(&mut self, amount: f64) {
        self.level -= amount;
    }

    /// What is in it; negative when it is overdrawn.
    pub fn level(&self) -> f64 {
        self.level
    }
}
