//! Which host allocates a group's limits, as this host sees it.
//!
//! Hosts choose by rendezvous hashing over the table of hosts, so that those that
//! know the same choose the same. An allocator that has been silent is left for
//! the next one, and returned to with its first word.

use std::collections::HashMap;
use std::time::Duration;

use super::{GROUPS, Group};
use crate::gateway::batchers::{PeerHost, high_cpu_hosts, rank_hosts};
use crate::gateway::ledger::Holder;

/// Silence after which an allocator is left for the next one, and after which it
/// counts a host no more that does not hear it. Three heartbeats: one datagram may
/// be lost, and a host stand still for a moment.
pub const SILENT_AFTER: Duration = Duration::from_millis(1_250);
/// Longest time that a host says nothing to its allocators, in which it would
/// neither know that they live nor count for them.
const HEARTBEAT: Duration = Duration::from_millis(400);
/// Allocators of a group that are tried, one after another.
const MAX_TRIED: usize = 3;

/// What is known of one run of another host.
#[derive(Clone, Copy, Debug, Default)]
struct Link {
    said_at: Option<Duration>,
    heard_at: Option<Duration>,
    /// Since when it has been asked without an answer.
    unanswered_since: Option<Duration>,
}

/// The allocators of all groups.
#[derive(Debug)]
pub struct Links<A> {
    own_run: Holder,
    /// Allocators by group, best first.
    ranked: Vec<Vec<PeerHost<A>>>,
    links: HashMap<Holder, Link>,
    number: u64,
}

impl<A: Clone> Links<A> {
    /// No other host known.
    pub fn new(own_run: Holder) -> Self {
        Self {
            own_run,
            ranked: Vec::new(),
            links: HashMap::new(),
            number: 0,
        }
    }

    /// Takes all hosts that are there, this one among them.
    pub fn set_hosts(&mut self, hosts: Vec<PeerHost<A>>) {
        self.links
            .retain(|run, _| hosts.iter().any(|host| host.process == *run));
        let hosts = high_cpu_hosts(hosts);
        let ranked = (0..GROUPS).map(|group| {
            let name = format!("limits/{group}");
            let ranked = rank_hosts(&name, hosts.iter()).into_iter();
            ranked.take(MAX_TRIED).cloned().collect()
        });
        self.ranked = ranked.collect();
    }

    /// The allocator of a group; none when all have been silent.
    pub fn current(&self, group: Group, now: Duration) -> Option<&PeerHost<A>> {
        let ranked = self.ranked.get(usize::try_from(group).ok()?)?;
        ranked
            .iter()
            .find(|host| !self.is_silent(&host.process, now))
    }

    /// All allocators that are to be told something, with the groups for which
    /// this host keeps to them: none for those that are only asked whether they
    /// answer again.
    pub fn to_tell(&self, now: Duration) -> Vec<(PeerHost<A>, Vec<Group>)> {
        let mut told: Vec<(PeerHost<A>, Vec<Group>)> = Vec::new();
        for group in 0..GROUPS {
            let current = self.current(group, now).map(|host| &host.process);
            for host in self.ranked.get(group as usize).into_iter().flatten() {
                let is_current = current == Some(&host.process);
                let index = told
                    .iter()
                    .position(|(known, _)| known.process == host.process);
                let index = index.unwrap_or_else(|| {
                    told.push((host.clone(), Vec::new()));
                    told.len() - 1
                });
                if is_current {
                    told[index].1.push(group);
                    break;
                }
            }
        }
        told
    }

    /// After what time a group's allocator is left for the next one if it stays
    /// silent; none when all have been.
    pub fn left(&self, group: Group, now: Duration) -> Option<Duration> {
        let current = self.current(group, now)?;
        Some(SILENT_AFTER.saturating_sub(self.silence(&current.process, now)))
    }

    fn is_silent(&self, run: &Holder, now: Duration) -> bool {
        self.silence(run, now) > SILENT_AFTER
    }

    /// For how long a host has not answered.
    fn silence(&self, run: &Holder, now: Duration) -> Duration {
        let link = self.links.get(run);
        let since = link.and_then(|link| link.unanswered_since);
        since.map_or(Duration::ZERO, |since| now.saturating_sub(since))
    }

    /// Whether nothing was said to a host for too long.
    pub fn is_due(&self, run: &Holder, now: Duration) -> bool {
        let said_at = self.links.get(run).and_then(|link| link.said_at);
        said_at.is_none_or(|said_at| now.saturating_sub(said_at) >= HEARTBEAT)
    }

    /// Takes note that a host is being asked. Returns the question's number.
    pub fn say(&mut self, run: &Holder, now: Duration) -> u64 {
        self.number += 1;
        let link = self.links.entry(run.clone()).or_default();
        link.said_at = Some(now);
        link.unanswered_since = link.unanswered_since.or(Some(now));
        self.number
    }

    /// Takes note that a host has answered.
    pub fn heard(&mut self, run: &Holder, now: Duration) {
        let link = self.links.entry(run.clone()).or_default();
        link.heard_at = Some(now);
        link.unanswered_since = None;
    }

    /// How long ago a host was last heard, in milliseconds.
    pub fn heard_ms(&self, run: &Holder, now: Duration) -> Option<u64> {
        if *run == self.own_run {
            return Some(0);
        }
        let heard_at = self.links.get(run)?.heard_at?;
        u64::try_from(now.saturating_sub(heard_at).as_millis()).ok()
    }
}
