//! Time since the process started.

use std::time::{Duration, Instant};

/// A time in whole milliseconds, for logs and metrics.
pub fn whole_ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// The process's clock. Decisions are given its time and read none themselves.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self {
            started: Instant::now(),
        }
    }

    /// Time since the start. A host that is suspended does not count it.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// The instant of a time since the start.
    pub fn instant(&self, at: Duration) -> tokio::time::Instant {
        tokio::time::Instant::from_std(self.started + at)
    }
}
