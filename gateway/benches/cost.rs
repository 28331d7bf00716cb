//! What the way through a gateway costs: processor time a request, time added,
//! calls and bytes to the store a turn, memory, and the share of the log.
//!
//! Callers, store and endpoints run in this process, the gateway in its own.
//! The store answers after 4 ms and an endpoint at once. Processor time comes
//! from `/proc`, in ticks of 10 ms. Run it with
//! `cargo bench -p rosebend-gateway --bench cost` on a machine that does
//! nothing else; it takes about two minutes.

#[path = "../tests/support/mod.rs"]
mod support;

use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use hdrhistogram::Histogram;
use rosebend_standin::store::StoreFaults;
use rosebend_transport::clock::Clock;
use rosebend_transport::connection::Connection;
use support::{Gateway, Site, TestRequest};

/// How long each load lasts.
const LOAD_TIME: Duration = Duration::from_secs(8);
/// Connections of callers.
const CALLERS: u32 = 16;
/// Time in which the store answers.
const STORE_TIME_MS: u64 = 4;
/// Turns of a program.
const PROGRAM_TURNS: u32 = 5;
/// Programs whose memory is looked at.
const OPEN_PROGRAMS: u32 = 1_000;
/// Ticks of processor time in a second, as Linux counts them.
const TICKS_PER_S: f64 = 100.0;
/// Bytes of a page of memory.
const PAGE_BYTES: f64 = 4096.0;

const DESK: usize = 1;
const MODELS: usize = 0;

/// What callers send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Kind {
    ToolCall,
    Turn,
}

/// One load.
#[derive(Clone, Copy, Debug)]
struct Load {
    name: &'static str,
    kind: Kind,
    per_second: u32,
    /// Whether the gateway's output is read.
    reads_on: bool,
}

/// Times of requests, in microseconds.
struct Times {
    head_us: Histogram<u64>,
    end_us: Histogram<u64>,
}

impl Times {
    fn new() -> Self {
        let histogram = || Histogram::new(3).expect("three digits are allowed");
        Self {
            head_us: histogram(),
            end_us: histogram(),
        }
    }
}

/// Processor time in ticks: of the process, and of the thread that writes the
/// log.
#[derive(Clone, Copy, Debug, Default)]
struct Ticks {
    process: u64,
    log: u64,
}

fn main() {
    let loads = [
        load("idle", Kind::ToolCall, 0, true),
        load("tool calls", Kind::ToolCall, 200, true),
        load("tool calls, double", Kind::ToolCall, 400, true),
        load("tool calls, output unread", Kind::ToolCall, 400, false),
        load("turns", Kind::Turn, 100, true),
        load("turns, double", Kind::Turn, 200, true),
        load("turns, output unread", Kind::Turn, 200, false),
    ];
    actix_rt::System::new().block_on(async {
        for load in loads {
            measure(load).await;
        }
        measure_memory().await;
    });
}

fn load(name: &'static str, kind: Kind, per_second: u32, reads_on: bool) -> Load {
    Load {
        name,
        kind,
        per_second,
        reads_on,
    }
}

async fn site() -> Site {
    let site = Site::start();
    let slow = StoreFaults {
        slow_ms: STORE_TIME_MS,
        ..StoreFaults::default()
    };
    site.set_store_faults(&slow).await;
    site
}

async fn measure(load: Load) {
    let site = site().await;
    let gateway = Gateway::start_with_output(site.store_listener.address(), load.reads_on);
    gateway.wait_until_ready().await;
    actix_rt::time::sleep(Duration::from_secs(1)).await;
    let before = (ticks(&gateway), site.store.stats(), gateway.log());
    let times = run(load, gateway.front).await;
    let after = (ticks(&gateway), site.store.stats(), gateway.log());
    let endpoint = match load.kind {
        Kind::ToolCall => site.endpoints[DESK].server.address(),
        Kind::Turn => site.endpoints[MODELS].server.address(),
    };
    let direct = run(load, endpoint).await;

    let requests = times.end_us.len().max(1) as f64;
    let cpu_ms = (after.0.process - before.0.process) as f64 * 1_000.0 / TICKS_PER_S;
    let log_ms = (after.0.log - before.0.log) as f64 * 1_000.0 / TICKS_PER_S;
    let seconds = LOAD_TIME.as_secs_f64();
    let lines = &after.2[before.2.len()..];
    let bytes: usize = lines.iter().map(|line| line.len() + 1).sum();
    println!("{}: {} requests", load.name, times.end_us.len());
    println!(
        "  processor: {:.2} ms a request, {:.2} % of a core; log {:.1} % of it",
        cpu_ms / requests,
        cpu_ms / 10.0 / seconds,
        100.0 * log_ms / cpu_ms.max(1.0)
    );
    println!(
        "  added to the first event: p50 {:.2} ms, p99 {:.2} ms; to the end: p50 {:.2} ms, p99 {:.2} ms",
        added(&times.head_us, &direct.head_us, 0.5),
        added(&times.head_us, &direct.head_us, 0.99),
        added(&times.end_us, &direct.end_us, 0.5),
        added(&times.end_us, &direct.end_us, 0.99)
    );
    let transactions = after.1.transactions - before.1.transactions;
    let reads = after.1.reads - before.1.reads + after.1.feeds - before.1.feeds;
    let sent = after.1.received_bytes - before.1.received_bytes;
    println!(
        "  store: {:.2} writes and {:.2} reads a request, {:.0} bytes written a request",
        transactions as f64 / requests,
        reads as f64 / requests,
        sent as f64 / requests
    );
    println!(
        "  log: {:.0} lines and {:.0} bytes a second; memory {:.1} MB",
        lines.len() as f64 / seconds,
        bytes as f64 / seconds,
        memory_mb(&gateway)
    );
}

