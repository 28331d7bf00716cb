//! The end of the active call. A call either ends for good with a recorded
//! outcome, or is refused or parked without having run, after which the next
//! call of the program starts.

use std::time::Duration;

use rosebend_state::id::ProgramId;
use rosebend_state::record::{AnswerRecord, CallKind, FailReason};

use super::Owner;
use super::action::{Action, CallOutcome, Metric, RefusalReason};
use super::program::{ActiveCall, Program, Stage, Turn, TurnEnd, Unwritten, call_id};

impl Owner {
    /// Ends the active call with an outcome that is written to the table.
    pub(super) fn end_turn(
        &mut self,
        now: Duration,
        id: &ProgramId,
        end: TurnEnd,
        answer: Option<AnswerRecord>,
    ) {
        let program = self.programs.get_mut(id).expect("the program exists");
        let call = *program.active.take().expect("a call is active");
        let sequence = call.sequence;
        let stale_holds = stale_holds(program, &call);
        self.uncommitted += 1;
        self.uncommitted_bytes += answer.as_ref().map_or(0, AnswerRecord::body_bytes);
        let mut acknowledge = call.earlier.clone();
        acknowledge.extend(call.stage.placement().cloned());
        let unwritten = Unwritten {
            answer,
            is_reported: false,
            acknowledge,
        };
        let is_early = call.repeatable && self.config.early_end;
        program.last_attempt = 0;
        if let Some(request) = &call.request {
            program.count_repeat(&request.fingerprint);
        }
        program
            .turns
            .insert(sequence, Turn::unwritten(call, end, unwritten));
        self.mark_end(&call_id(id, sequence));
        self.release_holds(id, stale_holds);
        if is_early || !self.is_answering {
            self.report_end(id, sequence);
        }
        self.release_if_ended(id);
        self.wake_waiters(now, &id.root());
        self.schedule(now, id);
    }

    /// Ends a parked call because its program continues with another one. The
    /// position is not reused: an intent in the table or an answer retained at
    /// a sidecar would be attributed to the new call. A call that has not run
    /// can be submitted again and gets a new position.
    pub(super) fn supersede(&mut self, id: &ProgramId) {
        let program = self.programs.get_mut(id).expect("the program exists");
        let call = *program.active.take().expect("a call is active");
        let sequence = call.sequence;
        if let (Some(key), false) = (&call.key, call.may_have_run) {
            program.keys.remove(key);
        }
        let end = match call.may_have_run {
            true => TurnEnd::Failed(FailReason::Abandoned),
            false => TurnEnd::NotRun(call.attempt),
        };
        let unwritten = Unwritten {
            answer: None,
            is_reported: true,
            acknowledge: call.earlier.clone(),
        };
        self.uncommitted += 1;
        program.last_attempt = 0;
        program
            .turns
            .insert(sequence, Turn::unwritten(call, end, unwritten));
        self.mark_end(&call_id(id, sequence));
    }

    /// Reports the end of a call to its followers, unless it was already
    /// reported.
    pub(super) fn report_end(&mut self, id: &ProgramId, sequence: u64) {
        let program = self.programs.get_mut(id).expect("the program exists");
        let turn = program
            .turns
            .get_mut(&sequence)
            .expect("the call has ended");
        let is_new = match &mut turn.unwritten {
            Some(unwritten) => !std::mem::replace(&mut unwritten.is_reported, true),
            None => false,
        };
        if is_new {
            let outcome = turn.end.outcome();
            self.out.push(Action::CallEnded {
                call: call_id(id, sequence),
                outcome,
            });
        }
    }

    /// Ends the active call as failed, although an earlier attempt may have
    /// run.
    pub(super) fn fail(&mut self, now: Duration, id: &ProgramId, reason: FailReason) {
        self.count(Metric::Failure(reason));
        self.end_turn(now, id, TurnEnd::Failed(reason), None);
    }

