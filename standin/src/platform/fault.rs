//! Faults of the platform, set by `POST /faults`.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// What the platform does wrong at present.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Faults {
    /// Whether it answers at all.
    pub outage: Outage,
    /// How much later every answer is sent, after its effect.
    pub slow: Duration,
    /// How many transactions more take effect without an answer.
    pub lose_answers: u64,
}

/// How the platform is out.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// It answers.
    #[default]
    None,
    /// It refuses every request with 503.
    Refuse,
    /// It answers no request, and cuts the connection once the outage ends.
    Hang,
}

/// Changes to the faults; an absent member changes nothing.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FaultRequest {
    /// `"refuse"`, `"hang"`, or false.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub outage: Option<OutageRequest>,
    /// Milliseconds by which every answer is late.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub slow_ms: Option<u64>,
    /// Number of transactions that take effect without an answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lose_answers: Option<u64>,
}

/// An outage by name, or a switch: true stands for [`Outage::Refuse`].
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
#[serde(untagged)]
pub enum OutageRequest {
    /// On or off.
    Switch(bool),
    /// This way.
    Named(Outage),
}

impl Faults {
    /// Takes over what `request` names.
    pub fn change(&mut self, request: &FaultRequest) {
        match request.outage {
            None => {}
            Some(OutageRequest::Switch(false)) => self.outage = Outage::None,
            Some(OutageRequest::Switch(true)) => self.outage = Outage::Refuse,
            Some(OutageRequest::Named(outage)) => self.outage = outage,
        }
        if let Some(slow_ms) = request.slow_ms {
            self.slow = Duration::from_millis(slow_ms);
        }
        if let Some(lose_answers) = request.lose_answers {
            self.lose_answers = lose_answers;
        }
    }

    /// Whether the answer to a transaction that took effect is lost.
    pub fn lose_answer(&mut self) -> bool {
        let lost = self.lose_answers > 0;
        self.lose_answers = self.lose_answers.saturating_sub(1);
        lost
    }
}
