//! One HTTP/1.1 connection to an endpoint or to the store.
//!
//! The code that sends on a connection owns it: dropping it closes the socket,
//! which stops the work of an endpoint whose caller has left. `hyper`'s client
//! connection is used, since `awc` hides its connections in a pool that cannot
//! tell whether bytes wait on one.

use std::io::ErrorKind;
use std::net::{SocketAddr, TcpStream as StdStream};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::paced_stream::{PacedStream, ReadLimit};

/// Longest wait for a connection. One round trip takes a millisecond or two; a
/// lost opening packet is sent again only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// How long sent bytes may stay unacknowledged, and how long a peer may leave
/// probes unanswered, before the connection counts as dead.
const PEER_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between probes of an idle peer.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Largest buffer of a connection, which is also the longest head.
const MAX_BUFFER_BYTES: usize = 32 << 10;
/// Size of the receive buffer, which bounds the bytes that were received and not yet read.
const RECEIVE_BUFFER_BYTES: usize = 32 << 10;
/// Most bytes that are read until the head of a response is complete.
const MAX_HEAD_BYTES: usize = 128 << 10;

/// Why nothing came back.
#[derive(Debug, thiserror::Error)]
pub enum ConnectionError {
    /// No connection came about.
    #[error("no connection: {0}")]
    Connect(std::io::Error),
    /// The request was not written.
    #[error("not sent: {0}")]
    NotSent(hyper::Error),
    /// The connection broke after something was written.
    #[error("broken: {0}")]
    Broken(hyper::Error),
    /// The answer has a status that HTTP does not define. The request may have run.
    #[error("answered with the undefined status {0}")]
    UndefinedStatus(u16),
}

impl ConnectionError {
    /// Whether the machine refused the connection, since nothing listens there.
    pub fn is_refused(&self) -> bool {
        match self {
            Self::Connect(error) => error.kind() == ErrorKind::ConnectionRefused,
            Self::NotSent(_) | Self::Broken(_) | Self::UndefinedStatus(_) => false,
        }
    }
}

/// An open connection.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
    /// A second handle to the socket, to look for bytes that wait on it.
    socket: StdStream,
    /// Limit of the head of the response that is awaited.
    limit: ReadLimit,
    opened: Instant,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Fails when the peer does not accept it in time.
    pub async fn open(address: SocketAddr) -> Result<Self, ConnectionError> {
        let connecting = TcpStream::connect(address);
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await;
        let stream = stream
            .unwrap_or_else(|_| Err(ErrorKind::TimedOut.into()))
            .and_then(prepare)
            .map_err(ConnectionError::Connect)?;
        let (stream, socket) = stream;
        let stream = PacedStream::new(stream);
        let limit = stream.limit();
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_BUFFER_BYTES);
        let handshake = builder.handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(ConnectionError::NotSent)?;
        let driver = actix_rt::spawn(async move {
            // Each error also reaches the request that it concerns.
            let _ = connection.await;
        });
        Ok(Self {
            sender,
            driver,
            socket,
            limit,
            opened: Instant::now(),
        })
    }

    /// Time since it was opened.
    pub fn age(&self) -> Duration {
        self.opened.elapsed()
    }

    /// Whether a request may be sent: the connection is open and no byte waits
    /// on it. A byte that comes unasked belongs to no request.
    pub fn is_clean(&self) -> bool {
        let mut byte = [0];
        let peeked = self.socket.peek(&mut byte);
        let is_silent = matches!(peeked, Err(error) if error.kind() == ErrorKind::WouldBlock);
        is_silent && self.sender.is_ready()
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// Tells whether the request may have reached the peer. An answer whose status is not
    /// defined, or that switches to a protocol that was not asked for, is none.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, ConnectionError> {
        if let Err(error) = self.sender.ready().await {
            return Err(ConnectionError::NotSent(error));
        }
        self.limit.set(MAX_HEAD_BYTES);
        let response = self.sender.send_request(request).await;
        self.limit.lift();
        let response = response.map_err(|error| {
            if error.is_canceled() {
                ConnectionError::NotSent(error)
            } else {
                ConnectionError::Broken(error)
            }
        })?;
        match response.status().as_u16() {
            status @ (101 | 600..) => Err(ConnectionError::UndefinedStatus(status)),
            _ => Ok(response),
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Sets the socket's options and takes a second handle to it.
fn prepare(stream: TcpStream) -> std::io::Result<(TcpStream, StdStream)> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(&stream);
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    socket.set_tcp_user_timeout(Some(PEER_TIMEOUT))?;
    let probes = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(2);
    socket.set_tcp_keepalive(&probes)?;
    let stream = stream.into_std()?;
    let second = stream.try_clone()?;
    Ok((TcpStream::from_std(stream)?, second))
}
