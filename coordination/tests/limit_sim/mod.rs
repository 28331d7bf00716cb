//! Simulation of hosts that enforce rate limits, of callers that send programs to
//! them, and of a network that loses, delays and partitions their messages.
//!
//! Time advances in steps of a few milliseconds; all random choices come from one
//! seed.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rosebend_coordination::gateway::batchers::PeerHost;
use rosebend_coordination::gateway::limits::local_quota::RequestClass;
use rosebend_coordination::gateway::limits::message::{AllocatorRequest, AllocatorResponse};
use rosebend_coordination::gateway::limits::{Decision, HostLimits, Tolerance};
use rosebend_state::deployment::CustomerLimit;

/// Duration of one step of the simulation.
const STEP: Duration = Duration::from_millis(5);
/// Time between two polls of a host for messages that are due.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which a request waits for a grant.
const GRANT_TIMEOUT: Duration = Duration::from_millis(60);
/// Time between two requests of a program.
const REQUEST_INTERVAL: Duration = Duration::from_millis(150);
/// Maximum attempts at a request before its program fails.
const MAX_ATTEMPTS: u32 = 3;
/// Messages that are lost, per thousand.
const LOST_PER_MILLE: u32 = 5;

/// Length of the time window over which a limit is checked.
pub const WINDOW: Duration = Duration::from_secs(5);
/// Tolerated number of requests beyond a limit.
pub const TOLERANCE: Tolerance = Tolerance {
    window: WINDOW,
    overage: 0.1,
    slack: 20.0,
};

/// A customer with its limit and the load that it sends.
#[derive(Clone, Copy, Debug)]
pub struct CustomerLoad {
    pub limit: CustomerLimit,
    /// Rate at which programs start.
    pub programs_per_s: f64,
    /// Requests of each program.
    pub requests: u32,
}

impl CustomerLoad {
    /// Creates a customer with the given rate limit and a load of `load_factor`
    /// times that rate.
    pub fn with_load_factor(rate_per_s: f64, load_factor: f64, requests: u32) -> Self {
        let limit = CustomerLimit {
            rate_per_s,
            burst: rate_per_s,
        };
        Self {
            limit,
            programs_per_s: rate_per_s * load_factor / f64::from(requests),
            requests,
        }
    }
}

/// Outcome of the requests and programs of a customer.
#[derive(Clone, Debug, Default)]
pub struct CustomerStats {
    /// Times at which requests were served, in milliseconds.
    pub served_ms: Vec<u64>,
    /// Times of the first attempts at requests, in milliseconds.
    pub first_attempts_ms: Vec<u64>,
    pub attempted: u64,
    /// Requests that were refused, also because the allocator was unavailable.
    pub refused: u64,
    pub started: u64,
    pub completed: u64,
    pub failed: u64,
}

impl CustomerStats {
    /// Returns the maximum number of requests that were served within a window, and
    /// the start of that window in milliseconds.
    pub fn worst_window(&self, window: Duration) -> (u64, u64) {
        let mut worst = (0, 0);
        let mut first = 0;
        for (index, at) in self.served_ms.iter().enumerate() {
            while at - self.served_ms[first] >= window.as_millis() as u64 {
                first += 1;
            }
            let count = (index - first + 1) as u64;
            worst = worst.max((count, self.served_ms[first]));
        }
        worst
    }

    /// Returns whether the first attempts at requests conformed to a limit at all
    /// times.
    pub fn conforms_to(&self, limit: CustomerLimit) -> bool {
        let mut remaining = limit.burst;
        let mut previous_ms = self.first_attempts_ms.first().copied().unwrap_or(0);
        self.first_attempts_ms.iter().all(|at_ms| {
            let elapsed_s = (at_ms - previous_ms) as f64 / 1_000.0;
            previous_ms = *at_ms;
            remaining = (remaining + limit.rate_per_s * elapsed_s).min(limit.burst) - 1.0;
            remaining >= 0.0
        })
    }

