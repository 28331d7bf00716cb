//! The selection of an endpoint: which conditions move requests to another one.

use std::time::Duration;

use rosebend_coordination::gateway::directory::{Directory, EndpointQuery, ListingChange};
use rosebend_state::deployment::{EndpointIdentity, EndpointLoad, EndpointRecord};

const NOW: Duration = Duration::from_secs(100);
const ZONE: &str = "newport-hall";

fn id(instance: &str) -> EndpointIdentity {
    EndpointIdentity::unknown_start(instance)
}

fn record(instance: &str, zone: &str) -> EndpointRecord {
    EndpointRecord {
        identity: id(instance),
        service: "models".to_owned(),
        address: "127.0.0.1:9".parse().unwrap(),
        availability_zone: zone.to_owned(),
        slots: 8,
        draining: false,
        warming_up: Duration::ZERO,
    }
}

/// Returns a directory with endpoint `a` in the own availability zone, and `b` and
/// `c` in another one.
fn directory() -> Directory {
    let mut directory = Directory::new(ZONE.to_owned());
    directory.apply_entry(record("a", ZONE), NOW);
    directory.apply_entry(record("b", "harbour-hall"), NOW);
    directory.apply_entry(record("c", "harbour-hall"), NOW);
    directory
}

fn load(running: u32, waiting: u32) -> EndpointLoad {
    EndpointLoad {
        running,
        waiting,
        slots: 8,
        work_time_percent: None,
    }
}

/// Returns how often each endpoint is selected for a hundred requests.
fn shares(directory: &Directory, query: EndpointQuery<'_>, now: Duration) -> [usize; 3] {
    let mut shares = [0; 3];
    for number in 0..100 {
        let jitter_key = format!("request-{number}");
        let query = EndpointQuery {
            jitter_key: &jitter_key,
            ..query
        };
        let selection = directory.select("models", query, now, |_| true).unwrap();
        let index = ["a", "b", "c"]
            .iter()
            .position(|name| *name == selection.record.identity.instance);
        shares[index.unwrap()] += 1;
    }
    shares
}

fn turn() -> EndpointQuery<'static> {
    EndpointQuery {
        is_turn: true,
        ..EndpointQuery::default()
    }
}

/// Guards against requests that leave their zone for a small difference in load.
/// With many gateways and many endpoints, each gateway selects each endpoint rarely.
/// Traffic between zones is billed, and an endpoint that is selected once in many
/// seconds needs a new connection each time. Two additional requests at a batching
/// engine delay a request by 7 ms, which is less than the cost of another zone; five
/// additional requests delay it by 19 ms.
#[test]
fn requests_stay_in_their_zone_until_its_endpoints_are_busier() {
    let mut directory = directory();
    assert_eq!(shares(&directory, turn(), NOW), [100, 0, 0]);
    directory.record_report(&id("a"), load(1, 0), NOW);
    assert_eq!(shares(&directory, turn(), NOW), [100, 0, 0]);
    directory.record_report(&id("a"), load(3, 0), NOW);
    let [a, b, c] = shares(&directory, turn(), NOW);
    assert!(a > 0 && b > 0 && c > 0, "{a} {b} {c}");
    directory.record_report(&id("a"), load(5, 0), NOW);
    let [a, b, c] = shares(&directory, turn(), NOW);
    assert!(a == 0 && b > 25 && c > 25, "{a} {b} {c}");
}

#[test]
fn a_warm_endpoint_is_selected_until_waiting_there_costs_more() {
    let b = id("b");
    let warm = EndpointQuery {
        warm_endpoint: Some(&b),
        warm_tokens: 2_000,
        ..turn()
    };
    let mut directory = directory();
    directory.record_report(&id("b"), load(7, 0), NOW);
    assert_eq!(shares(&directory, warm, NOW), [0, 100, 0]);
    directory.record_report(&id("b"), load(8, 4), NOW);
    assert_eq!(shares(&directory, warm, NOW)[1], 0);
}

#[test]
fn a_full_endpoint_is_not_selected_until_its_report_expires() {
    let mut directory = directory();
    directory.record_report(&id("a"), load(8, 3), NOW);
    assert_eq!(shares(&directory, turn(), NOW)[0], 0);
    let later = NOW + Duration::from_secs(2);
    assert!(shares(&directory, turn(), later)[0] > 0);
}

