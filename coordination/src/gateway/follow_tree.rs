//! A distribution tree for the changes of the store's tables.
//!
//! If every host followed every table at the store, calls and bytes there would grow
//! with hosts times rows. So only the roots of the tree, [`READERS`] hosts of each
//! availability zone, read the store. The other hosts form a tree below them, in which
//! no host has more than [`MAX_CHILDREN`] children. Every host computes the tree by
//! itself from the hosts of its zone: high-CPU hosts come first, and each of the two
//! groups is in the order of a hash (rendezvous hashing). Hosts that know different
//! lists compute different trees, which may form a cycle. The rows of its hosts become
//! stale then, and the cycle ends when one of them reads the store for that reason.

use std::time::Duration;

use rosebend_state::id::HostId;

use crate::gateway::batchers::{PeerHost, min_high_cpu_milli, rank_hosts};
use crate::gateway::host_backoff::HostBackoff;
use crate::gateway::ledger::ProcessId;

/// Number of hosts of an availability zone that read the store; one of them may fail.
pub const READERS: usize = 2;
/// Maximum number of children of a host while all hosts have the same list. It bounds
/// the work of a host for one change, and thousands of hosts still need only three
/// levels.
pub const MAX_CHILDREN: usize = 16;
/// The seed of the rendezvous hash that orders the hosts.
const HASH_SEED: &str = "follow";

/// The origin of a host's rows.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Source<A> {
    /// The host reads the store.
    Store,
    /// The host follows another host.
    Host(PeerHost<A>),
}

/// The tree of one availability zone, as one of its hosts computes it.
#[derive(Debug)]
pub struct FollowTree<A> {
    own_host: HostId,
    /// All hosts of the zone, the readers first.
    ranked: Vec<PeerHost<A>>,
    /// The index of this host in `ranked`.
    own_rank: Option<usize>,
    backoff: HostBackoff,
}

impl<A: Clone> FollowTree<A> {
    /// Creates the tree of a host that knows no other host.
    pub fn new(own_host: HostId) -> Self {
        Self {
            own_host,
            ranked: Vec::new(),
            own_rank: None,
            backoff: HostBackoff::default(),
        }
    }

    /// Replaces the hosts of the availability zone. `hosts` includes this host.
    pub fn set_hosts(&mut self, hosts: Vec<PeerHost<A>>) {
        let min_milli = min_high_cpu_milli(&hosts);
        let is_high_cpu = |host: &&PeerHost<A>| host.processor_milli >= min_milli;
        let (high_cpu, low_cpu): (Vec<_>, Vec<_>) = hosts.iter().partition(is_high_cpu);
        let high_cpu = rank_hosts(HASH_SEED, high_cpu.into_iter());
        let low_cpu = rank_hosts(HASH_SEED, low_cpu.into_iter());
        self.ranked = high_cpu.into_iter().chain(low_cpu).cloned().collect();
        let ranked = &self.ranked;
        self.own_rank = ranked.iter().position(|host| host.host == self.own_host);
        self.backoff
            .retain(|host| ranked.iter().any(|known| known.host == *host));
    }

    /// Returns the source of this host's rows: the first of its ancestors, nearest first,
    /// and then the readers, that is not backed off, or the store if all of them are.
    pub fn source(&self, now: Duration) -> Source<A> {
        let Some(own_rank) = self.own_rank else {
            return Source::Store;
        };
        let ancestors = std::iter::successors(parent(own_rank), |rank| parent(*rank));
        let readers = (0..READERS).filter(|_| own_rank >= READERS);
        let mut sources = ancestors
            .chain(readers)
            .filter_map(|rank| self.ranked.get(rank));
        let usable =
            sources.find(|host| !self.backoff.is_backed_off(&host.host, &host.process, now));
        usable.map_or(Source::Store, |host| Source::Host(host.clone()))
    }

    /// Returns the number of hosts between this one and the store while all of them
    /// answer.
    pub fn level(&self) -> u32 {
        let mut level = 0;
        let mut ancestor = self.own_rank.and_then(parent);
        while let Some(rank) = ancestor {
            level += 1;
            ancestor = parent(rank);
        }
        level
    }

    /// Returns whether this host has children in the tree.
    pub fn has_children(&self) -> bool {
        let mut ranks = READERS..self.ranked.len();
        self.own_rank
            .is_some_and(|own| ranks.any(|rank| parent(rank) == Some(own)))
    }

    /// Records that a process of a host did not answer, or had only stale rows. Returns
    /// the backoff that begins now, or `None` if an earlier one has not ended yet.
    pub fn record_timeout(
        &mut self,
        host: &HostId,
        process: &ProcessId,
        now: Duration,
    ) -> Option<Duration> {
        self.backoff.record_timeout(host, process, now)
    }

    /// Records that a host answered, which ends its backoff.
    pub fn record_response(&mut self, host: &HostId) {
        self.backoff.record_response(host);
    }
}

/// Returns the rank of the parent of a rank, or `None` for readers. Each level is
/// distributed evenly over the level above, which is [`MAX_CHILDREN`] times smaller.
fn parent(rank: usize) -> Option<usize> {
    let (mut above, mut above_size) = (0, READERS);
    let mut first = READERS;
    if rank < first {
        return None;
    }
    loop {
        let size = above_size * MAX_CHILDREN;
        if rank < first + size {
            return Some(above + (rank - first) % above_size);
        }
        (above, above_size) = (first, size);
        first += size;
    }
}
