//! The messages by which gateways keep the history of programs for each other: what was
//! written, and questions for it.

use prost::Message;
use rosebend_state::deployment::{AttemptId, ProgramKey, Row};

use crate::rows::{RowError, WireRow, present_rows, wire_row};

/// Version of the form. A message of another one is refused, and its sender reads the store.
const FORM: u32 = 1;

/// Why a message is not used.
#[derive(Debug, thiserror::Error)]
#[error(transparent)]
pub struct RecentError(#[from] RecentErrorKind);

/// What is wrong; opaque to others, who can only tell it.
#[derive(Debug, thiserror::Error)]
enum RecentErrorKind {
    #[error("not the form of a recent program: {0}")]
    Form(#[from] prost::DecodeError),
    #[error("a recent program of form {0}, and this version knows form {FORM}")]
    OtherForm(u32),
    #[error(transparent)]
    Row(#[from] RowError),
}

/// What one gateway asks of another.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RecentRequest {
    /// The run of a process that is asked, as HOST/RUN.
    pub asked_run: String,
    /// The program.
    pub program: ProgramKey,
}

/// What one gateway has another one keep.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeepRequest {
    /// The run of a process that is asked, as HOST/RUN.
    pub asked_run: String,
    /// The program.
    pub program: ProgramKey,
    /// The turn from which the rows go on; empty where they begin the program.
    pub previous: AttemptId,
    /// Rows of the program, which are durable.
    pub rows: Vec<Row>,
}

#[derive(Clone, PartialEq)]
#[derive(Message)]
struct WireKeep {
    #[prost(uint32, tag = "1")]
    form: u32,
    #[prost(string, tag = "2")]
    asked_run: String,
    #[prost(string, tag = "3")]
    program: String,
    #[prost(string, tag = "4")]
    previous: String,
    #[prost(string, tag = "5")]
    partition: String,
    #[prost(message, repeated, tag = "6")]
    rows: Vec<WireRow>,
}

#[derive(Clone, PartialEq)]
#[derive(Message)]
struct WireKept {
    #[prost(uint32, tag = "1")]
    form: u32,
    #[prost(bool, tag = "2")]
    is_gapless: bool,
}

#[derive(Clone, PartialEq)]
#[derive(Message)]
struct WireRequest {
    #[prost(uint32, tag = "1")]
    form: u32,
    #[prost(string, tag = "2")]
    asked_run: String,
    #[prost(string, tag = "3")]
    program: String,
}

#[derive(Clone, PartialEq)]
#[derive(Message)]
struct WireAnswer {
    #[prost(uint32, tag = "1")]
    form: u32,
    #[prost(string, tag = "2")]
    partition: String,
    #[prost(message, repeated, tag = "3")]
    rows: Vec<WireRow>,
}

/// The message that asks.
pub fn encode_request(request: &RecentRequest) -> Vec<u8> {
    let wire = WireRequest {
        form: FORM,
        asked_run: request.asked_run.clone(),
        program: request.program.clone(),
    };
    wire.encode_to_vec()
}

/// Reads the message that asks.
///
/// # Errors
///
/// Tells what is wrong with it: anyone may send one.
pub fn decode_request(message: &[u8]) -> Result<RecentRequest, RecentError> {
    let wire = WireRequest::decode(message).map_err(RecentErrorKind::Form)?;
    check_form(wire.form)?;
    Ok(RecentRequest {
        asked_run: wire.asked_run,
        program: wire.program,
    })
}

/// The message that has rows of one partition kept.
pub fn encode_keep(request: &KeepRequest) -> Vec<u8> {
    let wire = WireKeep {
        form: FORM,
        asked_run: request.asked_run.clone(),
        program: request.program.clone(),
        previous: request.previous.clone(),
        partition: partition_of(&request.rows),
        rows: request.rows.iter().map(wire_row).collect(),
    };
    wire.encode_to_vec()
}

/// Reads the message that has rows kept.
///
/// # Errors
///
/// Tells what is wrong with it: anyone may send one.
pub fn decode_keep(message: &[u8]) -> Result<KeepRequest, RecentError> {
    let wire = WireKeep::decode(message).map_err(RecentErrorKind::Form)?;
    check_form(wire.form)?;
    let rows = present_rows(&wire.partition, wire.rows);
    Ok(KeepRequest {
        asked_run: wire.asked_run,
        program: wire.program,
        previous: wire.previous,
        rows: rows.map_err(RecentErrorKind::Row)?,
    })
}

/// The message that says whether what is kept has no gap.
pub fn encode_kept(is_gapless: bool) -> Vec<u8> {
    let wire = WireKept {
        form: FORM,
        is_gapless,
    };
    wire.encode_to_vec()
}

/// Reads whether what is kept has no gap.
///
/// # Errors
///
/// Tells what is wrong with the message.
pub fn decode_kept(message: &[u8]) -> Result<bool, RecentError> {
    let wire = WireKept::decode(message).map_err(RecentErrorKind::Form)?;
    check_form(wire.form)?;
    Ok(wire.is_gapless)
}

/// The message that answers with rows of one partition.
pub fn encode_rows(rows: &[Row]) -> Vec<u8> {
    let wire = WireAnswer {
        form: FORM,
        partition: partition_of(rows),
        rows: rows.iter().map(wire_row).collect(),
    };
    wire.encode_to_vec()
}

/// Reads the message that answers.
///
/// # Errors
///
/// Tells what is wrong with it; nothing of it is used then.
pub fn decode_rows(message: &[u8]) -> Result<Vec<Row>, RecentError> {
    let wire = WireAnswer::decode(message).map_err(RecentErrorKind::Form)?;
    check_form(wire.form)?;
    let rows = present_rows(&wire.partition, wire.rows);
    Ok(rows.map_err(RecentErrorKind::Row)?)
}

fn partition_of(rows: &[Row]) -> String {
    let partition = rows.first().map(|row| row.id.partition.clone());
    partition.unwrap_or_default()
}

fn check_form(form: u32) -> Result<(), RecentError> {
    match form {
        FORM => Ok(()),
        form => Err(RecentErrorKind::OtherForm(form).into()),
    }
}
