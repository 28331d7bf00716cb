//! Availability of the store, as reported along the tree with each answer.

use std::cell::Cell;
use std::time::Duration;

use rosebend_protocol::follow::FollowAnswer;

/// Interval between probes of an unavailable store by a host with an upstream host,
/// which reports the store's return.
const SLOW_PROBE: Duration = Duration::from_secs(2);

/// The upstream host's last report on the store, and this host's own to its followers.
#[derive(Debug, Default)]
pub(super) struct StoreState {
    upstream_unavailable: Cell<bool>,
    upstream_away_at: Cell<Option<Duration>>,
    reported_unavailable: Cell<bool>,
    probed_at: Cell<Duration>,
}

impl StoreState {
    /// Records the upstream host's report of a time. Returns whether the store has
    /// become unavailable by it.
    pub(super) fn record(&self, answer: &FollowAnswer, at: Duration) -> bool {
        let away_ago = answer.store_unavailable_ago;
        let away_at = away_ago.map(|ago| at.saturating_sub(ago));
        self.upstream_away_at
            .set(self.upstream_away_at.get().max(away_at));
        let was_unavailable = self
            .upstream_unavailable
            .replace(answer.is_store_unavailable);
        answer.is_store_unavailable && !was_unavailable
    }

    /// Forgets the upstream host's report.
    pub(super) fn forget_upstream(&self) {
        self.upstream_unavailable.set(false);
    }

    /// Whether the store is unavailable by the upstream host's report.
    pub(super) fn is_unavailable_upstream(&self) -> bool {
        self.upstream_unavailable.get()
    }

    /// How long ago the store was last away by the upstream hosts' reports.
    pub(super) fn upstream_away_ago(&self, now: Duration) -> Option<Duration> {
        let at = self.upstream_away_at.get();
        at.map(|at| now.saturating_sub(at))
    }

    /// Sets what followers are sent. Returns whether it changed.
    pub(super) fn report(&self, is_unavailable: bool) -> bool {
        self.reported_unavailable.replace(is_unavailable) != is_unavailable
    }

    /// Whether to probe the store now. Hosts with an upstream host probe rarely: all
    /// of them would be the first load that the store meets.
    pub(super) fn should_probe(&self, is_follower: bool, now: Duration) -> bool {
        let is_due = now.saturating_sub(self.probed_at.get()) >= SLOW_PROBE;
        if is_follower && self.upstream_unavailable.get() && !is_due {
            return false;
        }
        self.probed_at.set(now);
        true
    }
}
