//! What the owner is told.

use std::sync::Arc;
use std::time::Duration;

use rosebend_state::id::{CallId, EndpointId, Epoch, Incarnation, ProgramId, Sequence, Shard};
use rosebend_state::record::{AnswerRecord, CallKind, EndReason, ProgramRecord, TurnRecord};

use crate::warmth::SharedPrefix;

/// One waiting request of a caller at this entry.
pub type Ticket = u64;
/// Number of a commit, counted by one owner.
pub type CommitId = u64;
/// Counts the dispatches of a call over all owners, from 1.
pub type Attempt = u32;

/// A call as its caller asked for it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallRequest {
    /// The program that makes the call.
    pub program: ProgramId,
    /// The caller's idempotency key.
    pub key: Option<String>,
    /// The call's position; without it the call gets the next one.
    pub sequence: Option<Sequence>,
    /// What the call runs on.
    pub kind: CallKind,
    /// The model's or the tool's name.
    pub target: String,
    /// Whether the call may run more than once.
    pub repeatable: bool,
    /// JSON body for the endpoint.
    pub body: Arc<[u8]>,
    /// Digest of target and body; two requests are the same when it is equal.
    pub body_digest: String,
    /// Digest of customer and body, by which a request is quarantined.
    pub fingerprint: String,
    /// Upper bound of the prompt's tokens.
    pub prompt_tokens: u64,
    /// Upper bound of the answer's tokens, which the endpoint enforces.
    pub max_answer_tokens: u64,
    /// Prefixes that other prompts may share, the shortest first, each the
    /// start of the next.
    pub shared_prefixes: Vec<SharedPrefix>,
    /// Until when the caller waits, on the clock of `now`.
    pub deadline: Option<Duration>,
}

impl CallRequest {
    /// The most that one run of the call can spend.
    pub fn worst_case_tokens(&self) -> u64 {
        self.prompt_tokens.saturating_add(self.max_answer_tokens)
    }
}

/// A run of an endpoint's sidecar.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Placement {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The run of its sidecar.
    pub incarnation: Incarnation,
}

/// Why no endpoint was chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NoPlacement {
    /// Why.
    pub reason: NoPlacementReason,
    /// When to come back.
    pub retry_after: Duration,
}

/// Why no endpoint was chosen.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum NoPlacementReason {
    /// No endpoint serves the target.
    UnknownTarget,
    /// Every endpoint of the target is down, leaving or excluded.
    NoEndpoint,
    /// Every endpoint of the target has a full queue.
    Saturated,
}

/// Why a sidecar did not run a call.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum DispatchRefusal {
    /// The endpoint is leaving.
    Leaving,
    /// The queue is full.
    QueueFull,
    /// Too many answers wait to be acknowledged.
    RetentionFull,
    /// The sidecar has seen a newer owner of the shard.
    StaleEpoch,
    /// The sidecar was replaced since it was chosen.
    OtherIncarnation,
    /// The call was buried there by a claim.
    Buried,
    /// The call is too large for the endpoint.
    TooLarge,
    /// The endpoint does not serve the target.
    UnknownTarget,
    /// The deadline passed in the queue.
    Deadline,
    /// The endpoint is down; its sidecar is up.
    EndpointDown,
    /// The request is quarantined.
    Quarantined,
    /// The sidecar knows another request under the same id.
    Duplicate,
    /// The request was malformed.
    Invalid,
    /// The connection could not be made, so nothing was sent.
    NotConnected,
}

/// How a dispatched call failed.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum DispatchFailure {
    /// The endpoint crashed with the call in flight.
    EndpointCrashed,
    /// The endpoint gave no sign of progress for too long.
    EndpointTimeout,
    /// The endpoint broke off.
    EndpointError,
    /// The call was cancelled.
    Cancelled,
    /// The sidecar stopped.
    SidecarStopped,
    /// The stream broke and could not be resumed; the sidecar may still know.
    ConnectionLost,
}

/// What a claim brought to light.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimOutcome {
    /// The answer is retained at the sidecar.
    Finished(AnswerRecord),
    /// The call is in flight at the sidecar. The process resumes its stream,
    /// so that `Finished` or `DispatchFailed` follows for this attempt.
    Running,
    /// The call has not run there and never will under this attempt.
    Buried,
    /// This run of the sidecar cannot know.
    Unknown,
    /// The sidecar did not answer.
    Unreachable,
    /// The call was handed to the endpoint and ended badly.
    Failed {
        /// Whether the endpoint may have acted on it.
        may_have_run: bool,
    },
    /// The sidecar has seen a newer owner of the shard.
    StaleEpoch,
}

