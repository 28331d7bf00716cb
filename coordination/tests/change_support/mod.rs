//! A store for the tests of pending changes, and the changes that they make.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::collections::BTreeMap;

use rosebend_coordination::gateway::escrow::terms::EscrowTerms;
use rosebend_coordination::gateway::history::ledger_row;
use rosebend_coordination::gateway::ledger::{Ledger, ProcessId};
use rosebend_coordination::gateway::pending_changes::{Answer, Change, Outcome, PendingChanges};
use rosebend_state::deployment::{Row, RowId, RowVersion, Transaction};

pub const PROGRAM: &str = "renewal-1";
pub const MOST: u64 = 280;

/// A store that applies transactions under their conditions.
#[derive(Default)]
pub struct Store {
    pub rows: BTreeMap<RowId, (RowVersion, Vec<u8>)>,
    pub version: RowVersion,
}

impl Store {
    pub fn apply(&mut self, transaction: &Transaction) -> Answer {
        let version_of = |row: &RowId| self.rows.get(row).map_or(0, |(version, _)| *version);
        let holds = |condition: &rosebend_state::deployment::Condition| {
            version_of(&condition.row) == condition.version
        };
        if !transaction.conditions.iter().all(holds) {
            let present = transaction.conditions.iter().filter_map(|condition| {
                let (version, value) = self.rows.get(&condition.row)?;
                Some(Row {
                    id: condition.row.clone(),
                    version: *version,
                    value: Some(value.clone()),
                })
            });
            return Answer::Conflict(present.collect());
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
    reserve_with(attempt, budget_tokens, Vec::new())
}

/// Reserves with tokens of hosts that are gone.
pub fn reserve_with(attempt: &str, budget_tokens: u64, gone: Vec<ProcessId>) -> Change {
    Change::Reserve {
        attempt: attempt.to_owned(),
        most_tokens: MOST,
        budget_tokens,
        gone,
        escrow: EscrowTerms::Excluded,
    }
}

pub fn settle(attempt: &str, tokens: u64) -> Change {
    Change::Settle {
        attempt: attempt.to_owned(),
        tokens,
        rows: Vec::new(),
    }
}

/// Sends until nothing waits.
pub fn flush(changes: &mut PendingChanges, store: &mut Store) -> Vec<Outcome> {
    let mut outcomes = Vec::new();
    loop {
        let (transaction, ended) = changes.next_transaction();
        outcomes.extend(ended.into_iter().map(|(_, outcome)| outcome));
        let Some(transaction) = transaction else {
            return outcomes;
        };
        let answer = store.apply(&transaction);
        let ended = changes.answered(answer);
        outcomes.extend(ended.into_iter().map(|(_, outcome)| outcome));
    }
}
