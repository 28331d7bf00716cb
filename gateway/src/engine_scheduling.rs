//! Lets one gateway schedule the engines of a service and availability zone.
//!
//! A turn asks the gateway that schedules its group of engines for a slot, and the start
//! of a program asks whether it may begin. If that gateway does not answer, this one
//! selects the engine itself. The decisions are in
//! `rosebend_coordination::gateway::engine_scheduler`. Messages are sent as datagrams; a
//! datagram of a process that does not belong to the deployment is ignored. Messages of
//! this process to itself are handled directly.
//!
//! - `groups`: the groups that this host schedules.
//! - `known_engines`: the engines of a service as this host last listed them.
//! - `messages`: sending and receiving.
//! - `metrics`: counters and gauges.
//! - `placement`: a slot for a turn.
//! - `start`: the start of a program.

use std::cell::{OnceCell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rosebend_coordination::gateway::batchers::PeerHost;
use rosebend_coordination::gateway::engine_scheduler::client::SchedulerClient;
use rosebend_coordination::gateway::engine_scheduler::message::RequestNumber;
use rosebend_coordination::gateway::ledger::ProcessId;
use rosebend_state::id::AvailabilityZone;
use rosebend_state::settings::EngineSelection;
use tokio::net::UdpSocket;
use tokio::sync::Notify;

use self::groups::ScheduledGroups;
use self::known_engines::KnownEngines;
use crate::call::Call;
use crate::gateway::Gateway;

mod groups;
mod known_engines;
mod messages;
pub mod metrics;
mod placement;
mod start;

pub use self::messages::on_message;
pub use self::placement::{Placed, Placement, place};
pub use self::start::admit;

/// Prefix of every datagram of this module. The datagrams of other modules have other
/// prefixes.
pub const DATAGRAM_PREFIX: [u8; 2] = *b"S1";
/// Interval at which slots are assigned while turns wait at this host's groups.
const ADVANCE_INTERVAL: Duration = Duration::from_millis(5);
/// Interval at which due reports are sent and expired placements end otherwise.
const IDLE_INTERVAL: Duration = Duration::from_millis(50);

/// The requests of this host to schedulers, and the groups that it schedules.
#[derive(Debug)]
pub struct EngineScheduling {
    client: RefCell<SchedulerClient<SocketAddr>>,
    groups: RefCell<ScheduledGroups>,
    known_engines: RefCell<KnownEngines>,
    socket: OnceCell<Rc<UdpSocket>>,
    /// Wakes the turn or program start of each open request after an answer.
    waiting: RefCell<HashMap<RequestNumber, Rc<Notify>>>,
    /// Wakes [`run`] when a turn begins to wait at a group of this host.
    turn_queued: Notify,
}

impl EngineScheduling {
    /// Creates the state of a host that knows no other hosts.
    pub fn new(own_process: ProcessId, own_zone: AvailabilityZone) -> Self {
        Self {
            client: RefCell::new(SchedulerClient::new(own_process, own_zone)),
            groups: RefCell::default(),
            known_engines: RefCell::default(),
            socket: OnceCell::new(),
            waiting: RefCell::default(),
            turn_queued: Notify::new(),
        }
    }

    /// Sets the socket through which messages are sent.
    pub fn set_socket(&self, socket: Rc<UdpSocket>) {
        // The process sets its only datagram socket once, so this never fails.
        let _ = self.socket.set(socket);
    }

    /// Replaces the known hosts of each availability zone, including this host.
    pub fn set_hosts(&self, zones: HashMap<AvailabilityZone, Vec<PeerHost<SocketAddr>>>) {
        self.client.borrow_mut().set_hosts(zones);
    }
}

/// Returns whether the engines of a call are scheduled.
pub fn is_in_effect(gateway: &Gateway, call: &Call) -> bool {
    is_service_scheduled(gateway, &call.service)
}

fn is_service_scheduled(gateway: &Gateway, service: &str) -> bool {
    match gateway.settings().engine_selection {
        EngineSelection::Auto => known_engines::reports_speed(gateway, service),
        EngineSelection::Scheduled => true,
        EngineSelection::Local => false,
    }
}

/// Assigns slots to waiting turns and sends due reports. Never returns.
pub async fn run(gateway: Rc<Gateway>) {
    let scheduling = &gateway.engine_scheduling;
    loop {
        let pause = match scheduling.groups.borrow().has_waiting() {
            true => ADVANCE_INTERVAL,
            false => IDLE_INTERVAL,
        };
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = scheduling.turn_queued.notified() => {}
        }
        let now = gateway.clock.now();
        groups::open_own(&gateway, now);
        for group in groups::scheduled(&gateway) {
            groups::advance(&gateway, &group, now);
        }
        messages::send_reports(&gateway, now);
        groups::update_gauges(&gateway, now);
    }
}
