//! Whether a message is refused, joined to a known call, or taken.

use std::time::Duration;

use rosebend_state::id::{CallId, Epoch};

use super::super::{
    fence::Fence,
    outcome::{Failure, FailureReason, Refusal, RefusalReason},
};
use super::{
    Calls, REMEMBERED,
    record::{CallState, Record},
    spec::{CallSpec, Dispatched},
};

/// When to come back after there was no room for an answer; owners
/// acknowledge with each poll.
const RETENTION_RETRY: Duration = Duration::from_secs(1);

impl Calls {
    pub(super) fn check_fence(&mut self, fence: Fence) -> Result<(), Refusal> {
        let checked = self.fences.check(fence);
        checked.map_err(|refused| stale(refused.epoch))
    }

    /// Joins a message to the call that is here; none when it is to be run.
    pub(super) fn join(&mut self, spec: &CallSpec) -> Option<Dispatched> {
        let record = self.records.get_mut(&spec.id)?;
        if record.is_other_request(spec) {
            return Some(Dispatched::Refused(Refusal::new(
                RefusalReason::Duplicate,
                Duration::ZERO,
                "another request has this id",
            )));
        }
        if let Some(failure) = record.failure_of(spec.attempt) {
            return Some(Dispatched::Ended(failure.clone()));
        }
        let is_newer = spec.attempt > record.attempt;
        match &record.state {
            CallState::Acknowledged { .. } => {
                Some(Dispatched::Ended(untold("it was acknowledged")))
            }
            CallState::Buried { .. } if is_newer => None,
            CallState::Buried { .. } => Some(Dispatched::Refused(buried())),
            CallState::Failed { .. } if is_newer && record.repeatable && spec.repeatable => None,
            _ => {
                record.fence = spec.fence;
                record.attempt = record.attempt.max(spec.attempt);
                record.joined = record.joined.max(spec.attempt);
                Some(Dispatched::Follow)
            }
        }
    }

    /// Why a new call is not taken, apart from the queue.
    pub(super) fn refusal_for(&mut self, now: Duration, spec: &CallSpec) -> Option<Refusal> {
        if spec.incarnation != self.incarnation {
            let detail = format!("this run is {}", self.incarnation);
            return Some(Refusal::new(
                RefusalReason::OtherIncarnation,
                Duration::ZERO,
                detail,
            ));
        }
        if self.leaving {
            return Some(leaving());
        }
        self.release_for(now, spec.answer_bytes);
        if !self.has_room_for(spec.answer_bytes) {
            return Some(Refusal::new(
                RefusalReason::RetentionFull,
                RETENTION_RETRY,
                "too many answers are not acknowledged",
            ));
        }
        None
    }

    /// Remembers that an attempt was refused, so that the same message, when
    /// it comes again, is not run after all.
    pub(super) fn remember_refused(&mut self, now: Duration, spec: &CallSpec) {
        match self.records.get_mut(&spec.id) {
            Some(record) if matches!(record.state, CallState::Buried { .. }) => {
                self.raise_buried(now, &spec.id, spec.attempt);
            }
            Some(record) => record.attempt = record.attempt.max(spec.attempt),
            None => self.bury(now, &spec.id, spec.fence, spec.attempt),
        }
    }

    /// Buries a call up to a higher attempt, and remembers it anew.
    pub(super) fn raise_buried(&mut self, now: Duration, id: &CallId, attempt: u32) {
        if let Some(record) = self.records.get_mut(id) {
            record.attempt = record.attempt.max(attempt);
            record.state = CallState::Buried { since: now };
            self.remembered.push_back((now, id.clone()));
        }
    }

    /// Makes sure that no attempt of an unseen call up to `attempt` runs here.
    pub(super) fn bury(&mut self, now: Duration, id: &CallId, fence: Fence, attempt: u32) {
        let record = Record::buried(now, fence, attempt);
        self.records.insert(id.clone(), record);
        self.remembered.push_back((now, id.clone()));
    }

    /// Forgets what has been over for long enough.
    pub(super) fn forget(&mut self, now: Duration) {
        while let Some((since, _)) = self.remembered.front() {
            if now.saturating_sub(*since) < REMEMBERED {
                break;
            }
            if let Some((since, id)) = self.remembered.pop_front()
                && self
                    .records
                    .get(&id)
                    .is_some_and(|r| r.is_over_since(since))
            {
                self.records.remove(&id);
                self.forgotten.push(id);
            }
        }
    }
}

/// Whether the same message might not be refused when it comes again. For the
/// other reasons it always is, in this run of the sidecar.
pub(super) fn is_passing(reason: RefusalReason) -> bool {
    match reason {
        RefusalReason::QueueFull
        | RefusalReason::RetentionFull
        | RefusalReason::Deadline
        | RefusalReason::EndpointDown => true,
        RefusalReason::Leaving
        | RefusalReason::StaleEpoch
        | RefusalReason::OtherIncarnation
        | RefusalReason::Buried
        | RefusalReason::TooLarge
        | RefusalReason::UnknownTarget
        | RefusalReason::Duplicate
        | RefusalReason::Invalid => false,
    }
}

pub(super) fn stale(epoch: Epoch) -> Refusal {
    let detail = format!("epoch {epoch} of the shard has been seen");
    let mut refusal = Refusal::new(RefusalReason::StaleEpoch, Duration::ZERO, detail);
    refusal.epoch = epoch;
    refusal
}

pub(super) fn leaving() -> Refusal {
    Refusal::new(
        RefusalReason::Leaving,
        Duration::ZERO,
        "the endpoint is leaving",
    )
}

pub(super) fn buried() -> Refusal {
    Refusal::new(
        RefusalReason::Buried,
        Duration::ZERO,
        "the call was claimed or refused before it ran",
    )
}

/// What cannot be told any more may have run.
pub(super) fn untold(detail: &str) -> Failure {
    Failure {
        reason: FailureReason::Cancelled,
        may_have_run: true,
        detail: detail.to_owned(),
        suspects: Vec::new(),
    }
}
