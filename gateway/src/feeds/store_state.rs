//! The availability of the store, as hosts report it to their followers.
//!
//! Each answer to a follower contains whether the store is available, and the time since
//! it last was not. So a host also detects an outage of the store that affects only its
//! upstream host, from which it receives no changes then.

use std::cell::Cell;
use std::time::Duration;

use rosebend_protocol::follow::FollowAnswer;

/// Minimum interval between probes of an unavailable store by a host that has an upstream
/// host. The upstream host reports when the store is available again.
const FOLLOWER_PROBE_INTERVAL: Duration = Duration::from_secs(2);

/// The upstream host's last report on the store, and this host's own report to its
/// followers.
#[derive(Debug, Default)]
pub(super) struct StoreState {
    upstream_unavailable: Cell<bool>,
    last_unavailable_at: Cell<Option<Duration>>,
    reported_unavailable: Cell<bool>,
    probed_at: Cell<Duration>,
}

impl StoreState {
    /// Records the upstream host's report, which was sent at `at`. Returns true if it
    /// reports the store as unavailable and the previous report did not.
    pub(super) fn record(&self, answer: &FollowAnswer, at: Duration) -> bool {
        let unavailable_ago = answer.store_unavailable_ago;
        let unavailable_at = unavailable_ago.map(|ago| at.saturating_sub(ago));
        self.last_unavailable_at
            .set(self.last_unavailable_at.get().max(unavailable_at));
        let was_unavailable = self
            .upstream_unavailable
            .replace(answer.is_store_unavailable);
        answer.is_store_unavailable && !was_unavailable
    }

    /// Clears the upstream host's report that the store is unavailable.
    pub(super) fn clear_upstream_report(&self) {
        self.upstream_unavailable.set(false);
    }

    /// Returns whether the upstream host reports the store as unavailable.
    pub(super) fn is_unavailable_upstream(&self) -> bool {
        self.upstream_unavailable.get()
    }

    /// Returns the time since the store was last unavailable according to the upstream
    /// hosts, or `None` if they never reported this.
    pub(super) fn time_since_unavailable(&self, now: Duration) -> Option<Duration> {
        let at = self.last_unavailable_at.get();
        at.map(|at| now.saturating_sub(at))
    }

    /// Sets the availability that is reported to followers. Returns whether it has changed.
    pub(super) fn set_reported(&self, is_unavailable: bool) -> bool {
        self.reported_unavailable.replace(is_unavailable) != is_unavailable
    }

    /// Returns whether to probe the store now, and records the probe. Hosts with an upstream
    /// host probe only every [`FOLLOWER_PROBE_INTERVAL`], since probes of all hosts would
    /// load the store at the moment at which it recovers.
    pub(super) fn should_probe(&self, is_follower: bool, now: Duration) -> bool {
        let is_due = now.saturating_sub(self.probed_at.get()) >= FOLLOWER_PROBE_INTERVAL;
        if is_follower && self.upstream_unavailable.get() && !is_due {
            return false;
        }
        self.probed_at.set(now);
        true
    }
}
