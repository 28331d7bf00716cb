//! The in-memory state of a program: its waiting calls, its active call, and
//! its ended calls, with the conversions from and to stored records.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use rosebend_state::id::{CallId, EndpointId, Epoch, ProgramId, Sequence, Shard};
use rosebend_state::record::{
    AnswerRecord, CallKind, EndReason, FailReason, ProgramRecord, ProgramState, TurnRecord,
    TurnState, UnknownReason,
};

use super::account::Account;
use super::action::{CallOutcome, RefusalReason};
use super::event::{Attempt, CallRequest, Placement, Ticket};

/// The in-memory state of a program.
#[derive(Debug)]
pub(super) struct Program {
    pub(super) shard: Shard,
    pub(super) state: ProgramState,
    /// The budget of the whole tree; only the root has one.
    pub(super) account: Option<Box<Account>>,
    pub(super) turn_limit: u64,
    pub(super) wall_limit: Duration,
    /// Age of the program at `age_since`.
    pub(super) age_before: Duration,
    /// Time at which this owner opened or restored the program, on the
    /// owner's clock.
    pub(super) age_since: Duration,
    pub(super) body_digest: Box<str>,
    /// Whether the table has a record of the program.
    pub(super) is_durable: bool,
    /// The endpoint that holds the program's KV cache.
    pub(super) warm: Option<EndpointId>,
    /// Tokens that finished calls of the program have used under this owner.
    pub(super) attained_tokens: u64,
    /// The position of the next new call.
    pub(super) next_sequence: Sequence,
    /// Number of the last attempt at the position before `next_sequence`. If
    /// that call was refused and its position freed, the number is that of the
    /// last attempt at `next_sequence`.
    pub(super) last_attempt: Attempt,
    /// Calls that wait for their turn, in order of arrival.
    pub(super) waiting: VecDeque<Waiting>,
    /// The active call, if there is one. Its position is below `next_sequence`.
    pub(super) active: Option<Box<ActiveCall>>,
    /// Ended calls by position.
    pub(super) turns: BTreeMap<Sequence, Turn>,
    /// Positions of the calls that have a key, ended or active.
    pub(super) keys: HashMap<Box<str>, Sequence>,
    /// Callers that receive a reply once the program is durably open.
    pub(super) openers: Vec<Ticket>,
    /// Callers that receive a reply once the program has durably ended.
    pub(super) enders: Vec<Ticket>,
    /// Hash of the last ended call's fingerprint, and the number of
    /// consecutive ended calls that had this fingerprint.
    pub(super) repeated: (u64, u32),
}

/// A call that waits for its turn.
#[derive(Debug)]
pub(super) struct Waiting {
    pub(super) request: Arc<CallRequest>,
    /// Callers that wait for the call; never empty.
    pub(super) tickets: Vec<Ticket>,
    /// Time since which the call has waited only for an earlier position that
    /// no caller has submitted.
    pub(super) gap_since: Option<Duration>,
}

/// The call that has its turn.
#[derive(Debug)]
pub(super) struct ActiveCall {
    pub(super) sequence: Sequence,
    pub(super) key: Option<Box<str>>,
    pub(super) body_digest: Box<str>,
    pub(super) kind: CallKind,
    pub(super) target: Box<str>,
    pub(super) repeatable: bool,
    /// The request of the caller. After a takeover it is `None` until a caller
    /// sends the call again; until then the call can't be retried.
    pub(super) request: Option<Arc<CallRequest>>,
    pub(super) attempt: Attempt,
    /// Number of dispatches since a caller last requested the call.
    pub(super) tries: u32,
    pub(super) stage: Stage,
    /// Tokens reserved from the root's account for this attempt.
    pub(super) reserved_tokens: u64,
    /// Endpoints to which the call must not be dispatched.
    pub(super) excluded: Vec<EndpointId>,
    /// Placements of earlier attempts whose sidecars may retain an answer that
    /// has to be acknowledged.
    pub(super) earlier: Vec<Placement>,
    /// Whether an earlier attempt may have run. If so, the call can no longer
    /// end as refused, only as failed.
    pub(super) may_have_run: bool,
    /// Whether the table has a record of the call, or may have one once the
    /// current commits complete.
    pub(super) has_record: bool,
    /// Whether the tokens of this attempt were already charged to the account
    /// when the shard was taken over.
    pub(super) is_charged: bool,
}

