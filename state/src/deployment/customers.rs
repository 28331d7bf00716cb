//! Customers as operators declare them, and the keys of their callers.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

use rosebend_util::{digest, to_hex};

/// Name of a customer, as operators declare it.
pub type CustomerName = String;

/// Bytes of a name's digest that tell customers apart in ids.
const SCOPE_BYTES: usize = 8;

/// The secret by which a caller shows whose it is. It is never written: neither
/// its `Debug` form nor any error holds it.
#[derive(Clone, Eq, PartialEq)]
pub struct CustomerKey(String);

/// The SHA-256 of a key, by which it is looked up: how long that takes tells
/// nothing about keys that are nearly the same.
#[derive(Clone, Copy, Eq, Hash, PartialEq)]
pub struct KeyDigest([u8; 32]);

/// How much a customer may send, over all hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CustomerLimit {
    /// Requests a second; positive.
    pub rate_per_s: f64,
    /// Requests at once beyond the rate; not negative.
    pub burst: f64,
}

/// A customer that can be served.
#[derive(Clone, Debug, PartialEq)]
pub struct Customer {
    /// Its name, which is a header's value.
    pub name: CustomerName,
    /// Rank of its requests, which goes before that of their routes; 0 is the
    /// most urgent.
    pub priority: Option<u32>,
    /// How much it may send; none where it may send any number.
    pub limit: Option<CustomerLimit>,
    /// What tells its ids from those of other customers; it holds neither a
    /// slash nor a control character.
    scope: String,
}

/// A declared customer with a value that can't be used.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UnusableCustomer {
    /// Its name, where that can be read.
    pub name: Option<CustomerName>,
    /// What is wrong; it never holds what the value was, which may be a key.
    pub reason: &'static str,
}

/// Whose a key is.
#[derive(Clone, Debug, PartialEq)]
pub enum KeyOwner {
    /// This customer's.
    Customer(Arc<Customer>),
    /// That of a customer which can't be used, or of two.
    Unusable,
}

/// All customers of a version.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Customers {
    /// Owners by the digests of their keys.
    pub owners: HashMap<KeyDigest, KeyOwner>,
    /// Customers whose entries can't be used.
    pub unusable: Vec<UnusableCustomer>,
    /// Whether the keys of some entry can't be read, so that a key which is not
    /// among `owners` may be somebody's all the same.
    pub has_unreadable_keys: bool,
}

impl CustomerKey {
    /// A key as its caller sent it.
    pub fn new(key: impl Into<String>) -> Self {
        Self(key.into())
    }

    /// By what it is looked up.
    pub fn digest(&self) -> KeyDigest {
        KeyDigest(digest(self.0.as_bytes()))
    }
}

impl fmt::Debug for CustomerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("CustomerKey(..)")
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

impl Customer {
    /// A customer without a rank of its own and without a limit.
    pub fn new(name: CustomerName) -> Self {
        let scope = to_hex(&digest(name.as_bytes())[..SCOPE_BYTES]);
        Self {
            name,
            priority: None,
            limit: None,
            scope,
        }
    }

    /// An id that its callers chose, as it is told from the same id of another
    /// customer.
    pub fn scoped(&self, id: &str) -> String {
        format!("{}:{id}", self.scope)
    }
}

impl Customers {
    /// Whose a key is; none when it is nobody's.
    pub fn owner(&self, key: &CustomerKey) -> Option<&KeyOwner> {
        let owner = self.owners.get(&key.digest());
        owner.or(match self.has_unreadable_keys {
            true => Some(&KeyOwner::Unusable),
            false => None,
        })
    }

    /// The limits of all customers that have one.
    pub fn limits(&self) -> HashMap<CustomerName, CustomerLimit> {
        let limits = self.owners.values().filter_map(|owner| match owner {
            KeyOwner::Customer(customer) => Some((customer.name.clone(), customer.limit?)),
            KeyOwner::Unusable => None,
        });
        limits.collect()
    }
}
