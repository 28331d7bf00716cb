//! The state that the modules of the process share.
//!
//! All of it belongs to one thread, so it needs no locks. Hosts have a single core, and
//! the decisions for a request take only a few microseconds.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use rosebend_coordination::gateway::admission::Admission;
use rosebend_coordination::gateway::attempt::Failure;
use rosebend_coordination::gateway::directory::Directory;
use rosebend_coordination::gateway::history::{TurnCache, partition_of};
use rosebend_coordination::gateway::identity::Confirmation;
use rosebend_coordination::gateway::limits::Tolerance;
use rosebend_coordination::gateway::refusals::RefusedEntries;
use rosebend_coordination::gateway::route_table::RouteTable;
use rosebend_state::deployment::{Customers, EndpointIdentity};
use rosebend_state::settings::{ClientSettings, CustomerSettings, GatewaySettings, StoreSettings};
use rosebend_transport::byte_budget::ByteBudget;
use rosebend_transport::clients::Clients;
use rosebend_transport::clock::{Clock, whole_ms};
use rosebend_transport::event::{Event, EventKind, log_event};
use rosebend_transport::store::StoreClient;
use rosebend_util::random_id;
use tokio::sync::{Notify, Semaphore};

use crate::batched_commits::BatchedCommits;
use crate::commits::Commits;
use crate::engine_scheduling::EngineScheduling;
use crate::escrow::Escrow;
use crate::feeds::{Feeds, FollowedTable};
use crate::holders::HolderAddresses;
use crate::limits::RateLimiter;
use crate::metrics::{GaugeValues, Metrics};
use crate::peer_connections::{self, PeerConnections};
use crate::peers::lost::Neighbors;
use crate::pool::Pool;
use crate::quarantine::{self, Quarantine, Suspicion};
use crate::recent_history::RecentHistory;
use crate::reply::Refusal;
use crate::retention::Retention;
use crate::unusable;

/// Maximum size of the cached turns in bytes. It is large enough that most turns continue a
/// cached turn, without a read from the store.
const MAX_HISTORY_BYTES: usize = 24 << 20;
/// Divisor of the host's memory that gives the maximum size of cached turns on small hosts.
const HISTORY_DIVISOR: usize = 10;

/// Time for which the store may be unreachable before the host reports that it is not
/// ready for callers. Other hosts may still reach the store, and the balancer takes seconds
/// to react.
const UNREADY_AFTER: Duration = Duration::from_millis(400);

/// The state of the process.
#[derive(Debug)]
pub struct Gateway {
    /// The active settings.
    settings: RefCell<Rc<GatewaySettings>>,
    /// The clock, which starts with the process.
    pub clock: Clock,
    /// The metrics of the process.
    pub metrics: Rc<Metrics>,
    /// The client of the platform's store.
    pub store: Rc<StoreClient>,
    /// The subscriptions to the changes of the store's tables.
    pub feeds: Rc<Feeds>,
    /// The transactions in flight, and those that this host batches for other hosts.
    pub batched_commits: Rc<BatchedCommits>,
    /// The changes of programs that are not durable yet.
    pub commits: Rc<Commits>,
    /// The active routes, or `None` before the first were read.
    routes: RefCell<Option<Rc<RouteTable>>>,
    /// The latest time at which the store is known to have had no newer routes.
    confirmation: Cell<Confirmation>,
    /// The known endpoints.
    pub directory: RefCell<Directory>,
    /// The queues of engines, which determine whether new programs are admitted.
    pub admission: RefCell<Admission>,
    /// The invalid entries in the table of endpoints.
    pub refusals: RefCell<RefusedEntries>,
    /// The idle connections to endpoints.
    pub pool: RefCell<Pool>,
    /// The cached turns.
    pub history: RefCell<TurnCache>,
    /// The history of programs that this host caches for its availability zone.
    pub recent_history: RecentHistory,
    /// The clients that connect to the process.
    pub clients: Clients,
    /// The limits of customers.
    pub limits: RateLimiter,
    /// The requests to engine schedulers, and the groups that this host schedules.
    pub engine_scheduling: EngineScheduling,
    /// The tokens that programs may spend while the store is unavailable.
    pub escrow: Escrow,
    /// The hosts that this one probes, to delete the rows of those that were lost.
    pub neighbors: Neighbors,
    /// Permit to write a turn whose record takes several transactions. There is one, because
    /// such a record is in memory several times while it is written.
    pub large_records: Semaphore,
    /// The rows that are to be deleted when their retention time ends.
    pub retention: Retention,
    /// The addresses of other gateway processes, which may hold reservations of programs'
    /// tokens.
    pub holders: HolderAddresses,
    /// The memory for responses that are read before they are forwarded.
    pub response_bodies: ByteBudget,
    /// The requests that crash endpoints.
    pub quarantine: Quarantine,
    /// Number of requests that callers wait for.
    open_requests: Cell<u64>,
    /// Number of connections of callers. A connection remains open until its last response is
    /// written.
    open_connections: Cell<u64>,
    /// Times of the planned stop, once the process has been asked to stop.
    planned_stop: Cell<Option<PlannedStop>>,
    /// Whether the process is about to exit.
    is_exiting: Rc<Cell<bool>>,
    /// Notifies the requests that wait for the process to exit.
    exiting: Notify,
    /// Whether the host was ready for callers when this was last checked.
    was_ready: Cell<bool>,
}

