//! gRPC channels to other processes, and how a silent one is noticed.
//!
//! A connection that went silent for good still looks open. Two things notice
//! it: HTTP/2 pings on the connection, and a deadline for progress on each
//! stream, since every stream carries a ping when it has nothing to say. A
//! silent channel is dropped from the cache, so that the next call opens a new
//! connection, and the stream is resumed there from its offset.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::{Duration, Instant},
};

use tonic::service::interceptor::InterceptedService;
use tonic::transport::{Channel, Endpoint};

use crate::host_token::HostToken;

/// A connection to another process, on which each request carries the token of
/// this one.
pub type PeerChannel = InterceptedService<Channel, HostToken>;

/// How long a connection may take to open.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// How often each side of a stream says something.
pub const PING_INTERVAL: Duration = Duration::from_millis(500);
/// How long a stream may be silent before its connection is given up.
pub const PROGRESS_TIMEOUT: Duration = Duration::from_millis(2000);
/// How long an unused channel stays open.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Time between two looks for unused channels.
const SWEEP_PERIOD: Duration = Duration::from_secs(5);
/// Largest message that is read.
pub const MAX_MESSAGE_BYTES: usize = 16 << 20;

/// No connection could be opened, so nothing was sent.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("no connection to {address}: {detail}")]
pub struct ConnectError {
    /// The address that was tried.
    pub address: String,
    /// What went wrong.
    pub detail: String,
}

#[derive(Debug)]
struct Open {
    channel: PeerChannel,
    used_at: Instant,
}

/// The open channels of one thread, by address.
#[derive(Clone, Debug)]
pub struct Peers {
    channels: Rc<RefCell<HashMap<String, Open>>>,
    token: HostToken,
    swept_at: Rc<Cell<Instant>>,
}

impl Peers {
    /// No channel yet; requests will carry `token`.
    pub fn new(token: HostToken) -> Self {
        Self {
            channels: Rc::default(),
            token,
            swept_at: Rc::new(Cell::new(Instant::now())),
        }
    }

    /// The channel to an address such as `127.0.0.1:7101`, opened when there
    /// is none. When this fails, nothing was sent.
    ///
    /// # Errors
    ///
    /// Fails when no connection can be opened in time.
    pub async fn channel(&self, address: &str) -> Result<PeerChannel, ConnectError> {
        self.close_idle();
        if let Some(open) = self.channels.borrow_mut().get_mut(address) {
            open.used_at = Instant::now();
            return Ok(open.channel.clone());
        }
        let channel = InterceptedService::new(connect(address).await?, self.token.clone());
        self.channels.borrow_mut().insert(
            address.to_owned(),
            Open {
                channel: channel.clone(),
                used_at: Instant::now(),
            },
        );
        Ok(channel)
    }

    /// Closes channels that nobody used lately: each open one costs memory and
    /// a ping twice a second, and an entry meets hundreds of others.
    fn close_idle(&self) {
        let now = Instant::now();
        if now.duration_since(self.swept_at.get()) < SWEEP_PERIOD {
            return;
        }
        self.swept_at.set(now);
        self.channels
            .borrow_mut()
            .retain(|_, open| now.duration_since(open.used_at) < IDLE_TIMEOUT);
    }

    /// Drops the channel to an address, after a failure or silence.
    pub fn forget(&self, address: &str) {
        self.channels.borrow_mut().remove(address);
    }
}

async fn connect(address: &str) -> Result<Channel, ConnectError> {
    let failed = |detail: String| ConnectError {
        address: address.to_owned(),
        detail,
    };
    let endpoint = Endpoint::from_shared(format!("http://{address}"))
        .map_err(|error| failed(error.to_string()))?
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true)
        .http2_keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PROGRESS_TIMEOUT)
        .keep_alive_while_idle(true);
    endpoint
        .connect()
        .await
        .map_err(|error| failed(error.to_string()))
}
