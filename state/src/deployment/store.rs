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

/// Rows of one partition, in the order of their keys.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RowRange {
    /// The table.
    pub table: String,
    /// The partition; may be empty.
    pub partition: String,
    /// The first key.
    pub from: String,
    /// The key before which the range ends; without one it goes to the end.
    pub to: Option<String>,
}

impl RowRange {
    /// All rows of a partition.
    pub fn whole(table: &str, partition: &str) -> Self {
        Self {
            table: table.to_owned(),
            partition: partition.to_owned(),
            from: String::new(),
            to: None,
        }
    }

    /// The rows whose keys begin with a prefix.
    pub fn prefix(table: &str, partition: &str, prefix: &str) -> Self {
        Self {
            from: prefix.to_owned(),
            to: Some(format!("{prefix}{}", char::MAX)),
            ..Self::whole(table, partition)
        }
    }

    /// Without the rows up to a key and that of the key itself.
    #[must_use]
    pub fn after(mut self, key: &str) -> Self {
        // No key ends with the least character.
        self.from = format!("{key}\u{1}");
        self
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

impl RowWrite {
    /// Most bytes of it as an entry of a transaction, encoded.
    pub fn max_encoded_bytes(&self) -> usize {
        max_encoded_bytes(&self.row, self.value.len())
    }
}

/// Most entries of one transaction that the store takes, conditions among them.
pub const MAX_TRANSACTION_ENTRIES: usize = 100;
/// Most bytes of one transaction that the store takes, encoded.
pub const MAX_TRANSACTION_BYTES: usize = 1_000_000;
/// Most bytes that the encoding of an entry adds to its names and its value.
const ENTRY_OVERHEAD_BYTES: usize = 80;
/// Most bytes that the encoding of a transaction adds to its entries.
const TRANSACTION_OVERHEAD_BYTES: usize = 80;

/// Most bytes of an entry of a transaction, encoded, for a value of this size.
fn max_encoded_bytes(row: &RowId, value_bytes: usize) -> usize {
    let names = [&row.table, &row.partition, &row.key];
    let names: usize = names.into_iter().map(|name| escaped_bytes(name)).sum();
    // Three bytes of a value take four characters.
    names + value_bytes.div_ceil(3) * 4 + ENTRY_OVERHEAD_BYTES
}

/// Bytes of a text as a JSON string, at most.
fn escaped_bytes(text: &str) -> usize {
    let escaped = |byte: u8| match byte {
        b'"' | b'\\' => 2,
        0..0x20 | 0x7f => 6,
        _ => 1,
    };
    text.bytes().map(escaped).sum()
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

impl Transaction {
    /// All rows that it names, those of its conditions first.
    pub fn rows(&self) -> impl Iterator<Item = &RowId> {
        let conditions = self.conditions.iter().map(|condition| &condition.row);
        let writes = self.writes.iter().map(|write| &write.row);
        conditions.chain(writes).chain(&self.deletes)
    }

    /// Rows that it writes or deletes.
    pub fn changed_rows(&self) -> impl Iterator<Item = &RowId> {
        let writes = self.writes.iter().map(|write| &write.row);
        writes.chain(&self.deletes)
    }

    /// Number of its entries; conditions count like writes and deletes.
    pub fn entries(&self) -> usize {
        self.conditions.len() + self.writes.len() + self.deletes.len()
    }

    /// Most bytes of it, encoded.
    pub fn max_encoded_bytes(&self) -> usize {
        let conditions = self.conditions.iter().map(|condition| &condition.row);
        let without_value = conditions.chain(&self.deletes);
        let without_value: usize = without_value.map(|row| max_encoded_bytes(row, 0)).sum();
        let writes: usize = self.writes.iter().map(RowWrite::max_encoded_bytes).sum();
        without_value + writes + TRANSACTION_OVERHEAD_BYTES
    }

    /// Whether it is within the limits of the store.
    pub fn fits_call(&self) -> bool {
        self.entries() <= MAX_TRANSACTION_ENTRIES
            && self.max_encoded_bytes() <= MAX_TRANSACTION_BYTES
    }

    /// Requires a version of a row.
    #[must_use]
    pub fn expect(mut self, row: RowId, version: RowVersion) -> Self {
        self.conditions.push(Condition { row, version });
        self
    }

    /// Requires that a row does not exist.
    #[must_use]
    pub fn expect_absent(self, row: RowId) -> Self {
        self.expect(row, 0)
    }

    /// Writes a row.
    #[must_use]
    pub fn write(mut self, row: RowId, value: Vec<u8>) -> Self {
        self.writes.push(RowWrite { row, value });
        self
    }

    /// Deletes a row.
    #[must_use]
    pub fn delete(mut self, row: RowId) -> Self {
        self.deletes.push(row);
        self
    }
}
