//! The process that allocates a customer's limit is killed while the customer sends more than
//! its limit allows. The requests that run in any window are then to stay within the limit.

use std::collections::{BTreeMap, HashMap};
use std::error::Error;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rosebend_coordination::gateway::batchers::{PeerHost, rank_hosts};
use rosebend_coordination::gateway::limits::group_of;
use rosebend_standin::backend::{Backend, BackendConfig};
use rosebend_standin::store::Store;
use serde_json::{Value, json};

use crate::client::{self, Request};
use crate::site::{self, Host, TempFolder, ZONES};

/// Limit of the customer, in requests a second, and its burst.
const RATE: u64 = 20;
const BURST: u64 = 40;
/// Requests a second that the customer usually sends, and for how long before the rush.
const USUAL_RATE: u64 = 15;
const USUAL_TIME: Duration = Duration::from_secs(20);
/// Requests a second of the rush: 7.5 times the usual.
const RUSH_RATE: u64 = 112;
const RUSH_TIME: Duration = Duration::from_secs(12);
/// When the process is killed, from the start of the rush, and for how long its machine is dark.
const KILLED_AT: Duration = Duration::from_millis(1_000);
const DARK_TIME: Duration = Duration::from_millis(3_500);
/// Bounds of the site.
const WINDOW_MS: u64 = 5_000;
const OVERAGE: f64 = 0.1;
const SLACK: f64 = 20.0;
/// Hosts of each availability zone.
const HOSTS_PER_ZONE: usize = 6;
const CUSTOMER: &str = "crew";
const KEY: &str = "crew-key-000001";

pub async fn run(has_trouble: bool, record: &str) -> Result<bool, Box<dyn Error>> {
    let folder = TempFolder::new("quota")?;
    let store = Store::default();
    let door = store.open_door(site::free_listener())?;
    let mut state = site::desired_state(1);
    state["tenants"] = json!([
        {"name": CUSTOMER, "api-keys": [KEY], "priority": 1, "rate-per-s": RATE, "burst": BURST}
    ]);
    store.put("op", "config", &state);
    let received = folder.0.join("received.jsonl");
    let mut servers = Vec::new();
    for (number, zone) in ZONES.iter().enumerate() {
        let id = format!("i-desk-{number}");
        let config = BackendConfig {
            received: Some(received.clone()),
            ..BackendConfig::new(&id)
        };
        let server = Backend::start_with(site::free_listener(), config)?;
        let entry = site::endpoint_entry("desk", server.address(), zone, 6, 1);
        store.put("servers", &id, &entry);
        servers.push(server);
    }
    let mut hosts = Vec::new();
    for number in 0..ZONES.len() * HOSTS_PER_ZONE {
        let zone = ZONES[number % ZONES.len()];
        let mut host = Host::new(
            &folder.0,
            &format!("edge-{zone}-{number}"),
            zone,
            door.address(),
        )?;
        host.set_customers("limit_window_s = 5\nlimit_overage = 0.1\nlimit_slack = 20\n")?;
        hosts.push(host);
    }
    for host in &mut hosts {
        host.start()?;
    }
    if !site::until_ready(&hosts, Duration::from_secs(20)).await {
        return Err("the hosts did not become ready".into());
    }
    tokio::time::sleep(Duration::from_secs(5)).await;
    let allocator = allocator(&hosts);
    let fronts: Vec<SocketAddr> = hosts.iter().map(|host| host.front).collect();

    let mut load = Load::new(fronts);
    load.send(USUAL_RATE, USUAL_TIME).await;
    load.send(RUSH_RATE, KILLED_AT).await;
    if has_trouble {
        hosts[allocator].kill();
    }
    load.send(RUSH_RATE, DARK_TIME).await;
    if has_trouble {
        hosts[allocator].start()?;
    }
    load.send(RUSH_RATE, RUSH_TIME - KILLED_AT - DARK_TIME)
        .await;

    let mut text = String::new();
    let sent = load.finish(&mut text).await;
    writeln!(text, "the limit's allocator: {}", hosts[allocator].name)?;
    let ran = ran(&std::fs::read_to_string(&received)?);
    for (attempt, at_ms) in &ran {
        writeln!(text, "ran attempt={attempt} at_ms={at_ms}")?;
    }
    let allowed = (RATE * WINDOW_MS / 1_000 + BURST) as f64 * (1.0 + OVERAGE) + SLACK;
    let (most, from_ms) = most_in_window(&sent, &ran);
    writeln!(
        text,
        "most requests in a window: {most} from at_ms={from_ms}, allowed {allowed:.1}"
    )?;
    let holds = most as f64 <= allowed;
    writeln!(text, "QUOTA {}", if holds { "held" } else { "was broken" })?;
    std::fs::write(record, &text)?;
    println!(
        "{}",
        text.lines().rev().take(2).collect::<Vec<_>>().join("\n")
    );
    Ok(holds)
}

