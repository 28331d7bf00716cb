//! Opening and ending of programs.

use std::time::Duration;

use rosebend_state::id::ProgramId;
use rosebend_state::record::{EndReason, ProgramState};

use super::Owner;
use super::account::Account;
use super::action::{Metric, RefusalReason, Reply};
use super::event::Ticket;
use super::program::{Program, Stage};

/// The parameters with which a program is opened.
#[derive(Debug)]
pub(super) struct Opening {
    pub(super) program: ProgramId,
    pub(super) budget_tokens: u64,
    pub(super) turn_limit: Option<u64>,
    pub(super) wall_limit: Option<Duration>,
    pub(super) body_digest: String,
}

impl Owner {
    /// Opens a program, or replies that it is already open if the same
    /// request opened it. The caller gets the reply once the record is
    /// durable.
    pub(super) fn open(&mut self, now: Duration, ticket: Ticket, opening: Opening) {
        let shard = opening.program.shard(self.config.shard_count);
        match self.shards.get(&shard) {
            None => return self.refuse(ticket, RefusalReason::NotOwner),
            Some(state) if state.is_leaving => {
                return self.refuse(ticket, RefusalReason::ShardLeaving);
            }
            Some(_) => {}
        }
        if let Some(program) = self.programs.get_mut(&opening.program) {
            return match reopen_refusal(program, &opening) {
                Some(reason) => self.refuse(ticket, reason),
                None if program.is_durable => self.reply(ticket, Reply::Opened { created: false }),
                None if self.is_answering => program.openers.push(ticket),
                None => {
                    let retry_after = self.retry_after();
                    self.reply(ticket, Reply::Undecided { retry_after });
                }
            };
        }
        if !self.is_answering {
            return self.refuse(ticket, RefusalReason::TableUnavailable);
        }
        if let Some(reason) = self.parent_refusal(&opening.program) {
            return self.refuse(ticket, reason);
        }
        let mut program = Program::new(shard, now, &opening.body_digest);
        program.turn_limit = opening.turn_limit.unwrap_or(self.config.default_turn_limit);
        program.wall_limit = opening.wall_limit.unwrap_or(self.config.default_wall_limit);
        if opening.program.parent().is_none() {
            program.account = Some(self.new_account(opening.budget_tokens));
        }
        program.openers.push(ticket);
        self.mark_program(&opening.program);
        self.programs.insert(opening.program, program);
    }

    /// Returns an account that draws its first chunk in the commit of the opening.
    fn new_account(&self, budget_tokens: u64) -> Box<Account> {
        let mut account = Account::new(budget_tokens);
        account.drawn_tokens = budget_tokens.min(self.config.budget_chunk_tokens);
        Box::new(account)
    }

    /// Returns the reason why a sub-agent cannot be opened under its parent.
    fn parent_refusal(&self, id: &ProgramId) -> Option<RefusalReason> {
        let parent = id.parent()?;
        match self.programs.get(&parent) {
            None => Some(RefusalReason::UnknownProgram),
            Some(parent) => parent.end_reason().map(RefusalReason::ProgramEnded),
        }
    }

    /// Ends a program and its sub-agents at the request of a caller, or of the
    /// owner itself if there is no ticket. The caller gets the reply when the
    /// end is durable.
    pub(super) fn end(
        &mut self,
        now: Duration,
        ticket: Option<Ticket>,
        id: &ProgramId,
        reason: EndReason,
    ) {
        let is_owned = self.shards.contains_key(&id.shard(self.config.shard_count));
        let refusal = match self.programs.get(id) {
            _ if !is_owned => Some(RefusalReason::NotOwner),
            None => Some(RefusalReason::UnknownProgram),
            // A program that was reported as ended must stay ended, and during an
            // outage of the table its end cannot be made durable.
            Some(_) if !self.is_answering && ticket.is_some() => {
                Some(RefusalReason::TableUnavailable)
            }
            Some(_) => None,
        };
        if let Some(refusal) = refusal {
            return ticket
                .into_iter()
                .for_each(|ticket| self.refuse(ticket, refusal));
        }
        self.end_tree(now, id, reason);
        self.mark_program(id);
        let program = self.programs.get_mut(id).expect("checked above");
        program.enders.extend(ticket);
    }

    /// Ends a program that reached a limit, and counts the limit.
    pub(super) fn end_by_limit(&mut self, now: Duration, id: &ProgramId, reason: EndReason) {
        self.count(Metric::LimitReached(reason));
        self.end_tree(now, id, reason);
    }

    /// Ends a program and its sub-agents.
    fn end_tree(&mut self, now: Duration, id: &ProgramId, reason: EndReason) {
        for descendant in self.descendants(id) {
            self.end_one(now, &descendant, EndReason::ParentEnded);
        }
        self.end_one(now, id, reason);
    }

    /// Returns the sub-agents of a program at all levels.
    fn descendants(&self, id: &ProgramId) -> Vec<ProgramId> {
        let prefix = format!("{}/", id.session());
        self.programs
            .range(id.clone()..)
            .map(|(other, _)| other)
            .take_while(|other| {
                other.customer() == id.customer() && other.session().starts_with(id.session())
            })
            .filter(|other| other.session().starts_with(&prefix))
            .cloned()
            .collect()
    }

    /// Ends one program. A call at an endpoint runs to completion. Calls that
    /// wait or have not been sent are refused.
    fn end_one(&mut self, now: Duration, id: &ProgramId, reason: EndReason) {
        let program = self
            .programs
            .get_mut(id)
            .expect("the caller found the program");
        if program.end_reason().is_some() {
            return;
        }
        program.state = ProgramState::Ended { reason };
        let refusal = RefusalReason::ProgramEnded(reason);
        let waiting = std::mem::take(&mut program.waiting);
        let is_sent = program.is_sent();
        let is_started = program
            .active
            .as_deref()
            .is_some_and(|call| !matches!(call.stage, Stage::Parked));
        self.mark_program(id);
        self.refuse_waiting(waiting, refusal);
        if is_started && !is_sent {
            self.release(id);
            self.end_not_run(now, id, refusal, None);
        }
        self.release_if_ended(id);
    }
}

/// Returns the reason why an existing program cannot be opened again.
fn reopen_refusal(program: &Program, opening: &Opening) -> Option<RefusalReason> {
    if *program.body_digest != *opening.body_digest {
        return Some(RefusalReason::AlreadyOpen);
    }
    program.end_reason().map(RefusalReason::ProgramEnded)
}
