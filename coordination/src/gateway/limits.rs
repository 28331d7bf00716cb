//! Enforces the rate limits of customers across all hosts.
//!
//! For each customer, one host, the *allocator*, holds the token bucket and divides
//! its tokens among the hosts in small grants. A host serves a request from its
//! local quota. When the quota is used up, the host requests more, which takes one
//! datagram in each direction. Each quota request also reports what the host still
//! holds, so that unused quota returns to the allocator.
//!
//! | subject | module |
//! |---|---|
//! | the token buckets of customers and the quota that each host holds | [`allocator`], [`bucket`] |
//! | the local quota of a host, and admission of requests against it | [`local_quota`] |
//! | choice of the allocator, and detection of allocators that do not respond | [`links`] |
//! | messages between hosts | [`message`] |
//!
//! [`HostLimits`] combines them for one host.
//!
//! The protocol needs no consensus. An allocator grants the fraction of a limit that
//! corresponds to the fraction of hosts which recently sent to it and recently
//! received its response. Hosts that are partitioned from each other choose
//! different allocators, whose fractions add up to at most the limit. An allocator
//! that starts has no record of earlier grants. It starts with a nearly empty
//! bucket, so that a restart does not grant the same tokens twice.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use rosebend_state::deployment::{CustomerLimit, CustomerName};
use rosebend_util::hash_parts;

use self::allocator::Allocator;
use self::links::{ALLOCATOR_TIMEOUT, AllocatorLinks};
use self::local_quota::{LocalQuota, RequestClass};
use self::message::{AllocatorRequest, AllocatorResponse};
use crate::gateway::batchers::PeerHost;
use crate::gateway::ledger::ProcessId;

pub mod allocator;
pub mod bucket;
pub mod links;
pub mod local_quota;
pub mod message;

/// Number of customer groups; all customers of a group have the same allocator. The
/// number is small so that each host exchanges messages with few others, however
/// many hosts there are.
const GROUP_COUNT: u64 = 16;
/// Maximum number of customers in one message. With names of usual length, the
/// datagram needs no fragmentation on any link; with names of the maximum length, it
/// has a few kilobytes.
const MAX_CUSTOMERS: usize = 8;

/// Index of a group of customers.
pub type Group = u64;

/// Returns the group of a customer.
pub fn group_of(customer: &str) -> Group {
    hash_parts(&[customer.as_bytes()]) % GROUP_COUNT
}

/// Number of requests that may be served beyond a customer's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tolerance {
    /// Length of the time window over which a limit is checked.
    pub window: Duration,
    /// Overage that is tolerated within a window, as a fraction of the requests that
    /// the limit allows in it.
    pub overage: f64,
    /// Number of requests per window that are tolerated in addition to the overage.
    pub slack: f64,
}

/// Result of checking a request against the limit of its customer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The request is served.
    Admit,
    /// The limit does not allow the request; the caller may retry after this time.
    Refuse(Duration),
    /// The local quota is used up; a grant has to be requested from the allocator.
    AwaitGrant,
    /// The allocator does not respond; another one may take over after this time.
    AllocatorUnavailable(Duration),
}

/// State of a customer's limit on one host, for the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LimitStatus {
    /// Requests of the customer that this host has served.
    pub served: u64,
    /// Process that allocates the limit, or none if no allocator responds.
    pub allocator: Option<ProcessId>,
    /// Time since the last response of the allocator.
    pub response_age: Option<Duration>,
}

/// Local quotas of one host, and the limits that this host allocates.
#[derive(Debug)]
pub struct HostLimits<A> {
    own_process: ProcessId,
    limits: HashMap<CustomerName, CustomerLimit>,
    tolerance: Tolerance,
    host_count: usize,
    /// Processes of all known hosts; messages of any other process are ignored.
    processes: HashSet<ProcessId>,
    links: AllocatorLinks<A>,
    local_quotas: HashMap<CustomerName, LocalQuota>,
    allocator: Allocator,
}

impl<A: Clone> HostLimits<A> {
    /// Creates the state of a host without customers and without other hosts.
    pub fn new(own_process: ProcessId, tolerance: Tolerance) -> Self {
        Self {
            links: AllocatorLinks::new(own_process.clone()),
            own_process,
            limits: HashMap::new(),
            tolerance,
            host_count: 0,
            processes: HashSet::new(),
            local_quotas: HashMap::new(),
            allocator: Allocator::default(),
        }
    }

