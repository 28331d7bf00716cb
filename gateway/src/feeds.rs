//! Subscriptions to the changes of the store's tables.
//!
//! If every host read the tables from the store, the load there would grow with the
//! number of hosts. So only a few hosts of each availability zone read the store. Each
//! other host requests changes from its upstream host in the distribution tree of
//! `rosebend_coordination::gateway::follow_tree`. Every host caches the tables and
//! answers its followers from the cache, without a call to the store.
//!
//! Each answer contains the age of its rows, which is the time since the store is known
//! to have had no newer ones. A host whose rows become too old reads the store itself.
//! Rows from another host can be outdated, but they never cause a wrong write, because
//! the store checks the conditions of each transaction.
//!
//! | responsibility | module |
//! |---|---|
//! | the tables, and the changes that have no effect on hosts | `table` |
//! | requests to the upstream host | `ask` |
//! | answers to followers | `serve` |
//! | the availability of the store, as hosts report it to each other | `store_state` |

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::try_join_all;
use rosebend_coordination::gateway::batchers::PeerHost;
use rosebend_coordination::gateway::follow_tree::{FollowTree, Source};
use rosebend_coordination::gateway::replica::{TableChanges, TableReplica};
use rosebend_protocol::follow::FollowAnswer;
use rosebend_state::deployment::{Row, RowRange, RowVersion};
use rosebend_state::id::HostId;
use rosebend_transport::clock::{Clock, whole_ms};
use rosebend_transport::event::{Event, EventKind, log_event};
use rosebend_transport::store::{StoreClient, StoreError};
use tokio::sync::{Notify, watch};

pub use self::serve::{PATH, answer};
pub use self::table::FollowedTable;

use self::ask::ReceivedAnswer;
use self::store_state::StoreState;
use crate::metrics::{FeedSource, Metrics};
use crate::peer_connections::PeerConnections;

mod ask;
mod serve;
mod store_state;
mod table;

/// Maximum time that the other tables wait at the start of a host for the table of
/// gateways, which determines the host's upstream.
const HOSTS_TIMEOUT: Duration = Duration::from_secs(1);

/// Changes of a table, or all of its rows, with the time at which they were current.
#[derive(Clone, Debug, Default)]
pub struct TableUpdate {
    /// Whether `rows` are all rows of the table, so that all others have been deleted.
    pub is_whole: bool,
    /// The changed rows, in the order of their changes.
    pub rows: Vec<Row>,
    /// The latest time at which the store is known to have had no newer rows.
    pub current_at: Duration,
    /// Whether this host read the rows from the store.
    pub is_from_store: bool,
}

/// The replica of a table, and the notification of the followers that wait for a change.
#[derive(Debug, Default)]
struct CachedTable {
    replica: RefCell<TableReplica>,
    changed: Notify,
}

/// This host's subscriptions to all tables.
#[derive(Debug)]
pub struct Feeds {
    store: Rc<StoreClient>,
    metrics: Rc<Metrics>,
    clock: Clock,
    tree: RefCell<FollowTree<SocketAddr>>,
    has_hosts: watch::Sender<bool>,
    connections: PeerConnections,
    tables: [CachedTable; 4],
    /// The upstream host that was last logged, or `None` for the store.
    logged_source: RefCell<Option<HostId>>,
    store_state: StoreState,
}

impl Feeds {
    /// Creates the subscriptions of a host that has no rows and knows no other hosts.
    pub fn new(
        own_host: HostId,
        store: Rc<StoreClient>,
        metrics: Rc<Metrics>,
        clock: Clock,
        connections: PeerConnections,
    ) -> Self {
        Self {
            store,
            metrics,
            clock,
            tree: RefCell::new(FollowTree::new(own_host)),
            has_hosts: watch::Sender::new(false),
            connections,
            tables: Default::default(),
            logged_source: RefCell::default(),
            store_state: StoreState::default(),
        }
    }

    /// Replaces the hosts of the availability zone, and closes the connections to hosts
    /// that are not among them. `hosts` includes this host.
    pub fn set_hosts(&self, hosts: Vec<PeerHost<SocketAddr>>) {
        let is_listed = |address: &SocketAddr| hosts.iter().any(|host| host.address == *address);
        self.connections.retain(is_listed);
        self.tree.borrow_mut().set_hosts(hosts);
        self.has_hosts.send_replace(true);
    }

    /// Waits for changes of a table and returns them. The update is empty if there were
    /// none within the wait of the table.
    ///
    /// # Errors
    ///
    /// Fails if no upstream host answers and the store cannot be read. The cached table
    /// remains unchanged then.
    pub async fn next(self: &Rc<Self>, table: FollowedTable) -> Result<TableUpdate, StoreError> {
        self.wait_for_hosts(table).await;
        while let Source::Host(host) = self.source() {
            match self
                .request_changes(&host, table, table.follow_wait())
                .await
            {
                Ok(received) => return self.process_answer(&host, table, received).await,
                Err(error) => self.back_off(&host, error.as_str()),
            }
        }
        self.read_store(table).await
    }

