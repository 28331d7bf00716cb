//! The client of the platform's store, for every process.
//!
//! The outcome of a transaction is one of four: it was applied, it was not, it never
//! will be, or nobody knows. A lost answer is never guessed; the caller settles it by
//! the transaction's conditions or by reading back.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use http::Method;
use http::uri::PathAndQuery;
use rosebend_platform::store::{self as wire, Rows, StoreStatus};
use rosebend_state::deployment::{Row, RowId, RowRange, RowVersion, Transaction};
use rosebend_state::settings::PlatformSettings;

use crate::clock::{Clock, whole_ms};
use crate::event::{Event, EventKind, log_event};

use self::answer::{decode_rows, judge, no_progress, unexpected, unreadable};
use self::refused::RefusedPartitions;
pub use self::resend::{Answers, Copies, MIN_TIMEOUT, next_timeout};
pub use self::way::{ASKED_RUN, Concern, Outgoing, Peer};
use self::way::{SILENCE_TIME, Turn, Way};

mod answer;
mod refused;
mod resend;
mod way;

/// How long a way by a peer is believed in after its last answer.
const PEER_TRUST: Duration = Duration::from_millis(1_500);
/// How long every call must have been refused as one too many before peers are
/// asked. Within a second the store takes calls of every host that it serves.
const THROTTLED_TIME: Duration = Duration::from_millis(600);
/// Table that is read to learn whether the store answers at all.
const PROBED_TABLE: &str = "gateways";
/// Peers that are asked for one call, at most: in an outage of the whole store
/// each of them only says so.
const MAX_PEERS_ASKED: usize = 2;

/// Why a call gave nothing.
#[derive(Clone, Debug, thiserror::Error)]
pub enum StoreError {
    /// The store refuses this host, or everyone; nothing was done.
    #[error("the store refuses calls")]
    Refused,
    /// More calls than the store takes; nothing was done.
    #[error("the store takes no more calls in this second")]
    Throttled,
    /// The store does not take the call, whoever sends it and however often; nothing was
    /// done.
    #[error("the store rejects the call: {0}")]
    Rejected(String),
    /// The history that was asked for is gone.
    #[error("the store's history is gone")]
    HistoryGone,
    /// No answer, or one that cannot be read: what was done is not known.
    #[error("no answer of the store: {0}")]
    NoAnswer(String),
}

/// How a transaction was answered.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Transacted {
    /// It was applied, and gave this version to the rows that it wrote.
    Applied(RowVersion),
    /// A condition did not hold and nothing was applied; the rows of its
    /// conditions that exist.
    Conflict(Vec<Row>),
}

/// What was asked of the store, for counters and logs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreCall {
    /// A transaction.
    Transact,
    /// A read of rows.
    Read,
    /// A wait for changes.
    Feed,
}

impl StoreCall {
    /// Word for counters and logs.
    pub fn word(self) -> &'static str {
        match self {
            Self::Transact => "transact",
            Self::Read => "read",
            Self::Feed => "feed",
        }
    }
}

/// Hears of each call: what was asked, why it gave nothing, how long it took.
pub type CallObserver = Box<dyn Fn(StoreCall, Option<&StoreError>, Duration)>;

/// The client; it belongs to the thread that made it.
///
/// Calls go straight to the store. While the store does not answer this host,
/// they go by a peer that it does answer. Every call may be sent twice:
/// transactions carry their conditions or write rows that never change.
pub struct StoreClient {
    /// Longest wait for an answer.
    timeout: Cell<Duration>,
    clock: Clock,
    observer: CallObserver,
    direct: RefCell<Rc<Way>>,
    /// First call refused as one too many, with none answered since.
    throttled_since: Cell<Option<Duration>>,
    /// How long to wait for an answer before the call is sent again.
    answers: RefCell<Answers>,
    /// Why the last straight call failed; none since one was answered.
    last_failure: RefCell<Option<StoreError>>,
    peers: RefCell<Vec<Rc<Way>>>,
    refused: RefusedPartitions,
    store_clock: Cell<Option<StoreClock>>,
}

