//! Serves requests of HTTP/1.1, and sends their answers in parts.

use std::convert::Infallible;
use std::error::Error;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use actix_http::body::{BodySize, BoxBody, MessageBody};
use actix_http::{ConnectionType, HttpMessage, Request, Response, header};
use bytes::Bytes;

use super::ClientConnection;
use crate::paced_stream::ReadLimit;

/// Most bytes of an answer that are copied to the connection's buffer at once.
const PART_BYTES: usize = 16 << 10;
/// Most bytes that are read before other tasks run. Each chunk takes time and memory besides its
/// bytes, so fewer bytes are read of small chunks, and of what may be chunks.
pub(super) const HEAD_TURN_BYTES: usize = 4 << 10;
const SIZED_TURN_BYTES: usize = 16 << 10;
pub(super) const MIN_CHUNK_TURN_BYTES: usize = 512;
/// Longest time for which an unread body is discarded after the answer.
const DISCARD_TIME: Duration = Duration::from_secs(1);

/// Serves a request with `handler`, and counts what the client sends and has yet to accept. If
/// the handler does not read the whole body, the connection is closed after the answer, and up
/// to `max_discarded_bytes` of the rest are read until then, so that the client receives it.
///
/// # Errors
///
/// Never fails.
pub async fn serve_request<R>(
    request: Request,
    max_discarded_bytes: usize,
    handler: impl FnOnce(Request) -> R,
) -> Result<Response<BoxBody>, Infallible>
where
    R: Future<Output = Result<Response<BoxBody>, Infallible>>,
{
    let limit = request.conn_data::<ReadLimit>().cloned();
    let connection = request.conn_data::<ClientConnection>().cloned();
    let has_body = has_body(&request);
    if let Some(limit) = &limit {
        limit.set_unread_body(has_body);
        limit.set_turn_bytes(match is_chunked(&request) {
            true => MIN_CHUNK_TURN_BYTES,
            false => SIZED_TURN_BYTES,
        });
    }
    if let Some(connection) = &connection {
        connection.start_request(head_bytes(&request), has_body);
    }
    let mut response = handler(request).await?;
    if let Some(limit) = &limit {
        limit.set_turn_bytes(HEAD_TURN_BYTES);
    }
    if let Some(limit) = limit.filter(ReadLimit::has_unread_body) {
        let head = response.head_mut();
        head.set_connection_type(ConnectionType::Close);
        actix_rt::spawn(discard_body(limit, max_discarded_bytes));
    }
    let Some(connection) = connection else {
        return Ok(response);
    };
    connection.start_answer();
    let end = AnswerEnd(connection);
    Ok(response.map_body(|_, body| {
        AnswerBody {
            body,
            part: Bytes::new(),
            _end: end,
        }
        .boxed()
    }))
}

/// Returns whether a request has a body.
pub(super) fn has_body(request: &Request) -> bool {
    let length = request.headers().get(header::CONTENT_LENGTH);
    let is_sized = length.is_some_and(|length| length.as_bytes() != b"0");
    is_sized || is_chunked(request)
}

/// Returns whether a request has a body in chunks.
pub(super) fn is_chunked(request: &Request) -> bool {
    request.headers().contains_key(header::TRANSFER_ENCODING)
}

/// Returns the length of a request's head in bytes, without separators.
fn head_bytes(request: &Request) -> usize {
    let headers = request.headers().iter();
    let headers = headers.map(|(name, value)| name.as_str().len() + value.len());
    request.uri().to_string().len() + headers.sum::<usize>()
}

/// Lets the rest of a body that nobody reads arrive, for a limited time and up to a limited
/// size.
async fn discard_body(limit: ReadLimit, max_bytes: usize) {
    limit.set(max_bytes);
    tokio::time::sleep(DISCARD_TIME).await;
    limit.set(0);
}

/// Records the end of an answer on drop.
#[derive(Debug)]
struct AnswerEnd(ClientConnection);

impl Drop for AnswerEnd {
    fn drop(&mut self) {
        self.0.finish_answer();
    }
}

/// The body of an answer, which is passed on in small parts. The connection copies each part to
/// its buffer, and asks for the next one when that is nearly empty.
#[derive(Debug)]
struct AnswerBody {
    body: BoxBody,
    /// Bytes of the body that were not passed on.
    part: Bytes,
    _end: AnswerEnd,
}

impl MessageBody for AnswerBody {
    type Error = Box<dyn Error>;

    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        if self.part.is_empty() {
            match ready!(Pin::new(&mut self.body).poll_next(context)) {
                Some(Ok(part)) => self.part = part,
                end => return Poll::Ready(end),
            }
        }
        let part_bytes = self.part.len().min(PART_BYTES);
        Poll::Ready(Some(Ok(self.part.split_to(part_bytes))))
    }
}
