//! Questions to other gateways by HTTP, on connections that are kept.
//!
//! The head of an answer is sent once the question was read, and its body once it is
//! complete, which distinguishes a host that is gone or frozen from one that waits.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;

use bytes::Bytes;
use http::{Method, Request};
use http_body_util::{BodyExt, Full, Limited};
use rosebend_transport::connection::{Connection, ConnectionError};

/// Largest answer that is read: a whole table that another host follows.
const MAX_ANSWER_BYTES: usize = 4 << 20;
/// Idle connections to one host that are kept. A host has one transaction of a
/// partition on its way, and few hosts gather more than two partitions.
const MAX_IDLE: usize = 4;

/// Why another gateway did not answer.
#[derive(Debug, thiserror::Error)]
pub enum PeerError {
    /// Nothing was sent, or it broke off.
    #[error("no connection to the gateway: {0}")]
    Connection(#[from] ConnectionError),
    /// It took the question and broke off.
    #[error("the gateway's answer broke off")]
    Broken,
    /// It does not take the question.
    #[error("the gateway refuses the question with status {0}")]
    Refused(u16),
}

impl PeerError {
    /// Word for logs.
    pub const fn word(&self) -> &'static str {
        match self {
            Self::Connection(_) => "unreachable",
            Self::Broken => "broken",
            Self::Refused(_) => "refused",
        }
    }
}

/// Connections to other gateways that are not in use.
#[derive(Debug, Default)]
pub struct PeerConnections {
    idle: RefCell<HashMap<SocketAddr, Vec<Connection>>>,
}

impl PeerConnections {
    /// Asks a gateway. `accepted` is set once it says that it has the question.
    ///
    /// # Errors
    ///
    /// Tells why there is no answer.
    pub async fn ask(
        &self,
        address: SocketAddr,
        path: &'static str,
        question: Vec<u8>,
        accepted: &Cell<bool>,
    ) -> Result<Bytes, PeerError> {
        let request = Request::builder()
            .method(Method::POST)
            .uri(path)
            .header(http::header::HOST, address.to_string())
            .body(Full::new(Bytes::from(question)))
            .expect("a path and an address are valid");
        let mut connection = match self.take(address) {
            Some(connection) => connection,
            None => Connection::open(address).await?,
        };
        let response = connection.send(request).await?;
        if response.status() != http::StatusCode::OK {
            return Err(PeerError::Refused(response.status().as_u16()));
        }
        accepted.set(true);
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES).collect();
        let body = body.await.map_err(|_| PeerError::Broken)?;
        self.keep(address, connection);
        Ok(body.to_bytes())
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
