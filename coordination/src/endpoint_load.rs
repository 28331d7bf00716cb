//! What an owner knows of one endpoint's load.
//!
//! A load report describes the past. The owner adds what it has itself sent
//! since then and takes off what has ended, from a short log of its own
//! changes; the calls of other owners are seen through reports only.

use std::collections::VecDeque;
use std::time::Duration;

use rosebend_state::id::{AvailabilityZone, EndpointId, Incarnation};

use crate::queue::LoadView;
use crate::routing::{EndpointInfo, EndpointState};

/// Most own changes remembered; a report older than the first of them is
/// corrected by those alone.
const MAX_CHANGES: usize = 256;

/// Speeds assumed before the first report.
const DEFAULT_LOAD: LoadView = LoadView {
    running: 0,
    queued: 0,
    kv_tokens_in_flight: 0,
    kv_tokens_limit: 0,
    queued_tokens: 0,
    token_us: 20_000,
    prefill_token_us: 100,
};

/// Work of calls that an owner has in flight at an endpoint.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct Outstanding {
    pub(crate) calls: u64,
    pub(crate) cold_tokens: u64,
}

/// A call that was sent or has ended after the newest report was made.
#[derive(Debug)]
struct Change {
    at: Duration,
    calls: i64,
    cold_tokens: i64,
}

/// An endpoint as its owner sees it.
#[derive(Debug)]
pub(crate) struct Endpoint {
    pub(crate) id: EndpointId,
    pub(crate) zone: AvailabilityZone,
    pub(crate) incarnation: Incarnation,
    pub(crate) state: EndpointState,
    pub(crate) refuses_until: Duration,
    down_at: Duration,
    /// Grows whenever the endpoint's cache was lost.
    pub(crate) cache_epoch: u64,
    targets: Vec<String>,
    reported: LoadView,
    reported_at: Duration,
    own: Outstanding,
    /// Own changes after `reported_at`, oldest first.
    changes: VecDeque<Change>,
    changed_calls: i64,
    changed_tokens: i64,
}

impl Endpoint {
    pub(crate) fn new(info: EndpointInfo) -> Self {
        Self {
            id: info.id,
            zone: info.zone,
            incarnation: info.incarnation,
            state: info.state,
            refuses_until: Duration::ZERO,
            down_at: Duration::ZERO,
            cache_epoch: 0,
            targets: info.targets,
            reported: DEFAULT_LOAD,
            reported_at: Duration::ZERO,
            own: Outstanding::default(),
            changes: VecDeque::new(),
            changed_calls: 0,
            changed_tokens: 0,
        }
    }

    /// Takes what a list says of the endpoint. Returns whether the endpoint
    /// has restarted.
    pub(crate) fn listed(&mut self, info: EndpointInfo) -> bool {
        self.zone = info.zone;
        self.targets = info.targets;
        let known = info.incarnation.is_empty() || info.incarnation == self.incarnation;
        if !known {
            self.restart(info.incarnation);
            self.state = info.state;
            return true;
        }
        let is_final = matches!(self.state, EndpointState::Leaving | EndpointState::Down);
        if !is_final {
            self.state = info.state;
        }
        false
    }

    /// The endpoint runs anew, with nothing in flight and a cold cache.
    pub(crate) fn restart(&mut self, incarnation: Incarnation) {
        self.incarnation = incarnation;
        self.state = EndpointState::Live;
        self.refuses_until = Duration::ZERO;
        self.reported = DEFAULT_LOAD;
    }

    pub(crate) fn serves(&self, target: &str) -> bool {
        self.targets.iter().any(|served| served == target)
    }

    pub(crate) fn own(&self) -> Outstanding {
        self.own
    }

    pub(crate) fn add(&mut self, now: Duration, outstanding: Outstanding) {
        self.own.calls += outstanding.calls;
        self.own.cold_tokens += outstanding.cold_tokens;
        self.change(now, outstanding, 1);
    }

    pub(crate) fn subtract(&mut self, now: Duration, outstanding: Outstanding) {
        self.own.calls -= outstanding.calls;
        self.own.cold_tokens -= outstanding.cold_tokens;
        self.change(now, outstanding, -1);
    }

    pub(crate) fn down(&mut self, now: Duration) {
        self.state = EndpointState::Down;
        self.down_at = now;
    }

    /// Takes a report of the endpoint as it was at `as_of`; one that is older
    /// than the last is dropped. One from after the endpoint went down shows
    /// that it is back.
    pub(crate) fn report(&mut self, as_of: Duration, load: LoadView) {
        if as_of < self.reported_at {
            return;
        }
        if self.state == EndpointState::Down && as_of > self.down_at {
            self.state = EndpointState::Live;
        }
        self.reported_at = as_of;
        self.reported = load;
        while self
            .changes
            .front()
            .is_some_and(|change| change.at <= as_of)
        {
            self.drop_oldest_change();
        }
    }

    /// Calls there now, as far as the owner can tell.
    pub(crate) fn estimated_calls(&self) -> u64 {
        (self.reported.running + self.reported.queued)
            .saturating_add_signed(self.changed_calls)
            .max(self.own.calls)
    }

    /// The load now, as far as the owner can tell.
    pub(crate) fn estimate(&self, corrects_reports: bool) -> LoadView {
        if !corrects_reports {
            return self.reported;
        }
        let mut load = self.reported;
        load.queued_tokens = load
            .queued_tokens
            .saturating_add_signed(self.changed_tokens);
        // New calls run beside the others unless some are waiting already.
        if load.queued > 0 {
            load.queued = self.estimated_calls().saturating_sub(load.running);
        } else {
            load.running = self.estimated_calls();
        }
        load
    }

    fn change(&mut self, at: Duration, outstanding: Outstanding, sign: i64) {
        if self.changes.len() == MAX_CHANGES {
            self.drop_oldest_change();
        }
        let change = Change {
            at,
            calls: sign * signed(outstanding.calls),
            // What ended had been computed long before, by and large, and
            // left the reported sum when its first token came.
            cold_tokens: if sign > 0 {
                signed(outstanding.cold_tokens)
            } else {
                0
            },
        };
        self.changed_calls += change.calls;
        self.changed_tokens += change.cold_tokens;
        self.changes.push_back(change);
    }

    fn drop_oldest_change(&mut self) {
        if let Some(change) = self.changes.pop_front() {
            self.changed_calls -= change.calls;
            self.changed_tokens -= change.cold_tokens;
        }
    }
}

fn signed(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}
