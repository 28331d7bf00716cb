//! Rows of the platform's store.

use crate::deployment::RowVersion;

/// Where a row lies.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RowId {
    /// The table.
    pub table: String,
    /// The partition, which is the unit of a transaction; may be empty.
    pub partition: String,
    /// The key within the partition.
    pub key: String,
}

impl RowId {
    /// Names a row.
    pub fn new(table: &str, partition: &str, key: impl Into<String>) -> Self {
        Self {
            table: table.to_owned(),
            partition: partition.to_owned(),
            key: key.into(),
        }
    }
}

/// A row as it was read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Row {
    /// Where it lies.
    pub id: RowId,
    /// Its version.
    pub version: RowVersion,
    /// Its value; `None` when a feed tells that the row was deleted.
    pub value: Option<Vec<u8>>,
}

/// A version that a row must have for a transaction to be applied.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Condition {
    /// The row.
    pub row: RowId,
    /// The version; zero when the row must not exist.
    pub version: RowVersion,
}

/// A row that a transaction writes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RowWrite {
    /// The row.
    pub row: RowId,
    /// Its new value.
    pub value: Vec<u8>,
}

/// Changes that are applied together or not at all.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Transaction {
    /// All of these must hold.
    pub conditions: Vec<Condition>,
    /// Rows to write.
    pub writes: Vec<RowWrite>,
    /// Rows to delete.
    pub deletes: Vec<RowId>,
}
