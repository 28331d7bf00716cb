//! A bound on the memory of bodies that the process receives as a client.

use std::collections::HashMap;
use std::fmt::{self, Debug, Formatter};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use futures_util::{Stream, StreamExt};
use http_body_util::BodyDataStream;
use hyper::body::{Body, Incoming};
use rosebend_coordination::client_memory::{ClientId, ClientLimits, ClientMemory};
use tokio::sync::Notify;

use crate::clock::Clock;

/// Number of times that other tasks run until memory that is reclaimed is released.
const RECLAIM_TURNS: usize = 2;

/// Weight of a body whose length is not known before its end, and which may have none.
const UNSIZED_WEIGHT: u32 = 64;

/// Why a body was not read to its end.
#[derive(Debug, thiserror::Error)]
pub enum BodyError<E> {
    /// The connection failed.
    #[error("the body broke off: {0}")]
    Broken(E),
    /// The body is longer than allowed.
    #[error("the body is too long: more than {0} bytes")]
    TooLong(usize),
    /// Other bodies need the memory.
    #[error("the memory for bodies is in use")]
    OutOfMemory,
}

/// Memory for bodies, from their first byte until all copies of them are dropped. When it is
/// short, the unfinished body that has held the most bytes for the longest time is given up,
/// and those without a length sooner than others.
pub struct ByteBudget {
    shared: Arc<Shared>,
    /// Begins to release memory of a complete body that waits for somebody. Returns false if
    /// there is none.
    reclaim: Option<Box<dyn Fn() -> bool>>,
}

#[derive(Debug)]
struct Shared {
    clock: Clock,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    memory: ClientMemory,
    /// The unfinished bodies, and how each learns that it is given up.
    unfinished: HashMap<ClientId, Arc<Notify>>,
}

impl Debug for ByteBudget {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let mut fields = formatter.debug_struct("ByteBudget");
        fields.field("shared", &self.shared).finish_non_exhaustive()
    }
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ByteBudget {
    /// Creates a budget of this number of bytes.
    pub fn new(max_bytes: usize) -> Self {
        let state = State {
            memory: ClientMemory::new(limits(max_bytes)),
            unfinished: HashMap::new(),
        };
        Self {
            shared: Arc::new(Shared {
                clock: Clock::start(),
                state: Mutex::new(state),
            }),
            reclaim: None,
        }
    }

    /// Adds a function that begins to release memory of a complete body that waits for
    /// somebody, and returns false if there is none. It is called when a body does not fit.
    #[must_use]
    pub fn with_reclaim(mut self, reclaim: impl Fn() -> bool + 'static) -> Self {
        self.reclaim = Some(Box::new(reclaim));
        self
    }

    /// Replaces the number of bytes. Bodies that are held are kept.
    pub fn set_max_bytes(&self, max_bytes: usize) {
        self.shared.state().memory.set_limits(limits(max_bytes));
    }

    /// Reads the body of a response to its end. Its memory is held until all copies of it are
    /// dropped.
    ///
    /// # Errors
    ///
    /// Fails if the body breaks off or is longer than `max_bytes`, or if there is too little
    /// memory.
    pub async fn read(
        &self,
        body: Incoming,
        max_bytes: usize,
    ) -> Result<Bytes, BodyError<hyper::Error>> {
        let length = body.size_hint().exact();
        if length.is_some_and(|length| length > max_bytes as u64) {
            return Err(BodyError::TooLong(max_bytes));
        }
        let unfinished = self.start(length.is_some())?;
        let parts = BodyDataStream::new(body);
        self.read_parts(unfinished, parts, max_bytes).await
    }

    /// Does the same as [`Self::read`] with the parts of a body without a length.
    ///
    /// # Errors
    ///
    /// Fails as [`Self::read`] does.
    pub async fn collect<E>(
        &self,
        body: impl Stream<Item = Result<Bytes, E>>,
        max_bytes: usize,
    ) -> Result<Bytes, BodyError<E>> {
        let unfinished = self.start(false)?;
        self.read_parts(unfinished, body, max_bytes).await
    }

    fn start<E>(&self, is_sized: bool) -> Result<UnfinishedBody, BodyError<E>> {
        UnfinishedBody::start(&self.shared, is_sized).ok_or(BodyError::OutOfMemory)
    }

    async fn read_parts<E>(
        &self,
        mut unfinished: UnfinishedBody,
        body: impl Stream<Item = Result<Bytes, E>>,
        max_bytes: usize,
    ) -> Result<Bytes, BodyError<E>> {
        let mut body = std::pin::pin!(body);
        loop {
            let part = tokio::select! {
                biased;
                () = unfinished.given_up.notified() => return Err(BodyError::OutOfMemory),
                part = body.next() => part,
            };
            let Some(part) = part else { break };
            let part = part.map_err(BodyError::Broken)?;
            let needed = unfinished.bytes.len() + part.len();
            if needed > max_bytes {
                return Err(BodyError::TooLong(max_bytes));
            }
            let capacity = unfinished.bytes.capacity();
            if needed > capacity {
                let next = needed.max((capacity * 2).min(max_bytes));
                self.reserve(&unfinished, next - capacity).await?;
                let length = unfinished.bytes.len();
                unfinished.bytes.reserve_exact(next - length);
            }
            unfinished.bytes.extend_from_slice(&part);
        }
        unfinished.finish().ok_or(BodyError::OutOfMemory)
    }

    /// Reserves bytes for a body, and reclaims memory of complete ones as long as there is too
    /// little.
    async fn reserve<E>(&self, body: &UnfinishedBody, bytes: usize) -> Result<(), BodyError<E>> {
        while !body.reserve(bytes) {
            if !self.reclaim.as_ref().is_some_and(|reclaim| reclaim()) {
                return Err(BodyError::OutOfMemory);
            }
            for _ in 0..RECLAIM_TURNS {
                tokio::task::yield_now().await;
            }
        }
        Ok(())
    }
}

