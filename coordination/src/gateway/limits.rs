//! Customers' limits, which hold over all hosts together.
//!
//! Of each customer one host, its *allocator*, hands out the requests that its
//! limit allows, in small grants. A host serves a request from what it was
//! granted; when it has nothing left, it asks, which takes one datagram each way.
//! What a host has and does not use goes back with its next question.
//!
//! | what | where |
//! |---|---|
//! | a customer's bucket, and who has how much of it | [`allocator`], [`bucket`] |
//! | what a host has, and whether a request is served from it | [`stock`] |
//! | which host allocates, and how long it has been silent | [`links`] |
//! | what hosts say to each other | [`message`] |
//!
//! [`HostLimits`] joins them for one host.
//!
//! Nothing is agreed on. An allocator hands out the part of the limit that
//! belongs to the hosts which it heard lately and which heard it: hosts that are
//! cut off from each other find allocators of their own, and their parts add up
//! to the limit. An allocator that starts knows nothing and begins with a nearly
//! empty bucket, so that nothing is handed out twice after any restart.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use rosebend_state::deployment::{CustomerLimit, CustomerName};
use rosebend_util::hash_parts;

use self::allocator::Allocator;
use self::links::{Links, SILENT_AFTER};
use self::message::{Answer, Ask};
use self::stock::{Demand, Stock};
use crate::gateway::batchers::PeerHost;
use crate::gateway::ledger::Holder;

pub mod allocator;
pub mod bucket;
pub mod links;
pub mod message;
pub mod stock;

/// Groups of customers that have the same allocator. Few, so that each host has
/// to keep in touch with few others, however many there are.
const GROUPS: u64 = 16;
/// Customers of one message: with names of usual length no link splits it, and with
/// the longest ones it has a few kilobytes.
const MAX_CUSTOMERS: usize = 8;

/// A group of customers.
pub type Group = u64;

/// The group of a customer.
pub fn group_of(customer: &str) -> Group {
    hash_parts(&[customer.as_bytes()]) % GROUPS
}

/// How operators judge a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// The time over which they do.
    pub window: Duration,
    /// Part of what the limit allows in such a time by which it may be exceeded.
    pub overage: f64,
    /// Requests in such a time besides.
    pub slack: f64,
}

/// Whether a request of a customer is served.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// It is.
    Admit,
    /// The limit does not allow it; it may be tried again after this time.
    Refuse(Duration),
    /// The allocator has to be asked.
    Ask,
    /// Nobody can tell what the limit allows; after this time another allocator may.
    NotKnown(Duration),
}

/// What a host knows of a customer's limit, for the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Facts {
    /// Requests of the customer that this host has served.
    pub served: u64,
    /// The run of the host that hands out the limit; none when all are silent.
    pub allocator: Option<Holder>,
    /// How long ago it was last heard.
    pub heard: Option<Duration>,
}

/// The limits as one host keeps to them, and those that it allocates.
#[derive(Debug)]
pub struct HostLimits<A> {
    own_run: Holder,
    limits: HashMap<CustomerName, CustomerLimit>,
    tolerance: Tolerance,
    hosts: usize,
    /// Runs of all hosts; nobody else is listened to.
    runs: HashSet<Holder>,
    links: Links<A>,
    stocks: HashMap<CustomerName, Stock>,
    allocator: Allocator,
}

impl<A: Clone> HostLimits<A> {
    /// No customer and no other host known.
    pub fn new(own_run: Holder, tolerance: Tolerance) -> Self {
        Self {
            links: Links::new(own_run.clone()),
            own_run,
            limits: HashMap::new(),
            tolerance,
            hosts: 0,
            runs: HashSet::new(),
            stocks: HashMap::new(),
            allocator: Allocator::default(),
        }
    }

    /// Takes the limits that operators declare.
    pub fn set_limits(&mut self, limits: HashMap<CustomerName, CustomerLimit>) {
        self.stocks.retain(|name, _| limits.contains_key(name));
        self.allocator.retain(|name| limits.contains_key(name));
        self.limits = limits;
    }

    /// Sets how far customers may exceed their limits.
    pub fn set_tolerance(&mut self, tolerance: Tolerance) {
        self.tolerance = tolerance;
    }

    /// Takes all hosts that are there, this one among them.
    pub fn set_hosts(&mut self, hosts: Vec<PeerHost<A>>) {
        self.hosts = hosts.len();
        self.runs = hosts.iter().map(|host| host.process.clone()).collect();
        self.links.set_hosts(hosts);
    }

    /// Whether any customer has a limit.
    pub fn has_limits(&self) -> bool {
        !self.limits.is_empty()
    }

    /// Whether a request of a customer is served now.
    pub fn decide(&mut self, customer: &str, demand: Demand, now: Duration) -> Decision {
        if !self.limits.contains_key(customer) {
            return Decision::Admit;
        }
        self.stock(customer).decide(demand, now)
    }

    /// Whether a request is served whose allocator was asked and did not answer.
    pub fn decide_unanswered(&mut self, customer: &str, demand: Demand, now: Duration) -> Decision {
        if !self.limits.contains_key(customer) {
            return Decision::Admit;
        }
        let left = self.links.left(group_of(customer), now);
        if left.is_some() && self.stock(customer).go_on(demand, now) {
            return Decision::Admit;
        }
        Decision::NotKnown(left.unwrap_or(SILENT_AFTER))
    }

    /// Counts a request that waits until its allocator has answered.
    pub fn begin_waiting(&mut self, customer: &str, demand: Demand) {
        self.stock(customer).begin_waiting(demand);
    }

