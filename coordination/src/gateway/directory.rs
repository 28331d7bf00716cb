//! The endpoints that are there, and the choice among them.
//!
//! - `listing`: which endpoints there are, and which start of each.
//! - `endpoint`: what is known of one of them.
//! - `cost`: what a request costs there.

use std::collections::{HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use rosebend_state::deployment::{
    EndpointIdentity, EndpointLoad, EndpointRecord, InstanceId, ServiceName,
};
use rosebend_state::id::AvailabilityZone;

mod cost;
mod endpoint;
mod listing;

pub use self::listing::Listing;

use self::endpoint::{Endpoint, ReportedLoad, smooth};
use self::listing::Gone;

/// First time for which an endpoint that failed is avoided; it doubles with
/// each failure in a row.
const FIRST_AVOIDANCE: Duration = Duration::from_millis(300);
/// Longest time for which an endpoint that failed is avoided.
const MAX_AVOIDANCE: Duration = Duration::from_millis(2_400);
/// Latency ratio below which endpoints count as equally fast: work varies from
/// request to request by more than that.
const NOTABLE_SLOWNESS: f64 = 1.6;
/// Weight of a new outcome in the share of failures; about the last seven count.
const FAILURE_WEIGHT: f64 = 0.15;
/// Weight of a failure that a peer tells of.
const OVERHEARD_WEIGHT: f64 = 0.08;
/// Failures that are kept to be told to peers.
const MAX_RECENT_FAILURES: usize = 64;

/// What a request wants from its endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub struct Wish<'a> {
    /// The endpoint that has the request's prompt or object in memory.
    pub warm: Option<&'a EndpointIdentity>,
    /// Prompt tokens that every other endpoint has to read.
    pub warm_tokens: u64,
    /// Whether the request is a turn at a model engine.
    pub is_turn: bool,
    /// Endpoints that were asked already.
    pub asked: &'a [EndpointIdentity],
    /// What the request is about, to spread choices.
    pub subject: &'a str,
}

/// A chosen endpoint, with what decided.
#[derive(Clone, Copy, Debug)]
pub struct Choice<'a> {
    /// The endpoint.
    pub record: &'a EndpointRecord,
    /// Requests that it was expected to have.
    pub expected_load: u64,
    /// Age of the load that it last told; none when it has told none.
    pub report_age: Option<Duration>,
}

/// The endpoints of all services, as this host knows them.
#[derive(Debug)]
pub struct Directory {
    availability_zone: AvailabilityZone,
    /// The latest start of each endpoint.
    endpoints: HashMap<InstanceId, Endpoint>,
    /// Endpoints whose entry was gone less than [`listing::LATE_WRITE_TIME`] ago.
    gone: HashMap<InstanceId, Gone>,
    /// Services that operators have declared; none before they were read.
    services: Option<HashSet<ServiceName>>,
    /// Smoothed latency of each service in milliseconds.
    service_latency_ms: HashMap<ServiceName, f64>,
    /// Failures that this host saw itself, the newest last.
    recent_failures: VecDeque<(EndpointIdentity, Duration)>,
}

impl Directory {
    /// An empty directory of a host in an availability zone.
    pub fn new(availability_zone: AvailabilityZone) -> Self {
        Self {
            availability_zone,
            endpoints: HashMap::new(),
            gone: HashMap::new(),
            services: None,
            service_latency_ms: HashMap::new(),
            recent_failures: VecDeque::new(),
        }
    }

    /// Number of endpoints that are given requests.
    pub fn len(&self) -> usize {
        let is_used = |endpoint: &&Endpoint| {
            endpoint.takes_requests() && self.is_declared(&endpoint.record.service)
        };
        self.endpoints.values().filter(is_used).count()
    }

    /// Takes the names of the services that operators have declared.
    pub fn declare(&mut self, services: impl IntoIterator<Item = ServiceName>) {
        self.services = Some(services.into_iter().collect());
    }

    fn is_declared(&self, service: &str) -> bool {
        let services = self.services.as_ref();
        services.is_none_or(|services| services.contains(service))
    }

    /// Endpoints of services that nobody has declared; no route leads to them.
    pub fn undeclared(&self) -> Vec<InstanceId> {
        let endpoints = self.endpoints.values().map(|endpoint| &endpoint.record);
        let undeclared = endpoints.filter(|record| !self.is_declared(&record.service));
        undeclared
            .map(|record| record.identity.instance.clone())
            .collect()
    }

    /// Whether no endpoint is given requests.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Whether any start of an endpoint is listed.
    pub fn is_listed(&self, instance: &str) -> bool {
        self.endpoints.contains_key(instance)
    }

    /// Whether this start is still listed.
    pub fn contains(&self, identity: &EndpointIdentity) -> bool {
        self.start(identity).is_some()
    }

    /// Whether a later start of the endpoint is listed.
    pub fn has_started_again(&self, identity: &EndpointIdentity) -> bool {
        let known = self.endpoints.get(&identity.instance);
        known.is_some_and(|known| identity.is_before(&known.record.identity))
    }

    /// Where a start listens, while it is listed.
    pub fn address(&self, identity: &EndpointIdentity) -> Option<SocketAddr> {
        self.start(identity).map(|endpoint| endpoint.record.address)
    }

    /// What is known of a start; nothing when another one is listed.
    fn start(&self, identity: &EndpointIdentity) -> Option<&Endpoint> {
        let known = self.endpoints.get(&identity.instance);
        known.filter(|known| known.record.identity == *identity)
    }

    fn start_mut(&mut self, identity: &EndpointIdentity) -> Option<&mut Endpoint> {
        let known = self.endpoints.get_mut(&identity.instance);
        known.filter(|known| known.record.identity == *identity)
    }

