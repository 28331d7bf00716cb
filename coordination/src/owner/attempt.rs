//! Attempts of the active call. An attempt reserves budget, requests an
//! endpoint, writes an intent if the call is not repeatable, dispatches the
//! call, and processes its outcome.

use std::sync::Arc;
use std::time::Duration;

use rosebend_state::id::{CallId, Epoch, ProgramId};
use rosebend_state::record::{AnswerRecord, CallKind, FailReason, UnknownReason};

use super::Owner;
use super::account::Reservation;
use super::action::{Action, Metric, RefusalReason, RetryReason};
use super::event::{
    Attempt, ClaimOutcome, DispatchFailure, DispatchRefusal, NoPlacement, NoPlacementReason,
    Placement,
};
use super::program::{ActiveCall, Stage, TurnEnd, call_id};

/// Size of the range of attempt numbers reserved for each epoch. Disjoint
/// ranges prevent two owners from using the same number for different dispatches
/// of the call at one position.
const ATTEMPTS_PER_EPOCH: u64 = 1000;

/// Returns the number before the first attempt of an epoch.
pub(super) fn attempt_floor(epoch: Epoch) -> Attempt {
    u32::try_from(epoch.saturating_mul(ATTEMPTS_PER_EPOCH)).unwrap_or(u32::MAX / 2)
}

impl Owner {
    fn active(&mut self, id: &ProgramId) -> Option<&mut ActiveCall> {
        self.programs.get_mut(id)?.active.as_deref_mut()
    }

    /// Returns the active call if `call` and `attempt` identify its current
    /// attempt.
    fn current(&mut self, call: &CallId, attempt: Attempt) -> Option<&mut ActiveCall> {
        let program = self.programs.get_mut(&call.program)?;
        let active = program.active_at(call.sequence)?;
        (active.attempt == attempt).then_some(active)
    }

    /// Starts the next attempt of the active call.
    pub(super) fn begin_attempt(&mut self, now: Duration, id: &ProgramId) {
        let Some(program) = self.programs.get_mut(id) else {
            return;
        };
        let Some(shard) = self.shards.get(&program.shard) else {
            return;
        };
        let Some(active) = program.active.as_deref_mut() else {
            return;
        };
        let floor = attempt_floor(shard.epoch);
        active.attempt = active.attempt.max(program.last_attempt).max(floor) + 1;
        program.last_attempt = active.attempt;
        active.is_charged = false;
        active.stage = Stage::AwaitingBudget;
        self.reserve(now, id);
    }

    /// Reserves the worst-case tokens of the active call and requests an
    /// endpoint.
    pub(super) fn reserve(&mut self, now: Duration, id: &ProgramId) {
        let chunk_tokens = self.config.budget_chunk_tokens;
        let Some(request) = self.active(id).and_then(|active| active.request.clone()) else {
            return;
        };
        if let Some(reason) = self.admission_refusal(now, &request) {
            return self.end_not_run(now, id, reason, None);
        }
        let need_tokens = request.worst_case_tokens();
        let Some(account) = self.account_of(id) else {
            return;
        };
        let reservation = account.reserve(need_tokens, chunk_tokens);
        if account.has_undurable_draw() {
            self.mark_program(&id.root());
        }
        match reservation {
            Reservation::Granted => self.place(id, need_tokens),
            Reservation::Exhausted => {
                self.end_not_run(now, id, RefusalReason::BudgetExhausted, None);
            }
            Reservation::Draw if !self.is_answering => {
                self.end_not_run(now, id, RefusalReason::TableUnavailable, None);
            }
            Reservation::Draw | Reservation::Wait => {
                let account = self.account_of(id).expect("the account exists");
                if !account.waiters.contains(id) {
                    account.waiters.push(id.clone());
                }
            }
        }
    }

