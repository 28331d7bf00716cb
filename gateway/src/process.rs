//! The start and the planned stop of the process.

use std::io;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use rosebend_state::settings::GatewaySettings;
use rosebend_transport::event::{Event, EventKind, log_event};
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

use crate::gateway::{Gateway, PlannedStop};
use crate::{
    engine_scheduling, escrow, front, gossip, limits, peers, quarantine, reload, retention,
    watch as follow,
};

/// Time after the signal to stop for which new connections are still accepted. The balancer
/// probes once a second and removes a host after two failed probes.
const ACCEPT_TIME: Duration = Duration::from_millis(3_300);
/// Margin between the exit of a stopping process and the time at which it would be killed.
const EXIT_MARGIN: Duration = Duration::from_millis(500);
/// Timeout of each write by a stopping process: the release of escrow slots and the deletion
/// of the row in the table of gateways.
const STOP_WRITE_TIMEOUT: Duration = Duration::from_millis(250);
/// Interval at which a stopping process checks for open requests.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time for which a process that exits with open requests writes their last responses.
const FLUSH_TIME: Duration = Duration::from_millis(100);
/// Interval at which it checks whether they are written.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Time without open requests, connections or changes after which a stopping process ends. A
/// request that a caller has already sent may not have been read yet.
const IDLE_TIME: Duration = Duration::from_millis(300);

/// The reason for which the process failed.
#[derive(Debug, thiserror::Error)]
pub enum ProcessError {
    /// The process could not listen on an address.
    #[error("cannot listen on {address}: {error}")]
    Listen {
        /// The address.
        address: std::net::SocketAddr,
        /// The error of the operating system.
        error: io::Error,
    },
    /// The handler of a signal could not be installed.
    #[error("cannot install a signal handler: {0}")]
    Signal(io::Error),
}

/// Runs a gateway until it receives SIGTERM, and applies changes of its settings file.
///
/// # Errors
///
/// Fails if the process cannot listen on one of its addresses or install a signal handler.
pub fn run(settings: GatewaySettings, path: PathBuf) -> Result<(), ProcessError> {
    actix_rt::System::new().block_on(run_until_stopped(settings, path))
}

async fn run_until_stopped(settings: GatewaySettings, path: PathBuf) -> Result<(), ProcessError> {
    let mut terminate = signal(SignalKind::terminate()).map_err(ProcessError::Signal)?;
    let hangup = signal(SignalKind::hangup()).map_err(ProcessError::Signal)?;
    let front = listen(settings.front_listen, "callers")?;
    let ready = listen(settings.ready_listen, "balancer")?;
    let metrics = listen(settings.metrics_listen, "metrics")?;
    let relay = listen(settings.relay_listen, "peers")?;
    let relay_address = relay.local_addr().unwrap_or(settings.relay_listen);
    let gateway = Rc::new(Gateway::new(settings));
    let (close, closing) = watch::channel(false);
    actix_rt::spawn(front::serve_status(Rc::clone(&gateway), ready));
    actix_rt::spawn(front::serve_status(Rc::clone(&gateway), metrics));
    actix_rt::spawn(front::serve_callers(Rc::clone(&gateway), front, closing));
    actix_rt::spawn(follow::follow_routes(Rc::clone(&gateway)));
    actix_rt::spawn(follow::follow_endpoints(Rc::clone(&gateway)));
    actix_rt::spawn(follow::run_maintenance(Rc::clone(&gateway)));
    actix_rt::spawn(front::serve_peers(Rc::clone(&gateway), relay));
    actix_rt::spawn(peers::follow(Rc::clone(&gateway), relay_address));
    let socket = UdpSocket::bind(relay_address).await;
    let socket = socket.map_err(|error| ProcessError::Listen {
        address: relay_address,
        error,
    })?;
    let socket = Rc::new(socket);
    gateway.limits.set_socket(Rc::clone(&socket));
    gateway.escrow.set_socket(Rc::clone(&socket));
    gateway.engine_scheduling.set_socket(Rc::clone(&socket));
    actix_rt::spawn(gossip::run(Rc::clone(&gateway), socket));
    actix_rt::spawn(limits::run(Rc::clone(&gateway)));
    actix_rt::spawn(escrow::run(Rc::clone(&gateway)));
    actix_rt::spawn(engine_scheduling::run(Rc::clone(&gateway)));
    actix_rt::spawn(peers::probe(Rc::clone(&gateway)));
    actix_rt::spawn(peers::lost::run(Rc::clone(&gateway)));
    actix_rt::spawn(quarantine::follow(Rc::clone(&gateway)));
    actix_rt::spawn(quarantine::write(Rc::clone(&gateway)));
    actix_rt::spawn(retention::run(Rc::clone(&gateway)));
    actix_rt::spawn(reload::follow(Rc::clone(&gateway), path, hangup));
    log_event(&Event::new(EventKind::ProcessStarted).host(&gateway.settings().host));
    terminate.recv().await;
    stop(&gateway, &close).await;
    Ok(())
}