/// Progress of the active call.
#[derive(Clone, Debug)]
pub(super) enum Stage {
    /// The call is not in progress; the next attempt starts when a caller sends
    /// the same request again.
    Parked,
    /// The call waits for a reservation from the budget.
    AwaitingBudget,
    /// The call waits for the choice of an endpoint.
    Placing,
    /// The intent of the call is being written.
    CommittingIntent(Placement),
    /// The call was dispatched.
    InFlight(Placement),
    /// The sidecar of the call is being queried for its outcome.
    Claiming {
        placement: Placement,
        /// Time of the first claim.
        since: Duration,
        /// Time at which the claim is sent again.
        next_at: Duration,
    },
}

impl Stage {
    /// Returns the placement to which the call was or will be dispatched.
    pub(super) fn placement(&self) -> Option<&Placement> {
        match self {
            Self::Parked | Self::AwaitingBudget | Self::Placing => None,
            Self::CommittingIntent(placement)
            | Self::InFlight(placement)
            | Self::Claiming { placement, .. } => Some(placement),
        }
    }

    /// Returns the placement to which the call was dispatched, if it was.
    pub(super) fn sent_to(&self) -> Option<&Placement> {
        self.placement().filter(|_| self.is_sent())
    }

    /// Returns whether the call was dispatched and has no known outcome.
    pub(super) fn is_sent(&self) -> bool {
        matches!(self, Self::InFlight(_) | Self::Claiming { .. })
    }
}

/// An ended call.
#[derive(Debug)]
pub(super) struct Turn {
    pub(super) key: Option<Box<str>>,
    pub(super) body_digest: Box<str>,
    pub(super) kind: CallKind,
    pub(super) repeatable: bool,
    pub(super) target: Box<str>,
    pub(super) end: TurnEnd,
    /// The state that is kept until the end is durable; `None` afterwards.
    pub(super) unwritten: Option<Box<Unwritten>>,
}

/// The way in which a call ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum TurnEnd {
    /// The call did not run before its program continued with another one.
    /// Holds the last attempt.
    NotRun(Attempt),
    Done,
    Failed(FailReason),
    Unknown(UnknownReason),
}

impl TurnEnd {
    /// Returns the outcome that followers of the call receive.
    pub(super) fn outcome(self) -> CallOutcome {
        match self {
            Self::NotRun(_) => CallOutcome::Refused {
                reason: RefusalReason::Superseded,
                retry_after: Duration::ZERO,
            },
            Self::Done => CallOutcome::Done,
            Self::Failed(reason) => CallOutcome::Failed { reason },
            Self::Unknown(reason) => CallOutcome::Unknown { reason },
        }
    }
}

/// The part of an ended call that is kept until it is durable.
#[derive(Debug)]
pub(super) struct Unwritten {
    pub(super) answer: Option<AnswerRecord>,
    /// Whether followers have received the end.
    pub(super) is_reported: bool,
    /// Placements whose sidecars receive an acknowledgement once the end is
    /// durable.
    pub(super) acknowledge: Vec<Placement>,
}

impl Program {
    /// Creates the state of a newly opened program.
    pub(super) fn new(shard: Shard, now: Duration, body_digest: &str) -> Self {
        Self {
            shard,
            state: ProgramState::Open,
            account: None,
            turn_limit: 0,
            wall_limit: Duration::ZERO,
            age_before: Duration::ZERO,
            age_since: now,
            body_digest: body_digest.into(),
            is_durable: false,
            warm: None,
            attained_tokens: 0,
            next_sequence: 1,
            last_attempt: 0,
            waiting: VecDeque::new(),
            active: None,
            turns: BTreeMap::new(),
            keys: HashMap::new(),
            openers: Vec::new(),
            enders: Vec::new(),
            repeated: (0, 0),
        }
    }

    /// Restores a program from its stored record.
    pub(super) fn from_record(shard: Shard, now: Duration, record: &ProgramRecord) -> Self {
        Self {
            state: record.state,
            turn_limit: record.turn_limit,
            wall_limit: Duration::from_millis(record.wall_limit_ms),
            age_before: Duration::from_millis(record.age_ms),
            is_durable: true,
            warm: record.warm.clone(),
            next_sequence: record.next_sequence.max(1),
            ..Self::new(shard, now, &record.body_digest)
        }
    }

