//! Exponential backoff for hosts that did not answer.
//!
//! A host that did not answer is not asked again until its backoff ends, so that
//! requests do not all wait for a timeout of a host that is down.

use std::collections::HashMap;
use std::time::Duration;

use rosebend_state::id::HostId;

use crate::gateway::ledger::ProcessId;

/// Backoff after the first timeout of a host; it doubles with each timeout in a row. A
/// process that was killed takes about as long to restart.
const INITIAL_BACKOFF: Duration = Duration::from_secs(1);
/// Maximum backoff. Each request to a host that stays down costs the requester a timeout.
const MAX_BACKOFF: Duration = Duration::from_secs(16);

/// The backoff of a host that did not answer.
#[derive(Clone, Debug)]
struct Backoff {
    /// The process that did not answer; the backoff does not apply to any later process
    /// of the host.
    process: ProcessId,
    timeouts: u32,
    until: Duration,
}

/// The hosts that did not answer, each with its backoff.
#[derive(Debug, Default)]
pub struct HostBackoff {
    backoffs: HashMap<HostId, Backoff>,
}

impl HostBackoff {
    /// Returns whether a process of a host is not to be asked now.
    pub fn is_backed_off(&self, host: &HostId, process: &ProcessId, now: Duration) -> bool {
        let backoff = self.backoffs.get(host);
        backoff.is_some_and(|backoff| backoff.process == *process && now < backoff.until)
    }

    /// Records that a process of a host did not answer. Returns the backoff that begins
    /// now, or `None` if an earlier one has not ended yet.
    pub fn record_timeout(
        &mut self,
        host: &HostId,
        process: &ProcessId,
        now: Duration,
    ) -> Option<Duration> {
        let known = self
            .backoffs
            .get(host)
            .filter(|known| known.process == *process);
        if known.is_some_and(|known| now < known.until) {
            return None;
        }
        let timeouts = known.map_or(0, |known| known.timeouts);
        let wait = (INITIAL_BACKOFF * 2_u32.pow(timeouts.min(8))).min(MAX_BACKOFF);
        let backoff = Backoff {
            process: process.clone(),
            timeouts: timeouts + 1,
            until: now + wait,
        };
        self.backoffs.insert(host.clone(), backoff);
        Some(wait)
    }

    /// Records that a host answered, which ends its backoff.
    pub fn record_response(&mut self, host: &HostId) {
        self.backoffs.remove(host);
    }

    /// Removes the hosts for which `is_present` returns false.
    pub fn retain(&mut self, is_present: impl Fn(&HostId) -> bool) {
        self.backoffs.retain(|host, _| is_present(host));
    }
}
