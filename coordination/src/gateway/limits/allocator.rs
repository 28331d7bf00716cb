//! What of each customer's limit is handed out, and to whom.

use std::collections::HashMap;
use std::time::Duration;

use rosebend_state::deployment::{CustomerLimit, CustomerName};

use super::bucket::Bucket;
use super::links::SILENT_AFTER;
use super::message::{Ask, Granted, Wanted};
use super::{Group, Tolerance};
use crate::gateway::ledger::ProcessId;

/// Part of the tolerated overage, in proportion to the limit, that a bucket holds
/// besides the burst. The rest is for what is served unasked, and for
/// requests that reach their endpoints later than they were counted.
const OVERAGE_PART: f64 = 0.5;
/// The same of the requests that are tolerated besides. Small customers, whose requests
/// come in crowds of a few programs, need them most.
const SLACK_PART: f64 = 0.75;
/// The same of what a bucket holds that was never seen full: nobody knows what was
/// served before. With the parts above it is less than all that is tolerated.
const FIRST_OVERAGE_PART: f64 = 0.4;
const FIRST_SLACK_PART: f64 = 0.25;
/// Part of what is left that a host may have for requests which have not come, as
/// one in so many: what one host keeps, others lack.
const AHEAD_PART: f64 = 16.0;
/// Part of a full bucket that programs under way find at least, as one in so many,
/// before another one begins.
const RESERVED_PART: f64 = 12.0;
/// How full a bucket must be for programs to begin whatever they will need.
const AMPLE_PART: f64 = 0.9;
/// Time for which a program that begins may need requests: about what the longer
/// ones of the known sites take.
const PROGRAM_TIME: Duration = Duration::from_secs(2);
/// Requests of a program before any is known: a turn and two calls, a few times.
const USUAL_REQUESTS: f64 = 10.0;
/// Programs that the usual number weighs as much as.
const USUAL_WEIGHT: f64 = 4.0;
/// Time in which what was learned of programs loses half of its weight.
const LEARNED_HALF_LIFE: Duration = Duration::from_secs(10);
/// How long a customer's bucket is believed that no host asked for: within this time
/// an allocator that hosts have left is left by all of them.
const STALE_AFTER: Duration = Duration::from_millis(2_500);
/// How long a host that says nothing is remembered, with what it had.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(10);
/// Bounds on the time after which a refused request may come again. Callers follow
/// it for a third of the time that they have.
const WAITS: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(2));

/// The customers whose limits this host hands out.
#[derive(Debug, Default)]
pub struct Allocator {
    accounts: HashMap<CustomerName, Account>,
    /// Until when hosts count that keep to this one, by group.
    votes: HashMap<Group, HashMap<ProcessId, Duration>>,
    /// What programs of all customers needed.
    learned: Learned,
}

/// One customer's limit.
#[derive(Debug)]
struct Account {
    /// What the limit allows. What hosts have is still in it.
    requests: Bucket,
    /// The same for what the programs that began will need.
    begins: Bucket,
    hosts: HashMap<ProcessId, HostAccount>,
    /// Sum of what the hosts have.
    held: u64,
    /// When a host last asked.
    asked_at: Duration,
    learned: Learned,
}

/// What one host has of a customer's limit.
#[derive(Clone, Copy, Debug, Default)]
struct HostAccount {
    served: u64,
    begun: u64,
    held: u64,
    /// Programs that it was allowed to begin and has not told of.
    allowed_begins: u64,
    heard_at: Duration,
}

/// Requests and programs that began lately.
#[derive(Clone, Copy, Debug, Default)]
struct Learned {
    requests: f64,
    begins: f64,
    at: Duration,
}

impl Learned {
    fn add(&mut self, requests: f64, begins: f64, now: Duration) {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        let kept = 0.5_f64.powf(passed / LEARNED_HALF_LIFE.as_secs_f64());
        self.requests = self.requests * kept + requests.max(0.0);
        self.begins = self.begins * kept + begins.max(0.0);
        self.at = now;
    }

    /// Requests of one program, where `usual` is what programs usually need.
    fn requests_per_program(&self, usual: f64) -> f64 {
        let requests = self.requests + usual * USUAL_WEIGHT;
        (requests / (self.begins + USUAL_WEIGHT)).max(1.0)
    }
}

