//! Which endpoints there are, and which start of each.

use std::time::Duration;

use rosebend_state::deployment::{EndpointRecord, InstanceId};

use super::Directory;
use super::endpoint::Endpoint;

/// How long an entry that vanished in an outage of the store is kept: entries
/// that lapsed meanwhile are back about two seconds after the store.
const LAPSE_GRACE: Duration = Duration::from_millis(2_200);
/// How long entries of an earlier start may come after those of a later one: a
/// write whose answer was lost may take effect up to six seconds late. An
/// earlier start that comes for longer is the one that lives, on a host whose
/// clock was set back.
const LATE_WRITE_TIME: Duration = Duration::from_secs(7);

/// An endpoint whose entry is gone.
#[derive(Clone, Debug)]
pub(super) struct Gone {
    /// When its last start was.
    started_ms: Option<u64>,
    /// When its entry was gone.
    at: Duration,
    /// The entry of an earlier start that came since.
    earlier: Option<EndpointRecord>,
}

/// How an endpoint's place in the directory changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Listing {
    /// It is new.
    Listed,
    /// It started again: nothing that was believed of it holds any more.
    StartedAgain,
    /// It gets nothing new, since it drains.
    Draining,
    /// It gets nothing new, since its entry is gone.
    Gone,
}

impl Directory {
    /// Takes an entry that was written or read. Tells what changed for the
    /// choice, if anything did. An entry of a start before the one that is
    /// known came late and changes nothing.
    pub fn announce(&mut self, record: EndpointRecord, now: Duration) -> Option<Listing> {
        if self.came_late(&record, now) {
            return None;
        }
        let instance = record.identity.instance.clone();
        self.gone.remove(&instance);
        let known = self.endpoints.get_mut(&instance);
        let is_again = known.is_some();
        if let Some(endpoint) = known.filter(|known| known.record.identity == record.identity) {
            return endpoint.renew(record);
        }
        self.endpoints.insert(instance, Endpoint::new(record, now));
        match is_again {
            true => Some(Listing::StartedAgain),
            false => Some(Listing::Listed),
        }
    }

    /// Whether an entry is of a start that is over. It is kept, for the case that no
    /// entry of the later start comes any more.
    fn came_late(&mut self, record: &EndpointRecord, now: Duration) -> bool {
        let identity = &record.identity;
        if let Some(known) = self.endpoints.get_mut(&identity.instance) {
            if !identity.is_before(&known.record.identity) {
                known.earlier = None;
                return false;
            }
            let earlier = known.earlier.take();
            let since = earlier.map_or(now, |(_, since)| since);
            known.earlier = Some((record.clone(), since));
            return now.saturating_sub(since) < LATE_WRITE_TIME;
        }
        let Some(gone) = self.gone.get_mut(&identity.instance) else {
            return false;
        };
        let is_late =
            identity.started_ms < gone.started_ms && now.saturating_sub(gone.at) < LATE_WRITE_TIME;
        gone.earlier = is_late.then(|| record.clone());
        is_late
    }

    /// Lists earlier starts whose entries have stayed for too long to be late writes,
    /// and tells what changed. Not every host hears each heartbeat.
    pub fn list_earlier(&mut self, now: Duration) -> Vec<(InstanceId, Listing)> {
        let is_due = |since: Duration| now.saturating_sub(since) >= LATE_WRITE_TIME;
        let known = self.endpoints.values();
        let known = known.filter_map(|known| known.earlier.as_ref());
        let known = known.filter(|(_, since)| is_due(*since));
        let gone = self.gone.values().filter(|gone| is_due(gone.at));
        let gone = gone.filter_map(|gone| gone.earlier.as_ref());
        let due = known.map(|(record, _)| record).chain(gone);
        let due: Vec<EndpointRecord> = due.cloned().collect();
        let mut changes = Vec::new();
        for record in due {
            let instance = record.identity.instance.clone();
            let change = self.announce(record, now);
            changes.extend(change.map(|change| (instance, change)));
        }
        changes
    }

    /// Takes the deletion of an entry. One that vanished in an outage of the
    /// store may come back; it is kept for a while.
    pub fn withdraw(&mut self, instance: &str, now: Duration, in_outage: bool) -> Option<Listing> {
        if let Some(gone) = self.gone.get_mut(instance) {
            gone.earlier = None;
        }
        let endpoint = self.endpoints.get_mut(instance)?;
        endpoint.earlier = None;
        if in_outage && !endpoint.record.draining {
            let until = now + LAPSE_GRACE;
            endpoint.lapsed_until.get_or_insert(until);
            return None;
        }
        self.remove(instance, now);
        Some(Listing::Gone)
    }

    fn remove(&mut self, instance: &str, now: Duration) {
        if let Some((instance, endpoint)) = self.endpoints.remove_entry(instance) {
            let started_ms = endpoint.record.identity.started_ms;
            self.gone.insert(
                instance,
                Gone {
                    started_ms,
                    at: now,
                    earlier: None,
                },
            );
        }
    }

    /// Takes an entry that names no endpoint to use. One that was listed gets
    /// nothing new until its entry is good again.
    pub fn refuse(&mut self, instance: &str) {
        if let Some(endpoint) = self.endpoints.get_mut(instance) {
            endpoint.is_refused = true;
        }
    }

    /// Takes a whole list of entries, of which some are refused; others are
    /// withdrawn. Tells what changed for the choice.
    pub fn replace(
        &mut self,
        records: Vec<EndpointRecord>,
        refused: &[InstanceId],
        now: Duration,
        in_outage: bool,
    ) -> Vec<(InstanceId, Listing)> {
        let mut changes = Vec::new();
        let is_listed = |instance: &InstanceId| {
            let mut read = records.iter().map(|record| &record.identity.instance);
            read.any(|read| read == instance) || refused.contains(instance)
        };
        let instances = self.endpoints.keys().cloned();
        let missing: Vec<InstanceId> = instances.filter(|instance| !is_listed(instance)).collect();
        for instance in missing {
            let change = self.withdraw(&instance, now, in_outage);
            changes.extend(change.map(|change| (instance, change)));
        }
        for instance in refused {
            self.refuse(instance);
        }
        for record in records {
            let instance = record.identity.instance.clone();
            let change = self.announce(record, now);
            changes.extend(change.map(|change| (instance, change)));
        }
        changes
    }

    /// Drops entries that did not come back after an outage, and tells which.
    pub fn expire(&mut self, now: Duration) -> Vec<InstanceId> {
        let is_over = |endpoint: &Endpoint| endpoint.lapsed_until.is_some_and(|until| now >= until);
        let over = self
            .endpoints
            .iter()
            .filter(|(_, endpoint)| is_over(endpoint));
        let over: Vec<InstanceId> = over.map(|(instance, _)| instance.clone()).collect();
        for instance in &over {
            self.remove(instance, now);
        }
        self.gone
            .retain(|_, gone| now.saturating_sub(gone.at) < LATE_WRITE_TIME);
        over
    }
}
