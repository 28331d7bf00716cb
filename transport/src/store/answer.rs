//! What the store's answers say.

use bytes::Bytes;
use rosebend_platform::DecodeError;
use rosebend_platform::store::{self as wire, Rows, StoreStatus};

use super::StoreError;

/// What an answer, or its absence, says.
pub(super) fn judge(answer: Result<(u16, Bytes), String>) -> Result<(u16, Bytes), StoreError> {
    let (status, body) = answer.map_err(StoreError::NoAnswer)?;
    match wire::status(status) {
        StoreStatus::Refused => Err(StoreError::Refused),
        StoreStatus::Throttled => Err(StoreError::Throttled),
        StoreStatus::Rejected => Err(StoreError::Rejected(format!("status {status}"))),
        StoreStatus::Unknown => Err(StoreError::NoAnswer(format!("status {status}"))),
        StoreStatus::Done | StoreStatus::Conflict | StoreStatus::HistoryGone => Ok((status, body)),
    }
}

/// The rows that an answer holds.
pub(super) fn decode_rows((status, body): (StoreStatus, Bytes)) -> Result<Rows, StoreError> {
    match status {
        StoreStatus::Done => wire::decode_rows(&body).map_err(unreadable),
        status => Err(unexpected(status)),
    }
}

/// What was done is not known where the answer can't be read.
pub(super) fn unreadable(error: DecodeError) -> StoreError {
    StoreError::NoAnswer(error.to_string())
}

pub(super) fn no_progress() -> StoreError {
    StoreError::NoAnswer("a page that does not go on".to_owned())
}

pub(super) fn unexpected(status: StoreStatus) -> StoreError {
    match status {
        StoreStatus::HistoryGone => StoreError::HistoryGone,
        StoreStatus::Refused => StoreError::Refused,
        StoreStatus::Throttled => StoreError::Throttled,
        status => StoreError::NoAnswer(format!("unexpected status {status:?}")),
    }
}