#[test]
fn a_report_of_a_peer_replaces_older_reports_only() {
    let mut directory = directory();
    directory.record_report(&id("a"), load(8, 8), NOW);
    directory.record_peer_report(&id("a"), load(0, 0), NOW - Duration::from_millis(200));
    assert_eq!(shares(&directory, turn(), NOW)[0], 0);
    directory.record_peer_report(&id("a"), load(0, 0), NOW + Duration::from_millis(1));
    assert!(shares(&directory, turn(), NOW)[0] > 0);
    // A report of a peer is not forwarded as one that this gateway received itself.
    assert_eq!(
        directory
            .reports_since(NOW - Duration::from_secs(1))
            .count(),
        0
    );
    directory.record_report(&id("b"), load(1, 0), NOW);
    assert_eq!(
        directory
            .reports_since(NOW - Duration::from_secs(1))
            .count(),
        1
    );
}

#[test]
fn own_requests_count_before_the_endpoint_reports_them() {
    let mut directory = directory();
    for _ in 0..12 {
        directory.record_request_start(&id("a"));
    }
    assert_eq!(shares(&directory, turn(), NOW)[0], 0);
    for _ in 0..12 {
        directory.record_request_end(&id("a"));
    }
    assert!(shares(&directory, turn(), NOW)[0] > 0);
}

#[test]
fn the_backoff_of_an_endpoint_grows_with_each_failure() {
    let mut directory = directory();
    let first = directory.record_failure(&id("a"), NOW).unwrap();
    assert_eq!(shares(&directory, turn(), NOW)[0], 0);
    assert!(directory.record_failure(&id("a"), NOW + first).unwrap() > first);
    // A response ends the backoff, but the failures still count for a while.
    directory.record_response(&id("a"), None, NOW);
    assert_eq!(shares(&directory, turn(), NOW + first)[0], 0);
    assert!(shares(&directory, turn(), NOW + Duration::from_secs(30))[0] > 0);
    // If all endpoints are in backoff, requests are still sent.
    for instance in ["a", "b", "c"] {
        directory.record_failure(&id(instance), NOW);
    }
    assert!(directory.select("models", turn(), NOW, |_| true).is_some());
}

#[test]
fn a_slow_endpoint_receives_fewer_requests() {
    let mut directory = directory();
    for _ in 0..20 {
        directory.record_response(&id("a"), Some(Duration::from_millis(400)), NOW);
        directory.record_response(&id("b"), Some(Duration::from_millis(50)), NOW);
        directory.record_response(&id("c"), Some(Duration::from_millis(50)), NOW);
    }
    assert_eq!(shares(&directory, turn(), NOW)[0], 0);
}

#[test]
fn a_draining_endpoint_receives_no_requests_and_is_reported_once() {
    let mut directory = directory();
    let draining = EndpointRecord {
        draining: true,
        ..record("a", ZONE)
    };
    assert_eq!(
        directory.apply_entry(draining.clone(), NOW),
        Some(ListingChange::Draining)
    );
    assert_eq!(directory.apply_entry(draining, NOW), None);
    assert_eq!(shares(&directory, turn(), NOW)[0], 0);
    assert_eq!(
        directory.apply_deletion("b", NOW, false),
        Some(ListingChange::Removed)
    );
    assert_eq!(shares(&directory, turn(), NOW), [0, 0, 100]);
}

#[test]
fn entries_that_expire_in_an_outage_are_used_last_and_then_dropped() {
    let mut directory = directory();
    assert_eq!(
        directory.apply_snapshot(vec![record("b", ZONE)], &[], NOW, true),
        []
    );
    assert_eq!(shares(&directory, turn(), NOW), [0, 100, 0]);
    let tried = [id("b")];
    let query = EndpointQuery {
        tried: &tried,
        ..turn()
    };
    assert!(directory.select("models", query, NOW, |_| true).is_some());
    // One of the two missing endpoints' entries is written again in time.
    directory.apply_entry(record("a", ZONE), NOW + Duration::from_secs(1));
    assert_eq!(directory.expire(NOW + Duration::from_secs(3)), ["c"]);
    assert!(directory.contains(&id("a")));
}

