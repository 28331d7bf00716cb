//! Test environment: a store and endpoints within the test process, gateways as
//! child processes, and a client that sends requests as callers do.
//!
//! All servers listen on free loopback ports. A gateway process is killed when
//! its [`Gateway`] is dropped.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::io::{BufRead, BufReader};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use rosebend_standin::backend::{Backend, BackendConfig, BackendFaults, Runs};
use rosebend_standin::server::RunningServer;
use rosebend_standin::store::{Store, StoreFaults};
use rosebend_transport::connection::Connection;
use serde_json::{Value, json};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpSocket, TcpStream};

/// Time after which waiting for an expected condition fails the test.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Text that crashes each endpoint that begins to run a request with it.
pub const CRASHING_BODY: &str = "crashes-endpoints";

static NEXT_NUMBER: AtomicU64 = AtomicU64::new(1);

/// Returns a number that is unique within the test process.
fn unique_number() -> u64 {
    NEXT_NUMBER.fetch_add(1, Ordering::Relaxed)
}

fn free_listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("loopback has a free port")
}

/// A store and the endpoints that are registered in it.
pub struct Site {
    pub store: Store,
    pub store_listener: RunningServer,
    pub endpoints: Vec<Endpoint>,
    /// Further sections of the settings of gateways that the site starts.
    pub gateway_settings: String,
}

/// An endpoint server and the contents of its entry in the store.
pub struct Endpoint {
    /// Id of the endpoint, which is the key of its entry.
    pub instance: String,
    pub service: String,
    pub server: RunningServer,
    /// Unix time of its start in milliseconds, or `None` if its entry has none.
    pub started_ms: Option<u64>,
    /// Time in milliseconds for which its entry says that it stays slow after
    /// its start.
    pub cold_left_ms: u64,
    /// Servers of its previous starts, which keep serving requests.
    pub previous_servers: Vec<RunningServer>,
}

/// Unix time in milliseconds of the first start of each endpoint.
pub const FIRST_START_MS: u64 = 1_764_720_000_000;

impl Site {
    /// Starts a site and writes its routes and endpoint entries to the store.
    pub fn start() -> Self {
        let site = Self::without_routes();
        site.declare_routes(1);
        site
    }

    /// Starts a site whose routes have a timeout that no test reaches, also on a busy machine.
    pub fn with_long_timeouts() -> Self {
        let site = Self::without_routes();
        let mut config = routes(1);
        for route in config["routes"].as_array_mut().unwrap() {
            route["timeout-ms"] = json!(20_000);
        }
        site.store.put("op", "config", &config);
        site
    }

    /// Starts a site with routes and endpoints, and a gateway, and waits until
    /// the gateway accepts callers.
    pub async fn start_with_gateway() -> (Self, Gateway) {
        let site = Self::start();
        let gateway = site.start_ready_gateway().await;
        (site, gateway)
    }

    /// Starts a site and two gateways and waits until each has discovered the
    /// other. The first gateway uses a store listener of its own, to which the
    /// faults of [`Site::set_store_faults`] do not apply.
    pub async fn start_with_peer() -> (Self, RunningServer, Gateway, Gateway) {
        let site = Self::start();
        let open_listener = site.open_store_listener();
        let peer = Gateway::start(open_listener.address());
        let gateway = site.start_gateway();
        peer.wait_until_ready().await;
        gateway.wait_until_ready().await;
        for each in [&peer, &gateway] {
            each.wait_for_peers(1).await;
        }
        (site, open_listener, peer, gateway)
    }

    /// Starts a site whose store has endpoint entries but no routes.
    pub fn without_routes() -> Self {
        let store = Store::default();
        let store_listener = store.open_door(free_listener()).unwrap();
        let mut site = Self {
            store,
            store_listener,
            endpoints: Vec::new(),
            gateway_settings: String::new(),
        };
        site.add_endpoint("models");
        site.add_endpoint("desk");
        site
    }