/// A call that a sidecar holds for a shard, not yet acknowledged.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RetainedTurn {
    /// The record that came with the call's dispatch: its state is `Intent`.
    pub turn: TurnRecord,
    /// The newest attempt that the sidecar knows of; a later one of the same
    /// request joins the one that runs.
    pub attempt: Attempt,
    /// The whole answer, or none while the call is in flight.
    pub answer: Option<AnswerRecord>,
}

/// What the owner is told.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// This entry owns a shard. The sidecars were asked for what they retain,
    /// under the new epoch, before this is told.
    ShardGained {
        /// The shard.
        shard: Shard,
        /// Its new epoch.
        epoch: Epoch,
        /// All program records of the shard.
        programs: Vec<ProgramRecord>,
        /// All turn records of the shard; answers may be left empty.
        turns: Vec<TurnRecord>,
        /// What sidecars retain for the shard.
        retained: Vec<RetainedTurn>,
        /// Calls that were at endpoints when the last owner handed the shard
        /// over, as that owner knew them.
        under_way: Vec<TurnRecord>,
        /// The highest epoch of the shard at which one of the sidecars
        /// started, when all of them told what they retain: of calls under a
        /// later epoch they know everything. For programs whose record has a
        /// later epoch, the part of the budget that was drawn and not spent
        /// comes back. None when a sidecar was not asked.
        retained_after: Option<Epoch>,
    },
    /// The shard has another owner. Told before this entry can gain the shard
    /// again, as `CommitLost` is.
    ShardLost {
        /// The shard.
        shard: Shard,
    },
    /// The shard is to be handed over: no new calls.
    ShardLeaving {
        /// The shard.
        shard: Shard,
    },
    /// The shard is not handed over after all: it takes calls again.
    ShardStays {
        /// The shard.
        shard: Shard,
    },
    /// A caller opens a program.
    Open {
        /// The caller.
        ticket: Ticket,
        /// The program.
        program: ProgramId,
        /// Its budget; not used for a sub-agent.
        budget_tokens: u64,
        /// The number of calls it may make.
        turn_limit: Option<u64>,
        /// The age it may reach.
        wall_limit: Option<Duration>,
        /// Digest of the request.
        body_digest: String,
    },
    /// A program is ended.
    End {
        /// The caller that asks, if one does.
        ticket: Option<Ticket>,
        /// The program.
        program: ProgramId,
        /// Why.
        reason: EndReason,
    },
    /// A caller makes a call.
    Submit {
        /// The caller.
        ticket: Ticket,
        /// The call.
        request: CallRequest,
    },
    /// A caller no longer waits.
    CallerGone {
        /// The caller.
        ticket: Ticket,
    },
    /// Answers `Action::Place`.
    Placed {
        /// The call.
        call: CallId,
        /// The attempt that was to be placed.
        attempt: Attempt,
        /// The endpoint, or why there is none.
        outcome: Result<Placement, NoPlacement>,
    },
    /// The sidecar did not run the call and never will under this attempt.
    DispatchRefused {
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: Attempt,
        /// Why.
        reason: DispatchRefusal,
        /// When to come back.
        retry_after: Duration,
    },
    /// The dispatched call did not finish.
    DispatchFailed {
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: Attempt,
        /// How it failed.
        reason: DispatchFailure,
        /// Whether the endpoint may have acted on it.
        may_have_run: bool,
        /// Calls in flight when the endpoint crashed, this one included.
        suspects: Vec<CallId>,
    },
    /// The dispatched call finished and its answer is whole.
    Finished {
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: Attempt,
        /// The answer.
        answer: AnswerRecord,
    },
    /// A commit took effect.
    Committed {
        /// The commit.
        commit: CommitId,
    },
    /// The table refused a commit, because the shard has another epoch.
    CommitLost {
        /// The shard.
        shard: Shard,
    },
    /// Answers `Action::Claim`.
    Claimed {
        /// The call.
        call: CallId,
        /// The attempt that was claimed.
        attempt: Attempt,
        /// What was found.
        outcome: ClaimOutcome,
    },
    /// The table answers, or stopped answering.
    TableState {
        /// Whether it answers.
        answering: bool,
    },
    /// Requests that are quarantined anywhere.
    Quarantined {
        /// Their fingerprints.
        fingerprints: Vec<String>,
    },
    /// Time passed; sent several times a second.
    Tick,
}
