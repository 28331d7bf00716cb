//! The fleet under test: gateway hosts, the store, endpoints, and the relays on
//! the connections between them.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::{Arc, Mutex};

use actix_rt::task::JoinHandle;
use rosebend_standin::backend::{BackendFaults, Report, Runs};
use rosebend_standin::server::RunningServer;
use rosebend_standin::store::StoreFaults;
use rosebend_system_tests::crowd::{PeakUsage, UsageMonitor};
use rosebend_system_tests::relay::Relay;
use serde_json::{Value, json};

use crate::support::{self, Gateway, Site, TestRequest};

/// Number of listeners of the store. The hosts are distributed over them
/// round-robin, so that a fault of one listener is an outage for a part of the
/// fleet.
const STORE_LISTENERS: usize = 3;
/// Number of hosts for each pair of endpoints after the first pair.
const HOSTS_PER_ENDPOINT_PAIR: usize = 50;
/// Timeout of the routes that are declared before the hosts start.
const ROUTE_TIMEOUT_MS: u64 = 3_000;
/// Retention margin in milliseconds with which every process starts.
pub const INITIAL_RETENTION_MARGIN_MS: &str = "500";

/// The fleet as it is shared by fault injection and callers.
pub type SharedFleet = Rc<RefCell<Fleet>>;

/// Hosts, listeners of the store with one relay each, and endpoints of both
/// services with one relay each.
pub struct Fleet {
    pub site: Site,
    store_listeners: Vec<RunningServer>,
    pub store_relays: Vec<Relay>,
    pub endpoint_relays: Vec<Relay>,
    hosts: Vec<Host>,
    /// Series of faults that have been started.
    series: Vec<JoinHandle<()>>,
    config_version: u64,
    /// Largest body of the declared limits, if it is not the usual one.
    max_body_bytes: Option<usize>,
    /// Panics and unexpected exits of processes that were recorded so far.
    defects: Vec<String>,
    /// Logs of all processes, including those that have exited.
    logs: Vec<Arc<Mutex<Vec<String>>>>,
}

/// A host and the process that runs on it.
struct Host {
    name: String,
    process: Option<Gateway>,
    is_frozen: bool,
    /// Retention margin in its settings file, which may be invalid.
    margin: &'static str,
}

/// Names of process events that a request log contains in addition to the
/// events of its requests.
const PROCESS_EVENTS: [&str; 9] = [
    "process-started",
    "process-stopping",
    "process-stopped",
    "escrow-taken",
    "escrow-released",
    "escrow-completed",
    "hold-off-found",
    "store-lost",
    "store-regained",
];

impl Fleet {
    /// Starts the store, the endpoints and the hosts, and waits until all hosts
    /// accept callers.
    pub async fn start(hosts: usize) -> SharedFleet {
        Self::start_with_max_body(hosts, None).await
    }

    /// Does the same with another largest body in the declared limits, if one is given. All
    /// versions of the routes have it, and the first one has all routes.
    pub async fn start_with_max_body(hosts: usize, max_body_bytes: Option<usize>) -> SharedFleet {
        let mut site = Site::without_routes();
        for _ in 0..=hosts / HOSTS_PER_ENDPOINT_PAIR {
            site.add_endpoint("models");
            site.add_endpoint("desk");
        }
        let endpoints = site.endpoints.iter();
        let relays = endpoints.map(|endpoint| Relay::start(endpoint.server.address()).unwrap());
        let endpoint_relays: Vec<Relay> = relays.collect();
        let bind_listener = || TcpListener::bind("127.0.0.1:0").unwrap();
        let store_listeners =
            (0..STORE_LISTENERS).map(|_| site.store.open_door(bind_listener()).unwrap());
        let store_listeners: Vec<RunningServer> = store_listeners.collect();
        let relays = store_listeners
            .iter()
            .map(|listener| Relay::start(listener.address()).unwrap());
        let host = |_| Host {
            name: Gateway::new_host_name(),
            process: None,
            is_frozen: false,
            margin: INITIAL_RETENTION_MARGIN_MS,
        };
        let mut fleet = Self {
            store_relays: relays.collect(),
            site,
            store_listeners,
            endpoint_relays,
            hosts: (0..hosts).map(host).collect(),
            series: Vec::new(),
            config_version: 1,
            max_body_bytes,
            defects: Vec::new(),
            logs: Vec::new(),
        };
        for endpoint in 0..fleet.endpoint_count() {
            let address = fleet.endpoint_address(endpoint);
            fleet.announce(endpoint, "ready", report(address).await.born);
        }
        match max_body_bytes {
            Some(_) => fleet.declare_routes(ROUTE_TIMEOUT_MS),
            None => fleet.site.declare_routes(1),
        }
        for host in 0..hosts {
            fleet.start_host(host);
        }
        for gateway in fleet.hosts.iter().flat_map(|host| &host.process) {
            gateway.wait_until_ready().await;
        }
        Rc::new(RefCell::new(fleet))
    }

