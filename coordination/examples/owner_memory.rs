//! Measures the owner's memory and time for open programs and their calls.
//!
//! ```text
//! cargo run --release -p rosebend-coordination --example owner_memory -- 20000 20
//! ```
//!
//! Resident memory comes from `/proc/self/status`, so the example runs on
//! Linux only. The owner is the only thing that grows between two readings.

use std::time::{Duration, Instant};

use rosebend_coordination::owner::{Action, CallRequest, Event, Owner, OwnerConfig, Placement};
use rosebend_state::id::ProgramId;
use rosebend_state::record::{AnswerBody, AnswerRecord, CallKind};

/// Bytes of the text of each answer.
const ANSWER_BYTES: usize = 800;

fn main() {
    let arguments: Vec<u64> = std::env::args()
        .skip(1)
        .map(|argument| argument.parse().expect("a number"))
        .collect();
    let programs = arguments.first().copied().unwrap_or(20_000);
    let calls = arguments.get(1).copied().unwrap_or(20);

    let mut bench = Bench::new();
    let empty = resident_bytes();
    bench.open(programs);
    let opened = resident_bytes();
    println!("open program: {} bytes", (opened - empty) / programs);

    let start = Instant::now();
    for number in 0..calls {
        bench.call_all(programs, number, true);
    }
    let time = start.elapsed();
    let ended = resident_bytes();
    let made = programs * calls;
    println!("ended call: {} bytes", (ended - opened) / made.max(1));
    println!(
        "a call from submission to acknowledgement: {} ns",
        time.as_nanos() / u128::from(made.max(1))
    );

    bench.call_all(programs, calls, false);
    let in_flight = resident_bytes();
    println!("call in flight: {} bytes", (in_flight - ended) / programs);

    let start = Instant::now();
    let ticks = 20;
    for _ in 0..ticks {
        bench.event(Event::Tick);
    }
    println!("tick: {} us", start.elapsed().as_micros() / ticks);
}

struct Bench {
    owner: Owner,
    ticket: u64,
    finishes: bool,
}

impl Bench {
    fn new() -> Self {
        let mut owner = Owner::new(OwnerConfig::default());
        for shard in 0..OwnerConfig::default().shard_count {
            owner.step(
                Duration::ZERO,
                Event::ShardGained {
                    shard,
                    epoch: 1,
                    programs: Vec::new(),
                    turns: Vec::new(),
                    retained: Vec::new(),
                    under_way: Vec::new(),
                    retained_after: Some(0),
                },
            );
        }
        Self {
            owner,
            ticket: 0,
            finishes: true,
        }
    }

    fn open(&mut self, programs: u64) {
        for number in 0..programs {
            self.ticket += 1;
            self.event(Event::Open {
                ticket: self.ticket,
                program: program(number),
                budget_tokens: 1_000_000,
                turn_limit: None,
                wall_limit: None,
                body_digest: digest(number),
            });
        }
    }

    /// Every program makes a call; if it `finishes`, up to its last write.
    fn call_all(&mut self, programs: u64, number: u64, finishes: bool) {
        self.finishes = finishes;
        for index in 0..programs {
            self.ticket += 1;
            let request = request(index, number);
            self.event(Event::Submit {
                ticket: self.ticket,
                request,
            });
        }
    }

    /// Gives the owner an event, and answers what it asks for at once.
    fn event(&mut self, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let actions = self.owner.step(Duration::from_secs(1), event);
            let answers = actions.into_iter().filter_map(|action| self.answer(action));
            events.extend(answers);
        }
    }

    fn answer(&self, action: Action) -> Option<Event> {
        match action {
            Action::Place { call, attempt, .. } => Some(Event::Placed {
                call,
                attempt,
                outcome: Ok(Placement {
                    endpoint: "newport-hall-agent-llm-3".to_owned(),
                    incarnation: "1764702000-17".to_owned(),
                }),
            }),
            Action::Commit { commit, .. } => Some(Event::Committed { commit }),
            Action::Dispatch { call, attempt, .. } if self.finishes => Some(Event::Finished {
                call,
                attempt,
                answer: AnswerRecord {
                    status: 200,
                    body: AnswerBody::Parts(vec!["x".repeat(ANSWER_BYTES)]),
                    prompt_tokens: 100,
                    answer_tokens: 20,
                    digest: digest(attempt.into()),
                    ..AnswerRecord::default()
                },
            }),
            _ => None,
        }
    }
}

fn program(number: u64) -> ProgramId {
    let session = format!("renewal-2026-{number:06}");
    ProgramId::new("caribmar", &session).expect("a valid name")
}

fn request(program_number: u64, number: u64) -> CallRequest {
    CallRequest {
        program: program(program_number),
        key: Some(format!("7f1c0f9e-{program_number:08}-{number:04}")),
        sequence: None,
        kind: CallKind::Model,
        target: "agent-llm".to_owned(),
        repeatable: true,
        body: "x".repeat(ANSWER_BYTES).into(),
        body_digest: digest(number),
        fingerprint: digest(program_number * 1000 + number),
        prompt_tokens: 100,
        max_answer_tokens: 100,
        shared_prefixes: Vec::new(),
        deadline: None,
    }
}

fn digest(number: u64) -> String {
    rosebend_util::digest_hex(&number.to_le_bytes())
}

fn resident_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("Linux has it");
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1));
    let kilobytes: u64 = kilobytes
        .expect("the field is there")
        .parse()
        .expect("a number");
    kilobytes * 1024
}
