//! A call as it comes, and what its messages are answered with.

use std::{sync::Arc, time::Duration};

use rosebend_state::id::{CallId, Incarnation, ProgramId, Shard};

use super::super::{
    fence::Fence,
    outcome::{Failure, Finished, Refusal},
};
use crate::warmth::SharedPrefix;

/// What one endpoint is given at most.
#[derive(Clone, Copy, Debug)]
pub struct EndpointLimits {
    /// Calls that wait.
    pub queued: usize,
    /// Calls at the endpoint.
    pub running: usize,
    /// KV tokens of the calls at the endpoint.
    pub kv_tokens: u64,
    /// Bytes of answers, retained and expected.
    pub retention_bytes: u64,
}

impl Default for EndpointLimits {
    fn default() -> Self {
        Self {
            queued: 1024,
            running: 64,
            kv_tokens: 1 << 20,
            retention_bytes: 64 << 20,
        }
    }
}

/// A call that an owner dispatches.
#[derive(Clone, Debug)]
pub struct CallSpec {
    /// The call.
    pub id: CallId,
    /// Proof of the sender's ownership.
    pub fence: Fence,
    /// Counts dispatches of this call over all owners, from 1.
    pub attempt: u32,
    /// The run of the sidecar that the owner chose. What this run remembers
    /// is gone in the next, so the next one refuses the message.
    pub incarnation: Incarnation,
    /// Hash of the request's fingerprint; zero when it is not told.
    pub fingerprint: u64,
    /// Whether the call may be handed over again after a failure.
    pub repeatable: bool,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the longest answer.
    pub max_answer_tokens: u64,
    /// Prefixes that other prompts may share, the shortest first, each the
    /// start of the next.
    pub shared_prefixes: Vec<SharedPrefix>,
    /// Tokens computed so far for the whole program.
    pub attained_tokens: u64,
    /// Time since the program's first call.
    pub program_age: Duration,
    /// Weight of the customer's share.
    pub share_weight: u32,
    /// Expected bytes of the answer.
    pub answer_bytes: u64,
    /// Time left until the caller's deadline.
    pub deadline: Option<Duration>,
    /// Run with no other call beside it.
    pub alone: bool,
    /// The engine holds the program's cache after the call.
    pub hold_kv: bool,
    /// The owner's record of the call, told to the shard's next owner.
    pub record: Arc<[u8]>,
}

impl CallSpec {
    /// A first attempt that may not be repeated.
    pub fn new(id: CallId, fence: Fence, incarnation: &str) -> Self {
        Self {
            id,
            fence,
            attempt: 1,
            incarnation: incarnation.to_owned(),
            fingerprint: 0,
            repeatable: false,
            prompt_tokens: 0,
            max_answer_tokens: 0,
            shared_prefixes: Vec::new(),
            attained_tokens: 0,
            program_age: Duration::ZERO,
            share_weight: 1,
            answer_bytes: 0,
            deadline: None,
            alone: false,
            hold_kv: false,
            record: Arc::from([]),
        }
    }
}

/// What became of a message that asks for an answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Dispatched {
    /// The call is new and waits; its answer starts empty.
    Queued,
    /// The call is known; its answer is followed.
    Follow,
    /// The call was not run under this attempt.
    Refused(Refusal),
    /// The call is over and its answer can no longer be told.
    Ended(Failure),
}

/// A call to hand to the endpoint now.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Start {
    /// The call.
    pub id: CallId,
    /// The attempt under which it runs.
    pub attempt: u32,
    /// How long it waited.
    pub queued: Duration,
}

/// What leaves the queue.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Admission {
    /// Calls for the endpoint.
    pub starts: Vec<Start>,
    /// Calls that are given up without being run.
    pub refused: Vec<(CallId, Refusal)>,
    /// Programs whose holds make room for the calls.
    pub freed: Vec<ProgramId>,
}

/// The sidecar's own count of what its endpoint has.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct EndpointLoad {
    /// Calls at the endpoint.
    pub running: u64,
    /// Calls that wait.
    pub queued: u64,
    /// KV tokens of the calls at the endpoint.
    pub kv_tokens_in_flight: u64,
    /// Most KV tokens in flight.
    pub kv_tokens_limit: u64,
    /// Prompt tokens yet to be computed.
    pub queued_tokens: u64,
    /// Smoothed time between two tokens of one answer, in microseconds.
    pub token_us: u64,
    /// Smoothed prefill time of one token, in microseconds.
    pub prefill_token_us: u64,
    /// Bytes of answers that no owner has made durable.
    pub retained_bytes: u64,
    /// Answers that no owner has made durable.
    pub retained: u64,
    /// KV holds under a lease.
    pub holds: u64,
    /// The endpoint takes no new work.
    pub leaving: bool,
}

/// A call that has not been acknowledged.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RetainedCall {
    /// The call.
    pub id: CallId,
    /// Its newest attempt.
    pub attempt: u32,
    /// Shard of its program.
    pub shard: Shard,
    /// Whether the call has ended.
    pub ended: bool,
    /// The owner's record of the call, as it came with the dispatch.
    pub record: Arc<[u8]>,
    /// The end of the answer, when it is whole.
    pub finished: Option<Finished>,
}