    /// Starts an endpoint, writes its entry, and returns its index.
    pub fn add_endpoint(&mut self, service: &str) -> usize {
        let instance = format!("i-{service}-{}", self.endpoints.len());
        let started_ms = FIRST_START_MS;
        let config = BackendConfig {
            born_ms: Some(started_ms),
            restart_on: Some(CRASHING_BODY.to_owned()),
            ..BackendConfig::new(&instance)
        };
        let server = Backend::start_with(free_listener(), config).unwrap();
        self.endpoints.push(Endpoint {
            instance,
            service: service.to_owned(),
            server,
            started_ms: Some(started_ms),
            cold_left_ms: 0,
            previous_servers: Vec::new(),
        });
        let index = self.endpoints.len() - 1;
        self.announce(index, "ready");
        index
    }

    /// Restarts an endpoint under the same id at another address, with a start
    /// time one millisecond later. The server of the previous start keeps
    /// serving, so that a test detects requests that are still sent to it.
    pub fn restart_endpoint(&mut self, index: usize) {
        let endpoint = &mut self.endpoints[index];
        let started_ms = endpoint.started_ms.unwrap_or(FIRST_START_MS) + 1;
        let server = Backend::start_at(free_listener(), &endpoint.instance, started_ms).unwrap();
        let previous_server = std::mem::replace(&mut endpoint.server, server);
        endpoint.previous_servers.push(previous_server);
        endpoint.started_ms = Some(started_ms);
        self.announce(index, "ready");
    }

    /// Returns the attempts that a previous start of an endpoint ran.
    pub async fn previous_runs(&self, index: usize, start: usize) -> Runs {
        let address = self.endpoints[index].previous_servers[start].address();
        let answer = TestRequest::get("/runs").send(address).await;
        serde_json::from_str(&answer.body).unwrap()
    }

