//! The known endpoints of all services, and the selection of one of them for a
//! request.
//!
//! A gateway estimates for each endpoint of a service how much longer a request
//! would take there, in milliseconds, and selects the endpoint with the lowest
//! estimate. The estimate uses the gateway's own in-flight requests, the load
//! reports and latencies of the endpoint, its failures, and its availability
//! zone.
//!
//! - `listing`: the set of listed endpoints and the current incarnation of each.
//! - `endpoint`: the state that is kept for one endpoint.
//! - `cost`: the cost estimate of a request at an endpoint.
//! - `work_time`: the reported speed of one endpoint.
//! - `expected_time`: the selection in services whose endpoints report a speed.
//! - `service_times`: the observed times of one service.
//! - `engines`: the engines of a service in a zone, for an engine scheduler.

use std::collections::{HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use rosebend_state::deployment::{
    EndpointIdentity, EndpointLoad, EndpointRecord, InstanceId, ServiceName,
};
use rosebend_state::id::AvailabilityZone;

mod cost;
mod endpoint;
mod engines;
mod expected_time;
mod listing;
mod service_times;
mod work_time;

pub use self::engines::{EngineStatus, RequestReport};
pub use self::listing::ListingChange;
pub use self::service_times::CompletedTurn;

use self::endpoint::{Endpoint, ReportedLoad, smooth};
use self::listing::RemovedEndpoint;
use self::service_times::ServiceTimes;

/// Backoff after the first failure of an endpoint. It doubles with each further
/// consecutive failure.
const MIN_BACKOFF: Duration = Duration::from_millis(300);
/// Longest backoff after a failure of an endpoint.
const MAX_BACKOFF: Duration = Duration::from_millis(2_400);
/// Ratio of an endpoint's latency to its service's latency below which the
/// endpoint does not count as slow. The work of single requests already varies by
/// more than this ratio.
const SLOW_LATENCY_RATIO: f64 = 1.6;
/// Weight of a new outcome in the smoothed failure rate. It averages over about
/// the last seven outcomes.
const FAILURE_WEIGHT: f64 = 0.15;
/// Weight in the smoothed failure rate of a failure that a peer gateway reports.
const PEER_FAILURE_WEIGHT: f64 = 0.08;
/// Maximum number of recent failures that are kept for reporting to peers.
const MAX_RECENT_FAILURES: usize = 64;

/// The properties of a request on which the selection of its endpoint depends.
#[derive(Clone, Copy, Debug, Default)]
pub struct EndpointQuery<'a> {
    /// The endpoint that has the request's prompt or object in memory, if any.
    pub warm_endpoint: Option<&'a EndpointIdentity>,
    /// Number of prompt tokens that every other endpoint would have to process
    /// anew.
    pub warm_tokens: u64,
    /// Number of tokens of the whole prompt, if it is known; otherwise 0.
    pub prompt_tokens: u64,
    /// Number of output tokens that the caller expects, if it is known.
    pub expected_output_tokens: Option<u64>,
    /// True if the request is a turn at a model engine.
    pub is_turn: bool,
    /// True if only the gateway's own requests count as the load of endpoints that report
    /// a speed. Gateways that all follow the same reports send their turns to the same
    /// engines.
    pub ignores_reported_load: bool,
    /// Endpoints at which the request was already tried. They are not selected
    /// again.
    pub tried: &'a [EndpointIdentity],
    /// Text that is hashed with each endpoint's id into the jitter of its cost, so
    /// that requests are spread over endpoints of similar cost.
    pub jitter_key: &'a str,
}

/// A selected endpoint and the load data behind the selection.
#[derive(Clone, Copy, Debug)]
pub struct Selection<'a> {
    /// Entry of the selected endpoint.
    pub record: &'a EndpointRecord,
    /// Estimated number of requests at the endpoint, this one not included.
    pub expected_load: u64,
    /// Age of the endpoint's last load report; `None` if there was no report.
    pub report_age: Option<Duration>,
    /// Expected work time of the endpoint in percent of the usual time; `None` if no
    /// endpoint of the service reports a speed.
    pub work_time_percent: Option<u32>,
    /// Expected time until the request is done; `None` if no endpoint of the service
    /// reports a speed.
    pub expected_time: Option<Duration>,
}

