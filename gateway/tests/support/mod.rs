//! A store, endpoints and gateways as separate processes, and a caller.
//!
//! Every address is a free port of loopback. Gateways are ended when they are
//! dropped.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use rosebend_standin::backend::{Backend, BackendFaults, Runs};
use rosebend_standin::server::RunningServer;
use rosebend_standin::store::{Store, StoreFaults};
use rosebend_transport::connection::Connection;
use serde_json::{Value, json};

/// Longest wait for something that must come.
const PATIENCE: Duration = Duration::from_secs(20);

static NEXT: AtomicU64 = AtomicU64::new(1);

/// A number that no other test of the process has.
fn unique() -> u64 {
    NEXT.fetch_add(1, Ordering::Relaxed)
}

fn free_listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("loopback has a free port")
}

/// A site of one store and some endpoints.
pub struct Site {
    pub store: Store,
    pub door: RunningServer,
    pub endpoints: Vec<Endpoint>,
}

pub struct Endpoint {
    pub instance: String,
    pub service: String,
    pub server: RunningServer,
    /// Time of day of its start; none when it tells none.
    pub born_ms: Option<u64>,
    /// How much longer it says that it is slow.
    pub cold_left_ms: u64,
    /// Servers of its earlier starts, which still serve.
    pub earlier: Vec<RunningServer>,
}

/// When the first start of each endpoint was.
pub const FIRST_START_MS: u64 = 1_764_720_000_000;

impl Site {
    /// A site whose routes and endpoints are declared.
    pub fn start() -> Self {
        let site = Self::without_routes();
        site.declare(1);
        site
    }

    /// A site whose routes and endpoints are declared, and a gateway that takes
    /// callers.
    pub async fn start_with_gateway() -> (Self, Gateway) {
        let site = Self::start();
        let gateway = site.ready_gateway().await;
        (site, gateway)
    }

    /// A site with two gateways that know each other. The first has a door of
    /// the store to itself, which faults of the site do not touch.
    pub async fn start_with_peer() -> (Self, RunningServer, Gateway, Gateway) {
        let site = Self::start();
        let open_door = site.open_door();
        let peer = Gateway::start(open_door.address());
        let gateway = site.gateway();
        peer.until_ready().await;
        gateway.until_ready().await;
        for each in [&peer, &gateway] {
            each.until_peers(1).await;
        }
        (site, open_door, peer, gateway)
    }

    /// A site whose operators have declared nothing yet.
    pub fn without_routes() -> Self {
        let store = Store::default();
        let door = store.open_door(free_listener()).unwrap();
        let mut site = Self {
            store,
            door,
            endpoints: Vec::new(),
        };
        site.add_endpoint("models");
        site.add_endpoint("desk");
        site
    }

    pub fn add_endpoint(&mut self, service: &str) -> usize {
        let instance = format!("i-{service}-{}", self.endpoints.len());
        let born_ms = FIRST_START_MS;
        let server = Backend::start_at(free_listener(), &instance, born_ms).unwrap();
        self.endpoints.push(Endpoint {
            instance,
            service: service.to_owned(),
            server,
            born_ms: Some(born_ms),
            cold_left_ms: 0,
            earlier: Vec::new(),
        });
        let index = self.endpoints.len() - 1;
        self.announce(index, "ready");
        index
    }

    /// Starts an endpoint again under its id, a millisecond after the start
    /// before and at another address. The server of that start serves on, so
    /// that a request which it is still sent shows.
    pub fn start_again(&mut self, index: usize) {
        let endpoint = &mut self.endpoints[index];
        let born_ms = endpoint.born_ms.unwrap_or(FIRST_START_MS) + 1;
        let server = Backend::start_at(free_listener(), &endpoint.instance, born_ms).unwrap();
        let earlier = std::mem::replace(&mut endpoint.server, server);
        endpoint.earlier.push(earlier);
        endpoint.born_ms = Some(born_ms);
        self.announce(index, "ready");
    }

