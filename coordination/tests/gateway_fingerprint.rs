//! Tests which requests are refused because they crash endpoints.

use std::time::Duration;

use proptest::prelude::*;
use rosebend_coordination::gateway::fingerprint::{
    CONTENT_TRIAL_INTERVALS, CRASH_WINDOW, CrashCounts, Evidence, EvidenceKey, EvidenceKeyError,
    Fingerprint, MAX_CRASHES, MAX_SUSPECTS, QUARANTINE_RETENTION, RequestIdentity, Source,
    TRIAL_INTERVALS, Verdict, content_fingerprint, exact_fingerprint,
};

use rosebend_state::deployment::EndpointIdentity;

const NOW: Duration = Duration::from_secs(100);
const REQUEST: Fingerprint = 7;
/// Time between two attempts of a caller that does not give up.
const ATTEMPT_INTERVAL: Duration = Duration::from_secs(1);

fn endpoint(instance: &str, started_ms: u64) -> EndpointIdentity {
    EndpointIdentity {
        instance: instance.to_owned(),
        started_ms: Some(started_ms),
    }
}

fn crash(request: Fingerprint, number: usize) -> EvidenceKey {
    EvidenceKey {
        request,
        evidence: Evidence::Crash(endpoint(&format!("i-{number}"), 1)),
    }
}

fn trial(number: usize) -> EvidenceKey {
    EvidenceKey {
        request: REQUEST,
        evidence: Evidence::Trial(number),
    }
}

fn crashed(times: usize) -> CrashCounts {
    let mut counts = CrashCounts::default();
    for number in 0..times {
        counts.record(&crash(REQUEST, number), Source::Own, NOW, NOW);
    }
    counts
}

#[test]
fn a_request_is_refused_after_its_third_crash() {
    assert_eq!(
        crashed(MAX_CRASHES - 1).verdict(REQUEST, NOW),
        Verdict::Allowed
    );
    assert_eq!(
        crashed(MAX_CRASHES).verdict(REQUEST, NOW),
        Verdict::Trial(0)
    );
    let counts = crashed(MAX_CRASHES + 1);
    assert_eq!(counts.verdict(REQUEST, NOW), Verdict::Refused);
    assert_eq!(counts.verdict(REQUEST + 1, NOW), Verdict::Allowed);
}

#[test]
fn crashes_that_lie_far_apart_do_not_add_up() {
    let mut counts = CrashCounts::default();
    for number in 0..5 {
        let at = NOW + CRASH_WINDOW * u32::try_from(number).unwrap();
        counts.record(&crash(REQUEST, number), Source::Own, at, at);
        assert_eq!(counts.verdict(REQUEST, at), Verdict::Allowed, "{number}");
        assert_eq!(counts.expire(at, Duration::ZERO), []);
    }
    assert_eq!(counts.count(REQUEST), 1);
}

#[test]
fn the_same_crash_counts_once_and_an_answer_clears() {
    let mut counts = CrashCounts::default();
    assert!(counts.record(&crash(REQUEST, 1), Source::Own, NOW, NOW));
    assert!(!counts.record(&crash(REQUEST, 1), Source::Store, NOW, NOW));
    assert_eq!(counts.count(REQUEST), 1);
    assert_eq!(counts.clear(REQUEST), [crash(REQUEST, 1)]);
    assert_eq!(counts.count(REQUEST), 0);
}

#[test]
fn method_host_path_customer_and_body_distinguish_requests() {
    let fingerprints = [
        content_fingerprint("POST", "h", "/a", "c", b"x"),
        content_fingerprint("PUT", "h", "/a", "c", b"x"),
        content_fingerprint("POST", "i", "/a", "c", b"x"),
        content_fingerprint("POST", "h", "/b", "c", b"x"),
        content_fingerprint("POST", "h", "/a", "d", b"x"),
        content_fingerprint("POST", "h", "/a", "c", b"y"),
        content_fingerprint("POST", "h", "/a", "c", b""),
    ];
    for (index, current) in fingerprints.iter().enumerate() {
        assert!(!fingerprints[index + 1..].contains(current), "{index}");
    }
}

