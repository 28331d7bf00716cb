//! Submission of calls. This module joins duplicates of a call, checks whether
//! a new call is admitted, and starts the calls of a program one at a time in
//! the order of their positions.

use std::sync::Arc;
use std::time::Duration;

use rosebend_state::id::{ProgramId, Sequence};
use rosebend_state::record::EndReason;

use super::Owner;
use super::action::{Action, Metric, RefusalReason};
use super::event::{CallRequest, Ticket};
use super::program::{ActiveCall, Program, Stage, Waiting, call_id};

/// Relation of a request to the calls of its program.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CallMatch {
    /// No call matches the request.
    New,
    /// The request matches the active or ended call at this position.
    Same(Sequence),
    /// The request matches the waiting call at this index.
    Queued(usize),
    /// The key or position of the request belongs to another call.
    Conflict(RefusalReason),
}

impl Owner {
    pub(super) fn submit(&mut self, now: Duration, ticket: Ticket, request: CallRequest) {
        let id = request.program.clone();
        let program = self.programs.get(&id);
        let Some(program) = program.filter(|program| program.is_durable) else {
            let is_owned = self.shards.contains_key(&id.shard(self.config.shard_count));
            return self.refuse(ticket, unknown_program(is_owned));
        };
        match match_call(program, &request) {
            CallMatch::Conflict(reason) => self.refuse(ticket, reason),
            CallMatch::Same(sequence) => self.join(now, ticket, sequence, request),
            CallMatch::Queued(index) => self.join_waiting(ticket, &id, index),
            CallMatch::New => self.accept(now, ticket, request),
        }
    }

    /// Attaches a caller to the active or ended call that its request matches,
    /// and starts the next attempt of that call if it is parked.
    fn join(&mut self, now: Duration, ticket: Ticket, sequence: Sequence, request: CallRequest) {
        let id = request.program.clone();
        let program = self.programs.get_mut(&id).expect("the program exists");
        let call = call_id(&id, sequence);
        if let Some(turn) = program.turns.get(&sequence) {
            let recorded = turn.unwritten.as_ref().is_none_or(|turn| turn.is_reported);
            self.count(Metric::Joined);
            self.out.push(Action::Follow {
                ticket,
                call,
                recorded,
            });
            return;
        }
        let active = program.active_at(sequence).expect("the call is active");
        let is_parked = matches!(active.stage, Stage::Parked);
        if is_parked && let Some(reason) = self.admission_refusal(now, &request) {
            return self.refuse(ticket, reason);
        }
        self.count(Metric::Joined);
        self.out.push(Action::Follow {
            ticket,
            call,
            recorded: false,
        });
        let program = self.programs.get_mut(&id).expect("the program exists");
        let active = program.active_at(sequence).expect("the call is active");
        active.request.get_or_insert_with(|| Arc::new(request));
        if is_parked {
            active.tries = 0;
            active.excluded.clear();
            self.begin_attempt(now, &id);
        }
    }

    fn join_waiting(&mut self, ticket: Ticket, id: &ProgramId, index: usize) {
        self.count(Metric::Joined);
        let program = self.programs.get_mut(id).expect("the program exists");
        program.waiting[index].tickets.push(ticket);
    }

    /// Queues a new call, or refuses it at once.
    fn accept(&mut self, now: Duration, ticket: Ticket, request: CallRequest) {
        if let Some(reason) = self.admission_refusal(now, &request) {
            return self.refuse(ticket, reason);
        }
        let id = request.program.clone();
        let max_queued = self.config.max_waiting;
        let program = self.programs.get_mut(&id).expect("the program exists");
        if program.waiting.len() >= max_queued {
            return self.refuse(ticket, RefusalReason::ProgramQueueFull);
        }
        program.waiting.push_back(Waiting {
            request: Arc::new(request),
            tickets: vec![ticket],
            gap_since: None,
        });
        self.schedule(now, &id);
    }