    /// Returns the record of the program's current state.
    pub(super) fn record(&self, now: Duration, program: &ProgramId, epoch: Epoch) -> ProgramRecord {
        let account = self.account.as_deref();
        ProgramRecord {
            program: program.clone(),
            epoch,
            state: self.state,
            budget_tokens: account.map_or(0, |account| account.budget_tokens),
            drawn_tokens: account.map_or(0, |account| account.drawn_tokens),
            spent_tokens: account.map_or(0, |account| account.spent_tokens),
            turn_limit: self.turn_limit,
            wall_limit_ms: as_millis(self.wall_limit),
            age_ms: as_millis(self.age(now)),
            body_digest: self.body_digest.to_string(),
            next_sequence: self.recorded_next_sequence(),
            warm: self.warm.clone(),
        }
    }

    /// Returns the position after the last call that has a record.
    fn recorded_next_sequence(&self) -> Sequence {
        match &self.active {
            Some(active) if !active.has_record => active.sequence,
            _ => self.next_sequence,
        }
    }

    pub(super) fn age(&self, now: Duration) -> Duration {
        self.age_before + now.saturating_sub(self.age_since)
    }

    pub(super) fn end_reason(&self) -> Option<EndReason> {
        match self.state {
            ProgramState::Open => None,
            ProgramState::Ended { reason } => Some(reason),
        }
    }

    /// Returns the active call if it has this position.
    pub(super) fn active_at(&mut self, sequence: Sequence) -> Option<&mut ActiveCall> {
        let active = self.active.as_deref_mut()?;
        (active.sequence == sequence).then_some(active)
    }

    /// Returns whether a call waits or is about to be dispatched. Dispatched
    /// calls do not count, because another owner can claim them at their
    /// sidecars.
    pub(super) fn is_sending(&self) -> bool {
        let active = self.active.as_deref();
        let is_at_rest = |stage: &Stage| stage.is_sent() || matches!(stage, Stage::Parked);
        !self.waiting.is_empty() || active.is_some_and(|call| !is_at_rest(&call.stage))
    }

    /// Returns whether the active call was dispatched.
    pub(super) fn is_sent(&self) -> bool {
        self.active
            .as_deref()
            .is_some_and(|call| call.stage.is_sent())
    }

    /// Returns the index of the first waiting call that may start at
    /// `position`.
    pub(super) fn first_startable(&self, position: Sequence) -> Option<usize> {
        self.waiting.iter().position(|waiting| {
            waiting
                .request
                .sequence
                .is_none_or(|sequence| sequence == position)
        })
    }

    /// Returns the index of the first waiting call whose request has no
    /// position, so that the owner assigns one.
    pub(super) fn first_unnumbered(&self) -> Option<usize> {
        let mut waiting = self.waiting.iter();
        waiting.position(|waiting| waiting.request.sequence.is_none())
    }

    /// Records an ended call with this fingerprint.
    pub(super) fn count_repeat(&mut self, fingerprint: &str) {
        let hash = hash_fingerprint(fingerprint);
        let repeats = self.repeats(fingerprint);
        self.repeated = (hash, repeats.saturating_add(1));
    }

    /// Returns how many of the last ended calls in a row had this fingerprint.
    pub(super) fn repeats(&self, fingerprint: &str) -> u32 {
        match self.repeated {
            (last, count) if last == hash_fingerprint(fingerprint) => count,
            _ => 0,
        }
    }
}

impl ActiveCall {
    /// Creates the active call for a request that starts at `sequence`.
    pub(super) fn new(sequence: Sequence, request: Arc<CallRequest>) -> Self {
        Self {
            sequence,
            key: request.key.as_deref().map(Into::into),
            body_digest: request.body_digest.as_str().into(),
            kind: request.kind,
            target: request.target.as_str().into(),
            repeatable: request.repeatable,
            request: Some(request),
            attempt: 0,
            tries: 0,
            stage: Stage::Parked,
            reserved_tokens: 0,
            excluded: Vec::new(),
            earlier: Vec::new(),
            may_have_run: false,
            has_record: false,
            is_charged: false,
        }
    }

    /// Restores a call of the previous owner from its record.
    pub(super) fn from_record(record: &TurnRecord, attempt: Attempt, stage: Stage) -> Self {
        Self {
            sequence: record.call.sequence,
            key: record.key.as_deref().map(Into::into),
            body_digest: record.body_digest.as_str().into(),
            kind: record.kind,
            target: record.target.as_str().into(),
            repeatable: record.repeatable,
            request: None,
            attempt,
            tries: 0,
            stage,
            reserved_tokens: 0,
            excluded: Vec::new(),
            earlier: Vec::new(),
            may_have_run: false,
            has_record: true,
            is_charged: false,
        }
    }