    /// Writes an endpoint's entry to the store.
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
        if let Some(started_ms) = endpoint.started_ms {
            entry["born"] = json!(started_ms);
        }
        self.store.put("servers", &endpoint.instance, &entry);
    }

    /// Writes the entry of an endpoint that this site does not run.
    pub fn announce_external(&self, instance: &str, service: &str, address: SocketAddr) {
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

    /// Returns the number of rows of a table in the store.
    pub fn rows(&self, table: &str) -> usize {
        self.store.row_count(table)
    }

    /// Writes the routes to the store as the given version of the
    /// configuration.
    pub fn declare_routes(&self, version: u64) {
        self.store.put("op", "config", &routes(version));
    }

    /// Sets the faults of the site's store listener.
    pub async fn set_store_faults(&self, faults: &StoreFaults) {
        post_faults(self.store_listener.address(), &json!(faults)).await;
    }

    /// Sets the faults of one endpoint.
    pub async fn set_endpoint_faults(&self, index: usize, faults: &BackendFaults) {
        post_faults(self.endpoints[index].server.address(), &json!(faults)).await;
    }

    /// Returns the attempts that one endpoint ran.
    pub async fn runs(&self, index: usize) -> Runs {
        let address = self.endpoints[index].server.address();
        let answer = TestRequest::get("/runs").send(address).await;
        serde_json::from_str(&answer.body).unwrap()
    }

    /// Returns how many times an attempt ran, summed over all endpoints.
    pub async fn run_count(&self, attempt: &str) -> u64 {
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

    /// Starts a gateway that uses the site's store listener.
    pub fn start_gateway(&self) -> Gateway {
        let store = self.store_listener.address();
        let host = Gateway::new_host_name();
        Gateway::start_with(&host, store, true, &self.gateway_settings)
    }

    /// Starts a gateway and waits until it accepts callers.
    pub async fn start_ready_gateway(&self) -> Gateway {
        let gateway = self.start_gateway();
        gateway.wait_until_ready().await;
        gateway
    }

    /// Starts two gateways at the same time and waits until both accept
    /// callers.
    pub async fn start_two_ready_gateways(&self) -> [Gateway; 2] {
        let gateways = [self.start_gateway(), self.start_gateway()];
        for gateway in &gateways {
            gateway.wait_until_ready().await;
        }
        gateways
    }

    /// Opens another listener of the store, which has no faults.
    pub fn open_store_listener(&self) -> RunningServer {
        self.store.open_door(free_listener()).unwrap()
    }
}

/// Returns the configuration that most tests use: routes, services and limits.
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

/// Sets the faults of one listener of a store.
pub async fn set_listener_faults(store_listener: &RunningServer, faults: &StoreFaults) {
    post_faults(store_listener.address(), &json!(faults)).await;
}

async fn post_faults(address: SocketAddr, faults: &Value) {
    let answer = TestRequest::new(Method::POST, "/faults").body(&faults.to_string());
    assert_eq!(answer.send(address).await.status, 200);
}

/// A gateway process, which is killed on drop.
pub struct Gateway {
    child: Child,
    /// Address on which it accepts callers.
    pub front: SocketAddr,
    /// Address of its readiness endpoint.
    pub ready: SocketAddr,
    /// Address of its metrics endpoint.
    pub metrics: SocketAddr,
    /// Address on which it accepts other gateways.
    pub relay: SocketAddr,
    /// Path of its settings file.
    settings: PathBuf,
    /// Lines of its log.
    lines: Arc<Mutex<Vec<String>>>,
    /// Panic messages from its standard error.
    panics: Arc<Mutex<Vec<String>>>,
}

impl Gateway {
    /// Starts a gateway on a new host.
    pub fn start(store: SocketAddr) -> Self {
        Self::start_with_output(store, true)
    }

    /// Starts a gateway that the other gateways of a site use as their batcher
    /// and that uses none of them itself, because it is configured with more
    /// processor cores.
    pub fn start_batcher(store: SocketAddr) -> Self {
        Self::start_batcher_on(&Self::new_host_name(), store)
    }

    /// Does the same as [`Gateway::start_batcher`] on a host that may have run
    /// a process before.
    pub fn start_batcher_on(host: &str, store: SocketAddr) -> Self {
        Self::start_with(host, store, true, "processor_cores = 4\n")
    }

    /// Starts a gateway on a new host. Unless `is_output_read` is set, the test
    /// stops reading the gateway's output after the lines that contain its
    /// addresses.
    pub fn start_with_output(store: SocketAddr, is_output_read: bool) -> Self {
        Self::start_on(&Self::new_host_name(), store, is_output_read)
    }

    /// Returns a host name that is unique within the test process.
    pub fn new_host_name() -> String {
        format!("gateway-{}", unique_number())
    }

    /// Starts a gateway on a host that may have run a process before.
    pub fn start_on(host: &str, store: SocketAddr, is_output_read: bool) -> Self {
        Self::start_with(host, store, is_output_read, "")
    }

    /// Starts a gateway that holds off: it grants nothing from its escrow slots
    /// while the store answers.
    pub fn start_holding_off(host: &str, store: SocketAddr) -> Self {
        Self::start_with(host, store, true, "escrow_holds_off = yes\n")
    }

    /// Starts a gateway that accepts other gateways on a given address.
    pub fn start_at(store: SocketAddr, relay: SocketAddr) -> Self {
        let settings = format!("relay_listen = {relay}\n");
        Self::start_with(&Self::new_host_name(), store, true, &settings)
    }

    /// Starts a gateway with the given lines in the `customers` section of its
    /// settings.
    pub fn start_with_customers(store: SocketAddr, customers: &str) -> Self {
        let settings = format!("[customers]\n{customers}");
        Self::start_with(&Self::new_host_name(), store, true, &settings)
    }

    /// Writes the settings file, starts the process, and waits until it has
    /// logged its addresses.
    fn start_with(
        host: &str,
        store: SocketAddr,
        is_output_read: bool,
        extra_settings: &str,
    ) -> Self {
        let number = unique_number();
        let relay = match extra_settings.contains("relay_listen") {
            true => "",
            false => "relay_listen = 127.0.0.1:0\n",
        };
        let settings = format!(
            "[gateway]\nhost = {host}\navailability_zone = newport-hall\n\
             front_listen = 127.0.0.1:0\nready_listen = 127.0.0.1:0\n\
             metrics_listen = 127.0.0.1:0\n{relay}stop_grace_s = 8\nretention_margin_ms = 500\n{extra_settings}[store]\naddress = {store}\n"
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
        record_panics(child.stderr.take().unwrap(), Arc::clone(&panics));
        let mut output = BufReader::new(child.stdout.take().unwrap());
        let lines = Arc::new(Mutex::new(Vec::new()));
        let mut addresses = Vec::new();
        while addresses.len() < 4 {
            let mut line = String::new();
            assert!(
                output.read_line(&mut line).unwrap() > 0,
                "the gateway exited before it logged its addresses"
            );
            let event: Value = serde_json::from_str(&line).unwrap();
            if event["name"] == "listening" {
                let address = event["address"].as_str().unwrap().parse().unwrap();
                addresses.push((event["reason"].as_str().unwrap().to_owned(), address));
            }
            lines.lock().unwrap().push(line);
        }
        let address_of = |key: &str| addresses.iter().find(|(name, _)| name == key).unwrap().1;
        let gateway = Self {
            child,
            front: address_of("callers"),
            ready: address_of("balancer"),
            metrics: address_of("metrics"),
            relay: address_of("peers"),
            settings: path,
            lines: Arc::clone(&lines),
            panics,
        };
        std::thread::spawn(move || {
            if !is_output_read {
                // Keeps the pipe open without reading it, so that it fills up.
                std::thread::sleep(WAIT_TIMEOUT);
            }
            for line in output.lines().map_while(Result::ok) {
                lines.lock().unwrap().push(line);
            }
        });
        gateway
    }

    /// Replaces a part of the settings file atomically.
    pub fn change_settings(&self, from: &str, to: &str) {
        let settings = std::fs::read_to_string(&self.settings).unwrap();
        assert!(settings.contains(from), "{settings}");
        let next = self.settings.with_extension("next");
        std::fs::write(&next, settings.replace(from, to)).unwrap();
        std::fs::rename(&next, &self.settings).unwrap();
    }

    pub async fn is_ready(&self) -> bool {
        TestRequest::get("/readyz").send(self.ready).await.status == 200
    }

    pub async fn wait_until_ready(&self) {
        wait_until("the gateway is ready", async || self.is_ready().await).await;
    }

    pub async fn wait_until_not_ready(&self) {
        wait_until("the gateway is not ready", async || !self.is_ready().await).await;
    }

    /// Returns the value of a metric, or zero if the metrics page does not
    /// contain it.
    pub async fn metric(&self, name: &str) -> u64 {
        let page = TestRequest::get("/metrics").send(self.metrics).await.body;
        let prefix = format!("rosebend_gateway_{name} ");
        let value = page.lines().find_map(|line| line.strip_prefix(&prefix));
        value.map_or(0, |value| value.parse().unwrap())
    }

    /// Waits until `count` other gateways are available to forward its calls to
    /// the store.
    pub async fn wait_for_peers(&self, count: usize) {
        let line = format!("rosebend_gateway_peers {count}\n");
        wait_until("the gateway has discovered its peers", async || {
            let page = TestRequest::get("/metrics").send(self.metrics).await.body;
            page.contains(&line)
        })
        .await;
    }

    /// Returns the log lines that have been read so far.
    pub fn log(&self) -> Vec<String> {
        self.lines.lock().unwrap().clone()
    }

    /// Returns a handle to its log that stays valid after this value is
    /// dropped.
    pub fn shared_log(&self) -> Arc<Mutex<Vec<String>>> {
        Arc::clone(&self.lines)
    }

    /// Returns the log events with the given name that have been read so far.
    pub fn events(&self, name: &str) -> Vec<Value> {
        let lines = self.log();
        let events = lines
            .iter()
            .filter_map(|line| serde_json::from_str(line).ok());
        events
            .filter(|event: &Value| event["name"] == name)
            .collect()
    }

    /// Returns the panic messages so far. The process may keep running after
    /// the panic of a thread or task.
    pub fn panics(&self) -> Vec<String> {
        self.panics.lock().unwrap().clone()
    }

    /// Returns whether the process has not exited.
    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }

    /// Returns the operating system's id of the process.
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

    /// Waits until the process exits and returns its exit code.
    pub async fn exit_code(&mut self) -> Option<i32> {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while Instant::now() < deadline {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.code();
            }
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
        panic!("the gateway did not exit");
    }
}

/// Forwards the standard error of a process and records its panic messages.
fn record_panics(errors: ChildStderr, panics: Arc<Mutex<Vec<String>>>) {
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
        // The process may have exited already, so errors are ignored.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Polls a condition until it holds, and panics after [`WAIT_TIMEOUT`].
pub async fn wait_until(what: &str, condition: impl AsyncFn() -> bool) {
    let end = Instant::now() + WAIT_TIMEOUT;
    while Instant::now() < end {
        if condition().await {
            return;
        }
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("timed out waiting until {what}");
}

/// A request that a test sends as a caller does.
#[derive(Clone, Debug)]
pub struct TestRequest {
    method: Method,
    path: String,
    headers: Vec<(String, String)>,
    body: String,
}

/// A response as the caller receives it.
#[derive(Clone, Debug, Default)]
pub struct TestResponse {
    /// Status code, or zero if the connection ended without a response.
    pub status: u16,
    pub headers: http::HeaderMap,
    pub body: String,
    /// Whether the body was received up to its end.
    pub is_complete: bool,
}

impl TestResponse {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns the seconds of the `Retry-After` header.
    pub fn retry_after_s(&self) -> Option<f64> {
        self.header("retry-after")?.parse().ok()
    }
}

impl TestRequest {
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

    /// Creates an idempotent request, which the gateway serves without the
    /// store.
    pub fn lookup(attempt: &str) -> Self {
        Self::get("/lookup/x").attempt(attempt)
    }

    /// Creates a turn of a program.
    pub fn turn(attempt: &str, program: &str, input: &str) -> Self {
        Self::new(Method::POST, "/stream/turn")
            .attempt(attempt)
            .header("program-id", program)
            .header("session-id", "s1")
            .header("token-budget", "1000")
            .header("token-counts", "100,100")
            .body(input)
    }

    /// Sets the path.
    pub fn at_path(mut self, path: &str) -> Self {
        path.clone_into(&mut self.path);
        self
    }

    pub fn attempt(self, attempt: &str) -> Self {
        self.header("attempt-id", attempt)
    }

    /// Returns the attempt id, or an empty text if the request has none.
    pub fn attempt_id(&self) -> &str {
        let mut headers = self.headers.iter();
        let attempt = headers.find(|(name, _)| name == "attempt-id");
        attempt.map_or("", |(_, attempt)| attempt)
    }

    pub fn previous(self, attempt: &str) -> Self {
        self.header("previous-turn", attempt)
    }

    /// Sets a header and replaces a previous value of it.
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

    /// Returns the request as the bytes of HTTP/1.1.
    pub fn raw(&self) -> String {
        let mut text = format!("{} {} HTTP/1.1\r\n", self.method, self.path);
        for (name, value) in &self.headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        if !self.body.is_empty() {
            text.push_str(&format!("content-length: {}\r\n", self.body.len()));
        }
        text.push_str("\r\n");
        text.push_str(&self.body);
        text
    }

    /// Opens a connection from an address of the loopback range and writes the request to it.
    pub async fn write_from(&self, from: Ipv4Addr, to: SocketAddr) -> std::io::Result<TcpStream> {
        let socket = TcpSocket::new_v4()?;
        socket.bind(SocketAddr::from((from, 0)))?;
        let mut stream = socket.connect(to).await?;
        let request = self.clone().header("connection", "close");
        stream.write_all(request.raw().as_bytes()).await?;
        Ok(stream)
    }

    /// Sends the request on a new connection.
    pub async fn send(&self, address: SocketAddr) -> TestResponse {
        let Ok(mut connection) = Connection::open(address).await else {
            return TestResponse::default();
        };
        self.send_on(&mut connection).await
    }

    pub async fn send_on(&self, connection: &mut Connection) -> TestResponse {
        let Ok(response) = connection.send(self.request()).await else {
            return TestResponse::default();
        };
        let (head, mut body) = response.into_parts();
        let mut bytes = Vec::new();
        let mut is_complete = true;
        while let Some(frame) = body.frame().await {
            match frame {
                Ok(frame) => bytes.extend_from_slice(frame.data_ref().unwrap_or(&Bytes::new())),
                Err(_) => {
                    is_complete = false;
                    break;
                }
            }
        }
        TestResponse {
            status: head.status.as_u16(),
            headers: head.headers,
            body: String::from_utf8_lossy(&bytes).into_owned(),
            is_complete,
        }
    }
}
