//! Identification of the customer of a request by the key that its caller sent.

use std::sync::Arc;
use std::time::Duration;

use rosebend_state::deployment::{Customer, CustomerKey, Deployment, KeyOwner, Route};

/// Time since the last confirmation of the routes after which a gateway no longer
/// reports a key or a route as unknown, because it may lack the version that contains
/// it. Without changes, the routes are confirmed every 1.3 s.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_millis(2_500);

/// The reason for which no customer was identified.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum IdentityError {
    /// The caller sent no key, or none in the required form.
    NoKey,
    /// The key belongs to no customer.
    UnknownKey,
    /// The key belongs to a customer whose entry can't be used, or may belong to one
    /// whose keys can't be read.
    KeyUnusable,
}

/// Returns the customer of a request, or `None` if the route or the deployment
/// requires no key.
///
/// # Errors
///
/// Returns the reason if no customer was identified.
pub fn identify(
    deployment: &Deployment,
    route: &Route,
    key: Option<&CustomerKey>,
) -> Result<Option<Arc<Customer>>, IdentityError> {
    let Some(customers) = deployment.customers.as_ref().filter(|_| !route.is_public) else {
        return Ok(None);
    };
    let key = key.ok_or(IdentityError::NoKey)?;
    match customers.owner(key) {
        Some(KeyOwner::Customer(customer)) => Ok(Some(Arc::clone(customer))),
        Some(KeyOwner::Unusable) => Err(IdentityError::KeyUnusable),
        None => Err(IdentityError::UnknownKey),
    }
}

/// The time at which the cached routes were last confirmed as current.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Confirmation {
    /// Time of the last confirmation by the store that no newer routes exist.
    at: Duration,
}

impl Confirmation {
    /// Records that the store confirmed the routes at time `at`.
    pub fn confirm(&mut self, at: Duration) {
        self.at = self.at.max(at);
    }

    /// Returns the time since the last confirmation.
    pub fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.at)
    }

    /// Returns true if the last confirmation is too old. A newer version may then
    /// contain keys or routes that are missing in the cached one.
    pub fn is_stale(&self, now: Duration) -> bool {
        self.age(now) > MAX_CONFIRMATION_AGE
    }
}
