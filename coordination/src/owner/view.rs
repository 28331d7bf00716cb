//! What others may see of a program and its calls.

use std::time::Duration;

use rosebend_state::id::{Epoch, Sequence, Shard};
use rosebend_state::record::{CallKind, ProgramState};

use super::action::CallOutcome;
use super::event::{Attempt, Placement};

/// A program as its owner sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ProgramView {
    /// Whether it takes calls.
    pub state: ProgramState,
    /// Budget of the whole tree of programs.
    pub budget_tokens: u64,
    /// What the whole tree has spent.
    pub spent_tokens: u64,
    /// Worst case of the tree's calls in flight.
    pub reserved_tokens: u64,
    /// Number of calls it may make.
    pub turn_limit: u64,
    /// Time since it was opened.
    pub age: Duration,
    /// Position of the next call.
    pub next_sequence: Sequence,
    /// Calls that wait for their turn.
    pub waiting: usize,
    /// Positions of the calls known, in order.
    pub calls: Vec<Sequence>,
}

/// A call as its owner sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallView {
    /// The caller's idempotency key.
    pub key: Option<String>,
    /// What the call runs on.
    pub kind: CallKind,
    /// The model's or the tool's name.
    pub target: String,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// How far it is.
    pub stage: CallStage,
    /// The last attempt.
    pub attempt: Attempt,
    /// Where the last attempt went or goes.
    pub placement: Option<Placement>,
}

/// How far a call is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallStage {
    /// It has not been sent.
    Waiting,
    /// It was sent to an endpoint.
    InFlight,
    /// It is not under way, until the same request comes again.
    Parked {
        /// Whether it may have run.
        may_have_run: bool,
    },
    /// It ended.
    Ended {
        /// How.
        outcome: CallOutcome,
        /// Whether the end is in the table.
        durable: bool,
    },
}

/// A shard that this entry owns.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ShardView {
    /// The shard.
    pub shard: Shard,
    /// The epoch under which this entry owns it.
    pub epoch: Epoch,
    /// Whether it is being handed over.
    pub leaving: bool,
    /// Programs in memory.
    pub programs: usize,
}
