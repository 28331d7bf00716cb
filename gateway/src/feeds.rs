//! What changes in the store's tables, from the store or from another gateway.
//!
//! A few hosts of each availability zone read the store; the others ask the host
//! above them in the tree of `rosebend_coordination::gateway::follow_tree`. Every
//! host keeps what it knows of each table and answers its followers from that,
//! without a call to the store. With the rows comes how long ago the store had
//! nothing newer, so that a host knows how old its belief is; rows that grow too old
//! make it read the store itself. Nothing is written on a follower's word: conditions
//! of transactions are checked by the store.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rosebend_coordination::gateway::follow_tree::{FollowTree, Source};
use rosebend_coordination::gateway::gatherers::Candidate;
use rosebend_coordination::gateway::replica::{TableNews, TableReplica};
use rosebend_platform::{deployment, endpoints};
use rosebend_protocol::follow::{
    FollowAnswer, FollowError, FollowRequest, decode_answer, encode_request,
};
use rosebend_state::deployment::{Row, RowVersion};
use rosebend_state::id::HostId;
use rosebend_transport::clock::{Clock, whole_ms};
use rosebend_transport::event::{Event, EventKind, log_event};
use rosebend_transport::store::{StoreClient, StoreError};
use tokio::sync::{Notify, watch};

pub use self::serve::{PATH, answer};
use crate::metrics::{FeedSource, Metrics};
use crate::peer_connections::{PeerConnections, PeerError};

mod serve;

/// Timeout for the head of an answer, which comes at once.
const HEAD_TIMEOUT: Duration = Duration::from_millis(250);
/// Timeout for the rest of an answer beyond the wait that was asked for.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(350);
/// Longest wait of a host that starts for the table of gateways, from which it
/// learns whom to follow.
const HOSTS_TIMEOUT: Duration = Duration::from_secs(1);
/// Wait of a follower, in which a host that stands still is not noticed.
const FOLLOW_WAIT: Duration = Duration::from_millis(500);
/// Wait of a reader's feed of routes. Its followers must hear that their routes are
/// the newest before they doubt it.
const READER_ROUTES_WAIT: Duration = Duration::from_millis(600);
/// Age beyond the longest wait for changes at which rows count as stale.
const STALE_SLACK: Duration = Duration::from_millis(1_500);
/// Pause between two tries of the store by a host whose store is unavailable and
/// that another host informs.
const SLOW_PROBE: Duration = Duration::from_secs(2);

/// A table that every host follows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FollowedTable {
    /// What operators declare.
    Routes,
    /// The entries of endpoints.
    Endpoints,
    /// The gateways, and the owners of escrow slots.
    Gateways,
    /// Requests that crash endpoints.
    Crashes,
}

impl FollowedTable {
    const ALL: [Self; 4] = [Self::Routes, Self::Endpoints, Self::Gateways, Self::Crashes];

    /// Its name in the store.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Routes => deployment::TABLE,
            Self::Endpoints => endpoints::TABLE,
            Self::Gateways => "gateways",
            Self::Crashes => "crashes",
        }
    }

    fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|table| table.name() == name)
    }

    /// How long a feed of the store waits for a change. A connection may fall silent;
    /// routes and endpoints must not be older than two seconds. Who has left is found
    /// out by asking, and a suspicion that comes late costs one endpoint's restart.
    const fn store_wait(self) -> Duration {
        match self {
            Self::Routes | Self::Endpoints => Duration::from_millis(1_300),
            Self::Gateways => Duration::from_secs(5),
            Self::Crashes => Duration::from_secs(4),
        }
    }

    /// How long a follower waits for a change.
    const fn follow_wait(self) -> Duration {
        match self {
            Self::Routes | Self::Endpoints => FOLLOW_WAIT,
            Self::Gateways | Self::Crashes => Duration::from_secs(2),
        }
    }

    /// Whether a row changed in nothing that hosts act on. An endpoint's entry changes
    /// with each of its heartbeats.
    fn is_same(self, known: &Row, row: &Row) -> bool {
        let decode = |row: &Row| {
            let value = row.value.as_ref()?;
            endpoints::decode(&row.id.key, value).ok()
        };
        match self {
            Self::Endpoints => match (decode(known), decode(row)) {
                (Some(known), Some(row)) => known == row,
                _ => known.value == row.value,
            },
            Self::Routes | Self::Gateways | Self::Crashes => false,
        }
    }
}

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

