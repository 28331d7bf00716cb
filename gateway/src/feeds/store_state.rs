//! Whether the store is available, as hosts tell each other beside what changed.

use std::cell::Cell;
use std::time::Duration;

use rosebend_protocol::follow::FollowAnswer;

/// Pause between two tries of the store by a host whose store is unavailable and
/// that hears from another host when it is back.
const SLOW_PROBE: Duration = Duration::from_secs(2);

/// What this host heard of the store, and what it told its followers.
#[derive(Debug, Default)]
pub(super) struct StoreState {
    heard_unavailable: Cell<bool>,
    heard_away_at: Cell<Option<Duration>>,
    told_unavailable: Cell<bool>,
    probed_at: Cell<Duration>,
}

impl StoreState {
    /// Takes what the host above said at a time. Returns whether the store has become
    /// unavailable by that.
    pub(super) fn hear(&self, answer: &FollowAnswer, at: Duration) -> bool {
        let away_ago = answer.store_unavailable_ago;
        let away_at = away_ago.map(|ago| at.saturating_sub(ago));
        self.heard_away_at
            .set(self.heard_away_at.get().max(away_at));
        let was_unavailable = self.heard_unavailable.replace(answer.is_store_unavailable);
        answer.is_store_unavailable && !was_unavailable
    }

    /// Forgets what the host above said, since it is not followed any more.
    pub(super) fn forget_heard(&self) {
        self.heard_unavailable.set(false);
    }

    /// Whether the host above said that the store is unavailable.
    pub(super) fn is_heard_unavailable(&self) -> bool {
        self.heard_unavailable.get()
    }

    /// How long ago the store was last away by what was heard.
    pub(super) fn heard_away_ago(&self, now: Duration) -> Option<Duration> {
        let at = self.heard_away_at.get();
        at.map(|at| now.saturating_sub(at))
    }

    /// Takes what followers are told from now on. Returns whether it is another state.
    pub(super) fn tell(&self, is_unavailable: bool) -> bool {
        self.told_unavailable.replace(is_unavailable) != is_unavailable
    }

    /// Whether the store is to be tried now. Hosts that hear from others when it is
    /// back try rarely: all of them would be the first load that it meets.
    pub(super) fn should_probe(&self, is_follower: bool, now: Duration) -> bool {
        let is_due = now.saturating_sub(self.probed_at.get()) >= SLOW_PROBE;
        if is_follower && self.heard_unavailable.get() && !is_due {
            return false;
        }
        self.probed_at.set(now);
        true
    }
}