impl Allocator {
    /// Takes note of a host that keeps to this one.
    ///
    /// It counts until it would turn to another allocator, by when it last heard
    /// this one; so it counts at no two of them.
    pub fn hear(&mut self, ask: &Ask, now: Duration) {
        let heard = ask.heard_ms.map(Duration::from_millis);
        let Some(left) = heard.and_then(|heard| SILENT_AFTER.checked_sub(heard)) else {
            return;
        };
        for group in &ask.groups {
            let votes = self.votes.entry(*group).or_default();
            votes.insert(ask.from.clone(), now + left);
        }
    }

    /// The part of a group's limits that this host hands out: that of the hosts
    /// which keep to it.
    pub fn share(&self, group: Group, hosts: usize, now: Duration) -> f64 {
        let votes = self.votes.get(&group);
        let votes = votes.into_iter().flat_map(HashMap::values);
        let count = votes.filter(|until| **until >= now).count();
        (count as f64 / hosts.max(1) as f64).min(1.0)
    }

    /// Takes what a host says of a customer, and grants it what it may have.
    pub fn grant(
        &mut self,
        host: &ProcessId,
        wanted: &Wanted,
        limit: CustomerLimit,
        tolerance: Tolerance,
        share: f64,
        now: Duration,
    ) -> Granted {
        let sizes = Sizes::new(limit, tolerance);
        let account = self.accounts.entry(wanted.customer.clone());
        let account = account.or_insert_with(|| Account::new(&sizes, now));
        let rate = limit.rate_per_s * share;
        account.fill(rate, &sizes, now);
        let (served, begun) = account.report(host, wanted, now);
        account.learned.add(served, begun, now);
        self.learned.add(served, begun, now);
        let usual = self.learned.requests_per_program(USUAL_REQUESTS);
        let needed = account.learned.requests_per_program(usual);
        account.settle_begins(host, wanted, begun, needed);
        let granted = account.grant(host, wanted, &sizes, rate, needed);
        // A program that is refused requests needs them all the same, and those that
        // fail for it must not let more of them begin.
        let refused = wanted.waiting.saturating_sub(granted.requests);
        account.learned.add(f64::from(refused), 0.0, now);
        granted
    }

    /// Keeps the customers that are still declared.
    pub fn retain(&mut self, is_declared: impl Fn(&CustomerName) -> bool) {
        self.accounts.retain(|name, _| is_declared(name));
    }

    /// Counts what hosts had that are silent as used, and forgets them.
    pub fn expire(&mut self, now: Duration) {
        for votes in self.votes.values_mut() {
            votes.retain(|_, until| *until >= now);
        }
        for account in self.accounts.values_mut() {
            account.expire(now);
        }
        // Another host may have handed out a limit that this one was not asked for.
        self.accounts
            .retain(|_, account| now.saturating_sub(account.asked_at) < STALE_AFTER);
    }
}

/// What the buckets of a customer hold.
#[derive(Clone, Copy, Debug)]
struct Sizes {
    requests: f64,
    begins: f64,
    /// What is in the first when its allocator begins to know the customer.
    first: f64,
}

impl Sizes {
    fn new(limit: CustomerLimit, tolerance: Tolerance) -> Self {
        let allowed = limit.rate_per_s * tolerance.window.as_secs_f64() + limit.burst;
        let overage = allowed * tolerance.overage;
        let requests = limit.burst + overage * OVERAGE_PART + tolerance.slack * SLACK_PART;
        Self {
            requests,
            begins: requests + limit.rate_per_s * PROGRAM_TIME.as_secs_f64(),
            first: overage * FIRST_OVERAGE_PART + tolerance.slack * FIRST_SLACK_PART,
        }
    }
}

impl Account {
    fn new(sizes: &Sizes, now: Duration) -> Self {
        Self {
            requests: Bucket::new(sizes.first),
            begins: Bucket::new(sizes.begins / 2.0),
            hosts: HashMap::new(),
            held: 0,
            asked_at: now,
            learned: Learned::default(),
        }
    }

    /// Fills the buckets at a rate.
    fn fill(&mut self, rate_per_s: f64, sizes: &Sizes, now: Duration) {
        // Another host may have filled its own meanwhile. A customer that seldom asks
        // needs no more than comes in this time.
        let passed = now.saturating_sub(self.asked_at).min(SILENT_AFTER);
        self.requests.fill(rate_per_s, sizes.requests, passed);
        self.begins.fill(rate_per_s, sizes.begins, passed);
        self.asked_at = now;
    }

