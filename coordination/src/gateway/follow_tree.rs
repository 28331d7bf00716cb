//! From whom a host learns what changes in the tables of the store.
//!
//! If every host followed every table at the store, calls and bytes there would grow
//! with hosts times rows. So [`READERS`] hosts of each availability zone read the
//! store; the others form a tree below them, in which no host has more than
//! [`MAX_FOLLOWERS`] followers. Every host works the tree out by itself from the
//! hosts of its zone: strong ones first, each group in the order of a hash
//! (rendezvous hashing). Hosts that know different lists build different trees; a
//! loop among them shows as rows that grow old, and ends at the store.

use std::time::Duration;

use rosebend_state::id::HostId;

use crate::gateway::avoidance::Avoidance;
use crate::gateway::batchers::{PeerHost, least_strong_milli, ranked_by};
use crate::gateway::ledger::Holder;

/// Hosts of an availability zone that read the store, so that one may fail.
pub const READERS: usize = 2;
/// Followers of one host while all hosts know the same list. It bounds a host's
/// share of a change, and the tree stays three levels deep for thousands of hosts.
pub const MAX_FOLLOWERS: usize = 16;
/// Names the order of hosts.
const WORK: &str = "follow";

/// Where a host's rows come from.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Source<A> {
    /// It reads the store.
    Store,
    /// It follows another host.
    Host(PeerHost<A>),
}

/// The tree of one availability zone, as one of its hosts knows it.
#[derive(Debug)]
pub struct FollowTree<A> {
    own_host: HostId,
    /// All hosts of the zone, the readers first.
    ranked: Vec<PeerHost<A>>,
    /// This host's place among them.
    own_rank: Option<usize>,
    avoidance: Avoidance,
}

impl<A: Clone> FollowTree<A> {
    /// The tree of a host that knows no other.
    pub fn new(own_host: HostId) -> Self {
        Self {
            own_host,
            ranked: Vec::new(),
            own_rank: None,
            avoidance: Avoidance::default(),
        }
    }

    /// Takes all hosts of the availability zone, this one among them.
    pub fn set_hosts(&mut self, hosts: Vec<PeerHost<A>>) {
        let least = least_strong_milli(&hosts);
        let is_strong = |host: &&PeerHost<A>| host.processor_milli >= least;
        let (strong, weak): (Vec<_>, Vec<_>) = hosts.iter().partition(is_strong);
        let strong = ranked_by(WORK, strong.into_iter());
        let weak = ranked_by(WORK, weak.into_iter());
        self.ranked = strong.into_iter().chain(weak).cloned().collect();
        let ranked = &self.ranked;
        self.own_rank = ranked.iter().position(|host| host.host == self.own_host);
        self.avoidance
            .retain(|host| ranked.iter().any(|known| known.host == *host));
    }

    /// Where the host's rows are to come from: the host above it, the ones above
    /// that, another reader, and the store if none of them answers.
    pub fn source(&self, now: Duration) -> Source<A> {
        let Some(own_rank) = self.own_rank else {
            return Source::Store;
        };
        let above = std::iter::successors(parent(own_rank), |rank| parent(*rank));
        let readers = (0..READERS).filter(|_| own_rank >= READERS);
        let mut sources = above
            .chain(readers)
            .filter_map(|rank| self.ranked.get(rank));
        let usable = sources.find(|host| !self.avoidance.is_avoided(&host.host, &host.run, now));
        usable.map_or(Source::Store, |host| Source::Host(host.clone()))
    }

    /// Hosts between this one and the store while all of them answer.
    pub fn level(&self) -> u32 {
        let mut level = 0;
        let mut above = self.own_rank.and_then(parent);
        while let Some(rank) = above {
            level += 1;
            above = parent(rank);
        }
        level
    }

    /// Whether other hosts are to learn from this one.
    pub fn has_followers(&self) -> bool {
        let mut ranks = READERS..self.ranked.len();
        self.own_rank
            .is_some_and(|own| ranks.any(|rank| parent(rank) == Some(own)))
    }

    /// Notes that a run of a host did not answer, or knew nothing new for too long.
    /// Returns for how long it is not asked; none when that is known already.
    pub fn silent(&mut self, host: &HostId, run: &Holder, now: Duration) -> Option<Duration> {
        self.avoidance.silent(host, run, now)
    }

    /// Notes that a host answered.
    pub fn answered(&mut self, host: &HostId) {
        self.avoidance.answered(host);
    }
}

/// The rank that a rank follows; none for readers. Each level is spread evenly over
/// the one above, which is [`MAX_FOLLOWERS`] times smaller.
fn parent(rank: usize) -> Option<usize> {
    let (mut above, mut above_size) = (0, READERS);
    let mut first = READERS;
    if rank < first {
        return None;
    }
    loop {
        let size = above_size * MAX_FOLLOWERS;
        if rank < first + size {
            return Some(above + (rank - first) % above_size);
        }
        (above, above_size) = (first, size);
        first += size;
    }
}
