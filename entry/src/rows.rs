//! Keys and values of the table's rows.
//!
//! `docs/design/00-processes.md` lists them. Shard numbers are padded, so that
//! the rows of a shard lie together in the order of keys.

use rosebend_coordination::commit::{CommitBatch, RecordPut};
use rosebend_coordination::ownership::{HostRow, ShardRow, Takeover};
use rosebend_protocol::platform::{Action, Condition, Operation, Row, Transaction};
use rosebend_state::id::{CallId, Epoch, HostId, Incarnation, ProgramId, Shard};
use rosebend_state::record::{ProgramRecord, TurnRecord};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

/// Key of the row that fixes the number of shards.
pub const CLUSTER_KEY: &str = "cluster";
/// Prefix of the rows that entries renew.
pub const HOST_PREFIX: &str = "host/";
/// Prefix of the rows of shards.
pub const SHARD_PREFIX: &str = "shard/";

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

/// Key of a shard's row.
pub fn shard_key(shard: Shard) -> String {
    format!("{SHARD_PREFIX}{shard:05}")
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
    let put = |key: String| Operation {
        key,
        condition: Condition::Any,
        action: Action::Put(json!({})),
    };
    let operations = vec![
        put(format!("{QUARANTINE_PREFIX}{fingerprint}")),
        put(QUARANTINE_MARK_KEY.to_owned()),
    ];
    Transaction { operations }
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
        value: to_json(record),
    });
    let turns = turns.iter().map(|record| RecordPut {
        key: turn_key(shard, record),
        value: to_json(record),
    });
    programs.chain(turns).collect()
}

fn to_json(record: &impl Serialize) -> String {
    serde_json::to_string(record).expect("a record has a JSON form")
}

/// The transaction of a group commit.
pub fn commit_transaction(batch: &CommitBatch, owner: &str, incarnation: &str) -> Transaction {
    let shards = batch.shards.iter().map(|write| Operation {
        key: shard_key(write.shard),
        condition: Condition::Version(write.version),
        action: put_shard(owner, incarnation, write.epoch, batch.write_id),
    });
    let records = batch.records.iter().map(|record| Operation {
        key: record.key.clone(),
        condition: Condition::Any,
        action: Action::Put(serde_json::from_str(&record.value).unwrap_or(Value::Null)),
    });
    Transaction {
        operations: shards.chain(records).collect(),
    }
}

/// The transaction of a takeover.
pub fn takeover_transaction(
    takeover: &Takeover,
    owner: &str,
    incarnation: &str,
    write_id: u64,
) -> Transaction {
    let mut operations: Vec<Operation> = takeover
        .shards
        .iter()
        .map(|(shard, version, epoch)| Operation {
            key: shard_key(*shard),
            condition: condition(*version),
            action: put_shard(owner, incarnation, *epoch, write_id),
        })
        .collect();
    if let Some((silent, version)) = &takeover.silent_host {
        operations.push(Operation {
            key: host_key(silent),
            condition: condition(*version),
            action: Action::Delete,
        });
    }
    Transaction { operations }
}

/// The transaction that passes a shard on.
pub fn handoff_transaction(
    shard: Shard,
    version: u64,
    epoch: Epoch,
    successor: &(HostId, Incarnation),
    write_id: u64,
) -> Transaction {
    let operation = Operation {
        key: shard_key(shard),
        condition: Condition::Version(version),
        action: put_shard(&successor.0, &successor.1, epoch, write_id),
    };
    Transaction {
        operations: vec![operation],
    }
}

fn condition(version: Option<u64>) -> Condition {
    version.map_or(Condition::Absent, Condition::Version)
}

fn put_shard(owner: &str, incarnation: &str, epoch: Epoch, write_id: u64) -> Action {
    Action::Put(json!(ShardValue {
        owner: owner.to_owned(),
        incarnation: incarnation.to_owned(),
        epoch,
        write_id,
    }))
}

/// Reads the row of an entry; none when it is not one.
pub fn host_row(row: &Row) -> Option<(HostRow, HostValue)> {
    let host = row.key.strip_prefix(HOST_PREFIX)?;
    let value: HostValue = serde_json::from_value(row.value.clone()).ok()?;
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
    let shard = row.key.strip_prefix(SHARD_PREFIX)?.parse().ok()?;
    let value: ShardValue = serde_json::from_value(row.value.clone()).ok()?;
    let view = ShardRow {
        shard,
        version: row.version,
        owner: value.owner,
        incarnation: value.incarnation,
        epoch: value.epoch,
    };
    Some((view, value.write_id))
}
