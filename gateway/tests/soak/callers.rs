//! Callers that run programs, and what must be true of all that they saw.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use http::Method;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rosebend_standin::backend::Runs;
use rosebend_transport::connection::Connection;

use crate::budgets::{Budgets, End, WronglyRefused};
use crate::fleet::Shared;
use crate::support::{TestRequest, TestResponse};

/// Longest wait of a caller for one answer.
const PATIENCE: Duration = Duration::from_secs(4);
/// Budgets of programs; the least holds one turn, and the most all turns of
/// programs that end.
const BUDGETS: [u64; 4] = [120, 250, 400, 1_000];
/// Share of the programs that go on until their budget is spent.
const RUNAWAYS: f64 = 0.15;
/// Turns of such a program at most; by then each budget is spent.
const RUNAWAY_TURNS: usize = 110;
/// Share of the programs whose route keeps no history.
const UNKEPT: f64 = 0.3;
/// Share of the turns after which a sub-agent runs beside the program.
const SUB_AGENTS: f64 = 0.1;
/// Tries of one turn.
const TRIES: usize = 8;
/// Share of the requests that go out on an open connection, whatever has become
/// of its host since.
const KEPT: f64 = 0.7;
/// Statuses that promise that a request has not run and never will.
const PROMISES: [u16; 8] = [402, 404, 408, 410, 413, 421, 429, 503];

/// What callers saw.
#[derive(Default)]
pub struct Ledger {
    /// Status of each request that may not be repeated; zero without one.
    unsafe_answers: HashMap<String, u16>,
    /// Prompts that turns answered whole must have had.
    prompts: HashMap<String, String>,
    budgets: Budgets,
    /// Where each program stood after its last whole turn.
    ends: BTreeMap<String, (Program, Said)>,
    whole: u64,
    refused: u64,
    other: u64,
    violations: Vec<String>,
}

impl Ledger {
    pub fn summary(&self) -> String {
        let (whole, refused, other) = (self.whole, self.refused, self.other);
        let budgets = self.budgets.summary();
        format!("{whole} whole, {refused} refused, {other} other answers; {budgets}")
    }

    /// The attempts that the first violation names.
    pub fn first_violation(&self) -> Vec<&str> {
        let violation = self.violations.first();
        let words = violation.map(|text| text.split([':', ' ']));
        let words = words.into_iter().flatten();
        words.filter(|word| word.starts_with('s')).collect()
    }

    /// The program that was wrongly refused first.
    pub fn wrongly_refused(&self) -> Option<WronglyRefused> {
        self.budgets.wrongly_refused()
    }

    /// A program that got more than its budget allows.
    pub fn overspent(&self) -> Option<&str> {
        self.budgets.overspent()
    }

