//! Which host joins the transactions of a partition.
//!
//! Every host works it out by itself from the hosts that it knows: those strong
//! enough, in the order of a hash of partition and host (rendezvous hashing), so
//! that hosts which know the same choose the same, and one host that comes or
//! goes moves no partition but its own. Hosts that know different lists, or of
//! which one has just found a host silent, choose differently for a while; then
//! two hosts join the same partition, and each joins less.

use std::time::Duration;

use rosebend_state::id::HostId;
use rosebend_util::hash_parts;

use crate::gateway::avoidance::Avoidance;
use crate::gateway::ledger::Holder;

/// Hosts that are asked for one transaction, one after another, before it goes to
/// the store straight. With a third of all hosts cut off, both are in one of
/// nine.
const MAX_ASKED: usize = 2;
/// The share of the strongest host's processor, as one in so many, that a host
/// needs to gather for others: weaker hosts serve as many callers of their own.
const STRONG_SHARE: u32 = 2;
/// Another gateway host as this one knows it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerHost<A> {
    /// Its name, which is the same after a restart.
    pub host: HostId,
    /// The run of its process: another one is not avoided for what this one did.
    pub run: Holder,
    /// Where it answers.
    pub address: A,
    /// Its share of a processor, in thousandths of a core.
    pub processor_milli: u32,
}

/// The least share of a processor, in thousandths of a core, of a host that works for
/// others.
pub fn least_strong_milli<A>(hosts: &[PeerHost<A>]) -> u32 {
    let strongest = hosts.iter().map(|host| host.processor_milli).max();
    strongest.unwrap_or(0) / STRONG_SHARE
}

/// Those hosts that are strong enough to work for others.
pub fn strong<A>(hosts: Vec<PeerHost<A>>) -> Vec<PeerHost<A>> {
    let least = least_strong_milli(&hosts);
    let strong = hosts.into_iter();
    let strong = strong.filter(|host| host.processor_milli >= least);
    strong.collect()
}

/// Hosts in the order in which they are to do what `work` names.
pub fn ranked_by<'a, A>(
    work: &str,
    hosts: impl Iterator<Item = &'a PeerHost<A>>,
) -> Vec<&'a PeerHost<A>> {
    let mut ranked: Vec<&PeerHost<A>> = hosts.collect();
    ranked.sort_by_key(|host| hash_parts(&[work.as_bytes(), host.host.as_bytes()]));
    ranked
}

/// The hosts that may gather, as this one knows them.
#[derive(Debug)]
pub struct Batchers<A> {
    candidates: Vec<PeerHost<A>>,
    avoidance: Avoidance,
}

impl<A> Default for Batchers<A> {
    fn default() -> Self {
        Self {
            candidates: Vec::new(),
            avoidance: Avoidance::default(),
        }
    }
}

impl<A> Batchers<A> {
    /// Takes all hosts that are there, this one among them.
    pub fn set(&mut self, hosts: Vec<PeerHost<A>>) {
        self.candidates = strong(hosts);
        let candidates = &self.candidates;
        self.avoidance
            .retain(|host| candidates.iter().any(|known| known.host == *host));
    }

    /// The hosts to ask for a partition's transaction, best first.
    pub fn ranked(&self, partition: &str, now: Duration) -> Vec<&PeerHost<A>> {
        let candidates = self.candidates.iter();
        let usable = candidates.filter(|candidate| {
            let run = &candidate.run;
            !self.avoidance.is_avoided(&candidate.host, run, now)
        });
        let mut ranked = ranked_by(partition, usable);
        ranked.truncate(MAX_ASKED);
        ranked
    }

    /// Notes that a run of a host did not answer. Returns for how long it is not
    /// asked; none when that is known already.
    pub fn silent(&mut self, host: &HostId, run: &Holder, now: Duration) -> Option<Duration> {
        self.avoidance.silent(host, run, now)
    }

    /// Notes that a host answered.
    pub fn answered(&mut self, host: &HostId) {
        self.avoidance.answered(host);
    }
}
