//! Requests by which one gateway asks another to commit a transaction, and their
//! answers.

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

/// Path at which a gateway accepts transactions of others. It has two segments and so
/// differs from the paths of relayed calls to the store, which have one.
pub const PATH: &str = "/peer/commit";

/// A failure to get the outcome of a transaction from a batcher.
#[derive(Debug, thiserror::Error)]
pub enum AskError {
    /// The batcher did not answer.
    #[error(transparent)]
    Peer(#[from] PeerError),
    /// The answer cannot be decoded.
    #[error("malformed answer of the batcher: {0}")]
    Malformed(#[from] CommitError),
}

impl AskError {
    /// Returns the value of the `reason` field in the log.
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::Peer(error) => error.as_str(),
            Self::Malformed(_) => "malformed",
        }
    }
}

/// Asks a gateway to commit a transaction. `accepted` is set once the gateway
/// acknowledges it.
///
/// # Errors
///
/// Returns an error if the outcome of the transaction is unknown.
pub async fn ask(
    connections: &PeerConnections,
    batcher: &PeerHost<SocketAddr>,
    transaction: &Transaction,
    accepted: &Cell<bool>,
) -> Result<Committed, AskError> {
    let payload = encode_request(&batcher.process, transaction);
    let answer = connections.ask(batcher.address, PATH, payload, accepted);
    Ok(decode_committed(&answer.await?)?)
}

/// A request that this process refuses.
#[derive(Debug, thiserror::Error)]
enum RequestError {
    #[error(transparent)]
    Malformed(#[from] CommitError),
    #[error("partition {0} does not contain programs")]
    Partition(String),
    #[error("the request is addressed to process {0}, which is not this one")]
    OtherProcess(String),
}

/// Decodes a request and returns its transaction. A transaction that is addressed to
/// another process is refused, because it may come from another deployment, which has
/// another store.
fn decode_transaction(
    message: &[u8],
    own_process: &ProcessId,
) -> Result<Transaction, RequestError> {
    let request = decode_request(message)?;
    let transaction = request.transaction;
    let partition = transaction.rows().next().map(|row| row.partition.clone());
    let partition = partition.unwrap_or_default();
    if !partitions().any(|known| known == partition) {
        return Err(RequestError::Partition(partition));
    }
    match request.asked_run == *own_process {
        true => Ok(transaction),
        false => Err(RequestError::OtherProcess(request.asked_run)),
    }
}

/// Answers a gateway that asks this one to commit a transaction.
pub fn answer(gateway: &Rc<Gateway>, message: &[u8]) -> Response<BoxBody> {
    let transaction = match decode_transaction(message, gateway.commits.process_id()) {
        Ok(transaction) => transaction,
        Err(error) => {
            gateway.metrics.count_refused_commit();
            log_event(&Event::new(EventKind::PeerRefused).error(&error));
            return Response::with_body(StatusCode::BAD_REQUEST, ().boxed());
        }
    };
    if gateway.store.is_direct_down() {
        // The sender may reach the store itself or through another batcher.
        let body = Bytes::from(encode_committed(&Committed::Refused));
        return Response::with_body(StatusCode::OK, body.boxed());
    }
    let commits = Rc::clone(&gateway.batched_commits);
    let store = Rc::clone(&gateway.store);
    let outcome = async move {
        let outcome = commits.batch(transaction).await;
        let committed = committed(outcome, !store.is_direct_down());
        Ok::<_, Infallible>(Bytes::from(encode_committed(&committed)))
    };
    let body = BodyStream::new(Box::pin(futures_util::stream::once(outcome)));
    Response::with_body(StatusCode::OK, body.boxed())
}
