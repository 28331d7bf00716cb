//! A program has spent its whole budget when the store is down for some seconds. The tokens of
//! all its turns are then to stay within the budget and the most of one turn.

use std::error::Error;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::time::Duration;

use rosebend_standin::backend::{Backend, BackendFaults};
use rosebend_standin::store::Store;
use serde_json::json;

use crate::client::{self, Request};
use crate::door::{Door, Mode};
use crate::site::{self, Host, TempFolder, ZONES};

/// `stride-tokens` of the engine.
const TOKENS_PER_EVENT: u64 = 10;
const BUDGET: u64 = 1_200;
/// Most tokens of the turns before the outage, and the events that they are given.
const LONG_TURN: u64 = 410;
const LONG_EVENTS: [u64; 3] = [38, 41, 41];
/// Most tokens of the turns in the outage, which make as many.
const SHORT_TURN: u64 = 300;
/// Turns that are sent in the outage, one after another, until one is refused.
const SHORT_TURNS: usize = 6;
const OUTAGE: Duration = Duration::from_millis(4_500);
/// Time of the outage that passes before them.
const OUTAGE_BEFORE: Duration = Duration::from_millis(1_800);
const DEADLINE: Duration = Duration::from_millis(4_000);

pub async fn run(has_trouble: bool, record: &str) -> Result<bool, Box<dyn Error>> {
    let folder = TempFolder::new("granted-budget")?;
    let store = Store::default();
    let behind = store.open_door(site::free_listener())?;
    let door = Door::open(behind.address())?;
    let mut state = site::desired_state(1);
    // As the route report-draft of the site: it keeps no history.
    state["routes"][0]["retain-history"] = json!(false);
    state["routes"][0]["retention-s"] = json!(null);
    state["routes"][0]["timeout-ms"] = json!(4_000);
    state["services"][0]["engine"]["stride-tokens"] = json!(TOKENS_PER_EVENT);
    if let Some(route) = state["routes"][0].as_object_mut() {
        route.remove("retention-s");
    }
    store.put("op", "config", &state);
    let mut engines = Vec::new();
    for (number, zone) in ZONES.iter().enumerate() {
        let id = format!("i-models-{number}");
        let engine = Backend::start(site::free_listener(), &id)?;
        let entry = site::endpoint_entry("models", engine.address(), zone, 16, 1);
        store.put("servers", &id, &entry);
        engines.push(engine);
    }
    let mut hosts = Vec::new();
    for number in 1..=2 {
        for zone in ZONES {
            hosts.push(Host::new(
                &folder.0,
                &format!("edge-{zone}-{number}"),
                zone,
                door.address,
            )?);
        }
    }
    for host in &mut hosts {
        host.start()?;
    }
    if !site::until_ready(&hosts, Duration::from_secs(20)).await {
        return Err("the hosts did not become ready".into());
    }
    // The slots of all partitions get their owners.
    tokio::time::sleep(Duration::from_secs(8)).await;
    let fronts: Vec<SocketAddr> = hosts.iter().map(|host| host.front).collect();
    let mut text = String::new();
    let mut tokens = 0;
    for (number, events) in LONG_EVENTS.into_iter().enumerate() {
        for engine in &engines {
            set_events(engine.address(), events).await?;
        }
        let request = turn(&format!("long-{number}"), LONG_TURN);
        tokens += send(
            &mut text,
            fronts[number],
            &request,
            &format!("long-{number}"),
        )
        .await;
        tokio::time::sleep(Duration::from_millis(800)).await;
    }
    if tokens != BUDGET {
        return Err(format!("{tokens} tokens were handed out before the outage").into());
    }
    for engine in &engines {
        set_events(engine.address(), SHORT_TURN / TOKENS_PER_EVENT).await?;
    }
    if has_trouble {
        door.mode.set(Mode::Refusing);
        writeln!(text, "the store is down")?;
    }
    let outage_ends = tokio::time::Instant::now() + OUTAGE;
    tokio::time::sleep(OUTAGE_BEFORE).await;
    for number in 0..SHORT_TURNS {
        let request = turn(&format!("short-{number}"), SHORT_TURN);
        let front = fronts[number % fronts.len()];
        tokens += send(&mut text, front, &request, &format!("short-{number}")).await;
        tokio::time::sleep(Duration::from_millis(150)).await;
    }
    tokio::time::sleep_until(outage_ends).await;
    door.mode.set(Mode::Open);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let allowed = BUDGET + LONG_TURN;
    writeln!(text, "tokens handed out: {tokens}, allowed {allowed}")?;
    let holds = tokens <= allowed;
    writeln!(text, "BUDGET {}", if holds { "held" } else { "was broken" })?;
    std::fs::write(record, &text)?;
    println!(
        "{}",
        text.lines().rev().take(2).collect::<Vec<_>>().join("\n")
    );
    Ok(holds)
}

async fn set_events(engine: SocketAddr, events: u64) -> Result<(), Box<dyn Error>> {
    let faults = BackendFaults {
        events,
        ..BackendFaults::default()
    };
    let set = Request::post("/faults", "none", serde_json::to_vec(&faults)?);
    match client::send(engine, &set, DEADLINE).await.status {
        200 => Ok(()),
        status => Err(format!("an engine answered {status}").into()),
    }
}

/// Sends a turn and returns the tokens that were handed out.
async fn send(text: &mut String, front: SocketAddr, request: &Request, attempt: &str) -> u64 {
    let answer = client::send(front, request, DEADLINE).await;
    let body = String::from_utf8_lossy(&answer.body);
    let events = match answer.status {
        200 => body.matches("data: ").count() as u64,
        _ => 0,
    };
    let _ = writeln!(
        text,
        "{attempt} status={} end={} tokens={}",
        answer.status,
        answer.end,
        events * TOKENS_PER_EVENT
    );
    events * TOKENS_PER_EVENT
}

fn turn(attempt: &str, most: u64) -> Request {
    Request::post("/stream/turn", attempt, b"input".to_vec())
        .header("Program-Id", "program-1")
        .header("Session-Id", "session-1")
        .header("Program-Deadline-Ms", "60000")
        .header("Token-Budget", &BUDGET.to_string())
        .header("Token-Counts", &format!("654,{most}"))
        .header("Deadline-Ms", "4000")
}
