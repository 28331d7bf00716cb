//! Half of the hosts are lost for good. Turns that continue from turns which were answered
//! whole are then to reach a server, whichever customer they belong to.

use std::collections::HashSet;
use std::error::Error;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::time::Duration;

use rosebend_standin::backend::{Backend, BackendConfig};
use rosebend_standin::store::Store;
use serde_json::{Value, json};

use crate::client::{self, Request};
use crate::site::{self, Host, TempFolder, ZONES};

/// Hosts of each availability zone, and those of them that are lost.
const HOSTS_PER_ZONE: usize = 4;
const LOST_PER_ZONE: usize = 2;
/// Customers, as on the site's sheet, and the limit of each.
const CUSTOMERS: usize = 72;
const RATE: u64 = 20;
const BURST: u64 = 40;
/// Tries of a turn: two attempts of each of three sends.
const TRIES: usize = 6;
const DEADLINE: Duration = Duration::from_millis(3_000);
/// Time from the loss to the turns that are counted; `contact-ms` is 4,000 on this site.
const SETTLE_TIME: Duration = Duration::from_secs(10);

/// A turn and how its tries ended.
struct Turn {
    customer: usize,
    attempts: Vec<(String, u16)>,
    is_served: bool,
}

pub async fn run(has_trouble: bool, record: &str) -> Result<bool, Box<dyn Error>> {
    let folder = TempFolder::new("lost-hosts")?;
    let store = Store::default();
    let door = store.open_door(site::free_listener())?;
    let mut state = site::desired_state(1);
    let customers = (0..CUSTOMERS).map(|number| {
        json!({"name": name(number), "api-keys": [key(number)], "priority": 1,
               "rate-per-s": RATE, "burst": BURST})
    });
    state["tenants"] = Value::Array(customers.collect());
    store.put("op", "config", &state);
    let received = folder.0.join("received.jsonl");
    let mut servers = Vec::new();
    for (number, zone) in ZONES.iter().enumerate() {
        let id = format!("i-models-{number}");
        let config = BackendConfig {
            received: Some(received.clone()),
            ..BackendConfig::new(&id)
        };
        let server = Backend::start_with(site::free_listener(), config)?;
        let entry = site::endpoint_entry("models", server.address(), zone, 8, 1);
        store.put("servers", &id, &entry);
        servers.push(server);
    }
    let mut hosts = Vec::new();
    for number in 1..=HOSTS_PER_ZONE {
        for zone in ZONES {
            let mut host = Host::new(
                &folder.0,
                &format!("edge-{zone}-{number}"),
                zone,
                door.address(),
            )?;
            host.set_customers("limit_window_s = 5\nlimit_overage = 0.1\nlimit_slack = 20\n")?;
            hosts.push(host);
        }
    }
    for host in &mut hosts {
        host.start()?;
    }
    if !site::until_ready(&hosts, Duration::from_secs(40)).await {
        return Err("the hosts did not become ready".into());
    }
    tokio::time::sleep(Duration::from_secs(5)).await;

    let mut text = String::new();
    let kept = ZONES.len() * (HOSTS_PER_ZONE - LOST_PER_ZONE);
    let fronts: Vec<SocketAddr> = hosts[..kept].iter().map(|host| host.front).collect();
    let first = turns("first", None, &fronts).await;
    note(&mut text, "before", &first);
    if first.iter().any(|turn| !turn.is_served) {
        return Err("a first turn was not served before the loss".into());
    }
    if has_trouble {
        for host in &mut hosts[kept..] {
            writeln!(text, "lost for good: {}", host.name)?;
            host.kill();
        }
    }
    tokio::time::sleep(SETTLE_TIME).await;
    let continued = turns("next", Some("first"), &fronts).await;
    note(&mut text, "continued", &continued);
    let others = turns("other", None, &fronts).await;
    note(&mut text, "new", &others);

    let reached = reached(&std::fs::read_to_string(&received)?);
    let reaches = |turn: &&Turn| {
        turn.attempts
            .iter()
            .any(|(attempt, _)| reached.contains(attempt))
    };
    let lost: Vec<&Turn> = continued
        .iter()
        .filter(|turn| turn.attempts.len() >= 5 && !reaches(turn))
        .collect();
    let new = others.iter().filter(reaches).count();
    let lost_names: Vec<String> = lost.iter().map(|turn| name(turn.customer)).collect();
    writeln!(
        text,
        "customers whose turn reached no server in {TRIES} tries: {lost_names:?}"
    )?;
    writeln!(
        text,
        "first turns that reached a server meanwhile: {new} of {CUSTOMERS}"
    )?;
    writeln!(text, "turns lost: {} of {CUSTOMERS}", lost.len())?;
    let holds = lost.is_empty() || new * 10 < CUSTOMERS * 9;
    writeln!(text, "LOST {}", if holds { "held" } else { "was broken" })?;
    std::fs::write(record, &text)?;
    println!(
        "{}",
        text.lines().rev().take(4).collect::<Vec<_>>().join("\n")
    );
    Ok(holds)
}

