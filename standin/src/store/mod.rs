//! The platform's store as its published protocol tells it: rows in tables and
//! partitions, atomic transactions under conditions, feeds of changes, raw
//! objects, and rates.
//!
//! Besides the published calls it takes `POST /faults` [`StoreFaults`] and
//! tells by `GET /stats` [`StoreStats`]; faults never touch these two. A store
//! may have several doors, addresses with faults of their own, so that it can
//! turn some hosts away and serve others.

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::TcpListener;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use bytes::Bytes;
use rosebend_transport::http_server::{HttpReply, HttpRequest};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::reply::{cut, not_found, parse, percent_decode, problem, take_one};
use crate::server::RunningServer;
use rosebend_protocol::problem::Ran;

use self::rate::TokenBucket;
use self::rows::{Key, ReadRange, Rows, TransactError, WireTransaction};

mod rate;
pub mod rows;

/// How often a waiting feed or a held call looks again.
const POLL: Duration = Duration::from_millis(5);
/// Most partitions or objects of one answer.
const LIST_ENTRIES: usize = 1_000;
/// Most bytes of a transaction, encoded.
const MAX_TRANSACTION_BYTES: usize = 1_000_000;

/// Rates of the store, for all callers together.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StoreConfig {
    /// Calls that read in a second.
    pub reads_per_second: u32,
    /// Calls that write in a second.
    pub writes_per_second: u32,
    /// Transactions of one partition in a second.
    pub partition_transactions_per_second: u32,
}

impl Default for StoreConfig {
    /// The published rates of the smaller sites.
    fn default() -> Self {
        Self {
            reads_per_second: 2_000,
            writes_per_second: 800,
            partition_transactions_per_second: 150,
        }
    }
}

/// What a door of the store does wrong.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreFaults {
    /// Answers every call with 503 and does nothing.
    pub refuse: bool,
    /// Answers calls for this partition with 503 and does nothing of them.
    pub refuse_partition: String,
    /// Answers nothing and does nothing; the calls that it held are cut in the
    /// end.
    pub hang: bool,
    /// Answers nothing and does late what was asked of it meanwhile.
    pub silent: bool,
    /// Milliseconds by which every answer is late, after its effect.
    pub slow_ms: u64,
    /// Number of transactions more that take effect without an answer.
    pub lose_answers: u64,
    /// Number of transactions more that take effect and whose answer never
    /// comes, on a connection that stays open.
    pub swallow_answers: u64,
    /// Number of reads more whose answer never comes, on a connection that stays open.
    pub swallow_reads: u64,
    /// Number of transactions more that are lost before they take effect.
    pub lose_calls: u64,
    /// Number of transactions more that are refused with 429.
    pub throttle: u64,
}

impl StoreFaults {
    /// Every call is refused.
    pub fn refusing() -> Self {
        Self {
            refuse: true,
            ..Self::default()
        }
    }

    /// Every call hangs.
    pub fn hanging() -> Self {
        Self {
            hang: true,
            ..Self::default()
        }
    }
}

/// What the store has done.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct StoreStats {
    /// Transactions that were applied.
    pub transactions: u64,
    /// Transactions that met a condition that did not hold.
    pub conflicts: u64,
    /// Reads of rows and objects.
    pub reads: u64,
    /// Feeds.
    pub feeds: u64,
    /// Calls over one of the rates.
    pub throttled: u64,
    /// Calls that met a door which refused or hung.
    pub outages: u64,
    /// Transactions that took effect and whose answer was lost.
    pub lost_answers: u64,
    /// Rows that exist.
    pub rows: u64,
    /// Bytes of all bodies of calls that write.
    pub received_bytes: u64,
}

/// All that is behind the store's lock.
#[derive(Debug)]
struct State {
    rows: Rows,
    objects: BTreeMap<String, Bytes>,
    stats: StoreStats,
    reads: TokenBucket,
    writes: TokenBucket,
    partitions: HashMap<String, TokenBucket>,
    config: StoreConfig,
}

/// The store.
#[derive(Clone, Debug)]
pub struct Store {
    state: Arc<Mutex<State>>,
    started: Instant,
}

impl Default for Store {
    fn default() -> Self {
        Self::new(StoreConfig::default())
    }
}

impl Store {
    /// An empty store.
    pub fn new(config: StoreConfig) -> Self {
        let now = Instant::now();
        let state = State {
            rows: Rows::default(),
            objects: BTreeMap::new(),
            stats: StoreStats::default(),
            reads: TokenBucket::new(config.reads_per_second, now),
            writes: TokenBucket::new(config.writes_per_second, now),
            partitions: HashMap::new(),
            config,
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            started: now,
        }
    }

