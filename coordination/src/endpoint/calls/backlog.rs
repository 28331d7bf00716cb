//! The way of a call through the queue.

use std::time::Duration;

use rosebend_state::id::CallId;

use super::super::{
    claim::ClaimOutcome,
    outcome::{Failure, Refusal, RefusalReason},
};
use super::{
    Calls, SERVICE_SMOOTHING,
    record::{CallState, Record},
    spec::{CallSpec, Start},
};

impl Calls {
    pub(super) fn enqueue(&mut self, now: Duration, spec: CallSpec) {
        let id = spec.id.clone();
        let earlier = match self.records.remove(&id).map(|record| record.state) {
            Some(CallState::Failed { failure, .. }) => Some(failure),
            _ => None,
        };
        self.queued_tokens += spec.kv_tokens;
        self.expected_bytes += spec.answer_bytes;
        let state = CallState::Queued { since: now };
        let record = Record {
            spec,
            state,
            earlier,
        };
        self.records.insert(id.clone(), record);
        self.queue.push_back(id);
    }

    pub(super) fn next_queued(&self) -> Option<CallId> {
        self.queue.front().cloned()
    }

    /// Why a waiting call is to be given up, if it is.
    pub(super) fn expired(&self, now: Duration, id: &CallId) -> Option<Refusal> {
        let record = self.records.get(id)?;
        let CallState::Queued { since } = record.state else {
            return None;
        };
        if !self.fences.is_current(record.spec.fence) {
            let mut refusal = Refusal::new(
                RefusalReason::StaleEpoch,
                Duration::ZERO,
                "the shard has a newer owner",
            );
            refusal.epoch = self.fences.highest(record.spec.fence.shard).unwrap_or(0);
            return Some(refusal);
        }
        let waited = now.saturating_sub(since);
        let is_late = record
            .spec
            .deadline
            .is_some_and(|deadline| waited >= deadline);
        is_late.then(|| {
            Refusal::new(
                RefusalReason::Deadline,
                self.retry_after(),
                "the deadline passed in the queue",
            )
        })
    }

    pub(super) fn fits(&self, id: &CallId) -> bool {
        let Some(record) = self.records.get(id) else {
            return false;
        };
        let is_alone = !record.spec.alone || self.running.is_empty();
        let tokens = self.kv_tokens_in_flight + record.spec.kv_tokens;
        is_alone
            && self.alone.is_none()
            && self.running.len() < self.limits.running
            && tokens <= self.limits.kv_tokens
    }

    pub(super) fn start(&mut self, now: Duration, id: &CallId) -> Start {
        self.queue.retain(|queued| queued != id);
        let record = self
            .records
            .get_mut(id)
            .expect("every queued call has a record");
        let queued = match record.state {
            CallState::Queued { since } => now.saturating_sub(since),
            _ => Duration::ZERO,
        };
        record.state = CallState::Running { since: now };
        self.queued_tokens -= record.spec.kv_tokens;
        self.kv_tokens_in_flight += record.spec.kv_tokens;
        if record.spec.alone {
            self.alone = Some(id.clone());
        }
        self.running.insert(id.clone());
        Start {
            id: id.clone(),
            attempt: record.spec.attempt,
            queued,
        }
    }

    /// Takes a call out of the queue for good, without running it.
    pub(super) fn unqueue(&mut self, now: Duration, id: &CallId) {
        self.queue.retain(|queued| queued != id);
        if let Some(record) = self.records.get(id) {
            self.queued_tokens -= record.spec.kv_tokens;
            self.expected_bytes -= record.spec.answer_bytes;
        }
        self.give_up(now, id);
    }

    /// Ends an attempt that was not run: what an earlier one did stands, and
    /// without an earlier one the call is buried.
    pub(super) fn give_up(&mut self, now: Duration, id: &CallId) {
        let Some(record) = self.records.get_mut(id) else {
            return;
        };
        record.state = match record.earlier.take() {
            Some(failure) => CallState::Failed {
                failure,
                since: now,
            },
            None => CallState::Buried { since: now },
        };
        self.remembered.push_back((now, id.clone()));
    }

    /// Ends an attempt that was handed over, without an answer.
    pub(super) fn fail(&mut self, now: Duration, id: &CallId, failure: Failure) {
        if let Some(record) = self.records.get_mut(id) {
            record.state = CallState::Failed {
                failure,
                since: now,
            };
            self.remembered.push_back((now, id.clone()));
        }
    }

    pub(super) fn claimed_after_queue(&self, id: &CallId) -> ClaimOutcome {
        match self.records.get(id).map(|record| &record.state) {
            Some(CallState::Failed { failure, .. }) => ClaimOutcome::Failed(failure.clone()),
            _ => ClaimOutcome::Buried,
        }
    }
}

pub(super) fn smooth(mean: Duration, newest: Duration) -> Duration {
    if mean.is_zero() {
        return newest;
    }
    mean - mean / SERVICE_SMOOTHING + newest / SERVICE_SMOOTHING
}
