//! Chooses the allocator of each group of customers, and detects allocators that do
//! not respond.
//!
//! The choice uses rendezvous hashing over the table of hosts, so that hosts with
//! the same table make the same choice. If an allocator does not respond, the next
//! one in the ranking takes its place until the first one responds again. The rows of
//! hosts that are lost for good stay in the table, so any number of the first hosts
//! of a ranking may not respond, and every host is in every ranking.

use std::collections::HashMap;
use std::time::Duration;

use super::{GROUP_COUNT, Group};
use crate::gateway::batchers::{PeerHost, host_rank, min_high_cpu_milli};
use crate::gateway::ledger::ProcessId;

/// Time without a response after which a host switches to the next allocator. An
/// allocator also stops counting a host that has not received its response for this
/// time. It spans three heartbeats, so that one datagram may be lost and a host may
/// pause briefly.
pub const ALLOCATOR_TIMEOUT: Duration = Duration::from_millis(1_250);
/// Maximum time between two messages to an allocator. They show whether the
/// allocator responds, and keep this host counted there.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// Maximum time between two messages to a process that does not respond.
const MAX_PROBE_INTERVAL: Duration = Duration::from_secs(5);
/// Divisor of the time for which a process has not responded. The quotient is the time
/// between two messages to it, within the limits above.
const PROBE_DIVISOR: u32 = 8;
/// Number of the first hosts of a ranking that allocate all of a new account's initial
/// tokens.
const PREFERRED_COUNT: usize = 3;
/// Maximum number of hosts of a ranking that are sent messages before the first of them
/// counts as unresponsive.
const MAX_PROBED_AHEAD: usize = 4;

/// State of the exchange with one process of another host.
#[derive(Clone, Copy, Debug, Default)]
struct Link {
    sent_at: Option<Duration>,
    responded_at: Option<Duration>,
    /// Time of the first request that has had no response since.
    unanswered_since: Option<Duration>,
}

/// The ranked allocators of all groups, and the state of the exchange with each.
#[derive(Debug)]
pub struct AllocatorLinks<A> {
    own_process: ProcessId,
    hosts: Vec<PeerHost<A>>,
    /// Indices into `hosts` by group, in descending order of rank. Hosts with little CPU
    /// follow all others.
    ranked: Vec<Vec<usize>>,
    links: HashMap<ProcessId, Link>,
    number: u64,
}

impl<A: Clone> AllocatorLinks<A> {
    /// Creates a table without other hosts.
    pub fn new(own_process: ProcessId) -> Self {
        Self {
            own_process,
            hosts: Vec::new(),
            ranked: Vec::new(),
            links: HashMap::new(),
            number: 0,
        }
    }

    /// Replaces the set of known hosts, which includes this host.
    pub fn set_hosts(&mut self, hosts: Vec<PeerHost<A>>) {
        self.links
            .retain(|process, _| hosts.iter().any(|host| host.process == *process));
        let min_milli = min_high_cpu_milli(&hosts);
        let is_low_cpu = |index: &usize| hosts[*index].processor_milli < min_milli;
        self.ranked = (0..GROUP_COUNT)
            .map(|group| {
                let mut ranked = rank_indices(&format!("limits/{group}"), &hosts);
                ranked.sort_by_key(is_low_cpu);
                ranked
            })
            .collect();
        self.hosts = hosts;
    }

    /// Returns the hosts of a group's ranking.
    fn ranking(&self, group: Group) -> impl Iterator<Item = &PeerHost<A>> {
        let group = usize::try_from(group).ok();
        let ranked = group.and_then(|group| self.ranked.get(group));
        let indices = ranked.into_iter().flatten();
        indices.filter_map(|index| self.hosts.get(*index))
    }

    /// Returns whether a process is among the first ones of a group's ranking.
    pub fn is_preferred(&self, group: Group, process: &ProcessId) -> bool {
        let mut preferred = self.ranking(group).take(PREFERRED_COUNT);
        preferred.any(|host| host.process == *process)
    }

    /// Returns the allocator of a group, or none if no allocator responds.
    pub fn current(&self, group: Group, now: Duration) -> Option<&PeerHost<A>> {
        self.ranking(group)
            .find(|host| !self.is_unresponsive(&host.process, now))
    }

