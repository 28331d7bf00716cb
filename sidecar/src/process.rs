//! Starting and stopping the sidecar.
//!
//! A stop refuses new calls at once, lets calls at the endpoint finish and
//! their streams end, and waits for a bounded time until owners have
//! acknowledged the answers that are retained.

use std::{
    convert::Infallible,
    future::Future,
    io,
    net::{SocketAddr, TcpListener},
    sync::Arc,
    time::Duration,
};

use actix_rt::Arbiter;
use rosebend_coordination::endpoint::EndpointLimits;
use rosebend_protocol::peer::sidecar_server::SidecarServer;
use rosebend_state::settings::{EndpointKind, SidecarSettings, Tokens};
use rosebend_transport::{
    clients::{Clients, http2_server, listen_to_hosts},
    clock::Clock,
    event::{Event, EventKind, log_event},
    host_token::HostCheck,
    http_server::{self, HttpReply, HttpRequest, HttpServerConfig},
    metrics_page::Metrics,
    peers::MAX_MESSAGE_BYTES,
    store::StoreClient,
};
use tokio::sync::{mpsc, oneshot};
use tonic::service::interceptor::InterceptedService;

use crate::{
    control::{Command, Control, Published, Remaining},
    endpoint::{Endpoint, Job},
    server::SidecarService,
    start_epochs::StartEpochs,
};

/// Commands that wait for the control thread.
const COMMANDS: usize = 4096;
/// Least time for which a leaving sidecar still refuses calls. A call that came
/// while the server shuts down would be cut, and nobody could tell any more
/// whether it ran; so entries must have looked at the status before that, for
/// which this is several times their period.
const LEAVING_NOTICE: Duration = Duration::from_millis(1500);
/// Silence of a peer's connection before it is pinged.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(5);
/// Wait for the answer to that ping.
const KEEPALIVE_TIMEOUT: Duration = Duration::from_secs(5);

/// Addresses of a sidecar that is up.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Bound {
    /// Address for owners' gRPC.
    pub listen: SocketAddr,
    /// Address of the metrics page.
    pub metrics_listen: SocketAddr,
}

/// Why a sidecar did not start or run.
#[derive(Debug, thiserror::Error)]
pub enum ProcessError {
    /// An address could not be used.
    #[error("{address}: {error}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system says.
        error: io::Error,
    },
    /// The control thread broke off, so that nothing can be decided any more.
    #[error("the control thread broke off")]
    ControlStopped,
    /// The endpoint's thread broke off, so that calls would never end.
    #[error("the endpoint's thread broke off")]
    EndpointStopped,
    /// The gRPC server failed.
    #[error("the gRPC server failed: {0}")]
    Serve(#[from] tonic::transport::Error),
}

/// Runs a sidecar under the current actix system until `stop` is done and the
/// stop is complete.
///
/// Only hosts among `tokens` are served.
///
/// # Errors
///
/// Fails when an address cannot be used.
pub async fn run(
    settings: SidecarSettings,
    tokens: Arc<Tokens>,
    on_bound: impl FnOnce(Bound),
    stop: impl Future<Output = ()>,
) -> Result<(), ProcessError> {
    let listener = bind(settings.listen)?;
    let metrics_listener = bind(settings.metrics_listen)?;
    let bound = Bound {
        listen: local_address(&listener, settings.listen)?,
        metrics_listen: local_address(&metrics_listener, settings.metrics_listen)?,
    };

    let metrics = Metrics::new();
    let threads = start_threads(&settings, metrics.clone());
    let clients = Clients::new(&settings.clients, Clock::start(), metrics.clients.clone());
    let published = threads.published.clone();
    let pages = serve_pages(
        metrics_listener,
        metrics,
        published.clone(),
        clients.clone(),
    );
    let pages = pages.map_err(|error| ProcessError::Listen {
        address: settings.metrics_listen,
        error,
    })?;
    let pages_handle = pages.handle();
    actix_rt::spawn(pages);

    let started = StartEpochs::default();
    let store = StoreClient::from_settings(&settings.platform);
    actix_rt::spawn(started.clone().read(store));
    let service = SidecarService {
        host: settings.host.clone(),
        availability_zone: settings.availability_zone.clone(),
        kind: settings.kind,
        commands: threads.commands.clone(),
        jobs: threads.jobs.clone(),
        published: published.clone(),
        started,
    };
    let (stop_server, server_stopped) = oneshot::channel::<Infallible>();
    let server = actix_rt::spawn(serve(
        listener,
        service,
        HostCheck::new(tokens),
        clients,
        async move {
            // The sender is dropped without a message.
            let _ = server_stopped.await;
        },
    ));
    on_bound(bound);
    log_event(&Event::new(EventKind::ProcessStarted).host(&settings.host));

    let (mut load, jobs) = (published.load.clone(), threads.jobs.clone());
    tokio::select! {
        () = stop => {}
        // It tells its load until it is gone.
        () = wait_for(&mut load, |_| false) => return Err(ProcessError::ControlStopped),
        () = jobs.closed() => return Err(ProcessError::EndpointStopped),
    }
    log_event(&Event::new(EventKind::ProcessStopping).host(&settings.host));
    leave(&threads.commands, published, settings.limits.stop_timeout).await;
    drop(stop_server);
    let served = server.await.expect("the server does not panic");
    pages_handle.stop(true).await;
    for thread in threads.arbiters {
        thread.stop();
    }
    log_event(&Event::new(EventKind::ProcessStopped).host(&settings.host));
    Ok(served?)
}

