//! The HTTP/1.1 servers of the process.
//!
//! Connections are accepted and served on the process's one thread, so
//! `actix-http` is driven directly instead of through `actix-server`, which
//! would add a thread that accepts and one that works.

use std::cell::RefCell;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::{BoxBody, MessageBody};
use actix_http::{HttpService, Request, Response, StatusCode};
use actix_service::{IntoServiceFactory, Service, ServiceFactory, fn_service};
use rosebend_platform::process::READY_PATH;
use rosebend_transport::event::{Event, EventKind, log_event};
use socket2::{Domain, Protocol, Socket, Type};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::dispatch;
use crate::gateway::Gateway;
use crate::peers;

/// Connections that may wait to be accepted. When the queue is full, a
/// caller's opening packet is dropped and comes again only after a second.
const BACKLOG: i32 = 1_024;
/// Path of the metrics page.
const METRICS_PATH: &str = "/metrics";
/// Idle time of callers' connections before the operators' limit is known.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Wait for a request's head before the operators' limit is known.
const DEFAULT_HEADER_TIMEOUT: Duration = Duration::from_secs(5);
/// How long beyond the operators' limit an idle connection is kept, so that a
/// caller within the limit never meets a close.
const IDLE_SLACK: Duration = Duration::from_secs(2);
/// Pause after a connection could not be accepted, for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Opens a listener.
///
/// # Errors
///
/// Fails when the address is not free or not this host's.
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

/// Serves callers until `closing` is true; open connections go on until they
/// are idle.
pub async fn serve_callers(
    gateway: Rc<Gateway>,
    listener: TcpListener,
    mut closing: watch::Receiver<bool>,
) {
    let service = CallerService::default();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = closing.wait_for(|closing| *closing) => return,
        };
        match accepted {
            Ok((stream, peer)) => service.serve(&gateway, stream, peer, closing.clone()),
            Err(error) => {
                log_event(&Event::new(EventKind::AcceptFailed).error(&error));
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

type Serve = Rc<dyn Fn(TcpStream, SocketAddr)>;

/// The service for callers' connections, made anew when the limits change.
#[derive(Default)]
struct CallerService {
    current: RefCell<Option<(Limits, Serve)>>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Limits {
    header_timeout: Duration,
    idle_timeout: Duration,
}

impl CallerService {
    fn serve(
        &self,
        gateway: &Rc<Gateway>,
        stream: TcpStream,
        peer: SocketAddr,
        closing: watch::Receiver<bool>,
    ) {
        if stream.set_nodelay(true).is_err() {
            // The caller has gone already.
            return;
        }
        let limits = limits(gateway);
        let mut current = self.current.borrow_mut();
        let serve = match &*current {
            Some((made_for, serve)) if *made_for == limits => Rc::clone(serve),
            _ => {
                let serve = caller_service(Rc::clone(gateway), limits, closing);
                *current = Some((limits, Rc::clone(&serve)));
                serve
            }
        };
        serve(stream, peer);
    }
}

fn limits(gateway: &Gateway) -> Limits {
    let routes = gateway.routes();
    let limits = routes.as_ref().map(|routes| routes.deployment().limits);
    Limits {
        header_timeout: limits.map_or(DEFAULT_HEADER_TIMEOUT, |limits| limits.header_timeout),
        idle_timeout: limits.map_or(DEFAULT_IDLE_TIMEOUT, |limits| {
            limits.idle_timeout + IDLE_SLACK
        }),
    }
}

fn caller_service(gateway: Rc<Gateway>, limits: Limits, closing: watch::Receiver<bool>) -> Serve {
    let handler = move |request: Request| {
        let gateway = Rc::clone(&gateway);
        async move { Ok::<_, Infallible>(dispatch::answer(gateway, request).await) }
    };
    serve_with(handler, limits, closing)
}

/// Serves connections with a handler, each in a task of its own.
fn serve_with<F, R>(handler: F, limits: Limits, closing: watch::Receiver<bool>) -> Serve
where
    F: Fn(Request) -> R + Clone + 'static,
    R: Future<Output = Result<Response<BoxBody>, Infallible>> + 'static,
{
    Rc::new(move |stream, peer| {
        let closing = closing.clone();
        let service = HttpService::build()
            .keep_alive(limits.idle_timeout)
            .client_request_timeout(limits.header_timeout)
            // A caller that closes its connection has left; its work stops.
            .h1_allow_half_closed(false)
            .graceful_shutdown_signal(move || until_true(closing.clone()))
            .h1(fn_service(handler.clone()).into_factory());
        actix_rt::spawn(async move {
            let Ok(service) = service.new_service(()).await else {
                return;
            };
            // How a request on it ended is in the request's own trail.
            let _ = service.call((stream, Some(peer))).await;
        });
    })
}

/// Waits until `flag` is true; forever when its sender is gone before that.
async fn until_true(mut flag: watch::Receiver<bool>) {
    if flag.wait_for(|closing| *closing).await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// Serves the balancer's question and the metrics page until the process ends.
pub async fn serve_status(gateway: Rc<Gateway>, listener: TcpListener) {
    let handler = move |request: Request| {
        let response = status(&gateway, &request);
        async move { Ok::<_, Infallible>(response) }
    };
    serve_always(listener, handler).await;
}

async fn serve_always<F, R>(listener: TcpListener, handler: F)
where
    F: Fn(Request) -> R + Clone + 'static,
    R: Future<Output = Result<Response<BoxBody>, Infallible>> + 'static,
{
    let limits = Limits {
        header_timeout: DEFAULT_HEADER_TIMEOUT,
        idle_timeout: DEFAULT_IDLE_TIMEOUT,
    };
    let (_open, never) = watch::channel(false);
    let serve = serve_with(handler, limits, never);
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => serve(stream, peer),
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

/// Passes on peers' calls to the store until the process ends.
pub async fn serve_peers(gateway: Rc<Gateway>, listener: TcpListener) {
    let handler = move |request: Request| peers::pass_on(Rc::clone(&gateway), request);
    serve_always(listener, handler).await;
}

fn status(gateway: &Gateway, request: &Request) -> Response<BoxBody> {
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
