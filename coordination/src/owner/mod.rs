/*!
The owner of program shards. It decides when each call runs, which records
must be durable before that, and which outcome a caller may receive.

An [`Owner`] is a state machine without I/O. [`Owner::step`] takes the current
time and an [`Event`], and returns the [`Action`]s that the surrounding process
has to carry out:

```
use std::time::Duration;
use rosebend_coordination::owner::{Action, Event, Owner, OwnerConfig, RefusalReason, Reply};
use rosebend_state::id::ProgramId;

let mut owner = Owner::new(OwnerConfig::default());
let program = ProgramId::new("caribmar", "renewal-17")?;
let actions = owner.step(Duration::ZERO, Event::End {
    ticket: Some(1),
    program,
    reason: rosebend_state::record::EndReason::Requested,
});
// This entry does not own the shard of the program.
let refused = |action: &Action| matches!(action, Action::Reply {
    ticket: 1,
    reply: Reply::Refused { reason: RefusalReason::NotOwner, .. },
});
assert!(actions.iter().any(refused));
# Ok::<(), rosebend_state::id::IdError>(())
```

# Life of a call

A call waits until every earlier call of its program has ended. It then becomes
the active call, reserves its worst-case tokens from the budget and requests an
endpoint. A repeatable call is dispatched at once. For a call that is not
repeatable, the owner first writes an intent and dispatches the call only after
`Committed`. When the call ends, its end is written together with the tokens it
spent, and is then acknowledged to the sidecar, which drops the retained answer.

Followers of a call receive its end once the end is durable. Two cases don't
wait for the write: a repeatable call if [`OwnerConfig::early_end`] is set, and
every call during an outage of the table. In these cases the answer retained at
the sidecar is the second copy, and an end is lost only if the owner and that
sidecar both fail before the write.

# Requirements on the surrounding process

- It sends each `Dispatch` at most once. When the connection breaks, the
  process resumes the stream; it does not send the call again.
- It sends `DispatchRefused` only for a refusal by the sidecar, or when nothing
  was sent at all.
- The commits of one shard take effect in the order in which the owner emits
  them.
- Before `ShardGained`, it requests the retained answers of all sidecars under
  the new epoch, so that the sidecars refuse dispatches of the previous owner
  from then on. It reads the table after it has acquired the epoch.
- It reports the loss of a shard before this entry can gain the shard again.
- When a claim finds a call running, the process resumes its stream.
- Sidecars distinguish the attempts of a call, and refuse a call whose
  fingerprint differs from the one they have stored under the same id.
- A sidecar stores, beside a retained answer, the `record` that came with the
  dispatch, and sends it to the next owner. Without it, a retained answer can't
  be found by its key.

# State that moves with a shard

`ShardGained` carries the answers that sidecars retain, and the epoch after
which these are complete. A call that the next owner of the shard has to finish
ends as [`CallOutcome::Moved`]. [`Owner::records`] returns the durable records
of a drained shard for its successor, so that the successor need not wait for
the table, and the calls without a durable record, which the successor claims
if sidecars did not report them. If the table stops answering while the opening
or ending of a program is being written, the caller receives
[`Reply::Undecided`].
*/

mod account;
mod action;
mod attempt;
mod clock;
mod config;
mod durable;
mod ending;
mod event;
mod lifecycle;
mod program;
mod retry;
mod shard;
mod submit;
mod suspicion;
mod takeover;
mod view;

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rosebend_state::id::{CallId, ProgramId, Shard};
use rosebend_state::record::{AnswerRecord, CallKind};

use self::account::Account;
use self::program::{Program, Stage};
use self::retry::RetryBudget;
use self::shard::ShardState;
use self::suspicion::Suspicion;

pub use self::action::{Action, CallOutcome, Metric, RefusalReason, Reply, RetryReason};
pub use self::config::OwnerConfig;
pub use self::event::{
    Attempt, CallRequest, ClaimOutcome, CommitId, DispatchFailure, DispatchRefusal, Event,
    NoPlacement, NoPlacementReason, Placement, RetainedTurn, Ticket,
};
pub use self::view::{CallStage, CallView, ProgramView, ShardView};

