//! The endpoints that are there, and the choice among them.

use std::collections::{HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use rosebend_state::deployment::{
    EndpointIdentity, EndpointLoad, EndpointRecord, InstanceId, ServiceName,
};
use rosebend_state::id::AvailabilityZone;

mod cost;

/// How long an entry that vanished in an outage of the store is kept: entries
/// that lapsed meanwhile are back about two seconds after the store.
const LAPSE_GRACE: Duration = Duration::from_millis(2_200);
/// How old a reported load may be before nothing is concluded from it.
const LOAD_MEMORY: Duration = Duration::from_millis(1_500);
/// First time for which an endpoint that failed is avoided; it doubles with
/// each failure in a row.
const FIRST_AVOIDANCE: Duration = Duration::from_millis(300);
/// Longest time for which an endpoint that failed is avoided.
const MAX_AVOIDANCE: Duration = Duration::from_millis(2_400);
/// Weight of a new sample of latency; about the last eight count.
const SAMPLE_WEIGHT: f64 = 0.12;
/// Latency ratio below which endpoints count as equally fast: work varies from
/// request to request by more than that.
const NOTABLE_SLOWNESS: f64 = 1.6;

/// Weight of a new outcome in the share of failures; about the last seven count.
const FAILURE_WEIGHT: f64 = 0.15;
/// Weight of a failure that a peer tells of.
const OVERHEARD_WEIGHT: f64 = 0.08;
/// Time in which a share of failures halves without a new outcome, so that an
/// endpoint that has recovered is tried again.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(4);
/// Failures that are kept to be told to peers.
const MAX_RECENT_FAILURES: usize = 64;
/// How long entries of an earlier start may come after those of a later one: a
/// write whose answer was lost may take effect up to six seconds late. An
/// earlier start that comes for longer is the one that lives, on a host whose
/// clock was set back.
const LATE_WRITE_TIME: Duration = Duration::from_secs(7);

/// What is known of one start of an endpoint.
#[derive(Clone, Debug)]
struct Endpoint {
    record: EndpointRecord,
    /// Requests of this host that it has now.
    in_flight: u32,
    load: Option<ReportedLoad>,
    /// Until when it is avoided, after failures.
    avoided_until: Duration,
    /// Failures in a row.
    failures: u32,
    /// Smoothed latency in milliseconds; zero before the first sample.
    latency_ms: f64,
    /// Smoothed share of requests that failed, as of `failure_at`.
    failure_share: f64,
    failure_at: Duration,
    /// Set while its entry is missing after an outage of the store.
    lapsed_until: Option<Duration>,
    /// Until when it is slow after its start.
    warm_at: Duration,
    /// Set while its entry cannot be read: it gets nothing new then, and what
    /// is believed of it is kept for when its entry is good again.
    is_refused: bool,
    /// Since when entries of an earlier start have come, and none of this one.
    earlier_since: Option<Duration>,
}

#[derive(Clone, Copy, Debug)]
struct ReportedLoad {
    load: EndpointLoad,
    at: Duration,
    /// Requests of this host that it had when it reported.
    own: u32,
    /// Whether this host heard it itself.
    is_first_hand: bool,
}

/// An endpoint whose entry is gone.
#[derive(Clone, Copy, Debug)]
struct Gone {
    /// When its last start was.
    started_ms: Option<u64>,
    /// When its entry was gone.
    at: Duration,
}

/// How an endpoint's place in the directory changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Listing {
    /// It is new.
    Listed,
    /// It started again: nothing that was believed of it holds any more.
    StartedAgain,
    /// It gets nothing new, since it drains.
    Draining,
    /// It gets nothing new, since its entry is gone.
    Gone,
}

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
    /// Endpoints whose entry was gone less than [`LATE_WRITE_TIME`] ago.
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

    /// Takes an entry that was written or read. Tells what changed for the
    /// choice, if anything did. An entry of a start before the one that is
    /// known came late and changes nothing.
    pub fn announce(&mut self, record: EndpointRecord, now: Duration) -> Option<Listing> {
        if self.came_late(&record, now) {
            return None;
        }
        let instance = record.identity.instance.clone();
        self.gone.remove(&instance);
        let known = self.endpoints.get_mut(&instance);
        let is_again = known.is_some();
        if let Some(endpoint) = known.filter(|known| known.record.identity == record.identity) {
            return endpoint.renew(record);
        }
        self.endpoints.insert(instance, Endpoint::new(record, now));
        match is_again {
            true => Some(Listing::StartedAgain),
            false => Some(Listing::Listed),
        }
    }

    /// Whether an entry is of a start that is over.
    fn came_late(&mut self, record: &EndpointRecord, now: Duration) -> bool {
        let identity = &record.identity;
        if let Some(known) = self.endpoints.get_mut(&identity.instance) {
            if !identity.is_before(&known.record.identity) {
                known.earlier_since = None;
                return false;
            }
            let since = *known.earlier_since.get_or_insert(now);
            return now.saturating_sub(since) < LATE_WRITE_TIME;
        }
        self.gone.get(&identity.instance).is_some_and(|gone| {
            identity.started_ms < gone.started_ms && now.saturating_sub(gone.at) < LATE_WRITE_TIME
        })
    }

    /// Takes the deletion of an entry. One that vanished in an outage of the
    /// store may come back; it is kept for a while.
    pub fn withdraw(&mut self, instance: &str, now: Duration, in_outage: bool) -> Option<Listing> {
        let endpoint = self.endpoints.get_mut(instance)?;
        if in_outage && !endpoint.record.draining {
            let until = now + LAPSE_GRACE;
            endpoint.lapsed_until.get_or_insert(until);
            return None;
        }
        self.remove(instance, now);
        Some(Listing::Gone)
    }

    fn remove(&mut self, instance: &str, now: Duration) {
        if let Some((instance, endpoint)) = self.endpoints.remove_entry(instance) {
            let started_ms = endpoint.record.identity.started_ms;
            self.gone.insert(
                instance,
                Gone {
                    started_ms,
                    at: now,
                },
            );
        }
    }

    /// Takes an entry that names no endpoint to use. One that was listed gets
    /// nothing new until its entry is good again.
    pub fn refuse(&mut self, instance: &str) {
        if let Some(endpoint) = self.endpoints.get_mut(instance) {
            endpoint.is_refused = true;
        }
    }

    /// Takes a whole list of entries, of which some are refused; others are
    /// withdrawn. Tells what changed for the choice.
    pub fn replace(
        &mut self,
        records: Vec<EndpointRecord>,
        refused: &[InstanceId],
        now: Duration,
        in_outage: bool,
    ) -> Vec<(InstanceId, Listing)> {
        let mut changes = Vec::new();
        let is_listed = |instance: &InstanceId| {
            let mut read = records.iter().map(|record| &record.identity.instance);
            read.any(|read| read == instance) || refused.contains(instance)
        };
        let instances = self.endpoints.keys().cloned();
        let missing: Vec<InstanceId> = instances.filter(|instance| !is_listed(instance)).collect();
        for instance in missing {
            let change = self.withdraw(&instance, now, in_outage);
            changes.extend(change.map(|change| (instance, change)));
        }
        for instance in refused {
            self.refuse(instance);
        }
        for record in records {
            let instance = record.identity.instance.clone();
            let change = self.announce(record, now);
            changes.extend(change.map(|change| (instance, change)));
        }
        changes
    }

    /// Drops entries that did not come back after an outage, and tells which.
    pub fn expire(&mut self, now: Duration) -> Vec<InstanceId> {
        let is_over = |endpoint: &Endpoint| endpoint.lapsed_until.is_some_and(|until| now >= until);
        let over = self
            .endpoints
            .iter()
            .filter(|(_, endpoint)| is_over(endpoint));
        let over: Vec<InstanceId> = over.map(|(instance, _)| instance.clone()).collect();
        for instance in &over {
            self.remove(instance, now);
        }
        self.gone
            .retain(|_, gone| now.saturating_sub(gone.at) < LATE_WRITE_TIME);
        over
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
            let own = endpoint.in_flight;
            endpoint.load = Some(ReportedLoad {
                load,
                at: now,
                own,
                is_first_hand: true,
            });
        }
    }

    /// Takes a load that another host heard at a time, unless a newer one is
    /// known.
    pub fn overhear(&mut self, identity: &EndpointIdentity, load: EndpointLoad, at: Duration) {
        let Some(endpoint) = self.start_mut(identity) else {
            return;
        };
        if endpoint.load.is_none_or(|report| report.at < at) {
            let own = endpoint.in_flight;
            endpoint.load = Some(ReportedLoad {
                load,
                at,
                own,
                is_first_hand: false,
            });
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
            let own = endpoint.in_flight;
            endpoint.load = Some(ReportedLoad {
                load,
                at: now,
                own,
                is_first_hand: true,
            });
        }
    }
}