/// What the store's steady clock showed, and when that was learned.
#[derive(Clone, Copy, Debug)]
struct StoreClock {
    showed: Duration,
    learned_at: Duration,
}

impl std::fmt::Debug for StoreClient {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("StoreClient")
            .field("direct", &self.direct())
            .finish_non_exhaustive()
    }
}

impl StoreClient {
    /// A client of the store at an address that has not called yet. It waits
    /// at most `timeout` for each answer.
    pub fn new(address: SocketAddr, timeout: Duration, clock: Clock) -> Self {
        Self {
            direct: RefCell::new(Rc::new(Way::new(address, clock))),
            throttled_since: Cell::new(None),
            answers: RefCell::default(),
            last_failure: RefCell::default(),
            peers: RefCell::default(),
            refused: RefusedPartitions::default(),
            store_clock: Cell::default(),
            observer: Box::new(|_, _, _| {}),
            timeout: Cell::new(timeout),
            clock,
        }
    }

    /// A client as the settings of entries and sidecars tell it.
    pub fn from_settings(settings: &PlatformSettings) -> Self {
        Self::new(settings.address, settings.timeout, Clock::start())
    }

    /// Tells an observer of each call.
    #[must_use]
    pub fn with_observer(mut self, observer: CallObserver) -> Self {
        self.observer = observer;
        self
    }

    /// Takes another address and another longest wait, for calls from now on.
    pub fn set_store(&self, address: SocketAddr, timeout: Duration) {
        self.timeout.set(timeout);
        let direct = self.direct();
        if direct.address() != address {
            self.direct.replace(Rc::new(direct.moved_to(address)));
        }
    }

    fn direct(&self) -> Rc<Way> {
        Rc::clone(&self.direct.borrow())
    }

    /// Sets the peers that pass calls on, best first. Known ones keep their
    /// connections.
    pub fn set_peers(&self, peers: &[Peer]) {
        let mut ways = self.peers.borrow_mut();
        let known = std::mem::take(&mut *ways);
        let way = |peer: &Peer| {
            let way = known.iter().find(|way| way.is_by(peer));
            way.map_or_else(|| Rc::new(Way::by(peer, self.clock)), Rc::clone)
        };
        *ways = peers.iter().map(way).collect();
    }

    /// The peers that are known.
    pub fn peer_addresses(&self) -> Vec<std::net::SocketAddr> {
        self.peers
            .borrow()
            .iter()
            .map(|way| way.address())
            .collect()
    }

    /// Whether calls are answered, straight or by a peer.
    pub fn is_reachable(&self) -> bool {
        self.was_ever_answered() && (self.direct().is_up() || self.is_relayed())
    }

    /// For how long no call has been answered; zero while calls are.
    pub fn unreachable_for(&self) -> Duration {
        match self.direct().is_up() || self.is_relayed() {
            true => Duration::ZERO,
            false => self.direct().unreachable_for(),
        }
    }

    /// Whether the store refuses a partition, as far as the last calls tell, while
    /// it answers for others.
    pub fn is_partition_refused(&self, partition: &str) -> bool {
        let now = self.clock.now();
        self.refused.refused_for(partition, now).is_some()
    }

    /// Whether a partition was refused so lately that it is not asked again now.
    pub fn is_left_alone(&self, partition: &str) -> bool {
        self.refused.is_left_alone(partition, self.clock.now())
    }

    /// For how long a partition was out of reach, by itself or with the store.
    pub fn partition_unreachable_for(&self, partition: &str) -> Duration {
        let refused = self.refused.refused_for(partition, self.clock.now());
        refused.unwrap_or_default().max(self.unreachable_for())
    }

    /// Whether a partition was refused lately and not answered since.
    pub fn is_partition_doubted(&self, partition: &str) -> bool {
        self.refused.is_doubted(partition, self.clock.now())
    }

    /// Takes note that another host was answered for a partition.
    pub fn note_partition_answered(&self, partition: &str) {
        self.refused.note_answered(partition);
    }

