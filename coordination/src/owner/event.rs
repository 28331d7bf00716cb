//! The events that the owner processes, and the requests, placements and
//! outcomes that they carry.

use std::time::Duration;

use bytes::Bytes;
use rosebend_state::id::{CallId, EndpointId, Epoch, Incarnation, ProgramId, Sequence, Shard};
use rosebend_state::record::{AnswerRecord, CallKind, EndReason, ProgramRecord, TurnRecord};

use crate::warmth::SharedPrefix;

/// Number that identifies one pending request of a caller at this entry.
pub type Ticket = u64;
/// Number of a commit, unique within one owner.
pub type CommitId = u64;
/// Number of an attempt of a call, above 0 and increasing across owners.
pub type Attempt = u32;

/// The request of a caller to run a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallRequest {
    /// The program that makes the call.
    pub program: ProgramId,
    /// The caller's idempotency key.
    pub key: Option<String>,
    /// The position of the call, or `None` to assign the next free one.
    pub sequence: Option<Sequence>,
    /// The kind of endpoint that runs the call.
    pub kind: CallKind,
    /// The name of the model or tool.
    pub target: String,
    /// Whether the call may run more than once.
    pub repeatable: bool,
    /// The JSON body that the endpoint receives. It shares the memory of the request.
    pub body: Bytes,
    /// Digest of target and body. Two requests with equal digests are the same
    /// request.
    pub body_digest: String,
    /// Digest of customer and body, which identifies a quarantined request.
    pub fingerprint: String,
    /// Upper bound of the prompt length, in tokens.
    pub prompt_tokens: u64,
    /// Upper bound of the answer length, in tokens, which the endpoint enforces.
    pub max_answer_tokens: u64,
    /// Prompt prefixes that other prompts may share, shortest first. Each is a
    /// prefix of the next.
    pub shared_prefixes: Vec<SharedPrefix>,
    /// Time until which the caller waits, on the clock that
    /// [`Owner::step`](super::Owner::step) receives.
    pub deadline: Option<Duration>,
}

impl CallRequest {
    /// Returns the maximum number of tokens that one run of the call can spend.
    pub fn worst_case_tokens(&self) -> u64 {
        self.prompt_tokens.saturating_add(self.max_answer_tokens)
    }
}

/// The endpoint for an attempt, with the incarnation of its sidecar.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Placement {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The incarnation of the endpoint's sidecar.
    pub incarnation: Incarnation,
}

/// The result of a placement that found no endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NoPlacement {
    /// The reason for which no endpoint was chosen.
    pub reason: NoPlacementReason,
    /// The delay after which the caller should retry.
    pub retry_after: Duration,
}

/// The reason for which no endpoint was chosen.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum NoPlacementReason {
    /// No endpoint serves the target.
    UnknownTarget,
    /// Every endpoint of the target is down, leaving or excluded.
    NoEndpoint,
    /// Every endpoint of the target has a full queue.
    Saturated,
}

/// The reason for which a sidecar did not run a call.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum DispatchRefusal {
    /// The endpoint is leaving.
    Leaving,
    /// The queue of the endpoint is full.
    QueueFull,
    /// The sidecar retains too many answers that are not acknowledged.
    RetentionFull,
    /// The sidecar has received a newer epoch of the shard.
    StaleEpoch,
    /// The sidecar was replaced by another incarnation since the placement.
    OtherIncarnation,
    /// A claim buried the call at the sidecar, which refuses it since.
    Buried,
    /// The call is too large for the endpoint.
    TooLarge,
    /// The endpoint does not serve the target.
    UnknownTarget,
    /// The deadline passed while the call was queued.
    Deadline,
    /// The endpoint is down; its sidecar is up.
    EndpointDown,
    /// The request is quarantined.
    Quarantined,
    /// The sidecar has stored another request under the same id.
    Duplicate,
    /// The request was malformed.
    Invalid,
    /// The connection could not be made, so nothing was sent.
    NotConnected,
}

/// The way in which a dispatched call failed.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum DispatchFailure {
    /// The endpoint crashed with the call in flight.
    EndpointCrashed,
    /// The endpoint made no progress before the timeout.
    EndpointTimeout,
    /// The endpoint aborted the call.
    EndpointError,
    /// The call was cancelled.
    Cancelled,
    /// The sidecar stopped.
    SidecarStopped,
    /// The stream broke and could not be resumed. The sidecar may still have
    /// the outcome.
    ConnectionLost,
}

