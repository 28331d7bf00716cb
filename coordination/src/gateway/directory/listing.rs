//! The set of listed endpoints and the current incarnation of each.
//!
//! The set follows the entries of endpoints in the store. Entries may arrive late
//! and out of order, and they expire in an outage of the store, so an entry or a
//! deletion does not always take effect at once.

use std::time::Duration;

use rosebend_state::deployment::{EndpointRecord, InstanceId};

use super::Directory;
use super::endpoint::Endpoint;

/// Time for which an endpoint is kept whose entry expired in an outage of the store.
/// Such entries are written again about two seconds after the store has recovered.
const LAPSE_GRACE_PERIOD: Duration = Duration::from_millis(2_200);
/// Time for which an entry of an earlier incarnation counts as a late write if it
/// arrives after one of a later incarnation: a write whose response was lost may
/// take effect up to six seconds late. If the entry persists for longer, its
/// incarnation is the running one, on a host whose clock was set back.
const STALE_WRITE_WINDOW: Duration = Duration::from_secs(7);

/// A removed endpoint, kept to detect late entries of earlier incarnations.
#[derive(Clone, Debug)]
pub(super) struct RemovedEndpoint {
    /// Start time of its last listed incarnation.
    started_ms: Option<u64>,
    /// Time of its removal.
    at: Duration,
    /// Entry of an earlier incarnation that arrived after the removal.
    older_incarnation: Option<EndpointRecord>,
}

/// A change of an endpoint's listing in the directory.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ListingChange {
    /// The endpoint was not listed before.
    Added,
    /// A new incarnation replaces the listed one, whose state is discarded.
    Restarted,
    /// The endpoint receives no new requests because it drains.
    Draining,
    /// The endpoint receives no new requests because its entry was deleted.
    Removed,
}

impl Directory {
    /// Applies an entry that was written or read. Returns the resulting change of
    /// the listing, if any. A late entry of an earlier incarnation than the listed
    /// one changes nothing.
    pub fn apply_entry(&mut self, record: EndpointRecord, now: Duration) -> Option<ListingChange> {
        if self.defer_if_stale(&record, now) {
            return None;
        }
        let instance = record.identity.instance.clone();
        self.removed.remove(&instance);
        let current = self.endpoints.get_mut(&instance);
        let is_restart = current.is_some();
        if let Some(endpoint) = current.filter(|current| current.record.identity == record.identity)
        {
            return endpoint.update_record(record);
        }
        self.endpoints.insert(instance, Endpoint::new(record, now));
        match is_restart {
            true => Some(ListingChange::Restarted),
            false => Some(ListingChange::Added),
        }
    }

    /// Returns true if an entry appears to be a late write of an incarnation that has
    /// ended. The entry is kept for the case that no further entry of the later
    /// incarnation arrives.
    fn defer_if_stale(&mut self, record: &EndpointRecord, now: Duration) -> bool {
        let identity = &record.identity;
        if let Some(current) = self.endpoints.get_mut(&identity.instance) {
            if !identity.is_before(&current.record.identity) {
                current.older_incarnation = None;
                return false;
            }
            let older_incarnation = current.older_incarnation.take();
            let since = older_incarnation.map_or(now, |(_, since)| since);
            current.older_incarnation = Some((record.clone(), since));
            return now.saturating_sub(since) < STALE_WRITE_WINDOW;
        }
        let Some(removed) = self.removed.get_mut(&identity.instance) else {
            return false;
        };
        let is_stale = identity.started_ms < removed.started_ms
            && now.saturating_sub(removed.at) < STALE_WRITE_WINDOW;
        removed.older_incarnation = is_stale.then(|| record.clone());
        is_stale
    }

