//! Room for answers: what is dropped once durable, and what is released
//! under pressure.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use rosebend_state::id::CallId;

use super::super::fence::Fence;
use super::{Calls, RETAINED, intake::untold, record::CallState};

/// Ended calls below which nothing is compacted.
const COMPACT_LEAST: usize = 64;

impl Calls {
    pub(super) fn has_room_for(&self, answer_bytes: u64) -> bool {
        let used = self.retained_bytes + self.expected_bytes;
        used + answer_bytes <= self.limits.retention_bytes
    }

    /// Releases the oldest answers of repeatable calls until a new answer has
    /// room. An answer of a call that may not be repeated is never released.
    pub(super) fn release_for(&mut self, now: Duration, answer_bytes: u64) {
        if self.expected_bytes + answer_bytes > self.limits.retention_bytes {
            return;
        }
        let mut kept = VecDeque::new();
        while !self.has_room_for(answer_bytes) {
            let Some((since, id)) = self.ended.pop_front() else {
                break;
            };
            if !self.release(now, &id) {
                kept.push_front((since, id));
            }
        }
        for entry in kept {
            self.ended.push_front(entry);
        }
    }

    /// Drops answers that no owner has acknowledged for very long.
    pub(super) fn release_old(&mut self, now: Duration) {
        while let Some((since, id)) = self.ended.front().cloned()
            && now.saturating_sub(since) >= RETAINED
        {
            self.ended.pop_front();
            if self.is_finished(&id) {
                self.drop_answer(now, &id, "no owner acknowledged the answer");
            }
        }
    }

    /// Forgets entries of answers that are gone, once they outnumber the rest.
    pub(super) fn compact_ended(&mut self) {
        let retained = usize::try_from(self.retained).unwrap_or(usize::MAX);
        if self.ended.len() / 2 > retained.max(COMPACT_LEAST) {
            let mut ended = std::mem::take(&mut self.ended);
            ended.retain(|(_, id)| self.is_finished(id));
            self.ended = ended;
        }
    }

    fn is_finished(&self, id: &CallId) -> bool {
        let record = self.records.get(id);
        record.is_some_and(|record| matches!(record.state, CallState::Finished { .. }))
    }

    fn drop_answer(&mut self, now: Duration, id: &CallId, detail: &str) {
        let record = self.records.get(id);
        if let Some(CallState::Finished { bytes, .. }) = record.map(|record| &record.state) {
            self.retained_bytes -= bytes;
            self.retained -= 1;
            self.fail(now, id, untold(detail));
            self.released.push(id.clone());
        }
    }

    /// Releases one answer; false when it must stay.
    fn release(&mut self, now: Duration, id: &CallId) -> bool {
        if !self.is_finished(id) {
            return true;
        }
        let record = self.records.get(id);
        let is_repeatable = record.is_some_and(|record| record.repeatable);
        if is_repeatable {
            self.drop_answer(now, id, "the answer was released to make room");
        }
        is_repeatable
    }

    pub(super) fn acknowledge_one(&mut self, now: Duration, fence: Fence, id: &CallId) -> bool {
        let Some(record) = self.records.get_mut(id) else {
            return false;
        };
        if record.fence.shard != fence.shard {
            return false;
        }
        match record.state {
            CallState::Finished { bytes, .. } => {
                self.retained_bytes -= bytes;
                self.retained -= 1;
            }
            CallState::Failed { .. } => {}
            _ => return false,
        }
        record.state = CallState::Acknowledged { since: now };
        record.record = Arc::from([]);
        self.remembered.push_back((now, id.clone()));
        true
    }
}