    /// Retries the reservations that wait for budget of a root.
    pub(super) fn wake_waiters(&mut self, now: Duration, root: &ProgramId) {
        let Some(account) = self.account_of(root) else {
            return;
        };
        for id in std::mem::take(&mut account.waiters) {
            let active = self.active(&id);
            if active.is_some_and(|call| matches!(call.stage, Stage::AwaitingBudget)) {
                self.reserve(now, &id);
            }
        }
    }

    fn place(&mut self, id: &ProgramId, reserved_tokens: u64) {
        let program = self.programs.get_mut(id).expect("the program exists");
        let active = program.active.as_deref_mut().expect("a call is active");
        active.reserved_tokens = reserved_tokens;
        active.stage = Stage::Placing;
        let request = active.request.as_ref().expect("the call has a request");
        let action = Action::Place {
            call: call_id(id, active.sequence),
            attempt: active.attempt,
            kind: active.kind,
            target: request.target.clone(),
            prompt_tokens: request.prompt_tokens,
            max_answer_tokens: request.max_answer_tokens,
            shared_prefixes: request.shared_prefixes.clone(),
            warm: program.warm.clone(),
            excluded: active.excluded.clone(),
            alone: self.suspicion.is_suspect(&request.fingerprint),
        };
        self.out.push(action);
    }

    pub(super) fn placed(
        &mut self,
        now: Duration,
        call: &CallId,
        attempt: Attempt,
        outcome: Result<Placement, NoPlacement>,
    ) {
        let is_answering = self.is_answering;
        let Some(active) = self.current(call, attempt) else {
            return;
        };
        if !matches!(active.stage, Stage::Placing) {
            return;
        }
        let id = &call.program;
        match outcome {
            Err(no_placement) => {
                self.release(id);
                let reason = placement_refusal(no_placement.reason);
                self.end_not_run(now, id, reason, Some(no_placement.retry_after));
            }
            Ok(placement) if active.repeatable => self.dispatch(now, id, placement),
            Ok(_) if !is_answering => {
                self.release(id);
                self.end_not_run(now, id, RefusalReason::TableUnavailable, None);
            }
            Ok(placement) => {
                active.stage = Stage::CommittingIntent(placement);
                active.has_record = true;
                self.mark_turn(call);
            }
        }
    }

    /// Dispatches a call whose intent is durable, unless its deadline has
    /// passed.
    pub(super) fn intent_committed(&mut self, now: Duration, call: &CallId, attempt: Attempt) {
        let Some(active) = self.current(call, attempt) else {
            return;
        };
        let Stage::CommittingIntent(placement) = active.stage.clone() else {
            return;
        };
        let deadline = active.request.as_ref().and_then(|request| request.deadline);
        let id = &call.program;
        if deadline.is_some_and(|deadline| deadline <= now) {
            self.release(id);
            return self.end_not_run(now, id, RefusalReason::Deadline, None);
        }
        self.dispatch(now, id, placement);
    }

    fn dispatch(&mut self, now: Duration, id: &ProgramId, placement: Placement) {
        let program = self.programs.get_mut(id).expect("the program exists");
        let shard = self.shards.get(&program.shard).expect("the shard is owned");
        let age = program.age(now);
        let is_open = program.end_reason().is_none();
        let active = program.active.as_deref_mut().expect("a call is active");
        active.stage = Stage::InFlight(placement.clone());
        active.tries += 1;
        if active.tries == 1 {
            self.retries.first_dispatch();
        }
        let request = active.request.as_ref().expect("the call has a request");
        self.out.push(Action::Dispatch {
            call: call_id(id, active.sequence),
            attempt: active.attempt,
            shard: program.shard,
            epoch: shard.epoch,
            placement,
            request: Arc::clone(request),
            record: Box::new(active.record(id)),
            attained_tokens: program.attained_tokens,
            program_age: age,
            hold_kv: is_open && active.kind == CallKind::Model,
            alone: self.suspicion.is_suspect(&request.fingerprint),
        });
    }

    /// Returns the reservation of the attempt to the account unspent.
    pub(super) fn release(&mut self, id: &ProgramId) {
        self.settle(id, 0);
    }

