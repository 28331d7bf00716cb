//! Requests the changes of a table from another gateway.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;

use rosebend_coordination::gateway::batchers::PeerHost;
use rosebend_protocol::follow::{
    FollowAnswer, FollowError, FollowRequest, decode_answer, encode_request,
};

use super::serve::PATH;
use super::{Feeds, FollowedTable};
use crate::peer_connections::PeerError;

/// Timeout for the head of an answer, which is sent before the wait for changes begins.
const HEAD_TIMEOUT: Duration = Duration::from_millis(250);
/// Timeout for the rest of an answer, in addition to the requested wait.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(350);

/// An answer of an upstream host, and the latest time at which it can have been sent.
#[derive(Debug)]
pub(super) struct ReceivedAnswer {
    pub(super) answer: FollowAnswer,
    /// The latest time at which the answer can have been sent. If this process reads the
    /// answer after the timeout of the request, this is the end of the timeout, because the
    /// rows may have changed since.
    pub(super) at: Duration,
}

/// The reason for which an upstream host gave no usable answer.
#[derive(Debug, thiserror::Error)]
pub(super) enum RequestError {
    #[error(transparent)]
    Peer(#[from] PeerError),
    #[error(transparent)]
    Malformed(#[from] FollowError),
    #[error("the host did not answer in time")]
    Timeout,
}

impl RequestError {
    /// Returns the `reason` code that is logged.
    pub(super) const fn as_str(&self) -> &'static str {
        match self {
            Self::Peer(error) => error.as_str(),
            Self::Malformed(_) => "malformed",
            Self::Timeout => "silent",
        }
    }
}

impl Feeds {
    /// Requests the changes of a table after this host's version from another host, which
    /// may wait up to `wait` for a change before it answers.
    pub(super) async fn request_changes(
        &self,
        host: &PeerHost<SocketAddr>,
        table: FollowedTable,
        wait: Duration,
    ) -> Result<ReceivedAnswer, RequestError> {
        let latest = self.clock.now() + wait + ANSWER_TIMEOUT;
        let request = encode_request(&FollowRequest {
            asked_run: host.process.clone(),
            table: table.name().to_owned(),
            after: self.version(table),
            wait,
            knows_store_unavailable: self.store_state.is_unavailable_upstream(),
        });
        let accepted = Cell::new(false);
        let answer = self.connections.ask(host.address, PATH, request, &accepted);
        let mut answer = std::pin::pin!(answer);
        let head = tokio::time::timeout(HEAD_TIMEOUT, &mut answer).await;
        let answer = match head {
            Ok(answer) => answer?,
            Err(_) if !accepted.get() => return Err(RequestError::Timeout),
            Err(_) => tokio::time::timeout(wait + ANSWER_TIMEOUT, answer)
                .await
                .map_err(|_| RequestError::Timeout)??,
        };
        Ok(ReceivedAnswer {
            answer: decode_answer(table.name(), &answer)?,
            at: self.clock.now().min(latest),
        })
    }
}