    /// Takes note that another host was refused a partition.
    pub fn note_partition_refused(&self, partition: &str) {
        self.refused.note_refused(partition, self.clock.now());
    }

    /// Whether the store does not answer this host, whoever else it answers.
    pub fn is_direct_down(&self) -> bool {
        !self.direct().is_up()
    }

    /// What the store's steady clock shows now at least; none before the store has told it.
    pub fn store_now(&self) -> Option<Duration> {
        let clock = self.store_clock.get()?;
        Some(clock.showed + self.clock.now().saturating_sub(clock.learned_at))
    }

    fn learn_store_clock(&self, showed: Option<Duration>) {
        let learned_at = self.clock.now();
        if let Some(showed) = showed {
            self.store_clock
                .set(Some(StoreClock { showed, learned_at }));
        }
    }

    /// Tells the log that the store does not answer, unless it knows: what is
    /// refused for that must not stand there without its cause.
    pub fn tell_if_lost(&self) {
        if self.direct().turn_down().is_some() {
            let failure = self.last_failure.borrow().clone();
            let silent = || StoreError::NoAnswer("calls are open for too long".to_owned());
            let failure = failure.unwrap_or_else(silent);
            log_event(&Event::new(EventKind::StoreLost).error(&failure));
        }
    }

    /// How long ago the store was last away from this host; none when it never was.
    pub fn away_ago(&self) -> Option<Duration> {
        self.direct().away_ago()
    }

    fn was_ever_answered(&self) -> bool {
        let mut ways = self.peers.borrow().clone().into_iter();
        self.direct().was_ever_answered() || ways.any(|way| way.was_ever_answered())
    }

    fn is_relayed(&self) -> bool {
        let peers = self.peers.borrow();
        peers.iter().any(|way| way.was_answered_within(PEER_TRUST))
    }

    /// Applies a transaction.
    ///
    /// # Errors
    ///
    /// Fails when it was not applied, or when that is not known.
    pub async fn transact(&self, transaction: &Transaction) -> Result<Transacted, StoreError> {
        let partition = transaction.rows().next().map(|row| row.partition.as_str());
        let outgoing = Outgoing {
            concern: Concern::of(partition.unwrap_or_default()),
            method: Method::POST,
            path: PathAndQuery::from_static(wire::TRANSACT_PATH),
            body: Bytes::from(wire::encode_transaction(transaction)),
        };
        let call = self.call_again_when_late(StoreCall::Transact, &outgoing);
        let (status, body) = call.await?;
        match status {
            StoreStatus::Done => {
                let version = wire::decode_applied(&body).map_err(unreadable)?;
                self.learn_store_clock(wire::decode_clock(&body));
                Ok(Transacted::Applied(version))
            }
            StoreStatus::Conflict => {
                let rows = wire::decode_conflict(&body).map_err(unreadable)?;
                Ok(Transacted::Conflict(rows))
            }
            _ => Err(unexpected(status)),
        }
    }

    /// Reads one row, if it exists.
    ///
    /// # Errors
    ///
    /// Fails when the store does not answer.
    pub async fn read_row(&self, row: &RowId) -> Result<Option<Row>, StoreError> {
        let path = wire::read_path(&row.table, &row.partition, &row.key, None, Some(1));
        let page = self.read_page(&path, &row.partition).await?;
        // The first row from the key on may be a later one.
        Ok(page.rows.into_iter().find(|found| found.id == *row))
    }

    /// Reads rows one after another, so that none is older than the one before;
    /// absent ones are left out. Who conditions a transaction on the first row
    /// thus also knows that the others have not changed before it was read.
    ///
    /// # Errors
    ///
    /// Fails when the store does not answer one of the reads.
    pub async fn read_rows(&self, rows: &[RowId]) -> Result<Vec<Row>, StoreError> {
        let mut found = Vec::new();
        for row in rows {
            found.extend(self.read_row(row).await?);
        }
        Ok(found)
    }