/// State machine that owns a set of shards and orders the calls of their
/// programs.
#[derive(Debug)]
pub struct Owner {
    config: OwnerConfig,
    random: ChaCha8Rng,
    shards: BTreeMap<Shard, ShardState>,
    /// Programs of the owned shards, sorted by id; sub-agents sort after their
    /// root.
    programs: BTreeMap<ProgramId, Program>,
    retries: RetryBudget,
    suspicion: Suspicion,
    /// Whether the external table answers requests.
    is_answering: bool,
    next_commit: CommitId,
    /// Number of ended calls whose end is not durable yet.
    uncommitted: usize,
    /// Total size of the answers of these calls, in bytes.
    uncommitted_bytes: u64,
    /// Actions that the current step has produced so far.
    out: Vec<Action>,
}

impl Owner {
    /// Creates an owner without shards that assumes an available table.
    pub fn new(config: OwnerConfig) -> Self {
        Self {
            random: ChaCha8Rng::seed_from_u64(config.seed),
            shards: BTreeMap::new(),
            programs: BTreeMap::new(),
            retries: RetryBudget::new(config.retry_percent, config.retry_burst),
            suspicion: Suspicion::default(),
            is_answering: true,
            next_commit: 1,
            uncommitted: 0,
            uncommitted_bytes: 0,
            out: Vec::new(),
            config,
        }
    }

    /// Applies one event and returns the actions that result from it.
    pub fn step(&mut self, now: Duration, event: Event) -> Vec<Action> {
        self.apply(now, event);
        self.flush(now);
        std::mem::take(&mut self.out)
    }

    fn apply(&mut self, now: Duration, event: Event) {
        match event {
            Event::ShardGained {
                shard,
                epoch,
                programs,
                turns,
                retained,
                under_way,
                retained_after,
            } => self.gain(
                now,
                takeover::Gain {
                    shard,
                    epoch,
                    programs,
                    turns,
                    retained,
                    under_way,
                    retained_after,
                },
            ),
            Event::ShardLost { shard } | Event::CommitLost { shard } => self.lose(shard),
            Event::ShardLeaving { shard } => self.leave(now, shard),
            Event::ShardStays { shard } => self.stay(shard),
            Event::Open {
                ticket,
                program,
                budget_tokens,
                turn_limit,
                wall_limit,
                body_digest,
            } => self.open(
                now,
                ticket,
                lifecycle::Opening {
                    program,
                    budget_tokens,
                    turn_limit,
                    wall_limit,
                    body_digest,
                },
            ),
            Event::End {
                ticket,
                program,
                reason,
            } => self.end(now, ticket, &program, reason),
            Event::Submit { ticket, request } => self.submit(now, ticket, request),
            Event::CallerDisconnected { ticket } => self.caller_disconnected(ticket),
            Event::Placed {
                call,
                attempt,
                outcome,
            } => self.placed(now, &call, attempt, outcome),
            Event::DispatchRefused {
                call,
                attempt,
                reason,
                retry_after,
            } => self.dispatch_refused(now, &call, attempt, reason, retry_after),
            Event::DispatchFailed {
                call,
                attempt,
                reason,
                may_have_run,
                suspects,
            } => self.dispatch_failed(now, &call, attempt, reason, may_have_run, &suspects),
            Event::Finished {
                call,
                attempt,
                answer,
            } => self.finished(now, &call, attempt, answer),
            Event::Committed { commit } => self.committed(now, commit),
            Event::Claimed {
                call,
                attempt,
                outcome,
            } => self.claimed(now, &call, attempt, outcome),
            Event::TableState { answering } => self.table_state(now, answering),
            Event::Quarantined { fingerprints } => self.suspicion.add_quarantined(fingerprints),
            Event::Tick => self.tick(now),
        }
    }

    /// Returns a snapshot of a program, or `None` if it is not in memory.
    pub fn program(&self, now: Duration, id: &ProgramId) -> Option<ProgramView> {
        let program = self.programs.get(id)?;
        let account = self.programs.get(&id.root())?.account.as_deref();
        let active = program.active.as_deref().map(|call| call.sequence);
        Some(ProgramView {
            state: program.state,
            budget_tokens: account.map_or(0, |account| account.budget_tokens),
            spent_tokens: account.map_or(0, |account| account.spent_tokens),
            reserved_tokens: account.map_or(0, |account| account.reserved_tokens),
            turn_limit: program.turn_limit,
            age: program.age(now),
            next_sequence: program.next_sequence,
            waiting: program.waiting.len(),
            calls: program.turns.keys().copied().chain(active).collect(),
        })
    }

