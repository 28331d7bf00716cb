//! A whole cluster on loopback.

use std::{
    ffi::OsString,
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::ExitStatus,
    sync::atomic::{AtomicU32, Ordering},
    time::Duration,
};

use rosebend_protocol::table::rows_under;
use rosebend_standin::store::{StoreFaults, StoreStats};
use rosebend_state::deployment::Row;
use rosebend_state::id::ProgramId;
use rosebend_transport::clock::Clock;
use rosebend_transport::store::StoreClient;
use serde_json::{Value, json};

use crate::{
    binaries::Program,
    caller::{Caller, Reply},
    endpoint::{Endpoint, EndpointRole, set_faults},
    error::HarnessError,
    process::{Process, Signal},
    relay::Relay,
    settings::{Ini, free_address, token, write_tokens},
    wait::wait_until,
};

/// Availability zones of the cluster's hosts, in turn.
const ZONES: &[&str] = &["newport-hall", "harbour-hall", "portmore-hall"];
/// Names of the tools that the services serve.
const TOOLS: &[&str] = &["charge-fee", "send-letter", "lookup"];
/// Environment variable that keeps the files of clusters, to be looked at.
const KEEP_FILES: &str = "ROSEBEND_KEEP_FILES";
/// Looks without a change after which owners are steady, and the time between.
const STEADY_LOOKS: u32 = 60;
const STEADY_WAIT: Duration = Duration::from_millis(50);
/// Longest wait for one answer of the platform, in tests.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(10);

/// Sizes and speeds of a cluster.
#[derive(Clone, Debug)]
pub struct ClusterConfig {
    /// Number of entries.
    pub entries: usize,
    /// Number of engines.
    pub engines: usize,
    /// Number of plain services.
    pub services: usize,
    /// Further arguments of every engine.
    pub engine_arguments: Vec<String>,
    /// Further arguments of every service.
    pub service_arguments: Vec<String>,
    /// How long a silent owner keeps its shards.
    pub lease_ms: u64,
    /// Number of shards.
    pub shard_count: u32,
    /// Whether entries reach sidecars through relays.
    pub relay_sidecars: bool,
    /// Whether entries reach the platform through a relay.
    pub relay_platform: bool,
    /// Longest time for the body of a request to arrive.
    pub body_timeout_s: u64,
}

impl Default for ClusterConfig {
    fn default() -> Self {
        Self {
            entries: 3,
            engines: 2,
            services: 1,
            engine_arguments: vec!["--speed=4".into()],
            service_arguments: Vec::new(),
            lease_ms: 1500,
            shard_count: 16,
            relay_sidecars: false,
            relay_platform: false,
            body_timeout_s: 10,
        }
    }
}

/// An entry.
#[derive(Debug)]
pub struct Entry {
    /// The host's name.
    pub name: String,
    /// Where callers and operators are served.
    pub address: SocketAddr,
    /// Where other entries are served.
    pub peer_address: SocketAddr,
    /// The process.
    pub process: Process,
}

/// All processes of a cluster. They end with this value.
#[derive(Debug)]
pub struct Cluster {
    /// The entries.
    pub entries: Vec<Entry>,
    /// Engines first, then services.
    pub endpoints: Vec<Endpoint>,
    /// The platform.
    pub platform: Process,
    /// Where the platform listens.
    pub platform_address: SocketAddr,
    /// What entries connect to in the place of the platform, when relayed.
    pub platform_relay: Option<Relay>,
    config: ClusterConfig,
    // Last, so that processes end before their files are gone.
    directory: Directory,
}

/// A directory that is removed with this value.
#[derive(Debug)]
struct Directory(PathBuf);

