//! A simulated table. It applies a write only if the write's epoch is the current
//! epoch of its shard.

use std::collections::BTreeMap;

use rosebend_coordination::owner::CommitId;
use rosebend_state::id::{CallId, Epoch, ProgramId, Shard};
use rosebend_state::record::{ProgramRecord, ShardRecords, TurnRecord, TurnState};

use super::SHARDS;

/// A commit that was sent to the table.
#[derive(Clone, Debug)]
pub struct Write {
    /// The generation of the process that sent the commit.
    pub generation: u32,
    pub commit: CommitId,
    pub shard: Shard,
    pub epoch: Epoch,
    pub programs: Vec<ProgramRecord>,
    pub turns: Vec<TurnRecord>,
}

/// The rows of the table.
#[derive(Debug, Default)]
pub struct Table {
    /// The index of the owner process and the epoch of each shard.
    pub shards: BTreeMap<Shard, (usize, Epoch)>,
    pub programs: BTreeMap<ProgramId, ProgramRecord>,
    pub turns: BTreeMap<CallId, TurnRecord>,
}

impl Table {
    /// Returns the epoch of a shard, or 0 if it never had an owner.
    pub fn epoch(&self, shard: Shard) -> Epoch {
        self.shards.get(&shard).map_or(0, |row| row.1)
    }

    /// Returns the records of a shard.
    pub fn records(&self, shard: Shard) -> ShardRecords {
        let programs = self.programs.values();
        let programs = programs.filter(|record| record.program.shard(SHARDS) == shard);
        let turns = self.turns.values();
        let turns = turns.filter(|record| record.call.program.shard(SHARDS) == shard);
        ShardRecords {
            programs: programs.cloned().collect(),
            turns: turns.cloned().collect(),
            under_way: Vec::new(),
        }
    }

    /// Applies a write atomically and returns true, or returns false if the shard
    /// is in another epoch.
    pub fn apply(&mut self, write: &Write) -> bool {
        if self.epoch(write.shard) != write.epoch {
            return false;
        }
        for record in &write.programs {
            self.programs.insert(record.program.clone(), record.clone());
        }
        for record in &write.turns {
            self.turns.insert(record.call.clone(), record.clone());
        }
        true
    }

    /// Returns whether the table has a record of a call without an attempt in
    /// progress.
    pub fn is_settled(&self, call: &CallId) -> bool {
        let turn = self.turns.get(call);
        turn.is_some_and(|turn| !matches!(turn.state, TurnState::Intent { .. }))
    }

    /// Returns whether the table records the outcome of a call as unknown.
    pub fn is_unknown(&self, call: &CallId) -> bool {
        let turn = self.turns.get(call);
        turn.is_some_and(|turn| matches!(turn.state, TurnState::Unknown { .. }))
    }

    /// Returns whether the table has the final outcome of a call.
    pub fn has_end(&self, call: &CallId) -> bool {
        let turn = self.turns.get(call);
        turn.is_some_and(|turn| {
            !matches!(
                turn.state,
                TurnState::Intent { .. } | TurnState::NotRun { .. }
            )
        })
    }
}