    /// Lists earlier incarnations whose entries have persisted for too long to be
    /// late writes, and returns the changes. The check runs periodically because not
    /// every gateway receives each heartbeat.
    pub fn adopt_older_incarnations(&mut self, now: Duration) -> Vec<(InstanceId, ListingChange)> {
        let is_due = |since: Duration| now.saturating_sub(since) >= STALE_WRITE_WINDOW;
        let listed = self.endpoints.values();
        let listed = listed.filter_map(|listed| listed.older_incarnation.as_ref());
        let listed = listed.filter(|(_, since)| is_due(*since));
        let removed = self.removed.values().filter(|removed| is_due(removed.at));
        let removed = removed.filter_map(|removed| removed.older_incarnation.as_ref());
        let due = listed.map(|(record, _)| record).chain(removed);
        let due: Vec<EndpointRecord> = due.cloned().collect();
        let mut changes = Vec::new();
        for record in due {
            let instance = record.identity.instance.clone();
            let change = self.apply_entry(record, now);
            changes.extend(change.map(|change| (instance, change)));
        }
        changes
    }

    /// Applies the deletion of an entry. An endpoint whose entry disappeared in an
    /// outage of the store is kept for a grace period, because its entry may be
    /// written again.
    pub fn apply_deletion(
        &mut self,
        instance: &str,
        now: Duration,
        in_outage: bool,
    ) -> Option<ListingChange> {
        if let Some(removed) = self.removed.get_mut(instance) {
            removed.older_incarnation = None;
        }
        let endpoint = self.endpoints.get_mut(instance)?;
        endpoint.older_incarnation = None;
        if in_outage && !endpoint.record.draining {
            let until = now + LAPSE_GRACE_PERIOD;
            endpoint.lapse_deadline.get_or_insert(until);
            return None;
        }
        self.remove(instance, now);
        Some(ListingChange::Removed)
    }

    /// Removes an endpoint and keeps its start time to detect late entries.
    fn remove(&mut self, instance: &str, now: Duration) {
        if let Some((instance, endpoint)) = self.endpoints.remove_entry(instance) {
            let started_ms = endpoint.record.identity.started_ms;
            self.removed.insert(
                instance,
                RemovedEndpoint {
                    started_ms,
                    at: now,
                    older_incarnation: None,
                },
            );
        }
    }

    /// Marks the entry of an endpoint as invalid. A listed endpoint receives no new
    /// requests until its entry is valid again.
    pub fn mark_invalid(&mut self, instance: &str) {
        if let Some(endpoint) = self.endpoints.get_mut(instance) {
            endpoint.has_invalid_entry = true;
        }
    }

    /// Applies the complete list of entries. Instances in `invalid` have an entry
    /// that can't be used; listed endpoints without any entry are handled like
    /// deleted ones. Returns the changes of the listing.
    pub fn apply_snapshot(
        &mut self,
        records: Vec<EndpointRecord>,
        invalid: &[InstanceId],
        now: Duration,
        in_outage: bool,
    ) -> Vec<(InstanceId, ListingChange)> {
        let mut changes = Vec::new();
        let is_listed = |instance: &InstanceId| {
            let mut read = records.iter().map(|record| &record.identity.instance);
            read.any(|read| read == instance) || invalid.contains(instance)
        };
        let instances = self.endpoints.keys().cloned();
        let missing: Vec<InstanceId> = instances.filter(|instance| !is_listed(instance)).collect();
        for instance in missing {
            let change = self.apply_deletion(&instance, now, in_outage);
            changes.extend(change.map(|change| (instance, change)));
        }
        for instance in invalid {
            self.mark_invalid(instance);
        }
        for record in records {
            let instance = record.identity.instance.clone();
            let change = self.apply_entry(record, now);
            changes.extend(change.map(|change| (instance, change)));
        }
        changes
    }

    /// Removes endpoints whose entries were not written again after an outage, and
    /// returns their ids. It also drops the records of removed endpoints for which no
    /// late entries are possible any more.
    pub fn expire(&mut self, now: Duration) -> Vec<InstanceId> {
        let is_expired =
            |endpoint: &Endpoint| endpoint.lapse_deadline.is_some_and(|until| now >= until);
        let expired = self
            .endpoints
            .iter()
            .filter(|(_, endpoint)| is_expired(endpoint));
        let expired: Vec<InstanceId> = expired.map(|(instance, _)| instance.clone()).collect();
        for instance in &expired {
            self.remove(instance, now);
        }
        self.removed
            .retain(|_, removed| now.saturating_sub(removed.at) < STALE_WRITE_WINDOW);
        expired
    }
}
