//! Rates that the platform keeps to.

use std::time::Instant;

/// Lets a number of requests a second through, with bursts of up to one
/// period's number.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    capacity: f64,
    per_second: f64,
    available: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    /// A full bucket of `capacity` that refills in `period_s` seconds.
    pub fn new(capacity: u32, period_s: f64, now: Instant) -> Self {
        let capacity = f64::from(capacity);
        Self {
            capacity,
            per_second: capacity / period_s,
            available: capacity,
            refilled_at: now,
        }
    }

    /// Takes one; false when none is left.
    pub fn take(&mut self, now: Instant) -> bool {
        let waited = now.saturating_duration_since(self.refilled_at);
        let refilled = self.available + waited.as_secs_f64() * self.per_second;
        self.available = refilled.min(self.capacity);
        self.refilled_at = now;
        if self.available < 1.0 {
            return false;
        }
        self.available -= 1.0;
        true
    }
}