#[test]
fn headers_distinguish_exact_fingerprints_of_the_same_content() {
    let headers: [&[(&str, &[u8])]; 4] = [
        &[],
        &[("program-id", b"p1")],
        &[("program-id", b"p2")],
        &[("program-id", b"p1"), ("session-id", b"s1")],
    ];
    let fingerprints = headers.map(|headers| exact_fingerprint(REQUEST, headers));
    for (index, current) in fingerprints.iter().enumerate() {
        assert!(!fingerprints[index + 1..].contains(current), "{index}");
    }
    assert_ne!(exact_fingerprint(REQUEST + 1, &[]), fingerprints[0]);
}

/// Guards against callers with the same content that wait as long as the request that crashes
/// endpoints.
#[test]
fn another_caller_of_the_same_content_has_an_earlier_trial() {
    let (content, exact, other) = (REQUEST, REQUEST + 1, REQUEST + 2);
    let mut counts = CrashCounts::default();
    for number in 0..MAX_CRASHES + 1 {
        for request in [content, exact] {
            counts.record(&crash(request, number), Source::Own, NOW, NOW);
        }
    }
    let verdicts = |exact, now| {
        let verdicts = counts.verdicts(RequestIdentity { content, exact }, now);
        verdicts.map(|(_, verdict)| verdict)
    };
    assert_eq!(verdicts(other, NOW), [Verdict::Refused, Verdict::Allowed]);
    let now = NOW + CONTENT_TRIAL_INTERVALS[1];
    assert_eq!(verdicts(other, now), [Verdict::Trial(1), Verdict::Allowed]);
    assert_eq!(verdicts(exact, now), [Verdict::Trial(1), Verdict::Refused]);
}

#[test]
fn each_restart_of_an_instance_counts_separately() {
    let mut counts = CrashCounts::default();
    for started_ms in 1..=3 {
        assert_ne!(counts.verdict(REQUEST, NOW), Verdict::Refused);
        let key = EvidenceKey {
            request: REQUEST,
            evidence: Evidence::Crash(endpoint("i-1", started_ms)),
        };
        counts.record(&key, Source::Own, NOW, NOW);
    }
    assert_eq!(counts.verdict(REQUEST, NOW), Verdict::Refused);
}

/// Guards against a harmless request that is refused for long because many endpoints that ran
/// it crashed at the same time.
#[test]
fn crashes_of_many_endpoints_at_once_delay_the_first_trial_only() {
    let counts = crashed(20);
    assert_eq!(counts.verdict(REQUEST, NOW), Verdict::Refused);
    assert_eq!(
        counts.verdict(REQUEST, NOW + TRIAL_INTERVALS[1]),
        Verdict::Trial(1)
    );
}

/// Guards against a request that is sent again and again because its crashes expire: a caller
/// repeats it for a day.
#[test]
fn a_request_that_crashes_each_endpoint_runs_six_times_a_day() {
    for interval in [ATTEMPT_INTERVAL, Duration::from_secs(70)] {
        let mut counts = CrashCounts::default();
        let mut runs = Vec::new();
        let mut now = NOW;
        while now < NOW + Duration::from_secs(24 * 3_600) {
            match counts.verdict(REQUEST, now) {
                Verdict::Refused => {}
                Verdict::Allowed => {
                    counts.record(&crash(REQUEST, runs.len()), Source::Own, now, now);
                    runs.push(now);
                }
                Verdict::Trial(number) => {
                    counts.record(&trial(number), Source::Own, now, now);
                    counts.record(&crash(REQUEST, runs.len()), Source::Own, now, now);
                    runs.push(now);
                }
            }
            counts.expire(now, Duration::ZERO);
            now += interval;
        }
        assert_eq!(runs.len(), MAX_CRASHES + TRIAL_INTERVALS.len(), "{runs:?}");
    }
}

#[test]
fn a_refused_request_that_is_answered_at_its_trial_is_allowed() {
    let mut counts = crashed(MAX_CRASHES);
    // While the trial runs, also at another host, there is no second one.
    counts.record(&trial(0), Source::Store, NOW, NOW);
    assert_eq!(counts.verdict(REQUEST, NOW), Verdict::Refused);
    let due = NOW + TRIAL_INTERVALS[1];
    let before = due.checked_sub(Duration::from_millis(1)).unwrap();
    assert_eq!(counts.verdict(REQUEST, before), Verdict::Refused);
    assert_eq!(counts.verdict(REQUEST, due), Verdict::Trial(1));
    counts.record(&trial(1), Source::Store, due, due);
    assert_eq!(counts.verdict(REQUEST, due), Verdict::Refused);
    counts.clear(REQUEST);
    assert_eq!(counts.verdict(REQUEST, due), Verdict::Allowed);
}

