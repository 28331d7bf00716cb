//! What the owner wants done.

use std::sync::Arc;
use std::time::Duration;

use rosebend_state::id::{CallId, EndpointId, Epoch, ProgramId, Shard};
use rosebend_state::record::{
    CallKind, EndReason, FailReason, ProgramRecord, TurnRecord, UnknownReason,
};

use super::event::{Attempt, CallRequest, CommitId, Placement, Ticket};
use crate::warmth::SharedPrefix;

/// Why a request was not run.
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
    /// The call before this one did not come in time.
    SequenceGap,
    /// The program has too many waiting calls.
    ProgramQueueFull,
    /// The budget does not cover the call's worst case.
    BudgetExhausted,
    /// The table does not answer, and the call needs it.
    TableUnavailable,
    /// Too many answers wait to be written.
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
    /// Retries are used up for now.
    RetryBudget,
    /// The endpoint does not accept a call of this size or form.
    Invalid,
    /// The call had not run, and its program went on without it.
    Superseded,
}

impl RefusalReason {
    /// The reason as a counter's label.
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

/// Why a call goes again.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum RetryReason {
    /// A sidecar refused it.
    Refused,
    /// The endpoint crashed; the call runs alone next.
    EndpointCrashed,
    /// The endpoint failed otherwise.
    EndpointFailed,
    /// The stream to the sidecar broke.
    ConnectionLost,
    /// A claim proved that it had not run.
    Buried,
    /// The sidecar could not be asked again.
    ClaimUnreachable,
}

impl RetryReason {
    /// The reason as a counter's label.
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

/// The answer to one caller that follows no call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reply {
    /// The program is open, durably.
    Opened {
        /// False when it was open with the same request before.
        created: bool,
    },
    /// The program has ended, durably.
    Ended {
        /// Why.
        reason: EndReason,
    },
    /// The request was not run.
    Refused {
        /// Why.
        reason: RefusalReason,
        /// When to come back.
        retry_after: Duration,
    },
    /// The request was being written when the table stopped answering or the
    /// shard was lost: it may or may not take hold. The same request can be
    /// sent again.
    Undecided {
        /// When to come back.
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
        /// Why.
        reason: FailReason,
    },
    /// It may have run and is not sent again.
    Unknown {
        /// Why nobody can tell.
        reason: UnknownReason,
    },
    /// It was not run; the same request may be sent again.
    Refused {
        /// Why.
        reason: RefusalReason,
        /// When to come back.
        retry_after: Duration,
    },
    /// It is not under way any more, and this owner has no request that it could
    /// send again: it was taken over with the shard, and only readers came. The
    /// same request goes on with it.
    Parked {
        /// Whether it may have run.
        may_have_run: bool,
    },
    /// The shard went to another owner with the call under way. Whoever
    /// follows sends the same request, with the call's position, to it.
    Moved,
}

/// What is counted.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Metric {
    /// A request was refused.
    Refusal(RefusalReason),
    /// A call goes again.
    Retry(RetryReason),
    /// A caller joined a call that was there.
    Joined,
    /// A program was ended by a limit.
    LimitReached(EndReason),
    /// A call's outcome is not known.
    OutcomeUnknown(UnknownReason),
    /// A call failed for good.
    Failure(FailReason),
    /// A request was quarantined.
    Quarantined,
}

/// What the owner wants done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Answer a caller.
    Reply {
        /// The caller.
        ticket: Ticket,
        /// The answer.
        reply: Reply,
    },
    /// Attach a caller to a call.
    Follow {
        /// The caller.
        ticket: Ticket,
        /// The call.
        call: CallId,
        /// Whether the call has ended already: its outcome is in
        /// [`Owner::call`](super::Owner::call), its answer in
        /// [`Owner::answer`](super::Owner::answer) or else in the table. No
        /// `CallEnded` follows for this caller then.
        recorded: bool,
    },
    /// Choose an endpoint and answer with `Event::Placed`.
    Place {
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: Attempt,
        /// What the call runs on.
        kind: CallKind,
        /// The model's or the tool's name.
        target: String,
        /// Upper bound of the prompt's tokens.
        prompt_tokens: u64,
        /// Upper bound of the answer's tokens.
        max_answer_tokens: u64,
        /// Prefixes that other prompts may share, the shortest first.
        shared_prefixes: Vec<SharedPrefix>,
        /// The endpoint that holds the program's KV cache.
        warm: Option<EndpointId>,
        /// Endpoints that this call must not go to.
        excluded: Vec<EndpointId>,
        /// Whether the call must run with no other beside it.
        alone: bool,
    },
    /// Send a call to its sidecar, at most once, and tell what comes of it.
    Dispatch {
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: Attempt,
        /// The program's shard.
        shard: Shard,
        /// The epoch under which this entry owns it.
        epoch: Epoch,
        /// Where to.
        placement: Placement,
        /// The call.
        request: Arc<CallRequest>,
        /// What the sidecar retains beside the answer, for the next owner.
        record: Box<TurnRecord>,
        /// Service that the whole program has had so far.
        attained_tokens: u64,
        /// Time since the program was opened.
        program_age: Duration,
        /// Keep the program's KV cache after the call.
        hold_kv: bool,
        /// Run the call with no other beside it.
        alone: bool,
    },
    /// Write records, all or none, if the shard still has this epoch.
    ///
    /// The commits of one shard take effect in the order in which they are
    /// given, and each is tried until its fate is known: `Committed` or
    /// `CommitLost`.
    Commit {
        /// Number of the commit.
        commit: CommitId,
        /// The shard.
        shard: Shard,
        /// The epoch that must still stand.
        epoch: Epoch,
        /// Program records.
        programs: Vec<ProgramRecord>,
        /// Turn records.
        turns: Vec<TurnRecord>,
    },
    /// Ask a sidecar for a call's outcome or bury the call there.
    Claim {
        /// The call.
        call: CallId,
        /// The attempt; this one and all before it are buried.
        attempt: Attempt,
        /// The program's shard.
        shard: Shard,
        /// The epoch under which this entry owns it.
        epoch: Epoch,
        /// Whom to ask.
        placement: Placement,
    },
    /// Tell a sidecar that a call's end is durable.
    Acknowledge {
        /// The call.
        call: CallId,
        /// The program's shard.
        shard: Shard,
        /// The epoch under which this entry owns it.
        epoch: Epoch,
        /// Whom to tell.
        placement: Placement,
    },
    /// Tell everyone who follows a call that it ended.
    CallEnded {
        /// The call.
        call: CallId,
        /// How.
        outcome: CallOutcome,
    },
    /// Free the KV cache of a program.
    ReleaseHolds {
        /// The program.
        program: ProgramId,
        /// Endpoints that may hold some.
        endpoints: Vec<EndpointId>,
    },
    /// Nothing of the shard is in flight or unwritten: hand it over.
    ShardDrained {
        /// The shard.
        shard: Shard,
    },
    /// Make a quarantined request known everywhere, durably.
    Quarantine {
        /// Its fingerprint.
        fingerprint: String,
    },
    /// Count something.
    Count {
        /// What.
        metric: Metric,
    },
}
