//! A model engine: it batches continuously, caches prefixes in a limited
//! memory, and takes requests in the order they come.
//!
//! | request | does |
//! |---|---|
//! | `POST /v1/chat/completions` | runs a chat completion, whole or streamed |
//! | `GET /v1/requests/ID?offset=N` | its stream again, from an offset |
//! | `DELETE /v1/requests/ID` | cancels it |
//! | `GET /load` | [`LoadReport`], with a lag |
//! | `GET /kv` | `{"holds": [{"name", "tokens"}]}` |
//! | `DELETE /kv/NAME` | frees a held cache |
//! | `POST /kv/NAME/export`, `POST /kv/NAME/import` | bytes of a held cache |
//! | `GET /cache/events?after=N` | [`CacheEvents`], late and with gaps |
//! | `POST /orders`, `GET /orders` | [`Order`], [`OrderList`] |
//! | `POST /faults` | [`FaultRequest`] |
//! | `GET /stats` | [`EngineStats`] |
//!
//! `X-Request-Id` names a request and `X-Hold-Kv` the hold of its KV cache. A
//! request runs on when its connection is lost; only a cancel ends it.
//!
//! - [`cache`]: the prefix cache.
//! - [`batch`]: which requests run and what a step costs.
//! - [`chat`]: the shape of requests and answers.
//! - [`state`]: everything together, behind one lock.

pub mod batch;
pub mod cache;
pub mod chat;
pub mod config;
mod follow;
pub mod order;
pub mod report;
pub mod state;

use std::{
    io,
    net::TcpListener,
    sync::{Arc, Mutex, MutexGuard, Weak},
    time::{Duration, Instant},
};

use rosebend_protocol::problem::Ran;
use rosebend_transport::http_server::{HttpReply, HttpRequest};
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::sync::Notify;

use self::{
    batch::Plan,
    chat::ChatRequest,
    order::StaleFence,
    state::{EngineState, HeldKv, NeverFits},
};
pub use self::{
    config::EngineConfig,
    order::{Order, OrderList},
    report::{CacheEvents, LoadReport},
    state::EngineStats,
};
use crate::{
    reply::{not_found, parse, percent_decode, problem},
    server::{RunningServer, Stopping},
};

/// Exit code of an engine that crashed on a poisonous request.
pub const CRASH_EXIT_CODE: i32 = 70;

/// How often a hanging request looks whether it may go on.
const HANG_POLL: Duration = Duration::from_millis(20);
/// Longest sleep of an idle batch.
const IDLE_WAIT: Duration = Duration::from_millis(200);
/// Shortest time for which a step sleeps; timers are no finer.
const MIN_SLEEP: Duration = Duration::from_millis(1);
/// How much lost time a step may make up for.
const MAX_CATCH_UP: Duration = Duration::from_millis(5);

/// Changes to the faults; an absent member changes nothing.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FaultRequest {
    /// The process crashes when it admits a prompt with this in it; empty for
    /// none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub crash_on: Option<String>,
    /// Factor on the time of every step.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub slow_factor: Option<f64>,
    /// Whether nothing moves and nothing is answered.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub hang: Option<bool>,
    /// Number of completions that fail with 500 without being run.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fail_next: Option<u64>,
    /// Number of streams that are cut after a few parts.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cut_next: Option<u64>,
}

/// The engine stand-in.
#[derive(Clone, Debug)]
pub struct Engine {
    config: Arc<EngineConfig>,
    stopping: Stopping,
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<EngineState>,
    /// Told when there may be something to run.
    work: Notify,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, EngineState> {
        self.state
            .lock()
            .expect("no holder of the engine's lock panics")
    }
}

impl Engine {
    /// Starts an engine on a bound listener, inside an `actix_rt` system.
    ///
    /// # Errors
    ///
    /// Fails when the listener cannot be used.
    pub fn start(listener: TcpListener, config: EngineConfig) -> io::Result<RunningServer> {
        RunningServer::start("engine", listener, |stopping| {
            let state = EngineState::new(&config, Instant::now());
            let shared = Arc::new(Shared {
                state: Mutex::new(state),
                work: Notify::new(),
            });
            actix_rt::spawn(run_batch(Arc::downgrade(&shared)));
            let engine = Self {
                config: Arc::new(config),
                stopping,
                shared,
            };
            move |request| {
                let engine = engine.clone();
                async move { engine.answer(request).await }
            }
        })
    }

