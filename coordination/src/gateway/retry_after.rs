//! When a caller that was refused may retry.

use std::time::Duration;

/// Shortest retry time while the store is unavailable: the retry goes to another
/// host, which may reach it.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);
/// Longest such time: callers wait for a third of the time that they have at most.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(1);

/// When to retry against a store that has been unavailable for `away`.
///
/// An outage that has lasted for a while may be expected to last as long again, and
/// a caller with few retries outlasts more of it the longer it waits between them.
pub fn after_outage(away: Duration) -> Duration {
    away.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
}
