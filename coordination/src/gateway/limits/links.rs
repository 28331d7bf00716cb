//! Chooses the allocator of each group of customers, and detects allocators that do
//! not respond.
//!
//! The choice uses rendezvous hashing over the table of hosts, so that hosts with
//! the same table make the same choice. If an allocator does not respond, the next
//! one in the ranking takes its place until the first one responds again.

use std::collections::HashMap;
use std::time::Duration;

use super::{GROUP_COUNT, Group};
use crate::gateway::batchers::{PeerHost, high_cpu_hosts, rank_hosts};
use crate::gateway::ledger::ProcessId;

/// Time without a response after which a host switches to the next allocator. An
/// allocator also stops counting a host that has not received its response for this
/// time. It spans three heartbeats, so that one datagram may be lost and a host may
/// pause briefly.
pub const ALLOCATOR_TIMEOUT: Duration = Duration::from_millis(1_250);
/// Maximum time between two messages to an allocator. They show whether the
/// allocator responds, and keep this host counted there.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);
/// Maximum number of allocators that are considered for a group, in order of rank.
const MAX_CANDIDATES: usize = 3;

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
    /// Allocators by group, in descending order of rank.
    ranked: Vec<Vec<PeerHost<A>>>,
    links: HashMap<ProcessId, Link>,
    number: u64,
}

impl<A: Clone> AllocatorLinks<A> {
    /// Creates a table without other hosts.
    pub fn new(own_process: ProcessId) -> Self {
        Self {
            own_process,
            ranked: Vec::new(),
            links: HashMap::new(),
            number: 0,
        }
    }

    /// Replaces the set of known hosts, which includes this host.
    pub fn set_hosts(&mut self, hosts: Vec<PeerHost<A>>) {
        self.links
            .retain(|process, _| hosts.iter().any(|host| host.process == *process));
        let hosts = high_cpu_hosts(hosts);
        let ranked = (0..GROUP_COUNT).map(|group| {
            let name = format!("limits/{group}");
            let ranked = rank_hosts(&name, hosts.iter()).into_iter();
            ranked.take(MAX_CANDIDATES).cloned().collect()
        });
        self.ranked = ranked.collect();
    }

    /// Returns the allocator of a group, or none if no allocator responds.
    pub fn current(&self, group: Group, now: Duration) -> Option<&PeerHost<A>> {
        let ranked = self.ranked.get(usize::try_from(group).ok()?)?;
        ranked
            .iter()
            .find(|host| !self.is_unresponsive(&host.process, now))
    }

    /// Returns all allocators to which messages are sent, each with the groups for
    /// which this host uses it. An allocator without groups is only probed for
    /// whether it responds again.
    pub fn recipients(&self, now: Duration) -> Vec<(PeerHost<A>, Vec<Group>)> {
        let mut targets: Vec<(PeerHost<A>, Vec<Group>)> = Vec::new();
        for group in 0..GROUP_COUNT {
            let current = self.current(group, now).map(|host| &host.process);
            for host in self.ranked.get(group as usize).into_iter().flatten() {
                let is_current = current == Some(&host.process);
                let index = targets
                    .iter()
                    .position(|(known, _)| known.process == host.process);
                let index = index.unwrap_or_else(|| {
                    targets.push((host.clone(), Vec::new()));
                    targets.len() - 1
                });
                if is_current {
                    targets[index].1.push(group);
                    break;
                }
            }
        }
        targets
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
        let sent_at = self.links.get(process).and_then(|link| link.sent_at);
        sent_at.is_none_or(|sent_at| now.saturating_sub(sent_at) >= HEARTBEAT_INTERVAL)
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
