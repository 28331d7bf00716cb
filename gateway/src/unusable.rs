//! Logs the routes and customers of a deployment version that can't be used, once
//! for each version.

use rosebend_coordination::gateway::route_table::RouteTable;
use rosebend_transport::event::{Event, EventKind, log_event};

/// Maximum number of unusable routes, and of unusable customers, of one version that
/// are logged. Each event holds the total number.
const MAX_UNUSABLE_LINES: usize = 8;

/// Logs the routes of a version that can't be used, up to `MAX_UNUSABLE_LINES`.
pub fn log_routes(routes: &RouteTable) {
    let unusable = routes.unusable_routes();
    let version = routes.deployment().version;
    for route in unusable.iter().take(MAX_UNUSABLE_LINES) {
        let event = Event::new(EventKind::RouteUnusable).version(version);
        let event = event.route(&route.name).count(unusable.len() as u64);
        log_event(&event.error(&UnusableReason(&route.reason)));
    }
}

/// Logs the customers of a version that can't be used, up to `MAX_UNUSABLE_LINES`.
pub fn log_customers(routes: &RouteTable) {
    let deployment = routes.deployment();
    let Some(customers) = &deployment.customers else {
        return;
    };
    let count = customers.unusable.len() as u64;
    for customer in customers.unusable.iter().take(MAX_UNUSABLE_LINES) {
        let event = Event::new(EventKind::CustomerUnusable).version(deployment.version);
        let event = event.count(count).reason(customer.reason);
        log_event(&match &customer.name {
            Some(name) => event.customer(name),
            None => event,
        });
    }
}

/// Reason for which a route can't be used, as an error for the log.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
struct UnusableReason<'a>(&'a str);
