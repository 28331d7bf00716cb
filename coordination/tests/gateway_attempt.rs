//! The retry policy for each kind of route, failure and number of runs.

use std::time::Duration;

use proptest::prelude::*;
use rosebend_coordination::gateway::attempt::{Attempt, Failure, NextStep};
use rosebend_state::deployment::{Route, RouteKind, RouteTarget};

const REMAINING: Duration = Duration::from_secs(2);
const FAILURES: [Failure; 6] = [
    Failure::NotSent,
    Failure::Refused,
    Failure::Broken,
    Failure::Truncated,
    Failure::TimedOut,
    Failure::Stalled,
];

fn route(kind: RouteKind, resumable: bool, max_attempts: u32) -> Route {
    Route {
        name: "notes".to_owned(),
        host: "desk.example".to_owned(),
        prefix: "/notes/".to_owned(),
        kind,
        targets: vec![RouteTarget {
            service: "models".to_owned(),
            weight: 1,
        }],
        timeout: Duration::from_secs(4),
        objective: Duration::from_millis(200),
        priority: 0,
        max_attempts,
        keeps_history: false,
        retention: Duration::ZERO,
        sticky: false,
        resumable,
        event_gap: Duration::from_millis(200),
        is_public: false,
    }
}

fn kind() -> impl Strategy<Value = RouteKind> {
    prop_oneof![
        Just(RouteKind::Idempotent),
        Just(RouteKind::NonIdempotent),
        Just(RouteKind::Streaming),
    ]
}

proptest! {
    #[test]
    fn retries_follow_the_route_and_its_maximum_of_attempts(
        kind in kind(),
        resumable in any::<bool>(),
        max_attempts in 1_u32..5,
        failures in prop::collection::vec(prop::sample::select(&FAILURES[..]), 1..12),
    ) {
        let route = route(kind, resumable, max_attempts);
        let mut attempt = Attempt::default();
        let mut runs = 0;
        for failure in failures {
            runs += u32::from(failure.may_have_run());
            match attempt.next_step(&route, failure, REMAINING) {
                NextStep::TryAnother => {
                    prop_assert!(runs == 0 || route.may_run_again());
                    prop_assert!(runs < max_attempts || runs == 0);
                }
                // The caller is told that the request did not run.
                NextStep::Refuse => prop_assert_eq!(runs, 0),
                NextStep::UnknownOutcome | NextStep::DeadlineExceeded => prop_assert!(runs > 0),
            }
            if runs > 0 && !route.may_run_again() {
                break;
            }
        }
    }
}

#[test]
fn a_stream_is_retried_only_if_its_route_is_resumable() {
    for (resumable, next) in [
        (true, NextStep::TryAnother),
        (false, NextStep::UnknownOutcome),
    ] {
        let route = route(RouteKind::Streaming, resumable, 2);
        let mut attempt = Attempt::default();
        assert_eq!(attempt.next_step(&route, Failure::Broken, REMAINING), next);
        let next = attempt.next_step(&route, Failure::Broken, REMAINING);
        assert_eq!(next, NextStep::UnknownOutcome, "the second run is the last");
    }
}

/// Guards against a silent endpoint that counts as a failed one although it keeps the request,
/// so that the request could not be resumed when the endpoint does fail.
#[test]
fn a_silent_endpoint_that_keeps_the_request_counts_once() {
    let route = route(RouteKind::Streaming, true, 2);
    let mut attempt = Attempt::default();
    for _ in 0..3 {
        let stalled = attempt.next_step(&route, Failure::Stalled, REMAINING);
        assert_eq!(stalled, NextStep::TryAnother);
        // The refusals of one search do not limit the next one.
        for _ in 0..3 {
            let refused = attempt.next_step(&route, Failure::Refused, REMAINING);
            assert_eq!(refused, NextStep::TryAnother);
        }
        attempt.keep_silent_run();
        assert!(attempt.idle_timeout(&route).is_some());
    }
    let broken = attempt.next_step(&route, Failure::Broken, REMAINING);
    assert_eq!(broken, NextStep::TryAnother);
    let broken = attempt.next_step(&route, Failure::Broken, REMAINING);
    assert_eq!(broken, NextStep::UnknownOutcome);
}

#[test]
fn a_non_idempotent_request_is_not_retried() {
    let route = route(RouteKind::NonIdempotent, true, 3);
    let next = Attempt::default().next_step(&route, Failure::Broken, REMAINING);
    assert_eq!(next, NextStep::UnknownOutcome);
}

#[test]
fn a_stream_is_not_retried_without_remaining_time() {
    let route = route(RouteKind::Streaming, true, 2);
    let next = Attempt::default().next_step(&route, Failure::Broken, Duration::from_millis(5));
    assert_eq!(next, NextStep::DeadlineExceeded);
}

#[test]
fn the_idle_timeout_is_a_quarter_of_the_callers_timeout_and_absent_for_the_last_run() {
    let mut slow = route(RouteKind::Streaming, true, 2);
    let attempt = Attempt::default();
    assert_eq!(
        attempt.idle_timeout(&slow),
        Some(Duration::from_millis(500))
    );
    slow.event_gap = Duration::from_secs(1);
    assert_eq!(attempt.idle_timeout(&slow), Some(Duration::from_secs(2)));
    let mut last = Attempt::default();
    last.next_step(&slow, Failure::Stalled, REMAINING);
    assert_eq!(last.idle_timeout(&slow), None);
    let not_resumable = route(RouteKind::Streaming, false, 2);
    assert_eq!(attempt.idle_timeout(&not_resumable), None);
    let plain = route(RouteKind::Idempotent, true, 2);
    assert_eq!(attempt.idle_timeout(&plain), None);
}
