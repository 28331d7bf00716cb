//! Effects of the passing of time and of table outages.
//!
//! Ticks enforce limits, deadlines and timeouts, and repeat claims. When the
//! table stops answering, calls that cannot continue without it are refused.

use std::time::Duration;

use rosebend_state::id::ProgramId;
use rosebend_state::record::EndReason;

use super::Owner;
use super::account::Reservation;
use super::action::{RefusalReason, Reply};
use super::program::{Program, Stage, Waiting};

impl Owner {
    /// Handles everything that is due at `now`.
    pub(super) fn tick(&mut self, now: Duration) {
        let due = self
            .programs
            .iter()
            .filter(|(_, program)| may_be_due(now, program));
        let due: Vec<ProgramId> = due.map(|(id, _)| id.clone()).collect();
        for id in due {
            self.tick_program(now, &id);
        }
    }

    fn tick_program(&mut self, now: Duration, id: &ProgramId) {
        let program = &self.programs[id];
        if program.end_reason().is_none() && program.age(now) >= program.wall_limit {
            self.end_by_limit(now, id, EndReason::WallLimit);
        }
        self.refuse_overdue(now, id);
        self.retry_claim(now, id);
    }

    /// Refuses calls that have waited too long for a preceding call, or whose
    /// deadline has passed.
    fn refuse_overdue(&mut self, now: Duration, id: &ProgramId) {
        let gap_wait = self.config.gap_wait;
        let program = self.programs.get_mut(id).expect("tick() found the program");
        let mut refused = Vec::new();
        program.waiting.retain(|waiting| {
            let reason = overdue(now, gap_wait, waiting);
            refused.extend(reason.map(|reason| (reason, waiting.tickets.clone())));
            reason.is_none()
        });
        let active = program.active.as_deref();
        let is_late = active.is_some_and(|call| {
            let deadline = call.request.as_ref().and_then(|request| request.deadline);
            matches!(call.stage, Stage::AwaitingBudget)
                && deadline.is_some_and(|deadline| deadline <= now)
        });
        for (reason, tickets) in refused {
            for ticket in tickets {
                self.refuse(ticket, reason);
            }
        }
        if is_late {
            self.end_not_run(now, id, RefusalReason::Deadline, None);
        }
    }

    /// Sends another claim for a call's outcome to a sidecar that has not
    /// replied, or ends the claim if its timeout has passed.
    fn retry_claim(&mut self, now: Duration, id: &ProgramId) {
        let interval = self.config.claim_interval;
        let claim_wait = self.config.claim_wait;
        let program = self.programs.get_mut(id).expect("tick() found the program");
        let Some(active) = program.active.as_deref_mut() else {
            return;
        };
        let Stage::Claiming { since, next_at, .. } = &mut active.stage else {
            return;
        };
        if now.saturating_sub(*since) >= claim_wait {
            return self.claim_expired(now, id);
        }
        if *next_at <= now {
            *next_at = now + interval;
            self.send_claim(id);
        }
    }

    /// Records whether the table answers, and handles the start of an outage.
    pub(super) fn table_state(&mut self, now: Duration, is_answering: bool) {
        let was_answering = std::mem::replace(&mut self.is_answering, is_answering);
        if was_answering && !is_answering {
            let ids: Vec<ProgramId> = self.programs.keys().cloned().collect();
            for id in ids {
                self.start_outage(now, &id);
            }
        }
    }

    /// Refuses a program's requests and calls that need the table. Reports the
    /// ends that waited for the table to followers: during an outage, the copy
    /// at the sidecar replaces the copy in the table.
    fn start_outage(&mut self, now: Duration, id: &ProgramId) {
        let program = self
            .programs
            .get_mut(id)
            .expect("table_state() found the program");
        let mut undecided = std::mem::take(&mut program.openers);
        undecided.append(&mut program.enders);
        let (refused, kept) = std::mem::take(&mut program.waiting)
            .into_iter()
            .partition(|waiting| !waiting.request.repeatable);
        program.waiting = kept;
        let unreported = program.turns.iter().filter(|(_, turn)| {
            let unwritten = turn.unwritten.as_ref();
            unwritten.is_some_and(|unwritten| !unwritten.is_reported)
        });
        let unreported: Vec<_> = unreported.map(|(sequence, _)| *sequence).collect();
        for ticket in undecided {
            let retry_after = self.retry_after();
            self.reply(ticket, Reply::Undecided { retry_after });
        }
        self.refuse_waiting(refused, RefusalReason::TableUnavailable);
        for sequence in unreported {
            self.report_end(id, sequence);
        }
        if self.needs_table(id) {
            self.release(id);
            self.end_not_run(now, id, RefusalReason::TableUnavailable, None);
        }
    }

    /// Returns whether the active call cannot continue without the table.
    fn needs_table(&mut self, id: &ProgramId) -> bool {
        let Some(active) = self.programs[id].active.as_deref() else {
            return false;
        };
        let worst_case_tokens = active
            .request
            .as_ref()
            .map_or(0, |request| request.worst_case_tokens());
        match active.stage {
            Stage::CommittingIntent(_) => true,
            Stage::AwaitingBudget if !active.repeatable => true,
            Stage::Placing => !active.repeatable,
            Stage::AwaitingBudget => self
                .account_of(id)
                .is_some_and(|account| account.prospect(worst_case_tokens) == Reservation::Draw),
            Stage::Parked | Stage::InFlight(_) | Stage::Claiming { .. } => false,
        }
    }
}

/// Returns whether a limit, deadline, timeout or claim of a program may be due.
fn may_be_due(now: Duration, program: &Program) -> bool {
    let is_past_limit = program.end_reason().is_none() && program.age(now) >= program.wall_limit;
    let active = program.active.as_deref();
    let waits_for_time = active
        .is_some_and(|call| matches!(call.stage, Stage::AwaitingBudget | Stage::Claiming { .. }));
    is_past_limit || waits_for_time || !program.waiting.is_empty()
}

/// Returns the reason why a waiting call is refused, if it has waited too long.
fn overdue(now: Duration, gap_wait: Duration, waiting: &Waiting) -> Option<RefusalReason> {
    let deadline = waiting.request.deadline;
    if deadline.is_some_and(|deadline| deadline <= now) {
        return Some(RefusalReason::Deadline);
    }
    let gap = waiting.gap_since.map(|since| now.saturating_sub(since));
    gap.is_some_and(|gap| gap >= gap_wait)
        .then_some(RefusalReason::SequenceGap)
}