    /// Replaces the limits with those that operators have declared.
    pub fn set_limits(&mut self, limits: HashMap<CustomerName, CustomerLimit>) {
        self.local_quotas
            .retain(|name, _| limits.contains_key(name));
        self.allocator.retain(|name| limits.contains_key(name));
        self.limits = limits;
    }

    /// Sets how far customers may exceed their limits.
    pub fn set_tolerance(&mut self, tolerance: Tolerance) {
        self.tolerance = tolerance;
    }

    /// Replaces the set of known hosts, which includes this host.
    pub fn set_hosts(&mut self, hosts: Vec<PeerHost<A>>) {
        self.host_count = hosts.len();
        self.processes = hosts.iter().map(|host| host.process.clone()).collect();
        self.links.set_hosts(hosts);
    }

    /// Returns whether any customer has a limit.
    pub fn has_limits(&self) -> bool {
        !self.limits.is_empty()
    }

    /// Checks a request of a customer against the local quota.
    pub fn decide(&mut self, customer: &str, class: RequestClass, now: Duration) -> Decision {
        if !self.limits.contains_key(customer) {
            return Decision::Admit;
        }
        self.local_quota(customer).decide(class, now)
    }

    /// Checks a request for which the allocator did not respond in time. Some
    /// requests are admitted without a grant until another allocator is due to take
    /// over.
    pub fn decide_after_timeout(
        &mut self,
        customer: &str,
        class: RequestClass,
        now: Duration,
    ) -> Decision {
        if !self.limits.contains_key(customer) {
            return Decision::Admit;
        }
        let time_to_switch = self.links.time_to_switch(group_of(customer), now);
        if time_to_switch.is_some() && self.local_quota(customer).admit_unacknowledged(class, now) {
            return Decision::Admit;
        }
        Decision::AllocatorUnavailable(time_to_switch.unwrap_or(ALLOCATOR_TIMEOUT))
    }

    /// Counts a request that waits for a grant.
    pub fn add_waiting(&mut self, customer: &str, class: RequestClass) {
        self.local_quota(customer).add_waiting(class);
    }

    /// Removes a request from the count of waiting requests.
    pub fn remove_waiting(&mut self, customer: &str, class: RequestClass) {
        self.local_quota(customer).remove_waiting(class);
    }

    /// Subtracts a request that was admitted and then not run.
    pub fn refund(&mut self, customer: &str, class: RequestClass) {
        if let Some(local_quota) = self.local_quotas.get_mut(customer) {
            local_quota.refund(class);
        }
    }

    /// Returns the state on which a refusal of the customer is based.
    pub fn status(&self, customer: &str, now: Duration) -> LimitStatus {
        let allocator = self.links.current(group_of(customer), now);
        let process = allocator.map(|allocator| allocator.process.clone());
        let response_age_ms = process
            .as_ref()
            .and_then(|process| self.links.response_age_ms(process, now));
        LimitStatus {
            served: self
                .local_quotas
                .get(customer)
                .map_or(0, LocalQuota::served),
            allocator: process,
            response_age: response_age_ms.map(Duration::from_millis),
        }
    }

    fn local_quota(&mut self, customer: &str) -> &mut LocalQuota {
        if !self.local_quotas.contains_key(customer) {
            self.local_quotas
                .insert(customer.to_owned(), LocalQuota::default());
        }
        self.local_quotas
            .get_mut(customer)
            .expect("the customer was just inserted")
    }

    /// Returns the quota request that has to be sent for a customer immediately, and
    /// the address of its allocator.
    pub fn urgent_request(
        &mut self,
        customer: &str,
        now: Duration,
    ) -> Option<(A, AllocatorRequest)> {
        let group = group_of(customer);
        let local_quota = self.local_quotas.get(customer)?;
        let allocator = self.links.current(group, now)?.clone();
        let is_due = local_quota.is_waiting() && local_quota.is_due(now);
        is_due.then(|| self.build_request(vec![group], &allocator, &[customer.to_owned()], now))?
    }