    pub fn host_count(&self) -> usize {
        self.hosts.len()
    }

    pub fn endpoint_count(&self) -> usize {
        self.site.endpoints.len()
    }

    pub fn listener_count(&self) -> usize {
        self.store_listeners.len()
    }

    pub fn listener_address(&self, listener: usize) -> SocketAddr {
        self.store_listeners[listener].address()
    }

    /// Returns the address of an endpoint itself, which bypasses its relay.
    pub fn endpoint_address(&self, endpoint: usize) -> SocketAddr {
        self.site.endpoints[endpoint].server.address()
    }

    /// Returns the addresses on which hosts accept callers. Hosts without a
    /// process and frozen hosts are omitted.
    pub fn front_addresses(&self) -> Vec<SocketAddr> {
        let not_frozen = self.hosts.iter().filter(|host| !host.is_frozen);
        not_frozen
            .filter_map(|host| Some(host.process.as_ref()?.front))
            .collect()
    }

    /// Starts a process on a host unless the host has one.
    pub fn start_host(&mut self, host: usize) {
        let store = self.store_relays[host % STORE_LISTENERS].address();
        let host = &mut self.hosts[host];
        if host.process.is_none() {
            let process = Gateway::start_on(&host.name, store, true);
            self.logs.push(process.shared_log());
            host.process = Some(process);
            host.is_frozen = false;
            host.margin = INITIAL_RETENTION_MARGIN_MS;
        }
    }

    /// Replaces a host by a new one unless it has a process.
    pub fn replace_host(&mut self, host: usize) {
        if self.hosts[host].process.is_none() {
            self.hosts[host].name = Gateway::new_host_name();
            self.start_host(host);
        }
    }

    /// Removes the process of a host from the fleet and returns it. A frozen
    /// process is continued first.
    pub fn take_process(&mut self, host: usize) -> Option<Gateway> {
        self.record_defects(host);
        let host = &mut self.hosts[host];
        let process = host.process.take()?;
        if host.is_frozen {
            process.signal("CONT");
        }
        Some(process)
    }

    /// Changes the retention margin in a host's settings and signals its
    /// process to reload them.
    pub fn set_retention_margin(&mut self, host: usize, margin: &'static str) {
        let host = &mut self.hosts[host];
        let Some(process) = &host.process else {
            return;
        };
        let line = |margin: &str| format!("retention_margin_ms = {margin}\n");
        process.change_settings(&line(host.margin), &line(margin));
        process.signal("HUP");
        host.margin = margin;
    }

    /// Suspends a host's process and returns its id.
    pub fn freeze(&mut self, host: usize) -> Option<u32> {
        let host = &mut self.hosts[host];
        let process = host.process.as_ref()?;
        process.signal("STOP");
        host.is_frozen = true;
        Some(process.id())
    }

    /// Continues the process of a host if it is still the one that was frozen.
    pub fn unfreeze(&mut self, host: usize, id: u32) {
        let host = &mut self.hosts[host];
        if let Some(process) = host.process.as_ref().filter(|process| process.id() == id) {
            process.signal("CONT");
            host.is_frozen = false;
        }
    }

    /// Writes an endpoint's entry with the given start time.
    pub fn announce(&self, endpoint: usize, state: &str, started_ms: u64) {
        let relay = &self.endpoint_relays[endpoint];
        let endpoint = &self.site.endpoints[endpoint];
        let entry = json!({
            "service": endpoint.service, "address": relay.address().to_string(),
            "zone": "newport-hall", "version": "v1", "slots": 8, "state": state,
            "cold-left-ms": 0, "seq": 1, "born": started_ms,
        });
        self.site.store.put("servers", &endpoint.instance, &entry);
    }

    /// Deletes an endpoint's entry, as its expiry does.
    pub fn delete_entry(&self, endpoint: usize) {
        let instance = &self.site.endpoints[endpoint].instance;
        self.site.store.delete("servers", instance);
    }

    /// Writes a new version of the routes with another timeout.
    pub fn declare_routes(&mut self, timeout_ms: u64) {
        self.config_version += 3;
        let mut config = support::routes(self.config_version);
        let routes = config["routes"].as_array_mut().unwrap();
        routes.push(resumable_route());
        for route in config["routes"].as_array_mut().unwrap() {
            route["timeout-ms"] = json!(timeout_ms);
        }
        if let Some(max_body_bytes) = self.max_body_bytes {
            config["limits"]["max-body-bytes"] = json!(max_body_bytes);
        }
        self.site.store.put("op", "config", &config);
    }

    /// Adds a series of faults that was started.
    pub fn add_series(&mut self, series: JoinHandle<()>) {
        self.series.push(series);
    }

    /// Removes and returns all series of faults.
    pub fn take_series(&mut self) -> Vec<JoinHandle<()>> {
        std::mem::take(&mut self.series)
    }

    /// Returns the panics of processes, and the exits of processes that
    /// received no signal to stop.
    pub fn defects(&mut self) -> Vec<String> {
        for host in 0..self.hosts.len() {
            self.record_defects(host);
        }
        self.defects.clone()
    }

