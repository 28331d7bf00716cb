//! The clients that connect to a process: their connections, what they send, and the memory
//! that is held for them.
//!
//! [`Clients`] admits connections. Each one is served on a [`ClientStream`], whose
//! [`ClientConnection`] counts what the client sends. [`serve_request`] wraps the handler of
//! requests of HTTP/1.1, and [`read_body`] reads their bodies. Decisions are made by
//! [`ClientMemory`](rosebend_coordination::client_memory).

mod answer;
mod body;
mod connection;
mod metrics;
mod stream;

use std::collections::HashMap;
use std::future::ready;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use futures_util::{Stream, StreamExt};
use rosebend_coordination::client_memory::{
    ClientId, ClientLimits, ClientMemory, OutOfMemory, TooManyConnections, WaitsFor,
};
use rosebend_state::settings::ClientSettings;
use tokio::net::TcpListener;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::transport::Server;

pub use self::answer::serve_request;
pub use self::body::{BodyError, BodyLimits, read_body};
pub use self::connection::{ClientConnection, Protocol};
pub use self::metrics::{ClientMetrics, ClosedFor};
pub use self::stream::{ClientStream, listen, listen_to_hosts};

use self::connection::Control;
use crate::clock::Clock;
use crate::event::{Event, EventKind, log_event};

/// Shortest time between two log lines about connections that are closed or refused.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Largest head of a request of HTTP/2, as its library counts it.
const MAX_HTTP2_HEAD_BYTES: u32 = 8 << 10;

/// The clients of a process. Clones share them.
#[derive(Clone, Debug)]
pub struct Clients(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    clock: Clock,
    metrics: ClientMetrics,
    registry: Mutex<Registry>,
}

#[derive(Debug)]
struct Registry {
    memory: ClientMemory,
    connections: HashMap<ClientId, Registered>,
    answer_timeout: Duration,
    silence_timeout: Duration,
    /// Connections that were closed or refused since the last log line.
    unlogged: u64,
    logged_at: Option<Duration>,
}

/// A connection and the unfinished body that it receives.
#[derive(Debug)]
struct Registered {
    control: Arc<Control>,
    body: Vec<u8>,
    /// Number of times that the memory of the body is reserved.
    body_copies: usize,
    /// Bytes that are reserved for the parser's buffers while a body is received.
    buffer_bytes: usize,
    /// Whether the client lost the request that it was sending. The rest of it is not read.
    has_lost_request: bool,
}

impl Clients {
    /// Creates the state of a process without clients.
    pub fn new(settings: &ClientSettings, clock: Clock, metrics: ClientMetrics) -> Self {
        let registry = Registry {
            memory: ClientMemory::new(limits(settings)),
            connections: HashMap::new(),
            answer_timeout: settings.answer_timeout,
            silence_timeout: settings.body_timeout,
            unlogged: 0,
            logged_at: None,
        };
        Self(Arc::new(Shared {
            clock,
            metrics,
            registry: Mutex::new(registry),
        }))
    }

    /// Replaces the limits. Connections and requests that were admitted are kept.
    pub fn set_settings(&self, settings: &ClientSettings) {
        let mut registry = self.registry();
        registry.memory.set_limits(limits(settings));
        registry.answer_timeout = settings.answer_timeout;
        registry.silence_timeout = settings.body_timeout;
    }

    /// Returns the number of connections that are open at most.
    pub fn max_connections(&self) -> usize {
        self.registry().memory.limits().max_connections
    }

    /// Admits a connection. If there are too many, another one may be closed for it.
    ///
    /// # Errors
    ///
    /// Fails if all other connections are in use.
    pub fn connect(&self, protocol: Protocol) -> Result<ClientConnection, TooManyConnections> {
        let mut registry = self.registry();
        let now = self.0.clock.now();
        let admitted = match registry.memory.connect(now) {
            Ok(admitted) => admitted,
            Err(error) => {
                self.count_closed(&mut registry, ClosedFor::Refused);
                return Err(error);
            }
        };
        let control = Arc::new(Control::new(protocol));
        let registered = Registered {
            control: Arc::clone(&control),
            body: Vec::new(),
            body_copies: 1,
            buffer_bytes: 0,
            has_lost_request: false,
        };
        registry.connections.insert(admitted.client, registered);
        let closed = admitted
            .closed
            .and_then(|closed| registry.connections.remove(&closed));
        if closed.is_some() {
            self.count_closed(&mut registry, ClosedFor::Connections);
        }
        self.show(&registry);
        drop(registry);
        if let Some(closed) = closed {
            closed.control.close();
        }
        Ok(ClientConnection::new(
            self.clone(),
            admitted.client,
            control,
        ))
    }

