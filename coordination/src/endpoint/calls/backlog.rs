//! The way of a call through the queue.

use std::time::Duration;

use rosebend_state::id::CallId;

use super::super::{
    claim::ClaimOutcome,
    outcome::{Failure, Refusal, RefusalReason},
};
use super::{
    Calls, Start,
    intake::stale,
    record::{CallState, FailedAttempt, Record},
    spec::CallSpec,
};
use crate::queue::{self, Waiting};

impl Calls {
    /// Puts a call into the queue.
    pub(super) fn enqueue(&mut self, now: Duration, spec: &CallSpec) -> Result<(), Refusal> {
        let held_tokens = self.holds.tokens(&spec.id.program);
        let warm_tokens = held_tokens.max(self.prefixes.warm_tokens(&spec.shared_prefixes));
        let waiting = Waiting {
            call: spec.id.clone(),
            customer: spec.id.program.customer().to_owned(),
            share_weight: spec.share_weight,
            prompt_tokens: spec.prompt_tokens,
            max_answer_tokens: spec.max_answer_tokens,
            attained_tokens: spec.attained_tokens,
            program_age: spec.program_age,
            deadline: spec.deadline.map(|left| now + left),
            warm_tokens: warm_tokens.min(spec.prompt_tokens),
            shared_prefixes: spec.shared_prefixes.clone(),
            alone: spec.alone,
        };
        self.queue.push(now, waiting).map_err(queue_refusal)?;
        self.prefixes.queued(&spec.id, &spec.shared_prefixes);
        let mut record = Record::new(spec, CallState::Queued);
        if let Some(known) = self.records.remove(&spec.id)
            && let CallState::Failed { failure, .. } = known.state
        {
            let attempt = known.attempt;
            record.earlier = Some(FailedAttempt { attempt, failure });
        }
        self.expected_bytes += spec.answer_bytes;
        self.records.insert(spec.id.clone(), record);
        Ok(())
    }

    /// Notes that the endpoint gets a call now, unless the call lost its owner
    /// in the queue.
    pub(super) fn start(
        &mut self,
        now: Duration,
        admitted: queue::Admission,
    ) -> Result<Start, (CallId, Refusal)> {
        let id = admitted.call;
        if let Some(refusal) = self.stale_in_queue(&id) {
            self.queue.finished(now, &id, 0);
            self.unqueued(now, &id);
            return Err((id, refusal));
        }
        let record = self
            .records
            .get_mut(&id)
            .expect("every queued call has a record");
        record.state = CallState::Running;
        let attempt = record.attempt;
        self.running.insert(id.clone());
        Ok(Start {
            id,
            attempt,
            queued: admitted.queued,
        })
    }

    /// Why a waiting call is to be given up although it has time left.
    pub(super) fn stale_in_queue(&self, id: &CallId) -> Option<Refusal> {
        let fence = self.records.get(id)?.fence;
        let is_current = self.fences.is_current(fence);
        (!is_current).then(|| stale(self.fences.highest(fence.shard).unwrap_or_default()))
    }

    /// Calls in the queue, in no order.
    pub(super) fn waiting(&self) -> Vec<CallId> {
        self.records
            .iter()
            .filter(|(_, record)| matches!(record.state, CallState::Queued))
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Takes a call out of the queue for good, without running it.
    pub(super) fn unqueue(&mut self, now: Duration, id: &CallId) {
        self.queue.remove(id);
        self.unqueued(now, id);
    }

    /// Notes that a call left the queue for good, without being run.
    pub(super) fn unqueued(&mut self, now: Duration, id: &CallId) {
        self.prefixes.dropped(id);
        if let Some(record) = self.records.get(id) {
            self.expected_bytes -= record.answer_bytes;
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
            Some(earlier) => CallState::Failed {
                failure: earlier.failure,
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

    /// What a claim is told of a call that it took out of the queue.
    pub(super) fn claimed_in_queue(&self, id: &CallId) -> ClaimOutcome {
        match self.records.get(id).map(|record| &record.state) {
            Some(CallState::Failed { failure, .. }) => ClaimOutcome::Failed(failure.clone()),
            _ => ClaimOutcome::Buried,
        }
    }
}

fn queue_refusal(refusal: queue::Refusal) -> Refusal {
    let (reason, detail) = match refusal.reason {
        queue::RefusalReason::QueueFull => (RefusalReason::QueueFull, "too many calls wait"),
        queue::RefusalReason::Deadline => (RefusalReason::Deadline, "the deadline has passed"),
        queue::RefusalReason::TooLarge => (
            RefusalReason::TooLarge,
            "the call exceeds the endpoint's KV memory",
        ),
        queue::RefusalReason::Duplicate => (RefusalReason::Duplicate, "the call is here already"),
    };
    Refusal::new(reason, refusal.retry_after, detail)
}
