//! Where other gateways answer that hold tokens of programs.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;

use rosebend_coordination::gateway::ledger::Holder;

/// Addresses that are kept at most, about 100 bytes each. The largest known
/// site has 127 hosts, so that they last for several restarts of all.
const MAX_ADDRESSES: usize = 512;
/// Addresses of other runs of gateways.
#[derive(Debug, Default)]
pub struct HolderAddresses {
    addresses: RefCell<HashMap<Holder, SocketAddr>>,
}

impl HolderAddresses {
    /// Where a holder answers, if that is known.
    pub fn get(&self, holder: &Holder) -> Option<SocketAddr> {
        self.addresses.borrow().get(holder).copied()
    }

    /// Takes note of where a holder answers.
    pub fn put(&self, holder: &Holder, address: SocketAddr) {
        let mut addresses = self.addresses.borrow_mut();
        if addresses.len() >= MAX_ADDRESSES {
            addresses.clear();
        }
        addresses.insert(holder.clone(), address);
    }
}
