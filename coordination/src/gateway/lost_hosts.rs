//! Detection of hosts that were lost for good, whose rows in the table of hosts would
//! otherwise stay there.
//!
//! The table is treated as a ring. Each host probes the hosts that follow its own row, one
//! after another, until one of them responds; the others have their rows deleted once they
//! have not responded for some time. So every lost host is detected by the host before it,
//! and the number of probes does not grow with the number of hosts.
//!
//! A host whose row is deleted although it runs writes the row again. No guarantee rests on
//! the detection: state that two hosts must not use has its conditions in the store.

use std::collections::HashMap;

use crate::gateway::ledger::ProcessId;

/// Maximum number of hosts that are probed in a round.
pub const MAX_PROBES: usize = 8;
/// Number of rounds in a row without a response after which a host counts as lost.
pub const MAX_MISSED_ROUNDS: u32 = 12;

/// The hosts that did not respond to the last probes of this host.
#[derive(Debug, Default)]
pub struct LostHosts {
    /// Number of rounds in a row in which a process did not respond. Contains at most the
    /// processes that were probed in the last round.
    missed_rounds: HashMap<ProcessId, u32>,
}

impl LostHosts {
    /// Records a round of probes: the processes that did not respond, and whether another
    /// host did. Returns the processes that count as lost.
    ///
    /// Rounds are counted, not time, which also passes while this host is suspended. If no
    /// host responded, this host may be the one that is cut off, and none counts as lost.
    pub fn record_round(&mut self, silent: Vec<ProcessId>, has_response: bool) -> Vec<ProcessId> {
        let previous = std::mem::take(&mut self.missed_rounds);
        let mut lost = Vec::new();
        for process in silent {
            let missed = previous.get(&process).map_or(1, |missed| missed + 1);
            if missed >= MAX_MISSED_ROUNDS && has_response {
                lost.push(process.clone());
            }
            let missed = missed.min(MAX_MISSED_ROUNDS);
            self.missed_rounds.insert(process, missed);
        }
        lost
    }
}