    /// Returns the requests beyond the tolerance in the worst window.
    pub fn excess(&self, limit: CustomerLimit) -> f64 {
        let allowed = limit.rate_per_s * WINDOW.as_secs_f64() + limit.burst;
        let allowed = allowed * (1.0 + TOLERANCE.overage) + TOLERANCE.slack;
        (self.worst_window(WINDOW).0 as f64 - allowed).max(0.0)
    }
}

#[derive(Clone, Debug)]
enum Message {
    AllocatorRequest(AllocatorRequest),
    AllocatorResponse(AllocatorResponse),
}

#[derive(Debug)]
struct Request {
    customer: usize,
    host: usize,
    class: RequestClass,
    arrived_at: Duration,
    remaining: u32,
    attempts: u32,
}

#[derive(Debug)]
struct Host {
    limits: HostLimits<usize>,
    incarnations: u32,
    is_running: bool,
    /// Whether the host is no longer in the table of hosts.
    is_removed: bool,
    next_poll_at: Duration,
}

#[derive(Debug)]
pub struct Simulation {
    pub now: Duration,
    hosts: Vec<Host>,
    pub customers: Vec<CustomerLoad>,
    pub stats: Vec<CustomerStats>,
    rng: ChaCha8Rng,
    /// Messages in flight, ordered by the time of their arrival.
    in_flight: VecDeque<(Duration, usize, usize, Message)>,
    waiting: Vec<Request>,
    deferred: BTreeMap<(Duration, u64), Request>,
    sequence: u64,
    /// Side of the network partition for each host; hosts on different sides receive
    /// no messages from each other.
    partition_sides: Vec<u32>,
    /// Flag for each host; if it is set, all messages from the host are lost.
    outbound_blocked: Vec<bool>,
    pub messages: u64,
}

fn customer_name(customer: usize) -> String {
    format!("customer-{customer}")
}

impl Simulation {
    pub fn new(hosts: usize, customers: Vec<CustomerLoad>, seed: u64) -> Self {
        let mut simulation = Self {
            now: Duration::ZERO,
            hosts: Vec::new(),
            stats: vec![CustomerStats::default(); customers.len()],
            customers,
            rng: ChaCha8Rng::seed_from_u64(seed),
            in_flight: VecDeque::new(),
            waiting: Vec::new(),
            deferred: BTreeMap::new(),
            sequence: 0,
            partition_sides: vec![0; hosts],
            outbound_blocked: vec![false; hosts],
            messages: 0,
        };
        for index in 0..hosts {
            let next_poll_at = STEP * (index as u32 % 20);
            simulation.hosts.push(Host {
                limits: HostLimits::new(String::new(), TOLERANCE),
                incarnations: 0,
                is_running: false,
                is_removed: false,
                next_poll_at,
            });
        }
        (0..hosts).for_each(|index| simulation.start_process(index));
        simulation.publish_hosts();
        simulation
    }

    /// Starts a new process of a host; all hosts learn about it immediately.
    pub fn start(&mut self, index: usize) {
        self.start_process(index);
        self.publish_hosts();
    }

    fn start_process(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        host.incarnations += 1;
        host.is_running = true;
        host.is_removed = false;
        host.limits = HostLimits::new(process_id(index, host.incarnations), TOLERANCE);
        let declared: HashMap<_, _> = self.declared();
        self.hosts[index].limits.set_limits(declared);
    }

    fn publish_hosts(&mut self) {
        let candidates = self.hosts.iter().enumerate();
        let candidates = candidates.filter(|(_, host)| !host.is_removed);
        let candidates = candidates.map(|(index, host)| PeerHost {
            host: format!("host-{index}"),
            process: process_id(index, host.incarnations),
            address: index,
            processor_milli: if index % 2 == 0 { 500 } else { 90 },
        });
        let candidates: Vec<_> = candidates.collect();
        for host in &mut self.hosts {
            host.limits.set_hosts(candidates.clone());
        }
    }

    fn declared(&self) -> HashMap<String, CustomerLimit> {
        let customers = self.customers.iter().enumerate();
        customers
            .map(|(index, load)| (customer_name(index), load.limit))
            .collect()
    }