/// The result of a claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimOutcome {
    /// The answer is retained at the sidecar.
    Finished(AnswerRecord),
    /// The call is in flight at the sidecar. The process resumes its stream,
    /// so that `Finished` or `DispatchFailed` follows for this attempt.
    Running,
    /// The call has not run at the sidecar, which refuses this attempt from now
    /// on.
    Buried,
    /// This incarnation of the sidecar cannot determine the outcome.
    Unknown,
    /// The sidecar did not answer.
    Unreachable,
    /// The call was sent to the endpoint and failed.
    Failed {
        /// Whether the endpoint may have run the call.
        may_have_run: bool,
    },
    /// The sidecar has received a newer epoch of the shard.
    StaleEpoch,
}

/// A call of a shard that a sidecar retains until it is acknowledged.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RetainedTurn {
    /// The record that came with the dispatch of the call, in state `Intent`.
    pub turn: TurnRecord,
    /// The newest attempt that the sidecar has received. A later attempt of the
    /// same request joins the running one.
    pub attempt: Attempt,
    /// The complete answer, or `None` while the call is in flight.
    pub answer: Option<AnswerRecord>,
}

/// An input of the owner: a request, a reply to an action, or a change of state
/// around it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// This entry has gained a shard. Before this event, the process requests
    /// the retained calls of the sidecars under the new epoch.
    ShardGained {
        /// The shard.
        shard: Shard,
        /// Its new epoch.
        epoch: Epoch,
        /// All program records of the shard.
        programs: Vec<ProgramRecord>,
        /// All turn records of the shard; answers may be left empty.
        turns: Vec<TurnRecord>,
        /// Calls that sidecars retain for the shard.
        retained: Vec<RetainedTurn>,
        /// Calls that the previous owner had at endpoints when it handed the
        /// shard over.
        under_way: Vec<TurnRecord>,
        /// The highest epoch of the shard at which one of the sidecars started,
        /// or `None` if a sidecar did not report its retained calls. Calls under
        /// a later epoch are completely covered by `retained`. For programs
        /// whose record has a later epoch, the part of the budget that was drawn
        /// but not spent is therefore returned.
        retained_after: Option<Epoch>,
    },
    /// The shard has another owner. The process sends this event, like
    /// `CommitLost`, before this entry can gain the shard again.
    ShardLost {
        /// The shard.
        shard: Shard,
    },
    /// A handoff of the shard begins; the shard takes no new calls.
    ShardLeaving {
        /// The shard.
        shard: Shard,
    },
    /// The handoff of the shard was cancelled; the shard takes calls again.
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
        /// The budget of the program, in tokens; ignored for a sub-agent.
        budget_tokens: u64,
        /// The maximum number of calls, or `None` for the default.
        turn_limit: Option<u64>,
        /// The maximum age, or `None` for the default.
        wall_limit: Option<Duration>,
        /// Digest of the request.
        body_digest: String,
    },
    /// A program is to be ended.
    End {
        /// The caller that requested it, if any.
        ticket: Option<Ticket>,
        /// The program.
        program: ProgramId,
        /// The reason for which the program ends.
        reason: EndReason,
    },
    /// A caller submits a call.
    Submit {
        /// The caller.
        ticket: Ticket,
        /// The request.
        request: CallRequest,
    },
    /// A caller stopped waiting for a reply.
    CallerDisconnected {
        /// The caller.
        ticket: Ticket,
    },
    /// The result of `Action::Place`.
    Placed {
        /// The call.
        call: CallId,
        /// The attempt that requested the placement.
        attempt: Attempt,
        /// The placement, or the reason for which there is none.
        outcome: Result<Placement, NoPlacement>,
    },
    /// The sidecar did not run the call and will never run this attempt.
    DispatchRefused {
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: Attempt,
        /// The reason of the refusal.
        reason: DispatchRefusal,
        /// The delay after which the caller should retry.
        retry_after: Duration,
    },
    /// The dispatched call did not finish.
    DispatchFailed {
        /// The call.
        call: CallId,
        /// The attempt.
        attempt: Attempt,
        /// The way in which the call failed.
        reason: DispatchFailure,
        /// Whether the endpoint may have run the call.
        may_have_run: bool,
        /// Calls that were in flight when the endpoint crashed, including this
        /// one.
        suspects: Vec<CallId>,
    },
    /// The dispatched call finished with a complete answer.
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
    /// The table refused a commit because the shard has another epoch.
    CommitLost {
        /// The shard.
        shard: Shard,
    },
    /// The result of `Action::Claim`.
    Claimed {
        /// The call.
        call: CallId,
        /// The attempt that was claimed.
        attempt: Attempt,
        /// The result of the claim.
        outcome: ClaimOutcome,
    },
    /// The table became available or unavailable.
    TableState {
        /// Whether the table answers requests.
        answering: bool,
    },
    /// Requests that were quarantined by any entry.
    Quarantined {
        /// The fingerprints of the requests.
        fingerprints: Vec<String>,
    },
    /// A periodic timer event, sent several times a second.
    Tick,
}
