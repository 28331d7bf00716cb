//! Divides the limits of customers among hosts, and keeps account of the quota that
//! each host holds.

use std::collections::HashMap;
use std::time::Duration;

use rosebend_state::deployment::{CustomerLimit, CustomerName};

use super::bucket::TokenBucket;
use super::links::ALLOCATOR_TIMEOUT;
use super::message::{AllocatorRequest, QuotaGrant, QuotaRequest};
use super::{Group, Tolerance};
use crate::gateway::ledger::ProcessId;

/// Fraction of the tolerated overage that a request bucket holds in addition to the
/// burst. The rest covers requests that are served without a grant, and requests
/// that reach their endpoints later than they were counted.
const OVERAGE_FRACTION: f64 = 0.5;
/// Fraction of the tolerated slack that a request bucket holds in addition to the
/// burst. Small customers depend on the slack, because the requests of a few
/// programs arrive in bursts.
const SLACK_FRACTION: f64 = 0.75;
/// Fractions of the tolerated overage and slack that a new bucket receives. An
/// allocator has no record of what was served before it created the bucket. Together
/// with the fractions above, these stay below the full tolerance.
const INITIAL_OVERAGE_FRACTION: f64 = 0.4;
const INITIAL_SLACK_FRACTION: f64 = 0.25;
/// Divisor of the free tokens. The quotient limits how many tokens a host may hold
/// for requests that have not arrived yet, because tokens that one host holds are
/// not available to others.
const PREFETCH_DIVISOR: f64 = 16.0;
/// Divisor of the bucket capacity. The quotient is the number of tokens reserved for
/// programs in progress; no further program starts while fewer are free.
const RESERVE_DIVISOR: f64 = 12.0;
/// Fill level from which on programs may start regardless of their expected
/// requests.
const AMPLE_FRACTION: f64 = 0.9;
/// Period after its start during which a program is assumed to issue requests: about
/// the duration of the longer programs at the known sites.
const PROGRAM_DURATION: Duration = Duration::from_secs(2);
/// Assumed requests of a program before any was observed: a turn and two calls, a
/// few times over.
const DEFAULT_PROGRAM_REQUESTS: f64 = 10.0;
/// Weight of the assumed number of requests in the estimate, as a number of observed
/// programs.
const DEFAULT_WEIGHT: f64 = 4.0;
/// Half-life of the observations of program sizes.
const OBSERVATION_HALF_LIFE: Duration = Duration::from_secs(10);
/// Time without a request after which the account of a customer is dropped. Hosts
/// that switch to another allocator have all done so within this time.
const ACCOUNT_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time without a report after which the record of a host and its quota is dropped.
const HOST_RECORD_TIMEOUT: Duration = Duration::from_secs(10);
/// Minimum and maximum time after which a refused request may be retried. Callers
/// follow the suggested time up to a third of their own deadline.
const RETRY_AFTER_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_secs(2));

/// The customers whose limits this host allocates.
#[derive(Debug, Default)]
pub struct Allocator {
    accounts: HashMap<CustomerName, Account>,
    /// Times until which hosts count as using this allocator, by group.
    followers: HashMap<Group, HashMap<ProcessId, Duration>>,
    /// Observed requests of the programs of all customers.
    usage: ProgramUsage,
}

/// The part of a limit that a host allocates.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share {
    /// Fraction of the rate, which is the fraction of all hosts that use this host as their
    /// allocator.
    pub rate: f64,
    /// Fraction of the initial tokens of a new account. Any host may allocate a limit for
    /// those that reach no host before it in the ranking, so that all but the first of the
    /// ranking have these tokens only once together.
    pub initial: f64,
}