    /// Chooses an endpoint of a service, or none when all were asked or leave.
    /// `is_connected` tells whether an idle connection to a start is open.
    pub fn choose(
        &self,
        service: &str,
        wish: Wish<'_>,
        now: Duration,
        is_connected: impl Fn(&EndpointIdentity) -> bool,
    ) -> Option<Choice<'_>> {
        let is_candidate = |endpoint: &&Endpoint| {
            endpoint.record.service == service
                && endpoint.takes_requests()
                && !wish.asked.contains(&endpoint.record.identity)
        };
        let candidates = self.endpoints.values().filter(is_candidate);
        let costs = candidates.map(|endpoint| {
            let has_connection = is_connected(&endpoint.record.identity);
            (self.cost_ms(endpoint, wish, has_connection, now), endpoint)
        });
        let best = costs.min_by(|a, b| a.0.total_cmp(&b.0));
        best.map(|(_, endpoint)| endpoint.choice(now))
    }

    /// How many times slower than its service an endpoint is; 1 when alike.
    fn slowness(&self, endpoint: &Endpoint) -> f64 {
        let service = self.service_latency_ms.get(&endpoint.record.service);
        let service_ms = service.copied().unwrap_or(0.0);
        if service_ms <= 0.0 || endpoint.latency_ms <= 0.0 {
            return 1.0;
        }
        let ratio = endpoint.latency_ms / service_ms;
        if ratio < NOTABLE_SLOWNESS { 1.0 } else { ratio }
    }

    /// Notes that a request was given to an endpoint.
    pub fn begin(&mut self, identity: &EndpointIdentity) {
        if let Some(endpoint) = self.start_mut(identity) {
            endpoint.in_flight += 1;
        }
    }

    /// Notes that an endpoint is done with a request.
    pub fn end(&mut self, identity: &EndpointIdentity) {
        if let Some(endpoint) = self.start_mut(identity) {
            endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
        }
    }

    /// Takes the load that an endpoint told.
    pub fn report(&mut self, identity: &EndpointIdentity, load: EndpointLoad, now: Duration) {
        if let Some(endpoint) = self.start_mut(identity) {
            endpoint.note_load(load, now, true);
        }
    }

    /// Takes a load that another host heard at a time, unless a newer one is
    /// known.
    pub fn overhear(&mut self, identity: &EndpointIdentity, load: EndpointLoad, at: Duration) {
        let Some(endpoint) = self.start_mut(identity) else {
            return;
        };
        if endpoint.load.is_none_or(|report| report.at < at) {
            endpoint.note_load(load, at, false);
        }
    }

    /// Loads that this host heard itself since a time.
    pub fn heard_since(
        &self,
        since: Duration,
    ) -> impl Iterator<Item = (&EndpointIdentity, EndpointLoad, Duration)> {
        let reports = self.endpoints.values();
        let reports =
            reports.filter_map(|endpoint| Some((&endpoint.record.identity, endpoint.load?)));
        let is_news = move |report: &ReportedLoad| report.is_first_hand && report.at >= since;
        reports
            .filter(move |(_, report)| is_news(report))
            .map(|(identity, report)| (identity, report.load, report.at))
    }

    /// Notes that an endpoint answered, after a latency where one was measured.
    pub fn answered(
        &mut self,
        identity: &EndpointIdentity,
        latency: Option<Duration>,
        now: Duration,
    ) {
        let Some(endpoint) = self.start_mut(identity) else {
            return;
        };
        endpoint.failures = 0;
        endpoint.note_outcome(0.0, FAILURE_WEIGHT, now);
        endpoint.avoided_until = Duration::ZERO;
        let Some(latency) = latency else {
            return;
        };
        let sample_ms = latency.as_secs_f64() * 1_000.0;
        smooth(&mut endpoint.latency_ms, sample_ms);
        let service = endpoint.record.service.clone();
        smooth(
            self.service_latency_ms.entry(service).or_default(),
            sample_ms,
        );
    }

    /// Notes that an endpoint failed or could not be reached. Returns for how
    /// long it is avoided now, if it is listed.
    pub fn failed(&mut self, identity: &EndpointIdentity, now: Duration) -> Option<Duration> {
        let endpoint = self.start_mut(identity)?;
        let doubled = FIRST_AVOIDANCE * 2_u32.pow(endpoint.failures.min(8));
        let avoided = doubled.min(MAX_AVOIDANCE);
        endpoint.failures += 1;
        endpoint.note_outcome(1.0, FAILURE_WEIGHT, now);
        endpoint.avoided_until = now + avoided;
        self.recent_failures.push_back((identity.clone(), now));
        if self.recent_failures.len() > MAX_RECENT_FAILURES {
            self.recent_failures.pop_front();
        }
        Some(avoided)
    }

    /// Takes a failure that a peer saw.
    pub fn overhear_failure(&mut self, identity: &EndpointIdentity, now: Duration) {
        if let Some(endpoint) = self.start_mut(identity) {
            endpoint.note_outcome(1.0, OVERHEARD_WEIGHT, now);
        }
    }

    /// Endpoints that failed this host since a time, once for each failure.
    pub fn failed_since(&self, since: Duration) -> impl Iterator<Item = &EndpointIdentity> {
        let failures = self.recent_failures.iter();
        let recent = failures.filter(move |(_, at)| *at >= since);
        recent.map(|(identity, _)| identity)
    }

    /// Notes that an endpoint refused a request for lack of room.
    pub fn full(&mut self, identity: &EndpointIdentity, now: Duration) {
        if let Some(endpoint) = self.start_mut(identity) {
            let slots = endpoint.record.slots;
            let load = EndpointLoad {
                running: slots,
                waiting: slots,
                slots,
            };
            endpoint.note_load(load, now, true);
        }
    }
}
