//! The client of the platform's store.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request};
use http_body_util::{BodyExt, Full, Limited};
use rosebend_coordination::gateway::history::Range;
use rosebend_coordination::gateway::lane::Answer;
use rosebend_platform::store::{self as wire, Rows, StoreStatus};
use rosebend_state::deployment::{Row, RowVersion, Transaction};
use rosebend_state::settings::StoreSettings;
use rosebend_transport::event::{Event, EventKind, log_event};

use crate::clock::{Clock, whole_ms};
use crate::connection::Connection;
use crate::metrics::Metrics;

/// Most idle connections that are kept. A host's calls seldom overlap by more.
const MAX_IDLE: usize = 4;
/// Largest answer that is read; the store sends at most 1 MB of rows, encoded.
const MAX_ANSWER_BYTES: usize = 4 << 20;
/// How long calls may fail, with none answered, before requests that need the
/// store are refused at once.
const DOUBT_TIME: Duration = Duration::from_millis(60);
/// How long a call may be open, with no other answered since it was sent,
/// before the store counts as silent. Calls take 6 to 20 ms, and 250 to 500 ms
/// of a slow store, which has several open at once; a host that is cut off
/// hears nothing, and its callers are served elsewhere.
const SILENCE_TIME: Duration = Duration::from_millis(350);

/// Why a call gave nothing.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The store is too busy, or refuses this host; nothing was done.
    #[error("the store is busy")]
    Busy,
    /// The history that was asked for is gone.
    #[error("the store's history is gone")]
    HistoryGone,
    /// No answer, or one that cannot be read: what was done is not known.
    #[error("no answer of the store: {0}")]
    NoAnswer(String),
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

/// The client; one for the process.
#[derive(Debug)]
pub struct StoreClient {
    settings: StoreSettings,
    clock: Clock,
    metrics: Rc<Metrics>,
    idle: RefCell<Vec<Connection>>,
    last_success: Cell<Option<Duration>>,
    /// First failure since the last success.
    failing_since: Cell<Option<Duration>>,
    /// End of the last time without the store.
    recovered_at: Cell<Option<Duration>>,
    /// When the answer of each open call may first be expected.
    open_calls: RefCell<BTreeMap<u64, Duration>>,
    next_call: Cell<u64>,
}

/// An open call; dropping it closes the call.
#[derive(Debug)]
struct OpenCall<'a> {
    client: &'a StoreClient,
    id: u64,
}

impl Drop for OpenCall<'_> {
    fn drop(&mut self) {
        self.client.open_calls.borrow_mut().remove(&self.id);
    }
}

impl StoreClient {
    /// A client that has not called yet.
    pub fn new(settings: StoreSettings, clock: Clock, metrics: Rc<Metrics>) -> Self {
        Self {
            settings,
            clock,
            metrics,
            idle: RefCell::default(),
            last_success: Cell::new(None),
            failing_since: Cell::new(None),
            recovered_at: Cell::new(None),
            open_calls: RefCell::default(),
            next_call: Cell::new(0),
        }
    }

    /// Whether calls are answered, as far as the last ones tell.
    pub fn is_reachable(&self) -> bool {
        self.last_success.get().is_some() && self.unreachable_for() < DOUBT_TIME
    }

    /// For how long no call has been answered; zero while calls are.
    pub fn unreachable_for(&self) -> Duration {
        let now = self.clock.now();
        let failing = self.failing_since.get();
        let failing = failing.map_or(Duration::ZERO, |since| now.saturating_sub(since));
        let silent = self.silent_for(now);
        if silent < SILENCE_TIME {
            return failing;
        }
        failing.max(silent)
    }

    /// How long the oldest open call has been without an answer, unless some
    /// later call was answered.
    fn silent_for(&self, now: Duration) -> Duration {
        let open_calls = self.open_calls.borrow();
        let oldest = open_calls.values().min();
        let last_success = self.last_success.get().unwrap_or_default();
        let oldest = oldest.filter(|oldest| **oldest > last_success);
        oldest.map_or(Duration::ZERO, |oldest| now.saturating_sub(*oldest))
    }

