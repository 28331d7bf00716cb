//! Applies the entries of the endpoint table to the directory of endpoints, and logs
//! the entries that describe no usable endpoint. Other writers than endpoints may
//! write to the table, so an entry may have any content.

use std::collections::HashSet;
use std::time::Duration;

use rosebend_coordination::gateway::directory::ListingChange;
use rosebend_coordination::gateway::refusals::RecordOutcome;
use rosebend_platform::endpoints::{self, EntryError};
use rosebend_state::deployment::{EndpointRecord, Row};
use rosebend_transport::event::{Event, EventKind, log_event};

use crate::gateway::Gateway;

/// Time after an outage of the store within which a missing entry counts as expired
/// in the outage.
const OUTAGE_LAPSE_WINDOW: Duration = Duration::from_secs(2);
/// Maximum number of added endpoints that are logged one by one when the whole table
/// is read. All hosts log the same endpoints, and the first read adds every endpoint.
const MAX_LISTED_LINES: usize = 16;
/// Reason code of an entry whose service operators have not declared.
const UNDECLARED_SERVICE: &str = "service";
/// Reason code for the end of a refusal: the entry describes a usable endpoint now.
const VALID: &str = "good";
/// Reason code for the end of a refusal: the entry was deleted.
const DELETED: &str = "gone";

/// Applies the rows of a complete read of the table.
pub fn apply_table(gateway: &Gateway, rows: &[Row]) {
    let mut records = Vec::new();
    let mut refused = Vec::new();
    for row in rows {
        match decode_entry(row) {
            Entry::Endpoint(record) => records.push(record),
            Entry::Invalid(error) => {
                report_refusal(gateway, &row.id.key, error.word(), Some(&error));
                refused.push(row.id.key.clone());
            }
            Entry::Deleted => {}
        }
    }
    let listed = rows.iter().map(|row| row.id.key.as_str());
    let listed: HashSet<&str> = listed.collect();
    let ended = gateway.refusals.borrow_mut().retain(&listed);
    ended
        .iter()
        .for_each(|instance| log_refusal_end(instance, DELETED));
    for record in &records {
        clear_refusal(gateway, &record.identity.instance, VALID);
    }
    let now = gateway.clock.now();
    let in_outage = is_in_outage(gateway);
    let mut directory = gateway.directory.borrow_mut();
    let changes = directory.apply_snapshot(records, &refused, now, in_outage);
    let (listed, others): (Vec<_>, Vec<_>) = changes
        .iter()
        .partition(|(_, change)| *change == ListingChange::Added);
    for (instance, change) in listed.iter().take(MAX_LISTED_LINES).chain(&others) {
        log_listing_change(instance, *change);
    }
    if listed.len() > MAX_LISTED_LINES {
        let event = Event::new(EventKind::EndpointListed).reason("others");
        log_event(&event.count((listed.len() - MAX_LISTED_LINES) as u64));
    }
}

/// Applies a changed row of the table.
pub fn apply_row(gateway: &Gateway, row: &Row) {
    let instance = &row.id.key;
    let now = gateway.clock.now();
    let in_outage = is_in_outage(gateway);
    let change = match decode_entry(row) {
        Entry::Endpoint(record) => {
            clear_refusal(gateway, instance, VALID);
            gateway.directory.borrow_mut().apply_entry(record, now)
        }
        Entry::Invalid(error) => {
            report_refusal(gateway, instance, error.word(), Some(&error));
            gateway.directory.borrow_mut().mark_invalid(instance);
            None
        }
        Entry::Deleted => {
            clear_refusal(gateway, instance, DELETED);
            let mut directory = gateway.directory.borrow_mut();
            directory.apply_deletion(instance, now, in_outage)
        }
    };
    if let Some(change) = change {
        log_listing_change(instance, change);
    }
}

/// Returns true if an entry that is missing now may have expired in an outage of the
/// store.
fn is_in_outage(gateway: &Gateway) -> bool {
    let outage_age = gateway.feeds.time_since_store_unavailable();
    outage_age.is_some_and(|ago| ago < OUTAGE_LAPSE_WINDOW)
}

/// Decoded row of the endpoint table.
enum Entry {
    /// The row describes an endpoint.
    Endpoint(EndpointRecord),
    /// The row describes no usable endpoint.
    Invalid(EntryError),
    /// The row was deleted.
    Deleted,
}

fn decode_entry(row: &Row) -> Entry {
    let Some(value) = &row.value else {
        return Entry::Deleted;
    };
    match endpoints::decode(&row.id.key, value) {
        Ok(record) => Entry::Endpoint(record),
        Err(error) => Entry::Invalid(error),
    }
}

/// Logs and counts an entry that describes no usable endpoint, unless it was already
/// refused. While too many entries are refused, a further one is only counted.
fn report_refusal(
    gateway: &Gateway,
    instance: &str,
    code: &'static str,
    error: Option<&EntryError>,
) {
    let outcome = gateway.refusals.borrow_mut().record_refusal(instance, code);
    if outcome == RecordOutcome::AlreadyRefused {
        return;
    }
    gateway.metrics.count_refused_entry(code);
    if outcome == RecordOutcome::LimitReached {
        return;
    }
    let event = Event::new(EventKind::EntryRefused).endpoint(instance);
    let event = event.reason(code);
    log_event(&match error {
        Some(error) => event.error(error),
        None => event,
    });
}

/// Ends the refusal of an entry, and logs it if the entry was refused.
fn clear_refusal(gateway: &Gateway, instance: &str, end_reason: &'static str) {
    // A refusal for an undeclared service ends when the service is declared, not when a
    // valid entry is read.
    let is_undeclared = gateway.refusals.borrow().reason_code(instance) == Some(UNDECLARED_SERVICE);
    if is_undeclared && end_reason == VALID {
        return;
    }
    if gateway.refusals.borrow_mut().clear(instance) {
        log_refusal_end(instance, end_reason);
    }
}

fn log_refusal_end(instance: &str, end_reason: &'static str) {
    let event = Event::new(EventKind::EntryRefusalEnded).endpoint(instance);
    log_event(&event.reason(end_reason));
}

/// Logs and counts the endpoints whose service operators have not declared. Ends the
/// refusals of those whose service was declared later or whose entry was deleted.
pub fn report_undeclared(gateway: &Gateway) {
    let undeclared = gateway.directory.borrow().undeclared_endpoints();
    for instance in &undeclared {
        report_refusal(gateway, instance, UNDECLARED_SERVICE, None);
    }
    let reported = gateway.refusals.borrow().with_reason(UNDECLARED_SERVICE);
    for instance in reported
        .iter()
        .filter(|reported| !undeclared.contains(reported))
    {
        let is_listed = gateway.directory.borrow().is_listed(instance);
        if gateway.refusals.borrow_mut().clear(instance) {
            log_refusal_end(instance, if is_listed { VALID } else { DELETED });
        }
    }
}

/// Logs a change of an endpoint's listing in the directory.
pub fn log_listing_change(instance: &str, change: ListingChange) {
    let event = match change {
        ListingChange::Added => Event::new(EventKind::EndpointListed),
        ListingChange::Restarted => Event::new(EventKind::EndpointListed).reason("started-again"),
        ListingChange::Draining => Event::new(EventKind::EndpointWithdrawn).reason("draining"),
        ListingChange::Removed => Event::new(EventKind::EndpointWithdrawn).reason("gone"),
    };
    log_event(&event.endpoint(instance));
}
