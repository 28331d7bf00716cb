//! Local quota of one host for one customer.

use std::time::Duration;

use rosebend_state::deployment::CustomerName;

use super::Decision;
use super::message::{QuotaGrant, QuotaRequest};

/// Lifetime of a grant. An allocator that has had no report for longer counts the
/// granted tokens as used.
const GRANT_LIFETIME: Duration = Duration::from_secs(1);
/// Time constant of the smoothed request rate, in seconds.
const RATE_TIME_CONSTANT_S: f64 = 2.0;
/// Period in seconds for which quota is requested in advance, so that a request
/// usually does not wait for a grant. With a longer period, a host would keep more
/// quota from others.
const PREFETCH_S: f64 = 0.3;
/// Time after which a quota request without a response is sent again, because
/// datagrams may be lost.
const RETRANSMIT_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum time before the allocator receives a report of served requests.
const REPORT_INTERVAL: Duration = Duration::from_millis(400);
/// Minimum time between two requests for quota in advance.
const PREFETCH_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum time during which no quota is requested after the allocator has refused
/// some.
const MAX_REFUSAL_TIME: Duration = Duration::from_millis(100);
/// Time without a request after which the state of a customer is dropped. By then
/// the allocator has dropped its own record of this host.
const IDLE_TIMEOUT: Duration = Duration::from_secs(25);

/// Class of a request within a rate limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestClass {
    /// The first request of a program, which further requests will follow.
    ProgramStart,
    /// Any other request.
    Continuation,
}

/// A refusal by the allocator.
#[derive(Clone, Copy, Debug, Default)]
struct Refusal {
    until: Duration,
    /// Time after which the caller may retry.
    wait: Duration,
}

/// Local quota of one request class.
#[derive(Clone, Copy, Debug, Default)]
struct ClassQuota {
    /// Requests that may be served without a further grant.
    held: u32,
    /// Requests that wait for a grant.
    waiting: u32,
    /// Waiting requests that the last quota request covered.
    requested: u32,
    refusal: Refusal,
}

/// Local quota of one host for one customer.
#[derive(Clone, Debug, Default)]
pub struct LocalQuota {
    requests: ClassQuota,
    starts: ClassQuota,
    valid_until: Duration,
    served: u64,
    started: u64,
    /// Served requests and held quota, as last reported to the allocator.
    reported: (u64, u32),
    /// Smoothed request rate at the time of the last served request, in requests per
    /// second.
    request_rate_per_s: f64,
    served_at: Duration,
    /// Number of requests that may be served without a grant while the allocator
    /// does not respond.
    unacknowledged_allowance: f64,
    unacknowledged_at: Option<Duration>,
    /// Number of the latest quota request; `requested_at` is the time when it was
    /// sent.
    number: u64,
    requested_at: Duration,
    is_answered: bool,
}

impl LocalQuota {
    /// Checks a request against the quota, and consumes one token if it is admitted.
    pub fn decide(&mut self, class: RequestClass, now: Duration) -> Decision {
        self.expire(now);
        let class_quota = self.class_quota(class);
        if class_quota.held > 0 {
            class_quota.held -= 1;
            self.record_served(class, now);
            return Decision::Admit;
        }
        match now < class_quota.refusal.until {
            true => Decision::Refuse(class_quota.refusal.wait),
            false => Decision::AwaitGrant,
        }
    }

    /// Returns whether a request is admitted while the allocator does not respond.
    /// Requests are then admitted at the smoothed rate of past requests, and the next
    /// report to the allocator includes them.
    pub fn admit_unacknowledged(&mut self, class: RequestClass, now: Duration) -> bool {
        let request_rate = self.request_rate(now);
        let last_checked_at = self.unacknowledged_at.replace(now);
        self.unacknowledged_allowance = match last_checked_at {
            None => 1.0,
            Some(last_checked_at) => {
                let elapsed = now.saturating_sub(last_checked_at).as_secs_f64();
                (self.unacknowledged_allowance + request_rate * elapsed).min(request_rate.max(1.0))
            }
        };
        if self.unacknowledged_allowance < 1.0 {
            return false;
        }
        self.unacknowledged_allowance -= 1.0;
        self.record_served(class, now);
        true
    }

    /// Counts a request that waits for a grant.
    pub fn add_waiting(&mut self, class: RequestClass) {
        self.class_quota(class).waiting += 1;
    }

    /// Removes a request from the count of waiting requests.
    pub fn remove_waiting(&mut self, class: RequestClass) {
        let class_quota = self.class_quota(class);
        class_quota.waiting = class_quota.waiting.saturating_sub(1);
    }