    /// Ends the active call as refused if it has not run, or as failed if an
    /// earlier attempt may have run.
    pub(super) fn end_not_run(
        &mut self,
        now: Duration,
        id: &ProgramId,
        reason: RefusalReason,
        retry_after: Option<Duration>,
    ) {
        let program = self.programs.get_mut(id).expect("the program exists");
        let active = program.active.as_deref_mut().expect("a call is active");
        if active.may_have_run {
            return self.fail(now, id, fail_reason(reason));
        }
        let call = call_id(id, active.sequence);
        let retry_after = retry_after.unwrap_or_else(|| self.retry_after());
        self.count(Metric::Refusal(reason));
        self.out.push(Action::CallEnded {
            call,
            outcome: CallOutcome::Refused {
                reason,
                retry_after,
            },
        });
        self.drop_turn(now, id);
    }

    /// Parks the active call, whose request no caller has sent to this owner.
    /// Its end is reported, because followers would otherwise wait
    /// indefinitely.
    pub(super) fn park(&mut self, now: Duration, id: &ProgramId) {
        let program = self.programs.get(id).expect("the program exists");
        let active = program.active.as_deref().expect("a call is active");
        let may_have_run = active.may_have_run;
        self.out.push(Action::CallEnded {
            call: call_id(id, active.sequence),
            outcome: CallOutcome::Parked { may_have_run },
        });
        self.drop_turn(now, id);
    }

    /// Frees the position of the active call. The call stays parked at its
    /// position instead if the table may have a record of it, or if it may have
    /// run and a later owner must not treat it as new.
    fn drop_turn(&mut self, now: Duration, id: &ProgramId) {
        let program = self.programs.get_mut(id).expect("the program exists");
        let active = program.active.as_deref_mut().expect("a call is active");
        let sequence = active.sequence;
        if active.has_record || active.may_have_run {
            active.stage = Stage::Parked;
            active.request = None;
            if active.has_record {
                self.mark_end(&call_id(id, sequence));
            }
        } else {
            let key = active.key.take();
            program.active = None;
            program.next_sequence = sequence;
            if let Some(key) = key {
                program.keys.remove(&key);
            }
        }
        self.release_if_ended(id);
        self.wake_waiters(now, &id.root());
        self.schedule(now, id);
    }

    /// Frees the KV cache of an ended program once none of its calls is at an
    /// endpoint.
    pub(super) fn release_if_ended(&mut self, id: &ProgramId) {
        let Some(program) = self.programs.get_mut(id) else {
            return;
        };
        if program.end_reason().is_some() && !program.is_sent() {
            let endpoints = program.warm.take().into_iter().collect();
            self.release_holds(id, endpoints);
        }
    }

    pub(super) fn release_holds(&mut self, id: &ProgramId, endpoints: Vec<String>) {
        if !endpoints.is_empty() {
            self.out.push(Action::ReleaseHolds {
                program: id.clone(),
                endpoints,
            });
        }
    }
}

/// Returns the endpoints where earlier attempts without an answer may have left
/// a KV cache.
fn stale_holds(program: &Program, call: &ActiveCall) -> Vec<String> {
    if call.kind != CallKind::Model {
        return Vec::new();
    }
    let endpoints = call.earlier.iter().map(|place| place.endpoint.clone());
    let mut stale: Vec<String> = endpoints
        .filter(|endpoint| program.warm.as_ref() != Some(endpoint))
        .collect();
    stale.dedup();
    stale
}

/// Returns the failure of a call that can't be retried for this reason.
fn fail_reason(reason: RefusalReason) -> FailReason {
    match reason {
        RefusalReason::BudgetExhausted => FailReason::BudgetExhausted,
        RefusalReason::Quarantined => FailReason::Quarantined,
        RefusalReason::Deadline => FailReason::Deadline,
        RefusalReason::RetryBudget => FailReason::RetryBudget,
        RefusalReason::Attempts => FailReason::Attempts,
        RefusalReason::NotOwner
        | RefusalReason::ShardLeaving
        | RefusalReason::UnknownProgram
        | RefusalReason::AlreadyOpen
        | RefusalReason::ProgramEnded(_)
        | RefusalReason::KeyReused
        | RefusalReason::WrongSequence
        | RefusalReason::SequenceGap
        | RefusalReason::ProgramQueueFull
        | RefusalReason::TableUnavailable
        | RefusalReason::UncommittedFull
        | RefusalReason::UnknownTarget
        | RefusalReason::NoEndpoint
        | RefusalReason::Saturated
        | RefusalReason::Invalid
        | RefusalReason::Superseded => FailReason::NoEndpoint,
    }
}
