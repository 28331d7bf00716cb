//! The table of gateways as this host has read it.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

use rosebend_coordination::gateway::batchers::PeerHost;
use rosebend_coordination::gateway::ledger::ProcessId;
use rosebend_coordination::gateway::lost_hosts::MAX_PROBES;
use rosebend_state::deployment::{Row, RowId, RowVersion};
use rosebend_state::id::AvailabilityZone;
use rosebend_transport::event::{Event, EventKind, log_event};
use rosebend_transport::store::Peer;

use super::lost::Neighbor;
use super::row::{PeerRow, PeerRowError};

/// Maximum number of peers that relay calls to the store.
const MAX_RELAYS: usize = 8;
/// Maximum number of invalid rows that are logged, each of them once.
const MAX_LOGGED: usize = 8;

/// The running gateways by the keys of their rows.
#[derive(Debug, Default)]
pub struct PeerTable {
    peers: BTreeMap<String, PeerRow>,
    /// Identifiers and versions of the rows of `peers`.
    versions: BTreeMap<String, (RowId, RowVersion)>,
    /// Keys of the invalid rows that were logged.
    logged: BTreeSet<String>,
}

impl PeerTable {
    /// Removes all gateways.
    pub fn clear(&mut self) {
        self.peers.clear();
        self.versions.clear();
    }

    /// Applies a row that was written or deleted.
    pub fn apply(&mut self, row: &Row) {
        self.peers.remove(&row.id.key);
        self.versions.remove(&row.id.key);
        if row.value.is_none() {
            return;
        }
        match PeerRow::try_from(row) {
            Ok(peer) => {
                self.peers.insert(row.id.key.clone(), peer);
                let version = (row.id.clone(), row.version);
                self.versions.insert(row.id.key.clone(), version);
            }
            Err(error) => self.log_invalid(row, &error),
        }
    }

    /// Logs an invalid row once, up to [`MAX_LOGGED`] rows, because their author may
    /// write many of them.
    fn log_invalid(&mut self, row: &Row, error: &PeerRowError) {
        if self.logged.len() < MAX_LOGGED && self.logged.insert(row.id.key.clone()) {
            log_event(&Event::new(EventKind::PeerRowUnusable).error(error));
        }
    }

    /// Returns whether the table contains the row of a process.
    pub fn contains(&self, holder: &ProcessId) -> bool {
        self.peers.values().any(|peer| peer.holder == *holder)
    }

    /// Returns whether the ledgers of all gateways withhold tokens for the grants of
    /// escrow slots.
    pub fn all_withhold(&self) -> bool {
        self.peers.values().all(|peer| peer.fences_escrow)
    }

    /// Returns the peers that relay calls for the host with a key. Their rows follow that
    /// key in the table, which is treated as a ring.
    pub fn relays_for(&self, own: &str) -> Vec<Peer> {
        let mut found: Vec<Peer> = Vec::new();
        for (_, peer) in self.others_after(own) {
            let address = peer.relay;
            if found.len() < MAX_RELAYS && !found.iter().any(|known| known.address == address) {
                let run = peer.holder.clone();
                found.push(Peer { address, run });
            }
        }
        found
    }

    /// Returns the first gateways whose rows follow the key of a host in the ring.
    pub fn neighbors_of(&self, own: &str) -> Vec<Neighbor> {
        let others = self.others_after(own).into_iter().take(MAX_PROBES);
        let neighbors = others.filter_map(|(key, peer)| {
            let (row, version) = self.versions.get(key)?.clone();
            Some(Neighbor {
                row,
                version,
                process: peer.holder.clone(),
                address: peer.relay,
            })
        });
        neighbors.collect()
    }

    /// Returns all gateways but the one with a key, in the order of the ring after it.
    fn others_after(&self, own: &str) -> Vec<(&String, &PeerRow)> {
        let (before, after) = self
            .peers
            .iter()
            .partition::<Vec<_>, _>(|(key, _)| key.as_str() <= own);
        let others = after.into_iter().chain(before);
        others.filter(|(key, _)| key.as_str() != own).collect()
    }

    /// Returns all gateways as hosts.
    pub fn hosts(&self) -> Vec<PeerHost<SocketAddr>> {
        self.peers.values().map(to_host).collect()
    }

    /// Returns the gateways of each availability zone as hosts.
    pub fn hosts_by_zone(&self) -> HashMap<AvailabilityZone, Vec<PeerHost<SocketAddr>>> {
        let mut zones: HashMap<AvailabilityZone, Vec<PeerHost<SocketAddr>>> = HashMap::new();
        for peer in self.peers.values() {
            if let Some(zone) = &peer.availability_zone {
                zones.entry(zone.clone()).or_default().push(to_host(peer));
            }
        }
        zones
    }

    /// Returns the gateways of an availability zone as hosts.
    pub fn hosts_in_zone(&self, zone: &AvailabilityZone) -> Vec<PeerHost<SocketAddr>> {
        let peers = self.peers.values();
        let in_zone = peers.filter(|peer| peer.availability_zone.as_ref() == Some(zone));
        in_zone.map(to_host).collect()
    }
}

fn to_host(peer: &PeerRow) -> PeerHost<SocketAddr> {
    PeerHost {
        host: peer.host.clone(),
        process: peer.holder.clone(),
        address: peer.relay,
        processor_milli: peer.processor_milli,
    }
}
