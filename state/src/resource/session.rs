//! Sessions.

use std::time::Duration;

use serde::Serialize;
use serde_json::{Map, Value};
use serde_with::{DurationMilliSeconds, serde_as};

use super::{customer::MAX_BUDGET_TOKENS, error::FieldDefect, fields::Fields};

const DAY_MS: u64 = 24 * 3_600 * 1_000;

/// A declared session: a long-lived program and its limits. Its name is
/// `CUSTOMER/SESSION`; sub-agents spend from the same limits.
#[serde_as]
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Serialize)]
pub struct SessionSpec {
    /// Most tokens that the program and its sub-agents spend; from 1.
    pub budget_tokens: u64,
    /// Most calls that the program makes; from 1.
    pub turn_limit: u64,
    /// Longest time from the program's start to its end.
    #[serde(rename = "wall_time_limit_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub wall_time_limit: Duration,
}

impl TryFrom<&Map<String, Value>> for SessionSpec {
    type Error = Vec<FieldDefect>;

    fn try_from(spec: &Map<String, Value>) -> Result<Self, Vec<FieldDefect>> {
        let mut fields = Fields::new(spec);
        let session = Self {
            budget_tokens: fields.number("budget_tokens", 1..=MAX_BUDGET_TOKENS, None),
            turn_limit: fields.number("turn_limit", 1..=100_000, Some(400)),
            wall_time_limit: fields.duration(
                "wall_time_limit_ms",
                1_000..=90 * DAY_MS,
                Some(DAY_MS),
            ),
        };
        fields.finish()?;
        Ok(session)
    }
}
