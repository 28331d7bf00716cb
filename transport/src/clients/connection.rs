//! The state of one client's connection.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::Waker;

use bytes::Bytes;
use futures_util::FutureExt;
use rosebend_coordination::client_memory::{ClientId, OutOfMemory, WaitsFor};
use tokio::sync::Notify;

use super::{Clients, ClosedFor};

/// Memory that a head takes for each of its bytes: its buffer, its parsed headers, and those
/// that are sent on.
const HEAD_FACTOR: usize = 4;
/// Memory of the parser's buffers while a body is read.
const BODY_BUFFER_BYTES: usize = 32 << 10;
/// Most bytes that are read while the request before them is served.
const MAX_PIPELINED_BYTES: usize = 16 << 10;

/// Protocol that a client speaks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Protocol {
    /// HTTP/1.1, whose requests are counted.
    Http1,
    /// HTTP/2. Its requests are limited by its library; only the connection is counted.
    Http2,
}

/// State of a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// The process waits for a request.
    Idle,
    /// The process reads the head of a request.
    Head,
    /// The process reads the body of a request.
    Body,
    /// The process works on a request.
    Service,
    /// The process sends an answer, all of which the connection's buffer has accepted if `is_whole`.
    Answer { is_whole: bool },
}

/// Control of a connection by those that do not serve it.
#[derive(Debug)]
pub(super) struct Control {
    protocol: Protocol,
    is_closed: AtomicBool,
    lost_body: Notify,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    phase: Phase,
    /// Bytes that are reserved for the head.
    head_bytes: usize,
    /// Bytes that were read since the request was complete.
    pipelined_bytes: usize,
    reader: Option<Waker>,
    writer: Option<Waker>,
}

