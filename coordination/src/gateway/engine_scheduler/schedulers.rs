//! Selection of the gateway that schedules a group of engines.
//!
//! Every host selects the scheduler of a group by itself, by rendezvous hashing of the
//! group and the host over the gateways of the group's availability zone that have
//! enough CPU. Hosts that know the same gateways select the same scheduler. A gateway
//! that did not answer is left out for its backoff, and the next one of the order takes
//! its place.

use std::collections::HashMap;
use std::time::Duration;

use rosebend_state::id::{AvailabilityZone, HostId};

use crate::gateway::batchers::{PeerHost, high_cpu_hosts, rank_hosts};
use crate::gateway::engine_scheduler::message::GroupId;
use crate::gateway::host_backoff::HostBackoff;
use crate::gateway::ledger::ProcessId;

/// Maximum number of gateways of the rendezvous order that are asked. In a deployment
/// most of whose gateways have an earlier version, a host would otherwise wait for a
/// timeout of each of them.
const MAX_SCHEDULERS_ASKED: usize = 3;

/// The gateways that may schedule groups of engines, as this host knows them.
#[derive(Debug)]
pub struct Schedulers<A> {
    /// Gateways of each availability zone that have enough CPU.
    zones: HashMap<AvailabilityZone, Vec<PeerHost<A>>>,
    backoff: HostBackoff,
}

impl<A> Default for Schedulers<A> {
    fn default() -> Self {
        Self {
            zones: HashMap::new(),
            backoff: HostBackoff::default(),
        }
    }
}

impl<A: Clone> Schedulers<A> {
    /// Replaces the known gateways. `zones` are all gateways of each availability zone,
    /// including this one.
    pub fn set_hosts(&mut self, zones: HashMap<AvailabilityZone, Vec<PeerHost<A>>>) {
        let zones = zones.into_iter();
        self.zones = zones
            .map(|(zone, hosts)| (zone, high_cpu_hosts(hosts)))
            .collect();
        let zones = &self.zones;
        let is_known = |host: &HostId| zones.values().flatten().any(|known| known.host == *host);
        self.backoff.retain(is_known);
    }

    /// Returns whether the availability zone has a gateway that may schedule.
    pub fn has_zone(&self, zone: &str) -> bool {
        self.zones.get(zone).is_some_and(|hosts| !hosts.is_empty())
    }

    /// Returns the gateway that schedules a group, or `None` if no gateway of its
    /// availability zone is known, or the first ones of the order are all left out.
    pub fn scheduler(&self, group: &GroupId, now: Duration) -> Option<&PeerHost<A>> {
        let hosts = self.zones.get(&group.availability_zone)?;
        let seed = format!("engines/{}/{}", group.service, group.availability_zone);
        let ranked = rank_hosts(&seed, hosts.iter());
        let mut asked = ranked.into_iter().take(MAX_SCHEDULERS_ASKED);
        asked.find(|host| !self.is_left_out(&host.host, &host.process, now))
    }

    /// Returns whether a process is left out because it did not answer.
    pub fn is_left_out(&self, host: &HostId, process: &ProcessId, now: Duration) -> bool {
        self.backoff.is_backed_off(host, process, now)
    }

    /// Records that a scheduler did not answer. Returns the backoff that begins now, or
    /// `None` if an earlier one has not ended yet.
    pub fn record_timeout(
        &mut self,
        host: &HostId,
        process: &ProcessId,
        now: Duration,
    ) -> Option<Duration> {
        self.backoff.record_timeout(host, process, now)
    }

    /// Records that a scheduler answered, which ends its backoff.
    pub fn record_response(&mut self, host: &HostId) {
        self.backoff.record_response(host);
    }
}