/// Times of a planned stop, since the start of the process.
#[derive(Clone, Copy, Debug)]
pub struct PlannedStop {
    /// Time until which new connections are accepted.
    pub accept_until: Duration,
    /// Time at which requests that are still open end.
    pub end: Duration,
}

impl Gateway {
    /// Creates the state of a process that has not received any routes, endpoints or peers.
    pub fn new(settings: GatewaySettings) -> Self {
        let clock = Clock::start();
        let metrics = Rc::new(Metrics::default());
        let store = Rc::new(store_client(&settings.store, clock, &metrics));
        // The name of the process is unique to this run, because tokens that an earlier run
        // reserved do not belong to it.
        let process = format!("{}/{}", settings.host, random_id());
        let clients = Clients::new(&settings.clients, clock, metrics.clients.clone());
        let peer_answers = peer_connections::answer_budget();
        let peer_connections = || PeerConnections::new(Rc::clone(&peer_answers));
        let batched_commits = BatchedCommits::new(
            process.clone(),
            Rc::clone(&store),
            Rc::clone(&metrics),
            clock,
            settings.store.writes_per_s,
            peer_connections(),
        );
        let batched_commits = Rc::new(batched_commits);
        let commits = Commits::new(
            process.clone(),
            Rc::clone(&store),
            Rc::clone(&batched_commits),
        );
        let feeds = Feeds::new(
            settings.host.clone(),
            Rc::clone(&store),
            Rc::clone(&metrics),
            clock,
            peer_connections(),
        );
        Self {
            commits: Rc::new(commits),
            batched_commits,
            feeds: Rc::new(feeds),
            store,
            metrics,
            clock,
            routes: RefCell::new(None),
            confirmation: Cell::default(),
            directory: RefCell::new(Directory::new(settings.availability_zone.clone())),
            admission: RefCell::default(),
            refusals: RefCell::default(),
            pool: RefCell::default(),
            history: RefCell::new(TurnCache::new(max_history_bytes(&settings.clients))),
            recent_history: RecentHistory::new(process.clone(), peer_connections()),
            neighbors: Neighbors::new(peer_connections()),
            response_bodies: response_bodies(&settings.clients, &clients),
            clients,
            limits: RateLimiter::new(process.clone(), tolerance(&settings.customers)),
            engine_scheduling: EngineScheduling::new(
                process.clone(),
                settings.availability_zone.clone(),
            ),
            escrow: Escrow::new(process.clone()),
            large_records: Semaphore::new(1),
            retention: Retention::default(),
            holders: HolderAddresses::default(),
            quarantine: Quarantine::default(),
            open_requests: Cell::new(0),
            open_connections: Cell::new(0),
            planned_stop: Cell::default(),
            is_exiting: Rc::default(),
            exiting: Notify::new(),
            was_ready: Cell::new(false),
            settings: RefCell::new(Rc::new(settings)),
        }
    }

    /// Returns the active settings.
    pub fn settings(&self) -> Rc<GatewaySettings> {
        Rc::clone(&self.settings.borrow())
    }