/// This gateway's view of the endpoints of all services.
#[derive(Debug)]
pub struct Directory {
    availability_zone: AvailabilityZone,
    /// Current incarnation of each endpoint.
    endpoints: HashMap<InstanceId, Endpoint>,
    /// Endpoints that were removed less than `listing::STALE_WRITE_WINDOW` ago.
    removed: HashMap<InstanceId, RemovedEndpoint>,
    /// Services that operators have declared; `None` until they have been read.
    services: Option<HashSet<ServiceName>>,
    /// Smoothed latency of each service in milliseconds.
    service_latency_ms: HashMap<ServiceName, f64>,
    /// Observed times of each service.
    service_times: HashMap<ServiceName, ServiceTimes>,
    /// Failures that this gateway observed itself and their times, the newest last.
    recent_failures: VecDeque<(EndpointIdentity, Duration)>,
}

impl Directory {
    /// Creates an empty directory for a gateway in an availability zone.
    pub fn new(availability_zone: AvailabilityZone) -> Self {
        Self {
            availability_zone,
            endpoints: HashMap::new(),
            removed: HashMap::new(),
            services: None,
            service_latency_ms: HashMap::new(),
            service_times: HashMap::new(),
            recent_failures: VecDeque::new(),
        }
    }

    /// Returns the number of endpoints that accept requests and belong to a
    /// declared service.
    pub fn len(&self) -> usize {
        let is_used = |endpoint: &&Endpoint| {
            endpoint.accepts_requests() && self.is_declared(&endpoint.record.service)
        };
        self.endpoints.values().filter(is_used).count()
    }

    /// Replaces the set of services that operators have declared.
    pub fn set_declared_services(&mut self, services: impl IntoIterator<Item = ServiceName>) {
        self.services = Some(services.into_iter().collect());
    }

    fn is_declared(&self, service: &str) -> bool {
        let services = self.services.as_ref();
        services.is_none_or(|services| services.contains(service))
    }

    /// Returns the endpoints of undeclared services. No route leads to them.
    pub fn undeclared_endpoints(&self) -> Vec<InstanceId> {
        let endpoints = self.endpoints.values().map(|endpoint| &endpoint.record);
        let undeclared = endpoints.filter(|record| !self.is_declared(&record.service));
        undeclared
            .map(|record| record.identity.instance.clone())
            .collect()
    }

    /// Returns true if no endpoint of a declared service accepts requests.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns true if the endpoint is listed, whichever its incarnation.
    pub fn is_listed(&self, instance: &str) -> bool {
        self.endpoints.contains_key(instance)
    }

    /// Returns true if this incarnation of the endpoint is listed.
    pub fn contains(&self, identity: &EndpointIdentity) -> bool {
        self.incarnation(identity).is_some()
    }

    /// Returns true if a later incarnation of the endpoint is listed.
    pub fn has_restarted(&self, identity: &EndpointIdentity) -> bool {
        let current = self.endpoints.get(&identity.instance);
        current.is_some_and(|current| identity.is_before(&current.record.identity))
    }

    /// Returns true if a later endpoint is listed at the address of this incarnation. Where
    /// entries tell no start, it is later if this incarnation is no longer listed.
    pub fn has_successor(&self, identity: &EndpointIdentity, address: SocketAddr) -> bool {
        let is_later = |other: &EndpointIdentity| match (identity.started_ms, other.started_ms) {
            (Some(start), Some(other_start)) => start < other_start,
            _ => !self.contains(identity),
        };
        self.endpoints.values().any(|endpoint| {
            let record = &endpoint.record;
            record.address == address
                && record.identity.instance != identity.instance
                && is_later(&record.identity)
        })
    }

    /// Returns the address of an incarnation, if it is listed.
    pub fn address(&self, identity: &EndpointIdentity) -> Option<SocketAddr> {
        self.incarnation(identity)
            .map(|endpoint| endpoint.record.address)
    }

