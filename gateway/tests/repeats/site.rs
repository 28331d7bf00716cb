//! A site whose store, endpoints and gateways are separate processes. Endpoints crash at a
//! request whose path, headers or body contain [`CRASHING_BODY`] and are started again. Their records of
//! what they received outlast them.

use std::ffi::OsString;
use std::fs;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use http::Method;
use rosebend_standin::backend::{BackendFaults, Received, time_of_day_ms};
use rosebend_standin::store::StoreFaults;
use rosebend_state::deployment::{RowId, RowWrite, Transaction};
use rosebend_system_tests::binaries::Program;
use rosebend_system_tests::process::Process;
use rosebend_system_tests::relay::Relay;
use rosebend_system_tests::settings::free_address;
use rosebend_transport::clock::Clock;
use rosebend_transport::store::StoreClient;
use serde_json::{Value, json};
use tokio::io::AsyncReadExt;

use crate::support::{CRASHING_BODY, Gateway, TestRequest, TestResponse, routes, wait_until};

/// Time for which faults of hosts, links and the store may explain a repeat.
pub const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Number of crashes after which a request may hardly be sent any more.
const CRASHES: usize = 3;
/// Interval at which the processes of endpoints are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);
const STORE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after which the entry of an endpoint that no longer writes it is removed.
const ENTRY_TIMEOUT: Duration = Duration::from_millis(3_600);