    /// Subtracts a request that was admitted and then not run.
    pub fn refund(&mut self, class: RequestClass) {
        self.served = self.served.saturating_sub(1);
        if class == RequestClass::ProgramStart {
            self.started = self.started.saturating_sub(1);
        }
    }

    /// Returns the number of requests that this host has served, without those that
    /// were not run.
    pub fn served(&self) -> u64 {
        self.served
    }

    /// Returns whether any request waits for a grant.
    pub fn is_waiting(&self) -> bool {
        self.requests.waiting + self.starts.waiting > 0
    }

    /// Returns whether a quota request or a report is due.
    pub fn is_due(&self, now: Duration) -> bool {
        let since_request = now.saturating_sub(self.requested_at);
        let is_pending = self.number > 0 && !self.is_answered;
        if is_pending && since_request < RETRANSMIT_INTERVAL {
            return false;
        }
        let is_unreported = self.reported != (self.served, self.held());
        let is_low = f64::from(self.requests.held) < self.request_rate(now) * PREFETCH_S / 2.0;
        let is_prefetch_due =
            is_low && self.expected(now) > 0 && now >= self.requests.refusal.until;
        self.is_waiting()
            || (is_prefetch_due && since_request >= PREFETCH_INTERVAL)
            || (is_unreported && since_request >= REPORT_INTERVAL)
    }

    /// Creates the next quota request for the allocator, which includes a report.
    pub fn build_request(
        &mut self,
        customer: &CustomerName,
        number: u64,
        now: Duration,
    ) -> QuotaRequest {
        self.expire(now);
        self.number = number;
        self.requested_at = now;
        self.is_answered = false;
        self.reported = (self.served, self.held());
        self.requests.requested = self.requests.waiting;
        self.starts.requested = self.starts.waiting;
        QuotaRequest {
            customer: customer.clone(),
            served: self.served,
            started: self.started,
            held: self.requests.held,
            held_starts: self.starts.held,
            waiting: self.requests.waiting,
            waiting_starts: self.starts.waiting,
            expected: self.expected(now),
        }
    }

    /// Applies a grant. A grant in response to an older request is ignored, because
    /// the latest request has reported that this host does not hold it.
    pub fn apply_grant(&mut self, granted: &QuotaGrant, number: u64, now: Duration) {
        if number != self.number || self.is_answered {
            return;
        }
        self.is_answered = true;
        self.unacknowledged_at = None;
        self.valid_until = self.requested_at + GRANT_LIFETIME;
        self.requests
            .apply_grant(granted.requests, granted.wait_ms, now);
        self.starts
            .apply_grant(granted.starts, granted.start_wait_ms, now);
    }

    /// Returns whether the state of the customer may be dropped.
    pub fn is_idle(&self, now: Duration) -> bool {
        !self.is_waiting()
            && now.saturating_sub(self.served_at.max(self.requested_at)) > IDLE_TIMEOUT
    }

    fn class_quota(&mut self, class: RequestClass) -> &mut ClassQuota {
        match class {
            RequestClass::ProgramStart => &mut self.starts,
            RequestClass::Continuation => &mut self.requests,
        }
    }

    fn held(&self) -> u32 {
        self.requests.held + self.starts.held
    }

    fn expire(&mut self, now: Duration) {
        if now > self.valid_until {
            self.requests.held = 0;
            self.starts.held = 0;
        }
    }

    fn record_served(&mut self, class: RequestClass, now: Duration) {
        self.served += 1;
        if class == RequestClass::ProgramStart {
            self.started += 1;
        }
        self.request_rate_per_s = self.request_rate(now) + 1.0 / RATE_TIME_CONSTANT_S;
        self.served_at = now;
    }

    fn request_rate(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.served_at).as_secs_f64();
        self.request_rate_per_s * (-elapsed / RATE_TIME_CONSTANT_S).exp()
    }

    /// Returns the number of requests that are expected soon and not covered by the
    /// quota.
    fn expected(&self, now: Duration) -> u32 {
        let upcoming = (self.request_rate(now) * PREFETCH_S) as u32;
        upcoming.saturating_sub(self.requests.held)
    }
}

impl ClassQuota {
    fn apply_grant(&mut self, granted: u32, wait_ms: u64, now: Duration) {
        self.held += granted;
        if granted < self.requested {
            let wait = Duration::from_millis(wait_ms);
            let until = now + wait.min(MAX_REFUSAL_TIME);
            self.refusal = Refusal { until, wait };
        }
    }
}