    /// Returns the state of an incarnation, or `None` if it is not the listed one.
    fn incarnation(&self, identity: &EndpointIdentity) -> Option<&Endpoint> {
        let current = self.endpoints.get(&identity.instance);
        current.filter(|current| current.record.identity == *identity)
    }

    /// Like [`Self::incarnation`], but returns a mutable reference.
    fn incarnation_mut(&mut self, identity: &EndpointIdentity) -> Option<&mut Endpoint> {
        let current = self.endpoints.get_mut(&identity.instance);
        current.filter(|current| current.record.identity == *identity)
    }

    /// Selects the endpoint of a service with the lowest cost, or by the expected time
    /// if endpoints of the service report a speed. Returns `None` if every endpoint was
    /// already tried or accepts no requests. `is_connected` returns true if an idle
    /// connection to an incarnation is open.
    pub fn select(
        &self,
        service: &str,
        query: EndpointQuery<'_>,
        now: Duration,
        is_connected: impl Fn(&EndpointIdentity) -> bool,
    ) -> Option<Selection<'_>> {
        if !query.ignores_reported_load && self.reports_speed(service, now) {
            return self.select_by_time(service, query, now, is_connected);
        }
        let costs = self.candidates(service, query).map(|endpoint| {
            let has_connection = is_connected(&endpoint.record.identity);
            (self.cost_ms(endpoint, query, has_connection, now), endpoint)
        });
        let best = costs.min_by(|a, b| a.0.total_cmp(&b.0));
        best.map(|(_, endpoint)| endpoint.selection(now))
    }

    /// Returns the endpoints of a service to which a request may be sent.
    fn candidates<'a, 'q>(
        &'a self,
        service: &'q str,
        query: EndpointQuery<'q>,
    ) -> impl Iterator<Item = &'a Endpoint> {
        let endpoints = self.endpoints.values();
        endpoints.filter(move |endpoint| {
            endpoint.record.service == service
                && endpoint.accepts_requests()
                && !query.tried.contains(&endpoint.record.identity)
        })
    }

    /// Returns the ratio of an endpoint's latency to the latency of its service,
    /// or 1 if the endpoint is not notably slower or there is no sample.
    fn relative_latency(&self, endpoint: &Endpoint) -> f64 {
        let service = self.service_latency_ms.get(&endpoint.record.service);
        let service_ms = service.copied().unwrap_or(0.0);
        if service_ms <= 0.0 || endpoint.latency_ms <= 0.0 {
            return 1.0;
        }
        let ratio = endpoint.latency_ms / service_ms;
        if ratio < SLOW_LATENCY_RATIO {
            1.0
        } else {
            ratio
        }
    }

    /// Counts a request that this gateway starts at an endpoint.
    pub fn record_request_start(&mut self, identity: &EndpointIdentity) {
        if let Some(endpoint) = self.incarnation_mut(identity) {
            endpoint.in_flight += 1;
        }
    }

    /// Removes a request that has ended from the in-flight requests of an endpoint.
    pub fn record_request_end(&mut self, identity: &EndpointIdentity) {
        if let Some(endpoint) = self.incarnation_mut(identity) {
            endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
        }
    }

    /// Records a load report that an endpoint sent to this gateway.
    pub fn record_report(
        &mut self,
        identity: &EndpointIdentity,
        load: EndpointLoad,
        now: Duration,
    ) {
        if let Some(endpoint) = self.incarnation_mut(identity) {
            endpoint.set_report(load, now, true);
        }
    }

    /// Records a load report that a peer gateway received at time `at`, unless a
    /// report at least as new is present.
    pub fn record_peer_report(
        &mut self,
        identity: &EndpointIdentity,
        load: EndpointLoad,
        at: Duration,
    ) {
        let Some(endpoint) = self.incarnation_mut(identity) else {
            return;
        };
        if endpoint.load.is_none_or(|report| report.at < at) {
            endpoint.set_report(load, at, false);
        }
    }

    /// Returns the load reports that this gateway received from endpoints since a
    /// time. Reports of peers are not included.
    pub fn reports_since(
        &self,
        since: Duration,
    ) -> impl Iterator<Item = (&EndpointIdentity, EndpointLoad, Duration)> {
        let reports = self.endpoints.values();
        let reports =
            reports.filter_map(|endpoint| Some((&endpoint.record.identity, endpoint.load?)));
        let is_recent_and_direct =
            move |report: &ReportedLoad| report.is_direct && report.at >= since;
        reports
            .filter(move |(_, report)| is_recent_and_direct(report))
            .map(|(identity, report)| (identity, report.load, report.at))
    }

    /// Records a response of an endpoint, and its latency if one was measured.
    /// The response ends the endpoint's backoff.
    pub fn record_response(
        &mut self,
        identity: &EndpointIdentity,
        latency: Option<Duration>,
        now: Duration,
    ) {
        let Some(endpoint) = self.incarnation_mut(identity) else {
            return;
        };
        endpoint.consecutive_failures = 0;
        endpoint.record_outcome(0.0, FAILURE_WEIGHT, now);
        endpoint.backoff_until = Duration::ZERO;
        let Some(latency) = latency else {
            return;
        };
        let sample_ms = latency.as_secs_f64() * 1_000.0;
        smooth(&mut endpoint.latency_ms, sample_ms);
        let service = endpoint.record.service.clone();
        let request_ms = endpoint
            .is_sample()
            .then(|| sample_ms / endpoint.factor(now));
        smooth(
            self.service_latency_ms.entry(service.clone()).or_default(),
            sample_ms,
        );
        if let Some(request_ms) = request_ms {
            let times = self.service_times.entry(service).or_default();
            times.add_request(request_ms);
        }
    }

    /// Records a turn that an endpoint has completed, for the estimates of later ones.
    pub fn record_turn(
        &mut self,
        identity: &EndpointIdentity,
        turn: &CompletedTurn,
        now: Duration,
    ) {
        let Some(endpoint) = self.incarnation(identity) else {
            return;
        };
        if endpoint.is_sample() {
            let factor = endpoint.factor(now);
            let service = endpoint.record.service.clone();
            let times = self.service_times.entry(service).or_default();
            times.add_turn(turn, factor);
        }
    }

    /// Records that an endpoint failed or was unreachable. Returns the backoff that
    /// starts now, or `None` if this incarnation is not listed.
    pub fn record_failure(
        &mut self,
        identity: &EndpointIdentity,
        now: Duration,
    ) -> Option<Duration> {
        let endpoint = self.incarnation_mut(identity)?;
        let doubled = MIN_BACKOFF * 2_u32.pow(endpoint.consecutive_failures.min(8));
        let backoff = doubled.min(MAX_BACKOFF);
        endpoint.consecutive_failures += 1;
        endpoint.record_outcome(1.0, FAILURE_WEIGHT, now);
        endpoint.backoff_until = now + backoff;
        self.recent_failures.push_back((identity.clone(), now));
        if self.recent_failures.len() > MAX_RECENT_FAILURES {
            self.recent_failures.pop_front();
        }
        Some(backoff)
    }

    /// Records a failure that a peer gateway observed. It raises the failure rate
    /// but starts no backoff.
    pub fn record_peer_failure(&mut self, identity: &EndpointIdentity, now: Duration) {
        if let Some(endpoint) = self.incarnation_mut(identity) {
            endpoint.record_outcome(1.0, PEER_FAILURE_WEIGHT, now);
        }
    }

    /// Returns the endpoints for which this gateway recorded a failure since a
    /// time, once for each failure.
    pub fn failures_since(&self, since: Duration) -> impl Iterator<Item = &EndpointIdentity> {
        let failures = self.recent_failures.iter();
        let recent = failures.filter(move |(_, at)| *at >= since);
        recent.map(|(identity, _)| identity)
    }

    /// Records that an endpoint rejected a request for lack of capacity. This
    /// counts as a load report with all slots occupied and as many requests waiting.
    pub fn record_rejection(&mut self, identity: &EndpointIdentity, now: Duration) {
        if let Some(endpoint) = self.incarnation_mut(identity) {
            let slots = endpoint.record.slots;
            let load = EndpointLoad {
                running: slots,
                waiting: slots,
                slots,
                work_time_percent: None,
            };
            endpoint.set_report(load, now, true);
        }
    }
}