    /// Replaces the reservation of the attempt by the tokens it spent.
    pub(super) fn settle(&mut self, id: &ProgramId, spent_tokens: u64) {
        let Some(active) = self.active(id) else {
            return;
        };
        let reserved_tokens = std::mem::take(&mut active.reserved_tokens);
        if let Some(account) = self.account_of(id) {
            account.settle(reserved_tokens, spent_tokens);
        }
        if spent_tokens > 0 {
            self.mark_program(&id.root());
        }
    }

    /// Charges the worst case of an attempt that may have run.
    fn charge_worst_case(&mut self, id: &ProgramId) {
        let reserved_tokens = self.active(id).map_or(0, |active| active.reserved_tokens);
        self.settle(id, reserved_tokens);
    }

    pub(super) fn finished(
        &mut self,
        now: Duration,
        call: &CallId,
        attempt: Attempt,
        answer: AnswerRecord,
    ) {
        let Some(active) = self.current(call, attempt) else {
            return;
        };
        if !active.stage.is_sent() {
            return;
        }
        let id = &call.program;
        let fingerprint = active
            .request
            .as_ref()
            .map(|request| request.fingerprint.clone());
        if let Some(fingerprint) = fingerprint {
            self.suspicion.cleared(&fingerprint);
        }
        self.settle_answer(id, &answer);
        self.update_warm(id);
        self.end_turn(now, id, TurnEnd::Done, Some(answer));
    }

    /// Charges the tokens of an answer, unless the attempt was already charged
    /// when the shard was taken over.
    fn settle_answer(&mut self, id: &ProgramId, answer: &AnswerRecord) {
        let spent_tokens = answer.spent_tokens();
        let program = self.programs.get_mut(id).expect("the program exists");
        program.attained_tokens = program.attained_tokens.saturating_add(spent_tokens);
        let active = program.active.as_deref().expect("a call is active");
        match active.is_charged {
            true => self.release(id),
            false => self.settle(id, spent_tokens),
        }
    }

    /// Records the endpoint that now holds the program's KV cache, and frees
    /// the cache at the previous one.
    fn update_warm(&mut self, id: &ProgramId) {
        let program = self.programs.get_mut(id).expect("the program exists");
        let active = program.active.as_deref().expect("a call is active");
        if active.kind != CallKind::Model {
            return;
        }
        let endpoint = active.stage.placement().map(|place| place.endpoint.clone());
        let previous = std::mem::replace(&mut program.warm, endpoint);
        if let Some(previous) = previous
            && program.warm.as_ref() != Some(&previous)
        {
            self.out.push(Action::ReleaseHolds {
                program: id.clone(),
                endpoints: vec![previous],
            });
        }
    }

    pub(super) fn dispatch_refused(
        &mut self,
        now: Duration,
        call: &CallId,
        attempt: Attempt,
        reason: DispatchRefusal,
        retry_after: Duration,
    ) {
        let Some(active) = self.current(call, attempt) else {
            return;
        };
        let Some(placement) = active.stage.sent_to().cloned() else {
            return;
        };
        let id = &call.program;
        if reason == DispatchRefusal::StaleEpoch {
            let shard = self.programs.get(id).map(|program| program.shard);
            return shard.into_iter().for_each(|shard| self.lose(shard));
        }
        self.release(id);
        match final_refusal(reason) {
            Some(reason) => self.end_not_run(now, id, reason, Some(retry_after)),
            None => {
                let excluded =
                    (reason != DispatchRefusal::OtherIncarnation).then_some(placement.endpoint);
                self.retry_not_run(now, id, excluded, RetryReason::Refused, Some(retry_after));
            }
        }
    }

