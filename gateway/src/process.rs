//! Starts the process and stops it.

use std::io;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use rosebend_state::settings::GatewaySettings;
use rosebend_transport::event::{Event, EventKind, log_event};
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

use crate::gateway::Gateway;
use crate::{escrow, front, gossip, limits, peers, quarantine, reload, retention, watch as follow};

/// How long after the signal to stop new connections are still accepted: the
/// balancer asks once a second and takes a host out after two misses.
const ACCEPT_AFTER_SIGNAL: Duration = Duration::from_millis(3_300);
/// Time before the end by force at which the process ends by itself.
const END_MARGIN: Duration = Duration::from_millis(500);
/// How long the row among the peers may take to go at the end of a stop.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(250);
/// How often a stopping process looks whether requests are open.
const STOP_POLL: Duration = Duration::from_millis(50);
/// How long all must be quiet before a stopping process ends: what a caller
/// has sent may not have been read yet.
const QUIET_TIME: Duration = Duration::from_millis(300);

/// Why a process failed.
#[derive(Debug, thiserror::Error)]
pub enum ProcessError {
    /// An address could not be listened on.
    #[error("cannot listen on {address}: {error}")]
    Listen {
        /// The address.
        address: std::net::SocketAddr,
        /// What the system said.
        error: io::Error,
    },
    /// A signal could not be watched.
    #[error("cannot watch signals: {0}")]
    Signal(io::Error),
}

/// Runs a gateway until it is asked to stop, and follows the file of its
/// settings.
///
/// # Errors
///
/// Fails when an address cannot be listened on.
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
    actix_rt::spawn(follow::tidy(Rc::clone(&gateway)));
    actix_rt::spawn(front::serve_peers(Rc::clone(&gateway), relay));
    actix_rt::spawn(peers::follow(Rc::clone(&gateway), relay_address));
    let datagrams = UdpSocket::bind(relay_address).await;
    let datagrams = datagrams.map_err(|error| ProcessError::Listen {
        address: relay_address,
        error,
    })?;
    let datagrams = Rc::new(datagrams);
    gateway.limits.set_socket(Rc::clone(&datagrams));
    gateway.escrow.set_socket(Rc::clone(&datagrams));
    actix_rt::spawn(gossip::run(Rc::clone(&gateway), datagrams));
    actix_rt::spawn(limits::run(Rc::clone(&gateway)));
    actix_rt::spawn(escrow::run(Rc::clone(&gateway)));
    actix_rt::spawn(peers::probe(Rc::clone(&gateway)));
    actix_rt::spawn(quarantine::follow(Rc::clone(&gateway)));
    actix_rt::spawn(retention::run(Rc::clone(&gateway)));
    actix_rt::spawn(reload::follow(Rc::clone(&gateway), path, hangup));
    log_event(&Event::new(EventKind::ProcessStarted).host(&gateway.settings().host));
    terminate.recv().await;
    stop(&gateway, &close).await;
    Ok(())
}

/// Listens on an address and tells it: port 0 takes a free one.
fn listen(address: std::net::SocketAddr, whom: &'static str) -> Result<TcpListener, ProcessError> {
    let listener = front::listen(address);
    let listener = listener.map_err(|error| ProcessError::Listen { address, error })?;
    if let Ok(address) = listener.local_addr() {
        log_event(
            &Event::new(EventKind::Listening)
                .address(address)
                .reason(whom),
        );
    }
    Ok(listener)
}

/// Lets open requests end, and ends before it is made to.
async fn stop(gateway: &Gateway, close: &watch::Sender<bool>) {
    gateway.stop();
    let grace = gateway.settings().stop_grace.saturating_sub(END_MARGIN);
    let end = gateway.clock.now() + grace;
    let open = gateway.open_requests();
    log_event(&Event::new(EventKind::ProcessStopping).count(open));
    gateway.commits.send_all_put_off();
    escrow::slot_release::stop_acquiring(gateway);
    release_slots(gateway).await;
    tokio::time::sleep(ACCEPT_AFTER_SIGNAL.min(grace)).await;
    close.send_replace(true);
    let mut quiet_since = gateway.clock.now();
    while gateway.clock.now() < end {
        tokio::time::sleep(STOP_POLL).await;
        release_slots(gateway).await;
        if gateway.open_requests() > 0 || gateway.commits.open_changes() > 0 {
            quiet_since = gateway.clock.now();
        }
        if gateway.clock.now().saturating_sub(quiet_since) > QUIET_TIME {
            break;
        }
    }
    if !gateway.store.is_reachable() {
        let left = end.saturating_sub(gateway.clock.now());
        tokio::time::sleep(escrow::slot_release::hand_over_delay(gateway).min(left)).await;
    }
    // Until here peers could ask what its turns still hold. A row that stays costs a
    // peer one call that is refused, and slots that are not given up in time stay with
    // a run that is gone.
    let _ = tokio::join!(
        tokio::time::timeout(LEAVE_TIMEOUT, give_up_slots(gateway)),
        tokio::time::timeout(LEAVE_TIMEOUT, peers::leave(gateway)),
    );

    let kind = match gateway.open_requests() {
        0 => EventKind::ProcessStopped,
        _ => EventKind::StopTimedOut,
    };
    log_event(&Event::new(kind).count(gateway.open_requests()));
}

/// Gives up slots by their rows, as soon as the store answers: a process that stops may be
/// killed.
async fn release_slots(gateway: &Gateway) {
    if gateway.store.is_reachable() && gateway.escrow.has_slots_to_release() {
        // What is not written in time is tried again.
        let _ = tokio::time::timeout(LEAVE_TIMEOUT, escrow::slot_release::release(gateway)).await;
    }
}

/// Gives up slots that were kept at the signal, since the store was unavailable, or
/// that came since.
async fn give_up_slots(gateway: &Gateway) {
    match gateway.store.is_reachable() {
        true => escrow::slot_release::release(gateway).await,
        false if escrow::slot_release::hand_over_delay(gateway).is_zero() => {
            escrow::slot_release::hand_over(gateway).await;
        }
        false => {}
    }
}
