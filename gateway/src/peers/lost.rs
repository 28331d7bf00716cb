//! Deletes the rows of hosts that were lost for good, so that no list of hosts counts them.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rosebend_coordination::gateway::ledger::ProcessId;
use rosebend_coordination::gateway::lost_hosts::{LostHosts, MAX_MISSED_ROUNDS};
use rosebend_protocol::recent::{RecentRequest, decode_rows, encode_request};
use rosebend_state::deployment::{RowId, RowVersion, Transaction};
use rosebend_transport::event::{Event, EventKind, log_event};

use crate::gateway::Gateway;
use crate::peer_connections::PeerConnections;
use crate::recent_history;

/// Time in which a host has to respond to a probe.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// A host whose row follows this host's own row in the table.
#[derive(Clone, Debug)]
pub struct Neighbor {
    /// Row of the host in the table.
    pub row: RowId,
    /// Version of the row.
    pub version: RowVersion,
    /// The process that wrote the row.
    pub process: ProcessId,
    /// Address at which the process accepts requests of other gateways.
    pub address: SocketAddr,
}

/// The hosts that this host probes.
#[derive(Debug)]
pub struct Neighbors {
    hosts: RefCell<Vec<Neighbor>>,
    lost: RefCell<LostHosts>,
    connections: PeerConnections,
}

impl Neighbors {
    /// Creates an empty list.
    pub fn new(connections: PeerConnections) -> Self {
        Self {
            hosts: RefCell::default(),
            lost: RefCell::default(),
            connections,
        }
    }

    /// Replaces the hosts, in the order in which they follow this one.
    pub fn set_hosts(&self, hosts: Vec<Neighbor>) {
        let is_listed = |address: &SocketAddr| hosts.iter().any(|host| host.address == *address);
        self.connections.retain(is_listed);
        self.hosts.replace(hosts);
    }

    /// Returns whether a process responds at its address.
    async fn responds(&self, neighbor: &Neighbor) -> bool {
        // A request for the history of no program, which hosts of all versions answer.
        let request = RecentRequest {
            asked_run: neighbor.process.clone(),
            program: String::new(),
        };
        let message = encode_request(&request);
        let accepted = Cell::new(false);
        let path = recent_history::ASK_PATH;
        let answer = self
            .connections
            .ask(neighbor.address, path, message, &accepted);
        let answer = tokio::time::timeout(PROBE_TIMEOUT, answer).await;
        matches!(answer, Ok(Ok(rows)) if decode_rows(&rows).is_ok())
    }

    /// Probes the hosts up to the first one that responds. Returns those that are lost.
    async fn probe(&self) -> Vec<Neighbor> {
        let hosts = self.hosts.borrow().clone();
        let mut silent = Vec::new();
        let mut has_response = false;
        for neighbor in &hosts {
            has_response = self.responds(neighbor).await;
            if has_response {
                break;
            }
            silent.push(neighbor.process.clone());
        }
        let lost = self.lost.borrow_mut().record_round(silent, has_response);
        let hosts = hosts.into_iter();
        hosts
            .filter(|neighbor| lost.contains(&neighbor.process))
            .collect()
    }
}

/// Deletes the rows of hosts that do not respond for the time that the settings declare, in
/// an endless loop.
pub async fn run(gateway: Rc<Gateway>) {
    loop {
        tokio::time::sleep(gateway.settings().host_expiry / MAX_MISSED_ROUNDS).await;
        for neighbor in gateway.neighbors.probe().await {
            delete_row(&gateway, neighbor).await;
        }
    }
}

/// Deletes the row of a lost host, unless the host has written it again.
async fn delete_row(gateway: &Gateway, neighbor: Neighbor) {
    let transaction = Transaction::default()
        .expect(neighbor.row.clone(), neighbor.version)
        .delete(neighbor.row);
    // The client has already logged a failure, after which the row is deleted in the next
    // round.
    if gateway.store.transact(&transaction).await.is_ok() {
        let event = Event::new(EventKind::HostExpired).host(&neighbor.process);
        log_event(&event.address(neighbor.address));
    }
}
