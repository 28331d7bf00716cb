//! The rows of the store, and what a transaction does to them.

use std::collections::{BTreeMap, HashSet};

use serde::Deserialize;
use serde_json::{Value, json};

/// Most rows of one answer.
const PAGE_ROWS: usize = 500;
/// Most rows that a transaction names.
const MAX_TRANSACTION_ROWS: usize = 100;

/// Table, partition and key of a row.
pub type Key = (String, String, String);

/// All rows, with the history of their changes.
#[derive(Debug, Default)]
pub struct Rows {
    /// Rows that exist, with their versions.
    rows: BTreeMap<Key, (u64, String)>,
    /// Changes since the history began: version and row.
    history: Vec<(u64, Key)>,
    /// Feeds from before this version are refused.
    history_from: u64,
    version: u64,
}

/// A transaction as it comes.
#[derive(Debug)]
#[derive(Deserialize)]
pub struct WireTransaction {
    #[serde(rename = "expected-rev", default)]
    conditions: Vec<WireCondition>,
    #[serde(rename = "set-keys", default)]
    writes: Vec<WireWrite>,
    #[serde(rename = "remove", default)]
    deletes: Vec<WireKey>,
    /// Whether it may name rows of several partitions.
    #[serde(default)]
    across: bool,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct WireKey {
    table: String,
    #[serde(default)]
    part: String,
    key: String,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct WireCondition {
    #[serde(flatten)]
    row: WireKey,
    ver: u64,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct WireWrite {
    #[serde(flatten)]
    row: WireKey,
    value: String,
}

/// Why a transaction changed nothing.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TransactError {
    /// A condition did not hold; the rows of the conditions that exist.
    Conflict(Vec<Key>),
    /// It is not one that the store takes.
    Invalid(&'static str),
}

/// Which rows a read asks for.
#[derive(Clone, Debug, Default)]
pub struct ReadRange {
    /// The table.
    pub table: String,
    /// The partition.
    pub part: String,
    /// The first key.
    pub from: String,
    /// The key before which it ends.
    pub to: Option<String>,
    /// Most rows to answer with.
    pub limit: Option<usize>,
}

impl WireKey {
    fn key(&self) -> Key {
        (self.table.clone(), self.part.clone(), self.key.clone())
    }
}

impl WireTransaction {
    /// The partitions that it names.
    pub fn parts(&self) -> HashSet<&str> {
        let conditions = self.conditions.iter().map(|condition| &condition.row);
        let writes = self.writes.iter().map(|write| &write.row);
        let rows = conditions.chain(writes).chain(&self.deletes);
        rows.map(|row| row.part.as_str()).collect()
    }

    fn check(&self) -> Result<(), TransactError> {
        let entries = self.conditions.len() + self.writes.len() + self.deletes.len();
        if entries > MAX_TRANSACTION_ROWS {
            return Err(TransactError::Invalid("it holds too many entries"));
        }
        if self.parts().len() > 1 && !self.across {
            return Err(TransactError::Invalid("it names several partitions"));
        }
        Ok(())
    }
}

impl Rows {
    /// Applies a transaction, whole or not at all; the version that it gave.
    ///
    /// # Errors
    ///
    /// Fails when it changed nothing.
    pub fn transact(&mut self, transaction: &WireTransaction) -> Result<u64, TransactError> {
        transaction.check()?;
        let conditions = &transaction.conditions;
        let holds =
            |condition: &WireCondition| self.version_of(&condition.row.key()) == condition.ver;
        if !conditions.iter().all(holds) {
            let keys = conditions.iter().map(|condition| condition.row.key());
            let present = keys.filter(|key| self.version_of(key) > 0).collect();
            return Err(TransactError::Conflict(present));
        }
        let writes = transaction.writes.iter();
        let writes = writes.map(|write| (write.row.key(), Some(write.value.clone())));
        let deletes = transaction.deletes.iter().map(|row| (row.key(), None));
        let changes: Vec<(Key, Option<String>)> = writes.chain(deletes).collect();
        Ok(self.set(&changes))
    }

    /// Keys of a range, and whether there are more behind the last one.
    pub fn read(&self, range: &ReadRange) -> (Vec<Key>, bool) {
        let first = (range.table.clone(), range.part.clone(), range.from.clone());
        let keys = self.rows.range(first..).map(|(key, _)| key);
        let keys = keys.take_while(|key| key.0 == range.table && key.1 == range.part);
        let keys = keys.take_while(|key| range.to.as_ref().is_none_or(|to| key.2 < *to));
        let limit = range.limit.unwrap_or(PAGE_ROWS).min(PAGE_ROWS);
        let mut keys: Vec<Key> = keys.take(limit + 1).cloned().collect();
        let has_more = keys.len() > limit;
        keys.truncate(limit);
        (keys, has_more)
    }

    /// Applies changes as one transaction and gives them one version.
    pub fn set(&mut self, changes: &[(Key, Option<String>)]) -> u64 {
        self.version += 1;
        for (key, value) in changes {
            match value {
                Some(value) => {
                    self.rows.insert(key.clone(), (self.version, value.clone()));
                }
                None => {
                    self.rows.remove(key);
                }
            }
            self.history.push((self.version, key.clone()));
        }
        self.version
    }

    /// The newest version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Version of a row; zero when it does not exist.
    pub fn version_of(&self, key: &Key) -> u64 {
        self.rows.get(key).map_or(0, |(version, _)| *version)
    }

    /// Number of all rows.
    pub fn count(&self) -> usize {
        self.rows.len()
    }

    /// Number of rows of a table.
    pub fn row_count(&self, table: &str) -> usize {
        self.rows.keys().filter(|key| key.0 == table).count()
    }

    /// A row as answers tell it.
    pub fn wire_row(&self, key: &Key) -> Value {
        let (table, part, name) = key;
        match self.rows.get(key) {
            Some((version, value)) => {
                json!({"table": table, "part": part, "key": name, "value": value, "ver": version})
            }
            None => json!({"table": table, "part": part, "key": name, "tombstone": true}),
        }
    }

    /// The partitions of a table, after one of them, in their order.
    pub fn parts(&self, table: &str, after: Option<&str>) -> Vec<String> {
        let keys = self.rows.keys().filter(|key| key.0 == table);
        let mut parts: Vec<String> = keys.map(|key| key.1.clone()).collect();
        parts.dedup();
        parts.retain(|part| after.is_none_or(|after| part.as_str() > after));
        parts
    }

    /// Keys of a table that changed after a version, in the order of changes;
    /// none when that history is gone.
    pub fn changed(&self, table: &str, after: u64) -> Option<Vec<Key>> {
        if after < self.history_from {
            return None;
        }
        let mut keys = Vec::new();
        let changes = self.history.iter().filter(|(version, _)| *version > after);
        for (_, key) in changes.filter(|(_, key)| key.0 == table) {
            keys.retain(|known| known != key);
            keys.push(key.clone());
        }
        Some(keys)
    }

    /// Forgets the history: feeds from before now are refused.
    pub fn forget_history(&mut self) {
        self.history.clear();
        self.version += 1;
        self.history_from = self.version;
    }
}
