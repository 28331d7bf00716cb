//! What changes in the store's tables, from the store or from another gateway.
//!
//! A few hosts of each availability zone read the store; the others ask the host
//! above them in the tree of `rosebend_coordination::gateway::follow_tree`. Every
//! host keeps what it knows of each table and answers its followers from that,
//! without a call to the store. With the rows comes how long ago the store had
//! nothing newer, so that a host knows how old its belief is; rows that grow too old
//! make it read the store itself. Nothing is written on another host's word alone:
//! conditions of transactions are checked by the store.
//!
//! | what | where |
//! |---|---|
//! | the tables, and what changes in nothing that hosts act on | `table` |
//! | questions to the host above | `ask` |
//! | answers to followers | `serve` |
//! | whether the store is available, by the messages between hosts | `store_state` |

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

use self::ask::Answered;
use self::store_state::StoreState;
use crate::metrics::{FeedSource, Metrics};
use crate::peer_connections::PeerConnections;

mod ask;
mod serve;
mod store_state;
mod table;

/// Longest wait of a host that starts for the table of gateways, from which it
/// learns whom to follow.
const HOSTS_TIMEOUT: Duration = Duration::from_secs(1);

/// What is new in a table.
#[derive(Clone, Debug, Default)]
pub struct Followed {
    /// Whether `rows` are all rows of the table.
    pub is_whole: bool,
    /// Rows that changed, in the order of their changes.
    pub rows: Vec<Row>,
    /// When the store had nothing newer.
    pub current_at: Duration,
    /// Whether this host read them from the store.
    pub is_from_store: bool,
}

/// A table as this host knows it, and those that wait for it to change.
#[derive(Debug, Default)]
struct Known {
    replica: RefCell<TableReplica>,
    changed: Notify,
}

/// The tables that this host follows.
#[derive(Debug)]
pub struct Feeds {
    store: Rc<StoreClient>,
    metrics: Rc<Metrics>,
    clock: Clock,
    tree: RefCell<FollowTree<SocketAddr>>,
    has_hosts: watch::Sender<bool>,
    connections: PeerConnections,
    tables: [Known; 4],
    /// The host that is followed, as last logged.
    logged_source: RefCell<Option<HostId>>,
    store_state: StoreState,
}

impl Feeds {
    /// A host that knows nothing yet.
    pub fn new(
        own_host: HostId,
        store: Rc<StoreClient>,
        metrics: Rc<Metrics>,
        clock: Clock,
    ) -> Self {
        Self {
            store,
            metrics,
            clock,
            tree: RefCell::new(FollowTree::new(own_host)),
            has_hosts: watch::Sender::new(false),
            connections: PeerConnections::default(),
            tables: Default::default(),
            logged_source: RefCell::default(),
            store_state: StoreState::default(),
        }
    }

    /// Takes the hosts of the availability zone, this one among them.
    pub fn set_hosts(&self, hosts: Vec<PeerHost<SocketAddr>>) {
        let is_there = |address: &SocketAddr| hosts.iter().any(|host| host.address == *address);
        self.connections.retain(is_there);
        self.tree.borrow_mut().set_hosts(hosts);
        self.has_hosts.send_replace(true);
    }

    /// Waits for changes of a table.
    ///
    /// # Errors
    ///
    /// Fails when nobody tells what changed; what is known stays as it was.
    pub async fn next(self: &Rc<Self>, table: FollowedTable) -> Result<Followed, StoreError> {
        self.wait_for_hosts(table).await;
        while let Source::Host(host) = self.source() {
            match self.ask(&host, table, table.follow_wait()).await {
                Ok(answered) => return self.take_answer(&host, table, answered).await,
                Err(error) => self.avoid(&host, error.word()),
            }
        }
        self.read_store(table).await
    }

    /// Takes the table of gateways from one of these hosts; none when they do not have
    /// it.
    pub async fn take_hosts_from(
        self: &Rc<Self>,
        hosts: &[PeerHost<SocketAddr>],
    ) -> Option<Followed> {
        let table = FollowedTable::Gateways;
        for host in hosts {
            match self.ask(host, table, Duration::ZERO).await {
                Ok(answered) if answered.answer.version.is_some() => {
                    return self.take_answer(host, table, answered).await.ok();
                }
                Ok(_) => {}
                Err(error) => self.avoid(host, error.word()),
            }
        }
        None
    }

    /// How long ago the store had nothing newer of a table.
    pub fn age(&self, table: FollowedTable) -> Duration {
        let now = self.clock.now();
        self.known(table).replica.borrow().age(now).unwrap_or(now)
    }

    /// Whether this host follows another one.
    pub fn is_follower(&self) -> bool {
        matches!(self.source(), Source::Host(_))
    }

    /// How long ago the store was last away, from this host or from the one that it
    /// follows; none when it never was.
    pub fn store_away_ago(&self) -> Option<Duration> {
        let upstream = self.store_state.upstream_away_ago(self.clock.now());
        let own = self.store.away_ago();
        own.into_iter().chain(upstream).min()
    }

    /// Whether a host that the store does not answer should try it now.
    pub fn should_probe(&self) -> bool {
        let now = self.clock.now();
        self.store_state.should_probe(self.is_follower(), now)
    }

