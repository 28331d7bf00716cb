//! The fleet under test: hosts, the store, endpoints, and what lies between.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::{Arc, Mutex};

use actix_rt::task::JoinHandle;
use rosebend_standin::backend::{BackendFaults, Report, Runs};
use rosebend_standin::server::RunningServer;
use rosebend_standin::store::StoreFaults;
use rosebend_system_tests::relay::Relay;
use serde_json::{Value, json};

use crate::support::{self, Gateway, Site, TestRequest};

/// Doors of the store. The hosts share them in turn, so that a fault of one
/// door is an outage for a part of the fleet.
const DOORS: usize = 3;
/// Hosts for each pair of endpoints beyond the first two.
const HOSTS_PER_PAIR: usize = 50;
/// Margin of retention with which every process starts.
pub const SOUND_MARGIN: &str = "500";

/// The fleet, as faults and callers share it.
pub type Shared = Rc<RefCell<Fleet>>;

/// Hosts, doors of the store with a relay each, and endpoints of both services
/// with a relay each.
pub struct Fleet {
    pub site: Site,
    doors: Vec<RunningServer>,
    pub store_relays: Vec<Relay>,
    pub endpoint_relays: Vec<Relay>,
    hosts: Vec<Host>,
    /// Series of faults that were begun.
    series: Vec<JoinHandle<()>>,
    config_version: u64,
    defects: Vec<String>,
    /// Logs of all processes so far.
    logs: Vec<Arc<Mutex<Vec<String>>>>,
}

/// One host, with the process that runs on it.
struct Host {
    name: String,
    process: Option<Gateway>,
    is_frozen: bool,
    /// What its settings have for the margin of retention.
    margin: &'static str,
}

/// Events of processes that explain what became of a program.
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
    pub async fn start(hosts: usize) -> Shared {
        let mut site = Site::without_routes();
        for _ in 0..=hosts / HOSTS_PER_PAIR {
            site.add_endpoint("models");
            site.add_endpoint("desk");
        }
        let endpoints = site.endpoints.iter();
        let relays = endpoints.map(|endpoint| Relay::start(endpoint.server.address()).unwrap());
        let endpoint_relays: Vec<Relay> = relays.collect();
        let listener = || TcpListener::bind("127.0.0.1:0").unwrap();
        let doors = (0..DOORS).map(|_| site.store.open_door(listener()).unwrap());
        let doors: Vec<RunningServer> = doors.collect();
        let relays = doors
            .iter()
            .map(|door| Relay::start(door.address()).unwrap());
        let host = |_| Host {
            name: Gateway::new_host_name(),
            process: None,
            is_frozen: false,
            margin: SOUND_MARGIN,
        };
        let mut fleet = Self {
            store_relays: relays.collect(),
            site,
            doors,
            endpoint_relays,
            hosts: (0..hosts).map(host).collect(),
            series: Vec::new(),
            config_version: 1,
            defects: Vec::new(),
            logs: Vec::new(),
        };
        for endpoint in 0..fleet.endpoint_count() {
            let address = fleet.endpoint_address(endpoint);
            fleet.announce(endpoint, "ready", report(address).await.born);
        }
        fleet.site.declare_routes(1);
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

    pub fn door_count(&self) -> usize {
        self.doors.len()
    }

    pub fn door_address(&self, door: usize) -> SocketAddr {
        self.doors[door].address()
    }

    /// Where an endpoint takes what tests ask of it, past its relay.
    pub fn endpoint_address(&self, endpoint: usize) -> SocketAddr {
        self.site.endpoints[endpoint].server.address()
    }

    /// Where each host takes callers, as far as its process runs.
    pub fn fronts(&self) -> Vec<SocketAddr> {
        let awake = self.hosts.iter().filter(|host| !host.is_frozen);
        awake
            .filter_map(|host| Some(host.process.as_ref()?.front))
            .collect()
    }

    /// Starts the process of a host that has none.
    pub fn start_host(&mut self, host: usize) {
        let store = self.store_relays[host % DOORS].address();
        let host = &mut self.hosts[host];
        if host.process.is_none() {
            let process = Gateway::start_on(&host.name, store, true);
            self.logs.push(process.shared_log());
            host.process = Some(process);
            host.is_frozen = false;
            host.margin = SOUND_MARGIN;
        }
    }

    /// Puts another host in the place of one that has no process.
    pub fn replace_host(&mut self, host: usize) {
        if self.hosts[host].process.is_none() {
            self.hosts[host].name = Gateway::new_host_name();
            self.start_host(host);
        }
    }

    /// Takes the process of a host out of the fleet; awake, if it stood still.
    pub fn take(&mut self, host: usize) -> Option<Gateway> {
        self.note_defects(host);
        let host = &mut self.hosts[host];
        let process = host.process.take()?;
        if host.is_frozen {
            process.signal("CONT");
        }
        Some(process)
    }

    /// Changes a host's margin of retention and tells its process to read it.
    pub fn set_margin(&mut self, host: usize, margin: &'static str) {
        let host = &mut self.hosts[host];
        let Some(process) = &host.process else {
            return;
        };
        let line = |margin: &str| format!("retention_margin_ms = {margin}\n");
        process.change_settings(&line(host.margin), &line(margin));
        process.signal("HUP");
        host.margin = margin;
    }

    /// Freezes a host's process; returns its id.
    pub fn freeze(&mut self, host: usize) -> Option<u32> {
        let host = &mut self.hosts[host];
        let process = host.process.as_ref()?;
        process.signal("STOP");
        host.is_frozen = true;
        Some(process.id())
    }

    /// Wakes a host, if its process is still the one that was frozen.
    pub fn wake(&mut self, host: usize, id: u32) {
        let host = &mut self.hosts[host];
        if let Some(process) = host.process.as_ref().filter(|process| process.id() == id) {
            process.signal("CONT");
            host.is_frozen = false;
        }
    }

    /// Writes an endpoint's entry as its start of `born_ms` would.
    pub fn announce(&self, endpoint: usize, state: &str, born_ms: u64) {
        let relay = &self.endpoint_relays[endpoint];
        let endpoint = &self.site.endpoints[endpoint];
        let entry = json!({
            "service": endpoint.service, "address": relay.address().to_string(),
            "zone": "newport-hall", "version": "v1", "slots": 8, "state": state,
            "cold-left-ms": 0, "seq": 1, "born": born_ms,
        });
        self.site.store.put("servers", &endpoint.instance, &entry);
    }

    /// Deletes an endpoint's entry, as when it lapses.
    pub fn forget(&self, endpoint: usize) {
        let instance = &self.site.endpoints[endpoint].instance;
        self.site.store.delete("servers", instance);
    }

    /// Declares the routes anew, with another timeout.
    pub fn declare_routes(&mut self, timeout_ms: u64) {
        self.config_version += 3;
        let mut config = support::routes(self.config_version);
        for route in config["routes"].as_array_mut().unwrap() {
            route["timeout-ms"] = json!(timeout_ms);
        }
        self.site.store.put("op", "config", &config);
    }

    pub fn keep(&mut self, series: JoinHandle<()>) {
        self.series.push(series);
    }

    pub fn take_series(&mut self) -> Vec<JoinHandle<()>> {
        std::mem::take(&mut self.series)
    }

    /// Panics in processes, and processes that ended without being told to.
    pub fn defects(&mut self) -> Vec<String> {
        for host in 0..self.hosts.len() {
            self.note_defects(host);
        }
        self.defects.clone()
    }

    /// Notes what has panicked in a process that has left the fleet.
    pub fn note_panics(&mut self, process: &Gateway) {
        self.defects.extend(process.panics());
    }

    fn note_defects(&mut self, host: usize) {
        let host = &mut self.hosts[host];
        let Some(process) = &mut host.process else {
            return;
        };
        self.defects.extend(process.panics());
        if !process.is_running() {
            self.defects.push(format!("{} ended by itself", host.name));
        }
    }

    /// What the logs of all processes say of some programs or attempts, of all attempts
    /// of these programs, and of what became of the processes and their escrow slots, by
    /// time.
    pub fn trail(&self, ids: &[&str]) -> Vec<String> {
        let logs = self.logs.iter().map(|log| log.lock().unwrap().clone());
        let lines: Vec<String> = logs.flatten().collect();
        let mut named: BTreeSet<String> = ids.iter().map(ToString::to_string).collect();
        named.extend(PROCESS_EVENTS.map(str::to_owned));
        let attempts = lines.iter().filter(|line| names(line, &named));
        let attempts: Vec<String> = attempts.filter_map(|line| attempt_of(line)).collect();
        named.extend(attempts);
        let mut lines: Vec<String> = lines
            .into_iter()
            .filter(|line| names(line, &named))
            .collect();
        // Each line begins with its time.
        lines.sort();
        lines
    }

    /// Memory of all processes together.
    pub fn memory_mb(&self) -> u64 {
        let processes = self.hosts.iter().flat_map(|host| &host.process);
        processes.map(memory_kb).sum::<u64>() / 1_024
    }
}

