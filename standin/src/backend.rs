//! An endpoint as the users' platform has them: a plain service or a model
//! engine that streams, told apart by the path.
//!
//! | request | does |
//! |---|---|
//! | any with an attempt, path with `/stream` | streams events, after `Last-Event-Id` where it is told |
//! | any other with an attempt | answers after the delay |
//! | `POST /faults` [`BackendFaults`] | changes the faults |
//! | `POST /restart` | breaks off what runs and starts again under the same id |
//! | `GET /report` [`Report`] | what it says of itself |
//! | `GET /turns` [`Turns`] | how many streams it runs, and the most at a time since the last such request |
//! | `GET /runs` [`Runs`] | what has run at any start, by attempt |
//! | `GET /healthz` | the health check of the platform |

use std::collections::BTreeMap;
use std::fs::OpenOptions;
use std::io::{self, Write as _};
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Command;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use rosebend_protocol::problem::Ran;
use rosebend_transport::http_server::{HttpReply, HttpRequest, ReplyBody, StreamPiece};
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::sync::{mpsc, watch};

use crate::reply::{cut, parse, problem, take_one};
use crate::server::RunningServer;

/// What an endpoint does wrong, and how fast it is.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct BackendFaults {
    /// Milliseconds before an answer, and between the events of a stream.
    pub delay_ms: u64,
    /// Events of a stream.
    pub events: u64,
    /// Number of requests more that are refused as not run.
    pub refuse: u64,
    /// Number of requests more that are answered with 500 before they begin to run.
    pub errors: u64,
    /// Number of requests more that run and whose answer is lost.
    pub lose_answers: u64,
    /// Number of answers more that are cut in their body.
    pub cut_bodies: u64,
    /// Number of streams more that break off after `break_at_bytes`.
    pub break_streams: u64,
    /// Number of streams more that say nothing more after `break_at_bytes`.
    pub stall_streams: u64,
    /// Bytes after which a stream breaks off or stalls; it may lie within an
    /// event.
    pub break_at_bytes: usize,
    /// Number of streams more that end as whole after `break_at_bytes`.
    pub end_streams: u64,
    /// Number of streams more that begin at their first event although they
    /// are told which one the caller has.
    pub forget_events: u64,
    /// Number of answers more that name another attempt.
    pub other_attempt: u64,
    /// Number of answers more that bear no proof of their maker.
    pub unstamped: u64,
    /// Number of answers more that have neither a length nor chunks and end with
    /// their connection.
    pub unframed: u64,
    /// Bytes that plain answers are longer than usual.
    pub padding_bytes: usize,
    /// Speed that the endpoint reports with its load, in percent of the usual work time.
    /// It does not change how fast the endpoint is.
    pub work_time_percent: Option<u32>,
}

impl Default for BackendFaults {
    fn default() -> Self {
        Self {
            delay_ms: 0,
            events: 3,
            refuse: 0,
            errors: 0,
            lose_answers: 0,
            cut_bodies: 0,
            break_streams: 0,
            stall_streams: 0,
            break_at_bytes: 0,
            end_streams: 0,
            forget_events: 0,
            other_attempt: 0,
            unstamped: 0,
            unframed: 0,
            padding_bytes: 0,
            work_time_percent: None,
        }
    }
}

/// One request that ran.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Run {
    /// How often it ran.
    pub count: u64,
    /// Method and path with the query.
    pub target: String,
    /// The body that it came with.
    pub body: String,
    /// Its headers, with lower-case names.
    pub headers: BTreeMap<String, String>,
}

/// What has run, by attempt.
pub type Runs = BTreeMap<String, Run>;

/// What an endpoint says of itself.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Report {
    /// Unix millisecond of its start.
    pub born: u64,
    /// Requests that run.
    pub active: u64,
    /// Requests that it has begun since its start.
    pub seq: u64,
}

/// The streams that an endpoint runs, each from its request to its last event.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Turns {
    /// Streams that run.
    pub running: u64,
    /// Most streams that have run at a time since this was last asked for.
    pub most: u64,
}

