//! Read-only views of programs, calls and shards.

use std::time::Duration;

use rosebend_state::id::{Epoch, Sequence, Shard};
use rosebend_state::record::{CallKind, ProgramState};

use super::action::CallOutcome;
use super::event::{Attempt, Placement};

/// A program as its owner sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ProgramView {
    /// Whether the program accepts calls or has ended.
    pub state: ProgramState,
    /// Budget of the whole tree of programs.
    pub budget_tokens: u64,
    /// Tokens that the whole tree has spent.
    pub spent_tokens: u64,
    /// Sum of the worst cases of the tree's calls in flight, in tokens.
    pub reserved_tokens: u64,
    /// Number of calls that the program may make.
    pub turn_limit: u64,
    /// Time since the program was opened.
    pub age: Duration,
    /// Position of the next call.
    pub next_sequence: Sequence,
    /// Number of calls that wait for a preceding call.
    pub waiting: usize,
    /// Positions of the calls in memory, in order.
    pub calls: Vec<Sequence>,
}

/// A call as its owner sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallView {
    /// The caller's idempotency key.
    pub key: Option<String>,
    /// Kind of endpoint that runs the call.
    pub kind: CallKind,
    /// The model's or the tool's name.
    pub target: String,
    /// Whether the call may run more than once.
    pub repeatable: bool,
    /// Progress of the call.
    pub stage: CallStage,
    /// Number of the last attempt.
    pub attempt: Attempt,
    /// Sidecar of the last attempt, if one was chosen.
    pub placement: Option<Placement>,
}

/// The progress of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallStage {
    /// The call has not been sent.
    Waiting,
    /// The call was sent to an endpoint.
    InFlight,
    /// The call is stopped until the same request is submitted again.
    Parked {
        /// Whether the call may have run.
        may_have_run: bool,
    },
    /// The call ended.
    Ended {
        /// The outcome of the call.
        outcome: CallOutcome,
        /// Whether the outcome is durable in the table.
        durable: bool,
    },
}

/// A shard that this entry process owns.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ShardView {
    /// The shard.
    pub shard: Shard,
    /// The epoch under which this entry process owns the shard.
    pub epoch: Epoch,
    /// Whether the shard is being handed over.
    pub leaving: bool,
    /// Number of its programs in memory.
    pub programs: usize,
}
