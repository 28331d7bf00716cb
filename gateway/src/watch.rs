//! What operators and endpoints wrote to the store, followed as it changes.

use std::rc::Rc;
use std::time::Duration;

use rosebend_coordination::gateway::route_table::RouteTable;
use rosebend_platform::deployment;
use rosebend_state::deployment::Row;
use rosebend_transport::event::{Event, EventKind, log_event};

use crate::entries;
use crate::feeds::{FollowedTable, TableUpdate};
use crate::gateway::Gateway;

/// Pause after a failure.
const RETRY_PAUSE: Duration = Duration::from_millis(120);
/// Time between two rounds of tidying up.
const TIDY_INTERVAL: Duration = Duration::from_millis(500);

/// Follows the declared routes for ever.
pub async fn follow_routes(gateway: Rc<Gateway>) {
    loop {
        match gateway.feeds.next(FollowedTable::Routes).await {
            Ok(followed) => {
                for row in &followed.rows {
                    take_routes(&gateway, row);
                }
                gateway.confirm_routes(followed.current_at);
            }
            // The client has logged that the store is lost.
            Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
        }
    }
}

fn take_routes(gateway: &Gateway, row: &Row) {
    let Some(value) = row.value.as_ref().filter(|_| row.id.key == deployment::KEY) else {
        return;
    };
    match deployment::decode(value) {
        Ok(deployment) => {
            let version = deployment.version;
            if gateway.apply_routes(RouteTable::new(deployment)) {
                log_event(&Event::new(EventKind::RoutesInForce).version(version));
                entries::note_undeclared(gateway);
            }
        }
        Err(error) => log_event(&Event::new(EventKind::RoutesUnreadable).error(&error)),
    }
}

/// Follows the endpoints for ever.
pub async fn follow_endpoints(gateway: Rc<Gateway>) {
    loop {
        match gateway.feeds.next(FollowedTable::Endpoints).await {
            Ok(followed) => {
                take_endpoints(&gateway, &followed);
                if followed.is_from_store {
                    tokio::time::sleep(FollowedTable::Endpoints.store_pause()).await;
                }
            }
            // The client has logged that the store is lost.
            Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
        }
    }
}

fn take_endpoints(gateway: &Gateway, followed: &TableUpdate) {
    match followed.is_whole {
        true => entries::take_all(gateway, &followed.rows),
        false => {
            let rows = followed.rows.iter();
            rows.for_each(|row| entries::take(gateway, row));
        }
    }
    entries::note_undeclared(gateway);
}

/// Drops what is not needed any more and tells changes of readiness, for ever.
pub async fn tidy(gateway: Rc<Gateway>) {
    loop {
        tokio::time::sleep(TIDY_INTERVAL).await;
        let now = gateway.clock.now();
        // Before others are forgotten whose entries are gone.
        let earlier = gateway.directory.borrow_mut().adopt_older_incarnations(now);
        for (instance, change) in earlier {
            entries::log_listing(&instance, change);
        }
        for instance in gateway.directory.borrow_mut().expire(now) {
            let event = Event::new(EventKind::EndpointWithdrawn).reason("lapsed");
            log_event(&event.endpoint(&instance));
        }
        gateway.update_readiness();
        gateway.crashes.borrow_mut().expire(now);
        let directory = gateway.directory.borrow();
        let mut pool = gateway.pool.borrow_mut();
        pool.expire(now, |endpoint| directory.contains(endpoint));
    }
}
