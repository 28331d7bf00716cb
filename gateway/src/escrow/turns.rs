//! What a turn asks the owners of its program's escrow slots.

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

use super::write;
use crate::gateway::Gateway;

/// Pause before a settlement is reported again to an owner that did not answer.
const SETTLE_AGAIN: Duration = Duration::from_secs(1);
/// Most reports of a settlement. An owner that misses them all grants the program
/// less.
const MAX_SETTLE_TRIES: u32 = 5;

/// A turn's right to spend while the store is unavailable.
#[derive(Clone, Debug)]
pub struct Grant {
    slot: SlotId,
    /// Names it in the ledger.
    pub id: GrantId,
    /// Tokens that it holds.
    pub tokens: u64,
}

/// A turn that wants a grant.
#[derive(Clone, Copy, Debug)]
pub struct Wanted<'a> {
    /// Its program.
    pub program: &'a str,
    /// Most tokens that it generates.
    pub most_tokens: u64,
    /// Budget of the program.
    pub budget_tokens: u64,
}

impl Wanted<'_> {
    fn request(&self, grant: GrantId, tokens: u64) -> Ask {
        let request = GrantRequest {
            grant,
            tokens,
            most_tokens: self.most_tokens,
            budget_tokens: self.budget_tokens,
        };
        Ask::Program(self.program.to_owned(), ProgramAsk::Grant(request))
    }
}

/// Why a turn gets no grant.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Denied {
    /// An owner grants again after this time.
    HeldOff(Duration),
    /// No owner answers, or the program's shares do not hold the turn.
    Refused,
}

impl Denied {
    fn or_sooner(self, wait: Duration) -> Self {
        match self {
            Self::HeldOff(other) => Self::HeldOff(other.min(wait)),
            Self::Refused => Self::HeldOff(wait),
        }
    }
}

/// Asks the owners of a program's slots for a grant in place of a reservation in the
/// ledger.
///
/// # Errors
///
/// Says whether an owner grants again soon.
pub async fn grant(gateway: &Rc<Gateway>, wanted: &Wanted<'_>) -> Result<Grant, Denied> {
    let escrow = &gateway.escrow;
    let tokens = first_grant_tokens(wanted.most_tokens);
    let mut denied = Denied::Refused;
    for slot in SlotId::of_partition(&partition_of(wanted.program)) {
        let now = gateway.clock.now();
        if escrow.is_avoided(&slot, now) {
            continue;
        }
        let id = random_id();
        let request = wanted.request(id.clone(), tokens);
        let reply = escrow.ask(&slot, request, now).await;
        gateway.metrics.count_escrow_reply(word(reply));
        match reply {
            Some(Reply::Granted) => return Ok(Grant { slot, id, tokens }),
            Some(Reply::HeldOff { wait_ms }) => denied = denied.or_sooner(wait_ms),
            None => {
                escrow.avoid(&slot, now);
                let program = wanted.program.to_owned();
                actix_rt::spawn(report_settled(Rc::clone(gateway), program, slot, id));
            }
            Some(_) => {}
        }
    }
    Err(denied)
}

/// Asks for a larger grant. Returns the tokens that it holds from then on, if these
/// are as many as are needed.
pub async fn extend(
    gateway: &Gateway,
    wanted: &Wanted<'_>,
    grant: &Grant,
    needed_tokens: u64,
) -> Option<u64> {
    if needed_tokens <= grant.tokens {
        return Some(grant.tokens);
    }
    // Room for a few events more, so that not each of them has to ask.
    let step = first_grant_tokens(wanted.most_tokens) / 2;
    let ample = needed_tokens.saturating_add(step).min(wanted.most_tokens);
    for tokens in [ample.max(needed_tokens), needed_tokens] {
        let request = wanted.request(grant.id.clone(), tokens);
        let now = gateway.clock.now();
        let reply = gateway.escrow.ask(&grant.slot, request, now).await;
        gateway.metrics.count_escrow_reply(word(reply));
        if reply == Some(Reply::Granted) {
            return Some(tokens);
        }
    }
    None
}

/// Word for counters.
const fn word(reply: Option<Reply>) -> &'static str {
    match reply {
        Some(Reply::Granted) => "granted",
        Some(Reply::Refused) => "refused",
        Some(Reply::HeldOff { .. }) => "held-off",
        Some(Reply::Closed { .. } | Reply::Outstanding | Reply::Noted) => "noted",
        Some(Reply::NotOwner) => "not-owner",
        None => "silent",
    }
}

/// Tells a grant's owner what the turn handed out, and once the ledger has it, that
/// nothing is outstanding.
pub async fn settle(
    gateway: Rc<Gateway>,
    program: ProgramKey,
    grant: Grant,
    tokens: u64,
    outcome: oneshot::Receiver<Outcome>,
) {
    let report = ProgramAsk::Report(grant.id.clone(), tokens);
    let report = Ask::Program(program.clone(), report);
    // An owner that does not hear it counts the turn at its most.
    let now = gateway.clock.now();
    gateway.escrow.ask(&grant.slot, report, now).await;
    if matches!(outcome.await, Ok(Outcome::Durable)) {
        report_settled(gateway, program, grant.slot, grant.id).await;
    }
}

/// Tells a slot's owner that nothing of a grant is outstanding: the ledger has it, or the
/// answer that granted it never came.
async fn report_settled(gateway: Rc<Gateway>, program: ProgramKey, slot: SlotId, grant: GrantId) {
    for _ in 0..MAX_SETTLE_TRIES {
        let settle = ProgramAsk::Settle(grant.clone());
        let settle = Ask::Program(program.clone(), settle);
        let now = gateway.clock.now();
        if gateway.escrow.ask(&slot, settle, now).await == Some(Reply::Noted) {
            return;
        }
        tokio::time::sleep(SETTLE_AGAIN).await;
    }
}

/// Asks the owners of a program's slots to grant it nothing more.
pub async fn close(gateway: &Gateway, program: &str) -> CloseReplies {
    let slots: Vec<SlotId> = SlotId::of_partition(&partition_of(program)).collect();
    let replies = join_all(slots.iter().map(|slot| close_slot(gateway, slot, program))).await;
    let mut answers = CloseReplies::default();
    for (slot, reply) in slots.iter().zip(replies) {
        answers.add(slot.index, reply);
    }
    answers
}

async fn close_slot(gateway: &Gateway, slot: &SlotId, program: &str) -> Option<Reply> {
    let escrow = &gateway.escrow;
    let claim = escrow.slots.borrow().claim_if_unowned(slot);
    if let Some(claim) = claim {
        write(gateway, vec![claim]).await;
    }
    let close = Ask::Program(program.to_owned(), ProgramAsk::Close);
    escrow.ask(slot, close, gateway.clock.now()).await
}