#[test]
fn an_endpoint_with_an_open_connection_is_preferred_while_loads_are_alike() {
    let mut directory = directory();
    // The selection is between the two endpoints of the other availability zone.
    let tried = [id("a")];
    let chosen = |directory: &Directory, jitter_key: &str| {
        let query = EndpointQuery {
            tried: &tried,
            jitter_key,
            ..turn()
        };
        let selection = directory.select("models", query, NOW, |endpoint| *endpoint == id("c"));
        selection.unwrap().record.identity.instance.clone()
    };
    let subjects: Vec<String> = (0..20).map(|number| format!("request-{number}")).collect();
    let connected = subjects
        .iter()
        .filter(|jitter_key| chosen(&directory, jitter_key) == "c");
    assert!(connected.count() >= 15);
    directory.record_report(&id("c"), load(8, 1), NOW);
    assert!(
        subjects
            .iter()
            .all(|jitter_key| chosen(&directory, jitter_key) == "b")
    );
}

#[test]
fn an_endpoint_that_fails_intermittently_receives_fewer_requests() {
    let mut directory = directory();
    for number in 0..30 {
        if number % 3 == 0 {
            directory.record_failure(&id("a"), NOW);
        } else {
            directory.record_response(&id("a"), None, NOW);
        }
    }
    let later = NOW + Duration::from_secs(3);
    assert_eq!(shares(&directory, turn(), later)[0], 0);
    // The other endpoints are selected although they are busier.
    directory.record_report(&id("b"), load(8, 1), later);
    directory.record_report(&id("c"), load(8, 1), later);
    assert_eq!(shares(&directory, turn(), later)[0], 0);
}

#[test]
fn failures_reported_by_peers_count_and_are_not_forwarded() {
    let mut directory = directory();
    for _ in 0..4 {
        directory.record_peer_failure(&id("a"), NOW);
    }
    assert_eq!(shares(&directory, turn(), NOW)[0], 0);
    assert_eq!(directory.failures_since(Duration::ZERO).count(), 0);
    directory.record_failure(&id("b"), NOW);
    assert_eq!(
        directory.failures_since(NOW).collect::<Vec<_>>(),
        [&id("b")]
    );
}

#[test]
fn an_endpoint_with_an_invalid_entry_receives_no_requests_and_keeps_its_state() {
    let mut directory = directory();
    directory.record_report(&id("b"), load(8, 8), NOW);
    directory.mark_invalid("a");
    directory.mark_invalid("nobody");
    assert_eq!(directory.len(), 2);
    assert_eq!(shares(&directory, turn(), NOW), [0, 0, 100]);
    // A complete read of the table that contains the invalid entries does not remove
    // their endpoints.
    let invalid = ["a".to_owned(), "b".to_owned()];
    assert_eq!(
        directory.apply_snapshot(vec![record("c", ZONE)], &invalid, NOW, false),
        []
    );
    directory.apply_entry(record("a", ZONE), NOW);
    directory.apply_entry(record("b", ZONE), NOW);
    let [a, b, _] = shares(&directory, turn(), NOW);
    assert!(a > 0 && b == 0, "{a} {b}");
}

#[test]
fn endpoints_of_undeclared_services_do_not_count() {
    let mut directory = directory();
    assert_eq!(directory.undeclared_endpoints().len(), 0);
    directory.set_declared_services(["desk".to_owned()]);
    assert!(directory.is_empty());
    assert_eq!(directory.undeclared_endpoints().len(), 3);
    directory.set_declared_services(["desk".to_owned(), "models".to_owned()]);
    assert_eq!(
        (directory.len(), directory.undeclared_endpoints().len()),
        (3, 0)
    );
}

#[test]
fn no_time_or_number_overflows() {
    let mut directory = directory();
    let slow = EndpointRecord {
        warming_up: Duration::MAX,
        ..record("a", ZONE)
    };
    directory.apply_deletion("a", NOW, false);
    directory.apply_entry(slow, NOW);
    directory.record_report(&id("a"), load(u32::MAX, u32::MAX), NOW);
    assert_eq!(shares(&directory, turn(), NOW)[0], 0);
}
