//! A host freezes for some seconds while another one, which commits turns through it, serves
//! turns with large inputs. The answers of these turns are then to end whole.

use std::collections::HashSet;
use std::error::Error;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::time::Duration;

use rosebend_coordination::gateway::batchers::{PeerHost, rank_hosts};
use rosebend_coordination::gateway::history::partition_of;
use rosebend_standin::backend::{Backend, BackendConfig, BackendFaults};
use rosebend_standin::store::Store;
use serde_json::Value;

use crate::client::{self, Kept, Request};
use crate::door::Door;
use crate::site::{self, Host, TempFolder, ZONES};

/// Bytes of the input of each turn. Gateways refuse more than 400,000.
const INPUT_BYTES: usize = 399_000;
/// Turns, and the time between two of them. A commit takes a few milliseconds.
const TURNS: usize = 100;
const INTERVAL: Duration = Duration::from_millis(50);
/// Number of turns that are sent before the host freezes, and how long it is frozen.
const TURNS_BEFORE: usize = 20;
const FROZEN_TIME: Duration = Duration::from_secs(4);
/// Time between two events of a stream, of which there are three.
const EVENT_INTERVAL_MS: u64 = 150;
/// Time that callers wait for the end of an answer; the route's timeout is 3,000.
const DEADLINE: Duration = Duration::from_millis(6_000);
/// Turns with a small input that are sent 12 s after the host has woken.
const LATER_TURNS: usize = 5;
/// Partition of all programs.
const PARTITION: &str = "p05";

pub async fn run(has_trouble: bool, record: &str) -> Result<bool, Box<dyn Error>> {
    let folder = TempFolder::new("large-inputs")?;
    let store = Store::default();
    let behind = store.open_door(site::free_listener())?;
    let door = Door::open(behind.address())?;
    store.put("op", "config", &site::desired_state(1));
    let received = folder.0.join("received.jsonl");
    let mut servers = Vec::new();
    for service in ["models", "desk"] {
        for (number, zone) in ZONES.iter().enumerate() {
            let id = format!("i-{service}-{number}");
            let config = BackendConfig {
                received: Some(received.clone()),
                ..BackendConfig::new(&id)
            };
            let server = Backend::start_with(site::free_listener(), config)?;
            let entry = site::endpoint_entry(service, server.address(), zone, 8, 1);
            store.put("servers", &id, &entry);
            if service == "models" {
                let faults = BackendFaults {
                    delay_ms: EVENT_INTERVAL_MS,
                    ..BackendFaults::default()
                };
                let body = serde_json::to_vec(&faults)?;
                let set = Request::post("/faults", "none", body);
                client::send(server.address(), &set, DEADLINE).await;
            }
            servers.push(server);
        }
    }
    let mut hosts = Vec::new();
    for number in 1..=2 {
        for zone in ZONES {
            let name = format!("edge-{zone}-{number}");
            hosts.push(Host::new(&folder.0, &name, zone, door.address)?);
        }
    }
    for host in &mut hosts {
        host.start()?;
    }
    if !site::until_ready(&hosts, Duration::from_secs(20)).await {
        return Err("the hosts did not become ready".into());
    }
    tokio::time::sleep(Duration::from_secs(6)).await;
    let frozen = batcher(&hosts);
    let serving = (frozen + 1) % hosts.len();
    let front = hosts[serving].front;

    let mut text = String::new();
    writeln!(text, "{} serves turns, {} freezes", hosts[serving].name, hosts[frozen].name)?;
    let mut kept = Vec::new();
    for number in 0..TURNS {
        kept.push(kept_channel(front, number).await?);
    }
    let mut programs = (0..).map(|number| format!("program-{number}"));
    let mut programs = programs.by_ref().filter(|program| partition_of(program) == PARTITION);
    let mut tasks = Vec::new();
    for (number, mut channel) in kept.into_iter().enumerate() {
        if has_trouble && number == TURNS_BEFORE {
            hosts[frozen].signal("STOP")?;
        }
        let program = programs.next().unwrap_or_default();
        let attempt = format!("turn-{number}");
        let request = turn(&attempt, &program, vec![b'x'; INPUT_BYTES]);
        tasks.push(actix_rt::spawn(async move {
            let answer = channel.send(&request, DEADLINE).await;
            (attempt, answer)
        }));
        tokio::time::sleep(INTERVAL).await;
    }
    tokio::time::sleep(FROZEN_TIME.saturating_sub(INTERVAL * (TURNS - TURNS_BEFORE) as u32)).await;
    if has_trouble {
        hosts[frozen].signal("CONT")?;
    }
    let mut answers = Vec::new();
    for task in tasks {
        answers.push(task.await?);
    }
    tokio::time::sleep(Duration::from_secs(12)).await;
    let mut later_served = 0;
    for number in 0..LATER_TURNS {
        let program = programs.next().unwrap_or_default();
        let request = turn(&format!("later-{number}"), &program, b"input".to_vec());
        let answer = client::send(front, &request, DEADLINE).await;
        later_served += usize::from(answer.is_served());
        writeln!(text, "later {number} status={} end={} ms={}", answer.status, answer.end, answer.took.as_millis())?;
    }

    let reached = reached(&std::fs::read_to_string(&received)?);
    let mut cut = 0;
    for (attempt, answer) in &answers {
        let is_cut = answer.end == "closed" && reached.contains(attempt);
        cut += usize::from(is_cut);
        writeln!(
            text,
            "{attempt} status={} end={} ms={} reached={}",
            answer.status,
            answer.end,
            answer.took.as_millis(),
            reached.contains(attempt)
        )?;
    }
    let served = answers.iter().filter(|(_, answer)| answer.is_served()).count();
    writeln!(text, "calls to the store over 1 MB: {}", door.oversize.get())?;
    writeln!(text, "small turns served 12 s later: {later_served} of {LATER_TURNS}")?;
    writeln!(text, "turns served: {served} of {TURNS}")?;
    writeln!(text, "channels closed without a whole answer: {cut}, at most 3 allowed")?;
    let holds = cut <= 3;
    writeln!(text, "LOST {}", if holds { "held" } else { "was broken" })?;
    std::fs::write(record, &text)?;
    println!("{}", text.lines().rev().take(5).collect::<Vec<_>>().join("\n"));
    Ok(holds)
}

/// Returns the index of the host that commits the turns of the partition for the others.
fn batcher(hosts: &[Host]) -> usize {
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
    rank_hosts(PARTITION, peers.iter())[0].address
}

/// Opens a channel and sends a first request on it, after which it is kept.
async fn kept_channel(front: SocketAddr, number: usize) -> Result<Kept, Box<dyn Error>> {
    let mut channel = Kept::open(front).await?;
    let attempt = format!("status-{number}");
    let request = Request::get(&format!("/status/{attempt}"), &attempt).header("Deadline-Ms", "1500");
    match channel.send(&request, DEADLINE).await.is_served() {
        true => Ok(channel),
        false => Err("a first request was not served".into()),
    }
}

fn turn(attempt: &str, program: &str, body: Vec<u8>) -> Request {
    Request::post("/stream/turn", attempt, body)
        .header("Program-Id", program)
        .header("Session-Id", program)
        .header("Program-Deadline-Ms", "40000")
        .header("Token-Budget", "100000")
        .header("Token-Counts", "60000,70")
        .header("Deadline-Ms", "6000")
}

/// Returns the attempts that a server began to run.
fn reached(lines: &str) -> HashSet<String> {
    let lines = lines.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok());
    let ran = lines.filter(|line| line["runs"] == true);
    ran.filter_map(|line| Some(line["attempt"].as_str()?.to_owned())).collect()
}
