//! Which requests count as crashing endpoints.

use std::time::Duration;

use rosebend_coordination::gateway::fingerprint::{CrashCounts, MAX_CRASHES, MEMORY, fingerprint};

use rosebend_state::deployment::EndpointIdentity;

const NOW: Duration = Duration::from_secs(100);

fn start(instance: &str, started_ms: u64) -> EndpointIdentity {
    EndpointIdentity {
        instance: instance.to_owned(),
        started_ms: Some(started_ms),
    }
}

fn crashed(request: u64, times: usize) -> CrashCounts {
    let mut counts = CrashCounts::default();
    for number in 0..times {
        counts.add(request, &start(&format!("i-{number}"), 1), NOW);
    }
    counts
}

#[test]
fn a_request_is_refused_after_its_third_crash_for_a_while() {
    let request = fingerprint("desk.example", "/fee/1", "10.0.0.7", b"poison");
    assert!(!crashed(request, MAX_CRASHES - 1).is_refused(request, NOW));
    let mut counts = crashed(request, MAX_CRASHES);
    assert!(counts.is_refused(request, NOW));
    assert!(!counts.is_refused(request + 1, NOW));
    assert!(!counts.is_refused(request, NOW + MEMORY));
    counts.expire(NOW + MEMORY);
    assert_eq!(counts.count(request, NOW), 0);
}

#[test]
fn the_same_crash_counts_once_and_an_answer_clears() {
    let request = fingerprint("desk.example", "/fee/1", "10.0.0.7", b"fee");
    let mut counts = CrashCounts::default();
    for _ in 0..5 {
        counts.add(request, &start("i-1", 1), NOW);
    }
    assert_eq!(counts.count(request, NOW), 1);
    counts.clear(request);
    assert_eq!(counts.count(request, NOW), 0);
}

#[test]
fn path_caller_and_body_tell_requests_apart() {
    let table = [
        fingerprint("h", "/a", "c", b"x"),
        fingerprint("h", "/b", "c", b"x"),
        fingerprint("h", "/a", "d", b"x"),
        fingerprint("h", "/a", "c", b"y"),
        fingerprint("i", "/a", "c", b"x"),
    ];
    for (index, one) in table.iter().enumerate() {
        assert!(!table[index + 1..].contains(one), "{index}");
    }
}

#[test]
fn crashes_of_several_starts_under_one_id_count_each() {
    let request = fingerprint("desk.example", "/fee/1", "10.0.0.7", b"poison");
    let mut counts = CrashCounts::default();
    for started_ms in 1..=3 {
        assert!(!counts.is_refused(request, NOW));
        counts.add(request, &start("i-1", started_ms), NOW);
    }
    assert!(counts.is_refused(request, NOW));
}
