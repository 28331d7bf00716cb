//! The HTTP/1.1 server of every process.
//!
//! A handler gets a request with its whole body, read under a limit, and
//! returns a reply whose body is whole or a stream. What is wrong before a
//! handler can see it (an oversized body, a body cut short) is answered here
//! with a problem document.

use std::{
    convert::Infallible,
    error::Error,
    future::{Future, ready},
    io,
    net::{SocketAddr, TcpListener},
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use actix_http::{
    ConnectionType, Extensions, HttpMessage, HttpService, Request, Response, StatusCode,
    body::{BodySize, BodyStream, BoxBody, MessageBody},
    error::DispatchError,
    header::{self, HeaderMap, HeaderName, HeaderValue},
};
use actix_rt::net::TcpStream;
use actix_server::Server;
use actix_service::{ServiceFactoryExt, fn_service};
use bytes::Bytes;
use futures_util::FutureExt;
use rosebend_protocol::problem::{Problem, Ran};
use rosebend_state::settings::ClientSettings;
use serde::Serialize;
use tokio::sync::{mpsc, watch};

use crate::clients::{
    BodyError, BodyLimits, ClientMetrics, ClientStream, Clients, Protocol, read_body, serve_request,
};
use crate::clock::Clock;

/// Content type of a problem document.
pub const PROBLEM_JSON: &str = "application/problem+json";
/// Most bytes of an unread body that are discarded after the answer. A client that is
/// still sending when the connection closes does not get to see it.
const MAX_DISCARDED_BYTES: usize = 16 << 20;
/// Number of times that the memory of a body is reserved, for it and for its message to the host
/// that runs it.
const BODY_COPIES: usize = ClientSettings::MESSAGE_COPIES;
/// When a client that found no memory for its request may retry.
const MEMORY_RETRY: Duration = Duration::from_secs(1);
/// Content type of JSON.
pub const JSON: &str = "application/json";

/// How a server reads requests and how many threads serve them.
#[derive(Clone, Debug)]
pub struct HttpServerConfig {
    /// Name of the server, for its threads.
    pub name: &'static str,
    /// Threads that serve requests; at least 1.
    pub workers: usize,
    /// Largest body that is read.
    pub max_body_bytes: usize,
    /// Longest wait for a request's headers.
    pub headers_timeout: Duration,
    /// Longest wait for the rest of a body.
    pub body_timeout: Duration,
    /// Longest wait for requests in flight when the server stops.
    pub shutdown_timeout: Duration,
    /// The clients of the process, which may be those of several servers.
    pub clients: Clients,
}

/// Limits of a server that has a host for itself.
const DEFAULT_CLIENTS: ClientSettings = ClientSettings {
    memory_bytes: 1 << 30,
    max_descriptors: 16 << 10,
    body_timeout: Duration::from_secs(15),
    answer_timeout: Duration::from_secs(30),
};

impl Default for HttpServerConfig {
    fn default() -> Self {
        Self {
            name: "http",
            workers: 2,
            max_body_bytes: 4 << 20,
            headers_timeout: Duration::from_secs(5),
            body_timeout: Duration::from_secs(15),
            shutdown_timeout: Duration::from_secs(30),
            clients: Clients::new(&DEFAULT_CLIENTS, Clock::start(), ClientMetrics::default()),
        }
    }
}

/// A request with its whole body.
#[derive(Clone, Debug)]
pub struct HttpRequest {
    /// Method in capitals.
    pub method: String,
    /// Path without the query.
    pub path: String,
    /// Query without the question mark; empty when absent.
    pub query: String,
    /// Headers as they came.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

impl HttpRequest {
    /// A header's value, when it is there and is text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// A parameter of the query, as it stands there.
    pub fn query_value(&self, name: &str) -> Option<&str> {
        self.query.split('&').find_map(|pair| {
            let (key, value) = pair.split_once('=')?;
            (key == name).then_some(value)
        })
    }

    /// The token of an `Authorization: Bearer` header.
    pub fn bearer_token(&self) -> Option<&str> {
        self.header("authorization")?.strip_prefix("Bearer ")
    }
}

/// Body of a reply.
#[derive(Debug)]
pub enum ReplyBody {
    /// All of it.
    Whole(Bytes),
    /// Pieces as they come. The body ends well when the sender sends
    /// [`StreamPiece::End`]; when the sender is dropped without it, the
    /// connection is cut, so that a caller can tell a whole answer.
    Stream(mpsc::Receiver<StreamPiece>),
}

/// A piece of a streamed body.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StreamPiece {
    /// Bytes of the body.
    Data(Bytes),
    /// The body is whole.
    End,
}

/// A reply to a request.
#[derive(Debug)]
pub struct HttpReply {
    /// Status code, from 100 to 599.
    pub status: u16,
    /// Content type of the body.
    pub content_type: String,
    /// Further headers, with lower-case names.
    pub headers: Vec<(&'static str, String)>,
    /// The body.
    pub body: ReplyBody,
    /// Whether the body is sent with neither a length nor chunks. It then ends with the
    /// connection, as towards clients of HTTP/1.0.
    pub is_close_delimited: bool,
}

impl HttpReply {
    /// A reply with a JSON body.
    ///
    /// # Panics
    ///
    /// Panics when `value` cannot be written as JSON, which none of the
    /// protocol's types can cause.
    pub fn json(status: u16, value: &impl Serialize) -> Self {
        let body = serde_json::to_vec(value).expect("protocol types have a JSON form");
        Self::bytes(status, JSON, body)
    }

    /// A reply with bytes of some content type.
    pub fn bytes(status: u16, content_type: &str, body: impl Into<Bytes>) -> Self {
        Self {
            status,
            content_type: content_type.to_owned(),
            headers: Vec::new(),
            body: ReplyBody::Whole(body.into()),
            is_close_delimited: false,
        }
    }

    /// A problem document, with `Retry-After` when it says when to come back.
    pub fn problem(problem: &Problem) -> Self {
        let mut reply = Self::json(problem.status, problem);
        reply.content_type = PROBLEM_JSON.to_owned();
        if let Some(seconds) = problem.retry_after_seconds() {
            reply.headers.push(("retry-after", seconds.to_string()));
        }
        reply
    }

    /// A streamed reply.
    pub fn stream(status: u16, content_type: &str, pieces: mpsc::Receiver<StreamPiece>) -> Self {
        Self {
            status,
            content_type: content_type.to_owned(),
            headers: Vec::new(),
            body: ReplyBody::Stream(pieces),
            is_close_delimited: false,
        }
    }

    fn into_response(self) -> Response<BoxBody> {
        let status = StatusCode::from_u16(self.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let body = match self.body {
            ReplyBody::Whole(bytes) if self.is_close_delimited => whole_stream(bytes).boxed(),
            ReplyBody::Whole(bytes) => bytes.boxed(),
            ReplyBody::Stream(pieces) => stream_body(pieces).boxed(),
        };
        let mut response = Response::with_body(status, body);
        if self.is_close_delimited {
            let head = response.head_mut();
            head.no_chunking(true);
            head.set_connection_type(ConnectionType::Close);
        }
        let headers = response.headers_mut();
        if let Ok(value) = HeaderValue::from_str(&self.content_type) {
            headers.insert(header::CONTENT_TYPE, value);
        }
        for (name, value) in self.headers {
            if let Ok(value) = HeaderValue::from_str(&value) {
                headers.insert(HeaderName::from_static(name), value);
            }
        }
        response
    }
}

/// A body that fails, and so cuts the connection, when its sender vanishes
/// before the end.
fn stream_body(pieces: mpsc::Receiver<StreamPiece>) -> impl MessageBody {
    BodyStream::new(futures_util::stream::unfold(
        Some(pieces),
        |pieces| async move {
            let mut pieces = pieces?;
            match pieces.recv().await {
                Some(StreamPiece::Data(bytes)) => Some((Ok(bytes), Some(pieces))),
                Some(StreamPiece::End) => None,
                None => Some((Err(io::Error::other("the answer was cut short")), None)),
            }
        },
    ))
}

/// A streamed body of one piece, whose length is not declared.
fn whole_stream(bytes: Bytes) -> impl MessageBody {
    let piece = std::future::ready(Ok::<_, Infallible>(bytes));
    BodyStream::new(futures_util::stream::once(piece))
}

/// Serves `handler` on a bound listener until the returned server is stopped.
///
/// The future must be awaited for the server to run. Its handle's `stop(true)`
/// waits for requests in flight.
///
/// # Errors
///
/// Fails when the listener cannot be used.
pub fn serve<H, F>(
    config: HttpServerConfig,
    listener: TcpListener,
    handler: H,
) -> io::Result<Server>
where
    H: Fn(HttpRequest) -> F + Clone + Send + 'static,
    F: Future<Output = HttpReply> + 'static,
{
    let (_, never) = watch::channel(false);
    serve_until(config, listener, never, handler)
}

/// Like [`serve`], and closes idle connections as soon as `stopping` is true.
///
/// Without that, a graceful stop waits for every connection that a client
/// keeps alive, although no request is in flight on it.
///
/// # Errors
///
/// Fails when the listener cannot be used.
pub fn serve_until<H, F>(
    config: HttpServerConfig,
    listener: TcpListener,
    stopping: watch::Receiver<bool>,
    handler: H,
) -> io::Result<Server>
where
    H: Fn(HttpRequest) -> F + Clone + Send + 'static,
    F: Future<Output = HttpReply> + 'static,
{
    listener.set_nonblocking(true)?;
    let server = Server::build()
        .workers(config.workers)
        .max_concurrent_connections(config.clients.max_connections())
        .shutdown_timeout(config.shutdown_timeout.as_secs())
        .disable_signals()
        .listen(config.name, listener, move || {
            let handler = handler.clone();
            let config = config.clone();
            let stopping = stopping.clone();
            let clients = config.clients.clone();
            let accept = fn_service(move |connection: TcpStream| {
                ready(accept(&clients, connection).map_err(DispatchError::Io))
            });
            let service = HttpService::build()
                .on_connect_ext(|stream: &ClientStream, data: &mut Extensions| {
                    data.insert(stream.limit());
                    data.insert(stream.connection());
                })
                .client_request_timeout(config.headers_timeout)
                .keep_alive(Duration::from_secs(75))
                .graceful_shutdown_signal(move || until_true(stopping.clone()))
                .h1(fn_service(move |request: Request| {
                    let handler = handler.clone();
                    let config = config.clone();
                    serve_request(request, MAX_DISCARDED_BYTES, async move |request| {
                        Ok(answer(&config, &handler, request).await)
                    })
                    .boxed_local()
                }));
            accept.and_then(service)
        })?
        .run();
    Ok(server)
}

/// Waits until `flag` is true; forever when its sender is gone before that.
async fn until_true(mut flag: watch::Receiver<bool>) {
    if flag.wait_for(|stopping| *stopping).await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// Admits a connection.
fn accept(
    clients: &Clients,
    connection: TcpStream,
) -> io::Result<(ClientStream, Option<SocketAddr>)> {
    // Sends small pieces at once: a streamed token must not wait until the caller has
    // acknowledged the one before, which its system delays by 40 ms. Without it the server
    // works, only slower.
    let _ = connection.set_nodelay(true);
    let peer = connection.peer_addr().ok();
    let client = clients.connect(Protocol::Http1);
    let client = client.map_err(io::Error::other)?;
    Ok((ClientStream::new(connection, client), peer))
}

async fn answer<H, F>(config: &HttpServerConfig, handler: &H, request: Request) -> Response<BoxBody>
where
    H: Fn(HttpRequest) -> F,
    F: Future<Output = HttpReply>,
{
    let request = match read_request(config, request).await {
        Ok(request) => request,
        Err(problem) => return HttpReply::problem(&problem).into_response(),
    };
    // An answer takes memory until it is sent, so no other request is admitted in place of this
    // one before.
    let request_body = request.body.clone();
    let response = handler(request).await.into_response();
    response.map_body(|_, body| {
        ReplyWithRequest {
            body,
            _request_body: request_body,
        }
        .boxed()
    })
}

/// The body of a reply, until whose end the body of its request is held.
struct ReplyWithRequest {
    body: BoxBody,
    _request_body: Bytes,
}

impl MessageBody for ReplyWithRequest {
    type Error = Box<dyn Error>;

    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        Pin::new(&mut self.body).poll_next(context)
    }
}

async fn read_request(
    config: &HttpServerConfig,
    mut request: Request,
) -> Result<HttpRequest, Problem> {
    let limits = BodyLimits {
        max_bytes: config.max_body_bytes,
        copies: BODY_COPIES,
        max_discarded_bytes: MAX_DISCARDED_BYTES,
        timeout: config.body_timeout,
    };
    let body = read_body(&mut request, limits).await;
    let body = body.map_err(|error| body_problem(error, config.max_body_bytes))?;
    Ok(HttpRequest {
        method: request.method().as_str().to_owned(),
        path: request.path().to_owned(),
        query: request.uri().query().unwrap_or_default().to_owned(),
        headers: request.headers().clone(),
        body,
    })
}

fn body_problem(error: BodyError, max_body_bytes: usize) -> Problem {
    let (status, reason) = match error {
        BodyError::TooLarge => (413, "body-too-large"),
        BodyError::Incomplete => (400, "body-cut-short"),
        BodyError::Timeout => (408, "body-timeout"),
        BodyError::OutOfMemory => (503, "out-of-memory"),
    };
    let detail = match error {
        BodyError::TooLarge => format!("a body has at most {max_body_bytes} bytes"),
        _ => error.to_string(),
    };
    let problem = Problem::new(status, reason, Ran::No, detail);
    match error {
        BodyError::OutOfMemory => problem.retry_after(MEMORY_RETRY),
        _ => problem,
    }
}
