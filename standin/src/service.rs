//! A plain service beside the engines, such as one that charges fees. It runs
//! whatever it is asked, as often as it is asked, and counts the effects.
//!
//! | request | does |
//! |---|---|
//! | `POST /TOOL` with `X-Call-Id` | has the effect after the delay, answers [`ToolAnswer`] |
//! | `GET /effects` | [`Effects`] |
//! | `POST /faults` [`FaultRequest`] | changes the faults |
//!
//! An effect does not depend on the connection: once a request was read, its
//! effect comes after the delay, also when the caller has gone away.

use std::{
    collections::BTreeMap,
    io,
    net::TcpListener,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use rosebend_protocol::problem::Ran;
use rosebend_transport::http_server::{HttpReply, HttpRequest};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::{
    reply::{cut, not_found, parse, problem, take_one},
    server::{RunningServer, Stopping},
};

/// How often a hanging call looks whether it may go on.
const HANG_POLL: Duration = Duration::from_millis(20);

/// Speed of the service.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ServiceConfig {
    /// Time that each call takes.
    pub delay: Duration,
}

/// What the service answers to a call.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct ToolAnswer {
    /// The tool that was called.
    pub tool: String,
    /// How often this call id has had its effect, this time included.
    pub effect: u64,
    /// The call's body.
    pub echo: Value,
}

/// How often calls had their effect.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
pub struct Effects {
    /// By `X-Call-Id`; calls without one are under the empty id.
    pub calls: BTreeMap<String, u64>,
    /// By the body's member `effect_key`.
    pub keys: BTreeMap<String, u64>,
    /// All effects.
    pub total: u64,
    /// Calls that were read and have not come to their effect.
    pub open: u64,
}

/// Changes to the faults; an absent member changes nothing.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FaultRequest {
    /// Milliseconds that each call takes from now on.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub delay_ms: Option<u64>,
    /// Whether calls hang, before their effect, until this is false again.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub hang: Option<bool>,
    /// Number of calls that answer 500 after their effect.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fail_next: Option<u64>,
    /// Number of calls that answer 500 and have no effect.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fail_before_effect: Option<u64>,
    /// Number of calls whose connection is cut after their effect.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cut_after_effect: Option<u64>,
}

#[derive(Clone, Debug, Default)]
struct Faults {
    delay: Duration,
    hang: bool,
    fail_next: u64,
    fail_before_effect: u64,
    cut_after_effect: u64,
}

#[derive(Debug, Default)]
struct ServiceState {
    effects: Effects,
    faults: Faults,
}

/// The plain service's stand-in.
#[derive(Clone, Debug)]
pub struct Service {
    stopping: Stopping,
    state: Arc<Mutex<ServiceState>>,
}

impl Service {
    /// Starts a service on a bound listener, inside an `actix_rt` system.
    ///
    /// # Errors
    ///
    /// Fails when the listener cannot be used.
    pub fn start(listener: TcpListener, config: ServiceConfig) -> io::Result<RunningServer> {
        RunningServer::start("service", listener, |stopping| {
            let mut state = ServiceState::default();
            state.faults.delay = config.delay;
            let service = Self {
                stopping,
                state: Arc::new(Mutex::new(state)),
            };
            move |request| {
                let service = service.clone();
                async move { service.answer(request).await }
            }
        })
    }

    async fn answer(&self, request: HttpRequest) -> HttpReply {
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/faults") => self.set_faults(&request),
            ("GET", "/effects") => HttpReply::json(200, &self.lock().effects),
            ("POST", _) => self.call_detached(request).await,
            _ => not_found(&request),
        }
    }

    /// Runs a call on a task of its own, so that a vanished caller, whose
    /// handler is dropped, does not undo it.
    async fn call_detached(&self, request: HttpRequest) -> HttpReply {
        let service = self.clone();
        let call = actix_rt::spawn(async move { service.call(&request).await });
        call.await.unwrap_or_else(|_| cut())
    }

    async fn call(&self, request: &HttpRequest) -> HttpReply {
        let body: Value = match parse(request) {
            Ok(body) => body,
            Err(reply) => return reply,
        };
        let tool = request.path.trim_start_matches('/');
        let call_id = request.header("x-call-id").unwrap_or_default();
        self.lock().effects.open += 1;
        self.wait().await;
        let mut state = self.lock();
        state.effects.open -= 1;
        if self.stopping.is_stopping() && state.faults.hang {
            return cut();
        }
        if take_one(&mut state.faults.fail_before_effect) {
            return problem(500, "failed", Ran::No, "failed before the effect");
        }
        let effect = count_effect(&mut state.effects, call_id, &body);
        if take_one(&mut state.faults.fail_next) {
            return problem(500, "failed", Ran::Unknown, "failed after the effect");
        }
        if take_one(&mut state.faults.cut_after_effect) {
            return cut();
        }
        let tool = tool.to_owned();
        let echo = body;
        HttpReply::json(200, &ToolAnswer { tool, effect, echo })
    }

    /// Waits for the delay and for the end of a hang.
    async fn wait(&self) {
        let delay = self.lock().faults.delay;
        if !delay.is_zero() {
            actix_rt::time::sleep(delay).await;
        }
        while self.lock().faults.hang && !self.stopping.is_stopping() {
            actix_rt::time::sleep(HANG_POLL).await;
        }
    }

    fn set_faults(&self, request: &HttpRequest) -> HttpReply {
        let change: FaultRequest = match parse(request) {
            Ok(change) => change,
            Err(reply) => return reply,
        };
        let faults = &mut self.lock().faults;
        if let Some(delay_ms) = change.delay_ms {
            faults.delay = Duration::from_millis(delay_ms);
        }
        faults.hang = change.hang.unwrap_or(faults.hang);
        faults.fail_next = change.fail_next.unwrap_or(faults.fail_next);
        faults.fail_before_effect = change
            .fail_before_effect
            .unwrap_or(faults.fail_before_effect);
        faults.cut_after_effect = change.cut_after_effect.unwrap_or(faults.cut_after_effect);
        HttpReply::json(200, &json!({}))
    }

    fn lock(&self) -> MutexGuard<'_, ServiceState> {
        self.state
            .lock()
            .expect("no holder of the service's lock panics")
    }
}

fn count_effect(effects: &mut Effects, call_id: &str, body: &Value) -> u64 {
    effects.total += 1;
    if let Some(key) = body.get("effect_key").and_then(Value::as_str) {
        *effects.keys.entry(key.to_owned()).or_default() += 1;
    }
    let count = effects.calls.entry(call_id.to_owned()).or_default();
    *count += 1;
    *count
}
