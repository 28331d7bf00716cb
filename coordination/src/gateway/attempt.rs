//! The retry policy of a request after an endpoint failed.
//!
//! A request that an endpoint did not run may be sent to another endpoint. A
//! request that may have run is sent again only if its route allows that.

use std::time::Duration;

use rosebend_state::deployment::Route;

/// Maximum number of endpoints that may refuse a request within one attempt of the
/// caller. The time for further endpoints is better spent on the caller's own retry
/// at another gateway.
const MAX_REFUSALS: u32 = 4;

/// Minimum remaining time for which another endpoint is tried. With less time, the
/// response would be too late: it takes about two network round trips and a short
/// execution.
const MIN_REMAINING_TIME: Duration = Duration::from_millis(20);

/// Shortest time without data after which a caller abandons a stream. It is
/// published with the protocol.
const MIN_CALLER_TIMEOUT: Duration = Duration::from_secs(2);

/// Divisor of the caller's timeout that gives the idle timeout after which a stream
/// is resumed at another endpoint.
const IDLE_TIMEOUT_DIVISOR: u32 = 4;

/// The reason for which an exchange with an endpoint gave no usable response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// No connection was established, or nothing was written to it. The request did
    /// not run.
    NotSent,
    /// The endpoint responded that it did not run the request.
    Refused,
    /// The connection failed, or the response is incomplete or does not belong to
    /// this request. The request may have run.
    Broken,
    /// The response ended before it was complete, although its framing shows no error.
    /// The request may have run.
    Truncated,
    /// The response did not arrive before the deadline. The request may have run.
    TimedOut,
    /// A stream that may be resumed at another endpoint received no data within the
    /// idle timeout. The request may have run, or may still be running.
    Stalled,
}

impl Failure {
    /// Returns true if the request may have run at the endpoint.
    pub fn may_have_run(self) -> bool {
        match self {
            Self::NotSent | Self::Refused => false,
            Self::Broken | Self::Truncated | Self::TimedOut | Self::Stalled => true,
        }
    }

    /// Returns the label for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotSent => "not_sent",
            Self::Refused => "refused",
            Self::Broken => "broken",
            Self::Truncated => "truncated",
            Self::TimedOut => "timed_out",
            Self::Stalled => "silent",
        }
    }
}

/// The next step of a caller's attempt after a failure.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextStep {
    /// Try another endpoint.
    TryAnother,
    /// Respond to the caller that the request did not run and will not run.
    Refuse,
    /// Respond to the caller that the outcome is unknown.
    UnknownOutcome,
    /// Respond to the caller that the deadline has passed and the outcome is unknown.
    DeadlineExceeded,
}

/// The state of one attempt of a caller, over all endpoints that were tried.
#[derive(Clone, Copy, Debug, Default)]
pub struct Attempt {
    /// Number of endpoints at which the request may have run.
    possible_runs: u32,
    /// Number of endpoints that did not run the request.
    refusals: u32,
}

impl Attempt {
    /// Records a failure and returns the next step. `remaining` is the time until
    /// the deadline of the request.
    ///
    /// A request that may have run is sent again only if the route allows it, and
    /// may run at no more endpoints than the route's maximum number of attempts.
    pub fn next_step(&mut self, route: &Route, failure: Failure, remaining: Duration) -> NextStep {
        if failure.may_have_run() {
            self.possible_runs += 1;
            if failure == Failure::Stalled {
                // Other endpoints may be tried in place of the silent one.
                self.refusals = 0;
            }
        } else {
            self.refusals += 1;
        }
        let out_of_time = remaining < MIN_REMAINING_TIME;
        if self.possible_runs == 0 {
            return match out_of_time || self.refusals >= MAX_REFUSALS {
                true => NextStep::Refuse,
                false => NextStep::TryAnother,
            };
        }
        if !out_of_time && self.may_retry(route) {
            return NextStep::TryAnother;
        }
        match out_of_time || failure == Failure::TimedOut {
            true => NextStep::DeadlineExceeded,
            false => NextStep::UnknownOutcome,
        }
    }

    /// Records that the endpoint of the last [`Failure::Stalled`] keeps the request, because
    /// no other endpoint accepted it.
    pub fn keep_silent_run(&mut self) {
        self.possible_runs -= 1;
    }

    /// Returns the number of endpoints at which the request may have run.
    pub fn possible_runs(&self) -> u32 {
        self.possible_runs
    }

    /// Returns true if the request may have run at any endpoint.
    pub fn may_have_run(&self) -> bool {
        self.possible_runs > 0
    }

    /// Returns the time without data after which the current endpoint's stream is
    /// resumed at another endpoint, or `None` if the request may not run at another
    /// one.
    pub fn idle_timeout(&self, route: &Route) -> Option<Duration> {
        let may_run_elsewhere =
            route.resumes_streams() && self.possible_runs + 1 < route.max_attempts;
        let caller_timeout = MIN_CALLER_TIMEOUT
            .max(route.objective * 4)
            .max(route.event_gap * 8);
        may_run_elsewhere.then_some(caller_timeout / IDLE_TIMEOUT_DIVISOR)
    }

    /// Returns true if a request that may have run may be sent to another endpoint.
    fn may_retry(&self, route: &Route) -> bool {
        route.may_run_again()
            && self.possible_runs < route.max_attempts
            && self.refusals < MAX_REFUSALS
    }
}
