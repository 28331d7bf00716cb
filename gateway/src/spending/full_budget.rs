//! Handling of a turn for which the cached ledger of its program has no room.
//!
//! The ledger may be out of date, running turns may settle for fewer tokens than they
//! reserved, processes that hold reservations may be dead, and escrow slots can be
//! closed. Each possibility is checked before the turn is refused.

use std::time::Duration;

use rosebend_coordination::gateway::ledger::FilledBy;
use rosebend_coordination::gateway::pending_changes::Outcome;
use rosebend_transport::event::{Amount, Event, EventKind};

use super::Spending;
use crate::call::Call;
use crate::reply::Refusal;
use crate::{escrow, programs, reservation_lookup};

/// Time that a turn waits for the settlement of another turn that has ended. It covers
/// several writes to the store. A refusal would cost the caller a new connection and one
/// of its few retries.
const SETTLE_TIMEOUT: Duration = Duration::from_millis(120);
/// Pause before the second check whether the other turn is settled. It doubles after
/// every check.
const INITIAL_SETTLE_POLL_INTERVAL: Duration = Duration::from_millis(15);

impl Spending {
    /// Requests the reservation again, with the tokens that are withheld for escrow slots
    /// and those reserved by dead processes, and repeats this while a live process or an
    /// escrow slot is settling a turn.
    pub(super) async fn retry_exhausted_reservation(&mut self, call: &Call) -> Result<(), Refusal> {
        // The spent tokens never decrease, so that a newer ledger would not have room
        // either.
        if self.filled_by() == FilledBy::Spent {
            self.is_settled = true;
            return Err(self.refuse_exhausted(call));
        }
        let until = self.gateway.clock.now() + SETTLE_TIMEOUT;
        let mut pause = INITIAL_SETTLE_POLL_INTERVAL;
        if self.filled_by() == FilledBy::Withheld {
            self.close_slots().await;
            self.request_reservation(Vec::new());
            if self.reservation_outcome().await? != Some(Outcome::Exhausted) {
                return Ok(());
            }
        }
        loop {
            // Other turns may have settled for fewer tokens since the ledger was read.
            programs::refresh_ledger(&self.gateway, &self.program).await?;
            if self.filled_by() == FilledBy::Spent {
                self.is_settled = true;
                return Err(self.refuse_exhausted(call));
            }
            let may_have_grants =
                self.escrow.takes_grants() || self.filled_by() == FilledBy::Withheld;
            let is_closing = may_have_grants && self.close_slots().await;
            let lookup =
                reservation_lookup::look_up(&self.gateway, &self.program, &call.request_log)
                    .await?;
            let has_dead_holders = !lookup.dead_processes.is_empty();
            self.request_reservation(lookup.dead_processes);
            if self.reservation_outcome().await? != Some(Outcome::Exhausted) {
                return Ok(());
            }
            let is_timed_out = self.gateway.clock.now() >= until;
            // The holders of reservations in a newer ledger have not been asked yet.
            let is_newer = self.gateway.commits.cached_version(&self.program) != lookup.version;
            match lookup.is_settling || is_closing || is_newer {
                true if is_timed_out => {
                    self.is_settled = true;
                    return Err(self.refuse_unsettled(call, "settling"));
                }
                true => {
                    tokio::time::sleep(pause).await;
                    pause *= 2;
                }
                false => {
                    self.is_settled = true;
                    // The budget may have room for the turn, but this cannot be
                    // determined now.
                    let is_withheld = self.filled_by() == FilledBy::Withheld;
                    let is_open = may_have_grants && !self.escrow.is_closed();
                    return Err(match (is_withheld, has_dead_holders && is_open) {
                        (true, _) => self.refuse_unsettled(call, "slot-gone"),
                        (false, true) => self.refuse_unsettled(call, "holder-gone"),
                        (false, false) => self.refuse_exhausted(call),
                    });
                }
            }
        }
    }

    /// Asks the owners of the program's open slots to close them. Returns whether a slot
    /// waits for the settlement of its grants.
    async fn close_slots(&mut self) -> bool {
        if self.escrow.is_closed() {
            return false;
        }
        let close_replies = escrow::close(&self.gateway, &self.program).await;
        self.escrow = std::mem::take(&mut self.escrow).with_close_replies(&close_replies);
        close_replies.is_settling
    }

    /// Returns the reason why the budget has no room for the turn. The result is
    /// meaningful only if the turn does not fit.
    pub(super) fn filled_by(&self) -> FilledBy {
        let account = self.gateway.commits.account(&self.program);
        account.filled_by(self.max_output_tokens, self.budget_tokens)
    }

    /// Logs the program's account, so that the refusal can be explained, and returns a
    /// refusal for an exhausted budget.
    fn refuse_exhausted(&self, call: &Call) -> Refusal {
        let filled_by = self.filled_by();
        self.gateway.metrics.count_budget_refusal(filled_by);
        self.log_account(call, EventKind::SpendingRefused, filled_by.as_str());
        Refusal::BudgetSpent
    }

    /// Logs the program's account and returns a refusal for a budget of which it is
    /// unknown whether it has room for the turn.
    fn refuse_unsettled(&self, call: &Call, reason: &'static str) -> Refusal {
        self.log_account(call, EventKind::SpendingUnsettled, reason);
        Refusal::BudgetUnsettled
    }

    fn log_account(&self, call: &Call, kind: EventKind, reason: &'static str) {
        let account = self.gateway.commits.account(&self.program);
        let held = account.reserved_by_process.iter();
        let mut holders: Vec<String> = held
            .map(|(holder, tokens)| format!("{holder}:{tokens}"))
            .collect();
        if kind == EventKind::SpendingUnsettled {
            let slots = self.escrow.slot_states();
            holders.extend(slots.map(|(slot, state)| format!("slot-{slot}:{state}")));
        }
        let event = Event::new(kind)
            .reason(reason)
            .amount(Amount::Budget, self.budget_tokens)
            .amount(Amount::Most, self.max_output_tokens)
            .amount(Amount::Spent, account.spent_tokens)
            .amount(Amount::Reserved, account.reserved_tokens)
            .holders(&holders.join(","))
            .elapsed(call.elapsed(self.gateway.clock.now()));
        call.request_log.add_step(event);
    }
}
