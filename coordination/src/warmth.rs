//! Where prompts are believed to be warm.
//!
//! Cache events come late and with gaps, so the owner remembers where it sent
//! what, and corrects itself by the cached tokens that answers report.

use std::borrow::Borrow;
use std::collections::{BTreeMap, HashMap};
use std::hash::Hash;
use std::time::Duration;

/// Names a prefix that prompts of several programs share: a hash of its text.
pub type PrefixId = u64;

/// A start of a prompt that prompts of other programs share.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SharedPrefix {
    /// A hash of its text.
    pub id: PrefixId,
    /// Its length.
    pub tokens: u64,
}

/// Most endpoints remembered for one key.
const MAX_SITES: usize = 4;

/// A prompt in the cache of an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Warmth {
    /// Index of the endpoint in its router.
    pub endpoint: usize,
    /// The endpoint's cache epoch when the prompt was sent there; an older
    /// one says that the cache has been lost since.
    pub cache_epoch: u64,
    /// Tokens from the start of the prompt.
    pub tokens: u64,
    /// When it was last used.
    pub used_at: Duration,
}

#[derive(Debug)]
struct Sites {
    /// At most `MAX_SITES`, the last used one last.
    sites: Vec<Warmth>,
    used: u64,
}

/// The warm endpoints of programs or prefixes, bounded by forgetting the key
/// that was not used for longest.
#[derive(Debug)]
pub struct WarmSites<K> {
    max_keys: usize,
    by_key: HashMap<K, Sites>,
    /// Keys by last use; exactly those of `by_key`.
    by_use: BTreeMap<u64, K>,
    next_use: u64,
}

impl<K: Clone + Eq + Hash> WarmSites<K> {
    /// Makes an empty map of at most `max_keys` keys.
    pub fn new(max_keys: usize) -> Self {
        Self {
            max_keys: max_keys.max(1),
            by_key: HashMap::new(),
            by_use: BTreeMap::new(),
            next_use: 0,
        }
    }

    /// The warm endpoints of a key, the last used one last.
    pub fn sites<Q>(&self, key: &Q) -> &[Warmth]
    where
        K: Borrow<Q>,
        Q: Eq + Hash + ?Sized,
    {
        self.by_key.get(key).map_or(&[], |sites| &sites.sites)
    }

    /// Tokens warm at an endpoint whose cache is of this epoch.
    pub fn tokens(&self, key: &K, endpoint: usize, cache_epoch: u64) -> u64 {
        self.sites(key)
            .iter()
            .find(|site| site.endpoint == endpoint && site.cache_epoch == cache_epoch)
            .map_or(0, |site| site.tokens)
    }

    /// Puts a warm endpoint, in place of what was known of it.
    pub fn put(&mut self, key: &K, warmth: Warmth) {
        let used = self.next_use;
        self.next_use += 1;
        let sites = self.by_key.entry(key.clone()).or_insert_with(|| Sites {
            sites: Vec::with_capacity(1),
            used,
        });
        self.by_use.remove(&sites.used);
        sites.used = used;
        sites.sites.retain(|site| site.endpoint != warmth.endpoint);
        if sites.sites.len() == MAX_SITES {
            sites.sites.remove(0);
        }
        sites.sites.push(warmth);
        self.by_use.insert(used, key.clone());
        self.forget_oldest();
    }

    /// Drops one endpoint of a key, whose cache proved cold.
    pub fn remove(&mut self, key: &K, endpoint: usize) {
        let Some(sites) = self.by_key.get_mut(key) else {
            return;
        };
        sites.sites.retain(|site| site.endpoint != endpoint);
        if sites.sites.is_empty() {
            self.forget(key);
        }
    }

    /// Drops a key.
    pub fn forget(&mut self, key: &K) {
        if let Some(sites) = self.by_key.remove(key) {
            self.by_use.remove(&sites.used);
        }
    }

    fn forget_oldest(&mut self) {
        while self.by_key.len() > self.max_keys {
            let Some((_, key)) = self.by_use.pop_first() else {
                return;
            };
            self.by_key.remove(&key);
        }
    }
}