    /// Opens a door on a bound listener, inside an `actix_rt` system.
    ///
    /// # Errors
    ///
    /// Fails when the listener cannot be used.
    pub fn open_door(&self, listener: TcpListener) -> io::Result<RunningServer> {
        let store = self.clone();
        RunningServer::start("store", listener, |stopping| {
            let door = Door {
                store,
                faults: Arc::default(),
            };
            move |request| {
                let door = door.clone();
                let mut stopping = stopping.clone();
                async move {
                    tokio::select! {
                        reply = door.answer(request) => reply,
                        () = stopping.stopped() => cut(),
                    }
                }
            }
        })
    }

    /// Writes a row as the operator or an endpoint does.
    pub fn put(&self, table: &str, key: &str, value: &Value) {
        self.put_bytes(table, key, value.to_string().as_bytes());
    }

    /// Writes a row of any bytes, as a writer of another kind may.
    pub fn put_bytes(&self, table: &str, key: &str, value: &[u8]) {
        use base64::Engine as _;
        let value = base64::engine::general_purpose::STANDARD.encode(value);
        self.put_text(table, key, &value);
    }

    /// Writes a row whose value need not be the base64 of anything.
    pub fn put_text(&self, table: &str, key: &str, value: &str) {
        let key = (table.to_owned(), String::new(), key.to_owned());
        self.lock().rows.set(&[(key, Some(value.to_owned()))]);
    }

    /// Deletes a row as the platform does.
    pub fn delete(&self, table: &str, key: &str) {
        let key = (table.to_owned(), String::new(), key.to_owned());
        self.lock().rows.set(&[(key, None)]);
    }

    /// Forgets the history: feeds from before now are refused.
    pub fn forget_history(&self) {
        self.lock().rows.forget_history();
    }

    /// Number of rows of a table.
    pub fn row_count(&self, table: &str) -> usize {
        self.lock().rows.row_count(table)
    }

    /// What the store has done.
    pub fn stats(&self) -> StoreStats {
        let state = self.lock();
        StoreStats {
            rows: state.rows.count() as u64,
            ..state.stats.clone()
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .expect("no holder of the store's lock panics")
    }

    fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }
}

impl State {
    /// Lets a call that reads through, or refuses it.
    fn admit_read(&mut self) -> Result<(), HttpReply> {
        if !self.reads.take(Instant::now()) {
            return Err(self.throttled());
        }
        self.stats.reads += 1;
        Ok(())
    }

    /// Lets a call that writes through, or refuses it.
    fn admit_write(&mut self, request: &HttpRequest) -> Result<(), HttpReply> {
        if !self.writes.take(Instant::now()) {
            return Err(self.throttled());
        }
        self.stats.received_bytes += request.body.len() as u64;
        Ok(())
    }

    /// Lets a transaction of a partition through, or refuses it.
    fn admit_transaction(&mut self, partition: &str) -> Result<(), HttpReply> {
        let now = Instant::now();
        let rate = self.config.partition_transactions_per_second;
        let bucket = self.partitions.entry(partition.to_owned());
        if bucket
            .or_insert_with(|| TokenBucket::new(rate, now))
            .take(now)
        {
            return Ok(());
        }
        Err(self.throttled())
    }

    fn throttled(&mut self) -> HttpReply {
        self.stats.throttled += 1;
        problem(429, "throttled", Ran::No, "too many calls")
    }

    fn rows_body(&self, keys: &[Key], has_more: bool, now_ms: u64) -> Value {
        let rows: Vec<Value> = keys.iter().map(|key| self.rows.wire_row(key)).collect();
        json!({
            "rows": rows,
            "has-more": has_more,
            "ver": self.rows.version(),
            "now-ms": now_ms,
        })
    }
}

fn unavailable() -> HttpReply {
    problem(503, "refused", Ran::No, "the store serves others")
}

/// Whether a call reads or writes rows of a partition.
fn is_for_partition(request: &HttpRequest, partition: &str) -> bool {
    match request.path.as_str() {
        "/rows-get" => request.query_value("part") == Some(partition),
        "/rows-tx" => {
            let body = String::from_utf8_lossy(&request.body);
            body.contains(&format!("\"part\":\"{partition}\""))
        }
        _ => false,
    }
}

/// One address of a store.
#[derive(Clone, Debug)]
struct Door {
    store: Store,
    faults: Arc<Mutex<StoreFaults>>,
}