    /// Reads all rows of a table's empty partition.
    ///
    /// # Errors
    ///
    /// Fails when the store does not answer.
    pub async fn read_table(&self, table: &str) -> Result<Rows, StoreError> {
        self.read(&RowRange::whole(table, "")).await
    }

    /// Reads all rows of a range. The version is that of the first page, so
    /// that a feed from it on misses no change.
    ///
    /// # Errors
    ///
    /// Fails when the store does not answer; nothing is returned of a range
    /// that was read in part.
    pub async fn read(&self, range: &RowRange) -> Result<Rows, StoreError> {
        let mut from = range.from.clone();
        let to = range.to.as_deref();
        let mut all = Rows::default();
        loop {
            let path = wire::read_path(&range.table, &range.partition, &from, to, None);
            let page = self.read_page(&path, &range.partition).await?;
            if all.version == 0 {
                all.version = page.version;
                all.now = page.now;
            }
            all.rows.extend(page.rows);
            if !page.has_more {
                return Ok(all);
            }
            let last = all.rows.last().map(|row| row.id.key.as_str());
            // A page that does not go on would be read for ever.
            let last = last.filter(|key| *key >= from.as_str());
            let last = last.ok_or_else(no_progress)?;
            from = range.clone().after(last).from;
        }
    }

    /// Reads at most `limit` rows of a range.
    ///
    /// # Errors
    ///
    /// Fails when the store does not answer.
    pub async fn read_some(&self, range: &RowRange, limit: usize) -> Result<Rows, StoreError> {
        let to = range.to.as_deref();
        let path = wire::read_path(&range.table, &range.partition, &range.from, to, Some(limit));
        self.read_page(&path, &range.partition).await
    }

    async fn read_page(&self, path: &str, partition: &str) -> Result<Rows, StoreError> {
        let outgoing = Outgoing::get(path, partition)?;
        let call = self.call_again_when_late(StoreCall::Read, &outgoing);
        let rows = decode_rows(call.await?)?;
        self.learn_store_clock(rows.now);
        Ok(rows)
    }

    /// Asks the store straight whether it answers this host, and returns that.
    pub async fn probe(&self, table: &str, key: &str) -> bool {
        let path = wire::read_path(table, "", key, None, Some(1));
        match Outgoing::get(&path, "") {
            // The way itself takes note of how it went.
            Ok(outgoing) => self.pass_on(&outgoing, Duration::ZERO).await.is_ok(),
            Err(_) => false,
        }
    }

    /// Waits for changes of a table after a version.
    ///
    /// # Errors
    ///
    /// Fails when the store does not answer or its history is gone.
    pub async fn feed(
        &self,
        table: &str,
        after: RowVersion,
        wait: Duration,
    ) -> Result<Rows, StoreError> {
        let path = wire::feed_path(table, after, wait);
        let outgoing = Outgoing::get(&path, "")?;
        decode_rows(self.call(StoreCall::Feed, &outgoing, wait).await?)
    }

    /// How long an answer may take until another copy of its call is sent.
    pub fn answer_timeout(&self) -> Duration {
        self.answers.borrow().interval()
    }

    /// A call that is sent again while no answer comes. A second copy of a read does
    /// nothing, and conditions keep that of a transaction from taking effect twice. The
    /// first answer counts.
    async fn call_again_when_late(
        &self,
        kind: StoreCall,
        outgoing: &Outgoing,
    ) -> Result<(StoreStatus, Bytes), StoreError> {
        let first_sent_at = self.clock.now();
        let answers_others = || self.direct().has_answered_since(first_sent_at);
        let mut schedule = Copies::new(first_sent_at, self.answer_timeout());
        let mut copies = FuturesUnordered::from_iter([self.timed_call(kind, outgoing, 0)]);
        loop {
            let wait = schedule.wait(self.clock.now(), answers_others());
            match tokio::time::timeout(wait, copies.next()).await {
                Ok(Some((number, Ok(answer)))) => {
                    self.answers.borrow_mut().answered(number == 0);
                    return Ok(answer);
                }
                Ok(Some((_, Err(error @ StoreError::Rejected(_))))) => return Err(error),
                // Another copy may still be answered.
                Ok(Some((_, Err(_)))) if !copies.is_empty() => {}
                Ok(Some((_, Err(error)))) => return Err(error),
                Ok(None) => return Err(StoreError::NoAnswer("no copy is open".to_owned())),
                Err(_) => {}
            }
            let now = self.clock.now();
            if schedule.due(answers_others()).is_some_and(|due| due <= now) {
                copies.push(self.timed_call(kind, outgoing, schedule.count()));
                schedule.sent(now);
            }
        }
    }

