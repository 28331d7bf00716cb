//! Which prompts the engine has computed lately, by their shared prefixes.
//!
//! The engine's cache events come late and with gaps, so the sidecar remembers
//! what it saw computed. A belief that proves wrong costs little: the queue
//! learns from the cached tokens of each answer and lets fewer calls run.

use std::collections::HashMap;
use std::time::Duration;

use rosebend_state::id::CallId;

use crate::warmth::{PrefixId, SharedPrefix, WarmSites, Warmth};

/// Most prefixes remembered; the longest unused is forgotten first.
const MAX_PREFIXES: usize = 4_096;

/// The one endpoint of a sidecar, in the terms of [`Warmth`].
const HERE: usize = 0;

/// Prefixes believed to be in the engine's cache.
#[derive(Debug)]
pub(super) struct WarmPrefixes {
    sites: WarmSites<PrefixId>,
    /// Of calls that wait or run and whose prompt is not computed.
    pending: HashMap<CallId, Vec<SharedPrefix>>,
}

impl WarmPrefixes {
    /// An engine with an empty cache.
    pub(super) fn new() -> Self {
        Self {
            sites: WarmSites::new(MAX_PREFIXES),
            pending: HashMap::new(),
        }
    }

    /// Tokens of the longest prefix that is believed warm.
    pub(super) fn warm_tokens(&self, prefixes: &[SharedPrefix]) -> u64 {
        let known = |prefix: &&SharedPrefix| !self.sites.sites(&prefix.id).is_empty();
        let longest = prefixes.iter().rev().find(known);
        longest.map_or(0, |prefix| prefix.tokens)
    }

    /// Notes the prefixes of a call that waits.
    pub(super) fn queued(&mut self, id: &CallId, prefixes: &[SharedPrefix]) {
        if !prefixes.is_empty() {
            self.pending.insert(id.clone(), prefixes.to_vec());
        }
    }

    /// Notes that a call's whole prompt is computed.
    pub(super) fn computed(&mut self, now: Duration, id: &CallId) {
        for prefix in self.pending.remove(id).unwrap_or_default() {
            let warmth = Warmth {
                endpoint: HERE,
                cache_epoch: 0,
                tokens: prefix.tokens,
                used_at: now,
            };
            self.sites.put(&prefix.id, warmth);
        }
    }

    /// Forgets a call that is over.
    pub(super) fn dropped(&mut self, id: &CallId) {
        self.pending.remove(id);
    }
}
