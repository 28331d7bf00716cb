//! What operators and endpoints wrote to the store, followed as it changes.

use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use rosebend_coordination::gateway::directory::Listing;
use rosebend_coordination::gateway::route_table::RouteTable;
use rosebend_platform::endpoints::EntryError;
use rosebend_platform::{deployment, endpoints};
use rosebend_state::deployment::{EndpointRecord, Row, RowVersion};
use rosebend_transport::event::{Event, EventKind, log_event};
use rosebend_transport::store::StoreError;

use crate::gateway::Gateway;

/// How long a feed waits for a change. Short, since a connection may fall
/// silent, and what is believed must not be older than two seconds.
const FEED_WAIT: Duration = Duration::from_millis(1_300);
/// Pause between two feeds of endpoints. Every endpoint writes about once a
/// second, so that a feed without a pause would answer at once each time.
const ENDPOINT_PAUSE: Duration = Duration::from_millis(550);
/// Pause after a failure.
const RETRY_PAUSE: Duration = Duration::from_millis(120);
/// How long after an outage an entry that vanished counts as lapsed in it.
const LAPSE_SPAN: Duration = Duration::from_secs(2);
/// Time between two rounds of tidying up.
const TIDY_INTERVAL: Duration = Duration::from_millis(500);

/// Reason of an entry whose service nobody has declared.
const UNDECLARED: &str = "service";
/// How the refusal of an entry ended: it names an endpoint now.
const GOOD: &str = "good";
/// How the refusal of an entry ended: it was deleted.
const GONE: &str = "gone";