    /// Takes what a host says of itself. Returns what it served since it last did,
    /// and how many programs it began.
    fn report(&mut self, host: &ProcessId, wanted: &Wanted, now: Duration) -> (f64, f64) {
        let reported = HostAccount {
            served: wanted.served,
            begun: wanted.begun,
            held: u64::from(wanted.held) + u64::from(wanted.held_begins),
            allowed_begins: 0,
            heard_at: now,
        };
        // Of a host that is new here, nobody knows when it served what it did.
        let before = self.hosts.insert(host.clone(), reported);
        let before = before.unwrap_or(HostAccount {
            held: 0,
            ..reported
        });
        if let Some(host) = self.hosts.get_mut(host) {
            host.allowed_begins = before.allowed_begins;
        }
        self.held = self.held.saturating_sub(before.held) + reported.held;
        let served = difference(reported.served, before.served);
        let begun = difference(reported.begun, before.begun);
        self.requests.take(served);
        (served, begun)
    }

    /// Charges programs that a host began unasked, and takes back what was charged
    /// for those that it did not begin.
    fn settle_begins(&mut self, host: &ProcessId, wanted: &Wanted, begun: f64, needed: f64) {
        let Some(host) = self.hosts.get_mut(host) else {
            return;
        };
        let held = f64::from(wanted.held_begins);
        self.begins
            .take((begun + held - host.allowed_begins as f64) * needed);
        host.allowed_begins = u64::from(wanted.held_begins);
    }

    fn grant(
        &mut self,
        host: &ProcessId,
        wanted: &Wanted,
        sizes: &Sizes,
        rate_per_s: f64,
        needed: f64,
    ) -> Granted {
        let free = (self.requests.level() - self.held as f64).max(0.0);
        let requests = at_most(wanted.waiting, free);
        let left = free - f64::from(requests);
        let beginnable = self.beginnable(left, sizes, needed);
        let begins = at_most(wanted.waiting_begins, beginnable);
        let ahead = at_most(wanted.expected, (left - f64::from(begins)) / AHEAD_PART);
        let granted = u64::from(requests) + u64::from(begins) + u64::from(ahead);
        self.held += granted;
        self.begins.take(f64::from(begins) * needed);
        if let Some(host) = self.hosts.get_mut(host) {
            host.held += granted;
            host.allowed_begins += u64::from(begins);
        }
        let reserved = sizes.requests / RESERVED_PART + 1.0;
        let lacking = (reserved - left).max(needed - self.begins.level());
        Granted {
            customer: wanted.customer.clone(),
            requests: requests + ahead,
            begins,
            wait_ms: wait_ms(1.0 - left, rate_per_s),
            begin_wait_ms: wait_ms(lacking, rate_per_s),
        }
    }

    /// Programs that may begin with what is left.
    fn beginnable(&self, left: f64, sizes: &Sizes, needed: f64) -> f64 {
        let beyond = left - sizes.requests / RESERVED_PART;
        match self.requests.level() >= sizes.requests * AMPLE_PART {
            true => beyond,
            false => beyond.min(self.begins.level() / needed),
        }
    }

    fn expire(&mut self, now: Duration) {
        for host in self.hosts.values_mut() {
            if now.saturating_sub(host.heard_at) > SILENT_AFTER * 2 {
                self.requests.take(host.held as f64);
                self.held = self.held.saturating_sub(host.held);
                host.held = 0;
            }
        }
        let is_known = |host: &HostAccount| now.saturating_sub(host.heard_at) < FORGOTTEN_AFTER;
        self.hosts.retain(|_, host| is_known(host));
    }
}

/// How much a count has grown; it may have shrunk.
fn difference(now: u64, before: u64) -> f64 {
    now as f64 - before as f64
}

/// As many as are wanted, and no more than there are whole ones.
fn at_most(wanted: u32, there: f64) -> u32 {
    wanted.min(there.max(0.0) as u32)
}

/// How long it takes until so much more is there.
fn wait_ms(lacking: f64, rate_per_s: f64) -> u64 {
    let (least, most) = WAITS;
    let seconds = (lacking / rate_per_s).clamp(0.0, most.as_secs_f64());
    let wait = Duration::try_from_secs_f64(seconds).unwrap_or(most);
    wait.max(least).as_millis() as u64
}
