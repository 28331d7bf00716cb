//! Tests which requests are counted as crashing endpoints.

use std::time::Duration;

use rosebend_coordination::gateway::fingerprint::{
    CRASH_RETENTION, Caller, CrashCounts, MAX_CRASHES, fingerprint,
};

use rosebend_state::deployment::EndpointIdentity;

const NOW: Duration = Duration::from_secs(100);
const CALLER: Caller<'static> = Caller {
    customer: "ship",
    address: "10.0.0.7",
};

fn endpoint(instance: &str, started_ms: u64) -> EndpointIdentity {
    EndpointIdentity {
        instance: instance.to_owned(),
        started_ms: Some(started_ms),
    }
}

fn crashed(request: u64, times: usize) -> CrashCounts {
    let mut counts = CrashCounts::default();
    for number in 0..times {
        counts.record_crash(request, &endpoint(&format!("i-{number}"), 1), NOW);
    }
    counts
}

#[test]
fn a_request_is_refused_after_its_third_crash_for_a_while() {
    let request = fingerprint("desk.example", "/fee/1", &CALLER, b"poison");
    assert!(!crashed(request, MAX_CRASHES - 1).is_refused(request, NOW));
    let mut counts = crashed(request, MAX_CRASHES);
    assert!(counts.is_refused(request, NOW));
    assert!(!counts.is_refused(request + 1, NOW));
    assert!(!counts.is_refused(request, NOW + CRASH_RETENTION));
    counts.expire(NOW + CRASH_RETENTION);
    assert_eq!(counts.count(request, NOW), 0);
}

#[test]
fn the_same_crash_counts_once_and_an_answer_clears() {
    let request = fingerprint("desk.example", "/fee/1", &CALLER, b"fee");
    let mut counts = CrashCounts::default();
    for _ in 0..5 {
        counts.record_crash(request, &endpoint("i-1", 1), NOW);
    }
    assert_eq!(counts.count(request, NOW), 1);
    counts.clear(request);
    assert_eq!(counts.count(request, NOW), 0);
}

#[test]
fn host_path_customer_and_body_distinguish_requests() {
    let caller = |customer, address| Caller { customer, address };
    let fingerprints = [
        fingerprint("h", "/a", &caller("c", "1"), b"x"),
        fingerprint("h", "/b", &caller("c", "1"), b"x"),
        fingerprint("h", "/a", &caller("d", "1"), b"x"),
        fingerprint("h", "/a", &caller("c", "1"), b"y"),
        fingerprint("i", "/a", &caller("c", "1"), b"x"),
        fingerprint("h", "/a", &caller("c", "1"), b""),
        fingerprint("h", "/a", &caller("c", "2"), b""),
    ];
    for (index, current) in fingerprints.iter().enumerate() {
        assert!(!fingerprints[index + 1..].contains(current), "{index}");
    }
    let other_address = fingerprint("h", "/a", &caller("c", "2"), b"x");
    assert_eq!(other_address, fingerprints[0]);
}

#[test]
fn each_restart_of_an_instance_counts_separately() {
    let request = fingerprint("desk.example", "/fee/1", &CALLER, b"poison");
    let mut counts = CrashCounts::default();
    for started_ms in 1..=3 {
        assert!(!counts.is_refused(request, NOW));
        counts.record_crash(request, &endpoint("i-1", started_ms), NOW);
    }
    assert!(counts.is_refused(request, NOW));
}