#[test]
fn evidence_is_written_until_the_store_has_it() {
    let mut counts = CrashCounts::default();
    counts.record(&crash(REQUEST, 1), Source::Own, NOW, NOW);
    let later = NOW + Duration::from_secs(2);
    counts.record(&crash(REQUEST, 2), Source::Peer, NOW, later);
    assert_eq!(counts.to_write(NOW), [(crash(REQUEST, 1), NOW)]);
    assert_eq!(counts.to_write(later).len(), 2);
    assert_eq!(counts.unstored().len(), 2);
    counts.set_stored(&crash(REQUEST, 1));
    // The host that observed the second crash has written it.
    counts.record(&crash(REQUEST, 2), Source::Store, NOW, NOW);
    assert_eq!(counts.to_write(later), []);
    assert_eq!(counts.unstored(), []);
    // Both rows were deleted, one while this host did not follow the table.
    assert!(counts.remove(&crash(REQUEST, 1)));
    counts.retain_stored(|_| false);
    assert_eq!(counts.count(REQUEST), 0);
}

#[test]
fn evidence_that_the_store_never_had_outlasts_a_read_of_the_whole_table() {
    let mut counts = crashed(MAX_CRASHES + 1);
    counts.retain_stored(|_| false);
    assert_eq!(counts.verdict(REQUEST, NOW), Verdict::Refused);
}

#[test]
fn evidence_expires_after_its_request_may_be_sent_again() {
    let mut counts = crashed(MAX_CRASHES - 1);
    assert_eq!(counts.expire(NOW + CRASH_WINDOW, Duration::ZERO), []);
    assert_eq!(counts.count(REQUEST), 0);
    let mut counts = crashed(MAX_CRASHES);
    counts.set_stored(&crash(REQUEST, 0));
    assert_eq!(counts.expire(NOW + CRASH_WINDOW, Duration::ZERO), []);
    let end = NOW + QUARANTINE_RETENTION;
    assert_eq!(counts.verdict(REQUEST, end), Verdict::Allowed);
    assert_eq!(counts.expire(end, Duration::from_secs(1)), []);
    let expired = counts.expire(end + Duration::from_secs(1), Duration::from_secs(1));
    assert_eq!(expired, [crash(REQUEST, 0)]);
    assert_eq!(counts.count(REQUEST), 0);
}

#[test]
fn suspects_are_limited_and_refused_requests_are_kept() {
    let mut counts = crashed(MAX_CRASHES + 1);
    for request in 1_000..1_000 + MAX_SUSPECTS as u64 {
        let at = NOW + Duration::from_millis(request);
        counts.record(&crash(request, 0), Source::Own, at, at);
    }
    assert_eq!(counts.verdict(REQUEST, NOW), Verdict::Refused);
    assert_eq!(counts.count(1_000), 0);
    assert_eq!(counts.count(1_001), 1);
}

/// Guards against rows that the store refuses for their keys, which would block all others.
#[test]
fn keys_that_the_store_refuses_are_errors() {
    let key = |instance: &str| format!("0000000000000007/{instance}").parse::<EvidenceKey>();
    assert!(key(&"i".repeat(183)).is_ok());
    for instance in ["", "i 1", "i\n", "ä", &"i".repeat(184)] {
        assert_eq!(key(instance), Err(EvidenceKeyError), "{instance}");
    }
    for text in ["", "7", "/i-1", "x/i-1", "7#", "7#x", "7#-1"] {
        assert_eq!(text.parse::<EvidenceKey>(), Err(EvidenceKeyError), "{text}");
    }
}

proptest! {
    #[test]
    fn keys_of_rows_are_read_as_they_were_written(
        request: u64,
        instance in "[!-.0-~]{1,40}",
        started_ms in proptest::option::of(any::<u64>()),
        number: usize,
    ) {
        let identity = EndpointIdentity { instance, started_ms };
        // An id that ends like a start time is read as one.
        let identity = identity.to_string().parse().unwrap();
        for evidence in [Evidence::Crash(identity), Evidence::Trial(number)] {
            let key = EvidenceKey { request, evidence };
            prop_assert_eq!(key.to_string().parse(), Ok(key));
        }
    }

    #[test]
    fn other_keys_are_errors_or_stable(text in ".{0,60}") {
        if let Ok(key) = text.parse::<EvidenceKey>() {
            prop_assert_eq!(key.to_string().parse(), Ok(key));
        }
    }
}