    /// Retries a call that did not run, or ends it if no retry is possible.
    fn retry_not_run(
        &mut self,
        now: Duration,
        id: &ProgramId,
        excluded: Option<String>,
        retry: RetryReason,
        retry_after: Option<Duration>,
    ) {
        let max_attempts = self.config.max_attempts;
        let active = self.active(id).expect("a call is active");
        active.excluded.extend(excluded);
        active.stage = Stage::Parked;
        if active.tries >= max_attempts {
            return self.end_not_run(now, id, RefusalReason::Attempts, retry_after);
        }
        if active.request.is_none() {
            return self.park(now, id);
        }
        if !self.retries.take() {
            return self.end_not_run(now, id, RefusalReason::RetryBudget, retry_after);
        }
        self.count(Metric::Retry(retry));
        self.begin_attempt(now, id);
    }

    pub(super) fn dispatch_failed(
        &mut self,
        now: Duration,
        call: &CallId,
        attempt: Attempt,
        reason: DispatchFailure,
        may_have_run: bool,
        suspects: &[CallId],
    ) {
        let Some(active) = self.current(call, attempt) else {
            return;
        };
        // The stream can report a failure while a claim is still pending, so
        // `Stage::Claiming` is accepted as well as `Stage::InFlight`.
        let Some(placement) = active.stage.sent_to().cloned() else {
            return;
        };
        let id = &call.program;
        if reason == DispatchFailure::ConnectionLost && may_have_run {
            return self.start_claim(now, id, placement);
        }
        if !may_have_run {
            self.release(id);
            let excluded = Some(placement.endpoint);
            return self.retry_not_run(now, id, excluded, RetryReason::EndpointFailed, None);
        }
        let is_suspect = suspects.is_empty() || suspects.contains(call);
        let is_crash = reason == DispatchFailure::EndpointCrashed && is_suspect;
        let is_quarantined = is_crash && self.suspect(id);
        let retry = match is_crash {
            true => RetryReason::EndpointCrashed,
            false => RetryReason::EndpointFailed,
        };
        self.fail_attempt(
            now,
            id,
            retry,
            UnknownReason::EndpointFailed,
            is_quarantined,
        );
    }

    /// Records a crash against the request of the active call, and returns
    /// whether the request is quarantined.
    fn suspect(&mut self, id: &ProgramId) -> bool {
        let request = self.active(id).and_then(|active| active.request.clone());
        let Some(request) = request else {
            return false;
        };
        if self.suspicion.crashed(&request.fingerprint) {
            self.count(Metric::Quarantined);
            self.out.push(Action::Quarantine {
                fingerprint: request.fingerprint.clone(),
            });
        }
        self.suspicion.is_quarantined(&request.fingerprint)
    }

    /// Handles an attempt that may have run but produced no answer. A
    /// repeatable call is retried; any other call ends with an unknown outcome.
    fn fail_attempt(
        &mut self,
        now: Duration,
        id: &ProgramId,
        retry: RetryReason,
        unknown: UnknownReason,
        is_quarantined: bool,
    ) {
        self.charge_worst_case(id);
        let max_attempts = self.config.max_attempts;
        let active = self.active(id).expect("a call is active");
        let placement = active.stage.placement().cloned();
        active
            .excluded
            .extend(placement.as_ref().map(|p| p.endpoint.clone()));
        active.earlier.extend(placement);
        if !active.repeatable {
            self.count(Metric::OutcomeUnknown(unknown));
            return self.end_turn(now, id, TurnEnd::Unknown(unknown), None);
        }
        active.may_have_run = true;
        let failure = if is_quarantined {
            Some(FailReason::Quarantined)
        } else if active.tries >= max_attempts {
            Some(FailReason::Attempts)
        } else if active.request.is_none() {
            return self.park(now, id);
        } else if !self.retries.take() {
            Some(FailReason::RetryBudget)
        } else {
            None
        };
        match failure {
            Some(reason) => self.fail(now, id, reason),
            None => {
                self.count(Metric::Retry(retry));
                self.begin_attempt(now, id);
            }
        }
    }

