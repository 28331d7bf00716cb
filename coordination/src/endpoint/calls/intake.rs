//! Whether a message is refused, joined to a known call, or taken.

use std::time::Duration;

use rosebend_state::id::CallId;

use super::super::{
    fence::Fence,
    outcome::{Failure, FailureReason, Refusal, RefusalReason},
};
use super::{
    Calls, MAX_RETRY_AFTER, MIN_RETRY_AFTER, REMEMBERED,
    record::{CallState, Record},
    spec::{CallSpec, Dispatched},
};

impl Calls {
    pub(super) fn check_fence(&mut self, fence: Fence) -> Result<(), Refusal> {
        self.fences.check(fence).map_err(|stale| {
            let mut refusal =
                Refusal::new(RefusalReason::StaleEpoch, Duration::ZERO, stale.to_string());
            refusal.epoch = stale.epoch;
            refusal
        })
    }

    /// Joins a message to the call that is here; none when it is to be run.
    pub(super) fn join(&mut self, spec: &CallSpec) -> Option<Dispatched> {
        let record = self.records.get_mut(&spec.id)?;
        let is_newer = spec.attempt > record.spec.attempt;
        match &record.state {
            CallState::Acknowledged { .. } => {
                Some(Dispatched::Ended(untold("it was acknowledged")))
            }
            CallState::Buried { .. } if is_newer => None,
            CallState::Buried { .. } => Some(Dispatched::Refused(buried())),
            CallState::Failed { .. } if is_newer && record.spec.repeatable && spec.repeatable => {
                None
            }
            _ => {
                record.spec.fence = spec.fence;
                record.spec.attempt = record.spec.attempt.max(spec.attempt);
                Some(Dispatched::Follow)
            }
        }
    }

    pub(super) fn refusal_for(&mut self, now: Duration, spec: &CallSpec) -> Option<Refusal> {
        let names_no_incarnation = spec.incarnation.is_empty() && spec.repeatable;
        if spec.incarnation != self.incarnation && !names_no_incarnation {
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
        if spec.kv_tokens > self.limits.kv_tokens {
            let detail = format!("the endpoint holds {} KV tokens", self.limits.kv_tokens);
            return Some(Refusal::new(
                RefusalReason::TooLarge,
                Duration::ZERO,
                detail,
            ));
        }
        if self.queue.len() >= self.limits.queued {
            return Some(Refusal::new(
                RefusalReason::QueueFull,
                self.retry_after(),
                "too many calls wait",
            ));
        }
        self.release_for(now, spec.answer_bytes);
        if !self.has_room_for(spec.answer_bytes) {
            return Some(Refusal::new(
                RefusalReason::RetentionFull,
                self.retry_after(),
                "too many answers are not acknowledged",
            ));
        }
        None
    }

    /// The queue's expected time to empty, within bounds.
    pub(super) fn retry_after(&self) -> Duration {
        let rounds = self.queue.len() / self.limits.running.max(1) + 1;
        let rounds = u32::try_from(rounds).unwrap_or(u32::MAX);
        self.mean_service
            .saturating_mul(rounds)
            .clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
    }

    /// Remembers that an attempt was refused, so that the same message, when
    /// it comes again, is not run after all.
    pub(super) fn remember_refused(&mut self, now: Duration, spec: CallSpec) {
        match self.records.get_mut(&spec.id) {
            Some(record) if matches!(record.state, CallState::Buried { .. }) => {
                self.raise_buried(now, &spec.id, spec.attempt);
            }
            Some(record) => record.spec.attempt = record.spec.attempt.max(spec.attempt),
            None => self.bury(now, spec),
        }
    }

    /// Buries a call up to a higher attempt, and remembers it anew.
    pub(super) fn raise_buried(&mut self, now: Duration, id: &CallId, attempt: u32) {
        if let Some(record) = self.records.get_mut(id) {
            record.spec.attempt = attempt;
            record.state = CallState::Buried { since: now };
            self.remembered.push_back((now, id.clone()));
        }
    }

    pub(super) fn bury(&mut self, now: Duration, spec: CallSpec) {
        let id = spec.id.clone();
        let record = Record {
            spec,
            state: CallState::Buried { since: now },
            earlier: None,
        };
        self.records.insert(id.clone(), record);
        self.remembered.push_back((now, id));
    }

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
            }
        }
    }
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

pub(super) fn untold(detail: &str) -> Failure {
    Failure {
        reason: FailureReason::Cancelled,
        may_have_run: true,
        detail: detail.to_owned(),
        suspects: Vec::new(),
    }
}
