//! What of a declared version can't be used, written to the log once.

use rosebend_coordination::gateway::route_table::RouteTable;
use rosebend_transport::event::{Event, EventKind, log_event};

/// Lines about routes, and about customers, of one version that can't be used; each
/// tells how many there are.
const MAX_UNUSABLE_LINES: usize = 8;

/// Writes which routes of a version can't be used, once and the first of them.
pub fn log_routes(routes: &RouteTable) {
    let unusable = routes.unusable_routes();
    let version = routes.deployment().version;
    for route in unusable.iter().take(MAX_UNUSABLE_LINES) {
        let event = Event::new(EventKind::RouteUnusable).version(version);
        let event = event.route(&route.name).count(unusable.len() as u64);
        log_event(&event.error(&UnusableReason(&route.reason)));
    }
}

/// Writes which customers of a version can't be used, once and the first of them.
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

/// Why a route can't be used, as an error for the log.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
struct UnusableReason<'a>(&'a str);
