//! What the parts of the process share. All of it lives on one thread: the
//! hosts have one core, and what is decided is a few microseconds a request.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use rosebend_coordination::gateway::admission::Admission;
use rosebend_coordination::gateway::directory::Directory;
use rosebend_coordination::gateway::fingerprint::CrashCounts;
use rosebend_coordination::gateway::history::{TurnCache, partition_of};
use rosebend_coordination::gateway::identity::Confirmation;
use rosebend_coordination::gateway::limits::Tolerance;
use rosebend_coordination::gateway::refusals::RefusedEntries;
use rosebend_coordination::gateway::route_table::RouteTable;
use rosebend_state::deployment::{Customers, EndpointIdentity};
use rosebend_state::settings::{CustomerSettings, GatewaySettings, StoreSettings};
use rosebend_transport::clock::{Clock, whole_ms};
use rosebend_transport::event::{Event, EventKind, log_event};
use rosebend_transport::store::StoreClient;
use rosebend_util::random_id;

use crate::commits::Commits;
use crate::escrow::Escrow;
use crate::feeds::{Feeds, FollowedTable};
use crate::holders::HolderAddresses;
use crate::joined_commits::JoinedCommits;
use crate::limits::Limits;
use crate::metrics::{Metrics, Quantities};
use crate::pool::Pool;
use crate::recent_history::RecentHistory;
use crate::reply::Refusal;
use crate::retention::Retention;
use crate::unusable;

/// Bytes of turns that are kept in memory, so that most turns need no read.
const HISTORY_BYTES: usize = 24 << 20;

/// How long the store may be out of reach before the host takes no callers:
/// others may reach it, and the balancer takes seconds to see the answer.
const UNREADY_AFTER: Duration = Duration::from_millis(400);

/// The process's state.
#[derive(Debug)]
pub struct Gateway {
    /// Settings in force.
    settings: RefCell<Rc<GatewaySettings>>,
    /// Time since the start.
    pub clock: Clock,
    /// What is counted.
    pub metrics: Rc<Metrics>,
    /// The platform's store.
    pub store: Rc<StoreClient>,
    /// What changes in the store's tables.
    pub feeds: Rc<Feeds>,
    /// Transactions on their way to the store, and those joined for other hosts.
    pub joined_commits: Rc<JoinedCommits>,
    /// Changes of programs on their way to the store.
    pub commits: Rc<Commits>,
    /// Routes in force; none before the first was read.
    routes: RefCell<Option<Rc<RouteTable>>>,
    /// When the store last said that these are the newest.
    confirmation: Cell<Confirmation>,
    /// Endpoints that are there.
    pub directory: RefCell<Directory>,
    /// The queues of engines, which decide whether new programs are begun.
    pub admission: RefCell<Admission>,
    /// Entries that name no endpoint to use.
    pub refusals: RefCell<RefusedEntries>,
    /// Idle connections to endpoints.
    pub pool: RefCell<Pool>,
    /// Turns in memory.
    pub history: RefCell<TurnCache>,
    /// History of programs that is kept for other hosts.
    pub recent_history: RecentHistory,
    /// Customers' limits.
    pub limits: Limits,
    /// What may be spent while the store is unavailable.
    pub escrow: Escrow,
    /// Rows that are to be deleted one day.
    pub retention: Retention,
    /// Where other gateways answer that hold tokens of programs.
    pub holders: HolderAddresses,
    /// Requests that crash endpoints.
    pub crashes: RefCell<CrashCounts>,
    /// Requests that callers wait for.
    open_requests: Cell<u64>,
    /// Set once the process is asked to stop.
    stopping: Cell<bool>,
    /// Whether callers could be served at the last look.
    was_ready: Cell<bool>,
}

