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
/// The key is a point in time: the start of the program, moved later by the
/// service that the program has had and earlier by what is warm here. The
/// earliest goes first.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ProgramOrder {
    /// Counts the age of the program when true; otherwise only attained
    /// service and warmth decide, and a long program may starve.
    pub ageing: bool,
    /// Moves a program later by this much for each token it was served.
    pub attained_token_us: u64,
    /// Moves a call earlier by this much for each prompt token warm here.
    pub warm_token_us: u64,
    /// A call due within this time goes as if its program had started this
    /// long before the deadline.
    pub deadline_horizon: Option<Duration>,
}

impl Default for ProgramOrder {
    fn default() -> Self {
        Self {
            ageing: true,
            attained_token_us: 50,
            warm_token_us: 20,
            deadline_horizon: Some(Duration::from_secs(60)),
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
    let attained_us = saturating_i64(waiting.attained_tokens * order.attained_token_us);
    let warm_us = saturating_i64(waiting.warm_tokens * order.warm_token_us);
    let key = start_us.saturating_add(attained_us).saturating_sub(warm_us);
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
