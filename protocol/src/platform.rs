//! JSON bodies of the platform's transactional table, object store, host list
//! and weight store.
//!
//! The table keeps rows under string keys. Each change of a row gives it a
//! version from one counter of the whole table, so a version is never used
//! twice, not even when a row was deleted and written again. A transaction is
//! a list of [`Operation`]s; all take effect or none does.
//!
//! | request | body | answer |
//! |---|---|---|
//! | `POST /table/transact` | [`Transaction`] | 200 [`Committed`], 409 [`Conflict`], 429 or 503 |
//! | `POST /table/read` | [`ReadRequest`] | 200 [`ReadReply`] |
//! | `POST /table/scan` | [`ScanRequest`] | 200 [`ScanReply`] |
//! | `PUT /objects/NAME`, `GET /objects/NAME` | bytes | 201, 200, 404 |
//! | `GET /hosts` | | 200 [`HostList`], which lags |
//! | `POST /weights/MODEL` | | 200 after the download, 429 over the rate |

use serde::{Deserialize, Serialize};

/// Version that the table gave to a row; zero is never given.
pub type RowVersion = u64;

/// Rows to check and to write, all or none.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Transaction {
    /// Operations, on distinct keys.
    pub operations: Vec<Operation>,
}

/// One row's part of a transaction.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Operation {
    /// The row's key.
    pub key: String,
    /// What must hold of the row beforehand.
    pub condition: Condition,
    /// What becomes of the row.
    pub action: Action,
}

/// What must hold of a row for its transaction to take effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Condition {
    /// Anything may stand there.
    Any,
    /// No row stands there.
    Absent,
    /// The row has this version.
    Version(RowVersion),
}

/// What a transaction does to a row.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Only the condition is checked.
    Check,
    /// The row gets this value.
    Put(serde_json::Value),
    /// The row is removed.
    Delete,
}

/// The transaction took effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Committed {
    /// Version of every row that the transaction put.
    pub version: RowVersion,
}

/// The transaction had no effect, because a condition did not hold.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Conflict {
    /// Key of the first row whose condition failed.
    pub key: String,
    /// The row's version, or none when the row is absent.
    pub version: Option<RowVersion>,
}

/// Asks for rows by key.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct ReadRequest {
    /// Keys of the rows.
    pub keys: Vec<String>,
}

/// Rows that were found, in the order asked.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct ReadReply {
    /// The rows; absent ones are left out.
    pub rows: Vec<Row>,
}

/// One row.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Row {
    /// The row's key.
    pub key: String,
    /// Version of the row's last change.
    pub version: RowVersion,
    /// The row's value.
    pub value: serde_json::Value,
}

/// Asks for the rows under a prefix, in the order of their keys.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct ScanRequest {
    /// The rows' keys start with this.
    pub prefix: String,
    /// Only keys after this one; empty for all.
    #[serde(default)]
    pub after: String,
    /// At most this many rows.
    pub limit: usize,
}

/// One page of a scan.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct ScanReply {
    /// Rows in the order of their keys.
    pub rows: Vec<Row>,
    /// Whether rows follow after the last one.
    pub more: bool,
}

/// The platform's list of hosts, which lags behind the truth.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct HostList {
    /// All hosts known to the platform.
    pub hosts: Vec<ListedHost>,
}

/// One host of the platform's list.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct ListedHost {
    /// The host's name.
    pub host: String,
    /// Whether the host stays.
    pub state: HostState,
}

/// What the platform says of a host.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// The host works and stays.
    Live,
    /// The host will be taken away.
    Leaving,
}
