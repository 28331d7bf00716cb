//! What operators and endpoints wrote to the store, followed as it changes.

use std::rc::Rc;
use std::time::Duration;

use rosebend_coordination::gateway::route_table::RouteTable;
use rosebend_platform::{deployment, endpoints};
use rosebend_state::deployment::{EndpointRecord, Row, RowVersion};

use crate::gateway::Gateway;
use crate::store::StoreError;

/// How long a feed waits for a change. Short, since a connection may fall
/// silent, and what is believed must not be older than two seconds.
const FEED_WAIT: Duration = Duration::from_millis(900);
/// Pause between two feeds of endpoints. Every endpoint writes about once a
/// second, so that a feed without a pause would answer at once each time.
const ENDPOINT_PAUSE: Duration = Duration::from_millis(350);
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
            Err(error) => {
                log::debug!("routes: {error}");
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
                log::info!("routes of version {version} are in force");
            }
        }
        Err(error) => log::error!("the declared routes cannot be read: {error}"),
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
            Err(error) => {
                log::debug!("endpoints: {error}");
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
        directory.replace(records, now, in_outage);
        return Ok(rows.version);
    }
    for row in &rows.rows {
        match decode_endpoint(row) {
            Some(record) => directory.announce(record, now),
            None => directory.withdraw(&row.id.key, now, in_outage),
        }
    }
    Ok(rows.version)
}

fn decode_endpoint(row: &Row) -> Option<EndpointRecord> {
    let value = row.value.as_ref()?;
    match endpoints::decode(&row.id.key, value) {
        Ok(record) => Some(record),
        Err(error) => {
            log::error!(
                "the entry of endpoint {} cannot be read: {error}",
                row.id.key
            );
            None
        }
    }
}

/// Drops what is not needed any more, for ever.
pub async fn tidy(gateway: Rc<Gateway>) {
    loop {
        tokio::time::sleep(TIDY_INTERVAL).await;
        let now = gateway.clock.now();
        gateway.directory.borrow_mut().expire(now);
        gateway.crashes.borrow_mut().expire(now);
        let directory = gateway.directory.borrow();
        let mut pool = gateway.pool.borrow_mut();
        pool.expire(now, |instance| directory.contains(instance));
    }
}