    /// Requests the table of gateways from these hosts, one after another, and returns
    /// the first one received, or `None` if none of them has it.
    pub async fn request_hosts(
        self: &Rc<Self>,
        hosts: &[PeerHost<SocketAddr>],
    ) -> Option<TableUpdate> {
        let table = FollowedTable::Gateways;
        for host in hosts {
            match self.request_changes(host, table, Duration::ZERO).await {
                Ok(received) if received.answer.version.is_some() => {
                    return self.process_answer(host, table, received).await.ok();
                }
                Ok(_) => {}
                Err(error) => self.back_off(host, error.as_str()),
            }
        }
        None
    }

    /// Returns the time since the store is known to have had no newer rows of a table, or
    /// the time since the start of the process if there are no rows yet.
    pub fn age(&self, table: FollowedTable) -> Duration {
        let now = self.clock.now();
        self.cached(table).replica.borrow().age(now).unwrap_or(now)
    }

    /// Returns whether this host follows another host instead of the store.
    pub fn is_follower(&self) -> bool {
        matches!(self.source(), Source::Host(_))
    }

    /// Returns the time since the store was last unavailable to this host or to its
    /// upstream host, or `None` if it never was.
    pub fn time_since_store_unavailable(&self) -> Option<Duration> {
        let upstream = self.store_state.time_since_unavailable(self.clock.now());
        let own = self.store.away_ago();
        own.into_iter().chain(upstream).min()
    }

    /// Returns whether this host, while the store does not answer it, should probe the
    /// store now.
    pub fn should_probe(&self) -> bool {
        let now = self.clock.now();
        self.store_state.should_probe(self.is_follower(), now)
    }

    /// Notifies the followers if the store has become unavailable, or available again.
    pub fn update_store_state(&self) {
        if self.store_state.set_reported(self.is_store_unavailable()) {
            self.tables
                .iter()
                .for_each(|cached| cached.changed.notify_waiters());
        }
    }

    /// Returns whether the store is unavailable to this host or to its upstream host.
    fn is_store_unavailable(&self) -> bool {
        self.is_store_unreachable() || self.store_state.is_unavailable_upstream()
    }

    /// Returns whether the store does not answer this host. Unlike
    /// `StoreClient::is_reachable`, this does not treat the store as unreachable while the
    /// first calls are in flight.
    fn is_store_unreachable(&self) -> bool {
        !self.store.unreachable_for().is_zero()
    }

    fn cached(&self, table: FollowedTable) -> &CachedTable {
        &self.tables[table as usize]
    }

    fn version(&self, table: FollowedTable) -> Option<RowVersion> {
        self.cached(table).replica.borrow().version()
    }

    /// Waits until the hosts of the availability zone are known, unless the table is that
    /// of gateways, which contains them. Without them, this host cannot determine its
    /// upstream.
    async fn wait_for_hosts(&self, table: FollowedTable) {
        if table != FollowedTable::Gateways && !*self.has_hosts.borrow() {
            let mut has_hosts = self.has_hosts.subscribe();
            let listed = has_hosts.wait_for(|is_set| *is_set);
            // After a timeout, the host reads the store itself.
            let _ = tokio::time::timeout(HOSTS_TIMEOUT, listed).await;
        }
    }

    /// Returns the source of this host's rows, and logs it if it has changed.
    fn source(&self) -> Source<SocketAddr> {
        let source = self.tree.borrow().source(self.clock.now());
        let host = match &source {
            Source::Store => None,
            Source::Host(host) => Some(&host.host),
        };
        let mut logged = self.logged_source.borrow_mut();
        if logged.as_ref() != host {
            *logged = host.cloned();
            let event = Event::new(EventKind::FeedSourceChanged);
            log_event(&match host {
                Some(host) => event.host(host).reason("host"),
                None => event.reason("store"),
            });
        }
        source
    }

    /// Records that a host did not answer or had only stale rows. It is in backoff from now
    /// on, so the source may change.
    fn back_off(&self, host: &PeerHost<SocketAddr>, reason: &'static str) {
        let now = self.clock.now();
        let wait = self
            .tree
            .borrow_mut()
            .record_timeout(&host.host, &host.process, now);
        if let Some(wait) = wait {
            let event = Event::new(EventKind::FeedSourceAvoided).host(&host.host);
            log_event(&event.wait_ms(whole_ms(wait)).reason(reason));
        }
        self.store_state.clear_upstream_report();
    }