impl Gateway {
    /// The state of a process that knows nothing yet.
    pub fn new(settings: GatewaySettings) -> Self {
        let clock = Clock::start();
        let metrics = Rc::new(Metrics::default());
        let store = Rc::new(store_client(&settings.store, clock, &metrics));
        // Tokens that one run of the process reserved are not the next one's.
        let run = format!("{}/{}", settings.host, random_id());
        let joined_commits =
            JoinedCommits::new(run.clone(), Rc::clone(&store), Rc::clone(&metrics), clock);
        joined_commits.set_writes_per_s(settings.store.writes_per_s);
        let joined_commits = Rc::new(joined_commits);
        let commits = Commits::new(run.clone(), Rc::clone(&store), Rc::clone(&joined_commits));
        let feeds = Feeds::new(
            settings.host.clone(),
            Rc::clone(&store),
            Rc::clone(&metrics),
            clock,
        );
        Self {
            commits: Rc::new(commits),
            joined_commits,
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
            history: RefCell::new(TurnCache::new(HISTORY_BYTES)),
            recent_history: RecentHistory::new(run.clone()),
            limits: Limits::new(run.clone(), tolerance(&settings.customers)),
            escrow: Escrow::new(run.clone()),
            retention: Retention::default(),
            holders: HolderAddresses::default(),
            crashes: RefCell::default(),
            open_requests: Cell::new(0),
            stopping: Cell::new(false),
            was_ready: Cell::new(false),
            settings: RefCell::new(Rc::new(settings)),
        }
    }

    /// Settings in force.
    pub fn settings(&self) -> Rc<GatewaySettings> {
        Rc::clone(&self.settings.borrow())
    }

    /// Puts other settings in force, for what begins from now on.
    pub fn set_settings(&self, settings: GatewaySettings) {
        let store = &settings.store;
        self.store.set_store(store.address, store.timeout);
        self.joined_commits.set_writes_per_s(store.writes_per_s);
        self.limits.set_tolerance(tolerance(&settings.customers));
        self.settings.replace(Rc::new(settings));
    }

    /// The routes in force.
    pub fn routes(&self) -> Option<Rc<RouteTable>> {
        self.routes.borrow().clone()
    }

    /// Puts routes in force, unless newer ones are.
    pub fn put_in_force(&self, routes: RouteTable) -> bool {
        let mut current = self.routes.borrow_mut();
        let version = current.as_ref().map(|table| table.deployment().version);
        if version.is_some_and(|version| version >= routes.deployment().version) {
            return false;
        }
        let services = routes.deployment().services.keys().cloned();
        self.directory.borrow_mut().set_declared_services(services);
        unusable::log_routes(&routes);
        unusable::log_customers(&routes);
        let customers = routes.deployment().customers.as_ref();
        self.limits
            .declare(customers.map(Customers::limits).unwrap_or_default());
        *current = Some(Rc::new(routes));
        true
    }

    /// Takes note that the store had no newer routes at `at`.
    pub fn confirm_routes(&self, at: Duration) {
        let mut confirmation = self.confirmation.get();
        confirmation.confirm(at);
        self.confirmation.set(confirmation);
    }

    /// Whether a customer's key may be trusted to be what it was.
    pub fn are_keys_confirmed(&self) -> bool {
        let age = self.confirmation.get().age(self.clock.now());
        let within = self.settings.borrow().customers.keys_confirmed_within;
        within.is_none_or(|within| age <= within)
    }

    /// What is said of a request that the routes deny; a newer version, of which
    /// this host has not heard, may have its route or key.
    pub fn unless_doubted(&self, denial: Refusal) -> Refusal {
        let is_denied = matches!(denial, Refusal::NoRoute | Refusal::UnknownKey);
        match is_denied && self.confirmation.get().is_stale(self.clock.now()) {
            true => Refusal::RoutesUnconfirmed,
            false => denial,
        }
    }

    /// Refuses what needs the store.
    pub fn store_unreachable(&self) -> Refusal {
        self.store.tell_if_lost();
        Refusal::StoreUnreachable(self.store.unreachable_for())
    }

    /// Whether the store answers for a program.
    ///
    /// # Errors
    ///
    /// Refuses the program while it does not, or refuses the program's partition.
    pub fn reach(&self, program: &str) -> Result<(), Refusal> {
        let partition = partition_of(program);
        match self.store.is_reachable() && !self.store.is_partition_refused(&partition) {
            true => Ok(()),
            false => Err(self.program_unreachable(program)),
        }
    }

    /// Refuses what needs a program's rows.
    pub fn program_unreachable(&self, program: &str) -> Refusal {
        self.store.tell_if_lost();
        let partition = partition_of(program);
        Refusal::StoreUnreachable(self.store.partition_unreachable_for(&partition))
    }