    /// Returns why a call can't run now, regardless of its position, or `None`
    /// if it can.
    pub(super) fn admission_refusal(
        &mut self,
        now: Duration,
        request: &CallRequest,
    ) -> Option<RefusalReason> {
        let program = self.programs.get(&request.program)?;
        if let Some(reason) = program.end_reason() {
            return Some(RefusalReason::ProgramEnded(reason));
        }
        if self.shards.get(&program.shard)?.is_leaving {
            return Some(RefusalReason::ShardLeaving);
        }
        if self.suspicion.is_quarantined(&request.fingerprint) {
            return Some(RefusalReason::Quarantined);
        }
        if request.deadline.is_some_and(|deadline| deadline <= now) {
            return Some(RefusalReason::Deadline);
        }
        if !self.is_answering && !request.repeatable {
            return Some(RefusalReason::TableUnavailable);
        }
        if self.uncommitted >= self.config.max_uncommitted
            || self.uncommitted_bytes >= self.config.max_uncommitted_bytes
        {
            return Some(RefusalReason::UncommittedFull);
        }
        let worst_case_tokens = request.worst_case_tokens();
        let account = self.account_of(&request.program)?;
        account
            .is_short_of(worst_case_tokens)
            .then_some(RefusalReason::BudgetExhausted)
    }

    /// Starts the next waiting call if the call before it has ended.
    pub(super) fn schedule(&mut self, now: Duration, id: &ProgramId) {
        let Some(program) = self.programs.get_mut(id) else {
            return;
        };
        let (startable, position) = match program.active.as_deref() {
            None => {
                let position = program.next_sequence;
                (program.first_startable(position), position)
            }
            // A parked call that no caller requests blocks only the calls that
            // name a position; a call without a position supersedes it.
            Some(active) if matches!(active.stage, Stage::Parked) => {
                (program.first_unnumbered(), active.sequence)
            }
            Some(_) => return,
        };
        let Some(index) = startable else {
            return self.record_gap(now, id, position);
        };
        let waiting = program.waiting.remove(index).expect("the index is valid");
        if program.active.is_some() {
            self.supersede(id);
        }
        self.start(now, id, waiting);
    }

    /// Refuses the waiting calls whose position was given to another call, and
    /// records the time since which the others wait for the missing call.
    fn record_gap(&mut self, now: Duration, id: &ProgramId, position: Sequence) {
        let program = self.programs.get_mut(id).expect("the program exists");
        let (late, early) = std::mem::take(&mut program.waiting)
            .into_iter()
            .partition(|waiting| waiting.request.sequence < Some(position));
        program.waiting = early;
        for waiting in &mut program.waiting {
            waiting.gap_since.get_or_insert(now);
        }
        self.refuse_waiting(late, RefusalReason::WrongSequence);
    }

    pub(super) fn refuse_waiting(
        &mut self,
        waiting: std::collections::VecDeque<Waiting>,
        reason: RefusalReason,
    ) {
        for ticket in waiting.into_iter().flat_map(|waiting| waiting.tickets) {
            self.refuse(ticket, reason);
        }
    }

    /// Starts a waiting call at the next position, or ends the program if the
    /// call exceeds a limit.
    fn start(&mut self, now: Duration, id: &ProgramId, waiting: Waiting) {
        let loop_limit = self.config.loop_limit;
        let program = self.programs.get_mut(id).expect("the program exists");
        let position = program.next_sequence;
        let limit = if position > program.turn_limit {
            Some(EndReason::TurnLimit)
        } else if program.repeats(&waiting.request.fingerprint) >= loop_limit {
            Some(EndReason::LoopLimit)
        } else {
            None
        };
        if let Some(reason) = limit {
            program.waiting.push_front(waiting);
            return self.end_by_limit(now, id, reason);
        }
        let call = call_id(id, position);
        for ticket in &waiting.tickets {
            self.out.push(Action::Follow {
                ticket: *ticket,
                call: call.clone(),
                recorded: false,
            });
        }
        let program = self.programs.get_mut(id).expect("the program exists");
        for waiting in &mut program.waiting {
            waiting.gap_since = None;
        }
        let active = ActiveCall::new(position, waiting.request);
        if let Some(key) = &active.key {
            program.keys.insert(key.clone(), position);
        }
        program.next_sequence = position + 1;
        program.active = Some(Box::new(active));
        self.begin_attempt(now, id);
    }

