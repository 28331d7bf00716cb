//! Whose request it is, by the key that its caller sent.

use std::sync::Arc;
use std::time::Duration;

use rosebend_state::deployment::{Customer, CustomerKey, Deployment, KeyOwner, Route};

/// How long the routes may not have been confirmed before a host says no more
/// that a key or a route is unknown: it may have missed the version that has it.
/// In quiet they are confirmed every 1.3 s.
const DOUBTED_AFTER: Duration = Duration::from_millis(2_500);

/// Why a request is nobody's.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum IdentityError {
    /// Its caller sent no key, or none in the form that is wanted.
    NoKey,
    /// Nobody holds the key.
    UnknownKey,
    /// The key is that of a customer whose entry can't be used.
    KeyUnusable,
}

/// The customer of a request; none where no key is wanted.
///
/// # Errors
///
/// Tells why it is nobody's.
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

/// Until when the routes that a host knows may be gone by.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Confirmation {
    /// When the store last said that they are the newest.
    at: Duration,
}

impl Confirmation {
    /// The store said so at `at`.
    pub fn confirm(&mut self, at: Duration) {
        self.at = self.at.max(at);
    }

    /// How long ago that was.
    pub fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.at)
    }

    /// Whether a newer version may say otherwise of what is not in this one.
    pub fn is_doubted(&self, now: Duration) -> bool {
        self.age(now) > DOUBTED_AFTER
    }
}
