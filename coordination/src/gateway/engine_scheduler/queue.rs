//! The turns that wait for a slot, and their order.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::ops::Bound;
use std::time::Duration;

use rosebend_state::deployment::InstanceId;

use super::message::PlacementRequest;
use crate::gateway::admission::Urgency;
use crate::gateway::ledger::ProcessId;

/// Part of a program's remaining time that one of its turns may wait. Programs have 3 to
/// 11 turns.
const REMAINING_DIVISOR: u32 = 8;
/// Maximum allowance. A turn of a program with much time left waits at most this much longer
/// than one that arrives at the same time. Programs of 9 to 11 turns, whose targets leave
/// about 1.4 s, were late when each turn waited 400 ms behind turns of short programs.
const MAX_ALLOWANCE: Duration = Duration::from_millis(150);
/// Allowance of a turn whose program is past its deadline. It comes after the turns of
/// programs that can still end in time, and is still served.
const LATE_ALLOWANCE: Duration = Duration::from_secs(1);
/// Time after which a turn leaves the queue if its request was not repeated. A host repeats
/// it every 100 ms.
const REPEAT_TIMEOUT: Duration = Duration::from_millis(500);

/// Position of a turn in the queue.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct QueueKey {
    /// Time by which the turn should have a slot.
    scheduling_deadline: Duration,
    /// Number of the turn in the order of arrival.
    arrival: u64,
}

/// A turn that waits for a slot.
#[derive(Debug)]
pub(super) struct WaitingTurn {
    pub(super) process: ProcessId,
    pub(super) request: PlacementRequest,
    /// Deadline of the caller.
    pub(super) deadline: Duration,
    pub(super) repeated_at: Duration,
    /// Wait that was expected when the turn was queued, in milliseconds.
    pub(super) expected_wait_ms: u64,
}

impl WaitingTurn {
    /// Returns whether the turn cannot get its first event before its deadline.
    pub(super) fn is_too_late(&self, first_event_ms: f64, now: Duration) -> bool {
        self.too_late_at(first_event_ms) <= now
    }

    fn too_late_at(&self, first_event_ms: f64) -> Duration {
        let first_event = Duration::from_secs_f64(first_event_ms / 1_000.0);
        self.deadline.saturating_sub(first_event)
    }

    fn next_check(&self, first_event_ms: f64) -> Duration {
        let too_late_at = self.too_late_at(first_event_ms);
        too_late_at.min(self.repeated_at + REPEAT_TIMEOUT)
    }
}

/// The waiting turns of a group.
#[derive(Debug, Default)]
pub(super) struct TurnQueue {
    waiting: BTreeMap<QueueKey, WaitingTurn>,
    arrivals: u64,
    /// Positions of the waiting turns by the engines that they exclude.
    by_exclusions: HashMap<Vec<InstanceId>, BTreeSet<QueueKey>>,
    /// Time before which no turn expires, or none if no turn waits. It keeps the cost of
    /// an advance independent of the length of the queue.
    next_check: Option<Duration>,
}

impl TurnQueue {
    /// Returns the number of waiting turns.
    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the position that a turn gets if it is queued now.
    pub(super) fn key(&self, allowance: Duration, now: Duration) -> QueueKey {
        QueueKey {
            scheduling_deadline: now + allowance,
            arrival: self.arrivals,
        }
    }

    /// Returns the number of turns before a position.
    pub(super) fn ahead(&self, key: &QueueKey) -> usize {
        self.waiting.range(..key).count()
    }

    /// Adds a turn.
    pub(super) fn insert(&mut self, key: QueueKey, turn: WaitingTurn, first_event_ms: f64) {
        self.arrivals += 1;
        let check = turn.next_check(first_event_ms);
        self.next_check = Some(self.next_check.map_or(check, |next| next.min(check)));
        let excluded = turn.request.excluded.clone();
        self.by_exclusions.entry(excluded).or_default().insert(key);
        self.waiting.insert(key, turn);
    }

    /// Returns a waiting turn.
    pub(super) fn get(&self, key: &QueueKey) -> Option<&WaitingTurn> {
        self.waiting.get(key)
    }

    /// Returns a waiting turn.
    pub(super) fn get_mut(&mut self, key: &QueueKey) -> Option<&mut WaitingTurn> {
        self.waiting.get_mut(key)
    }

    /// Removes a turn.
    pub(super) fn remove(&mut self, key: &QueueKey) -> Option<WaitingTurn> {
        let turn = self.waiting.remove(key)?;
        let excluded = &turn.request.excluded;
        if let Some(keys) = self.by_exclusions.get_mut(excluded) {
            keys.remove(key);
            if keys.is_empty() {
                self.by_exclusions.remove(excluded);
            }
        }
        Some(turn)
    }

    /// Returns the first position of the turns with each list of excluded engines.
    pub(super) fn first_by_exclusions(&self) -> BTreeSet<QueueKey> {
        let lists = self.by_exclusions.values();
        lists.filter_map(|keys| keys.first().copied()).collect()
    }

    /// Returns the next position of a turn that excludes the same engines as another one.
    pub(super) fn next_with_same_exclusions(&self, after: &QueueKey) -> Option<QueueKey> {
        let excluded = &self.waiting.get(after)?.request.excluded;
        let keys = self.by_exclusions.get(excluded)?;
        let mut following = keys.range((Bound::Excluded(*after), Bound::Unbounded));
        following.next().copied()
    }

    /// Returns the turns that cannot end in time any more and those whose request was not
    /// repeated.
    pub(super) fn expired(&mut self, first_event_ms: f64, now: Duration) -> Vec<QueueKey> {
        if self.next_check.is_none_or(|next| now < next) {
            return Vec::new();
        }
        let mut expired = Vec::new();
        let mut next_check = None;
        for (key, turn) in &self.waiting {
            let check = turn.next_check(first_event_ms);
            if check <= now {
                expired.push(*key);
            } else {
                next_check = Some(next_check.map_or(check, |next: Duration| next.min(check)));
            }
        }
        self.next_check = next_check;
        expired
    }
}

/// Returns the time that a turn may wait before it takes precedence over turns that arrive
/// now.
pub(super) fn allowance(
    priority: Urgency,
    objective_ms: u64,
    program_remaining_ms: Option<u64>,
) -> Duration {
    let remaining = program_remaining_ms.map(Duration::from_millis);
    let allowance = match remaining {
        Some(Duration::ZERO) => return LATE_ALLOWANCE,
        Some(remaining) => (remaining / REMAINING_DIVISOR).min(MAX_ALLOWANCE),
        None => Duration::from_millis(objective_ms).min(MAX_ALLOWANCE),
    };
    match priority {
        Urgency::Route | Urgency::Both => allowance / 2,
        Urgency::Normal | Urgency::Customer => allowance,
    }
}
