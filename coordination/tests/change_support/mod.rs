//! An in-memory store for tests of pending changes, and constructors of changes.

#![allow(dead_code, reason = "each test file uses only some of the items")]

use std::collections::BTreeMap;
use std::time::Duration;

use rosebend_coordination::gateway::escrow::terms::EscrowTerms;
use rosebend_coordination::gateway::history::ledger_row;
use rosebend_coordination::gateway::ledger::{Ledger, ProcessId};
use rosebend_coordination::gateway::pending_changes::{Answer, Change, Outcome, PendingChanges};
use rosebend_state::deployment::{Row, RowId, RowVersion, Transaction};

pub const PROGRAM: &str = "renewal-1";
/// Maximum output tokens of each turn.
pub const MAX_OUTPUT_TOKENS: u64 = 280;

/// Retention time of each turn.
pub const RETENTION: Duration = Duration::from_secs(60);

/// A store that applies a transaction if its conditions hold.
#[derive(Default)]
pub struct Store {
    pub rows: BTreeMap<RowId, (RowVersion, Vec<u8>)>,
    /// Version of the last transaction that was applied.
    pub version: RowVersion,
}

impl Store {
    pub fn apply(&mut self, transaction: &Transaction) -> Answer {
        let version_of = |row: &RowId| self.rows.get(row).map_or(0, |(version, _)| *version);
        let holds = |condition: &rosebend_state::deployment::Condition| {
            version_of(&condition.row) == condition.version
        };
        if !transaction.conditions.iter().all(holds) {
            let current = transaction.conditions.iter().filter_map(|condition| {
                let (version, value) = self.rows.get(&condition.row)?;
                Some(Row {
                    id: condition.row.clone(),
                    version: *version,
                    value: Some(value.clone()),
                })
            });
            return Answer::Conflict(current.collect());
        }
        self.version += 1;
        for write in &transaction.writes {
            let value = (self.version, write.value.clone());
            self.rows.insert(write.row.clone(), value);
        }
        Answer::Applied(self.version)
    }

    pub fn ledger_version(&self) -> RowVersion {
        self.rows
            .get(&ledger_row(PROGRAM))
            .map_or(0, |(version, _)| *version)
    }

    pub fn ledger(&self) -> Ledger {
        match self.rows.get(&ledger_row(PROGRAM)) {
            Some((_, value)) => Ledger::decode(value).unwrap(),
            None => Ledger::default(),
        }
    }
}

pub fn reserve(attempt: &str, budget_tokens: u64) -> Change {
    reserve_with_dead_processes(attempt, budget_tokens, Vec::new())
}

/// Returns a reservation that may write off those of dead processes.
pub fn reserve_with_dead_processes(
    attempt: &str,
    budget_tokens: u64,
    dead_processes: Vec<ProcessId>,
) -> Change {
    Change::Reserve {
        attempt: attempt.to_owned(),
        max_output_tokens: MAX_OUTPUT_TOKENS,
        budget_tokens,
        dead_processes,
        escrow: EscrowTerms::Excluded,
        retention: RETENTION,
    }
}

pub fn settle(attempt: &str, tokens: u64) -> Change {
    Change::Settle {
        attempt: attempt.to_owned(),
        tokens,
        record: None,
    }
}

/// Sends transactions until no change is pending, and returns all outcomes.
pub fn flush(changes: &mut PendingChanges, store: &mut Store) -> Vec<Outcome> {
    let mut outcomes = Vec::new();
    loop {
        let (transaction, ended) = changes.next_transaction();
        outcomes.extend(ended.into_iter().map(|(_, outcome)| outcome));
        let Some(transaction) = transaction else {
            return outcomes;
        };
        let answer = store.apply(&transaction);
        let ended = changes.handle_answer(answer);
        outcomes.extend(ended.into_iter().map(|(_, outcome)| outcome));
    }
}