/// Account of one customer's limit.
#[derive(Debug)]
struct Account {
    /// Tokens for requests, including those that hosts hold.
    requests: TokenBucket,
    /// Tokens for the expected requests of the programs that start.
    starts: TokenBucket,
    hosts: HashMap<ProcessId, HostAccount>,
    /// Total quota that the hosts hold.
    held: u64,
    /// Fraction of the initial tokens that the buckets have received.
    credited: f64,
    /// Time of the last request of any host.
    requested_at: Duration,
    usage: ProgramUsage,
}

/// Account of one host within a customer's limit.
#[derive(Clone, Copy, Debug, Default)]
struct HostAccount {
    served: u64,
    started: u64,
    held: u64,
    /// Program starts that were granted to the host and that it has not reported.
    granted_starts: u64,
    reported_at: Duration,
}

/// Decaying counts of requests and of program starts.
#[derive(Clone, Copy, Debug, Default)]
struct ProgramUsage {
    requests: f64,
    starts: f64,
    at: Duration,
}

impl ProgramUsage {
    fn add(&mut self, requests: f64, starts: f64, now: Duration) {
        let elapsed = now.saturating_sub(self.at).as_secs_f64();
        let decay = 0.5_f64.powf(elapsed / OBSERVATION_HALF_LIFE.as_secs_f64());
        self.requests = self.requests * decay + requests.max(0.0);
        self.starts = self.starts * decay + starts.max(0.0);
        self.at = now;
    }

    /// Returns the estimated requests of one program; `prior` is the estimate
    /// without observations.
    fn requests_per_program(&self, prior: f64) -> f64 {
        let requests = self.requests + prior * DEFAULT_WEIGHT;
        (requests / (self.starts + DEFAULT_WEIGHT)).max(1.0)
    }
}

impl Allocator {
    /// Records that the sender uses this allocator for the groups of the request.
    ///
    /// The sender counts until it would switch to another allocator, based on the
    /// time when it last received a response from this one. So no host counts at two
    /// allocators at once.
    pub fn record_follower(&mut self, request: &AllocatorRequest, now: Duration) {
        let response_age = request.response_age_ms.map(Duration::from_millis);
        let Some(remaining) =
            response_age.and_then(|response_age| ALLOCATOR_TIMEOUT.checked_sub(response_age))
        else {
            return;
        };
        for group in &request.groups {
            let followers = self.followers.entry(*group).or_default();
            followers.insert(request.from.clone(), now + remaining);
        }
    }

    /// Returns the part of a group's limits that this host may grant. `is_preferred` is
    /// whether it is one of the first hosts of the group's ranking.
    pub fn share(&self, group: Group, hosts: usize, is_preferred: bool, now: Duration) -> Share {
        let followers = self.followers.get(&group);
        let followers = followers.into_iter().flat_map(HashMap::values);
        let count = followers.filter(|until| **until >= now).count();
        let rate = (count as f64 / hosts.max(1) as f64).min(1.0);
        Share {
            rate,
            initial: if is_preferred { 1.0 } else { rate },
        }
    }

    /// Applies the report of a host about a customer, and grants it further quota.
    pub fn grant(
        &mut self,
        host: &ProcessId,
        requested: &QuotaRequest,
        limit: CustomerLimit,
        tolerance: Tolerance,
        share: Share,
        now: Duration,
    ) -> QuotaGrant {
        let capacities = Capacities::new(limit, tolerance);
        let account = self.accounts.entry(requested.customer.clone());
        let account = account.or_insert_with(|| Account::new(now));
        let rate = limit.rate_per_s * share.rate;
        account.credit_initial(share.initial, &capacities);
        account.refill(rate, &capacities, now);
        let (served, started) = account.apply_report(host, requested, now);
        account.usage.add(served, started, now);
        self.usage.add(served, started, now);
        let prior = self.usage.requests_per_program(DEFAULT_PROGRAM_REQUESTS);
        let requests_per_start = account.usage.requests_per_program(prior);
        account.settle_starts(host, requested, started, requests_per_start);
        let granted = account.grant(host, requested, &capacities, rate, requests_per_start);
        // A program whose requests are refused still needs them. Its refused
        // requests count as well, so that programs which fail for lack of quota do
        // not lower the estimate and let more of them start.
        let refused = requested.waiting.saturating_sub(granted.requests);
        account.usage.add(f64::from(refused), 0.0, now);
        granted
    }

