//! Selection of the host that batches the transactions of a partition.
//!
//! A batcher combines the transactions that other hosts send to it into one. Every
//! host selects the batchers of a partition by itself from the hosts that it knows:
//! it takes those with enough CPU, in the order of a hash of partition and host
//! (rendezvous hashing). Hosts that know the same hosts therefore select the same
//! batchers, and a host that joins or leaves moves only its own partitions. Hosts
//! that know different lists, or one of which has just recorded a timeout of a host,
//! select different batchers for a while. Two hosts then batch the same partition,
//! each with fewer transactions per batch.

use std::time::Duration;

use rosebend_state::id::HostId;
use rosebend_util::hash_parts;

use crate::gateway::host_backoff::HostBackoff;
use crate::gateway::ledger::ProcessId;

/// Maximum number of batchers that one transaction is sent to, one after another,
/// before it goes to the store directly. If a third of all hosts is unreachable, both
/// batchers are unreachable for one partition in nine.
const MAX_BATCHERS_ASKED: usize = 2;
/// A host needs at least the CPU of the largest host, divided by this number, to work
/// for other hosts. Hosts with less CPU serve as many callers of their own, so they have
/// less of it to spare.
const HIGH_CPU_DIVISOR: u32 = 2;

/// A gateway host as this one knows it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerHost<A> {
    /// Name of the host, which stays the same when its process restarts.
    pub host: HostId,
    /// Current process of the host. A later process of the host is not subject to the
    /// backoff of this one.
    pub process: ProcessId,
    /// Address at which the host accepts requests of other hosts.
    pub address: A,
    /// Processor share of the host, in thousandths of a core.
    pub processor_milli: u32,
}

/// Returns the minimum share of a processor, in thousandths of a core, of a host that
/// works for others.
pub fn min_high_cpu_milli<A>(hosts: &[PeerHost<A>]) -> u32 {
    let largest = hosts.iter().map(|host| host.processor_milli).max();
    largest.unwrap_or(0) / HIGH_CPU_DIVISOR
}

/// Returns the hosts that have enough CPU to work for others.
pub fn high_cpu_hosts<A>(hosts: Vec<PeerHost<A>>) -> Vec<PeerHost<A>> {
    let min_milli = min_high_cpu_milli(&hosts);
    let high_cpu = hosts.into_iter();
    let high_cpu = high_cpu.filter(|host| host.processor_milli >= min_milli);
    high_cpu.collect()
}

/// Returns the hosts ordered by the rendezvous hash of `seed` and the host, best first.
pub fn rank_hosts<'a, A>(
    seed: &str,
    hosts: impl Iterator<Item = &'a PeerHost<A>>,
) -> Vec<&'a PeerHost<A>> {
    let mut ranked: Vec<&PeerHost<A>> = hosts.collect();
    ranked.sort_by_cached_key(|host| host_rank(seed, host));
    ranked
}

/// Returns the rank of a host for work that the seed names; the lowest comes first.
pub fn host_rank<A>(seed: &str, host: &PeerHost<A>) -> u64 {
    hash_parts(&[seed.as_bytes(), host.host.as_bytes()])
}

/// The hosts that may batch transactions, as this host knows them.
#[derive(Debug)]
pub struct Batchers<A> {
    batchers: Vec<PeerHost<A>>,
    backoff: HostBackoff,
}

impl<A> Default for Batchers<A> {
    fn default() -> Self {
        Self {
            batchers: Vec::new(),
            backoff: HostBackoff::default(),
        }
    }
}

impl<A> Batchers<A> {
    /// Replaces the known hosts. `hosts` are all present hosts, including this one.
    pub fn set_hosts(&mut self, hosts: Vec<PeerHost<A>>) {
        self.batchers = high_cpu_hosts(hosts);
        let batchers = &self.batchers;
        self.backoff
            .retain(|host| batchers.iter().any(|known| known.host == *host));
    }

    /// Returns the hosts to send a partition's transaction to, best first.
    pub fn ranked(&self, partition: &str, now: Duration) -> Vec<&PeerHost<A>> {
        let batchers = self.batchers.iter();
        let usable = batchers.filter(|batcher| {
            let process = &batcher.process;
            !self.backoff.is_backed_off(&batcher.host, process, now)
        });
        let mut ranked = rank_hosts(partition, usable);
        ranked.truncate(MAX_BATCHERS_ASKED);
        ranked
    }

    /// Records that a process of a host did not answer. Returns the backoff that begins
    /// now, or `None` if an earlier one has not ended yet.
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
