//! What a caller says about its request besides method, path and body.

use std::time::Duration;

use crate::deployment::{AttemptId, EventId, ProgramKey};

/// What every call carries.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallHeader {
    /// Id of this attempt.
    pub attempt: AttemptId,
    /// How long the caller waits, from the arrival of the request.
    pub deadline: Option<Duration>,
    /// Object that the call concerns; an endpoint that handled it lately is
    /// faster.
    pub affinity: Option<String>,
    /// The program that the call belongs to.
    pub program: Option<ProgramHeader>,
    /// Prompt and output tokens, where a model is called.
    pub tokens: Option<TokenCounts>,
    /// Expected number of output tokens, as the caller estimates it; the estimate is
    /// often far off.
    pub expected_output_tokens: Option<u64>,
    /// Parts of the prompt, in their order.
    pub prompt_parts: Vec<PromptPart>,
    /// The last event of a stream that the caller has from an attempt that
    /// broke off.
    pub last_event: Option<EventId>,
}

/// What a call of a program carries.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ProgramHeader {
    /// Id of the program; sub-agents share their parent's.
    pub program: ProgramKey,
    /// Id of the line of turns.
    pub session: String,
    /// Tokens that all turns of the program may generate.
    pub budget_tokens: Option<u64>,
    /// The turn that this one continues from.
    pub previous: Option<AttemptId>,
    /// Time until the program should be finished, from the arrival of the request; zero
    /// if that time has passed.
    pub remaining: Option<Duration>,
}

/// Tokens of one turn.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TokenCounts {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Most tokens that the turn generates.
    pub max_output_tokens: u64,
}

/// A part of a prompt that other requests may share.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PromptPart {
    /// Id of the part's content.
    pub id: String,
    /// Its length.
    pub tokens: u64,
}