    /// Replaces the active settings. They apply to requests that begin after the call.
    pub fn set_settings(&self, settings: GatewaySettings) {
        let store = &settings.store;
        self.store.set_store(store.address, store.timeout);
        self.batched_commits.set_writes_per_s(store.writes_per_s);
        self.clients.set_settings(&settings.clients);
        self.response_bodies
            .set_max_bytes(settings.clients.answer_bytes());
        self.limits.set_tolerance(tolerance(&settings.customers));
        self.settings.replace(Rc::new(settings));
    }

    /// Returns the active routes, or `None` before the first were read.
    pub fn routes(&self) -> Option<Rc<RouteTable>> {
        self.routes.borrow().clone()
    }

    /// Replaces the active routes. Returns false, and changes nothing, if these are not newer
    /// than the active ones.
    pub fn apply_routes(&self, routes: RouteTable) -> bool {
        let mut current = self.routes.borrow_mut();
        let version = current.as_ref().map(|table| table.deployment().version);
        if version.is_some_and(|version| version >= routes.deployment().version) {
            return false;
        }
        let services = routes.deployment().services.keys().cloned();
        self.directory.borrow_mut().set_declared_services(services);
        unusable::log_routes(&routes);
        self.check_body_limit(routes.deployment().limits.max_body_bytes);
        unusable::log_customers(&routes);
        let customers = routes.deployment().customers.as_ref();
        self.limits
            .set_limits(customers.map(Customers::limits).unwrap_or_default());
        *current = Some(Rc::new(routes));
        true
    }

    /// Logs that requests of the declared size find no memory on this host.
    fn check_body_limit(&self, declared_bytes: usize) {
        let max_bytes = self.settings().clients.max_body_bytes();
        if declared_bytes > max_bytes {
            let event = Event::new(EventKind::BodyLimitTooLarge);
            log_event(&event.count(max_bytes as u64));
        }
    }

    /// Records that the store had no newer routes at `at`.
    pub fn confirm_routes(&self, at: Duration) {
        let mut confirmation = self.confirmation.get();
        confirmation.confirm(at);
        self.confirmation.set(confirmation);
    }

    /// Returns whether the keys of customers were confirmed recently enough to accept them.
    /// A key may have been revoked since the store last confirmed the routes.
    pub fn are_keys_confirmed(&self) -> bool {
        let age = self.confirmation.get().age(self.clock.now());
        let within = self.settings.borrow().customers.keys_confirmed_within;
        within.is_none_or(|within| age <= within)
    }

    /// Returns the refusal of a request that the active routes deny. If the routes may be
    /// outdated, a missing route or key becomes [`Refusal::RoutesUnconfirmed`], because a
    /// newer version of the routes may contain it.
    pub fn unless_routes_stale(&self, denial: Refusal) -> Refusal {
        let is_denied = matches!(denial, Refusal::NoRoute | Refusal::UnknownKey);
        match is_denied && self.confirmation.get().is_stale(self.clock.now()) {
            true => Refusal::RoutesUnconfirmed,
            false => denial,
        }
    }

    /// Returns the refusal of a request that needs the store while it is unreachable.
    pub fn store_unreachable(&self) -> Refusal {
        self.store.tell_if_lost();
        Refusal::StoreUnreachable(self.store.unreachable_for())
    }

    /// Checks that the store is reachable and accepts calls for a program's partition.
    ///
    /// # Errors
    ///
    /// Returns a refusal while it is unreachable or refuses calls for the partition.
    pub fn check_reachable(&self, program: &str) -> Result<(), Refusal> {
        let partition = partition_of(program);
        match self.store.is_reachable() && !self.store.is_partition_refused(&partition) {
            true => Ok(()),
            false => Err(self.program_unreachable(program)),
        }
    }

    /// Returns the refusal of a request that needs the rows of a program while the store does
    /// not return them.
    pub fn program_unreachable(&self, program: &str) -> Refusal {
        self.store.tell_if_lost();
        let partition = partition_of(program);
        Refusal::StoreUnreachable(self.store.partition_unreachable_for(&partition))
    }