#[derive(Debug, Default)]
struct State {
    faults: BackendFaults,
    /// Record for tests; it outlasts the endpoint's starts.
    runs: Runs,
    running: u64,
    begun: u64,
    turns: Turns,
}

/// The time of day in whole milliseconds, as a start tells it.
pub fn time_of_day_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| u64::try_from(now.as_millis()).unwrap_or(u64::MAX))
}

/// Exit code of an endpoint that a request has crashed.
pub const CRASH_EXIT_CODE: i32 = 70;

/// What an endpoint is and where it records what it receives.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BackendConfig {
    /// Id of its run.
    pub instance: String,
    /// Unix millisecond of its start, or `None` for the present.
    pub born_ms: Option<u64>,
    /// The process crashes when a request begins to run that contains this text in its path, a
    /// header or its body.
    pub crash_on: Option<String>,
    /// How the process crashes.
    pub crash: Crash,
    /// Time from the beginning of such a request to the crash, whether or not its caller is
    /// still connected.
    pub crash_delay: Duration,
    /// Whether health checks are answered with 503 and without the id of the run.
    pub is_unhealthy: bool,
    /// The endpoint starts again, as after a crash, when a request begins to run that contains
    /// this text.
    pub restart_on: Option<String>,
    /// File to which a line is appended for each request that is received. Unlike the
    /// runs in memory, it outlasts the process.
    pub received: Option<PathBuf>,
}

impl BackendConfig {
    /// An endpoint that starts now, crashes at no request and records none in a file.
    pub fn new(instance: &str) -> Self {
        Self {
            instance: instance.to_owned(),
            born_ms: None,
            crash_on: None,
            crash: Crash::Exit,
            crash_delay: Duration::ZERO,
            is_unhealthy: false,
            restart_on: None,
            received: None,
        }
    }
}

/// How an endpoint's process crashes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Crash {
    /// The process exits.
    #[default]
    Exit,
    /// The process stops for good. Its connections stay open and silent, as those of a machine
    /// that has lost power.
    Stop,
}

/// A request that an endpoint received, as a line of its record tells it.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct Received {
    /// Unix millisecond at which it was received.
    pub at_ms: u64,
    /// Id of the endpoint's run.
    pub instance: String,
    /// Attempt of the caller.
    pub attempt: String,
    /// Method and path.
    pub target: String,
    /// Whether the endpoint began to work on it. It refuses what is for another run.
    pub runs: bool,
    /// Whether it contains the text that crashes the endpoint.
    pub crashes: bool,
    /// Milliseconds that were left, if the request had a deadline.
    pub deadline_ms: Option<u64>,
    /// Body.
    pub body: String,
}

/// The endpoint.
#[derive(Clone, Debug)]
pub struct Backend {
    config: BackendConfig,
    state: Arc<Mutex<State>>,
    /// Unix millisecond of the present start; each is later than the one before.
    born_ms: Arc<watch::Sender<u64>>,
}

/// Counts a request while it runs.
#[derive(Debug)]
struct Running(Arc<Mutex<State>>);

impl Drop for Running {
    fn drop(&mut self) {
        if let Ok(mut state) = self.0.lock() {
            state.running -= 1;
        }
    }
}

/// Counts a stream until its end.
#[derive(Debug)]
struct RunningTurn(Arc<Mutex<State>>);

impl RunningTurn {
    fn start(state: &Arc<Mutex<State>>) -> Self {
        if let Ok(mut state) = state.lock() {
            state.turns.running += 1;
            state.turns.most = state.turns.most.max(state.turns.running);
        }
        Self(Arc::clone(state))
    }
}

impl Drop for RunningTurn {
    fn drop(&mut self) {
        if let Ok(mut state) = self.0.lock() {
            state.turns.running -= 1;
        }
    }
}

impl Backend {
    /// Starts an endpoint on a bound listener, inside an `actix_rt` system.
    ///
    /// # Errors
    ///
    /// Fails when the listener cannot be used.
    pub fn start(listener: TcpListener, instance: &str) -> io::Result<RunningServer> {
        Self::start_at(listener, instance, time_of_day_ms())
    }

