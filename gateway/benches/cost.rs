//! Benchmark of the cost of routing a request through a gateway: processor time
//! per request, added latency, calls and bytes sent to the store, memory, and
//! the log's share of the processor time.
//!
//! Callers, store and endpoints run in this process, the gateway in a separate
//! one. The store responds after 4 ms and an endpoint immediately. Processor
//! time is read from `/proc` in ticks of 10 ms. Run the benchmark with `cargo
//! bench -p rosebend-gateway --bench cost` on an otherwise idle machine; it
//! takes about two minutes.

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

/// Duration of each load.
const LOAD_DURATION: Duration = Duration::from_secs(8);
/// Number of callers, each of which uses one connection.
const CALLERS: u32 = 16;
/// Response time of the store in milliseconds.
const STORE_LATENCY_MS: u64 = 4;
/// Number of turns of a program.
const PROGRAM_TURNS: u32 = 5;
/// Number of programs in the measurement of memory.
const PROGRAM_COUNT: u32 = 1_000;
/// Ticks of processor time per second in Linux.
const TICKS_PER_S: f64 = 100.0;
/// Bytes per memory page.
const PAGE_BYTES: f64 = 4096.0;

/// Index of the endpoint that runs tool calls.
const DESK: usize = 1;
/// Index of the endpoint that runs turns.
const MODELS: usize = 0;

/// Kind of request that callers send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Kind {
    ToolCall,
    Turn,
}

/// A constant rate of requests that is applied for [`LOAD_DURATION`].
#[derive(Clone, Copy, Debug)]
struct Load {
    name: &'static str,
    kind: Kind,
    per_second: u32,
    /// Whether this process reads the gateway's output.
    is_output_read: bool,
}

/// Latencies of requests in microseconds, up to the head and to the end of the
/// response.
struct Latencies {
    head_us: Histogram<u64>,
    end_us: Histogram<u64>,
}

impl Latencies {
    fn new() -> Self {
        let histogram = || Histogram::new(3).expect("three significant digits are valid");
        Self {
            head_us: histogram(),
            end_us: histogram(),
        }
    }
}

/// Processor time in ticks of the whole process and of the thread that writes
/// the log.
#[derive(Clone, Copy, Debug, Default)]
struct Ticks {
    process: u64,
    log: u64,
}

fn main() {
    let loads = [
        new_load("idle", Kind::ToolCall, 0, true),
        new_load("tool calls", Kind::ToolCall, 200, true),
        new_load("tool calls, double", Kind::ToolCall, 400, true),
        new_load("tool calls, output unread", Kind::ToolCall, 400, false),
        new_load("turns", Kind::Turn, 100, true),
        new_load("turns, double", Kind::Turn, 200, true),
        new_load("turns, output unread", Kind::Turn, 200, false),
    ];
    actix_rt::System::new().block_on(async {
        for load in loads {
            measure(load).await;
        }
        measure_memory().await;
    });
}

fn new_load(name: &'static str, kind: Kind, per_second: u32, is_output_read: bool) -> Load {
    Load {
        name,
        kind,
        per_second,
        is_output_read,
    }
}

/// Starts a site whose store responds after [`STORE_LATENCY_MS`].
async fn start_site() -> Site {
    let site = Site::start();
    let slow = StoreFaults {
        slow_ms: STORE_LATENCY_MS,
        ..StoreFaults::default()
    };
    site.set_store_faults(&slow).await;
    site
}

/// Applies a load to a gateway, then to an endpoint directly, and prints the
/// measurements.
async fn measure(load: Load) {
    let site = start_site().await;
    let gateway = Gateway::start_with_output(site.store_listener.address(), load.is_output_read);
    gateway.wait_until_ready().await;
    actix_rt::time::sleep(Duration::from_secs(1)).await;
    let before = (ticks(&gateway), site.store.stats(), gateway.log());
    let latencies = run(load, gateway.front).await;
    let after = (ticks(&gateway), site.store.stats(), gateway.log());
    let endpoint = match load.kind {
        Kind::ToolCall => site.endpoints[DESK].server.address(),
        Kind::Turn => site.endpoints[MODELS].server.address(),
    };
    let direct = run(load, endpoint).await;

    let requests = latencies.end_us.len().max(1) as f64;
    let cpu_ms = (after.0.process - before.0.process) as f64 * 1_000.0 / TICKS_PER_S;
    let log_ms = (after.0.log - before.0.log) as f64 * 1_000.0 / TICKS_PER_S;
    let seconds = LOAD_DURATION.as_secs_f64();
    let lines = &after.2[before.2.len()..];
    let bytes: usize = lines.iter().map(|line| line.len() + 1).sum();
    println!("{}: {} requests", load.name, latencies.end_us.len());
    println!(
        "  processor: {:.2} ms per request, {:.2} % of a core; log {:.1} % of it",
        cpu_ms / requests,
        cpu_ms / 10.0 / seconds,
        100.0 * log_ms / cpu_ms.max(1.0)
    );
    println!(
        "  added latency to the first event: p50 {:.2} ms, p99 {:.2} ms; to the end: p50 {:.2} ms, p99 {:.2} ms",
        added_latency_ms(&latencies.head_us, &direct.head_us, 0.5),
        added_latency_ms(&latencies.head_us, &direct.head_us, 0.99),
        added_latency_ms(&latencies.end_us, &direct.end_us, 0.5),
        added_latency_ms(&latencies.end_us, &direct.end_us, 0.99)
    );
    let transactions = after.1.transactions - before.1.transactions;
    let reads = after.1.reads - before.1.reads + after.1.feeds - before.1.feeds;
    let sent = after.1.received_bytes - before.1.received_bytes;
    println!(
        "  store: {:.2} writes and {:.2} reads per request, {:.0} bytes sent per request",
        transactions as f64 / requests,
        reads as f64 / requests,
        sent as f64 / requests
    );
    println!(
        "  log: {:.0} lines and {:.0} bytes per second; memory {:.1} MB",
        lines.len() as f64 / seconds,
        bytes as f64 / seconds,
        memory_mb(&gateway)
    );
}