    pub fn kill(&mut self, index: usize) {
        self.hosts[index].is_running = false;
        let (affected, unaffected): (Vec<_>, Vec<_>) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|request| request.host == index);
        self.waiting = unaffected;
        for request in affected {
            self.retry(request, Duration::from_millis(300));
        }
    }

    /// Removes the hosts that were killed from the table of hosts.
    pub fn remove_killed_hosts(&mut self) {
        for host in &mut self.hosts {
            host.is_removed = !host.is_running;
        }
        self.publish_hosts();
    }

    /// Partitions the network into the hosts below an index and the others.
    pub fn partition_at(&mut self, index: usize) {
        for (host, side) in self.partition_sides.iter_mut().enumerate() {
            *side = u32::from(host < index);
        }
    }

    /// Partitions the network so that no host reaches another one.
    pub fn isolate_all(&mut self) {
        for (host, side) in self.partition_sides.iter_mut().enumerate() {
            *side = host as u32;
        }
    }

    pub fn heal(&mut self) {
        self.partition_sides.fill(0);
        self.outbound_blocked.fill(false);
    }

    pub fn block_outbound(&mut self, index: usize) {
        self.outbound_blocked[index] = true;
    }

    /// Changes the declared limit of a customer.
    pub fn set_limit(&mut self, customer: usize, limit: CustomerLimit) {
        self.customers[customer].limit = limit;
        let declared = self.declared();
        for host in &mut self.hosts {
            host.limits.set_limits(declared.clone());
        }
    }

    /// Resets the statistics.
    pub fn reset_stats(&mut self) {
        self.stats.fill(CustomerStats::default());
    }

    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        self.deliver();
        self.poll_hosts();
        self.start_programs();
        while let Some(entry) = self.deferred.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let request = entry.remove();
            self.arrive(request);
        }
        self.decide_waiting();
    }

    fn start_programs(&mut self) {
        for customer in 0..self.customers.len() {
            let load = self.customers[customer];
            let mut expected = load.programs_per_s * STEP.as_secs_f64();
            while expected > 0.0 {
                if self.rng.random::<f64>() < expected {
                    self.stats[customer].started += 1;
                    let request = self.request(customer, RequestClass::ProgramStart, load.requests);
                    self.arrive(request);
                }
                expected -= 1.0;
            }
        }
    }

    fn request(&mut self, customer: usize, class: RequestClass, remaining: u32) -> Request {
        Request {
            customer,
            host: 0,
            class,
            arrived_at: self.now,
            remaining,
            attempts: 0,
        }
    }

    fn arrive(&mut self, mut request: Request) {
        let running: Vec<usize> = (0..self.hosts.len())
            .filter(|index| self.hosts[*index].is_running)
            .collect();
        if running.is_empty() {
            return self.retry(request, Duration::from_millis(300));
        }
        request.host = running[self.rng.random_range(0..running.len())];
        request.arrived_at = self.now;
        let stats = &mut self.stats[request.customer];
        stats.attempted += 1;
        if request.attempts == 0 {
            stats.first_attempts_ms.push(self.now.as_millis() as u64);
        }
        let customer_name = customer_name(request.customer);
        let limits = &mut self.hosts[request.host].limits;
        match limits.decide(&customer_name, request.class, self.now) {
            Decision::AwaitGrant => {
                limits.add_waiting(&customer_name, request.class);
                let quota_request = limits.urgent_request(&customer_name, self.now);
                let host = request.host;
                self.waiting.push(request);
                self.send_requests(host, quota_request);
            }
            decision => self.apply_decision(request, decision),
        }
    }

    fn decide_waiting(&mut self) {
        for request in std::mem::take(&mut self.waiting) {
            let customer_name = customer_name(request.customer);
            let limits = &mut self.hosts[request.host].limits;
            let mut decision = limits.decide(&customer_name, request.class, self.now);
            if decision == Decision::AwaitGrant && self.now - request.arrived_at >= GRANT_TIMEOUT {
                decision = limits.decide_after_timeout(&customer_name, request.class, self.now);
            }
            if decision == Decision::AwaitGrant {
                let quota_request = limits.urgent_request(&customer_name, self.now);
                let host = request.host;
                self.waiting.push(request);
                self.send_requests(host, quota_request);
                continue;
            }
            limits.remove_waiting(&customer_name, request.class);
            self.apply_decision(request, decision);
        }
    }

    fn apply_decision(&mut self, mut request: Request, decision: Decision) {
        let stats = &mut self.stats[request.customer];
        match decision {
            Decision::Admit => {
                stats.served_ms.push(self.now.as_millis() as u64);
                request.remaining -= 1;
                request.attempts = 0;
                request.class = RequestClass::Continuation;
                match request.remaining {
                    0 => stats.completed += 1,
                    _ => self.defer(request, REQUEST_INTERVAL),
                }
            }
            Decision::Refuse(wait) => self.reject(request, wait),
            Decision::AllocatorUnavailable(wait) => {
                self.reject(request, wait.max(Duration::from_millis(200)));
            }
            Decision::AwaitGrant => unreachable!("a request that waits for a grant is not decided"),
        }
    }

    fn reject(&mut self, request: Request, wait: Duration) {
        self.stats[request.customer].refused += 1;
        self.retry(request, wait.min(Duration::from_secs(1)));
    }

    fn retry(&mut self, mut request: Request, wait: Duration) {
        request.attempts += 1;
        match request.attempts >= MAX_ATTEMPTS {
            true => self.stats[request.customer].failed += 1,
            false => self.defer(request, wait),
        }
    }

    fn defer(&mut self, request: Request, wait: Duration) {
        self.sequence += 1;
        self.deferred
            .insert((self.now + wait, self.sequence), request);
    }

    fn poll_hosts(&mut self) {
        for index in 0..self.hosts.len() {
            let host = &mut self.hosts[index];
            if !host.is_running || self.now < host.next_poll_at {
                continue;
            }
            host.next_poll_at = self.now + POLL_INTERVAL;
            host.limits.expire(self.now);
            let quota_requests = host.limits.due_requests(self.now);
            self.send_requests(index, quota_requests);
        }
    }

    fn send_requests(
        &mut self,
        from: usize,
        quota_requests: impl IntoIterator<Item = (usize, AllocatorRequest)>,
    ) {
        for (to, quota_request) in quota_requests {
            self.send(from, to, Message::AllocatorRequest(quota_request));
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        self.messages += 1;
        let is_blocked =
            self.partition_sides[from] != self.partition_sides[to] || self.outbound_blocked[from];
        let is_lost = self.rng.random_range(0..1_000) < LOST_PER_MILLE;
        if is_blocked || is_lost {
            return;
        }
        let delay = Duration::from_millis(self.rng.random_range(1..8));
        let at = self.now + delay;
        let position = self.in_flight.partition_point(|(known, ..)| *known <= at);
        self.in_flight.insert(position, (at, from, to, message));
    }

    fn deliver(&mut self) {
        while let Some((at, ..)) = self.in_flight.front() {
            if *at > self.now {
                return;
            }
            let (_, from, to, message) = self.in_flight.pop_front().unwrap();
            if !self.hosts[to].is_running {
                continue;
            }
            let limits = &mut self.hosts[to].limits;
            match message {
                Message::AllocatorRequest(quota_request) => {
                    if let Some(response) = limits.handle_request(&quota_request, self.now) {
                        self.send(to, from, Message::AllocatorResponse(response));
                    }
                }
                Message::AllocatorResponse(response) => {
                    limits.handle_response(&response, self.now);
                }
            }
        }
    }
}

fn process_id(index: usize, incarnations: u32) -> String {
    format!("host-{index}/run-{incarnations}")
}

/// Returns a few large and many small customers, each with a load of `usual` times
/// its limit.
pub fn load_mix(count: usize, usual: f64) -> Vec<CustomerLoad> {
    let rate = |index: usize| (400.0 / (index as f64 + 1.0).powf(0.8)).max(14.0);
    let load = (0..count).map(|index| CustomerLoad::with_load_factor(rate(index), usual, 12));
    load.collect()
}
