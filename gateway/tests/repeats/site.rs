//! A site whose store, endpoints and gateways are separate processes. Endpoints crash at a
//! request whose body contains [`CRASHING_BODY`] and are started again. Their records of
//! what they received outlast them.

use std::ffi::OsString;
use std::fs;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use http::Method;
use rosebend_standin::backend::{Received, time_of_day_ms};
use rosebend_standin::store::StoreFaults;
use rosebend_state::deployment::{RowId, RowWrite, Transaction};
use rosebend_system_tests::binaries::Program;
use rosebend_system_tests::process::Process;
use rosebend_system_tests::relay::Relay;
use rosebend_system_tests::settings::free_address;
use rosebend_transport::clock::Clock;
use rosebend_transport::store::StoreClient;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpSocket;

use crate::support::{CRASHING_BODY, Gateway, TestRequest, routes, wait_until};

/// Time for which faults of hosts, links and the store may explain a repeat.
pub const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Number of crashes after which a request may hardly be sent any more.
const CRASHES: usize = 3;
/// Number of endpoints.
const ENDPOINTS: usize = 4;
/// Interval at which the processes of endpoints are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);
const STORE_TIMEOUT: Duration = Duration::from_secs(2);

/// How endpoints are reached and how they come back.
#[derive(Clone, Copy, Debug)]
pub struct EndpointPlan {
    /// Whether a relay is in front of each endpoint, which accepts connections also while
    /// the endpoint is down.
    pub is_relayed: bool,
    /// Whether an endpoint comes back under the id that it had.
    pub keeps_id: bool,
    /// Time from a crash until the endpoint is started again.
    pub restart_delay: Duration,
}

/// The processes of a site.
pub struct CrashSite {
    _store: Process,
    store_address: SocketAddr,
    /// Starts endpoints again that have ended, until it is aborted.
    supervisors: Vec<JoinHandle<()>>,
    /// File to which all endpoints append.
    received: PathBuf,
    /// Hosts by their position. One whose process was killed has none.
    pub gateways: Vec<Option<Gateway>>,
}

/// An endpoint and what each of its starts needs.
struct Endpoint {
    number: usize,
    plan: EndpointPlan,
    address: SocketAddr,
    relay: Option<Relay>,
    store_address: SocketAddr,
    /// Directory of the output of processes.
    directory: PathBuf,
    received: PathBuf,
    /// Number of starts so far.
    starts: u32,
}

impl CrashSite {
    /// Starts a site and waits until its hosts accept callers and know each other.
    pub async fn start(name: &str, hosts: usize, plan: EndpointPlan) -> Self {
        let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
        let directory = directory.join(format!("repeats-{name}-{}", std::process::id()));
        fs::create_dir_all(&directory).unwrap();
        let received = directory.join("received");
        // A run before may have had the same process id.
        let _ = fs::remove_file(&received);
        let store_address = free_address().unwrap();
        let arguments = ["store", "--listen", &store_address.to_string()].map(OsString::from);
        let store = Process::start("store", Program::StandIn, arguments.into(), &directory);
        let store = store.unwrap();
        wait_until("the store listens", async || is_listening(&store)).await;
        put(store_address, "op", "config", &routes(1)).await;
        let mut supervisors = Vec::new();
        for number in 0..ENDPOINTS {
            let address = free_address().unwrap();
            let endpoint = Endpoint {
                number,
                plan,
                address,
                relay: plan.is_relayed.then(|| Relay::start(address).unwrap()),
                store_address,
                directory: directory.clone(),
                received: received.clone(),
                starts: 0,
            };
            supervisors.push(actix_rt::spawn(endpoint.run()));
        }
        let gateways = (0..hosts).map(|_| Gateway::start(store_address));
        let site = Self {
            _store: store,
            store_address,
            supervisors,
            received,
            gateways: gateways.map(Some).collect(),
        };
        for gateway in site.gateways.iter().flatten() {
            gateway.wait_until_ready().await;
            wait_until("the endpoints and another host are known", async || {
                let endpoints = gateway.metric("endpoints").await;
                endpoints >= ENDPOINTS as u64 && gateway.metric("peers").await > 0
            })
            .await;
        }
        site
    }

    /// Sends the crashing request to the hosts in turn for some time, each time as another
    /// attempt on a new connection.
    pub async fn send_for(&self, time: Duration, request: impl Fn(&str) -> TestRequest) {
        let end = time_of_day_ms() + u64::try_from(time.as_millis()).unwrap();
        let mut host = 0;
        while time_of_day_ms() < end {
            host += 1;
            self.send_to(host % self.gateways.len(), &request).await;
            actix_rt::time::sleep(Duration::from_millis(60)).await;
        }
    }

    /// Sends the crashing request to a host and returns the status of the answer.
    pub async fn send_to(&self, host: usize, request: impl Fn(&str) -> TestRequest) -> u16 {
        let Some(gateway) = &self.gateways[host] else {
            return 0;
        };
        let attempt = format!("a{}-{host}", time_of_day_ms());
        request(&attempt).send(gateway.front).await.status
    }

    /// Sends the crashing call to a host from an address of the loopback range.
    pub async fn send_from(&self, address: Ipv4Addr, host: usize) {
        let Some(gateway) = &self.gateways[host] else {
            return;
        };
        let attempt = format!("a{}-{address}", time_of_day_ms());
        let length = CRASHING_BODY.len();
        let head = format!(
            "POST /fee/receipt HTTP/1.1\r\nhost: desk.example\r\nattempt-id: {attempt}\r\n\
             content-length: {length}\r\nconnection: close\r\n\r\n{CRASHING_BODY}"
        );
        let socket = TcpSocket::new_v4().unwrap();
        socket.bind(SocketAddr::from((address, 0))).unwrap();
        let mut stream = socket.connect(gateway.front).await.unwrap();
        stream.write_all(head.as_bytes()).await.unwrap();
        // The answer makes no difference, nor does an error.
        let _ = stream.read_to_end(&mut Vec::new()).await;
    }

