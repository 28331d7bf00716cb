//! Tests the selection of routes if some of them have invalid values.

use std::collections::HashMap;
use std::time::Duration;

use rosebend_coordination::gateway::route_table::{RouteError, RouteTable};
use rosebend_state::deployment::{
    CallerLimits, Deployment, Route, RouteKind, RouteTarget, UnusableRoute,
};

const HOST: &str = "desk.example";

fn route(name: &str, prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: HOST.to_owned(),
        prefix: prefix.to_owned(),
        kind: RouteKind::Idempotent,
        targets: vec![RouteTarget {
            service: "desk".to_owned(),
            weight: 1,
        }],
        timeout: Duration::from_secs(3),
        objective: Duration::from_secs(1),
        priority: 0,
        max_attempts: 1,
        keeps_history: false,
        retention: Duration::ZERO,
        sticky: false,
        resumable: false,
        event_gap: Duration::ZERO,
        is_public: false,
    }
}

fn unusable(name: &str, prefix: &str) -> UnusableRoute {
    UnusableRoute {
        name: name.to_owned(),
        host: "Desk.Example".to_owned(),
        prefix: prefix.to_owned(),
        reason: "a reason".to_owned(),
    }
}

fn table() -> RouteTable {
    RouteTable::new(Deployment {
        version: 1,
        routes: vec![route("all", "/"), route("inner", "/fee/inner/")],
        unusable_routes: vec![unusable("fee", "/fee/")],
        services: HashMap::new(),
        limits: CallerLimits {
            max_header_bytes: 1,
            max_body_bytes: 1,
            header_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(1),
        },
        customers: None,
    })
}

#[test]
fn requests_of_an_unusable_route_match_no_shorter_prefix() {
    let table = table();
    let name = |host, path| table.route(host, path).map(|route| route.name.as_str());
    assert_eq!(name(HOST, "/else"), Ok("all"));
    assert_eq!(name(HOST, "/fee/x"), Err(RouteError::Unusable));
    assert_eq!(name("DESK.example:80", "/fee/x"), Err(RouteError::Unusable));
    assert_eq!(name(HOST, "/fee/inner/x"), Ok("inner"));
    assert_eq!(name("other.example", "/fee/x"), Err(RouteError::Unknown));
    assert_eq!(name(HOST, "no path"), Err(RouteError::Unknown));
}
