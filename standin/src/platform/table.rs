//! The transactional table, without its rates and faults.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

use rosebend_protocol::platform::{
    Action, Committed, Condition, Conflict, Operation, ReadReply, ReadRequest, Row, RowVersion,
    ScanReply, ScanRequest, Transaction,
};

/// Most rows of one page of a scan.
const MAX_PAGE_ROWS: usize = 10_000;

/// Why a transaction had no effect.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum TransactError {
    /// A condition did not hold.
    #[error("the condition on {} does not hold", .0.key)]
    Conflict(Conflict),
    /// Two operations name the same row.
    #[error("two operations name the row {0}")]
    RepeatedKey(String),
}

/// Rows under string keys, with versions from one counter.
#[derive(Clone, Debug, Default)]
pub struct Table {
    rows: BTreeMap<String, StoredRow>,
    /// The version given last; never goes back.
    last_version: RowVersion,
}

#[derive(Clone, Debug)]
struct StoredRow {
    version: RowVersion,
    value: serde_json::Value,
}

impl Table {
    /// Runs a transaction: all of its operations take effect or none.
    ///
    /// # Errors
    ///
    /// The conflict names the first operation whose condition does not hold.
    pub fn transact(&mut self, transaction: &Transaction) -> Result<Committed, TransactError> {
        let operations = &transaction.operations;
        check_distinct(operations)?;
        for operation in operations {
            self.check(operation)?;
        }
        if operations.iter().any(|o| o.action != Action::Check) {
            self.last_version += 1;
        }
        for operation in operations {
            self.apply(operation);
        }
        Ok(Committed {
            version: self.last_version,
        })
    }

    /// Reads rows by key.
    pub fn read(&self, request: &ReadRequest) -> ReadReply {
        let found = |key: &String| Some(row(key, self.rows.get(key)?));
        ReadReply {
            rows: request.keys.iter().filter_map(found).collect(),
        }
    }

    /// Reads one page of the rows under a prefix.
    pub fn scan(&self, request: &ScanRequest) -> ScanReply {
        let limit = request.limit.min(MAX_PAGE_ROWS);
        let start = if request.after.as_str() >= request.prefix.as_str() {
            Bound::Excluded(request.after.as_str())
        } else {
            Bound::Included(request.prefix.as_str())
        };
        let mut found = self
            .rows
            .range::<str, _>((start, Bound::Unbounded))
            .take_while(|(key, _)| key.starts_with(&request.prefix));
        let rows = found.by_ref().take(limit);
        ScanReply {
            rows: rows.map(|(key, stored)| row(key, stored)).collect(),
            more: found.next().is_some(),
        }
    }

    /// Number of rows.
    pub fn row_count(&self) -> usize {
        self.rows.len()
    }

    fn check(&self, operation: &Operation) -> Result<(), TransactError> {
        let version = self.rows.get(&operation.key).map(|row| row.version);
        let holds = match operation.condition {
            Condition::Any => true,
            Condition::Absent => version.is_none(),
            Condition::Version(expected) => version == Some(expected),
        };
        if holds {
            return Ok(());
        }
        Err(TransactError::Conflict(Conflict {
            key: operation.key.clone(),
            version,
        }))
    }

    fn apply(&mut self, operation: &Operation) {
        match &operation.action {
            Action::Check => {}
            Action::Put(value) => {
                let stored = StoredRow {
                    version: self.last_version,
                    value: value.clone(),
                };
                self.rows.insert(operation.key.clone(), stored);
            }
            Action::Delete => {
                self.rows.remove(&operation.key);
            }
        }
    }
}

fn check_distinct(operations: &[Operation]) -> Result<(), TransactError> {
    let mut seen = BTreeSet::new();
    match operations.iter().find(|o| !seen.insert(o.key.as_str())) {
        Some(repeated) => Err(TransactError::RepeatedKey(repeated.key.clone())),
        None => Ok(()),
    }
}

fn row(key: &str, stored: &StoredRow) -> Row {
    Row {
        key: key.to_owned(),
        version: stored.version,
        value: stored.value.clone(),
    }
}
