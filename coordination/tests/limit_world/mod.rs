//! Hosts that keep customers' limits, callers that send programs to them, and a
//! network that loses, delays and cuts their messages.
//!
//! Time goes on in steps of some milliseconds; all choices come from one seed.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rosebend_coordination::gateway::batchers::PeerHost;
use rosebend_coordination::gateway::limits::message::{Answer, Ask};
use rosebend_coordination::gateway::limits::stock::Demand;
use rosebend_coordination::gateway::limits::{Decision, HostLimits, Tolerance};
use rosebend_state::deployment::CustomerLimit;

/// A step of time.
const STEP: Duration = Duration::from_millis(5);
/// Between two looks of a host at what it has to say.
const LOOK: Duration = Duration::from_millis(100);
/// How long a request waits for its allocator.
const PATIENCE: Duration = Duration::from_millis(60);
/// From one request of a program to the next one.
const REQUEST_TIME: Duration = Duration::from_millis(150);
/// Tries of a request before its program fails.
const TRIES: u32 = 3;
/// Messages that are lost, of a thousand.
const LOST_PER_MILLE: u32 = 5;

/// The time over which operators judge a limit.
pub const WINDOW: Duration = Duration::from_secs(5);
/// What they bear beyond it.
pub const TOLERANCE: Tolerance = Tolerance {
    window: WINDOW,
    overage: 0.1,
    slack: 20.0,
};

/// A customer and what it sends.
#[derive(Clone, Copy, Debug)]
pub struct Sends {
    pub limit: CustomerLimit,
    /// Programs that begin in a second.
    pub programs_per_s: f64,
    /// Requests of each.
    pub requests: u32,
}

impl Sends {
    /// A customer whose limit is `rate`, and which needs `times` as much.
    pub fn times(rate_per_s: f64, times: f64, requests: u32) -> Self {
        let limit = CustomerLimit {
            rate_per_s,
            burst: rate_per_s,
        };
        Self {
            limit,
            programs_per_s: rate_per_s * times / f64::from(requests),
            requests,
        }
    }
}

/// How a customer fared.
#[derive(Clone, Debug, Default)]
pub struct Fared {
    /// When requests were served, in milliseconds.
    pub served_ms: Vec<u64>,
    /// When requests came for the first time, in milliseconds.
    pub needed_ms: Vec<u64>,
    pub asked: u64,
    /// Requests that were refused or of which nobody could tell.
    pub refused: u64,
    pub begun: u64,
    pub ended: u64,
    pub failed: u64,
}

impl Fared {
    /// Most requests that were served in a window, and when it began.
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

    /// Whether what came never was more than a limit allows at any moment.
    pub fn is_within(&self, limit: CustomerLimit) -> bool {
        let mut left = limit.burst;
        let mut before_ms = self.needed_ms.first().copied().unwrap_or(0);
        self.needed_ms.iter().all(|at_ms| {
            let passed_s = (at_ms - before_ms) as f64 / 1_000.0;
            before_ms = *at_ms;
            left = (left + limit.rate_per_s * passed_s).min(limit.burst) - 1.0;
            left >= 0.0
        })
    }

    /// Requests beyond what operators bear, in the worst window.
    pub fn beyond(&self, limit: CustomerLimit) -> f64 {
        let allowed = limit.rate_per_s * WINDOW.as_secs_f64() + limit.burst;
        let allowed = allowed * (1.0 + TOLERANCE.overage) + TOLERANCE.slack;
        (self.worst_window(WINDOW).0 as f64 - allowed).max(0.0)
    }
}

#[derive(Clone, Debug)]
enum Message {
    Ask(Ask),
    Answer(Answer),
}

#[derive(Debug)]
struct Request {
    customer: usize,
    host: usize,
    demand: Demand,
    since: Duration,
    left: u32,
    tries: u32,
}

#[derive(Debug)]
struct Host {
    limits: HostLimits<usize>,
    runs: u32,
    is_up: bool,
    look_at: Duration,
}

#[derive(Debug)]
pub struct World {
    pub now: Duration,
    hosts: Vec<Host>,
    pub customers: Vec<Sends>,
    pub fared: Vec<Fared>,
    rng: ChaCha8Rng,
    /// Messages by the time of their arrival.
    on_the_way: VecDeque<(Duration, usize, usize, Message)>,
    waiting: Vec<Request>,
    later: BTreeMap<(Duration, u64), Request>,
    number: u64,
    /// Sides of a cut by host; hosts of different sides do not hear each other.
    sides: Vec<u32>,
    /// Hosts whose words are heard by nobody.
    muted: Vec<bool>,
    pub messages: u64,
}

