//! Whose request it is, and when a host says that it is nobody's.

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
fn a_key_tells_whose_request_it_is() {
    let declared = deployment(Some(customers()));
    let whose = |text: Option<&str>| {
        let key = text.map(key);
        let customer = identify(&declared, &route(false), key.as_ref())?;
        Ok(customer.map(|customer| customer.name.clone()))
    };
    assert_eq!(whose(Some("ship-key")), Ok(Some("ship".to_owned())));
    assert_eq!(whose(Some("ship-kez")), Err(IdentityError::UnknownKey));
    assert_eq!(whose(Some("shared-key")), Err(IdentityError::KeyUnusable));
    assert_eq!(whose(None), Err(IdentityError::NoKey));
}

#[test]
fn no_key_is_looked_at_where_none_is_wanted() {
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
fn where_some_keys_cannot_be_read_none_is_called_unknown() {
    let mut customers = customers();
    customers.has_unreadable_keys = true;
    let declared = deployment(Some(customers));
    let key = key("strangers-key");
    let customer = identify(&declared, &route(false), Some(&key));
    assert_eq!(customer, Err(IdentityError::KeyUnusable));
}

#[test]
fn routes_are_doubted_once_they_were_not_confirmed_for_a_while() {
    let mut confirmation = Confirmation::default();
    confirmation.confirm(Duration::from_secs(10));
    assert!(!confirmation.is_doubted(Duration::from_secs(12)));
    assert!(confirmation.is_doubted(Duration::from_secs(13)));
    confirmation.confirm(Duration::from_secs(13));
    assert!(!confirmation.is_doubted(Duration::from_secs(13)));
}
