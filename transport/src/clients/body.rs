//! Reads the bodies of requests into the memory for clients.

use std::time::Duration;

use actix_http::error::PayloadError;
use actix_http::{HttpMessage, Payload, Request, header};
use bytes::Bytes;
use futures_util::StreamExt;
use rosebend_coordination::client_memory::OutOfMemory;

use super::ClientConnection;
use super::answer::{HEAD_TURN_BYTES, MIN_CHUNK_TURN_BYTES, has_body, is_chunked};
use crate::paced_stream::ReadLimit;

/// Why a body was not read to its end. The request was not served.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(thiserror::Error)]
pub enum BodyError {
    /// The body is longer than allowed.
    #[error("the body is longer than allowed")]
    TooLarge,
    /// The connection ended or failed before it was complete.
    #[error("the body ended early")]
    Incomplete,
    /// The body did not arrive in time.
    #[error("the body did not arrive in time")]
    Timeout,
    /// Other requests need the memory.
    #[error("the memory for requests is in use")]
    OutOfMemory,
}

impl From<OutOfMemory> for BodyError {
    fn from(_: OutOfMemory) -> Self {
        Self::OutOfMemory
    }
}

/// Limits of a body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BodyLimits {
    /// Length of the longest one.
    pub max_bytes: usize,
    /// Number of times that its memory is reserved: once, and for each copy that the process
    /// makes of it or of an answer of its size.
    pub copies: usize,
    /// Most bytes of a refused body that are read and discarded before the answer. A client that
    /// is still sending when the connection closes does not get to see it.
    pub max_discarded_bytes: usize,
    /// Longest time for it to arrive.
    pub timeout: Duration,
}

/// Most chunks that are read before other tasks run. A chunk takes time and memory besides its
/// bytes.
const MAX_CHUNKS: usize = 64;
/// Bytes that frame a chunk at least.
const MIN_FRAME_BYTES: usize = 5;
/// Longest time for which the rest of a refused body is discarded before the answer.
const DISCARD_TIME: Duration = Duration::from_secs(2);

/// Reads the body of a request that [`serve_request`](super::serve_request) passes on. Its
/// memory is held until all copies of the returned value are dropped.
///
/// # Errors
///
/// Returns the reason if the body is not read to its end.
pub async fn read_body(request: &mut Request, limits: BodyLimits) -> Result<Bytes, BodyError> {
    if !has_body(request) {
        return Ok(Bytes::new());
    }
    let mut payload = request.take_payload();
    let reading = read_until_end(request, &mut payload, limits);
    let body = tokio::time::timeout(limits.timeout, reading).await;
    let body = body.unwrap_or(Err(BodyError::Timeout));
    let is_whole = match body {
        Ok(_) => true,
        Err(BodyError::TooLarge | BodyError::OutOfMemory) => {
            if let Some(connection) = request.conn_data::<ClientConnection>() {
                connection.drop_body();
            }
            let discarding = discard(&mut payload, limits.max_discarded_bytes);
            let discarded = tokio::time::timeout(DISCARD_TIME, discarding).await;
            discarded.unwrap_or(false)
        }
        Err(BodyError::Incomplete | BodyError::Timeout) => false,
    };
    if let Some(limit) = request.conn_data::<ReadLimit>().filter(|_| is_whole) {
        limit.set_unread_body(false);
    }
    body
}

/// Reads a body without keeping it. Returns whether it has ended within this number of bytes.
async fn discard(payload: &mut Payload, max_bytes: usize) -> bool {
    let mut discarded_bytes = 0;
    while let Some(chunk) = payload.next().await {
        let Ok(chunk) = chunk else {
            return false;
        };
        discarded_bytes += chunk.len();
        if discarded_bytes > max_bytes {
            return false;
        }
    }
    true
}

async fn read_until_end(
    request: &Request,
    payload: &mut Payload,
    limits: BodyLimits,
) -> Result<Bytes, BodyError> {
    let connection = request.conn_data::<ClientConnection>().cloned();
    let connection = connection.ok_or(BodyError::OutOfMemory)?;
    let announced_bytes = announced_bytes(request);
    let max_bytes = announced_bytes.unwrap_or(limits.max_bytes);
    if max_bytes > limits.max_bytes {
        return Err(BodyError::TooLarge);
    }
    connection.start_body(limits.copies)?;
    let turns = request
        .conn_data::<ReadLimit>()
        .filter(|_| is_chunked(request));
    let mut read_bytes = 0;
    let mut arrived = payload.ready_chunks(MAX_CHUNKS);
    loop {
        let chunks = tokio::select! {
            biased;
            () = connection.lost_body() => return Err(BodyError::OutOfMemory),
            chunks = arrived.next() => chunks,
        };
        let Some(chunks) = chunks else { break };
        let chunks: Result<Vec<Bytes>, PayloadError> = chunks.into_iter().collect();
        let chunks = chunks.map_err(|_| BodyError::Incomplete)?;
        let chunk_bytes: usize = chunks.iter().map(Bytes::len).sum();
        read_bytes += chunk_bytes;
        if read_bytes > limits.max_bytes {
            return Err(BodyError::TooLarge);
        }
        if let Some(turns) = turns {
            turns.set_turn_bytes(chunk_turn_bytes(chunks.len(), chunk_bytes));
        }
        connection.append(&chunks, max_bytes)?;
    }
    Ok(connection.finish_body()?)
}

/// Returns how many bytes of a body in chunks are read before other tasks run, so that they
/// contain a limited number of chunks like these.
fn chunk_turn_bytes(chunks: usize, bytes: usize) -> usize {
    let bytes_per_chunk = bytes / chunks.max(1) + MIN_FRAME_BYTES;
    (MAX_CHUNKS * bytes_per_chunk).clamp(MIN_CHUNK_TURN_BYTES, HEAD_TURN_BYTES)
}

fn announced_bytes(request: &Request) -> Option<usize> {
    let length = request.headers().get(header::CONTENT_LENGTH)?;
    // A length that no integer holds is beyond every limit.
    Some(length.to_str().ok()?.parse().unwrap_or(usize::MAX))
}
