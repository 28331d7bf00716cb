//! The actions that the owner returns, and the replies, outcomes and metrics
//! that they carry.

use std::sync::Arc;
use std::time::Duration;

use rosebend_state::id::{CallId, EndpointId, Epoch, ProgramId, Shard};
use rosebend_state::record::{
    CallKind, EndReason, FailReason, ProgramRecord, TurnRecord, UnknownReason,
};

use super::event::{Attempt, CallRequest, CommitId, Placement, Ticket};
use crate::warmth::SharedPrefix;

/// The reason for which a request was not run.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum RefusalReason {
    /// This entry does not own the program's shard.
    NotOwner,
    /// The shard is being handed over.
    ShardLeaving,
    /// The program was not opened.
    UnknownProgram,
    /// The program is open with another request.
    AlreadyOpen,
    /// The program has ended.
    ProgramEnded(EndReason),
    /// The key belongs to a call with another body.
    KeyReused,
    /// The position belongs to another call.
    WrongSequence,
    /// No caller submitted the preceding call in time.
    SequenceGap,
    /// The program has too many waiting calls.
    ProgramQueueFull,
    /// The budget does not cover the call's worst case.
    BudgetExhausted,
    /// The table does not answer, and the call needs it.
    TableUnavailable,
    /// Too many ended calls wait to be written.
    UncommittedFull,
    /// The request crashed endpoints.
    Quarantined,
    /// The caller's deadline passed before the call was sent.
    Deadline,
    /// No endpoint serves the target.
    UnknownTarget,
    /// No endpoint of the target takes calls.
    NoEndpoint,
    /// All endpoints of the target are busy.
    Saturated,
    /// Endpoints refused the call on every attempt.
    Attempts,
    /// The retry budget of the owner is exhausted for now.
    RetryBudget,
    /// The endpoint does not accept a call of this size or form.
    Invalid,
    /// The call had not run when its program continued with another one.
    Superseded,
}

impl RefusalReason {
    /// Returns the value of the reason as a metric label.
    pub fn label(self) -> &'static str {
        match self {
            Self::NotOwner => "not_owner",
            Self::ShardLeaving => "shard_leaving",
            Self::UnknownProgram => "unknown_program",
            Self::AlreadyOpen => "already_open",
            Self::ProgramEnded(_) => "program_ended",
            Self::KeyReused => "key_reused",
            Self::WrongSequence => "wrong_sequence",
            Self::SequenceGap => "sequence_gap",
            Self::ProgramQueueFull => "program_queue_full",
            Self::BudgetExhausted => "budget_exhausted",
            Self::TableUnavailable => "table_unavailable",
            Self::UncommittedFull => "uncommitted_full",
            Self::Quarantined => "quarantined",
            Self::Deadline => "deadline",
            Self::UnknownTarget => "unknown_target",
            Self::NoEndpoint => "no_endpoint",
            Self::Saturated => "saturated",
            Self::Attempts => "attempts",
            Self::RetryBudget => "retry_budget",
            Self::Invalid => "invalid",
            Self::Superseded => "superseded",
        }
    }
}

/// The reason for which a call is dispatched again.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum RetryReason {
    /// A sidecar refused it.
    Refused,
    /// The endpoint crashed; the next attempt runs without concurrent calls.
    EndpointCrashed,
    /// The endpoint failed in another way.
    EndpointFailed,
    /// The stream to the sidecar broke.
    ConnectionLost,
    /// A claim proved that the call had not run and blocked the attempt.
    Buried,
    /// The sidecar did not answer a claim in time.
    ClaimUnreachable,
}

impl RetryReason {
    /// Returns the value of the reason as a metric label.
    pub fn label(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::EndpointCrashed => "endpoint_crashed",
            Self::EndpointFailed => "endpoint_failed",
            Self::ConnectionLost => "connection_lost",
            Self::Buried => "buried",
            Self::ClaimUnreachable => "claim_unreachable",
        }
    }
}

/// The reply to one caller that does not follow a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reply {
    /// The program is durably open.
    Opened {
        /// Whether this request opened it; false if an equal request did before.
        created: bool,
    },
    /// The program has durably ended.
    Ended {
        /// The reason for which it ended.
        reason: EndReason,
    },
    /// The request was not run.
    Refused {
        /// The reason of the refusal.
        reason: RefusalReason,
        /// The delay after which the caller should retry.
        retry_after: Duration,
    },
    /// The request was being written when the table stopped answering or the
    /// shard was lost, so it may or may not take effect. The caller can send
    /// the same request again.
    Undecided {
        /// The delay after which the caller should retry.
        retry_after: Duration,
    },
}

/// How a call ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallOutcome {
    /// It was answered.
    Done,
    /// It ended without an answer and is not sent again.
    Failed {
        /// The reason of the failure.
        reason: FailReason,
    },
    /// It may have run and is not sent again.
    Unknown {
        /// The reason for which the outcome is unknown.
        reason: UnknownReason,
    },
    /// It was not run; the same request may be sent again.
    Refused {
        /// The reason of the refusal.
        reason: RefusalReason,
        /// The delay after which the caller should retry.
        retry_after: Duration,
    },
    /// It is no longer in progress, and this owner has no request that it could
    /// dispatch: the call was taken over with the shard, and no caller has
    /// submitted it since. Submitting the same request resumes it.
    Parked {
        /// Whether an earlier attempt may have run.
        may_have_run: bool,
    },
    /// The shard moved to another owner while the call was in progress.
    /// Followers send the same request, with the call's position, to the new
    /// owner.
    Moved,
}