    /// What ran at an earlier start of an endpoint.
    pub async fn earlier_runs(&self, index: usize, start: usize) -> Runs {
        let address = self.endpoints[index].earlier[start].address();
        let answer = Ask::get("/runs").send(address).await;
        serde_json::from_str(&answer.body).unwrap()
    }

    /// Writes an endpoint's entry.
    pub fn announce(&self, index: usize, state: &str) {
        let endpoint = &self.endpoints[index];
        let mut entry = json!({
            "service": endpoint.service,
            "address": endpoint.server.address().to_string(),
            "zone": "newport-hall",
            "version": "v1",
            "slots": 8,
            "state": state,
            "cold-left-ms": endpoint.cold_left_ms,
            "seq": 1,
        });
        if let Some(born_ms) = endpoint.born_ms {
            entry["born"] = json!(born_ms);
        }
        self.store.put("servers", &endpoint.instance, &entry);
    }

    /// Writes the entry of an endpoint that is none of the site's.
    pub fn announce_at(&self, instance: &str, service: &str, address: SocketAddr) {
        let entry = json!({
            "service": service,
            "address": address.to_string(),
            "zone": "newport-hall",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold-left-ms": 0,
            "seq": 1,
        });
        self.store.put("servers", instance, &entry);
    }

    /// Rows of a table that the store has.
    pub fn rows(&self, table: &str) -> usize {
        self.store.row_count(table)
    }

    pub fn declare(&self, version: u64) {
        self.store.put("op", "config", &routes(version));
    }

    pub async fn faults(&self, faults: &StoreFaults) {
        post_faults(self.door.address(), &json!(faults)).await;
    }

    pub async fn endpoint_faults(&self, index: usize, faults: &BackendFaults) {
        post_faults(self.endpoints[index].server.address(), &json!(faults)).await;
    }

    pub async fn runs(&self, index: usize) -> Runs {
        let address = self.endpoints[index].server.address();
        let answer = Ask::get("/runs").send(address).await;
        serde_json::from_str(&answer.body).unwrap()
    }

    /// How often an attempt ran, at all endpoints together.
    pub async fn times_run(&self, attempt: &str) -> u64 {
        let mut count = 0;
        for index in 0..self.endpoints.len() {
            count += self
                .runs(index)
                .await
                .get(attempt)
                .map_or(0, |run| run.count);
        }
        count
    }

    pub fn gateway(&self) -> Gateway {
        Gateway::start(self.door.address())
    }

    /// A gateway that takes callers.
    pub async fn ready_gateway(&self) -> Gateway {
        let gateway = self.gateway();
        gateway.until_ready().await;
        gateway
    }

    /// Two gateways that take callers, started at the same time.
    pub async fn two_ready_gateways(&self) -> [Gateway; 2] {
        let gateways = [self.gateway(), self.gateway()];
        for gateway in &gateways {
            gateway.until_ready().await;
        }
        gateways
    }

    /// Another door of the store, without faults.
    pub fn open_door(&self) -> RunningServer {
        self.store.open_door(free_listener()).unwrap()
    }
}

/// The routes that tests use.
pub fn routes(version: u64) -> Value {
    let route = |name: &str, prefix: &str, kind: &str, service: &str| {
        json!({
            "name": name, "host": "desk.example", "prefix": prefix, "kind": kind,
            "timeout-ms": 3000, "slo-ms": 400, "priority": 0, "service": service,
            "max-attempts": 2, "sticky": false, "resumable": false,
        })
    };
    let mut turns = route("turns", "/stream/", "streaming", "models");
    turns["retain-history"] = json!(true);
    turns["retention-s"] = json!(60.0);
    json!({
        "version": version,
        "routes": [
            turns,
            route("lookup", "/lookup/", "idempotent", "desk"),
            route("fee", "/fee/", "non_idempotent", "desk"),
            route("unkept", "/unkept/stream/", "streaming", "models"),
        ],
        "services": [
            {"name": "models", "health-path": "/healthz", "max-conns": 100, "protocol": "h1",
             "tls": false, "engine": {"stride-tokens": 10}},
            {"name": "desk", "health-path": "/healthz", "max-conns": 100, "protocol": "h1",
             "tls": false},
        ],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 100_000,
                   "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
    })
}