    async fn answer(&self, request: HttpRequest) -> HttpReply {
        let path = request.path.trim_start_matches('/').to_owned();
        match (request.method.as_str(), path.as_str()) {
            ("POST", "faults") => return self.set_faults(&request),
            ("GET", "stats") => return HttpReply::json(200, &self.shared.lock().stats_now()),
            ("GET", "orders") => return HttpReply::json(200, self.shared.lock().orders.list()),
            _ => {}
        }
        self.wait_while_hanging().await;
        match (request.method.as_str(), path.as_str()) {
            ("POST", "v1/chat/completions") => self.complete_chat(&request).await,
            ("GET", "load") => self.load(),
            ("GET", "kv") => self.list_holds(),
            ("GET", "cache/events") => self.cache_events(&request),
            ("POST", "orders") => self.order(&request).await,
            (method, path) => {
                if let Some(id) = path.strip_prefix("v1/requests/") {
                    self.answer_request(method, &percent_decode(id), &request)
                } else if let Some(name) = path.strip_prefix("kv/") {
                    self.answer_kv(method, name, &request).await
                } else {
                    not_found(&request)
                }
            }
        }
    }

    async fn wait_while_hanging(&self) {
        while self.shared.lock().faults.hang && !self.stopping.is_stopping() {
            actix_rt::time::sleep(HANG_POLL).await;
        }
    }

    async fn complete_chat(&self, request: &HttpRequest) -> HttpReply {
        let chat: ChatRequest = match parse(request) {
            Ok(chat) => chat,
            Err(reply) => return reply,
        };
        let hold = request.header("x-hold-kv").map(str::to_owned);
        let submitted = {
            let mut state = self.shared.lock();
            if state.faults.fail_next > 0 {
                state.faults.fail_next -= 1;
                return problem(500, "failed", Ran::No, "failed on request");
            }
            if !state.models.is_empty() && !state.models.contains(&chat.model) {
                return problem(404, "unknown-model", Ran::No, "the model is not loaded");
            }
            let request_id = match request.header("x-request-id") {
                Some(id) => id.to_owned(),
                None => state.anonymous_id(),
            };
            let submitted = state.submit(&request_id, &chat, hold);
            state.report(Instant::now());
            submitted.map(|job| (request_id, job))
        };
        let (request_id, job) = match submitted {
            Ok(submitted) => submitted,
            Err(NeverFits) => {
                let detail = "prompt and answer exceed the engine's memory";
                return problem(400, "context-too-long", Ran::No, detail);
            }
        };
        self.shared.work.notify_one();
        if chat.stream {
            follow::stream(&self.shared, &request_id, job, 0)
        } else {
            follow::whole(&self.shared, &request_id, job).await
        }
    }

    fn answer_request(&self, method: &str, id: &str, request: &HttpRequest) -> HttpReply {
        match method {
            "GET" => {
                let offset = request.query_value("offset").map_or(Ok(0), str::parse);
                let Ok(offset) = offset else {
                    return problem(400, "bad-offset", Ran::No, "the offset is no number");
                };
                let job = self.shared.lock().answer(id).map(|answer| answer.job);
                match job {
                    Some(job) => follow::stream(&self.shared, id, job, offset),
                    None => problem(404, "unknown-request", Ran::No, "no such request"),
                }
            }
            "DELETE" => {
                let cancelled = self.change(|state| state.cancel(id));
                HttpReply::json(200, &json!({ "cancelled": cancelled }))
            }
            _ => not_found(request),
        }
    }

    fn load(&self) -> HttpReply {
        let now = Instant::now();
        let mut state = self.shared.lock();
        HttpReply::json(200, &state.load.get(now))
    }

    fn cache_events(&self, request: &HttpRequest) -> HttpReply {
        let after = request.query_value("after");
        let after = after.and_then(|text| text.parse().ok()).unwrap_or(0);
        let events = self.shared.lock().events.after(after, Instant::now());
        HttpReply::json(200, &events)
    }

    fn list_holds(&self) -> HttpReply {
        let state = self.shared.lock();
        let holds = state.holds.iter();
        let holds = holds.map(|(name, held)| json!({ "name": name, "tokens": held.tokens() }));
        HttpReply::json(200, &json!({ "holds": holds.collect::<Vec<_>>() }))
    }

    async fn answer_kv(&self, method: &str, name: &str, request: &HttpRequest) -> HttpReply {
        if method == "DELETE" {
            return self.free_hold(&percent_decode(name));
        }
        match (method, name.rsplit_once('/')) {
            ("POST", Some((name, "export"))) => self.export(&percent_decode(name)).await,
            ("POST", Some((name, "import"))) => self.import(&percent_decode(name), request).await,
            _ => not_found(request),
        }
    }

    fn free_hold(&self, name: &str) -> HttpReply {
        let freed = self.change(|state| state.free_hold(name));
        match freed {
            Some(tokens) => HttpReply::json(200, &json!({ "freed_tokens": tokens })),
            None => unknown_hold(),
        }
    }

