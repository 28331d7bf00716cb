//! Keys and values of the table's rows.
//!
//! `docs/design/00-processes.md` lists them. Shard numbers are padded, so that
//! the rows of a shard lie together in the order of keys.

use rosebend_coordination::commit::{CommitBatch, RecordPut};
use rosebend_coordination::ownership::{HostRow, ShardRow, Takeover};
use rosebend_protocol::table::{SHARD_PREFIX, row_id, shard_key};
use rosebend_state::deployment::{Row, RowVersion, Transaction};
use rosebend_state::id::{CallId, Epoch, HostId, Incarnation, ProgramId, Shard};
use rosebend_state::record::{ProgramRecord, TurnRecord};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::json;

/// Key of the row that fixes the number of shards.
pub const CLUSTER_KEY: &str = "cluster";
/// Prefix of the rows that entries renew.
pub const HOST_PREFIX: &str = "host/";
/// Prefix of the rows of resources.
pub const RESOURCE_PREFIX: &str = "resource/";
/// Key of the row with the newest revision of the configuration.
pub const REVISION_KEY: &str = "revision";
/// Prefix of the rows of quarantined requests.
pub const QUARANTINE_PREFIX: &str = "quarantine/";
/// Key of the row that every quarantine rewrites.
pub const QUARANTINE_MARK_KEY: &str = "quarantined";

/// Value of the row that fixes the number of shards.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct ClusterValue {
    /// Number of shards.
    pub shard_count: u32,
}

/// Value of an entry's own row.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct HostValue {
    /// The process that renews the row.
    pub incarnation: Incarnation,
    /// Counts the renewals of this process.
    pub renewal: u64,
    /// Where other entries reach it.
    pub peer_address: String,
    /// Where callers and operators reach it.
    pub http_address: String,
    /// The host's availability zone.
    pub availability_zone: String,
    /// Whether it is stopping.
    pub leaving: bool,
    /// Revision of the configuration that is in force there.
    pub config_revision: u64,
}

/// Value of a shard's row.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ShardValue {
    /// Name of the owner's host.
    pub owner: HostId,
    /// The owning process.
    pub incarnation: Incarnation,
    /// Counts the owners.
    pub epoch: Epoch,
    /// Id of the owner's last transaction.
    pub write_id: u64,
}

/// Key of an entry's own row.
pub fn host_key(host: &str) -> String {
    format!("{HOST_PREFIX}{host}")
}

/// Prefix of the program records of a shard.
pub fn program_prefix(shard: Shard) -> String {
    format!("program/{shard:05}/")
}

/// Prefix of the call records of a shard.
pub fn turn_prefix(shard: Shard) -> String {
    format!("turn/{shard:05}/")
}

/// Key of a program's record.
pub fn program_key(shard: Shard, program: &ProgramId) -> String {
    format!("{}{program}", program_prefix(shard))
}

/// Key of a call's record.
pub fn turn_key(shard: Shard, turn: &TurnRecord) -> String {
    call_key(shard, &turn.call)
}

/// Key of a call's record, by the call's id.
pub fn call_key(shard: Shard, call: &CallId) -> String {
    format!(
        "{}{}#{:06}",
        turn_prefix(shard),
        call.program,
        call.sequence
    )
}

/// The transaction that quarantines a request for all entries.
pub fn quarantine_transaction(fingerprint: &str) -> Transaction {
    let row = row_id(format!("{QUARANTINE_PREFIX}{fingerprint}"));
    Transaction::default()
        .write(row, to_json(&json!({})))
        .write(row_id(QUARANTINE_MARK_KEY), to_json(&json!({})))
}

/// The rows of a commit's records.
///
/// # Panics
///
/// Panics when a record has no JSON form, which no record lacks.
pub fn record_puts(
    shard: Shard,
    programs: &[ProgramRecord],
    turns: &[TurnRecord],
) -> Vec<RecordPut> {
    let programs = programs.iter().map(|record| RecordPut {
        key: program_key(shard, &record.program),
        value: to_text(record),
    });
    let turns = turns.iter().map(|record| RecordPut {
        key: turn_key(shard, record),
        value: to_text(record),
    });
    programs.chain(turns).collect()
}