/// Sets the faults of one door of a store.
pub async fn set_faults(door: &RunningServer, faults: &StoreFaults) {
    post_faults(door.address(), &json!(faults)).await;
}

async fn post_faults(address: SocketAddr, faults: &Value) {
    let answer = Ask::new(Method::POST, "/faults").body(&faults.to_string());
    assert_eq!(answer.send(address).await.status, 200);
}

/// A gateway process.
pub struct Gateway {
    child: Child,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub metrics: SocketAddr,
    pub relay: SocketAddr,
    settings: PathBuf,
    lines: Arc<Mutex<Vec<String>>>,
    panics: Arc<Mutex<Vec<String>>>,
}

impl Gateway {
    pub fn start(store: SocketAddr) -> Self {
        Self::start_reading(store, true)
    }

    /// Starts a gateway that commits for the others of a site, and by no other:
    /// it has more of a processor.
    pub fn start_strong(store: SocketAddr) -> Self {
        Self::start_strong_on(&Self::new_host(), store)
    }

    /// The same for a host that may have run a process before.
    pub fn start_strong_on(host: &str, store: SocketAddr) -> Self {
        Self::start_with(host, store, true, "processor_cores = 4\n")
    }

    /// Starts a gateway; `reads_on` tells whether its output is read on after
    /// the lines that tell its addresses.
    pub fn start_reading(store: SocketAddr, reads_on: bool) -> Self {
        Self::start_on(&Self::new_host(), store, reads_on)
    }

    /// A host's name that no other test of the process has.
    pub fn new_host() -> String {
        format!("gateway-{}", unique())
    }

    /// Starts the process of a host, which may have run one before.
    pub fn start_on(host: &str, store: SocketAddr, reads_on: bool) -> Self {
        Self::start_with(host, store, reads_on, "")
    }

    /// Starts the process of a host that grants nothing while the store answers.
    pub fn start_holding_off(host: &str, store: SocketAddr) -> Self {
        Self::start_with(host, store, true, "escrow_holds_off = yes\n")
    }

    /// Starts a gateway that answers its peers at an address.
    pub fn start_at(store: SocketAddr, relay: SocketAddr) -> Self {
        let settings = format!("relay_listen = {relay}\n");
        Self::start_with(&Self::new_host(), store, true, &settings)
    }

    /// Starts a gateway with settings of the section on customers.
    pub fn start_with_customers(store: SocketAddr, customers: &str) -> Self {
        let settings = format!("[customers]\n{customers}");
        Self::start_with(&Self::new_host(), store, true, &settings)
    }

