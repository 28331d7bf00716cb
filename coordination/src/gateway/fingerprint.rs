//! Requests that crash the endpoints that run them.
//!
//! Such a request comes again with the same path, caller and body, at any
//! host. Each crash that it may have caused is counted; when the count reaches
//! [`MAX_CRASHES`], the request is refused. A request that was answered is
//! cleared: others that run at an endpoint when it crashes are suspects, too.

use std::collections::HashMap;
use std::time::Duration;

use rosebend_state::deployment::EndpointIdentity;
use rosebend_util::hash_parts;

/// Identifies a request by its content and caller.
pub type Fingerprint = u64;

/// Crashes after which a request is not run any more. Endpoints that crash for
/// another reason often crash two at a time, and the same innocent request, say
/// one without a body, may have run at both.
pub const MAX_CRASHES: usize = 3;

/// How long a crash is held against a request. A request that really crashes
/// endpoints comes again within seconds.
pub const MEMORY: Duration = Duration::from_secs(60);

/// The fingerprint of a request.
pub fn fingerprint(host: &str, path: &str, caller: &str, body: &[u8]) -> Fingerprint {
    hash_parts(&[host.as_bytes(), path.as_bytes(), caller.as_bytes(), body])
}

/// Crashes by the requests that were running.
#[derive(Debug, Default)]
pub struct CrashCounts {
    crashes: HashMap<Fingerprint, HashMap<EndpointIdentity, Duration>>,
}

impl CrashCounts {
    /// Notes that a start of an endpoint ended while it ran the request. One
    /// that crashed at several starts counts once for each.
    pub fn add(&mut self, request: Fingerprint, identity: &EndpointIdentity, now: Duration) {
        let starts = self.crashes.entry(request).or_default();
        starts.insert(identity.clone(), now);
    }

    /// Notes that the request was answered, and so crashes nothing.
    pub fn clear(&mut self, request: Fingerprint) {
        self.crashes.remove(&request);
    }

    /// Crashes that are held against the request.
    pub fn count(&self, request: Fingerprint, now: Duration) -> usize {
        let is_recent = |at: &&Duration| now.saturating_sub(**at) < MEMORY;
        let starts = self.crashes.get(&request);
        starts.map_or(0, |starts| starts.values().filter(is_recent).count())
    }

    /// Whether the request is refused.
    pub fn is_refused(&self, request: Fingerprint, now: Duration) -> bool {
        self.count(request, now) >= MAX_CRASHES
    }

    /// Drops what is not held against a request any more.
    pub fn expire(&mut self, now: Duration) {
        for starts in self.crashes.values_mut() {
            starts.retain(|_, at| now.saturating_sub(*at) < MEMORY);
        }
        self.crashes.retain(|_, starts| !starts.is_empty());
    }
}
