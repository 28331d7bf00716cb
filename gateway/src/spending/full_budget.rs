//! What becomes of a turn that its program's ledger does not hold.
//!
//! The ledger may be old, running turns may settle for less, hosts that held tokens may be
//! gone, and escrow slots may be closed. Each is looked at before the turn is refused.

use std::time::Duration;

use rosebend_coordination::gateway::ledger::FilledBy;
use rosebend_coordination::gateway::pending_changes::Outcome;
use rosebend_transport::event::{Amount, Event, EventKind};

use super::Spending;
use crate::call::Call;
use crate::reply::Refusal;
use crate::{escrow, programs, reservation_lookup};

/// How long a turn waits here for the settlement of another one that has ended: several
/// writes. A refusal costs its caller a new connection and one of few retries.
const SETTLE_WAIT: Duration = Duration::from_millis(120);
/// Pause before the second look whether it is settled; each next one is twice as long.
const FIRST_SETTLE_POLL: Duration = Duration::from_millis(15);

impl Spending {
    /// Asks for the turn's most with what is withheld and what gone hosts held, and
    /// while a host that lives is settling a turn, once more.
    pub(super) async fn recall(&mut self, call: &Call) -> Result<(), Refusal> {
        // What ended turns have spent is never less later on.
        if self.filled_by() == FilledBy::Spent {
            self.is_settled = true;
            return Err(self.exhausted(call));
        }
        let until = self.gateway.clock.now() + SETTLE_WAIT;
        let mut pause = FIRST_SETTLE_POLL;
        if self.filled_by() == FilledBy::Withheld {
            self.close_slots().await;
            self.ask(Vec::new());
            if self.outcome().await? != Some(Outcome::Exhausted) {
                return Ok(());
            }
        }
        loop {
            // Others may have settled for less since the ledger was read.
            programs::refresh_ledger(&self.gateway, &self.program).await?;
            if self.filled_by() == FilledBy::Spent {
                self.is_settled = true;
                return Err(self.exhausted(call));
            }
            let may_have_grants =
                self.escrow.takes_grants() || self.filled_by() == FilledBy::Withheld;
            let is_closing = may_have_grants && self.close_slots().await;
            let recalled =
                reservation_lookup::look_up(&self.gateway, &self.program, &call.trail).await?;
            let may_be_gone = !recalled.dead_processes.is_empty();
            self.ask(recalled.dead_processes);
            if self.outcome().await? != Some(Outcome::Exhausted) {
                return Ok(());
            }
            let is_over = self.gateway.clock.now() >= until;
            // Holders of a newer ledger were not asked yet.
            let is_newer = self.gateway.commits.version(&self.program) != recalled.version;
            match recalled.is_settling || is_closing || is_newer {
                true if is_over => {
                    self.is_settled = true;
                    return Err(self.unsettled(call, "settling"));
                }
                true => {
                    tokio::time::sleep(pause).await;
                    pause *= 2;
                }
                false => {
                    self.is_settled = true;
                    // The budget may hold the turn, and nobody can tell now.
                    let is_withheld = self.filled_by() == FilledBy::Withheld;
                    let is_open = may_have_grants && !self.escrow.is_closed();
                    return Err(match (is_withheld, may_be_gone && is_open) {
                        (true, _) => self.unsettled(call, "slot-gone"),
                        (false, true) => self.unsettled(call, "holder-gone"),
                        (false, false) => self.exhausted(call),
                    });
                }
            }
        }
    }

    /// Asks the owners of the program's open slots to close them. Returns whether
    /// one waits for its grants to be settled.
    async fn close_slots(&mut self) -> bool {
        if self.escrow.is_closed() {
            return false;
        }
        let answers = escrow::close(&self.gateway, &self.program).await;
        self.escrow = std::mem::take(&mut self.escrow).with_close_replies(&answers);
        answers.is_settling
    }

    /// What keeps the budget from holding the turn, if it does not.
    fn filled_by(&self) -> FilledBy {
        let account = self.gateway.commits.account(&self.program);
        account.filled_by(self.most_tokens, self.budget_tokens)
    }

    /// Writes what fills the budget, so that a refusal can be explained.
    fn exhausted(&self, call: &Call) -> Refusal {
        let filled_by = self.filled_by();
        self.gateway.metrics.count_budget_refusal(filled_by);
        self.write_account(call, EventKind::SpendingRefused, filled_by.as_str());
        Refusal::BudgetSpent
    }

    /// The same where nobody can tell whether the budget holds the turn.
    fn unsettled(&self, call: &Call, reason: &'static str) -> Refusal {
        self.write_account(call, EventKind::SpendingUnsettled, reason);
        Refusal::BudgetUnsettled
    }

    fn write_account(&self, call: &Call, kind: EventKind, reason: &'static str) {
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
            .amount(Amount::Most, self.most_tokens)
            .amount(Amount::Spent, account.spent_tokens)
            .amount(Amount::Reserved, account.reserved_tokens)
            .holders(&holders.join(","))
            .elapsed(call.elapsed(self.gateway.clock.now()));
        call.trail.step(event);
    }
}