impl Directory {
    fn new() -> Result<Self, HarnessError> {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let name = format!("rosebend-test-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path).map_err(HarnessError::io("a directory"))?;
        Ok(Self(path))
    }
}

impl Drop for Directory {
    fn drop(&mut self) {
        if std::env::var_os(KEEP_FILES).is_some() {
            eprintln!("files kept in {}", self.0.display());
            return;
        }
        // What cannot be removed is the system's to clean up.
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// What a row holds; null when that is no JSON.
pub fn row_json(row: &Row) -> Value {
    let value = row.value.as_deref().unwrap_or_default();
    serde_json::from_slice(value).unwrap_or_default()
}

impl Cluster {
    /// Starts a cluster, applies its resources, and waits until calls of the
    /// model and of a tool are taken.
    ///
    /// # Errors
    ///
    /// Fails when a process does not come up.
    pub async fn start(config: ClusterConfig) -> Result<Self, HarnessError> {
        let directory = Directory::new()?;
        let path = directory.0.as_path();
        let (platform, platform_address) = start_stand_in("platform", "store", &[], path).await?;
        let platform_relay = match config.relay_platform {
            true => Some(Relay::start(platform_address).map_err(HarnessError::io("a relay"))?),
            false => None,
        };
        let mut cluster = Self {
            entries: Vec::new(),
            endpoints: Vec::new(),
            platform,
            platform_address,
            platform_relay,
            config,
            directory,
        };
        if let Err(error) = cluster.bring_up().await {
            cluster.show_logs();
            return Err(error);
        }
        Ok(cluster)
    }

    /// The address of an entry, by number; numbers wrap around.
    pub fn entry(&self, number: usize) -> SocketAddr {
        self.entries[number % self.entries.len()].address
    }

    /// Where files for the cluster's processes can be written.
    pub fn directory(&self) -> &Path {
        &self.directory.0
    }

    /// The addresses of all entries, from the entry of a number on.
    pub fn entries_from(&self, number: usize) -> Vec<SocketAddr> {
        let numbers = number..number + self.entries.len();
        numbers.map(|number| self.entry(number)).collect()
    }

    /// A caller of the customer `caribmar` with an open program.
    ///
    /// # Errors
    ///
    /// Fails when the program cannot be opened.
    pub async fn program(&self, session: &str) -> Result<Caller, HarnessError> {
        let caller = Caller::new(token::CARIBMAR).session(session);
        let reply = caller.open(self.entry(0), 1_000_000).await?;
        reply.success("opening a program")?;
        Ok(caller)
    }

    /// The services' endpoints.
    pub fn services(&self) -> impl Iterator<Item = &Endpoint> {
        let endpoints = self.endpoints.iter();
        endpoints.filter(|endpoint| endpoint.role == EndpointRole::Service)
    }

    /// The engines' endpoints.
    pub fn engines(&self) -> impl Iterator<Item = &Endpoint> {
        let endpoints = self.endpoints.iter();
        endpoints.filter(|endpoint| endpoint.role == EndpointRole::Engine)
    }

    /// How often a business key had its effect, over all services.
    ///
    /// # Errors
    ///
    /// Fails when a service does not answer.
    pub async fn effects_of(&self, key: &str) -> Result<u64, HarnessError> {
        let mut total = 0;
        for service in self.services() {
            total += service.effects().await?.keys.get(key).unwrap_or(&0);
        }
        Ok(total)
    }

    /// How often engines ran the calls of a program.
    ///
    /// # Errors
    ///
    /// Fails when an engine does not answer.
    pub async fn runs_of(&self, session: &str) -> Result<u64, HarnessError> {
        let mut total = 0;
        for engine in self.engines() {
            let stats = engine.engine_stats().await?;
            let of_session = stats.runs.iter().filter(|(id, _)| id.contains(session));
            total += of_session.map(|(_, runs)| runs).sum::<u64>();
        }
        Ok(total)
    }

    /// Calls that are at a service and have not had their effect.
    ///
    /// # Errors
    ///
    /// Fails when a service does not answer.
    pub async fn open_effects(&self) -> Result<u64, HarnessError> {
        let mut total = 0;
        for service in self.services() {
            total += service.effects().await?.open;
        }
        Ok(total)
    }

    /// Changes the faults of the platform.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not take them.
    pub async fn set_platform_faults(&self, faults: &StoreFaults) -> Result<(), HarnessError> {
        let faults = serde_json::to_value(faults).expect("faults have a JSON form");
        set_faults(self.platform_address, &faults).await
    }

    /// What the platform has done.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not answer.
    pub async fn platform_stats(&self) -> Result<StoreStats, HarnessError> {
        let reply = Caller::new("").get(self.platform_address, "/stats").await?;
        reply.read()
    }

    /// The rows of the table under a prefix.
    ///
    /// # Errors
    ///
    /// Fails when the table does not answer.
    pub async fn rows(&self, prefix: &str) -> Result<Vec<Row>, HarnessError> {
        let address = self.platform_address;
        let client = StoreClient::new(address, PLATFORM_TIMEOUT, Clock::start());
        let rows = client.read(&rows_under(prefix)).await;
        rows.map(|rows| rows.rows)
            .map_err(|error| HarnessError::NoAnswer {
                what: format!("the rows under {prefix}"),
                detail: error.to_string(),
            })
    }

    /// The shard of a program.
    ///
    /// # Errors
    ///
    /// Fails when the names are not allowed.
    pub fn shard_of(&self, customer: &str, session: &str) -> Result<u32, HarnessError> {
        let program = ProgramId::new(customer, session);
        let program = program.map_err(|error| HarnessError::NoAnswer {
            what: format!("the shard of {customer}/{session}"),
            detail: error.to_string(),
        })?;
        Ok(program.shard(self.config.shard_count))
    }

    /// The number of the entry that owns a program, as the table says.
    ///
    /// # Errors
    ///
    /// Fails when no entry is the owner for too long.
    pub async fn owner_of(&self, customer: &str, session: &str) -> Result<usize, HarnessError> {
        let prefix = format!("shard/{:05}", self.shard_of(customer, session)?);
        wait_until("an owner", || async {
            let rows = self.rows(&prefix).await.ok()?;
            let owner = row_json(rows.first()?)["owner"].as_str()?.to_owned();
            self.entries.iter().position(|entry| entry.name == owner)
        })
        .await
    }

    /// Waits until no shard has changed its owner for longer than entries wait
    /// before they hand shards over.
    ///
    /// # Errors
    ///
    /// Fails when the table does not answer, or shards go on changing owners.
    pub async fn wait_for_steady_owners(&self) -> Result<(), HarnessError> {
        let mut before = Vec::new();
        let mut equal_looks = 0;
        for _ in 0..STEADY_LOOKS * 8 {
            let rows = self.rows("shard/").await?;
            let owners: Vec<Value> = rows
                .iter()
                .map(|row| row_json(row)["owner"].clone())
                .collect();
            equal_looks = if owners == before { equal_looks + 1 } else { 0 };
            before = owners;
            if equal_looks == STEADY_LOOKS {
                return Ok(());
            }
            actix_rt::time::sleep(STEADY_WAIT).await;
        }
        Err(HarnessError::Deadline("steady owners".to_owned()))
    }

    /// A number of an entry other than `number`.
    pub fn other_than(&self, number: usize) -> usize {
        (number + 1) % self.entries.len()
    }

    /// Accepts a resource, whatever stands there.
    ///
    /// # Errors
    ///
    /// Fails when it is not accepted.
    pub async fn apply(&self, kind: &str, name: &str, spec: Value) -> Result<(), HarnessError> {
        let operator = Caller::new(token::OPERATOR);
        let path = format!("/api/v1/{kind}/{name}");
        let found = operator.get(self.entry(0), &path).await?;
        let revision = found
            .json()
            .pointer("/metadata/changed_at_revision")
            .and_then(Value::as_u64);
        let reply = put_resource(
            &operator,
            self.entry(0),
            (kind, name),
            spec,
            revision.unwrap_or(0),
        );
        reply.await?.success(&path).map(|_| ())
    }

    /// Waits until every process says that it is ready.
    ///
    /// # Errors
    ///
    /// Fails when one ends, or is not ready for too long.
    pub async fn wait_ready(&mut self) -> Result<(), HarnessError> {
        for entry in &mut self.entries {
            wait_page(&mut entry.process, entry.address).await?;
        }
        for endpoint in &mut self.endpoints {
            wait_page(&mut endpoint.sidecar, endpoint.pages_address).await?;
        }
        Ok(())
    }

    /// Stops everything by SIGTERM, entries first, and returns how each
    /// process ended.
    ///
    /// # Errors
    ///
    /// Fails when a process runs on.
    pub async fn stop(mut self) -> Result<Vec<(String, ExitStatus)>, HarnessError> {
        let mut ends = Vec::new();
        let entries = self.entries.iter_mut().map(|entry| &mut entry.process);
        stop_all(entries, &mut ends).await?;
        let sidecars = self.endpoints.iter_mut().map(|e| &mut e.sidecar);
        stop_all(sidecars, &mut ends).await?;
        let stand_ins = self.endpoints.iter_mut().map(|e| &mut e.stand_in);
        stop_all(stand_ins.chain([&mut self.platform]), &mut ends).await?;
        Ok(ends)
    }

    /// Starts engines and services that crashed again, with these faults, and
    /// returns how many there were.
    ///
    /// # Errors
    ///
    /// Fails when one does not come up.
    pub async fn revive_stand_ins(&mut self, faults: &Value) -> Result<usize, HarnessError> {
        let mut revived = 0;
        for endpoint in &mut self.endpoints {
            if endpoint.stand_in.try_wait()?.is_some() {
                endpoint.stand_in.restart()?;
                wait_until("a stand-in to be back", || async {
                    set_faults(endpoint.stand_in_address, faults).await.ok()
                })
                .await?;
                revived += 1;
            }
        }
        Ok(revived)
    }

    /// Starts one more entry.
    ///
    /// # Errors
    ///
    /// Fails when it cannot be started.
    pub fn add_entry(&mut self, number: usize) -> Result<(), HarnessError> {
        let name = format!("entry-{}", number + 1);
        let address = free_address().map_err(HarnessError::io("a port"))?;
        let peer_address = free_address().map_err(HarnessError::io("a port"))?;
        let lease_ms = self.config.lease_ms;
        let platform = match &self.platform_relay {
            Some(relay) => relay.address(),
            None => self.platform_address,
        };
        let settings = Ini::default()
            .section("entry")
            .key("host", &name)
            .key("availability_zone", ZONES[number % ZONES.len()])
            .key("http_listen", address)
            .key("peer_listen", peer_address)
            .section("clients")
            .key("body_timeout_s", self.config.body_timeout_s)
            .section("platform")
            .key("address", platform)
            .section("timing")
            .key("lease_ms", lease_ms)
            .key("renew_ms", lease_ms / 4)
            .key("pause_limit_ms", lease_ms / 2)
            .key("config_poll_ms", 200)
            .key("status_poll_ms", 200)
            .section("cluster")
            .key("shard_count", self.config.shard_count);
        let process = self.start_configured(&name, Program::Entry, &settings)?;
        self.entries.push(Entry {
            name,
            address,
            peer_address,
            process,
        });
        Ok(())
    }

    async fn bring_up(&mut self) -> Result<(), HarnessError> {
        write_tokens(&self.directory.0)?;
        for number in 0..self.config.engines {
            self.add_endpoint(EndpointRole::Engine, number).await?;
        }
        for number in 0..self.config.services {
            self.add_endpoint(EndpointRole::Service, number).await?;
        }
        for number in 0..self.config.entries {
            self.add_entry(number)?;
        }
        self.wait_ready().await?;
        self.apply_resources().await?;
        self.wait_until_calls_are_taken().await
    }

    /// Writes the ends of all logs to standard error.
    fn show_logs(&self) {
        let entries = self.entries.iter().map(|entry| &entry.process);
        let sidecars = self.endpoints.iter().map(|endpoint| &endpoint.sidecar);
        for process in entries.chain(sidecars) {
            eprintln!("--- log of {}\n{}", process.name(), process.log_tail());
        }
    }

    async fn add_endpoint(
        &mut self,
        role: EndpointRole,
        number: usize,
    ) -> Result<(), HarnessError> {
        let (name, arguments) = match role {
            EndpointRole::Engine => ("agent-llm", &self.config.engine_arguments),
            EndpointRole::Service => ("desk-app", &self.config.service_arguments),
        };
        let name = format!("{name}-{}", number + 1);
        let directory = &self.directory.0;
        let stand_in_name = format!("{name}-stand-in");
        let (stand_in, stand_in_address) =
            start_stand_in(&stand_in_name, role.word(), arguments, directory).await?;
        let sidecar_address = free_address().map_err(HarnessError::io("a port"))?;
        let pages_address = free_address().map_err(HarnessError::io("a port"))?;
        let settings = Ini::default()
            .section("sidecar")
            .key("host", &name)
            .key("availability_zone", ZONES[number % ZONES.len()])
            .key("listen", sidecar_address)
            .key("metrics_listen", pages_address)
            .key("kind", role.word())
            .key("endpoint_url", format!("http://{stand_in_address}"))
            .section("clients")
            .key("body_timeout_s", self.config.body_timeout_s)
            .section("platform")
            .key("address", self.platform_address);
        let sidecar = self.start_configured(&name, Program::Sidecar, &settings)?;
        let relay = match self.config.relay_sidecars {
            true => Some(Relay::start(sidecar_address).map_err(HarnessError::io("a relay"))?),
            false => None,
        };
        self.endpoints.push(Endpoint {
            name,
            role,
            stand_in,
            stand_in_address,
            sidecar,
            sidecar_address,
            pages_address,
            relay,
        });
        Ok(())
    }

    fn start_configured(
        &self,
        name: &str,
        program: Program,
        settings: &Ini,
    ) -> Result<Process, HarnessError> {
        let directory = &self.directory.0;
        let settings = settings
            .clone()
            .section("auth")
            .key("tokens_file", directory.join("tokens").display());
        let path = settings.write(directory, &format!("{name}.ini"))?;
        let arguments = vec!["--config".into(), path.into()];
        Process::start(name, program, arguments, directory)
    }

    async fn apply_resources(&self) -> Result<(), HarnessError> {
        for customer in ["caribmar", "coastal-soft-water"] {
            let spec = json!({ "budget_ceiling_tokens": 10_000_000 });
            self.apply("customer", customer, spec).await?;
        }
        let sizes = json!({ "context_tokens": 32_768, "max_answer_tokens": 8192 });
        self.apply("model", "agent-llm", sizes).await?;
        for tool in TOOLS {
            let spec = json!({ "repeatable": *tool == "lookup" });
            self.apply("tool", tool, spec).await?;
        }
        for endpoint in &self.endpoints {
            let serves = match endpoint.role {
                EndpointRole::Engine => json!(["agent-llm"]),
                EndpointRole::Service => json!(TOOLS),
            };
            let spec = json!({
                "sidecar_address": endpoint.address_for_entries().to_string(),
                "availability_zone": ZONES[0],
                "kind": endpoint.role.word(),
                "serves": serves,
            });
            self.apply("endpoint", &endpoint.name, spec).await?;
        }
        Ok(())
    }

    /// Makes a call of the model and of a tool through each entry, until it is
    /// answered well. Before that an entry may not have the newest resources,
    /// or shards may have no owner yet.
    async fn wait_until_calls_are_taken(&self) -> Result<(), HarnessError> {
        let mut calls = Vec::new();
        if self.engines().next().is_some() {
            calls.push(crate::Call::model("ready?", 1));
        }
        if self.services().next().is_some() {
            calls.push(crate::Call::tool("lookup", "ready").repeatable());
        }
        for (number, entry) in self.entries.iter().enumerate() {
            let caller = Caller::new(token::CARIBMAR);
            let caller = caller.session(&format!("ready-{number}"));
            wait_until("a program to be opened", || async {
                let reply = caller.open(entry.address, 100_000).await.ok()?;
                reply.success("").ok()
            })
            .await?;
            for call in &calls {
                wait_until("a first call to be answered", || async {
                    let reply = caller.call(entry.address, call).await.ok()?;
                    reply.success("").ok()
                })
                .await?;
            }
        }
        Ok(())
    }
}

/// Sends a resource, conditional on the revision that the operator saw.
///
/// # Errors
///
/// Fails without an answer.
pub async fn put_resource(
    operator: &Caller,
    entry: SocketAddr,
    (kind, name): (&str, &str),
    spec: Value,
    revision: u64,
) -> Result<Reply, HarnessError> {
    let path = format!("/api/v1/{kind}/{name}?revision={revision}");
    let body = json!({ "kind": kind, "name": name, "spec": spec });
    operator.put(entry, &path, &body).await
}

async fn start_stand_in(
    name: &str,
    sub_command: &str,
    arguments: &[String],
    directory: &Path,
) -> Result<(Process, SocketAddr), HarnessError> {
    // A fixed port, so that a stand-in which crashed comes back where it was.
    let address = free_address().map_err(HarnessError::io("a port"))?;
    let mut all: Vec<OsString> = vec![sub_command.into(), format!("--listen={address}").into()];
    all.extend(arguments.iter().map(OsString::from));
    let mut process = Process::start(name, Program::StandIn, all, directory)?;
    let address = wait_until("a stand-in's address", || {
        let output = process.output();
        let first = output.split_once('\n').map(|(first, _)| first.to_owned());
        async move { first?.strip_prefix("listening on ")?.parse().ok() }
    })
    .await;
    process.check_running()?;
    Ok((process, address?))
}

/// Waits until `/readyz` answers well.
async fn wait_page(process: &mut Process, address: SocketAddr) -> Result<(), HarnessError> {
    let what = format!("{} to be ready", process.name());
    let ready = wait_until(&what, || {
        let ended = process.check_running().err();
        async move {
            if let Some(ended) = ended {
                return Some(Err(ended));
            }
            let reply = Caller::new(token::OPERATOR).get(address, "/readyz").await;
            reply.ok()?.success("").ok().map(|_| Ok(()))
        }
    });
    ready.await?
}

async fn stop_all<'a>(
    processes: impl Iterator<Item = &'a mut Process>,
    ends: &mut Vec<(String, ExitStatus)>,
) -> Result<(), HarnessError> {
    let processes: Vec<&mut Process> = processes.collect();
    for process in &processes {
        process.signal(Signal::Terminate)?;
    }
    for process in processes {
        ends.push((process.name().to_owned(), process.wait().await?));
    }
    Ok(())
}
