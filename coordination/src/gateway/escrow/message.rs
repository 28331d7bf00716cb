//! Messages between a host whose turn needs a slot and the slot's owner.

use std::time::Duration;

use rosebend_state::deployment::{ProgramKey, RowVersion};
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use super::GrantId;
use super::accounts::{Accounts, GrantRequest};
use super::slot::SlotId;
use crate::gateway::ledger::ProcessId;

/// A question to a slot's owner. It may be repeated.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Question {
    /// Answers carry the same number.
    pub number: u64,
    /// The run that asks.
    pub from: ProcessId,
    /// The run that is asked; no other one answers.
    pub to: ProcessId,
    /// The slot.
    pub slot: SlotId,
    /// What is asked.
    pub ask: Ask,
}

/// What a run is asked.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Ask {
    /// A slot's owner is asked about a program.
    Program(ProgramKey, ProgramAsk),
    /// The owner stops: whether the run that is asked would take the slot over.
    Accept,
    /// The owner stops while the store is unavailable: the one that is asked owns
    /// the slot from now on.
    TakeOver {
        /// What the owner has granted and closed.
        accounts: Accounts,
        /// The slot's fence.
        fence: RowVersion,
    },
    /// The run that asks has taken the slot over from this one.
    Moved(ProcessId),
}

/// What a slot's owner is asked about a program.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum ProgramAsk {
    /// A turn wants a grant, or a larger one.
    Grant(GrantRequest),
    /// A granted turn has ended with so many tokens.
    Report(GrantId, u64),
    /// The ledger has a grant.
    Settle(GrantId),
    /// The ledger needs what the slot may grant of the program's budget.
    Close,
}

/// What a slot's owner answers.
#[serde_as]
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Reply {
    /// The turn may spend what it wants.
    Granted,
    /// The program's share does not hold the turn.
    Refused,
    /// The owner holds off for so long.
    HeldOff {
        /// Time until it grants again.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        wait_ms: Duration,
    },
    /// The slot is closed for the program.
    Closed {
        /// The slot's fence.
        fence: RowVersion,
    },
    /// The slot will be closed once the grants are in the ledger.
    Outstanding,
    /// It is noted.
    Noted,
    /// The one that was asked does not own the slot.
    NotOwner,
}

/// An answer to a question.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Answer {
    /// Number of the question.
    pub number: u64,
    /// The run that asked.
    pub to: ProcessId,
    /// The answer.
    pub reply: Reply,
}