/// Whether one of these is a value in a line of a log.
fn names(line: &str, values: &BTreeSet<String>) -> bool {
    let mut quoted = line.split('"');
    quoted.any(|text| values.contains(text))
}

/// The attempt that a line of a log is about.
fn attempt_of(line: &str) -> Option<String> {
    let fields: Value = serde_json::from_str(line).ok()?;
    Some(fields["attempt"].as_str()?.to_owned())
}

/// What an endpoint says of itself.
pub async fn report(endpoint: SocketAddr) -> Report {
    let answer = TestRequest::get("/report").send(endpoint).await;
    serde_json::from_str(&answer.body).unwrap()
}

/// What ran at all endpoints.
pub async fn all_runs(fleet: &Shared) -> Vec<Runs> {
    let mut runs = Vec::new();
    let count = fleet.borrow().endpoint_count();
    for endpoint in 0..count {
        let address = fleet.borrow().endpoint_address(endpoint);
        let answer = TestRequest::get("/runs").send(address).await;
        runs.push(serde_json::from_str(&answer.body).unwrap());
    }
    runs
}

/// Sets the faults of one door of the store.
pub async fn set_door_faults(fleet: &Shared, door: usize, faults: &StoreFaults) {
    let address = fleet.borrow().door_address(door);
    post(address, "/faults", &json!(faults)).await;
}

/// Sets the faults of one endpoint.
pub async fn set_endpoint_faults(fleet: &Shared, endpoint: usize, faults: &BackendFaults) {
    let address = fleet.borrow().endpoint_address(endpoint);
    post(address, "/faults", &json!(faults)).await;
}

/// Posts to a stand-in, which takes it at once.
pub async fn post(address: SocketAddr, path: &str, body: &Value) {
    let ask = TestRequest::new(http::Method::POST, path).body(&body.to_string());
    assert_eq!(ask.send(address).await.status, 200);
}

/// Resident memory of a process; none once it has ended.
fn memory_kb(process: &Gateway) -> u64 {
    let path = format!("/proc/{}/status", process.id());
    let status = std::fs::read_to_string(path).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.trim().strip_suffix(" kB"));
    number.map_or(0, |number| number.trim().parse().unwrap_or_default())
}