    /// Returns whether the balancer should send callers to this host. A change is logged before
    /// this returns, so that the log contains each state that the balancer sees.
    pub fn update_readiness(&self) -> bool {
        let readiness = self.readiness();
        if self.was_ready.replace(readiness.is_ok()) != readiness.is_ok() {
            let reason = readiness.err().unwrap_or("ready");
            log_event(&Event::new(EventKind::ReadyChanged).reason(reason));
        }
        readiness.is_ok()
    }

    /// Checks whether this host can serve callers.
    ///
    /// # Errors
    ///
    /// Returns the `reason` code that is logged if it cannot.
    fn readiness(&self) -> Result<(), &'static str> {
        if self.is_stopping() {
            return Err("stopping");
        }
        if self.routes.borrow().is_none() {
            return Err("no-routes");
        }
        if self.directory.borrow().is_empty() {
            return Err("no-endpoints");
        }
        if !self.quarantine.has_read_table() {
            return Err("no-crashes");
        }
        if self.store.unreachable_for() >= UNREADY_AFTER {
            self.store.tell_if_lost();
            return Err("store-unreachable");
        }
        Ok(())
    }

    /// Returns whether the process has been asked to stop.
    pub fn is_stopping(&self) -> bool {
        self.planned_stop.get().is_some()
    }

    /// Returns whether a request with this deadline arrived so late in a planned stop that
    /// the process may end before it.
    pub fn may_stop_before(&self, deadline: Duration) -> bool {
        let now = self.clock.now();
        let times = self.planned_stop.get();
        times.is_some_and(|times| now >= times.accept_until && deadline > times.end)
    }

    /// Marks the process as about to exit. Requests that are still open then end.
    pub fn set_exiting(&self) {
        self.is_exiting.set(true);
        self.exiting.notify_waiters();
    }

    /// Waits until the process is about to exit.
    pub async fn until_exiting(&self) {
        let exiting = self.exiting.notified();
        if !self.is_exiting.get() {
            exiting.await;
        }
    }

    /// Returns a flag that is set before the process exits.
    pub fn is_exiting(&self) -> Rc<Cell<bool>> {
        Rc::clone(&self.is_exiting)
    }

    /// Returns the current values of the gauges.
    pub fn gauge_values(&self) -> GaugeValues {
        let routes = self.routes.borrow();
        let version = routes.as_ref().map(|table| table.deployment().version);
        GaugeValues {
            open_requests: self.open_requests(),
            open_changes: self.commits.open_changes() as u64,
            endpoints: self.directory.borrow().len() as u64,
            routes_version: version.unwrap_or(0),
            store_unreachable_ms: whole_ms(self.store.unreachable_for()),
            ready: u64::from(self.readiness().is_ok()),
            peers: self.store.peer_addresses().len() as u64,
            open_parts: self.batched_commits.open_entry_count() as u64,
            oldest_part_ms: whole_ms(self.batched_commits.oldest_entry_age()),
            escrow_slots: self.escrow.held_slots(),
            escrow_owned_slots: self.escrow.slots_with_live_owner(),
            escrow_outstanding_tokens: self.escrow.outstanding_tokens(),
            escrow_held_off_ms: whole_ms(self.escrow.remaining_hold_off(self.clock.now())),
            routes_age_ms: whole_ms(self.feeds.age(FollowedTable::Routes)),
            endpoints_age_ms: whole_ms(self.feeds.age(FollowedTable::Endpoints)),
            follower: u64::from(self.feeds.is_follower()),
        }
    }

    /// Marks the process as stopping. The host is no longer ready, and it closes each
    /// connection after its next response. It still serves requests that arrive.
    pub fn stop(&self, times: PlannedStop) {
        self.planned_stop.set(Some(times));
    }

    /// Counts a request as open until the returned guard is dropped.
    pub fn open_request(self: &Rc<Self>) -> OpenRequest {
        self.open_requests.set(self.open_requests.get() + 1);
        OpenRequest(Rc::clone(self))
    }

    /// Returns the number of requests that callers wait for.
    pub fn open_requests(&self) -> u64 {
        self.open_requests.get()
    }

    /// Counts a connection of a caller as open until the returned guard is dropped.
    pub fn open_connection(self: &Rc<Self>) -> OpenConnection {
        self.open_connections.set(self.open_connections.get() + 1);
        OpenConnection(Rc::clone(self))
    }

    /// Returns the number of open connections of callers.
    pub fn open_connections(&self) -> u64 {
        self.open_connections.get()
    }

    /// Counts a request as running at an endpoint until the returned guard is dropped.
    pub fn start_endpoint_request(
        self: &Rc<Self>,
        endpoint: &EndpointIdentity,
    ) -> OpenEndpointRequest {
        self.directory.borrow_mut().record_request_start(endpoint);
        OpenEndpointRequest {
            gateway: Rc::clone(self),
            endpoint: endpoint.clone(),
            suspicion: RefCell::default(),
        }
    }
}

