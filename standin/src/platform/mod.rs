//! The platform: a transactional table, an object store, a lagging list of
//! hosts and a weight store, with rates and faults.
//!
//! The bodies are those of [`rosebend_protocol::platform`]. Besides them:
//!
//! | request | does |
//! |---|---|
//! | `POST /hosts` `HostList` | sets the true host list, in sight after the lag |
//! | `POST /faults` [`FaultRequest`] | changes the faults |
//! | `GET /stats` | [`PlatformStats`] |
//!
//! One request is one read or one write, whatever its size. Faults never
//! touch `POST /faults`, `POST /hosts` and `GET /stats`.

pub mod fault;
pub mod rate;
pub mod state;
pub mod table;

use std::{
    io,
    net::TcpListener,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use rosebend_protocol::{
    platform::{HostList, ReadRequest, ScanRequest, Transaction},
    problem::{Problem, Ran},
};
use rosebend_transport::http_server::{HttpReply, HttpRequest};
use serde::Serialize;
use serde_json::json;

pub use self::{
    fault::{FaultRequest, Outage, OutageRequest},
    state::PlatformStats,
};
use self::{
    state::PlatformState,
    table::{Table, TransactError},
};
use crate::{
    reply::{cut, not_found, parse, problem},
    server::{RunningServer, Stopping},
};

/// How often a hanging request looks whether the outage is over.
const HANG_POLL: Duration = Duration::from_millis(20);

/// Sizes and rates of the platform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlatformConfig {
    /// Reads a second before requests are rejected.
    pub reads_per_second: u32,
    /// Writes a second before requests are rejected.
    pub writes_per_second: u32,
    /// Downloads of weights a minute before requests are rejected.
    pub weights_per_minute: u32,
    /// Time that one download of weights takes.
    pub weights_time: Duration,
    /// Time until a new host list comes into sight.
    pub host_list_lag: Duration,
}

impl Default for PlatformConfig {
    fn default() -> Self {
        Self {
            reads_per_second: 2000,
            writes_per_second: 400,
            weights_per_minute: 6,
            weights_time: Duration::from_millis(500),
            host_list_lag: Duration::from_secs(5),
        }
    }
}

/// The platform stand-in.
#[derive(Clone, Debug)]
pub struct Platform {
    config: PlatformConfig,
    stopping: Stopping,
    state: Arc<Mutex<PlatformState>>,
}

/// What a request draws on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Cost {
    Read,
    Write,
}

impl Platform {
    /// Starts a platform on a bound listener, inside an `actix_rt` system.
    ///
    /// # Errors
    ///
    /// Fails when the listener cannot be used.
    pub fn start(listener: TcpListener, config: PlatformConfig) -> io::Result<RunningServer> {
        RunningServer::start("platform", listener, |stopping| {
            let state = PlatformState::new(&config, Instant::now());
            let platform = Self {
                config,
                stopping,
                state: Arc::new(Mutex::new(state)),
            };
            move |request| {
                let platform = platform.clone();
                async move { platform.answer(request).await }
            }
        })
    }

