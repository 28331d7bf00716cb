//! A retry budget, which keeps retries from multiplying the load when endpoints
//! fail.

/// One retry, in hundredths of a retry.
const RETRY: u64 = 100;

/// A token bucket that limits retries to a share of the first dispatches.
#[derive(Debug)]
pub(super) struct RetryBudget {
    /// Amount added with each first dispatch, in hundredths of a retry.
    gain: u64,
    /// Upper bound of the budget, in hundredths of a retry.
    capacity: u64,
    /// Amount that can be taken, in hundredths of a retry; at most `capacity`.
    available: u64,
}

impl RetryBudget {
    /// Creates a full budget.
    pub(super) fn new(percent: u32, burst: u32) -> Self {
        let capacity = u64::from(burst) * RETRY;
        Self {
            gain: u64::from(percent),
            capacity,
            available: capacity,
        }
    }

    /// Adds the gain of a first dispatch.
    pub(super) fn first_dispatch(&mut self) {
        self.available = (self.available + self.gain).min(self.capacity);
    }

    /// Takes one retry if the budget allows it. Returns whether it was taken.
    pub(super) fn take(&mut self) -> bool {
        let left = self.available.checked_sub(RETRY);
        if let Some(left) = left {
            self.available = left;
        }
        left.is_some()
    }
}