    /// Applies the answer of an upstream host. If its rows are stale and it contains no
    /// changes, reads the store unless that is unreachable, and stops following the host.
    async fn process_answer(
        self: &Rc<Self>,
        host: &PeerHost<SocketAddr>,
        table: FollowedTable,
        received: ReceivedAnswer,
    ) -> Result<TableUpdate, StoreError> {
        let ReceivedAnswer { answer, at } = received;
        self.record_store_state(host, &answer, at);
        let current_at = at.saturating_sub(answer.age);
        let level = self.tree.borrow().level();
        let is_stale = answer.version.is_none() || table.is_stale(answer.age, level);
        let mut update = TableUpdate::default();
        if let Some(version) = answer.version {
            let changes = TableChanges {
                is_whole: answer.is_whole,
                version,
                rows: answer.rows,
            };
            update = self.apply(table, changes, current_at);
        }
        if !is_stale {
            self.tree.borrow_mut().record_response(&host.host);
            self.metrics.count_feed(FeedSource::Host);
            return Ok(update);
        }
        // The store may answer this host although its upstream hosts cannot reach it.
        let has_changes = !update.rows.is_empty();
        if has_changes || self.is_store_unreachable() {
            return Ok(update);
        }
        let read = self.read_store(table).await?;
        self.back_off(host, "stale");
        Ok(read)
    }

    /// Records the upstream host's report on the store. If it is the first that reports
    /// the store as unavailable, starts a check whether this host can reach the store.
    fn record_store_state(
        self: &Rc<Self>,
        host: &PeerHost<SocketAddr>,
        answer: &FollowAnswer,
        answered_at: Duration,
    ) {
        let is_lost = self.store_state.record(answer, answered_at);
        self.update_store_state();
        if is_lost && !self.store.is_direct_down() {
            actix_rt::spawn(Rc::clone(self).check_store(host.clone()));
        }
    }

    /// Probes the store after the upstream host reported it as unavailable. If the store
    /// answers this host, the upstream host is cut off from it and receives no changes, so
    /// this host stops following it.
    async fn check_store(self: Rc<Self>, host: PeerHost<SocketAddr>) {
        let table = FollowedTable::Gateways.name();
        if self.store.probe(table, "").await {
            self.back_off(&host, "cut-off");
        }
    }

    /// Reads the changes of a table from the store, or the whole table if this host has no
    /// rows or the store no longer has the changes since its version.
    async fn read_store(&self, table: FollowedTable) -> Result<TableUpdate, StoreError> {
        self.metrics.count_feed(FeedSource::Store);
        // This host's own calls replace the upstream host's report.
        self.store_state.clear_upstream_report();
        let requested_at = self.clock.now();
        let result = match self.version(table) {
            None => self.read_whole(table).await,
            Some(after) => match self.read_changes(table, after).await {
                Err(StoreError::HistoryGone) => self.read_whole(table).await,
                result => result,
            },
        };
        self.update_store_state();
        let changes = result?;
        // The store sent the answer no later than this. If the answer was received earlier
        // but read later, the rows may have changed since.
        let latest = requested_at + self.store_wait(table);
        let current_at = self.clock.now().min(latest);
        let mut update = self.apply(table, changes, current_at);
        update.is_from_store = true;
        Ok(update)
    }

    /// Returns how long the store may wait for a change of a table before it answers.
    fn store_wait(&self, table: FollowedTable) -> Duration {
        table.store_wait(self.tree.borrow().has_children())
    }

    /// Reads all rows of a table from the store. The version is the minimum of the
    /// versions of all partitions, so that a feed from this version misses no change.
    async fn read_whole(&self, table: FollowedTable) -> Result<TableChanges, StoreError> {
        let ranges: Vec<RowRange> = table
            .partitions()
            .map(|partition| RowRange::whole(table.name(), partition))
            .collect();
        let reads = ranges.iter().map(|range| self.store.read(range));
        let parts = try_join_all(reads).await?;
        let versions = parts.iter().map(|rows| rows.version);
        Ok(TableChanges {
            is_whole: true,
            version: versions.min().unwrap_or(0),
            rows: parts.into_iter().flat_map(|rows| rows.rows).collect(),
        })
    }

    /// Reads the changes of a table after a version from the store, and waits if there are
    /// none.
    async fn read_changes(
        &self,
        table: FollowedTable,
        after: RowVersion,
    ) -> Result<TableChanges, StoreError> {
        let wait = self.store_wait(table);
        let rows = self.store.feed(table.name(), after, wait).await?;
        Ok(TableChanges {
            is_whole: false,
            version: rows.version,
            rows: rows.rows,
        })
    }

    /// Applies changes to the replica, notifies the followers and returns the update.
    /// Changes that are older than the replica are ignored and result in an empty update.
    fn apply(
        &self,
        table: FollowedTable,
        changes: TableChanges,
        current_at: Duration,
    ) -> TableUpdate {
        let cached = self.cached(table);
        let is_same = |known: &Row, row: &Row| table.is_same(known, row);
        let is_applied = cached
            .replica
            .borrow_mut()
            .apply(&changes, current_at, is_same);
        if !is_applied {
            return TableUpdate::default();
        }
        if changes.is_whole || !changes.rows.is_empty() {
            cached.changed.notify_waiters();
        }
        TableUpdate {
            is_whole: changes.is_whole,
            rows: changes.rows,
            current_at,
            is_from_store: false,
        }
    }
}
