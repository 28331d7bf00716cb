//! After a final fault new programs continue from turns of programs with a long history.
//! Later programs with a short one are then to be served.

use std::error::Error;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rosebend_standin::backend::Backend;
use rosebend_standin::store::Store;

use crate::client::{self, Answer, Request};
use crate::door::Door;
use crate::site::{self, Host, TempFolder, ZONES};

/// Programs with a long history.
const LONG_PROGRAMS: usize = 40;
/// Turns of such a program.
const LONG_TURNS: usize = 12;
/// Bytes of the input of each of these turns.
const LONG_INPUT_BYTES: usize = 90_000;
/// Most tries of a turn: the first one and two more.
const TRIES: usize = 3;
/// Time budget of a turn.
const DEADLINE: Duration = Duration::from_millis(3_000);
/// `recovery-s` of the site.
const RECOVERY: Duration = Duration::from_secs(12);
/// Ordinary turns that are counted before the fault and after the recovery.
const COUNTED: usize = 120;

type Failure = Box<dyn Error>;

pub async fn run(has_trouble: bool, record: &str) -> Result<bool, Failure> {
    let folder = TempFolder::new("long-history")?;
    let store = Store::default();
    let behind = store.open_door(site::free_listener())?;
    let door = Door::open(behind.address())?;
    store.put("op", "config", &site::desired_state(1));
    let mut engines = Vec::new();
    for (number, zone) in ZONES.iter().enumerate() {
        let id = format!("i-models-{number}");
        let engine = Backend::start(site::free_listener(), &id)?;
        let entry = site::endpoint_entry("models", engine.address(), zone, 8, 1);
        store.put("servers", &id, &entry);
        engines.push(engine);
    }
    let mut hosts = Vec::new();
    for (number, zone) in ZONES.iter().enumerate() {
        let name = format!("edge-{zone}-{number}");
        hosts.push(Host::new(&folder.0, &name, zone, door.address)?);
    }
    let mut text = String::new();
    for host in &mut hosts {
        host.start()?;
    }
    if !site::until_ready(&hosts, Duration::from_secs(20)).await {
        return Err("the hosts did not become ready".into());
    }
    tokio::time::sleep(Duration::from_secs(5)).await;
    let fronts: Vec<SocketAddr> = hosts.iter().map(|host| host.front).collect();

    let before = ordinary_turns("before", &fronts, &mut text).await;
    let failed = long_programs(&fronts, &mut text).await;
    if failed > 0 {
        return Err(format!("{failed} turns of the long programs failed").into());
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
    continued_turns(has_trouble, &fronts, &mut text).await;
    tokio::time::sleep_until((back + RECOVERY).into()).await;
    let after = ordinary_turns("after", &fronts, &mut text).await;
    let unready = {
        let mut unready = 0;
        for host in &hosts {
            unready += usize::from(!host.is_ready().await);
        }
        unready
    };
    writeln!(
        text,
        "calls to the store over 1 MB: {}",
        door.oversize.get()
    )?;
    let memory: Vec<u64> = hosts.iter().map(Host::peak_memory_mb).collect();
    writeln!(text, "most memory of each process in MB: {memory:?}")?;
    writeln!(text, "hosts that were not ready at the end: {unready}")?;
    writeln!(
        text,
        "first turns served: {before} of {COUNTED} before, {after} of {COUNTED} sent later than \
         {} s after the processes were back",
        RECOVERY.as_secs()
    )?;
    if before * 4 < COUNTED {
        return Err("less than a quarter was served before the fault".into());
    }
    let holds = after * 4 >= COUNTED;
    writeln!(
        text,
        "RECOVER {}",
        if holds { "held" } else { "was broken" }
    )?;
    std::fs::write(record, &text)?;
    print!(
        "{}",
        text.lines().rev().take(6).collect::<Vec<_>>().join("\n")
    );
    println!();
    Ok(holds)
}

fn turn(attempt: &str, program: &str, previous: Option<&str>, body: Vec<u8>) -> Request {
    let request = Request::post("/stream/turn", attempt, body)
        .header("Program-Id", program)
        .header("Session-Id", program)
        .header("Program-Deadline-Ms", "20000")
        .header("Token-Budget", "100000")
        .header("Token-Counts", "654,70")
        .header("Model", "m")
        .header("Deadline-Ms", "3000");
    match previous {
        Some(previous) => request.header("Previous-Turn", previous),
        None => request,
    }
}

fn note(text: &mut String, phase: &str, request: &Request, answer: &Answer) {
    let value = |name: &str| {
        let mut headers = request.headers.iter();
        let found = headers.find(|(known, _)| known == name);
        found.map_or("-", |(_, value)| value.as_str()).to_owned()
    };
    let _ = writeln!(
        text,
        "{phase} attempt={} program={} previous={} bytes={} status={} end={} ms={}",
        value("Attempt-Id"),
        value("Program-Id"),
        value("Previous-Turn"),
        request.body.len(),
        answer.status,
        answer.end,
        answer.took.as_millis()
    );
}

/// Sends first turns of new programs, one after another at each host in turn, 25 a second.
/// Returns how many were served.
async fn ordinary_turns(phase: &str, fronts: &[SocketAddr], text: &mut String) -> usize {
    let mut sent = Vec::new();
    for number in 0..COUNTED {
        let id = format!("{phase}-{number}");
        let request = turn(
            &format!("a-{id}"),
            &format!("p-{id}"),
            None,
            b"input".to_vec(),
        );
        let front = fronts[number % fronts.len()];
        sent.push(actix_rt::spawn(async move {
            let answer = client::send(front, &request, DEADLINE + Duration::from_secs(1)).await;
            (request, answer)
        }));
        tokio::time::sleep(Duration::from_millis(40)).await;
    }
    let mut served = 0;
    for task in sent {
        if let Ok((request, answer)) = task.await {
            served += usize::from(answer.is_served());
            note(text, phase, &request, &answer);
        }
    }
    served
}

/// Runs the programs with a long history. Returns the number of turns that failed.
async fn long_programs(fronts: &[SocketAddr], text: &mut String) -> usize {
    let mut failed = 0;
    let fronts = fronts.to_vec();
    for first in (0..LONG_PROGRAMS).step_by(8) {
        let programs = first..(first + 8).min(LONG_PROGRAMS);
        let tasks: Vec<_> = programs
            .map(|number| {
                let fronts = fronts.clone();
                actix_rt::spawn(async move {
                    let mut sent = Vec::new();
                    for index in 0..LONG_TURNS {
                        let previous = index
                            .checked_sub(1)
                            .map(|index| format!("l-{number}-{index}"));
                        let body = vec![b'a' + (index % 26) as u8; LONG_INPUT_BYTES];
                        let attempt = format!("l-{number}-{index}");
                        let program = format!("long-{number}");
                        let request = turn(&attempt, &program, previous.as_deref(), body);
                        let front = fronts[number % fronts.len()];
                        let answer = client::send(front, &request, DEADLINE * 2).await;
                        let is_served = answer.is_served();
                        sent.push((request, answer));
                        if !is_served {
                            break;
                        }
                    }
                    sent
                })
            })
            .collect();
        for task in tasks {
            for (request, answer) in task.await.unwrap_or_default() {
                failed += usize::from(!answer.is_served());
                note(text, "long", &request, &answer);
            }
        }
    }
    failed
}

/// Continues from the last turns of the long programs: as new programs after the fault, and as
/// the programs themselves without one. A turn that fails is sent again at most twice, each
/// time on a new connection at another host.
async fn continued_turns(is_new_program: bool, fronts: &[SocketAddr], text: &mut String) {
    let mut tasks = Vec::new();
    for number in 0..LONG_PROGRAMS {
        let fronts = fronts.to_vec();
        tasks.push(actix_rt::spawn(async move {
            let mut sent = Vec::new();
            for index in 0..TRIES {
                let program = match is_new_program {
                    true => format!("new-{number}"),
                    false => format!("long-{number}"),
                };
                let attempt = format!("c-{number}-{index}");
                let previous = format!("l-{number}-{}", LONG_TURNS - 1);
                let request = turn(&attempt, &program, Some(&previous), b"input".to_vec());
                let front = fronts[(number + index) % fronts.len()];
                let answer = client::send(front, &request, DEADLINE + Duration::from_secs(1)).await;
                let is_served = answer.is_served();
                sent.push((request, answer));
                if is_served {
                    break;
                }
                tokio::time::sleep(Duration::from_millis(250)).await;
            }
            sent
        }));
        tokio::time::sleep(Duration::from_millis(60)).await;
    }
    for task in tasks {
        for (request, answer) in task.await.unwrap_or_default() {
            note(text, "continued", &request, &answer);
        }
    }
}