    /// Holds what a request needs to be served, in the memory for requests, until all copies of
    /// the returned value are dropped.
    ///
    /// # Errors
    ///
    /// Fails if there is too little memory.
    pub fn hold(&self, bytes: Vec<u8>) -> Result<Bytes, OutOfMemory> {
        let mut registry = self.registry();
        let now = self.0.clock.now();
        let evicted = registry.memory.reserve_body(bytes.capacity(), now)?;
        let controls = self.take_requests(&mut registry, &evicted);
        self.show(&registry);
        drop(registry);
        for control in controls {
            control.lose_request();
        }
        let clients = self.clone();
        Ok(Bytes::from_owner(HeldBody {
            bytes,
            copies: 1,
            clients,
        }))
    }

    /// Closes the connection whose client has accepted nothing of its answer for the longest
    /// time. Returns false if there is none. The memory of the answer is released when the
    /// connection's task runs.
    pub fn close_stalled(&self) -> bool {
        let mut registry = self.registry();
        let stalled = registry.memory.disconnect_stalled();
        let stalled = stalled.and_then(|stalled| registry.connections.remove(&stalled));
        let Some(stalled) = stalled else {
            return false;
        };
        self.count_closed(&mut registry, ClosedFor::Memory);
        self.show(&registry);
        drop(registry);
        stalled.control.close();
        true
    }

    /// Returns the connections of a listener that is served with HTTP/2, without those that are
    /// refused. A connection on which nothing arrives for the timeout of bodies fails; clients
    /// that live send pings.
    pub fn incoming(
        &self,
        listener: TcpListener,
    ) -> impl Stream<Item = io::Result<ClientStream>> + use<> {
        let clients = self.clone();
        TcpListenerStream::new(listener).filter_map(move |accepted| {
            let stream = match accepted {
                Ok(stream) => clients.connect(Protocol::Http2).ok().map(|connection| {
                    stream.set_nodelay(true)?;
                    Ok(ClientStream::new(stream, connection))
                }),
                Err(error) => Some(Err(error)),
            };
            ready(stream)
        })
    }