impl Door {
    async fn answer(&self, request: HttpRequest) -> HttpReply {
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/faults") => self.set_faults(&request),
            ("GET", "/stats") => HttpReply::json(200, &self.store.stats()),
            _ => match self.meet_outage().await {
                Some(reply) => reply,
                None => self.answer_with_faults(&request).await,
            },
        }
    }

    fn set_faults(&self, request: &HttpRequest) -> HttpReply {
        match parse(request) {
            Ok(faults) => {
                *self.lock_faults() = faults;
                HttpReply::json(200, &json!({}))
            }
            Err(reply) => reply,
        }
    }

    /// The reply of a door that takes no calls; none when it takes them.
    async fn meet_outage(&self) -> Option<HttpReply> {
        let faults = self.lock_faults().clone();
        if !faults.refuse && !faults.hang {
            return None;
        }
        self.store.lock().stats.outages += 1;
        while self.lock_faults().hang {
            actix_rt::time::sleep(POLL).await;
        }
        match self.lock_faults().refuse {
            true => Some(unavailable()),
            false => Some(cut()),
        }
    }

    async fn answer_with_faults(&self, request: &HttpRequest) -> HttpReply {
        while self.lock_faults().silent {
            actix_rt::time::sleep(POLL).await;
        }
        let is_write = request.path == "/rows-tx";
        if is_write && take_one(&mut self.lock_faults().lose_calls) {
            return cut();
        }
        if is_write && take_one(&mut self.lock_faults().throttle) {
            return self.store.lock().throttled();
        }
        let refused = self.lock_faults().refuse_partition.clone();
        if !refused.is_empty() && is_for_partition(request, &refused) {
            self.store.lock().stats.outages += 1;
            return unavailable();
        }
        let reply = match self.route(request).await {
            Ok(reply) | Err(reply) => reply,
        };
        if is_write && reply.status == 200 && take_one(&mut self.lock_faults().lose_answers) {
            self.store.lock().stats.lost_answers += 1;
            return cut();
        }
        if is_write && take_one(&mut self.lock_faults().swallow_answers) {
            self.store.lock().stats.lost_answers += 1;
            std::future::pending::<()>().await;
        }
        let is_read = request.path == "/rows-get";
        if is_read && take_one(&mut self.lock_faults().swallow_reads) {
            std::future::pending::<()>().await;
        }
        let slow_ms = self.lock_faults().slow_ms;
        actix_rt::time::sleep(Duration::from_millis(slow_ms)).await;
        reply
    }

    async fn route(&self, request: &HttpRequest) -> Result<HttpReply, HttpReply> {
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/rows-tx") => self.transact(request),
            ("GET", "/rows-get") => self.read(request),
            ("GET", "/rows-parts") => self.parts(request),
            ("GET", "/rows-feed") => self.feed(request).await,
            ("GET", "/blob-list") => self.list_objects(request),
            (method, path) => match (method, split_path(path)) {
                ("PUT", ("blob-put", name)) => self.put_object(name, request),
                ("GET", ("blob-get", name)) => self.get_object(name),
                ("DELETE", ("blob-drop", name)) => self.drop_object(name, request),
                _ => Err(not_found(request)),
            },
        }
    }

    fn transact(&self, request: &HttpRequest) -> Result<HttpReply, HttpReply> {
        let transaction: WireTransaction = parse(request)?;
        let now_ms = self.store.now_ms();
        let mut state = self.store.lock();
        state.admit_write(request)?;
        if request.body.len() > MAX_TRANSACTION_BYTES {
            let why = "it has too many bytes";
            return Err(problem(400, "invalid", Ran::No, why));
        }
        for part in transaction.parts() {
            state.admit_transaction(part)?;
        }
        match state.rows.transact(&transaction) {
            Ok(version) => {
                state.stats.transactions += 1;
                let body = json!({"ver": version, "now-ms": now_ms});
                Ok(HttpReply::json(200, &body))
            }
            Err(TransactError::Conflict(present)) => {
                state.stats.conflicts += 1;
                let body = state.rows_body(&present, false, now_ms);
                Ok(HttpReply::json(412, &body))
            }
            Err(TransactError::Invalid(why)) => Err(problem(400, "invalid", Ran::No, why)),
        }
    }

    fn read(&self, request: &HttpRequest) -> Result<HttpReply, HttpReply> {
        let value = |name| percent_decode(request.query_value(name).unwrap_or_default());
        let range = ReadRange {
            table: value("table"),
            part: value("part"),
            from: value("from"),
            to: request.query_value("to").map(percent_decode),
            limit: request
                .query_value("limit")
                .and_then(|limit| limit.parse().ok()),
        };
        let mut state = self.store.lock();
        state.admit_read()?;
        let (keys, has_more) = state.rows.read(&range);
        let body = state.rows_body(&keys, has_more, self.store.now_ms());
        Ok(HttpReply::json(200, &body))
    }

    fn parts(&self, request: &HttpRequest) -> Result<HttpReply, HttpReply> {
        let table = percent_decode(request.query_value("table").unwrap_or_default());
        let after = request.query_value("after").map(percent_decode);
        let mut state = self.store.lock();
        state.admit_read()?;
        let mut parts = state.rows.parts(&table, after.as_deref());
        let has_more = parts.len() > LIST_ENTRIES;
        parts.truncate(LIST_ENTRIES);
        let body = json!({"parts": parts, "has-more": has_more});
        Ok(HttpReply::json(200, &body))
    }

    async fn feed(&self, request: &HttpRequest) -> Result<HttpReply, HttpReply> {
        let number = |name| request.query_value(name).and_then(|text| text.parse().ok());
        let after: u64 = number("after").unwrap_or_default();
        let wait = Duration::from_millis(number("wait-ms").unwrap_or_default());
        let table = percent_decode(request.query_value("table").unwrap_or_default());
        self.store.lock().stats.feeds += 1;
        let until = Instant::now() + wait;
        loop {
            if let Some(reply) = self.changes(&table, after, Instant::now() >= until) {
                return Ok(reply);
            }
            actix_rt::time::sleep(POLL).await;
        }
    }

    /// The answer to a feed, if there is something to tell or the wait is over.
    fn changes(&self, table: &str, after: u64, is_over: bool) -> Option<HttpReply> {
        let state = self.store.lock();
        let Some(keys) = state.rows.changed(table, after) else {
            return Some(problem(410, "history-gone", Ran::No, "the history is gone"));
        };
        if keys.is_empty() && !is_over {
            return None;
        }
        let body = state.rows_body(&keys, false, self.store.now_ms());
        Some(HttpReply::json(200, &body))
    }

    fn put_object(&self, name: &str, request: &HttpRequest) -> Result<HttpReply, HttpReply> {
        let mut state = self.store.lock();
        state.admit_write(request)?;
        let is_new = request.header("if-none-match") == Some("*");
        if is_new && state.objects.contains_key(name) {
            return Err(problem(412, "exists", Ran::No, "there is such an object"));
        }
        state.objects.insert(name.to_owned(), request.body.clone());
        Ok(HttpReply::json(200, &json!({})))
    }

    fn get_object(&self, name: &str) -> Result<HttpReply, HttpReply> {
        let mut state = self.store.lock();
        state.admit_read()?;
        let absent = || problem(404, "not-found", Ran::No, "there is no such object");
        let body = state.objects.get(name).ok_or_else(absent)?;
        Ok(HttpReply::bytes(
            200,
            "application/octet-stream",
            body.clone(),
        ))
    }

    fn drop_object(&self, name: &str, request: &HttpRequest) -> Result<HttpReply, HttpReply> {
        let mut state = self.store.lock();
        state.admit_write(request)?;
        state.objects.remove(name);
        Ok(HttpReply::json(200, &json!({})))
    }

    fn list_objects(&self, request: &HttpRequest) -> Result<HttpReply, HttpReply> {
        let prefix = percent_decode(request.query_value("prefix").unwrap_or_default());
        let after = request.query_value("after").map(percent_decode);
        let mut state = self.store.lock();
        state.admit_read()?;
        let is_listed = |name: &&String| {
            name.starts_with(&prefix) && after.as_ref().is_none_or(|after| *name > after)
        };
        let mut names: Vec<&String> = state.objects.keys().filter(is_listed).collect();
        let has_more = names.len() > LIST_ENTRIES;
        names.truncate(LIST_ENTRIES);
        let body = json!({"names": names, "has-more": has_more});
        Ok(HttpReply::json(200, &body))
    }

    fn lock_faults(&self) -> MutexGuard<'_, StoreFaults> {
        self.faults
            .lock()
            .expect("no holder of the faults' lock panics")
    }
}

/// Splits `/first/rest` at the second slash.
fn split_path(path: &str) -> (&str, &str) {
    let path = path.trim_start_matches('/');
    path.split_once('/').unwrap_or((path, ""))
}
