//! Identification of a request's customer, and the errors if there is none.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use rosebend_coordination::gateway::identity::{Confirmation, IdentityError, identify};
use rosebend_state::deployment::{
    CallerLimits, Customer, CustomerKey, Customers, Deployment, KeyOwner, Route, RouteKind,
};

fn route(is_public: bool) -> Route {
    Route {
        name: "lookup".to_owned(),
        host: "desk.example".to_owned(),
        prefix: "/".to_owned(),
        kind: RouteKind::Idempotent,
        targets: Vec::new(),
        timeout: Duration::from_secs(1),
        objective: Duration::from_secs(1),
        priority: 0,
        max_attempts: 1,
        keeps_history: false,
        retention: Duration::ZERO,
        sticky: false,
        resumable: false,
        event_gap: Duration::ZERO,
        is_public,
    }
}

fn deployment(customers: Option<Customers>) -> Deployment {
    Deployment {
        version: 1,
        routes: Vec::new(),
        unusable_routes: Vec::new(),
        services: HashMap::new(),
        limits: CallerLimits {
            max_header_bytes: 1,
            max_body_bytes: 1,
            header_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(1),
        },
        customers,
    }
}

fn key(text: &str) -> CustomerKey {
    CustomerKey::new(text)
}

fn customers() -> Customers {
    let ship = Arc::new(Customer::new("ship".to_owned()));
    let owners = [
        (key("ship-key").digest(), KeyOwner::Customer(ship)),
        (key("shared-key").digest(), KeyOwner::Unusable),
    ];
    Customers {
        owners: owners.into(),
        ..Customers::default()
    }
}

#[test]
fn a_key_identifies_the_customer() {
    let declared = deployment(Some(customers()));
    let identify_key = |text: Option<&str>| {
        let key = text.map(key);
        let customer = identify(&declared, &route(false), key.as_ref())?;
        Ok(customer.map(|customer| customer.name.clone()))
    };
    assert_eq!(identify_key(Some("ship-key")), Ok(Some("ship".to_owned())));
    assert_eq!(
        identify_key(Some("ship-kez")),
        Err(IdentityError::UnknownKey)
    );
    assert_eq!(
        identify_key(Some("shared-key")),
        Err(IdentityError::KeyUnusable)
    );
    assert_eq!(identify_key(None), Err(IdentityError::NoKey));
}

#[test]
fn keys_are_ignored_where_none_is_required() {
    let public = deployment(Some(customers()));
    let open = deployment(None);
    for (deployment, is_public) in [(public, true), (open, false)] {
        for text in ["ship-key", "strangers-key"] {
            let key = key(text);
            let customer = identify(&deployment, &route(is_public), Some(&key));
            assert_eq!(customer, Ok(None));
        }
    }
}

#[test]
fn no_key_is_unknown_while_some_keys_are_unreadable() {
    let mut customers = customers();
    customers.has_unreadable_keys = true;
    let declared = deployment(Some(customers));
    let key = key("strangers-key");
    let customer = identify(&declared, &route(false), Some(&key));
    assert_eq!(customer, Err(IdentityError::KeyUnusable));
}

#[test]
fn routes_are_stale_if_they_were_not_confirmed_recently() {
    let mut confirmation = Confirmation::default();
    confirmation.confirm(Duration::from_secs(10));
    assert!(!confirmation.is_stale(Duration::from_secs(12)));
    assert!(confirmation.is_stale(Duration::from_secs(13)));
    confirmation.confirm(Duration::from_secs(13));
    assert!(!confirmation.is_stale(Duration::from_secs(13)));
}