    /// Removes the customers that are no longer declared.
    pub fn retain(&mut self, is_declared: impl Fn(&CustomerName) -> bool) {
        self.accounts.retain(|name, _| is_declared(name));
    }

    /// Counts the quota of unresponsive hosts as used, and removes outdated records.
    pub fn expire(&mut self, now: Duration) {
        for followers in self.followers.values_mut() {
            followers.retain(|_, until| *until >= now);
        }
        for account in self.accounts.values_mut() {
            account.expire(now);
        }
        // Another host may have granted the limit of a customer for which this host
        // received no requests.
        self.accounts
            .retain(|_, account| now.saturating_sub(account.requested_at) < ACCOUNT_TIMEOUT);
    }
}

/// Capacities of a customer's buckets, in tokens.
#[derive(Clone, Copy, Debug)]
struct Capacities {
    requests: f64,
    starts: f64,
    /// Initial tokens of the request bucket of a new account.
    initial: f64,
}

impl Capacities {
    fn new(limit: CustomerLimit, tolerance: Tolerance) -> Self {
        let allowed = limit.rate_per_s * tolerance.window.as_secs_f64() + limit.burst;
        let overage = allowed * tolerance.overage;
        let requests = limit.burst + overage * OVERAGE_FRACTION + tolerance.slack * SLACK_FRACTION;
        Self {
            requests,
            starts: requests + limit.rate_per_s * PROGRAM_DURATION.as_secs_f64(),
            initial: overage * INITIAL_OVERAGE_FRACTION + tolerance.slack * INITIAL_SLACK_FRACTION,
        }
    }
}

impl Account {
    fn new(now: Duration) -> Self {
        Self {
            requests: TokenBucket::new(0.0),
            starts: TokenBucket::new(0.0),
            hosts: HashMap::new(),
            held: 0,
            credited: 0.0,
            requested_at: now,
            usage: ProgramUsage::default(),
        }
    }

    /// Adds a fraction of the initial tokens, less what was added before.
    fn credit_initial(&mut self, fraction: f64, capacities: &Capacities) {
        let added = (fraction - self.credited).max(0.0);
        self.credited += added;
        self.requests.consume(-added * capacities.initial);
        self.starts.consume(-added * capacities.starts / 2.0);
    }

    /// Refills the buckets at the given rate.
    fn refill(&mut self, rate_per_s: f64, capacities: &Capacities, now: Duration) {
        // Another host may have allocated the limit in the meantime. For a customer
        // with rare requests, the tokens of this period are sufficient.
        let elapsed = now.saturating_sub(self.requested_at).min(ALLOCATOR_TIMEOUT);
        self.requests
            .refill(rate_per_s, capacities.requests, elapsed);
        self.starts.refill(rate_per_s, capacities.starts, elapsed);
        self.requested_at = now;
    }

    /// Applies the report of a host. Returns the requests that it served and the
    /// programs that it started since its last report.
    fn apply_report(
        &mut self,
        host: &ProcessId,
        requested: &QuotaRequest,
        now: Duration,
    ) -> (f64, f64) {
        let reported = HostAccount {
            served: requested.served,
            started: requested.started,
            held: u64::from(requested.held) + u64::from(requested.held_starts),
            granted_starts: 0,
            reported_at: now,
        };
        // It is unknown when a host without a record here served the requests that
        // it reports, so they are not charged.
        let previous = self.hosts.insert(host.clone(), reported);
        let previous = previous.unwrap_or(HostAccount {
            held: 0,
            ..reported
        });
        if let Some(host) = self.hosts.get_mut(host) {
            host.granted_starts = previous.granted_starts;
        }
        self.held = self.held.saturating_sub(previous.held) + reported.held;
        let served = difference(reported.served, previous.served);
        let started = difference(reported.started, previous.started);
        self.requests.consume(served);
        (served, started)
    }

