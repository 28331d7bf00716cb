//! The durable records of programs and their calls, as rows of the table.
//!
//! A program has one [`ProgramRecord`]; each of its calls that was dispatched
//! under an intent, or has ended, has one [`TurnRecord`]. Records are written
//! only by the owner of the program's shard, under the condition that its
//! epoch still stands, so a reader never meets two writers' halves.
//!
//! Fields that a newer version adds have defaults, so that records written by
//! an older version are read back.

use serde::{Deserialize, Serialize};

use crate::id::{CallId, EndpointId, Epoch, Incarnation, ProgramId, Sequence};

/// One program. A sub-agent has its own record; the budget of the whole tree
/// stands in the record of the root program.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ProgramRecord {
    /// The program's id.
    pub program: ProgramId,
    /// Epoch of the owner that wrote this record.
    #[serde(default)]
    pub epoch: Epoch,
    /// Whether the program takes calls.
    pub state: ProgramState,
    /// The most that the program and its sub-agents may spend; zero in the
    /// record of a sub-agent.
    #[serde(default)]
    pub budget_tokens: u64,
    /// Part of the budget that owners have drawn to spend from in memory.
    /// Never above `budget_tokens`, and never below what was spent.
    #[serde(default)]
    pub drawn_tokens: u64,
    /// What ended calls had spent when this record was written. Never above
    /// `drawn_tokens`, but for an engine that counts more than was reserved.
    #[serde(default)]
    pub spent_tokens: u64,
    /// Number of calls after which the program is ended.
    #[serde(default)]
    pub turn_limit: u64,
    /// Age after which the program is ended, in milliseconds.
    #[serde(default)]
    pub wall_limit_ms: u64,
    /// Age when this record was written, as owners measured it.
    #[serde(default)]
    pub age_ms: u64,
    /// Digest of the request that opened the program.
    #[serde(default)]
    pub body_digest: String,
    /// The position after the last call that has a record.
    #[serde(default)]
    pub next_sequence: Sequence,
    /// The endpoint that holds the program's KV cache, if one does.
    #[serde(default)]
    pub warm: Option<EndpointId>,
}

/// Whether a program takes calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ProgramState {
    /// It takes calls.
    Open,
    /// It takes no more calls.
    Ended {
        /// Why it ended.
        reason: EndReason,
    },
}

/// Why a program ended.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EndReason {
    /// Its caller or an operator ended it.
    Requested,
    /// It made as many calls as it may.
    TurnLimit,
    /// It grew as old as it may.
    WallLimit,
    /// It made the same call too often in a row.
    LoopLimit,
    /// The program that started it ended.
    ParentEnded,
}

/// What a call runs on.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CallKind {
    /// A chat completion on a model engine.
    Model,
    /// A call of a tool or plain service.
    Tool,
}

/// The records of one shard.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ShardRecords {
    /// Its programs.
    pub programs: Vec<ProgramRecord>,
    /// Their calls.
    pub turns: Vec<TurnRecord>,
    /// Calls at endpoints that have no record yet, as their owner knows them.
    /// Nothing of this is in the table.
    #[serde(default)]
    pub under_way: Vec<TurnRecord>,
}

/// One call of a program.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct TurnRecord {
    /// The call's id.
    pub call: CallId,
    /// The caller's idempotency key.
    #[serde(default)]
    pub key: Option<String>,
    /// Digest of the call's target and body.
    pub body_digest: String,
    /// What the call runs on.
    pub kind: CallKind,
    /// The model's or the tool's name.
    pub target: String,
    /// Whether the call may run more than once.
    pub repeatable: bool,
    /// How far the call is.
    pub state: TurnState,
}

/// How far a call is, as far as it is durable.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TurnState {
    /// It may be dispatched once, to this run of the endpoint's sidecar.
    Intent {
        /// Counts dispatches of the call over all owners, from 1.
        attempt: u32,
        /// The endpoint.
        endpoint: EndpointId,
        /// The run of the endpoint's sidecar.
        incarnation: Incarnation,
        /// The worst case that was reserved from the budget.
        #[serde(default)]
        reserved_tokens: u64,
    },
    /// It has not run under any attempt. It may go again while no later call
    /// of its program is known.
    NotRun {
        /// The last attempt that was proven not to have run.
        attempt: u32,
    },
    /// It ran and was answered.
    Done {
        /// The whole answer.
        answer: AnswerRecord,
    },
    /// It ended without an answer and is not sent again.
    Failed {
        /// Why.
        reason: FailReason,
    },
    /// It may have run; nobody can tell, and it is not sent again.
    Unknown {
        /// Why the outcome is not known.
        reason: UnknownReason,
    },
}

/// Why a call failed for good.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FailReason {
    /// The endpoint failed on every attempt.
    Attempts,
    /// Retries are used up for now.
    RetryBudget,
    /// No endpoint could take a further attempt.
    NoEndpoint,
    /// The request crashed endpoints twice.
    Quarantined,
    /// The budget does not allow a further attempt.
    BudgetExhausted,
    /// The caller's deadline passed before a further attempt.
    Deadline,
    /// Nobody asked for a further attempt before the program went on.
    Abandoned,
}

/// Why a call's outcome is not known.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum UnknownReason {
    /// The endpoint failed while it ran the call.
    EndpointFailed,
    /// The sidecar that ran the call was replaced.
    SidecarReplaced,
    /// The sidecar that ran the call can't be reached.
    SidecarUnreachable,
}

/// The whole answer of a call.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct AnswerRecord {
    /// The endpoint's HTTP status.
    pub status: u16,
    /// The answer's parts, or where they are kept.
    pub body: AnswerBody,
    /// Tokens of the prompt.
    #[serde(default)]
    pub prompt_tokens: u64,
    /// Tokens of the prompt that the engine had cached.
    #[serde(default)]
    pub cached_tokens: u64,
    /// Tokens of the answer.
    #[serde(default)]
    pub answer_tokens: u64,
    /// SHA-256 over all parts, in hexadecimal.
    pub digest: String,
}

/// Where the parts of an answer are.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AnswerBody {
    /// In the record.
    Parts(Vec<String>),
    /// In the object store, because they are large.
    Object {
        /// The object's name.
        name: String,
        /// SHA-256 of the object, in hexadecimal.
        digest: String,
        /// The object's length.
        length_bytes: u64,
    },
}

impl Default for AnswerBody {
    fn default() -> Self {
        Self::Parts(Vec::new())
    }
}

impl AnswerRecord {
    /// Memory that the parts take in a record.
    pub fn body_bytes(&self) -> u64 {
        match &self.body {
            AnswerBody::Parts(parts) => parts.iter().map(|part| part.len() as u64).sum(),
            AnswerBody::Object { .. } => 0,
        }
    }

    /// What the call spent from its program's budget.
    pub fn spent_tokens(&self) -> u64 {
        self.prompt_tokens.saturating_add(self.answer_tokens)
    }
}
