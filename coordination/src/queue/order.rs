//! The order of the calls of one customer.

use std::time::Duration;

use super::Waiting;

/// The order of waiting calls.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Order {
    /// As they came.
    Fifo,
    /// The smallest call first, by tokens yet to be computed.
    ShortestRequest,
    /// By measures of the whole program.
    Program(ProgramOrder),
}

/// Weights of the measures of a whole program.
///
/// The key is a point in time: the start of the program, moved earlier by the
/// service that the program has had. The earliest goes first, so programs
/// under way are finished before others are begun, and the memory that they
/// hold comes free.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ProgramOrder {
    /// Counts the age of the program when true; otherwise only attained
    /// service decides, and a program may starve.
    pub ageing: bool,
    /// Moves a program earlier by this much for each token it was served.
    pub attained_token_us: u64,
    /// Most that attained service moves a program, so that one that loops
    /// without end does not go before all others.
    pub max_attained: Duration,
    /// A call goes at the latest as if its program had started this long
    /// before the deadline.
    pub deadline_horizon: Option<Duration>,
}

impl Default for ProgramOrder {
    fn default() -> Self {
        Self {
            ageing: true,
            attained_token_us: 1_000,
            max_attained: Duration::from_secs(30),
            deadline_horizon: Some(Duration::from_secs(45)),
        }
    }
}

impl Order {
    /// The key of a call that is pushed now; the smallest goes first.
    pub(super) fn key(&self, now: Duration, waiting: &Waiting) -> i64 {
        match self {
            Self::Fifo => micros(now),
            Self::ShortestRequest => saturating_i64(waiting.cost_tokens()),
            Self::Program(order) => program_key(order, now, waiting),
        }
    }
}

fn program_key(order: &ProgramOrder, now: Duration, waiting: &Waiting) -> i64 {
    let start_us = if order.ageing {
        micros(now) - micros(waiting.program_age)
    } else {
        0
    };
    let attained_us = saturating_i64(
        waiting
            .attained_tokens
            .saturating_mul(order.attained_token_us),
    );
    let key = start_us - attained_us.min(micros(order.max_attained));
    match (waiting.deadline, order.deadline_horizon) {
        (Some(deadline), Some(horizon)) => key.min(micros(deadline) - micros(horizon)),
        _ => key,
    }
}

fn micros(time: Duration) -> i64 {
    i64::try_from(time.as_micros()).unwrap_or(i64::MAX)
}

fn saturating_i64(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}
