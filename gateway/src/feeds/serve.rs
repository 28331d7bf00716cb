//! Answers hosts that follow this one.

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

/// Path under which a gateway is asked what changed.
pub const PATH: &str = "/peer/follow";

/// Why a message asks for nothing that is answered.
#[derive(Debug, thiserror::Error)]
enum MessageError {
    #[error(transparent)]
    Malformed(#[from] FollowError),
    #[error("table {0} is followed by nobody")]
    Table(String),
    #[error("{0} is asked, which does not run here")]
    OtherRun(String),
}

fn read(
    message: &[u8],
    own_run: &ProcessId,
) -> Result<(FollowedTable, FollowRequest), MessageError> {
    let request = decode_request(message)?;
    let table = FollowedTable::from_name(&request.table);
    let table = table.ok_or_else(|| MessageError::Table(request.table.clone()))?;
    match request.asked_run == *own_run {
        true => Ok((table, request)),
        false => Err(MessageError::OtherRun(request.asked_run)),
    }
}

/// Answers a gateway that follows a table here.
pub fn answer(gateway: &Gateway, message: &[u8]) -> Response<BoxBody> {
    let (table, request) = match read(message, gateway.commits.process_id()) {
        Ok(asked) => asked,
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
    /// Waits for changes that a follower lacks, no longer than it asked for.
    async fn wait_for_changes(&self, table: FollowedTable, request: &FollowRequest) {
        let end = tokio::time::sleep(request.wait);
        let mut end = std::pin::pin!(end);
        loop {
            let changed = self.known(table).changed.notified();
            if self.has_changes(table, request) {
                return;
            }
            tokio::select! {
                () = changed => {}
                () = &mut end => return,
            }
        }
    }

    fn has_changes(&self, table: FollowedTable, request: &FollowRequest) -> bool {
        if self.is_store_unavailable() != request.knows_store_unavailable {
            return true;
        }
        let replica = self.known(table).replica.borrow();
        replica.has_changes_after(request.after)
    }

    fn answer(&self, table: FollowedTable, request: &FollowRequest) -> FollowAnswer {
        let replica = self.known(table).replica.borrow();
        let changes = replica.changes_after(request.after);
        let version = changes.as_ref().map(|changes| changes.version);
        let changes = changes.unwrap_or_default();
        FollowAnswer {
            is_whole: changes.is_whole,
            version,
            rows: changes.rows,
            age: replica.age(self.clock.now()).unwrap_or(Duration::ZERO),
            is_store_unavailable: self.is_store_unavailable(),
            store_unavailable_ago: self.store_away_ago(),
        }
    }
}