    /// Starts an endpoint that tells `born_ms` as the time of its start. One
    /// that has this id may have run before.
    ///
    /// # Errors
    ///
    /// Fails when the listener cannot be used.
    pub fn start_at(
        listener: TcpListener,
        instance: &str,
        born_ms: u64,
    ) -> io::Result<RunningServer> {
        let config = BackendConfig {
            born_ms: Some(born_ms),
            ..BackendConfig::new(instance)
        };
        Self::start_with(listener, config)
    }

    /// Starts an endpoint with this configuration.
    ///
    /// # Errors
    ///
    /// Fails when the listener cannot be used.
    pub fn start_with(listener: TcpListener, config: BackendConfig) -> io::Result<RunningServer> {
        let born_ms = config.born_ms.unwrap_or_else(time_of_day_ms);
        let backend = Self {
            config,
            state: Arc::default(),
            born_ms: Arc::new(watch::Sender::new(born_ms)),
        };
        RunningServer::start("backend", listener, |_| {
            move |request| {
                let backend = backend.clone();
                async move { backend.answer(request).await }
            }
        })
    }

    async fn answer(&self, request: HttpRequest) -> HttpReply {
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/faults") => self.set_faults(&request),
            ("POST", "/restart") => self.restart(),
            ("GET", "/report") => HttpReply::json(200, &self.report()),
            ("GET", "/turns") => HttpReply::json(200, &self.take_turns()),
            ("GET", "/runs") => HttpReply::json(200, &self.lock().runs),
            ("GET", "/healthz") => self.health(),
            _ => self.run_until_restart(request).await,
        }
    }

    /// Answers a health check of the platform, which is no run.
    fn health(&self) -> HttpReply {
        if self.config.is_unhealthy {
            return HttpReply::json(503, &json!({}));
        }
        let mut reply = HttpReply::json(200, &json!({}));
        reply
            .headers
            .push(("instance-id", self.config.instance.clone()));
        reply
    }

    fn take_turns(&self) -> Turns {
        let turns = &mut self.lock().turns;
        let taken = *turns;
        turns.most = turns.running;
        taken
    }

    fn report(&self) -> Report {
        let state = self.lock();
        Report {
            born: *self.born_ms.borrow(),
            active: state.running,
            seq: state.begun,
        }
    }

    fn restart(&self) -> HttpReply {
        {
            let mut state = self.lock();
            state.faults = BackendFaults::default();
            state.begun = 0;
        }
        self.born_ms
            .send_modify(|born_ms| *born_ms = time_of_day_ms().max(*born_ms + 1));
        HttpReply::json(200, &self.report())
    }

    async fn run_until_restart(&self, request: HttpRequest) -> HttpReply {
        let mut born_ms = self.born_ms.subscribe();
        tokio::select! {
            reply = self.run(request) => reply,
            _ = born_ms.changed() => cut(),
        }
    }

    fn set_faults(&self, request: &HttpRequest) -> HttpReply {
        match parse(request) {
            Ok(faults) => {
                self.lock().faults = faults;
                HttpReply::json(200, &json!({}))
            }
            Err(reply) => reply,
        }
    }

    async fn run(&self, request: HttpRequest) -> HttpReply {
        let Some(attempt) = request.header("attempt-id").map(str::to_owned) else {
            return not_run(400, "no-attempt");
        };
        let target = request.header("target-instance");
        let is_meant = target.is_none_or(|target| target == self.config.instance);
        let has_room = !is_meant || !take_one(&mut self.lock().faults.refuse);
        let has_error = is_meant && has_room && take_one(&mut self.lock().faults.errors);
        let crashes = contains(&request, self.config.crash_on.as_deref());
        let runs = is_meant && has_room && !has_error;
        self.record_received(&attempt, &request, runs, crashes);
        if !is_meant {
            return not_run(421, "other-instance");
        }
        if !has_room {
            return not_run(503, "full");
        }
        if has_error {
            let reply = HttpReply::bytes(500, "text/plain", b"error".to_vec());
            return self.stamped(&attempt, reply);
        }
        self.note(&attempt, &request);
        if crashes {
            self.crash().await;
        }
        if contains(&request, self.config.restart_on.as_deref()) {
            self.restart();
            self.lock().running -= 1;
            return cut();
        }
        let _running = Running(Arc::clone(&self.state));
        let is_stream = request.path.contains("/stream");
        let turn = is_stream.then(|| RunningTurn::start(&self.state));
        let delay_ms = self.lock().faults.delay_ms;
        actix_rt::time::sleep(Duration::from_millis(delay_ms)).await;
        if take_one(&mut self.lock().faults.lose_answers) {
            return cut();
        }
        if let Some(turn) = turn {
            return self.stamped(&attempt, self.stream(&request, turn));
        }
        let padding = " ".repeat(self.lock().faults.padding_bytes);
        let body = format!("answer to {attempt}{padding}");
        let reply = match take_one(&mut self.lock().faults.cut_bodies) {
            true => cut(),
            false => HttpReply::bytes(200, "text/plain", body.into_bytes()),
        };
        self.stamped(&attempt, reply)
    }

    /// Appends a line to the record of received requests.
    ///
    /// # Panics
    ///
    /// Panics if the file cannot be written, since a test counts by it.
    fn record_received(&self, attempt: &str, request: &HttpRequest, runs: bool, crashes: bool) {
        let Some(path) = &self.config.received else {
            return;
        };
        let deadline_ms = request.header("deadline-ms");
        let received = Received {
            at_ms: time_of_day_ms(),
            instance: self.config.instance.clone(),
            attempt: attempt.to_owned(),
            target: format!("{} {}", request.method, request.path),
            runs,
            crashes,
            deadline_ms: deadline_ms.and_then(|text| text.parse().ok()),
            body: String::from_utf8_lossy(&request.body).into_owned(),
        };
        let mut line = serde_json::to_string(&received).expect("texts have a JSON form");
        line.push('\n');
        let file = OpenOptions::new().create(true).append(true).open(path);
        // One write, so that lines of several processes do not mix.
        let written = file.and_then(|mut file| file.write_all(line.as_bytes()));
        written.expect("the record of received requests can be written");
    }

    /// Crashes after the configured time. A caller that leaves meanwhile does not prevent it.
    async fn crash(&self) {
        let (crash, delay) = (self.config.crash, self.config.crash_delay);
        let crashing = actix_rt::spawn(async move {
            actix_rt::time::sleep(delay).await;
            match crash {
                Crash::Exit => std::process::exit(CRASH_EXIT_CODE),
                Crash::Stop => stop_process(),
            }
        });
        crashing.await.expect("the crash does not panic");
        // Threads may go on for a moment after the signal that stops the process.
        std::future::pending::<()>().await;
    }

    fn note(&self, attempt: &str, request: &HttpRequest) {
        let mut state = self.lock();
        state.running += 1;
        state.begun += 1;
        let run = state.runs.entry(attempt.to_owned()).or_default();
        run.count += 1;
        run.target = format!("{} {}", request.method, request.path);
        if !request.query.is_empty() {
            run.target.push('?');
            run.target.push_str(&request.query);
        }
        run.body = String::from_utf8_lossy(&request.body).into_owned();
        let text = |value: &actix_http::header::HeaderValue| {
            String::from_utf8_lossy(value.as_bytes()).into_owned()
        };
        let headers = request.headers.iter();
        run.headers = headers
            .map(|(name, value)| (name.to_string(), text(value)))
            .collect();
    }

    fn stream(&self, request: &HttpRequest, turn: RunningTurn) -> HttpReply {
        let (sender, pieces) = mpsc::channel(1);
        let (plan, delay_ms) = {
            let mut state = self.lock();
            let plan = StreamPlan::new(&mut state.faults, request);
            (plan, state.faults.delay_ms)
        };
        let mut born_ms = self.born_ms.subscribe();
        actix_rt::spawn(async move {
            for event in plan.pieces {
                if sender.send(StreamPiece::Data(event)).await.is_err() {
                    return;
                }
                let pause = actix_rt::time::sleep(Duration::from_millis(delay_ms));
                tokio::select! {
                    () = pause => {}
                    // Dropping the sender breaks the stream off.
                    _ = born_ms.changed() => return,
                }
            }
            // The work has ended before the caller has the end.
            drop(turn);
            match plan.end {
                StreamEnd::Whole => {
                    // The caller may have gone before the end.
                    let _ = sender.send(StreamPiece::End).await;
                }
                StreamEnd::BrokenOff => {}
                StreamEnd::Silent => sender.closed().await,
            }
        });
        HttpReply::stream(200, "text/event-stream", pieces)
    }

    fn stamped(&self, attempt: &str, mut reply: HttpReply) -> HttpReply {
        let mut state = self.lock();
        let attempt = match take_one(&mut state.faults.other_attempt) {
            true => "0000000000000000".to_owned(),
            false => attempt.to_owned(),
        };
        reply.headers.push(("attempt-id", attempt));
        if !take_one(&mut state.faults.unstamped) {
            reply
                .headers
                .push(("response-stamp", format!("stamp.{}", self.config.instance)));
        }
        reply.is_close_delimited = take_one(&mut state.faults.unframed);
        let speed = state.faults.work_time_percent;
        let speed = speed.map_or(String::new(), |percent| format!(",{percent}"));
        let load = format!("{},0,8{speed}", state.running);
        reply.headers.push(("server-load", load));
        debug_assert!(!matches!(&reply.body, ReplyBody::Whole(body) if body.is_empty()));
        reply
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .expect("no holder of the state's lock panics")
    }
}

