//! Answers to the hosts that follow this one.
//!
//! An answer is delayed until the follower lacks a change, or until the wait that it
//! requested has passed (long polling).

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::{BodyStream, BoxBody, MessageBody};
use actix_http::{Response, StatusCode};
use bytes::Bytes;
use rosebend_coordination::gateway::ledger::ProcessId;
use rosebend_protocol::follow::{
    FollowAnswer, FollowError, FollowRequest, decode_request, encode_answer,
};
use rosebend_transport::event::{Event, EventKind, log_event};

use super::{Feeds, FollowedTable};
use crate::gateway::Gateway;

/// Path at which a gateway answers requests for the changes of a table.
pub const PATH: &str = "/peer/follow";

/// The reason for which a request of a follower is refused.
#[derive(Debug, thiserror::Error)]
enum RequestError {
    #[error(transparent)]
    Malformed(#[from] FollowError),
    #[error("table {0} is not one that hosts follow")]
    UnknownTable(String),
    #[error("the request is for process {0}, which does not run here")]
    OtherProcess(String),
}

/// Decodes a request for the changes of a table. Returns an error if it is for another
/// process, such as an earlier one at this address.
fn parse_request(
    message: &[u8],
    own_process: &ProcessId,
) -> Result<(FollowedTable, FollowRequest), RequestError> {
    let request = decode_request(message)?;
    let table = FollowedTable::from_name(&request.table);
    let table = table.ok_or_else(|| RequestError::UnknownTable(request.table.clone()))?;
    match request.asked_run == *own_process {
        true => Ok((table, request)),
        false => Err(RequestError::OtherProcess(request.asked_run)),
    }
}

/// Answers a request of a gateway that follows a table at this one. The head of the answer
/// is sent at once, so that the follower can distinguish a delayed answer from a host that
/// is down.
pub fn answer(gateway: &Gateway, message: &[u8]) -> Response<BoxBody> {
    let (table, request) = match parse_request(message, gateway.commits.process_id()) {
        Ok(parsed) => parsed,
        Err(error) => {
            log_event(&Event::new(EventKind::PeerRefused).error(&error));
            return Response::with_body(StatusCode::BAD_REQUEST, ().boxed());
        }
    };
    let feeds = Rc::clone(&gateway.feeds);
    let answer = async move {
        feeds.wait_for_changes(table, &request).await;
        Ok::<_, Infallible>(Bytes::from(encode_answer(&feeds.answer(table, &request))))
    };
    let body = BodyStream::new(Box::pin(futures_util::stream::once(answer)));
    Response::with_body(StatusCode::OK, body.boxed())
}

impl Feeds {
    /// Waits until there are changes that a follower lacks, at most for the wait that it
    /// requested.
    async fn wait_for_changes(&self, table: FollowedTable, request: &FollowRequest) {
        let deadline = tokio::time::sleep(request.wait);
        let mut deadline = std::pin::pin!(deadline);
        loop {
            let changed = self.cached(table).changed.notified();
            if self.has_changes(table, request) {
                return;
            }
            tokio::select! {
                () = changed => {}
                () = &mut deadline => return,
            }
        }
    }

    /// Returns whether a follower lacks a change of the table or of the store's
    /// availability.
    fn has_changes(&self, table: FollowedTable, request: &FollowRequest) -> bool {
        if self.is_store_unavailable() != request.knows_store_unavailable {
            return true;
        }
        let replica = self.cached(table).replica.borrow();
        replica.has_changes_after(request.after)
    }

    /// Returns the changes that a follower lacks, their age and the availability of the
    /// store.
    fn answer(&self, table: FollowedTable, request: &FollowRequest) -> FollowAnswer {
        let replica = self.cached(table).replica.borrow();
        let changes = replica.changes_after(request.after);
        let version = changes.as_ref().map(|changes| changes.version);
        let changes = changes.unwrap_or_default();
        FollowAnswer {
            is_whole: changes.is_whole,
            version,
            rows: changes.rows,
            age: replica.age(self.clock.now()).unwrap_or(Duration::ZERO),
            is_store_unavailable: self.is_store_unavailable(),
            store_unavailable_ago: self.time_since_store_unavailable(),
        }
    }
}
