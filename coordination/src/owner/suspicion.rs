//! Quarantine of requests that crash endpoints.
//!
//! Every request in flight at a crash becomes a suspect and runs alone from then
//! on, so that a second crash identifies its cause, which is quarantined. A
//! suspect that runs alone without a crash is cleared.

use std::collections::{BTreeMap, BTreeSet};

/// Number of crashes at which a request is quarantined.
const CRASHES_TO_QUARANTINE: u32 = 2;
/// Maximum number of suspects in memory.
const MAX_SUSPECTS: usize = 1024;

/// Suspect and quarantined requests, by fingerprint.
#[derive(Debug, Default)]
pub(super) struct Suspicion {
    /// Number of crashes of each suspect; less than `CRASHES_TO_QUARANTINE`.
    suspects: BTreeMap<String, u32>,
    quarantined: BTreeSet<String>,
}

impl Suspicion {
    /// Records a crash with this request in flight. Returns true if the request is
    /// quarantined because of this crash.
    pub(super) fn crashed(&mut self, fingerprint: &str) -> bool {
        let crashes = self.suspects.remove(fingerprint).unwrap_or(0) + 1;
        if crashes >= CRASHES_TO_QUARANTINE {
            return self.quarantined.insert(fingerprint.to_owned());
        }
        if self.suspects.len() >= MAX_SUSPECTS {
            self.suspects.pop_first();
        }
        self.suspects.insert(fingerprint.to_owned(), crashes);
        false
    }

    /// Clears a request that was answered.
    pub(super) fn cleared(&mut self, fingerprint: &str) {
        self.suspects.remove(fingerprint);
    }

    /// Adds requests that were quarantined by other owners.
    pub(super) fn add_quarantined(&mut self, fingerprints: Vec<String>) {
        self.quarantined.extend(fingerprints);
    }

    /// Returns whether the request must run alone.
    pub(super) fn is_suspect(&self, fingerprint: &str) -> bool {
        self.suspects.contains_key(fingerprint)
    }

    /// Returns whether the request must not run.
    pub(super) fn is_quarantined(&self, fingerprint: &str) -> bool {
        self.quarantined.contains(fingerprint)
    }
}