/// Why a host that is followed gave nothing.
#[derive(Debug, thiserror::Error)]
enum AskError {
    #[error(transparent)]
    Peer(#[from] PeerError),
    #[error(transparent)]
    Malformed(#[from] FollowError),
    #[error("it does not answer in time")]
    Silent,
}

impl AskError {
    const fn word(&self) -> &'static str {
        match self {
            Self::Peer(error) => error.word(),
            Self::Malformed(_) => "malformed",
            Self::Silent => "silent",
        }
    }
}

/// An answer, and when it was given at the latest.
#[derive(Debug)]
struct Answered {
    answer: FollowAnswer,
    /// One that waited to be read tells nothing of the time since.
    at: Duration,
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
    /// The host that is followed, as the log knows it.
    told_source: RefCell<Option<HostId>>,
    /// Whether the host above said that the store is unavailable.
    heard_unavailable: Cell<bool>,
    /// When the store was last unavailable by what the host above said.
    heard_away_at: Cell<Option<Duration>>,
    /// What followers were told of the store.
    told_unavailable: Cell<bool>,
    probed_at: Cell<Duration>,
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
            told_source: RefCell::default(),
            heard_unavailable: Cell::default(),
            heard_away_at: Cell::default(),
            told_unavailable: Cell::default(),
            probed_at: Cell::default(),
        }
    }

    /// Takes the hosts of the availability zone, this one among them.
    pub fn set_hosts(&self, hosts: Vec<Candidate<SocketAddr>>) {
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
    pub async fn next(&self, table: FollowedTable) -> Result<Followed, StoreError> {
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
    pub async fn take_hosts_from(&self, hosts: &[Candidate<SocketAddr>]) -> Option<Followed> {
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
        let heard = self.heard_away_at.get();
        let heard = heard.map(|at| self.clock.now().saturating_sub(at));
        let own = self.store.away_ago();
        own.into_iter().chain(heard).min()
    }

    /// Whether a host that the store does not answer should ask it now. One that
    /// follows another host hears when the store is back; all of them asking at their
    /// full pace would be the first load that it meets.
    pub fn should_probe(&self) -> bool {
        let now = self.clock.now();
        let is_due = now.saturating_sub(self.probed_at.get()) >= SLOW_PROBE;
        let hears_of_return = self.is_follower() && self.heard_unavailable.get();
        if hears_of_return && !is_due {
            return false;
        }
        self.probed_at.set(now);
        true
    }

    /// Tells followers when the store became unavailable, or available again.
    pub fn note_store_state(&self) {
        let is_unavailable = self.is_store_unavailable();
        if self.told_unavailable.replace(is_unavailable) != is_unavailable {
            self.tables
                .iter()
                .for_each(|known| known.changed.notify_waiters());
        }
    }

    fn is_store_unavailable(&self) -> bool {
        self.is_store_away() || self.heard_unavailable.get()
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
        let mut told = self.told_source.borrow_mut();
        if told.as_ref() != host {
            *told = host.cloned();
            let event = Event::new(EventKind::FeedSourceChanged);
            log_event(&match host {
                Some(host) => event.host(host).reason("host"),
                None => event.reason("store"),
            });
        }
        source
    }

    fn avoid(&self, host: &Candidate<SocketAddr>, reason: &'static str) {
        let now = self.clock.now();
        let wait = self.tree.borrow_mut().silent(&host.host, &host.run, now);
        if let Some(wait) = wait {
            let event = Event::new(EventKind::FeedSourceAvoided).host(&host.host);
            log_event(&event.wait_ms(whole_ms(wait)).reason(reason));
        }
        self.heard_unavailable.set(false);
    }

    async fn ask(
        &self,
        host: &Candidate<SocketAddr>,
        table: FollowedTable,
        wait: Duration,
    ) -> Result<Answered, AskError> {
        let latest = self.clock.now() + wait + ANSWER_TIMEOUT;
        let question = encode_request(&FollowRequest {
            asked_run: host.run.clone(),
            table: table.name().to_owned(),
            after: self.version(table),
            wait,
            knows_store_unavailable: self.heard_unavailable.get(),
        });
        let accepted = Cell::new(false);
        let answer = self
            .connections
            .ask(host.address, PATH, question, &accepted);
        let mut answer = std::pin::pin!(answer);
        let head = tokio::time::timeout(HEAD_TIMEOUT, &mut answer).await;
        let answer = match head {
            Ok(answer) => answer?,
            Err(_) if !accepted.get() => return Err(AskError::Silent),
            Err(_) => tokio::time::timeout(wait + ANSWER_TIMEOUT, answer)
                .await
                .map_err(|_| AskError::Silent)??,
        };
        Ok(Answered {
            answer: decode_answer(table.name(), &answer)?,
            at: self.clock.now().min(latest),
        })
    }

    async fn take_answer(
        &self,
        host: &Candidate<SocketAddr>,
        table: FollowedTable,
        answered: Answered,
    ) -> Result<Followed, StoreError> {
        let Answered { answer, at } = answered;
        self.hear_store_state(&answer, at);
        let current_at = at.saturating_sub(answer.age);
        let is_stale = answer.version.is_none() || answer.age > table.store_wait() + STALE_SLACK;
        let mut followed = Followed::default();
        if let Some(version) = answer.version {
            let news = TableNews {
                is_whole: answer.is_whole,
                version,
                rows: answer.rows,
            };
            followed = self.take(table, news, current_at);
        }
        if !is_stale {
            self.tree.borrow_mut().answered(&host.host);
            self.metrics.count_feed(FeedSource::Host);
            return Ok(followed);
        }
        // Perhaps the store answers this host and not those above it.
        let has_news = !followed.rows.is_empty();
        if has_news || self.is_store_away() {
            return Ok(followed);
        }
        let read = self.read_store(table).await?;
        self.avoid(host, "stale");
        Ok(read)
    }

    fn hear_store_state(&self, answer: &FollowAnswer, answered_at: Duration) {
        let heard_away = answer.store_unavailable_ago;
        if let Some(ago) = heard_away {
            let at = answered_at.saturating_sub(ago);
            self.heard_away_at
                .set(self.heard_away_at.get().max(Some(at)));
        }
        let was_unavailable = self.heard_unavailable.replace(answer.is_store_unavailable);
        self.note_store_state();
        if answer.is_store_unavailable && !was_unavailable && !self.store.is_direct_down() {
            // Whether it is away from this host, too, only its own call tells.
            let store = Rc::clone(&self.store);
            actix_rt::spawn(async move { store.probe(FollowedTable::Gateways.name(), "").await });
        }
    }

    async fn read_store(&self, table: FollowedTable) -> Result<Followed, StoreError> {
        self.metrics.count_feed(FeedSource::Store);
        // What other hosts said of the store is over with this host's own look.
        self.heard_unavailable.set(false);
        let asked_at = self.clock.now();
        let result = match self.version(table) {
            None => self.read_whole(table).await,
            Some(after) => match self.feed_store(table, after).await {
                Err(StoreError::HistoryGone) => self.read_whole(table).await,
                result => result,
            },
        };
        self.note_store_state();
        let news = result?;
        // An answer that waited to be read tells nothing of the time since.
        let latest = asked_at + self.store_wait(table);
        let current_at = self.clock.now().min(latest);
        let mut followed = self.take(table, news, current_at);
        followed.is_from_store = true;
        Ok(followed)
    }

    fn store_wait(&self, table: FollowedTable) -> Duration {
        let has_followers = self.tree.borrow().has_followers();
        match table {
            FollowedTable::Routes if has_followers => READER_ROUTES_WAIT,
            _ => table.store_wait(),
        }
    }

    async fn read_whole(&self, table: FollowedTable) -> Result<TableNews, StoreError> {
        let rows = self.store.read_table(table.name()).await?;
        Ok(TableNews {
            is_whole: true,
            version: rows.version,
            rows: rows.rows,
        })
    }

    async fn feed_store(
        &self,
        table: FollowedTable,
        after: RowVersion,
    ) -> Result<TableNews, StoreError> {
        let wait = self.store_wait(table);
        let rows = self.store.feed(table.name(), after, wait).await?;
        Ok(TableNews {
            is_whole: false,
            version: rows.version,
            rows: rows.rows,
        })
    }

    /// Takes news into what is known. News that are older change nothing.
    fn take(&self, table: FollowedTable, news: TableNews, current_at: Duration) -> Followed {
        let known = self.known(table);
        let is_same = |known: &Row, row: &Row| table.is_same(known, row);
        let is_taken = known.replica.borrow_mut().take(&news, current_at, is_same);
        if !is_taken {
            return Followed::default();
        }
        if news.is_whole || !news.rows.is_empty() {
            known.changed.notify_waiters();
        }
        Followed {
            is_whole: news.is_whole,
            rows: news.rows,
            current_at,
            is_from_store: false,
        }
    }
}
