//! A budget of retries, so that failing endpoints don't multiply the load.

/// One retry, in hundredths.
const RETRY: u64 = 100;

/// Allows a share of the first dispatches to go again.
#[derive(Debug)]
pub(super) struct RetryBudget {
    /// Gained with each first dispatch, in hundredths of a retry.
    gain: u64,
    /// The most that is saved up, in hundredths of a retry.
    most: u64,
    /// Saved up, in hundredths of a retry; at most `most`.
    saved: u64,
}

impl RetryBudget {
    /// A budget that starts full.
    pub(super) fn new(percent: u32, burst: u32) -> Self {
        let most = u64::from(burst) * RETRY;
        Self {
            gain: u64::from(percent),
            most,
            saved: most,
        }
    }

    /// Counts a first dispatch.
    pub(super) fn first_dispatch(&mut self) {
        self.saved = (self.saved + self.gain).min(self.most);
    }

    /// Takes one retry, if one is left.
    pub(super) fn take(&mut self) -> bool {
        let left = self.saved.checked_sub(RETRY);
        if let Some(left) = left {
            self.saved = left;
        }
        left.is_some()
    }
}
