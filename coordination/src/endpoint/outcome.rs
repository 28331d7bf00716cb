//! The three ways in which a call ends, which are never confused.
//!
//! A [`Refusal`] is a promise that the call was not run; a [`Failure`] says
//! that it was handed over and ended badly; [`Finished`] says that the whole
//! answer is here.

use std::time::Duration;

use rosebend_state::id::{CallId, Epoch};

/// Why a call was not run.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum RefusalReason {
    /// The endpoint is leaving.
    Leaving,
    /// Too many calls wait already.
    QueueFull,
    /// Too many answers are retained that no owner has made durable.
    RetentionFull,
    /// A newer owner of the shard has been seen.
    StaleEpoch,
    /// The sender chose an earlier run of this sidecar.
    OtherIncarnation,
    /// The call was claimed before it ran, or refused under this attempt.
    Buried,
    /// The call alone exceeds the endpoint's memory.
    TooLarge,
    /// The endpoint does not serve this kind of call.
    UnknownTarget,
    /// The caller's deadline passed while the call waited.
    Deadline,
    /// The endpoint took no connection.
    EndpointDown,
    /// Another request has the same id.
    Duplicate,
    /// The message lacks something that it must have.
    Invalid,
}

/// The call was not run and never will be under this id and attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// After this time it is worth coming back.
    pub retry_after: Duration,
    /// A sentence for people.
    pub detail: String,
    /// The newest epoch of the shard, for a stale owner.
    pub epoch: Epoch,
}

impl Refusal {
    /// A refusal without an epoch.
    pub fn new(reason: RefusalReason, retry_after: Duration, detail: impl Into<String>) -> Self {
        Self {
            reason,
            retry_after,
            detail: detail.into(),
            epoch: 0,
        }
    }
}

/// How a call that was handed to the endpoint ended badly.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum FailureReason {
    /// The connection was cut after the request was written.
    EndpointCrashed,
    /// The endpoint gave no whole answer in time.
    EndpointTimeout,
    /// The endpoint answered with a server error.
    EndpointError,
    /// The answer was given up, and can no longer be told.
    Cancelled,
}

/// The call was handed over and did not finish.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Failure {
    /// What happened.
    pub reason: FailureReason,
    /// Whether the endpoint may have acted on the call.
    pub may_have_run: bool,
    /// A sentence for people.
    pub detail: String,
    /// Calls in flight at the crash, this one included.
    pub suspects: Vec<CallId>,
}

/// The whole answer is retained.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Finished {
    /// Number of parts of the answer.
    pub parts: u64,
    /// The endpoint's HTTP status.
    pub status: u16,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the prompt that the engine had cached.
    pub cached_tokens: u64,
    /// Tokens of the answer.
    pub answer_tokens: u64,
    /// SHA-256 over all parts, in hexadecimal.
    pub digest: String,
}

/// How a call ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The whole answer is here.
    Finished(Finished),
    /// It was handed over and ended badly.
    Failed(Failure),
    /// It was not run.
    Refused(Refusal),
}