    /// Returns the requests that are due to all allocators, and their addresses.
    pub fn due_requests(&mut self, now: Duration) -> Vec<(A, AllocatorRequest)> {
        if !self.has_limits() {
            return Vec::new();
        }
        let mut due = self.due_customers(now);
        let mut due_requests = Vec::new();
        for (allocator, groups) in self.links.recipients(now) {
            let names = groups.iter().flat_map(|group| due.remove(group));
            let names: Vec<CustomerName> = names.flatten().collect();
            let is_due = self.links.is_due(&allocator.process, now);
            if names.is_empty() && is_due {
                due_requests.extend(self.build_request(groups, &allocator, &[], now));
                continue;
            }
            for names in names.chunks(MAX_CUSTOMERS) {
                due_requests.extend(self.build_request(groups.clone(), &allocator, names, now));
            }
        }
        due_requests
    }

    /// Returns the customers for which a message to the allocator is due, by group.
    fn due_customers(&self, now: Duration) -> HashMap<Group, Vec<CustomerName>> {
        let mut due: HashMap<Group, Vec<CustomerName>> = HashMap::new();
        for (name, local_quota) in &self.local_quotas {
            if local_quota.is_due(now) {
                due.entry(group_of(name)).or_default().push(name.clone());
            }
        }
        due
    }

    /// Builds one request to an allocator. If this host is the allocator, the
    /// request is handled locally and nothing is returned.
    fn build_request(
        &mut self,
        groups: Vec<Group>,
        allocator: &PeerHost<A>,
        names: &[CustomerName],
        now: Duration,
    ) -> Option<(A, AllocatorRequest)> {
        let number = self.links.record_request(&allocator.process, now);
        let local_quotas = names.iter().filter_map(|name| {
            let local_quota = self.local_quotas.get_mut(name)?;
            Some(local_quota.build_request(name, number, now))
        });
        let request = AllocatorRequest {
            from: self.own_process.clone(),
            to: allocator.process.clone(),
            number,
            groups,
            response_age_ms: self.links.response_age_ms(&allocator.process, now),
            customers: local_quotas.collect(),
        };
        if allocator.process != self.own_process {
            return Some((allocator.address.clone(), request));
        }
        let response = self.allocate(&request, now);
        self.handle_response(&response, now);
        None
    }

    /// Handles a request of another host. Returns none if it is addressed to another
    /// process or sent by a process that does not belong to the deployment.
    pub fn handle_request(
        &mut self,
        request: &AllocatorRequest,
        now: Duration,
    ) -> Option<AllocatorResponse> {
        let is_valid = request.to == self.own_process && self.processes.contains(&request.from);
        is_valid.then(|| self.allocate(request, now))
    }

    fn allocate(&mut self, request: &AllocatorRequest, now: Duration) -> AllocatorResponse {
        self.allocator.record_follower(request, now);
        let customers = request.customers.iter().filter_map(|requested| {
            let limit = *self.limits.get(&requested.customer)?;
            let allocator = &mut self.allocator;
            let group = group_of(&requested.customer);
            let is_preferred = self.links.is_preferred(group, &self.own_process);
            let share = allocator.share(group, self.host_count, is_preferred, now);
            Some(allocator.grant(&request.from, requested, limit, self.tolerance, share, now))
        });
        AllocatorResponse {
            from: self.own_process.clone(),
            to: request.from.clone(),
            number: request.number,
            customers: customers.collect(),
        }
    }

    /// Handles the response of an allocator and returns whether it was addressed to
    /// this host. A response to an older request only proves that the allocator is
    /// alive.
    pub fn handle_response(&mut self, response: &AllocatorResponse, now: Duration) -> bool {
        if response.to != self.own_process || !self.processes.contains(&response.from) {
            return false;
        }
        self.links.record_response(&response.from, now);
        for granted in &response.customers {
            if let Some(local_quota) = self.local_quotas.get_mut(&granted.customer) {
                local_quota.apply_grant(granted, response.number, now);
            }
        }
        true
    }

    /// Removes state that is no longer needed.
    pub fn expire(&mut self, now: Duration) {
        self.allocator.expire(now);
        self.local_quotas
            .retain(|_, local_quota| !local_quota.is_idle(now));
    }
}
