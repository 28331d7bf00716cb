//! Rows in messages between gateways. Their partition is that of the message.

use prost::Message;
use rosebend_state::deployment::{Row, RowId};

/// A row without a table or a key.
#[derive(Debug, thiserror::Error)]
#[error("a row without a table or a key")]
pub struct RowError;

/// A row, or the name of one.
#[derive(Clone, PartialEq)]
#[derive(Message)]
pub struct WireRow {
    /// Its table.
    #[prost(string, tag = "1")]
    pub table: String,
    /// Its key.
    #[prost(string, tag = "2")]
    pub key: String,
    /// Version of a condition or of a present row.
    #[prost(uint64, tag = "3")]
    pub version: u64,
    /// Value of a write or of a present row.
    #[prost(bytes = "vec", tag = "4")]
    pub value: Vec<u8>,
}

/// The name of a row.
pub fn wire_id(row: &RowId) -> WireRow {
    WireRow {
        table: row.table.clone(),
        key: row.key.clone(),
        ..WireRow::default()
    }
}

/// A row that is there.
pub fn wire_row(row: &Row) -> WireRow {
    WireRow {
        version: row.version,
        value: row.value.clone().unwrap_or_default(),
        ..wire_id(&row.id)
    }
}

/// The row that is named.
pub fn row_id(partition: &str, row: &WireRow) -> Result<RowId, RowError> {
    match row.table.is_empty() || row.key.is_empty() {
        true => Err(RowError),
        false => Ok(RowId::new(&row.table, partition, row.key.clone())),
    }
}

/// The rows that are there.
pub fn present_rows(partition: &str, rows: Vec<WireRow>) -> Result<Vec<Row>, RowError> {
    let row = |row: WireRow| {
        Ok(Row {
            id: row_id(partition, &row)?,
            version: row.version,
            value: Some(row.value),
        })
    };
    rows.into_iter().map(row).collect()
}