fn limits(max_bytes: usize) -> ClientLimits {
    ClientLimits {
        max_connections: usize::MAX,
        max_bytes,
    }
}

/// A body that is received. Its memory is released on drop.
struct UnfinishedBody {
    id: ClientId,
    bytes: Vec<u8>,
    given_up: Arc<Notify>,
    shared: Arc<Shared>,
}

impl UnfinishedBody {
    fn start(shared: &Arc<Shared>, is_sized: bool) -> Option<Self> {
        let mut state = shared.state();
        let id = state.memory.connect(shared.clock.now()).ok()?.client;
        if !is_sized {
            state.memory.set_weight(id, UNSIZED_WEIGHT);
        }
        let given_up = Arc::new(Notify::new());
        state.unfinished.insert(id, Arc::clone(&given_up));
        Some(Self {
            id,
            bytes: Vec::new(),
            given_up,
            shared: Arc::clone(shared),
        })
    }

    /// Reserves bytes. Bodies that have held more for longer are given up. Returns false if
    /// there is too little memory.
    fn reserve(&self, bytes: usize) -> bool {
        let mut state = self.shared.state();
        let now = self.shared.clock.now();
        let Ok(given_up) = state.memory.reserve(self.id, bytes, now) else {
            return false;
        };
        for id in given_up {
            state.memory.disconnect(id);
            if let Some(unfinished) = state.unfinished.remove(&id) {
                unfinished.notify_one();
            }
        }
        true
    }

    /// Ends the body. Returns none if it was given up.
    fn finish(mut self) -> Option<Bytes> {
        let bytes = std::mem::take(&mut self.bytes);
        if bytes.is_empty() {
            return Some(Bytes::new());
        }
        let mut state = self.shared.state();
        state.memory.take_body(self.id, bytes.capacity()).ok()?;
        drop(state);
        let shared = Arc::clone(&self.shared);
        Some(Bytes::from_owner(HeldBody { bytes, shared }))
    }
}

impl Drop for UnfinishedBody {
    fn drop(&mut self) {
        let mut state = self.shared.state();
        state.memory.disconnect(self.id);
        state.unfinished.remove(&self.id);
    }
}

/// A complete body. Its memory is released on drop.
struct HeldBody {
    bytes: Vec<u8>,
    shared: Arc<Shared>,
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for HeldBody {
    fn drop(&mut self) {
        let bytes = self.bytes.capacity();
        self.shared.state().memory.release_body(bytes);
    }
}