/// How a stream ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum StreamEnd {
    Whole,
    BrokenOff,
    Silent,
}

/// What a stream will send.
#[derive(Debug)]
struct StreamPlan {
    pieces: Vec<Bytes>,
    end: StreamEnd,
}

impl StreamPlan {
    fn new(faults: &mut BackendFaults, request: &HttpRequest) -> Self {
        let last = request.header("last-event-id");
        let last: Option<u64> = last.and_then(|last| last.parse().ok());
        let last = last.filter(|_| !take_one(&mut faults.forget_events));
        let first = last.map_or(0, |last| last + 1);
        let event = |number| Bytes::from(format!("id: {number}\ndata: word{number}\n\n"));
        let mut pieces: Vec<Bytes> = (first..faults.events).map(event).collect();
        if take_one(&mut faults.cut_bodies) {
            let end = StreamEnd::BrokenOff;
            return Self { pieces, end };
        }
        let end = if take_one(&mut faults.break_streams) {
            StreamEnd::BrokenOff
        } else if take_one(&mut faults.stall_streams) {
            StreamEnd::Silent
        } else if take_one(&mut faults.end_streams) {
            StreamEnd::Whole
        } else {
            let end = StreamEnd::Whole;
            return Self { pieces, end };
        };
        let mut left_bytes = faults.break_at_bytes;
        for piece in &mut pieces {
            piece.truncate(left_bytes);
            left_bytes -= piece.len();
        }
        pieces.retain(|piece| !piece.is_empty());
        Self { pieces, end }
    }
}

/// Stops this process for good.
fn stop_process() {
    let id = std::process::id().to_string();
    let stopped = Command::new("kill").args(["-s", "STOP", &id]).status();
    assert!(
        stopped.is_ok_and(|status| status.success()),
        "the process cannot be stopped"
    );
}

/// Returns whether the path, a header or the body of a request contains a text, if there is
/// one.
fn contains(request: &HttpRequest, text: Option<&str>) -> bool {
    let Some(text) = text else {
        return false;
    };
    let mut headers = request.headers.iter();
    request.path.contains(text)
        || headers.any(|(_, value)| String::from_utf8_lossy(value.as_bytes()).contains(text))
        || String::from_utf8_lossy(&request.body).contains(text)
}

fn not_run(status: u16, reason: &str) -> HttpReply {
    let mut reply = problem(status, reason, Ran::No, "not run");
    reply.headers.push(("not-executed", "1".to_owned()));
    reply
}
