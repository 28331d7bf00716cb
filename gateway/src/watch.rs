//! Follows the tables of the store that operators and endpoints write, and applies
//! their changes to the routes and to the directory of endpoints.

use std::rc::Rc;
use std::time::Duration;

use rosebend_coordination::gateway::route_table::RouteTable;
use rosebend_platform::deployment;
use rosebend_state::deployment::Row;
use rosebend_transport::event::{Event, EventKind, log_event};

use crate::entries;
use crate::feeds::{FollowedTable, TableUpdate};
use crate::gateway::Gateway;
use crate::quarantine;

/// Delay before a table is read again after an error.
const RETRY_PAUSE: Duration = Duration::from_millis(120);
/// Time between two runs of the periodic maintenance.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(500);

/// Follows the declared routes. Never returns.
pub async fn follow_routes(gateway: Rc<Gateway>) {
    loop {
        match gateway.feeds.next(FollowedTable::Routes).await {
            Ok(followed) => {
                for row in &followed.rows {
                    apply_routes(&gateway, row);
                }
                gateway.confirm_routes(followed.current_at);
            }
            // The store client has already logged that the store is unreachable.
            Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
        }
    }
}

/// Puts the routes of a row in force, unless they are invalid or not newer than those
/// in force.
fn apply_routes(gateway: &Gateway, row: &Row) {
    let Some(value) = row.value.as_ref().filter(|_| row.id.key == deployment::KEY) else {
        return;
    };
    match deployment::decode(value) {
        Ok(deployment) => {
            let version = deployment.version;
            if gateway.apply_routes(RouteTable::new(deployment)) {
                log_event(&Event::new(EventKind::RoutesInForce).version(version));
                entries::report_undeclared(gateway);
            }
        }
        Err(error) => log_event(&Event::new(EventKind::RoutesUnreadable).error(&error)),
    }
}

/// Follows the table of endpoints. Never returns.
pub async fn follow_endpoints(gateway: Rc<Gateway>) {
    loop {
        match gateway.feeds.next(FollowedTable::Endpoints).await {
            Ok(followed) => {
                apply_endpoints(&gateway, &followed);
                if followed.is_from_store {
                    tokio::time::sleep(FollowedTable::Endpoints.store_pause()).await;
                }
            }
            // The store client has already logged that the store is unreachable.
            Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
        }
    }
}

/// Applies changes of the endpoint table, or the complete table, to the directory.
fn apply_endpoints(gateway: &Gateway, followed: &TableUpdate) {
    match followed.is_whole {
        true => entries::apply_table(gateway, &followed.rows),
        false => {
            let rows = followed.rows.iter();
            rows.for_each(|row| entries::apply_row(gateway, row));
        }
    }
    entries::report_undeclared(gateway);
}

/// Removes expired endpoints, crashes and connections periodically, and logs changes of
/// the process's readiness. Never returns.
pub async fn run_maintenance(gateway: Rc<Gateway>) {
    loop {
        tokio::time::sleep(MAINTENANCE_INTERVAL).await;
        let now = gateway.clock.now();
        // This precedes `expire`, which drops the stored entries of earlier incarnations
        // of removed endpoints.
        let adopted = gateway.directory.borrow_mut().adopt_older_incarnations(now);
        for (instance, change) in adopted {
            entries::log_listing_change(&instance, change);
        }
        for instance in gateway.directory.borrow_mut().expire(now) {
            let event = Event::new(EventKind::EndpointWithdrawn).reason("lapsed");
            log_event(&event.endpoint(&instance));
        }
        gateway.update_readiness();
        quarantine::expire(&gateway);
        let directory = gateway.directory.borrow();
        let mut pool = gateway.pool.borrow_mut();
        pool.expire(now, |endpoint| directory.contains(endpoint));
    }
}