    /// Charges programs that a host started without a grant, and returns the tokens
    /// of granted starts that the host did not use.
    fn settle_starts(
        &mut self,
        host: &ProcessId,
        requested: &QuotaRequest,
        started: f64,
        requests_per_start: f64,
    ) {
        let Some(host) = self.hosts.get_mut(host) else {
            return;
        };
        let held = f64::from(requested.held_starts);
        self.starts
            .consume((started + held - host.granted_starts as f64) * requests_per_start);
        host.granted_starts = u64::from(requested.held_starts);
    }

    fn grant(
        &mut self,
        host: &ProcessId,
        requested: &QuotaRequest,
        capacities: &Capacities,
        rate_per_s: f64,
        requests_per_start: f64,
    ) -> QuotaGrant {
        let free = (self.requests.level() - self.held as f64).max(0.0);
        let requests = grantable(requested.waiting, free);
        let remaining = free - f64::from(requests);
        let startable = self.startable(remaining, capacities, requests_per_start);
        let starts = grantable(requested.waiting_starts, startable);
        let prefetched = grantable(
            requested.expected,
            (remaining - f64::from(starts)) / PREFETCH_DIVISOR,
        );
        let granted = u64::from(requests) + u64::from(starts) + u64::from(prefetched);
        self.held += granted;
        self.starts.consume(f64::from(starts) * requests_per_start);
        if let Some(host) = self.hosts.get_mut(host) {
            host.held += granted;
            host.granted_starts += u64::from(starts);
        }
        let reserved = capacities.requests / RESERVE_DIVISOR + 1.0;
        let missing = (reserved - remaining).max(requests_per_start - self.starts.level());
        QuotaGrant {
            customer: requested.customer.clone(),
            requests: requests + prefetched,
            starts,
            wait_ms: wait_ms(1.0 - remaining, rate_per_s),
            start_wait_ms: wait_ms(missing, rate_per_s),
        }
    }

    /// Returns the number of programs that may start, given the free request tokens.
    fn startable(&self, remaining: f64, capacities: &Capacities, requests_per_start: f64) -> f64 {
        let above_reserve = remaining - capacities.requests / RESERVE_DIVISOR;
        match self.requests.level() >= capacities.requests * AMPLE_FRACTION {
            true => above_reserve,
            false => above_reserve.min(self.starts.level() / requests_per_start),
        }
    }

    fn expire(&mut self, now: Duration) {
        for host in self.hosts.values_mut() {
            if now.saturating_sub(host.reported_at) > ALLOCATOR_TIMEOUT * 2 {
                self.requests.consume(host.held as f64);
                self.held = self.held.saturating_sub(host.held);
                host.held = 0;
            }
        }
        let is_recent =
            |host: &HostAccount| now.saturating_sub(host.reported_at) < HOST_RECORD_TIMEOUT;
        self.hosts.retain(|_, host| is_recent(host));
    }
}

/// Returns the signed change of a counter; counters can decrease.
fn difference(now: u64, previous: u64) -> f64 {
    now as f64 - previous as f64
}

/// Returns the largest whole number that exceeds neither the requested nor the
/// available amount.
fn grantable(requested: u32, available: f64) -> u32 {
    requested.min(available.max(0.0) as u32)
}

/// Returns the time until the given number of tokens has been refilled, in
/// milliseconds and within the bounds for retries.
fn wait_ms(missing: f64, rate_per_s: f64) -> u64 {
    let (shortest, longest) = RETRY_AFTER_BOUNDS;
    let seconds = (missing / rate_per_s).clamp(0.0, longest.as_secs_f64());
    let wait = Duration::try_from_secs_f64(seconds).unwrap_or(longest);
    wait.max(shortest).as_millis() as u64
}
