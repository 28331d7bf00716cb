//! The gateways that a host knows by their rows.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use rosebend_coordination::gateway::batchers::PeerHost;
use rosebend_coordination::gateway::ledger::ProcessId;
use rosebend_state::deployment::Row;
use rosebend_state::id::AvailabilityZone;
use rosebend_transport::event::{Event, EventKind, log_event};
use rosebend_transport::store::Peer;

use super::row::{PeerRow, PeerRowError};

/// Peers that pass calls to the store on, at most.
const MAX_PEERS: usize = 8;
/// Rows that name no gateway and are told at most, each once.
const MAX_TOLD: usize = 8;

/// The gateways that are there, by their rows' keys.
#[derive(Debug, Default)]
pub struct PeerTable {
    peers: BTreeMap<String, PeerRow>,
    /// Keys of rows that name no gateway, as far as they were told.
    unusable: BTreeSet<String>,
}

impl PeerTable {
    /// Forgets all of them.
    pub fn clear(&mut self) {
        self.peers.clear();
    }

    /// Takes a row that was written or deleted.
    pub fn take(&mut self, row: &Row) {
        if row.value.is_none() {
            self.peers.remove(&row.id.key);
            return;
        }
        match PeerRow::try_from(row) {
            Ok(peer) => {
                self.peers.insert(row.id.key.clone(), peer);
            }
            Err(error) => {
                self.peers.remove(&row.id.key);
                self.tell(row, &error);
            }
        }
    }

    /// Tells a row once, and no more than a few of them: whoever writes such
    /// rows may write many.
    fn tell(&mut self, row: &Row, error: &PeerRowError) {
        if self.unusable.len() < MAX_TOLD && self.unusable.insert(row.id.key.clone()) {
            log_event(&Event::new(EventKind::PeerRowUnusable).error(error));
        }
    }

    /// Whether a run of a gateway is there.
    pub fn has(&self, holder: &ProcessId) -> bool {
        self.peers.values().any(|peer| peer.holder == *holder)
    }

    /// Whether all of them keep room in ledgers for what escrow slots grant.
    pub fn all_withhold(&self) -> bool {
        self.peers.values().all(|peer| peer.fences_escrow)
    }

    /// Where the hosts behind a key pass calls on, around the end of the table.
    pub fn behind(&self, own: &str) -> Vec<Peer> {
        let (before, behind) = self
            .peers
            .iter()
            .partition::<Vec<_>, _>(|(key, _)| key.as_str() <= own);
        let others = behind.into_iter().chain(before);
        let others = others.filter(|(key, _)| key.as_str() != own);
        let mut found: Vec<Peer> = Vec::new();
        for (_, peer) in others {
            let address = peer.relay;
            if found.len() < MAX_PEERS && !found.iter().any(|known| known.address == address) {
                let run = peer.holder.clone();
                found.push(Peer { address, run });
            }
        }
        found
    }

    /// All of them, as hosts that may commit for others.
    pub fn candidates(&self) -> Vec<PeerHost<SocketAddr>> {
        self.peers.values().map(candidate).collect()
    }

    /// Those of an availability zone, as hosts that may be followed.
    pub fn candidates_of(&self, zone: &AvailabilityZone) -> Vec<PeerHost<SocketAddr>> {
        let peers = self.peers.values();
        let of_zone = peers.filter(|peer| peer.availability_zone.as_ref() == Some(zone));
        of_zone.map(candidate).collect()
    }
}

fn candidate(peer: &PeerRow) -> PeerHost<SocketAddr> {
    PeerHost {
        host: peer.host.clone(),
        process: peer.holder.clone(),
        address: peer.relay,
        processor_milli: peer.processor_milli,
    }
}
