//! Room for answers: what is dropped once durable, and what is released
//! under pressure.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use rosebend_state::id::CallId;

use super::super::fence::Fence;
use super::{Calls, intake::untold, record::CallState};

impl Calls {
    pub(super) fn has_room_for(&self, answer_bytes: u64) -> bool {
        let used = self.retained_bytes + self.expected_bytes;
        used + answer_bytes <= self.limits.retention_bytes
    }

    /// Releases the oldest answers of repeatable calls until a new answer has
    /// room. An answer of a call that may not be repeated is never released.
    pub(super) fn release_for(&mut self, now: Duration, answer_bytes: u64) {
        let mut kept = VecDeque::new();
        while !self.has_room_for(answer_bytes) {
            let Some(id) = self.ended.pop_front() else {
                break;
            };
            if !self.release(now, &id) {
                kept.push_front(id);
            }
        }
        for id in kept {
            self.ended.push_front(id);
        }
    }

    /// Releases one answer; false when it must stay.
    pub(super) fn release(&mut self, now: Duration, id: &CallId) -> bool {
        let Some(record) = self.records.get_mut(id) else {
            return true;
        };
        let CallState::Finished { bytes, .. } = record.state else {
            return true;
        };
        if !record.repeatable {
            return false;
        }
        self.retained_bytes -= bytes;
        self.retained -= 1;
        self.fail(now, id, untold("the answer was released to make room"));
        self.released.push(id.clone());
        true
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
