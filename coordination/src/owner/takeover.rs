//! Gain, handoff and loss of shards.
//!
//! A new owner restores the programs of a shard from the records in the table
//! and from the attempts that sidecars retain. For a call that may be at an
//! endpoint, the owner asks the sidecar that received it for the outcome. The
//! program's next call waits for the reply.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rosebend_state::id::{CallId, Epoch, ProgramId, Shard};
use rosebend_state::record::{
    AnswerRecord, FailReason, ProgramRecord, TurnRecord, TurnState, UnknownReason,
};

use super::Owner;
use super::account::Account;
use super::action::{Action, CallOutcome, RefusalReason, Reply};
use super::event::{Attempt, Placement, RetainedTurn};
use super::program::{ActiveCall, Program, Stage, Turn, TurnEnd, Unwritten, call_id};
use super::shard::ShardState;

/// The records and retained attempts from which a gained shard is restored.
#[derive(Debug)]
pub(super) struct Gain {
    pub(super) shard: Shard,
    pub(super) epoch: Epoch,
    pub(super) programs: Vec<ProgramRecord>,
    pub(super) turns: Vec<TurnRecord>,
    pub(super) retained: Vec<RetainedTurn>,
    pub(super) under_way: Vec<TurnRecord>,
    pub(super) retained_after: Option<Epoch>,
}

/// The attempts of one call that sidecars retain.
#[derive(Debug, Default)]
struct RetainedCall {
    /// The retained attempts by attempt number.
    attempts: BTreeMap<Attempt, RetainedTurn>,
}

impl Owner {
    /// Restores the programs of a gained shard. Does nothing if the owner already
    /// has the shard under the same or a higher epoch.
    pub(super) fn gain(&mut self, now: Duration, gain: Gain) {
        match self.shards.get(&gain.shard) {
            Some(state) if state.epoch >= gain.epoch => return,
            Some(_) => self.lose(gain.shard),
            None => {}
        }
        self.shards.insert(gain.shard, ShardState::new(gain.epoch));
        // Root programs for which the sidecars retain every call that is missing
        // from the records.
        let mut complete_roots = BTreeSet::new();
        for record in &gain.programs {
            let mut program = Program::from_record(gain.shard, now, record);
            let is_complete = gain
                .retained_after
                .is_some_and(|after| record.epoch > after);
            if record.program.parent().is_none() {
                program.account = Some(account(record, is_complete));
                complete_roots.extend(is_complete.then(|| record.program.clone()));
            }
            self.programs.insert(record.program.clone(), program);
        }
        let mut retained = group_by_call(gain.retained);
        if gain.retained_after.is_none() {
            add_reported_in_flight(&mut retained, gain.under_way);
        }
        let mut open_turns = BTreeMap::new();
        for record in gain.turns {
            let is_complete = complete_roots.contains(&record.call.program.root());
            self.restore_turn(record, is_complete, &mut retained, &mut open_turns);
        }
        for (call, retained) in retained {
            let is_complete = complete_roots.contains(&call.program.root());
            self.restore_retained(&call, retained, is_complete, &mut open_turns);
        }
        for record in &gain.programs {
            if let Some(active) = self.last_not_run(&record.program) {
                open_turns.entry(record.program.clone()).or_insert(active);
            }
        }
        for (id, active) in open_turns {
            self.restore_active(now, &id, active);
        }
        self.draw_ahead(gain.shard);
    }

    /// Draws budget for the open programs of a shard, so that they can continue
    /// if the table fails before their next calls arrive.
    fn draw_ahead(&mut self, shard: Shard) {
        let chunk_tokens = self.config.budget_chunk_tokens;
        let mut drawn = Vec::new();
        for (id, program) in &mut self.programs {
            let is_open = program.shard == shard && program.end_reason().is_none();
            if is_open
                && let Some(account) = program.account.as_deref_mut()
                && account.draw_ahead(chunk_tokens)
            {
                drawn.push(id.clone());
            }
        }
        for id in drawn {
            self.mark_program(&id);
        }
    }

    /// Removes a program's last call from its history and returns it if it has
    /// not run, so that it can be dispatched again.
    fn last_not_run(&mut self, id: &ProgramId) -> Option<ActiveCall> {
        let program = self.programs.get_mut(id)?;
        let sequence = program.next_sequence - 1;
        let TurnEnd::NotRun(attempt) = program.turns.get(&sequence)?.end else {
            return None;
        };
        let turn = program.turns.remove(&sequence)?;
        Some(ActiveCall::from_turn(sequence, attempt, turn))
    }