fn name(customer: usize) -> String {
    format!("customer-{customer}")
}

impl World {
    pub fn new(hosts: usize, customers: Vec<Sends>, seed: u64) -> Self {
        let mut world = Self {
            now: Duration::ZERO,
            hosts: Vec::new(),
            fared: vec![Fared::default(); customers.len()],
            customers,
            rng: ChaCha8Rng::seed_from_u64(seed),
            on_the_way: VecDeque::new(),
            waiting: Vec::new(),
            later: BTreeMap::new(),
            number: 0,
            sides: vec![0; hosts],
            muted: vec![false; hosts],
            messages: 0,
        };
        for index in 0..hosts {
            let look_at = STEP * (index as u32 % 20);
            world.hosts.push(Host {
                limits: HostLimits::new(String::new(), TOLERANCE),
                runs: 0,
                is_up: false,
                look_at,
            });
        }
        (0..hosts).for_each(|index| world.start_run(index));
        world.tell_hosts();
        world
    }

    /// Starts a host anew; all others learn of its run at once.
    pub fn start(&mut self, index: usize) {
        self.start_run(index);
        self.tell_hosts();
    }

    fn start_run(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        host.runs += 1;
        host.is_up = true;
        host.limits = HostLimits::new(run(index, host.runs), TOLERANCE);
        let declared: HashMap<_, _> = self.declared();
        self.hosts[index].limits.set_limits(declared);
    }

    fn tell_hosts(&mut self) {
        let candidates = self.hosts.iter().enumerate();
        let candidates = candidates.map(|(index, host)| PeerHost {
            host: format!("host-{index}"),
            process: run(index, host.runs),
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
            .map(|(index, sends)| (name(index), sends.limit))
            .collect()
    }

    pub fn kill(&mut self, index: usize) {
        self.hosts[index].is_up = false;
        let (dead, alive): (Vec<_>, Vec<_>) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|request| request.host == index);
        self.waiting = alive;
        for request in dead {
            self.try_again(request, Duration::from_millis(300));
        }
    }

    /// Cuts hosts into two sides, those before and from an index on.
    pub fn cut_at(&mut self, index: usize) {
        for (host, side) in self.sides.iter_mut().enumerate() {
            *side = u32::from(host < index);
        }
    }

    pub fn heal(&mut self) {
        self.sides.fill(0);
        self.muted.fill(false);
    }

    pub fn mute(&mut self, index: usize) {
        self.muted[index] = true;
    }

    /// Operators declare another limit.
    pub fn set_limit(&mut self, customer: usize, limit: CustomerLimit) {
        self.customers[customer].limit = limit;
        let declared = self.declared();
        for host in &mut self.hosts {
            host.limits.set_limits(declared.clone());
        }
    }

    /// Counts from now on.
    pub fn forget(&mut self) {
        self.fared.fill(Fared::default());
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
        self.look();
        self.begin_programs();
        while let Some(entry) = self.later.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let request = entry.remove();
            self.arrive(request);
        }
        self.decide_waiting();
    }

    fn begin_programs(&mut self) {
        for customer in 0..self.customers.len() {
            let sends = self.customers[customer];
            let mut expected = sends.programs_per_s * STEP.as_secs_f64();
            while expected > 0.0 {
                if self.rng.random::<f64>() < expected {
                    self.fared[customer].begun += 1;
                    let request = self.request(customer, Demand::Begin, sends.requests);
                    self.arrive(request);
                }
                expected -= 1.0;
            }
        }
    }

    fn request(&mut self, customer: usize, demand: Demand, left: u32) -> Request {
        Request {
            customer,
            host: 0,
            demand,
            since: self.now,
            left,
            tries: 0,
        }
    }

    fn arrive(&mut self, mut request: Request) {
        let up: Vec<usize> = (0..self.hosts.len())
            .filter(|index| self.hosts[*index].is_up)
            .collect();
        if up.is_empty() {
            return self.try_again(request, Duration::from_millis(300));
        }
        request.host = up[self.rng.random_range(0..up.len())];
        request.since = self.now;
        let fared = &mut self.fared[request.customer];
        fared.asked += 1;
        if request.tries == 0 {
            fared.needed_ms.push(self.now.as_millis() as u64);
        }
        let name = name(request.customer);
        let limits = &mut self.hosts[request.host].limits;
        match limits.decide(&name, request.demand, self.now) {
            Decision::Ask => {
                limits.begin_waiting(&name, request.demand);
                let ask = limits.asks_for(&name, self.now);
                let host = request.host;
                self.waiting.push(request);
                self.send_asks(host, ask);
            }
            decision => self.decided(request, decision),
        }
    }