impl Control {
    pub(super) fn new(protocol: Protocol) -> Self {
        Self {
            protocol,
            is_closed: AtomicBool::new(false),
            lost_body: Notify::new(),
            state: Mutex::new(State {
                phase: Phase::Idle,
                head_bytes: 0,
                pipelined_bytes: 0,
                reader: None,
                writer: None,
            }),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Closes the connection.
    pub(super) fn close(&self) {
        self.is_closed.store(true, Ordering::Relaxed);
        let mut state = self.state();
        let wakers = [state.reader.take(), state.writer.take()];
        drop(state);
        for waker in wakers.into_iter().flatten() {
            waker.wake();
        }
    }

    /// Ends the unfinished request, whose memory was given to another client. A body is
    /// answered with a refusal; for a head that is not possible.
    pub(super) fn lose_request(&self) {
        let mut state = self.state();
        let phase = state.phase;
        state.head_bytes = 0;
        drop(state);
        match phase {
            Phase::Body => self.lost_body.notify_one(),
            _ => self.close(),
        }
    }
}

/// A client's connection. Clones are of the same connection.
#[derive(Clone, Debug)]
pub struct ClientConnection {
    clients: Clients,
    client: ClientId,
    control: Arc<Control>,
}

impl ClientConnection {
    pub(super) fn new(clients: Clients, client: ClientId, control: Arc<Control>) -> Self {
        Self {
            clients,
            client,
            control,
        }
    }

    pub(super) fn clients(&self) -> &Clients {
        &self.clients
    }

    pub(super) fn protocol(&self) -> Protocol {
        self.control.protocol
    }

    pub(super) fn disconnect(&self) {
        self.clients.disconnect(self.client);
    }

    pub(super) fn is_closed(&self) -> bool {
        self.control.is_closed.load(Ordering::Relaxed)
    }

    pub(super) fn set_reader(&self, waker: &Waker) {
        self.control.state().reader = Some(waker.clone());
    }

    pub(super) fn set_writer(&self, waker: &Waker) {
        self.control.state().writer = Some(waker.clone());
    }

    /// Returns whether more may be read while a request is served.
    pub(super) fn may_read_on(&self) -> bool {
        self.control.state().pipelined_bytes < MAX_PIPELINED_BYTES
    }

    /// Counts bytes that were read.
    ///
    /// # Errors
    ///
    /// Fails if there is no memory for a head.
    pub(super) fn record_read(&self, bytes: usize) -> Result<(), OutOfMemory> {
        if self.control.protocol == Protocol::Http2 {
            self.clients.start_waiting(self.client, WaitsFor::Request);
            return Ok(());
        }
        let mut state = self.control.state();
        let phase = state.phase;
        match phase {
            Phase::Idle | Phase::Head => {
                state.phase = Phase::Head;
                state.head_bytes += HEAD_FACTOR * bytes;
            }
            Phase::Body => return Ok(()),
            Phase::Service | Phase::Answer { .. } => {
                state.pipelined_bytes += bytes;
                return Ok(());
            }
        }
        drop(state);
        if phase == Phase::Idle {
            self.clients.start_waiting(self.client, WaitsFor::Request);
        }
        self.clients.reserve(self.client, HEAD_FACTOR * bytes)
    }

    /// Records that the head of a request was parsed.
    pub(super) fn start_request(&self, head_bytes: usize, has_body: bool) {
        let mut state = self.control.state();
        state.phase = match has_body {
            true => Phase::Body,
            false => Phase::Service,
        };
        // Bytes of the body may have been counted with the head.
        let kept_bytes = state.head_bytes.min(HEAD_FACTOR * head_bytes);
        let released_bytes = std::mem::replace(&mut state.head_bytes, kept_bytes) - kept_bytes;
        drop(state);
        self.clients.release(self.client, released_bytes);
        match has_body {
            true => self.clients.start_waiting(self.client, WaitsFor::Request),
            false => self.clients.stop_waiting(self.client),
        }
    }

    /// Begins to receive a body, whose memory is reserved `copies` times.
    pub(super) fn start_body(&self, copies: usize) -> Result<(), OutOfMemory> {
        // The one before may have been lost when it was complete already.
        let _ = self.control.lost_body.notified().now_or_never();
        self.clients
            .start_body(self.client, copies, BODY_BUFFER_BYTES)
    }

    /// Appends chunks to the unfinished body, which grows to at most `max_bytes`.
    pub(super) fn append(&self, chunks: &[Bytes], max_bytes: usize) -> Result<(), OutOfMemory> {
        self.clients.append(self.client, chunks, max_bytes)
    }

    /// Drops what was received of the body. The process still waits for the rest of it.
    pub(super) fn drop_body(&self) {
        self.clients.drop_body(self.client);
    }

    /// Waits until the memory of the unfinished body is given to another client.
    pub(super) async fn lost_body(&self) {
        self.control.lost_body.notified().await;
    }

    /// Ends the body. Its memory is held until all copies of the returned value are dropped.
    pub(super) fn finish_body(&self) -> Result<Bytes, OutOfMemory> {
        let body = self.clients.take_body(self.client)?;
        self.control.state().phase = Phase::Service;
        Ok(Bytes::from_owner(body))
    }

    /// Records that an answer is sent from now on. What was received of an unfinished body is
    /// dropped.
    pub(super) fn start_answer(&self) {
        let mut state = self.control.state();
        state.phase = Phase::Answer { is_whole: false };
        state.pipelined_bytes = 0;
        drop(state);
        self.clients.drop_body(self.client);
        self.clients.stop_waiting(self.client);
    }

    /// Records that the connection's buffer has accepted the whole answer.
    pub(super) fn finish_answer(&self) {
        let mut state = self.control.state();
        if let Phase::Answer { is_whole } = &mut state.phase {
            *is_whole = true;
        }
    }

    /// Records that the client does not accept more of its answer at present.
    pub(super) fn record_stall(&self) {
        self.clients.start_waiting(self.client, WaitsFor::Answer);
    }

    /// Records that the client accepts its answer again.
    pub(super) fn record_progress(&self) {
        self.clients.stop_waiting(self.client);
    }

    /// Counts that the connection is closed because the client accepts nothing of its answer.
    pub(super) fn record_answer_timeout(&self) {
        let clients = &self.clients;
        clients.count_closed(&mut clients.registry(), ClosedFor::AnswerTimeout);
    }

    /// Counts that the connection is closed because the client sends nothing.
    pub(super) fn record_silence(&self) {
        let clients = &self.clients;
        clients.count_closed(&mut clients.registry(), ClosedFor::Silence);
    }

    /// Records that the buffer of the connection is empty.
    pub(super) fn record_flush(&self) {
        let mut state = self.control.state();
        match state.phase {
            Phase::Answer { is_whole: true } => {
                state.phase = Phase::Idle;
                state.pipelined_bytes = 0;
                let head_bytes = std::mem::take(&mut state.head_bytes);
                let reader = state.reader.take();
                drop(state);
                self.clients.release(self.client, head_bytes);
                self.clients.start_waiting(self.client, WaitsFor::Request);
                if let Some(reader) = reader {
                    reader.wake();
                }
            }
            Phase::Answer { is_whole: false } | Phase::Service => {
                drop(state);
                self.clients.stop_waiting(self.client);
            }
            Phase::Idle | Phase::Head | Phase::Body => {}
        }
    }
}