    /// Restores a call from its record in the table. A call that has ended joins
    /// the program's history. A call that has not ended is added to
    /// `open_turns`.
    fn restore_turn(
        &mut self,
        record: TurnRecord,
        is_complete: bool,
        retained: &mut BTreeMap<CallId, RetainedCall>,
        open_turns: &mut BTreeMap<ProgramId, ActiveCall>,
    ) {
        let call = record.call.clone();
        let Some(program) = self.programs.get_mut(&call.program) else {
            return;
        };
        program.next_sequence = program.next_sequence.max(call.sequence + 1);
        let Some(turn) = Turn::from_record(&record) else {
            let mut active = active_call(&record);
            active.is_charged = !is_complete;
            open_turns.insert(call.program, active);
            return;
        };
        if let (Some(key), false) = (&turn.key, matches!(turn.end, TurnEnd::NotRun(_))) {
            program.keys.insert(key.clone(), call.sequence);
        }
        program.turns.insert(call.sequence, turn);
        // The end of the call is durable, so the sidecars may drop their copies.
        if let Some(retained) = retained.remove(&call) {
            self.acknowledge_retained(&call, retained);
        }
    }

    /// Acknowledges all retained attempts of a call, so that the sidecars may
    /// drop them.
    fn acknowledge_retained(&mut self, call: &CallId, retained: RetainedCall) {
        let shard = call.program.shard(self.config.shard_count);
        for retained in retained.attempts.into_values() {
            if let Some(placement) = placement_of(&retained.turn) {
                self.acknowledge(call, shard, placement);
            }
        }
    }

    /// Restores a call whose end the previous owner did not write. The newest
    /// attempt decides the outcome, because followers cannot have received the
    /// outcome of any other attempt.
    fn restore_retained(
        &mut self,
        call: &CallId,
        retained: RetainedCall,
        is_complete: bool,
        open_turns: &mut BTreeMap<ProgramId, ActiveCall>,
    ) {
        let Some(program) = self.programs.get_mut(&call.program) else {
            return self.acknowledge_retained(call, retained);
        };
        let mut attempts: Vec<RetainedTurn> = retained.attempts.into_values().collect();
        let Some(newest) = attempts.pop() else {
            return;
        };
        let earlier: Vec<Placement> = attempts
            .iter()
            .filter_map(|attempt| placement_of(&attempt.turn))
            .collect();
        let earlier_tokens: u64 = attempts.iter().map(attempt_tokens).sum();
        let newest_tokens = attempt_tokens(&newest);
        let mut active = active_call(&newest.turn);
        active.attempt = newest.attempt;
        let known = open_turns.get(&call.program);
        let is_outdated = known.is_some_and(|known| {
            let is_other =
                known.attempt > active.attempt || known.body_digest != active.body_digest;
            known.sequence > call.sequence || (known.sequence == call.sequence && is_other)
        });
        let is_same_call = known.is_some_and(|known| known.sequence == call.sequence);
        active.has_record = is_same_call;
        active.earlier = earlier;
        program.next_sequence = program.next_sequence.max(call.sequence + 1);
        let mut spent = earlier_tokens;
        if is_outdated {
            spent += newest_tokens;
        } else if let Some(answer) = newest.answer {
            spent += newest_tokens;
            if is_same_call {
                open_turns.remove(&call.program);
            }
            self.restore_answer(active, &call.program, answer);
        } else {
            active.is_charged = !is_complete;
            if is_complete {
                active.reserved_tokens = newest_tokens;
            }
            if let Some(superseded) = open_turns.insert(call.program.clone(), active) {
                self.restore_superseded(&call.program, superseded);
            }
        }
        if is_complete && let Some(account) = self.account_of(&call.program) {
            account.settle(0, spent);
        }
    }

    /// Restores an answer that is not yet in the table and marks it for writing.
    fn restore_answer(&mut self, active: ActiveCall, id: &ProgramId, answer: AnswerRecord) {
        let sequence = active.sequence;
        let mut acknowledge = active.earlier.clone();
        acknowledge.extend(active.stage.placement().cloned());
        self.uncommitted += 1;
        self.uncommitted_bytes += answer.body_bytes();
        let is_early = active.repeatable && self.config.early_end;
        let unwritten = Unwritten {
            answer: Some(answer),
            is_reported: is_early || !self.is_answering,
            acknowledge,
        };
        self.insert_unwritten(id, active, TurnEnd::Done, unwritten);
        self.mark_end(&call_id(id, sequence));
    }