    fn decide_waiting(&mut self) {
        for request in std::mem::take(&mut self.waiting) {
            let name = name(request.customer);
            let limits = &mut self.hosts[request.host].limits;
            let mut decision = limits.decide(&name, request.demand, self.now);
            if decision == Decision::Ask && self.now - request.since >= PATIENCE {
                decision = limits.decide_unanswered(&name, request.demand, self.now);
            }
            if decision == Decision::Ask {
                let ask = limits.asks_for(&name, self.now);
                let host = request.host;
                self.waiting.push(request);
                self.send_asks(host, ask);
                continue;
            }
            limits.end_waiting(&name, request.demand);
            self.decided(request, decision);
        }
    }

    fn decided(&mut self, mut request: Request, decision: Decision) {
        let fared = &mut self.fared[request.customer];
        match decision {
            Decision::Admit => {
                fared.served_ms.push(self.now.as_millis() as u64);
                request.left -= 1;
                request.tries = 0;
                request.demand = Demand::Request;
                match request.left {
                    0 => fared.ended += 1,
                    _ => self.put_off(request, REQUEST_TIME),
                }
            }
            Decision::Refuse(wait) => self.refused(request, wait),
            Decision::NotKnown(wait) => {
                self.refused(request, wait.max(Duration::from_millis(200)));
            }
            Decision::Ask => unreachable!("it waits"),
        }
    }

    fn refused(&mut self, request: Request, wait: Duration) {
        self.fared[request.customer].refused += 1;
        self.try_again(request, wait.min(Duration::from_secs(1)));
    }

    fn try_again(&mut self, mut request: Request, wait: Duration) {
        request.tries += 1;
        match request.tries >= TRIES {
            true => self.fared[request.customer].failed += 1,
            false => self.put_off(request, wait),
        }
    }

    fn put_off(&mut self, request: Request, wait: Duration) {
        self.number += 1;
        self.later.insert((self.now + wait, self.number), request);
    }

    fn look(&mut self) {
        for index in 0..self.hosts.len() {
            let host = &mut self.hosts[index];
            if !host.is_up || self.now < host.look_at {
                continue;
            }
            host.look_at = self.now + LOOK;
            host.limits.expire(self.now);
            let asks = host.limits.asks(self.now);
            self.send_asks(index, asks);
        }
    }

    fn send_asks(&mut self, from: usize, asks: impl IntoIterator<Item = (usize, Ask)>) {
        for (to, ask) in asks {
            self.send(from, to, Message::Ask(ask));
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        self.messages += 1;
        let is_cut = self.sides[from] != self.sides[to] || self.muted[from];
        let is_lost = self.rng.random_range(0..1_000) < LOST_PER_MILLE;
        if is_cut || is_lost {
            return;
        }
        let delay = Duration::from_millis(self.rng.random_range(1..8));
        let at = self.now + delay;
        let place = self.on_the_way.partition_point(|(known, ..)| *known <= at);
        self.on_the_way.insert(place, (at, from, to, message));
    }

    fn deliver(&mut self) {
        while let Some((at, ..)) = self.on_the_way.front() {
            if *at > self.now {
                return;
            }
            let (_, from, to, message) = self.on_the_way.pop_front().unwrap();
            if !self.hosts[to].is_up {
                continue;
            }
            let limits = &mut self.hosts[to].limits;
            match message {
                Message::Ask(ask) => {
                    if let Some(answer) = limits.take_ask(&ask, self.now) {
                        self.send(to, from, Message::Answer(answer));
                    }
                }
                Message::Answer(answer) => {
                    limits.take_answer(&answer, self.now);
                }
            }
        }
    }
}

fn run(index: usize, runs: u32) -> String {
    format!("host-{index}/run-{runs}")
}

/// Customers of a few large and many small ones, each sending a part of its
/// limit, as `usual` says.
pub fn many(count: usize, usual: f64) -> Vec<Sends> {
    let rate = |index: usize| (400.0 / (index as f64 + 1.0).powf(0.8)).max(14.0);
    let sends = (0..count).map(|index| Sends::times(rate(index), usual, 12));
    sends.collect()
}
