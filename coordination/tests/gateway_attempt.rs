//! Whether a request is sent again: for each kind of route, failure and count
//! of runs.

use std::time::Duration;

use proptest::prelude::*;
use rosebend_coordination::gateway::attempt::{Attempt, Failure, Next};
use rosebend_state::deployment::{Route, RouteKind, RouteTarget};

const LEFT: Duration = Duration::from_secs(2);
const FAILURES: [Failure; 5] = [
    Failure::NotSent,
    Failure::Refused,
    Failure::Broken,
    Failure::TimedOut,
    Failure::Silent,
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
    fn a_request_runs_again_only_where_it_may_and_never_at_too_many_endpoints(
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
            match attempt.after(&route, failure, LEFT) {
                Next::TryAnother => {
                    prop_assert!(runs == 0 || route.may_run_again());
                    prop_assert!(runs < max_attempts || runs == 0);
                }
                // It is promised that it did not run.
                Next::Refuse => prop_assert_eq!(runs, 0),
                Next::Unknown | Next::TimeIsUp => prop_assert!(runs > 0),
            }
            if runs > 0 && !route.may_run_again() {
                break;
            }
        }
    }
}

#[test]
fn a_stream_runs_again_only_where_it_may_be_resumed() {
    for (resumable, next) in [(true, Next::TryAnother), (false, Next::Unknown)] {
        let route = route(RouteKind::Streaming, resumable, 2);
        let mut attempt = Attempt::default();
        assert_eq!(attempt.after(&route, Failure::Broken, LEFT), next);
        let next = attempt.after(&route, Failure::Broken, LEFT);
        assert_eq!(next, Next::Unknown, "the second run is the last");
    }
}

#[test]
fn a_plain_request_that_may_run_once_is_not_resumable() {
    let route = route(RouteKind::NonIdempotent, true, 3);
    let next = Attempt::default().after(&route, Failure::Broken, LEFT);
    assert_eq!(next, Next::Unknown);
}

#[test]
fn a_stream_without_time_is_not_sent_again() {
    let route = route(RouteKind::Streaming, true, 2);
    let next = Attempt::default().after(&route, Failure::Broken, Duration::from_millis(5));
    assert_eq!(next, Next::TimeIsUp);
}

#[test]
fn silence_is_borne_a_quarter_of_what_callers_bear_and_to_the_end_by_the_last() {
    let mut slow = route(RouteKind::Streaming, true, 2);
    let attempt = Attempt::default();
    assert_eq!(attempt.timeout(&slow), Some(Duration::from_millis(500)));
    slow.event_gap = Duration::from_secs(1);
    assert_eq!(attempt.timeout(&slow), Some(Duration::from_secs(2)));
    let mut last = Attempt::default();
    last.after(&slow, Failure::Silent, LEFT);
    assert_eq!(last.timeout(&slow), None);
    let never = route(RouteKind::Streaming, false, 2);
    assert_eq!(attempt.timeout(&never), None);
    let plain = route(RouteKind::Idempotent, true, 2);
    assert_eq!(attempt.timeout(&plain), None);
}
