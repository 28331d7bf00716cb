//! A small deployment: the platform's store behind a proxy, endpoints of two services, and
//! gateways.

use std::collections::HashMap;
use std::fmt::Write as _;
use std::fs;
use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::http::{Request, Response};
use crate::process::{Launcher, Process};
use crate::random::Random;
use crate::record::Record;
use crate::store_proxy::StoreProxy;

/// Host name of all routes.
pub const HOST: &str = "desk.example";
/// Tokens of one event of a turn.
pub const TOKENS_PER_EVENT: u64 = 10;
/// Time for which a turn with history is kept.
pub const RETENTION: Duration = Duration::from_secs(60);

const STANDIN: &str = "target/release/rosebend-standin";
const GATEWAY: &str = "target/release/rosebend-gateway";
/// Interval between two writes of an endpoint's entry.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_200);
const READY_TIMEOUT: Duration = Duration::from_secs(20);
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
const RUNS_TIMEOUT: Duration = Duration::from_secs(20);

/// Availability zone of the endpoints.
pub const ZONE: &str = "newport-hall";

/// Routes and their limits, as the operator declares them.
#[derive(Clone, Copy, Debug)]
pub struct Routes {
    /// Longest time for which a turn is kept waiting.
    pub turn_timeout_ms: u64,
    /// Time within which a turn's first event is on time.
    pub objective_ms: u64,
    /// The second route for turns.
    pub other: OtherRoute,
}

/// The second route for turns, which keeps them, too.
#[derive(Clone, Copy, Debug)]
pub struct OtherRoute {
    /// Longest time for which a turn is kept waiting.
    pub timeout_ms: u64,
    /// Time for which turns are kept.
    pub retention: Duration,
}

/// A running deployment. All its processes end on drop.
#[derive(Debug)]
pub struct Site {
    /// Gateways, in the order in which clients try them.
    pub gateways: Vec<Gateway>,
    /// Proxy through which the gateways call the store.
    pub proxy: StoreProxy,
    endpoints: Vec<Endpoint>,
    routes: Routes,
    store_address: SocketAddr,
    is_stopping: Arc<AtomicBool>,
    heartbeats: Option<JoinHandle<()>>,
    _store: Process,
}

/// A gateway process.
#[derive(Debug)]
pub struct Gateway {
    /// Its process.
    pub process: Process,
    /// Address for callers.
    pub front: SocketAddr,
    /// Address for readiness checks.
    pub ready: SocketAddr,
    /// Address of its metrics page.
    pub metrics: SocketAddr,
    name: String,
    launcher: Launcher,
    settings: PathBuf,
}

#[derive(Debug)]
struct Endpoint {
    _process: Process,
    address: SocketAddr,
    instance: String,
    service: &'static str,
}

impl Site {
    /// Starts a deployment with a gateway in each of `zones`, which may repeat, and waits
    /// until all gateways are ready.
    ///
    /// # Errors
    ///
    /// Returns an error if a process can't be started or a gateway does not become ready.
    pub fn start(
        launcher: &Launcher,
        record: &Record,
        random: &Random,
        routes: Routes,
        zones: &[&str],
    ) -> io::Result<Self> {
        let arguments = ["store", "--listen", "127.0.0.1:0"];
        let (store, store_address) = launcher.start_listener(STANDIN, &arguments)?;
        let proxy = StoreProxy::start(store_address, Random::new(random.next()))?;
        let mut endpoints = Vec::new();
        let services = [
            "models", "models", "models", "models", "models", "models", "desk",
        ];
        for service in services {
            let instance = format!("i-{service}-{}", endpoints.len());
            let arguments = [
                "backend",
                "--listen",
                "127.0.0.1:0",
                "--instance",
                &instance,
            ];
            let (process, address) = launcher.start_listener(STANDIN, &arguments)?;
            endpoints.push(Endpoint {
                _process: process,
                address,
                instance,
                service,
            });
        }
        write_rows(store_address, &[("op", "config", &config(routes, 1))])?;
        announce(store_address, &endpoints, 1)?;
        let is_stopping = Arc::new(AtomicBool::new(false));
        let heartbeats = spawn_heartbeats(store_address, &endpoints, Arc::clone(&is_stopping));
        let mut gateways = Vec::new();
        for (index, zone) in zones.iter().enumerate() {
            let gateway = Gateway::start(launcher, random, index + 1, zone, proxy.address());
            gateways.push(gateway?);
        }
        let site = Self {
            gateways,
            proxy,
            endpoints,
            routes,
            store_address,
            is_stopping,
            heartbeats: Some(heartbeats),
            _store: store,
        };
        site.wait_until_ready()?;
        record.line("all gateways are ready");
        Ok(site)
    }

