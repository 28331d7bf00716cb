//! Problem documents: how every error is told to callers and operators.
//!
//! The member `ran` is a promise. `no` means that the request had no effect
//! and never will have one; `unknown` means that nobody can tell.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Whether the request that the problem answers was run.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// It was not run and never will be.
    No,
    /// It may have been run; it is not sent again.
    Unknown,
    /// It was run, and ended as the problem says.
    Yes,
}

/// A problem document, sent as `application/problem+json`.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub struct Problem {
    /// The HTTP status code.
    pub status: u16,
    /// A fixed word of lower-case letters and dashes for the kind of problem.
    pub reason: String,
    /// A sentence for people.
    pub detail: String,
    /// Whether the request was run.
    pub ran: Ran,
    /// Milliseconds after which it is worth coming back.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// More about the problem, by kind; for a conflict, who changed what.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub extra: Option<serde_json::Value>,
}

impl Problem {
    /// A problem without a time to come back.
    pub fn new(status: u16, reason: &str, ran: Ran, detail: impl Into<String>) -> Self {
        Self {
            status,
            reason: reason.to_owned(),
            detail: detail.into(),
            ran,
            retry_after_ms: None,
            extra: None,
        }
    }

    /// The same problem with a time to come back.
    pub fn retry_after(mut self, wait: Duration) -> Self {
        self.retry_after_ms = Some(u64::try_from(wait.as_millis()).unwrap_or(u64::MAX));
        self
    }

    /// The time to come back in whole seconds, rounded up, for `Retry-After`.
    pub fn retry_after_seconds(&self) -> Option<u64> {
        self.retry_after_ms.map(|ms| ms.div_ceil(1000))
    }
}
