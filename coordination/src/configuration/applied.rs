//! What a process has in force.

use std::{
    collections::{BTreeMap, VecDeque},
    ops::RangeInclusive,
};

use rosebend_state::{
    id::Revision,
    resource::{Change, ConfigUpdate, Resource, ResourceKey, ResourceKind, Snapshot},
};

/// Changes kept for peers that are behind.
const KEPT_FOR_PEERS: usize = 4_096;
/// Changes kept beyond a gap; what comes further ahead is asked for again.
const KEPT_BEYOND_GAP: usize = 1_024;

/// The configuration that a process has in force.
///
/// Changes are applied in the order of their revisions, each once. No call
/// makes the revision or any resource go back.
#[derive(Clone, Debug, Default)]
pub struct AppliedConfiguration {
    /// All changes up to this one are applied, and none after it.
    revision: Revision,
    /// The resources at `revision`.
    resources: BTreeMap<ResourceKey, Resource>,
    /// Changes above `revision + 1`, which wait for the ones before them.
    waiting: BTreeMap<Revision, Change>,
    /// The last applied changes, without a gap up to `revision`.
    recent: VecDeque<Change>,
    /// The highest revision heard of; at least `revision`.
    newest: Revision,
}

impl AppliedConfiguration {
    /// An empty configuration, at revision zero.
    pub fn new() -> Self {
        Self::default()
    }

    /// The revision in force.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// The highest revision heard of.
    pub fn newest(&self) -> Revision {
        self.newest
    }

    /// A resource in force.
    pub fn get(&self, key: &ResourceKey) -> Option<&Resource> {
        self.resources.get(key)
    }

    /// The resources of a kind in force, by name.
    pub fn list(&self, kind: ResourceKind) -> impl Iterator<Item = &Resource> {
        let all = self.resources.values();
        all.filter(move |resource| resource.kind() == kind)
    }

    /// Hears that a revision exists, such as from a peer's message.
    pub fn hear_of(&mut self, revision: Revision) {
        self.newest = self.newest.max(revision);
    }

    /// Takes a change, whenever it comes. Returns the changes that came into
    /// force by it, in their order.
    pub fn offer(&mut self, change: Change) -> Vec<Change> {
        self.hear_of(change.revision);
        if change.revision <= self.revision {
            return Vec::new();
        }
        self.waiting.entry(change.revision).or_insert(change);
        if self.waiting.len() > KEPT_BEYOND_GAP {
            self.waiting.pop_last();
        }
        self.apply_waiting()
    }

    /// Takes what a peer or the table handed over. Returns whether anything
    /// came into force by it.
    pub fn take(&mut self, update: ConfigUpdate) -> bool {
        let before = self.revision;
        match update {
            ConfigUpdate::Changes(changes) => {
                for change in changes {
                    self.offer(change);
                }
            }
            ConfigUpdate::Snapshot(snapshot) => {
                self.load(snapshot);
            }
        }
        self.revision > before
    }

    /// Takes a snapshot, if it is newer than what is in force. Returns whether
    /// it was.
    pub fn load(&mut self, snapshot: Snapshot) -> bool {
        self.hear_of(snapshot.revision);
        if snapshot.revision <= self.revision {
            return false;
        }
        self.revision = snapshot.revision;
        let keyed = snapshot.resources.into_iter();
        self.resources = keyed.map(|resource| (resource.key(), resource)).collect();
        // What was applied before does not join on to the snapshot.
        self.recent.clear();
        self.waiting = self.waiting.split_off(&(self.revision + 1));
        self.apply_waiting();
        true
    }

    /// The changes that must be fetched next; none when nothing is missing.
    pub fn missing(&self) -> Option<RangeInclusive<Revision>> {
        if self.revision >= self.newest {
            return None;
        }
        let first = self.revision + 1;
        let last = match self.waiting.keys().next() {
            Some(waiting) => waiting - 1,
            None => self.newest,
        };
        Some(first..=last)
    }

    /// What a peer at `revision` lacks; none when it lacks nothing.
    pub fn lacking(&self, revision: Revision, limit: usize) -> Option<ConfigUpdate> {
        if revision >= self.revision {
            return None;
        }
        let first_kept = self
            .recent
            .front()
            .map_or(u64::MAX, |change| change.revision);
        if revision + 1 < first_kept {
            return Some(ConfigUpdate::Snapshot(self.snapshot()));
        }
        let newer = self
            .recent
            .iter()
            .filter(|change| change.revision > revision);
        Some(ConfigUpdate::Changes(newer.take(limit).cloned().collect()))
    }

    /// All that is in force.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot {
            revision: self.revision,
            resources: self.resources.values().cloned().collect(),
        }
    }

    fn apply_waiting(&mut self) -> Vec<Change> {
        let mut applied = Vec::new();
        while let Some(change) = self.waiting.remove(&(self.revision + 1)) {
            self.apply(change.clone());
            applied.push(change);
        }
        applied
    }

    fn apply(&mut self, change: Change) {
        self.revision = change.revision;
        match &change.resource {
            Some(resource) => {
                self.resources.insert(change.key.clone(), resource.clone());
            }
            None => {
                self.resources.remove(&change.key);
            }
        }
        if self.recent.len() == KEPT_FOR_PEERS {
            self.recent.pop_front();
        }
        self.recent.push_back(change);
    }
}