    /// Removes a caller from all queues, and drops the waiting calls that have
    /// no caller left.
    pub(super) fn caller_disconnected(&mut self, ticket: Ticket) {
        for program in self.programs.values_mut() {
            program.openers.retain(|opener| *opener != ticket);
            program.enders.retain(|ender| *ender != ticket);
            for waiting in &mut program.waiting {
                waiting.tickets.retain(|waits| *waits != ticket);
            }
            program
                .waiting
                .retain(|waiting| !waiting.tickets.is_empty());
        }
    }
}

fn unknown_program(is_owned: bool) -> RefusalReason {
    match is_owned {
        true => RefusalReason::UnknownProgram,
        false => RefusalReason::NotOwner,
    }
}

/// Matches a request to an existing call, first by its key, then by its
/// position.
fn match_call(program: &Program, request: &CallRequest) -> CallMatch {
    if let Some(key) = &request.key {
        if let Some(sequence) = program.keys.get(key.as_str()) {
            return same_by_key(program, request, *sequence);
        }
        let waits = |waiting: &Waiting| waiting.request.key.as_deref() == Some(key);
        if let Some(index) = program.waiting.iter().position(waits) {
            let is_same = program.waiting[index].request.body_digest == request.body_digest;
            return match is_same {
                true => CallMatch::Queued(index),
                false => CallMatch::Conflict(RefusalReason::KeyReused),
            };
        }
    }
    match request.sequence {
        None => CallMatch::New,
        Some(sequence) => same_by_sequence(program, request, sequence),
    }
}

fn same_by_key(program: &Program, request: &CallRequest, sequence: Sequence) -> CallMatch {
    if known_digest(program, sequence) != Some(&request.body_digest) {
        return CallMatch::Conflict(RefusalReason::KeyReused);
    }
    match request.sequence {
        Some(other) if other != sequence => CallMatch::Conflict(RefusalReason::WrongSequence),
        _ => CallMatch::Same(sequence),
    }
}

fn same_by_sequence(program: &Program, request: &CallRequest, sequence: Sequence) -> CallMatch {
    let waits = |waiting: &Waiting| waiting.request.sequence == Some(sequence);
    if let Some(index) = program.waiting.iter().position(waits) {
        return match is_same_call(request, &program.waiting[index]) {
            true => CallMatch::Queued(index),
            false => CallMatch::Conflict(RefusalReason::WrongSequence),
        };
    }
    if let Some(digest) = known_digest(program, sequence) {
        let has_key = request.key.is_some() && known_key(program, sequence).is_some();
        if digest == request.body_digest && !has_key {
            return CallMatch::Same(sequence);
        }
        return CallMatch::Conflict(RefusalReason::WrongSequence);
    }
    match sequence < program.next_sequence {
        true => CallMatch::Conflict(RefusalReason::WrongSequence),
        false => CallMatch::New,
    }
}

/// Returns whether a request matches the waiting call at the same position.
/// If both have a key, the keys differ, because [`match_call`] looks up equal
/// keys first.
fn is_same_call(request: &CallRequest, waiting: &Waiting) -> bool {
    let has_key = request.key.is_some() && waiting.request.key.is_some();
    !has_key && waiting.request.body_digest == request.body_digest
}

fn known_digest(program: &Program, sequence: Sequence) -> Option<&str> {
    let active = program.active.as_deref();
    match active.filter(|call| call.sequence == sequence) {
        Some(call) => Some(&call.body_digest),
        None => Some(&program.turns.get(&sequence)?.body_digest),
    }
}

fn known_key(program: &Program, sequence: Sequence) -> Option<&str> {
    let active = program.active.as_deref();
    match active.filter(|call| call.sequence == sequence) {
        Some(call) => call.key.as_deref(),
        None => program.turns.get(&sequence)?.key.as_deref(),
    }
}
