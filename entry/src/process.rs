//! Starts the threads of an entry, and stops them without cutting a request.

use std::io;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use actix_rt::{Arbiter, System};
use futures_util::FutureExt;
use rosebend_protocol::peer::entry_server::EntryServer;
use rosebend_protocol::table::row_id;
use rosebend_state::deployment::{Row, Transaction};
use rosebend_state::settings::EntrySettings;
use rosebend_transport::clients::{Clients, http2_server, listen, listen_to_hosts};
use rosebend_transport::clock::Clock;
use rosebend_transport::event::{Event, EventKind, log_event};
use rosebend_transport::host_token::{HostCheck, HostToken};
use rosebend_transport::http_server::{self, HttpServerConfig};
use rosebend_transport::logging::{LoggingError, init_logging};
use rosebend_transport::metrics_page::Metrics;
use rosebend_transport::peers::MAX_MESSAGE_BYTES;
use rosebend_transport::settings_file::{SettingsFileError, load_tokens};
use rosebend_transport::store::{StoreClient, Transacted};
use rosebend_transport::traffic::Traffic;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{oneshot, watch};
use tonic::service::interceptor::InterceptedService;

use crate::control::{Command, Control, ControlHandle, ControlSettings};
use crate::http::HttpContext;
use crate::operators::{HostView, OperatorContext, WriteIds};
use crate::peer_service::PeerService;
use crate::rows::{self, CLUSTER_KEY, ClusterValue};

/// Threads that carry traffic to peers and sidecars.
const TRAFFIC_THREADS: usize = 2;
/// Wait between tries to reach the table at the start.
const START_WAIT: Duration = Duration::from_millis(200);
/// Longest wait for requests in flight when the process stops.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(30);