    fn open_call(&self, wait: Duration) -> OpenCall<'_> {
        let id = self.next_call.get();
        self.next_call.set(id + 1);
        let expected = self.clock.now() + wait;
        self.open_calls.borrow_mut().insert(id, expected);
        OpenCall { client: self, id }
    }

    /// Whether the store was away within `span` before now.
    pub fn was_away_within(&self, span: Duration) -> bool {
        let now = self.clock.now();
        let recovered = self.recovered_at.get();
        self.failing_since.get().is_some()
            || recovered.is_some_and(|at| now.saturating_sub(at) < span)
    }

    /// Applies a transaction.
    ///
    /// # Errors
    ///
    /// Fails when it was not applied, or when that is not known.
    pub async fn transact(&self, transaction: &Transaction) -> Result<Answer, StoreError> {
        let body = wire::encode_transaction(transaction);
        let call = self.request(Method::POST, wire::TRANSACT_PATH, body);
        let (status, body) = self.call(StoreCall::Transact, call, Duration::ZERO).await?;
        let rows = decode(&body)?;
        match status {
            StoreStatus::Done => Ok(Answer::Applied(rows.version)),
            StoreStatus::Conflict => Ok(Answer::Conflict(rows.rows)),
            _ => Err(unexpected(status)),
        }
    }

    /// Reads all rows of a range.
    ///
    /// # Errors
    ///
    /// Fails when the store does not answer; nothing is returned of a range
    /// that was read in part.
    pub async fn read(&self, range: &Range) -> Result<Rows, StoreError> {
        let mut from = range.from.clone();
        let mut all = Rows::default();
        loop {
            let path = wire::read_path(range.table, &range.partition, &from, Some(&range.to));
            let page = self.get(StoreCall::Read, &path, Duration::ZERO).await?;
            all.version = page.version;
            all.rows.extend(page.rows);
            match next_page(page.has_more, &all.rows) {
                Some(next) => from = next,
                None => return Ok(all),
            }
        }
    }

    /// Reads all rows of a table's empty partition.
    ///
    /// # Errors
    ///
    /// Fails when the store does not answer.
    pub async fn read_table(&self, table: &str) -> Result<Rows, StoreError> {
        let mut from = String::new();
        let mut all = Rows::default();
        loop {
            let path = wire::read_path(table, "", &from, None);
            let page = self.get(StoreCall::Read, &path, Duration::ZERO).await?;
            if all.version == 0 {
                // Changes after the first page must not be missed.
                all.version = page.version;
            }
            all.rows.extend(page.rows);
            match next_page(page.has_more, &all.rows) {
                Some(next) => from = next,
                None => return Ok(all),
            }
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
        self.get(StoreCall::Feed, &path, wait).await
    }

    async fn get(&self, kind: StoreCall, path: &str, wait: Duration) -> Result<Rows, StoreError> {
        let request = self.request(Method::GET, path, Vec::new());
        match self.call(kind, request, wait).await? {
            (StoreStatus::Done, body) => decode(&body),
            (status, _) => Err(unexpected(status)),
        }
    }

    fn request(&self, method: Method, path: &str, body: Vec<u8>) -> Request<Full<Bytes>> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(http::header::HOST, self.settings.address.to_string())
            .header(http::header::CONTENT_TYPE, "application/json");
        request
            .body(Full::new(Bytes::from(body)))
            .expect("paths are escaped and headers are text")
    }

    /// One call, whose answer the store may hold back for `wait`.
    async fn call(
        &self,
        kind: StoreCall,
        request: Request<Full<Bytes>>,
        wait: Duration,
    ) -> Result<(StoreStatus, Bytes), StoreError> {
        let _open = self.open_call(wait);
        let started = self.clock.now();
        let timeout = wait + self.settings.timeout;
        let answer = tokio::time::timeout(timeout, self.exchange(request)).await;
        let answer = answer.unwrap_or_else(|_| Err("it took too long".to_owned()));
        let outcome = match answer {
            Ok((StoreStatus::Busy, _)) => Err(StoreError::Busy),
            Ok((StoreStatus::Unknown, _)) => Err(unexpected(StoreStatus::Unknown)),
            Ok(done) => Ok(done),
            Err(error) => Err(StoreError::NoAnswer(error)),
        };
        let took = self.clock.now().saturating_sub(started);
        let error = outcome.as_ref().err();
        self.metrics.count_store_call(kind, error, took);
        self.note(started, error);
        outcome
    }

    /// One request on a connection that is kept only if all went well: one on
    /// which an answer was lost delivers nothing any more.
    async fn exchange(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<(StoreStatus, Bytes), String> {
        let idle = self.take_idle();
        let mut connection = match idle {
            Some(connection) => connection,
            None => {
                let opened = Connection::open(self.settings.address).await;
                opened.map_err(|error| error.to_string())?
            }
        };
        let response = connection.send(request).await;
        let response = response.map_err(|error| error.to_string())?;
        let status = wire::status(response.status().as_u16());
        let closes = rosebend_platform::headers::decode_answer(response.headers()).closes;
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES)
            .collect()
            .await;
        let body = body.map_err(|error| error.to_string())?.to_bytes();
        let mut idle = self.idle.borrow_mut();
        if !closes && idle.len() < MAX_IDLE {
            idle.push(connection);
        }
        Ok((status, body))
    }

    fn take_idle(&self) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        while let Some(connection) = idle.pop() {
            if connection.is_clean() {
                return Some(connection);
            }
        }
        None
    }

    fn note(&self, started: Duration, error: Option<&StoreError>) {
        let Some(error) = error else {
            self.note_answer(started);
            return;
        };
        let now = self.clock.now();
        // Others of the same age deliver nothing either, most likely.
        self.idle.borrow_mut().clear();
        if self.failing_since.get().is_none() {
            self.failing_since.set(Some(now));
            log_event(&Event::new(EventKind::StoreLost).error(error));
        }
    }

    /// Takes note of an answer. One to a call from before the first failure,
    /// such as a feed that was waiting, does not tell that the store is back.
    fn note_answer(&self, started: Duration) {
        let now = self.clock.now();
        if let Some(since) = self.failing_since.get() {
            if started < since {
                return;
            }
            self.failing_since.set(None);
            self.recovered_at.set(Some(now));
            let away = now.saturating_sub(since);
            log_event(&Event::new(EventKind::StoreRegained).wait_ms(whole_ms(away)));
        }
        self.last_success.set(Some(now));
    }
}

fn decode(body: &[u8]) -> Result<Rows, StoreError> {
    wire::decode_rows(body).map_err(|error| StoreError::NoAnswer(error.to_string()))
}

fn unexpected(status: StoreStatus) -> StoreError {
    match status {
        StoreStatus::HistoryGone => StoreError::HistoryGone,
        StoreStatus::Busy => StoreError::Busy,
        status => StoreError::NoAnswer(format!("unexpected status {status:?}")),
    }
}

/// First key of the next page: right behind the last row of this one.
fn next_page(has_more: bool, rows: &[Row]) -> Option<String> {
    let last = rows.last().filter(|_| has_more)?;
    Some(format!("{}\u{1}", last.id.key))
}