/// Returns the memory for cached turns.
fn max_history_bytes(settings: &ClientSettings) -> usize {
    MAX_HISTORY_BYTES.min(settings.memory_bytes / HISTORY_DIVISOR)
}

/// Returns the memory for responses. Clients that do not accept theirs lose them to others.
fn response_bodies(settings: &ClientSettings, clients: &Clients) -> ByteBudget {
    let clients = clients.clone();
    ByteBudget::new(settings.answer_bytes()).with_reclaim(move || clients.close_stalled())
}

/// Returns the amount by which customers may exceed their limits.
fn tolerance(settings: &CustomerSettings) -> Tolerance {
    Tolerance {
        window: settings.limit_window,
        overage: f64::from(settings.limit_overage_milli) / 1_000.0,
        slack: settings.limit_slack as f64,
    }
}

/// A guard that counts a request as open until it is dropped.
#[derive(Debug)]
pub struct OpenRequest(Rc<Gateway>);

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.open_requests.set(self.0.open_requests.get() - 1);
    }
}

/// A guard that counts a connection of a caller as open until it is dropped.
#[derive(Debug)]
pub struct OpenConnection(Rc<Gateway>);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let open = self.0.open_connections.get();
        self.0.open_connections.set(open - 1);
    }
}

/// A guard that counts a request as running at an endpoint until it is dropped.
#[derive(Debug)]
pub struct OpenEndpointRequest {
    gateway: Rc<Gateway>,
    /// The incarnation of the endpoint that runs the request.
    pub endpoint: EndpointIdentity,
    /// Suspicion that the request crashes the endpoint; none before the request is sent, and
    /// after the endpoint has answered or is known not to have run it.
    suspicion: RefCell<Option<Suspicion>>,
}

impl OpenEndpointRequest {
    /// Records that the request is sent. Unless an answer follows, `suspicion` is checked.
    pub fn set_sent(&self, suspicion: Suspicion) {
        self.suspicion.replace(Some(suspicion));
    }

    /// Records that the endpoint sent data.
    pub fn set_active(&self) {
        if let Some(suspicion) = self.suspicion.borrow_mut().as_mut() {
            suspicion.active_at = self.gateway.clock.now();
        }
    }

    /// Records how the exchange failed.
    pub fn set_failed(&self, failure: Failure) {
        let mut suspicion = self.suspicion.borrow_mut();
        match suspicion.as_mut() {
            Some(suspicion) if failure.may_have_run() => suspicion.failure = Some(failure),
            Some(_) | None => *suspicion = None,
        }
    }

    /// Records that the endpoint has answered the request completely.
    pub fn set_answered(&self) {
        self.suspicion.replace(None);
    }
}

impl Drop for OpenEndpointRequest {
    fn drop(&mut self) {
        self.gateway
            .directory
            .borrow_mut()
            .record_request_end(&self.endpoint);
        let suspicion = self.suspicion.take();
        // When the process ends, its requests end for another reason.
        if let Some(suspicion) = suspicion.filter(|_| !self.gateway.is_exiting.get()) {
            quarantine::suspect(&self.gateway, &self.endpoint, &suspicion);
        }
    }
}

/// Creates the client of the store, whose calls are counted and timed in the metrics.
fn store_client(settings: &StoreSettings, clock: Clock, metrics: &Rc<Metrics>) -> StoreClient {
    let metrics = Rc::clone(metrics);
    StoreClient::new(settings.address, settings.timeout, clock).with_observer(Box::new(
        move |call, error, elapsed| metrics.count_store_call(call, error, elapsed),
    ))
}
