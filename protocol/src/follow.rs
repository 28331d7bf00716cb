//! The messages by which a gateway follows a table of the store at another gateway.
//!
//! The answer is held back until there is something to tell, or for the time that
//! the asker wants to wait. Whatever is not of this form, or of another version of
//! it, is refused with the reason; nothing of it is used.

use std::time::Duration;

use prost::Message;
use rosebend_state::deployment::{Row, RowId, RowVersion};

/// Version of the form. A message of another one is refused, and its sender reads
/// the store itself.
const FORM: u32 = 1;
/// Longest time for which an answer may be held back.
pub const MAX_WAIT: Duration = Duration::from_secs(5);

/// Why a message is not used.
#[derive(Debug, thiserror::Error)]
#[error(transparent)]
pub struct FollowError(#[from] FollowErrorKind);

/// What is wrong; opaque to others, who can only tell it.
#[derive(Debug, thiserror::Error)]
enum FollowErrorKind {
    #[error("not the form of a follow message: {0}")]
    Form(#[from] prost::DecodeError),
    #[error("a follow message of form {0}, and this version knows form {FORM}")]
    OtherForm(u32),
    #[error("a wait of {0} ms, and at most {MAX_WAIT:?} is allowed")]
    Wait(u64),
    #[error("a row without a key")]
    Row,
}

/// What a follower asks.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FollowRequest {
    /// The run of a process that is asked, as HOST/RUN. The address may be another
    /// one's by now, whose store is another, too.
    pub asked_run: String,
    /// The table.
    pub table: String,
    /// Version of the store as of which the asker knows the table; none when it
    /// knows nothing.
    pub after: Option<RowVersion>,
    /// How long the answer may be held back; at most [`MAX_WAIT`].
    pub wait: Duration,
    /// Whether the asker was told that the store is unavailable. A change of that is
    /// answered at once.
    pub knows_store_unavailable: bool,
}

/// What the host that is asked knows.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct FollowAnswer {
    /// Whether `rows` are all rows of the table.
    pub is_whole: bool,
    /// Version of the store as of which it knows the table; none when it knows
    /// nothing.
    pub version: Option<RowVersion>,
    /// Rows that the asker lacks, in the order of their changes.
    pub rows: Vec<Row>,
    /// How long ago the store had nothing newer.
    pub age: Duration,
    /// Whether the store is unavailable to the host, or to the one that it follows.
    pub is_store_unavailable: bool,
    /// How long ago the store was last unavailable to either; none when it never was.
    pub store_unavailable_ago: Option<Duration>,
}

#[derive(Clone, PartialEq)]
#[derive(Message)]
struct WireRequest {
    #[prost(uint32, tag = "1")]
    form: u32,
    #[prost(string, tag = "2")]
    asked_run: String,
    #[prost(string, tag = "3")]
    table: String,
    #[prost(uint64, optional, tag = "4")]
    after: Option<u64>,
    #[prost(uint64, tag = "5")]
    wait_ms: u64,
    #[prost(bool, tag = "6")]
    knows_store_unavailable: bool,
}

#[derive(Clone, PartialEq)]
#[derive(Message)]
struct WireAnswer {
    #[prost(uint32, tag = "1")]
    form: u32,
    #[prost(bool, tag = "2")]
    is_whole: bool,
    #[prost(uint64, optional, tag = "3")]
    version: Option<u64>,
    #[prost(message, repeated, tag = "4")]
    rows: Vec<WireRow>,
    #[prost(uint64, tag = "5")]
    age_ms: u64,
    #[prost(bool, tag = "6")]
    is_store_unavailable: bool,
    #[prost(uint64, optional, tag = "7")]
    store_unavailable_ago_ms: Option<u64>,
}

#[derive(Clone, PartialEq)]
#[derive(Message)]
struct WireRow {
    #[prost(string, tag = "1")]
    key: String,
    #[prost(uint64, tag = "2")]
    version: u64,
    /// Left out of a row that was deleted.
    #[prost(bytes = "vec", optional, tag = "3")]
    value: Option<Vec<u8>>,
}

/// The message that asks.
pub fn encode_request(request: &FollowRequest) -> Vec<u8> {
    let wire = WireRequest {
        form: FORM,
        asked_run: request.asked_run.clone(),
        table: request.table.clone(),
        after: request.after,
        wait_ms: whole_ms(request.wait),
        knows_store_unavailable: request.knows_store_unavailable,
    };
    wire.encode_to_vec()
}

/// Reads the message that asks.
///
/// # Errors
///
/// Tells what is wrong with it: anyone may send one.
pub fn decode_request(message: &[u8]) -> Result<FollowRequest, FollowError> {
    let wire = WireRequest::decode(message).map_err(FollowErrorKind::Form)?;
    if wire.form != FORM {
        return Err(FollowErrorKind::OtherForm(wire.form).into());
    }
    let wait = Duration::from_millis(wire.wait_ms);
    if wait > MAX_WAIT {
        return Err(FollowErrorKind::Wait(wire.wait_ms).into());
    }
    Ok(FollowRequest {
        asked_run: wire.asked_run,
        table: wire.table,
        after: wire.after,
        wait,
        knows_store_unavailable: wire.knows_store_unavailable,
    })
}

/// The message that answers.
pub fn encode_answer(answer: &FollowAnswer) -> Vec<u8> {
    let rows = answer.rows.iter().map(|row| WireRow {
        key: row.id.key.clone(),
        version: row.version,
        value: row.value.clone(),
    });
    let wire = WireAnswer {
        form: FORM,
        is_whole: answer.is_whole,
        version: answer.version,
        rows: rows.collect(),
        age_ms: whole_ms(answer.age),
        is_store_unavailable: answer.is_store_unavailable,
        store_unavailable_ago_ms: answer.store_unavailable_ago.map(whole_ms),
    };
    wire.encode_to_vec()
}

/// Reads the message that answers a question about a table.
///
/// # Errors
///
/// Tells what is wrong with it; nothing of it is used.
pub fn decode_answer(table: &str, message: &[u8]) -> Result<FollowAnswer, FollowError> {
    let wire = WireAnswer::decode(message).map_err(FollowErrorKind::Form)?;
    if wire.form != FORM {
        return Err(FollowErrorKind::OtherForm(wire.form).into());
    }
    let row = |row: WireRow| match row.key.is_empty() {
        true => Err(FollowErrorKind::Row),
        false => Ok(Row {
            id: RowId::new(table, "", row.key),
            version: row.version,
            value: row.value,
        }),
    };
    let rows: Result<Vec<Row>, _> = wire.rows.into_iter().map(row).collect();
    Ok(FollowAnswer {
        is_whole: wire.is_whole,
        version: wire.version,
        rows: rows?,
        age: Duration::from_millis(wire.age_ms),
        is_store_unavailable: wire.is_store_unavailable,
        store_unavailable_ago: wire.store_unavailable_ago_ms.map(Duration::from_millis),
    })
}

fn whole_ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