    /// Counts it no longer.
    pub fn end_waiting(&mut self, customer: &str, demand: Demand) {
        self.stock(customer).end_waiting(demand);
    }

    /// Takes back a request that was served and then did not run.
    pub fn give_back(&mut self, customer: &str, demand: Demand) {
        if let Some(stock) = self.stocks.get_mut(customer) {
            stock.give_back(demand);
        }
    }

    /// What a refusal was decided by.
    pub fn facts(&self, customer: &str, now: Duration) -> Facts {
        let allocator = self.links.current(group_of(customer), now);
        let run = allocator.map(|allocator| allocator.process.clone());
        let heard_ms = run.as_ref().and_then(|run| self.links.heard_ms(run, now));
        Facts {
            served: self.stocks.get(customer).map_or(0, Stock::served),
            allocator: run,
            heard: heard_ms.map(Duration::from_millis),
        }
    }

    fn stock(&mut self, customer: &str) -> &mut Stock {
        if !self.stocks.contains_key(customer) {
            self.stocks.insert(customer.to_owned(), Stock::default());
        }
        self.stocks.get_mut(customer).expect("it was just added")
    }

    /// What is to be asked for a customer at once, and where.
    pub fn asks_for(&mut self, customer: &str, now: Duration) -> Option<(A, Ask)> {
        let group = group_of(customer);
        let stock = self.stocks.get(customer)?;
        let allocator = self.links.current(group, now)?.clone();
        let is_due = stock.is_waiting() && stock.is_due(now);
        is_due.then(|| self.ask(vec![group], &allocator, &[customer.to_owned()], now))?
    }

    /// What is to be said to all allocators by and by, and where they answer.
    pub fn asks(&mut self, now: Duration) -> Vec<(A, Ask)> {
        if !self.has_limits() {
            return Vec::new();
        }
        let mut due = self.due_customers(now);
        let mut asks = Vec::new();
        for (allocator, groups) in self.links.to_tell(now) {
            let names = groups.iter().flat_map(|group| due.remove(group));
            let names: Vec<CustomerName> = names.flatten().collect();
            let is_due = self.links.is_due(&allocator.process, now);
            if names.is_empty() && is_due {
                asks.extend(self.ask(groups, &allocator, &[], now));
                continue;
            }
            for names in names.chunks(MAX_CUSTOMERS) {
                asks.extend(self.ask(groups.clone(), &allocator, names, now));
            }
        }
        asks
    }

    /// Customers of whom there is something to say, by their groups.
    fn due_customers(&self, now: Duration) -> HashMap<Group, Vec<CustomerName>> {
        let mut due: HashMap<Group, Vec<CustomerName>> = HashMap::new();
        for (name, stock) in &self.stocks {
            if stock.is_due(now) {
                due.entry(group_of(name)).or_default().push(name.clone());
            }
        }
        due
    }

    /// One question. What this host allocates itself is answered at once.
    fn ask(
        &mut self,
        groups: Vec<Group>,
        allocator: &PeerHost<A>,
        names: &[CustomerName],
        now: Duration,
    ) -> Option<(A, Ask)> {
        let number = self.links.say(&allocator.process, now);
        let stocks = names.iter().filter_map(|name| {
            let stock = self.stocks.get_mut(name)?;
            Some(stock.ask(name, number, now))
        });
        let ask = Ask {
            from: self.own_run.clone(),
            to: allocator.process.clone(),
            number,
            groups,
            heard_ms: self.links.heard_ms(&allocator.process, now),
            customers: stocks.collect(),
        };
        if allocator.process != self.own_run {
            return Some((allocator.address.clone(), ask));
        }
        let answer = self.allocate(&ask, now);
        self.take_answer(&answer, now);
        None
    }

    /// Answers a question; none when it is not for this run of this host, or not
    /// from a host of this deployment.
    pub fn take_ask(&mut self, ask: &Ask, now: Duration) -> Option<Answer> {
        let is_ours = ask.to == self.own_run && self.runs.contains(&ask.from);
        is_ours.then(|| self.allocate(ask, now))
    }

    fn allocate(&mut self, ask: &Ask, now: Duration) -> Answer {
        self.allocator.hear(ask, now);
        let customers = ask.customers.iter().filter_map(|wanted| {
            let limit = *self.limits.get(&wanted.customer)?;
            let allocator = &mut self.allocator;
            let share = allocator.share(group_of(&wanted.customer), self.hosts, now);
            Some(allocator.grant(&ask.from, wanted, limit, self.tolerance, share, now))
        });
        Answer {
            from: self.own_run.clone(),
            to: ask.from.clone(),
            number: ask.number,
            customers: customers.collect(),
        }
    }

    /// Takes an allocator's answer. One that is not the newest question's tells no
    /// more than that the allocator lives. Returns whether it was for this host.
    pub fn take_answer(&mut self, answer: &Answer, now: Duration) -> bool {
        if answer.to != self.own_run || !self.runs.contains(&answer.from) {
            return false;
        }
        self.links.heard(&answer.from, now);
        for granted in &answer.customers {
            if let Some(stock) = self.stocks.get_mut(&granted.customer) {
                stock.take(granted, answer.number, now);
            }
        }
        true
    }

    /// Forgets what is not needed any more.
    pub fn expire(&mut self, now: Duration) {
        self.allocator.expire(now);
        self.stocks.retain(|_, stock| !stock.is_idle(now));
    }
}