    fn registry(&self) -> MutexGuard<'_, Registry> {
        let registry = self.0.registry.lock();
        registry.unwrap_or_else(PoisonError::into_inner)
    }

    fn show(&self, registry: &Registry) {
        let memory = &registry.memory;
        let metrics = &self.0.metrics;
        metrics.show(memory.connections(), memory.held_bytes());
    }

    /// Counts a connection that is closed or refused. Logs it, unless a line about others was
    /// written a short time ago; the next line then counts it.
    fn count_closed(&self, registry: &mut Registry, reason: ClosedFor) {
        self.0.metrics.count_closed(reason);
        registry.unlogged += 1;
        let now = self.0.clock.now();
        let next = registry.logged_at.map(|at| at + LOG_INTERVAL);
        if next.is_none_or(|next| now >= next) {
            let event = Event::new(EventKind::ClientsClosed).reason(reason.as_str());
            log_event(&event.count(registry.unlogged));
            registry.unlogged = 0;
            registry.logged_at = Some(now);
        }
    }

    /// Reserves bytes for what a client sends. Clients that have held more for longer lose what
    /// they have sent.
    fn reserve(&self, client: ClientId, bytes: usize) -> Result<(), OutOfMemory> {
        let mut registry = self.registry();
        let now = self.0.clock.now();
        let evicted = registry.memory.reserve(client, bytes, now)?;
        let controls = self.take_requests(&mut registry, &evicted);
        self.show(&registry);
        drop(registry);
        for control in controls {
            control.lose_request();
        }
        Ok(())
    }

    /// Drops the unfinished requests of clients.
    fn take_requests(&self, registry: &mut Registry, clients: &[ClientId]) -> Vec<Arc<Control>> {
        let mut controls = Vec::new();
        for client in clients {
            self.count_closed(registry, ClosedFor::Memory);
            if let Some(registered) = registry.connections.get_mut(client) {
                registered.body = Vec::new();
                registered.buffer_bytes = 0;
                registered.has_lost_request = true;
                controls.push(Arc::clone(&registered.control));
            }
        }
        controls
    }

    fn release(&self, client: ClientId, bytes: usize) {
        let mut registry = self.registry();
        registry.memory.release(client, bytes);
        self.show(&registry);
    }

    fn disconnect(&self, client: ClientId) {
        let mut registry = self.registry();
        registry.memory.disconnect(client);
        registry.connections.remove(&client);
        self.show(&registry);
    }

    fn start_waiting(&self, client: ClientId, waits_for: WaitsFor) {
        let now = self.0.clock.now();
        self.registry().memory.start_waiting(client, waits_for, now);
    }

    fn stop_waiting(&self, client: ClientId) {
        self.registry().memory.stop_waiting(client);
    }

    fn answer_timeout(&self) -> Duration {
        self.registry().answer_timeout
    }

    fn silence_timeout(&self) -> Duration {
        self.registry().silence_timeout
    }

    /// Begins to receive the body of a request, whose memory is reserved `copies` times. The
    /// bytes are for the buffers of the parser.
    fn start_body(
        &self,
        client: ClientId,
        copies: usize,
        buffer_bytes: usize,
    ) -> Result<(), OutOfMemory> {
        self.drop_body(client);
        self.reserve(client, buffer_bytes)?;
        let mut registry = self.registry();
        let now = self.0.clock.now();
        registry
            .memory
            .start_waiting(client, WaitsFor::Request, now);
        let registered = registry.connections.get_mut(&client).ok_or(OutOfMemory)?;
        registered.body_copies = copies;
        registered.buffer_bytes = buffer_bytes;
        registered.has_lost_request = false;
        Ok(())
    }

    /// Appends chunks to a client's unfinished body, which grows to at most `max_bytes`.
    fn append(
        &self,
        client: ClientId,
        chunks: &[Bytes],
        max_bytes: usize,
    ) -> Result<(), OutOfMemory> {
        let mut registry = self.registry();
        let now = self.0.clock.now();
        let registered = registry.connections.get(&client).ok_or(OutOfMemory)?;
        if registered.has_lost_request {
            return Err(OutOfMemory);
        }
        let (length, capacity) = (registered.body.len(), registered.body.capacity());
        let needed = length + chunks.iter().map(Bytes::len).sum::<usize>();
        let mut evicted = Vec::new();
        if needed > capacity {
            let next = needed.max((capacity * 2).min(max_bytes));
            let bytes = (next - capacity) * registered.body_copies;
            evicted = registry.memory.reserve(client, bytes, now)?;
            let registered = registry.connections.get_mut(&client).ok_or(OutOfMemory)?;
            registered.body.reserve_exact(next - length);
        }
        let controls = self.take_requests(&mut registry, &evicted);
        let registered = registry.connections.get_mut(&client).ok_or(OutOfMemory)?;
        for chunk in chunks {
            registered.body.extend_from_slice(chunk);
        }
        self.show(&registry);
        drop(registry);
        for control in controls {
            control.lose_request();
        }
        Ok(())
    }

    /// Drops a client's unfinished body. What follows of it is not kept.
    fn drop_body(&self, client: ClientId) {
        let mut registry = self.registry();
        if let Some(registered) = registry.connections.get_mut(&client) {
            let body = std::mem::take(&mut registered.body);
            let buffer_bytes = std::mem::take(&mut registered.buffer_bytes);
            registered.has_lost_request = true;
            let held_bytes = body.capacity() * registered.body_copies + buffer_bytes;
            registry.memory.release(client, held_bytes);
        }
        self.show(&registry);
    }

    /// Ends a client's unfinished body. Its memory is held until the returned value is dropped.
    fn take_body(&self, client: ClientId) -> Result<HeldBody, OutOfMemory> {
        let mut registry = self.registry();
        let registered = registry.connections.get_mut(&client).ok_or(OutOfMemory)?;
        if registered.has_lost_request {
            return Err(OutOfMemory);
        }
        let bytes = std::mem::take(&mut registered.body);
        let buffer_bytes = std::mem::take(&mut registered.buffer_bytes);
        let copies = registered.body_copies;
        registry
            .memory
            .take_body(client, bytes.capacity() * copies)?;
        registry.memory.release(client, buffer_bytes);
        registry.memory.stop_waiting(client);
        self.show(&registry);
        Ok(HeldBody {
            bytes,
            copies,
            clients: self.clone(),
        })
    }
}

/// Creates a server of HTTP/2 for [`Clients::incoming`], with short heads.
pub fn http2_server() -> Server {
    Server::builder().http2_max_header_list_size(MAX_HTTP2_HEAD_BYTES)
}

fn limits(settings: &ClientSettings) -> ClientLimits {
    ClientLimits {
        max_connections: settings.max_connections(),
        max_bytes: settings.request_bytes(),
    }
}

/// A complete body, whose memory is released on drop.
#[derive(Debug)]
struct HeldBody {
    bytes: Vec<u8>,
    /// Number of times that its memory is reserved.
    copies: usize,
    clients: Clients,
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for HeldBody {
    fn drop(&mut self) {
        let mut registry = self.clients.registry();
        registry
            .memory
            .release_body(self.bytes.capacity() * self.copies);
        self.clients.show(&registry);
    }
}
