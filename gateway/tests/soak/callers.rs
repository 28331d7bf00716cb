//! Callers that run programs, and what must be true of all that they saw.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use http::Method;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rosebend_standin::backend::Runs;
use rosebend_transport::connection::Connection;

use crate::faults::Fleet;
use crate::support::{Answer, Ask};

/// Longest wait of a caller for one answer.
const PATIENCE: Duration = Duration::from_secs(4);
/// Tokens that a program may use.
const BUDGET: u64 = 1_000;
/// Tokens of one event, by the declared routes.
const TOKENS_PER_EVENT: u64 = 10;
/// Statuses that promise that a request has not run and never will.
const PROMISES: [u16; 7] = [402, 404, 408, 413, 421, 429, 503];

/// What callers saw.
#[derive(Default)]
pub struct Ledger {
    /// Status of each request that may not be repeated; zero without one.
    unsafe_answers: HashMap<String, u16>,
    /// Prompts that turns answered whole must have had.
    prompts: HashMap<String, String>,
    /// Tokens handed out, by program.
    tokens: HashMap<String, u64>,
    whole: u64,
    refused: u64,
    other: u64,
    violations: Vec<String>,
}

impl Ledger {
    pub fn summary(&self) -> String {
        let (whole, refused, other) = (self.whole, self.refused, self.other);
        format!("{whole} whole, {refused} refused, {other} other answers")
    }

    fn count(&mut self, answer: &Answer) {
        match answer.status {
            200 if answer.is_whole => self.whole += 1,
            status if PROMISES.contains(&status) => self.refused += 1,
            _ => self.other += 1,
        }
    }

    /// Checks what was seen against what ran.
    pub fn check(&self, all_runs: &[Runs], seed: u64) {
        assert!(
            self.violations.is_empty(),
            "seed {seed}: {:?}",
            self.violations
        );
        assert!(self.whole > 0, "seed {seed}: nothing was served");
        for (attempt, status) in &self.unsafe_answers {
            let count: u64 = all_runs
                .iter()
                .filter_map(|runs| runs.get(attempt))
                .map(|run| run.count)
                .sum();
            assert!(count <= 1, "seed {seed}: {attempt} ran {count} times");
            if PROMISES.contains(status) {
                assert_eq!(
                    count, 0,
                    "seed {seed}: {attempt} ran, and was told {status}"
                );
            }
            if *status == 200 {
                assert_eq!(count, 1, "seed {seed}: {attempt} did not run");
            }
        }
        for (attempt, prompt) in &self.prompts {
            let run = all_runs.iter().find_map(|runs| runs.get(attempt));
            let run = run.unwrap_or_else(|| panic!("seed {seed}: {attempt} did not run"));
            assert_eq!(run.body, *prompt, "seed {seed}: {attempt}");
        }
        for (program, tokens) in &self.tokens {
            assert!(
                *tokens <= BUDGET,
                "seed {seed}: {program} got {tokens} tokens"
            );
        }
    }
}

/// Callers at work.
pub struct Callers {
    stopping: Rc<Cell<bool>>,
    tasks: Vec<JoinHandle<()>>,
}

impl Callers {
    pub fn start(
        count: usize,
        seed: u64,
        fleet: &Rc<RefCell<Fleet>>,
        ledger: &Rc<RefCell<Ledger>>,
    ) -> Self {
        let stopping = Rc::new(Cell::new(false));
        let caller = |number| Caller {
            name: format!("s{seed}c{number}"),
            random: ChaCha8Rng::seed_from_u64(seed * 1_000 + number as u64),
            fleet: Rc::clone(fleet),
            ledger: Rc::clone(ledger),
            stopping: Rc::clone(&stopping),
            connections: HashMap::new(),
            attempts: 0,
        };
        let tasks = (0..count).map(|number| actix_rt::spawn(caller(number).run()));
        Self {
            tasks: tasks.collect(),
            stopping,
        }
    }

    /// Lets every caller end its program.
    pub async fn stop(self) {
        self.stopping.set(true);
        for task in self.tasks {
            task.await.unwrap();
        }
    }
}

struct Caller {
    name: String,
    random: ChaCha8Rng,
    fleet: Rc<RefCell<Fleet>>,
    ledger: Rc<RefCell<Ledger>>,
    stopping: Rc<Cell<bool>>,
    /// Connections that are kept until their process is gone.
    connections: HashMap<SocketAddr, Connection>,
    attempts: u64,
}

impl Caller {
    async fn run(mut self) {
        let mut number = 0;
        while !self.stopping.get() {
            number += 1;
            let program = format!("{}p{number}", self.name);
            self.program(&program).await;
        }
    }