    /// Ends a call whose end was lost. A later call of the same program proves
    /// that the call has ended.
    fn restore_superseded(&mut self, id: &ProgramId, call: ActiveCall) {
        let sequence = call.sequence;
        if let Some(account) = self.account_of(id) {
            account.settle(0, call.reserved_tokens);
        }
        let program = self.programs.get(id).expect("the caller found the program");
        let is_later = program.active.is_some() || program.next_sequence > sequence + 1;
        if !is_later || matches!(call.stage, Stage::Parked) {
            return;
        }
        self.uncommitted += 1;
        let mut acknowledge = call.earlier.clone();
        acknowledge.extend(call.stage.placement().cloned());
        let unwritten = Unwritten {
            answer: None,
            is_reported: false,
            acknowledge,
        };
        let end = match call.repeatable {
            true => TurnEnd::Failed(FailReason::Abandoned),
            false => TurnEnd::Unknown(UnknownReason::SidecarUnreachable),
        };
        self.insert_unwritten(id, call, end, unwritten);
        self.mark_end(&call_id(id, sequence));
    }

    /// Adds an ended call whose end is not yet durable to its program's history.
    fn insert_unwritten(
        &mut self,
        id: &ProgramId,
        call: ActiveCall,
        end: TurnEnd,
        unwritten: Unwritten,
    ) {
        let program = self.programs.get_mut(id).expect("its record was read");
        let sequence = call.sequence;
        if let Some(key) = &call.key {
            program.keys.insert(key.clone(), sequence);
        }
        program
            .turns
            .insert(sequence, Turn::unwritten(call, end, unwritten));
    }

    /// Restores a call that has not ended, and asks its sidecar for the outcome
    /// if the call was sent to one.
    fn restore_active(&mut self, now: Duration, id: &ProgramId, active: ActiveCall) {
        let program = self.programs.get_mut(id).expect("its record was read");
        if active.sequence + 1 < program.next_sequence {
            return self.restore_superseded(id, active);
        }
        if let Some(key) = &active.key {
            program.keys.insert(key.clone(), active.sequence);
        }
        program.last_attempt = active.attempt;
        let reserved_tokens = active.reserved_tokens;
        let placement = active.stage.placement().cloned();
        program.active = Some(Box::new(active));
        if let Some(account) = self.account_of(id) {
            account.reserved_tokens += reserved_tokens;
        }
        if let Some(placement) = placement {
            self.start_claim(now, id, placement);
        }
    }

    /// Drops the state of a shard that has another owner. This owner no longer
    /// writes or sends anything for the shard, so waiting callers and followers
    /// are redirected or asked to retry.
    pub(super) fn lose(&mut self, shard: Shard) {
        if self.shards.remove(&shard).is_none() {
            return;
        }
        let ids = self
            .programs
            .iter()
            .filter(|(_, program)| program.shard == shard);
        let ids: Vec<ProgramId> = ids.map(|(id, _)| id.clone()).collect();
        for id in ids {
            if let Some(program) = self.programs.remove(&id) {
                self.discard_program(&id, program);
            }
        }
    }

    /// Replies to everyone who waits for a program of a lost shard, and removes
    /// the program's unwritten ends from the counts.
    fn discard_program(&mut self, id: &ProgramId, program: Program) {
        for ticket in program.openers.into_iter().chain(program.enders) {
            let retry_after = self.retry_after();
            self.reply(ticket, Reply::Undecided { retry_after });
        }
        self.refuse_waiting(program.waiting, RefusalReason::NotOwner);
        for (sequence, turn) in program.turns {
            let Some(unwritten) = turn.unwritten else {
                continue;
            };
            self.uncommitted -= 1;
            let answer = unwritten.answer.as_ref();
            self.uncommitted_bytes -= answer.map_or(0, |answer| answer.body_bytes());
            if !unwritten.is_reported {
                self.report_moved(id, sequence);
            }
        }
        let active = program.active;
        if let Some(active) = active.filter(|call| !matches!(call.stage, Stage::Parked)) {
            self.report_moved(id, active.sequence);
        }
    }

    /// Reports to the followers of a call that its shard has another owner.
    fn report_moved(&mut self, id: &ProgramId, sequence: u64) {
        self.out.push(Action::CallEnded {
            call: call_id(id, sequence),
            outcome: CallOutcome::Moved,
        });
    }

