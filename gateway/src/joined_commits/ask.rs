//! How one gateway asks another to commit for it, and how that one answers.

use std::cell::Cell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;

use actix_http::body::{BodyStream, BoxBody, MessageBody};
use actix_http::{Response, StatusCode};
use bytes::Bytes;
use rosebend_coordination::gateway::batchers::PeerHost;
use rosebend_coordination::gateway::history::partitions;
use rosebend_coordination::gateway::ledger::ProcessId;
use rosebend_protocol::commit::{
    CommitError, Committed, decode_committed, decode_request, encode_committed, encode_request,
};
use rosebend_state::deployment::Transaction;
use rosebend_transport::event::{Event, EventKind, log_event};

use super::committed;
use crate::gateway::Gateway;
use crate::peer_connections::{PeerConnections, PeerError};

/// Path under which a gateway takes transactions of others. It lies beside the
/// calls to the store that peers pass on, whose paths have one segment.
pub const PATH: &str = "/peer/commit";

/// Why a gatherer did not say how a transaction ended.
#[derive(Debug, thiserror::Error)]
pub enum AskError {
    /// It did not answer.
    #[error(transparent)]
    Peer(#[from] PeerError),
    /// The answer is none.
    #[error("the gatherer's answer is none: {0}")]
    Malformed(#[from] CommitError),
}

impl AskError {
    /// Word for logs.
    pub const fn word(&self) -> &'static str {
        match self {
            Self::Peer(error) => error.word(),
            Self::Malformed(_) => "malformed",
        }
    }
}

/// Asks a gateway to commit a transaction. `accepted` is set once it says that it
/// has it.
///
/// # Errors
///
/// Tells why nothing is known of the transaction.
pub async fn ask(
    connections: &PeerConnections,
    gatherer: &PeerHost<SocketAddr>,
    transaction: &Transaction,
    accepted: &Cell<bool>,
) -> Result<Committed, AskError> {
    let question = encode_request(&gatherer.process, transaction);
    let answer = connections.ask(gatherer.address, PATH, question, accepted);
    Ok(decode_committed(&answer.await?)?)
}

/// Why a message asks for nothing that is done for it.
#[derive(Debug, thiserror::Error)]
enum MessageError {
    #[error(transparent)]
    Malformed(#[from] CommitError),
    #[error("partition {0} holds no programs")]
    Partition(String),
    #[error("{0} is asked, which does not run here")]
    OtherRun(String),
}

/// The transaction that this process is asked for. One that is meant for another
/// is not committed: it may be of other hosts with another store.
fn read(message: &[u8], own_run: &ProcessId) -> Result<Transaction, MessageError> {
    let request = decode_request(message)?;
    let transaction = request.transaction;
    let partition = transaction.rows().next().map(|row| row.partition.clone());
    let partition = partition.unwrap_or_default();
    if !partitions().any(|known| known == partition) {
        return Err(MessageError::Partition(partition));
    }
    match request.asked_run == *own_run {
        true => Ok(transaction),
        false => Err(MessageError::OtherRun(request.asked_run)),
    }
}

/// Answers a gateway that asks for a transaction.
pub fn answer(gateway: &Rc<Gateway>, message: &[u8]) -> Response<BoxBody> {
    let transaction = match read(message, gateway.commits.holder()) {
        Ok(transaction) => transaction,
        Err(error) => {
            gateway.metrics.count_refused_commit();
            log_event(&Event::new(EventKind::PeerRefused).error(&error));
            return Response::with_body(StatusCode::BAD_REQUEST, ().boxed());
        }
    };
    if gateway.store.is_direct_down() {
        // Its sender may reach the store, or knows others.
        let body = Bytes::from(encode_committed(&Committed::Refused));
        return Response::with_body(StatusCode::OK, body.boxed());
    }
    let commits = Rc::clone(&gateway.joined_commits);
    let store = Rc::clone(&gateway.store);
    let outcome = async move {
        let outcome = commits.join(transaction).await;
        let committed = committed(outcome, !store.is_direct_down());
        Ok::<_, Infallible>(Bytes::from(encode_committed(&committed)))
    };
    let body = BodyStream::new(Box::pin(futures_util::stream::once(outcome)));
    Response::with_body(StatusCode::OK, body.boxed())
}
