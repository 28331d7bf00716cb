//! What a queue is given and what it answers.

use std::time::Duration;

use rosebend_state::id::{CallId, CustomerId};

use super::{Order, ProgramOrder};
use crate::warmth::SharedPrefix;

/// Decode work of one answer token, in prompt tokens, for fair shares and the
/// load view. In a full batch one decoded token costs about as much processor
/// time on an engine as this many prefilled ones.
pub const ANSWER_TOKEN_COST: u64 = 4;

/// Bounds and order of a [`Queue`](super::Queue).
#[derive(Clone, Debug)]
pub struct QueueSettings {
    /// Most calls at the endpoint at once.
    pub max_running: usize,
    /// Most KV tokens of calls at the endpoint at once, to begin with;
    /// `u64::MAX` for a plain service. Less than the engine has, so that the
    /// cache of paused programs is not driven out by running ones; a call that
    /// needs more runs alone.
    pub kv_tokens_limit: u64,
    /// All KV tokens of the engine; a call that needs more is refused.
    pub max_call_kv_tokens: u64,
    /// Most calls waiting; a further one is refused.
    pub max_queued: usize,
    /// Most calls waiting for a first call of a program to be accepted, so
    /// that programs under way find room when new ones must be turned away.
    pub max_queued_for_new: usize,
    /// Order of calls within a customer.
    pub order: Order,
    /// Shares the endpoint between customers by weight when true.
    pub fair_share: bool,
    /// How far customers may be apart in served tokens, each divided by the
    /// customer's weight, before the share goes before the order of programs.
    pub share_slack_tokens: u64,
}

/// Share of an engine's KV memory for running calls to begin with.
const RUNNING_KV_PERCENT: u64 = 60;

impl QueueSettings {
    /// Settings for an engine with this much KV memory and batch.
    pub fn for_engine(max_running: usize, kv_tokens: u64) -> Self {
        Self {
            max_running,
            kv_tokens_limit: kv_tokens / 100 * RUNNING_KV_PERCENT,
            max_call_kv_tokens: kv_tokens,
            ..Self::default()
        }
    }
}

impl Default for QueueSettings {
    fn default() -> Self {
        Self {
            max_running: 32,
            kv_tokens_limit: u64::MAX,
            max_call_kv_tokens: u64::MAX,
            max_queued: 1_000,
            max_queued_for_new: 500,
            order: Order::Program(ProgramOrder::default()),
            fair_share: true,
            share_slack_tokens: 10_000,
        }
    }
}

/// A call that asks to be admitted.
#[derive(Clone, Debug)]
pub struct Waiting {
    /// The call; it is in the queue or running at most once.
    pub call: CallId,
    /// The customer whose share it uses.
    pub customer: CustomerId,
    /// Weight of the customer's share; zero counts as one.
    pub share_weight: u32,
    /// Length of the whole prompt.
    pub prompt_tokens: u64,
    /// Longest answer, reserved in KV memory when the call is admitted.
    pub max_answer_tokens: u64,
    /// Tokens computed so far for the whole program.
    pub attained_tokens: u64,
    /// Time since the program's first call.
    pub program_age: Duration,
    /// When the caller gives up, on the clock of `now`.
    pub deadline: Option<Duration>,
    /// Prompt tokens believed to be in the engine's cache.
    pub warm_tokens: u64,
    /// Prefixes that prompts of several programs share, the shortest first,
    /// each the start of the next; KV memory for them is counted once.
    pub shared_prefixes: Vec<SharedPrefix>,
    /// Runs with no other call beside it.
    pub alone: bool,
}

impl Waiting {
    pub(super) fn cold_tokens(&self) -> u64 {
        self.prompt_tokens.saturating_sub(self.warm_tokens)
    }

    pub(super) fn cost_tokens(&self) -> u64 {
        self.cold_tokens() + self.max_answer_tokens * ANSWER_TOKEN_COST
    }
}

/// A call that is to be handed to the endpoint now.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Admission {
    /// The admitted call.
    pub call: CallId,
    /// How long it waited.
    pub queued: Duration,
}

/// Why a call was not taken. It was not run.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum RefusalReason {
    /// Too many calls wait.
    QueueFull,
    /// The deadline has passed or passes before the call could start.
    Deadline,
    /// The call can never fit in the endpoint's KV memory.
    TooLarge,
    /// The call is waiting or running already.
    Duplicate,
}

/// A refusal and when to come back.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// When a further try may succeed; zero when none will.
    pub retry_after: Duration,
}

/// What the endpoint carries, by the queue's own count.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LoadView {
    /// Calls at the endpoint.
    pub running: u64,
    /// Calls waiting here.
    pub queued: u64,
    /// KV tokens reserved by running calls.
    pub kv_tokens_in_flight: u64,
    /// Most KV tokens in flight.
    pub kv_tokens_limit: u64,
    /// Prompt tokens yet to be computed: of waiting calls and of running ones
    /// without a first token.
    pub queued_tokens: u64,
    /// Smoothed time between two tokens of one answer, in microseconds.
    pub token_us: u64,
    /// Smoothed prefill time of one token, in microseconds.
    pub prefill_token_us: u64,
}
