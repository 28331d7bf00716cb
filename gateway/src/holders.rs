//! Addresses of the gateway processes that hold reservations of programs.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;

use rosebend_coordination::gateway::batchers::PeerHost;
use rosebend_coordination::gateway::ledger::ProcessId;

/// Maximum number of cached addresses of processes that are not in the local table of
/// gateways. An entry takes about 100 bytes.
const MAX_READ_ADDRESSES: usize = 512;

/// Addresses of other gateway processes. The address of a process never changes.
#[derive(Debug, Default)]
pub struct HolderAddresses {
    /// Processes in the local table of gateways.
    listed: RefCell<HashMap<ProcessId, SocketAddr>>,
    /// Processes whose addresses were read from the store.
    read_from_store: RefCell<HashMap<ProcessId, SocketAddr>>,
}

impl HolderAddresses {
    /// Returns the address of a holder, if it is known.
    pub fn get(&self, holder: &ProcessId) -> Option<SocketAddr> {
        let listed = self.listed.borrow().get(holder).copied();
        listed.or_else(|| self.read_from_store.borrow().get(holder).copied())
    }

    /// Replaces the list of hosts. Without it, each host would read the row of every
    /// other host from the store when it first encounters that host's reservations.
    pub fn set_hosts(&self, hosts: &[PeerHost<SocketAddr>]) {
        let hosts = hosts.iter();
        let listed = hosts.map(|host| (host.process.clone(), host.address));
        self.listed.replace(listed.collect());
    }

    /// Records the address of a holder that was read from the store.
    pub fn put(&self, holder: &ProcessId, address: SocketAddr) {
        let mut read_from_store = self.read_from_store.borrow_mut();
        if read_from_store.len() >= MAX_READ_ADDRESSES {
            read_from_store.clear();
        }
        read_from_store.insert(holder.clone(), address);
    }
}