/// Listens on an address and logs it. For port 0 the system selects a free port, which is
/// only known from the log.
fn listen(
    address: std::net::SocketAddr,
    purpose: &'static str,
) -> Result<TcpListener, ProcessError> {
    let listener = front::listen(address);
    let listener = listener.map_err(|error| ProcessError::Listen { address, error })?;
    if let Ok(address) = listener.local_addr() {
        log_event(
            &Event::new(EventKind::Listening)
                .address(address)
                .reason(purpose),
        );
    }
    Ok(listener)
}

/// Stops the process: waits until open requests have ended and their responses are written,
/// responds to those that have not ended in time, gives up the escrow slots and deletes
/// the row in the table of gateways. It ends before the platform would kill the process.
async fn stop(gateway: &Gateway, close: &watch::Sender<bool>) {
    let grace = gateway.settings().stop_grace.saturating_sub(EXIT_MARGIN);
    let deadline = gateway.clock.now() + grace;
    gateway.stop(PlannedStop {
        accept_until: gateway.clock.now() + ACCEPT_TIME.min(grace),
        end: deadline,
    });
    let open = gateway.open_requests();
    log_event(&Event::new(EventKind::ProcessStopping).count(open));
    gateway.commits.send_all_deferred();
    escrow::slot_release::stop_acquiring(gateway);
    release_slots(gateway).await;
    tokio::time::sleep(ACCEPT_TIME.min(grace)).await;
    close.send_replace(true);
    let mut idle_since = gateway.clock.now();
    while gateway.clock.now() < deadline {
        tokio::time::sleep(STOP_POLL_INTERVAL).await;
        release_slots(gateway).await;
        let open_changes = gateway.commits.open_changes() as u64;
        if gateway.open_requests() + gateway.open_connections() + open_changes > 0 {
            idle_since = gateway.clock.now();
        }
        if gateway.clock.now().saturating_sub(idle_since) > IDLE_TIME {
            break;
        }
    }
    let unanswered = gateway.open_requests();
    let flush_deadline = gateway.clock.now() + FLUSH_TIME;
    gateway.set_exiting();
    if !gateway.store.is_reachable() {
        let remaining = deadline.saturating_sub(gateway.clock.now());
        tokio::time::sleep(escrow::slot_release::hand_over_delay(gateway).min(remaining)).await;
    }
    // Before this, peers could request the reservations of this process's turns. A row that
    // is not deleted in time costs a peer one refused call, and slots that are not given up
    // in time remain assigned to a process that has ended.
    let _ = tokio::join!(
        tokio::time::timeout(STOP_WRITE_TIMEOUT, give_up_slots(gateway)),
        tokio::time::timeout(STOP_WRITE_TIMEOUT, peers::remove_row(gateway)),
    );
    while gateway.open_connections() > 0 && gateway.clock.now() < flush_deadline {
        tokio::time::sleep(FLUSH_POLL_INTERVAL).await;
    }

    let kind = match unanswered {
        0 => EventKind::ProcessStopped,
        _ => EventKind::StopTimedOut,
    };
    log_event(&Event::new(kind).count(unanswered));
}

/// Releases escrow slots in the store as soon as it is reachable, because a stopping process
/// may be killed before its end.
async fn release_slots(gateway: &Gateway) {
    if gateway.store.is_reachable() && gateway.escrow.has_slots_to_release() {
        // If the write times out, the next call repeats it.
        let _ =
            tokio::time::timeout(STOP_WRITE_TIMEOUT, escrow::slot_release::release(gateway)).await;
    }
}

/// Releases the remaining escrow slots in the store. While the store is unreachable, hands
/// them over to other hosts by messages if the hold-off of this host is over. Slots remain
/// if the store was unavailable at the signal, or if this host received them later.
async fn give_up_slots(gateway: &Gateway) {
    match gateway.store.is_reachable() {
        true => escrow::slot_release::release(gateway).await,
        false if escrow::slot_release::hand_over_delay(gateway).is_zero() => {
            escrow::slot_release::hand_over(gateway).await;
        }
        false => {}
    }
}