/// Returns the index of the host that allocates the customer's limit.
fn allocator(hosts: &[Host]) -> usize {
    let peers: Vec<PeerHost<usize>> = hosts
        .iter()
        .enumerate()
        .map(|(index, host)| PeerHost {
            host: host.name.clone(),
            process: String::new(),
            address: index,
            processor_milli: 500,
        })
        .collect();
    rank_hosts(&format!("limits/{}", group_of(CUSTOMER)), peers.iter())[0].address
}

fn now_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}

/// Sends requests of the customer to the hosts in turn.
struct Load {
    fronts: Vec<SocketAddr>,
    number: usize,
    tasks: Vec<tokio::task::JoinHandle<(String, u64, u16)>>,
}

impl Load {
    fn new(fronts: Vec<SocketAddr>) -> Self {
        Self {
            fronts,
            number: 0,
            tasks: Vec::new(),
        }
    }

    async fn send(&mut self, rate: u64, time: Duration) {
        let until = tokio::time::Instant::now() + time;
        let mut at = tokio::time::Instant::now();
        while at < until {
            tokio::time::sleep_until(at).await;
            let attempt = format!("q-{}", self.number);
            let front = self.fronts[self.number % self.fronts.len()];
            self.number += 1;
            self.tasks.push(actix_rt::spawn(async move {
                let request = Request::get(&format!("/status/{attempt}"), &attempt)
                    .header("Authorization", &format!("Bearer {KEY}"))
                    .header("Deadline-Ms", "1500");
                let sent_ms = now_ms();
                let answer = client::send(front, &request, Duration::from_secs(2)).await;
                (attempt, sent_ms, answer.status)
            }));
            at += Duration::from_micros(1_000_000 / rate);
        }
    }

    async fn finish(self, text: &mut String) -> HashMap<String, u64> {
        let mut sent = HashMap::new();
        for task in self.tasks {
            if let Ok((attempt, sent_ms, status)) = task.await {
                let _ = writeln!(
                    text,
                    "sent attempt={attempt} at_ms={sent_ms} status={status}"
                );
                sent.insert(attempt, sent_ms);
            }
        }
        sent
    }
}

/// Returns the attempts that ran, with the time at which they arrived at a server.
fn ran(lines: &str) -> BTreeMap<String, u64> {
    let lines = lines
        .lines()
        .filter_map(|line| serde_json::from_str::<Value>(line).ok());
    let ran = lines.filter(|line| line["runs"] == true);
    ran.filter_map(|line| {
        Some((
            line["attempt"].as_str()?.to_owned(),
            line["at_ms"].as_u64()?,
        ))
    })
    .collect()
}

/// Returns the most requests that were sent and arrived within one window, and its start.
fn most_in_window(sent: &HashMap<String, u64>, ran: &BTreeMap<String, u64>) -> (usize, u64) {
    let requests: Vec<(u64, u64)> = ran
        .iter()
        .filter_map(|(attempt, at_ms)| Some((*sent.get(attempt)?, *at_ms)))
        .collect();
    let count = |from_ms: u64| {
        let is_within =
            |(sent_ms, at_ms): &&(u64, u64)| *sent_ms >= from_ms && *at_ms <= from_ms + WINDOW_MS;
        requests.iter().filter(is_within).count()
    };
    let counts = requests
        .iter()
        .map(|(sent_ms, _)| (count(*sent_ms), *sent_ms));
    counts.max().unwrap_or((0, 0))
}