    /// Whether the balancer should send callers here. A change is logged first.
    pub fn note_readiness(&self) -> bool {
        let readiness = self.readiness();
        if self.was_ready.replace(readiness.is_ok()) != readiness.is_ok() {
            let reason = readiness.err().unwrap_or("ready");
            log_event(&Event::new(EventKind::ReadyChanged).reason(reason));
        }
        readiness.is_ok()
    }

    /// Whether callers can be served.
    ///
    /// # Errors
    ///
    /// Tells in a word why not.
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
        if self.store.unreachable_for() >= UNREADY_AFTER {
            self.store.tell_if_lost();
            return Err("store-unreachable");
        }
        Ok(())
    }

    /// Whether the process was asked to stop.
    pub fn is_stopping(&self) -> bool {
        self.stopping.get()
    }

    /// Quantities for the metrics page.
    pub fn quantities(&self) -> Quantities {
        let routes = self.routes.borrow();
        let version = routes.as_ref().map(|table| table.deployment().version);
        Quantities {
            open_requests: self.open_requests(),
            open_changes: self.commits.open_changes() as u64,
            endpoints: self.directory.borrow().len() as u64,
            routes_version: version.unwrap_or(0),
            store_unreachable_ms: whole_ms(self.store.unreachable_for()),
            ready: u64::from(self.readiness().is_ok()),
            peers: self.store.peer_addresses().len() as u64,
            open_parts: self.joined_commits.open_parts() as u64,
            oldest_part_ms: whole_ms(self.joined_commits.oldest_part()),
            escrow_slots: self.escrow.held_slots(),
            escrow_owned_slots: self.escrow.slots_with_live_owner(),
            escrow_outstanding_tokens: self.escrow.outstanding_tokens(),
            escrow_held_off_ms: whole_ms(self.escrow.remaining_hold_off(self.clock.now())),
            routes_age_ms: whole_ms(self.feeds.age(FollowedTable::Routes)),
            endpoints_age_ms: whole_ms(self.feeds.age(FollowedTable::Endpoints)),
            follower: u64::from(self.feeds.is_follower()),
        }
    }

    /// Takes no new callers from now on.
    pub fn stop(&self) {
        self.stopping.set(true);
    }

    /// Counts a request until the guard is dropped.
    pub fn open_request(self: &Rc<Self>) -> OpenRequest {
        self.open_requests.set(self.open_requests.get() + 1);
        OpenRequest(Rc::clone(self))
    }

    /// Requests that callers wait for.
    pub fn open_requests(&self) -> u64 {
        self.open_requests.get()
    }

    /// Counts a request at an endpoint until the guard is dropped.
    pub fn begin_at(self: &Rc<Self>, endpoint: &EndpointIdentity) -> AtEndpoint {
        self.directory.borrow_mut().record_request_start(endpoint);
        AtEndpoint {
            gateway: Rc::clone(self),
            endpoint: endpoint.clone(),
        }
    }
}

/// How far customers may exceed their limits.
fn tolerance(settings: &CustomerSettings) -> Tolerance {
    Tolerance {
        window: settings.limit_window,
        overage: f64::from(settings.limit_overage_milli) / 1_000.0,
        slack: settings.limit_slack as f64,
    }
}

/// Counts a request that a caller waits for.
#[derive(Debug)]
pub struct OpenRequest(Rc<Gateway>);

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.open_requests.set(self.0.open_requests.get() - 1);
    }
}

/// Counts a request at an endpoint.
#[derive(Debug)]
pub struct AtEndpoint {
    gateway: Rc<Gateway>,
    /// The start of the endpoint.
    pub endpoint: EndpointIdentity,
}

impl Drop for AtEndpoint {
    fn drop(&mut self) {
        self.gateway
            .directory
            .borrow_mut()
            .record_request_end(&self.endpoint);
    }
}

/// The client of the store, whose calls are counted.
fn store_client(settings: &StoreSettings, clock: Clock, metrics: &Rc<Metrics>) -> StoreClient {
    let metrics = Rc::clone(metrics);
    StoreClient::new(settings.address, settings.timeout, clock).with_observer(Box::new(
        move |call, error, took| metrics.count_store_call(call, error, took),
    ))
}
