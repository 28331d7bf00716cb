//! How one gateway asks another to commit for it, and how that one answers.
//!
//! The head of the answer goes out once the transaction was read, and its body
//! once the store has answered: so a gatherer that is gone or stands still is
//! told from a store that is slow.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;

use actix_http::body::{BodyStream, BoxBody, MessageBody};
use actix_http::{Response, StatusCode};
use bytes::Bytes;
use http::{Method, Request};
use http_body_util::{BodyExt, Full, Limited};
use rosebend_coordination::gateway::gatherers::Candidate;
use rosebend_coordination::gateway::history::partitions;
use rosebend_coordination::gateway::ledger::Holder;
use rosebend_protocol::commit::{
    CommitError, Committed, decode_committed, decode_request, encode_committed, encode_request,
};
use rosebend_state::deployment::Transaction;
use rosebend_transport::connection::{Connection, ConnectionError};
use rosebend_transport::event::{Event, EventKind, log_event};

use super::committed;
use crate::gateway::Gateway;

/// Path under which a gateway takes transactions of others. It lies beside the
/// calls to the store that peers pass on, whose paths have one segment.
pub const PATH: &str = "/peer/commit";
/// Largest answer that is read: the present rows of a transaction's conditions.
const MAX_ANSWER_BYTES: usize = 2 << 20;
/// Idle connections to one host that are kept. A host has one transaction of a
/// partition on its way, and few hosts gather more than two partitions.
const MAX_IDLE: usize = 3;

/// Why a gatherer did not say how a transaction ended.
#[derive(Debug, thiserror::Error)]
pub enum AskError {
    /// Nothing was sent, or it broke off.
    #[error("no connection to the gatherer: {0}")]
    Connection(#[from] ConnectionError),
    /// It took the transaction and broke off.
    #[error("the gatherer's answer broke off")]
    Broken,
    /// It does not take the transaction.
    #[error("the gatherer refuses the transaction with status {0}")]
    Refused(u16),
    /// The answer is none.
    #[error("the gatherer's answer is none: {0}")]
    Malformed(#[from] CommitError),
}

impl AskError {
    /// Word for logs.
    pub const fn word(&self) -> &'static str {
        match self {
            Self::Connection(_) => "unreachable",
            Self::Broken => "broken",
            Self::Refused(_) => "refused",
            Self::Malformed(_) => "malformed",
        }
    }
}

/// Connections to other gateways that are not in use.
#[derive(Debug, Default)]
pub struct PeerConnections {
    idle: RefCell<HashMap<SocketAddr, Vec<Connection>>>,
}

impl PeerConnections {
    /// Asks a gateway to commit a transaction. `accepted` is set once it says that
    /// it has it.
    ///
    /// # Errors
    ///
    /// Tells why nothing is known of the transaction.
    pub async fn ask(
        &self,
        gatherer: &Candidate<SocketAddr>,
        transaction: &Transaction,
        accepted: &Cell<bool>,
    ) -> Result<Committed, AskError> {
        let address = gatherer.address;
        let request = Request::builder()
            .method(Method::POST)
            .uri(PATH)
            .header(http::header::HOST, address.to_string())
            .body(Full::new(Bytes::from(encode_request(
                &gatherer.run,
                transaction,
            ))))
            .expect("a path and an address are valid");
        let mut connection = match self.take(address) {
            Some(connection) => connection,
            None => Connection::open(address).await?,
        };
        let response = connection.send(request).await?;
        if response.status() != http::StatusCode::OK {
            return Err(AskError::Refused(response.status().as_u16()));
        }
        accepted.set(true);
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES).collect();
        let body = body.await.map_err(|_| AskError::Broken)?;
        let committed = decode_committed(&body.to_bytes())?;
        self.keep(address, connection);
        Ok(committed)
    }

    fn take(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let idle = idle.get_mut(&address)?;
        while let Some(connection) = idle.pop() {
            if connection.is_clean() {
                return Some(connection);
            }
        }
        None
    }

    fn keep(&self, address: SocketAddr, connection: Connection) {
        let mut idle = self.idle.borrow_mut();
        let idle = idle.entry(address).or_default();
        if idle.len() < MAX_IDLE {
            idle.push(connection);
        }
    }

    /// Drops connections to hosts that are not there any more.
    pub fn retain(&self, is_there: impl Fn(&SocketAddr) -> bool) {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|address, _| is_there(address));
    }
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
fn read(message: &[u8], own_run: &Holder) -> Result<Transaction, MessageError> {
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