    async fn export(&self, name: &str) -> HttpReply {
        let held = self.shared.lock().holds.get(name).cloned();
        let Some(held) = held else {
            return unknown_hold();
        };
        self.transfer(&held).await;
        HttpReply::json(200, &held)
    }

    async fn import(&self, name: &str, request: &HttpRequest) -> HttpReply {
        let held: HeldKv = match parse(request) {
            Ok(held) => held,
            Err(reply) => return reply,
        };
        self.transfer(&held).await;
        let tokens = held.tokens();
        if self.change(|state| state.import(name, held)) {
            HttpReply::json(200, &json!({ "tokens": tokens }))
        } else {
            problem(507, "no-memory", Ran::No, "the engine's memory is full")
        }
    }

    /// Changes what is in memory, reports it, and lets waiting requests try.
    fn change<T>(&self, change: impl FnOnce(&mut EngineState) -> T) -> T {
        let mut state = self.shared.lock();
        let outcome = change(&mut state);
        state.report(Instant::now());
        self.shared.work.notify_one();
        outcome
    }

    async fn transfer(&self, held: &HeldKv) {
        let tokens = u32::try_from(held.tokens()).unwrap_or(u32::MAX);
        let time = self.config.transfer_token_time.saturating_mul(tokens);
        actix_rt::time::sleep(time).await;
    }

    async fn order(&self, request: &HttpRequest) -> HttpReply {
        let order: Order = match parse(request) {
            Ok(order) => order,
            Err(reply) => return reply,
        };
        if let Err(StaleFence { highest_fence }) = self.shared.lock().orders.check(&order) {
            let detail = format!("the highest fence seen is {highest_fence}");
            return problem(409, "stale-fence", Ran::No, &detail);
        }
        // On a task of its own, so that it is carried out also when the sender
        // goes away.
        let engine = self.clone();
        let carried_out = actix_rt::spawn(async move { engine.carry_out(order).await });
        match carried_out.await {
            Ok(()) => HttpReply::json(200, &json!({ "done": true })),
            Err(_) => problem(500, "failed", Ran::Unknown, "the order was cut short"),
        }
    }

    async fn carry_out(&self, order: Order) {
        actix_rt::time::sleep(self.config.order_time).await;
        let mut state = self.shared.lock();
        match order.kind.as_str() {
            "load" => {
                state.models.insert(order.target.clone());
            }
            "unload" => {
                state.models.remove(&order.target);
            }
            _ => {}
        }
        state.orders.carried_out(order);
    }

    fn set_faults(&self, request: &HttpRequest) -> HttpReply {
        let change: FaultRequest = match parse(request) {
            Ok(change) => change,
            Err(reply) => return reply,
        };
        let faults = &mut self.shared.lock().faults;
        if let Some(text) = change.crash_on {
            faults.crash_on = Some(text).filter(|text| !text.is_empty());
        }
        if let Some(factor) = change.slow_factor {
            faults.slow_factor = factor.clamp(0.0, 1e6);
        }
        faults.hang = change.hang.unwrap_or(faults.hang);
        faults.fail_next = change.fail_next.unwrap_or(faults.fail_next);
        faults.cut_next = change.cut_next.unwrap_or(faults.cut_next);
        self.shared.work.notify_one();
        HttpReply::json(200, &json!({}))
    }
}

fn unknown_hold() -> HttpReply {
    problem(404, "unknown-hold", Ran::No, "nothing is held by this name")
}

/// Runs steps until the engine is gone.
async fn run_batch(shared: Weak<Shared>) {
    let mut due = Instant::now();
    while let Some(shared) = shared.upgrade() {
        let plan = shared.lock().plan();
        match plan {
            Plan::Idle => {
                let work = shared.work.notified();
                // Either way the batch is looked at again.
                let _ = actix_rt::time::timeout(IDLE_WAIT, work).await;
            }
            Plan::Step(time) => {
                let earliest = Instant::now().checked_sub(MAX_CATCH_UP).unwrap_or(due);
                due = due.max(earliest) + time;
                sleep_until(due).await;
                shared.lock().complete(Instant::now());
            }
            Plan::Crash => std::process::exit(CRASH_EXIT_CODE),
        }
    }
}

/// Sleeps when `due` is far enough away for a timer; lets others run otherwise.
async fn sleep_until(due: Instant) {
    if due.saturating_duration_since(Instant::now()) >= MIN_SLEEP {
        actix_rt::time::sleep_until(due.into()).await;
    } else {
        actix_rt::task::yield_now().await;
    }
}