    fn start_with(host: &str, store: SocketAddr, reads_on: bool, more: &str) -> Self {
        let number = unique();
        let relay = match more.contains("relay_listen") {
            true => "",
            false => "relay_listen = 127.0.0.1:0\n",
        };
        let settings = format!(
            "[gateway]\nhost = {host}\navailability_zone = newport-hall\n\
             front_listen = 127.0.0.1:0\nready_listen = 127.0.0.1:0\n\
             metrics_listen = 127.0.0.1:0\n{relay}stop_grace_s = 8\nretention_margin_ms = 500\n{more}[store]\naddress = {store}\n"
        );
        let name = format!("gateway-{}-{number}.ini", std::process::id());
        let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::write(&path, settings).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_rosebend-gateway"))
            .arg("--config")
            .arg(&path)
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let panics = Arc::new(Mutex::new(Vec::new()));
        note_panics(child.stderr.take().unwrap(), Arc::clone(&panics));
        let mut output = BufReader::new(child.stdout.take().unwrap());
        let lines = Arc::new(Mutex::new(Vec::new()));
        let mut addresses = Vec::new();
        while addresses.len() < 4 {
            let mut line = String::new();
            assert!(
                output.read_line(&mut line).unwrap() > 0,
                "the gateway ended"
            );
            let event: Value = serde_json::from_str(&line).unwrap();
            if event["name"] == "listening" {
                let address = event["address"].as_str().unwrap().parse().unwrap();
                addresses.push((event["reason"].as_str().unwrap().to_owned(), address));
            }
            lines.lock().unwrap().push(line);
        }
        let of = |whom: &str| addresses.iter().find(|(name, _)| name == whom).unwrap().1;
        let gateway = Self {
            child,
            front: of("callers"),
            ready: of("balancer"),
            metrics: of("metrics"),
            relay: of("peers"),
            settings: path,
            lines: Arc::clone(&lines),
            panics,
        };
        std::thread::spawn(move || {
            if !reads_on {
                // The pipe stays open and is never emptied.
                std::thread::sleep(PATIENCE);
            }
            for line in output.lines().map_while(Result::ok) {
                lines.lock().unwrap().push(line);
            }
        });
        gateway
    }

    /// Replaces a part of the settings file, all at once.
    pub fn change_settings(&self, from: &str, to: &str) {
        let settings = std::fs::read_to_string(&self.settings).unwrap();
        assert!(settings.contains(from), "{settings}");
        let next = self.settings.with_extension("next");
        std::fs::write(&next, settings.replace(from, to)).unwrap();
        std::fs::rename(&next, &self.settings).unwrap();
    }

    pub async fn is_ready(&self) -> bool {
        Ask::get("/readyz").send(self.ready).await.status == 200
    }

    pub async fn until_ready(&self) {
        until("the gateway is ready", async || self.is_ready().await).await;
    }

    pub async fn until_unready(&self) {
        until("the gateway is not ready", async || !self.is_ready().await).await;
    }

    /// The value of a metric, zero while it is not on the page.
    pub async fn metric(&self, name: &str) -> u64 {
        let page = Ask::get("/metrics").send(self.metrics).await.body;
        let prefix = format!("rosebend_gateway_{name} ");
        let value = page.lines().find_map(|line| line.strip_prefix(&prefix));
        value.map_or(0, |value| value.parse().unwrap())
    }

    /// Waits until so many other gateways may pass its calls to the store on.
    pub async fn until_peers(&self, count: usize) {
        let line = format!("rosebend_gateway_peers {count}\n");
        until("the gateway knows its peers", async || {
            let page = Ask::get("/metrics").send(self.metrics).await.body;
            page.contains(&line)
        })
        .await;
    }

    /// The lines of its log so far.
    pub fn log(&self) -> Vec<String> {
        self.lines.lock().unwrap().clone()
    }

    /// Its log, which outlasts the process.
    pub fn shared_log(&self) -> Arc<Mutex<Vec<String>>> {
        Arc::clone(&self.lines)
    }

    /// The events of its log so far that have a name.
    pub fn events(&self, name: &str) -> Vec<Value> {
        let lines = self.log();
        let events = lines
            .iter()
            .filter_map(|line| serde_json::from_str(line).ok());
        events
            .filter(|event: &Value| event["name"] == name)
            .collect()
    }

    /// What panicked in it so far; the process may go on without that part.
    pub fn panics(&self) -> Vec<String> {
        self.panics.lock().unwrap().clone()
    }

    /// Whether the process has not ended.
    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }

    /// Id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args(["-s", signal, &id]).status();
        assert!(status.unwrap().success());
    }

    pub fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Waits for the end of the process.
    pub async fn exit_code(&mut self) -> Option<i32> {
        let until = Instant::now() + PATIENCE;
        while Instant::now() < until {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.code();
            }
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
        panic!("the gateway did not end");
    }
}

