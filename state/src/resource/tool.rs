//! Tools.

use std::time::Duration;

use serde::Serialize;
use serde_json::{Map, Value};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::id::EndpointId;

use super::{error::FieldDefect, fields::Fields};

const HOUR_MS: u64 = 3_600 * 1_000;
/// Most endpoints that one tool names.
const MAX_ENDPOINTS: usize = 1_024;

/// A tool or plain service.
#[serde_as]
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Serialize)]
pub struct ToolSpec {
    /// Whether a call may be run again when its outcome is unknown. A tool
    /// that does not say so is not repeatable.
    pub repeatable: bool,
    /// How long a call may run before its program is told.
    #[serde(rename = "timeout_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub timeout: Duration,
    /// Endpoints that run it; empty for all that serve it.
    pub endpoints: Vec<EndpointId>,
    /// How long a program is expected to pause for it, until that is learned.
    #[serde(rename = "expected_pause_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub expected_pause: Duration,
}

impl TryFrom<&Map<String, Value>> for ToolSpec {
    type Error = Vec<FieldDefect>;

    fn try_from(spec: &Map<String, Value>) -> Result<Self, Vec<FieldDefect>> {
        let mut fields = Fields::new(spec);
        let tool = Self {
            repeatable: fields.flag("repeatable", false),
            timeout: fields.duration("timeout_ms", 10..=HOUR_MS, Some(30_000)),
            endpoints: fields.names("endpoints", 0..=MAX_ENDPOINTS, Some(Vec::new())),
            expected_pause: fields.duration("expected_pause_ms", 0..=HOUR_MS, Some(1_000)),
        };
        fields.finish()?;
        Ok(tool)
    }
}
