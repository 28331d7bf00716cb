//! Asks another gateway what changed.

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

/// Timeout for the head of an answer, which comes at once.
const HEAD_TIMEOUT: Duration = Duration::from_millis(250);
/// Timeout for the rest of an answer beyond the wait that was asked for.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(350);

/// An answer, and when it was given at the latest.
#[derive(Debug)]
pub(super) struct Answered {
    pub(super) answer: FollowAnswer,
    /// One that waited to be read tells nothing of the time since.
    pub(super) at: Duration,
}

/// Why a host that is followed gave nothing.
#[derive(Debug, thiserror::Error)]
pub(super) enum AskError {
    #[error(transparent)]
    Peer(#[from] PeerError),
    #[error(transparent)]
    Malformed(#[from] FollowError),
    #[error("it does not answer in time")]
    Silent,
}

impl AskError {
    /// Word for logs.
    pub(super) const fn word(&self) -> &'static str {
        match self {
            Self::Peer(error) => error.as_str(),
            Self::Malformed(_) => "malformed",
            Self::Silent => "silent",
        }
    }
}

impl Feeds {
    pub(super) async fn ask(
        &self,
        host: &PeerHost<SocketAddr>,
        table: FollowedTable,
        wait: Duration,
    ) -> Result<Answered, AskError> {
        let latest = self.clock.now() + wait + ANSWER_TIMEOUT;
        let question = encode_request(&FollowRequest {
            asked_run: host.process.clone(),
            table: table.name().to_owned(),
            after: self.version(table),
            wait,
            knows_store_unavailable: self.store_state.is_unavailable_upstream(),
        });
        let accepted = Cell::new(false);
        let answer = self
            .connections
            .ask(host.address, PATH, question, &accepted);
        let mut answer = std::pin::pin!(answer);
        let head = tokio::time::timeout(HEAD_TIMEOUT, &mut answer).await;
        let answer = match head {
            Ok(answer) => answer?,
            Err(_) if !accepted.get() => return Err(AskError::Silent),
            Err(_) => tokio::time::timeout(wait + ANSWER_TIMEOUT, answer)
                .await
                .map_err(|_| AskError::Silent)??,
        };
        Ok(Answered {
            answer: decode_answer(table.name(), &answer)?,
            at: self.clock.now().min(latest),
        })
    }
}
