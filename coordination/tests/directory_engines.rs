//! Tests the list of engines that an engine scheduler works with. A draining engine in
//! it would get turns that it refuses; a missing speed must not count as a fast one.

use std::time::Duration;

use rosebend_coordination::gateway::directory::{Directory, RequestReport};
use rosebend_state::deployment::{EndpointIdentity, EndpointLoad, EndpointRecord};

const ZONE: &str = "newport-hall";
const NOW: Duration = Duration::from_secs(100);

fn id(instance: &str) -> EndpointIdentity {
    EndpointIdentity::unknown_start(instance)
}

fn record(instance: &str, service: &str, zone: &str) -> EndpointRecord {
    EndpointRecord {
        identity: id(instance),
        service: service.to_owned(),
        address: "127.0.0.1:9".parse().unwrap(),
        availability_zone: zone.to_owned(),
        slots: 6,
        draining: false,
        warming_up: Duration::ZERO,
    }
}

fn directory() -> Directory {
    let mut directory = Directory::new(ZONE.to_owned());
    for instance in ["c", "a", "b"] {
        directory.apply_entry(record(instance, "models", ZONE), NOW);
    }
    directory.apply_entry(record("other-zone", "models", "harbour-hall"), NOW);
    directory.apply_entry(record("other-service", "tools", ZONE), NOW);
    directory
}

fn load(running: u32, waiting: u32, work_time_percent: Option<u32>) -> EndpointLoad {
    EndpointLoad {
        running,
        waiting,
        slots: 6,
        work_time_percent,
    }
}

#[test]
fn engines_of_one_service_and_zone_are_listed_by_id() {
    let mut directory = directory();
    let mut draining = record("c", "models", ZONE);
    draining.draining = true;
    directory.apply_entry(draining, NOW);
    let engines = directory.engines("models", ZONE, NOW);
    let ids: Vec<&str> = engines
        .iter()
        .map(|engine| &*engine.identity.instance)
        .collect();
    assert_eq!(ids, ["a", "b"]);
    assert_eq!(engines[0].slots, 6);
    assert_eq!(engines[0].work_time_percent, 100);
    assert_eq!(engines[0].report, None);
    assert!(!engines[0].is_avoided);
}

/// Guards against a list of all zones that differs from those of the single zones, and
/// against zones without usable engines in it, in which a turn would be asked for.
#[test]
fn engines_of_all_zones_are_those_of_each_zone() {
    let mut directory = directory();
    let mut draining = record("left", "models", "north-hall");
    draining.draining = true;
    directory.apply_entry(draining, NOW);
    directory.record_report(&id("a"), load(4, 3, Some(250)), NOW);
    let zones = directory.engines_by_zone("models", NOW);
    let names: Vec<&str> = zones.keys().map(String::as_str).collect();
    assert_eq!(names, ["harbour-hall", ZONE]);
    for (zone, engines) in &zones {
        assert_eq!(*engines, directory.engines("models", zone, NOW));
    }
}

#[test]
fn an_engine_has_its_report_with_its_age_and_its_speed() {
    let mut directory = directory();
    directory.record_report(&id("a"), load(4, 3, Some(250)), NOW);
    directory.record_report(&id("b"), load(u32::MAX, 9, Some(0)), NOW);
    let later = NOW + Duration::from_millis(300);
    let engines = directory.engines("models", ZONE, later);
    let report = RequestReport {
        requests: 7,
        age: Duration::from_millis(300),
    };
    assert_eq!(engines[0].report, Some(report));
    assert_eq!(engines[0].work_time_percent, 250);
    assert_eq!(engines[1].report.unwrap().requests, u32::MAX);
    assert_eq!(engines[1].work_time_percent, 100);
    // A speed counts for 5 s only.
    let engines = directory.engines("models", ZONE, NOW + Duration::from_secs(5));
    assert_eq!(engines[0].work_time_percent, 100);
}

#[test]
fn engines_in_backoff_and_failing_ones_are_avoided() {
    let mut directory = directory();
    directory.record_failure(&id("a"), NOW);
    for _ in 0..4 {
        directory.record_peer_failure(&id("b"), NOW);
    }
    let avoided = |now| {
        let engines = directory.engines("models", ZONE, now);
        engines
            .iter()
            .map(|engine| engine.is_avoided)
            .collect::<Vec<_>>()
    };
    assert_eq!(avoided(NOW), [true, true, false]);
    assert_eq!(avoided(NOW + Duration::from_secs(1)), [false, true, false]);
    assert_eq!(
        avoided(NOW + Duration::from_secs(20)),
        [false, false, false]
    );
}
