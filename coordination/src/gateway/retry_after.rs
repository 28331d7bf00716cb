//! Computes when a refused caller may retry.

use std::time::Duration;

/// Minimum retry time while the store is unavailable. The retry goes to another
/// host, which may reach the store.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);
/// Maximum retry time while the store is unavailable. Callers wait for at most a
/// third of their own deadline.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Returns the time after which to retry when the store has been unavailable for
/// `outage`.
///
/// An outage is expected to last about as long again as it has lasted. A caller with
/// few retries covers more of the outage with longer pauses between them.
pub fn after_outage(outage: Duration) -> Duration {
    outage.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
}
