//! Tracks entries of the endpoint table that describe no usable endpoint, so that
//! each is logged once.

use std::collections::{HashMap, HashSet};

use rosebend_state::deployment::InstanceId;

/// Maximum number of tracked entries. Further entries are not logged, because a
/// writer of that many entries could flood the log.
const MAX_TRACKED: usize = 256;

/// Result of recording a refused entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RecordOutcome {
    /// The entry was not refused before; it is logged and counted.
    New,
    /// The entry was already refused; it is neither logged nor counted again.
    AlreadyRefused,
    /// Too many entries are tracked; the entry is not logged, and is counted each
    /// time it is read.
    LimitReached,
}

/// The entries that are currently refused, with the reason code of each.
#[derive(Debug, Default)]
pub struct RefusedEntries {
    /// Reason codes by instance; at most [`MAX_TRACKED`] entries.
    reason_codes: HashMap<InstanceId, &'static str>,
}

impl RefusedEntries {
    /// Records that an entry is refused.
    pub fn record_refusal(&mut self, instance: &str, reason_code: &'static str) -> RecordOutcome {
        if self.reason_codes.contains_key(instance) {
            return RecordOutcome::AlreadyRefused;
        }
        if self.reason_codes.len() >= MAX_TRACKED {
            return RecordOutcome::LimitReached;
        }
        self.reason_codes.insert(instance.to_owned(), reason_code);
        RecordOutcome::New
    }

    /// Records that an entry has been removed or is valid again. Returns whether
    /// that has to be logged.
    pub fn clear(&mut self, instance: &str) -> bool {
        self.reason_codes.remove(instance).is_some()
    }

    /// Returns the reason code of a refused entry, or none if the entry is not
    /// refused.
    pub fn reason_code(&self, instance: &str) -> Option<&'static str> {
        self.reason_codes.get(instance).copied()
    }

    /// Returns the entries that are refused for the given reason.
    pub fn with_reason(&self, reason_code: &str) -> Vec<InstanceId> {
        let reason_codes = self.reason_codes.iter();
        let matching = reason_codes.filter(|(_, other)| **other == reason_code);
        matching.map(|(instance, _)| instance.clone()).collect()
    }

    /// Removes the entries that do not occur in a complete read of the table, and
    /// returns them.
    pub fn retain(&mut self, listed: &HashSet<&str>) -> Vec<InstanceId> {
        let instances = self.reason_codes.keys();
        let removed = instances.filter(|instance| !listed.contains(instance.as_str()));
        let removed: Vec<InstanceId> = removed.cloned().collect();
        for instance in &removed {
            self.reason_codes.remove(instance);
        }
        removed
    }
}