    /// Waits until all gateways are ready.
    ///
    /// # Errors
    ///
    /// Returns an error if one of them does not become ready.
    pub fn wait_until_ready(&self) -> io::Result<()> {
        let deadline = Instant::now() + READY_TIMEOUT;
        for gateway in &self.gateways {
            while !gateway.is_ready() {
                if Instant::now() > deadline {
                    return Err(io::Error::other(format!("{} is not ready", gateway.name)));
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        Ok(())
    }

    /// Declares the routes again, as another version, and returns once the store has
    /// acknowledged it.
    ///
    /// # Errors
    ///
    /// Returns an error if the store does not take the version.
    pub fn declare(&self, version: u64) -> io::Result<()> {
        let config = config(self.routes, version);
        write_rows(self.store_address, &[("op", "config", &config)])
    }

    /// Sets the number of events of each stream, and the pause after each of them.
    ///
    /// # Errors
    ///
    /// Returns an error if an endpoint does not take the setting.
    pub fn set_events(&self, events: u64, delay_ms: u64) -> io::Result<()> {
        let faults = format!("{{\"events\":{events},\"delay_ms\":{delay_ms}}}");
        for endpoint in &self.endpoints {
            let request = Request::new("POST", "/faults").body(faults.clone());
            check(&request.send(endpoint.address, CALL_TIMEOUT), "endpoint")?;
        }
        Ok(())
    }

    /// Returns how often the endpoints ran each attempt.
    ///
    /// # Errors
    ///
    /// Returns an error if an endpoint does not tell.
    pub fn run_counts(&self) -> io::Result<HashMap<String, u64>> {
        let mut counts = HashMap::new();
        for endpoint in &self.endpoints {
            let response = Request::new("GET", "/runs").send(endpoint.address, RUNS_TIMEOUT);
            check(&response, "endpoint")?;
            add_runs(&response.text(), &mut counts);
        }
        Ok(counts)
    }

    /// Writes the most memory that each gateway has used to the record.
    pub fn record_memory(&self, record: &Record) {
        for gateway in &self.gateways {
            let status = format!("/proc/{}/status", gateway.process.id());
            let status = fs::read_to_string(status).unwrap_or_default();
            let most = status.lines().find(|line| line.starts_with("VmHWM"));
            record.line(&format!("{}: {}", gateway.name, most.unwrap_or("ended")));
        }
    }

    /// Writes what the store has done to the record.
    pub fn record_store_stats(&self, record: &Record) {
        let response = Request::new("GET", "/stats").send(self.store_address, CALL_TIMEOUT);
        record.line(&format!("store: {}", response.text()));
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.is_stopping.store(true, Ordering::Relaxed);
        if let Some(heartbeats) = self.heartbeats.take() {
            // The thread has no result.
            let _ = heartbeats.join();
        }
    }
}

impl Gateway {
    fn start(
        launcher: &Launcher,
        random: &Random,
        number: usize,
        zone: &str,
        store: SocketAddr,
    ) -> io::Result<Self> {
        let name = format!("edge-a-{number}");
        let addresses = free_addresses(random, 4)?;
        let [front, ready, metrics, relay] = addresses[..] else {
            return Err(io::Error::other("no port is free"));
        };
        // `deploy/gateway.ini` as the platform fills it in.
        let settings = format!(
            "[gateway]\nhost = {name}\navailability_zone = {zone}\n\
             front_listen = {front}\nready_listen = {ready}\nmetrics_listen = {metrics}\n\
             relay_listen = {relay}\nprocessor_cores = 0.5\nstop_grace_s = 8\n\n\
             [store]\naddress = {store}\nwrites_per_s = 800\nrow_bytes = 65536\n\n\
             [customers]\nstrict_keys = no\n\n[log]\nlevel = info\n"
        );
        let path = launcher.work_folder().join(format!("{name}.ini"));
        fs::write(&path, settings)?;
        let process = start_process(launcher, &name, &path)?;
        Ok(Self {
            process,
            front,
            ready,
            metrics,
            name,
            launcher: launcher.clone(),
            settings: path,
        })
    }

    /// Starts a process on the host again after the previous one was killed.
    ///
    /// # Errors
    ///
    /// Returns an error if the process can't be started.
    pub fn restart(&mut self) -> io::Result<()> {
        self.process = start_process(&self.launcher, &self.name, &self.settings)?;
        Ok(())
    }

    /// Returns whether it takes callers.
    pub fn is_ready(&self) -> bool {
        let response = Request::new("GET", "/readyz").send(self.ready, CALL_TIMEOUT);
        response.status == 200
    }

    /// Returns its host name.
    pub fn name(&self) -> &str {
        &self.name
    }
}

fn start_process(launcher: &Launcher, name: &str, settings: &Path) -> io::Result<Process> {
    let settings = path_text(settings)?;
    launcher.start(
        name,
        GATEWAY,
        &["--platform"],
        &[("ROSEBEND_BOOT", settings)],
    )
}

fn path_text(path: &Path) -> io::Result<&str> {
    path.to_str()
        .ok_or_else(|| io::Error::other("the folder's name is no text"))
}

/// Returns loopback addresses that are free for TCP and UDP. Their ports are below those
/// that the system chooses for outgoing connections.
fn free_addresses(random: &Random, count: usize) -> io::Result<Vec<SocketAddr>> {
    let mut held = Vec::new();
    for _ in 0..1_000 {
        let port = 15_000 + (random.next() % 15_000) as u16;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if let (Ok(listener), Ok(_)) = (TcpListener::bind(address), UdpSocket::bind(address)) {
            held.push((listener, address));
        }
        if held.len() == count {
            return Ok(held.into_iter().map(|(_, address)| address).collect());
        }
    }
    Err(io::Error::other("no port is free"))
}

fn config(routes: Routes, version: u64) -> String {
    let route = |name: &str, prefix: &str, timeout_ms: u64, kind: &str, more: &str| {
        let service = match kind {
            "streaming" => "models",
            _ => "desk",
        };
        let objective_ms = routes.objective_ms;
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"prefix\":\"{prefix}\",\
             \"kind\":\"{kind}\",\"timeout-ms\":{timeout_ms},\"slo-ms\":{objective_ms},\
             \"priority\":0,\"service\":\"{service}\",\"max-attempts\":2,\
             \"sticky\":true{more}}}"
        )
    };
    let retention_s = RETENTION.as_secs();
    let kept = format!(",\"retain-history\":true,\"retention-s\":{retention_s}");
    let other = routes.other;
    let other_retention_s = other.retention.as_secs();
    let other_kept = format!(",\"retain-history\":true,\"retention-s\":{other_retention_s}");
    let turn_ms = routes.turn_timeout_ms;
    let routes = [
        route("chat", "/stream/", turn_ms, "streaming", &kept),
        route(
            "other-chat",
            "/other/stream/",
            other.timeout_ms,
            "streaming",
            &other_kept,
        ),
        route("draft", "/unkept/stream/", turn_ms, "streaming", ""),
        route("lookup", "/lookup/", turn_ms, "idempotent", ""),
        route("fee", "/fee/", turn_ms, "non_idempotent", ""),
    ];
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[\
         {{\"name\":\"models\",\"health-path\":\"/healthz\",\"max-conns\":170,\
         \"engine\":{{\"stride-tokens\":{TOKENS_PER_EVENT}}}}},\
         {{\"name\":\"desk\",\"health-path\":\"/healthz\",\"max-conns\":100}}],\
         \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\
         \"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}}}",
        routes.join(",")
    )
}

fn spawn_heartbeats(
    store: SocketAddr,
    endpoints: &[Endpoint],
    is_stopping: Arc<AtomicBool>,
) -> JoinHandle<()> {
    let entries: Vec<(SocketAddr, String, &'static str)> = endpoints
        .iter()
        .map(|endpoint| {
            (
                endpoint.address,
                endpoint.instance.clone(),
                endpoint.service,
            )
        })
        .collect();
    thread::spawn(move || {
        let mut sequence = 1;
        let mut next_at = Instant::now() + HEARTBEAT_INTERVAL;
        while !is_stopping.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(50));
            if Instant::now() >= next_at {
                next_at += HEARTBEAT_INTERVAL;
                sequence += 1;
                // The next heartbeat repeats what fails.
                let _ = announce_entries(store, &entries, sequence);
            }
        }
    })
}

fn announce(store: SocketAddr, endpoints: &[Endpoint], sequence: u64) -> io::Result<()> {
    let entries: Vec<(SocketAddr, String, &'static str)> = endpoints
        .iter()
        .map(|endpoint| {
            (
                endpoint.address,
                endpoint.instance.clone(),
                endpoint.service,
            )
        })
        .collect();
    announce_entries(store, &entries, sequence)
}

fn announce_entries(
    store: SocketAddr,
    entries: &[(SocketAddr, String, &'static str)],
    sequence: u64,
) -> io::Result<()> {
    for (address, instance, service) in entries {
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{ZONE}\",\
             \"version\":\"v1\",\"slots\":24,\"state\":\"ready\",\"cold-left-ms\":0,\
             \"seq\":{sequence}}}"
        );
        write_rows(store, &[("servers", instance, &entry)])?;
    }
    Ok(())
}

/// Writes rows as the operator and the endpoints do.
fn write_rows(store: SocketAddr, rows: &[(&str, &str, &str)]) -> io::Result<()> {
    let writes: Vec<String> = rows
        .iter()
        .map(|(table, key, value)| {
            let value = base64(value.as_bytes());
            format!(
                "{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",\"value\":\"{value}\"}}"
            )
        })
        .collect();
    let body = format!("{{\"set-keys\":[{}]}}", writes.join(","));
    let request = Request::new("POST", "/rows-tx").header("content-type", "application/json");
    check(&request.body(body).send(store, CALL_TIMEOUT), "store")
}

fn check(response: &Response, who: &str) -> io::Result<()> {
    match response.status {
        200 => Ok(()),
        status => Err(io::Error::other(format!("the {who} answered {status}"))),
    }
}

/// Adds the counts of an endpoint's page, an object of attempts.
fn add_runs(page: &str, counts: &mut HashMap<String, u64>) {
    const SEPARATOR: &str = "\":{\"count\":";
    for (position, _) in page.match_indices(SEPARATOR) {
        let attempt = page[..position].rsplit('"').next().unwrap_or_default();
        let digits = page[position + SEPARATOR.len()..].chars();
        let digits: String = digits.take_while(char::is_ascii_digit).collect();
        *counts.entry(attempt.to_owned()).or_default() += digits.parse().unwrap_or(0);
    }
}

fn base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut number = 0;
        for index in 0..3 {
            number = number << 8 | u32::from(group.get(index).copied().unwrap_or(0));
        }
        for index in 0..4 {
            let digit = ALPHABET[(number >> (18 - 6 * index) & 63) as usize];
            let is_padding = index > group.len();
            let _ = write!(text, "{}", if is_padding { '=' } else { char::from(digit) });
        }
    }
    text
}
