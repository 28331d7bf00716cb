//! A stream whose reader gets bounded amounts.
//!
//! HTTP libraries parse whatever has arrived before they return to their task's other work.
//! A peer that sends without an end what is no message, such as interim responses or the
//! digits of a chunk's size, thereby stops all other tasks of a thread. A [`PacedStream`]
//! yields after a number of bytes, and its [`ReadLimit`] ends what is longer than a message.

use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, Waker, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Most bytes that are read before other tasks run.
const MAX_BYTES_PER_TURN: usize = 256 << 10;
/// Most bytes of one read.
const MAX_READ_BYTES: usize = 64 << 10;
/// Most bytes of one read under a limit, so that few bytes of a body count as a part of its
/// head.
const MAX_LIMITED_READ_BYTES: usize = 16 << 10;
/// Number of remaining bytes that means that there is no limit.
const UNLIMITED: usize = usize::MAX;

/// Limit of the bytes that may still be read from a [`PacedStream`]. Clones share it.
#[derive(Clone, Debug)]
pub struct ReadLimit(Arc<State>);

#[derive(Debug)]
struct State {
    remaining_bytes: AtomicUsize,
    /// Most bytes that are read before other tasks run.
    turn_bytes: AtomicUsize,
    /// Whether the body of the request that is served has not been read to its end.
    has_unread_body: AtomicBool,
    /// The reader that waits for bytes.
    reader: Mutex<Option<Waker>>,
}

impl ReadLimit {
    fn new() -> Self {
        Self(Arc::new(State {
            remaining_bytes: AtomicUsize::new(UNLIMITED),
            turn_bytes: AtomicUsize::new(MAX_BYTES_PER_TURN),
            has_unread_body: AtomicBool::new(false),
            reader: Mutex::default(),
        }))
    }

    /// Allows this number of bytes from now on. Reads fail after them.
    pub fn set(&self, max_bytes: usize) {
        self.0.remaining_bytes.store(max_bytes, Ordering::Relaxed);
        if max_bytes == 0 {
            self.wake_reader();
        }
    }

    /// Allows any number of bytes.
    pub fn lift(&self) {
        self.set(UNLIMITED);
    }

    /// Sets how many bytes are read before other tasks run.
    pub fn set_turn_bytes(&self, bytes: usize) {
        self.0.turn_bytes.store(bytes, Ordering::Relaxed);
    }

    /// Records whether the request that is served has a body, none of which was read.
    pub fn set_unread_body(&self, has_unread_body: bool) {
        self.0
            .has_unread_body
            .store(has_unread_body, Ordering::Relaxed);
    }

    /// Returns whether the body of the request has not been read to its end.
    pub fn has_unread_body(&self) -> bool {
        self.0.has_unread_body.load(Ordering::Relaxed)
    }

    fn turn_bytes(&self) -> usize {
        self.0.turn_bytes.load(Ordering::Relaxed)
    }

    fn remaining(&self) -> usize {
        self.0.remaining_bytes.load(Ordering::Relaxed)
    }

    fn take(&self, bytes: usize) {
        let remaining = self.remaining();
        if remaining != UNLIMITED {
            let remaining = remaining.saturating_sub(bytes);
            self.0.remaining_bytes.store(remaining, Ordering::Relaxed);
        }
    }

    fn set_reader(&self, waker: &Waker) {
        let mut reader = self.0.reader.lock().unwrap_or_else(PoisonError::into_inner);
        *reader = Some(waker.clone());
    }

    fn wake_reader(&self) {
        let mut reader = self.0.reader.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(waker) = reader.take() {
            waker.wake();
        }
    }
}

/// A stream that yields between reads, and fails at the end of its [`ReadLimit`].
#[derive(Debug)]
pub struct PacedStream<S> {
    stream: S,
    limit: ReadLimit,
    /// Bytes that were read since other tasks ran.
    turn_bytes: usize,
}

impl<S> PacedStream<S> {
    /// Wraps a stream, without a limit.
    pub fn new(stream: S) -> Self {
        Self {
            stream,
            limit: ReadLimit::new(),
            turn_bytes: 0,
        }
    }

    /// Returns the wrapped stream.
    pub fn get_ref(&self) -> &S {
        &self.stream
    }

    /// Returns the limit of this stream.
    pub fn limit(&self) -> ReadLimit {
        self.limit.clone()
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for PacedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let max_turn_bytes = self.limit.turn_bytes();
        if self.turn_bytes >= max_turn_bytes {
            self.turn_bytes = 0;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let max_bytes = match self.limit.remaining() {
            0 => {
                let error = io::Error::new(io::ErrorKind::InvalidData, "a message has no end");
                return Poll::Ready(Err(error));
            }
            UNLIMITED => MAX_READ_BYTES,
            remaining => remaining.min(MAX_LIMITED_READ_BYTES),
        };
        let max_bytes = max_bytes.min(max_turn_bytes).min(buffer.remaining());
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(max_bytes));
        let read = Pin::new(&mut self.stream).poll_read(context, &mut part);
        let bytes = part.filled().len();
        if read.is_pending() {
            self.turn_bytes = 0;
            self.limit.set_reader(context.waker());
        }
        ready!(read)?;
        self.turn_bytes += bytes;
        self.limit.take(bytes);
        buffer.advance(bytes);
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for PacedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