    async fn answer(&self, request: HttpRequest) -> HttpReply {
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/faults") => self.set_faults(&request),
            ("POST", "/hosts") => self.set_hosts(&request),
            ("GET", "/stats") => self.stats(),
            _ => match self.meet_outage().await {
                Some(reply) => reply,
                None => self.answer_slowly(&request).await,
            },
        }
    }

    async fn answer_slowly(&self, request: &HttpRequest) -> HttpReply {
        let slow = self.lock().faults.slow;
        let reply = self.route(request).await;
        if !slow.is_zero() {
            actix_rt::time::sleep(slow).await;
        }
        reply
    }

    async fn route(&self, request: &HttpRequest) -> HttpReply {
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/table/transact") => self.transact(request),
            ("POST", "/table/read") => self.read(request),
            ("POST", "/table/scan") => self.scan(request),
            ("GET", "/hosts") => self.hosts(),
            (method, path) => match (method, split_path(path)) {
                ("PUT", ("objects", name)) => self.put_object(name, request),
                ("GET", ("objects", name)) => self.get_object(name),
                ("POST", ("weights", _)) => self.download_weights().await,
                _ => not_found(request),
            },
        }
    }

    /// The reply during an outage; none when there is no outage.
    async fn meet_outage(&self) -> Option<HttpReply> {
        if self.lock().faults.outage == Outage::None {
            return None;
        }
        self.lock().stats.outages += 1;
        loop {
            let outage = self.lock().faults.outage;
            match outage {
                Outage::Refuse => return Some(unavailable()),
                Outage::Hang if !self.stopping.is_stopping() => {
                    actix_rt::time::sleep(HANG_POLL).await;
                }
                Outage::Hang | Outage::None => return Some(cut()),
            }
        }
    }

    fn transact(&self, request: &HttpRequest) -> HttpReply {
        let transaction: Transaction = match parse(request) {
            Ok(transaction) => transaction,
            Err(reply) => return reply,
        };
        let mut state = self.lock();
        if let Some(rejection) = reject(&mut state, Cost::Write, request) {
            return rejection;
        }
        match state.table.transact(&transaction) {
            Ok(_) if state.faults.lose_answer() => {
                state.stats.lost_answers += 1;
                cut()
            }
            Ok(committed) => HttpReply::json(200, &committed),
            Err(TransactError::Conflict(conflict)) => {
                state.stats.conflicts += 1;
                HttpReply::json(409, &conflict)
            }
            Err(error @ TransactError::RepeatedKey(_)) => {
                problem(400, "repeated-key", Ran::No, &error.to_string())
            }
        }
    }

    fn read(&self, request: &HttpRequest) -> HttpReply {
        match parse::<ReadRequest>(request) {
            Ok(read) => self.read_table(request, |table| table.read(&read)),
            Err(reply) => reply,
        }
    }

    fn scan(&self, request: &HttpRequest) -> HttpReply {
        match parse::<ScanRequest>(request) {
            Ok(scan) => self.read_table(request, |table| table.scan(&scan)),
            Err(reply) => reply,
        }
    }

    fn read_table<T: Serialize>(
        &self,
        request: &HttpRequest,
        read: impl FnOnce(&Table) -> T,
    ) -> HttpReply {
        let mut state = self.lock();
        match reject(&mut state, Cost::Read, request) {
            Some(rejection) => rejection,
            None => HttpReply::json(200, &read(&state.table)),
        }
    }

    fn put_object(&self, name: &str, request: &HttpRequest) -> HttpReply {
        let mut state = self.lock();
        if let Some(rejection) = reject(&mut state, Cost::Write, request) {
            return rejection;
        }
        state.objects.insert(name.to_owned(), request.body.clone());
        HttpReply::json(201, &json!({ "stored": name }))
    }

    fn get_object(&self, name: &str) -> HttpReply {
        let mut state = self.lock();
        if !state.reads.take(Instant::now()) {
            return over_rate(&mut state);
        }
        state.stats.reads += 1;
        match state.objects.get(name) {
            Some(body) => HttpReply::bytes(200, "application/octet-stream", body.clone()),
            None => problem(404, "not-found", Ran::No, "there is no such object"),
        }
    }

    fn hosts(&self) -> HttpReply {
        HttpReply::json(200, self.lock().hosts.get(Instant::now()))
    }

    async fn download_weights(&self) -> HttpReply {
        if !self.lock().weights.take(Instant::now()) {
            return over_rate(&mut self.lock());
        }
        actix_rt::time::sleep(self.config.weights_time).await;
        HttpReply::json(200, &json!({ "downloaded": true }))
    }

    fn set_hosts(&self, request: &HttpRequest) -> HttpReply {
        match parse::<HostList>(request) {
            Ok(list) => {
                self.lock().hosts.set(list, Instant::now());
                HttpReply::json(200, &json!({}))
            }
            Err(reply) => reply,
        }
    }

    fn set_faults(&self, request: &HttpRequest) -> HttpReply {
        match parse::<FaultRequest>(request) {
            Ok(change) => {
                self.lock().faults.change(&change);
                HttpReply::json(200, &json!({}))
            }
            Err(reply) => reply,
        }
    }

    fn stats(&self) -> HttpReply {
        let state = self.lock();
        let stats = PlatformStats {
            rows: state.table.row_count() as u64,
            ..state.stats
        };
        HttpReply::json(200, &stats)
    }

    fn lock(&self) -> MutexGuard<'_, PlatformState> {
        self.state
            .lock()
            .expect("no holder of the platform's lock panics")
    }
}

/// Counts a request, or rejects it when it is over its rate.
fn reject(state: &mut PlatformState, cost: Cost, request: &HttpRequest) -> Option<HttpReply> {
    let now = Instant::now();
    let (bucket, count) = match cost {
        Cost::Read => (&mut state.reads, &mut state.stats.reads),
        Cost::Write => (&mut state.writes, &mut state.stats.writes),
    };
    if !bucket.take(now) {
        return Some(over_rate(state));
    }
    *count += 1;
    state.stats.received_bytes += request.body.len() as u64;
    None
}

fn over_rate(state: &mut PlatformState) -> HttpReply {
    state.stats.rejected += 1;
    let over = Problem::new(429, "over-rate", Ran::No, "over the platform's rate");
    HttpReply::problem(&over.retry_after(Duration::from_secs(1)))
}

fn unavailable() -> HttpReply {
    problem(503, "outage", Ran::No, "the platform is out")
}

/// Splits `/first/rest` at the second slash.
fn split_path(path: &str) -> (&str, &str) {
    let path = path.trim_start_matches('/');
    path.split_once('/').unwrap_or((path, ""))
}