    /// One copy of a call, whose time tells how long to wait for others, with its number.
    async fn timed_call(
        &self,
        kind: StoreCall,
        outgoing: &Outgoing,
        number: u32,
    ) -> (u32, Result<(StoreStatus, Bytes), StoreError>) {
        let started = self.clock.now();
        let answer = self.call(kind, outgoing, Duration::ZERO).await;
        if answer.is_ok() {
            let took = self.clock.now().saturating_sub(started);
            self.answers.borrow_mut().took(took);
        }
        (number, answer)
    }

    /// One call, whose answer the store may hold back for `wait`.
    async fn call(
        &self,
        kind: StoreCall,
        outgoing: &Outgoing,
        wait: Duration,
    ) -> Result<(StoreStatus, Bytes), StoreError> {
        let Concern::Partition(partition) = &outgoing.concern else {
            return self.observed_call(kind, outgoing, wait).await;
        };
        if self.is_left_alone(partition) {
            return Err(StoreError::Refused);
        }
        let outcome = self.observed_call(kind, outgoing, wait).await;
        match &outcome {
            Ok(_) | Err(StoreError::Rejected(_)) => self.refused.note_answered(partition),
            Err(StoreError::Refused) if self.answers_others().await => {
                self.note_partition_refused(partition);
            }
            Err(_) => {}
        }
        outcome
    }

    /// Whether the store answers for other partitions, which it is asked unless it
    /// just did.
    async fn answers_others(&self) -> bool {
        if !self.direct().answers_others() {
            self.probe(PROBED_TABLE, "").await;
        }
        self.direct().answers_others()
    }

    async fn observed_call(
        &self,
        kind: StoreCall,
        outgoing: &Outgoing,
        wait: Duration,
    ) -> Result<(StoreStatus, Bytes), StoreError> {
        let started = self.clock.now();
        let outcome = self.call_any_way(outgoing, wait).await;
        let took = self.clock.now().saturating_sub(started);
        (self.observer)(kind, outcome.as_ref().err(), took);
        outcome
    }

    async fn call_any_way(
        &self,
        outgoing: &Outgoing,
        wait: Duration,
    ) -> Result<(StoreStatus, Bytes), StoreError> {
        if self.is_direct_down()
            && let Some(answer) = self.call_by_peers(outgoing, wait).await
        {
            return Ok(answer);
        }
        let direct = std::pin::pin!(self.call_direct(outgoing, wait));
        let hedge = std::pin::pin!(self.call_when_silent(outgoing, wait));
        let outcome = match futures_util::future::select(direct, hedge).await {
            futures_util::future::Either::Left((outcome, _)) => outcome,
            futures_util::future::Either::Right((Some(answer), _)) => return Ok(answer),
            futures_util::future::Either::Right((None, direct)) => direct.await,
        };
        match outcome {
            Ok(answer) => Ok(answer),
            // The store answered, and would answer a peer the same.
            Err(error @ StoreError::Rejected(_)) => Err(error),
            // The store's rate is one for all hosts: a peer would only add to
            // the calls. A host that is always told so is turned away.
            Err(StoreError::Throttled) if self.direct().is_up() => Err(StoreError::Throttled),
            Err(error) => {
                let by_peers = self.call_by_peers(outgoing, wait).await;
                if by_peers.is_some() && matches!(error, StoreError::Refused) {
                    // It is this host that the store refuses.
                    self.tell(self.direct().note_failure(), &error);
                }
                by_peers.ok_or(error)
            }
        }
    }

