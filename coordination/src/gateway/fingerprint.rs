//! Detects requests that crash the endpoints that run them.
//!
//! Such a request is repeated with the same path, caller and body, at any host. Each
//! crash that a request may have caused is counted; when the count reaches
//! [`MAX_CRASHES`], the request is refused. All requests that an endpoint runs when
//! it crashes are suspects, so a request that is answered is cleared.

use std::collections::HashMap;
use std::time::Duration;

use rosebend_state::deployment::EndpointIdentity;
use rosebend_util::hash_parts;

/// Hash that identifies a request by its content and caller.
pub type Fingerprint = u64;

/// Number of crashes after which a request is refused. Endpoints that crash for
/// another reason often crash two at a time, and the same harmless request, such as
/// one without a body, may have run at both.
pub const MAX_CRASHES: usize = 3;

/// Time for which a crash counts against a request. A request that does crash
/// endpoints is repeated within seconds.
pub const CRASH_RETENTION: Duration = Duration::from_secs(60);

/// Computes the fingerprint of a request. The caller's address is a part of it only if there
/// is no body: callers of a popular path without a body must not share its crashes, while the
/// same body has the same effect from any address, and connections of one caller may have
/// several.
pub fn fingerprint(host: &str, path: &str, caller: &Caller<'_>, body: &[u8]) -> Fingerprint {
    let address = match body.is_empty() {
        true => caller.address,
        false => "",
    };
    hash_parts(&[
        host.as_bytes(),
        path.as_bytes(),
        caller.customer.as_bytes(),
        address.as_bytes(),
        body,
    ])
}

/// The sender of a request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Caller<'a> {
    /// Name of its customer, or an empty string if there is none.
    pub customer: &'a str,
    /// Address from which it is connected.
    pub address: &'a str,
}

/// Recent crashes, by the fingerprints of the requests that were running.
#[derive(Debug, Default)]
pub struct CrashCounts {
    crashes: HashMap<Fingerprint, HashMap<EndpointIdentity, Duration>>,
}

impl CrashCounts {
    /// Records that an endpoint process crashed while it ran the request. If the
    /// same instance crashes after a restart, that counts as another crash.
    pub fn record_crash(
        &mut self,
        request: Fingerprint,
        identity: &EndpointIdentity,
        now: Duration,
    ) {
        let crashed = self.crashes.entry(request).or_default();
        crashed.insert(identity.clone(), now);
    }

    /// Records that the request was answered and so does not crash endpoints.
    pub fn clear(&mut self, request: Fingerprint) {
        self.crashes.remove(&request);
    }

    /// Returns the number of crashes that count against the request.
    pub fn count(&self, request: Fingerprint, now: Duration) -> usize {
        let is_recent = |at: &&Duration| now.saturating_sub(**at) < CRASH_RETENTION;
        let crashed = self.crashes.get(&request);
        crashed.map_or(0, |crashed| crashed.values().filter(is_recent).count())
    }

    /// Returns whether the request is refused.
    pub fn is_refused(&self, request: Fingerprint, now: Duration) -> bool {
        self.count(request, now) >= MAX_CRASHES
    }

    /// Removes crashes that no longer count against a request.
    pub fn expire(&mut self, now: Duration) {
        for crashed in self.crashes.values_mut() {
            crashed.retain(|_, at| now.saturating_sub(*at) < CRASH_RETENTION);
        }
        self.crashes.retain(|_, crashed| !crashed.is_empty());
    }
}