    /// Returns all allocators to which messages are sent, each with the groups for
    /// which this host uses it. An allocator without groups is only probed for
    /// whether it responds: one that did not may do so again, and one that follows a
    /// host which is late to respond may have to take its place.
    pub fn recipients(&self, now: Duration) -> Vec<(PeerHost<A>, Vec<Group>)> {
        let mut targets: Vec<(PeerHost<A>, Vec<Group>)> = Vec::new();
        let mut positions: HashMap<&ProcessId, usize> = HashMap::new();
        for group in 0..GROUP_COUNT {
            let current = self.current(group, now).map(|host| &host.process);
            for host in self.probed(group, now) {
                let position = *positions.entry(&host.process).or_insert_with(|| {
                    targets.push((host.clone(), Vec::new()));
                    targets.len() - 1
                });
                if current == Some(&host.process) {
                    targets[position].1.push(group);
                }
            }
        }
        targets
    }

    /// Returns the first hosts of a group's ranking, up to one that responds promptly.
    fn probed(&self, group: Group, now: Duration) -> impl Iterator<Item = &PeerHost<A>> {
        let mut is_found = false;
        let mut ahead = 0;
        self.ranking(group).take_while(move |host| {
            if is_found || ahead >= MAX_PROBED_AHEAD {
                return false;
            }
            let unresponsive_time = self.unresponsive_time(&host.process, now);
            // One datagram may be lost.
            is_found = unresponsive_time <= HEARTBEAT_INTERVAL * 2;
            ahead += usize::from(unresponsive_time <= ALLOCATOR_TIMEOUT);
            true
        })
    }

    /// Returns the time until this host switches to the next allocator of a group if
    /// the current one does not respond, or none if no allocator responds.
    pub fn time_to_switch(&self, group: Group, now: Duration) -> Option<Duration> {
        let current = self.current(group, now)?;
        Some(ALLOCATOR_TIMEOUT.saturating_sub(self.unresponsive_time(&current.process, now)))
    }

    fn is_unresponsive(&self, process: &ProcessId, now: Duration) -> bool {
        self.unresponsive_time(process, now) > ALLOCATOR_TIMEOUT
    }

    /// Returns the time for which a process has not responded.
    fn unresponsive_time(&self, process: &ProcessId, now: Duration) -> Duration {
        let link = self.links.get(process);
        let since = link.and_then(|link| link.unanswered_since);
        since.map_or(Duration::ZERO, |since| now.saturating_sub(since))
    }

    /// Returns whether a heartbeat to a process is due.
    pub fn is_due(&self, process: &ProcessId, now: Duration) -> bool {
        let interval = self.unresponsive_time(process, now) / PROBE_DIVISOR;
        let interval = interval.clamp(HEARTBEAT_INTERVAL, MAX_PROBE_INTERVAL);
        let sent_at = self.links.get(process).and_then(|link| link.sent_at);
        sent_at.is_none_or(|sent_at| now.saturating_sub(sent_at) >= interval)
    }

    /// Records that a request is sent to a process. Returns the number of the
    /// request.
    pub fn record_request(&mut self, process: &ProcessId, now: Duration) -> u64 {
        self.number += 1;
        let link = self.links.entry(process.clone()).or_default();
        link.sent_at = Some(now);
        link.unanswered_since = link.unanswered_since.or(Some(now));
        self.number
    }

    /// Records that a process has responded.
    pub fn record_response(&mut self, process: &ProcessId, now: Duration) {
        let link = self.links.entry(process.clone()).or_default();
        link.responded_at = Some(now);
        link.unanswered_since = None;
    }

    /// Returns the time since the last response of a process, in milliseconds.
    pub fn response_age_ms(&self, process: &ProcessId, now: Duration) -> Option<u64> {
        if *process == self.own_process {
            return Some(0);
        }
        let responded_at = self.links.get(process)?.responded_at?;
        u64::try_from(now.saturating_sub(responded_at).as_millis()).ok()
    }
}

/// Returns the indices of hosts in the order of their rank for a group.
fn rank_indices<A>(seed: &str, hosts: &[PeerHost<A>]) -> Vec<usize> {
    let mut ranked: Vec<usize> = (0..hosts.len()).collect();
    ranked.sort_by_cached_key(|index| host_rank(seed, &hosts[*index]));
    ranked
}
