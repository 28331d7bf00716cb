//! Requests of turns to the owners of their program's escrow slots.

use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use rosebend_coordination::gateway::escrow::accounts::GrantRequest;
use rosebend_coordination::gateway::escrow::message::{Ask, ProgramAsk, Reply};
use rosebend_coordination::gateway::escrow::slot::SlotId;
use rosebend_coordination::gateway::escrow::terms::CloseReplies;
use rosebend_coordination::gateway::escrow::{GrantId, first_grant_tokens};
use rosebend_coordination::gateway::history::partition_of;
use rosebend_coordination::gateway::pending_changes::Outcome;
use rosebend_state::deployment::ProgramKey;
use rosebend_util::random_id;
use tokio::sync::oneshot;

use super::write_slots;
use crate::gateway::Gateway;

/// Pause before a settlement is reported again to an owner that did not answer.
const SETTLE_RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of reports of a settlement. An owner that receives none of them
/// continues to count the grant, and grants the program less.
const MAX_SETTLE_ATTEMPTS: u32 = 5;

/// Permission of a turn to spend tokens while the store is unavailable.
#[derive(Clone, Debug)]
pub struct Grant {
    slot: SlotId,
    /// Identifier of the grant in the ledger.
    pub id: GrantId,
    /// Number of tokens that were granted.
    pub tokens: u64,
}

/// Program and token limits of a turn that requests a grant.
#[derive(Clone, Copy, Debug)]
pub struct GrantContext<'a> {
    /// Program of the turn.
    pub program: &'a str,
    /// Maximum output tokens of the turn.
    pub max_output_tokens: u64,
    /// Budget of the program, in tokens.
    pub budget_tokens: u64,
}

impl GrantContext<'_> {
    fn request(&self, grant: GrantId, tokens: u64) -> Ask {
        let request = GrantRequest {
            grant,
            tokens,
            most_tokens: self.max_output_tokens,
            budget_tokens: self.budget_tokens,
        };
        Ask::Program(self.program.to_owned(), ProgramAsk::Grant(request))
    }
}

/// Reason why a turn receives no grant.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GrantError {
    /// An owner holds off and grants again after this time.
    HeldOff(Duration),
    /// No owner answered, or the program's shares have no room for the turn.
    Refused,
}

impl GrantError {
    fn with_hold_off(self, wait: Duration) -> Self {
        match self {
            Self::HeldOff(other) => Self::HeldOff(other.min(wait)),
            Self::Refused => Self::HeldOff(wait),
        }
    }
}

/// Asks the owners of a program's slots for a grant, which replaces a reservation in the
/// ledger.
///
/// # Errors
///
/// Returns whether an owner will grant again soon.
pub async fn grant(gateway: &Rc<Gateway>, context: &GrantContext<'_>) -> Result<Grant, GrantError> {
    let escrow = &gateway.escrow;
    let tokens = first_grant_tokens(context.max_output_tokens);
    let mut error = GrantError::Refused;
    for slot in SlotId::of_partition(&partition_of(context.program)) {
        let now = gateway.clock.now();
        if escrow.is_avoided(&slot, now) {
            continue;
        }
        let id = random_id();
        let request = context.request(id.clone(), tokens);
        let reply = escrow.ask(&slot, request, now).await;
        gateway.metrics.count_escrow_reply(reply_label(reply));
        match reply {
            Some(Reply::Granted) => return Ok(Grant { slot, id, tokens }),
            Some(Reply::HeldOff { wait_ms }) => error = error.with_hold_off(wait_ms),
            None => {
                escrow.avoid(&slot, now);
                let program = context.program.to_owned();
                actix_rt::spawn(report_settled(Rc::clone(gateway), program, slot, id));
            }
            Some(_) => {}
        }
    }
    Err(error)
}

/// Requests an extension of a grant. Returns the granted tokens if they cover the needed
/// tokens.
pub async fn extend(
    gateway: &Gateway,
    context: &GrantContext<'_>,
    grant: &Grant,
    needed_tokens: u64,
) -> Option<u64> {
    if needed_tokens <= grant.tokens {
        return Some(grant.tokens);
    }
    // The margin covers several further events, so that not every event requires a
    // request.
    let margin = first_grant_tokens(context.max_output_tokens) / 2;
    let preferred_tokens = needed_tokens
        .saturating_add(margin)
        .min(context.max_output_tokens);
    for tokens in [preferred_tokens.max(needed_tokens), needed_tokens] {
        let request = context.request(grant.id.clone(), tokens);
        let now = gateway.clock.now();
        let reply = gateway.escrow.ask(&grant.slot, request, now).await;
        gateway.metrics.count_escrow_reply(reply_label(reply));
        if reply == Some(Reply::Granted) {
            return Some(tokens);
        }
    }
    None
}

/// Returns the metric label of a reply.
const fn reply_label(reply: Option<Reply>) -> &'static str {
    match reply {
        Some(Reply::Granted) => "granted",
        Some(Reply::Refused) => "refused",
        Some(Reply::HeldOff { .. }) => "held-off",
        Some(Reply::Closed { .. } | Reply::Outstanding | Reply::Noted) => "noted",
        Some(Reply::NotOwner) => "not-owner",
        None => "silent",
    }
}

/// Reports the tokens that a turn emitted to the owner of its grant, and, after the
/// tokens are in the ledger, reports that the grant is no longer outstanding.
pub async fn settle(
    gateway: Rc<Gateway>,
    program: ProgramKey,
    grant: Grant,
    tokens: u64,
    outcome: oneshot::Receiver<Outcome>,
) {
    let report = ProgramAsk::Report(grant.id.clone(), tokens);
    let report = Ask::Program(program.clone(), report);
    // An owner that does not receive the report counts all granted tokens as spent.
    let now = gateway.clock.now();
    gateway.escrow.ask(&grant.slot, report, now).await;
    if matches!(outcome.await, Ok(Outcome::Durable)) {
        report_settled(gateway, program, grant.slot, grant.id).await;
    }
}

/// Reports to a slot's owner that a grant is not outstanding, because it is in the ledger
/// or because the reply that granted it was not received.
async fn report_settled(gateway: Rc<Gateway>, program: ProgramKey, slot: SlotId, grant: GrantId) {
    for _ in 0..MAX_SETTLE_ATTEMPTS {
        let settle = ProgramAsk::Settle(grant.clone());
        let settle = Ask::Program(program.clone(), settle);
        let now = gateway.clock.now();
        if gateway.escrow.ask(&slot, settle, now).await == Some(Reply::Noted) {
            return;
        }
        tokio::time::sleep(SETTLE_RETRY_INTERVAL).await;
    }
}

/// Asks the owners of a program's slots to close them for the program.
pub async fn close(gateway: &Gateway, program: &str) -> CloseReplies {
    let slots: Vec<SlotId> = SlotId::of_partition(&partition_of(program)).collect();
    let replies = join_all(slots.iter().map(|slot| close_slot(gateway, slot, program))).await;
    let mut close_replies = CloseReplies::default();
    for (slot, reply) in slots.iter().zip(replies) {
        close_replies.add(slot.index, reply);
    }
    close_replies
}

async fn close_slot(gateway: &Gateway, slot: &SlotId, program: &str) -> Option<Reply> {
    let escrow = &gateway.escrow;
    let claim = escrow.slots.borrow().claim_if_unowned(slot);
    if let Some(claim) = claim {
        write_slots(gateway, vec![claim]).await;
    }
    let close = Ask::Program(program.to_owned(), ProgramAsk::Close);
    escrow.ask(slot, close, gateway.clock.now()).await
}
