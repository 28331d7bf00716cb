//! Where other gateways answer that hold tokens of programs.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;

use rosebend_coordination::gateway::batchers::PeerHost;
use rosebend_coordination::gateway::ledger::ProcessId;

/// Addresses of runs that are not in the table of gateways here, at most; about 100
/// bytes each.
const MAX_READ: usize = 512;

/// Addresses of other runs of gateways. A run keeps its address.
#[derive(Debug, Default)]
pub struct HolderAddresses {
    /// Runs in the table of gateways, as this host knows it.
    listed: RefCell<HashMap<ProcessId, SocketAddr>>,
    /// Runs that were read from the store.
    read: RefCell<HashMap<ProcessId, SocketAddr>>,
}

impl HolderAddresses {
    /// Where a holder answers, if that is known.
    pub fn get(&self, holder: &ProcessId) -> Option<SocketAddr> {
        let listed = self.listed.borrow().get(holder).copied();
        listed.or_else(|| self.read.borrow().get(holder).copied())
    }

    /// Takes all hosts that are there. Without them each host would read every other
    /// one's row from the store when it first meets its reservations.
    pub fn set_hosts(&self, hosts: &[PeerHost<SocketAddr>]) {
        let hosts = hosts.iter();
        let listed = hosts.map(|host| (host.process.clone(), host.address));
        self.listed.replace(listed.collect());
    }

    /// Takes note of where a holder answers.
    pub fn put(&self, holder: &ProcessId, address: SocketAddr) {
        let mut read = self.read.borrow_mut();
        if read.len() >= MAX_READ {
            read.clear();
        }
        read.insert(holder.clone(), address);
    }
}
