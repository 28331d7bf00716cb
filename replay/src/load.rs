//! Loads real processes on loopback and measures what they add.
//!
//! Calls start at fixed times, whether or not earlier ones have ended, so that
//! a slow answer does not hide the ones behind it. Every second call goes
//! straight to an engine with the same body: the difference is what an entry,
//! a sidecar and the hops between them add. The processes' own use of the
//! processor and memory is read from the system, by their ids.

use std::cell::{Cell, RefCell};
use std::fmt;
use std::fs;
use std::rc::Rc;
use std::time::{Duration, Instant};

use awc::Client;
use hdrhistogram::Histogram;
use serde_json::{Value, json};

/// Longest wait for an answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);
/// Largest latency that is told apart, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Clock ticks a second in the system's process statistics.
const TICKS_PER_SECOND: f64 = 100.0;
/// Bytes of a page of memory.
const PAGE_BYTES: u64 = 4096;

/// What to load, and how.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// Base URLs of the entries; calls go to them in turn.
    pub entries: Vec<String>,
    /// Base URLs of engines, for the calls without rosebend.
    pub engines: Vec<String>,
    /// The customer's token.
    pub token: String,
    /// The model.
    pub model: String,
    /// Programs, each with one call at a time.
    pub programs: u64,
    /// Calls a second through the entries, and as many straight to engines.
    pub calls_per_second: u64,
    /// How long calls are started.
    pub duration: Duration,
    /// Bytes of each prompt.
    pub prompt_bytes: usize,
    /// Tokens of each answer.
    pub answer_tokens: u64,
    /// Processes to watch, by name.
    pub processes: Vec<(String, u32)>,
    /// Begins the names of the sessions.
    pub session_prefix: String,
}

/// What a process used.
#[derive(Clone, Debug)]
pub struct ProcessUse {
    /// Its name.
    pub name: String,
    /// Share of one core while the load ran.
    pub core_percent: f64,
    /// Resident memory at the end.
    pub resident_bytes: u64,
}

/// What a load gave.
#[derive(Clone, Debug)]
pub struct LoadReport {
    /// Latency through entries, in microseconds.
    pub through: Histogram<u64>,
    /// Latency straight to engines, in microseconds.
    pub straight: Histogram<u64>,
    /// Calls through entries that were not answered whole.
    pub lost: u64,
    /// The first answer that was not whole.
    pub first_loss: Option<String>,
    /// Calls through entries that were started.
    pub started: u64,
    /// How long the calls took all together.
    pub elapsed: Duration,
    /// What the processes used.
    pub processes: Vec<ProcessUse>,
}

impl fmt::Display for LoadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let per_second = self.through.len() as f64 / self.elapsed.as_secs_f64();
        writeln!(
            f,
            "calls through entries: {} started, {} whole, {} lost, {per_second:.0} a second",
            self.started,
            self.through.len(),
            self.lost
        )?;
        if let Some(loss) = &self.first_loss {
            writeln!(f, "first loss: {loss}")?;
        }
        writeln!(
            f,
            "{:<22} {:>9} {:>9} {:>9}",
            "latency in ms", "p50", "p95", "p99"
        )?;
        for (name, histogram) in [
            ("through entries", &self.through),
            ("straight to engine", &self.straight),
        ] {
            writeln!(
                f,
                "{name:<22} {:>9.2} {:>9.2} {:>9.2}",
                quantile_ms(histogram, 0.5),
                quantile_ms(histogram, 0.95),
                quantile_ms(histogram, 0.99)
            )?;
        }
        writeln!(
            f,
            "{:<22} {:>9.2} {:>9.2} {:>9.2}",
            "added",
            self.added_ms(0.5),
            self.added_ms(0.95),
            self.added_ms(0.99)
        )?;
        for process in &self.processes {
            writeln!(
                f,
                "{:<22} {:>6.1} % of a core, {:>7.1} MiB resident",
                process.name,
                process.core_percent,
                process.resident_bytes as f64 / f64::from(1 << 20)
            )?;
        }
        Ok(())
    }
}

impl LoadReport {
    /// Difference of a quantile through entries and straight, in milliseconds.
    pub fn added_ms(&self, quantile: f64) -> f64 {
        quantile_ms(&self.through, quantile) - quantile_ms(&self.straight, quantile)
    }
}

fn quantile_ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1000.0
}

struct Counts {
    through: RefCell<Histogram<u64>>,
    straight: RefCell<Histogram<u64>>,
    lost: Cell<u64>,
    first_loss: RefCell<Option<String>>,
}

/// Loads the processes, and waits for all answers.
///
/// # Panics
///
/// Panics when `entries` or `engines` is empty.
pub fn run(options: &LoadOptions) -> LoadReport {
    actix_rt::System::new().block_on(load(options))
}

async fn load(options: &LoadOptions) -> LoadReport {
    let client = Client::builder().timeout(CALL_TIMEOUT).finish();
    let counts = Rc::new(Counts {
        through: RefCell::new(new_histogram()),
        straight: RefCell::new(new_histogram()),
        lost: Cell::new(0),
        first_loss: RefCell::new(None),
    });
    open_programs(&client, options).await;
    let before: Vec<f64> = options
        .processes
        .iter()
        .map(|(_, id)| processor_seconds(*id))
        .collect();
    let started = Instant::now();
    let (count, calls) = start_calls(&client, options, &counts).await;
    for call in calls {
        let _ = call.await;
    }
    let elapsed = started.elapsed();
    let processes = options.processes.iter().zip(before);
    LoadReport {
        through: counts.through.borrow().clone(),
        straight: counts.straight.borrow().clone(),
        lost: counts.lost.get(),
        first_loss: counts.first_loss.borrow().clone(),
        started: count,
        elapsed,
        processes: processes
            .map(|(process, before)| process_use(process, before, elapsed))
            .collect(),
    }
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).expect("the bounds are constant")
}

