//! What operators and endpoints wrote to the store, followed as it changes.

use std::rc::Rc;
use std::time::Duration;

use rosebend_coordination::gateway::directory::Listing;
use rosebend_coordination::gateway::route_table::RouteTable;
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
    let now = gateway.clock.now();
    let in_outage = gateway.store.was_away_within(LAPSE_SPAN);
    let mut directory = gateway.directory.borrow_mut();
    if after.is_none() {
        let records = rows.rows.iter().filter_map(decode_endpoint).collect();
        for (instance, change) in directory.replace(records, now, in_outage) {
            log_listing(&instance, change);
        }
        return Ok(rows.version);
    }
    for row in &rows.rows {
        let change = match decode_endpoint(row) {
            Some(record) => directory.announce(record, now),
            None => directory.withdraw(&row.id.key, now, in_outage),
        };
        if let Some(change) = change {
            log_listing(&row.id.key, change);
        }
    }
    Ok(rows.version)
}

fn log_listing(instance: &str, change: Listing) {
    let event = match change {
        Listing::Listed => Event::new(EventKind::EndpointListed),
        Listing::Draining => Event::new(EventKind::EndpointWithdrawn).reason("draining"),
        Listing::Gone => Event::new(EventKind::EndpointWithdrawn).reason("gone"),
    };
    log_event(&event.endpoint(instance));
}

fn decode_endpoint(row: &Row) -> Option<EndpointRecord> {
    let value = row.value.as_ref()?;
    match endpoints::decode(&row.id.key, value) {
        Ok(record) => Some(record),
        Err(error) => {
            let event = Event::new(EventKind::RoutesUnreadable);
            log_event(&event.endpoint(&row.id.key).error(&error));
            None
        }
    }
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
        pool.expire(now, |instance| directory.contains(instance));
    }
}