/// The running threads and how they are reached.
struct Threads {
    commands: mpsc::Sender<Command>,
    jobs: mpsc::UnboundedSender<Job>,
    published: Published,
    arbiters: [Arbiter; 2],
}

/// Starts the control thread and the endpoint's thread.
fn start_threads(settings: &SidecarSettings, metrics: Metrics) -> Threads {
    let (commands, received) = mpsc::channel(COMMANDS);
    let (jobs, received_jobs) = mpsc::unbounded_channel();
    let service_jobs = jobs.clone();
    let limits = EndpointLimits {
        queued: settings.limits.queue_limit,
        running: settings.limits.max_running,
        kv_tokens: match settings.kind {
            EndpointKind::Engine => settings.limits.kv_tokens_limit,
            EndpointKind::Service => u64::MAX,
        },
        retention_bytes: settings.limits.retention_bytes,
    };
    let (control, published) =
        Control::new(rosebend_util::random_id(), limits, jobs, metrics.clone());
    let control_thread = Arbiter::new();
    control_thread.spawn_fn(move || {
        actix_rt::spawn(control.run(received));
    });
    let endpoint_thread = Arbiter::new();
    let (settings, sender) = (settings.clone(), commands.clone());
    // The client belongs to its thread, so it is made there.
    endpoint_thread.spawn_fn(move || {
        let endpoint = Endpoint::new(&settings, metrics, sender);
        actix_rt::spawn(endpoint.run(received_jobs));
    });
    Threads {
        commands,
        jobs: service_jobs,
        published,
        arbiters: [control_thread, endpoint_thread],
    }
}

async fn serve(
    listener: TcpListener,
    service: SidecarService,
    check: HostCheck,
    clients: Clients,
    stop: impl Future<Output = ()>,
) -> Result<(), tonic::transport::Error> {
    let listener = tokio::net::TcpListener::from_std(listener)
        .expect("a listener that does not block can be used here");
    let connections = clients.incoming(listener);
    let service = SidecarServer::new(service).max_decoding_message_size(MAX_MESSAGE_BYTES);
    let service = InterceptedService::new(service, check);
    http2_server()
        .http2_keepalive_interval(Some(KEEPALIVE_INTERVAL))
        .http2_keepalive_timeout(Some(KEEPALIVE_TIMEOUT))
        .add_service(service)
        .serve_with_incoming_shutdown(connections, stop)
        .await
}

fn serve_pages(
    listener: TcpListener,
    metrics: Metrics,
    published: Published,
    clients: Clients,
) -> io::Result<actix_server::Server> {
    let config = HttpServerConfig {
        name: "pages",
        workers: 1,
        max_body_bytes: 1024,
        shutdown_timeout: Duration::from_secs(1),
        clients,
        ..HttpServerConfig::default()
    };
    http_server::serve(config, listener, move |request| {
        let reply = page(&request, &metrics, &published);
        async move { reply }
    })
}

fn page(request: &HttpRequest, metrics: &Metrics, published: &Published) -> HttpReply {
    const TEXT: &str = "text/plain; charset=utf-8";
    match request.path.as_str() {
        "/metrics" => metrics.reply(),
        "/healthz" => HttpReply::bytes(200, TEXT, "ok\n"),
        "/readyz" if published.load.borrow().leaving => HttpReply::bytes(503, TEXT, "leaving\n"),
        "/readyz" => HttpReply::bytes(200, TEXT, "ok\n"),
        _ => HttpReply::bytes(404, TEXT, "not found\n"),
    }
}

/// Refuses new calls, waits for those in flight, and then, at most for
/// `timeout`, until all retained answers are acknowledged.
async fn leave(commands: &mpsc::Sender<Command>, mut published: Published, timeout: Duration) {
    if commands.send(Command::Leave).await.is_err() {
        return;
    }
    wait_for(&mut published.load, |load| load.leaving).await;
    let notice = actix_rt::time::sleep(LEAVING_NOTICE);
    let remaining = &mut published.remaining;
    wait_for(remaining, |left| left.in_flight == 0).await;
    let acknowledged = wait_for(remaining, |left: &Remaining| left.retained == 0);
    // The time is bounded; what is left then is lost with this process.
    let _ = actix_rt::time::timeout(timeout, acknowledged).await;
    notice.await;
}

async fn wait_for<T>(
    watched: &mut tokio::sync::watch::Receiver<T>,
    is_met: impl FnMut(&T) -> bool,
) {
    // An error means that the control thread is gone.
    let _ = watched.wait_for(is_met).await;
}

fn bind(address: SocketAddr) -> Result<TcpListener, ProcessError> {
    listen_to_hosts(address).map_err(|error| ProcessError::Listen { address, error })
}

fn local_address(listener: &TcpListener, address: SocketAddr) -> Result<SocketAddr, ProcessError> {
    listener
        .local_addr()
        .map_err(|error| ProcessError::Listen { address, error })
}
