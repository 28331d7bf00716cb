//! Requests that crash the endpoints that run them.
//!
//! Such a request comes again with the same path and body. Each crash that it
//! may have caused is counted; when the count reaches [`MAX_CRASHES`], the
//! request is refused. Counts are shared between hosts through the store.

use std::collections::HashMap;
use std::time::Duration;

use rosebend_util::hash_parts;

/// Identifies a request by its content.
pub type Fingerprint = u64;

/// Crashes after which a request is not run any more.
pub const MAX_CRASHES: usize = 2;

/// How long a crash is held against a request. A request that really crashes
/// endpoints comes again within seconds.
const MEMORY: Duration = Duration::from_secs(120);

/// The fingerprint of a request.
pub fn fingerprint(host: &str, path: &str, body: &[u8]) -> Fingerprint {
    hash_parts(&[host.as_bytes(), path.as_bytes(), body])
}

/// Crashes by the requests that were running.
#[derive(Debug, Default)]
pub struct CrashCounts {
    crashes: HashMap<Fingerprint, HashMap<String, Duration>>,
}

impl CrashCounts {
    /// Notes that an endpoint's run ended while it ran the request.
    pub fn add(&mut self, request: Fingerprint, instance: &str, now: Duration) {
        let instances = self.crashes.entry(request).or_default();
        instances.insert(instance.to_owned(), now);
    }

    /// Whether the request is refused.
    pub fn is_refused(&self, request: Fingerprint, now: Duration) -> bool {
        let Some(instances) = self.crashes.get(&request) else {
            return false;
        };
        let is_recent = |at: &&Duration| now.saturating_sub(**at) < MEMORY;
        instances.values().filter(is_recent).count() >= MAX_CRASHES
    }

    /// Drops what is not held against a request any more.
    pub fn expire(&mut self, now: Duration) {
        for instances in self.crashes.values_mut() {
            instances.retain(|_, at| now.saturating_sub(*at) < MEMORY);
        }
        self.crashes.retain(|_, instances| !instances.is_empty());
    }
}