    /// Records the panics of a process that was removed from the fleet.
    pub fn record_panics(&mut self, process: &Gateway) {
        self.defects.extend(process.panics());
    }

    /// Records the panics and an unexpected exit of a host's process.
    fn record_defects(&mut self, host: usize) {
        let host = &mut self.hosts[host];
        let Some(process) = &mut host.process else {
            return;
        };
        self.defects.extend(process.panics());
        if !process.is_running() {
            self.defects
                .push(format!("{} exited unexpectedly", host.name));
        }
    }

    /// Returns the log lines of all processes, ordered by time, that mention
    /// one of the given program or attempt ids, an attempt in such a line, or
    /// an event of [`PROCESS_EVENTS`].
    pub fn request_log(&self, ids: &[&str]) -> Vec<String> {
        let logs = self.logs.iter().map(|log| log.lock().unwrap().clone());
        let lines: Vec<String> = logs.flatten().collect();
        let mut relevant: BTreeSet<String> = ids.iter().map(ToString::to_string).collect();
        relevant.extend(PROCESS_EVENTS.map(str::to_owned));
        let attempts = lines.iter().filter(|line| mentions_any(line, &relevant));
        let attempts: Vec<String> = attempts.filter_map(|line| attempt_of(line)).collect();
        relevant.extend(attempts);
        let mut lines: Vec<String> = lines
            .into_iter()
            .filter(|line| mentions_any(line, &relevant))
            .collect();
        // Each line starts with its timestamp.
        lines.sort();
        lines
    }

    /// Returns the most that a process holds at present, or held before.
    pub fn peak_usage(&self, before: PeakUsage) -> PeakUsage {
        let processes = self.hosts.iter().flat_map(|host| &host.process);
        let usages = processes.map(|process| UsageMonitor::sample(process.id(), &[process.front]));
        usages.fold(before, PeakUsage::max)
    }

    /// Returns the resident memory of all processes in MiB.
    pub fn memory_mb(&self) -> u64 {
        let processes = self.hosts.iter().flat_map(|host| &host.process);
        processes.map(memory_kb).sum::<u64>() / 1_024
    }
}

/// Returns a streaming route without history whose streams may be resumed.
fn resumable_route() -> Value {
    json!({
        "name": "drafts", "host": "desk.example", "prefix": "/drafts/stream/",
        "kind": "streaming", "timeout-ms": 3000, "slo-ms": 400, "gap-slo-ms": 200,
        "priority": 0, "service": "models", "max-attempts": 2, "sticky": false,
        "resumable": true,
    })
}

/// Returns whether a log line contains one of the values as a quoted string.
fn mentions_any(line: &str, values: &BTreeSet<String>) -> bool {
    let mut quoted = line.split('"');
    quoted.any(|text| values.contains(text))
}

/// Returns the attempt id in a log line.
fn attempt_of(line: &str) -> Option<String> {
    let fields: Value = serde_json::from_str(line).ok()?;
    Some(fields["attempt"].as_str()?.to_owned())
}

/// Returns an endpoint's report on its own state.
pub async fn report(endpoint: SocketAddr) -> Report {
    let answer = TestRequest::get("/report").send(endpoint).await;
    serde_json::from_str(&answer.body).unwrap()
}

/// Returns the attempts that ran at each endpoint.
pub async fn all_runs(fleet: &SharedFleet) -> Vec<Runs> {
    let mut runs = Vec::new();
    let count = fleet.borrow().endpoint_count();
    for endpoint in 0..count {
        let address = fleet.borrow().endpoint_address(endpoint);
        let answer = TestRequest::get("/runs").send(address).await;
        runs.push(serde_json::from_str(&answer.body).unwrap());
    }
    runs
}

/// Sets the faults of one listener of the store.
pub async fn set_listener_faults(fleet: &SharedFleet, listener: usize, faults: &StoreFaults) {
    let address = fleet.borrow().listener_address(listener);
    post(address, "/faults", &json!(faults)).await;
}

/// Sets the faults of one endpoint.
pub async fn set_endpoint_faults(fleet: &SharedFleet, endpoint: usize, faults: &BackendFaults) {
    let address = fleet.borrow().endpoint_address(endpoint);
    post(address, "/faults", &json!(faults)).await;
}

/// Sends a POST request to a test server, which must accept it.
pub async fn post(address: SocketAddr, path: &str, body: &Value) {
    let request = TestRequest::new(http::Method::POST, path).body(&body.to_string());
    assert_eq!(request.send(address).await.status, 200);
}

/// Returns the resident memory of a process in KiB, or zero if it has exited.
fn memory_kb(process: &Gateway) -> u64 {
    let path = format!("/proc/{}/status", process.id());
    let status = std::fs::read_to_string(path).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.trim().strip_suffix(" kB"));
    number.map_or(0, |number| number.trim().parse().unwrap_or_default())
}
