//! Which host joins the transactions of a partition.
//!
//! Every host works it out by itself from the hosts that it knows: those strong
//! enough, in the order of a hash of partition and host (rendezvous hashing), so
//! that hosts which know the same choose the same, and one host that comes or
//! goes moves no partition but its own. Hosts that know different lists, or of
//! which one has just found a host silent, choose differently for a while; then
//! two hosts join the same partition, and each joins less.

use std::collections::HashMap;
use std::time::Duration;

use rosebend_state::id::HostId;
use rosebend_util::hash_parts;

use crate::gateway::ledger::Holder;

/// Hosts that are asked for one transaction, one after another, before it goes to
/// the store straight. With a third of all hosts cut off, both are in one of
/// nine.
const MAX_ASKED: usize = 2;
/// The share of the strongest host's processor, as one in so many, that a host
/// needs to gather for others: weaker hosts serve as many callers of their own.
const STRONG_SHARE: u32 = 2;
/// First time for which a host that was silent is not asked again; it doubles with
/// each silence in a row. A process that was killed is back after about as long.
const FIRST_AVOIDANCE: Duration = Duration::from_secs(1);
/// Longest such time: each look at a host that stays away costs one transaction
/// its timeout.
const MAX_AVOIDANCE: Duration = Duration::from_secs(16);

/// A host that may gather.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate<A> {
    /// Its name, which is the same after a restart.
    pub host: HostId,
    /// The run of its process: another one is not avoided for what this one did.
    pub run: Holder,
    /// Where it answers.
    pub address: A,
    /// Its share of a processor, in thousandths of a core.
    pub processor_milli: u32,
}

/// Those hosts that are strong enough to work for others.
pub fn strong<A>(hosts: Vec<Candidate<A>>) -> Vec<Candidate<A>> {
    let strongest = hosts.iter().map(|host| host.processor_milli).max();
    let least = strongest.unwrap_or(0) / STRONG_SHARE;
    let strong = hosts.into_iter();
    let strong = strong.filter(|host| host.processor_milli >= least);
    strong.collect()
}

/// Hosts in the order in which they are to do what `work` names.
pub fn ranked_by<'a, A>(
    work: &str,
    hosts: impl Iterator<Item = &'a Candidate<A>>,
) -> Vec<&'a Candidate<A>> {
    let mut ranked: Vec<&Candidate<A>> = hosts.collect();
    ranked.sort_by_key(|host| hash_parts(&[work.as_bytes(), host.host.as_bytes()]));
    ranked
}

/// A host that was silent.
#[derive(Clone, Debug)]
struct Avoided {
    run: Holder,
    times: u32,
    until: Duration,
}

/// The hosts that may gather, as this one knows them.
#[derive(Debug)]
pub struct Gatherers<A> {
    candidates: Vec<Candidate<A>>,
    avoided: HashMap<HostId, Avoided>,
}

impl<A> Default for Gatherers<A> {
    fn default() -> Self {
        Self {
            candidates: Vec::new(),
            avoided: HashMap::new(),
        }
    }
}

impl<A> Gatherers<A> {
    /// Takes all hosts that are there, this one among them.
    pub fn set(&mut self, hosts: Vec<Candidate<A>>) {
        self.candidates = strong(hosts);
        let candidates = &self.candidates;
        self.avoided
            .retain(|host, _| candidates.iter().any(|known| known.host == *host));
    }

    /// The hosts to ask for a partition's transaction, best first.
    pub fn ranked(&self, partition: &str, now: Duration) -> Vec<&Candidate<A>> {
        let candidates = self.candidates.iter();
        let usable = candidates.filter(|candidate| !self.is_avoided(candidate, now));
        let mut ranked = ranked_by(partition, usable);
        ranked.truncate(MAX_ASKED);
        ranked
    }

    fn is_avoided(&self, candidate: &Candidate<A>, now: Duration) -> bool {
        let avoided = self.avoided.get(&candidate.host);
        avoided.is_some_and(|avoided| avoided.run == candidate.run && now < avoided.until)
    }

    /// Notes that a run of a host did not answer. Returns for how long it is not
    /// asked; none when that is known already.
    pub fn silent(&mut self, host: &HostId, run: &Holder, now: Duration) -> Option<Duration> {
        let known = self.avoided.get(host).filter(|known| known.run == *run);
        if known.is_some_and(|known| now < known.until) {
            return None;
        }
        let times = known.map_or(0, |known| known.times);
        let wait = (FIRST_AVOIDANCE * 2_u32.pow(times.min(8))).min(MAX_AVOIDANCE);
        let avoided = Avoided {
            run: run.clone(),
            times: times + 1,
            until: now + wait,
        };
        self.avoided.insert(host.clone(), avoided);
        Some(wait)
    }

    /// Notes that a host answered.
    pub fn answered(&mut self, host: &HostId) {
        self.avoided.remove(host);
    }
}
