//! State of an owned shard: its dirty records and its commits in flight.

use std::collections::{BTreeSet, VecDeque};

use rosebend_state::id::{CallId, Epoch, ProgramId, Sequence};
use rosebend_state::record::TurnState;

use super::event::{Attempt, CommitId};

/// An owned shard and its records that are not yet durable.
#[derive(Debug)]
pub(super) struct ShardState {
    pub(super) epoch: Epoch,
    /// Whether the shard is being handed over.
    pub(super) is_leaving: bool,
    /// Whether the shard was reported as drained.
    pub(super) is_drained: bool,
    /// Programs whose record changed since it was last committed.
    pub(super) dirty_programs: BTreeSet<ProgramId>,
    /// Calls whose record changed since it was last committed.
    pub(super) dirty_turns: BTreeSet<CallId>,
    /// Commits that were issued and not yet confirmed as durable, oldest first.
    pub(super) in_flight: VecDeque<CommitInFlight>,
}

/// The parts of a commit that are handled once it is durable.
#[derive(Debug)]
pub(super) struct CommitInFlight {
    pub(super) id: CommitId,
    pub(super) programs: Vec<WrittenProgram>,
    pub(super) turns: Vec<WrittenTurn>,
}

/// The parts of a program's record that are handled once it is durable.
#[derive(Debug)]
pub(super) struct WrittenProgram {
    pub(super) program: ProgramId,
    pub(super) drawn_tokens: u64,
    pub(super) is_ended: bool,
}

/// The state of a call's record in a commit.
#[derive(Debug)]
pub(super) struct WrittenTurn {
    pub(super) program: ProgramId,
    pub(super) sequence: Sequence,
    pub(super) state: WrittenState,
}

/// The state of a call according to a commit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum WrittenState {
    Intent(Attempt),
    NotRun,
    Ended,
}

impl From<&TurnState> for WrittenState {
    fn from(state: &TurnState) -> Self {
        match state {
            TurnState::Intent { attempt, .. } => Self::Intent(*attempt),
            TurnState::NotRun { .. } => Self::NotRun,
            TurnState::Done { .. } | TurnState::Failed { .. } | TurnState::Unknown { .. } => {
                Self::Ended
            }
        }
    }
}

impl ShardState {
    pub(super) fn new(epoch: Epoch) -> Self {
        Self {
            epoch,
            is_leaving: false,
            is_drained: false,
            dirty_programs: BTreeSet::new(),
            dirty_turns: BTreeSet::new(),
            in_flight: VecDeque::new(),
        }
    }

    /// Returns whether any record must be written.
    pub(super) fn is_dirty(&self) -> bool {
        !self.dirty_programs.is_empty() || !self.dirty_turns.is_empty()
    }

    /// Returns whether all records are durable.
    pub(super) fn is_written(&self) -> bool {
        !self.is_dirty() && self.in_flight.is_empty()
    }
}
