//! Rates that the store keeps to.

use std::time::Instant;

/// Lets a number of calls a second through, with bursts of up to one second's
/// number.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    per_second: f64,
    available: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    /// A full bucket that refills in a second.
    pub fn new(per_second: u32, now: Instant) -> Self {
        let per_second = f64::from(per_second);
        Self {
            per_second,
            available: per_second,
            refilled_at: now,
        }
    }

    /// Takes one; false when none is left.
    pub fn take(&mut self, now: Instant) -> bool {
        let waited = now.saturating_duration_since(self.refilled_at);
        let refilled = self.available + waited.as_secs_f64() * self.per_second;
        self.available = refilled.min(self.per_second);
        self.refilled_at = now;
        if self.available < 1.0 {
            return false;
        }
        self.available -= 1.0;
        true
    }
}