/// What the way adds at a quantile, in milliseconds.
fn added(through: &Histogram<u64>, direct: &Histogram<u64>, quantile: f64) -> f64 {
    let through = through.value_at_quantile(quantile) as f64;
    (through - direct.value_at_quantile(quantile) as f64) / 1_000.0
}

/// Memory of a gateway that has served a turn of each of many programs.
async fn measure_memory() {
    let site = site().await;
    let gateway = Gateway::start(site.store_listener.address());
    gateway.wait_until_ready().await;
    let before = memory_mb(&gateway);
    let mut connection = Connection::open(gateway.front).await.unwrap();
    for number in 0..OPEN_PROGRAMS {
        let turn = turn(number, 0, 0);
        assert_eq!(turn.send_on(&mut connection).await.status, 200);
    }
    println!(
        "memory: {before:.1} MB idle, {:.1} MB with {OPEN_PROGRAMS} programs",
        memory_mb(&gateway)
    );
}

async fn run(load: Load, to: std::net::SocketAddr) -> Times {
    let clock = Clock::start();
    if load.per_second == 0 {
        actix_rt::time::sleep(LOAD_TIME).await;
        return Times::new();
    }
    let callers = (0..CALLERS).map(|caller| call_on(load, caller, to, Rc::new(clock)));
    let mut all = Times::new();
    for times in join_all(callers).await {
        all.head_us.add(&times.head_us).expect("equal digits");
        all.end_us.add(&times.end_us).expect("equal digits");
    }
    all
}

/// One caller, which sends at fixed times, one request after the other.
async fn call_on(load: Load, caller: u32, to: std::net::SocketAddr, clock: Rc<Clock>) -> Times {
    let mut times = Times::new();
    let mut connection = Connection::open(to).await.unwrap();
    let period = Duration::from_secs(1) * CALLERS / load.per_second;
    let mut due = period * caller / CALLERS;
    for number in 0.. {
        if due > LOAD_TIME {
            break;
        }
        tokio::time::sleep_until(clock.instant(due)).await;
        let ask = match load.kind {
            Kind::ToolCall => TestRequest::get("/lookup/x").attempt(&format!("a{caller}-{number}")),
            Kind::Turn => turn(caller, number / PROGRAM_TURNS, number % PROGRAM_TURNS),
        };
        let started = clock.now();
        let response = connection.send(ask.request()).await.unwrap();
        assert_eq!(response.status().as_u16(), 200);
        record(&mut times.head_us, clock.now() - started);
        http_body_util::BodyExt::collect(response.into_body())
            .await
            .unwrap();
        record(&mut times.end_us, clock.now() - started);
        due += period;
    }
    times
}

fn turn(caller: u32, program: u32, turn: u32) -> TestRequest {
    let program = format!("p{caller}-{program}");
    let attempt = format!("{program}-{turn}");
    let input = "x".repeat(1_200);
    let ask = TestRequest::turn(&attempt, &program, &input).header("token-budget", "100000");
    match turn {
        0 => ask,
        _ => ask.previous(&format!("{program}-{}", turn - 1)),
    }
}

fn record(histogram: &mut Histogram<u64>, time: Duration) {
    let us = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
    histogram
        .record(us)
        .expect("a histogram of this kind grows");
}

fn ticks(gateway: &Gateway) -> Ticks {
    let process = format!("/proc/{}", gateway.id());
    let mut ticks = Ticks {
        process: ticks_of(&format!("{process}/stat")),
        log: 0,
    };
    for thread in std::fs::read_dir(format!("{process}/task")).unwrap() {
        let path = thread.unwrap().path();
        let name = std::fs::read_to_string(path.join("comm")).unwrap_or_default();
        if name.trim() == "log" {
            ticks.log += ticks_of(&path.join("stat").to_string_lossy());
        }
    }
    ticks
}

/// User and system time of a `stat` file, behind the name in brackets.
fn ticks_of(path: &str) -> u64 {
    let stat = std::fs::read_to_string(path).unwrap_or_default();
    let fields = stat.rsplit(") ").next().unwrap_or_default();
    let fields = fields.split(' ').skip(11).take(2);
    fields.filter_map(|field| field.parse::<u64>().ok()).sum()
}

fn memory_mb(gateway: &Gateway) -> f64 {
    let pages = std::fs::read_to_string(format!("/proc/{}/statm", gateway.id())).unwrap();
    let resident: f64 = pages.split(' ').nth(1).unwrap().parse().unwrap();
    resident * PAGE_BYTES / 1e6
}
