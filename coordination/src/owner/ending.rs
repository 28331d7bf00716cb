//! How the call that has its turn loses it: ended, or not run.

use std::time::Duration;

use rosebend_state::id::ProgramId;
use rosebend_state::record::{AnswerRecord, CallKind, FailReason};

use super::Owner;
use super::action::{Action, CallOutcome, Metric, RefusalReason};
use super::program::{ActiveCall, Program, Stage, Turn, TurnEnd, Unwritten, call_id};

impl Owner {
    /// Ends the active call for good.
    pub(super) fn end_turn(
        &mut self,
        now: Duration,
        id: &ProgramId,
        end: TurnEnd,
        answer: Option<AnswerRecord>,
    ) {
        let program = self.programs.get_mut(id).expect("the call has its turn");
        let call = *program.active.take().expect("it has its turn");
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
            self.tell_end(id, sequence);
        }
        self.release_if_ended(id);
        self.wake_waiters(now, &id.root());
        self.schedule(now, id);
    }

    /// Ends a call that is parked, because its program goes on without it. Its
    /// position is not given to another call: an intent in the table, or an
    /// answer at a sidecar, would be taken for the other's. A call that has
    /// not run can be sent again and gets a new position.
    pub(super) fn supersede(&mut self, id: &ProgramId) {
        let program = self.programs.get_mut(id).expect("schedule() saw it");
        let call = *program.active.take().expect("schedule() saw it");
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

    /// Tells followers the end of a call, once.
    pub(super) fn tell_end(&mut self, id: &ProgramId, sequence: u64) {
        let program = self.programs.get_mut(id).expect("the turn is there");
        let turn = program.turns.get_mut(&sequence).expect("it is there");
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

    /// Ends the active call as failed; an earlier attempt may have run.
    pub(super) fn fail(&mut self, now: Duration, id: &ProgramId, reason: FailReason) {
        self.count(Metric::Failure(reason));
        self.end_turn(now, id, TurnEnd::Failed(reason), None);
    }

    /// Takes the turn from the active call, which has not run. Its followers
    /// are told so; if an earlier attempt may have run it fails instead.
    pub(super) fn end_not_run(
        &mut self,
        now: Duration,
        id: &ProgramId,
        reason: RefusalReason,
        retry_after: Option<Duration>,
    ) {
        let program = self.programs.get_mut(id).expect("the call has its turn");
        let active = program.active.as_deref_mut().expect("it has its turn");
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

    /// Takes the turn from the active call, whose request nobody has sent to
    /// this owner. There may be readers, who would wait in vain for more.
    pub(super) fn park(&mut self, now: Duration, id: &ProgramId) {
        let program = self.programs.get(id).expect("the call has its turn");
        let active = program.active.as_deref().expect("it has its turn");
        let may_have_run = active.may_have_run;
        self.out.push(Action::CallEnded {
            call: call_id(id, active.sequence),
            outcome: CallOutcome::Parked { may_have_run },
        });
        self.drop_turn(now, id);
    }

    /// Frees the position of the active call, or keeps the call parked there
    /// if a record of it may be in the table or a later owner must not take
    /// it for new.
    fn drop_turn(&mut self, now: Duration, id: &ProgramId) {
        let program = self.programs.get_mut(id).expect("the call has its turn");
        let active = program.active.as_deref_mut().expect("it has its turn");
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

    /// Frees what an ended program holds, once none of its calls is at an
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

/// Endpoints where attempts without an answer may have left engine memory.
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

/// The failure of a call that can't go again for this reason.
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