/// Why an entry could not start.
#[derive(Debug)]
#[derive(thiserror::Error)]
pub enum ProcessError {
    /// An address could not be used.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The log could not be opened.
    #[error("{0}")]
    Logging(#[from] LoggingError),
    /// The tokens were not accepted.
    #[error("{0}")]
    Tokens(#[from] SettingsFileError),
}

/// Runs an entry until it was asked to stop by SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails when an address, the log or the tokens cannot be used.
pub fn run(settings: EntrySettings) -> Result<(), ProcessError> {
    init_logging(&settings.log)?;
    System::new().block_on(run_in_system(settings))
}

async fn run_in_system(settings: EntrySettings) -> Result<(), ProcessError> {
    let tokens = Arc::new(load_tokens(&settings.tokens_file)?);
    let http_listener = listen(settings.http_listen)?;
    let peer_listener = listen_to_hosts(settings.peer_listen)?;
    let http_address = http_listener.local_addr()?;
    let peer_address = peer_listener.local_addr()?;
    println!("listening on {http_address} for callers and {peer_address} for peers");
    let shard_count = agree_on_shards(&settings).await;
    let incarnation = rosebend_util::random_id();
    let metrics = Metrics::new();
    let traffic = Traffic::start(TRAFFIC_THREADS, HostToken::new(&tokens, &settings.host));
    let (control, commands) = ControlHandle::new();
    let control_settings = ControlSettings {
        first_write_id: rosebend_util::hash_parts(&[incarnation.as_bytes()]) >> 16 << 16,
        seed: rosebend_util::hash_parts(&[incarnation.as_bytes(), b"seed"]),
        incarnation: incarnation.clone(),
        peer_address: peer_address.to_string(),
        http_address: http_address.to_string(),
        shard_count,
        metrics: metrics.clone(),
        entry: settings.clone(),
    };
    let control_thread = Arbiter::new();
    start_control(
        &control_thread,
        control_settings,
        control.clone(),
        traffic.clone(),
        commands,
    );
    let clients = Clients::new(&settings.clients, Clock::start(), metrics.clients.clone());
    let check = HostCheck::new(tokens.clone());
    let peer_server = serve_peers(&control, check, peer_listener, clients.clone())?;
    let context = HttpContext {
        control: control.clone(),
        traffic,
        tokens,
        metrics,
        operators: operator_context(&settings, &incarnation, &control),
        key_prefix: Arc::from(incarnation.as_str()),
        next_key: Arc::new(AtomicU64::new(1)),
    };
    let config = HttpServerConfig {
        name: "callers",
        workers: settings.http_workers,
        max_body_bytes: settings.max_body_bytes,
        body_timeout: settings.clients.body_timeout,
        clients,
        shutdown_timeout: DRAIN_TIMEOUT,
        ..HttpServerConfig::default()
    };
    let (stopping, is_stopping) = watch::channel(false);
    let server = http_server::serve_until(config, http_listener, is_stopping, move |request| {
        let context = context.clone();
        async move { context.handle(request).await }
    })?;
    let server_handle = server.handle();
    let serving = actix_rt::spawn(server);
    log_event(&Event::new(EventKind::ProcessStarted).host(&settings.host));
    wait_for_signal().await?;
    log_event(&Event::new(EventKind::ProcessStopping).host(&settings.host));
    // New requests go to other entries; those here finish while the shards are
    // passed on, since a request whose program moves is followed there.
    stopping.send_replace(true);
    let http_stopped = server_handle.stop(true);
    control.stop().await;
    http_stopped.await;
    let _ = serving.await;
    control.leave().await;
    let _ = peer_server.send(());
    log_event(&Event::new(EventKind::ProcessStopped).host(&settings.host));
    Ok(())
}

fn operator_context(
    settings: &EntrySettings,
    incarnation: &str,
    control: &ControlHandle,
) -> OperatorContext {
    let asked = control.clone();
    let told = control.clone();
    OperatorContext::new(
        settings.platform.clone(),
        WriteIds::new(&settings.host, incarnation),
        move || host_view(asked.clone()).boxed_local(),
        move |change| told.send(Command::ConfigAccepted(change)),
    )
}

async fn host_view(control: ControlHandle) -> HostView {
    let Some(status) = control.status().await else {
        return HostView::default();
    };
    HostView {
        revision: status.config_revision,
        processes: status.processes,
    }
}

fn start_control(
    thread: &Arbiter,
    settings: ControlSettings,
    handle: ControlHandle,
    traffic: Traffic,
    commands: tokio::sync::mpsc::UnboundedReceiver<Command>,
) {
    // What the control state holds belongs to its thread, so it is made there.
    thread.spawn_fn(move || {
        actix_rt::spawn(Control::new(settings, handle, traffic).run(commands));
    });
}

/// Serves other entries until the returned sender sends or is dropped.
fn serve_peers(
    control: &ControlHandle,
    check: HostCheck,
    listener: TcpListener,
    clients: Clients,
) -> io::Result<oneshot::Sender<()>> {
    listener.set_nonblocking(true)?;
    let (stop, stopped) = oneshot::channel();
    let service = EntryServer::new(PeerService::new(control.clone()))
        .max_decoding_message_size(MAX_MESSAGE_BYTES);
    let service = InterceptedService::new(service, check);
    Arbiter::new().spawn_fn(move || {
        actix_rt::spawn(async move {
            let Ok(listener) = tokio::net::TcpListener::from_std(listener) else {
                return;
            };
            let server = http2_server().add_service(service);
            let incoming = clients.incoming(listener);
            let _ = server
                .serve_with_incoming_shutdown(incoming, async {
                    let _ = stopped.await;
                })
                .await;
        });
    });
    Ok(stop)
}

async fn wait_for_signal() -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// The number of shards of the cluster: the first entry of a new table fixes
/// it. Without the table no entry can start, since it cannot own anything.
async fn agree_on_shards(settings: &EntrySettings) -> u32 {
    let store = StoreClient::from_settings(&settings.platform);
    let row = row_id(CLUSTER_KEY);
    let value = rows::to_json(&ClusterValue {
        shard_count: settings.shard_count,
    });
    let create = Transaction::default()
        .expect_absent(row.clone())
        .write(row.clone(), value);
    loop {
        if let Ok(found) = store.read_row(&row).await {
            if let Some(count) = found.as_ref().and_then(shard_count_of) {
                return count;
            }
            if let Ok(Transacted::Applied(_)) = store.transact(&create).await {
                return settings.shard_count;
            }
        }
        actix_rt::time::sleep(START_WAIT).await;
    }
}

fn shard_count_of(row: &Row) -> Option<u32> {
    let value: ClusterValue = rows::from_json(row).ok()?;
    Some(value.shard_count)
}