    /// Restores a call that has not run, so that it can be retried.
    pub(super) fn from_turn(sequence: Sequence, attempt: Attempt, turn: Turn) -> Self {
        Self {
            sequence,
            key: turn.key,
            body_digest: turn.body_digest,
            kind: turn.kind,
            target: turn.target,
            repeatable: turn.repeatable,
            request: None,
            attempt,
            tries: 0,
            stage: Stage::Parked,
            reserved_tokens: 0,
            excluded: Vec::new(),
            earlier: Vec::new(),
            may_have_run: false,
            has_record: true,
            is_charged: false,
        }
    }

    /// Returns the record of the call's current state, for the table or for
    /// the sidecar to retain.
    pub(super) fn record(&self, program: &ProgramId) -> TurnRecord {
        let state = match self.stage.placement() {
            None => TurnState::NotRun {
                attempt: self.attempt,
            },
            Some(placement) => TurnState::Intent {
                attempt: self.attempt,
                endpoint: placement.endpoint.clone(),
                incarnation: placement.incarnation.clone(),
                reserved_tokens: self.reserved_tokens,
            },
        };
        TurnRecord {
            call: call_id(program, self.sequence),
            key: self.key.as_deref().map(str::to_owned),
            body_digest: self.body_digest.to_string(),
            kind: self.kind,
            target: self.target.to_string(),
            repeatable: self.repeatable,
            state,
        }
    }
}

impl Turn {
    /// Creates an ended call whose end is not durable yet.
    pub(super) fn unwritten(call: ActiveCall, end: TurnEnd, unwritten: Unwritten) -> Self {
        Self {
            key: call.key,
            body_digest: call.body_digest,
            kind: call.kind,
            repeatable: call.repeatable,
            target: call.target,
            end,
            unwritten: Some(Box::new(unwritten)),
        }
    }

    /// Restores an ended call from its record, or returns `None` if the record
    /// is an intent.
    pub(super) fn from_record(record: &TurnRecord) -> Option<Self> {
        let end = match record.state {
            TurnState::Intent { .. } => return None,
            TurnState::NotRun { attempt } => TurnEnd::NotRun(attempt),
            TurnState::Done { .. } => TurnEnd::Done,
            TurnState::Failed { reason } => TurnEnd::Failed(reason),
            TurnState::Unknown { reason } => TurnEnd::Unknown(reason),
        };
        Some(Self {
            key: record.key.as_deref().map(Into::into),
            body_digest: record.body_digest.as_str().into(),
            kind: record.kind,
            repeatable: record.repeatable,
            target: record.target.as_str().into(),
            end,
            unwritten: None,
        })
    }

    /// Returns the record to write, or `None` if the end is durable already.
    pub(super) fn record(&self, program: &ProgramId, sequence: Sequence) -> Option<TurnRecord> {
        let unwritten = self.unwritten.as_ref()?;
        let answer = unwritten.answer.clone().unwrap_or_default();
        Some(self.record_with(program, sequence, answer))
    }

    /// Returns the record of the ended call with the given answer.
    pub(super) fn record_with(
        &self,
        program: &ProgramId,
        sequence: Sequence,
        answer: AnswerRecord,
    ) -> TurnRecord {
        let state = match self.end {
            TurnEnd::NotRun(attempt) => TurnState::NotRun { attempt },
            TurnEnd::Done => TurnState::Done { answer },
            TurnEnd::Failed(reason) => TurnState::Failed { reason },
            TurnEnd::Unknown(reason) => TurnState::Unknown { reason },
        };
        TurnRecord {
            call: call_id(program, sequence),
            key: self.key.as_deref().map(str::to_owned),
            body_digest: self.body_digest.to_string(),
            kind: self.kind,
            target: self.target.to_string(),
            repeatable: self.repeatable,
            state,
        }
    }
}

fn hash_fingerprint(fingerprint: &str) -> u64 {
    rosebend_util::hash_parts(&[fingerprint.as_bytes()])
}

/// Returns the id of the call at a position of a program.
pub(super) fn call_id(program: &ProgramId, sequence: Sequence) -> CallId {
    CallId {
        program: program.clone(),
        sequence,
    }
}

/// Returns the duration in whole milliseconds, saturating at `u64::MAX`.
fn as_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
