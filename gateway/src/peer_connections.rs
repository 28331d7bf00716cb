//! Requests to other gateways by HTTP, on persistent connections.
//!
//! A gateway sends the head of its response as soon as it has read the request, and the
//! body once the answer is complete. This distinguishes a host that is down or frozen
//! from one that still works on the answer.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use http::{Method, Request};
use http_body_util::Full;
use rosebend_platform::headers::decode_answer;
use rosebend_transport::byte_budget::ByteBudget;
use rosebend_transport::connection::{Connection, ConnectionError};

/// Maximum size of an answer in bytes. The largest is a whole table, which is sent to a
/// host that follows it.
const MAX_ANSWER_BYTES: usize = 2 << 20;
/// Memory for the answers that are read at the same time.
const MAX_BODIES_BYTES: usize = 4 << 20;
/// Maximum number of idle connections to one host. A host has one transaction of each
/// partition in flight, and few hosts are the batcher of more than two partitions.
const MAX_IDLE: usize = 4;

/// A failure to get an answer from another gateway.
#[derive(Debug, thiserror::Error)]
pub enum PeerError {
    /// The connection could not be opened, or it failed before the response began.
    #[error("connection to the gateway failed: {0}")]
    Connection(#[from] ConnectionError),
    /// The gateway accepted the request, but the body of its response is incomplete or
    /// too large, or its framing does not tell whether it is complete.
    #[error("the body of the gateway's response is incomplete or too large")]
    Broken,
    /// The gateway refused the request with this status.
    #[error("the gateway refused the request with status {0}")]
    Refused(u16),
}

impl PeerError {
    /// Returns the value of the `reason` field in the log.
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::Connection(_) => "unreachable",
            Self::Broken => "broken",
            Self::Refused(_) => "refused",
        }
    }
}

/// The idle connections to other gateways.
#[derive(Debug)]
pub struct PeerConnections {
    idle: RefCell<HashMap<SocketAddr, Vec<Connection>>>,
    bodies: Rc<ByteBudget>,
}

/// Creates the memory for the answers of other gateways, which all connections share.
pub fn answer_budget() -> Rc<ByteBudget> {
    Rc::new(ByteBudget::new(MAX_BODIES_BYTES))
}

impl Default for PeerConnections {
    fn default() -> Self {
        Self::new(answer_budget())
    }
}

impl PeerConnections {
    /// Creates a set without connections.
    pub fn new(bodies: Rc<ByteBudget>) -> Self {
        Self {
            idle: RefCell::default(),
            bodies,
        }
    }

    /// Sends a request to a gateway and returns the body of its response. `accepted` is
    /// set once the gateway acknowledges the request.
    ///
    /// # Errors
    ///
    /// Returns an error if the gateway cannot be reached, refuses the request or does not
    /// complete its response.
    pub async fn ask(
        &self,
        address: SocketAddr,
        path: &'static str,
        payload: Vec<u8>,
        accepted: &Cell<bool>,
    ) -> Result<Bytes, PeerError> {
        let request = Request::builder()
            .method(Method::POST)
            .uri(path)
            .header(http::header::HOST, address.to_string())
            .body(Full::new(Bytes::from(payload)))
            .expect("a path and an address are valid");
        let mut connection = match self.take_idle(address) {
            Some(connection) => connection,
            None => Connection::open(address).await?,
        };
        let response = connection.send(request).await?;
        if response.status() != http::StatusCode::OK {
            return Err(PeerError::Refused(response.status().as_u16()));
        }
        accepted.set(true);
        // Messages have no end of their own: a part of one may decode as a shorter one.
        if decode_answer(response.headers()).is_close_delimited {
            return Err(PeerError::Broken);
        }
        let body = self
            .bodies
            .read(response.into_body(), MAX_ANSWER_BYTES)
            .await;
        let body = body.map_err(|_| PeerError::Broken)?;
        self.put_idle(address, connection);
        Ok(body)
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let idle = idle.get_mut(&address)?;
        while let Some(connection) = idle.pop() {
            if connection.is_clean() {
                return Some(connection);
            }
        }
        None
    }

    fn put_idle(&self, address: SocketAddr, connection: Connection) {
        let mut idle = self.idle.borrow_mut();
        let idle = idle.entry(address).or_default();
        if idle.len() < MAX_IDLE {
            idle.push(connection);
        }
    }

    /// Closes the connections to addresses for which `is_listed` returns false.
    pub fn retain(&self, is_listed: impl Fn(&SocketAddr) -> bool) {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|address, _| is_listed(address));
    }
}