    /// The same call by a peer, once the straight way has been silent for too
    /// long; none when no peer answered it either.
    async fn call_when_silent(
        &self,
        outgoing: &Outgoing,
        wait: Duration,
    ) -> Option<(StoreStatus, Bytes)> {
        if self.peers.borrow().is_empty() {
            return None;
        }
        tokio::time::sleep(wait + SILENCE_TIME).await;
        if !self.is_direct_down() {
            return None;
        }
        self.call_by_peers(outgoing, wait).await
    }

    /// One call straight to the store.
    ///
    /// # Errors
    ///
    /// Says whether the store refused or did not answer.
    async fn call_direct(
        &self,
        outgoing: &Outgoing,
        wait: Duration,
    ) -> Result<(StoreStatus, Bytes), StoreError> {
        let (status, body) = self.pass_on(outgoing, wait).await?;
        Ok((wire::status(status), body))
    }

    /// One call straight to the store, with the status as it came; what a peer
    /// is given of its call.
    ///
    /// # Errors
    ///
    /// Says whether the store refused or did not answer.
    pub async fn pass_on(
        &self,
        outgoing: &Outgoing,
        wait: Duration,
    ) -> Result<(u16, Bytes), StoreError> {
        let started = self.clock.now();
        let direct = self.direct();
        let answer = direct.call(outgoing, wait, self.timeout.get()).await;
        let outcome = judge(answer);
        self.last_failure.replace(outcome.as_ref().err().cloned());
        let turn = match &outcome {
            Ok(_) | Err(StoreError::Rejected(_)) => {
                self.throttled_since.set(None);
                direct.note_answer(started)
            }
            Err(StoreError::Throttled) if !self.is_shut_out() => None,
            Err(StoreError::Refused) if outgoing.concern != Concern::Store => None,
            Err(_) => direct.note_failure(),
        };
        match &outcome {
            Ok(_) => self.tell(turn, &StoreError::Refused),
            Err(error) => self.tell(turn, error),
        }
        outcome
    }

    /// Writes how the straight way's state changed; `error` is why it was lost.
    fn tell(&self, turn: Option<Turn>, error: &StoreError) {
        match turn {
            Some(Turn::Lost) => log_event(&Event::new(EventKind::StoreLost).error(error)),
            Some(Turn::Regained(away)) => {
                log_event(&Event::new(EventKind::StoreRegained).wait_ms(whole_ms(away)));
            }
            None => {}
        }
    }

    /// Whether every call has been refused as one too many for so long that the
    /// store must be turning this host away.
    fn is_shut_out(&self) -> bool {
        let now = self.clock.now();
        let since = self.throttled_since.get().unwrap_or(now);
        self.throttled_since.set(Some(since));
        now.saturating_sub(since) >= THROTTLED_TIME
    }

    /// The same call by peers that the store may answer.
    async fn call_by_peers(
        &self,
        outgoing: &Outgoing,
        wait: Duration,
    ) -> Option<(StoreStatus, Bytes)> {
        for way in self.peers_to_ask() {
            let started = self.clock.now();
            let answer = way.call(outgoing, wait, self.timeout.get()).await;
            match judge(answer) {
                Ok((status, body)) => {
                    if !way.was_ever_answered() || !way.is_up() {
                        let event = Event::new(EventKind::StoreRelayed);
                        log_event(&event.address(way.address()));
                    }
                    way.note_answer(started);
                    return Some((wire::status(status), body));
                }
                Err(StoreError::Refused) if outgoing.concern != Concern::Store => {}
                Err(_) => {
                    way.note_failure();
                }
            }
        }
        None
    }

    /// Peers that answered lately first, then those that were not asked or are
    /// long silent.
    fn peers_to_ask(&self) -> Vec<Rc<Way>> {
        let mut peers = self.peers.borrow().clone();
        peers.sort_by_key(|way| (!way.was_answered_within(PEER_TRUST), !way.is_up()));
        peers.truncate(MAX_PEERS_ASKED);
        peers
    }
}