    /// Notifies followers when the store became unavailable, or available again.
    pub fn note_store_state(&self) {
        if self.store_state.report(self.is_store_unavailable()) {
            self.tables
                .iter()
                .for_each(|known| known.changed.notify_waiters());
        }
    }

    fn is_store_unavailable(&self) -> bool {
        self.is_store_away() || self.store_state.is_unavailable_upstream()
    }

    /// Whether the store does not answer this host, whose first calls may be open.
    fn is_store_away(&self) -> bool {
        !self.store.unreachable_for().is_zero()
    }

    fn known(&self, table: FollowedTable) -> &Known {
        &self.tables[table as usize]
    }

    fn version(&self, table: FollowedTable) -> Option<RowVersion> {
        self.known(table).replica.borrow().version()
    }

    /// A host that starts learns from the table of gateways whom to follow.
    async fn wait_for_hosts(&self, table: FollowedTable) {
        if table != FollowedTable::Gateways && !*self.has_hosts.borrow() {
            let mut has_hosts = self.has_hosts.subscribe();
            let known = has_hosts.wait_for(|known| *known);
            // Without the table it reads the store itself.
            let _ = tokio::time::timeout(HOSTS_TIMEOUT, known).await;
        }
    }

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

    fn avoid(&self, host: &PeerHost<SocketAddr>, reason: &'static str) {
        let now = self.clock.now();
        let wait = self
            .tree
            .borrow_mut()
            .record_timeout(&host.host, &host.process, now);
        if let Some(wait) = wait {
            let event = Event::new(EventKind::FeedSourceAvoided).host(&host.host);
            log_event(&event.wait_ms(whole_ms(wait)).reason(reason));
        }
        self.store_state.forget_upstream();
    }

    async fn take_answer(
        self: &Rc<Self>,
        host: &PeerHost<SocketAddr>,
        table: FollowedTable,
        answered: Answered,
    ) -> Result<Followed, StoreError> {
        let Answered { answer, at } = answered;
        self.record_store_state(host, &answer, at);
        let current_at = at.saturating_sub(answer.age);
        let level = self.tree.borrow().level();
        let is_stale = answer.version.is_none() || table.is_stale(answer.age, level);
        let mut followed = Followed::default();
        if let Some(version) = answer.version {
            let changes = TableChanges {
                is_whole: answer.is_whole,
                version,
                rows: answer.rows,
            };
            followed = self.apply(table, changes, current_at);
        }
        if !is_stale {
            self.tree.borrow_mut().record_response(&host.host);
            self.metrics.count_feed(FeedSource::Host);
            return Ok(followed);
        }
        // Perhaps the store answers this host and not those above it.
        let has_changes = !followed.rows.is_empty();
        if has_changes || self.is_store_away() {
            return Ok(followed);
        }
        let read = self.read_store(table).await?;
        self.avoid(host, "stale");
        Ok(read)
    }

    fn record_store_state(
        self: &Rc<Self>,
        host: &PeerHost<SocketAddr>,
        answer: &FollowAnswer,
        answered_at: Duration,
    ) {
        let is_lost = self.store_state.record(answer, answered_at);
        self.note_store_state();
        if is_lost && !self.store.is_direct_down() {
            actix_rt::spawn(Rc::clone(self).check_store(host.clone()));
        }
    }

    /// Finds out whether the store is away from this host, too, or only from the host
    /// above, which then receives no changes.
    async fn check_store(self: Rc<Self>, host: PeerHost<SocketAddr>) {
        let table = FollowedTable::Gateways.name();
        if self.store.probe(table, "").await {
            self.avoid(&host, "cut-off");
        }
    }

    async fn read_store(&self, table: FollowedTable) -> Result<Followed, StoreError> {
        self.metrics.count_feed(FeedSource::Store);
        // This host's own calls replace the upstream host's report.
        self.store_state.forget_upstream();
        let asked_at = self.clock.now();
        let result = match self.version(table) {
            None => self.read_whole(table).await,
            Some(after) => match self.feed_store(table, after).await {
                Err(StoreError::HistoryGone) => self.read_whole(table).await,
                result => result,
            },
        };
        self.note_store_state();
        let changes = result?;
        // An answer that waited to be read tells nothing of the time since.
        let latest = asked_at + self.store_wait(table);
        let current_at = self.clock.now().min(latest);
        let mut followed = self.apply(table, changes, current_at);
        followed.is_from_store = true;
        Ok(followed)
    }

    fn store_wait(&self, table: FollowedTable) -> Duration {
        table.store_wait(self.tree.borrow().has_children())
    }

    /// Reads all rows of a table. The version is the least of all partitions', so that
    /// a feed from it on misses no change.
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

    async fn feed_store(
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

    /// Applies changes to the replica. Older ones change nothing.
    fn apply(&self, table: FollowedTable, changes: TableChanges, current_at: Duration) -> Followed {
        let known = self.known(table);
        let is_same = |known: &Row, row: &Row| table.is_same(known, row);
        let is_applied = known
            .replica
            .borrow_mut()
            .apply(&changes, current_at, is_same);
        if !is_applied {
            return Followed::default();
        }
        if changes.is_whole || !changes.rows.is_empty() {
            known.changed.notify_waiters();
        }
        Followed {
            is_whole: changes.is_whole,
            rows: changes.rows,
            current_at,
            is_from_store: false,
        }
    }
}
