//! Requests that crash endpoints.
//!
//! Everything in flight at a crash is suspect and runs alone from then on, so
//! a second crash has one culprit. It is quarantined; an innocent neighbour
//! runs to its end alone and is cleared.

use std::collections::{BTreeMap, BTreeSet};

/// Crashes after which a request is quarantined.
const CRASHES_TO_QUARANTINE: u32 = 2;
/// Suspects that are remembered, at most.
const MAX_SUSPECTS: usize = 1024;

/// Suspect and quarantined requests, by fingerprint.
#[derive(Debug, Default)]
pub(super) struct Suspicion {
    /// Crashes of each suspect; below `CRASHES_TO_QUARANTINE`.
    suspects: BTreeMap<String, u32>,
    quarantined: BTreeSet<String>,
}

impl Suspicion {
    /// Notes a crash with this request in flight; true if it is quarantined
    /// by that.
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

    /// Notes that the request was answered.
    pub(super) fn cleared(&mut self, fingerprint: &str) {
        self.suspects.remove(fingerprint);
    }

    /// Learns of requests that were quarantined elsewhere.
    pub(super) fn learn(&mut self, fingerprints: Vec<String>) {
        self.quarantined.extend(fingerprints);
    }

    /// Whether the request must run alone.
    pub(super) fn is_suspect(&self, fingerprint: &str) -> bool {
        self.suspects.contains_key(fingerprint)
    }

    /// Whether the request must not run.
    pub(super) fn is_quarantined(&self, fingerprint: &str) -> bool {
        self.quarantined.contains(fingerprint)
    }
}
