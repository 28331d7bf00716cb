//! A fake engine and service on one address, with faults on request.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{SocketAddr, TcpListener},
    sync::{Arc, Mutex},
    time::Duration,
};

use actix_server::ServerHandle;
use bytes::Bytes;
use rosebend_transport::http_server::{
    self, HttpReply, HttpRequest, HttpServerConfig, ReplyBody, StreamPiece,
};
use serde_json::json;
use tokio::sync::{mpsc, watch};

/// What the fake does and has seen.
#[derive(Debug, Default)]
pub struct FakeState {
    /// How often each call id reached the service.
    pub effects: BTreeMap<String, usize>,
    /// How often each request id was posted to the engine.
    pub posts: BTreeMap<String, usize>,
    /// Tokens of each request by its id.
    pub requests: BTreeMap<String, u64>,
    pub resumed: usize,
    pub held: BTreeSet<String>,
    /// Cut each posted stream after this many tokens.
    pub cut_after: Option<u64>,
    /// Forget requests, as an engine does that was restarted.
    pub forget_requests: bool,
    /// Cut the connection of tool calls after they had their effect.
    pub cut_tools: bool,
    pub tool_status: Option<u16>,
    /// How often a hold was to be freed.
    pub freed: usize,
    /// Fail requests that free a hold.
    pub refuse_free: bool,
}

/// A running fake. It is stopped when dropped.
pub struct Fake {
    pub address: SocketAddr,
    pub state: Arc<Mutex<FakeState>>,
    /// Calls wait until this is true.
    gate: watch::Sender<bool>,
    handle: ServerHandle,
}

impl Fake {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let state = Arc::new(Mutex::new(FakeState::default()));
        let gate = watch::Sender::new(true);
        let (tell, told) = std::sync::mpsc::channel();
        let (served, gated) = (Arc::clone(&state), gate.clone());
        std::thread::spawn(move || {
            actix_rt::System::new().block_on(async move {
                let config = HttpServerConfig {
                    workers: 1,
                    shutdown_timeout: Duration::from_secs(1),
                    ..HttpServerConfig::default()
                };
                let server = http_server::serve(config, listener, move |request| {
                    let (state, gate) = (Arc::clone(&served), gated.subscribe());
                    async move { answer(request, state, gate).await }
                })
                .unwrap();
                tell.send(server.handle()).unwrap();
                server.await.unwrap();
            });
        });
        let handle = told.recv().unwrap();
        Self {
            address,
            state,
            gate,
            handle,
        }
    }

    pub fn set<T>(&self, change: impl FnOnce(&mut FakeState) -> T) -> T {
        change(&mut self.state.lock().unwrap())
    }

    /// Holds back the answers of all calls.
    pub fn close_gate(&self) {
        self.gate.send_replace(false);
    }

    pub fn open_gate(&self) {
        self.gate.send_replace(true);
    }

    /// Waits until the state is as asked.
    pub async fn until(&self, mut is_met: impl FnMut(&FakeState) -> bool) {
        while !is_met(&self.state.lock().unwrap()) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
}

impl Drop for Fake {
    fn drop(&mut self) {
        // The request to stop is sent when the future is made.
        drop(self.handle.stop(false));
    }
}

async fn answer(
    request: HttpRequest,
    state: Arc<Mutex<FakeState>>,
    gate: watch::Receiver<bool>,
) -> HttpReply {
    let parts: Vec<&str> = request.path.trim_start_matches('/').split('/').collect();
    match (request.method.as_str(), parts.as_slice()) {
        ("POST", ["v1", "chat", "completions"]) => chat(&request, &state, gate),
        ("GET", ["v1", "requests", id]) => resume(&request, id, &state, gate),
        ("GET", ["kv"]) => {
            let held = &state.lock().unwrap().held;
            let holds: Vec<_> = held
                .iter()
                .map(|name| json!({"name": name, "tokens": 100}))
                .collect();
            HttpReply::json(200, &json!({"holds": holds}))
        }
        ("DELETE", ["kv", name]) => {
            let mut state = state.lock().unwrap();
            state.freed += 1;
            if !state.refuse_free {
                state.held.remove(&decode(name));
            }
            HttpReply::json(200, &())
        }
        ("POST", [_tool]) => tool(&request, &state, gate).await,
        _ => HttpReply::json(404, &()),
    }
}

async fn tool(
    request: &HttpRequest,
    state: &Mutex<FakeState>,
    mut gate: watch::Receiver<bool>,
) -> HttpReply {
    let id = request.header("x-call-id").unwrap().to_owned();
    *state.lock().unwrap().effects.entry(id).or_default() += 1;
    gate.wait_for(|is_open| *is_open).await.unwrap();
    let state = state.lock().unwrap();
    let mut reply = HttpReply::json(state.tool_status.unwrap_or(200), &"done");
    if state.cut_tools {
        let (_, pieces) = mpsc::channel(1);
        reply.body = ReplyBody::Stream(pieces);
    }
    reply
}

fn chat(request: &HttpRequest, state: &Mutex<FakeState>, gate: watch::Receiver<bool>) -> HttpReply {
    let id = request.header("x-request-id").unwrap().to_owned();
    let body: serde_json::Value = serde_json::from_slice(&request.body).unwrap();
    assert_eq!(body["stream"], true);
    let tokens = body["max_tokens"].as_u64().unwrap();
    let mut state = state.lock().unwrap();
    *state.posts.entry(id.clone()).or_default() += 1;
    state.requests.insert(id, tokens);
    if let Some(name) = request.header("x-hold-kv") {
        state.held.insert(name.to_owned());
    }
    stream(0, tokens, state.cut_after, gate)
}

fn resume(
    request: &HttpRequest,
    id: &str,
    state: &Mutex<FakeState>,
    gate: watch::Receiver<bool>,
) -> HttpReply {
    let mut state = state.lock().unwrap();
    state.resumed += 1;
    let tokens = state.requests.get(&decode(id)).copied();
    let offset = request.query_value("offset").unwrap().parse().unwrap();
    match tokens {
        Some(tokens) if !state.forget_requests => stream(offset, tokens, None, gate),
        _ => HttpReply::json(404, &()),
    }
}

/// Tokens from `first` on; cut before `cut` when it is given.
fn stream(first: u64, tokens: u64, cut: Option<u64>, mut gate: watch::Receiver<bool>) -> HttpReply {
    let (sender, pieces) = mpsc::channel(8);
    actix_rt::spawn(async move {
        let send = async |text: String| {
            let piece = StreamPiece::Data(Bytes::from(text));
            sender.send(piece).await.unwrap_or_default();
        };
        for offset in first..tokens.min(cut.unwrap_or(tokens)) {
            send(format!("id: {offset}\ndata: {{\"token\":{offset}}}\n\n")).await;
        }
        gate.wait_for(|is_open| *is_open).await.unwrap();
        if cut.is_some() {
            return;
        }
        let usage = format!("{{\"prompt_tokens\":10,\"completion_tokens\":{tokens}}}");
        send(format!("data: {{\"usage\":{usage}}}\n\ndata: [DONE]\n\n")).await;
        sender.send(StreamPiece::End).await.unwrap_or_default();
    });
    HttpReply::stream(200, "text/event-stream", pieces)
}

fn decode(encoded: &str) -> String {
    encoded.replace("%2F", "/").replace("%23", "#")
}