/// Passes on what a process writes as errors, and keeps the panics.
fn note_panics(errors: ChildStderr, panics: Arc<Mutex<Vec<String>>>) {
    std::thread::spawn(move || {
        for line in BufReader::new(errors).lines().map_while(Result::ok) {
            eprintln!("{line}");
            if line.contains("panicked at") {
                panics.lock().unwrap().push(line);
            }
        }
    });
}

impl Drop for Gateway {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Waits until something holds.
pub async fn until(what: &str, holds: impl AsyncFn() -> bool) {
    let end = Instant::now() + PATIENCE;
    while Instant::now() < end {
        if holds().await {
            return;
        }
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("waited in vain until {what}");
}

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct Ask {
    method: Method,
    path: String,
    headers: Vec<(String, String)>,
    body: String,
}

/// What a caller gets.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// Zero when the connection ended without an answer.
    pub status: u16,
    pub headers: http::HeaderMap,
    pub body: String,
    /// Whether the body came to its end.
    pub is_whole: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Seconds of `Retry-After`.
    pub fn retry_after_s(&self) -> Option<f64> {
        self.header("retry-after")?.parse().ok()
    }
}

impl Ask {
    pub fn new(method: Method, path: &str) -> Self {
        Self {
            method,
            path: path.to_owned(),
            headers: vec![("host".to_owned(), "desk.example".to_owned())],
            body: String::new(),
        }
    }

    pub fn get(path: &str) -> Self {
        Self::new(Method::GET, path)
    }

    /// A request that needs nothing of the store.
    pub fn lookup(attempt: &str) -> Self {
        Self::get("/lookup/x").attempt(attempt)
    }

    /// A turn of a program.
    pub fn turn(attempt: &str, program: &str, input: &str) -> Self {
        Self::new(Method::POST, "/stream/turn")
            .attempt(attempt)
            .header("program-id", program)
            .header("session-id", "s1")
            .header("token-budget", "1000")
            .header("token-counts", "100,100")
            .body(input)
    }

    /// The same request on another path.
    pub fn at(mut self, path: &str) -> Self {
        path.clone_into(&mut self.path);
        self
    }

    pub fn attempt(self, attempt: &str) -> Self {
        self.header("attempt-id", attempt)
    }

    pub fn previous(self, attempt: &str) -> Self {
        self.header("previous-turn", attempt)
    }

    /// Sets a header.
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.retain(|(known, _)| known != name);
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    pub fn body(mut self, body: &str) -> Self {
        self.body = body.to_owned();
        self
    }

    pub fn request(&self) -> Request<Full<Bytes>> {
        let mut request = Request::builder().method(&self.method).uri(&self.path);
        for (name, value) in &self.headers {
            request = request.header(name, value);
        }
        let body = Full::new(Bytes::from(self.body.clone()));
        request.body(body).unwrap()
    }

    /// Sends the request on a connection of its own.
    pub async fn send(&self, address: SocketAddr) -> Answer {
        let Ok(mut connection) = Connection::open(address).await else {
            return Answer::default();
        };
        self.send_on(&mut connection).await
    }

    pub async fn send_on(&self, connection: &mut Connection) -> Answer {
        let Ok(response) = connection.send(self.request()).await else {
            return Answer::default();
        };
        let (head, mut body) = response.into_parts();
        let mut bytes = Vec::new();
        let mut is_whole = true;
        while let Some(frame) = body.frame().await {
            match frame {
                Ok(frame) => bytes.extend_from_slice(frame.data_ref().unwrap_or(&Bytes::new())),
                Err(_) => {
                    is_whole = false;
                    break;
                }
            }
        }
        Answer {
            status: head.status.as_u16(),
            headers: head.headers,
            body: String::from_utf8_lossy(&bytes).into_owned(),
            is_whole,
        }
    }
}