fn name(customer: usize) -> String {
    format!("tenant-{customer}")
}

fn key(customer: usize) -> String {
    format!("key-of-tenant-{customer}")
}

/// Sends a turn of a program of each customer, all within three seconds.
async fn turns(
    phase: &'static str,
    previous: Option<&'static str>,
    fronts: &[SocketAddr],
) -> Vec<Turn> {
    let mut tasks = Vec::new();
    for customer in 0..CUSTOMERS {
        let fronts = fronts.to_vec();
        tasks.push(actix_rt::spawn(turn(phase, previous, customer, fronts)));
        tokio::time::sleep(Duration::from_millis(40)).await;
    }
    let mut turns = Vec::new();
    for task in tasks {
        turns.extend(task.await.ok());
    }
    turns
}

/// Sends one turn until it is served, at another host with each try. Waits as it is told to, at
/// most a third of the time that is left.
async fn turn(
    phase: &'static str,
    previous: Option<&'static str>,
    customer: usize,
    fronts: Vec<SocketAddr>,
) -> Turn {
    let program = match previous {
        Some(_) | None if phase != "other" => format!("p{customer}"),
        _ => format!("o{customer}"),
    };
    let mut turn = Turn {
        customer,
        attempts: Vec::new(),
        is_served: false,
    };
    for index in 0..TRIES {
        let attempt = format!("{phase}-{customer}-{index}");
        let mut request = Request::post("/stream/turn", &attempt, b"input".to_vec())
            .header("Authorization", &format!("Bearer {}", key(customer)))
            .header("Program-Id", &program)
            .header("Session-Id", &program)
            .header("Program-Deadline-Ms", "30000")
            .header("Token-Budget", "10000")
            .header("Token-Counts", "654,70")
            .header("Deadline-Ms", "3000");
        if let Some(previous) = previous {
            // The first try of the turn before was served.
            request = request.header("Previous-Turn", &format!("{previous}-{customer}-0"));
        }
        let front = fronts[(customer + index) % fronts.len()];
        let answer = client::send(front, &request, DEADLINE + Duration::from_secs(1)).await;
        turn.attempts.push((attempt, answer.status));
        turn.is_served = answer.is_served();
        if turn.is_served || (phase == "first" && index == 0) {
            break;
        }
        let told = answer
            .header("retry-after")
            .and_then(|text| text.parse().ok());
        let wait = Duration::from_secs_f64(told.unwrap_or(0.25)).min(DEADLINE / 3);
        tokio::time::sleep(wait).await;
    }
    turn
}

fn note(text: &mut String, phase: &str, turns: &[Turn]) {
    for turn in turns {
        let tries: Vec<String> = turn
            .attempts
            .iter()
            .map(|(attempt, status)| format!("{attempt}={status}"))
            .collect();
        let _ = writeln!(text, "{phase} {} {}", name(turn.customer), tries.join(" "));
    }
}

/// Returns the attempts that reached a server.
fn reached(lines: &str) -> HashSet<String> {
    let lines = lines
        .lines()
        .filter_map(|line| serde_json::from_str::<Value>(line).ok());
    lines
        .filter_map(|line| Some(line["attempt"].as_str()?.to_owned()))
        .collect()
}