    /// Waits until all endpoints run and each host has an answer of one of them.
    pub async fn wait_until_served(&self) {
        for gateway in self.gateways.iter().flatten() {
            wait_until("a host serves requests", async || {
                let attempt = format!("s{}", time_of_day_ms());
                let request = TestRequest::new(Method::POST, "/fee/receipt");
                let request = request.attempt(&attempt).body("harmless");
                request.send(gateway.front).await.status == 200
            })
            .await;
        }
    }

    /// Makes the store refuse all calls, or answer them again.
    pub async fn set_store_refuses(&self, refuse: bool) {
        let faults = StoreFaults {
            refuse,
            ..StoreFaults::default()
        };
        let request = TestRequest::new(Method::POST, "/faults").body(&json!(faults).to_string());
        assert_eq!(request.send(self.store_address).await.status, 200);
    }

    /// Kills the process of a host.
    pub fn kill(&mut self, host: usize) {
        self.gateways[host] = None;
    }

    /// Starts a process on a host and waits until it accepts callers.
    pub async fn start_host(&mut self, host: usize) {
        let gateway = Gateway::start(self.store_address);
        gateway.wait_until_ready().await;
        self.gateways[host] = Some(gateway);
    }

    /// Returns the runs of the crashing request at all endpoints, in their order.
    pub fn crashing_runs(&self) -> Vec<Received> {
        let text = fs::read_to_string(&self.received).unwrap_or_default();
        let lines = text.lines().map(|line| serde_json::from_str(line).unwrap());
        let mut received: Vec<Received> = lines
            .filter(|line: &Received| line.runs && line.body.contains(CRASHING_BODY))
            .collect();
        received.sort_by_key(|received| received.at_ms);
        received
    }

    /// Returns the runs of the crashing request that were later than [`CONTACT_TIME`] after
    /// both its third crash and `calm_ms`, the last time at which the store or a host had a
    /// fault.
    pub fn late_runs(&self, calm_ms: u64) -> Vec<Received> {
        let runs = self.crashing_runs();
        let Some(third) = runs.get(CRASHES - 1).map(|run| run.at_ms) else {
            return Vec::new();
        };
        let contact_ms = u64::try_from(CONTACT_TIME.as_millis()).unwrap();
        let from_ms = third.max(calm_ms) + contact_ms;
        runs.into_iter().filter(|run| run.at_ms > from_ms).collect()
    }

    /// Returns what hosts logged about crashes, for the message of a failed check.
    pub fn crash_log(&self) -> String {
        let gateways = self.gateways.iter().flatten();
        let lines = gateways.flat_map(Gateway::log).filter(|line| {
            line.contains("\"crash-") || line.contains("quarantined") || line.contains("sent-again")
        });
        lines.collect()
    }
}

impl Drop for CrashSite {
    fn drop(&mut self) {
        self.supervisors.iter().for_each(JoinHandle::abort);
    }
}

impl Endpoint {
    /// Starts the endpoint again each time that it ends. Never returns.
    async fn run(mut self) {
        loop {
            let mut process = self.start().await;
            while process.try_wait().unwrap().is_none() {
                actix_rt::time::sleep(CHECK_INTERVAL).await;
            }
            actix_rt::time::sleep(self.plan.restart_delay).await;
        }
    }

    /// Starts the endpoint's process and its writes of its entry.
    async fn start(&mut self) -> Process {
        let number = self.number;
        let instance = match self.plan.keeps_id {
            true => format!("i-{number}"),
            false => format!("i-{number}-{}", self.starts),
        };
        let address = self.address.to_string();
        let arguments = ["backend", "--listen", &address, "--instance", &instance];
        let mut arguments: Vec<OsString> = arguments.map(OsString::from).into();
        arguments.extend(["--crash-on", CRASHING_BODY, "--received"].map(OsString::from));
        arguments.push(self.received.clone().into());
        let name = format!("endpoint-{number}-{}", self.starts);
        self.starts += 1;
        let process = Process::start(&name, Program::StandIn, arguments, &self.directory).unwrap();
        wait_until("the endpoint listens", async || is_listening(&process)).await;
        let relay = self.relay.as_ref().map(Relay::address);
        let entry = json!({
            "service": "desk", "address": relay.unwrap_or(self.address).to_string(),
            "zone": "newport-hall", "version": "v1", "slots": 8, "state": "ready",
            "cold-left-ms": 0, "seq": 1, "born": time_of_day_ms(),
        });
        let store_address = self.store_address;
        actix_rt::spawn(async move { put(store_address, "servers", &instance, &entry).await });
        process
    }
}

fn is_listening(process: &Process) -> bool {
    process.output().contains("listening")
}

/// Writes a row to the store, again until the store has accepted it.
async fn put(store: SocketAddr, table: &str, key: &str, value: &Value) {
    let client = StoreClient::new(store, STORE_TIMEOUT, Clock::start());
    let transaction = Transaction {
        writes: vec![RowWrite {
            row: RowId::new(table, "", key),
            value: value.to_string().into_bytes(),
        }],
        ..Transaction::default()
    };
    wait_until("the store accepts a row", async || {
        client.transact(&transaction).await.is_ok()
    })
    .await;
}
