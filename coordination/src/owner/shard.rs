//! An owned shard: what is to be written, and what is being written.

use std::collections::{BTreeSet, VecDeque};

use rosebend_state::id::{CallId, Epoch, ProgramId, Sequence};
use rosebend_state::record::TurnState;

use super::event::{Attempt, CommitId};

/// An owned shard.
#[derive(Debug)]
pub(super) struct ShardState {
    pub(super) epoch: Epoch,
    /// Whether it is being handed over.
    pub(super) is_leaving: bool,
    /// Whether it was said to be drained.
    pub(super) is_drained: bool,
    /// Programs whose record is to be written.
    pub(super) dirty_programs: BTreeSet<ProgramId>,
    /// Calls whose record is to be written.
    pub(super) dirty_turns: BTreeSet<CallId>,
    /// Commits given out and not yet known to be durable, oldest first.
    pub(super) in_flight: VecDeque<CommitInFlight>,
}

/// What follows when a commit is durable.
#[derive(Debug)]
pub(super) struct CommitInFlight {
    pub(super) id: CommitId,
    pub(super) programs: Vec<WrittenProgram>,
    pub(super) turns: Vec<WrittenTurn>,
}

/// What a commit says of a program.
#[derive(Debug)]
pub(super) struct WrittenProgram {
    pub(super) program: ProgramId,
    pub(super) drawn_tokens: u64,
    pub(super) is_ended: bool,
}

/// What a commit says of a call.
#[derive(Debug)]
pub(super) struct WrittenTurn {
    pub(super) program: ProgramId,
    pub(super) sequence: Sequence,
    pub(super) state: WrittenState,
}

/// How far a call is according to a commit.
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

    /// Whether something is to be written.
    pub(super) fn is_dirty(&self) -> bool {
        !self.dirty_programs.is_empty() || !self.dirty_turns.is_empty()
    }

    /// Whether everything is durable.
    pub(super) fn is_written(&self) -> bool {
        !self.is_dirty() && self.in_flight.is_empty()
    }
}
