//! Rows of the platform's store that entries and sidecars share.
//!
//! All rows of one rosebend lie in one partition of one table, so that a
//! transaction may name any of them. Shard numbers are padded: the rows of a
//! shard lie together in the order of keys.

use rosebend_state::deployment::{RowId, RowRange};
use rosebend_state::id::Shard;

/// The table.
const TABLE: &str = "entries";
/// Prefix of the rows of shards.
pub const SHARD_PREFIX: &str = "shard/";

/// Where the row of a key lies.
pub fn row_id(key: impl Into<String>) -> RowId {
    RowId::new(TABLE, "", key)
}

/// Where the rows of a prefix lie.
pub fn rows_under(prefix: &str) -> RowRange {
    RowRange::prefix(TABLE, "", prefix)
}

/// Key of a shard's row.
pub fn shard_key(shard: Shard) -> String {
    format!("{SHARD_PREFIX}{shard:05}")
}
