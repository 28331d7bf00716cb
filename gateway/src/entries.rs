//! Entries of the table of endpoints, by whichever writer: what they change for
//! the choice of endpoints, and what is logged of those that name none.

use std::collections::HashSet;
use std::time::Duration;

use rosebend_coordination::gateway::directory::ListingChange;
use rosebend_coordination::gateway::refusals::RecordOutcome;
use rosebend_platform::endpoints::{self, EntryError};
use rosebend_state::deployment::{EndpointRecord, Row};
use rosebend_transport::event::{Event, EventKind, log_event};

use crate::gateway::Gateway;

/// How long after an outage an entry that vanished counts as lapsed in it.
const LAPSE_SPAN: Duration = Duration::from_secs(2);
/// Endpoints that are told one by one when a whole table is read. All hosts tell the
/// same, and the first read has every endpoint.
const MAX_LISTED_LINES: usize = 16;
/// Reason of an entry whose service nobody has declared.
const UNDECLARED: &str = "service";
/// How the refusal of an entry ended: it names an endpoint now.
const GOOD: &str = "good";
/// How the refusal of an entry ended: it was deleted.
const GONE: &str = "gone";

/// Takes the rows of a whole read.
pub fn take_all(gateway: &Gateway, rows: &[Row]) {
    let mut records = Vec::new();
    let mut refused = Vec::new();
    for row in rows {
        match read_entry(row) {
            Entry::Endpoint(record) => records.push(record),
            Entry::Refused(error) => {
                note_refusal(gateway, &row.id.key, error.word(), Some(&error));
                refused.push(row.id.key.clone());
            }
            Entry::Gone => {}
        }
    }
    let listed = rows.iter().map(|row| row.id.key.as_str());
    let listed: HashSet<&str> = listed.collect();
    let ended = gateway.refusals.borrow_mut().retain(&listed);
    ended.iter().for_each(|instance| log_end(instance, GONE));
    for record in &records {
        end_refusal(gateway, &record.identity.instance, GOOD);
    }
    let now = gateway.clock.now();
    let in_outage = is_in_outage(gateway);
    let mut directory = gateway.directory.borrow_mut();
    let changes = directory.apply_snapshot(records, &refused, now, in_outage);
    let (listed, others): (Vec<_>, Vec<_>) = changes
        .iter()
        .partition(|(_, change)| *change == ListingChange::Added);
    for (instance, change) in listed.iter().take(MAX_LISTED_LINES).chain(&others) {
        log_listing(instance, *change);
    }
    if listed.len() > MAX_LISTED_LINES {
        let event = Event::new(EventKind::EndpointListed).reason("others");
        log_event(&event.count((listed.len() - MAX_LISTED_LINES) as u64));
    }
}

/// Takes a row of a feed.
pub fn take(gateway: &Gateway, row: &Row) {
    let instance = &row.id.key;
    let now = gateway.clock.now();
    let in_outage = is_in_outage(gateway);
    let change = match read_entry(row) {
        Entry::Endpoint(record) => {
            end_refusal(gateway, instance, GOOD);
            gateway.directory.borrow_mut().apply_entry(record, now)
        }
        Entry::Refused(error) => {
            note_refusal(gateway, instance, error.word(), Some(&error));
            gateway.directory.borrow_mut().mark_invalid(instance);
            None
        }
        Entry::Gone => {
            end_refusal(gateway, instance, GONE);
            let mut directory = gateway.directory.borrow_mut();
            directory.apply_deletion(instance, now, in_outage)
        }
    };
    if let Some(change) = change {
        log_listing(instance, change);
    }
}

/// Whether an entry that is gone now may have lapsed in an outage of the store.
fn is_in_outage(gateway: &Gateway) -> bool {
    let away_ago = gateway.feeds.time_since_store_unavailable();
    away_ago.is_some_and(|ago| ago < LAPSE_SPAN)
}

/// What a row of the table of endpoints says.
enum Entry {
    /// It names an endpoint.
    Endpoint(EndpointRecord),
    /// It names none to use.
    Refused(EntryError),
    /// It was deleted.
    Gone,
}

fn read_entry(row: &Row) -> Entry {
    let Some(value) = &row.value else {
        return Entry::Gone;
    };
    match endpoints::decode(&row.id.key, value) {
        Ok(record) => Entry::Endpoint(record),
        Err(error) => Entry::Refused(error),
    }
}

/// Tells and counts an entry that names no endpoint, unless it is known.
fn note_refusal(gateway: &Gateway, instance: &str, word: &'static str, error: Option<&EntryError>) {
    let noted = gateway.refusals.borrow_mut().record_refusal(instance, word);
    if noted == RecordOutcome::AlreadyRefused {
        return;
    }
    gateway.metrics.count_refused_entry(word);
    if noted == RecordOutcome::LimitReached {
        return;
    }
    let event = Event::new(EventKind::EntryRefused).endpoint(instance);
    let event = event.reason(word);
    log_event(&match error {
        Some(error) => event.error(error),
        None => event,
    });
}

fn end_refusal(gateway: &Gateway, instance: &str, how: &'static str) {
    // One of an undeclared service ends when the service is declared.
    let is_undeclared = gateway.refusals.borrow().reason_code(instance) == Some(UNDECLARED);
    if is_undeclared && how == GOOD {
        return;
    }
    if gateway.refusals.borrow_mut().clear(instance) {
        log_end(instance, how);
    }
}

fn log_end(instance: &str, how: &'static str) {
    let event = Event::new(EventKind::EntryRefusalEnded).endpoint(instance);
    log_event(&event.reason(how));
}

/// Tells which endpoints are of a service that nobody has declared. It may be
/// declared later.
pub fn note_undeclared(gateway: &Gateway) {
    let undeclared = gateway.directory.borrow().undeclared_endpoints();
    for instance in &undeclared {
        note_refusal(gateway, instance, UNDECLARED, None);
    }
    let known = gateway.refusals.borrow().with_reason(UNDECLARED);
    for instance in known.iter().filter(|known| !undeclared.contains(known)) {
        let is_listed = gateway.directory.borrow().is_listed(instance);
        if gateway.refusals.borrow_mut().clear(instance) {
            log_end(instance, if is_listed { GOOD } else { GONE });
        }
    }
}

/// Tells what changed for the choice of endpoints.
pub fn log_listing(instance: &str, change: ListingChange) {
    let event = match change {
        ListingChange::Added => Event::new(EventKind::EndpointListed),
        ListingChange::Restarted => Event::new(EventKind::EndpointListed).reason("started-again"),
        ListingChange::Draining => Event::new(EventKind::EndpointWithdrawn).reason("draining"),
        ListingChange::Removed => Event::new(EventKind::EndpointWithdrawn).reason("gone"),
    };
    log_event(&event.endpoint(instance));
}
