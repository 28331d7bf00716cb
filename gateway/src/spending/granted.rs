//! Events of a turn that runs on an escrow grant.
//!
//! The first grant of a turn covers a part of its maximum output tokens. It can't always be
//! extended: its owner may be stopping or may have died, or may have closed the slot for the
//! program, or the program's share may be used up. The turn is running then, and must not end
//! because of that. It waits until the owner or its successor extends the grant, or until it
//! has a reservation instead.

use std::time::Duration;

use rosebend_coordination::gateway::ledger::FilledBy;
use rosebend_coordination::gateway::pending_changes::Outcome;

use super::Spending;
use crate::call::Call;
use crate::escrow;
use crate::interruption::Interruption;
use crate::reply::Refusal;

/// Interval between two requests to extend a grant, and between two requests for a
/// reservation. A successor learns of its slots by one read of the store.
const RETRY_INTERVAL: Duration = Duration::from_millis(40);

impl Spending {
    /// Waits until all events that were counted may be delivered.
    ///
    /// # Errors
    ///
    /// Returns the interruption of the answer if the program's budget has no room for them.
    pub async fn cover_events(&mut self, call: &Call) -> Result<(), Interruption> {
        self.is_uncovered = true;
        while !self.extend_grant().await {
            if self.pending_reservation.is_some() {
                self.wait_for_late_reservation().await;
            } else if self.gateway.check_reachable(&self.program).is_ok() {
                self.replace_grant(call).await?;
            } else {
                tokio::time::sleep(RETRY_INTERVAL).await;
            }
        }
        self.is_uncovered = false;
        Ok(())
    }

    /// Returns whether the turn waits for permission to deliver events.
    pub fn is_uncovered(&self) -> bool {
        self.is_uncovered
    }

    /// Extends the grant, if the turn depends on one, to cover all events that were counted.
    /// Returns whether they may be delivered.
    async fn extend_grant(&mut self) -> bool {
        let Some(grant) = self.grant.as_ref().filter(|_| !self.is_reserved) else {
            return true;
        };
        let context = self.grant_context();
        let extended = escrow::extend(&self.gateway, &context, grant, self.emitted_tokens());
        let extended = extended.await;
        if let (Some(grant), Some(tokens)) = (&mut self.grant, extended) {
            grant.tokens = tokens;
        }
        extended.is_some()
    }

    /// Waits for the reservation that was late, but no longer than until the owner is asked
    /// again.
    async fn wait_for_late_reservation(&mut self) {
        let outcome = tokio::time::timeout(RETRY_INTERVAL, self.reservation_outcome()).await;
        self.is_reserved = matches!(outcome, Ok(Ok(Some(Outcome::Durable))));
    }

    /// Moves the granted tokens into the ledger, and reserves the rest of the turn's maximum
    /// there. The slot can then be closed for the program, so that its share no longer limits
    /// the reservation.
    async fn replace_grant(&mut self, call: &Call) -> Result<(), Interruption> {
        let Some(grant) = self.grant.take() else {
            return Ok(());
        };
        self.settled_tokens = grant.tokens;
        self.max_output_tokens = self.max_output_tokens.saturating_sub(grant.tokens);
        self.settle_grant(grant, self.settled_tokens);
        loop {
            self.is_settled = false;
            self.request_reservation(Vec::new());
            match self.wait_for_reservation(call).await {
                Ok(()) => return Ok(()),
                Err(Refusal::BudgetSpent) if self.filled_by() == FilledBy::Spent => {
                    return Err(Interruption::BudgetSpent);
                }
                // Other turns are running or being settled, or the owner of a slot does not
                // respond.
                Err(_) => tokio::time::sleep(RETRY_INTERVAL).await,
            }
        }
    }
}