    /// A program of a few turns, with calls of tools between them.
    async fn program(&mut self, program: &str) {
        let mut previous: Option<(String, String)> = None;
        for turn in 0..self.random.random_range(2..7) {
            self.tool().await;
            let Some(next) = self.turn(program, turn, previous.as_ref()).await else {
                return;
            };
            previous = Some(next);
        }
    }

    /// One turn, sent again until it is answered whole. Returns its attempt and
    /// all that was said up to its end.
    async fn turn(
        &mut self,
        program: &str,
        turn: usize,
        previous: Option<&(String, String)>,
    ) -> Option<(String, String)> {
        for _ in 0..8 {
            let attempt = self.attempt();
            let input = format!("{program}.{turn}|");
            let mut ask = Ask::turn(&attempt, program, &input);
            if let Some((attempt, _)) = previous {
                ask = ask.previous(attempt);
            }
            let answer = self.ask(&ask).await;
            self.note_turn(program, &attempt, previous, &answer);
            if answer.status == 200 && answer.is_whole {
                let said = previous.map_or("", |(_, said)| said.as_str());
                let prompt = format!("{said}{input}");
                let output = output_of(&answer.body);
                self.ledger
                    .borrow_mut()
                    .prompts
                    .insert(attempt.clone(), prompt.clone());
                return Some((attempt, format!("{prompt}{output}")));
            }
            if answer.status == 402 || self.stopping.get() {
                return None;
            }
            actix_rt::time::sleep(Duration::from_millis(100)).await;
        }
        None
    }

    fn note_turn(
        &self,
        program: &str,
        attempt: &str,
        previous: Option<&(String, String)>,
        answer: &Answer,
    ) {
        let mut ledger = self.ledger.borrow_mut();
        ledger.count(answer);
        ledger
            .unsafe_answers
            .insert(attempt.to_owned(), answer.status);
        if answer.status == 404
            && let Some((previous, _)) = previous
        {
            let violation = format!("{attempt}: {previous} was denied");
            ledger.violations.push(violation);
        }
        if answer.status == 200 {
            let events = answer.body.matches("data: ").count() as u64;
            *ledger.tokens.entry(program.to_owned()).or_default() += events * TOKENS_PER_EVENT;
        }
    }

    /// A call that may or may not be repeated.
    async fn tool(&mut self) {
        let attempt = self.attempt();
        let is_unsafe = self.random.random_bool(0.5);
        let ask = match is_unsafe {
            true => Ask::new(Method::POST, "/fee/receipt").body("fee"),
            false => Ask::get("/lookup/status"),
        };
        let answer = self.ask(&ask.attempt(&attempt)).await;
        let mut ledger = self.ledger.borrow_mut();
        ledger.count(&answer);
        if answer.status == 200 && answer.is_whole && answer.body != format!("answer to {attempt}")
        {
            let violation = format!("{attempt} got {:?}", answer.body);
            ledger.violations.push(violation);
        }
        if is_unsafe {
            ledger.unsafe_answers.insert(attempt, answer.status);
        }
    }

    fn attempt(&mut self) -> String {
        self.attempts += 1;
        format!("{}a{}", self.name, self.attempts)
    }

    /// Sends a request to a gateway at random, on a kept connection if there is
    /// one; a request that got no answer is not known to have failed.
    async fn ask(&mut self, ask: &Ask) -> Answer {
        let fronts: Vec<SocketAddr> = self.fleet.borrow().fronts().into_iter().flatten().collect();
        if fronts.is_empty() {
            actix_rt::time::sleep(Duration::from_millis(50)).await;
            return Answer::default();
        }
        let front = fronts[self.random.random_range(0..fronts.len())];
        let kept = self.connections.remove(&front).filter(Connection::is_clean);
        let connection = match kept {
            Some(connection) => Ok(connection),
            None => Connection::open(front).await,
        };
        let Ok(mut connection) = connection else {
            return Answer::default();
        };
        let answer = tokio::time::timeout(PATIENCE, ask.send_on(&mut connection)).await;
        let answer = answer.unwrap_or_default();
        let closes = answer.header("connection") == Some("close");
        if answer.status != 0 && answer.is_whole && !closes {
            self.connections.insert(front, connection);
        }
        answer
    }
}

/// What later prompts hold of a stream.
fn output_of(body: &str) -> String {
    let data = body.lines().filter_map(|line| line.strip_prefix("data: "));
    data.map(|data| format!("{data}\n")).collect()
}