    /// Starts to query the sidecar of the call for its outcome.
    pub(super) fn start_claim(&mut self, now: Duration, id: &ProgramId, placement: Placement) {
        let next_at = now + self.config.claim_interval;
        if let Some(active) = self.active(id) {
            active.stage = Stage::Claiming {
                placement,
                since: now,
                next_at,
            };
        }
        self.send_claim(id);
    }

    pub(super) fn send_claim(&mut self, id: &ProgramId) {
        let Some(program) = self.programs.get(id) else {
            return;
        };
        let Some(shard) = self.shards.get(&program.shard) else {
            return;
        };
        let Some(active) = program.active.as_deref() else {
            return;
        };
        if let Stage::Claiming { placement, .. } = &active.stage {
            self.out.push(Action::Claim {
                call: call_id(id, active.sequence),
                attempt: active.attempt,
                shard: program.shard,
                epoch: shard.epoch,
                placement: placement.clone(),
            });
        }
    }

    pub(super) fn claimed(
        &mut self,
        now: Duration,
        call: &CallId,
        attempt: Attempt,
        outcome: ClaimOutcome,
    ) {
        let Some(active) = self.current(call, attempt) else {
            return;
        };
        let Stage::Claiming { placement, .. } = active.stage.clone() else {
            return;
        };
        let id = &call.program;
        match outcome {
            ClaimOutcome::Finished(answer) => self.finished(now, call, attempt, answer),
            ClaimOutcome::Running => active.stage = Stage::InFlight(placement),
            ClaimOutcome::Buried
            | ClaimOutcome::Failed {
                may_have_run: false,
            } => {
                self.release(id);
                self.retry_not_run(now, id, None, RetryReason::Buried, None);
            }
            ClaimOutcome::Failed { may_have_run: true } => {
                let unknown = UnknownReason::EndpointFailed;
                self.fail_attempt(now, id, RetryReason::EndpointFailed, unknown, false);
            }
            ClaimOutcome::Unknown => {
                let unknown = UnknownReason::SidecarReplaced;
                self.fail_attempt(now, id, RetryReason::ConnectionLost, unknown, false);
            }
            // The next ticks repeat the claim until it expires.
            ClaimOutcome::Unreachable => {}
            ClaimOutcome::StaleEpoch => {
                let shard = self.programs.get(id).map(|program| program.shard);
                shard.into_iter().for_each(|shard| self.lose(shard));
            }
        }
    }

    /// Ends the claim of a call whose sidecar did not answer in time.
    pub(super) fn claim_expired(&mut self, now: Duration, id: &ProgramId) {
        let unknown = UnknownReason::SidecarUnreachable;
        self.fail_attempt(now, id, RetryReason::ClaimUnreachable, unknown, false);
    }
}

fn placement_refusal(reason: NoPlacementReason) -> RefusalReason {
    match reason {
        NoPlacementReason::UnknownTarget => RefusalReason::UnknownTarget,
        NoPlacementReason::NoEndpoint => RefusalReason::NoEndpoint,
        NoPlacementReason::Saturated => RefusalReason::Saturated,
    }
}

/// Returns the refusal for the caller, or `None` if another endpoint may
/// accept the call.
fn final_refusal(reason: DispatchRefusal) -> Option<RefusalReason> {
    match reason {
        DispatchRefusal::Deadline => Some(RefusalReason::Deadline),
        DispatchRefusal::TooLarge | DispatchRefusal::Invalid => Some(RefusalReason::Invalid),
        DispatchRefusal::Quarantined => Some(RefusalReason::Quarantined),
        DispatchRefusal::Leaving
        | DispatchRefusal::QueueFull
        | DispatchRefusal::RetentionFull
        | DispatchRefusal::StaleEpoch
        | DispatchRefusal::OtherIncarnation
        | DispatchRefusal::Buried
        | DispatchRefusal::UnknownTarget
        | DispatchRefusal::EndpointDown
        | DispatchRefusal::Duplicate
        | DispatchRefusal::NotConnected => None,
    }
}
