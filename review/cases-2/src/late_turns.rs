//! Callers continue their programs later than turns are kept, and are served. After a final
//! fault new programs continue from these turns, which are then to reach a server.

use std::collections::HashSet;
use std::error::Error;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rosebend_standin::backend::{Backend, BackendConfig};
use rosebend_standin::store::Store;
use serde_json::{Value, json};

use crate::client::{self, Answer, Request};
use crate::site::{self, Host, TempFolder, ZONES};

/// Time for which operators have turns kept.
const RETENTION: Duration = Duration::from_secs(40);
/// Time from the first turn of a program to its second.
const PAUSE: Duration = Duration::from_secs(60);
const PROGRAMS: usize = 12;
/// Tries of a turn: two attempts of each of three sends.
const TRIES: usize = 6;
const TRY_INTERVAL: Duration = Duration::from_millis(1_800);
const DEADLINE: Duration = Duration::from_millis(3_000);
/// `recovery-s` of the site.
const RECOVERY: Duration = Duration::from_secs(12);
/// Other turns, which are sent in the last 4 s of the recovery.
const OTHERS: usize = 40;

pub async fn run(has_trouble: bool, record: &str) -> Result<bool, Box<dyn Error>> {
    let folder = TempFolder::new("late-turns")?;
    let store = Store::default();
    let door = store.open_door(site::free_listener())?;
    let mut state = site::desired_state(1);
    state["routes"][0]["retention-s"] = json!(RETENTION.as_secs_f64());
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
    for number in 1..=2 {
        for zone in ZONES {
            hosts.push(Host::new(
                &folder.0,
                &format!("edge-{zone}-{number}"),
                zone,
                door.address(),
            )?);
        }
    }
    for host in &mut hosts {
        host.start()?;
    }
    if !site::until_ready(&hosts, Duration::from_secs(20)).await {
        return Err("the hosts did not become ready".into());
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
    let fronts: Vec<SocketAddr> = hosts.iter().map(|host| host.front).collect();
    let mut text = String::new();

    let started = Instant::now();
    for (phase, previous) in [("first", None), ("second", Some("first"))] {
        for number in 0..PROGRAMS {
            let previous = previous.map(|previous: &str| format!("{previous}-{number}"));
            let attempt = format!("{phase}-{number}");
            let request = turn(&attempt, &format!("p-{number}"), previous.as_deref());
            let answer = client::send(fronts[number % fronts.len()], &request, DEADLINE).await;
            note(&mut text, started, &attempt, &answer);
            if !answer.is_served() {
                return Err(format!("the turn {attempt} was answered {}", answer.status).into());
            }
        }
        if phase == "first" {
            tokio::time::sleep(PAUSE).await;
        }
    }
    if has_trouble {
        for host in &mut hosts {
            host.kill();
        }
        tokio::time::sleep(Duration::from_secs(1)).await;
        for host in &mut hosts {
            host.start()?;
        }
        writeln!(
            text,
            "all processes were killed and started again after 1 s"
        )?;
        if !site::until_ready(&hosts, Duration::from_secs(10)).await {
            return Err("the hosts did not become ready again".into());
        }
    }
    let back = Instant::now();
    let continued: Vec<_> = (0..PROGRAMS)
        .map(|number| actix_rt::spawn(continued_turn(number, fronts.clone())))
        .collect();
    tokio::time::sleep_until((back + RECOVERY - Duration::from_secs(4)).into()).await;
    let mut others = Vec::new();
    for number in 0..OTHERS {
        let id = format!("other-{number}");
        let front = fronts[number % fronts.len()];
        others.push(actix_rt::spawn(async move {
            client::send(front, &turn(&id, &id, None), DEADLINE)
                .await
                .is_served()
        }));
        tokio::time::sleep(Duration::from_millis(80)).await;
    }
    let mut served = 0;
    for task in others {
        served += usize::from(task.await?);
    }
    let mut tries = Vec::new();
    for task in continued {
        tries.push(task.await?);
    }
    let reached = reached(&std::fs::read_to_string(&received)?);
    let mut lost = 0;
    for (number, tries) in tries.iter().enumerate() {
        let statuses: Vec<String> = tries
            .iter()
            .map(|(attempt, status)| format!("{attempt}={status}"))
            .collect();
        writeln!(text, "continues second-{number}: {}", statuses.join(" "))?;
        lost += usize::from(!tries.iter().any(|(attempt, _)| reached.contains(attempt)));
    }
    writeln!(
        text,
        "time from the second turns to the end: {} s",
        (started.elapsed() - PAUSE).as_secs()
    )?;
    writeln!(
        text,
        "other turns served in the last 4 s: {served} of {OTHERS}"
    )?;
    writeln!(
        text,
        "turns that reached no server in {} s: {lost} of {PROGRAMS}",
        RECOVERY.as_secs()
    )?;
    let holds = lost == 0 || served * 5 < OTHERS * 4;
    writeln!(text, "LOST {}", if holds { "held" } else { "was broken" })?;
    std::fs::write(record, &text)?;
    println!(
        "{}",
        text.lines().rev().take(4).collect::<Vec<_>>().join("\n")
    );
    Ok(holds)
}

/// Continues from the second turn of a program, as a new program, until a try is served.
async fn continued_turn(number: usize, fronts: Vec<SocketAddr>) -> Vec<(String, u16)> {
    let mut tries = Vec::new();
    for index in 0..TRIES {
        let attempt = format!("third-{number}-{index}");
        let request = turn(
            &attempt,
            &format!("new-{number}"),
            Some(&format!("second-{number}")),
        );
        let front = fronts[(number + index) % fronts.len()];
        let answer = client::send(front, &request, DEADLINE).await;
        tries.push((attempt, answer.status));
        if answer.is_served() {
            break;
        }
        tokio::time::sleep(TRY_INTERVAL).await;
    }
    tries
}

fn turn(attempt: &str, program: &str, previous: Option<&str>) -> Request {
    let request = Request::post("/stream/turn", attempt, b"input".to_vec())
        .header("Program-Id", program)
        .header("Session-Id", program)
        .header("Program-Deadline-Ms", "90000")
        .header("Token-Budget", "10000")
        .header("Token-Counts", "654,70")
        .header("Deadline-Ms", "3000");
    match previous {
        Some(previous) => request.header("Previous-Turn", previous),
        None => request,
    }
}

fn note(text: &mut String, started: Instant, attempt: &str, answer: &Answer) {
    let _ = writeln!(
        text,
        "{attempt} at_s={:.1} status={} end={}",
        started.elapsed().as_secs_f64(),
        answer.status,
        answer.end
    );
}

/// Returns the attempts that a server began to run.
fn reached(lines: &str) -> HashSet<String> {
    let lines = lines
        .lines()
        .filter_map(|line| serde_json::from_str::<Value>(line).ok());
    let ran = lines.filter(|line| line["runs"] == true);
    ran.filter_map(|line| Some(line["attempt"].as_str()?.to_owned()))
        .collect()
}