/// Returns the difference between the latencies through the gateway and without
/// it at a quantile, in milliseconds.
fn added_latency_ms(through: &Histogram<u64>, direct: &Histogram<u64>, quantile: f64) -> f64 {
    let through = through.value_at_quantile(quantile) as f64;
    (through - direct.value_at_quantile(quantile) as f64) / 1_000.0
}

/// Prints the memory of a gateway before and after it serves one turn of each
/// of [`PROGRAM_COUNT`] programs.
async fn measure_memory() {
    let site = start_site().await;
    let gateway = Gateway::start(site.store_listener.address());
    gateway.wait_until_ready().await;
    let before = memory_mb(&gateway);
    let mut connection = Connection::open(gateway.front).await.unwrap();
    for number in 0..PROGRAM_COUNT {
        let turn = turn(number, 0, 0);
        assert_eq!(turn.send_on(&mut connection).await.status, 200);
    }
    println!(
        "memory: {before:.1} MB idle, {:.1} MB with {PROGRAM_COUNT} programs",
        memory_mb(&gateway)
    );
}

/// Applies a load to an address and returns the latencies of all callers.
async fn run(load: Load, target: std::net::SocketAddr) -> Latencies {
    let clock = Clock::start();
    if load.per_second == 0 {
        actix_rt::time::sleep(LOAD_DURATION).await;
        return Latencies::new();
    }
    let callers = (0..CALLERS).map(|caller| run_caller(load, caller, target, Rc::new(clock)));
    let mut merged = Latencies::new();
    for latencies in join_all(callers).await {
        merged
            .head_us
            .add(&latencies.head_us)
            .expect("the precisions are equal");
        merged
            .end_us
            .add(&latencies.end_us)
            .expect("the precisions are equal");
    }
    merged
}

/// Sends requests sequentially on one connection, each not before its scheduled
/// time.
async fn run_caller(
    load: Load,
    caller: u32,
    target: std::net::SocketAddr,
    clock: Rc<Clock>,
) -> Latencies {
    let mut latencies = Latencies::new();
    let mut connection = Connection::open(target).await.unwrap();
    let period = Duration::from_secs(1) * CALLERS / load.per_second;
    let mut send_at = period * caller / CALLERS;
    for number in 0.. {
        if send_at > LOAD_DURATION {
            break;
        }
        tokio::time::sleep_until(clock.instant(send_at)).await;
        let test_request = match load.kind {
            Kind::ToolCall => TestRequest::get("/lookup/x").attempt(&format!("a{caller}-{number}")),
            Kind::Turn => turn(caller, number / PROGRAM_TURNS, number % PROGRAM_TURNS),
        };
        let started = clock.now();
        let response = connection.send(test_request.request()).await.unwrap();
        assert_eq!(response.status().as_u16(), 200);
        record(&mut latencies.head_us, clock.now() - started);
        http_body_util::BodyExt::collect(response.into_body())
            .await
            .unwrap();
        record(&mut latencies.end_us, clock.now() - started);
        send_at += period;
    }
    latencies
}

/// Creates a turn of a program, which continues the program's previous turn.
fn turn(caller: u32, program: u32, turn: u32) -> TestRequest {
    let program = format!("p{caller}-{program}");
    let attempt = format!("{program}-{turn}");
    let input = "x".repeat(1_200);
    let test_request =
        TestRequest::turn(&attempt, &program, &input).header("token-budget", "100000");
    match turn {
        0 => test_request,
        _ => test_request.previous(&format!("{program}-{}", turn - 1)),
    }
}

fn record(histogram: &mut Histogram<u64>, time: Duration) {
    let us = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
    histogram
        .record(us)
        .expect("the histogram resizes automatically");
}

/// Returns the processor time of a gateway so far.
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

/// Returns the sum of user and system time in a `stat` file. The fields are
/// counted from the end of the name in parentheses, because the name may
/// contain spaces.
fn ticks_of(path: &str) -> u64 {
    let stat = std::fs::read_to_string(path).unwrap_or_default();
    let fields = stat.rsplit(") ").next().unwrap_or_default();
    let fields = fields.split(' ').skip(11).take(2);
    fields.filter_map(|field| field.parse::<u64>().ok()).sum()
}

/// Returns the resident memory of a gateway in megabytes.
fn memory_mb(gateway: &Gateway) -> f64 {
    let pages = std::fs::read_to_string(format!("/proc/{}/statm", gateway.id())).unwrap();
    let resident: f64 = pages.split(' ').nth(1).unwrap().parse().unwrap();
    resident * PAGE_BYTES / 1e6
}
