//! Messages between gateway processes about slots.

use std::time::Duration;

use rosebend_state::deployment::{ProgramKey, RowVersion};
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use super::GrantId;
use super::accounts::{Accounts, GrantRequest};
use super::slot::SlotId;
use crate::gateway::ledger::ProcessId;

/// Request to another process about a slot. It may be sent repeatedly.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Question {
    /// Number of the request, which its answer repeats.
    pub number: u64,
    /// Process that sends the request.
    pub from: ProcessId,
    /// Process that the request is addressed to. No other process answers it.
    pub to: ProcessId,
    /// Slot that the request concerns.
    pub slot: SlotId,
    /// Content of the request.
    pub ask: Ask,
}

/// Content of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Ask {
    /// Asks the owner of the slot about a program.
    Program(ProgramKey, ProgramAsk),
    /// Asks whether the recipient would take over the slot from the sender, which is
    /// stopping.
    Accept,
    /// Makes the recipient the owner of the slot. The sender is stopping while the
    /// store is unavailable.
    TakeOver {
        /// Accounts of the sender, with its grants and closures.
        accounts: Accounts,
        /// Fence version of the slot.
        fence: RowVersion,
    },
    /// Announces that the sender has taken over the slot from this process.
    Moved(ProcessId),
}

/// Requests to the owner of a slot about one program.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum ProgramAsk {
    /// Requests a grant or the extension of a grant.
    Grant(GrantRequest),
    /// Reports that a granted turn has ended after it emitted this number of tokens.
    Report(GrantId, u64),
    /// Reports that a grant is in the ledger.
    Settle(GrantId),
    /// Asks the owner to close the slot for the program, because the ledger needs the
    /// share that it withholds for the slot.
    Close,
}

/// Reply to a request.
#[serde_as]
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum Reply {
    /// The turn may spend the requested tokens.
    Granted,
    /// The owner does not grant the request; for example, the program's share is too
    /// small.
    Refused,
    /// The owner holds off.
    HeldOff {
        /// Time until the owner grants again.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        wait_ms: Duration,
    },
    /// The slot is closed for the program.
    Closed {
        /// Fence version of the slot.
        fence: RowVersion,
    },
    /// The slot makes no new grants to the program and will be closed for it once the
    /// outstanding grants are in the ledger.
    Outstanding,
    /// The recipient has accepted or recorded the request.
    Noted,
    /// The recipient does not own the slot or does not take it over.
    NotOwner,
}

/// Answer to a [`Question`].
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Answer {
    /// Number of the request.
    pub number: u64,
    /// Process that sent the request.
    pub to: ProcessId,
    /// Reply to the request.
    pub reply: Reply,
}
