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
use actix_http::{Extensions, HttpService, Request, Response, StatusCode};
use actix_service::{IntoServiceFactory, Service, ServiceFactory, fn_service};
use futures_util::FutureExt;
use rosebend_platform::process::READY_PATH;
use rosebend_state::deployment::CallerLimits;
use rosebend_transport::clients::{self, ClientStream, Clients, Protocol, serve_request};
use rosebend_transport::event::{Event, EventKind, log_event};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::dispatch;
use crate::gateway::Gateway;
use crate::peers;

/// Path of the metrics endpoint.
const METRICS_PATH: &str = "/metrics";
/// Idle timeout of connections before the declared limits are loaded.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Timeout for the head of a request before the declared limits are loaded.
const DEFAULT_HEADER_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for which an idle connection is kept beyond the declared limit, so that a
/// caller that reuses it within the limit does not find it closed.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_secs(2);
/// Least bytes of an unread body that are discarded after the response.
const MIN_DISCARDED_BYTES: usize = 1 << 20;
/// Pause after a connection could not be accepted, usually because the process has no
/// free file descriptor.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Opens a TCP listener.
///
/// # Errors
///
/// Returns an error if the address is in use or does not belong to this host.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::from_std(clients::listen(address)?)
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
/// limits change.
#[derive(Default)]
struct CallerConnections {
    current: RefCell<Option<(ConnectionLimits, ConnectionHandler)>>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct ConnectionLimits {
    header_timeout: Duration,
    idle_timeout: Duration,
    /// Maximum number of bytes of an unread body that are discarded after the response.
    max_discarded_bytes: usize,
}

impl Default for ConnectionLimits {
    fn default() -> Self {
        Self {
            header_timeout: DEFAULT_HEADER_TIMEOUT,
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
            max_discarded_bytes: MIN_DISCARDED_BYTES,
        }
    }
}

impl From<&CallerLimits> for ConnectionLimits {
    fn from(limits: &CallerLimits) -> Self {
        Self {
            header_timeout: limits.header_timeout,
            idle_timeout: limits.idle_timeout + IDLE_TIMEOUT_MARGIN,
            max_discarded_bytes: limits.max_body_bytes.max(MIN_DISCARDED_BYTES),
        }
    }
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
        let routes = gateway.routes();
        let limits = routes.map(|routes| ConnectionLimits::from(&routes.deployment().limits));
        let limits = limits.unwrap_or_default();
        let mut current = self.current.borrow_mut();
        let serve = match &*current {
            Some((previous, serve)) if *previous == limits => Rc::clone(serve),
            _ => {
                let serve = caller_handler(Rc::clone(gateway), limits, closing);
                *current = Some((limits, Rc::clone(&serve)));
                serve
            }
        };
        serve(stream, peer);
    }
}

fn caller_handler(
    gateway: Rc<Gateway>,
    limits: ConnectionLimits,
    closing: watch::Receiver<bool>,
) -> ConnectionHandler {
    let handled = Rc::clone(&gateway);
    let handler = move |request: Request| {
        let gateway = Rc::clone(&handled);
        async move { Ok::<_, Infallible>(dispatch::handle_request(gateway, request).await) }
    };
    let clients = gateway.clients.clone();
    connection_handler(handler, clients, limits, closing, move || {
        gateway.open_connection()
    })
}

/// Creates a handler that serves each connection in a task of its own and answers
/// its requests with `handler`. The value that `open` returns is dropped when the connection is
/// closed.
fn connection_handler<F, R, G>(
    handler: F,
    clients: Clients,
    limits: ConnectionLimits,
    closing: watch::Receiver<bool>,
    open: impl Fn() -> G + 'static,
) -> ConnectionHandler
where
    F: Fn(Request) -> R + Clone + 'static,
    R: Future<Output = Result<Response<BoxBody>, Infallible>> + 'static,
    G: 'static,
{
    let handler = move |request: Request| {
        let handler = handler.clone();
        // An idle connection has room for the future of a request, which is large.
        serve_request(request, limits.max_discarded_bytes, handler).boxed_local()
    };
    // The service has a timer of its own, so all connections share it.
    let service = HttpService::build()
        .keep_alive(limits.idle_timeout)
        .client_request_timeout(limits.header_timeout)
        .on_connect_ext(|stream: &ClientStream, data: &mut Extensions| {
            data.insert(stream.limit());
            data.insert(stream.connection());
        })
        // A caller that closes its side of the connection abandons its requests.
        .h1_allow_half_closed(false)
        .graceful_shutdown_signal(move || wait_until_true(closing.clone()))
        .h1(fn_service(handler).into_factory());
    let service = service.new_service(()).now_or_never();
    let service = service.and_then(Result::ok).map(Rc::new);
    let service = service.expect("a service of functions needs no time and does not fail");
    Rc::new(move |stream, peer| {
        // A connection that is refused is counted.
        let Ok(connection) = clients.connect(Protocol::Http1) else {
            return;
        };
        let stream = ClientStream::new(stream, connection);
        let open = open();
        let service = Rc::clone(&service);
        actix_rt::spawn(async move {
            // The outcome of each request on the connection is in the log of that request.
            let _ = service.call((stream, Some(peer))).await;
            drop(open);
        });
    })
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
    let clients = gateway.clients.clone();
    let handler = move |request: Request| {
        let response = status_response(&gateway, &request);
        async move { Ok::<_, Infallible>(response) }
    };
    serve_until_exit(listener, clients, handler).await;
}

async fn serve_until_exit<F, R>(listener: TcpListener, clients: Clients, handler: F)
where
    F: Fn(Request) -> R + Clone + 'static,
    R: Future<Output = Result<Response<BoxBody>, Infallible>> + 'static,
{
    let (_sender, never_closing) = watch::channel(false);
    let limits = ConnectionLimits::default();
    let serve = connection_handler(handler, clients, limits, never_closing, || ());
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => serve(stream, peer),
            Err(error) => {
                log_event(&Event::new(EventKind::AcceptFailed).error(&error));
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Serves requests of other gateways, such as calls to be forwarded to the store, until
/// the process ends.
pub async fn serve_peers(gateway: Rc<Gateway>, listener: TcpListener) {
    let clients = gateway.clients.clone();
    let handler = move |request: Request| peers::handle_request(Rc::clone(&gateway), request);
    serve_until_exit(listener, clients, handler).await;
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
