//! A small deployment on loopback: the store's stand-in, endpoints, and gateway processes
//! that are started with the command of the deploy file.

use std::collections::BTreeSet;
use std::fs::File;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::client::{self, Request};

/// Names of the three availability zones of the smaller sites.
pub const ZONES: [&str; 3] = ["newport-hall", "harbour-hall", "portmore-hall"];

/// Returns a loopback address whose port was free a moment ago, a different one each time.
pub fn free_address() -> SocketAddr {
    static TAKEN: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());
    loop {
        let address = free_listener()
            .local_addr()
            .expect("a bound listener has an address");
        let mut taken = TAKEN.lock().expect("no holder of the lock panics");
        if taken.insert(address.port()) {
            return address;
        }
    }
}

/// Returns a listener on a free port.
pub fn free_listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("loopback has a free port")
}

/// A temporary folder, which is removed on drop.
pub struct TempFolder(pub PathBuf);

impl TempFolder {
    pub fn new(name: &str) -> io::Result<Self> {
        let path = std::env::temp_dir().join(format!("review-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path)?;
        Ok(Self(path))
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}

/// A host of the deployment, whose process can be killed and started again.
pub struct Host {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Host {
    /// Prepares a host. Its settings are those of `deploy/gateway.ini` for a machine of the
    /// site ccc-renewals.
    pub fn new(folder: &Path, name: &str, zone: &str, store: SocketAddr) -> io::Result<Self> {
        let [front, ready, metrics, relay] = [(); 4].map(|()| free_address());
        let settings = folder.join(format!("{name}.ini"));
        let text = format!(
            "[gateway]\nhost = {name}\navailability_zone = {zone}\nfront_listen = {front}\n\
             ready_listen = {ready}\nmetrics_listen = {metrics}\nrelay_listen = {relay}\n\
             processor_cores = 0.5\nstop_grace_s = 8\n\n[clients]\nmemory_mb = 130\n\
             max_descriptors = 8200\n\n[store]\naddress = {store}\nwrites_per_s = 800\n\
             row_bytes = 65536\n\n[customers]\nstrict_keys = no\n\n[log]\nlevel = info\n"
        );
        std::fs::write(&settings, text)?;
        Ok(Self {
            name: name.to_owned(),
            front,
            ready,
            settings,
            log: folder.join(format!("{name}.log")),
            child: None,
        })
    }

    /// Adds lines to the section of customers' limits.
    pub fn set_customers(&mut self, lines: &str) -> io::Result<()> {
        let text = std::fs::read_to_string(&self.settings)?;
        let text = text.replace("strict_keys = no\n", &format!("strict_keys = no\n{lines}"));
        std::fs::write(&self.settings, text)
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let program = root().join("target/release/rosebend-gateway");
        let child = Command::new(program)
            .arg("--platform")
            .env_clear()
            .env("ROSEBEND_BOOT", &self.settings)
            .current_dir(root())
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Kills the process, if it runs.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns the most memory that the process has held, in MB.
    pub fn peak_memory_mb(&self) -> u64 {
        let Some(child) = &self.child else { return 0 };
        let status = std::fs::read_to_string(format!("/proc/{}/status", child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmHWM:"));
        let kb = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
        kb.unwrap_or(0) / 1_000
    }

    /// Returns whether the host takes callers.
    pub async fn is_ready(&self) -> bool {
        let request = Request::get("/readyz", "balancer");
        let answer = client::send(self.ready, &request, Duration::from_millis(900)).await;
        answer.status == 200 && answer.is_complete
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until all hosts are ready. Returns false after the timeout.
pub async fn until_ready(hosts: &[Host], timeout: Duration) -> bool {
    let until = Instant::now() + timeout;
    for host in hosts {
        while !host.is_ready().await {
            if Instant::now() > until {
                return false;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
    true
}

/// Returns the root of the repository.
pub fn root() -> PathBuf {
    std::env::current_dir().expect("there is a current folder")
}

/// Returns the entry of an endpoint as it writes it with each heartbeat.
pub fn endpoint_entry(
    service: &str,
    address: SocketAddr,
    zone: &str,
    slots: u32,
    seq: u64,
) -> Value {
    json!({
        "service": service, "address": address.to_string(), "zone": zone, "version": "v1",
        "slots": slots, "state": "ready", "cold-left-ms": 0, "stage": "both",
        "models": [{"name": "m", "version": 1, "adapters": []}], "seq": seq,
    })
}

/// Returns the desired state, with the values that the pages show for the site ccc-renewals.
pub fn desired_state(version: u64) -> Value {
    let route =
        |name: &str, prefix: &str, kind: &str, timeout_ms: u64, slo_ms: u64, service: &str| {
            json!({
                "name": name, "host": "desk.example", "prefix": prefix, "kind": kind,
                "timeout-ms": timeout_ms, "slo-ms": slo_ms, "priority": 0, "service": service,
                "max-attempts": 2, "sticky": false, "resumable": false,
            })
        };
    let mut turns = route("turns", "/stream/", "streaming", 3000, 250, "models");
    turns["retain-history"] = json!(true);
    turns["retention-s"] = json!(60.0);
    turns["sticky"] = json!(true);
    turns["gap-slo-ms"] = json!(150);
    let mut archive = route("archive", "/archive/", "non_idempotent", 6000, 800, "desk");
    archive["max-attempts"] = json!(1);
    json!({
        "version": version,
        "routes": [turns, route("status", "/status/", "idempotent", 1500, 250, "desk"), archive],
        "services": [
            {"name": "models", "health-path": "/healthz", "max-conns": 130, "protocol": "h1",
             "tls": false, "engine": {"slots": 8, "kv-capacity-tokens": 90416,
             "kv-token-bytes": 18432, "link-mbps": 550000.0, "moves": true, "backups": true,
             "stride-tokens": 14, "most": 12, "pin-ms": 4000.0, "hold-ms": 2000.0,
             "handle_s": 5.0, "models": [{"name": "m"}]}},
            {"name": "desk", "health-path": "/healthz", "max-conns": 96, "protocol": "h1",
             "tls": false},
        ],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                   "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
    })
}