/// Follows the declared routes for ever.
pub async fn follow_routes(gateway: Rc<Gateway>) {
    let mut version = None;
    loop {
        match routes_once(&gateway, version).await {
            Ok(newest) => version = Some(newest),
            // The client has logged that the store is lost.
            Err(_) => {
                version = None;
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

async fn routes_once(
    gateway: &Gateway,
    after: Option<RowVersion>,
) -> Result<RowVersion, StoreError> {
    let rows = match after {
        None => gateway.store.read_table(deployment::TABLE).await?,
        Some(after) => {
            gateway
                .store
                .feed(deployment::TABLE, after, FEED_WAIT)
                .await?
        }
    };
    for row in &rows.rows {
        take_routes(gateway, row);
    }
    Ok(rows.version)
}

fn take_routes(gateway: &Gateway, row: &Row) {
    let Some(value) = row.value.as_ref().filter(|_| row.id.key == deployment::KEY) else {
        return;
    };
    match deployment::decode(value) {
        Ok(deployment) => {
            let version = deployment.version;
            if gateway.put_in_force(RouteTable::new(deployment)) {
                log_event(&Event::new(EventKind::RoutesInForce).version(version));
                note_undeclared(gateway);
            }
        }
        Err(error) => log_event(&Event::new(EventKind::RoutesUnreadable).error(&error)),
    }
}

/// Follows the endpoints for ever.
pub async fn follow_endpoints(gateway: Rc<Gateway>) {
    let mut version = None;
    loop {
        match endpoints_once(&gateway, version).await {
            Ok(newest) => {
                version = Some(newest);
                tokio::time::sleep(ENDPOINT_PAUSE).await;
            }
            // The client has logged that the store is lost.
            Err(_) => {
                version = None;
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

async fn endpoints_once(
    gateway: &Gateway,
    after: Option<RowVersion>,
) -> Result<RowVersion, StoreError> {
    let rows = match after {
        None => gateway.store.read_table(endpoints::TABLE).await?,
        Some(after) => {
            gateway
                .store
                .feed(endpoints::TABLE, after, FEED_WAIT)
                .await?
        }
    };
    match after {
        None => take_all(gateway, &rows.rows),
        Some(_) => rows.rows.iter().for_each(|row| take_entry(gateway, row)),
    }
    note_undeclared(gateway);
    Ok(rows.version)
}

/// Takes the rows of a whole read.
fn take_all(gateway: &Gateway, rows: &[Row]) {
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
    let in_outage = gateway.store.was_away_within(LAPSE_SPAN);
    let mut directory = gateway.directory.borrow_mut();
    for (instance, change) in directory.replace(records, &refused, now, in_outage) {
        log_listing(&instance, change);
    }
}

/// Takes a row of a feed.
fn take_entry(gateway: &Gateway, row: &Row) {
    let instance = &row.id.key;
    let now = gateway.clock.now();
    let in_outage = gateway.store.was_away_within(LAPSE_SPAN);
    let change = match read_entry(row) {
        Entry::Endpoint(record) => {
            end_refusal(gateway, instance, GOOD);
            gateway.directory.borrow_mut().announce(record, now)
        }
        Entry::Refused(error) => {
            note_refusal(gateway, instance, error.word(), Some(&error));
            gateway.directory.borrow_mut().refuse(instance);
            None
        }
        Entry::Gone => {
            end_refusal(gateway, instance, GONE);
            let mut directory = gateway.directory.borrow_mut();
            directory.withdraw(instance, now, in_outage)
        }
    };
    if let Some(change) = change {
        log_listing(instance, change);
    }
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
    if !gateway.refusals.borrow_mut().note(instance, word) {
        return;
    }
    gateway.metrics.count_refused_entry(word);
    let event = Event::new(EventKind::EntryRefused).endpoint(instance);
    let event = event.reason(word);
    log_event(&match error {
        Some(error) => event.error(error),
        None => event,
    });
}

fn end_refusal(gateway: &Gateway, instance: &str, how: &'static str) {
    // One of an undeclared service ends when the service is declared.
    let is_undeclared = gateway.refusals.borrow().word(instance) == Some(UNDECLARED);
    if is_undeclared && how == GOOD {
        return;
    }
    if gateway.refusals.borrow_mut().end(instance) {
        log_end(instance, how);
    }
}

fn log_end(instance: &str, how: &'static str) {
    let event = Event::new(EventKind::EntryRefusalEnded).endpoint(instance);
    log_event(&event.reason(how));
}

/// Tells which endpoints are of a service that nobody has declared. It may be
/// declared later.
fn note_undeclared(gateway: &Gateway) {
    let undeclared = gateway.directory.borrow().undeclared();
    for instance in &undeclared {
        note_refusal(gateway, instance, UNDECLARED, None);
    }
    let known = gateway.refusals.borrow().for_word(UNDECLARED);
    for instance in known.iter().filter(|known| !undeclared.contains(known)) {
        if gateway.refusals.borrow_mut().end(instance) {
            log_end(instance, GOOD);
        }
    }
}

fn log_listing(instance: &str, change: Listing) {
    let event = match change {
        Listing::Listed => Event::new(EventKind::EndpointListed),
        Listing::StartedAgain => Event::new(EventKind::EndpointListed).reason("started-again"),
        Listing::Draining => Event::new(EventKind::EndpointWithdrawn).reason("draining"),
        Listing::Gone => Event::new(EventKind::EndpointWithdrawn).reason("gone"),
    };
    log_event(&event.endpoint(instance));
}

/// Drops what is not needed any more and tells changes of readiness, for ever.
pub async fn tidy(gateway: Rc<Gateway>) {
    let mut was_ready = false;
    loop {
        tokio::time::sleep(TIDY_INTERVAL).await;
        let now = gateway.clock.now();
        for instance in gateway.directory.borrow_mut().expire(now) {
            let event = Event::new(EventKind::EndpointWithdrawn).reason("lapsed");
            log_event(&event.endpoint(&instance));
        }
        let readiness = gateway.readiness();
        if readiness.is_ok() != was_ready {
            was_ready = readiness.is_ok();
            let reason = readiness.err().unwrap_or("ready");
            log_event(&Event::new(EventKind::ReadyChanged).reason(reason));
        }
        gateway.crashes.borrow_mut().expire(now);
        let directory = gateway.directory.borrow();
        let mut pool = gateway.pool.borrow_mut();
        pool.expire(now, |endpoint| directory.contains(endpoint));
    }
}