fn to_text(record: &impl Serialize) -> String {
    serde_json::to_string(record).expect("a record has a JSON form")
}

/// The value of a row.
///
/// # Panics
///
/// Panics when it has no JSON form, which no value of a row lacks.
pub fn to_json(value: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(value).expect("a row's value has a JSON form")
}

/// What a row holds.
///
/// # Errors
///
/// Fails when the row does not hold such a value.
pub fn from_json<T: DeserializeOwned>(row: &Row) -> Result<T, serde_json::Error> {
    serde_json::from_slice(row.value.as_deref().unwrap_or_default())
}

/// The transaction of a group commit.
pub fn commit_transaction(batch: &CommitBatch, owner: &str, incarnation: &str) -> Transaction {
    let mut transaction = Transaction::default();
    for write in &batch.shards {
        let row = row_id(shard_key(write.shard));
        let value = shard_value(owner, incarnation, write.epoch, batch.write_id);
        transaction = transaction
            .expect(row.clone(), write.version)
            .write(row, value);
    }
    for record in &batch.records {
        let value = record.value.clone().into_bytes();
        transaction = transaction.write(row_id(&record.key), value);
    }
    transaction
}

/// The transaction of a takeover.
pub fn takeover_transaction(
    takeover: &Takeover,
    owner: &str,
    incarnation: &str,
    write_id: u64,
) -> Transaction {
    let mut transaction = Transaction::default();
    for (shard, version, epoch) in &takeover.shards {
        let row = row_id(shard_key(*shard));
        let value = shard_value(owner, incarnation, *epoch, write_id);
        transaction = transaction
            .expect(row.clone(), version_or_absent(*version))
            .write(row, value);
    }
    if let Some((silent, version)) = &takeover.expired_host {
        let row = row_id(host_key(silent));
        transaction = transaction
            .expect(row.clone(), version_or_absent(*version))
            .delete(row);
    }
    transaction
}

/// The transaction that passes a shard on.
pub fn handoff_transaction(
    shard: Shard,
    version: u64,
    epoch: Epoch,
    successor: &(HostId, Incarnation),
    write_id: u64,
) -> Transaction {
    let row = row_id(shard_key(shard));
    let value = shard_value(&successor.0, &successor.1, epoch, write_id);
    Transaction::default()
        .expect(row.clone(), version)
        .write(row, value)
}

/// The version to expect of a row; that of an absent one is zero.
fn version_or_absent(version: Option<RowVersion>) -> RowVersion {
    version.unwrap_or(0)
}

fn shard_value(owner: &str, incarnation: &str, epoch: Epoch, write_id: u64) -> Vec<u8> {
    to_json(&ShardValue {
        owner: owner.to_owned(),
        incarnation: incarnation.to_owned(),
        epoch,
        write_id,
    })
}

/// Reads the row of an entry; none when it is not one.
pub fn host_row(row: &Row) -> Option<(HostRow, HostValue)> {
    let host = row.id.key.strip_prefix(HOST_PREFIX)?;
    let value: HostValue = from_json(row).ok()?;
    let view = HostRow {
        host: host.to_owned(),
        incarnation: value.incarnation.clone(),
        version: row.version,
        peer_address: value.peer_address.clone(),
        leaving: value.leaving,
    };
    Some((view, value))
}

/// Reads the row of a shard, and the id of its last write.
pub fn shard_row(row: &Row) -> Option<(ShardRow, u64)> {
    let shard = row.id.key.strip_prefix(SHARD_PREFIX)?.parse().ok()?;
    let value: ShardValue = from_json(row).ok()?;
    let view = ShardRow {
        shard,
        version: row.version,
        owner: value.owner,
        incarnation: value.incarnation,
        epoch: value.epoch,
    };
    Some((view, value.write_id))
}
