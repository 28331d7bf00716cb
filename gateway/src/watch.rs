//! What operators and endpoints wrote to the store, followed as it changes.

use std::rc::Rc;
use std::time::Duration;

use rosebend_coordination::gateway::route_table::RouteTable;
use rosebend_platform::{deployment, endpoints};
use rosebend_state::deployment::{Row, RowVersion};
use rosebend_transport::event::{Event, EventKind, log_event};
use rosebend_transport::store::StoreError;

use crate::entries;
use crate::gateway::Gateway;

/// How long a feed waits for a change. Short, since a connection may fall
/// silent, and what is believed must not be older than two seconds.
const FEED_WAIT: Duration = Duration::from_millis(1_300);
/// Pause between two feeds of endpoints. Every endpoint writes about once a
/// second, so that a feed without a pause would answer at once each time.
const ENDPOINT_PAUSE: Duration = Duration::from_millis(550);
/// Pause after a failure.
const RETRY_PAUSE: Duration = Duration::from_millis(120);
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
    gateway.confirm_routes();
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
                entries::note_undeclared(gateway);
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
        None => entries::take_all(gateway, &rows.rows),
        Some(_) => rows.rows.iter().for_each(|row| entries::take(gateway, row)),
    }
    entries::note_undeclared(gateway);
    Ok(rows.version)
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