/// An occurrence that a metric counts.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Metric {
    /// A request was refused.
    Refusal(RefusalReason),
    /// A call was retried.
    Retry(RetryReason),
    /// A caller joined an existing call.
    Joined,
    /// A program was ended by a limit.
    LimitReached(EndReason),
    /// A call ended with an unknown outcome.
    OutcomeUnknown(UnknownReason),
    /// A call failed permanently.
    Failure(FailReason),
    /// A request was quarantined.
    Quarantined,
}

/// An operation that the surrounding process has to carry out for the owner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Sends a reply to a caller.
    Reply {
        /// The caller.
        ticket: Ticket,
        /// The reply.
        reply: Reply,
    },
    /// Attaches a caller to a call, so that it receives the outcome.
    Follow {
        /// The caller.
        ticket: Ticket,
        /// The call.
        call: CallId,
        /// Whether the end of the call is durable or was already reported. If so,
        /// no `CallEnded` follows for this caller: the outcome is available from
        /// [`Owner::call`](super::Owner::call), and the answer from
        /// [`Owner::answer`](super::Owner::answer) or else from the table.
        recorded: bool,
    },
    /// Chooses an endpoint and returns it with `Event::Placed`.
    Place {
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: Attempt,
        /// The kind of endpoint that runs the call.
        kind: CallKind,
        /// The name of the model or tool.
        target: String,
        /// Upper bound of the prompt length, in tokens.
        prompt_tokens: u64,
        /// Upper bound of the answer length, in tokens.
        max_answer_tokens: u64,
        /// Prompt prefixes that other prompts may share, shortest first.
        shared_prefixes: Vec<SharedPrefix>,
        /// The endpoint that holds the program's KV cache.
        warm: Option<EndpointId>,
        /// Endpoints to which the call must not be dispatched.
        excluded: Vec<EndpointId>,
        /// Whether the call must run without concurrent calls.
        alone: bool,
    },
    /// Sends a call to its sidecar, at most once, and reports the outcome.
    Dispatch {
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: Attempt,
        /// The program's shard.
        shard: Shard,
        /// The epoch under which this entry owns it.
        epoch: Epoch,
        /// The endpoint and sidecar incarnation that run the call.
        placement: Placement,
        /// The request of the caller.
        request: Arc<CallRequest>,
        /// The record that the sidecar retains beside the answer, for the next
        /// owner.
        record: Box<TurnRecord>,
        /// Tokens that finished calls of the program have used under this owner.
        attained_tokens: u64,
        /// Time since the program was opened.
        program_age: Duration,
        /// Whether the endpoint keeps the program's KV cache after the call.
        hold_kv: bool,
        /// Whether the call must run without concurrent calls.
        alone: bool,
    },
    /// Writes all records atomically if the shard still has this epoch.
    ///
    /// The commits of one shard take effect in the order in which the owner
    /// emits them. Each is retried until its result is known and reported as
    /// `Committed` or `CommitLost`.
    Commit {
        /// The number of the commit.
        commit: CommitId,
        /// The shard.
        shard: Shard,
        /// The epoch that the shard must still have.
        epoch: Epoch,
        /// The program records to write.
        programs: Vec<ProgramRecord>,
        /// The records of calls to write.
        turns: Vec<TurnRecord>,
    },
    /// Queries a sidecar for the outcome of a call. If the call has not run
    /// there, the sidecar buries it: it refuses the claimed attempts from then
    /// on.
    Claim {
        /// The call.
        call: CallId,
        /// The newest attempt to bury, together with all earlier ones.
        attempt: Attempt,
        /// The program's shard.
        shard: Shard,
        /// The epoch under which this entry owns it.
        epoch: Epoch,
        /// The sidecar to query.
        placement: Placement,
    },
    /// Notifies a sidecar that the end of a call is durable, so that it can
    /// drop the retained answer.
    Acknowledge {
        /// The call.
        call: CallId,
        /// The program's shard.
        shard: Shard,
        /// The epoch under which this entry owns it.
        epoch: Epoch,
        /// The sidecar to notify.
        placement: Placement,
    },
    /// Sends the outcome of an ended call to all its followers.
    CallEnded {
        /// The call.
        call: CallId,
        /// The outcome.
        outcome: CallOutcome,
    },
    /// Frees the KV cache of a program.
    ReleaseHolds {
        /// The program.
        program: ProgramId,
        /// Endpoints that may hold a part of it.
        endpoints: Vec<EndpointId>,
    },
    /// Reports that no write of the shard is pending and no call of it is about
    /// to be dispatched, so that it can be handed over.
    ShardDrained {
        /// The shard.
        shard: Shard,
    },
    /// Stores the quarantine of a request durably and distributes it to all
    /// entries.
    Quarantine {
        /// The fingerprint of the request.
        fingerprint: String,
    },
    /// Increments a metric.
    Count {
        /// The metric.
        metric: Metric,
    },
}
