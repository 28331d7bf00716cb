//! The message by which a gateway has another one commit a transaction, and its
//! answer.
//!
//! Values are bytes here, not text as in the store's own calls, so that a part
//! costs about three quarters of what it costs there. Whatever is not of this
//! form, or of another version of it, is refused with the reason; nothing of it
//! is used.

use prost::Message;
use rosebend_state::deployment::{
    Condition, MAX_TRANSACTION_ENTRIES, Row, RowVersion, RowWrite, Transaction,
};

use crate::rows::{RowError, WireRow, present_rows, row_id, wire_id, wire_row};

/// Version of the form. A message of another one is refused, and its sender
/// commits without this host.
const FORM: u32 = 1;

/// Why a message is not used.
#[derive(Debug, thiserror::Error)]
#[error(transparent)]
pub struct CommitError(#[from] CommitErrorKind);

/// What is wrong; opaque to others, who can only tell it.
#[derive(Debug, thiserror::Error)]
enum CommitErrorKind {
    #[error("not the form of a commit: {0}")]
    Form(#[from] prost::DecodeError),
    #[error("a commit of form {0}, and this version knows form {FORM}")]
    OtherForm(u32),
    #[error("a transaction of {0} entries, and at most {MAX_TRANSACTION_ENTRIES} are taken")]
    Entries(usize),
    #[error("a transaction over more than one partition")]
    Partitions,
    #[error(transparent)]
    Row(#[from] RowError),
    #[error("an answer that says nothing")]
    Answer,
}

/// How a transaction that another gateway committed ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Committed {
    /// It was applied, and gave its rows this version.
    Applied(RowVersion),
    /// A condition did not hold; these are the present rows.
    Conflict(Vec<Row>),
    /// The store takes no more calls for now; nothing was done.
    Throttled,
    /// The other gateway does not reach the store; nothing was done.
    Refused,
    /// The store refuses the partition and answers for others; nothing was done.
    PartitionRefused,
    /// The store did not answer: what was done is not known.
    NoAnswer,
    /// The store rejects the transaction, and would reject any copy of it; nothing was
    /// done.
    Rejected,
}

#[derive(Clone, PartialEq)]
#[derive(Message)]
struct WireCommit {
    #[prost(uint32, tag = "1")]
    form: u32,
    #[prost(string, tag = "2")]
    partition: String,
    #[prost(message, repeated, tag = "3")]
    conditions: Vec<WireRow>,
    #[prost(message, repeated, tag = "4")]
    writes: Vec<WireRow>,
    #[prost(message, repeated, tag = "5")]
    deletes: Vec<WireRow>,
    /// The run of a process that is asked.
    #[prost(string, tag = "6")]
    asked_run: String,
}

#[derive(Clone, PartialEq)]
#[derive(Message)]
struct WireCommitted {
    #[prost(uint32, tag = "1")]
    form: u32,
    #[prost(enumeration = "WireOutcome", tag = "2")]
    outcome: i32,
    /// Version of an applied transaction.
    #[prost(uint64, tag = "3")]
    version: u64,
    /// Partition and present rows of a conflict.
    #[prost(string, tag = "4")]
    partition: String,
    #[prost(message, repeated, tag = "5")]
    rows: Vec<WireRow>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(prost::Enumeration)]
#[repr(i32)]
enum WireOutcome {
    Unset = 0,
    Applied = 1,
    Conflict = 2,
    Throttled = 3,
    Refused = 4,
    NoAnswer = 5,
    PartitionRefused = 6,
    Rejected = 7,
}

/// What one gateway asks of another.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CommitRequest {
    /// The run of a process that is asked, as HOST/RUN. The address may be another
    /// one's by now, whose store is another, too.
    pub asked_run: String,
    /// What it is asked to commit.
    pub transaction: Transaction,
}

/// The message that asks a run of a gateway for a transaction.
pub fn encode_request(asked_run: &str, transaction: &Transaction) -> Vec<u8> {
    let partition = partition_of(transaction).unwrap_or_default();
    let conditions = transaction.conditions.iter();
    let conditions = conditions.map(|condition| WireRow {
        version: condition.version,
        ..wire_id(&condition.row)
    });
    let writes = transaction.writes.iter().map(|write| WireRow {
        value: write.value.clone(),
        ..wire_id(&write.row)
    });
    let commit = WireCommit {
        form: FORM,
        partition: partition.to_owned(),
        conditions: conditions.collect(),
        writes: writes.collect(),
        deletes: transaction.deletes.iter().map(wire_id).collect(),
        asked_run: asked_run.to_owned(),
    };
    commit.encode_to_vec()
}

/// Reads the message that asks for a transaction.
///
/// # Errors
///
/// Tells what is wrong with it: anyone may send one.
pub fn decode_request(message: &[u8]) -> Result<CommitRequest, CommitError> {
    let commit = WireCommit::decode(message).map_err(CommitErrorKind::Form)?;
    if commit.form != FORM {
        return Err(CommitErrorKind::OtherForm(commit.form).into());
    }
    let entries = commit.conditions.len() + commit.writes.len() + commit.deletes.len();
    if entries == 0 || entries > MAX_TRANSACTION_ENTRIES {
        return Err(CommitErrorKind::Entries(entries).into());
    }
    let id = |row: &WireRow| row_id(&commit.partition, row);
    let mut transaction = Transaction::default();
    for condition in &commit.conditions {
        transaction.conditions.push(Condition {
            row: id(condition).map_err(CommitErrorKind::Row)?,
            version: condition.version,
        });
    }
    for write in &commit.writes {
        transaction.writes.push(RowWrite {
            row: id(write).map_err(CommitErrorKind::Row)?,
            value: write.value.clone(),
        });
    }
    for delete in &commit.deletes {
        transaction
            .deletes
            .push(id(delete).map_err(CommitErrorKind::Row)?);
    }
    Ok(CommitRequest {
        asked_run: commit.asked_run,
        transaction,
    })
}

/// Whether a transaction can be asked for: it lies in one partition and has no
/// more entries than one may have.
///
/// # Errors
///
/// Tells why not.
pub fn check_transaction(transaction: &Transaction) -> Result<(), CommitError> {
    let entries = transaction.entries();
    if entries == 0 || entries > MAX_TRANSACTION_ENTRIES {
        return Err(CommitErrorKind::Entries(entries).into());
    }
    let partition = partition_of(transaction);
    match transaction
        .rows()
        .all(|row| Some(row.partition.as_str()) == partition)
    {
        true => Ok(()),
        false => Err(CommitErrorKind::Partitions.into()),
    }
}

/// The message that answers.
pub fn encode_committed(committed: &Committed) -> Vec<u8> {
    let mut wire = WireCommitted {
        form: FORM,
        ..WireCommitted::default()
    };
    let outcome = match committed {
        Committed::Applied(version) => {
            wire.version = *version;
            WireOutcome::Applied
        }
        Committed::Conflict(rows) => {
            let partition = rows.first().map(|row| row.id.partition.clone());
            wire.partition = partition.unwrap_or_default();
            wire.rows = rows.iter().map(wire_row).collect();
            WireOutcome::Conflict
        }
        Committed::Throttled => WireOutcome::Throttled,
        Committed::Refused => WireOutcome::Refused,
        Committed::PartitionRefused => WireOutcome::PartitionRefused,
        Committed::NoAnswer => WireOutcome::NoAnswer,
        Committed::Rejected => WireOutcome::Rejected,
    };
    wire.set_outcome(outcome);
    wire.encode_to_vec()
}

/// Reads the message that answers.
///
/// # Errors
///
/// Tells what is wrong with it; what was done is not known then.
pub fn decode_committed(message: &[u8]) -> Result<Committed, CommitError> {
    let wire = WireCommitted::decode(message).map_err(CommitErrorKind::Form)?;
    if wire.form != FORM {
        return Err(CommitErrorKind::OtherForm(wire.form).into());
    }
    match wire.outcome() {
        WireOutcome::Unset => Err(CommitErrorKind::Answer.into()),
        WireOutcome::Applied => Ok(Committed::Applied(wire.version)),
        WireOutcome::Conflict => {
            let rows = present_rows(&wire.partition, wire.rows);
            Ok(Committed::Conflict(rows.map_err(CommitErrorKind::Row)?))
        }
        WireOutcome::Throttled => Ok(Committed::Throttled),
        WireOutcome::Refused => Ok(Committed::Refused),
        WireOutcome::PartitionRefused => Ok(Committed::PartitionRefused),
        WireOutcome::NoAnswer => Ok(Committed::NoAnswer),
        WireOutcome::Rejected => Ok(Committed::Rejected),
    }
}

fn partition_of(transaction: &Transaction) -> Option<&str> {
    let mut rows = transaction.rows();
    rows.next().map(|row| row.partition.as_str())
}
