//! The policy.

use std::time::Duration;

use serde::Serialize;
use serde_json::{Map, Value};
use serde_with::{DurationMilliSeconds, serde_as};

use super::{customer::MAX_BUDGET_TOKENS, error::FieldDefect, fields::Fields};

const DAY_MS: u64 = 24 * 3_600 * 1_000;

/// The policy: how calls are ordered, routed and retried, and the limits of
/// programs that name none of their own. There is one, called `default`.
#[serde_as]
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Serialize)]
pub struct PolicySpec {
    /// Order of the calls that wait before an endpoint.
    pub queue_order: QueueOrder,
    /// How endpoints are chosen.
    pub routing: Routing,
    /// What becomes of KV cache while a program waits for a tool.
    pub pause_decision: PauseDecision,
    /// Retries allowed for each hundred first dispatches; 0 to 100.
    pub retry_budget_percent: u32,
    /// Dispatches of one call, at most; 1 to 10.
    pub max_attempts: u32,
    /// The same call made so often in a row ends its program; 2 to 10000.
    pub loop_limit: u32,
    /// Budget of a program that names none; from 1.
    pub default_budget_tokens: u64,
    /// Calls of a program that names no limit; from 1.
    pub default_turn_limit: u64,
    /// Longest time of a program that names no limit.
    #[serde(rename = "default_wall_time_limit_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub default_wall_time_limit: Duration,
}

/// Order of the calls that wait before an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum QueueOrder {
    /// By measures of the whole program.
    Program,
    /// As they came.
    Fifo,
    /// The smallest call first.
    ShortestRequest,
}

/// How endpoints are chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Routing {
    /// The least predicted time.
    Scored,
    /// Each endpoint in turn.
    RoundRobin,
    /// The endpoint with the fewest calls.
    LeastLoaded,
    /// Always the endpoint of the program's hash.
    SessionAffinity,
}

/// What becomes of KV cache while a program waits for a tool.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum PauseDecision {
    /// The least cost by learned pauses.
    Learned,
    /// It is always kept.
    Keep,
    /// It is always dropped.
    Drop,
}

impl TryFrom<&Map<String, Value>> for PolicySpec {
    type Error = Vec<FieldDefect>;

    fn try_from(spec: &Map<String, Value>) -> Result<Self, Vec<FieldDefect>> {
        const ORDERS: &[(&str, QueueOrder)] = &[
            ("program", QueueOrder::Program),
            ("fifo", QueueOrder::Fifo),
            ("shortest_request", QueueOrder::ShortestRequest),
        ];
        const ROUTINGS: &[(&str, Routing)] = &[
            ("scored", Routing::Scored),
            ("round_robin", Routing::RoundRobin),
            ("least_loaded", Routing::LeastLoaded),
            ("session_affinity", Routing::SessionAffinity),
        ];
        const DECISIONS: &[(&str, PauseDecision)] = &[
            ("learned", PauseDecision::Learned),
            ("keep", PauseDecision::Keep),
            ("drop", PauseDecision::Drop),
        ];
        let mut fields = Fields::new(spec);
        let budget = 1..=MAX_BUDGET_TOKENS;
        let policy = Self {
            queue_order: fields.choice("queue_order", ORDERS, Some(QueueOrder::Program)),
            routing: fields.choice("routing", ROUTINGS, Some(Routing::Scored)),
            pause_decision: fields.choice(
                "pause_decision",
                DECISIONS,
                Some(PauseDecision::Learned),
            ),
            retry_budget_percent: small(fields.number("retry_budget_percent", 0..=100, Some(10))),
            max_attempts: small(fields.number("max_attempts", 1..=10, Some(3))),
            loop_limit: small(fields.number("loop_limit", 2..=10_000, Some(20))),
            default_budget_tokens: fields.number("default_budget_tokens", budget, Some(1_000_000)),
            default_turn_limit: fields.number("default_turn_limit", 1..=100_000, Some(400)),
            default_wall_time_limit: fields.duration(
                "default_wall_time_limit_ms",
                1_000..=90 * DAY_MS,
                Some(DAY_MS),
            ),
        };
        fields.finish()?;
        Ok(policy)
    }
}

impl Default for PolicySpec {
    fn default() -> Self {
        Self::try_from(&Map::new()).expect("every field has a default")
    }
}

fn small(number: u64) -> u32 {
    u32::try_from(number).expect("the range fits a u32")
}