/// How endpoints are reached, crash and come back.
#[derive(Clone, Copy, Debug)]
pub struct EndpointPlan {
    /// Number of endpoints.
    pub endpoints: usize,
    /// Whether a relay is in front of each endpoint, which accepts connections also while
    /// the endpoint is down.
    pub is_relayed: bool,
    /// Whether an endpoint comes back under the id that it had.
    pub keeps_id: bool,
    /// Time from a crash until the endpoint is started again.
    pub restart_delay: Duration,
    /// Whether the process stops at a crash, so that its connections stay open and silent. Its
    /// next start has another id and address, and its entry is removed later.
    pub crashes_silently: bool,
    /// Time from the beginning of a crashing request to the crash.
    pub crash_delay: Duration,
    /// Whether health checks are answered with 503 and without the id of the run.
    pub is_unhealthy: bool,
    /// Whether an endpoint that has crashed refuses all requests when it is back.
    pub refuses_when_back: bool,
    /// Number of requests that an endpoint that has crashed answers with 500 when it is back.
    pub errors_when_back: u64,
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
    /// Logs of hosts whose process was killed.
    past_logs: Vec<String>,
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
    /// Processes of earlier starts that were stopped. Dropping one kills it.
    stopped: Vec<Process>,
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
        for number in 0..plan.endpoints {
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
                stopped: Vec::new(),
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
            past_logs: Vec::new(),
        };
        for gateway in site.gateways.iter().flatten() {
            gateway.wait_until_ready().await;
            wait_until("the endpoints and another host are known", async || {
                let endpoints = gateway.metric("endpoints").await;
                endpoints >= plan.endpoints as u64 && gateway.metric("peers").await > 0
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

    /// Sends a request to a host and returns the answer.
    pub async fn answer(&self, host: usize, request: &TestRequest) -> TestResponse {
        match &self.gateways[host] {
            Some(gateway) => request.send(gateway.front).await,
            None => TestResponse::default(),
        }
    }

    /// Sends a request to a host from an address of the loopback range.
    pub async fn send_from(&self, address: Ipv4Addr, host: usize, request: &TestRequest) {
        if let Some(gateway) = &self.gateways[host] {
            let mut stream = request.write_from(address, gateway.front).await.unwrap();
            // The answer makes no difference, nor does an error.
            let _ = stream.read_to_end(&mut Vec::new()).await;
        }
    }

    /// Sends a request to a host and closes the connection after `time`.
    pub async fn send_and_leave(&self, host: usize, request: &TestRequest, time: Duration) {
        if let Some(gateway) = &self.gateways[host] {
            let stream = request.write_from(Ipv4Addr::LOCALHOST, gateway.front).await;
            actix_rt::time::sleep(time).await;
            drop(stream);
        }
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
        if let Some(gateway) = self.gateways[host].take() {
            self.past_logs.extend(gateway.log());
        }
    }

    /// Starts a process on a host and waits until it accepts callers.
    pub async fn start_host(&mut self, host: usize) {
        let gateway = Gateway::start(self.store_address);
        gateway.wait_until_ready().await;
        self.gateways[host] = Some(gateway);
    }

    /// Returns what endpoints received of the crashing request, in the order of time. They
    /// refused what they did not run.
    pub fn received(&self) -> Vec<Received> {
        let text = fs::read_to_string(&self.received).unwrap_or_default();
        let lines = text.lines().map(|line| serde_json::from_str(line).unwrap());
        let mut received: Vec<Received> = lines.filter(|line: &Received| line.crashes).collect();
        received.sort_by_key(|received| received.at_ms);
        received
    }

    /// Returns the runs of the crashing request at all endpoints, in their order.
    pub fn crashing_runs(&self) -> Vec<Received> {
        self.received()
            .into_iter()
            .filter(|line| line.runs)
            .collect()
    }

    /// Returns what endpoints received of the crashing request later than [`CONTACT_TIME`] after
    /// both its third crash and `calm_ms`, the last time at which the store or a host had a
    /// fault.
    pub fn late(&self, calm_ms: u64) -> Vec<Received> {
        let runs = self.crashing_runs();
        let Some(third) = runs.get(CRASHES - 1).map(|run| run.at_ms) else {
            return Vec::new();
        };
        let contact_ms = u64::try_from(CONTACT_TIME.as_millis()).unwrap();
        let from_ms = third.max(calm_ms) + contact_ms;
        let received = self.received().into_iter();
        received.filter(|line| line.at_ms > from_ms).collect()
    }

    /// Returns the attempts that endpoints received and of which no host's log tells the
    /// request, and by which decision it was sent if an endpoint ran it. Hosts whose process was
    /// killed may not have written their last lines.
    pub fn unexplained_attempts(&self) -> Vec<Received> {
        let gateways = self.gateways.iter().flatten();
        let mut lines = self.past_logs.clone();
        lines.extend(gateways.flat_map(Gateway::log));
        let is_explained = |received: &Received| {
            let attempt = format!("\"attempt\":\"{}\"", received.attempt);
            let mut of_attempt = lines.iter().filter(|line| line.contains(&attempt));
            of_attempt.any(|line| {
                let names_request = line.contains("\"content\":");
                names_request && (!received.runs || line.contains("\"admitted\":"))
            })
        };
        let received = self.received().into_iter();
        received.filter(|line| !is_explained(line)).collect()
    }

    /// Returns the lines of an attempt in the logs of all hosts.
    pub fn request_log(&self, attempt: &str) -> String {
        let gateways = self.gateways.iter().flatten();
        let lines = gateways.flat_map(Gateway::log);
        let of_attempt = lines.filter(|line| line.contains(attempt));
        of_attempt.collect::<Vec<String>>().join("\n")
    }

    /// Returns what hosts logged about crashes, for the message of a failed check.
    pub fn crash_log(&self) -> String {
        let gateways = self.gateways.iter().flatten();
        let lines = gateways.flat_map(Gateway::log).filter(|line| {
            let names = ["\"crash", "quarantined", "sent-again", "endpoint-failed"];
            names.iter().any(|name| line.contains(name))
        });
        lines.collect::<Vec<String>>().join("\n")
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
            while process.try_wait().unwrap().is_none() && !is_stopped(&process) {
                actix_rt::time::sleep(CHECK_INTERVAL).await;
            }
            if self.plan.crashes_silently {
                self.move_away(process);
            }
            actix_rt::time::sleep(self.plan.restart_delay).await;
        }
    }

    /// Lets the next start have another address. The stopped process keeps the present one, and
    /// its entry is removed after [`ENTRY_TIMEOUT`].
    fn move_away(&mut self, process: Process) {
        let (store_address, instance) = (self.store_address, self.instance());
        self.address = free_address().unwrap();
        actix_rt::spawn(async move {
            actix_rt::time::sleep(ENTRY_TIMEOUT).await;
            delete(store_address, "servers", &instance).await;
        });
        self.stopped.push(process);
    }

    /// Returns the id of the present start.
    fn instance(&self) -> String {
        match self.plan.keeps_id {
            true => format!("i-{}", self.number),
            false => format!("i-{}-{}", self.number, self.starts),
        }
    }

    /// Starts the endpoint's process and its writes of its entry.
    async fn start(&mut self) -> Process {
        self.starts += 1;
        let instance = self.instance();
        let address = self.address.to_string();
        let arguments = ["backend", "--listen", &address, "--instance", &instance];
        let mut arguments: Vec<OsString> = arguments.map(OsString::from).into();
        arguments.extend(["--crash-on", CRASHING_BODY, "--received"].map(OsString::from));
        arguments.push(self.received.clone().into());
        let delay_ms = self.plan.crash_delay.as_millis().to_string();
        arguments.extend(["--crash-delay-ms".into(), delay_ms.into()]);
        if self.plan.crashes_silently {
            arguments.push("--crash-silently".into());
        }
        if self.plan.is_unhealthy {
            arguments.push("--unhealthy".into());
        }
        let name = format!("endpoint-{}-{}", self.number, self.starts);
        let process = Process::start(&name, Program::StandIn, arguments, &self.directory).unwrap();
        wait_until("the endpoint listens", async || is_listening(&process)).await;
        if self.starts > 1 {
            let faults = BackendFaults {
                refuse: match self.plan.refuses_when_back {
                    true => u64::MAX,
                    false => 0,
                },
                errors: self.plan.errors_when_back,
                ..BackendFaults::default()
            };
            let request = TestRequest::new(Method::POST, "/faults");
            let request = request.body(&json!(faults).to_string());
            assert_eq!(request.send(self.address).await.status, 200);
        }
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

/// Returns whether a process was stopped by a signal.
fn is_stopped(process: &Process) -> bool {
    let stat = fs::read_to_string(format!("/proc/{}/stat", process.id()));
    // The state follows the name, which is in parentheses.
    stat.is_ok_and(|stat| {
        stat.rsplit(") ")
            .next()
            .is_some_and(|rest| rest.starts_with('T'))
    })
}

fn is_listening(process: &Process) -> bool {
    process.output().contains("listening")
}

/// Writes a row to the store, again until the store has accepted it.
async fn put(store: SocketAddr, table: &str, key: &str, value: &Value) {
    let write = RowWrite {
        row: RowId::new(table, "", key),
        value: value.to_string().into_bytes(),
    };
    let transaction = Transaction {
        writes: vec![write],
        ..Transaction::default()
    };
    transact(store, transaction).await;
}

/// Deletes a row from the store, again until the store has accepted it.
async fn delete(store: SocketAddr, table: &str, key: &str) {
    let transaction = Transaction {
        deletes: vec![RowId::new(table, "", key)],
        ..Transaction::default()
    };
    transact(store, transaction).await;
}

async fn transact(store: SocketAddr, transaction: Transaction) {
    let client = StoreClient::new(store, STORE_TIMEOUT, Clock::start());
    wait_until("the store accepts a row", async || {
        client.transact(&transaction).await.is_ok()
    })
    .await;
}