impl Endpoint {
    /// A start of which nothing is known but its entry.
    fn new(record: EndpointRecord, now: Duration) -> Self {
        Self {
            warm_at: now.saturating_add(record.warming_up),
            record,
            in_flight: 0,
            load: None,
            avoided_until: Duration::ZERO,
            failures: 0,
            latency_ms: 0.0,
            failure_share: 0.0,
            failure_at: now,
            lapsed_until: None,
            is_refused: false,
            earlier_since: None,
        }
    }

    /// Takes another entry of the same start.
    fn renew(&mut self, record: EndpointRecord) -> Option<Listing> {
        let began_to_drain = record.draining && !self.record.draining;
        self.record = record;
        self.lapsed_until = None;
        self.is_refused = false;
        began_to_drain.then_some(Listing::Draining)
    }

    /// Whether it may get something new.
    fn takes_requests(&self) -> bool {
        !self.record.draining && !self.is_refused
    }

    /// Share of its requests that failed lately.
    fn failure_share(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.failure_at);
        let half_lives = age.as_secs_f64() / FAILURE_HALF_LIFE.as_secs_f64();
        self.failure_share * 0.5_f64.powf(half_lives)
    }

    fn note_outcome(&mut self, sample: f64, weight: f64, now: Duration) {
        let share = self.failure_share(now);
        self.failure_share = share + (sample - share) * weight;
        self.failure_at = now;
    }

    fn choice(&self, now: Duration) -> Choice<'_> {
        Choice {
            record: &self.record,
            expected_load: self.expected_load(now) as u64,
            report_age: self.load.map(|report| now.saturating_sub(report.at)),
        }
    }

    /// Requests that it has now, as far as this host can tell: its own, and
    /// those of others by the last report, which fades with its age.
    fn expected_load(&self, now: Duration) -> f64 {
        let own = f64::from(self.in_flight);
        let Some(report) = self.load else {
            return own;
        };
        let age = now.saturating_sub(report.at);
        let Some(left) = LOAD_MEMORY.checked_sub(age) else {
            return own;
        };
        // Any number may stand in an answer or in a peer's datagram.
        let total = report.load.running.saturating_add(report.load.waiting);
        let others = f64::from(total.saturating_sub(report.own));
        own + others * left.as_secs_f64() / LOAD_MEMORY.as_secs_f64()
    }
}

/// Moves a smoothed value towards a sample; the first sample sets it.
fn smooth(value: &mut f64, sample: f64) {
    if *value <= 0.0 {
        *value = sample;
    } else {
        *value += (sample - *value) * SAMPLE_WEIGHT;
    }
}