    /// Returns a snapshot of an active or ended call. Calls that wait for
    /// their turn are not found, as they have no position yet.
    pub fn call(&self, call: &CallId) -> Option<CallView> {
        let program = self.programs.get(&call.program)?;
        if let Some(turn) = program.turns.get(&call.sequence) {
            return Some(CallView {
                key: turn.key.as_deref().map(str::to_owned),
                kind: turn.kind,
                target: turn.target.to_string(),
                repeatable: turn.repeatable,
                stage: CallStage::Ended {
                    outcome: turn.end.outcome(),
                    durable: turn.unwritten.is_none(),
                },
                attempt: 0,
                placement: None,
            });
        }
        let active = program.active.as_deref()?;
        let stage = match &active.stage {
            Stage::Parked => CallStage::Parked {
                may_have_run: active.may_have_run,
            },
            stage if stage.is_sent() => CallStage::InFlight,
            _ => CallStage::Waiting,
        };
        (active.sequence == call.sequence).then(|| CallView {
            key: active.key.as_deref().map(str::to_owned),
            kind: active.kind,
            target: active.target.to_string(),
            repeatable: active.repeatable,
            stage,
            attempt: active.attempt,
            placement: active.stage.placement().cloned(),
        })
    }

    /// Returns the answer of an ended call. The answer stays in memory only
    /// until it is durable.
    pub fn answer(&self, call: &CallId) -> Option<&AnswerRecord> {
        let program = self.programs.get(&call.program)?;
        let turn = program.turns.get(&call.sequence)?;
        turn.unwritten.as_ref()?.answer.as_ref()
    }

    /// Returns the open programs that may have a KV cache at an endpoint.
    pub fn programs_holding(&self, endpoint: &str) -> Vec<ProgramId> {
        let holding = self
            .programs
            .iter()
            .filter(|(_, program)| program.end_reason().is_none() && may_hold(program, endpoint));
        holding.map(|(id, _)| id.clone()).collect()
    }

    /// Returns the shards that this entry owns.
    pub fn shards(&self) -> Vec<ShardView> {
        let view = |(shard, state): (&Shard, &ShardState)| ShardView {
            shard: *shard,
            epoch: state.epoch,
            leaving: state.is_leaving,
            programs: self
                .programs
                .values()
                .filter(|program| program.shard == *shard)
                .count(),
        };
        self.shards.iter().map(view).collect()
    }

    /// Returns the account of the program's root, from which the whole tree
    /// spends.
    fn account_of(&mut self, id: &ProgramId) -> Option<&mut Account> {
        self.programs.get_mut(&id.root())?.account.as_deref_mut()
    }

    fn reply(&mut self, ticket: Ticket, reply: Reply) {
        self.out.push(Action::Reply { ticket, reply });
    }

    fn refuse(&mut self, ticket: Ticket, reason: RefusalReason) {
        let retry_after = self.retry_after();
        self.count(Metric::Refusal(reason));
        self.reply(
            ticket,
            Reply::Refused {
                reason,
                retry_after,
            },
        );
    }

    fn count(&mut self, metric: Metric) {
        self.out.push(Action::Count { metric });
    }

    /// Returns the delay after which a refused caller should retry. Jitter of
    /// up to half the base delay keeps callers from retrying all at once.
    fn retry_after(&mut self) -> Duration {
        let base = self.config.retry_after;
        base + base.mul_f64(self.random.random_range(0.0..0.5))
    }
}

/// Returns whether a program may have a KV cache at an endpoint.
fn may_hold(program: &Program, endpoint: &str) -> bool {
    let is_warm = program.warm.as_deref() == Some(endpoint);
    let runs_there = program.active.as_deref().is_some_and(|call| {
        call.kind == CallKind::Model
            && call.stage.is_sent()
            && call
                .stage
                .placement()
                .is_some_and(|placement| placement.endpoint == endpoint)
    });
    is_warm || runs_there
}
