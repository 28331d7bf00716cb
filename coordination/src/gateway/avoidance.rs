//! Hosts that are left alone for a while after they did not answer.

use std::collections::HashMap;
use std::time::Duration;

use rosebend_state::id::HostId;

use crate::gateway::ledger::ProcessId;

/// First time for which a host that was silent is not asked again; it doubles with
/// each silence in a row. A process that was killed is back after about as long.
const FIRST_AVOIDANCE: Duration = Duration::from_secs(1);
/// Longest such time: each look at a host that stays away costs its asker a timeout.
const MAX_AVOIDANCE: Duration = Duration::from_secs(16);

/// A host that was silent.
#[derive(Clone, Debug)]
struct Avoided {
    /// Another run of the host's process is not avoided for what this one did.
    run: ProcessId,
    times: u32,
    until: Duration,
}

/// The hosts that are avoided.
#[derive(Debug, Default)]
pub struct Avoidance {
    avoided: HashMap<HostId, Avoided>,
}

impl Avoidance {
    /// Whether a run of a host is avoided now.
    pub fn is_avoided(&self, host: &HostId, run: &ProcessId, now: Duration) -> bool {
        let avoided = self.avoided.get(host);
        avoided.is_some_and(|avoided| avoided.run == *run && now < avoided.until)
    }

    /// Notes that a run of a host did not answer. Returns for how long it is not
    /// asked; none when that is known already.
    pub fn silent(&mut self, host: &HostId, run: &ProcessId, now: Duration) -> Option<Duration> {
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

    /// Forgets hosts that are not there any more.
    pub fn retain(&mut self, is_there: impl Fn(&HostId) -> bool) {
        self.avoided.retain(|host, _| is_there(host));
    }
}