    /// Accepts calls again for a shard whose handoff failed. The next handoff
    /// drains the shard again.
    pub(super) fn stay(&mut self, shard: Shard) {
        if let Some(state) = self.shards.get_mut(&shard) {
            state.is_leaving = false;
            state.is_drained = false;
        }
    }

    /// Stops accepting calls for a shard that is to be handed over. Calls at
    /// endpoints continue. Waiting and unsent calls are refused.
    pub(super) fn leave(&mut self, now: Duration, shard: Shard) {
        let Some(state) = self.shards.get_mut(&shard) else {
            return;
        };
        state.is_leaving = true;
        let ids = self
            .programs
            .iter()
            .filter(|(_, program)| program.shard == shard);
        let ids: Vec<ProgramId> = ids.map(|(id, _)| id.clone()).collect();
        for id in ids {
            let program = self.programs.get_mut(&id).expect("found above");
            let waiting = std::mem::take(&mut program.waiting);
            let active = program.active.as_deref();
            let is_unsent = active
                .is_some_and(|call| matches!(call.stage, Stage::AwaitingBudget | Stage::Placing));
            self.refuse_waiting(waiting, RefusalReason::ShardLeaving);
            if is_unsent {
                self.release(&id);
                self.end_not_run(now, &id, RefusalReason::ShardLeaving, None);
            }
        }
    }
}

/// Returns the account of a root program. All tokens that the previous owner
/// drew count as spent, unless the sidecars reported every call that ran.
fn account(record: &ProgramRecord, is_complete: bool) -> Box<Account> {
    let mut account = Account::new(record.budget_tokens);
    account.drawn_tokens = record.drawn_tokens;
    account.durable_tokens = record.drawn_tokens;
    account.spent_tokens = match is_complete {
        true => record.spent_tokens,
        false => record.drawn_tokens,
    };
    Box::new(account)
}

/// Groups retained attempts by call.
fn group_by_call(retained: Vec<RetainedTurn>) -> BTreeMap<CallId, RetainedCall> {
    let mut calls: BTreeMap<CallId, RetainedCall> = BTreeMap::new();
    for retained in retained {
        let attempts = &mut calls
            .entry(retained.turn.call.clone())
            .or_default()
            .attempts;
        attempts.insert(retained.attempt, retained);
    }
    calls
}

/// Adds calls that were at endpoints according to the previous owner. An attempt
/// that a sidecar already reported takes precedence. Sidecars that
/// have not reported may hold these calls and are asked for the outcome.
fn add_reported_in_flight(
    retained: &mut BTreeMap<CallId, RetainedCall>,
    in_flight_turns: Vec<TurnRecord>,
) {
    for turn in in_flight_turns {
        let call = retained.entry(turn.call.clone()).or_default();
        let attempt = attempt_of(&turn);
        let retained = RetainedTurn {
            turn,
            attempt,
            answer: None,
        };
        call.attempts.entry(attempt).or_insert(retained);
    }
}

/// Returns the attempt that a record names, or zero for an ended call.
fn attempt_of(record: &TurnRecord) -> Attempt {
    match record.state {
        TurnState::Intent { attempt, .. } | TurnState::NotRun { attempt } => attempt,
        TurnState::Done { .. } | TurnState::Failed { .. } | TurnState::Unknown { .. } => 0,
    }
}

/// Returns the sidecar to which the call of an intent record was sent.
fn placement_of(record: &TurnRecord) -> Option<Placement> {
    match &record.state {
        TurnState::Intent {
            endpoint,
            incarnation,
            ..
        } => Some(Placement {
            endpoint: endpoint.clone(),
            incarnation: incarnation.clone(),
        }),
        _ => None,
    }
}

/// Returns the tokens that a retained attempt spent, or reserves while it runs.
fn attempt_tokens(retained: &RetainedTurn) -> u64 {
    let reserved_tokens = match retained.turn.state {
        TurnState::Intent {
            reserved_tokens, ..
        } => reserved_tokens,
        _ => 0,
    };
    let answer = retained.answer.as_ref();
    answer.map_or(reserved_tokens, AnswerRecord::spent_tokens)
}

/// Builds the active call from the record of a call that has not ended.
fn active_call(record: &TurnRecord) -> ActiveCall {
    let stage = match placement_of(record) {
        Some(placement) => Stage::InFlight(placement),
        None => Stage::Parked,
    };
    ActiveCall::from_record(record, attempt_of(record), stage)
}