    fn count(&mut self, answer: &TestResponse) {
        match answer.status {
            200 if answer.is_complete => self.whole += 1,
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
        self.budgets.check(seed);
    }
}

/// All that was said up to the end of a turn.
#[derive(Clone, Debug)]
struct Said {
    attempt: String,
    text: String,
}

/// What a caller tells with each turn of a program.
#[derive(Clone, Debug)]
struct Program {
    name: String,
    budget_tokens: u64,
    /// Whether its route keeps the history.
    is_kept: bool,
}

impl Program {
    /// A turn that goes on from what was said before.
    fn turn(&self, attempt: &str, input: &str, said: Option<&Said>) -> TestRequest {
        let ask = TestRequest::turn(attempt, &self.name, input)
            .header("token-budget", &self.budget_tokens.to_string());
        match said {
            Some(said) if self.is_kept => ask.previous(&said.attempt),
            None if self.is_kept => ask,
            said => ask
                .at_path("/unkept/stream/turn")
                .body(&prompt(said, input)),
        }
    }
}

/// What a turn's endpoint must be given.
fn prompt(said: Option<&Said>, input: &str) -> String {
    let before = said.map_or("", |said| said.text.as_str());
    format!("{before}{input}")
}

/// Callers at work.
pub struct Callers {
    stopping: Rc<Cell<bool>>,
    tasks: Vec<JoinHandle<()>>,
}

impl Callers {
    pub fn start(count: usize, seed: u64, fleet: &Shared, ledger: &Rc<RefCell<Ledger>>) -> Self {
        let stopping = Rc::new(Cell::new(false));
        let caller = |number| Caller {
            name: format!("s{seed}c{number}"),
            random: ChaCha8Rng::seed_from_u64(seed * 1_000 + number as u64),
            fleet: Rc::clone(fleet),
            ledger: Rc::clone(ledger),
            stopping: Rc::clone(&stopping),
            connections: BTreeMap::new(),
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

/// Lets programs of before go on by one turn, which must be served now.
pub async fn go_on(most: usize, seed: u64, fleet: &Shared, ledger: &Rc<RefCell<Ledger>>) {
    let mut caller = Caller {
        name: format!("s{seed}z"),
        random: ChaCha8Rng::seed_from_u64(seed),
        fleet: Rc::clone(fleet),
        ledger: Rc::clone(ledger),
        stopping: Rc::default(),
        connections: BTreeMap::new(),
        attempts: 0,
    };
    let ends = ledger.borrow().ends.clone();
    let budgets = |program: &str| ledger.borrow().budgets.holds_a_turn(program);
    let able = ends.into_iter().filter(|(program, _)| budgets(program));
    for (name, (program, said)) in able.take(most) {
        let next = caller.turn(&program, "last", Some(&said));
        if next.await.is_none() {
            let violation = format!("{name} could not go on");
            ledger.borrow_mut().violations.push(violation);
        }
    }
}

struct Caller {
    name: String,
    random: ChaCha8Rng,
    fleet: Shared,
    ledger: Rc<RefCell<Ledger>>,
    stopping: Rc<Cell<bool>>,
    /// Connections that are kept until their process is gone.
    connections: BTreeMap<SocketAddr, Connection>,
    attempts: u64,
}

impl Caller {
    async fn run(mut self) {
        let mut number = 0;
        while !self.stopping.get() {
            number += 1;
            let program = Program {
                name: format!("{}p{number}", self.name),
                budget_tokens: *BUDGETS.choose(&mut self.random).unwrap(),
                is_kept: !self.random.random_bool(UNKEPT),
            };
            self.run_program(&program).await;
        }
    }

    /// A program of a few turns, with calls of tools between them, and at times
    /// a sub-agent beside it.
    async fn run_program(&mut self, program: &Program) {
        let turns = match self.random.random_bool(RUNAWAYS) {
            true => RUNAWAY_TURNS,
            false => self.random.random_range(2..7),
        };
        let mut said: Option<Said> = None;
        let mut agents = Vec::new();
        for turn in 0..turns {
            self.tool().await;
            said = self.turn(program, &turn.to_string(), said.as_ref()).await;
            let Some(said) = &said else {
                break;
            };
            if self.random.random_bool(SUB_AGENTS) {
                let agent = self.sub_agent(turn);
                let work = agent.run_beside(program.clone(), said.clone());
                agents.push(actix_rt::spawn(work));
            }
        }
        for agent in agents {
            agent.await.unwrap();
        }
    }

    /// A caller that works for the same program.
    fn sub_agent(&mut self, turn: usize) -> Self {
        Self {
            name: format!("{}t{}n{turn}", self.name, self.attempts),
            random: ChaCha8Rng::seed_from_u64(self.random.random()),
            fleet: Rc::clone(&self.fleet),
            ledger: Rc::clone(&self.ledger),
            stopping: Rc::clone(&self.stopping),
            connections: BTreeMap::new(),
            attempts: 0,
        }
    }

    /// Two turns that go on from one of the program that it works for.
    async fn run_beside(mut self, program: Program, mut said: Said) {
        for turn in 0..2 {
            let name = format!("{}.{turn}", self.name);
            let Some(next) = self.turn(&program, &name, Some(&said)).await else {
                return;
            };
            said = next;
        }
    }

    /// One turn, sent again until it is answered whole. Returns all that was
    /// said up to its end.
    async fn turn(&mut self, program: &Program, turn: &str, said: Option<&Said>) -> Option<Said> {
        let name = &program.name;
        let input = format!("{name}.{turn}|");
        for _ in 0..TRIES {
            let attempt = self.attempt();
            let ask = program.turn(&attempt, &input, said);
            self.ledger
                .borrow_mut()
                .budgets
                .begin(name, &attempt, program.budget_tokens);
            let answer = self.ask(&ask).await;
            self.note_turn(program, &attempt, said, answer.as_ref());
            let answer = answer.unwrap_or_default();
            if answer.status == 200 && answer.is_complete {
                let prompt = prompt(said, &input);
                let said = Said {
                    attempt,
                    text: format!("{prompt}{}", output_of(&answer.body)),
                };
                let mut ledger = self.ledger.borrow_mut();
                ledger.prompts.insert(said.attempt.clone(), prompt);
                let end = (program.clone(), said.clone());
                ledger.ends.insert(name.clone(), end);
                return Some(said);
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
        program: &Program,
        attempt: &str,
        previous: Option<&Said>,
        answer: Option<&TestResponse>,
    ) {
        let mut ledger = self.ledger.borrow_mut();
        // The end of a turn that is kept is handed out once it is durable.
        let is_settled = program.is_kept;
        ledger
            .budgets
            .end(&program.name, attempt, end_of(answer), is_settled);
        let Some(answer) = answer else {
            return;
        };
        ledger.count(answer);
        ledger
            .unsafe_answers
            .insert(attempt.to_owned(), answer.status);
        if [404, 410].contains(&answer.status)
            && let Some(previous) = previous
        {
            let violation = format!("{attempt}: {} was denied", previous.attempt);
            ledger.violations.push(violation);
        }
    }

    /// A call that may or may not be repeated.
    async fn tool(&mut self) {
        let attempt = self.attempt();
        let is_unsafe = self.random.random_bool(0.5);
        let ask = match is_unsafe {
            true => TestRequest::new(Method::POST, "/fee/receipt").body("fee"),
            false => TestRequest::get("/lookup/status"),
        };
        let Some(answer) = self.ask(&ask.attempt(&attempt)).await else {
            return;
        };
        let mut ledger = self.ledger.borrow_mut();
        ledger.count(&answer);
        if answer.status == 200
            && answer.is_complete
            && answer.body != format!("answer to {attempt}")
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

    /// Sends a request to a host; none when it could not be sent. One that got
    /// no answer is not known to have failed.
    async fn ask(&mut self, ask: &TestRequest) -> Option<TestResponse> {
        let Some(front) = self.choose() else {
            actix_rt::time::sleep(Duration::from_millis(50)).await;
            return None;
        };
        let kept = self.connections.remove(&front).filter(Connection::is_clean);
        let mut connection = match kept {
            Some(connection) => connection,
            None => Connection::open(front).await.ok()?,
        };
        let answer = tokio::time::timeout(PATIENCE, ask.send_on(&mut connection)).await;
        let answer = answer.unwrap_or_default();
        let closes = answer.header("connection") == Some("close");
        if answer.status != 0 && answer.is_complete && !closes {
            self.connections.insert(front, connection);
        }
        Some(answer)
    }

    /// A host to which a connection is open, whether it is leaving or frozen,
    /// or one that takes callers.
    fn choose(&mut self) -> Option<SocketAddr> {
        let open: Vec<SocketAddr> = self.connections.keys().copied().collect();
        if !open.is_empty() && self.random.random_bool(KEPT) {
            return open.choose(&mut self.random).copied();
        }
        let fronts = self.fleet.borrow().fronts();
        fronts.choose(&mut self.random).copied()
    }
}

/// How a turn ended, by what its caller got.
fn end_of(answer: Option<&TestResponse>) -> End {
    let Some(answer) = answer else {
        return End::NotRun;
    };
    let events = answer.body.matches("data: ").count() as u64;
    match answer.status {
        200 if answer.is_complete => End::Whole { events },
        402 => End::BudgetSpent,
        status if PROMISES.contains(&status) => End::NotRun,
        _ => End::Unknown { events },
    }
}

/// What later prompts hold of a stream.
fn output_of(body: &str) -> String {
    let data = body.lines().filter_map(|line| line.strip_prefix("data: "));
    data.map(|data| format!("{data}\n")).collect()
}
