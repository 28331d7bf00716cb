//! The HTTP/1.1 listeners of the process: for callers, for status requests and for
//! peers.
//!
//! Connections are accepted and served on the single thread of the process.
//! Therefore `actix-http` is used directly instead of through `actix-server`, which
//! would add an acceptor thread and a worker thread.

use std::cell::RefCell;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::{BoxBody, MessageBody};
use actix_http::{
    ConnectionType, Extensions, HttpMessage, HttpService, Request, Response, StatusCode,
};
use actix_service::{IntoServiceFactory, Service, ServiceFactory, fn_service};
use rosebend_platform::process::READY_PATH;
use rosebend_transport::event::{Event, EventKind, log_event};
use rosebend_transport::paced_stream::{PacedStream, ReadLimit};
use socket2::{Domain, Protocol, Socket, Type};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::dispatch;
use crate::gateway::Gateway;
use crate::peers;

/// Maximum number of connections that wait to be accepted. When the queue is full,
/// the kernel drops a caller's SYN packet, which is retransmitted only after a second.
const BACKLOG: i32 = 1_024;
/// Path of the metrics endpoint.
const METRICS_PATH: &str = "/metrics";
/// Idle timeout of connections before the declared limits are loaded.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Timeout for the head of a request before the declared limits are loaded.
const DEFAULT_HEADER_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for which an idle connection is kept beyond the declared limit, so that a
/// caller that reuses it within the limit does not find it closed.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_secs(2);
/// Maximum number of bytes of an unread body that are discarded after the response.
const MAX_DISCARDED_BYTES: usize = 1 << 20;
/// Maximum time for which an unread body is discarded after the response.
const DISCARD_TIME: Duration = Duration::from_secs(1);
/// Pause after a connection could not be accepted, usually because the process has no
/// free file descriptor.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Opens a TCP listener.
///
/// # Errors
///
/// Returns an error if the address is in use or does not belong to this host.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Serves callers until `closing` is true. Open connections are then served until
/// they are idle.
pub async fn serve_callers(
    gateway: Rc<Gateway>,
    listener: TcpListener,
    mut closing: watch::Receiver<bool>,
) {
    let connections = CallerConnections::default();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = closing.wait_for(|closing| *closing) => return,
        };
        match accepted {
            Ok((stream, peer)) => connections.serve(&gateway, stream, peer, closing.clone()),
            Err(error) => {
                log_event(&Event::new(EventKind::AcceptFailed).error(&error));
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

type ConnectionHandler = Rc<dyn Fn(TcpStream, SocketAddr)>;

/// Serves callers' connections with a handler that is replaced when the declared
/// timeouts change.
#[derive(Default)]
struct CallerConnections {
    current: RefCell<Option<(ConnectionTimeouts, ConnectionHandler)>>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct ConnectionTimeouts {
    header_timeout: Duration,
    idle_timeout: Duration,
}

impl CallerConnections {
    fn serve(
        &self,
        gateway: &Rc<Gateway>,
        stream: TcpStream,
        peer: SocketAddr,
        closing: watch::Receiver<bool>,
    ) {
        if stream.set_nodelay(true).is_err() {
            // The caller has already closed the connection.
            return;
        }
        let timeouts = connection_timeouts(gateway);
        let mut current = self.current.borrow_mut();
        let serve = match &*current {
            Some((previous, serve)) if *previous == timeouts => Rc::clone(serve),
            _ => {
                let serve = caller_handler(Rc::clone(gateway), timeouts, closing);
                *current = Some((timeouts, Rc::clone(&serve)));
                serve
            }
        };
        serve(stream, peer);
    }
}

fn connection_timeouts(gateway: &Gateway) -> ConnectionTimeouts {
    let routes = gateway.routes();
    let limits = routes.as_ref().map(|routes| routes.deployment().limits);
    ConnectionTimeouts {
        header_timeout: limits.map_or(DEFAULT_HEADER_TIMEOUT, |limits| limits.header_timeout),
        idle_timeout: limits.map_or(DEFAULT_IDLE_TIMEOUT, |limits| {
            limits.idle_timeout + IDLE_TIMEOUT_MARGIN
        }),
    }
}

fn caller_handler(
    gateway: Rc<Gateway>,
    timeouts: ConnectionTimeouts,
    closing: watch::Receiver<bool>,
) -> ConnectionHandler {
    let handled = Rc::clone(&gateway);
    let handler = move |request: Request| {
        let gateway = Rc::clone(&handled);
        async move { Ok::<_, Infallible>(dispatch::handle_request(gateway, request).await) }
    };
    connection_handler(handler, timeouts, closing, move || {
        gateway.open_connection()
    })
}

/// Creates a handler that serves each connection in a task of its own and answers
/// its requests with `handler`. The value that `open` returns is dropped when the connection is
/// closed.
fn connection_handler<F, R, G>(
    handler: F,
    timeouts: ConnectionTimeouts,
    closing: watch::Receiver<bool>,
    open: impl Fn() -> G + 'static,
) -> ConnectionHandler
where
    F: Fn(Request) -> R + Clone + 'static,
    R: Future<Output = Result<Response<BoxBody>, Infallible>> + 'static,
    G: 'static,
{
    let handler = move |request: Request| {
        let limit = request.conn_data::<ReadLimit>().cloned();
        if let Some(limit) = &limit {
            limit.set_unread_body(has_body(&request));
        }
        let response = handler(request);
        async move {
            let mut response = response.await?;
            if let Some(limit) = limit.filter(ReadLimit::has_unread_body) {
                let head = response.head_mut();
                head.set_connection_type(ConnectionType::Close);
                actix_rt::spawn(discard_body(limit));
            }
            Ok::<_, Infallible>(response)
        }
    };
    Rc::new(move |stream, peer| {
        let stream = PacedStream::new(stream);
        let open = open();
        let closing = closing.clone();
        let service = HttpService::build()
            .keep_alive(timeouts.idle_timeout)
            .client_request_timeout(timeouts.header_timeout)
            .on_connect_ext(|stream: &PacedStream<TcpStream>, data: &mut Extensions| {
                data.insert(stream.limit());
            })
            // A caller that closes its side of the connection abandons its requests.
            .h1_allow_half_closed(false)
            .graceful_shutdown_signal(move || wait_until_true(closing.clone()))
            .h1(fn_service(handler.clone()).into_factory());
        actix_rt::spawn(async move {
            let Ok(service) = service.new_service(()).await else {
                return;
            };
            // The outcome of each request on the connection is in the log of that request.
            let _ = service.call((stream, Some(peer))).await;
            drop(open);
        });
    })
}

/// Returns whether a request has a body.
fn has_body(request: &Request) -> bool {
    let headers = request.headers();
    let length = headers.get(actix_http::header::CONTENT_LENGTH);
    let is_sized = length.is_some_and(|length| length.as_bytes() != b"0");
    is_sized || headers.contains_key(actix_http::header::TRANSFER_ENCODING)
}

/// Records that the body of a request was read to its end, so that another request may follow
/// it.
pub fn record_whole_body(request: &Request) {
    if let Some(limit) = request.conn_data::<ReadLimit>() {
        limit.set_unread_body(false);
    }
}

/// Lets the rest of a body that nobody reads arrive, so that the client receives the response,
/// for a limited time and up to a limited size. The response has announced that the connection
/// is closed then.
async fn discard_body(limit: ReadLimit) {
    limit.set(MAX_DISCARDED_BYTES);
    tokio::time::sleep(DISCARD_TIME).await;
    limit.set(0);
}

/// Waits until `flag` is true. If the sender is dropped before that, the function
/// never returns.
async fn wait_until_true(mut flag: watch::Receiver<bool>) {
    if flag.wait_for(|closing| *closing).await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// Serves the load balancer's readiness checks and the metrics until the process ends.
pub async fn serve_status(gateway: Rc<Gateway>, listener: TcpListener) {
    let handler = move |request: Request| {
        let response = status_response(&gateway, &request);
        async move { Ok::<_, Infallible>(response) }
    };
    serve_until_exit(listener, handler).await;
}

async fn serve_until_exit<F, R>(listener: TcpListener, handler: F)
where
    F: Fn(Request) -> R + Clone + 'static,
    R: Future<Output = Result<Response<BoxBody>, Infallible>> + 'static,
{
    let timeouts = ConnectionTimeouts {
        header_timeout: DEFAULT_HEADER_TIMEOUT,
        idle_timeout: DEFAULT_IDLE_TIMEOUT,
    };
    let (_sender, never_closing) = watch::channel(false);
    let serve = connection_handler(handler, timeouts, never_closing, || ());
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => serve(stream, peer),
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

/// Serves requests of other gateways, such as calls to be forwarded to the store, until
/// the process ends.
pub async fn serve_peers(gateway: Rc<Gateway>, listener: TcpListener) {
    let handler = move |request: Request| peers::handle_request(Rc::clone(&gateway), request);
    serve_until_exit(listener, handler).await;
}

fn status_response(gateway: &Gateway, request: &Request) -> Response<BoxBody> {
    if request.path() == METRICS_PATH {
        let page = gateway.metrics.page(&gateway.gauge_values());
        return Response::with_body(StatusCode::OK, page.boxed());
    }
    let (status, body) = match request.path() {
        READY_PATH if gateway.update_readiness() => (StatusCode::OK, "ready\n"),
        READY_PATH => (StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        _ => (StatusCode::NOT_FOUND, "no such page\n"),
    };
    Response::with_body(status, body.boxed())
}
