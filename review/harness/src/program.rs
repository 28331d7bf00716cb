//! Turns of agent programs, with the retries of a client.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Request, Response};
use crate::random::Random;
use crate::record::Record;
use crate::site::HOST;

/// Status codes that promise that a request has not run and will not run.
const PROMISES: [u16; 4] = [408, 421, 429, 503];
/// Status codes that end a program.
const ENDS_PROGRAM: [u16; 6] = [400, 401, 402, 403, 404, 413];
/// Retries of one turn within its time budget.
const MAX_RETRIES: u32 = 1;
/// Further times for which a turn that failed is sent from its start.
const MAX_RESENDS: u32 = 2;

/// One turn of a program.
#[derive(Clone, Debug)]
pub struct Turn {
    /// Path of the route.
    pub path: &'static str,
    /// The program.
    pub program: String,
    /// The line of turns.
    pub session: String,
    /// Budget of the program.
    pub budget_tokens: u64,
    /// Maximum output tokens of the turn.
    pub max_output_tokens: u64,
    /// The turn from which this one continues.
    pub previous: Option<String>,
    /// New input.
    pub input: String,
    /// Time for which the client waits.
    pub time_budget: Duration,
}

/// One attempt of a client.
#[derive(Clone, Debug)]
pub struct Try {
    /// Its id.
    pub attempt: String,
    /// Number of the gateway that received it.
    pub gateway: usize,
    /// Response as far as it was received.
    pub response: Response,
    /// Time at which it was sent, since the start of the record.
    pub sent_at: Duration,
}

/// A client of the platform.
#[derive(Clone, Debug)]
pub struct Client {
    /// Addresses of the gateways of the client's zone.
    pub fronts: Vec<SocketAddr>,
    /// Record of the run.
    pub record: Record,
    /// Source of ids.
    pub random: Arc<Random>,
}

impl Turn {
    /// Returns the numbers of tokens of the new input, at four bytes each, and of the output.
    fn token_counts(&self) -> String {
        let prompt_tokens = self.input.len().div_ceil(4);
        format!("{prompt_tokens},{}", self.max_output_tokens)
    }
}

impl Try {
    /// Returns whether the turn was answered whole.
    pub fn is_whole(&self) -> bool {
        self.response.status == 200 && self.response.is_complete
    }
}

impl Client {
    /// Sends a turn until it is answered whole, ends its program, or has failed three times.
    /// The first channel goes to the gateway `first`, and a retry to the next one.
    pub fn run(&self, turn: &Turn, first: usize) -> Vec<Try> {
        let mut tries: Vec<Try> = Vec::new();
        for resend in 0..=MAX_RESENDS {
            if resend > 0 {
                thread::sleep(Duration::from_millis(100 + self.random.next() % 300));
            }
            tries.extend(self.run_once(turn, first));
            let is_over = tries.last().is_some_and(|last| {
                last.is_whole() || ENDS_PROGRAM.contains(&last.response.status)
            });
            if is_over {
                break;
            }
        }
        tries
    }

    /// Sends a turn once, with the retries that fit its time budget.
    fn run_once(&self, turn: &Turn, first: usize) -> Vec<Try> {
        let deadline = Instant::now() + turn.time_budget;
        let mut tries = Vec::new();
        for retry in 0..=MAX_RETRIES {
            let left = deadline.saturating_duration_since(Instant::now());
            if left < Duration::from_millis(50) {
                break;
            }
            let gateway = (first + retry as usize) % self.fronts.len();
            let sent = self.send(turn, gateway, left);
            let retry_after = sent.response.header("retry-after");
            let retry_after: f64 = retry_after
                .and_then(|text| text.parse().ok())
                .unwrap_or(0.0);
            let is_promise = PROMISES.contains(&sent.response.status);
            tries.push(sent);
            if !is_promise {
                break;
            }
            let left = deadline.saturating_duration_since(Instant::now());
            thread::sleep(Duration::from_secs_f64(retry_after.max(0.0)).min(left / 3));
        }
        tries
    }

    /// Sends one attempt.
    pub fn send(&self, turn: &Turn, gateway: usize, left: Duration) -> Try {
        let attempt = self.random.id();
        let mut request = Request::new("POST", turn.path)
            .header("host", HOST)
            .header("attempt-id", &attempt)
            .header("deadline-ms", &left.as_millis().to_string())
            .header("model", "m")
            .header("program-id", &turn.program)
            .header("session-id", &turn.session)
            .header("program-deadline-ms", "60000")
            .header("token-budget", &turn.budget_tokens.to_string())
            .header("token-counts", &turn.token_counts())
            .body(turn.input.clone());
        if let Some(previous) = &turn.previous {
            request = request.header("previous-turn", previous);
        }
        let sent_at = self.record.elapsed();
        let response = request.send(self.fronts[gateway], left + Duration::from_millis(500));
        let reason = match response.status {
            200 => String::new(),
            _ => format!(" {}", response.text().replace('\n', " ")),
        };
        self.record.line(&format!(
            "{} program {} attempt {attempt} previous {} most {} of {} at gateway {} sent at \
             {:.3}: status {}, {} events, {}{reason}",
            turn.path,
            turn.program,
            turn.previous.as_deref().unwrap_or("-"),
            turn.max_output_tokens,
            turn.budget_tokens,
            gateway + 1,
            sent_at.as_secs_f64(),
            response.status,
            response.event_count(),
            if response.is_complete {
                "whole"
            } else {
                "not whole"
            },
        ));
        Try {
            attempt,
            gateway,
            response,
            sent_at,
        }
    }

    /// Sends many turns at the same time, each in a thread, and returns their tries in the
    /// order of the turns.
    pub fn run_all(&self, turns: &[Turn]) -> Vec<Vec<Try>> {
        thread::scope(|scope| {
            let threads: Vec<_> = turns
                .iter()
                .enumerate()
                .map(|(number, turn)| scope.spawn(move || self.run(turn, number)))
                .collect();
            let ended = threads.into_iter().map(|thread| thread.join());
            ended.map(|tries| tries.unwrap_or_default()).collect()
        })
    }

    /// Sends turns one after the other at an interval, and returns their tries in the order
    /// of the turns.
    pub fn run_one_by_one(&self, turns: &[Turn], interval: Duration) -> Vec<Vec<Try>> {
        thread::scope(|scope| {
            let mut threads = Vec::new();
            for (number, turn) in turns.iter().enumerate() {
                threads.push(scope.spawn(move || self.run(turn, number)));
                thread::sleep(interval);
            }
            let ended = threads.into_iter().map(|thread| thread.join());
            ended.map(|tries| tries.unwrap_or_default()).collect()
        })
    }
}

/// Returns whether the last try of a turn was answered whole.
pub fn is_whole(tries: &[Try]) -> bool {
    tries.last().is_some_and(Try::is_whole)
}

/// Returns the next turns of the programs whose turn was answered whole.
pub fn continuing(turns: &[Turn], answered: &[Vec<Try>]) -> Vec<Turn> {
    let pairs = turns.iter().zip(answered);
    let next = pairs
        .filter(|(_, tries)| is_whole(tries))
        .map(|(turn, tries)| Turn {
            previous: tries.last().map(|last| last.attempt.clone()),
            input: "the next question".to_owned(),
            ..turn.clone()
        });
    next.collect()
}