async fn open_programs(client: &Client, options: &LoadOptions) {
    const OPEN_AT_ONCE: u64 = 64;
    let mut next = 0;
    while next < options.programs {
        let group = next..options.programs.min(next + OPEN_AT_ONCE);
        next = group.end;
        let opened = group.map(|number| {
            let entry = &options.entries[number as usize % options.entries.len()];
            let body = json!({"session": session(options, number), "budget_tokens": 100_000_000});
            let request = client
                .post(format!("{entry}/v1/sessions"))
                .bearer_auth(&options.token);
            async move {
                let _ = request.send_json(&body).await;
            }
        });
        futures_util::future::join_all(opened).await;
    }
}

fn session(options: &LoadOptions, number: u64) -> String {
    format!("{}-{number}", options.session_prefix)
}

async fn start_calls(
    client: &Client,
    options: &LoadOptions,
    counts: &Rc<Counts>,
) -> (u64, Vec<actix_rt::task::JoinHandle<()>>) {
    let started = Instant::now();
    let gap =
        Duration::from_secs(1) / u32::try_from(options.calls_per_second.max(1)).unwrap_or(u32::MAX);
    let mut calls = Vec::new();
    let mut count = 0u64;
    while started.elapsed() < options.duration {
        let due = gap * u32::try_from(count).unwrap_or(u32::MAX);
        actix_rt::time::sleep(due.saturating_sub(started.elapsed())).await;
        let body = body(options, count);
        calls.push(actix_rt::spawn(through(
            client.clone(),
            options.clone(),
            body.clone(),
            count,
            counts.clone(),
        )));
        calls.push(actix_rt::spawn(straight(
            client.clone(),
            options.clone(),
            body,
            count,
            counts.clone(),
        )));
        count += 1;
    }
    (count, calls)
}

fn body(options: &LoadOptions, number: u64) -> Value {
    let prompt = format!("{number:08} {}", "x".repeat(options.prompt_bytes));
    json!({
        "model": options.model,
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": options.answer_tokens,
    })
}

async fn through(
    client: Client,
    options: LoadOptions,
    body: Value,
    number: u64,
    counts: Rc<Counts>,
) {
    let entry = &options.entries[number as usize % options.entries.len()];
    let request = client
        .post(format!("{entry}/v1/chat/completions"))
        .bearer_auth(&options.token)
        .insert_header((
            "rosebend-session",
            session(&options, number % options.programs),
        ));
    let started = Instant::now();
    match answer(request, &body).await {
        Ok(()) => record(&counts.through, started),
        Err(loss) => {
            counts.lost.set(counts.lost.get() + 1);
            counts.first_loss.borrow_mut().get_or_insert(loss);
        }
    }
}

async fn straight(
    client: Client,
    options: LoadOptions,
    body: Value,
    number: u64,
    counts: Rc<Counts>,
) {
    let engine = &options.engines[number as usize % options.engines.len()];
    let request = client.post(format!("{engine}/v1/chat/completions"));
    let started = Instant::now();
    if answer(request, &body).await.is_ok() {
        record(&counts.straight, started);
    }
}

async fn answer(request: awc::ClientRequest, body: &Value) -> Result<(), String> {
    let mut reply = request
        .send_json(body)
        .await
        .map_err(|error| error.to_string())?;
    let bytes = reply.body().await.map_err(|error| error.to_string())?;
    match reply.status().as_u16() {
        200 => Ok(()),
        status => Err(format!("{status}: {}", String::from_utf8_lossy(&bytes))),
    }
}

fn record(histogram: &RefCell<Histogram<u64>>, started: Instant) {
    let micros = u64::try_from(started.elapsed().as_micros()).unwrap_or(MAX_LATENCY_US);
    histogram.borrow_mut().saturating_record(micros.max(1));
}

fn process_use((name, id): &(String, u32), before_seconds: f64, elapsed: Duration) -> ProcessUse {
    let used_seconds = processor_seconds(*id) - before_seconds;
    ProcessUse {
        name: name.clone(),
        core_percent: 100.0 * used_seconds / elapsed.as_secs_f64(),
        resident_bytes: resident_bytes(*id),
    }
}

/// Processor time of a process, user and system, in seconds.
fn processor_seconds(id: u32) -> f64 {
    // The fields after the name, which ends with the last parenthesis, begin
    // with the third; user and system time are the 14th and 15th.
    let stat = fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .unwrap_or_default()
        .split_whitespace()
        .collect();
    let ticks = |index: usize| {
        fields
            .get(index)
            .and_then(|field| field.parse::<f64>().ok())
            .unwrap_or(0.0)
    };
    (ticks(11) + ticks(12)) / TICKS_PER_SECOND
}

fn resident_bytes(id: u32) -> u64 {
    let statm = fs::read_to_string(format!("/proc/{id}/statm")).unwrap_or_default();
    let pages = statm
        .split_whitespace()
        .nth(1)
        .and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}
